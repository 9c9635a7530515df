/**
 * A lower bound of p99 skew for every policy that does not know the future.
 *
 * A jump gives the loads of a few hot places to experts that are drawn
 * uniformly. A policy has chosen its slots before the draw, so the expected
 * number of slots of a drawn expert is at most slots over experts, however it
 * hedges. A layer whose expert carries `a` times a rank's mean load on `m`
 * ranks has a skew of at least `a / m`, since one of the ranks has at least
 * that part. Each rank beyond those that had the expert costs one load from
 * the store.
 *
 * The relaxation lets a policy learn of a jump at once, spend the store's
 * whole rate on the drawn experts, divide it freely (also in fractions) over
 * layers, need no time for reports and commits, and have no other load to
 * place. All of this only helps, so no policy recovers sooner in expectation.
 * The missing loads `max(0, a / s - m)` are jointly convex in the skew `s`
 * that a layer is brought to and in the slots `m` that it had; by Jensen's
 * inequality their mean is not below their value at the means. Steps outside
 * the recoveries count as even.
 *
 * The bound is one of expectation over the draws: in a single run a policy
 * can be lucky. It assumes that a rank holds the weights of its slots only.
 */

/** What one jump did; loads are in multiples of a rank's mean load. */
export interface JumpEffect {
  /** Loads of the drawn experts, layer by layer. */
  readonly layers: readonly (readonly number[])[];
  /** Time for which the loads were at least these. */
  readonly lastsMs: number;
}

export interface OnlineLimits {
  readonly slots: number;
  readonly experts: number;
  /** Experts of one layer that the store serves in a second. */
  readonly expertsPerS: number;
}

/**
 * Least expected number of loads until the mean skew of a jump's layers is
 * `skew`, by the Lagrangian dual: each multiplier gives a valid bound.
 */
export function minExpectedLoads(
  {layers}: JumpEffect,
  skew: number,
  limits: OnlineLimits,
): number {
  const terms = layers.map(loads => loads.map(a => termOf(a, limits)));
  const allowed = layers.length * (skew - 1);
  let best = 0;
  for (let multiplier = 64; multiplier > 1e-3; multiplier /= 1.1) {
    const sum = terms.reduce((n, t) => n + leastCost(t, multiplier), 0);
    best = Math.max(best, sum - multiplier * allowed);
  }
  return best;
}

interface Term {
  /** Load of a drawn expert. */
  readonly load: number;
  /** Bound of the expected slots that count for it. */
  readonly held: number;
}

/**
 * A later draw of the same jump moves the load to an expert of the policy's
 * liking with probability 1 / experts; no more than `load` slots count.
 */
function termOf(load: number, {slots, experts}: OnlineLimits): Term {
  return {load, held: Math.min(load, (slots + load) / experts)};
}

/** Least missing loads plus priced excess of one layer, over its skew. */
function leastCost(terms: readonly Term[], multiplier: number): number {
  const cost = (skew: number) =>
    terms.reduce(
      (sum, {load, held}) => sum + Math.max(0, load / skew - held),
      multiplier * (skew - 1),
    );
  // The cost is convex; its least value is at an end or breakpoint of a
  // piece or where a piece is level.
  const ends = terms.map(({load, held}) => load / held);
  const active = ends.map(end => terms.filter(t => t.load / t.held >= end));
  const level = active.map(list =>
    Math.sqrt(list.reduce((sum, {load}) => sum + load, 0) / multiplier),
  );
  const skews = [1, ...ends, ...level].filter(s => s >= 1);
  return Math.min(...skews.map(cost));
}

/** Expected time above a skew after all jumps, in milliseconds, at least. */
export function leastTimeAbove(
  jumps: readonly JumpEffect[],
  skew: number,
  limits: OnlineLimits,
): number {
  return jumps.reduce((sum, jump) => {
    const most = jump.layers.flat().reduce((n, load) => n + load, 0);
    const mostMs = (most / limits.expertsPerS) * 1_000;
    const loadMs =
      (minExpectedLoads(jump, skew, limits) / limits.expertsPerS) * 1e3;
    // min(T, lasts) >= T * lasts / most for every T up to `mostMs`.
    return sum + loadMs * Math.min(1, jump.lastsMs / mostMs);
  }, 0);
}

/** Largest skew that more than 1 in 100 steps exceed in expectation. */
export function onlineP99Bound(
  jumps: readonly JumpEffect[],
  durationMs: number,
  limits: OnlineLimits,
): number {
  let [low, high] = [1, 100];
  for (let n = 0; n < 30; n++) {
    const middle = (low + high) / 2;
    const above = leastTimeAbove(jumps, middle, limits);
    if (above > 0.01 * durationMs) low = middle;
    else high = middle;
  }
  return low;
}
