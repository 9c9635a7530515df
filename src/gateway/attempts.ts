/**
 * Whether a request may be sent again, and what its caller is told if not.
 *
 * A request that must run once is sent again only where it is certain that
 * it did not run: no byte of it was sent, or the endpoint said so. Others may
 * run again within the route's number of attempts. `notRun` is a promise to
 * the caller, so it is given only if no attempt can have run.
 */
import {Kind} from './model';

export type Outcome =
  /** The connection could not be opened; nothing was sent. */
  | 'unsent'
  /** The endpoint said that it did not run the request. */
  | 'notRun'
  /** The endpoint ran the request and answered with a failure. */
  | 'failed'
  /** Sent, and no whole answer came. */
  | 'broken';

export interface Attempts {
  readonly kind: Kind;
  readonly resumable: boolean;
  readonly maxAttempts: number;
  /** Attempts that may have run. */
  readonly runs: number;
  /** Attempts of any outcome. */
  readonly tries: number;
}

export type Step =
  | 'again'
  /** Tell the caller that the request was not run. */
  | 'notRun'
  /** Tell the caller that it is not known whether it ran. */
  | 'unknown'
  /** Pass on the endpoint's own failure. */
  | 'deliver';

/**
 * Attempts that did not run are tried elsewhere this often; each may cost an
 * arrival of the retry budget.
 */
const MAX_TRIES = 4;

/** Time below which a further attempt cannot give an answer, in ms. */
const LEAST_LEFT_MS = 20;

export interface Circumstance {
  /** Time until the request's deadline. */
  readonly leftMs: number;
  /** Whether the retry budget has room for one more. */
  readonly withinBudget: boolean;
}

export function firstAttempt(
  kind: Kind,
  resumable: boolean,
  maxAttempts: number,
): Attempts {
  return {kind, resumable, maxAttempts, runs: 0, tries: 0};
}

export function counted(attempts: Attempts, outcome: Outcome): Attempts {
  const mayHaveRun = outcome === 'failed' || outcome === 'broken';
  return {
    ...attempts,
    tries: attempts.tries + 1,
    runs: attempts.runs + (mayHaveRun ? 1 : 0),
  };
}

/** The next step after an attempt, which `attempts` already counts. */
export function nextStep(
  attempts: Attempts,
  outcome: Outcome,
  {leftMs, withinBudget}: Circumstance,
): Step {
  const certain = outcome === 'unsent' || outcome === 'notRun';
  const possible =
    attempts.tries < MAX_TRIES && leftMs >= LEAST_LEFT_MS && withinBudget;
  const permitted =
    attempts.runs === 0 ||
    (mayRepeat(attempts) && attempts.runs < attempts.maxAttempts);
  if (possible && permitted) return 'again';
  if (outcome === 'failed') return 'deliver';
  if (certain && attempts.runs === 0) return 'notRun';
  return 'unknown';
}

/** Whether the request may run more than once. */
function mayRepeat({kind, resumable}: Attempts): boolean {
  return kind === 'idempotent' || (kind === 'stream' && resumable);
}
