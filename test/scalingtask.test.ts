/**
 * What the holder of the scaling duty makes of the messages of gateways.
 *
 * Guards against orders by an instance whose lease is not valid, orders that are
 * not repeated after a call without an answer, and demand that is counted twice
 * or missed when gateways restart or messages are lost, late or repeated.
 */
import {expect} from 'chai';
import fc from 'fast-check';
import {
  addMessage,
  emptyDemandView,
  observe,
  subjectKey,
} from '../src/duties/demandview';
import {ScalingTask} from '../src/duties/scalingtask';
import {packUsage, UsageMessage} from '../src/duties/usagemessage';
import {CallOutcome} from '../src/duties/usagereport';
import {Clock} from '../src/kernel/clock';

interface Seen {
  readonly entry?: string;
  readonly processStartMs?: number;
  readonly begun?: number;
  readonly refused?: number;
  readonly reporting?: number;
}

function message({
  entry = 'e1',
  processStartMs = 1,
  begun = 0,
  refused = 0,
  reporting = 4,
}: Seen): UsageMessage {
  return packUsage(
    {entry, processStartMs, zone: 'z1'},
    undefined,
    [{service: 's', begun, refused, waiting: 3}],
    [
      {
        service: 's',
        zone: 'z1',
        endpoints: 4,
        reporting,
        running: reporting * 7,
        queued: 0,
        capacity: reporting * 7,
      },
    ],
  )[0]!;
}

const KEY = subjectKey('s', 'z1');

describe('demand that gateways report', () => {
  it('counts each request once, whatever happens to messages', () => {
    const arrivals = fc.array(
      fc.record({entry: fc.nat(2), count: fc.integer({min: 0, max: 50})}),
      {maxLength: 40},
    );
    fc.assert(
      fc.property(arrivals, drawn => {
        let view = emptyDemandView;
        for (const entry of ['0', '1', '2'])
          view = addMessage(view, message({entry}), 0);
        const highest = [0, 0, 0];
        // Cumulative counts that arrive in any order, some of them twice.
        for (const {entry, count} of drawn) {
          const seen = message({
            entry: String(entry),
            begun: count * 2,
            refused: count,
          });
          view = addMessage(view, seen, 10);
          highest[entry] = Math.max(highest[entry]!, count);
        }
        const total = highest.reduce((a, b) => a + b, 0);
        const seen = observe(view, 20).observations.get(KEY)!;
        expect(seen.refused).to.equal(total);
        expect(seen.begun).to.equal(total * 2);
        expect(seen.waiting).to.equal(9);
      }),
      {numRuns: 200, seed: 20261206},
    );
  });

  it('begins anew with the counts of another process', () => {
    let view = addMessage(emptyDemandView, message({refused: 90}), 0);
    view = addMessage(view, message({processStartMs: 2, refused: 40}), 500);
    view = addMessage(view, message({processStartMs: 2, refused: 45}), 1_000);
    expect(observe(view, 1_000).observations.get(KEY)!.refused).to.equal(5);
  });

  it('takes the loads of the gateway that hears most endpoints, while fresh', () => {
    let view = addMessage(emptyDemandView, message({reporting: 1}), 0);
    view = addMessage(view, message({entry: 'e2', reporting: 4}), 0);
    expect(observe(view, 100).observations.get(KEY)!.reporting).to.equal(4);
    expect(observe(view, 1_600).observations.has(KEY)).to.equal(false);
  });
});

/** Runs a task for so many seconds of a lasting shortage; returns its orders. */
async function runTask(
  seconds: number,
  answer: () => CallOutcome,
  lease: (s: number) => {token: number; isValid: boolean} | undefined,
): Promise<ReadonlyArray<{s: number; desired: number; token: number}>> {
  const orders: Array<{s: number; desired: number; token: number}> = [];
  let s = 0;
  let tick: () => void = () => undefined;
  const clock: Clock = {
    now: () => new Date(s * 1_000),
    elapsedMs: () => s * 1_000,
    after(_, action) {
      tick = action;
      return {cancel: () => undefined};
    },
  };
  const task = new ScalingTask({
    clock,
    lease: () => {
      const held = lease(s);
      return held && {token: held.token, isValidFor: () => held.isValid};
    },
    callTimeoutMs: 500,
    boundsOf: () => ({min: 2, max: 20, bootMs: 8_000}),
    isZoneOut: () => false,
    order: (_service, _zone, desired, token) => {
      orders.push({s, desired, token});
      const outcome = answer();
      return outcome === 'unknown'
        ? Promise.reject(new Error('timed out'))
        : Promise.resolve(outcome);
    },
    metrics: {increment: () => undefined, registerGauge: () => undefined},
    log: () => undefined,
  });
  task.start();
  for (s = 1; s <= seconds; s++) {
    task.handleMessage(message({begun: s * 10, refused: s * 10}));
    tick();
    for (let i = 0; i < 4; i++) await Promise.resolve();
  }
  return orders;
}

describe('orders of the holder', () => {
  it('are given once, and repeated only if they were not answered', async () => {
    const held = () => ({token: 1, isValid: true});
    const done = await runTask(15, () => 'done', held);
    expect(done).to.have.length(1);
    const outcomes: CallOutcome[] = ['unknown', 'unknown', 'done'];
    const repeated = await runTask(16, () => outcomes.shift() ?? 'done', held);
    expect(repeated).to.have.length(3);
    expect(new Set(repeated.map(o => o.desired)).size).to.equal(1);
  });

  it('are not given without a valid lease, or on what another holder saw', async () => {
    expect(
      await runTask(
        30,
        () => 'done',
        () => undefined,
      ),
    ).to.deep.equal([]);
    const invalid = () => ({token: 1, isValid: false});
    expect(await runTask(30, () => 'done', invalid)).to.deep.equal([]);
    const changing = (s: number) => ({token: s < 6 ? 1 : 2, isValid: true});
    const [first] = await runTask(30, () => 'done', changing);
    expect(first!.token).to.equal(2);
    // A boot time after the change, with a gap of samples allowed.
    expect(first!.s).to.be.at.least(11);
  });
});
