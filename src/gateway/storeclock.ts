/**
 * Dates the answers of the store on the clocks of this process.
 *
 * An answer may be read long after the store wrote it: the process may have been
 * frozen, or the link slow. That a poll has waited in the store does not show
 * either, because a change releases it early. Each answer names the time of the
 * store's steady clock. The store wrote it after the call was sent, and that
 * bounds the difference between the two clocks; by the least such bound an answer
 * is dated as late as is certain, and never before its call.
 */
import {Clock, Instant, readInstant} from '../kernel/clock';

/**
 * Allowance for clocks that run at different speeds, as a fraction of the time
 * since the difference was bounded.
 */
const MAX_DRIFT = 0.0005;
/** The store rounds its times to milliseconds. */
const ROUNDING_MS = 1;

export class StoreClock {
  /** Upper bound on the store's time less the monotonic time here. */
  private maxOffsetMs = Infinity;
  /** When the call was sent that gave the bound. */
  private bounded: Instant = {elapsedMs: 0, wallMs: 0};

  constructor(private readonly clock: Clock) {}

  /**
   * The latest moment at which an answer is certain to have been current. `sent`
   * is when its call was sent, `storeMs` the store's time in it, if it has one.
   */
  date(sent: Instant, storeMs: number | undefined): Instant {
    if (storeMs === undefined) return sent;
    const now = readInstant(this.clock);
    const offsetMs = this.offsetAt(now);
    const measuredMs = storeMs - sent.elapsedMs;
    // An answer from the future shows that the store's clock was set.
    const isFuture = storeMs - offsetMs > now.elapsedMs;
    if (isFuture || measuredMs <= offsetMs) {
      this.maxOffsetMs = measuredMs;
      this.bounded = sent;
      return sent;
    }
    const waitedMs = measuredMs - offsetMs;
    // Wall time is carried along from the call, so that a suspension between the
    // two makes the answer older, not newer.
    return {
      elapsedMs: sent.elapsedMs + waitedMs,
      wallMs: sent.wallMs + waitedMs,
    };
  }

  /** The bound, with what the clocks may have diverged since it was measured. */
  private offsetAt({elapsedMs, wallMs}: Instant): number {
    const sinceMs = elapsedMs - this.bounded.elapsedMs;
    const suspendedMs = Math.max(0, wallMs - this.bounded.wallMs - sinceMs);
    return this.maxOffsetMs + MAX_DRIFT * sinceMs + ROUNDING_MS + suspendedMs;
  }
}
