/**
 * Endpoints that are avoided for a while because attempts at them broke.
 *
 * One failed connection or broken answer is enough, because an endpoint that
 * is dark or cut off costs each further attempt its connection time. The
 * pause doubles with each failure in a row and ends with the first answer.
 */
import {Map} from 'immutable';

interface Failure {
  readonly untilMs: number;
  readonly pauseMs: number;
}

export type Avoidance = Map<string, Failure>;

const FIRST_PAUSE_MS = 500;
/** An endpoint that works again is found within this time. */
const LAST_PAUSE_MS = 3_000;

export const nothingAvoided: Avoidance = Map();

export function failedAt(
  avoidance: Avoidance,
  id: string,
  nowMs: number,
): Avoidance {
  const found = avoidance.get(id);
  // Attempts that failed together count as one failure.
  if (found && found.untilMs > nowMs) return avoidance;
  const pauseMs = found
    ? Math.min(LAST_PAUSE_MS, found.pauseMs * 2)
    : FIRST_PAUSE_MS;
  return avoidance.set(id, {untilMs: nowMs + pauseMs, pauseMs});
}

export function answeredBy(avoidance: Avoidance, id: string): Avoidance {
  return avoidance.delete(id);
}

export function isAvoided(
  avoidance: Avoidance,
  id: string,
  nowMs: number,
): boolean {
  return (avoidance.get(id)?.untilMs ?? -Infinity) > nowMs;
}
