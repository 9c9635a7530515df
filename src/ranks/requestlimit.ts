/**
 * Limits the requests at a rank so that the pauses of its streams stay short.
 *
 * A pass yields one event for each stream of the group, so the time of a pass is
 * the pause that all their callers notice. Each running request makes the pass
 * longer. With more requests than fit the pause that a route promises, all
 * streams of the group are late, run for longer, and so keep the passes long.
 *
 * The engine's declared figures give the time of a pass on even load. Uneven
 * expert demand, copies and slow ranks stretch it. The limit allows for the
 * largest stretch of the recent past: a stream is late after a single long
 * pause, and demand may shift at any time while it runs. The stretch does not
 * depend on the number of requests, so a limit does not hide that it could be
 * raised, and it rises when the large stretch is long enough ago.
 *
 * The limit falls with the stretch down to a floor. Under heavy load the stretch
 * is 1.8 to 3.4, and larger by up to 1 after each shift of demand; a limit that
 * went off above some stretch would go off when it is needed most. Only passes
 * far longer than load explains do not count, because their group is stalled or
 * held, and refusals would not bring others into time.
 *
 * Each sidecar derives the limit of its own rank. All ranks of a group run the
 * same passes, so they come to about the same limit without messages.
 */
import {PassFigures} from './passtarget';
import {PassMeasurement} from './passtime';

interface StretchSample {
  readonly atMs: number;
  readonly stretch: number;
  /** Requests that the rank ran. */
  readonly running: number;
}

/** Stretches of the recent passes, oldest first. */
export type StretchHistory = readonly StretchSample[];

/** Time for which a stretch counts, in milliseconds. */
const STRETCH_MEMORY_MS = 6_000;

/**
 * Time over which the requests of a rank are averaged to estimate how many a rank of
 * its group runs, in milliseconds. Ranks get requests evenly, with chance deviations.
 */
const GROUP_RUNNING_MS = 2_000;

/** What bounds the limit of an engine. */
export interface LimitRange {
  /** Smallest limit. */
  readonly least: number;
  /** Stretch above which a group counts as stalled. */
  readonly maxStretch: number;
  /**
   * Whether the limit is one on the group's mean, so that a rank may exceed it by
   * what the group is below it.
   */
  readonly isGroupLimit?: boolean;
}

/** Chooses the range for a longest pause, in milliseconds. */
export type LimitRangeRule = (
  engine: PassFigures,
  targetGapMs: number,
) => LimitRange;

/**
 * Worth of a stream with one pause over the allowed one, as a share of one that
 * is on time. It is 0.28 to 0.5; the largest value refuses the fewest requests.
 */
const LATE_WORTH = 0.5;

/** Pauses that a pass of a single request lasts in a stalled group. */
const STALLED_PAUSES = 2;

/**
 * The floor weighs what callers lose either way, if no refused caller returns.
 * With n requests a rank makes a share r of the events that full slots make. If
 * the passes come into time, r streams are worth 1 each, where full slots earn
 * `LATE_WORTH`; if they stay too long, (1 - r) late streams are lost for nothing.
 * The floor is the smallest n whose gain r - LATE_WORTH in the first case is no
 * less than its loss LATE_WORTH * (1 - r) in the second.
 */
export const worthRange: LimitRangeRule = (engine, targetGapMs) => {
  const {slots} = engine;
  const minEvents =
    (eventsPerMs(engine, slots) * 2 * LATE_WORTH) / (1 + LATE_WORTH);
  let least = 1;
  while (least < slots && eventsPerMs(engine, least) < minEvents) least += 1;
  const stalledMs = STALLED_PAUSES * targetGapMs;
  return {least, maxStretch: stalledMs / passMs(engine, 1)};
};

/**
 * As `worthRange`, with a limit on the group's mean. The time of a pass follows from
 * the requests at all ranks, so one that has more than its part does no harm while
 * others have less. A limit on each rank refused requests on calm days, when a group
 * ran 3 requests a rank of 4 allowed and some ranks were at 4 by chance.
 */
export const groupRange: LimitRangeRule = (engine, targetGapMs) => ({
  ...worthRange(engine, targetGapMs),
  isGroupLimit: true,
});

/**
 * At least half of the slots, and no limit by stretches with which that many do not
 * fit. Where all requests are equally urgent, a refused one is as much of a loss as
 * one that would have been served late.
 */
export const halfSlotsRange: LimitRangeRule = (engine, targetGapMs) => {
  const least = Math.ceil(engine.slots / 2);
  return {least, maxStretch: targetGapMs / passMs(engine, least)};
};

export function recordStretch(
  history: StretchHistory,
  engine: PassFigures,
  {meanMs, running}: PassMeasurement,
  nowMs: number,
): StretchHistory {
  const recent = history.filter(s => nowMs - s.atMs <= STRETCH_MEMORY_MS);
  const stretch = meanMs / passMs(engine, running);
  return [...recent, {atMs: nowMs, stretch, running}];
}

/** Mean number of requests at the rank in the last two seconds. */
function meanRunning(history: StretchHistory, nowMs: number): number {
  const recent = history.filter(s => nowMs - s.atMs <= GROUP_RUNNING_MS);
  const sum = recent.reduce((total, {running}) => total + running, 0);
  return sum / Math.max(1, recent.length);
}

/** Number of requests that may be at the rank. */
export function requestLimit(
  history: StretchHistory,
  engine: PassFigures,
  targetGapMs: number,
  nowMs: number,
  rangeOf: LimitRangeRule = worthRange,
): number {
  const {slots, stepsPerPass, stepMs, perRequestMs} = engine;
  const {least, maxStretch, isGroupLimit} = rangeOf(engine, targetGapMs);
  const recent = history.filter(s => nowMs - s.atMs <= STRETCH_MEMORY_MS);
  const stretches = recent
    .map(s => s.stretch)
    .filter(stretch => stretch <= maxStretch);
  if (stretches.length === 0 || perRequestMs === 0) return slots;
  const stretch = Math.max(1, ...stretches);
  const stepBudgetMs = targetGapMs / stretch / stepsPerPass;
  const fitting = Math.floor((stepBudgetMs - stepMs) / perRequestMs);
  const limit = Math.max(least, fitting);
  const spare = isGroupLimit ? limit - meanRunning(recent, nowMs) : 0;
  return Math.min(slots, limit + Math.max(0, Math.floor(spare)));
}

/** Events per millisecond of a rank that runs so many requests. */
function eventsPerMs(engine: PassFigures, running: number): number {
  return running / passMs(engine, running);
}

/** Time of a pass in which each rank runs so many requests, on even load. */
function passMs(
  {stepsPerPass, stepMs, perRequestMs}: PassFigures,
  running: number,
): number {
  return stepsPerPass * (stepMs + perRequestMs * running);
}
