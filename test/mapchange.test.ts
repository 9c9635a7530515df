/**
 * Changes of a group's expert map.
 *
 * Guards against a pass in which two ranks use different maps, and against a
 * group that stays held after orders were lost, delayed or sent by two
 * coordinators at once.
 */
import {expect} from 'chai';
import {runMapChange} from './fuzz/mapchange';
import {NO_FAULTS, World} from './fuzz/mapchange-world';

const STEPS = 2_000;
const SEEDS = 20;

describe('map change', () => {
  it('never mixes maps in a pass and never leaves the group held', () => {
    for (let seed = 1; seed <= SEEDS; seed++) runMapChange(seed, STEPS);
  }).timeout(120_000);

  it('resumes passes while the instance that held the group is frozen', () => {
    // Callers abandon a stream after a gap of two seconds.
    const world = new World(1, NO_FAULTS);
    const held = world.freezeDuringHold(0, 4_000);
    world.run(world.nowMs + 2_000);
    expect(world.pass).to.be.above(held + 3);
  });

  it('completes and clears changes in the fuzz model', () => {
    // A model in which no change succeeds, or none fails, would find no fault.
    const calm = runMapChange(5, STEPS);
    expect(calm.changes).to.be.above(50);
    const faulty = runMapChange(4, STEPS);
    expect(faulty.changes).to.be.above(5);
    expect(faulty.clearings).to.be.above(5);
  });

  it('detects mixed maps if ranks are armed without a hold', () => {
    // Shows that the check of the model can fail.
    let reason = '';
    const faults = {...NO_FAULTS, lateOrders: 300};
    for (let seed = 1; seed <= SEEDS && reason === ''; seed++) {
      try {
        runMapChange(seed, STEPS, {...faults, lateOrders: 40}, true);
      } catch (error) {
        reason = String((error as Error).cause);
      }
    }
    expect(reason).to.match(/pass \d+ ran on/);
  }).timeout(120_000);
});
