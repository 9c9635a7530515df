/**
 * Runs attempts at a plain service over HTTP.
 *
 * Each attempt is one HTTP call. It is never retried here, because the sidecar
 * cannot know whether a call whose connection broke took effect. Each call has
 * its own connection: a faulty service may send an answer twice, and on a kept
 * connection the second would be taken for the answer to the next call.
 */
import net from 'node:net';
import got, {OptionsOfBufferResponseBody, RequestError, Response} from 'got';
import {answerHeadFault} from '../kernel/answerhead';
import {Clock} from '../kernel/clock';
import {Header} from '../wire/messages';
import * as calls from './callstats';
import {AnswerSink, Endpoint, newFrame, Job, RunningAttempt} from './endpoint';

/** Longest data of a frame. */
const CHUNK_BYTES = 65_536;
/** Limit on an answer, which is held until it is complete. */
const MAX_ANSWER_BYTES = 16_777_216;
const CALL_TIMEOUT_MS = 30_000;
const CONNECT_TIMEOUT_MS = 500;
const HTTP_PORT = 80;
const HTTPS_PORT = 443;
/** Headers that apply to one connection and are not passed on. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'content-length',
  'host',
  'keep-alive',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Error codes of connections that fail before anything is sent. */
const UNSENT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** The HTTP status with which an overloaded service refuses calls. */
const OVERLOADED_STATUS = 503;

export function plainService(url: string, clock: Clock): Endpoint {
  let stats = calls.noCallStats;
  /** A call broke, and no call or connection has succeeded since. */
  let connectionDoubtful = false;
  return {
    run(job, sink) {
      const startedMs = clock.elapsedMs();
      stats = calls.recordBegin(stats, startedMs);
      const onEnd = (end: CallEnd) => {
        const now = clock.elapsedMs();
        stats = recordEnd(stats, end, now - startedMs, now);
        if (end !== 'cancelled') connectionDoubtful = end === 'broke';
      };
      return callService(url, job, sink, onEnd);
    },
    async observe() {
      const mustConnect = connectionDoubtful;
      connectionDoubtful = false;
      try {
        if (mustConnect) await checkReachable(url);
      } catch (error) {
        connectionDoubtful = true;
        throw error;
      }
      const observed = calls.takeObservation(stats, clock.elapsedMs());
      stats = observed.calls;
      return observed.state;
    },
  };
}

/** Opens a connection and closes it; rejects if that fails. */
function checkReachable(url: string): Promise<void> {
  const {hostname, port, protocol} = new URL(url);
  const defaultPort = protocol === 'https:' ? HTTPS_PORT : HTTP_PORT;
  const socket = net.connect({
    host: hostname.replace(/^\[|\]$/g, ''),
    port: Number(port) || defaultPort,
    timeout: CONNECT_TIMEOUT_MS,
  });
  return new Promise<void>((resolve, reject) => {
    socket.on('connect', () => resolve());
    socket.on('error', reject);
    socket.on('timeout', () => reject(new Error('no connection in time')));
    socket.on('close', () => reject(new Error('connection closed')));
  }).finally(() => socket.destroy());
}

/** How a call ended; an overload status counts as broken. */
type CallEnd = 'answered' | 'broke' | 'cancelled';

function recordEnd(
  stats: calls.CallStats,
  end: CallEnd,
  tookMs: number,
  nowMs: number,
): calls.CallStats {
  switch (end) {
    case 'answered':
      return calls.recordAnswer(stats, tookMs, nowMs);
    case 'broke':
      return calls.recordBreak(stats, nowMs);
    case 'cancelled':
      return calls.recordCancel(stats, nowMs);
  }
}

function callService(
  url: string,
  job: Job,
  sink: AnswerSink,
  onEnd: (end: CallEnd) => void,
): RunningAttempt {
  const {method, path, body, headers} = job.start;
  const requestHeaders = headers.filter(
    h => !HOP_BY_HOP_HEADERS.has(h.name.toLowerCase()),
  );
  const controller = new AbortController();
  const options: OptionsOfBufferResponseBody = {
    method: method as OptionsOfBufferResponseBody['method'],
    headers: Object.fromEntries(requestHeaders.map(h => [h.name, h.value])),
    responseType: 'buffer',
    throwHttpErrors: false,
    followRedirect: false,
    decompress: false,
    retry: {limit: 0},
    timeout: {request: CALL_TIMEOUT_MS},
    signal: controller.signal,
    agent: {http: false, https: false},
    ...(body.length > 0 ? {body: Buffer.from(body)} : {}),
    allowGetBody: true,
  };
  let tooLarge = false;
  const call = got(`${url}${path}`, options);
  void call.on('downloadProgress', ({transferred}) => {
    if (transferred <= MAX_ANSWER_BYTES) return;
    tooLarge = true;
    controller.abort();
  });
  call.then(
    response => {
      const {statusCode, rawHeaders} = response;
      const fault = answerHeadFault(statusCode, rawHeaders);
      if (fault !== undefined) {
        onEnd('broke');
        return sink.failed('unknown', `service: ${fault}`);
      }
      onEnd(statusCode === OVERLOADED_STATUS ? 'broke' : 'answered');
      sendAnswer(job, sink, response);
    },
    (error: RequestError) => {
      if (tooLarge) {
        onEnd('broke');
        return sink.failed('unknown', 'service: answer too large');
      }
      onEnd(controller.signal.aborted ? 'cancelled' : 'broke');
      const run = UNSENT_ERROR_CODES.has(error.code) ? 'not-run' : 'unknown';
      sink.failed(run, `service: ${error.code}`);
    },
  );
  return {cancel: () => controller.abort()};
}

function sendAnswer(
  job: Job,
  sink: AnswerSink,
  response: Response<Buffer>,
): void {
  const {body, statusCode: status} = response;
  const headers = forwardedHeaders(response);
  const total = body.length;
  let offset = 0;
  do {
    const data = body.subarray(offset, offset + CHUNK_BYTES);
    const count = data.length;
    const end = offset + count === total;
    const parts = {offset, count, data, end, total: end ? total : 0};
    const head = offset === 0 ? {status, headers} : {};
    sink.frame(newFrame(job.start, {...parts, ...head}));
    offset += count;
  } while (offset < total);
}

function forwardedHeaders(response: Response<Buffer>): readonly Header[] {
  return Object.entries(response.headers)
    .filter(([name]) => !HOP_BY_HOP_HEADERS.has(name))
    .map(([name, value]) => ({name, value: String(value)}));
}
