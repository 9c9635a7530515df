/**
 * When a connection was read. What arrives while its reading is paused is seen only
 * later, and so is its end. A connection that is closed here may have had no endpoint
 * behind it since something last arrived.
 */
import {Clock} from '../kernel/clock';

/** Time within which what had arrived during a pause is read. */
const CATCH_UP_MS = 300;

export class ReadingTimes {
  private pausedMs = -Infinity;
  private lastMs: number;
  /** Infinite while reading is paused. */
  private resumedMs = -Infinity;

  constructor(private readonly clock: Clock) {
    this.lastMs = clock.elapsedMs();
  }

  recordArrival(): void {
    this.lastMs = this.clock.elapsedMs();
  }

  /** When something arrived last or, before that, when the attempt began. */
  lastArrivalMs(): number {
    return this.lastMs;
  }

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
