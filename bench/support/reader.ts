/** Requests a streamed completion and reads it at a chosen pace. */
import http from 'node:http';

export type Pace = 'normal' | 'stopped' | 'byte';

export interface ReaderOptions {
  readonly url: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly tokens: number;
  readonly pace: Pace;
  /** Called for each token: its position and when the engine wrote it. */
  readonly token?: (position: number, writtenMs: number) => void;
}

const TOKEN_PATTERN = /<(\d+) ([\d.]+)>/g;
const BYTE_INTERVAL_MS = 1_000;
const agent = new http.Agent({maxSockets: Infinity, keepAlive: false});

export class StreamReader {
  /** Tokens read so far, or -1 after one that was out of order. */
  read = 0;
  done = false;
  status = 0;
  private unparsed = '';
  private response: http.IncomingMessage | undefined;
  private timer: NodeJS.Timeout | undefined;
  private readonly request: http.ClientRequest;

  constructor(private readonly options: ReaderOptions) {
    const {url, key, model, prompt, tokens, pace} = options;
    const headers = {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
    };
    this.request = http.request(`${url}/v1/completions`, {
      method: 'POST',
      headers,
      agent,
    });
    this.request.on('error', () => undefined);
    this.request.on('response', response => {
      this.response = response;
      this.status = response.statusCode!;
      response.setEncoding('latin1');
      response.on('error', () => undefined);
      if (pace === 'normal') this.resume();
      if (pace === 'byte') this.readByteByByte(response);
    });
    const body = {model, prompt, max_tokens: tokens, stream: true};
    this.request.end(JSON.stringify(body));
  }

  /** Reads at full speed from now on. */
  resume(): void {
    clearInterval(this.timer);
    this.response?.on('data', (chunk: string) => this.readTokens(chunk));
  }

  close(): void {
    clearInterval(this.timer);
    this.request.destroy();
    this.response?.destroy();
  }

  private readByteByByte(response: http.IncomingMessage): void {
    this.timer = setInterval(() => {
      const chunk = response.read(1) as string | null;
      if (chunk) this.readTokens(chunk);
    }, BYTE_INTERVAL_MS);
  }

  private readTokens(chunk: string): void {
    const text = this.unparsed + chunk;
    let end = 0;
    for (const match of text.matchAll(TOKEN_PATTERN)) {
      end = match.index + match[0].length;
      const position = Number(match[1]);
      if (position !== this.read) this.read = -1;
      if (this.read >= 0) this.read += 1;
      this.options.token?.(position, Number(match[2]));
    }
    const tail = text.slice(end);
    if (tail.includes('data: [DONE]')) this.done = true;
    // A chunk may end within a token or within the end mark.
    this.unparsed = tail.slice(-64);
  }
}
