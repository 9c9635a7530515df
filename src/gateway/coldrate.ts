/**
 * Rate limit for requests to endpoints that have just started.
 *
 * Load pattern: a whole zone restarts cold, and all gateways see it idle at
 * once. A cold endpoint can serve a given number of requests per second from
 * all gateways together, so each gateway may use an equal share. Where that is
 * less than one request per second, the gateways take turns of one second.
 */
import {Map} from 'immutable';

/** Times of the requests sent in the last second, by endpoint. */
export type ColdSendTimes = Map<string, readonly number[]>;

export const emptyColdSends: ColdSendTimes = Map();

const SECOND_MS = 1_000;

/** Allotted share of the rate; the rest is for gateways not counted yet. */
const ALLOTTED_SHARE = 0.8;

export interface ColdRate {
  /** Requests per second that the endpoint can serve; 0 means unlimited. */
  readonly requestsPerS: number;
  /** Number of gateways that share the rate. */
  readonly gateways: number;
  /**
   * Place of this gateway's turn among the others', from 0 (inclusive) to 1
   * (exclusive); random, because gateways do not know each other.
   */
  readonly phase: number;
}

/** Whether this gateway may send one more request to a cold endpoint now. */
export function isWithinColdRate(
  sends: ColdSendTimes,
  id: string,
  {requestsPerS, gateways, phase}: ColdRate,
  nowMs: number,
): boolean {
  if (requestsPerS === 0) return true;
  const shareOfRate = (requestsPerS * ALLOTTED_SHARE) / gateways;
  if (shareOfRate < 1) {
    const turns = Math.ceil(1 / shareOfRate);
    const turn = Math.floor(nowMs / SECOND_MS) % turns;
    if (turn !== Math.floor(phase * turns)) return false;
  }
  const limit = Math.max(1, Math.floor(shareOfRate));
  return sendsInLastSecond(sends, id, nowMs).length < limit;
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
