/**
 * The map in use, from the ranks' reports.
 *
 * Guards against a group that stays held because the rank whose machine is
 * frozen is missing in the map that the others are given.
 */
import {expect} from 'chai';
import {mapInUse} from '../src/ranks/mapinuse';
import {RankExperts, RankState} from '../src/ranks/rank';

const SETS = {sets: 1, experts: 4};

function state(rank: number, map: number, experts: RankExperts): RankState {
  return {
    group: 'g',
    epoch: 1,
    rank,
    size: 3,
    open: true,
    pass: 1,
    map,
    prepared: undefined,
    armed: undefined,
    held: undefined,
    running: 0,
    queued: 0,
    pace: 1,
    experts,
    counts: [],
  };
}

function statesOf(...all: readonly RankState[]) {
  return new Map(all.map(s => [s.rank, s] as const));
}

describe('map in use', () => {
  const [first, second, third] = [[[0, 1]], [[1, 2]], [[3]]];

  it('is what the ranks hold', () => {
    const states = statesOf(
      state(0, 5, first!),
      state(1, 5, second!),
      state(2, 5, third!),
    );
    expect(mapInUse(states, 3, SETS)).to.deep.equal([[[0, 1], [1, 2], [3]]]);
  });

  it('gives a silent rank what no other rank holds', () => {
    const states = statesOf(state(0, 5, first!), state(1, 5, second!));
    expect(mapInUse(states, 3, SETS)).to.deep.equal([[[0, 1], [1, 2], [3]]]);
  });

  it('gives a silent rank an expert where others hold all', () => {
    // It is not known whether engines take a rank that holds nothing of a set.
    const states = statesOf(state(0, 5, [[0, 1]]), state(1, 5, [[2, 3]]));
    expect(mapInUse(states, 3, SETS)).to.deep.equal([[[0, 1], [2, 3], [0]]]);
  });

  it('takes a rank of an older map for silent', () => {
    const states = statesOf(
      state(0, 5, first!),
      state(1, 5, second!),
      state(2, 4, [[0]]),
    );
    expect(mapInUse(states, 3, SETS)).to.deep.equal([[[0, 1], [1, 2], [3]]]);
  });

  it('is unknown while two ranks are silent', () => {
    expect(mapInUse(statesOf(state(0, 5, first!)), 3, SETS)).to.equal(
      undefined,
    );
  });
});
