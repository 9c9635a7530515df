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
import {RankMap} from './rank';

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
  /** Load of each rank. */
  readonly loads: number[];
  readonly mean: number;
  /** Each rank's term of the power mean, and their sum. */
  private readonly terms: number[];
  private termSum: number;

  constructor(
    /** Experts that each rank holds. */
    readonly ranks: Set<number>[],
    /** Share of each expert in the set's choices. */
    readonly demand: readonly number[],
    /** Slowdown of each rank; 1 if healthy. */
    readonly paces: readonly number[],
  ) {
    this.holders = demand.map(() => []);
    ranks.forEach((held, rank) => {
      for (const expert of held) this.holders[expert]!.push(rank);
    });
    this.loads = ranks.map((held, rank) => {
      let sum = 0;
      for (const e of held) sum += demand[e]! / this.holders[e]!.length;
      return sum * paces[rank]!;
    });
    this.mean = sumOf(demand) / ranks.length;
    this.terms = this.loads.map(load => this.term(load));
    this.termSum = sumOf(this.terms);
  }

  private term(load: number): number {
    return (load / this.mean) ** NORM_EXPONENT;
  }

  skew(): number {
    return Math.max(...this.loads) / this.mean;
  }

  /** A smooth approximation of the skew, with some ranks' loads replaced. */
  smoothSkew(replacedLoads?: ReadonlyMap<number, number>): number {
    let sum = this.termSum;
    replacedLoads?.forEach((load, rank) => {
      sum += this.term(load) - this.terms[rank]!;
    });
    // Rounding may leave a small negative sum.
    return (Math.max(0, sum) / this.loads.length) ** (1 / NORM_EXPONENT);
  }

  /** Stores the loads after a change of one expert's holders in `newLoads`. */
  shiftLoads(
    expert: number,
    added: number | undefined,
    dropped: number | undefined,
    newLoads: Map<number, number>,
  ): void {
    const holders = this.holders[expert]!;
    const before = this.demand[expert]! / holders.length;
    const count =
      holders.length +
      (added === undefined ? 0 : 1) -
      (dropped === undefined ? 0 : 1);
    const after = this.demand[expert]! / count;
    const loadOf = (rank: number) => newLoads.get(rank) ?? this.loads[rank]!;
    for (const rank of holders) {
      const change = (rank === dropped ? 0 : after) - before;
      newLoads.set(rank, loadOf(rank) + change * this.paces[rank]!);
    }
    if (added !== undefined) {
      newLoads.set(added, loadOf(added) + after * this.paces[added]!);
    }
  }

  apply({rank, add, drop}: PlacementStep): void {
    if (drop !== undefined) {
      this.replaceLoads(drop, undefined, rank);
      this.ranks[rank]!.delete(drop);
      this.holders[drop] = this.holders[drop]!.filter(r => r !== rank);
    }
    if (add === undefined) return;
    this.replaceLoads(add, rank, undefined);
    this.ranks[rank]!.add(add);
    this.holders[add]!.push(rank);
  }

  private replaceLoads(
    expert: number,
    added: number | undefined,
    dropped: number | undefined,
  ): void {
    const loads = new Map<number, number>();
    this.shiftLoads(expert, added, dropped, loads);
    loads.forEach((load, rank) => {
      this.loads[rank] = load;
      this.terms[rank] = this.term(load);
    });
    this.termSum = sumOf(this.terms);
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
  const layouts = map.map(
    (ranks, set) =>
      new SetLayout(
        ranks.map(held => new Set(held)),
        demand[set]!,
        paces,
      ),
  );
  const before = map.map(ranks => ranks.map(held => new Set(held)));
  const skewBefore = meanOf(layouts.map(l => l.skew()));
  if (skewBefore < limits.minSkew) return undefined;
  const copiesOfRank = map[0]!.map(() => 0);
  const copiesOfSetAndRank = map.map(ranks => ranks.map(() => 0));
  const isNew = (set: number, rank: number, expert: number) =>
    !before[set]![rank]!.has(expert);
  const findStep = (set: number) =>
    findBestStep(
      layouts[set]!,
      before[set]!,
      limits,
      (rank, expert) =>
        !isNew(set, rank, expert) ||
        (copiesOfSetAndRank[set]![rank]! < limits.maxNewPerRankAndSet &&
          copiesOfRank[rank]! < limits.maxNewPerRank),
    );
  // The best step of a set changes only with the set's layout, or if the rank
  // that it copies to may copy no more. On many sets a new search of all of them
  // after each step would take longer than demand stays the same.
  const bestSteps = layouts.map((_, set) => findStep(set));
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
  }
  if (stepCount === 0) return undefined;
  const skewAfter = meanOf(layouts.map(l => l.skew()));
  if (skewBefore - skewAfter < limits.minSkewGain) return undefined;
  return {
    map: layouts.map(l => l.ranks.map(held => [...held])),
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

function findBestStep(
  layout: SetLayout,
  before: readonly ReadonlySet<number>[],
  limits: PlacementLimits,
  mayCopy: (rank: number, expert: number) => boolean,
): ScoredStep | undefined {
  const now = layout.smoothSkew();
  const hotRank = mostLoadedRank(layout);
  let best: ScoredStep | undefined;
  const consider = (step: PlacementStep, cost: number) => {
    const loads = new Map<number, number>();
    const {rank, add, drop} = step;
    if (drop !== undefined) layout.shiftLoads(drop, undefined, rank, loads);
    if (add !== undefined) layout.shiftLoads(add, rank, undefined, loads);
    const gain = (now - layout.smoothSkew(loads)) / cost;
    if (!best || gain > best.gain) best = {step, gain};
  };
  for (const expert of layout.ranks[hotRank]!) {
    if (layout.holders[expert]!.length > 1) {
      consider(
        {rank: hotRank, add: undefined, drop: expert},
        COST_WITHOUT_COPY,
      );
    }
    layout.ranks.forEach((held, rank) => {
      if (rank === hotRank || held.has(expert) || !mayCopy(rank, expert))
        return;
      const cost = before[rank]!.has(expert) ? COST_WITHOUT_COPY : 1;
      if (held.size < limits.slotsPerRank) {
        consider({rank, add: expert, drop: undefined}, cost);
        return;
      }
      for (const old of held) {
        if (layout.holders[old]!.length < 2) continue;
        consider({rank, add: expert, drop: old}, cost);
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
    map.map((ranks, set) =>
      new SetLayout(
        ranks.map(held => new Set(held)),
        demand[set]!,
        paces,
      ).skew(),
    ),
  );
}
