/**
 * The retry budget of an entry.
 *
 * Retries are limited to a fraction of the first attempts within a sliding
 * window, plus a small floor. Otherwise the retries of a failing endpoint's
 * requests would multiply the load on the remaining endpoints.
 */

/** Attempts within one slot of the window. */
interface SlotCounts {
  readonly slot: number;
  readonly firstAttempts: number;
  readonly retries: number;
}

/** Attempts within the window, slot by slot, oldest first. */
export interface RetryState {
  readonly slots: readonly SlotCounts[];
}

export interface RetryBudget {
  /** Retries allowed for each first attempt. */
  readonly retryRatio: number;
  readonly retryFloorPerS: number;
  /** Length of the window over which attempts are counted. */
  readonly windowMs: number;
}

export interface RetryDecision {
  readonly state: RetryState;
  readonly allowed: boolean;
  /** First attempts within the window. */
  readonly firstAttempts: number;
  /** Retries within the window, without the one decided on. */
  readonly retries: number;
}

/** Number of slots into which the window is divided. */
const SLOTS_PER_WINDOW = 20;
const MS_PER_S = 1_000;

export const emptyRetryState: RetryState = {slots: []};

/** Counts a first attempt; `nowMs` is monotonic. */
export function countFirstAttempt(
  state: RetryState,
  budget: RetryBudget,
  nowMs: number,
): RetryState {
  return addCounts(state, budget, nowMs, 1, 0);
}

/**
 * Counts one retry against the budget if the budget allows it; `nowMs` is
 * monotonic.
 */
export function takeRetry(
  state: RetryState,
  budget: RetryBudget,
  nowMs: number,
): RetryDecision {
  const {firstAttempts, retries} = countsInWindow(state, budget, nowMs);
  const floor = (budget.retryFloorPerS * budget.windowMs) / MS_PER_S;
  const allowed = retries + 1 <= budget.retryRatio * firstAttempts + floor;
  const next = allowed ? addCounts(state, budget, nowMs, 0, 1) : state;
  return {state: next, allowed, firstAttempts, retries};
}

/**
 * The oldest slot lies only partly within the window. Its retries count and its
 * first attempts do not, so that the budget holds for every window.
 */
function countsInWindow(
  {slots}: RetryState,
  {windowMs}: RetryBudget,
  nowMs: number,
): Pick<SlotCounts, 'firstAttempts' | 'retries'> {
  const oldest = slotOf(nowMs, windowMs) - SLOTS_PER_WINDOW;
  let firstAttempts = 0;
  let retries = 0;
  for (const counts of slots) {
    if (counts.slot >= oldest) retries += counts.retries;
    if (counts.slot > oldest) firstAttempts += counts.firstAttempts;
  }
  return {firstAttempts, retries};
}

function addCounts(
  state: RetryState,
  {windowMs}: RetryBudget,
  nowMs: number,
  firstAttempts: number,
  retries: number,
): RetryState {
  const slot = slotOf(nowMs, windowMs);
  const kept = state.slots.filter(s => s.slot >= slot - SLOTS_PER_WINDOW);
  const last = kept.at(-1);
  if (last?.slot !== slot) {
    return {slots: [...kept, {slot, firstAttempts, retries}]};
  }
  const sum = {
    slot,
    firstAttempts: last.firstAttempts + firstAttempts,
    retries: last.retries + retries,
  };
  return {slots: [...kept.slice(0, -1), sum]};
}

function slotOf(nowMs: number, windowMs: number): number {
  return Math.floor((nowMs * SLOTS_PER_WINDOW) / windowMs);
}
