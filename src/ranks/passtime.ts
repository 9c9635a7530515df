/**
 * Measures how long the passes of a group last.
 *
 * A report of a rank names the last pass that was begun. All ranks run the same
 * passes, so each can measure them alone. An idle group begins no passes, so only
 * the time while the rank has requests counts.
 */
import {RankReport} from './rank';

export interface PassMeasurement {
  readonly passes: number;
  /** Mean time of these passes, in milliseconds. */
  readonly meanMs: number;
  /** Mean number of requests that the rank ran in them. */
  readonly running: number;
}

export interface PassMeter {
  readonly epoch: number;
  /** The last pass begun, and when it was reported. */
  readonly pass: number;
  readonly atMs: number;
  /** Requests that ran in each report since then. */
  readonly running: readonly number[];
}

/**
 * Shortest time over which passes are measured, in milliseconds. It spans about
 * six passes, and a report may fall anywhere within a pass.
 */
const MIN_MEASURED_MS = 450;

/** Adds a report; returns a measurement once it spans enough time. */
export function measurePasses(
  meter: PassMeter | undefined,
  {
    epoch,
    pass,
    running,
    open,
  }: Pick<RankReport, 'epoch' | 'pass' | 'running' | 'open'>,
  nowMs: number,
): {readonly meter: PassMeter; readonly measured?: PassMeasurement} {
  const start = {epoch, pass, atMs: nowMs, running: [running]};
  if (!meter || meter.epoch !== epoch || !open || running === 0) {
    return {meter: start};
  }
  if (meter.running[0] === 0) return {meter: start};
  const all = [...meter.running, running];
  const passes = pass - meter.pass;
  const elapsedMs = nowMs - meter.atMs;
  if (elapsedMs < MIN_MEASURED_MS || passes < 1) {
    return {meter: {...meter, running: all}};
  }
  const sum = all.reduce((total, n) => total + n, 0);
  const measured = {
    passes,
    meanMs: elapsedMs / passes,
    running: sum / all.length,
  };
  return {meter: start, measured};
}
