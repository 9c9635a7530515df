/**
 * What one watch of a store's tables shows the others about the store.
 *
 * Each answer names the version of the whole store. A watch whose table seldom
 * changes can therefore wait long for its answer: as long as the version does
 * not pass its own, it has missed nothing. While the store does not answer, only
 * the leading watch calls it, so that it is not called once for each table.
 */
export class StoreProgress {
  private version = -Infinity;
  private reachable = true;
  private recoveryCount = 0;
  private readonly waiting = new Set<{
    readonly version: number;
    readonly resume: () => void;
  }>();

  get isReachable(): boolean {
    return this.reachable;
  }

  /** Records that the store answered, and its version. */
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
