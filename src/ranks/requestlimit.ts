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
 * raised, and it rises when the large stretch is long enough ago. Passes that
 * would be too long even with the least limit do not count: their group is
 * stalled, held or far too uneven, and refusals would not bring others into time.
 *
 * Each sidecar derives the limit of its own rank. All ranks of a group run the
 * same passes, so they come to about the same limit without messages.
 */
import {PassFigures} from './passtarget';
import {PassMeasurement} from './passtime';

interface StretchSample {
  readonly atMs: number;
  readonly stretch: number;
}

/** Stretches of the recent passes, oldest first. */
export type StretchHistory = readonly StretchSample[];

/** Time for which a stretch counts, in milliseconds. */
const STRETCH_MEMORY_MS = 6_000;

/**
 * Smallest share of the slots that is used. With fewer requests, more would be
 * refused than the limit brings into time.
 */
const MIN_SLOT_SHARE = 0.5;

export function recordStretch(
  history: StretchHistory,
  engine: PassFigures,
  {meanMs, running}: PassMeasurement,
  nowMs: number,
): StretchHistory {
  const stretch = meanMs / passMs(engine, running);
  const recent = history.filter(s => nowMs - s.atMs <= STRETCH_MEMORY_MS);
  return [...recent, {atMs: nowMs, stretch}];
}

/** Number of requests that may be at the rank. */
export function requestLimit(
  history: StretchHistory,
  engine: PassFigures,
  targetGapMs: number,
  nowMs: number,
): number {
  const {slots, stepsPerPass, stepMs, perRequestMs} = engine;
  const least = Math.ceil(slots * MIN_SLOT_SHARE);
  const maxStretch = targetGapMs / passMs(engine, least);
  const stretches = history
    .filter(s => nowMs - s.atMs <= STRETCH_MEMORY_MS && s.stretch <= maxStretch)
    .map(s => s.stretch);
  if (stretches.length === 0 || perRequestMs === 0) return slots;
  const stretch = Math.max(1, ...stretches);
  const stepBudgetMs = targetGapMs / stretch / stepsPerPass;
  const fitting = Math.floor((stepBudgetMs - stepMs) / perRequestMs);
  return Math.min(slots, Math.max(least, fitting));
}

/** Time of a pass in which each rank runs so many requests, on even load. */
function passMs(
  {stepsPerPass, stepMs, perRequestMs}: PassFigures,
  running: number,
): number {
  return stepsPerPass * (stepMs + perRequestMs * running);
}
