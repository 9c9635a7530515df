/**
 * Decides whether a request is retried, and what its caller is told if not.
 *
 * A request that must not run twice is retried only if it certainly did not
 * run: no byte of it was sent, or the endpoint said so. Others may run as
 * often as the route's number of attempts allows. `notRun` is a promise to the
 * caller, so it is given only if no attempt can have run.
 */
import {RequestKind} from './model';

export type AttemptOutcome =
  /** The connection could not be opened; nothing was sent. */
  | 'unsent'
  /** The endpoint said that it did not run the request. */
  | 'notRun'
  /** The endpoint answered with a failure; the request may have run. */
  | 'failed'
  /** The request was sent, but no complete answer arrived. */
  | 'broken';

export interface AttemptState {
  readonly kind: RequestKind;
  readonly resumable: boolean;
  readonly maxAttempts: number;
  /** Attempts that may have run. */
  readonly possibleRuns: number;
  /** Attempts with any outcome. */
  readonly attemptCount: number;
}

export type NextStep =
  | 'retry'
  /** Tell the caller that the request was not run. */
  | 'notRun'
  /** Tell the caller that the request may have run. */
  | 'unknown'
  /** Pass on the endpoint's own failure. */
  | 'deliver';

/**
 * Limit on the attempts of one request, including those that did not run. Each
 * retry takes one from the retry budget.
 */
const MAX_TRIES = 4;

/** With less time left a further attempt cannot get an answer, in ms. */
const MIN_TIME_LEFT_MS = 20;

export interface RetryConditions {
  /** Time until the request's deadline. */
  readonly leftMs: number;
  /** Whether the retry budget allows one more retry. */
  readonly withinBudget: boolean;
}

export function newAttemptState(
  kind: RequestKind,
  resumable: boolean,
  maxAttempts: number,
): AttemptState {
  return {kind, resumable, maxAttempts, possibleRuns: 0, attemptCount: 0};
}

export function countAttempt(
  attempts: AttemptState,
  outcome: AttemptOutcome,
): AttemptState {
  const mayHaveRun = outcome === 'failed' || outcome === 'broken';
  return {
    ...attempts,
    attemptCount: attempts.attemptCount + 1,
    possibleRuns: attempts.possibleRuns + (mayHaveRun ? 1 : 0),
  };
}

/** The next step after an attempt that `attempts` already counts. */
export function nextStep(
  attempts: AttemptState,
  outcome: AttemptOutcome,
  {leftMs, withinBudget}: RetryConditions,
): NextStep {
  const didNotRun = outcome === 'unsent' || outcome === 'notRun';
  const canRetry =
    attempts.attemptCount < MAX_TRIES &&
    leftMs >= MIN_TIME_LEFT_MS &&
    withinBudget;
  const mayRunAgain =
    attempts.possibleRuns === 0 ||
    (mayRepeat(attempts) && attempts.possibleRuns < attempts.maxAttempts);
  if (canRetry && mayRunAgain) return 'retry';
  if (outcome === 'failed') return 'deliver';
  if (didNotRun && attempts.possibleRuns === 0) return 'notRun';
  return 'unknown';
}

/** Whether the request may run more than once. */
function mayRepeat({kind, resumable}: AttemptState): boolean {
  return kind === 'idempotent' || (kind === 'stream' && resumable);
}
