/**
 * Stand-in for a caller that keeps to no limit: writes bytes to a connection, as
 * fast as they are taken, and reads answers only if it is told to.
 */
import net from 'node:net';

/** What a connection sends; a function gives the pieces one after another. */
export type Bytes = Buffer | (() => Buffer | undefined);

export class RawCaller {
  private readonly socket: net.Socket;
  private sent = 0;
  private taken = false;
  private isClosed = false;
  private received = '';

  constructor(
    host: string,
    port: number,
    private readonly parts: readonly Bytes[],
    reads = true,
  ) {
    this.socket = net.connect({host, port, noDelay: true});
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => (this.isClosed = true));
    if (reads) {
      this.socket.on('data', chunk => {
        this.received = (this.received + String(chunk)).slice(-1_000);
      });
    }
    this.socket.once('connect', () => void this.send());
  }

  /** Whether nothing is left to send, or the connection has been closed. */
  get isDone(): boolean {
    return this.isClosed || this.taken;
  }

  get closed(): boolean {
    return this.isClosed;
  }

  /** Bytes that the system has taken from this caller. */
  get progress(): number {
    return this.sent;
  }

  /** The last bytes received. */
  get answer(): string {
    return this.received;
  }

  close(): void {
    this.socket.destroy();
  }

  private async send(): Promise<void> {
    for (const part of this.parts) {
      if (typeof part !== 'function') {
        await this.write(part);
        continue;
      }
      for (let piece = part(); piece && !this.isClosed; piece = part()) {
        await this.write(piece);
      }
    }
    this.taken = true;
  }

  private write(bytes: Buffer): Promise<void> {
    return new Promise(done => {
      if (this.isClosed) return done();
      this.socket.once('close', done);
      this.socket.write(bytes, () => {
        this.socket.off('close', done);
        this.sent += bytes.length;
        done();
      });
    });
  }
}

/** The same piece so many times, without holding them all. */
export function repeated(piece: Buffer, times: number): Bytes {
  let left = times;
  return () => (left-- > 0 ? piece : undefined);
}

/** `data` as one chunk of a chunked body. */
export function chunk(data: Buffer): Buffer {
  const size = Buffer.from(`${data.length.toString(16)}\r\n`);
  return Buffer.concat([size, data, Buffer.from('\r\n')]);
}

const QUIET_MS = 500;
const TIMEOUT_MS = 25_000;
const POLL_MS = 20;

/** Waits until all callers have sent everything, or none makes progress. */
export async function untilQuiet(callers: readonly RawCaller[]): Promise<void> {
  const endMs = Date.now() + TIMEOUT_MS;
  let before = -1;
  let sinceMs = Date.now();
  while (Date.now() < endMs) {
    const state = callers.reduce((sum, c) => sum + c.progress, 0);
    if (state !== before) {
      before = state;
      sinceMs = Date.now();
    }
    const isStill = Date.now() - sinceMs > QUIET_MS;
    if (isStill) return;
    await new Promise(done => setTimeout(done, POLL_MS));
  }
}
