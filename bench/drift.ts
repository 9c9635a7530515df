/**
 * A group of ranks in simulated time under drifting expert popularity.
 *
 * Popularity in each layer follows Zipf's law over a random order of the
 * experts. It drifts in two ways: a hot expert and a random one exchange
 * their places gradually within a minute, about once a minute in each layer,
 * and at random times, ten minutes apart on average, two hot experts of
 * every layer jump to other experts at once. Steps of one tick have the same
 * loads. A new map is in use only after the weight store has served its
 * bytes in the background and the group has committed it.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {LoadEstimate, addSample} from '../src/experts/load';
import {
  ExpertMap,
  createExpertMap,
  rankLoads,
  Shape,
  skewOf,
} from '../src/experts/map';
import {placeFromScratch} from '../src/experts/placement';
import {Plan, plan, PolicySettings} from '../src/experts/policy';
import {JumpEffect} from './onlinebound';
import {quantile} from './support/figures';

export interface Scenario {
  readonly shape: Shape;
  readonly exponent: number;
  readonly durationMs: number;
  readonly seed: number;
  readonly policy: PolicySettings;
  /** Time from the end of one change to the next decision. */
  readonly decideEveryMs: number;
  /** Least time between the starts of two changes; 0 by default. */
  readonly leastGapMs?: number;
  /** Reports are free of sampling noise. */
  readonly informed?: boolean;
  /** Popularity without the jumps or without the gradual swaps. */
  readonly without?: 'jumps' | 'swaps';
}

export interface Outcome {
  readonly meanSkew: number;
  readonly medianSkew: number;
  readonly p99Skew: number;
  readonly bytesMoved: number;
  readonly changes: number;
  /** Steps run on a map whose weights had not been loaded. */
  readonly stalledSteps: number;
  /** Steps that loading in the foreground would have stalled. */
  readonly foregroundSteps: number;
  /** Skew of the steps of each tick. */
  readonly skews: readonly number[];
  readonly jumpsMs: readonly number[];
}

export const STEP_MS = 50;
const TICK_MS = 200;
const REPORT_MS = 1_000;
/** Prepare, commit and activate, without the loading. */
const COMMIT_MS = 200;
/** Expert assignments of a step in one layer. */
const ASSIGNMENTS = 65_536;
const HOT = 8;
const SWAP_EVERY_MS = 60_000;
const SWAP_TAKES_MS = 60_000;
const JUMP_EVERY_MS = 600_000;
const JUMPED_EXPERTS = 2;

type Random = ReturnType<typeof xoroshiro128plus>;

interface Swap {
  readonly a: number;
  readonly b: number;
  readonly startMs: number;
}

interface LayerPopularity {
  /** Position of each expert in Zipf's order, from 0. */
  readonly order: number[];
  swaps: readonly Swap[];
  nextSwapMs: number;
  /** Experts that the last jump gave hot places. */
  drawn: readonly number[];
}

interface Popularity {
  readonly random: Random;
  readonly zipf: Float64Array;
  readonly layers: readonly LayerPopularity[];
  nextJumpMs: number;
  readonly jumpsMs: number[];
}

export function simulate(scenario: Scenario): Outcome {
  const {shape, durationMs, policy, leastGapMs = 0} = scenario;
  const popularity = popularityOf(scenario);
  const noise = xoroshiro128plus(scenario.seed + 1);
  let loads = loadsAt(popularity, 0);
  let map = startMap(shape, loads);
  let estimate: LoadEstimate | undefined;
  let loading: {readonly plan: Plan; readonly readyMs: number} | undefined;
  let nextDecisionMs = scenario.decideEveryMs;
  let changedMs = -Infinity;
  const skews: number[] = [];
  let [bytesMoved, changes, stalledSteps, foregroundSteps] = [0, 0, 0, 0];
  for (let nowMs = 0; nowMs < durationMs; nowMs += TICK_MS) {
    loads = loadsAt(popularity, nowMs);
    if (loading && nowMs >= loading.readyMs) {
      map = loading.plan.map;
      loading = undefined;
      nextDecisionMs = nowMs + scenario.decideEveryMs;
    }
    skews.push(skewNow(map, loads));
    if (loading && loading.plan.map === map) stalledSteps += 1;
    if (nowMs % REPORT_MS === 0) {
      const tokens = reported(loads, scenario.informed ? undefined : noise);
      estimate = addSample(estimate, {tokens, rankMs: [], atMs: nowMs});
    }
    const dueMs = Math.max(nextDecisionMs, changedMs + leastGapMs);
    if (estimate && !loading && nowMs >= dueMs) {
      const next = plan(estimate, map, policy);
      if (next) {
        loading = {plan: next, readyMs: nowMs + next.loadMs + COMMIT_MS};
        bytesMoved += next.moves.length * policy.expertBytes;
        foregroundSteps += Math.ceil(next.loadMs / STEP_MS);
        changes += 1;
        changedMs = nowMs;
      } else {
        nextDecisionMs = nowMs + REPORT_MS;
      }
    }
  }
  return {
    meanSkew: skews.reduce((sum, s) => sum + s, 0) / skews.length,
    medianSkew: quantile(skews, 0.5),
    p99Skew: quantile(skews, 0.99),
    bytesMoved,
    changes,
    stalledSteps,
    foregroundSteps,
    skews,
    jumpsMs: popularity.jumpsMs,
  };
}

/** Mean skew of a greedy placement that knows the true loads, even shares. */
export function lowerBound(scenario: Scenario): number {
  const popularity = popularityOf(scenario);
  const everyMs = 30_000;
  const skews: number[] = [];
  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += TICK_MS) {
    const loads = loadsAt(popularity, nowMs);
    if (nowMs % everyMs > 0) continue;
    skews.push(skewNow(startMap(scenario.shape, loads), loads));
  }
  return skews.reduce((sum, s) => sum + s, 0) / skews.length;
}

const WATCHED_MS = 60_000;

/** What each jump did, as `onlineP99Bound` needs it. */
export function jumpEffects(scenario: Scenario): readonly JumpEffect[] {
  const popularity = popularityOf(scenario);
  const {ranks} = scenario.shape;
  const effects: {layers: number[][]; lastsMs: number}[] = [];
  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += TICK_MS) {
    const loads = loadsAt(popularity, nowMs);
    if (popularity.jumpsMs.length > effects.length) {
      const layers = popularity.layers.map(({drawn}) =>
        drawn.map(() => Infinity),
      );
      effects.push({layers, lastsMs: 0});
    }
    const last = effects.at(-1);
    if (!last || last.lastsMs >= WATCHED_MS) continue;
    last.lastsMs += TICK_MS;
    popularity.layers.forEach(({drawn}, i) =>
      drawn.forEach((expert, n) => {
        const load = loads[i]![expert]! * ranks;
        last.layers[i]![n] = Math.min(last.layers[i]![n]!, load);
      }),
    );
  }
  return effects;
}

/** Zipf weights of `layers` layers in random orders. */
export function zipfLoads(
  shape: Shape,
  exponent: number,
  seed: number,
): readonly Float64Array[] {
  const scenario = {shape, exponent, seed};
  return loadsAt(popularityOf(scenario), 0);
}

function startMap(shape: Shape, loads: readonly Float64Array[]): ExpertMap {
  const layers = loads.map(layer => placeFromScratch(shape, layer));
  return createExpertMap(shape, layers).unwrap();
}

function skewNow(map: ExpertMap, loads: readonly Float64Array[]): number {
  let sum = 0;
  map.layers.forEach((layer, i) => {
    sum += skewOf(rankLoads(map.shape, layer, loads[i]!));
  });
  return sum / map.layers.length;
}

function popularityOf({
  shape,
  exponent,
  seed,
  without,
}: Pick<Scenario, 'shape' | 'exponent' | 'seed' | 'without'>): Popularity {
  const random = xoroshiro128plus(seed);
  const zipf = Float64Array.from({length: shape.experts}, (_, k) =>
    Math.pow(k + 1, -exponent),
  );
  const total = zipf.reduce((sum, weight) => sum + weight, 0);
  const layers = Array.from({length: shape.layers}, () => ({
    order: shuffled(shape.experts, random),
    swaps: [] as readonly Swap[],
    drawn: [] as readonly number[],
    nextSwapMs: firstMs(waitMs(random, SWAP_EVERY_MS), without === 'swaps'),
  }));
  const wait = waitMs(random, JUMP_EVERY_MS);
  const nextJumpMs = firstMs(wait, without === 'jumps');
  const weights = zipf.map(w => w / total);
  return {random, zipf: weights, layers, nextJumpMs, jumpsMs: []};
}

function firstMs(waitedMs: number, never: boolean): number {
  return never ? Infinity : waitedMs;
}

/** Popularity at a time; called with increasing times. */
function loadsAt(p: Popularity, nowMs: number): readonly Float64Array[] {
  if (nowMs >= p.nextJumpMs) {
    p.nextJumpMs = nowMs + waitMs(p.random, JUMP_EVERY_MS);
    p.jumpsMs.push(nowMs);
    for (const layer of p.layers) jump(layer, p.random);
  }
  return p.layers.map(layer => {
    finishSwaps(layer, nowMs);
    if (nowMs >= layer.nextSwapMs) startSwap(layer, p.random, nowMs);
    const loads = Float64Array.from(layer.order, place => p.zipf[place]!);
    for (const {a, b, startMs} of layer.swaps) {
      const done = (nowMs - startMs) / SWAP_TAKES_MS;
      const [from, to] = [p.zipf[layer.order[a]!]!, p.zipf[layer.order[b]!]!];
      loads[a] = from + (to - from) * done;
      loads[b] = to + (from - to) * done;
    }
    return loads;
  });
}

function startSwap(layer: LayerPopularity, random: Random, nowMs: number) {
  layer.nextSwapMs = nowMs + waitMs(random, SWAP_EVERY_MS);
  const [a, b] = hotAndOther(layer, random);
  const busy = layer.swaps.flatMap(s => [s.a, s.b]);
  if (a === b || busy.includes(a) || busy.includes(b)) return;
  layer.swaps = [...layer.swaps, {a, b, startMs: nowMs}];
}

function finishSwaps(layer: LayerPopularity, nowMs: number): void {
  const over = (s: Swap) => nowMs - s.startMs >= SWAP_TAKES_MS;
  for (const {a, b} of layer.swaps.filter(over)) exchange(layer, a, b);
  layer.swaps = layer.swaps.filter(s => !over(s));
}

function jump(layer: LayerPopularity, random: Random): void {
  const places = new Set<number>();
  for (let n = 0; n < JUMPED_EXPERTS; n++) {
    const [a, b] = hotAndOther(layer, random);
    places.add(layer.order[a]!);
    layer.swaps = layer.swaps.filter(
      s => ![s.a, s.b].some(e => e === a || e === b),
    );
    exchange(layer, a, b);
  }
  layer.drawn = [...places].map(place => layer.order.indexOf(place));
}

function exchange({order}: LayerPopularity, a: number, b: number): void {
  [order[a], order[b]] = [order[b]!, order[a]!];
}

function hotAndOther({order}: LayerPopularity, random: Random) {
  const place = uniformInt(random, 0, HOT - 1);
  const other = uniformInt(random, 0, order.length - 1);
  return [order.indexOf(place), other] as const;
}

/** Token counts of one report, with the noise of sampling if any. */
function reported(
  loads: readonly Float64Array[],
  random: Random | undefined,
): readonly Float64Array[] {
  const tokens = (ASSIGNMENTS * REPORT_MS) / STEP_MS;
  return loads.map(layer =>
    layer.map(share => {
      const expected = share * tokens;
      const error = random ? Math.sqrt(expected) * normal(random) : 0;
      return Math.max(0, expected + error);
    }),
  );
}

function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - uniformFloat64(random)));
  return radius * Math.cos(2 * Math.PI * uniformFloat64(random));
}

function waitMs(random: Random, meanMs: number): number {
  return -meanMs * Math.log(1 - uniformFloat64(random));
}

function shuffled(count: number, random: Random): number[] {
  const order = Array.from({length: count}, (_, i) => i);
  for (let i = count - 1; i > 0; i--) {
    const j = uniformInt(random, 0, i);
    [order[i], order[j]] = [order[j]!, order[i]!];
  }
  return order;
}
