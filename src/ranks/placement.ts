/**
 * Decides which rank holds which expert. The ranks that hold an expert share
 * its demand evenly.
 *
 * A pass takes as long as the most loaded rank of each set, so the largest
 * load is what counts. Copying an expert to a rank costs time and money, and a
 * rank copies one expert after another; dropping a copy is free. The search is
 * therefore greedy: it takes the step with the largest gain per copy until no
 * step gains enough. The load of a slow rank is multiplied by its slowdown,
 * because all ranks wait for it.
 *
 * Skew is the largest load of a set's ranks divided by their mean load.
 */
import {Clock} from '../kernel/clock';
import {RankMap, sortExperts} from './rank';

export interface PlacementLimits {
  /** Maximum number of experts of a set that a rank can hold. */
  readonly slotsPerRank: number;
  /** Maximum number of experts of one set that a rank copies in one change. */
  readonly maxNewPerRankAndSet: number;
  /** Maximum number of experts of all sets that a rank copies in one change. */
  readonly maxNewPerRank: number;
  /** Smallest reduction of the smooth skew that justifies a copy. */
  readonly minGainPerCopy: number;
  /** Mean skew of the sets below which the map is not changed. */
  readonly minSkew: number;
  /** Smallest reduction of the mean skew that justifies a change. */
  readonly minSkewGain: number;
}

export interface PlacementPlan {
  readonly map: RankMap;
  /** Copies of all ranks together. */
  readonly copies: number;
  /** Copies of the rank that copies most. */
  readonly maxCopiesPerRank: number;
  /** Mean skew of the sets, before and after the change. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

/**
 * Exponent of the power mean that approximates the largest load. Unlike the
 * maximum, it also falls when only one of several equally loaded ranks is
 * relieved.
 */
const NORM_EXPONENT = 16;

/** The placement of one set's experts, with the load of each rank. */
class SetLayout {
  /** Ranks that hold each expert. */
  readonly holders: number[][];
  /** Experts that each rank holds. */
  readonly ranks: number[][];
  /** Load of each rank. */
  readonly loads: number[];
  readonly mean: number;
  /** Each rank's term of the power mean. */
  readonly terms: number[];
  termSum: number;
  /** 1 at `rank * experts + expert` if the rank holds the expert. */
  private readonly held: Uint8Array;
  /** The same for the map in use, which the search does not change. */
  private readonly heldBefore: Uint8Array;

  constructor(
    ranks: readonly (readonly number[])[],
    /** Share of each expert in the set's choices. */
    readonly demand: readonly number[],
    /** Slowdown of each rank; 1 if healthy. */
    readonly paces: readonly number[],
  ) {
    this.ranks = ranks.map(held => [...held]);
    this.holders = demand.map(() => []);
    this.held = new Uint8Array(ranks.length * demand.length);
    ranks.forEach((held, rank) => {
      for (const expert of held) {
        this.holders[expert]!.push(rank);
        this.held[rank * demand.length + expert] = 1;
      }
    });
    this.heldBefore = this.held.slice();
    this.loads = ranks.map((held, rank) => {
      let sum = 0;
      for (const e of held) sum += demand[e]! / this.holders[e]!.length;
      return sum * paces[rank]!;
    });
    this.mean = sumOf(demand) / ranks.length;
    this.terms = this.loads.map(load => this.term(load));
    this.termSum = sumOf(this.terms);
  }

  holds(rank: number, expert: number): boolean {
    return this.held[rank * this.demand.length + expert] === 1;
  }

  /** Whether the rank held the expert when the search began. */
  heldAtStart(rank: number, expert: number): boolean {
    return this.heldBefore[rank * this.demand.length + expert] === 1;
  }

  /** A rank's term of the power mean. The exponent is `NORM_EXPONENT`. */
  term(load: number): number {
    const ratio = load / this.mean;
    const squared = ratio * ratio;
    const fourth = squared * squared;
    const eighth = fourth * fourth;
    return eighth * eighth;
  }

  skew(): number {
    return Math.max(...this.loads) / this.mean;
  }

  /** A smooth approximation of the skew, from the sum of all ranks' terms. */
  smoothSkew(termSum: number = this.termSum): number {
    // Rounding may leave a small negative sum.
    const meanTerm = Math.max(0, termSum) / this.loads.length;
    return meanTerm ** (1 / NORM_EXPONENT);
  }

  /** Change of the sum of terms if one rank drops an expert that others hold. */
  termsOfDrop(rank: number, expert: number): number {
    const holders = this.holders[expert]!;
    const before = this.demand[expert]! / holders.length;
    const rise = this.demand[expert]! / (holders.length - 1) - before;
    let change =
      this.term(this.loads[rank]! - before * this.paces[rank]!) -
      this.terms[rank]!;
    for (const other of holders) {
      if (other === rank) continue;
      const load = this.loads[other]! + rise * this.paces[other]!;
      change += this.term(load) - this.terms[other]!;
    }
    return change;
  }

  /** Change of the sum of terms of an expert's holders if one more holds it. */
  termsOfHolders(expert: number): number {
    const fall = this.fallPerHolder(expert);
    let change = 0;
    for (const rank of this.holders[expert]!) {
      const load = this.loads[rank]! - fall * this.paces[rank]!;
      change += this.term(load) - this.terms[rank]!;
    }
    return change;
  }

  /**
   * Change of the sum of terms if a rank adds an expert and drops another one,
   * if any, without what `termsOfHolders` counts already.
   */
  termsOfAdd(rank: number, added: number, dropped: number | undefined): number {
    const share = this.demand[added]! / (this.holders[added]!.length + 1);
    const pace = this.paces[rank]!;
    let load = this.loads[rank]! + share * pace;
    let change = 0;
    if (dropped !== undefined) {
      const holders = this.holders[dropped]!;
      const before = this.demand[dropped]! / holders.length;
      const rise = this.demand[dropped]! / (holders.length - 1) - before;
      load -= before * pace;
      for (const other of holders) {
        if (other === rank) continue;
        const otherPace = this.paces[other]!;
        const relieved = this.holds(other, added);
        const otherLoad = relieved
          ? this.loads[other]! - this.fallPerHolder(added) * otherPace
          : this.loads[other]!;
        const counted = relieved ? this.term(otherLoad) : this.terms[other]!;
        change += this.term(otherLoad + rise * otherPace) - counted;
      }
    }
    return change + this.term(load) - this.terms[rank]!;
  }

  /** Load that each holder of an expert loses if one more rank holds it. */
  private fallPerHolder(expert: number): number {
    const count = this.holders[expert]!.length;
    return this.demand[expert]! / count - this.demand[expert]! / (count + 1);
  }

  apply({rank, add, drop}: PlacementStep): void {
    if (drop !== undefined) {
      this.shiftLoads(drop, undefined, rank);
      this.ranks[rank] = this.ranks[rank]!.filter(e => e !== drop);
      this.holders[drop] = this.holders[drop]!.filter(r => r !== rank);
      this.held[rank * this.demand.length + drop] = 0;
    }
    if (add !== undefined) {
      this.shiftLoads(add, rank, undefined);
      this.ranks[rank]!.push(add);
      this.holders[add]!.push(rank);
      this.held[rank * this.demand.length + add] = 1;
    }
    this.termSum = sumOf(this.terms);
  }

  /** Changes the loads as if one expert's holders had changed. */
  private shiftLoads(
    expert: number,
    added: number | undefined,
    dropped: number | undefined,
  ): void {
    const holders = this.holders[expert]!;
    const before = this.demand[expert]! / holders.length;
    const count =
      holders.length +
      (added === undefined ? 0 : 1) -
      (dropped === undefined ? 0 : 1);
    const after = this.demand[expert]! / count;
    for (const rank of holders) {
      this.addLoad(rank, (rank === dropped ? 0 : after) - before);
    }
    if (added !== undefined) this.addLoad(added, after);
  }

  private addLoad(rank: number, load: number): void {
    this.loads[rank]! += load * this.paces[rank]!;
    this.terms[rank] = this.term(this.loads[rank]!);
  }
}

interface PlacementStep {
  readonly rank: number;
  readonly add: number | undefined;
  readonly drop: number | undefined;
}

interface ScoredStep {
  readonly step: PlacementStep;
  readonly gain: number;
}

/**
 * Plans a better map for a demand, given as the share of each expert in its
 * set. `paces` are the ranks' slowdowns. Returns undefined if the map is even
 * enough or no step gains enough.
 */
export function improveMap(
  map: RankMap,
  demand: readonly (readonly number[])[],
  limits: PlacementLimits,
  paces: readonly number[] = map[0]!.map(() => 1),
): PlacementPlan | undefined {
  const search = searchMap(map, demand, limits, paces);
  for (;;) {
    const {done, value} = search.next();
    if (done) return value;
  }
}

/**
 * Longest time for which a search keeps the event loop, in milliseconds. The
 * coordinator's heartbeats and orders wait for it.
 */
const MAX_SLICE_MS = 10;

/** Plans like `improveMap`, and lets other work run in between. */
export async function improveMapInSlices(
  map: RankMap,
  demand: readonly (readonly number[])[],
  limits: PlacementLimits,
  paces: readonly number[],
  clock: Clock,
): Promise<PlacementPlan | undefined> {
  const search = searchMap(map, demand, limits, paces);
  let sliceEndMs = clock.elapsedMs() + MAX_SLICE_MS;
  for (;;) {
    const {done, value} = search.next();
    if (done) return value;
    if (clock.elapsedMs() < sliceEndMs) continue;
    await new Promise<void>(resume => clock.after(0, resume));
    sliceEndMs = clock.elapsedMs() + MAX_SLICE_MS;
  }
}

/** Searches for a better map; yields after each short part of the work. */
function* searchMap(
  map: RankMap,
  demand: readonly (readonly number[])[],
  limits: PlacementLimits,
  paces: readonly number[],
): Generator<undefined, PlacementPlan | undefined> {
  const layouts: SetLayout[] = [];
  for (const [set, ranks] of map.entries()) {
    layouts.push(new SetLayout(ranks, demand[set]!, paces));
    yield;
  }
  const skewBefore = meanOf(layouts.map(l => l.skew()));
  if (skewBefore < limits.minSkew) return undefined;
  const copiesOfRank = map[0]!.map(() => 0);
  const copiesOfSetAndRank = map.map(ranks => ranks.map(() => 0));
  const isNew = (set: number, rank: number, expert: number) =>
    !layouts[set]!.heldAtStart(rank, expert);
  const findStep = (set: number) =>
    findBestStep(
      layouts[set]!,
      limits,
      rank =>
        copiesOfSetAndRank[set]![rank]! < limits.maxNewPerRankAndSet &&
        copiesOfRank[rank]! < limits.maxNewPerRank,
    );
  // The best step of a set changes only with the set's layout, or if the rank
  // that it copies to may copy no more. On many sets a new search of all of them
  // after each step would take longer than demand stays the same.
  const bestSteps: (ScoredStep | undefined)[] = [];
  for (const set of layouts.keys()) {
    bestSteps.push(findStep(set));
    yield;
  }
  let copies = 0;
  let stepCount = 0;
  for (;;) {
    const set = indexOfLargestGain(bestSteps);
    const best = bestSteps[set];
    if (!best || best.gain < limits.minGainPerCopy) break;
    const {rank, add} = best.step;
    layouts[set]!.apply(best.step);
    stepCount += 1;
    bestSteps[set] = undefined;
    if (add !== undefined && isNew(set, rank, add)) {
      copies += 1;
      copiesOfRank[rank]! += 1;
      copiesOfSetAndRank[set]![rank]! += 1;
      if (copiesOfRank[rank] === limits.maxNewPerRank) {
        bestSteps.forEach((other, i) => {
          if (!other || other.step.rank !== rank) return;
          const {add: copied} = other.step;
          if (copied !== undefined && isNew(i, rank, copied))
            bestSteps[i] = findStep(i);
        });
      }
    }
    bestSteps[set] = findStep(set);
    yield;
  }
  if (stepCount === 0) return undefined;
  const skewAfter = meanOf(layouts.map(l => l.skew()));
  if (skewBefore - skewAfter < limits.minSkewGain) return undefined;
  return {
    map: sortExperts(layouts.map(l => l.ranks)),
    copies,
    maxCopiesPerRank: Math.max(...copiesOfRank),
    skewBefore,
    skewAfter,
  };
}

/** Index of the step with the largest gain; that of any step if none gains. */
function indexOfLargestGain(
  steps: readonly (ScoredStep | undefined)[],
): number {
  let best = 0;
  steps.forEach((step, i) => {
    if (step && step.gain > (steps[best]?.gain ?? -Infinity)) best = i;
  });
  return best;
}

/**
 * Finds the step that reduces the set's smooth skew most for its cost. Only the
 * most loaded rank is relieved, by a step that drops one of its experts or by
 * one that has another rank hold it as well.
 */
function findBestStep(
  layout: SetLayout,
  {slotsPerRank}: PlacementLimits,
  mayCopyTo: (rank: number) => boolean,
): ScoredStep | undefined {
  const {holders, ranks, termSum} = layout;
  const now = layout.smoothSkew();
  const hotRank = mostLoadedRank(layout);
  let best: ScoredStep | undefined;
  // Of steps with the same cost, the one with the smallest sum gains most, so
  // that the root is taken only of sums that improve on it.
  const smallestSums = new Map<number, number>();
  const consider = (
    sum: number,
    cost: number,
    rank: number,
    add: number | undefined,
    drop: number | undefined,
  ) => {
    if (sum >= (smallestSums.get(cost) ?? Infinity)) return;
    smallestSums.set(cost, sum);
    const gain = (now - layout.smoothSkew(sum)) / cost;
    if (!best || gain > best.gain) best = {step: {rank, add, drop}, gain};
  };
  for (const expert of ranks[hotRank]!) {
    if (holders[expert]!.length > 1) {
      const sum = termSum + layout.termsOfDrop(hotRank, expert);
      consider(sum, COST_WITHOUT_COPY, hotRank, undefined, expert);
    }
    const relieved = termSum + layout.termsOfHolders(expert);
    ranks.forEach((held, rank) => {
      if (layout.holds(rank, expert)) return;
      const isCopy = !layout.heldAtStart(rank, expert);
      if (isCopy && !mayCopyTo(rank)) return;
      const cost = isCopy ? 1 : COST_WITHOUT_COPY;
      if (held.length < slotsPerRank) {
        const sum = relieved + layout.termsOfAdd(rank, expert, undefined);
        consider(sum, cost, rank, expert, undefined);
        return;
      }
      for (const old of held) {
        if (holders[old]!.length < 2) continue;
        const sum = relieved + layout.termsOfAdd(rank, expert, old);
        consider(sum, cost, rank, expert, old);
      }
    });
  }
  return best;
}

/** Cost, in copies, of a step that copies nothing; limits their number. */
const COST_WITHOUT_COPY = 0.5;

function mostLoadedRank({loads}: SetLayout): number {
  return loads.reduce(
    (hotRank, load, rank) => (load > loads[hotRank]! ? rank : hotRank),
    0,
  );
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, n) => sum + n, 0);
}

function meanOf(values: readonly number[]): number {
  return sumOf(values) / values.length;
}

/** Returns the mean skew of the sets for a map and a demand. */
export function meanSkew(
  map: RankMap,
  demand: readonly (readonly number[])[],
  paces: readonly number[] = map[0]!.map(() => 1),
): number {
  return meanOf(
    map.map((ranks, set) => new SetLayout(ranks, demand[set]!, paces).skew()),
  );
}
