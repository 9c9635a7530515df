/**
 * Runs attempts at a model engine over HTTP.
 *
 * `POST /generate` answers with one JSON object per line: first the number of
 * prompt tokens found in the prefix cache, then tokens with their offset, and
 * last the end with the total. `POST /cancel` stops a request; `GET /state`
 * reports the engine's instance and its last step. Answers are read with
 * Node's own HTTP client, because reading them takes most of a sidecar's CPU
 * time and memory.
 */
import http from 'node:http';
import got from 'got';
import {z} from 'zod';
import {ByteCollector} from '../kernel/bytecollector';
import {limitDownload} from '../kernel/downloadlimit';
import {
  AnswerSink,
  Endpoint,
  EndpointState,
  newFrame,
  Job,
  RunningAttempt,
} from './endpoint';

const stateSchema = z.object({
  instance: z.string(),
  stepMs: z.number(),
  batch: z.number(),
  steps: z.number(),
});

/** A line of the answer: cached prompt tokens, tokens at an offset, the end. */
type AnswerLine =
  | {readonly cached: number}
  | {readonly o: number; readonly t: readonly string[]}
  | {readonly end: true; readonly total: number; readonly finish: string};

/** Cancel requests are short, so they share a few connections. */
const cancelAgent = new http.Agent({keepAlive: true, maxSockets: 8});

const OBSERVE_TIMEOUT_MS = 500;
const CANCEL_TIMEOUT_MS = 2_000;
const MAX_STATE_BYTES = 65_536;
/** Longest line that comes in pieces. */
const MAX_LINE_BYTES = 1_048_576;
const NEWLINE = 0x0a;

export function modelEngine(url: string): Endpoint {
  return {
    run: (job, sink) => generate(url, job, sink),
    observe: () => observe(url),
  };
}

const stateClient = got.extend(limitDownload(MAX_STATE_BYTES));

async function observe(url: string): Promise<EndpointState> {
  const answer = await stateClient(`${url}/state`, {
    timeout: {request: OBSERVE_TIMEOUT_MS},
    retry: {limit: 0},
  }).json();
  return stateSchema.parse(answer);
}

function generate(url: string, job: Job, sink: AnswerSink): RunningAttempt {
  const {start, offer} = job;
  const {attempt, resumeOffset} = start;
  // Each run has its own id, so that a late cancel of an earlier run cannot
  // stop this one.
  const requestId = runId(start.requestId, job.run);
  const json = {
    requestId,
    attempt,
    prompt: Buffer.from(start.body).toString(),
    promptTokens: offer.promptTokens,
    maxOutput: offer.maxOutputTokens,
    resumeOffset,
    priority: offer.priority,
  };
  let answerEnded = false;
  const fail = (reason: string) => {
    if (answerEnded) return;
    answerEnded = true;
    sink.failed('unknown', `engine: ${reason}`);
  };
  const request = http.request(`${url}/generate`, {
    method: 'POST',
    // Answers do not name their request, so each has its own connection.
    agent: false,
    headers: {'content-type': 'application/json'},
  });
  request.on('error', error => fail(error.message));
  request.on('response', response => {
    if (response.statusCode !== 200) {
      response.destroy();
      fail(`status ${response.statusCode}`);
      return;
    }
    readAnswer(response, job, {
      frame(frame) {
        if (answerEnded) return;
        answerEnded = frame.end;
        sink.frame(frame);
      },
      failed: (run, reason) => fail(reason),
    });
  });
  request.end(JSON.stringify(json));
  return {
    cancel() {
      answerEnded = true;
      request.destroy();
      cancel(url, requestId, attempt);
    },
  };
}

function runId(requestId: string, run: number | undefined): string {
  return run === undefined ? requestId : `${requestId}/${run}`;
}

/**
 * Cancels a run, with one retry. Uses Node's own HTTP client, because every
 * pause of a stream sends a cancel.
 */
function cancel(
  url: string,
  requestId: string,
  attempt: number,
  mayRetry = true,
): void {
  const request = http.request(`${url}/cancel`, {
    method: 'POST',
    agent: cancelAgent,
    headers: {'content-type': 'application/json'},
    timeout: CANCEL_TIMEOUT_MS,
  });
  request.on('response', response => response.resume());
  request.on('timeout', () => request.destroy(new Error('timeout')));
  request.on('error', () => {
    if (mayRetry) cancel(url, requestId, attempt, false);
  });
  request.end(JSON.stringify({requestId, attempt}));
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

/**
 * Reads one line; throws if it is not valid. It is checked by hand, because this
 * runs for every token.
 */
function parseLine(text: string): AnswerLine {
  const line = JSON.parse(text) as Partial<
    Record<'cached' | 'o' | 't' | 'end' | 'total' | 'finish', unknown>
  >;
  const {cached, o, t, end, total, finish} = line;
  if (isCount(cached)) return {cached};
  if (end === true && isCount(total) && typeof finish === 'string')
    return {end, total, finish};
  const isText =
    Array.isArray(t) && t.every(token => typeof token === 'string');
  if (isCount(o) && isText) return {o, t: t as string[]};
  throw new Error('a line is not valid');
}

function readAnswer(
  response: http.IncomingMessage,
  job: Job,
  sink: AnswerSink,
): void {
  const partialLine = new ByteCollector(MAX_LINE_BYTES);
  let cachedTokens = 0;
  const read = (line: AnswerLine) => {
    if ('cached' in line) {
      cachedTokens = line.cached;
    } else if ('end' in line) {
      const {total, finish} = line;
      const parts = {offset: total, end: true, total, finish};
      sink.frame(newFrame(job.start, parts));
    } else {
      sink.frame(tokenFrame(job, line.o, line.t, cachedTokens));
    }
  };
  const keep = (piece: Buffer) => {
    if (partialLine.length + piece.length > MAX_LINE_BYTES)
      throw new Error('a line is too long');
    partialLine.append(piece);
  };
  const endLine = (piece: Buffer): string => {
    if (partialLine.length === 0) return piece.toString();
    keep(piece);
    return partialLine.take().toString();
  };
  response.on('data', (chunk: Buffer) => {
    try {
      let start = 0;
      for (
        let end = chunk.indexOf(NEWLINE);
        end >= 0;
        end = chunk.indexOf(NEWLINE, start)
      ) {
        read(parseLine(endLine(chunk.subarray(start, end))));
        start = end + 1;
      }
      keep(chunk.subarray(start));
    } catch (error) {
      sink.failed('unknown', String(error));
      response.destroy();
    }
  });
  response.on('error', error => sink.failed('unknown', error.message));
  // After a complete answer, the sink ignores this.
  response.on('close', () => sink.failed('unknown', 'answer ended early'));
}

function tokenFrame(
  job: Job,
  offset: number,
  tokens: readonly string[],
  cachedTokens: number,
) {
  const pieces = tokens.map(token => Buffer.from(token));
  return newFrame(job.start, {
    offset,
    count: pieces.length,
    data: pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces),
    lengths: pieces.map(piece => piece.length),
    cachedTokens,
  });
}
