/**
 * Serves explanations of routing over HTTP.
 *
 * Failure: the port is reachable by callers that nobody controls. A query is
 * bounded in size and checked, and explanations take at most a tenth of the
 * processor's time, so that a flood of queries does not slow down requests.
 */
import http from 'node:http';
import * as z from 'zod';
import {Clock} from '../kernel/clock';
import {Explanation, RequestDescription} from './explanation';

/** An account that the configuration does not contain. */
export interface UnknownAccount {
  readonly kind: 'unknown account';
}

export interface ExplainDependencies {
  readonly explain: (
    request: RequestDescription,
  ) => Explanation | UnknownAccount;
  readonly clock: Clock;
}

/** Bound on the path and query of a call, in characters. */
const MAX_TARGET_CHARACTERS = 8_192;
const MAX_HOST_CHARACTERS = 300;
const MAX_PATH_CHARACTERS = 4_096;
const MAX_ACCOUNT_CHARACTERS = 200;
const MAX_NUMBER = 1e9;
/** The data path reads as many parts of a prompt, and ids of that length. */
const MAX_PARTS = 16;
const MAX_PART_CHARACTERS = 64;
const MAX_PART_TOKENS = 1_000_000;

/** After an explanation the next may begin when this many times as long is over. */
const PAUSE_FACTOR = 9;

const number = z
  .string()
  .regex(/^\d{1,10}$/, 'not a whole number')
  .transform(Number)
  .refine(n => n <= MAX_NUMBER, 'too large');

const partSchema = z.object({
  id: z.string().min(1).max(MAX_PART_CHARACTERS),
  tokens: z.number().int().min(0).max(MAX_PART_TOKENS),
});

/** Reads `ID` or `ID:TOKENS`. */
function parsePart(text: string): {
  readonly id: string;
  readonly tokens: number;
} {
  const [id = '', tokens = '0'] = text.split(':');
  return {id, tokens: Number(tokens)};
}

const schema = z.strictObject({
  host: z.string().min(1).max(MAX_HOST_CHARACTERS),
  path: z.string().startsWith('/').max(MAX_PATH_CHARACTERS),
  account: z.string().min(1).max(MAX_ACCOUNT_CHARACTERS).optional(),
  'deadline-ms': number.optional(),
  'prompt-tokens': number.optional(),
  parts: z
    .string()
    .transform(text => text.split(',').map(parsePart))
    .pipe(z.array(partSchema).max(MAX_PARTS))
    .optional(),
});

/** Reads a query; the result is a message if it is not valid. */
export function parseExplainQuery(query: string): RequestDescription | string {
  const values = new Map<string, string>();
  for (const [name, value] of new URLSearchParams(query)) {
    if (values.has(name)) return 'a parameter is given twice';
    values.set(name, value);
  }
  const read = schema.safeParse(Object.fromEntries(values));
  if (!read.success) {
    // The names of unknown parameters are not repeated; they may be keys.
    const [issue] = read.error.issues;
    return issue?.code === 'unrecognized_keys'
      ? 'unknown parameter'
      : `${issue?.path.join('.')}: ${issue?.message}`;
  }
  const {host, path, account, parts = []} = read.data;
  return {
    host,
    path,
    account,
    deadlineMs: read.data['deadline-ms'],
    promptTokens: read.data['prompt-tokens'],
    parts,
  };
}

/** Answers calls for an explanation; errors are JSON with `error`. */
export class ExplainHandler {
  private nextMs = -Infinity;

  constructor(private readonly deps: ExplainDependencies) {}

  handle(req: http.IncomingMessage, res: http.ServerResponse): void {
    req.resume();
    const target = req.url ?? '';
    if (req.method !== 'GET') return fail(res, 405, 'only GET is served');
    if (target.length > MAX_TARGET_CHARACTERS)
      return fail(res, 414, 'query too long');
    const at = target.indexOf('?');
    const request = parseExplainQuery(at < 0 ? '' : target.slice(at + 1));
    if (typeof request === 'string') return fail(res, 400, request);
    const {clock, explain} = this.deps;
    const startMs = clock.elapsedMs();
    if (startMs < this.nextMs) return fail(res, 429, 'busy; try again');
    const result = explain(request);
    if ('kind' in result) fail(res, 404, 'unknown account');
    else answer(res, 200, result);
    const endMs = clock.elapsedMs();
    this.nextMs = endMs + (endMs - startMs) * PAUSE_FACTOR;
  }
}

function fail(res: http.ServerResponse, status: number, error: string): void {
  answer(res, status, {error});
}

function answer(res: http.ServerResponse, status: number, body: object): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  res.end(text);
}
