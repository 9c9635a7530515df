/**
 * Decides what the holder of the usage duty reports, and when.
 *
 * The platform must never get two reports of a window with different counts,
 * although a call without an answer may be executed later and the holder may
 * change at any moment. Therefore:
 *
 * - The counts of a window are fixed when its first report is sent, and each
 *   repeat is exactly the same.
 * - Each window has one time at which it is reported, the same for every holder.
 *   A holder leaves out the windows whose time had come before its lease began,
 *   because the holder before it may have reported them.
 * - A clock may have misled an earlier holder. The last window that was begun is
 *   announced to the gateways, which repeat it to the next holder.
 *
 * Failures: gateways die or restart (counts are kept by process, and added),
 * datagrams are lost, late, repeated or reordered (the largest count of a process
 * counts), some clocks are wrong (the median counts), and the holder is cut off
 * from most gateways (it waits, and leaves the window out when it is late, because
 * wrong counts would be billed).
 */
import {List, Map} from 'immutable';
import {median} from './truetime';
import {unpackCounts, UsageMessage} from './usagemessage';
import {
  dueAtMs,
  keptWindows,
  reportAtMs,
  UsageTimes,
  windowAt,
  windowEndMs,
} from './usagewindows';

/** Requests by account. */
export type AccountCounts = Map<string, number>;

/** One process of a gateway. */
interface Source {
  readonly entry: string;
  readonly heardMs: number;
  /** When a message with counts was heard. */
  readonly countsHeardMs: number;
  readonly clockOffsetMs: number | undefined;
  readonly begunWindow: number | undefined;
  readonly windows: Map<number, AccountCounts>;
}

interface PendingReport {
  readonly window: number;
  readonly counts: AccountCounts;
  readonly isInFlight: boolean;
  /** Monotonic time from which it may be sent again. */
  readonly nextMs: number;
}

/** A lease that this instance has held since a time on the store's clock. */
interface HeldLease {
  readonly token: number;
  readonly sinceStoreMs: number;
}

export interface UsageReporting {
  readonly times: UsageTimes;
  readonly sources: Map<string, Source>;
  /** Counts in `sources`; bounded by `MAX_COUNTS`. */
  readonly countsHeld: number;
  /** True time minus the store's time; undefined before it is known. */
  readonly offsetMs: number | undefined;
  readonly lease: HeldLease | undefined;
  /** The last window of which a report was begun by any holder. */
  readonly begunWindow: number | undefined;
  readonly pending: List<PendingReport>;
}

/** The outcome of a call to the platform; `unknown` if it was not answered. */
export type CallOutcome = 'done' | 'refused' | 'unknown';

interface Tick {
  readonly kind: 'tick';
  /** The token of a lease that is valid for the time of a call. */
  readonly token: number | undefined;
  /** Number of gateways that there are as far as this instance knows. */
  readonly gateways: number;
}

export type UsageInput =
  | {readonly kind: 'heard'; readonly message: UsageMessage}
  | Tick
  | {
      readonly kind: 'answered';
      readonly window: number;
      readonly token: number;
      readonly outcome: CallOutcome;
    };

export interface UsageMoment {
  /** Monotonic time. */
  readonly elapsedMs: number;
  /** The store's clock; undefined before it is known. */
  readonly storeMs: number | undefined;
}

export type MissReason =
  /** No answer arrived in time. */
  | 'unanswered'
  /** The platform refused it. */
  | 'refused'
  /** Too few gateways were heard. */
  | 'not sent';

export type UsageEffect =
  | {
      readonly kind: 'report';
      readonly window: number;
      readonly counts: AccountCounts;
      readonly token: number;
    }
  | {readonly kind: 'reported'; readonly window: number}
  | {
      readonly kind: 'missed';
      readonly window: number;
      readonly reason: MissReason;
    };

interface UsageDecision {
  readonly state: UsageReporting;
  readonly effects: readonly UsageEffect[];
}

/** Time for which an offset that a gateway stated counts for the median. */
const OFFSET_VALID_MS = 3_000;

/** Time until a report without an answer is repeated, in milliseconds. */
const REPEAT_AFTER_MS = 500;

/**
 * A new holder leaves out windows whose time came this soon after its lease
 * began: the true times of two holders differ by some milliseconds.
 */
const LEASE_MARGIN_MS = 500;

/**
 * A new holder listens to gateways this long before its first report. They send
 * once a second, to a new holder once they have heard of it.
 */
const LISTEN_MS = 2_000;

/**
 * Share of the time until a report is late that is kept for repeats. Until then
 * it waits for gateways that have not been heard since the window's end; some
 * may have ended.
 */
const KEPT_FOR_REPEATS = 0.2;

/**
 * Share of the gateways whose clocks must be known for the median. With half of
 * them, those that are wrong may be the majority of those heard.
 */
const MIN_CLOCK_SHARE = 0.75;

/**
 * Share of the gateways without which a window is not reported. A gateway that
 * lives and is not heard makes counts too low by its part.
 */
const MIN_HEARD_SHARE = 0.9;

/** Bound on the gateway processes of which counts are kept. */
const MAX_SOURCES = 8_192;

/** Bound on the counts of all gateways and windows together; 100 MB at most. */
const MAX_COUNTS = 400_000;

/**
 * A window that gateways say was begun counts up to this many windows ahead of
 * the present one. A wrong clock must not prevent reports for longer.
 */
const MAX_BEGUN_AHEAD = 1;

export function newUsageReporting(times: UsageTimes): UsageReporting {
  return {
    times,
    sources: Map(),
    countsHeld: 0,
    offsetMs: undefined,
    lease: undefined,
    begunWindow: undefined,
    pending: List(),
  };
}

export function decideUsage(
  state: UsageReporting,
  input: UsageInput,
  now: UsageMoment,
): UsageDecision {
  switch (input.kind) {
    case 'heard':
      return {state: handleMessage(state, input.message, now), effects: []};
    case 'answered':
      return handleAnswer(state, input, now);
    case 'tick':
      return handleTick(state, input, now);
  }
}

/** True time; undefined before it is known. */
export function trueTimeMs(
  {offsetMs}: UsageReporting,
  {storeMs}: UsageMoment,
): number | undefined {
  if (offsetMs === undefined || storeMs === undefined) return undefined;
  return storeMs + offsetMs;
}

function handleMessage(
  state: UsageReporting,
  message: UsageMessage,
  {elapsedMs}: UsageMoment,
): UsageReporting {
  const id = `${message.processStartMs} ${message.entry}`;
  const known = state.sources.get(id);
  if (!known && state.sources.size >= MAX_SOURCES) return state;
  let windows = known?.windows ?? Map<number, AccountCounts>();
  let {countsHeld} = state;
  for (const {window, account, count} of unpackCounts(message)) {
    if (window <= (state.begunWindow ?? -Infinity)) continue;
    const accounts = windows.get(window) ?? Map<string, number>();
    const before = accounts.get(account);
    const largest = Math.max(count, before ?? 0);
    if (largest === before) continue;
    if (before === undefined && countsHeld >= MAX_COUNTS) continue;
    if (before === undefined) countsHeld += 1;
    windows = windows.set(window, accounts.set(account, largest));
  }
  const begunWindow = latest(known?.begunWindow, message.begunWindow);
  const hasCounts = message.firstWindow !== undefined;
  const source: Source = {
    entry: message.entry,
    heardMs: elapsedMs,
    countsHeardMs: hasCounts ? elapsedMs : (known?.countsHeardMs ?? -Infinity),
    clockOffsetMs: message.clockOffsetMs,
    begunWindow,
    windows,
  };
  return {...state, countsHeld, sources: state.sources.set(id, source)};
}

function handleAnswer(
  state: UsageReporting,
  {window, token, outcome}: UsageInput & {readonly kind: 'answered'},
  {elapsedMs}: UsageMoment,
): UsageDecision {
  const index = state.pending.findIndex(p => p.window === window);
  const report = state.pending.get(index);
  const isCurrent = index >= 0 && state.lease?.token === token;
  if (!report || !isCurrent) return {state, effects: []};
  if (outcome === 'unknown') {
    const nextMs = elapsedMs + REPEAT_AFTER_MS;
    const waiting = {...report, isInFlight: false, nextMs};
    const pending = state.pending.set(index, waiting);
    return {state: {...state, pending}, effects: []};
  }
  const effect: UsageEffect =
    outcome === 'done'
      ? {kind: 'reported', window}
      : {kind: 'missed', window, reason: 'refused'};
  const pending = state.pending.remove(index);
  return {state: {...state, pending}, effects: [effect]};
}

function handleTick(
  before: UsageReporting,
  tick: Tick,
  now: UsageMoment,
): UsageDecision {
  const {token} = tick;
  const {storeMs} = now;
  const offsetMs =
    medianOffset(before, tick.gateways, now.elapsedMs) ?? before.offsetMs;
  let state: UsageReporting = {...before, offsetMs};
  if (storeMs !== undefined && token !== undefined) {
    if (token !== state.lease?.token) {
      // Reports of an earlier lease may have been taken over by another holder.
      const lease = {token, sinceStoreMs: storeMs};
      state = {...state, lease, pending: List()};
    }
  }
  const trueMs = trueTimeMs(state, now);
  if (trueMs === undefined) return {state, effects: []};
  state = dropOldCounts(takeBegunWindows(state, trueMs), trueMs, now);
  const begun = beginReports(state, tick, trueMs, now);
  const sent = sendReports(begun.state, token, trueMs, now);
  return {state: sent.state, effects: [...begun.effects, ...sent.effects]};
}

/** Fixes the counts of the windows whose time has come. */
function beginReports(
  before: UsageReporting,
  {token, gateways}: Tick,
  trueMs: number,
  now: UsageMoment,
): UsageDecision {
  const {times, lease} = before;
  if (!lease || now.storeMs === undefined) return {state: before, effects: []};
  const heldSinceMs = lease.sinceStoreMs + trueMs - now.storeMs;
  let state = before;
  const effects: UsageEffect[] = [];
  const last = windowAt(times, trueMs);
  const oldest = last - keptWindows(times);
  const next = Math.max(oldest, (state.begunWindow ?? -Infinity) + 1);
  for (let window = next; window <= last; window++) {
    const atMs = reportAtMs(times, window);
    if (trueMs < atMs) break;
    if (atMs < heldSinceMs + LEASE_MARGIN_MS) {
      state = {...state, begunWindow: window};
    } else if (trueMs >= dueAtMs(times, window)) {
      state = {...state, begunWindow: window};
      // Without a valid lease another holder may have reported it.
      if (token !== undefined)
        effects.push({kind: 'missed', window, reason: 'not sent'});
    } else if (
      token === lease.token &&
      trueMs >= heldSinceMs + LISTEN_MS &&
      heardShare(
        state,
        gateways,
        now.elapsedMs - (trueMs - windowEndMs(times, window)),
      ) >= neededShare(times, dueAtMs(times, window) - trueMs)
    ) {
      const counts = totalCounts(state, window);
      const report = {window, counts, isInFlight: false, nextMs: -Infinity};
      const pending = state.pending.push(report);
      state = {...state, begunWindow: window, pending};
    } else break;
  }
  return {state, effects};
}

function sendReports(
  state: UsageReporting,
  token: number | undefined,
  trueMs: number,
  {elapsedMs}: UsageMoment,
): UsageDecision {
  const effects: UsageEffect[] = [];
  const pending = state.pending.flatMap(report => {
    const {window, counts} = report;
    if (trueMs >= dueAtMs(state.times, window)) {
      effects.push({kind: 'missed', window, reason: 'unanswered'});
      return [];
    }
    const isDue = !report.isInFlight && elapsedMs >= report.nextMs;
    if (!isDue || token === undefined || token !== state.lease?.token)
      return [report];
    effects.push({kind: 'report', window, counts, token});
    return [{...report, isInFlight: true}];
  });
  return {state: {...state, pending}, effects};
}

/** Share of the gateways of which counts were heard since the given time. */
function heardShare(
  {sources}: UsageReporting,
  gateways: number,
  sinceMs: number,
): number {
  const entries = new Set<string>();
  const heard = new Set<string>();
  for (const {entry, countsHeardMs} of sources.values()) {
    entries.add(entry);
    if (countsHeardMs > sinceMs) heard.add(entry);
  }
  return heard.size / Math.max(1, gateways, entries.size);
}

/** The share that must have been heard, `leftMs` before a report is late. */
function neededShare({lateMs}: UsageTimes, leftMs: number): number {
  return leftMs > lateMs * KEPT_FOR_REPEATS ? 1 : MIN_HEARD_SHARE;
}

function totalCounts({sources}: UsageReporting, window: number): AccountCounts {
  return Map<string, number>().withMutations(totals => {
    for (const {windows} of sources.values()) {
      for (const [account, count] of windows.get(window) ?? []) {
        totals.update(account, 0, n => n + count);
      }
    }
  });
}

/**
 * The median of what gateways stated lately; undefined if too few did. The first
 * gateway that a new holder hears may be one whose clock is wrong.
 */
function medianOffset(
  {sources}: UsageReporting,
  gateways: number,
  nowMs: number,
): number | undefined {
  // The processes of one instance have one clock.
  const offsets = new globalThis.Map<string, number>();
  for (const {entry, heardMs, clockOffsetMs} of sources.values()) {
    if (clockOffsetMs === undefined || nowMs - heardMs > OFFSET_VALID_MS)
      continue;
    offsets.set(entry, clockOffsetMs);
  }
  const needed = Math.max(1, gateways) * MIN_CLOCK_SHARE;
  return offsets.size >= needed ? median([...offsets.values()]) : undefined;
}

/** Takes over which windows gateways say that other holders have begun. */
function takeBegunWindows(
  state: UsageReporting,
  trueMs: number,
): UsageReporting {
  const bound = windowAt(state.times, trueMs) + MAX_BEGUN_AHEAD;
  let {begunWindow} = state;
  for (const source of state.sources.values()) {
    if ((source.begunWindow ?? Infinity) > bound) continue;
    begunWindow = latest(begunWindow, source.begunWindow);
  }
  return {...state, begunWindow};
}

/** Drops windows that are reported or too old, and processes without any. */
function dropOldCounts(
  state: UsageReporting,
  trueMs: number,
  {elapsedMs}: UsageMoment,
): UsageReporting {
  const {times, begunWindow = -Infinity} = state;
  const current = windowAt(times, trueMs);
  const oldest = Math.max(current - keptWindows(times), begunWindow + 1);
  const isKept = (window: number) => window >= oldest && window <= current + 1;
  const keptMs = times.windowMs + times.lateMs;
  let countsHeld = 0;
  const sources = state.sources
    .map(source => {
      const {windows} = source;
      if (windows.every((_, window) => isKept(window))) return source;
      return {...source, windows: windows.filter((_, w) => isKept(w))};
    })
    .filter(
      ({heardMs, windows}) =>
        elapsedMs - heardMs <= keptMs || !windows.isEmpty(),
    );
  for (const {windows} of sources.values()) {
    for (const accounts of windows.values()) countsHeld += accounts.size;
  }
  return {...state, sources, countsHeld};
}

function latest(
  a: number | undefined,
  b: number | undefined,
): number | undefined {
  return a === undefined ? b : Math.max(a, b ?? a);
}
