/**
 * Placement of experts in slots.
 *
 * `applyBestChange` starts from the current layout and changes one or two
 * slots at a time, so that few weights move: a hot expert gets a further
 * replica in place of a little used one, or two experts change places.
 * `placeFromScratch` ignores the current map; it is the baseline.
 */
import {
  balanceShares,
  exchangeExperts,
  Layout,
  rankOf,
  replaceExpert,
  slotLoad,
} from './layout';
import {evenShares, LayerMap, Shape} from './map';

/** Numbers of candidates that are compared for each change. */
export interface SearchWidth {
  /** Experts of the hottest ranks for which a further replica is tried. */
  readonly experts: number;
  /** Slots that are tried for each of these experts. */
  readonly slots: number;
  /** Exchanges of two experts that are tried. */
  readonly exchanges: number;
}

export const WIDE_SEARCH: SearchWidth = {experts: 6, slots: 4, exchanges: 4};
export const NARROW_SEARCH: SearchWidth = {experts: 3, slots: 2, exchanges: 2};

/** Fraction of the largest load from which a rank counts as hottest. */
const HOTTEST_LOAD_FRACTION = 0.995;

/**
 * The cost of giving an expert's slot to another expert is this weight times
 * the mean load of the expert's slots, plus one minus this weight times the
 * slot's present load. Above 1, because a hot expert may use one of its slots
 * little at present, and the slot would soon have to be loaded with it again.
 */
const OWN_LOAD_WEIGHT = 1.5;

export interface Search {
  /** Candidates that may still be tried; each costs about 50 microseconds. */
  trialsLeft: number;
  readonly width: SearchWidth;
  /** Smallest fall of the smooth skew, per moved expert, that is accepted. */
  readonly minGainPerMove: number;
}

/**
 * Applies the change that lowers the smooth skew most per moved expert: one
 * further replica, or an exchange of two experts. Returns the number of moved
 * experts, or 0 if no candidate helps enough. The smooth skew is compared
 * instead of the maximum, because several ranks are often equally loaded and a
 * move that relieves one of them leaves the maximum unchanged.
 */
export function applyBestChange(layout: Layout, search: Search): number {
  const currentSkew = smoothSkew(layout);
  const undo = snapshot(layout);
  let best: {readonly gain: number; readonly change: () => number} | undefined;
  for (const change of candidateChanges(layout, search.width)) {
    if (search.trialsLeft <= 0) break;
    search.trialsLeft -= 1;
    const count = change();
    balanceShares(layout);
    const gain = (currentSkew - smoothSkew(layout)) / count;
    undo();
    if (gain > (best?.gain ?? search.minGainPerMove)) best = {gain, change};
  }
  if (!best) return 0;
  const count = best.change();
  balanceShares(layout);
  return count;
}

/** Changes to try; each returns the number of experts that it moves. */
function candidateChanges(
  layout: Layout,
  width: SearchWidth,
): readonly (() => number)[] {
  const replicaChanges = candidateReplicas(layout, width).map(
    ([target, expert]) =>
      () => {
        replaceExpert(layout, target, expert);
        return 1;
      },
  );
  const exchangeChanges = candidateExchanges(layout, width.exchanges).map(
    ([a, b]) =>
      () => {
        exchangeExperts(layout, a, b);
        return 2;
      },
  );
  return [...replicaChanges, ...exchangeChanges];
}

type Pair = readonly [number, number];

/** Further replicas of the hottest ranks' experts, as slot and expert. */
function candidateReplicas(
  layout: Layout,
  width: SearchWidth,
): readonly Pair[] {
  const {rankLoads, loads, shape} = layout;
  const limit = HOTTEST_LOAD_FRACTION * rankLoads[hottestRank(layout)]!;
  const experts = new Set<number>();
  rankLoads.forEach((load, rank) => {
    if (load < limit) return;
    for (const slot of slotsOf(shape, rank)) {
      if (layout.fractions[slot]! > 0) experts.add(layout.slots[slot]!);
    }
  });
  const tried = [...experts]
    .sort((a, b) => loads[b]! - loads[a]!)
    .slice(0, width.experts);
  return tried.flatMap(expert =>
    cheapestSlots(layout, expert, width.slots).map(s => [s, expert] as const),
  );
}

/**
 * Exchanges of two slots between the hottest rank and another one that come
 * closest to levelling the two ranks' loads, as pairs of slots.
 */
function candidateExchanges(layout: Layout, count: number): readonly Pair[] {
  const hot = hottestRank(layout);
  const {rankLoads, slots, shape} = layout;
  const {ranks, slotsPerRank} = shape;
  const loads = slots.map((_, slot) => slotLoad(layout, slot));
  const own = slotsOf(shape, hot);
  const ownExperts = new Set(own.map(s => slots[s]!));
  const best: {readonly pair: Pair; readonly miss: number}[] = [];
  let worst = Infinity;
  for (let rank = 0; rank < ranks; rank++) {
    const halfGap = (rankLoads[hot]! - rankLoads[rank]!) / 2;
    if (halfGap <= 0) continue;
    const first = rank * slotsPerRank;
    for (const a of own) {
      if (rankHoldsExpert(layout, slots[a]!, rank)) continue;
      for (let b = first; b < first + slotsPerRank; b++) {
        const moved = loads[a]! - loads[b]!;
        const miss = Math.abs(moved - halfGap) - halfGap;
        if (moved <= 0 || miss >= worst || ownExperts.has(slots[b]!)) continue;
        best.push({pair: [a, b], miss});
        best.sort((x, y) => x.miss - y.miss);
        best.length = Math.min(best.length, count);
        if (best.length === count) worst = best.at(-1)!.miss;
      }
    }
  }
  return best.map(({pair}) => pair);
}

function rankHoldsExpert(
  layout: Layout,
  expert: number,
  rank: number,
): boolean {
  return layout.slotsOfExpert[expert]!.some(
    slot => rankOf(layout, slot) === rank,
  );
}

/**
 * Slots that can be given to `expert`: slots of replicated experts, those
 * first whose rank has little load and whose own expert needs them little.
 */
function cheapestSlots(
  layout: Layout,
  expert: number,
  count: number,
): readonly number[] {
  const {slots, slotsOfExpert, rankLoads} = layout;
  const scored: {slot: number; score: number}[] = [];
  for (let slot = 0; slot < slots.length; slot++) {
    if (slotsOfExpert[slots[slot]!]!.length < 2) continue;
    const rank = rankOf(layout, slot);
    if (rankHoldsExpert(layout, expert, rank)) continue;
    const old = slots[slot]!;
    const own = layout.laterLoads[old]! / slotsOfExpert[old]!.length;
    const cost =
      OWN_LOAD_WEIGHT * own + (1 - OWN_LOAD_WEIGHT) * slotLoad(layout, slot);
    const score = rankLoads[rank]! + cost;
    scored.push({slot, score});
  }
  scored.sort((a, b) => a.score - b.score);
  return scored.slice(0, count).map(({slot}) => slot);
}

/** The 16-norm of the ranks' loads over their mean; close to the maximum. */
function smoothSkew({rankLoads, meanLoad}: Layout): number {
  let sum = 0;
  for (const load of rankLoads) {
    const squared = (load / meanLoad) ** 2;
    const fourth = squared * squared;
    const eighth = fourth * fourth;
    sum += eighth * eighth;
  }
  return (sum / rankLoads.length) ** (1 / 16);
}

/**
 * Estimated fall of the skew from a further replica of the expert in the
 * hottest rank's most loaded slot, if the expert's load were divided evenly.
 */
export function estimatedGain(layout: Layout): number {
  const hot = hottestRank(layout);
  const skew = layout.rankLoads[hot]! / layout.meanLoad;
  let largest = 0;
  let count = 1;
  for (const slot of slotsOf(layout.shape, hot)) {
    const load = slotLoad(layout, slot);
    if (load <= largest) continue;
    largest = load;
    count = layout.slotsOfExpert[layout.slots[slot]!]!.length;
  }
  return Math.min(skew - 1, largest / layout.meanLoad / (count + 1));
}

function hottestRank({rankLoads}: Layout): number {
  let hot = 0;
  rankLoads.forEach((load, rank) => {
    if (load > rankLoads[hot]!) hot = rank;
  });
  return hot;
}

function slotsOf({slotsPerRank}: Shape, rank: number): readonly number[] {
  return Array.from({length: slotsPerRank}, (_, i) => rank * slotsPerRank + i);
}

/** Saves the layout's state; returns a function that restores it. */
function snapshot(layout: Layout): () => void {
  const slots = [...layout.slots];
  const fractions = layout.fractions.slice();
  const loads = layout.rankLoads.slice();
  const slotsOfExpert = [...layout.slotsOfExpert];
  return () => {
    slots.forEach((expert, i) => (layout.slots[i] = expert));
    layout.fractions.set(fractions);
    layout.rankLoads.set(loads);
    slotsOfExpert.forEach((p, expert) => (layout.slotsOfExpert[expert] = p));
  };
}

/** Places all experts, the most loaded first, on the least loaded ranks. */
export function placeFromScratch(
  shape: Shape,
  loads: ArrayLike<number>,
): LayerMap {
  const copies = replicaCounts(shape, loads);
  const items = copies.flatMap((count, expert) =>
    Array.from({length: count}, () => ({expert, load: loads[expert]! / count})),
  );
  items.sort((a, b) => b.load - a.load);
  const ranks = Array.from({length: shape.ranks}, () => ({
    load: 0,
    held: [] as number[],
  }));
  for (const {expert, load} of items) {
    const open = ranks.filter(r => r.held.length < shape.slotsPerRank);
    const lacking = open.filter(r => !r.held.includes(expert));
    const candidates = lacking.length > 0 ? lacking : open;
    const least = candidates.reduce((a, b) => (b.load < a.load ? b : a));
    least.held.push(expert);
    least.load += load;
  }
  const slots = ranks.flatMap(r => r.held);
  return {slots, shares: evenShares(slots, shape.experts)};
}

/** One slot for each expert; the rest go to the most loaded replicas. */
function replicaCounts(
  shape: Shape,
  loads: ArrayLike<number>,
): readonly number[] {
  const copies = new Array<number>(shape.experts).fill(1);
  const spare = shape.ranks * shape.slotsPerRank - shape.experts;
  for (let n = 0; n < spare; n++) {
    let most = 0;
    for (let e = 1; e < shape.experts; e++) {
      const more = loads[e]! / copies[e]! > loads[most]! / copies[most]!;
      if (more && copies[e]! < shape.ranks) most = e;
    }
    copies[most]! += 1;
  }
  return copies;
}
