/**
 * Windows of usage reports, and the times that belong to each.
 *
 * Window k begins k x `windowMs` after the start of 1970, in true time, which is
 * the median of the wall clocks of the gateways (`truetime.ts`). All times here
 * are Unix times in milliseconds.
 */

export interface UsageTimes {
  readonly windowMs: number;
  /** Time after a window's end at which its report must have arrived. */
  readonly lateMs: number;
}

/**
 * Share of `lateMs` after which a window is reported. Counts arrive up to some
 * seconds after the window's end: a plain answer is seen at its end, and a lost
 * datagram is replaced a second later. The rest is for repeats of the report.
 * It is the same for every holder, so that a new one can tell from the time
 * which windows the old one may have reported.
 */
const REPORT_DELAY_SHARE = 0.6;

/** Windows kept in addition to those that can still be reported in time. */
const EXTRA_WINDOWS = 2;

export function windowAt({windowMs}: UsageTimes, trueMs: number): number {
  return Math.floor(trueMs / windowMs);
}

export function windowEndMs({windowMs}: UsageTimes, window: number): number {
  return (window + 1) * windowMs;
}

/** When the window is to be reported. */
export function reportAtMs(times: UsageTimes, window: number): number {
  return windowEndMs(times, window) + times.lateMs * REPORT_DELAY_SHARE;
}

/** When the report of the window must have arrived. */
export function dueAtMs(times: UsageTimes, window: number): number {
  return windowEndMs(times, window) + times.lateMs;
}

/** The first window whose report can still arrive in time. */
export function firstOpenWindow(times: UsageTimes, trueMs: number): number {
  return windowAt(times, trueMs - times.lateMs);
}

/** Number of the most recent windows of which counts are kept. */
export function keptWindows({windowMs, lateMs}: UsageTimes): number {
  return Math.ceil(lateMs / windowMs) + EXTRA_WINDOWS;
}
