/**
 * An expert map: the expert in each slot of each rank, layer by layer.
 *
 * A map is immutable, and its content hash is its identity: two ranks that
 * hold the same hash hold the same map. If an expert is in several slots, each
 * of them receives a share of its tokens. Shares are whole numbers, so that
 * every process computes the same hash. A change to a map that differs only in
 * shares moves no weights.
 */
import {createHash} from 'node:crypto';
import {Err, Ok, Result} from 'ts-results';

/** Shares of one expert add up to this number in each layer. */
export const SHARE_UNITS = 10_000;

export interface Shape {
  readonly layers: number;
  readonly ranks: number;
  readonly slotsPerRank: number;
  /** Experts in each layer. */
  readonly experts: number;
}

/** Slot `s` of rank `r` has the index `r * slotsPerRank + s`. */
export interface LayerMap {
  /** Expert in each slot. */
  readonly slots: readonly number[];
  /** Share of its expert's tokens that each slot receives. */
  readonly shares: readonly number[];
}

export interface ExpertMap {
  readonly shape: Shape;
  readonly layers: readonly LayerMap[];
  /** Hex SHA-256 of the map's text form. */
  readonly hash: string;
}

/** Weights of one expert that a rank must load before it can use a map. */
export interface Move {
  readonly layer: number;
  readonly rank: number;
  readonly expert: number;
}

/** Creates a map, or returns one line for each fault of an invalid one. */
export function createExpertMap(
  shape: Shape,
  layers: readonly LayerMap[],
): Result<ExpertMap, readonly string[]> {
  const faults =
    layers.length === shape.layers
      ? layers.flatMap((layer, i) => findLayerFaults(shape, layer, i))
      : [`${layers.length} layers where the shape has ${shape.layers}`];
  if (faults.length > 0) return Err(faults);
  const hash = contentHash(serializeMap({shape, layers}));
  return Ok({shape, layers, hash});
}

/** The text form that `prepare` carries and the object store keeps. */
export function serializeMap({shape, layers}: Omit<ExpertMap, 'hash'>): string {
  const {layers: count, ranks, slotsPerRank, experts} = shape;
  const rows = layers.map(({slots, shares}) => ({slots, shares}));
  return JSON.stringify({
    shape: {layers: count, ranks, slotsPerRank, experts},
    layers: rows,
  });
}

/** Parses and checks the text form of `serializeMap`. */
export function parseMap(text: string): Result<ExpertMap, readonly string[]> {
  try {
    const {shape, layers} = JSON.parse(text) as ExpertMap;
    return createExpertMap(shape, layers);
  } catch (error) {
    return Err([`not an expert map: ${String(error)}; send the map again`]);
  }
}

export function contentHash(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * The map of a new group: experts in order over the ranks. Redundant slots
 * repeat the experts of the rank after the next, wrapping around.
 */
export function initialMap(shape: Shape): ExpertMap {
  const {ranks, slotsPerRank, experts} = shape;
  const expertsPerRank = Math.ceil(experts / ranks);
  const slots: number[] = [];
  for (let rank = 0; rank < ranks; rank++) {
    for (let slot = 0; slot < slotsPerRank; slot++) {
      const position =
        slot < expertsPerRank
          ? rank * expertsPerRank + slot
          : (rank + 1) * expertsPerRank + slot;
      slots.push(position % experts);
    }
  }
  const layer = {slots, shares: evenShares(slots, experts)};
  const layers = Array.from({length: shape.layers}, () => layer);
  return createExpertMap(shape, layers).unwrap();
}

/** Equal shares for the slots of each expert. */
export function evenShares(
  slots: readonly number[],
  experts: number,
): readonly number[] {
  const counts = new Array<number>(experts).fill(0);
  for (const expert of slots) counts[expert]! += 1;
  const equal = slots.map(expert => 1 / counts[expert]!);
  return roundShares(slots, equal, experts);
}

/** Rounds shares so that those of each expert add up to `SHARE_UNITS`. */
export function roundShares(
  slots: readonly number[],
  fractions: ArrayLike<number>,
  experts: number,
): readonly number[] {
  const unassigned = new Array<number>(experts).fill(SHARE_UNITS);
  const largestSlot = new Array<number>(experts).fill(-1);
  const shares = slots.map((expert, i) => {
    const share = Math.floor(fractions[i]! * SHARE_UNITS);
    unassigned[expert]! -= share;
    const best = largestSlot[expert]!;
    if (best < 0 || fractions[i]! > fractions[best]!) largestSlot[expert] = i;
    return share;
  });
  largestSlot.forEach((slot, expert) => {
    if (slot >= 0) shares[slot]! += unassigned[expert]!;
  });
  return shares;
}

/** Weights that ranks with the map `from` must load for the map `to`. */
export function movesBetween(from: ExpertMap, to: ExpertMap): readonly Move[] {
  const {slotsPerRank} = to.shape;
  return to.layers.flatMap((layer, index) => {
    const before = from.layers[index]!;
    if (before.slots === layer.slots) return [];
    return layer.slots.flatMap((expert, slot) => {
      const rank = Math.floor(slot / slotsPerRank);
      const firstSlot = rank * slotsPerRank;
      const held = before.slots.slice(firstSlot, firstSlot + slotsPerRank);
      return held.includes(expert) ? [] : [{layer: index, rank, expert}];
    });
  });
}

/** Load of each rank in one layer, in the unit of the experts' `loads`. */
export function rankLoads(
  shape: Shape,
  layer: LayerMap,
  loads: ArrayLike<number>,
): Float64Array {
  const sums = new Float64Array(shape.ranks);
  const {slots, shares} = layer;
  for (let i = 0; i < slots.length; i++) {
    const rank = Math.floor(i / shape.slotsPerRank);
    sums[rank]! += (loads[slots[i]!]! * shares[i]!) / SHARE_UNITS;
  }
  return sums;
}

/** Largest value divided by the mean; 1 where there is no load. */
export function skewOf(values: Float64Array): number {
  let sum = 0;
  let largest = 0;
  for (const value of values) {
    sum += value;
    if (value > largest) largest = value;
  }
  return sum > 0 ? (largest * values.length) / sum : 1;
}

/**
 * Skew of a step: the mean of its layers' skews. Ranks wait for each other in
 * every layer, so the most loaded rank of each layer counts.
 */
export function stepSkew(
  map: ExpertMap,
  loads: readonly ArrayLike<number>[],
): number {
  const skews = map.layers.map((layer, i) =>
    skewOf(rankLoads(map.shape, layer, loads[i]!)),
  );
  return skews.reduce((sum, skew) => sum + skew, 0) / skews.length;
}

function findLayerFaults(
  shape: Shape,
  {slots, shares}: LayerMap,
  index: number,
): readonly string[] {
  const slotCount = shape.ranks * shape.slotsPerRank;
  if (slots.length !== slotCount || shares.length !== slotCount) {
    return [`layer ${index}: needs ${slotCount} slots and shares`];
  }
  const sums = new Array<number | undefined>(shape.experts).fill(undefined);
  for (let i = 0; i < slotCount; i++) {
    const [expert, share] = [slots[i]!, shares[i]!];
    if (!Number.isInteger(expert) || expert < 0 || expert >= shape.experts) {
      return [`layer ${index}, slot ${i}: no expert ${expert}`];
    }
    if (!Number.isInteger(share) || share < 0) {
      return [`layer ${index}, slot ${i}: share ${share} is not valid`];
    }
    sums[expert] = (sums[expert] ?? 0) + share;
  }
  return sums.flatMap((sum, expert) => {
    if (sum === undefined) return [`layer ${index}: expert ${expert} missing`];
    if (sum === SHARE_UNITS) return [];
    return [`layer ${index}: shares of expert ${expert} add up to ${sum}`];
  });
}
