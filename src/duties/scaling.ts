/**
 * Decides how many endpoints a service needs in a zone.
 *
 * Load patterns: a burst that is over before new endpoints would serve, a lasting
 * shortage, and demand that falls slowly. The number needed now follows from the
 * requests that run and wait, and from those refused for lack of room. More
 * endpoints are ordered only for what was needed at every moment of one boot time,
 * and fewer only down to what was needed at some moment of a long calm, so that
 * orders do not follow fluctuations. Without a reason there is no order.
 *
 * Failures: reports that have stopped, a zone that is cut off or out of service,
 * and most endpoints of a group that is broken. There is no order then, and what
 * was observed before does not count afterwards.
 */

/** What the configuration says about the scaling of a service in each zone. */
export interface ScalingBounds {
  readonly min: number;
  readonly max: number;
  /** Time from an order until the new endpoints serve. */
  readonly bootMs: number;
}

/** A service in a zone, as it was when the newest reports were made. */
export interface ScalingObservation {
  /** Endpoints that are registered and do not drain. */
  readonly endpoints: number;
  /** Those of which a fresh report says that they work. */
  readonly reporting: number;
  /** Requests that these run and that wait at these. */
  readonly running: number;
  readonly queued: number;
  /** Requests that these can run at once. */
  readonly capacity: number;
  /** Requests that wait at the gateways of the zone. */
  readonly waiting: number;
  /** Requests that began and that were refused since the last observation. */
  readonly begun: number;
  readonly refused: number;
  /** Age of the oldest part of the observation. */
  readonly ageMs: number;
  readonly isZoneOut: boolean;
}

interface Sample {
  readonly atMs: number;
  /** Endpoints that were needed at that moment. */
  readonly needed: number;
}

export interface Scaling {
  /** Samples without a gap, oldest first. */
  readonly samples: readonly Sample[];
  /** Start of the time that may cause an increase. */
  readonly risingSinceMs: number;
  /** Start of the time that may cause a decrease. */
  readonly calmSinceMs: number;
}

export interface ScalingDecision {
  readonly state: Scaling;
  /** Number of endpoints to order; undefined for no order. */
  readonly desired: number | undefined;
}

/** Reports older than this cause no order, in milliseconds. */
const MAX_AGE_MS = 2_000;
/** Longest time between two samples of one series, in milliseconds. */
const MAX_GAP_MS = 2_500;
/** Share of the endpoints that must report; with fewer the zone is cut off. */
const MIN_REPORTING_SHARE = 0.5;
/** Share of the slots that are used when there are enough endpoints. */
const TARGET_FILL = 0.85;
/**
 * Weight of a refused request against one that began. Callers come back once, so
 * that each that is not served in the end is refused twice.
 */
const REFUSED_WEIGHT = 0.5;
/** One order at most multiplies the endpoints by this. */
const MAX_GROWTH = 2;
/** One order removes at most this share of the endpoints, and at least one. */
const MAX_DECREASE_SHARE = 0.2;
/** Shortest calm before a decrease, in milliseconds and in boot times. */
const MIN_CALM_MS = 30_000;
const CALM_BOOT_TIMES = 4;
/** Bound on a calm and so on the samples, in milliseconds. */
const MAX_CALM_MS = 600_000;
/** After new endpoints serve, the load settles within this time. */
const SETTLE_MS = 2_000;

export const newScaling: Scaling = {
  samples: [],
  risingSinceMs: -Infinity,
  calmSinceMs: -Infinity,
};

export function decideScaling(
  before: Scaling,
  seen: ScalingObservation | undefined,
  bounds: ScalingBounds,
  nowMs: number,
): ScalingDecision {
  if (!seen || seen.ageMs > MAX_AGE_MS) {
    return {state: before, desired: undefined};
  }
  if (!isUsable(seen)) {
    return {state: {...before, samples: []}, desired: undefined};
  }
  const calmMs = calmTimeMs(bounds);
  const newest = before.samples.at(-1);
  const isContinued = newest && nowMs - newest.atMs <= MAX_GAP_MS;
  const samples = (isContinued ? before.samples : [])
    .filter(({atMs}) => nowMs - atMs <= calmMs)
    .concat({atMs: nowMs, needed: neededEndpoints(seen)});
  const state = {...before, samples};
  const desired =
    increase(state, seen, bounds, nowMs) ??
    decrease(state, seen, bounds, nowMs);
  if (desired === undefined) return {state, desired};
  const isIncrease = desired > seen.endpoints;
  // New endpoints change the load only when they serve.
  const settledMs =
    nowMs + (isIncrease ? bounds.bootMs + SETTLE_MS : SETTLE_MS);
  return {
    state: {
      ...state,
      risingSinceMs: settledMs,
      // A step down needs a part of the calm again, a step up all of it.
      calmSinceMs: isIncrease ? settledMs : nowMs - calmMs * 0.75,
    },
    desired,
  };
}

/** The state after an order was not answered: it may be given again at once. */
export function forgetOrder(state: Scaling): Scaling {
  return {...state, risingSinceMs: -Infinity};
}

function isUsable(seen: ScalingObservation): boolean {
  if (seen.isZoneOut) return false;
  if (seen.reporting === 0 || seen.capacity <= 0) return false;
  return seen.reporting >= seen.endpoints * MIN_REPORTING_SHARE;
}

function neededEndpoints(seen: ScalingObservation): number {
  const {running, queued, waiting, begun, refused, reporting} = seen;
  const perEndpoint = seen.capacity / reporting;
  // Endpoints that are not heard are assumed to run as much as the others.
  const atEndpoints = ((running + queued) * seen.endpoints) / reporting;
  const refusedShare = (refused * REFUSED_WEIGHT) / Math.max(1, begun);
  const factor = 1 + Math.min(refusedShare, MAX_GROWTH - 1);
  const slots = (atEndpoints + waiting) * factor;
  return Math.ceil(slots / (perEndpoint * TARGET_FILL));
}

function increase(
  {samples, risingSinceMs}: Scaling,
  {endpoints}: ScalingObservation,
  {min, max, bootMs}: ScalingBounds,
  nowMs: number,
): number | undefined {
  const spanMs = Math.min(bootMs, MAX_CALM_MS);
  const needed = overSpan(samples, risingSinceMs, spanMs, nowMs);
  if (!needed || needed.least <= endpoints) return undefined;
  const growth = Math.max(endpoints + 1, Math.floor(endpoints * MAX_GROWTH));
  const desired = clamp(Math.min(needed.least, growth), min, max);
  return desired > endpoints ? desired : undefined;
}

function decrease(
  {samples, calmSinceMs}: Scaling,
  {endpoints}: ScalingObservation,
  bounds: ScalingBounds,
  nowMs: number,
): number | undefined {
  const needed = overSpan(samples, calmSinceMs, calmTimeMs(bounds), nowMs);
  if (!needed) return undefined;
  const step = Math.max(1, Math.floor(endpoints * MAX_DECREASE_SHARE));
  const least = Math.max(needed.most, endpoints - step);
  const desired = clamp(least, bounds.min, bounds.max);
  return desired < endpoints ? desired : undefined;
}

/**
 * The least and the most endpoints needed in the last `spanMs`; undefined if the
 * samples or the time since `sinceMs` do not cover it.
 */
function overSpan(
  samples: readonly Sample[],
  sinceMs: number,
  spanMs: number,
  nowMs: number,
): {readonly least: number; readonly most: number} | undefined {
  const fromMs = nowMs - spanMs;
  const oldestMs = samples[0]?.atMs ?? Infinity;
  if (sinceMs > fromMs || oldestMs > fromMs + MAX_GAP_MS) return undefined;
  let least = Infinity;
  let most = 0;
  for (const {atMs, needed} of samples) {
    if (atMs < fromMs) continue;
    least = Math.min(least, needed);
    most = Math.max(most, needed);
  }
  return {least, most};
}

function calmTimeMs({bootMs}: ScalingBounds): number {
  const calmMs = Math.max(MIN_CALM_MS, CALM_BOOT_TIMES * bootMs);
  return Math.min(MAX_CALM_MS, calmMs);
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
