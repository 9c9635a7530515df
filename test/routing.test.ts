import {expect} from 'chai';
import * as fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Candidate, createPrefixSelector} from '../src/routing/selection';
import {
  Circuits,
  isUsable,
  noCircuits,
  recordOffer,
  observeDelay,
  observeFailure,
} from '../src/routing/circuit';
import {PrefixIndex} from '../src/routing/prefix';
import {
  countFirstAttempt,
  emptyRetryState,
  takeRetry,
} from '../src/routing/retry';
import {subsetOf} from '../src/routing/subset';
import {InstanceRecord} from '../src/platform/client';

const at = (ms: number) => new Date(ms);

describe('retry budget', () => {
  const budget = {retryRatio: 0.1, retryFloorPerS: 1, windowMs: 10_000};

  it('keeps retries within the ratio plus the floor, in every window', () => {
    const steps = fc.array(fc.tuple(fc.nat(300), fc.boolean()), {
      maxLength: 400,
    });
    fc.assert(
      fc.property(steps, list => {
        let state = emptyRetryState;
        let now = 1e6;
        const firsts: number[] = [];
        const retries: number[] = [];
        for (const [waitMs, isFirst] of list) {
          now += waitMs;
          if (isFirst) {
            state = countFirstAttempt(state, budget, now);
            firsts.push(now);
            continue;
          }
          const taken = takeRetry(state, budget, now);
          state = taken.state;
          if (!taken.allowed) continue;
          retries.push(now);
          const recent = (times: number[]) =>
            times.filter(t => t > now - 10_000).length;
          const limit = 0.1 * recent(firsts) + 10;
          expect(recent(retries)).to.be.at.most(limit);
        }
      }),
      {seed: 1},
    );
  });

  it('refuses retries once the budget is used up', () => {
    let state = emptyRetryState;
    for (let i = 0; i < 100; i++) {
      state = countFirstAttempt(state, budget, 5_000);
    }
    let allowed = 0;
    for (let i = 0; i < 100; i++) {
      const taken = takeRetry(state, budget, 5_000);
      state = taken.state;
      if (taken.allowed) allowed += 1;
    }
    expect(allowed).to.equal(20);
    expect(takeRetry(state, budget, 16_000).allowed).to.equal(true);
  });

  it('does not forget retries before the window has passed', () => {
    for (let startMs = 5_000; startMs < 6_000; startMs += 50) {
      let state = emptyRetryState;
      for (let i = 0; i < 10; i++) {
        state = takeRetry(state, budget, startMs).state;
      }
      const laterMs = startMs + budget.windowMs - 1;
      expect(takeRetry(state, budget, laterMs).allowed).to.equal(false);
    }
  });
});

describe('circuit breaker', () => {
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];

  function circuitsWithSlow(slow: readonly string[]): Circuits {
    let state = noCircuits;
    for (let i = 0; i < 30; i++) {
      for (const name of names) {
        const delay = slow.includes(name) ? 900 : 100 + i;
        state = observeDelay(state, name, 'm', delay, at(1_000));
      }
    }
    return state;
  }

  it('avoids an endpoint that is slow but answers', () => {
    const state = circuitsWithSlow(['b']);
    const usable = names.filter(n => isUsable(state, n, at(1_001)));
    expect(usable).to.deep.equal(['a', 'c', 'd', 'e', 'f']);
  });

  it('avoids at most a third, because more would only move the load', () => {
    const state = circuitsWithSlow(['a', 'b', 'c', 'd']);
    const avoided = names.filter(n => !isUsable(state, n, at(1_001)));
    expect(avoided.length).to.be.at.most(2);
  });

  it('avoids none when all are slow together', () => {
    const state = circuitsWithSlow(names);
    expect(names.every(n => isUsable(state, n, at(1_001)))).to.equal(true);
  });

  it('probes with one request and closes after a normal delay', () => {
    let state = circuitsWithSlow(['b']);
    const later = at(10_000);
    expect(isUsable(state, 'b', later)).to.equal(true);
    state = recordOffer(state, 'b', later);
    expect(isUsable(state, 'b', later)).to.equal(false);
    state = observeDelay(state, 'b', 'm', 110, later);
    expect(isUsable(state, 'b', later)).to.equal(true);
  });

  it('opens after consecutive failures', () => {
    let state = circuitsWithSlow([]);
    for (let i = 0; i < 5; i++) {
      state = observeFailure(state, 'c', 'm', at(1_000));
    }
    expect(isUsable(state, 'c', at(1_001))).to.equal(false);
  });
});

describe('subset', () => {
  const record = (zone: string, i: number): InstanceRecord => ({
    instance: `${zone}-${i}`,
    zone,
    role: 'sidecar',
    address: '127.0.0.1:1',
    state: 'live',
    targetKind: 'model',
    target: 'valve',
  });
  const zones = ['z1', 'z2', 'z3'];
  const all = zones.flatMap(zone =>
    Array.from({length: 40}, (_, i) => record(zone, i)),
  );

  it('links 6 in the own zone and 2 in each other zone', () => {
    const chosen = subsetOf('e1', 'z2', all);
    const count = (zone: string) => chosen.filter(r => r.zone === zone).length;
    expect(zones.map(count)).to.deep.equal([2, 6, 2]);
  });

  it('links to another region only for a target that its own lacks', () => {
    const region = (zone: string) => (zone === 'z3' ? 'north' : 'south');
    const other = {...record('z3', 99), target: 'notes'};
    const chosen = subsetOf('e1', 'z2', [...all, other], region);
    const count = (zone: string) => chosen.filter(r => r.zone === zone).length;
    expect(zones.map(count)).to.deep.equal([2, 6, 1]);
    expect(chosen).to.include(other);
  });

  it('keeps the other links when one instance leaves', () => {
    const before = subsetOf('e1', 'z1', all).map(r => r.instance);
    const left = all.filter(r => r.instance !== before[0]);
    const after = subsetOf('e1', 'z1', left).map(r => r.instance);
    const kept = before.filter(name => after.includes(name));
    expect(kept).to.deep.equal(before.slice(1));
  });

  it('links every sidecar when there are many entries', () => {
    const linked = new Set<string>();
    for (let e = 0; e < 60; e++) {
      const chosen = subsetOf(`e${e}`, zones[e % 3]!, all);
      chosen.forEach(r => linked.add(r.instance));
    }
    expect(linked.size).to.equal(all.length);
  });
});

describe('prefix index', () => {
  const event = (
    cacheSequence: number,
    cachedPrefixes: readonly number[],
    evictedPrefixes: readonly number[] = [],
  ) => ({cacheSequence, cachedPrefixes, evictedPrefixes});

  it('ignores an event that arrives after a newer one', () => {
    const index = new PrefixIndex();
    index.applyCacheEvent('a', event(2, [], [1]));
    index.applyCacheEvent('a', event(1, [1]));
    expect(index.cachedBlocks('a', [1])).to.equal(0);
  });

  it('drops the oldest prefixes after a gap, which may hide evictions', () => {
    const index = new PrefixIndex();
    index.applyCacheEvent('a', event(1, [1, 2, 3, 4]));
    index.applyCacheEvent('a', event(5, [9]));
    expect(index.cachedBlocks('a', [1])).to.equal(0);
    expect(index.cachedBlocks('a', [4])).to.equal(1);
    expect(index.cachedBlocks('a', [9])).to.equal(1);
  });

  it('counts leading blocks only', () => {
    const index = new PrefixIndex();
    index.recordPrompt('a', [1, 2, 3]);
    index.applyCacheEvent('a', event(1, [], [2]));
    expect(index.cachedBlocks('a', [1, 2, 3])).to.equal(1);
  });

  it('forgets the prefixes of an engine whose link closed', () => {
    const index = new PrefixIndex();
    index.recordPrompt('a', [1]);
    index.forget('a');
    expect(index.holders(1)).to.deep.equal([]);
    index.recordPrompt('a', [2]);
    expect(index.cachedBlocks('a', [1])).to.equal(0);
    expect(index.holders(2)).to.deep.equal(['a']);
  });

  it('keeps at most its bound of records for a sidecar', () => {
    const index = new PrefixIndex(10);
    index.recordPrompt(
      'a',
      Array.from({length: 50}, (_, i) => i),
    );
    const hits = Array.from({length: 50}, (_, i) =>
      index.cachedBlocks('a', [i]),
    );
    expect(hits.filter(depth => depth > 0)).to.have.length(10);
  });
});

describe('selection by prefix and load', () => {
  const candidate = (sidecar: string, running: number): Candidate => ({
    sidecar,
    zone: 'z1',
    outstanding: 0,
    load: {
      running,
      waiting: 0,
      bound: 10,
      freeTokens: 0,
      cold: false,
      leaving: false,
      stepMs: 0,
      cachedPrefixes: [],
      evictedPrefixes: [],
      cacheSequence: 0,
    },
  });
  const generator = xoroshiro128plus(7);
  const random = () => (generator.next() >>> 0) / 2 ** 32;
  const criteria = {
    prefixHashes: [1, 2],
    zone: 'z1',
    exclude: new Set<string>(),
  };
  const holding = (...names: readonly string[]) => {
    const index = new PrefixIndex();
    for (const name of names) index.recordPrompt(name, criteria.prefixHashes);
    return index;
  };

  it('prefers the sidecar that has the prefix, unless it is full', () => {
    const choose = createPrefixSelector(holding('b'), random);
    const some = ['a', 'c', 'd', 'e', 'f'].map(n => candidate(n, 3));
    const light = choose([...some, candidate('b', 5)], criteria, 2);
    expect(light[0]).to.equal('b');
    const full = choose([...some, candidate('b', 12)], criteria, 2);
    expect(full).to.not.include('b');
  });

  it('falls back to a shorter prefix when its holders were tried', () => {
    const index = holding('b');
    index.recordPrompt('c', [1]);
    const choose = createPrefixSelector(index, random);
    const all = 'abcdefghi'.split('').map(n => candidate(n, 3));
    const exclude = new Set(['b']);
    for (let i = 0; i < 50; i++) {
      expect(choose(all, {...criteria, exclude}, 2)[0]).to.equal('c');
    }
  });

  it('selects two different sidecars and none that was tried', () => {
    const choose = createPrefixSelector(holding(), random);
    const all = Array.from({length: 9}, (_, i) => candidate(`s${i}`, i));
    const exclude = new Set(['s0', 's1']);
    for (let i = 0; i < 200; i++) {
      const chosen = choose(all, {...criteria, exclude}, 2);
      expect(new Set(chosen).size).to.equal(2);
      expect(chosen).to.not.include.members(['s0']);
      expect(chosen).to.not.include.members(['s1']);
    }
  });
});
