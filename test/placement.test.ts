/**
 * Estimated demand and placement of experts on a group's ranks.
 *
 * Guards against a rank that keeps several times the mean load, against maps
 * that an engine refuses, and against copies that reduce no load.
 */
import {expect} from 'chai';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Demand, updateDemand} from '../src/ranks/demand';
import {Clock} from '../src/kernel/clock';
import {
  improveMap,
  improveMapInSlices,
  PlacementLimits,
  meanSkew,
} from '../src/ranks/placement';
import {RankMap} from '../src/ranks/rank';

const RANKS = 12;
const EXPERTS = 96;
const SETS = 3;
const LIMITS: PlacementLimits = {
  slotsPerRank: 11,
  maxNewPerRankAndSet: 1,
  maxNewPerRank: 1,
  minGainPerCopy: 0.01,
  minSkew: 1.15,
  minSkewGain: 0,
};

/** Experts assigned round-robin, as when a group forms. */
const INITIAL_MAP: RankMap = Array.from({length: SETS}, () =>
  Array.from({length: RANKS}, (_, rank) =>
    Array.from({length: EXPERTS / RANKS}, (_, i) => i * RANKS + rank),
  ),
);

/** A few experts of each set, different in each, get most of its demand. */
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

function countNewPerRank(before: RankMap, after: RankMap): readonly number[] {
  return Array.from({length: RANKS}, (_, rank) =>
    after.reduce((sum, ranks, set) => {
      const known = new Set(before[set]![rank]!);
      return sum + ranks[rank]!.filter(e => !known.has(e)).length;
    }, 0),
  );
}

function expectValidMap(map: RankMap): void {
  for (const ranks of map) {
    for (const held of ranks) {
      expect(held.length).to.be.at.most(LIMITS.slotsPerRank);
      expect(new Set(held).size).to.equal(held.length);
    }
    expect(new Set(ranks.flat()).size).to.equal(EXPERTS);
  }
}

describe('expert placement', () => {
  it('reduces the largest load by small changes that engines accept', () => {
    for (let seed = 1; seed <= 10; seed++) {
      const demand = skewedDemand(seed);
      let map = INITIAL_MAP;
      for (let change = 0; change < 8; change++) {
        const plan = improveMap(map, demand, LIMITS);
        if (!plan) break;
        expectValidMap(plan.map);
        expect(Math.max(...countNewPerRank(map, plan.map))).to.be.at.most(1);
        expect(plan.skewAfter).to.be.below(plan.skewBefore);
        map = plan.map;
      }
      // The required skew is at most 1.5 times the mean.
      expect(meanSkew(map, demand)).to.be.below(1.5);
    }
  });

  it('does not hold the group for a gain that callers would not see', () => {
    const demand = skewedDemand(1);
    let map = INITIAL_MAP;
    for (;;) {
      const plan = improveMap(map, demand, {...LIMITS, minSkewGain: 0.08});
      if (!plan) break;
      expect(plan.skewBefore - plan.skewAfter).to.be.at.least(0.08);
      map = plan.map;
    }
    expect(meanSkew(map, demand)).to.be.below(1.5);
  });

  it('copies nothing where the load is even', () => {
    const even = Array.from({length: SETS}, () =>
      new Array<number>(EXPERTS).fill(1 / EXPERTS),
    );
    expect(improveMap(INITIAL_MAP, even, LIMITS)).to.equal(undefined);
  });

  it('takes load from a rank that is slow', () => {
    // All ranks wait for the slow one in every pass.
    const demand = skewedDemand(3);
    const paces = Array.from({length: RANKS}, (_, rank) =>
      rank === 4 ? 4 : 1,
    );
    let map = INITIAL_MAP;
    for (let change = 0; change < 12; change++) {
      map = improveMap(map, demand, LIMITS, paces)?.map ?? map;
    }
    expectValidMap(map);
    expect(meanSkew(map, demand, paces)).to.be.below(
      meanSkew(INITIAL_MAP, demand, paces) / 2,
    );
  });

  it('does not evaluate sets again that no step has changed', () => {
    // A coordinator that plans for a second neither polls nor answers.
    const sets = 16;
    const ranks = 24;
    const map = Array.from({length: sets}, () =>
      Array.from({length: ranks}, (_, rank) =>
        Array.from({length: EXPERTS / ranks}, (_, i) => i * ranks + rank),
      ),
    );
    const even = new Array<number>(EXPERTS).fill(1 / EXPERTS);
    const limits: PlacementLimits = {
      slotsPerRank: 5,
      maxNewPerRankAndSet: 2,
      maxNewPerRank: 2 * sets,
      minGainPerCopy: 0.01,
      minSkew: 1.05,
      minSkewGain: 0,
    };
    const countReadsOfLastSet = (minGainPerCopy: number) => {
      let reads = 0;
      const counted = new Proxy(even, {
        get(target, key, receiver) {
          if (typeof key === 'string' && /^\d+$/.test(key)) reads += 1;
          return Reflect.get(target, key, receiver);
        },
      });
      const demand = map.map((_, set) => {
        if (set === sets - 1) return counted;
        return set === 0 ? skewedDemand(1)[0]! : even;
      });
      const plan = improveMap(map, demand, {...limits, minGainPerCopy});
      return {reads, copies: plan?.copies ?? 0};
    };
    const oneRound = countReadsOfLastSet(Infinity);
    const all = countReadsOfLastSet(limits.minGainPerCopy);
    expect(oneRound.copies).to.equal(0);
    expect(all.copies).to.be.above(5);
    expect(all.reads).to.be.at.most(oneRound.reads);
  });

  it('lets heartbeats and orders through during a search', async () => {
    // A search of 64 ranks takes 0.2 s, and ranks take over after 0.6 s.
    const MS_PER_READING = 3;
    const MAX_WAIT_MS = 75;
    let nowMs = 0;
    let sliceStartMs = 0;
    let longestMs = 0;
    const clock: Clock = {
      now: () => new Date(nowMs),
      elapsedMs: () => (nowMs += MS_PER_READING),
      after(delayMs, action) {
        longestMs = Math.max(longestMs, nowMs - sliceStartMs);
        setImmediate(() => {
          sliceStartMs = nowMs;
          action();
        });
        return {cancel: () => undefined};
      },
    };
    const demand = skewedDemand(1);
    const paces = new Array<number>(RANKS).fill(1);
    const args = [INITIAL_MAP, demand, LIMITS, paces] as const;
    const plan = await improveMapInSlices(...args, clock);
    expect(plan).to.deep.equal(improveMap(...args));
    expect(longestMs).to.be.within(1, MAX_WAIT_MS);
  });

  it('adapts to shifted demand with few copies', () => {
    let map = INITIAL_MAP;
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
    // A map built from scratch would copy most of the 396 slots.
    expect(copies).to.be.below(100);
  });
});

describe('demand estimate', () => {
  const addReading = (
    before: Demand | undefined,
    choices: readonly number[],
    nowMs: number,
    epoch = 1,
  ) =>
    updateDemand(
      before,
      {epoch, sets: 1, experts: 2, ofRanks: [choices]},
      nowMs,
    );

  it('follows a jump in one reading and averages small differences', () => {
    let demand = addReading(undefined, [0, 0], 0);
    expect(demand.known).to.equal(false);
    demand = addReading(demand, [9_000, 1_000], 500);
    expect(demand.shares[0]![0]).to.be.closeTo(0.9, 0.001);
    demand = addReading(demand, [8_000, 2_000], 1_000);
    expect(demand.shares[0]![0]).to.be.within(0.8, 0.9);
    demand = addReading(demand, [1_000, 9_000], 1_500);
    expect(demand.shares[0]![0]).to.be.closeTo(0.1, 0.001);
  });

  it('follows a shift of half of the demand in a large group at once', () => {
    // The many requests of a large group make its readings steady, so a shift is
    // far less than a reading of a few ranks differs from the next by chance.
    const sets = 1;
    const experts = 100;
    const reading = (hot: number) =>
      Array.from({length: 22}, (_, rank) =>
        Array.from({length: experts}, (_, expert) => {
          const isHot = expert >= hot && expert < hot + 25;
          return 100 + (isHot ? 100 : 0) + ((expert + rank) % 2) * 20;
        }),
      );
    const add = (before: Demand | undefined, hot: number, nowMs: number) =>
      updateDemand(
        before,
        {epoch: 1, sets, experts, ofRanks: reading(hot)},
        nowMs,
      );
    const before = add(undefined, 0, 500);
    const after = add(before, 50, 1_000);
    const [shares] = add(undefined, 50, 500).shares;
    expect(after.distance).to.be.within(0.3, 0.7);
    expect(after.shares[0]).to.deep.equal(shares);
  });

  it('is reset when the group forms again', () => {
    let demand = addReading(undefined, [9_000, 1_000], 500);
    expect(demand.known).to.equal(true);
    demand = addReading(demand, [10, 10], 1_000, 2);
    expect(demand.known).to.equal(false);
    expect(demand.shares[0]).to.deep.equal([0.5, 0.5]);
  });

  it('waits until there are enough choices, and loses none', () => {
    let demand = addReading(undefined, [1_500, 0], 500);
    expect(demand.known).to.equal(false);
    demand = addReading(demand, [0, 500], 1_000);
    expect(demand.shares[0]![0]).to.be.closeTo(0.75, 0.001);
  });
});
