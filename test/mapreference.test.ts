/**
 * Expert maps that messages name by their digests.
 *
 * Guards against a rank that prepares another map than the one ordered, and
 * against orders that fill the coordinator's link.
 */
import {expect} from 'chai';
import fc from 'fast-check';
import {
  initialMap,
  KnownMaps,
  MapShape,
  referTo,
  relaysOf,
} from '../src/ranks/mapreference';
import {packMap} from '../src/ranks/packing';
import {RankMap} from '../src/ranks/rank';

const LARGE: MapShape = {sets: 12, ranks: 64, experts: 256};

/** The map after each of the steps has a rank hold another expert. */
function changed(
  map: RankMap,
  steps: readonly (readonly [number, number, number])[],
): RankMap {
  const next = map.map(ranks => ranks.map(held => [...held]));
  for (const [set, rank, expert] of steps) {
    const held = next[set % next.length]![rank % next[0]!.length]!;
    if (!held.includes(expert)) held.push(expert);
  }
  return next;
}

function sorted(map: RankMap | undefined): RankMap | undefined {
  return map?.map(ranks => ranks.map(held => [...held].sort((a, b) => a - b)));
}

describe('reference to a map', () => {
  const step = fc.tuple(fc.nat(11), fc.nat(63), fc.nat(255));

  it('leads to the map that is meant, from the map in use', () => {
    fc.assert(
      fc.property(fc.array(step), fc.array(step), (before, after) => {
        const first = initialMap(LARGE);
        const inUse = changed(first, before);
        const target = changed(first, after);
        const known = new KnownMaps();
        known.remember(inUse);
        const resolved = known.resolve(referTo(target, inUse));
        expect(sorted(resolved)).to.deep.equal(sorted(target));
        const named = {...referTo(target, inUse), changes: undefined};
        expect(sorted(known.resolve(named))).to.deep.equal(sorted(target));
      }),
      {seed: 1, numRuns: 50},
    );
  });

  it('is understood by a rank that has just started', () => {
    const first = initialMap(LARGE);
    const target = changed(first, [[0, 1, 2]]);
    const resolved = new KnownMaps().resolve(referTo(target, first));
    expect(sorted(resolved)).to.deep.equal(sorted(target));
  });

  it('is not understood without the map in use', () => {
    const first = initialMap(LARGE);
    const inUse = changed(first, [[1, 2, 3]]);
    const target = changed(inUse, [[0, 1, 2]]);
    const reference = referTo(target, inUse);
    const known = new KnownMaps();
    expect(known.resolve(reference)).to.equal(undefined);
    expect(known.resolve({...reference, changes: undefined})).to.equal(
      undefined,
    );
  });

  it('is refused if the changes lead to another map', () => {
    const first = initialMap(LARGE);
    const reference = referTo(changed(first, [[0, 1, 2]]), first);
    const other = referTo(changed(first, [[0, 1, 3]]), first);
    const known = new KnownMaps();
    const mixed = {...reference, changes: other.changes};
    expect(() => known.resolve(mixed)).to.throw(RangeError);
    const cut = {...reference, changes: reference.changes!.slice(0, -4)};
    expect(() => known.resolve(cut)).to.throw(RangeError);
    expect(known.resolve({...reference, changes: undefined})).to.equal(
      undefined,
    );
  });

  it('takes a small part of the map, and nothing for the map in use', () => {
    const first = initialMap(LARGE);
    const steps = Array.from(
      {length: LARGE.ranks},
      (_, rank) => [rank % LARGE.sets, rank, (rank * 7) % 256] as const,
    );
    const target = changed(first, steps);
    const {changes} = referTo(target, first);
    expect(changes!.length).to.be.below(packMap(target).length / 10);
    expect(referTo(first, first).changes).to.equal('');
  });
});

describe('relays of a map', () => {
  it('reach each rank once, with few messages from any of them', () => {
    expect(relaysOf(24)).to.deep.equal([]);
    for (const size of [25, 64, 128, 130]) {
      const relays = relaysOf(size);
      const reached = relays.flatMap(({rank, others}) => [rank, ...others]);
      expect(reached).to.have.lengthOf(size);
      expect(new Set(reached).size).to.equal(size);
      const most = Math.max(...relays.map(r => r.others.length));
      expect(relays.length + most).to.be.at.most(2 * Math.ceil(size ** 0.5));
    }
  });
});
