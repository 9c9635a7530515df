/**
 * The retry budget of an entry.
 *
 * Retries are limited to a fraction of the first attempts within a sliding
 * window, plus a small floor. Otherwise the retries of a failing endpoint's
 * requests would multiply the load on the remaining endpoints.
 */
import {Budgets} from '../rules/model';

/** Attempts within one second of wall time. */
interface SecondCounts {
  readonly second: number;
  readonly firstAttempts: number;
  readonly retries: number;
}

/** Attempts within the window, second by second, oldest first. */
export interface RetryState {
  readonly seconds: readonly SecondCounts[];
}

export type RetryBudget = Pick<Budgets, 'retryRatio' | 'retryFloorPerS'>;

/** Length of the window over which attempts are counted. */
export const RETRY_WINDOW_S = 10;
const MS_PER_S = 1_000;

export const emptyRetryState: RetryState = {seconds: []};

export function countFirstAttempt(state: RetryState, now: Date): RetryState {
  return addCounts(state, now, 1, 0);
}

export interface RetryDecision {
  readonly state: RetryState;
  readonly allowed: boolean;
  /** First attempts within the window. */
  readonly firstAttempts: number;
  /** Retries within the window, without the one decided on. */
  readonly retries: number;
}

/** Counts one retry against the budget if the budget allows it. */
export function takeRetry(
  state: RetryState,
  budget: RetryBudget,
  now: Date,
): RetryDecision {
  const recent = addCounts(state, now, 0, 0);
  const firstAttempts = sumOf(recent, s => s.firstAttempts);
  const retries = sumOf(recent, s => s.retries);
  const floor = budget.retryFloorPerS * RETRY_WINDOW_S;
  const allowed = retries + 1 <= budget.retryRatio * firstAttempts + floor;
  const next = allowed ? addCounts(recent, now, 0, 1) : recent;
  return {state: next, allowed, firstAttempts, retries};
}

function sumOf(state: RetryState, of: (s: SecondCounts) => number): number {
  return state.seconds.reduce((sum, s) => sum + of(s), 0);
}

function addCounts(
  state: RetryState,
  now: Date,
  firstAttempts: number,
  retries: number,
): RetryState {
  const second = Math.floor(now.getTime() / MS_PER_S);
  const kept = state.seconds.filter(s => s.second > second - RETRY_WINDOW_S);
  const last = kept.at(-1);
  // If the wall clock was set back, attempts count towards the newest second.
  if (last && last.second >= second) {
    const sum = {
      second: last.second,
      firstAttempts: last.firstAttempts + firstAttempts,
      retries: last.retries + retries,
    };
    return {seconds: [...kept.slice(0, -1), sum]};
  }
  return {seconds: [...kept, {second, firstAttempts, retries}]};
}
