/**
 * The format of claim rows in the platform's table.
 *
 * Row keys are `claim/<account>/<service>/<key>` with each part URI-encoded,
 * so that a caller's key with a slash in it cannot name another account's row.
 * Answers with a body of up to 16 KiB are stored in the row. Larger bodies are
 * in the object store, under their SHA-256.
 */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {answerHeadFault} from '../kernel/answerhead';
import {Row} from '../platform/client';
import {RecordedAnswer} from './outcomes';

export const CLAIM_PREFIX = 'claim/';

const header = z.object({name: z.string(), value: z.string()});

const storedAnswer = z
  .object({
    status: z.number().int(),
    headers: z.array(header),
    /** Base64; absent when the body is in the object store. */
    body: z.string().optional(),
    /** Hex SHA-256 under which the object store has the body. */
    hash: z.string().optional(),
  })
  .refine(({status, headers}) => {
    const rawHeaders = headers.flatMap(({name, value}) => [name, value]);
    return answerHeadFault(status, rawHeaders) === undefined;
  }, 'not the head of an answer');

const claimRow = z.object({
  state: z.enum(['claimed', 'done', 'released', 'unknown']),
  bodyHash: z.string(),
  /** The number of claims of the key so far. */
  attempt: z.number().int(),
  /** Request id and attempt under which the sidecar knows the holder's run. */
  requestId: z.string(),
  requestAttempt: z.number().int(),
  holder: z.string(),
  sidecar: z.string(),
  incarnation: z.string(),
  /** Wall time of the last change, in milliseconds. */
  changedMs: z.number(),
  answer: storedAnswer.optional(),
  /** In state `unknown`: the sidecar can no longer tell the outcome. */
  lost: z.boolean().optional(),
});

export type StoredAnswer = Readonly<z.infer<typeof storedAnswer>>;
export type ClaimRow = Readonly<z.infer<typeof claimRow>>;

/** A claim row with its version; an absent row has no `row` and version 0. */
export interface StoredRow {
  readonly version: number;
  readonly row: ClaimRow | undefined;
}

/** The outcome of one compare-and-set. */
export type TableWriteOutcome =
  | {readonly kind: 'done'}
  | {readonly kind: 'conflict'; readonly row: StoredRow}
  /** The write may have taken effect, or may still do so. */
  | {readonly kind: 'unknown'}
  /** The write did not take effect and will not. */
  | {readonly kind: 'unavailable'};

export type TableReadOutcome =
  | {readonly kind: 'row'; readonly row: StoredRow}
  | {readonly kind: 'unavailable'};

export interface KeyParts {
  readonly account: string;
  readonly service: string;
  readonly key: string;
}

export function rowKey({account, service, key}: KeyParts): string {
  const parts = [account, service, key].map(encodeURIComponent);
  return CLAIM_PREFIX + parts.join('/');
}

export function parseRowKey(rowKeyText: string): KeyParts {
  const parts = rowKeyText.slice(CLAIM_PREFIX.length).split('/');
  const [account, service, key] = parts.map(decodeURIComponent);
  return {account: account ?? '', service: service ?? '', key: key ?? ''};
}

/** Throws if the row is not a valid claim row. */
export function parseClaimRow({version, value}: Row): StoredRow {
  if (value === null) return {version, row: undefined};
  return {version, row: claimRow.parse(value)};
}

const MAX_INLINE_BODY_BYTES = 16_384;

/** A body that is too large for a row and goes to the object store. */
export interface LargeBody {
  readonly hash: string;
  /** Base64. */
  readonly text: string;
}

export function encodeAnswer(answer: RecordedAnswer): {
  readonly answer: StoredAnswer;
  readonly large?: LargeBody;
} {
  const {status} = answer;
  const headers = [...answer.headers];
  const text = Buffer.from(answer.body).toString('base64');
  if (answer.body.length <= MAX_INLINE_BODY_BYTES) {
    return {answer: {status, headers, body: text}};
  }
  const hash = createHash('sha256').update(answer.body).digest('hex');
  return {answer: {status, headers, hash}, large: {hash, text}};
}

/** Undefined if the object is missing or does not match its hash. */
export function decodeAnswer(
  stored: StoredAnswer,
  objectText: string | undefined,
): RecordedAnswer | undefined {
  const {status, headers, hash} = stored;
  const text = hash === undefined ? stored.body : objectText;
  if (text === undefined) return undefined;
  const body = new Uint8Array(Buffer.from(text, 'base64'));
  const hashMatches =
    hash === undefined ||
    createHash('sha256').update(body).digest('hex') === hash;
  return hashMatches ? {status, headers, body} : undefined;
}
