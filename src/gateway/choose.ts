/**
 * Which endpoint gets a request.
 *
 * Load pattern: several gateways send to the same endpoints and each sees the
 * others' requests with a delay. Always taking the least loaded would make
 * all of them choose the same one at once, so the choice is random among
 * those that are about as little loaded, and an endpoint of the own zone is
 * preferred among these. Ranks of a group wait for each other in every pass,
 * so an even spread over the ranks also makes the passes short. A slow rank
 * slows all of them by its own requests, so it gets new ones only when no
 * other endpoint has room.
 */
import {Avoidance, isAvoided} from './avoidance';
import {Registration} from './catalog';
import {isOpen, isSlow, Loads, requestsAt} from './load';

export interface Surroundings {
  readonly loads: Loads;
  readonly avoidance: Avoidance;
  readonly zone: string;
  readonly nowMs: number;
  /** A number from 0 up to 1. */
  readonly random: () => number;
  /** Whether a cold endpoint bears one more request now. */
  readonly bearsMore: (endpoint: Registration) => boolean;
}

export type Choice =
  | {readonly kind: 'endpoint'; readonly endpoint: Registration}
  /** All usable endpoints are full; some will be free again. */
  | {readonly kind: 'full'}
  /** Groups are broken, or no endpoint is registered. */
  | {readonly kind: 'none'};

/**
 * Requests that an endpoint may hold beyond its slots, so that a slot which
 * becomes free is taken without a round trip.
 */
const AHEAD = 1;

/** Endpoints within this many requests of the least loaded count as equal. */
const NEARLY_EQUAL = 1;

export function choose(
  serving: readonly Registration[],
  tried: ReadonlySet<string>,
  around: Surroundings,
): Choice {
  const {loads, avoidance, nowMs} = around;
  const open = serving.filter(e => isOpen(loads, e.id, nowMs));
  if (open.length === 0) return {kind: 'none'};
  const fresh = open.filter(e => !tried.has(e.id));
  const sound = fresh.filter(e => !isAvoided(avoidance, e.id, nowMs));
  // Where all are avoided the reason is more likely on this side.
  const usable = [sound, fresh, open].find(list => list.length > 0)!;
  const bearing = usable.filter(
    e =>
      requestsAt(loads, e.id, nowMs) < e.slots + AHEAD && around.bearsMore(e),
  );
  if (bearing.length === 0) return {kind: 'full'};
  const notSlow = bearing.filter(e => !isSlow(loads, e.id, nowMs));
  const endpoint = leastLoaded(notSlow.length > 0 ? notSlow : bearing, around);
  return {kind: 'endpoint', endpoint};
}

function leastLoaded(
  endpoints: readonly Registration[],
  {loads, nowMs, zone, random}: Surroundings,
): Registration {
  const counts = endpoints.map(e => requestsAt(loads, e.id, nowMs));
  const limit = Math.min(...counts) + NEARLY_EQUAL;
  const near = endpoints.filter((_, i) => counts[i]! <= limit);
  const own = near.filter(e => e.zone === zone);
  const among = own.length > 0 ? own : near;
  return among[Math.floor(random() * among.length)]!;
}
