/**
 * Rates of requests to an endpoint that all gateways share: the rate that a
 * cold endpoint can serve, and the limit that an overloaded endpoint names.
 *
 * Load pattern: a whole zone restarts cold, or most endpoints of a service name
 * a limit, and all gateways see room there at once. Each gateway may use an
 * equal share of the rate, evenly over time. Where that is less than one request
 * per second, a gateway may send only in a turn of one second of each period,
 * so that unused shares of many gateways do not add up to a burst.
 */
import {Map} from 'immutable';

/** Time of the last request to each endpoint, by id. */
export type LastSends = Map<string, number>;

export const emptyLastSends: LastSends = Map();

export interface SharedRate {
  /** Requests per second of all gateways together. */
  readonly requestsPerS: number;
  /** Number of gateways that share the rate. */
  readonly gateways: number;
  /**
   * Place of this gateway's turn among the others', from 0 (inclusive) to 1
   * (exclusive); random, because gateways do not know each other.
   */
  readonly phase: number;
}

const SECOND_MS = 1_000;
/** Length of a gateway's turn in each period. */
const TURN_MS = 1_000;

/** Whether this gateway may send one more request to the endpoint now. */
export function isWithinRate(
  lastSends: LastSends,
  id: string,
  {requestsPerS, gateways, phase}: SharedRate,
  nowMs: number,
): boolean {
  const periodMs = (SECOND_MS * gateways) / requestsPerS;
  const lastMs = lastSends.get(id, -Infinity);
  if (periodMs <= TURN_MS) return nowMs - lastMs >= periodMs;
  const intoPeriodMs = (((nowMs / periodMs - phase) % 1) + 1) % 1;
  const startMs = nowMs - intoPeriodMs * periodMs;
  return nowMs - startMs < TURN_MS && lastMs < startMs;
}
