/**
 * Which ranks a coordinator asks for their state.
 *
 * Guards against polls that grow with the group until they fill the
 * coordinator's link, and against a rank that is never asked.
 */
import {expect} from 'chai';
import {
  ArmingPhase,
  ChangeState,
  initialChangeState,
  PreparingPhase,
} from '../src/ranks/mapchangestate';
import {
  ranksOfChange,
  ranksOfTurn,
  ranksWithChoices,
} from '../src/ranks/pollplan';
import {RankReport} from '../src/ranks/rank';

const VERSION = 7;

function report(rank: number, size: number): RankReport {
  return {
    group: 'g',
    epoch: 1,
    rank,
    size,
    open: true,
    pass: 8,
    map: 3,
    prepared: VERSION,
    armed: undefined,
    held: undefined,
    running: 1,
    queued: 0,
    pace: 1,
  };
}

/** A state with reports of all ranks, some of them replaced. */
function state(
  size: number,
  replaced: readonly RankReport[] = [],
): ChangeState {
  const reports = new Map(
    Array.from({length: size}, (_, rank) => [rank, report(rank, size)]),
  );
  replaced.forEach(r => reports.set(r.rank, r));
  return {...initialChangeState(0, size, 1), version: VERSION, reports};
}

describe('plan of polls', () => {
  it('asks every rank of a small group each time', () => {
    for (const size of [12, 24]) {
      expect(ranksWithChoices(size).size).to.equal(size);
      expect(ranksOfTurn(state(size), 0).size).to.equal(size);
    }
  });

  it('asks a bounded part of a large group, and each rank in turn', () => {
    for (const size of [64, 128]) {
      expect(ranksWithChoices(size).size).to.be.at.most(24);
      const asked = new Set<number>();
      for (let turn = 0; turn < 4; turn++) {
        const ranks = ranksOfTurn(state(size), turn);
        expect(ranks.size).to.be.at.most(24 + 2 + Math.ceil(size / 4));
        ranks.forEach(rank => asked.add(rank));
      }
      expect(asked.size).to.equal(size);
    }
  });

  it('asks a rank at once whose report hinders a change', () => {
    // A hold that nobody asks about keeps the group from every pass.
    const hindering: readonly Partial<RankReport>[] = [
      {held: 9},
      {armed: VERSION},
      {open: false},
      {map: 2},
    ];
    for (const part of hindering) {
      const changed = state(64, [{...report(5, 64), ...part}]);
      for (let turn = 0; turn < 4; turn++)
        expect(ranksOfTurn(changed, turn).has(5)).to.equal(true);
    }
    const missing = state(64);
    const reports = new Map(missing.reports);
    reports.delete(5);
    expect(ranksOfTurn({...missing, reports}, 0).has(5)).to.equal(true);
  });

  it('asks during a change only the ranks that have not confirmed', () => {
    const preparing: PreparingPhase = {
      kind: 'preparing',
      beginMs: 0,
      beginPass: 0,
      acceptedRanks: new Set(),
      silentRanks: new Set(),
      deadlineMs: 0,
    };
    const copying = {...report(9, 64), prepared: undefined};
    const waiting = {...state(64, [copying]), phase: preparing};
    expect([...ranksOfChange(waiting)]).to.have.members([9, 0]);
    const arming: ArmingPhase = {
      kind: 'arming',
      pass: 12,
      orderedMs: 0,
      armedRanks: new Set([3]),
      silentRanks: new Set([3, 4]),
      deadlineMs: 0,
    };
    const held = {...state(64), phase: arming};
    expect([...ranksOfChange(held)]).to.have.members([4]);
  });
});
