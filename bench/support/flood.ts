/**
 * Stand-in for a model engine that runs many streams with tokens of a chosen
 * length; `FloodProcess` runs it in a child process. Each token contains its
 * position and the time it was written, so that a reader can check the order
 * and measure the delay.
 *
 * A prompt that starts with `big` gets long tokens up to `bigBytes` and then
 * short ones, to fill the socket buffers of a reader that has stopped.
 */
import {ChildProcess, fork} from 'node:child_process';
import http from 'node:http';
import {AddressInfo} from 'node:net';

export interface FloodOptions {
  readonly stepMs: number;
  /** Spreads the streams' tokens evenly over a step instead of writing all at once. */
  readonly spread?: boolean;
  readonly bigBytes: number;
  readonly bigTokenBytes: number;
}

export interface FloodState {
  readonly streams: number;
  readonly bigStreams: number;
  readonly tokens: number;
}

interface RunningStream {
  readonly id: string;
  readonly res: http.ServerResponse;
  readonly big: boolean;
  readonly maxOutput: number;
  /** The millisecond within a step at which the stream gets its token. */
  readonly phaseMs: number;
  next: number;
}

interface GenerateBody {
  readonly requestId: string;
  readonly attempt: number;
  readonly prompt: string;
  readonly maxOutput: number;
  readonly resumeOffset: number;
}

const SHORT_TOKEN_BYTES = 64;
/** Tokens that a big stream gets for each token of a normal one. */
const BIG_STREAM_SPEEDUP = 4;
const PROBE_INTERVAL_MS = 1_000;
const PAUSED_FOR_MS = 2_000;

/** Milliseconds of the host's monotonic clock, the same in all processes. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}

export class FloodEngine {
  private running = new Map<string, RunningStream>();
  private tokens = 0;
  private steps = 0;
  private startedStreams = 0;
  private lastSpreadMs = 0;
  private timer: NodeJS.Timeout | undefined;
  private server: http.Server | undefined;

  constructor(private readonly options: FloodOptions) {}

  async start(): Promise<string> {
    this.server = http.createServer((req, res) => void this.serve(req, res));
    await new Promise<void>(done => this.server!.listen(0, '127.0.0.1', done));
    const {stepMs, spread} = this.options;
    this.lastSpreadMs = Math.floor(performance.now());
    this.timer = spread
      ? setInterval(() => this.stepSpreadStreams(), 1)
      : setInterval(() => this.stepAllStreams(), stepMs);
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  stop(): void {
    clearInterval(this.timer);
    this.server?.closeAllConnections();
    this.server?.close();
  }

  state(): FloodState {
    const all = [...this.running.values()];
    const big = all.filter(r => r.big).length;
    return {streams: all.length, bigStreams: big, tokens: this.tokens};
  }

  private async serve(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    if (req.url === '/state') {
      const {stepMs} = this.options;
      const batch = this.running.size;
      res.end(
        JSON.stringify({instance: 'flood', stepMs, batch, steps: this.steps}),
      );
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const body = JSON.parse(Buffer.concat(chunks).toString()) as GenerateBody;
    const id = `${body.requestId}#${body.attempt}`;
    if (req.url === '/cancel') {
      this.running.get(id)?.res.destroy();
      this.running.delete(id);
      res.end('{}');
      return;
    }
    res.write('{"cached":0}\n');
    res.on('close', () => this.running.delete(id));
    this.running.set(id, {
      id,
      res,
      big: body.prompt.startsWith('big'),
      maxOutput: body.maxOutput,
      phaseMs: this.startedStreams++ % this.options.stepMs,
      next: body.resumeOffset,
    });
  }

  /** Writes a token to each stream whose phase has passed since the last call. */
  private stepSpreadStreams(): void {
    const now = Math.floor(performance.now());
    while (this.lastSpreadMs < now) {
      this.lastSpreadMs += 1;
      const phase = this.lastSpreadMs % this.options.stepMs;
      for (const running of this.running.values()) {
        if (running.phaseMs === phase) this.writeToken(running);
      }
    }
  }

  private stepAllStreams(): void {
    this.steps += 1;
    for (const running of this.running.values()) {
      const times = running.big ? BIG_STREAM_SPEEDUP : 1;
      for (let i = 0; i < times; i++) this.writeToken(running);
    }
  }

  private writeToken(running: RunningStream): void {
    const {res, next, maxOutput} = running;
    if (next >= maxOutput) return;
    const t = [this.tokenText(running)];
    res.write(JSON.stringify({o: next, t}) + '\n');
    running.next += 1;
    this.tokens += 1;
    if (running.next < maxOutput) return;
    const last = {end: true, total: maxOutput, finish: 'stop'};
    res.end(JSON.stringify(last) + '\n');
    this.running.delete(running.id);
  }

  private tokenText({big, next}: RunningStream): string {
    const {bigTokenBytes, bigBytes} = this.options;
    const text = `<${next} ${monotonicMs().toFixed(3)}>`;
    if (!big) return text;
    const long = next * bigTokenBytes < bigBytes;
    return text.padEnd(long ? bigTokenBytes : SHORT_TOKEN_BYTES, '.');
  }
}

/** A flood engine in a process of its own. */
export class FloodProcess {
  private readonly child: ChildProcess;
  private readonly url: Promise<string>;
  private onState: ((state: FloodState) => void) | undefined;

  constructor(options: FloodOptions) {
    this.child = fork(__filename, [JSON.stringify(options)], {
      execArgv: ['--import', 'tsx'],
    });
    this.url = new Promise(done => {
      this.child.on('message', message => {
        if (typeof message === 'string') done(message);
        else this.onState?.(message as FloodState);
      });
    });
  }

  start(): Promise<string> {
    return this.url;
  }

  state(): Promise<FloodState> {
    return new Promise(done => {
      this.onState = done;
      this.child.send('state');
    });
  }

  stop(): void {
    this.child.kill('SIGKILL');
  }
}

/** Waits until a condition on the engine's state holds. */
export async function waitForState(
  engine: {state(): FloodState | Promise<FloodState>},
  holds: (state: FloodState) => boolean,
  what: string,
  timeoutMs: number,
): Promise<void> {
  const end = Date.now() + timeoutMs;
  while (!holds(await engine.state())) {
    if (Date.now() > end) throw new Error(`timed out waiting for ${what}`);
    await new Promise(done => setTimeout(done, PROBE_INTERVAL_MS / 10));
  }
}

/**
 * Waits until at most `running` big streams have been running for 2 s. A single
 * reading isn't enough: the number also drops for an instant while all of them
 * wait for credit before they have filled their sockets.
 */
export async function waitUntilPaused(
  engine: {state(): FloodState | Promise<FloodState>},
  running: number,
  what: string,
  timeoutMs: number,
): Promise<void> {
  const end = Date.now() + timeoutMs;
  let pausedSince = Date.now();
  while (Date.now() - pausedSince < PAUSED_FOR_MS) {
    if ((await engine.state()).bigStreams > running) pausedSince = Date.now();
    if (Date.now() > end) throw new Error(`timed out waiting for ${what}`);
    await new Promise(done => setTimeout(done, PROBE_INTERVAL_MS / 50));
  }
}

if (process.send && process.argv[1] === __filename) {
  const options = JSON.parse(process.argv[2]!) as FloodOptions;
  const engine = new FloodEngine(options);
  void engine.start().then(url => process.send!(url));
  process.on('message', () => process.send!(engine.state()));
  process.on('disconnect', () => process.exit());
}
