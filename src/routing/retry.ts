/**
 * The retry budget of an entry.
 *
 * Retries are limited to a fraction of the first attempts within a sliding
 * window. Otherwise the retries of a failing endpoint's requests would multiply
 * the load on the remaining endpoints.
 *
 * Retries are earned by the entry's own first attempts, so the budgets of all
 * entries add up to the same fraction of all first attempts, however many
 * entries there are, whether they hear each other and however often they
 * restart. An entry with few requests may keep one earned retry for longer than
 * the window.
 */

/** Attempts within one slot of the window. */
interface SlotCounts {
  readonly slot: number;
  readonly firstAttempts: number;
  readonly retries: number;
}

export interface RetryState {
  /** Attempts within the window, oldest first. */
  readonly slots: readonly SlotCounts[];
  /** First attempts since the last retry or, before it, since the start. */
  readonly firstAttemptsSinceRetry: number;
}

export interface RetryBudget {
  /** Retries allowed for each first attempt. */
  readonly retryRatio: number;
  /** Retries per second that each entry may send beyond the ratio. */
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

export const emptyRetryState: RetryState = {
  slots: [],
  firstAttemptsSinceRetry: 0,
};

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
  const withinRatio = retries + 1 <= budget.retryRatio * firstAttempts + floor;
  const earnedEarlier = budget.retryRatio * state.firstAttemptsSinceRetry;
  const allowed = withinRatio || (retries === 0 && earnedEarlier >= 1);
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
  const earlier = state.slots.filter(
    s => s.slot >= slot - SLOTS_PER_WINDOW && s.slot < slot,
  );
  const current = state.slots.find(s => s.slot === slot);
  const sum = {
    slot,
    firstAttempts: (current?.firstAttempts ?? 0) + firstAttempts,
    retries: (current?.retries ?? 0) + retries,
  };
  const firstAttemptsSinceRetry =
    retries > 0 ? 0 : state.firstAttemptsSinceRetry + firstAttempts;
  return {slots: [...earlier, sum], firstAttemptsSinceRetry};
}

function slotOf(nowMs: number, windowMs: number): number {
  return Math.floor((nowMs * SLOTS_PER_WINDOW) / windowMs);
}
