/**
 * One attempt of a request at an endpoint, over a connection of its own.
 *
 * Where the connection does not open in time, nothing of the request was sent.
 * An answer that names another request is not this one's: the attempt counts
 * as broken, because it is not known what the endpoint did with the request.
 */
import http from 'node:http';
import net from 'node:net';
import {Answer} from './protocol';

export interface Target {
  /** `IP:port`. */
  readonly address: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
}

export interface Head {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly headers: http.IncomingHttpHeaders;
}

/** Calls end with exactly one of `end` and `broken`, or with `abort`. */
export interface AttemptHandlers {
  head(head: Head): void;
  data(chunk: Buffer): void;
  /** The whole answer has arrived. */
  end(): void;
  /** `sent` is false where no byte of the request can have arrived. */
  broken(sent: boolean, reason: string): void;
}

export interface Attempt {
  /** Ends the attempt without a further call of its handlers. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/**
 * Longest time for a connection to open. A lost opening packet is sent again
 * after a second, so a new connection is sooner.
 */
const CONNECT_MS = 250;

export function startAttempt(
  target: Target,
  handlers: AttemptHandlers,
): Attempt {
  const [host = '', port = ''] = target.address.split(':');
  let over = false;
  let connected = false;
  let reset = false;
  let response: http.IncomingMessage | undefined;

  const socket = net.connect({host, port: Number(port), noDelay: true});
  const timer = setTimeout(() => fail('connection timed out'), CONNECT_MS);
  socket.once('connect', () => {
    connected = true;
    clearTimeout(timer);
  });
  // A reset can read as an orderly end where the error was consumed before; a
  // connection that was reset has no peer any more.
  socket.once('end', () => (reset = socket.remoteAddress === undefined));
  const request = http.request({
    createConnection: () => socket,
    method: target.method,
    path: target.path,
    headers: target.headers as string[],
    setHost: false,
  });
  request.on('error', error => fail(error.message));
  request.on('response', answer => {
    if (over) return void answer.destroy();
    response = answer;
    const {statusCode = 0, rawHeaders, headers} = answer;
    answer.on('data', (chunk: Buffer) => {
      if (!over) handlers.data(chunk);
    });
    answer.on('end', () => {
      if (!answer.complete || reset) return fail('the answer ended early');
      finish(() => handlers.end());
    });
    answer.on('error', error => fail(error.message));
    answer.on('close', () => fail('the connection closed'));
    handlers.head({status: statusCode, rawHeaders, headers});
  });
  request.on('close', () => fail('the connection closed'));
  request.end(target.body);

  function finish(report: () => void): void {
    if (over) return;
    over = true;
    clearTimeout(timer);
    request.destroy();
    socket.destroy();
    report();
  }

  function fail(reason: string): void {
    finish(() => handlers.broken(connected, reason));
  }

  return {
    abort: () => finish(() => undefined),
    pause: () => void response?.pause(),
    resume: () => void response?.resume(),
  };
}

/** Whether an answer belongs to the request, as far as it says so. */
export function belongsTo(answer: Answer, requestId: string): boolean {
  return answer.requestId === requestId;
}
