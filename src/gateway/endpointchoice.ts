/**
 * Chooses the endpoint for a request.
 *
 * Load pattern: several gateways send to the same endpoints, and each sees the
 * others' requests with a delay. If each took the least loaded endpoint, all
 * would choose the same one at once. The choice is therefore random among the
 * endpoints with nearly the lowest load, and prefers those in the gateway's own
 * zone. The ranks of a group wait for each other in every pass, so an even
 * spread over the ranks also keeps the passes short. Requests on a slow rank
 * slow down the whole group, so it gets new ones only if no other endpoint has
 * room.
 *
 * An endpoint whose reports have stopped may be on a machine that has stopped.
 * It cannot see that callers leave, and to a gateway that only counts its own
 * requests it seems to be free as soon as they do. It gets requests only if no
 * reporting endpoint is left.
 */
import {Avoidance, isAvoided} from './avoidance';
import {Registration} from './catalog';
import {
  estimatedRequests,
  isGroupOpen,
  isSilent,
  isSlow,
  Loads,
} from './endpointload';

export interface ChoiceContext {
  readonly loads: Loads;
  readonly avoidance: Avoidance;
  /** Zone of this gateway. */
  readonly zone: string;
  readonly nowMs: number;
  /** A number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  /** Whether the endpoint, if cold or limited, may get a request now. */
  readonly withinRate: (endpoint: Registration) => boolean;
}

export type Choice =
  | {readonly kind: 'endpoint'; readonly endpoint: Registration}
  /** All usable endpoints are full; wait for a free slot. */
  | {readonly kind: 'full'}
  /** No endpoint is registered, or the groups of all are broken. */
  | {readonly kind: 'none'};

/**
 * Requests that an endpoint may have beyond its slots, so that a freed slot is
 * used without waiting for a round trip.
 */
const MAX_REQUESTS_BEYOND_SLOTS = 1;

/** Endpoints within this many requests of the least loaded count as equal. */
const NEARLY_EQUAL_REQUESTS = 1;

export function chooseEndpoint(
  serving: readonly Registration[],
  tried: ReadonlySet<string>,
  context: ChoiceContext,
): Choice {
  const {loads, avoidance, nowMs} = context;
  const open = serving.filter(e => isGroupOpen(loads, e.id, nowMs));
  if (open.length === 0) return {kind: 'none'};
  const untried = open.filter(e => !tried.has(e.id));
  const reporting = withoutSilent(untried, serving, context);
  const notAvoided = reporting.filter(e => !isAvoided(avoidance, e.id, nowMs));
  // If all are avoided, the fault is more likely on the gateway's side.
  const usable = [notAvoided, reporting, untried, open].find(
    list => list.length > 0,
  )!;
  const available = usable.filter(
    e =>
      estimatedRequests(loads, e.id, nowMs) <
        e.slots + MAX_REQUESTS_BEYOND_SLOTS && context.withinRate(e),
  );
  if (available.length === 0) return {kind: 'full'};
  const notSlow = available.filter(e => !isSlow(loads, e.id, nowMs));
  const endpoint = leastLoaded(
    notSlow.length > 0 ? notSlow : available,
    context,
  );
  return {kind: 'endpoint', endpoint};
}

/** If most endpoints are silent, the reports are at fault and not they. */
function withoutSilent(
  endpoints: readonly Registration[],
  serving: readonly Registration[],
  {loads, nowMs}: ChoiceContext,
): readonly Registration[] {
  const silent = (e: Registration) => isSilent(loads, e.id, nowMs);
  if (serving.filter(silent).length > serving.length / 2) return endpoints;
  return endpoints.filter(e => !silent(e));
}

function leastLoaded(
  endpoints: readonly Registration[],
  {loads, nowMs, zone, random}: ChoiceContext,
): Registration {
  const counts = endpoints.map(e => estimatedRequests(loads, e.id, nowMs));
  const limit = Math.min(...counts) + NEARLY_EQUAL_REQUESTS;
  const near = endpoints.filter((_, i) => counts[i]! <= limit);
  const own = near.filter(e => e.zone === zone);
  const among = own.length > 0 ? own : near;
  return among[Math.floor(random() * among.length)]!;
}
