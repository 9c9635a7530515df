/**
 * Decides when a new map is worth its cost.
 *
 * A move pays off if the step time that it saves over the expected life of the
 * skew exceeds the cost of loading the weights. The saving starts only when
 * the rate-limited weight store has delivered the bytes, and until then the
 * loading slows the group's steps a little. The modes `static` (no change at
 * all) and `full` (all experts placed from scratch each time) are baselines.
 */
import {
  balanceShares,
  toLayerMap,
  Layout,
  createLayout,
  layoutSkew,
  Split,
} from './layout';
import {forecastShares, layerSkews, LoadEstimate} from './load';
import {ExpertMap, createExpertMap, LayerMap, Move, movesBetween} from './map';
import {
  applyBestChange,
  estimatedGain,
  NARROW_SEARCH,
  placeFromScratch,
  WIDE_SEARCH,
} from './placement';

export type Mode = 'static' | 'full' | 'incremental';

export interface PolicySettings {
  readonly mode: Mode;
  readonly split: Split;
  /** Predicted skew of a layer below which nothing is moved. */
  readonly minSkew: number;
  /** Expected life of a skew, in milliseconds. */
  readonly horizonMs: number;
  /** Rate at which the weight store serves the group. */
  readonly storeBytesPerS: number;
  /** Size of one expert's weights in one layer. */
  readonly expertBytes: number;
  /** Fraction of a step's time that background loading adds to it. */
  readonly loadingSlowdown: number;
  /** Smallest fall of a layer's skew, per moved expert, that is accepted. */
  readonly minGainPerMove: number;
  /** Smallest fall of the group's skew for which the map is changed. */
  readonly minGain: number;
  /** Longest loading time of one map change, in milliseconds. */
  readonly maxLoadMs: number;
  /** The same while the group's skew is urgent, as after a jump in load. */
  readonly urgentMaxLoadMs: number;
  /** How far ahead of the reports a map is planned, in milliseconds. */
  readonly leadMs: number;
  /** The same for choosing the slots that are given to other experts. */
  readonly slotLeadMs: number;
  /** Most changes that one decision tries; this bounds its time. */
  readonly trials: number;
}

export interface Plan {
  readonly map: ExpertMap;
  readonly moves: readonly Move[];
  /** Time that the weight store needs, in milliseconds. */
  readonly loadMs: number;
  readonly skewBefore: number;
  readonly skewAfter: number;
}

export const DEFAULT_POLICY: PolicySettings = {
  mode: 'incremental',
  split: 'weighted',
  minSkew: 1.02,
  horizonMs: 60_000,
  storeBytesPerS: 2_000_000_000,
  expertBytes: 44_000_000,
  loadingSlowdown: 0.02,
  minGainPerMove: 0.005,
  minGain: 0.004,
  // Kept short, because the reaction to a jump waits for a change in progress.
  maxLoadMs: 500,
  // Longer loads use the store better but delay the first replicas.
  urgentMaxLoadMs: 1_500,
  leadMs: 2_000,
  slotLeadMs: 30_000,
  trials: 400,
};

/** Smallest fall of a layer's predicted skew for a change of shares alone. */
const MIN_SHARE_GAIN = 0.005;

/** Predicted skew of the group above which `urgentMaxLoadMs` applies. */
const URGENT_SKEW = 1.2;

/** Plans the next map; undefined if the current one should stay. */
export function plan(
  estimate: LoadEstimate,
  current: ExpertMap,
  settings: PolicySettings,
): Plan | undefined {
  if (settings.mode === 'static') return undefined;
  if (settings.mode === 'full') return fullPlan(estimate, current, settings);
  const shares = forecastShares(estimate, settings.leadMs);
  const laterShares = forecastShares(estimate, settings.slotLeadMs);
  return incrementalPlan({...estimate, shares}, laterShares, current, settings);
}

function fullPlan(
  estimate: LoadEstimate,
  current: ExpertMap,
  settings: PolicySettings,
): Plan {
  const layers = estimate.shares.map(loads =>
    placeFromScratch(current.shape, loads),
  );
  return createPlan(estimate, current, layers, settings);
}

function incrementalPlan(
  estimate: LoadEstimate,
  laterShares: LoadEstimate['shares'],
  current: ExpertMap,
  settings: PolicySettings,
): Plan | undefined {
  const layouts = current.layers.map((layer, i) =>
    createLayout(
      current.shape,
      layer,
      estimate.shares[i]!,
      settings.split,
      laterShares[i]!,
    ),
  );
  const currentSkews = layouts.map(layoutSkew);
  for (const layout of layouts) balanceShares(layout);
  const balancedSkews = layouts.map(layoutSkew);
  // Used for the layers whose moves turn out not to pay off.
  const balancedLayers = layouts.map((layout, i) =>
    currentSkews[i]! - balancedSkews[i]! < MIN_SHARE_GAIN
      ? current.layers[i]!
      : toLayerMap(layout),
  );
  const moveCounts = improveLayers(layouts, settings);
  const layers = layouts.map((layout, i) => {
    const gain = balancedSkews[i]! - layoutSkew(layout);
    const count = moveCounts[i]!;
    const worthwhile =
      count > 0 && paysOff(gain, count, layouts.length, settings);
    return worthwhile ? toLayerMap(layout) : balancedLayers[i]!;
  });
  if (layers.every((layer, i) => layer === current.layers[i])) return undefined;
  const next = createPlan(estimate, current, layers, settings);
  const gain = next.skewBefore - next.skewAfter;
  return gain < settings.minGain ? undefined : next;
}

/**
 * Improves layers, those with the largest estimated gain first. Returns the
 * number of moved experts in each layer.
 */
function improveLayers(
  layouts: readonly Layout[],
  settings: PolicySettings,
): readonly number[] {
  const moveCounts = layouts.map(() => 0);
  const perMoveMs = (settings.expertBytes / settings.storeBytesPerS) * 1_000;
  const urgent = mean(layouts.map(layoutSkew)) > URGENT_SKEW;
  const loadLimitMs = urgent ? settings.urgentMaxLoadMs : settings.maxLoadMs;
  const moveBudget = Math.max(1, Math.floor(loadLimitMs / perMoveMs));
  // After a jump many moves are urgent and have to share the trials.
  const width = urgent ? NARROW_SEARCH : WIDE_SEARCH;
  const {trials, minGainPerMove} = settings;
  const search = {trialsLeft: trials, minGainPerMove, width};
  const gainOf = (layout: Layout) =>
    layoutSkew(layout) < settings.minSkew ? 0 : estimatedGain(layout);
  const gains = layouts.map(gainOf);
  for (let n = 0; n < moveBudget;) {
    const best = indexOfLargest(gains);
    if (gains[best]! <= 0) break;
    const layout = layouts[best]!;
    const count = applyBestChange(layout, search);
    if (count > 0) {
      n += count;
      moveCounts[best]! += count;
      gains[best] = gainOf(layout);
    } else {
      gains[best] = 0;
    }
  }
  return moveCounts;
}

/** Whether a layer's fall in skew outweighs the cost of its moves. */
function paysOff(
  gain: number,
  moveCount: number,
  layerCount: number,
  settings: PolicySettings,
): boolean {
  const loadMs = loadTimeMs(moveCount, settings);
  const savedMs =
    (gain / layerCount) * Math.max(0, settings.horizonMs - loadMs);
  return savedMs > settings.loadingSlowdown * loadMs;
}

function loadTimeMs(moveCount: number, settings: PolicySettings): number {
  const bytes = moveCount * settings.expertBytes;
  return (bytes / settings.storeBytesPerS) * 1_000;
}

function createPlan(
  estimate: LoadEstimate,
  current: ExpertMap,
  layers: readonly LayerMap[],
  settings: PolicySettings,
): Plan {
  const map = createExpertMap(current.shape, layers).unwrap();
  const moved = movesBetween(current, map);
  return {
    map,
    moves: moved,
    loadMs: loadTimeMs(moved.length, settings),
    skewBefore: mean(layerSkews(estimate, current)),
    skewAfter: mean(layerSkews(estimate, map)),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function indexOfLargest(values: readonly number[]): number {
  return values.reduce((best, v, i) => (v > values[best]! ? i : best), 0);
}
