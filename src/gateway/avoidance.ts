/**
 * Endpoints that are avoided for a while after a failed attempt.
 *
 * One failed connection or broken answer is enough, because each further
 * attempt at an unreachable endpoint would wait for a connection timeout. The
 * backoff doubles with each consecutive failure and ends with an answer.
 */
import {Map} from 'immutable';

interface AvoidedEndpoint {
  readonly untilMs: number;
  readonly backoffMs: number;
}

/** Avoided endpoints by id. */
export type Avoidance = Map<string, AvoidedEndpoint>;

const INITIAL_BACKOFF_MS = 500;
/** Bounds the time until an endpoint that has recovered is used again. */
const MAX_BACKOFF_MS = 3_000;

export const emptyAvoidance: Avoidance = Map();

export function recordFailure(
  avoidance: Avoidance,
  id: string,
  nowMs: number,
): Avoidance {
  const found = avoidance.get(id);
  // Concurrent attempts that fail together count as one failure.
  if (found && found.untilMs > nowMs) return avoidance;
  const backoffMs = found
    ? Math.min(MAX_BACKOFF_MS, found.backoffMs * 2)
    : INITIAL_BACKOFF_MS;
  return avoidance.set(id, {untilMs: nowMs + backoffMs, backoffMs});
}

export function clearFailures(avoidance: Avoidance, id: string): Avoidance {
  return avoidance.delete(id);
}

/** Time for which an endpoint is still avoided, in ms; 0 if it is not. */
export function avoidedForMs(
  avoidance: Avoidance,
  id: string,
  nowMs: number,
): number {
  return Math.max(0, (avoidance.get(id)?.untilMs ?? -Infinity) - nowMs);
}

export function isAvoided(
  avoidance: Avoidance,
  id: string,
  nowMs: number,
): boolean {
  return (avoidance.get(id)?.untilMs ?? -Infinity) > nowMs;
}
