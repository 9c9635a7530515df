/**
 * Endpoints that have said in an answer that they take no new requests.
 *
 * What an endpoint has said holds for its process: until another process is
 * registered under the id. A registration that says otherwise may have been
 * written before the answer.
 */
import {OrderedMap} from 'immutable';
import {Endpoint} from './model';

export type UnavailabilityReason =
  /** The endpoint is about to end. */
  | 'leaving'
  /** It has named a time for which it wants no requests. */
  | 'pause';

export interface Unavailability {
  readonly reason: UnavailabilityReason;
  /** Monotonic time at which it ends if the process goes on. */
  readonly untilMs: number;
  /** Start of the endpoint's process, as in its registration. */
  readonly startedMs: number | undefined;
}

/** By id of the endpoint, in the order in which they became unavailable. */
export type UnavailableEndpoints = OrderedMap<string, Unavailability>;

/**
 * Bound on the endpoints held. Most ids that have left never return, but one
 * whose registration has lapsed may.
 */
const MAX_UNAVAILABLE = 1_024;

export const noUnavailableEndpoints: UnavailableEndpoints = OrderedMap();

/** Makes an endpoint unavailable for as long as its process is registered. */
export function markLeaving(
  unavailable: UnavailableEndpoints,
  {id, startedMs}: Endpoint,
): UnavailableEndpoints {
  return add(unavailable, id, {
    reason: 'leaving',
    untilMs: Infinity,
    startedMs,
  });
}

/** Makes an endpoint unavailable until `untilMs`, if it is not for longer. */
export function markPaused(
  unavailable: UnavailableEndpoints,
  {id, startedMs}: Endpoint,
  untilMs: number,
): UnavailableEndpoints {
  const found = unavailable.get(id);
  if (found && found.untilMs >= untilMs) return unavailable;
  return add(unavailable, id, {reason: 'pause', untilMs, startedMs});
}

/** Drops the pauses that are over. */
export function removeElapsed(
  unavailable: UnavailableEndpoints,
  nowMs: number,
): UnavailableEndpoints {
  return unavailable.filter(({untilMs}) => untilMs > nowMs);
}

/** Time at which the next pause ends; infinite if there is none. */
export function nextEndMs(unavailable: UnavailableEndpoints): number {
  let endMs = Infinity;
  for (const {untilMs} of unavailable.values()) {
    endMs = Math.min(endMs, untilMs);
  }
  return endMs;
}

export function isUnavailable(
  unavailable: UnavailableEndpoints,
  id: string,
  nowMs: number,
): boolean {
  return (unavailable.get(id)?.untilMs ?? -Infinity) > nowMs;
}

/** Drops what an earlier process under the same id has said. */
export function applyRegistration(
  unavailable: UnavailableEndpoints,
  endpoint: Endpoint,
): UnavailableEndpoints {
  const {id, startedMs} = endpoint;
  const found = unavailable.get(id);
  if (!found) return unavailable;
  if (isOtherProcess(found, endpoint)) return unavailable.delete(id);
  return found.startedMs === undefined && startedMs !== undefined
    ? unavailable.set(id, {...found, startedMs})
    : unavailable;
}

/**
 * Whether two registrations under one id are of different processes. One that
 * does not name the start of its process shows nothing.
 */
export function isOtherProcess(
  a: Pick<Endpoint, 'startedMs'>,
  b: Pick<Endpoint, 'startedMs'>,
): boolean {
  if (a.startedMs === undefined || b.startedMs === undefined) return false;
  return a.startedMs !== b.startedMs;
}

function add(
  unavailable: UnavailableEndpoints,
  id: string,
  added: Unavailability,
): UnavailableEndpoints {
  const next = unavailable.set(id, added);
  return next.size > MAX_UNAVAILABLE
    ? next.delete(next.keySeq().first()!)
    : next;
}
