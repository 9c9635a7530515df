/**
 * One attempt to send a request to an endpoint, over its own connection.
 *
 * An answer whose head is not valid counts as broken, like one that is no HTTP;
 * the handlers see only heads that can be passed on.
 *
 * If the connection does not open in time, nothing of the request was sent. If
 * the answer names another request, the attempt counts as broken, because it is
 * unknown what the endpoint did with this one.
 */
import http from 'node:http';
import net from 'node:net';
import {answerHeadFault} from '../kernel/answerhead';
import {InputPace} from '../kernel/inputpace';
import {MessageInput} from '../kernel/messageinput';
import {AnswerMetadata} from './headercodec';

export interface UpstreamRequest {
  /** `IP:port`. */
  readonly address: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
}

export interface AnswerHead {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly headers: http.IncomingHttpHeaders;
}

/** The last call is one of `end` and `broken`, unless `abort` comes first. */
export interface AttemptHandlers {
  head(head: AnswerHead): void;
  data(chunk: Buffer): void;
  /** The answer has arrived completely. */
  end(): void;
  /** `sent` is false if no byte of the request can have been sent. */
  broken(sent: boolean, reason: string): void;
}

export interface Attempt {
  /** Ends the attempt without calling its handlers again. */
  abort(): void;
  /** What was read already is still handed on. */
  pause(): void;
  resume(): void;
  /** Lets the next read of the answer wait for its turn. */
  pace(): void;
}

/**
 * Time limit for opening a connection. TCP resends a lost SYN only after a
 * second, so a new connection is faster.
 */
const CONNECT_TIMEOUT_MS = 250;

/** Limit on answers with a 1xx status before the answer to the request. */
const MAX_INTERIM_ANSWERS = 16;

export function startAttempt(
  target: UpstreamRequest,
  handlers: AttemptHandlers,
  pace: InputPace,
): Attempt {
  const [host = '', port = ''] = target.address.split(':');
  let settled = false;
  let connected = false;
  let wasReset = false;
  let interimAnswers = 0;
  let input: MessageInput | undefined;
  let socket: net.Socket | undefined;
  let request: http.ClientRequest | undefined;

  const timer = setTimeout(
    () => fail('connection timed out'),
    CONNECT_TIMEOUT_MS,
  );
  try {
    request = sendRequest();
  } catch (error) {
    // The path or a header is not valid. The caller does not hold the attempt
    // yet, so it learns of its end later.
    setImmediate(() => fail(String(error)));
  }

  function connect(): net.Socket {
    const opened = net.connect({host, port: Number(port), noDelay: true});
    socket = opened;
    opened.once('connect', () => {
      connected = true;
      clearTimeout(timer);
    });
    // A reset may appear as a normal end if its error was consumed earlier, but
    // a connection that was reset no longer has a remote address.
    opened.once('end', () => (wasReset = opened.remoteAddress === undefined));
    return opened;
  }

  function sendRequest(): http.ClientRequest {
    const sent = http.request({
      createConnection: connect,
      method: target.method,
      path: target.path,
      headers: target.headers as string[],
      setHost: false,
    });
    sent.on('error', error => fail(error.message));
    sent.on('response', handleResponse);
    sent.on('information', () => {
      interimAnswers += 1;
      if (interimAnswers > MAX_INTERIM_ANSWERS)
        fail('too many interim answers');
    });
    sent.on('close', () => fail('the connection closed'));
    sent.end(target.body);
    return sent;
  }

  function handleResponse(answer: http.IncomingMessage): void {
    if (settled) return void answer.destroy();
    input = new MessageInput(answer);
    const {statusCode = 0, rawHeaders, headers} = answer;
    const fault = answerHeadFault(statusCode, rawHeaders);
    if (fault !== undefined) return fail(fault);
    answer.on('data', (chunk: Buffer) => {
      if (!settled) handlers.data(chunk);
    });
    answer.on('end', () => {
      if (!answer.complete || wasReset) return fail('the answer ended early');
      finish(() => handlers.end());
    });
    answer.on('error', error => fail(error.message));
    answer.on('close', () => fail('the connection closed'));
    handlers.head({status: statusCode, rawHeaders, headers});
  }

  function finish(report: () => void): void {
    if (settled) return;
    settled = true;
    clearTimeout(timer);
    if (input) pace.end(input);
    request?.destroy();
    socket?.destroy();
    report();
  }

  function fail(reason: string): void {
    finish(() => handlers.broken(connected, reason));
  }

  return {
    abort: () => finish(() => undefined),
    pause: () => input?.pause('full'),
    resume: () => input?.resume('full'),
    pace: () => {
      if (input && !settled) pace.pause(input);
    },
  };
}

/**
 * Whether the answer names the request as its own. A faulty endpoint may repeat
 * a refusal of an earlier request, so that a refusal must name it too. A
 * request without an id is answered without one.
 */
export function isAnswerTo(answer: AnswerMetadata, requestId: string): boolean {
  return (answer.requestId ?? '') === requestId;
}
