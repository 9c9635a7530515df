/**
 * When a connection was read. What arrives while its reading is paused is seen only
 * later, and so is its end.
 */
import {Clock} from '../kernel/clock';

/** Time within which what had arrived during a pause is read. */
const CATCH_UP_MS = 300;

export class ReadingTimes {
  private pausedMs = -Infinity;
  /** Infinite while reading is paused. */
  private resumedMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  pause(): void {
    if (this.isUpToDate()) this.pausedMs = this.clock.elapsedMs();
    this.resumedMs = Infinity;
  }

  resume(): void {
    if (this.resumedMs === Infinity) this.resumedMs = this.clock.elapsedMs();
  }

  /** The earliest monotonic time at which what is read now may have arrived. */
  arrivedSinceMs(): number {
    return this.isUpToDate() ? this.clock.elapsedMs() : this.pausedMs;
  }

  private isUpToDate(): boolean {
    return this.clock.elapsedMs() - this.resumedMs > CATCH_UP_MS;
  }
}
