/**
 * Reconstruction of the map in use from the ranks' reports.
 *
 * Guards against a group that stays held because the map given to the other
 * ranks lacks the rank whose instance is frozen.
 */
import {expect} from 'chai';
import {mapInUse} from '../src/ranks/mapinuse';
import {RankExperts, RankState} from '../src/ranks/rank';

const EXPERT_SETS = {sets: 1, experts: 4};

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
    leading: false,
    holding: false,
    experts,
    choices: [],
  };
}

function statesOf(...all: readonly RankState[]) {
  return new Map(all.map(s => [s.rank, s] as const));
}

describe('map in use', () => {
  const [first, second, third] = [[[0, 1]], [[1, 2]], [[3]]];

  it('consists of what the ranks report', () => {
    const states = statesOf(
      state(0, 5, first!),
      state(1, 5, second!),
      state(2, 5, third!),
    );
    expect(mapInUse(states, 3, EXPERT_SETS)).to.deep.equal([
      [[0, 1], [1, 2], [3]],
    ]);
  });

  it('assigns the experts that no other rank holds to a silent rank', () => {
    const states = statesOf(state(0, 5, first!), state(1, 5, second!));
    expect(mapInUse(states, 3, EXPERT_SETS)).to.deep.equal([
      [[0, 1], [1, 2], [3]],
    ]);
  });

  it('assigns one expert to a silent rank if the others hold all', () => {
    // Engines may refuse a map in which a rank holds no expert of a set.
    const states = statesOf(state(0, 5, [[0, 1]]), state(1, 5, [[2, 3]]));
    expect(mapInUse(states, 3, EXPERT_SETS)).to.deep.equal([
      [[0, 1], [2, 3], [0]],
    ]);
  });

  it('treats a rank that reports an older map as silent', () => {
    const states = statesOf(
      state(0, 5, first!),
      state(1, 5, second!),
      state(2, 4, [[0]]),
    );
    expect(mapInUse(states, 3, EXPERT_SETS)).to.deep.equal([
      [[0, 1], [1, 2], [3]],
    ]);
  });

  it('is unknown while two ranks are silent', () => {
    expect(mapInUse(statesOf(state(0, 5, first!)), 3, EXPERT_SETS)).to.equal(
      undefined,
    );
  });
});
