/**
 * How long a request waits for an endpoint, and when its caller may retry.
 *
 * Load pattern: a group of ranks is broken for some seconds, or all endpoints
 * are full, while requests keep arriving. A caller with most of its time left
 * is refused soon and told to retry, because its retry can still be served.
 * Callers retry at most once or twice and wait for no more than a third of the
 * time they have left, so one with less time left would retry too soon or not
 * at all. Its request waits as long as a complete answer is still possible by
 * its deadline, unless the caller will have left by then: callers abandon a
 * stream that sends no events.
 */
import {Route} from './model';

export interface WaitLimit {
  /** Whether the caller has enough time left to retry. */
  readonly callerMayRetry: boolean;
  /** Time after which waiting is useless. */
  readonly untilMs: number;
}

export interface WaitConditions {
  readonly nowMs: number;
  readonly deadlineMs: number;
  readonly route: Route;
  /** Mean time that the service takes for a complete answer. */
  readonly meanAnswerMs: number;
}

/** Share of the target latency that a request waits if its caller may retry. */
const MAX_WAIT_SHARE = 0.4;

/** Share of the route's time limit that must be left for a caller to retry. */
const MIN_RETRY_SHARE = 0.75;

/** Callers abandon a stream without events after the longest of these times. */
const MIN_ABANDON_MS = 2_000;
const ABANDON_LATENCIES = 4;
const ABANDON_GAPS = 8;

/** Longest delay before a retry, as a share of the caller's time left. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;

/** Share of that delay by which retries are spread out at random. */
const RETRY_DELAY_JITTER = 0.2;

export function waitLimit(conditions: WaitConditions): WaitLimit {
  const {nowMs, deadlineMs, route, meanAnswerMs} = conditions;
  const {timeoutMs, targetLatencyMs} = route;
  const callerMayRetry = deadlineMs - nowMs >= timeoutMs * MIN_RETRY_SHARE;
  const untilMs = callerMayRetry
    ? Math.min(deadlineMs, nowMs + targetLatencyMs * MAX_WAIT_SHARE)
    : Math.min(
        deadlineMs - meanAnswerMs,
        nowMs + streamAbandonMs(route) - targetLatencyMs,
      );
  return {callerMayRetry, untilMs};
}

/** Time without an event after which callers abandon a stream, in ms. */
function streamAbandonMs(route: Route): number {
  if (route.kind !== 'stream') return Infinity;
  const {targetLatencyMs, targetGapMs = 0} = route;
  return Math.max(
    MIN_ABANDON_MS,
    targetLatencyMs * ABANDON_LATENCIES,
    targetGapMs * ABANDON_GAPS,
  );
}

/** Delay until a caller should retry while a service has no endpoint, in ms. */
export function retryDelayMs(leftMs: number, random: () => number): number {
  return (
    Math.max(0, leftMs) *
    MAX_RETRY_DELAY_SHARE *
    (1 - RETRY_DELAY_JITTER * random())
  );
}

/** Time that a service takes for a complete answer, in milliseconds. */
export interface AnswerTime {
  readonly meanMs: number;
  /** Mean absolute deviation from the mean. */
  readonly deviationMs: number;
}

/** Weight of the newest answer in the moving averages of a service. */
const NEWEST_WEIGHT = 0.1;

/** The answer time of a service after one more answer. */
export function updateAnswerTime(
  time: AnswerTime | undefined,
  ms: number,
): AnswerTime {
  if (!time) return {meanMs: ms, deviationMs: ms / 2};
  const {meanMs, deviationMs} = time;
  const deviation = Math.abs(ms - meanMs);
  return {
    meanMs: meanMs + (ms - meanMs) * NEWEST_WEIGHT,
    deviationMs: deviationMs + (deviation - deviationMs) * NEWEST_WEIGHT,
  };
}

/** Deviations from the mean within which nearly all answers are complete. */
const MAX_DEVIATIONS = 4;

/** Time within which nearly all answers of a service are complete, in ms. */
export function longAnswerMs({meanMs, deviationMs}: AnswerTime): number {
  return meanMs + MAX_DEVIATIONS * deviationMs;
}
