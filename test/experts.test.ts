/** Tests of expert maps, load estimates and the policy that changes maps. */
import {expect} from 'chai';
import {minExpectedLoads, onlineP99Bound} from '../bench/onlinebound';
import {forecastShares, addSample, rankConditions} from '../src/experts/load';
import {
  ExpertMap,
  createExpertMap,
  initialMap,
  serializeMap,
  parseMap,
  stepSkew,
} from '../src/experts/map';
import {plan, DEFAULT_POLICY} from '../src/experts/policy';

const SHAPE = {layers: 2, ranks: 4, slotsPerRank: 5, experts: 16};

/** One expert of each layer has `share` of the tokens. */
function hot(expert: number, share: number): readonly number[][] {
  const other = (1 - share) / (SHAPE.experts - 1);
  const layer = Array.from({length: SHAPE.experts}, (_, e) =>
    e === expert ? share : other,
  );
  return Array.from({length: SHAPE.layers}, () => layer);
}

function estimateOf(shares: readonly number[][], rankMs: number[] = []) {
  const tokens = shares.map(layer => layer.map(share => share * 1e6));
  return addSample(undefined, {tokens, rankMs, atMs: 0});
}

/** Applies plans until the policy keeps the map; returns that map. */
function settle(start: ExpertMap, shares: readonly number[][]): ExpertMap {
  let map = start;
  for (let n = 0; n < 50; n++) {
    const next = plan(estimateOf(shares), map, DEFAULT_POLICY);
    if (!next) return map;
    map = next.map;
  }
  throw new Error('the policy still changes the map after 50 plans');
}

describe('expert map', () => {
  it('refuses a map in which an expert has no slot', () => {
    // Tokens of such an expert could not be computed anywhere.
    const {shape, layers} = initialMap(SHAPE);
    const slots = layers[0]!.slots.map(expert => (expert === 5 ? 6 : expert));
    const broken = createExpertMap(shape, [{...layers[0]!, slots}, layers[1]!]);
    expect(broken.err).to.equal(true);
    expect(String(broken.val)).to.contain('expert 5 missing');
  });

  it('keeps its hash when serialized and parsed', () => {
    // Ranks compare hashes only; another hash would make them refuse steps.
    const map = initialMap(SHAPE);
    expect(parseMap(serializeMap(map)).unwrap().hash).to.equal(map.hash);
  });

  it('reports text that is not a map as a fault', () => {
    expect(parseMap('{').err).to.equal(true);
    expect(parseMap('{"shape":{}}').err).to.equal(true);
  });
});

describe('load estimate', () => {
  it('distinguishes a stalled rank from a hot one', () => {
    // Moving experts away from a stalled rank would load weights in vain.
    const map = initialMap(SHAPE);
    const share = 0.4;
    const even = estimateOf(hot(0, 1 / SHAPE.experts), [10, 10, 10, 30]);
    expect(rankConditions(even, map)[3]).to.equal('stalled');
    const loaded = estimateOf(hot(1, share), []);
    expect(rankConditions(loaded, map)[0]).to.equal('hot');
  });

  it('follows a jump without lag and averages noise', () => {
    const before = estimateOf(hot(0, 0.3));
    const tokens = hot(7, 0.3).map(layer => layer.map(s => s * 1e6));
    const after = addSample(before, {tokens, rankMs: [], atMs: 100});
    expect(after.shares[0]![7]).to.be.closeTo(0.3, 0.001);
    const noisy = hot(0, 0.3001).map(layer => layer.map(s => s * 1e6));
    const kept = addSample(before, {tokens: noisy, rankMs: [], atMs: 100});
    expect(kept.shares[0]![0]).to.be.closeTo(0.3, 0.00005);
  });
});

describe('trend of the load', () => {
  const sample = (share: number, atMs: number) => {
    const tokens = hot(0, share).map(layer => layer.map(s => s * 1e6));
    return {tokens, rankMs: [], atMs};
  };

  it('forecasts a rising share from its trend', () => {
    // A map made for the last report is outdated by the time it is loaded.
    let estimate = addSample(undefined, sample(0.1, 0));
    for (let s = 1; s <= 20; s++) {
      estimate = addSample(estimate, sample(0.1 + 0.005 * s, s * 1_000));
    }
    const ahead = forecastShares(estimate, 2_000)[0]![0];
    expect(ahead).to.be.closeTo(0.1 + 0.005 * 22, 0.002);
  });

  it('does not take a jump for a trend', () => {
    // Otherwise replicas would be placed for load that never comes.
    const before = addSample(undefined, sample(0.1, 0));
    const after = addSample(before, sample(0.4, 1_000));
    expect(forecastShares(after, 0)[0]![0]).to.be.closeTo(0.4, 0.001);
    expect(forecastShares(after, 2_000)[0]![0]).to.be.closeTo(0.4, 0.002);
  });

  it('never forecasts a negative share', () => {
    // A negative load would draw replicas to a rank that has no load to give.
    let estimate = addSample(undefined, sample(0.1, 0));
    for (let s = 1; s <= 19; s++) {
      estimate = addSample(estimate, sample(0.1 - 0.005 * s, s * 1_000));
    }
    expect(forecastShares(estimate, 30_000)[0]![0]).to.equal(0);
  });
});

describe('online lower bound', () => {
  const limits = {slots: 160, experts: 128, expertsPerS: 1};
  const jump = {layers: [[8]], lastsMs: 60_000};

  it('is at most the loads that any placement of spare replicas needs', () => {
    // A lower bound that a policy can beat would excuse a missed target.
    const least = minExpectedLoads(jump, 2, limits);
    const [spread, concentrated] = [
      (96 * 3 + 32 * 2) / 128,
      (127 * 3 + 1 * 0) / 128,
    ];
    expect(least).to.be.at.most(Math.min(spread, concentrated));
    // 8 / 2 ranks, less (160 + 8) / 128 that had the expert.
    expect(least).to.be.closeTo(4 - 168 / 128, 0.01);
  });

  it('divides the loads over layers so that the fewest are needed', () => {
    // Bringing each layer to the same skew would need more.
    const two = {layers: [[8], [2]], lastsMs: 60_000};
    const equal = 8 / 2 - 168 / 128;
    expect(minExpectedLoads(two, 2, limits)).to.be.below(equal);
    expect(minExpectedLoads(two, 2, limits)).to.be.above(0);
  });

  it('excuses a target only with a slow store', () => {
    const jumps = Array.from({length: 6}, () => jump);
    const at = (expertsPerS: number) =>
      onlineP99Bound(jumps, 3_600_000, {...limits, expertsPerS});
    expect(at(1_000)).to.be.closeTo(1, 0.001);
    expect(at(0.1)).to.be.above(2);
  });
});

describe('rebalancing policy', () => {
  it('spreads a hot expert and then keeps the map', () => {
    // Endless changes would load the weight store forever.
    const shares = hot(3, 0.4);
    const start = initialMap(SHAPE);
    const map = settle(start, shares);
    expect(stepSkew(start, shares)).to.be.above(1.5);
    expect(stepSkew(map, shares)).to.be.below(1.05);
  });

  it('moves no weights when a change of shares removes the skew', () => {
    const start = settle(initialMap(SHAPE), hot(3, 0.4));
    const next = plan(estimateOf(hot(3, 0.35)), start, DEFAULT_POLICY);
    expect(next!.map.hash).not.to.equal(start.hash);
    expect(next!.moves).to.deep.equal([]);
    expect(next!.skewAfter).to.be.below(next!.skewBefore);
  });

  it('moves nothing when loading costs more than it saves', () => {
    const settings = {...DEFAULT_POLICY, horizonMs: 1, split: 'even' as const};
    const next = plan(estimateOf(hot(3, 0.4)), initialMap(SHAPE), settings);
    expect(next).to.equal(undefined);
  });

  it('allows longer loading only while the skew is urgent', () => {
    // Otherwise a jump would have to wait for a long load of a small drift.
    const settings = {
      ...DEFAULT_POLICY,
      storeBytesPerS: 10 * DEFAULT_POLICY.expertBytes,
    };
    const start = initialMap({...SHAPE, layers: 12});
    const estimate = (share: number) =>
      estimateOf(Array.from({length: 12}, () => hot(3, share)[0]!));
    const urgent = plan(estimate(0.4), start, settings)!;
    const calm = plan(estimate(0.1), start, settings)!;
    expect(urgent.loadMs).to.be.above(settings.maxLoadMs + 100);
    expect(urgent.loadMs).to.be.at.most(settings.urgentMaxLoadMs + 100);
    expect(calm.loadMs).to.be.at.most(settings.maxLoadMs + 100);
  });

  it('never changes the map in static mode', () => {
    const settings = {...DEFAULT_POLICY, mode: 'static' as const};
    const next = plan(estimateOf(hot(3, 0.4)), initialMap(SHAPE), settings);
    expect(next).to.equal(undefined);
  });
});
