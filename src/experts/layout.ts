/**
 * A mutable layer of an expert map: the expert in each slot, the fraction of
 * that expert's tokens that the slot receives, and the resulting load of each
 * rank.
 *
 * Placement changes a few slots of a layout in place, because copying 60
 * layers for every candidate would exceed the 50 ms that a decision may take.
 */
import {evenShares, LayerMap, SHARE_UNITS, Shape, roundShares} from './map';

/** Whether an expert's replicas receive equal or weighted shares of tokens. */
export type Split = 'even' | 'weighted';

export interface Layout {
  readonly shape: Shape;
  readonly loads: ArrayLike<number>;
  /** Forecast for choosing slots; looks further ahead than `loads`. */
  readonly laterLoads: ArrayLike<number>;
  readonly slots: number[];
  readonly fractions: Float64Array;
  readonly rankLoads: Float64Array;
  /** Slots of each expert; the inner arrays are replaced, not changed. */
  readonly slotsOfExpert: number[][];
  readonly split: Split;
  readonly meanLoad: number;
}

export function createLayout(
  shape: Shape,
  layer: LayerMap,
  loads: ArrayLike<number>,
  split: Split,
  laterLoads: ArrayLike<number> = loads,
): Layout {
  const slotsOfExpert = Array.from(
    {length: shape.experts},
    () => [] as number[],
  );
  layer.slots.forEach((expert, slot) => slotsOfExpert[expert]!.push(slot));
  const fractions = Float64Array.from(layer.shares, s => s / SHARE_UNITS);
  let sum = 0;
  for (let i = 0; i < loads.length; i++) sum += loads[i]!;
  const layout = {
    shape,
    loads,
    laterLoads,
    slots: [...layer.slots],
    fractions,
    rankLoads: new Float64Array(shape.ranks),
    slotsOfExpert,
    split,
    meanLoad: sum / shape.ranks || 1,
  };
  recomputeRankLoads(layout);
  return layout;
}

export function toLayerMap({slots, fractions, shape, split}: Layout): LayerMap {
  const shares =
    split === 'even'
      ? evenShares(slots, shape.experts)
      : roundShares(slots, fractions, shape.experts);
  // Copied, because the layout goes on changing.
  return {slots: [...slots], shares};
}

export function layoutSkew({rankLoads, meanLoad}: Layout): number {
  let largest = 0;
  for (const load of rankLoads) if (load > largest) largest = load;
  return largest / meanLoad;
}

export function rankOf({shape}: Layout, slot: number): number {
  return (slot / shape.slotsPerRank) | 0;
}

export function slotLoad(layout: Layout, slot: number): number {
  return layout.loads[layout.slots[slot]!]! * layout.fractions[slot]!;
}

/** Puts `expert` into a slot; the slot's old expert must have other slots. */
export function replaceExpert(
  layout: Layout,
  slot: number,
  expert: number,
): void {
  const {slotsOfExpert, slots, fractions} = layout;
  const old = slots[slot]!;
  const kept = slotsOfExpert[old]!.filter(s => s !== slot);
  const freed = fractions[slot]!;
  slotsOfExpert[old] = kept;
  for (const s of kept) fractions[s]! += freed / kept.length;
  slotsOfExpert[expert] = [...slotsOfExpert[expert]!, slot];
  slots[slot] = expert;
  fractions[slot] = 0;
  if (layout.split === 'even') {
    for (const changed of [old, expert]) {
      const all = slotsOfExpert[changed]!;
      for (const s of all) fractions[s] = 1 / all.length;
    }
  }
  recomputeRankLoads(layout);
}

/** Exchanges the experts of two slots together with their fractions. */
export function exchangeExperts(layout: Layout, a: number, b: number): void {
  const {slotsOfExpert, slots, fractions} = layout;
  const [first, second] = [slots[a]!, slots[b]!];
  slotsOfExpert[first] = slotsOfExpert[first]!.map(s => (s === a ? b : s));
  slotsOfExpert[second] = slotsOfExpert[second]!.map(s => (s === b ? a : s));
  [slots[a], slots[b]] = [second, first];
  [fractions[a], fractions[b]] = [fractions[b]!, fractions[a]!];
  recomputeRankLoads(layout);
}

/** Bound on the passes over all replicated experts. */
const MAX_SWEEPS = 12;
/** Sweeps end when no rank's load changes by this fraction of the mean. */
const SWEEP_TOLERANCE = 0.002;

/**
 * Divides each replicated expert's tokens over its slots so that the ranks'
 * loads are as even as the slots permit (water-filling). Each pass fills the
 * least loaded ranks of an expert to one level. Repeated passes converge,
 * because each lowers the sum of squares of the ranks' loads.
 */
export function balanceShares(layout: Layout): void {
  if (layout.split === 'even') return;
  const replicated = layout.slotsOfExpert.filter(slots => slots.length > 1);
  for (let sweep = 0; sweep < MAX_SWEEPS; sweep++) {
    let change = 0;
    for (const slots of replicated)
      change = Math.max(change, levelLoads(layout, slots));
    if (change < SWEEP_TOLERANCE * layout.meanLoad) return;
  }
}

/** Most slots of one expert, for which the buffers below have room. */
const MAX_SLOTS_PER_EXPERT = 4_096;
/**
 * Loads that the ranks of one expert's slots have from other experts, unsorted
 * and sorted. Reused, because a decision levels an expert's slots thousands of
 * times.
 */
const heights = new Float64Array(MAX_SLOTS_PER_EXPERT);
const sortedHeights = new Float64Array(MAX_SLOTS_PER_EXPERT);

/**
 * Levels the loads of the ranks that hold one expert by redistributing its
 * tokens. Returns the largest change of a rank's load.
 */
function levelLoads(layout: Layout, slots: readonly number[]): number {
  const {rankLoads, fractions} = layout;
  const load = layout.loads[layout.slots[slots[0]!]!]!;
  if (load <= 0) return 0;
  if (slots.length === 2) return levelPair(layout, slots[0]!, slots[1]!, load);
  const count = slots.length;
  for (let i = 0; i < count; i++) {
    const slot = slots[i]!;
    const other = rankLoads[rankOf(layout, slot)]! - load * fractions[slot]!;
    heights[i] = other;
  }
  const level = waterLevel(count, load);
  let change = 0;
  for (let i = 0; i < count; i++) {
    const slot = slots[i]!;
    const part = Math.max(0, level - heights[i]!);
    change = Math.max(change, Math.abs(part - load * fractions[slot]!));
    rankLoads[rankOf(layout, slot)] = heights[i]! + part;
    fractions[slot] = part / load;
  }
  return change;
}

/** `levelLoads` for the usual case of two slots, without its buffers. */
function levelPair(layout: Layout, a: number, b: number, load: number): number {
  const {rankLoads, fractions} = layout;
  const [rankA, rankB] = [rankOf(layout, a), rankOf(layout, b)];
  const old = load * fractions[a]!;
  const otherA = rankLoads[rankA]! - old;
  const otherB = rankLoads[rankB]! - (load - old);
  const part = Math.min(load, Math.max(0, (otherB + load - otherA) / 2));
  rankLoads[rankA] = otherA + part;
  rankLoads[rankB] = otherB + load - part;
  fractions[a] = part / load;
  fractions[b] = 1 - part / load;
  return Math.abs(part - old);
}

/** Returns the level to which `amount` fills the first `count` `heights`. */
function waterLevel(count: number, amount: number): number {
  for (let i = 0; i < count; i++) {
    const height = heights[i]!;
    let at = i;
    for (; at > 0 && sortedHeights[at - 1]! > height; at--)
      sortedHeights[at] = sortedHeights[at - 1]!;
    sortedHeights[at] = height;
  }
  let sum = amount;
  for (let n = 0; n < count; n++) {
    sum += sortedHeights[n]!;
    const level = sum / (n + 1);
    if (n + 1 === count || level <= sortedHeights[n + 1]!) return level;
  }
  return sum;
}

function recomputeRankLoads(layout: Layout): void {
  const {rankLoads, slots} = layout;
  rankLoads.fill(0);
  for (let slot = 0; slot < slots.length; slot++) {
    rankLoads[rankOf(layout, slot)]! += slotLoad(layout, slot);
  }
}
