/**
 * What the calls of a plain service tell about it.
 *
 * A plain service reports neither steps nor restarts. Each finished call
 * counts as a step, with the calls that ran beside it as the batch, so that
 * admission gives the service more as it bears more. A broken call, or a time
 * without calls, in which a restart would go unseen, counts as a restart.
 */
import {EndpointState} from './endpoint';

export interface CallStats {
  /** Counts the starts of the service, as far as they can be told. */
  readonly startCount: number;
  readonly running: number;
  /** Finished since the service's start. */
  readonly finished: number;
  /** Most that ran at once since the last observation. */
  readonly peak: number;
  /** Finished since the last observation, and their time together. */
  readonly recentCount: number;
  readonly recentMs: number;
  /** When a call last began or ended, in milliseconds of the clock. */
  readonly lastActivityMs: number;
}

/** Shorter than the restart of a service. */
export const IDLE_MS = 500;

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

/** A call was answered after `tookMs`. */
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

/** A call was given up by its caller; it tells nothing of the service. */
export function recordCancel(calls: CallStats, nowMs: number): CallStats {
  return {...calls, running: calls.running - 1, lastActivityMs: nowMs};
}

/** A call broke or was refused for overload. */
export function recordBreak(calls: CallStats, nowMs: number): CallStats {
  return countRestart(recordCancel(calls, nowMs));
}

/** The service's state, and the calls with a new observation begun. */
export function takeObservation(
  calls: CallStats,
  nowMs: number,
): {readonly calls: CallStats; readonly state: EndpointState} {
  const idle = calls.running === 0 && nowMs - calls.lastActivityMs > IDLE_MS;
  const now = idle && calls.finished > 0 ? countRestart(calls) : calls;
  const {
    startCount: start,
    running,
    finished,
    peak,
    recentCount: recent,
    recentMs,
  } = now;
  const stepMs = recent === 0 ? 0 : recentMs / recent;
  const state = {
    instance: String(start),
    stepMs,
    batch: peak,
    steps: finished,
  };
  return {calls: {...now, peak: running, recentCount: 0, recentMs: 0}, state};
}

function countRestart(calls: CallStats): CallStats {
  const {running, lastActivityMs: activeMs} = calls;
  return {
    ...noCallStats,
    startCount: calls.startCount + 1,
    running,
    peak: running,
    lastActivityMs: activeMs,
  };
}
