/**
 * Scaling decisions, replayed second by second against a service whose endpoints
 * start after the boot time.
 *
 * Guards against orders for a burst that is over before they help, a shortage that
 * lasts without an order, orders up and down in turn, and orders that rest on
 * reports that have stopped or on a part of a zone.
 */
import {expect} from 'chai';
import fc from 'fast-check';
import {
  decideScaling,
  newScaling,
  ScalingBounds,
  ScalingObservation,
} from '../src/duties/scaling';

const BOUNDS: ScalingBounds = {min: 4, max: 40, bootMs: 8_000};
const SLOTS = 7;

interface Replay {
  readonly orders: ReadonlyArray<{
    readonly s: number;
    readonly desired: number;
  }>;
  /** Endpoints at the end of each second. */
  readonly endpoints: readonly number[];
}

/** Replays the demand, in slots, of each second. */
function replay(
  seconds: number,
  endpointsAtStart: number,
  demandAt: (s: number) => number,
  change: (
    seen: ScalingObservation,
    s: number,
  ) => ScalingObservation | undefined = seen => seen,
): Replay {
  let state = newScaling;
  let present = endpointsAtStart;
  const starts: Array<{readonly s: number; readonly desired: number}> = [];
  const orders: Array<{s: number; desired: number}> = [];
  const endpoints: number[] = [];
  for (let s = 0; s < seconds; s++) {
    for (const {s: at, desired} of starts) if (at === s) present = desired;
    const demand = demandAt(s);
    const capacity = present * SLOTS;
    const running = Math.min(demand, capacity);
    const excess = demand - running;
    const seen: ScalingObservation = {
      endpoints: present,
      reporting: present,
      running,
      queued: 0,
      capacity,
      waiting: Math.ceil(excess * 0.3),
      begun: running,
      refused: Math.ceil(excess),
      ageMs: 1_200,
      isZoneOut: false,
    };
    const decision = decideScaling(state, change(seen, s), BOUNDS, s * 1_000);
    state = decision.state;
    const {desired} = decision;
    if (desired !== undefined) {
      orders.push({s, desired});
      const delayS = desired > present ? BOUNDS.bootMs / 1_000 : 0;
      starts.push({s: s + delayS, desired});
      if (desired < present) present = desired;
    }
    endpoints.push(present);
  }
  return {orders, endpoints};
}

const steady = () => 40;

describe('scaling', () => {
  it('orders nothing for a burst that is shorter than the boot time', () => {
    const burst = (s: number) => (s >= 20 && s < 27 ? 140 : 40);
    expect(replay(50, 7, burst).orders).to.deep.equal([]);
  });

  it('orders nothing while there is room', () => {
    expect(replay(120, 7, steady).orders).to.deep.equal([]);
  });

  it('ends a lasting shortage, and does not order endlessly', () => {
    const {orders, endpoints} = replay(120, 7, s => (s < 5 ? 40 : 140));
    // 140 slots at the target fill are 24 endpoints.
    expect(orders[0]!.s).to.be.within(12, 15);
    expect(endpoints[50]! * SLOTS).to.be.at.least(140);
    expect(Math.max(...endpoints)).to.be.at.most(30);
  });

  it('never orders beyond the bounds', () => {
    const up = replay(200, 7, () => 1_000);
    expect(Math.max(...up.endpoints)).to.equal(BOUNDS.max);
    const down = replay(400, 30, () => 0);
    expect(Math.min(...down.endpoints)).to.equal(BOUNDS.min);
  });

  it('follows demand that falls slowly, after a long calm and by small steps', () => {
    const falling = (s: number) => Math.max(40, 160 - s * 0.5);
    const {orders, endpoints} = replay(400, 28, falling);
    expect(orders[0]!.s).to.be.at.least(30);
    endpoints.forEach((n, s) => {
      expect(n * SLOTS, `at ${s} s`).to.be.at.least(falling(s));
    });
    expect(endpoints.at(-1)).to.be.at.most(9);
    for (let i = 1; i < orders.length; i++) {
      expect(orders[i]!.s - orders[i - 1]!.s).to.be.at.least(5);
    }
  });

  it('orders nothing for a zone that is cut off, and observes anew afterwards', () => {
    const shortage = () => 140;
    const cut = replay(60, 7, shortage, seen => ({
      ...seen,
      reporting: 3,
      capacity: 3 * SLOTS,
      running: 3 * SLOTS,
    }));
    expect(cut.orders).to.deep.equal([]);
    const back = replay(60, 7, shortage, (seen, s) =>
      s < 30 ? {...seen, reporting: 3, capacity: 3 * SLOTS} : seen,
    );
    expect(back.orders[0]!.s).to.be.at.least(36);
  });

  it('orders nothing for a zone out of service', () => {
    const out = replay(
      100,
      30,
      () => 5,
      seen => ({...seen, isZoneOut: true}),
    );
    expect(out.orders).to.deep.equal([]);
  });

  it('orders nothing on reports that have stopped', () => {
    const old = replay(
      100,
      7,
      () => 140,
      seen => ({...seen, ageMs: 2_500}),
    );
    expect(old.orders).to.deep.equal([]);
    const none = replay(
      100,
      30,
      () => 5,
      () => undefined,
    );
    expect(none.orders).to.deep.equal([]);
    // Samples from before a gap do not count together with those after it.
    const gap = replay(
      60,
      7,
      () => 140,
      (seen, s) => (s >= 4 && s < 20 ? undefined : seen),
    );
    expect(gap.orders[0]!.s).to.be.at.least(26);
  });

  it('gives no orders up and down in turn, whatever the demand', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 0, max: 250}), {
          minLength: 12,
          maxLength: 12,
        }),
        fc.integer({min: 1, max: 20}),
        fc.integer({min: 4, max: 40}),
        (levels, levelS, start) => {
          const demandAt = (s: number) => levels[Math.floor(s / levelS) % 12]!;
          const {orders, endpoints} = replay(300, start, demandAt);
          orders.forEach(({s, desired}, i) => {
            const {min, max} = BOUNDS;
            expect(desired).to.be.within(Math.min(min, start), max);
            const before = i === 0 ? undefined : orders[i - 1]!;
            const was = s === 0 ? start : endpoints[s - 1]!;
            if (!before) return;
            // After an increase, 30 s of calm pass before a decrease.
            const wasIncrease =
              before.desired > (endpoints[before.s - 1] ?? start);
            if (wasIncrease && desired < was) {
              expect(s - before.s).to.be.at.least(30);
            }
            if (wasIncrease && desired > was) {
              expect(s - before.s).to.be.at.least(BOUNDS.bootMs / 1_000);
            }
          });
        },
      ),
      {numRuns: 300, seed: 20261206},
    );
  });
});
