/**
 * Derives the state of a plain service from its calls.
 *
 * A plain service reports neither steps nor restarts. Each finished call counts
 * as a step, with the number of concurrent calls as its batch, so that
 * admission raises its bound as the service proves that it can take more. A
 * broken call counts as a restart. So does a period without calls, because a
 * restart in it would go unnoticed.
 */
import {EndpointState} from './endpoint';

export interface CallStats {
  /** Starts of the service, counting assumed restarts. */
  readonly startCount: number;
  readonly running: number;
  /** Calls answered since the last start. */
  readonly finished: number;
  /** Most concurrent calls since the last observation. */
  readonly peak: number;
  /** Calls answered since the last observation, and the sum of their times. */
  readonly recentCount: number;
  readonly recentMs: number;
  /** When a call last began or ended, by the monotonic clock. */
  readonly lastActivityMs: number;
}

/**
 * A longer period without calls counts as a restart. The limit is shorter than
 * the restart of a service, so that no restart goes unnoticed.
 */
export const RESTART_IDLE_MS = 500;

export const noCallStats: CallStats = {
  startCount: 1,
  running: 0,
  finished: 0,
  peak: 0,
  recentCount: 0,
  recentMs: 0,
  lastActivityMs: 0,
};

export function recordBegin(calls: CallStats, nowMs: number): CallStats {
  const running = calls.running + 1;
  const peak = Math.max(calls.peak, running);
  return {...calls, running, peak, lastActivityMs: nowMs};
}

/** Records a call that was answered after `tookMs`. */
export function recordAnswer(
  calls: CallStats,
  tookMs: number,
  nowMs: number,
): CallStats {
  return {
    ...recordCancel(calls, nowMs),
    finished: calls.finished + 1,
    recentCount: calls.recentCount + 1,
    recentMs: calls.recentMs + tookMs,
  };
}

/** Records a call that its caller gave up; says nothing about the service. */
export function recordCancel(calls: CallStats, nowMs: number): CallStats {
  return {...calls, running: calls.running - 1, lastActivityMs: nowMs};
}

/** Records a call that broke or was refused for overload. */
export function recordBreak(calls: CallStats, nowMs: number): CallStats {
  return countRestart(recordCancel(calls, nowMs));
}

/** The state of the service, and the statistics for the next period. */
export function takeObservation(
  calls: CallStats,
  nowMs: number,
): {readonly calls: CallStats; readonly state: EndpointState} {
  const idle =
    calls.running === 0 && nowMs - calls.lastActivityMs > RESTART_IDLE_MS;
  const current = idle && calls.finished > 0 ? countRestart(calls) : calls;
  const {startCount, running, finished, peak, recentCount, recentMs} = current;
  const stepMs = recentCount === 0 ? 0 : recentMs / recentCount;
  const state = {
    instance: String(startCount),
    stepMs,
    batch: peak,
    steps: finished,
  };
  return {
    calls: {...current, peak: running, recentCount: 0, recentMs: 0},
    state,
  };
}

function countRestart(calls: CallStats): CallStats {
  const {running, lastActivityMs} = calls;
  return {
    ...noCallStats,
    startCount: calls.startCount + 1,
    running,
    peak: running,
    lastActivityMs,
  };
}
