/**
 * What one watch of a store's tables shows the others about the store.
 *
 * Each answer names the version of the whole store. A watch whose table seldom
 * changes can therefore wait long for its answer: as long as the version does
 * not pass its own, it has missed nothing. While the store does not answer, only
 * the leading watch calls it, so that it is not called once for each table.
 *
 * An answer may come from an older state of the store, such as that of a replica
 * that lags behind, and date itself by the present time. It is recognised by its
 * version: no answer should be below one that had arrived before its call was sent.
 * If the store has come back from a copy, all tables have to be read anew.
 */
import {compareStates, NO_STATE, StoreState} from './storestate';

/**
 * Time after which a store that has only given older answers, without naming its era,
 * counts as having lost its newest state, in milliseconds.
 */
const MAX_OLDER_ANSWERS_MS = 30_000;
/** Longest time between two such answers in a row, in milliseconds. */
const MAX_OLDER_ANSWER_GAP_MS = 5_000;

export class StoreProgress {
  /** State in the last answer to the leading watch. */
  private leading = NO_STATE;
  /** Newest state in any answer. */
  private newest = NO_STATE;
  /** When the first of the latest answers that were all older arrived. */
  private olderSinceMs: number | undefined;
  private lastOlderMs = -Infinity;
  private reachable = true;
  private recoveryCount = 0;
  private readonly waiting = new Set<{
    readonly state: StoreState;
    readonly resume: () => void;
  }>();

  get isReachable(): boolean {
    return this.reachable;
  }

  /** Answers to calls that are sent from now on should not be of an older one. */
  get newestState(): StoreState {
    return this.newest;
  }

  /**
   * Records the state in an answer to any watch. Returns false if it is older than
   * `floor`, which is `newestState` as its call was sent.
   */
  recordState(state: StoreState, floor: StoreState, nowMs: number): boolean {
    if (compareStates(state, floor) >= 0) {
      this.olderSinceMs = undefined;
      const isNewEra = state.era > this.newest.era;
      if (compareStates(state, this.newest) > 0) this.newest = state;
      if (isNewEra) this.resumeWaiting(() => true);
      return true;
    }
    // A named era ends only with the next one.
    if (floor.era > 0 && state.era > 0) return false;
    if (nowMs - this.lastOlderMs > MAX_OLDER_ANSWER_GAP_MS)
      this.olderSinceMs = undefined;
    this.lastOlderMs = nowMs;
    this.olderSinceMs ??= nowMs;
    if (nowMs - this.olderSinceMs <= MAX_OLDER_ANSWERS_MS) return false;
    this.recordLoss(state);
    return true;
  }

  /** Records that the store is back at an older state, as it says itself. */
  recordLoss(state: StoreState): void {
    this.olderSinceMs = undefined;
    this.newest = state;
  }

  /** Records the state in the leading watch's answer. */
  recordAnswer(state: StoreState): void {
    const isReachedAgain = !this.reachable;
    this.reachable = true;
    if (isReachedAgain) this.recoveryCount += 1;
    this.leading = state;
    this.resumeWaiting(
      waiter => isReachedAgain || compareStates(state, waiter) > 0,
    );
  }

  recordFailure(): void {
    this.reachable = false;
  }

  /**
   * How often the store has been reached again after a failure. Polls that were
   * sent before may be on connections that have gone silent.
   */
  get recoveries(): number {
    return this.recoveryCount;
  }

  /**
   * Calls `resume` once the leading watch has seen a newer state, the store has come
   * back from a copy, or it is reached again after a failure.
   */
  whenAhead(state: StoreState, resume: () => void): {cancel(): void} {
    const isNewEra = this.newest.era > state.era;
    if (isNewEra || compareStates(this.leading, state) > 0) {
      resume();
      return {cancel: () => undefined};
    }
    const waiter = {state, resume};
    this.waiting.add(waiter);
    return {cancel: () => this.waiting.delete(waiter)};
  }

  private resumeWaiting(isDue: (state: StoreState) => boolean): void {
    for (const waiter of [...this.waiting]) {
      if (!isDue(waiter.state)) continue;
      this.waiting.delete(waiter);
      waiter.resume();
    }
  }
}
