/**
 * Datagrams between sidecars and gateways, over loopback.
 *
 * Guards against a crash that gateways learn of only when the endpoint is back,
 * and against datagrams without end for an endpoint that does not come back.
 */
import {expect} from 'chai';
import {
  EndpointHost,
  LoadPublisher,
  LoadSubscriber,
} from '../src/gateway/loadreports';
import {systemClock} from '../src/kernel/clock';
import {waitUntil} from '../standins/binaryprocess';
import {freePort} from '../standins/ports';

const ADDRESS = '127.0.0.2:8000';
const LOAD = {
  address: ADDRESS,
  running: 1,
  queued: 0,
  group: 'g',
  open: true,
  pace: 1,
};

describe('limit that an endpoint names', () => {
  // Each gateway may send only now and then, and must still learn of the limit
  // and of its end soon.
  it('reaches gateways that have not seen it, and so does its end', async () => {
    const port = await freePort();
    const log = () => undefined;
    const publisher = new LoadPublisher(
      {host: '127.0.0.4', port},
      systemClock,
      log,
    );
    const limits = [new Set<unknown>(), new Set<unknown>()];
    const subscribers = limits.map(
      (seen, i) =>
        new LoadSubscriber({
          self: {host: `127.0.0.${5 + i}`, port},
          endpoints: () => [{host: '127.0.0.4', slots: 8}],
          handleReport: ({limitPerS}) => seen.add(limitPerS),
          handleProcessGone: () => undefined,
          clock: systemClock,
          log,
        }),
    );
    await publisher.start();
    for (const subscriber of subscribers) await subscriber.start();
    const publishUntil = (condition: () => boolean, what: string) =>
      waitUntil(() => {
        publisher.publish(LOAD);
        return condition();
      }, what);
    await publishUntil(
      () => limits.every(seen => seen.has(undefined)),
      'reports without knowledge of a limit',
    );
    subscribers[0]!.sendLimit('127.0.0.4', 1.5);
    await publishUntil(
      () => limits.every(seen => seen.has(1.5)),
      'the limit at both gateways',
    );
    // The gateway that sent the limit may have stopped.
    subscribers[1]!.sendLimit('127.0.0.4', 0);
    await publishUntil(
      () => limits.every(seen => seen.has(0)),
      'its end at both gateways',
    );
    subscribers.forEach(subscriber => subscriber.stop());
    publisher.stop();
  });
});

describe('sidecar that finds no process at its endpoint', () => {
  it('tells the gateways a few times, and again after the next one', async () => {
    const port = await freePort();
    const log = () => undefined;
    const publisher = new LoadPublisher(
      {host: '127.0.0.2', port},
      systemClock,
      log,
    );
    let reports = 0;
    const gone: string[] = [];
    const subscriber = new LoadSubscriber({
      self: {host: '127.0.0.3', port},
      endpoints: () => [{host: '127.0.0.2', slots: 8}],
      handleReport: () => (reports += 1),
      handleProcessGone: address => gone.push(address),
      clock: systemClock,
      log,
    });
    await publisher.start();
    await subscriber.start();
    await waitUntil(() => {
      publisher.publish({...LOAD, running: Math.random()});
      return reports > 0;
    }, 'a report');
    for (let i = 0; i < 20; i++) publisher.publishProcessGone(ADDRESS);
    await waitUntil(() => gone.length === 3, 'the notices');
    const before = reports;
    publisher.publish({...LOAD, running: 2});
    await waitUntil(() => reports > before, 'another report');
    expect(gone).to.deep.equal([ADDRESS, ADDRESS, ADDRESS]);
    publisher.publishProcessGone(ADDRESS);
    await waitUntil(() => gone.length === 4, 'another notice');
    subscriber.stop();
    publisher.stop();
  });
});

describe('gateway that has just started', () => {
  // Without a report, it may send to endpoints whose slots are all in use.
  it('gets a report soon after it has read which endpoints there are', async () => {
    const port = await freePort();
    const log = () => undefined;
    const publisher = new LoadPublisher(
      {host: '127.0.0.7', port},
      systemClock,
      log,
    );
    const endpoints: EndpointHost[] = [];
    let reports = 0;
    const subscriber = new LoadSubscriber({
      self: {host: '127.0.0.8', port},
      endpoints: () => endpoints,
      handleReport: () => (reports += 1),
      handleProcessGone: () => undefined,
      clock: systemClock,
      log,
    });
    await publisher.start();
    await subscriber.start();
    endpoints.push({host: '127.0.0.7', slots: 8});
    const readMs = systemClock.elapsedMs();
    await waitUntil(() => {
      publisher.publish({...LOAD, running: Math.random()});
      return reports > 0;
    }, 'a report');
    const waitedMs = systemClock.elapsedMs() - readMs;
    subscriber.stop();
    publisher.stop();
    // Two intervals of a sidecar's reports.
    expect(waitedMs).to.be.below(500);
  });
});
