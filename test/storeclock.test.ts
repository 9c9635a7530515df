/**
 * Dating of the store's answers, and of the configuration's age.
 *
 * Guards against a view that is taken for newer than it is because its answer was
 * read late: after a freeze or a suspension of the machine, over a slow link or
 * from clocks that differ.
 */
import {expect} from 'chai';
import * as fc from 'fast-check';
import {StoreClock} from '../src/gateway/storeclock';
import {Clock, Instant, msSince, readInstant} from '../src/kernel/clock';

/** The clocks of a machine, in a world with a true time. */
class MachineClock implements Clock {
  trueMs = 1_000_000;
  private suspendedMs = 0;

  private stepMs = 0;

  now = () => new Date(this.trueMs + this.stepMs);
  elapsedMs = () => this.trueMs - this.suspendedMs;

  after(): never {
    throw new Error('no timers here');
  }

  pass(ms: number): void {
    this.trueMs += ms;
  }

  setWallTime(stepMs: number): void {
    this.stepMs += stepMs;
  }

  suspend(ms: number): void {
    this.trueMs += ms;
    this.suspendedMs += ms;
  }
}

const SEED = 38;
const RUNS = 2_000;

const delayMs = fc.oneof(fc.nat(20), fc.nat(3_000));

interface Call {
  /** Until the store has written the answer, and from then until it is read. */
  readonly writtenMs: number;
  readonly readMs: number;
  /** Whether the machine is suspended until the answer is read. */
  readonly suspended: boolean;
  /** Whether the answer names the store's time. */
  readonly dated: boolean;
  readonly pauseMs: number;
}

const call: fc.Arbitrary<Call> = fc.record({
  writtenMs: delayMs,
  readMs: delayMs,
  suspended: fc.boolean(),
  dated: fc.boolean(),
  pauseMs: fc.nat(60_000),
});

describe('date of an answer of the store', () => {
  it('is never later than the answer, and never before its call', () => {
    fc.assert(
      fc.property(
        fc.array(call, {minLength: 1, maxLength: 12}),
        fc.integer({min: -1_000_000, max: 1_000_000}),
        fc.double({min: -0.0004, max: 0.0004, noNaN: true}),
        (calls, offsetMs, drift) => {
          const clock = new MachineClock();
          const storeClock = new StoreClock(clock);
          const storeMs = () => clock.trueMs * (1 + drift) + offsetMs;
          for (const {writtenMs, readMs, suspended, dated, pauseMs} of calls) {
            const sent = readInstant(clock);
            clock.pass(writtenMs);
            const written = {trueMs: clock.trueMs, storeMs: storeMs()};
            if (suspended) clock.suspend(readMs);
            else clock.pass(readMs);
            const asOf = storeClock.date(
              sent,
              dated ? Math.round(written.storeMs) : undefined,
            );
            const trueAgeMs = clock.trueMs - written.trueMs;
            expect(msSince(asOf, clock)).to.be.at.least(trueAgeMs - 1);
            expect(asOf.elapsedMs).to.be.at.least(sent.elapsedMs);
            clock.pass(pauseMs);
          }
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('of a poll that has waited is close to its end', () => {
    const clock = new MachineClock();
    const storeClock = new StoreClock(clock);
    const callFor = (waitMs: number): Instant => {
      const sent = readInstant(clock);
      clock.pass(4 + waitMs);
      const {trueMs} = clock;
      clock.pass(4);
      return storeClock.date(sent, trueMs);
    };
    callFor(0);
    for (let i = 0; i < 20; i++) {
      expect(msSince(callFor(2_000), clock)).to.be.below(50);
    }
  });

  it('is close to its end again after wall time was set, once one came at once', () => {
    const clock = new MachineClock();
    const storeClock = new StoreClock(clock);
    const callFor = (waitMs: number): Instant => {
      const sent = readInstant(clock);
      clock.pass(4 + waitMs);
      const {trueMs} = clock;
      clock.pass(4);
      return storeClock.date(sent, trueMs);
    };
    callFor(0);
    clock.setWallTime(2_000);
    callFor(2_000);
    callFor(0);
    expect(msSince(callFor(2_000), clock)).to.be.below(50);
  });

  it('is that of the call if the answer names no time', () => {
    const clock = new MachineClock();
    const sent = readInstant(clock);
    clock.pass(2_000);
    const asOf = new StoreClock(clock).date(sent, undefined);
    expect(msSince(asOf, clock)).to.equal(2_000);
  });
});

describe('time since a moment', () => {
  it('includes a suspension, and is not shortened by a step of wall time', () => {
    const clock = new MachineClock();
    const moment = readInstant(clock);
    clock.suspend(3_000);
    expect(msSince(moment, clock)).to.equal(3_000);
    const setBack = {...moment, wallMs: moment.wallMs + 5_000};
    clock.pass(1_000);
    expect(msSince(setBack, clock)).to.equal(1_000);
  });
});
