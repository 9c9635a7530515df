/**
 * Which rank holds which expert, where holders share an expert evenly.
 *
 * A pass lasts as long as the most loaded rank of each set, so the largest
 * load counts. Copying an expert to a rank costs time and money, and ranks
 * copy one expert after another; dropping a copy costs nothing. The search
 * therefore takes single steps with the largest relief for each copy and
 * stops when no step relieves enough. The load of a slow rank counts as many
 * times as it is slower, because all ranks wait for it.
 */
import {RankMap} from './rank';

export interface Limits {
  /** Experts of a set that a rank can hold. */
  readonly slotsPerRank: number;
  /** Experts of a set that may be new to a rank in one change. */
  readonly newPerRank: number;
  /** Experts of all sets together that may be new to a rank. */
  readonly newPerRankTotal: number;
  /** Least relief of the smooth skew for each copy. */
  readonly gainPerCopy: number;
  /** Mean skew of the sets below which nothing is changed. */
  readonly leastSkew: number;
}

export interface Plan {
  readonly map: RankMap;
  readonly copies: number;
  /** Experts that the rank with most of them copies. */
  readonly mostCopies: number;
  /** Mean over the sets of the largest load over the mean, before and after. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

/** Exponent of the norm that stands for the maximum; smooth where ranks tie. */
const NORM = 16;

class SetLayout {
  readonly holders: number[][];
  readonly loads: number[];
  readonly mean: number;

  constructor(
    readonly ranks: Set<number>[],
    readonly demand: readonly number[],
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
    this.mean = demand.reduce((sum, n) => sum + n, 0) / ranks.length;
  }

  skew(): number {
    return Math.max(...this.loads) / this.mean;
  }

  /** The smooth skew if the loads of some ranks were others. */
  smooth(changed?: ReadonlyMap<number, number>): number {
    let sum = 0;
    this.loads.forEach((load, rank) => {
      sum += ((changed?.get(rank) ?? load) / this.mean) ** NORM;
    });
    return (sum / this.loads.length) ** (1 / NORM);
  }

  /** Loads of the ranks that a change of one expert's holders touches. */
  shifted(
    expert: number,
    added: number | undefined,
    dropped: number | undefined,
    onto: Map<number, number>,
  ): void {
    const holders = this.holders[expert]!;
    const before = this.demand[expert]! / holders.length;
    const count =
      holders.length +
      (added === undefined ? 0 : 1) -
      (dropped === undefined ? 0 : 1);
    const after = this.demand[expert]! / count;
    const at = (rank: number) => onto.get(rank) ?? this.loads[rank]!;
    for (const rank of holders) {
      const change = (rank === dropped ? 0 : after) - before;
      onto.set(rank, at(rank) + change * this.paces[rank]!);
    }
    if (added !== undefined) {
      onto.set(added, at(added) + after * this.paces[added]!);
    }
  }

  apply({rank, add, drop}: Change): void {
    const loads = new Map<number, number>();
    if (drop !== undefined) this.shifted(drop, undefined, rank, loads);
    loads.forEach((load, r) => (this.loads[r] = load));
    loads.clear();
    if (drop !== undefined) {
      this.ranks[rank]!.delete(drop);
      this.holders[drop] = this.holders[drop]!.filter(r => r !== rank);
    }
    if (add === undefined) return;
    this.shifted(add, rank, undefined, loads);
    loads.forEach((load, r) => (this.loads[r] = load));
    this.ranks[rank]!.add(add);
    this.holders[add]!.push(rank);
  }
}

interface Change {
  readonly rank: number;
  readonly add: number | undefined;
  readonly drop: number | undefined;
}

interface Scored {
  readonly change: Change;
  readonly gain: number;
}

/**
 * Improves a map for a demand, given as the share of each expert in its set.
 * Returns undefined where no step relieves enough.
 */
export function improvedMap(
  map: RankMap,
  demand: readonly (readonly number[])[],
  limits: Limits,
  paces: readonly number[] = map[0]!.map(() => 1),
): Plan | undefined {
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
  if (skewBefore < limits.leastSkew) return undefined;
  const fresh = map[0]!.map(() => 0);
  const freshOfSet = map.map(ranks => ranks.map(() => 0));
  let copies = 0;
  let steps = 0;
  for (;;) {
    let best: (Scored & {readonly set: number}) | undefined;
    layouts.forEach((layout, set) => {
      const mayCopy = (rank: number, expert: number) =>
        before[set]![rank]!.has(expert) ||
        (freshOfSet[set]![rank]! < limits.newPerRank &&
          fresh[rank]! < limits.newPerRankTotal);
      const found = bestChange(layout, before[set]!, limits, mayCopy);
      if (found && (!best || found.gain > best.gain)) best = {...found, set};
    });
    if (!best || best.gain < limits.gainPerCopy) break;
    const {change, set} = best;
    layouts[set]!.apply(change);
    steps += 1;
    if (change.add === undefined) continue;
    if (before[set]![change.rank]!.has(change.add)) continue;
    copies += 1;
    fresh[change.rank]! += 1;
    freshOfSet[set]![change.rank]! += 1;
  }
  if (steps === 0) return undefined;
  return {
    map: layouts.map(l => l.ranks.map(held => [...held])),
    copies,
    mostCopies: Math.max(...fresh),
    skewBefore,
    skewAfter: meanOf(layouts.map(l => l.skew())),
  };
}

function bestChange(
  layout: SetLayout,
  before: readonly ReadonlySet<number>[],
  limits: Limits,
  mayCopy: (rank: number, expert: number) => boolean,
): Scored | undefined {
  const now = layout.smooth();
  const hot = hottest(layout);
  let best: Scored | undefined;
  const consider = (change: Change, costs: number) => {
    const loads = new Map<number, number>();
    const {rank, add, drop} = change;
    if (drop !== undefined) layout.shifted(drop, undefined, rank, loads);
    if (add !== undefined) layout.shifted(add, rank, undefined, loads);
    const gain = (now - layout.smooth(loads)) / costs;
    if (!best || gain > best.gain) best = {change, gain};
  };
  for (const expert of layout.ranks[hot]!) {
    if (layout.holders[expert]!.length > 1) {
      consider({rank: hot, add: undefined, drop: expert}, FREE_STEP);
    }
    layout.ranks.forEach((held, rank) => {
      if (rank === hot || held.has(expert) || !mayCopy(rank, expert)) return;
      const costs = before[rank]!.has(expert) ? FREE_STEP : 1;
      if (held.size < limits.slotsPerRank) {
        consider({rank, add: expert, drop: undefined}, costs);
        return;
      }
      for (const old of held) {
        if (layout.holders[old]!.length < 2) continue;
        consider({rank, add: expert, drop: old}, costs);
      }
    });
  }
  return best;
}

/** A step without a copy counts as this part of one, so that few are made. */
const FREE_STEP = 0.5;

function hottest({loads}: SetLayout): number {
  return loads.reduce(
    (hot, load, rank) => (load > loads[hot]! ? rank : hot),
    0,
  );
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, n) => sum + n, 0) / values.length;
}

/** Mean over the sets of the largest load over the mean. */
export function skewOf(
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
