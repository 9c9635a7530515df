/**
 * The coordinator's estimate of its group's load.
 *
 * Token counts of each expert and layer are averaged with exponential decay,
 * because a single report is noisy and the popularity of experts drifts. A
 * linear trend is kept beside each average, because a map comes into use
 * seconds after the reports that it was made from. A rank can be slow for two
 * reasons: it receives many tokens (hot), which another map cures, or it needs
 * long for each token (stalled), which no map cures.
 */
import {ExpertMap, rankLoads, skewOf} from './map';

export interface LoadSample {
  /** Tokens of each expert, layer by layer, since the last sample. */
  readonly tokens: readonly ArrayLike<number>[];
  /** Time of each rank in a step, in milliseconds; empty if not reported. */
  readonly rankMs: readonly number[];
  readonly atMs: number;
}

export interface LoadEstimate {
  /** Smoothed share of a layer's tokens for each expert, layer by layer. */
  readonly shares: readonly Float64Array[];
  /** Change of each share per second, layer by layer. */
  readonly trends: readonly Float64Array[];
  /** Smoothed time of each rank in a step, in milliseconds. */
  readonly rankMs: readonly number[];
  readonly atMs: number;
}

export interface Decay {
  /** Age in milliseconds at which a sample's weight is 1/e. */
  readonly timeConstantMs: number;
}

export const DEFAULT_DECAY: Decay = {timeConstantMs: 5_000};

/** Differences up to this many standard deviations count as sampling noise. */
const NOISE_DEVIATIONS = 3;

/** Weight with which the newest deviation from the trend changes it. */
const TREND_WEIGHT = 0.3;

export type RankCondition = 'normal' | 'hot' | 'stalled';

/**
 * Adds a sample to the estimate. The first sample becomes the estimate; later
 * ones are averaged in. A sampled share that differs by more than sampling
 * noise replaces the estimated share, so that a jump is followed without lag.
 */
export function addSample(
  estimate: LoadEstimate | undefined,
  sample: LoadSample,
  decay: Decay = DEFAULT_DECAY,
): LoadEstimate {
  const sampleShares = sample.tokens.map(sharesOf);
  const {rankMs, atMs} = sample;
  if (!estimate) {
    const trends = sampleShares.map(layer => new Float64Array(layer.length));
    return {shares: sampleShares, trends, rankMs, atMs};
  }
  const ageMs = Math.max(0, atMs - estimate.atMs);
  const oldWeight = Math.exp(-ageMs / decay.timeConstantMs);
  const layers = estimate.shares.map((old, layer) =>
    smoothLayer(old, estimate.trends[layer]!, sampleShares[layer]!, {
      oldWeight,
      seconds: ageMs / 1_000,
      sampleTokens: totalTokens(sample.tokens[layer]!),
    }),
  );
  return {
    shares: layers.map(layer => layer.shares),
    trends: layers.map(layer => layer.trends),
    rankMs: smoothRankMs(estimate.rankMs, rankMs, oldWeight),
    atMs,
  };
}

/** Shares that the trends predict for `leadMs` ahead, layer by layer. */
export function forecastShares(
  {shares, trends}: LoadEstimate,
  leadMs: number,
): readonly Float64Array[] {
  const seconds = leadMs / 1_000;
  return shares.map((layer, i) =>
    layer.map((share, e) => Math.max(0, share + trends[i]![e]! * seconds)),
  );
}

/** A rank is hot above this multiple of the mean share of tokens. */
const HOT_RATIO = 1.15;
/** A rank is stalled above this multiple of the median time per token. */
const STALLED_RATIO = 1.5;

/** Returns for each rank why it is slow, if it is. */
export function rankConditions(
  estimate: LoadEstimate,
  map: ExpertMap,
): readonly RankCondition[] {
  const tokens = rankTokenShares(estimate, map);
  const mean = 1 / map.shape.ranks;
  const msPerToken = estimate.rankMs.map((ms, r) => ms / (tokens[r]! || mean));
  const medianMsPerToken = median(msPerToken);
  return Array.from({length: map.shape.ranks}, (_, rank) => {
    if ((msPerToken[rank] ?? 0) > medianMsPerToken * STALLED_RATIO)
      return 'stalled';
    return tokens[rank]! > mean * HOT_RATIO ? 'hot' : 'normal';
  });
}

/** Share of all tokens that each rank receives. */
function rankTokenShares(
  estimate: LoadEstimate,
  map: ExpertMap,
): readonly number[] {
  const sums = new Array<number>(map.shape.ranks).fill(0);
  map.layers.forEach((layer, i) => {
    const loads = rankLoads(map.shape, layer, estimate.shares[i]!);
    loads.forEach((load, rank) => (sums[rank]! += load));
  });
  return sums.map(sum => sum / map.shape.layers);
}

/** Predicted skew of each layer of a map. */
export function layerSkews(
  estimate: LoadEstimate,
  map: ExpertMap,
): readonly number[] {
  return map.layers.map((layer, i) =>
    skewOf(rankLoads(map.shape, layer, estimate.shares[i]!)),
  );
}

function sharesOf(tokens: ArrayLike<number>): Float64Array {
  const shares = Float64Array.from(tokens);
  const sum = shares.reduce((total, count) => total + count, 0);
  if (sum === 0) return shares.fill(1 / shares.length);
  return shares.map(count => count / sum);
}

interface LayerEstimate {
  readonly shares: Float64Array;
  readonly trends: Float64Array;
}

interface SmoothingInput {
  /** Weight of the old estimate, from 0 to 1. */
  readonly oldWeight: number;
  /** Time since the last sample. */
  readonly seconds: number;
  /** Tokens of the layer in the sample. */
  readonly sampleTokens: number;
}

/**
 * Holt's linear smoothing. The change that enters the trend is limited to
 * twice the trend's own change plus the noise. A jump, which is over when it
 * is observed, therefore leaves the trend nearly unchanged.
 */
function smoothLayer(
  old: Float64Array,
  oldTrends: Float64Array,
  sampleShares: Float64Array,
  {oldWeight, seconds, sampleTokens}: SmoothingInput,
): LayerEstimate {
  const shares = new Float64Array(old.length);
  const trends = new Float64Array(old.length);
  for (let i = 0; i < old.length; i++) {
    const observed = sampleShares[i]!;
    const expectedChange = oldTrends[i]! * seconds;
    const noise =
      NOISE_DEVIATIONS *
      Math.sqrt(Math.max(old[i]!, observed) / Math.max(1, sampleTokens));
    const error = observed - old[i]! - expectedChange;
    const beyondNoise = Math.abs(error) > noise;
    shares[i] = beyondNoise
      ? observed
      : old[i]! + expectedChange + (1 - oldWeight) * error;
    const limit = noise + Math.abs(expectedChange);
    const deviation = shares[i]! - old[i]! - expectedChange;
    const limited = Math.max(-limit, Math.min(limit, deviation));
    trends[i] =
      seconds > 0
        ? oldTrends[i]! + (TREND_WEIGHT * limited) / seconds
        : oldTrends[i]!;
  }
  return {shares, trends};
}

function totalTokens(tokens: ArrayLike<number>): number {
  let sum = 0;
  for (let i = 0; i < tokens.length; i++) sum += tokens[i]!;
  return sum;
}

function smoothRankMs(
  old: readonly number[],
  sampleMs: readonly number[],
  oldWeight: number,
): readonly number[] {
  if (sampleMs.length === 0) return old;
  if (old.length !== sampleMs.length) return sampleMs;
  return old.map(
    (ms, rank) => oldWeight * ms + (1 - oldWeight) * sampleMs[rank]!,
  );
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
