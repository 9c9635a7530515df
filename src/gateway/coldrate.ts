/**
 * Rate limit for requests to endpoints that have just started.
 *
 * Load pattern: a whole zone restarts cold, and all gateways see it idle at
 * once. A cold endpoint can serve a given number of requests per second from
 * all gateways together, so each gateway may use an equal share.
 */
import {Map} from 'immutable';

/** Times of the requests sent in the last second, by endpoint. */
export type ColdSendTimes = Map<string, readonly number[]>;

export const emptyColdSends: ColdSendTimes = Map();

const SECOND_MS = 1_000;

/** Allotted share of the rate; the rest is for gateways not counted yet. */
const ALLOTTED_SHARE = 0.8;

/** Whether this gateway may send one more request to a cold endpoint now. */
export function isWithinColdRate(
  sends: ColdSendTimes,
  id: string,
  requestsPerS: number,
  gateways: number,
  nowMs: number,
): boolean {
  if (requestsPerS === 0) return true;
  const share = Math.max(
    1,
    Math.floor((requestsPerS * ALLOTTED_SHARE) / gateways),
  );
  return sendsInLastSecond(sends, id, nowMs).length < share;
}

export function recordColdSend(
  sends: ColdSendTimes,
  id: string,
  nowMs: number,
): ColdSendTimes {
  return sends.set(id, [...sendsInLastSecond(sends, id, nowMs), nowMs]);
}

function sendsInLastSecond(
  sends: ColdSendTimes,
  id: string,
  nowMs: number,
): readonly number[] {
  return sends.get(id, []).filter(ms => nowMs - ms < SECOND_MS);
}
