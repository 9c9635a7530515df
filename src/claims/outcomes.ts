/**
 * A sidecar's record of the outcome of each attempt that it has seen or has
 * been asked about.
 *
 * Only the sidecar sends work to its endpoint, so it knows for certain what
 * was not run. When an entry asks about an attempt that the sidecar has not
 * seen, it keeps a tombstone: a start that arrives later is refused, so that
 * the answer "not run" stays true.
 *
 * The memory for outcomes is bounded. Request ids are UUIDs of version 7 and
 * carry the time at which they were created. Outcomes are evicted in the order
 * of that time, all those of one second together, and the horizon rises to the
 * end of that second. The outcome of an attempt that was created at or before
 * the horizon may have been evicted. If none is found for it, its start is
 * refused and an ask is answered `unknown`. Only the times in the ids are
 * compared, so it doesn't matter whose clock is right. Running attempts are
 * never evicted.
 */
import {List, Map} from 'immutable';
import {Answer, AttemptRef, Header} from '../wire/messages';

export interface RecordedAnswer {
  readonly status: number;
  readonly body: Uint8Array;
  readonly headers: readonly Header[];
}

export type AttemptOutcome =
  | {readonly kind: 'running'; readonly sinceMs: number}
  | {
      readonly kind: 'ran';
      readonly sinceMs: number;
      /** Absent when the answer is too large to keep. */
      readonly answer?: RecordedAnswer;
    }
  /** The attempt was sent to the endpoint; whether it ran is not known. */
  | {readonly kind: 'failed'; readonly sinceMs: number}
  | {readonly kind: 'tombstone'; readonly sinceMs: number};

export interface OutcomeLimits {
  /** Younger outcomes are only evicted when `maxBytes` is exceeded. */
  readonly retainMs: number;
  /** Memory for all outcomes with their answers. */
  readonly maxBytes: number;
  /** A larger answer is not kept; an ask for it is answered `unknown`. */
  readonly maxAnswerBytes: number;
}

/** Ended attempts whose ids were created in the same second. */
interface Bucket {
  readonly keys: List<string>;
  /** When an attempt was last added. */
  readonly lastChangeMs: number;
}

export interface OutcomeState {
  readonly limits: OutcomeLimits;
  readonly outcomes: Map<string, AttemptOutcome>;
  /** By the second in which the request id was created. */
  readonly buckets: Map<number, Bucket>;
  readonly bytes: number;
  /** Outcomes of attempts created at or before this may have been evicted. */
  readonly horizonMs: number;
  readonly lastPruneMs: number;
}

/** Whether an attempt may start, and its outcome as an ask would report it. */
export interface BeginResult {
  readonly state: OutcomeState;
  readonly allowed: boolean;
  readonly knownOutcome: Answer['outcome'];
}

/** Answers are kept for much longer than a platform outage of ten minutes. */
export const OUTCOME_LIMITS: OutcomeLimits = {
  retainMs: 1_800_000,
  maxBytes: 33_554_432,
  maxAnswerBytes: 4_194_304,
};

const BUCKET_SPAN_MS = 1_000;
const PRUNE_INTERVAL_MS = 1_000;
/** Memory of one outcome besides its answer. */
const OUTCOME_OVERHEAD_BYTES = 400;
const EMPTY = new Uint8Array(0);

export function newOutcomeState(limits: OutcomeLimits): OutcomeState {
  return {
    limits,
    outcomes: Map(),
    buckets: Map(),
    bytes: 0,
    horizonMs: -1,
    lastPruneMs: 0,
  };
}

export const emptyOutcomes: OutcomeState = newOutcomeState(OUTCOME_LIMITS);

/**
 * Marks an attempt as running. This is refused if the attempt has an outcome
 * already, or had one that may have been evicted.
 */
export function beginAttempt(
  state: OutcomeState,
  ref: AttemptRef,
  now: Date,
): BeginResult {
  const found = state.outcomes.get(attemptKey(ref));
  if (found)
    return {state, allowed: false, knownOutcome: reportedOutcome(found)};
  if (mayHaveBeenEvicted(state, ref)) {
    return {state, allowed: false, knownOutcome: 'unknown'};
  }
  const running: AttemptOutcome = {kind: 'running', sinceMs: now.getTime()};
  return {
    state: prune(setOutcome(state, ref, running), now),
    allowed: true,
    knownOutcome: 'running',
  };
}

/** Records an attempt that ran; `answer` is undefined if it is incomplete. */
export function finishAttempt(
  state: OutcomeState,
  ref: AttemptRef,
  answer: RecordedAnswer | undefined,
  now: Date,
): OutcomeState {
  const sinceMs = now.getTime();
  const kept = answer && answerBytes(answer) <= state.limits.maxAnswerBytes;
  const ran: AttemptOutcome = {kind: 'ran', sinceMs, ...(kept ? {answer} : {})};
  return endAttempt(state, ref, ran, now);
}

/**
 * Records an attempt that failed at the endpoint. `not-run` is only for one
 * that certainly did not reach it.
 */
export function failAttempt(
  state: OutcomeState,
  ref: AttemptRef,
  run: 'not-run' | 'unknown',
  now: Date,
): OutcomeState {
  const kind = run === 'not-run' ? 'tombstone' : 'failed';
  return endAttempt(state, ref, {kind, sinceMs: now.getTime()}, now);
}

/** Answers an entry's ask; an attempt that was never seen gets a tombstone. */
export function answerAsk(
  state: OutcomeState,
  ref: AttemptRef,
  now: Date,
): {readonly state: OutcomeState; readonly answer: Answer} {
  const {requestId, attempt} = ref;
  const emptyAnswer = {requestId, attempt, status: 0, body: EMPTY, headers: []};
  const found = state.outcomes.get(attemptKey(ref));
  if (found) {
    const recorded = found.kind === 'ran' ? found.answer : undefined;
    return {
      state,
      answer: {...emptyAnswer, ...recorded, outcome: reportedOutcome(found)},
    };
  }
  if (mayHaveBeenEvicted(state, ref)) {
    return {state, answer: {...emptyAnswer, outcome: 'unknown'}};
  }
  const tombstone: AttemptOutcome = {kind: 'tombstone', sinceMs: now.getTime()};
  const next = endAttempt(state, ref, tombstone, now);
  return {state: next, answer: {...emptyAnswer, outcome: 'not-run'}};
}

/**
 * The time at which a request id was created, in milliseconds. An id that is
 * not a UUID of version 7 counts as older than any other.
 */
export function requestIdTimeMs(requestId: string): number {
  const hex = requestId.replaceAll('-', '');
  return /^[0-9a-f]{12}7/i.test(hex) ? parseInt(hex.slice(0, 12), 16) : 0;
}

/**
 * The outcome that an ask is answered with. An attempt whose answer was not
 * kept is reported as `unknown`, since its answer can't be replayed.
 */
function reportedOutcome(outcome: AttemptOutcome): Answer['outcome'] {
  switch (outcome.kind) {
    case 'running':
      return 'running';
    case 'ran':
      return outcome.answer ? 'ran' : 'unknown';
    case 'failed':
      return 'unknown';
    case 'tombstone':
      return 'not-run';
  }
}

function attemptKey({requestId, attempt}: AttemptRef): string {
  return `${requestId}#${attempt}`;
}

function mayHaveBeenEvicted(
  state: OutcomeState,
  {requestId}: AttemptRef,
): boolean {
  return requestIdTimeMs(requestId) <= state.horizonMs;
}

function setOutcome(
  state: OutcomeState,
  ref: AttemptRef,
  outcome: AttemptOutcome,
): OutcomeState {
  const replacedBytes = outcomeBytes(state.outcomes.get(attemptKey(ref)));
  return {
    ...state,
    outcomes: state.outcomes.set(attemptKey(ref), outcome),
    bytes: state.bytes - replacedBytes + outcomeBytes(outcome),
  };
}

/**
 * Sets a final outcome; one that was set before stays. Only ended attempts are
 * in buckets, so only they can be evicted.
 */
function endAttempt(
  state: OutcomeState,
  ref: AttemptRef,
  outcome: AttemptOutcome,
  now: Date,
): OutcomeState {
  const found = state.outcomes.get(attemptKey(ref));
  if (found && found.kind !== 'running') return state;
  const second = Math.floor(requestIdTimeMs(ref.requestId) / BUCKET_SPAN_MS);
  const keys = state.buckets.get(second)?.keys ?? List<string>();
  const bucket = {
    keys: keys.push(attemptKey(ref)),
    lastChangeMs: now.getTime(),
  };
  const buckets = state.buckets.set(second, bucket);
  return prune({...setOutcome(state, ref, outcome), buckets}, now);
}

function prune(state: OutcomeState, now: Date): OutcomeState {
  const nowMs = now.getTime();
  let next = state;
  if (nowMs - state.lastPruneMs >= PRUNE_INTERVAL_MS) {
    next = {...pruneExpired(state, nowMs), lastPruneMs: nowMs};
  }
  while (next.bytes > state.limits.maxBytes && !next.buckets.isEmpty()) {
    next = evictBucket(next, next.buckets.keySeq().min()!);
  }
  return next;
}

/**
 * A bucket expires when both its ids and its last change are old enough, so an
 * entry whose clock is ahead cannot raise the horizon past the ids of others.
 */
function pruneExpired(state: OutcomeState, nowMs: number): OutcomeState {
  const beforeMs = nowMs - state.limits.retainMs;
  return state.buckets
    .filter(
      ({lastChangeMs}, second) =>
        lastChangeMs < beforeMs && bucketEndMs(second) < beforeMs,
    )
    .keySeq()
    .reduce(evictBucket, state);
}

function evictBucket(state: OutcomeState, second: number): OutcomeState {
  const keys = state.buckets.get(second)!.keys;
  const freedBytes = keys.reduce(
    (sum, k) => sum + outcomeBytes(state.outcomes.get(k)),
    0,
  );
  return {
    ...state,
    outcomes: state.outcomes.deleteAll(keys),
    buckets: state.buckets.delete(second),
    bytes: state.bytes - freedBytes,
    horizonMs: Math.max(state.horizonMs, bucketEndMs(second)),
  };
}

/** The last millisecond of a bucket. */
function bucketEndMs(second: number): number {
  return (second + 1) * BUCKET_SPAN_MS - 1;
}

function outcomeBytes(outcome: AttemptOutcome | undefined): number {
  if (!outcome) return 0;
  const answer = outcome.kind === 'ran' ? outcome.answer : undefined;
  return OUTCOME_OVERHEAD_BYTES + (answer ? answerBytes(answer) : 0);
}

function answerBytes({body, headers}: RecordedAnswer): number {
  return headers.reduce(
    (sum, h) => sum + h.name.length + h.value.length,
    body.length,
  );
}
