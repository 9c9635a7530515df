/**
 * When the events of a stream were passed on to its caller.
 *
 * A stream is on time if its first event and each pause between two events are
 * within the limits of its route. All times are in milliseconds.
 */

export interface StreamTiming {
  /** Time from the arrival of the request to its first event. */
  readonly firstEventMs: number;
  /** Longest pause between two events; 0 if there was none. */
  readonly longestGapMs: number;
  /** Time from the arrival of the request to the last event. */
  readonly lastEventMs: number;
}

/** The timing after events were passed on `sinceArrivalMs` after the arrival. */
export function recordEvents(
  timing: StreamTiming | undefined,
  sinceArrivalMs: number,
): StreamTiming {
  if (!timing) {
    return {
      firstEventMs: sinceArrivalMs,
      longestGapMs: 0,
      lastEventMs: sinceArrivalMs,
    };
  }
  const gapMs = sinceArrivalMs - timing.lastEventMs;
  return {
    firstEventMs: timing.firstEventMs,
    longestGapMs: Math.max(timing.longestGapMs, gapMs),
    lastEventMs: sinceArrivalMs,
  };
}
