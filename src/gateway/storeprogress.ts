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
 */

/**
 * Time after which a store that has only given older answers counts as having lost
 * its newest state, in milliseconds.
 */
const MAX_OLDER_ANSWERS_MS = 30_000;

export class StoreProgress {
  /** Version in the last answer to the leading watch. */
  private version = -Infinity;
  /** Highest version in any answer. */
  private newest = -Infinity;
  /** When the first of the latest answers that were all older arrived. */
  private olderSinceMs: number | undefined;
  private reachable = true;
  private recoveryCount = 0;
  private readonly waiting = new Set<{
    readonly version: number;
    readonly resume: () => void;
  }>();

  get isReachable(): boolean {
    return this.reachable;
  }

  /** Answers to calls that are sent from now on should not be below it. */
  get newestVersion(): number {
    return this.newest;
  }

  /**
   * Records the version in an answer to any watch. Returns false if it is that of an
   * older state: below `floor`, which is `newestVersion` as its call was sent.
   */
  recordVersion(version: number, floor: number, nowMs: number): boolean {
    if (version >= floor) {
      this.olderSinceMs = undefined;
      this.newest = Math.max(this.newest, version);
      return true;
    }
    this.olderSinceMs ??= nowMs;
    if (nowMs - this.olderSinceMs <= MAX_OLDER_ANSWERS_MS) return false;
    this.olderSinceMs = undefined;
    this.newest = version;
    return true;
  }

  /** Records the version in the leading watch's answer. */
  recordAnswer(version: number): void {
    const isReachedAgain = !this.reachable;
    this.reachable = true;
    if (isReachedAgain) this.recoveryCount += 1;
    // The version falls if the store has lost its state.
    this.version = version;
    for (const waiter of this.waiting) {
      if (version <= waiter.version && !isReachedAgain) continue;
      this.waiting.delete(waiter);
      waiter.resume();
    }
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
   * Calls `resume` once the store has a version above `version` or is reached
   * again after a failure.
   */
  whenAhead(version: number, resume: () => void): {cancel(): void} {
    if (this.version > version) {
      resume();
      return {cancel: () => undefined};
    }
    const waiter = {version, resume};
    this.waiting.add(waiter);
    return {cancel: () => this.waiting.delete(waiter)};
  }
}
