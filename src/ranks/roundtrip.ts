/**
 * Timeouts that follow the round trips which a coordinator measures.
 *
 * A coordinator of many ranks has a fraction of a core and a slow link. When it
 * is the one that is slow, all answers come late; a fixed timeout would take
 * that for the failure of every sidecar at once, and the calls that replace
 * theirs would slow it further. The estimate is that of RFC 6298: a smoothed
 * round trip plus four times its mean deviation, doubled after each timeout
 * until an answer arrives.
 */
const SMOOTHING = 1 / 8;
const DEVIATION_SMOOTHING = 1 / 4;
const DEVIATIONS = 4;
/** A held group must be reached before its callers give up, after two seconds. */
const MAX_TIMEOUT_MS = 1_000;

export class RoundTrips {
  private smoothedMs = 0;
  private deviationMs = 0;
  private measured = false;
  private backoff = 1;

  recordAnswer(ms: number): void {
    this.backoff = 1;
    if (!this.measured) {
      this.measured = true;
      this.smoothedMs = ms;
      this.deviationMs = ms / 2;
      return;
    }
    const differenceMs = Math.abs(ms - this.smoothedMs);
    this.deviationMs += DEVIATION_SMOOTHING * (differenceMs - this.deviationMs);
    this.smoothedMs += SMOOTHING * (ms - this.smoothedMs);
  }

  recordTimeout(): void {
    this.backoff *= 2;
  }

  /** Time to wait for an answer, in milliseconds; at least `leastMs`. */
  timeoutMs(leastMs: number): number {
    const estimateMs = this.smoothedMs + DEVIATIONS * this.deviationMs;
    const waitMs = Math.max(leastMs, estimateMs) * this.backoff;
    return Math.max(leastMs, Math.min(MAX_TIMEOUT_MS, waitMs));
  }
}
