/**
 * A gateway's counts of the requests that began to run, by account and window.
 *
 * A request belongs to the window in which an endpoint began to work on it, but
 * a gateway sees the beginning later: a stream's first event about one pass
 * later, and the head of another answer only when the work is done. Without
 * correction, a burst at the end of a window would be counted in the next one.
 *
 * Counts only grow, so that a lost datagram is superseded by the next. A request
 * is assigned to its window once; when true time is corrected later, it stays
 * there. Requests that began before true time is known are kept until then.
 */
import {List, Map} from 'immutable';
import {UsageCount} from './usagemessage';
import {
  firstOpenWindow,
  keptWindows,
  UsageTimes,
  windowAt,
} from './usagewindows';

interface UnplacedRun {
  readonly account: string;
  /** Time on the store's clock. */
  readonly storeMs: number;
}

export interface UsageCounts {
  /** Requests by window and account. */
  readonly windows: Map<number, Map<string, number>>;
  /** Requests that began before true time was known. */
  readonly unplaced: List<UnplacedRun>;
  /** Requests that were not counted because of a bound, or too late. */
  readonly dropped: number;
}

/** Bound on the accounts of one window; others are not counted. */
const MAX_ACCOUNTS = 4_096;

/** Bound on the requests that wait for true time to be known. */
const MAX_UNPLACED = 10_000;

export const emptyUsageCounts: UsageCounts = {
  windows: Map(),
  unplaced: List(),
  dropped: 0,
};

/** What a gateway knows of a request that an endpoint works on. */
export interface SeenRun {
  readonly isStream: boolean;
  /** When the request was sent to the endpoint. */
  readonly sentMs: number;
  /** When the first event, or the end of the attempt, was seen. */
  readonly seenMs: number;
  /** Time of a pass of the endpoint; 0 if it has none. */
  readonly passMs: number;
}

/** When the endpoint began to work, on the clock of the given times. */
export function runBeganMs({
  isStream,
  sentMs,
  seenMs,
  passMs,
}: SeenRun): number {
  return isStream ? Math.max(sentMs, seenMs - passMs) : sentMs;
}

/**
 * Whether an attempt that ended without an answer can have begun to run. A
 * stream waits at the endpoint until a pass ends before its work begins.
 */
export function mayHaveBegun({
  isStream,
  sentMs,
  seenMs,
  passMs,
}: SeenRun): boolean {
  return !isStream || seenMs - sentMs >= passMs;
}

/**
 * Counts a request that began at `storeMs`. `offsetMs` is true time minus the
 * store's time; undefined before it is known.
 */
export function countRun(
  counts: UsageCounts,
  times: UsageTimes,
  run: UnplacedRun,
  offsetMs: number | undefined,
): UsageCounts {
  if (offsetMs === undefined) {
    if (counts.unplaced.size >= MAX_UNPLACED) return addDropped(counts);
    return {...counts, unplaced: counts.unplaced.push(run)};
  }
  const window = windowAt(times, run.storeMs + offsetMs);
  const ofWindow = counts.windows.get(window, Map<string, number>());
  if (ofWindow.size >= MAX_ACCOUNTS && !ofWindow.has(run.account)) {
    return addDropped(counts);
  }
  const updated = ofWindow.update(run.account, 0, n => n + 1);
  return {...counts, windows: counts.windows.set(window, updated)};
}

/** Assigns the requests that waited for true time, and drops old windows. */
export function settleCounts(
  counts: UsageCounts,
  times: UsageTimes,
  storeMs: number,
  offsetMs: number | undefined,
): UsageCounts {
  if (offsetMs === undefined) return counts;
  let settled: UsageCounts = {...counts, unplaced: List()};
  for (const run of counts.unplaced) {
    settled = countRun(settled, times, run, offsetMs);
  }
  const current = windowAt(times, storeMs + offsetMs);
  // A true time that was wrong may have led to windows in the future.
  const windows = settled.windows.filter(
    (_, window) =>
      window > current - keptWindows(times) && window <= current + 1,
  );
  return {...settled, windows};
}

/**
 * The counts that a holder can still report, at the given true time. It has begun
 * to report the windows up to `begunWindow`.
 */
export function openCounts(
  counts: UsageCounts,
  times: UsageTimes,
  trueMs: number,
  begunWindow = -Infinity,
): readonly UsageCount[] {
  const first = Math.max(firstOpenWindow(times, trueMs), begunWindow + 1);
  const open: UsageCount[] = [];
  for (const [window, accounts] of counts.windows) {
    if (window < first) continue;
    for (const [account, count] of accounts)
      open.push({window, account, count});
  }
  return open;
}

function addDropped(counts: UsageCounts): UsageCounts {
  return {...counts, dropped: counts.dropped + 1};
}
