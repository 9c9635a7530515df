/**
 * The rate at which this gateway may send to endpoints that have just started.
 *
 * Load pattern: a whole zone comes back cold and all gateways see it empty at
 * once. A cold endpoint bears a number of requests in any second, from all
 * gateways together, so each has an equal part of it.
 */
import {Map} from 'immutable';

/** Times of the requests of the last second, by endpoint. */
export type ColdSends = Map<string, readonly number[]>;

export const noColdSends: ColdSends = Map();

const SECOND_MS = 1_000;

/** Part of the rate that is handed out, for gateways not counted yet. */
const HANDED_OUT = 0.8;

/** Whether a cold endpoint bears one more request of this gateway now. */
export function bearsOneMore(
  sends: ColdSends,
  id: string,
  perS: number,
  gateways: number,
  nowMs: number,
): boolean {
  if (perS === 0) return true;
  const share = Math.max(1, Math.floor((perS * HANDED_OUT) / gateways));
  return recent(sends, id, nowMs).length < share;
}

export function sentToCold(
  sends: ColdSends,
  id: string,
  nowMs: number,
): ColdSends {
  return sends.set(id, [...recent(sends, id, nowMs), nowMs]);
}

function recent(
  sends: ColdSends,
  id: string,
  nowMs: number,
): readonly number[] {
  return sends.get(id, []).filter(ms => nowMs - ms < SECOND_MS);
}
