/**
 * Tests of the epoch protocol of expert groups.
 *
 * They guard against a split group (two maps in one step), a committed version
 * that is reverted, and a group that stays on an old map after failures end.
 */
import {expect} from 'chai';
import {decideRank, emptyRow, initialRank} from '../src/experts/group';
import {model, runGroup} from './fuzz/group';

const SEED = 1;
const STEPS = 20_000;

describe('expert group', () => {
  it('never splits a step, reverts a map or stays on an old one', () => {
    model.run(SEED, STEPS);
  }).timeout(60_000);

  it('covers commits, lease take-overs and steps in the fuzz model', () => {
    // A model in which nothing is committed would find no fault.
    const seen = runGroup(SEED, STEPS / 2, true);
    expect(seen.commits).to.be.above(50);
    expect(seen.epochs).to.be.above(200);
    expect(seen.steps).to.be.above(1_000);
  }).timeout(60_000);

  it('detects a split if `activate` is sent to every rank', () => {
    // Proves that the model's check can fail. fast-check's error has the
    // violation as its cause.
    let reason = '';
    try {
      runGroup(SEED, STEPS, false, 'each');
    } catch (error) {
      reason = String((error as Error).cause);
    }
    expect(reason).to.match(/step \d+ ran on \d+:\w+ and \d+:\w+/);
  }).timeout(60_000);

  it('refuses every order after a start until it has read the row', () => {
    // An earlier process of the sidecar may have accepted a higher epoch.
    const order = {epoch: 3, version: 1, hash: 'a'};
    const prepare = {kind: 'prepare', order, map: ''} as const;
    const early = decideRank(initialRank('s', true), prepare);
    expect(early.effects[0]).to.have.nested.property('reply.kind', 'refused');
    const row = {...emptyRow, epoch: 4};
    const read = decideRank(early.state, {kind: 'row', row});
    const late = decideRank(read.state, prepare);
    expect(late.effects[0]).to.have.nested.property(
      'reply.refused.highestEpoch',
      4,
    );
  });
});
