/**
 * What sidecars know of the passes that their ranks should keep to.
 *
 * Guards against ranks without a limit on their requests because their sidecars
 * do not coordinate, and against a limit from figures that are out of date.
 */
import {expect} from 'chai';
import * as fc from 'fast-check';
import {LoadPublisher, LoadSubscriber} from '../src/gateway/loadreports';
import {systemClock} from '../src/kernel/clock';
import {PassObserver} from '../src/ranks/passobserver';
import {
  currentTarget,
  HeardTarget,
  hearTarget,
  PassTarget,
} from '../src/ranks/passtarget';
import {waitUntil} from '../standins/binaryprocess';
import {freePort} from '../standins/ports';

const ENGINE = {slots: 7, stepsPerPass: 7, stepMs: 4.84, perRequestMs: 0.6214};

/** Longer than the pause that the routes promise, 120 ms. */
const PASS_MS = 125;

function targetOf(version: number, hasClasses = true): PassTarget {
  return {version, engine: ENGINE, targetGapMs: 100 + version, hasClasses};
}

describe('a sidecar that does not coordinate', () => {
  it('limits the requests at its rank by what entries state', async () => {
    const port = await freePort();
    const log = () => undefined;
    const lines: string[] = [];
    let nowMs = 0;
    const publisher = new LoadPublisher(
      {host: '127.0.0.9', port},
      systemClock,
      log,
    );
    const subscriber = new LoadSubscriber({
      self: {host: '127.0.0.10', port},
      endpoints: () => [{host: '127.0.0.9', slots: 7, target: targetOf(20)}],
      handleReport: () => undefined,
      handleProcessGone: () => undefined,
      clock: systemClock,
      log,
    });
    await publisher.start();
    await subscriber.start();
    try {
      await waitUntil(
        () => publisher.heardTarget !== undefined,
        'the figures of the service',
      );
    } finally {
      subscriber.stop();
      publisher.stop();
    }
    const passes = new PassObserver(
      () => currentTarget(undefined, publisher.heardTarget),
      {...systemClock, elapsedMs: () => nowMs},
      (_, event) => lines.push(event),
    );
    for (let pass = 0; pass < 20; pass += 5) {
      passes.handleReport({
        ...{epoch: 1, pass, running: 5, queued: 0, open: true, pace: 1},
        ...{group: 'g', rank: 3, map: 1},
      } as Parameters<PassObserver['handleReport']>[0]);
      nowMs += 5 * PASS_MS;
    }
    expect(passes.limit).to.be.below(ENGINE.slots);
    expect(lines).to.include('request limit');
  });
});

describe('the figures that entries state', () => {
  // Entries with different configurations, late and repeated datagrams, and
  // subscriptions of entries that state nothing.
  it('are not replaced by those of a lower version while still heard', () => {
    const message = fc.record({
      afterMs: fc.integer({min: 0, max: 3_000}),
      version: fc.option(fc.integer({min: 1, max: 5}), {nil: undefined}),
    });
    fc.assert(
      fc.property(fc.array(message, {maxLength: 30}), messages => {
        let nowMs = 0;
        let heard: HeardTarget | undefined;
        const seen: {readonly version: number; readonly atMs: number}[] = [];
        for (const {afterMs, version} of messages) {
          nowMs += afterMs;
          const before = heard?.target.version ?? 0;
          const target = version === undefined ? undefined : targetOf(version);
          heard = hearTarget(heard, target, nowMs);
          if (version !== undefined) seen.push({version, atMs: nowMs});
          const after = heard?.target.version ?? 0;
          if (version !== undefined) expect(after).to.be.at.least(version);
          const isHeard = seen.some(
            s => s.version === before && nowMs - s.atMs <= 7_000,
          );
          if (isHeard) expect(after).to.be.at.least(before);
          // Known once, the figures are kept.
          expect(heard === undefined).to.equal(seen.length === 0);
        }
      }),
      {seed: 7},
    );
  });

  it('follow a lower version once the higher one is not heard any more', () => {
    const heard = hearTarget(undefined, targetOf(9), 0);
    expect(hearTarget(heard, targetOf(1), 7_000)?.target.version).to.equal(9);
    expect(hearTarget(heard, targetOf(1), 7_001)?.target.version).to.equal(1);
  });

  // With one class, a limit at every rank refuses as many as it brings into time.
  it('are not used for a service whose routes have one priority', () => {
    const heard = hearTarget(undefined, targetOf(3, false), 0);
    expect(currentTarget(undefined, heard)).to.equal(undefined);
    expect(currentTarget(targetOf(2, false), heard)?.version).to.equal(2);
  });

  it('do not replace a configuration that is as new', () => {
    const heard = hearTarget(undefined, targetOf(3), 0);
    const own = (version: number) => currentTarget(targetOf(version), heard);
    expect(own(2)?.version).to.equal(3);
    expect(own(4)?.version).to.equal(4);
    expect(currentTarget(undefined, undefined)).to.equal(undefined);
  });
});
