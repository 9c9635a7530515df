/**
 * Calls with JSON bodies to processes and endpoints nearby.
 *
 * Node's own client on kept connections: these calls are made several times a
 * second by processes with less than half a core.
 */
import http from 'node:http';

export interface JsonAnswer {
  readonly status: number;
  /** Undefined where the answer has no readable JSON body. */
  readonly body: unknown;
}

const MAX_ANSWER_BYTES = 4_194_304;

export class JsonCaller {
  private readonly agent = new http.Agent({keepAlive: true, noDelay: true});

  /** Rejects where no whole answer arrives in `timeoutMs`. */
  call(
    method: 'GET' | 'POST',
    address: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<JsonAnswer> {
    const at = address.lastIndexOf(':');
    const text = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve, reject) => {
      const request = http.request({
        agent: this.agent,
        host: address.slice(0, at),
        port: Number(address.slice(at + 1)),
        method,
        path,
        headers:
          text === undefined
            ? {}
            : {
                'Content-Type': 'application/json',
                'Content-Length': Buffer.byteLength(text),
              },
      });
      const timer = setTimeout(
        () => request.destroy(new Error('no answer in time')),
        timeoutMs,
      );
      request.on('error', error => {
        clearTimeout(timer);
        reject(error);
      });
      request.on('response', response => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        response.on('data', (chunk: Buffer) => {
          bytes += chunk.length;
          if (bytes > MAX_ANSWER_BYTES) request.destroy(new Error('too long'));
          else chunks.push(chunk);
        });
        response.on('error', error => {
          clearTimeout(timer);
          reject(error);
        });
        response.on('end', () => {
          clearTimeout(timer);
          const status = response.statusCode ?? 0;
          resolve({status, body: parsed(Buffer.concat(chunks))});
        });
      });
      request.end(text);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}

function parsed(bytes: Buffer): unknown {
  if (bytes.length === 0) return undefined;
  try {
    return JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
}
