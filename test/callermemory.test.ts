/**
 * Guards against a process that holds more for its callers than its budget, that
 * takes memory from a request which may be running, or that lets large unfinished
 * bodies keep out small requests; and against a connection with a submitted request
 * being closed for a new one.
 */
import {expect} from 'chai';
import fc from 'fast-check';
import {
  chooseBodiesToShed,
  countGrantable,
  divideMemory,
} from '../src/gateway/callermemory';
import {chooseConnectionToClose} from '../src/gateway/connections';
import {AnswerAccount, BodyAccount} from '../src/gateway/memoryaccounts';

const SEED = 20_261_206;
const check = <T>(property: fc.IProperty<T>) =>
  fc.assert(property, {seed: SEED, numRuns: 500});

const holder = fc.record({
  account: fc.constantFrom('a', 'b', 'c'),
  bytes: fc.integer({min: 0, max: 1_000}),
  isSubmitted: fc.boolean(),
  recentBytes: fc.integer({min: 0, max: 10_000}),
});
const holders = fc
  .array(holder, {maxLength: 12})
  .map(list => list.map((each, i) => ({...each, id: i + 1})));
const newcomer = {id: 0, account: 'a', bytes: 0, recentBytes: 0};

describe('memory of callers', () => {
  it('stays within the budget, and submitted requests never give way', () => {
    const arguments_ = [
      holders,
      fc.integer({min: 1, max: 1_000}),
      fc.integer({min: 1, max: 6_000}),
    ] as const;
    check(
      fc.property(...arguments_, (others, bytes, budget) => {
        const all = [...others, {...newcomer, isSubmitted: false}];
        const shed = chooseBodiesToShed(all, {id: 0, bytes}, budget);
        const kept = all.filter(({id}) => !shed.includes(id));
        const sum = kept.reduce((total, each) => total + each.bytes, 0);
        if (shed.includes(0)) expect(shed).to.deep.equal([0]);
        else expect(sum + bytes).to.be.at.most(budget);
        for (const {id, isSubmitted} of all) {
          if (isSubmitted) expect(shed).to.not.include(id);
        }
      }),
    );
  });

  it('lets a small request in while a larger stalled one can give way', () => {
    const stalled = fc.integer({min: 100_000, max: 4_194_304});
    check(
      fc.property(fc.array(stalled, {minLength: 1, maxLength: 9}), sizes => {
        const all = sizes.map((bytes, i) => ({
          ...newcomer,
          id: i + 1,
          bytes,
          isSubmitted: false,
        }));
        const budget = sizes.reduce((sum, bytes) => sum + bytes, 0);
        const request = {id: 0, bytes: 16_384};
        const own = {...newcomer, isSubmitted: false};
        const shed = chooseBodiesToShed([...all, own], request, budget);
        expect(shed).to.have.length(1);
        expect(sizes[shed[0]! - 1]).to.equal(Math.max(...sizes));
      }),
    );
  });

  it('takes memory from an account above its share first', () => {
    const greedy = [1, 2, 3].map(id => ({
      id,
      account: 'greedy',
      bytes: 300,
      isSubmitted: false,
      recentBytes: 100_000,
    }));
    const slow = {...newcomer, id: 4, bytes: 100, isSubmitted: false};
    const own = {...newcomer, account: 'b', isSubmitted: false};
    const request = {id: 0, bytes: 100};
    const shed = chooseBodiesToShed([...greedy, slow, own], request, 1_000);
    expect(shed).to.deep.equal([1]);
  });

  it('always has room for one body of the largest size', () => {
    const sizes = [fc.nat(2_000_000_000), fc.nat(100_000_000)] as const;
    check(
      fc.property(...sizes, (memory, largest) => {
        const {bodyBytes, connections} = divideMemory(memory, largest);
        expect(bodyBytes).to.be.at.least(largest);
        expect(connections).to.be.at.least(1);
      }),
    );
  });

  it('grants waiting answers in their order, within the free bytes', () => {
    const sizes = fc.array(fc.integer({min: 1, max: 100}), {maxLength: 20});
    check(
      fc.property(sizes, fc.nat(500), (waiting, free) => {
        const count = countGrantable(waiting, free);
        const sum = (n: number) =>
          waiting.slice(0, n).reduce((total, bytes) => total + bytes, 0);
        expect(sum(count)).to.be.at.most(free);
        if (count < waiting.length) expect(sum(count + 1)).to.be.above(free);
      }),
    );
  });

  it('has nothing left after all bodies and answers were released', () => {
    const sizes = fc.array(fc.integer({min: 1, max: 100}), {maxLength: 20});
    check(
      fc.property(sizes, fc.nat(200), (list, budget) => {
        const bodies = new BodyAccount(budget);
        const held = list.map((bytes, i) => {
          const holding = bodies.open(`${i % 3}`, () => holding.release());
          if (!holding.grow(bytes)) holding.release();
          expect(bodies.heldBytes).to.be.at.most(budget);
          return holding;
        });
        held.forEach(holding => holding.release());
        held.forEach(holding => holding.release());
        expect(bodies.heldBytes).to.equal(0);
        const answers = new AnswerAccount(100);
        let granted = 0;
        const reserved = list.map(bytes =>
          answers.reserve(bytes, () => (granted += 1)),
        );
        granted += reserved.filter(({isGranted}) => isGranted).length;
        for (const reservation of reserved) {
          expect(reservation.isGranted).to.equal(true);
          expect(answers.heldBytes).to.be.at.most(100);
          reservation.release();
          reservation.release();
        }
        expect(granted).to.equal(list.length);
        expect(answers.heldBytes).to.equal(0);
      }),
    );
  });
});

describe('the connection that gives way', () => {
  const phases = ['fresh', 'idle', 'reading', 'closing', 'submitted'] as const;
  const connection = fc.record({
    phase: fc.constantFrom(...phases),
    progressMs: fc.nat(10_000),
  });
  const connections = fc
    .array(connection, {maxLength: 20})
    .map(list => list.map((each, id) => ({...each, id})));

  it('has no submitted request, and none that makes progress', () => {
    check(
      fc.property(connections, all => {
        const id = chooseConnectionToClose(all, 10_000);
        const open = all.filter(({phase}) => phase !== 'submitted');
        const chosen = all.find(each => each.id === id);
        if (!chosen) {
          for (const {phase, progressMs} of open) {
            expect(phase).to.equal('reading');
            expect(progressMs).to.be.above(7_000);
          }
          return;
        }
        expect(chosen.phase).to.not.equal('submitted');
        if (chosen.phase === 'reading') {
          expect(chosen.progressMs).to.be.at.most(7_000);
        }
        for (const {phase, progressMs} of open) {
          if (phase !== chosen.phase) continue;
          expect(progressMs).to.be.at.least(chosen.progressMs);
        }
        const hasFresh = open.some(({phase}) => phase === 'fresh');
        if (hasFresh) expect(chosen.phase).to.be.oneOf(['closing', 'fresh']);
      }),
    );
  });
});
