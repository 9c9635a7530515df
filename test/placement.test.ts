/**
 * Demand and placement of experts.
 *
 * Guards against a rank that keeps several times the mean load, against maps
 * that an engine refuses, and against copies that bring nothing.
 */
import {expect} from 'chai';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Demand, updateDemand} from '../src/ranks/demand';
import {improveMap, PlacementLimits, meanSkew} from '../src/ranks/placement';
import {RankMap, RankState} from '../src/ranks/rank';

const RANKS = 12;
const EXPERTS = 96;
const SETS = 3;
const LIMITS: PlacementLimits = {
  slotsPerRank: 11,
  newPerRank: 1,
  newPerRankTotal: 1,
  gainPerCopy: 0.01,
  leastSkew: 1.15,
};

/** Experts dealt out in turn, as a group forms. */
const FIRST: RankMap = Array.from({length: SETS}, () =>
  Array.from({length: RANKS}, (_, rank) =>
    Array.from({length: EXPERTS / RANKS}, (_, i) => i * RANKS + rank),
  ),
);

/** A few experts get most of the demand, others in each set. */
function skewedDemand(seed: number): number[][] {
  const generator = xoroshiro128plus(seed);
  return Array.from({length: SETS}, () => {
    const weights = Array.from({length: EXPERTS}, (_, i) => 1 / (i + 1) ** 1.3);
    for (let i = EXPERTS - 1; i > 0; i--) {
      const j = uniformInt(generator, 0, i);
      [weights[i], weights[j]] = [weights[j]!, weights[i]!];
    }
    const sum = weights.reduce((a, b) => a + b, 0);
    return weights.map(w => w / sum);
  });
}

function newPerRank(before: RankMap, after: RankMap): readonly number[] {
  return Array.from({length: RANKS}, (_, rank) =>
    after.reduce((sum, ranks, set) => {
      const known = new Set(before[set]![rank]!);
      return sum + ranks[rank]!.filter(e => !known.has(e)).length;
    }, 0),
  );
}

function checkMap(map: RankMap): void {
  for (const ranks of map) {
    for (const held of ranks) {
      expect(held.length).to.be.at.most(LIMITS.slotsPerRank);
      expect(new Set(held).size).to.equal(held.length);
    }
    expect(new Set(ranks.flat()).size).to.equal(EXPERTS);
  }
}

describe('expert placement', () => {
  it('relieves the busiest rank by small changes that engines accept', () => {
    for (let seed = 1; seed <= 10; seed++) {
      const demand = skewedDemand(seed);
      let map = FIRST;
      for (let change = 0; change < 8; change++) {
        const plan = improveMap(map, demand, LIMITS);
        if (!plan) break;
        checkMap(plan.map);
        expect(Math.max(...newPerRank(map, plan.map))).to.be.at.most(1);
        expect(plan.skewAfter).to.be.below(plan.skewBefore);
        map = plan.map;
      }
      // The target of the milestone is 1.5 times the mean.
      expect(meanSkew(map, demand)).to.be.below(1.5);
    }
  });

  it('copies nothing where the load is even', () => {
    const even = Array.from({length: SETS}, () =>
      new Array<number>(EXPERTS).fill(1 / EXPERTS),
    );
    expect(improveMap(FIRST, even, LIMITS)).to.equal(undefined);
  });

  it('takes load from a rank that is slow', () => {
    // All ranks wait for the slow one in every pass.
    const demand = skewedDemand(3);
    const paces = Array.from({length: RANKS}, (_, rank) =>
      rank === 4 ? 4 : 1,
    );
    let map = FIRST;
    for (let change = 0; change < 12; change++) {
      map = improveMap(map, demand, LIMITS, paces)?.map ?? map;
    }
    checkMap(map);
    expect(meanSkew(map, demand, paces)).to.be.below(
      meanSkew(FIRST, demand, paces) / 2,
    );
  });

  it('follows demand that has moved with few copies', () => {
    let map = FIRST;
    let copies = 0;
    for (const seed of [1, 2]) {
      const demand = skewedDemand(seed);
      copies = 0;
      for (let change = 0; change < 10; change++) {
        const plan = improveMap(map, demand, LIMITS);
        if (!plan) break;
        map = plan.map;
        copies += plan.copies;
      }
      expect(meanSkew(map, demand)).to.be.below(1.5);
    }
    // A whole new map would copy most of the 396 places.
    expect(copies).to.be.below(100);
  });
});

describe('demand', () => {
  const state = (rank: number, counts: readonly number[], epoch = 1) =>
    ({rank, epoch, counts}) as unknown as RankState;
  const read = (
    before: Demand | undefined,
    counts: readonly number[],
    nowMs: number,
    epoch = 1,
  ) => updateDemand(before, [state(0, counts, epoch)], 1, nowMs);

  it('follows a jump with one reading and averages small differences', () => {
    let demand = read(undefined, [0, 0], 0);
    expect(demand.known).to.equal(false);
    demand = read(demand, [9_000, 1_000], 500);
    expect(demand.shares[0]![0]).to.be.closeTo(0.9, 0.001);
    demand = read(demand, [17_000, 3_000], 1_000);
    expect(demand.shares[0]![0]).to.be.within(0.8, 0.9);
    demand = read(demand, [18_000, 12_000], 1_500);
    expect(demand.shares[0]![0]).to.be.closeTo(0.1, 0.001);
  });

  it('starts anew when the group forms again', () => {
    // Counts start from zero then, and a difference would be negative.
    let demand = read(undefined, [0, 0], 0);
    demand = read(demand, [9_000, 1_000], 500);
    demand = read(demand, [10, 10], 1_000, 2);
    expect(demand.known).to.equal(false);
    expect(demand.shares[0]).to.deep.equal([0.5, 0.5]);
  });
});
