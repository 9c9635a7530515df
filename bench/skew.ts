/**
 * Step-time skew of expert-parallel groups and the cost of rebalancing.
 *
 * Eight of a model's 60 layers are simulated, with 8/60 of the weight store's
 * rate and of the trials of a decision. The baseline of the skews is a static
 * map, placed well for the loads at the start. The baseline of the bytes is a
 * full placement from scratch every five minutes. Bounds are those of
 * performance target 1.
 */
import {performance} from 'node:perf_hooks';
import {addSample} from '../src/experts/load';
import {createExpertMap, Shape} from '../src/experts/map';
import {placeFromScratch} from '../src/experts/placement';
import {
  Mode,
  plan,
  DEFAULT_POLICY,
  PolicySettings,
} from '../src/experts/policy';
import {
  jumpEffects,
  greedyMeanSkew,
  Outcome,
  simulate,
  zipfLoads,
} from './drift';
import {onlineP99Bound} from './onlinebound';
import {Measurement, Row} from './row';
import {quantile} from './support/figures';

const MODEL_LAYERS = 60;
const SIMULATED_LAYERS = 8;
const ZIPF_EXPONENTS = [0.8, 1, 1.2];
const DURATION_MS = 3_600_000;
const FULL_PLACEMENT_INTERVAL_MS = 300_000;
const DECISION_INTERVAL_MS = 500;
const MAX_MEAN_SKEW = 1.05;
const MAX_P99_SKEW = 1.15;
const MAX_BYTES_RATIO = 0.2;
/** One change a minute in each of 2,500 groups is 42 table writes a second. */
const MAX_CHANGES_PER_HOUR = 60;
const LIMITED_CHANGE_INTERVAL_MS = 60_000;
const MAX_DECISION_MS = 50;

interface Size {
  readonly label: string;
  readonly shape: Shape;
}

export const SIZES: readonly Size[] = [
  {
    label: '32 ranks',
    shape: {layers: SIMULATED_LAYERS, ranks: 32, slotsPerRank: 5, experts: 128},
  },
  {
    label: '8 ranks',
    shape: {layers: SIMULATED_LAYERS, ranks: 8, slotsPerRank: 17, experts: 128},
  },
];

export const row: Row = {
  name: 'skew',
  seed: 1,
  async run(seed) {
    const found = SIZES.flatMap(size =>
      ZIPF_EXPONENTS.flatMap(exponent => measure(size, exponent, seed)),
    );
    return [
      ...found,
      measureDecisionUnderDrift(seed),
      measureDecisionAfterJump(seed),
    ];
  },
};

function measure(
  {label, shape}: Size,
  exponent: number,
  seed: number,
): readonly Measurement[] {
  const scenario = {shape, exponent, seed, durationMs: DURATION_MS};
  const run = (
    mode: Mode,
    decisionIntervalMs: number,
    minChangeIntervalMs = 0,
  ) =>
    simulate({
      ...scenario,
      policy: policyOf(mode),
      decisionIntervalMs,
      minChangeIntervalMs,
    });
  const staticMap = run('static', DECISION_INTERVAL_MS);
  const full = run('full', FULL_PLACEMENT_INTERVAL_MS);
  const incremental = run('incremental', DECISION_INTERVAL_MS);
  const limited = run(
    'incremental',
    DECISION_INTERVAL_MS,
    LIMITED_CHANGE_INTERVAL_MS,
  );
  const policy = policyOf('incremental');
  const incrementalScenario = {...scenario, policy, decisionIntervalMs: 0};
  const greedySkew = greedyMeanSkew(incrementalScenario);
  const onlineBound = onlineP99Bound(
    jumpEffects(incrementalScenario),
    DURATION_MS,
    {
      slots: shape.ranks * shape.slotsPerRank,
      experts: shape.experts,
      expertsPerS: policy.storeBytesPerS / policy.expertBytes,
    },
  );
  const p99Reachable = onlineBound <= MAX_P99_SKEW;
  const where = `${label}, Zipf ${exponent}`;
  return [
    {
      name: `mean skew, ${where}`,
      unit: 'ratio',
      baseline: staticMap.meanSkew,
      current: incremental.meanSkew,
      bound: {relation: 'at most', value: MAX_MEAN_SKEW},
      portable: true,
      note:
        `full ${formatFigure(full.meanSkew)}, greedy placement with true loads and ` +
        `even shares ${formatFigure(greedySkew)}`,
    },
    {
      name: `p99 skew, ${where}`,
      unit: 'ratio',
      baseline: staticMap.p99Skew,
      current: incremental.p99Skew,
      bound: p99Reachable
        ? {relation: 'at most', value: MAX_P99_SKEW}
        : undefined,
      portable: true,
      note:
        `full ${formatFigure(full.p99Skew)}, online lower bound ${formatFigure(onlineBound)}` +
        (p99Reachable ? '' : `: does not permit ${MAX_P99_SKEW}`),
    },
    {
      name: `bytes moved over full re-placement, ${where}`,
      unit: 'ratio',
      baseline: 1,
      current: incremental.bytesMoved / full.bytesMoved,
      bound: {relation: 'at most', value: MAX_BYTES_RATIO},
      portable: true,
      note:
        `${formatGigabytes(incremental)} GB in ${incremental.changes} changes, full ` +
        `${formatGigabytes(full)} GB in ${full.changes}`,
    },
    {
      name: `map changes an hour, ${where}`,
      unit: 'changes',
      baseline: full.changes,
      current: incremental.changes,
      bound: {relation: 'at most', value: MAX_CHANGES_PER_HOUR},
      portable: true,
      note:
        `${limited.changes} with a minute between changes: mean ` +
        `${formatFigure(limited.meanSkew)}, p99 ${formatFigure(limited.p99Skew)}`,
    },
    {
      name: `steps stalled by loading, ${where}`,
      unit: 'steps',
      baseline: full.foregroundSteps,
      current: incremental.stalledSteps,
      bound: {relation: 'at most', value: 0},
      portable: true,
      note: 'baseline: full re-placement that loads in the foreground',
    },
  ];
}

export function policyOf(mode: Mode): PolicySettings {
  const part = SIMULATED_LAYERS / MODEL_LAYERS;
  const storeBytesPerS = DEFAULT_POLICY.storeBytesPerS * part;
  const trials = Math.floor(DEFAULT_POLICY.trials * part);
  return {...DEFAULT_POLICY, mode, storeBytesPerS, trials};
}

const DECISIONS = 200;
const FULL_MODEL: Shape = {
  layers: MODEL_LAYERS,
  ranks: 32,
  slotsPerRank: 5,
  experts: 128,
};

/** Times decisions when popularity differs a little from what the map expects. */
function measureDecisionUnderDrift(seed: number): Measurement {
  const times = measureDecisionTimes(seed, (loads, other) =>
    loads.map((layer, i) =>
      layer.map((share, e) => 0.9 * share + 0.1 * other[i]![e]!),
    ),
  );
  return timeMeasurement('decision, p99, drift in every layer', times);
}

/** Times decisions right after popularity has changed entirely in every layer. */
function measureDecisionAfterJump(seed: number): Measurement {
  const times = measureDecisionTimes(seed, (_, other) => other);
  return timeMeasurement('decision, p99, jump in every layer', times);
}

type PopularityChange = (
  loads: readonly Float64Array[],
  other: readonly Float64Array[],
) => readonly Float64Array[];

function measureDecisionTimes(
  seed: number,
  change: PopularityChange,
): readonly number[] {
  const times: number[] = [];
  for (let n = -10; n < DECISIONS; n++) {
    const exponent = ZIPF_EXPONENTS[Math.abs(n) % ZIPF_EXPONENTS.length]!;
    const loads = zipfLoads(FULL_MODEL, exponent, seed + 2 * n);
    const other = zipfLoads(FULL_MODEL, exponent, seed + 2 * n + 1);
    const layers = loads.map(layer => placeFromScratch(FULL_MODEL, layer));
    const map = createExpertMap(FULL_MODEL, layers).unwrap();
    const tokens = change(loads, other);
    const estimate = addSample(undefined, {tokens, rankMs: [], atMs: 0});
    const start = performance.now();
    plan(estimate, map, DEFAULT_POLICY);
    if (n >= 0) times.push(performance.now() - start);
  }
  return times;
}

function timeMeasurement(name: string, times: readonly number[]): Measurement {
  return {
    name,
    unit: 'ms',
    current: quantile(times, 0.99),
    bound: {relation: 'at most', value: MAX_DECISION_MS},
    portable: false,
    note: `32 ranks x 128 experts x 60 layers, median ${formatFigure(
      quantile(times, 0.5),
    )} ms`,
  };
}

function formatGigabytes({bytesMoved}: Outcome): string {
  return (bytesMoved / 1e9).toFixed(1);
}

function formatFigure(value: number): string {
  return value.toPrecision(4);
}
