/**
 * Simulates a group of ranks while the popularity of its experts drifts.
 *
 * Popularity in each layer follows Zipf's law over a random order of the
 * experts. It drifts in two ways:
 * - Swaps: about once a minute in each layer, a hot expert and a random one
 *   exchange their places gradually, over one minute.
 * - Jumps: at random times, ten minutes apart on average, two hot experts of
 *   every layer exchange their places with random ones at once.
 *
 * All steps of a tick have the same loads. A new map comes into use only after
 * the weight store has served its bytes in the background and the group has
 * committed it.
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
  readonly decisionIntervalMs: number;
  /** Least time between the starts of two changes; 0 by default. */
  readonly minChangeIntervalMs?: number;
  /** Whether load reports are free of sampling noise. */
  readonly noiseFree?: boolean;
  /** The kind of drift to leave out: the jumps or the gradual swaps. */
  readonly without?: 'jumps' | 'swaps';
}

export interface Outcome {
  readonly meanSkew: number;
  readonly medianSkew: number;
  readonly p99Skew: number;
  readonly bytesMoved: number;
  readonly changes: number;
  /** Ticks whose steps ran on a map whose weights had not been loaded. */
  readonly stalledSteps: number;
  /** Steps that loading in the foreground would have stalled. */
  readonly foregroundSteps: number;
  /** Skew in each tick, averaged over the layers. */
  readonly skews: readonly number[];
  readonly jumpsMs: readonly number[];
}

export const STEP_MS = 50;
const TICK_MS = 200;
const REPORT_INTERVAL_MS = 1_000;
/** Time to prepare, commit and activate a map, without the loading. */
const COMMIT_DURATION_MS = 200;
/** Number of times that one step assigns a token to an expert, in one layer. */
const ASSIGNMENTS_PER_STEP = 65_536;
/** The most popular experts of a layer; swaps and jumps take one of them. */
const HOT_EXPERTS = 8;
const MEAN_SWAP_INTERVAL_MS = 60_000;
const SWAP_DURATION_MS = 60_000;
const MEAN_JUMP_INTERVAL_MS = 600_000;
const JUMPS_PER_LAYER = 2;

type Random = ReturnType<typeof xoroshiro128plus>;

interface Swap {
  readonly a: number;
  readonly b: number;
  readonly startMs: number;
}

interface LayerPopularity {
  /** Popularity rank of each expert, from 0 for the most popular. */
  readonly order: number[];
  swaps: readonly Swap[];
  nextSwapMs: number;
  /** Experts that the last jump made hot. */
  jumpedExperts: readonly number[];
}

interface Popularity {
  readonly random: Random;
  readonly zipf: Float64Array;
  readonly layers: readonly LayerPopularity[];
  nextJumpMs: number;
  readonly jumpsMs: number[];
}

export function simulate(scenario: Scenario): Outcome {
  const {shape, durationMs, policy, minChangeIntervalMs = 0} = scenario;
  const popularity = createPopularity(scenario);
  const noise = xoroshiro128plus(scenario.seed + 1);
  let loads = loadsAt(popularity, 0);
  let map = placeGreedily(shape, loads);
  let estimate: LoadEstimate | undefined;
  let loading: {readonly plan: Plan; readonly readyMs: number} | undefined;
  let nextDecisionMs = scenario.decisionIntervalMs;
  let lastChangeMs = -Infinity;
  const skews: number[] = [];
  let [bytesMoved, changes, stalledSteps, foregroundSteps] = [0, 0, 0, 0];
  for (let nowMs = 0; nowMs < durationMs; nowMs += TICK_MS) {
    loads = loadsAt(popularity, nowMs);
    if (loading && nowMs >= loading.readyMs) {
      map = loading.plan.map;
      loading = undefined;
      nextDecisionMs = nowMs + scenario.decisionIntervalMs;
    }
    skews.push(meanLayerSkew(map, loads));
    if (loading && loading.plan.map === map) stalledSteps += 1;
    if (nowMs % REPORT_INTERVAL_MS === 0) {
      const tokens = sampleReport(
        loads,
        scenario.noiseFree ? undefined : noise,
      );
      estimate = addSample(estimate, {tokens, rankMs: [], atMs: nowMs});
    }
    const dueMs = Math.max(nextDecisionMs, lastChangeMs + minChangeIntervalMs);
    if (estimate && !loading && nowMs >= dueMs) {
      const next = plan(estimate, map, policy);
      if (next) {
        loading = {
          plan: next,
          readyMs: nowMs + next.loadMs + COMMIT_DURATION_MS,
        };
        bytesMoved += next.moves.length * policy.expertBytes;
        foregroundSteps += Math.ceil(next.loadMs / STEP_MS);
        changes += 1;
        lastChangeMs = nowMs;
      } else {
        nextDecisionMs = nowMs + REPORT_INTERVAL_MS;
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

/**
 * Mean skew of a greedy placement that knows the true loads and splits an
 * expert's load evenly among its replicas.
 */
export function greedyMeanSkew(scenario: Scenario): number {
  const popularity = createPopularity(scenario);
  const sampleIntervalMs = 30_000;
  const skews: number[] = [];
  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += TICK_MS) {
    const loads = loadsAt(popularity, nowMs);
    if (nowMs % sampleIntervalMs > 0) continue;
    skews.push(meanLayerSkew(placeGreedily(scenario.shape, loads), loads));
  }
  return skews.reduce((sum, s) => sum + s, 0) / skews.length;
}

const JUMP_OBSERVATION_MS = 60_000;

/**
 * For each jump, how long it was observed and the least load of each expert
 * that it made hot: the input of `onlineP99Bound`.
 */
export function jumpEffects(scenario: Scenario): readonly JumpEffect[] {
  const popularity = createPopularity(scenario);
  const {ranks} = scenario.shape;
  const effects: {layers: number[][]; lastsMs: number}[] = [];
  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += TICK_MS) {
    const loads = loadsAt(popularity, nowMs);
    if (popularity.jumpsMs.length > effects.length) {
      const layers = popularity.layers.map(({jumpedExperts}) =>
        jumpedExperts.map(() => Infinity),
      );
      effects.push({layers, lastsMs: 0});
    }
    const last = effects.at(-1);
    if (!last || last.lastsMs >= JUMP_OBSERVATION_MS) continue;
    last.lastsMs += TICK_MS;
    popularity.layers.forEach(({jumpedExperts}, i) =>
      jumpedExperts.forEach((expert, n) => {
        const load = loads[i]![expert]! * ranks;
        last.layers[i]![n] = Math.min(last.layers[i]![n]!, load);
      }),
    );
  }
  return effects;
}

/** Zipf loads of the shape's layers, each over a random order of experts. */
export function zipfLoads(
  shape: Shape,
  exponent: number,
  seed: number,
): readonly Float64Array[] {
  const scenario = {shape, exponent, seed};
  return loadsAt(createPopularity(scenario), 0);
}

function placeGreedily(
  shape: Shape,
  loads: readonly Float64Array[],
): ExpertMap {
  const layers = loads.map(layer => placeFromScratch(shape, layer));
  return createExpertMap(shape, layers).unwrap();
}

function meanLayerSkew(map: ExpertMap, loads: readonly Float64Array[]): number {
  let sum = 0;
  map.layers.forEach((layer, i) => {
    sum += skewOf(rankLoads(map.shape, layer, loads[i]!));
  });
  return sum / map.layers.length;
}

function createPopularity({
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
    jumpedExperts: [] as readonly number[],
    nextSwapMs: firstEventMs(
      sampleWaitMs(random, MEAN_SWAP_INTERVAL_MS),
      without === 'swaps',
    ),
  }));
  const wait = sampleWaitMs(random, MEAN_JUMP_INTERVAL_MS);
  const nextJumpMs = firstEventMs(wait, without === 'jumps');
  const weights = zipf.map(w => w / total);
  return {random, zipf: weights, layers, nextJumpMs, jumpsMs: []};
}

function firstEventMs(waitedMs: number, never: boolean): number {
  return never ? Infinity : waitedMs;
}

/**
 * Advances the popularity to `nowMs` and returns the loads of each layer.
 * Successive calls must have increasing times.
 */
function loadsAt(p: Popularity, nowMs: number): readonly Float64Array[] {
  if (nowMs >= p.nextJumpMs) {
    p.nextJumpMs = nowMs + sampleWaitMs(p.random, MEAN_JUMP_INTERVAL_MS);
    p.jumpsMs.push(nowMs);
    for (const layer of p.layers) applyJump(layer, p.random);
  }
  return p.layers.map(layer => {
    finishSwaps(layer, nowMs);
    if (nowMs >= layer.nextSwapMs) startSwap(layer, p.random, nowMs);
    const loads = Float64Array.from(layer.order, place => p.zipf[place]!);
    for (const {a, b, startMs} of layer.swaps) {
      const done = (nowMs - startMs) / SWAP_DURATION_MS;
      const [from, to] = [p.zipf[layer.order[a]!]!, p.zipf[layer.order[b]!]!];
      loads[a] = from + (to - from) * done;
      loads[b] = to + (from - to) * done;
    }
    return loads;
  });
}

function startSwap(layer: LayerPopularity, random: Random, nowMs: number) {
  layer.nextSwapMs = nowMs + sampleWaitMs(random, MEAN_SWAP_INTERVAL_MS);
  const [a, b] = pickHotAndRandomExpert(layer, random);
  const busy = layer.swaps.flatMap(s => [s.a, s.b]);
  if (a === b || busy.includes(a) || busy.includes(b)) return;
  layer.swaps = [...layer.swaps, {a, b, startMs: nowMs}];
}

function finishSwaps(layer: LayerPopularity, nowMs: number): void {
  const over = (s: Swap) => nowMs - s.startMs >= SWAP_DURATION_MS;
  for (const {a, b} of layer.swaps.filter(over)) exchangePlaces(layer, a, b);
  layer.swaps = layer.swaps.filter(s => !over(s));
}

function applyJump(layer: LayerPopularity, random: Random): void {
  const places = new Set<number>();
  for (let n = 0; n < JUMPS_PER_LAYER; n++) {
    const [a, b] = pickHotAndRandomExpert(layer, random);
    places.add(layer.order[a]!);
    layer.swaps = layer.swaps.filter(
      s => ![s.a, s.b].some(e => e === a || e === b),
    );
    exchangePlaces(layer, a, b);
  }
  layer.jumpedExperts = [...places].map(place => layer.order.indexOf(place));
}

function exchangePlaces({order}: LayerPopularity, a: number, b: number): void {
  [order[a], order[b]] = [order[b]!, order[a]!];
}

function pickHotAndRandomExpert({order}: LayerPopularity, random: Random) {
  const place = uniformInt(random, 0, HOT_EXPERTS - 1);
  const other = uniformInt(random, 0, order.length - 1);
  return [order.indexOf(place), other] as const;
}

/** Token counts of one report, with sampling noise if `random` is given. */
function sampleReport(
  loads: readonly Float64Array[],
  random: Random | undefined,
): readonly Float64Array[] {
  const tokens = (ASSIGNMENTS_PER_STEP * REPORT_INTERVAL_MS) / STEP_MS;
  return loads.map(layer =>
    layer.map(share => {
      const expected = share * tokens;
      const error = random ? Math.sqrt(expected) * sampleNormal(random) : 0;
      return Math.max(0, expected + error);
    }),
  );
}

function sampleNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - uniformFloat64(random)));
  return radius * Math.cos(2 * Math.PI * uniformFloat64(random));
}

function sampleWaitMs(random: Random, meanMs: number): number {
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
