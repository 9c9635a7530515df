/**
 * The lease on duties in sidecars as they are wired, over loopback.
 *
 * Guards against candidates that do not hear the holder's datagrams and challenge it
 * in calm, and against duties that a stopped sidecar does not give back.
 */
import {expect} from 'chai';
import {systemClock} from '../src/kernel/clock';
import {JsonClient} from '../src/kernel/jsonclient';
import {Program} from '../src/kernel/program';
import {wirePlatformSidecar} from '../src/wiring-platform';
import {createDutyTable} from '../platform/duties';
import {createStoreClient} from '../platform/store';
import {CloudStandin, oneViolations} from '../standins/cloud';
import {EndpointStandin} from '../standins/endpoint';
import {freePort} from '../standins/ports';
import {StoreStandin} from '../standins/store';
import {platformDeployment} from './platformentries';

const LEASE_MS = 3_000;

function sleep(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}

describe('sidecars that hold duties', function () {
  this.timeout(90_000);
  const store = new StoreStandin();
  const cloud = new CloudStandin();
  const jsonClient = new JsonClient();
  const engines: EndpointStandin[] = [];
  const sidecars: Program[] = [];
  let storeAddress: string;

  async function startSidecar(
    i: number,
    peerPort: number,
    cloudAddress: string,
  ): Promise<void> {
    const ip = `127.0.0.${i + 2}`;
    const engine = new EndpointStandin((arrival, res) => {
      const group = {name: `g${i}`, epoch: 1, rank: 0, state: 'open'};
      const report = {group, size: 1, queued: 0, running: 0, step: 1};
      res.end(JSON.stringify(report));
    });
    engines.push(engine);
    await engine.start();
    const sidecar = wirePlatformSidecar(
      {
        ...platformDeployment(`sidecar-${i}`, storeAddress),
        ip,
        peerPort,
        endpoint: engine.address,
        service: 'model',
        cloud: {
          address: cloudAddress,
          duties: ['usage_report', 'autoscale'],
          callsPerS: 50,
          bounds: {
            leaseMs: LEASE_MS,
            thawMs: 300,
            usageWindowMs: 5_000,
            usageTolerance: 0.05,
            usageLateMs: 10_000,
            enforcesFencing: true,
          },
        },
      },
      systemClock,
      (lease, client) =>
        void client
          .scale(lease, {service: 'model', zone: 'z1', desired: 2})
          .catch(() => undefined),
    );
    sidecars.push(sidecar);
    await sidecar.start();
  }

  before(async () => {
    storeAddress = await store.start();
    const cloudAddress = await cloud.start();
    const peerPort = await freePort();
    for (const i of [0, 1, 2]) await startSidecar(i, peerPort, cloudAddress);
  });

  after(async () => {
    await Promise.all(sidecars.map(s => s.stop()));
    engines.forEach(e => e.stop());
    cloud.stop();
    store.stop();
    jsonClient.close();
  });

  it('agree on one, without a write in calm, and on another after its stop', async () => {
    const table = createDutyTable(
      createStoreClient(storeAddress, jsonClient, systemClock, 800),
    );
    const endMs = performance.now() + 20_000;
    while (cloud.calls.length === 0 && performance.now() < endMs)
      await sleep(50);
    expect(cloud.calls[0]?.token, 'token of the first call').to.equal(1);
    const first = cloud.calls[0]!.holder;
    const {changed: before} = await table.read();
    // Longer than the silence after which a candidate writes a challenge.
    await sleep(6_000);
    expect((await table.read()).changed).to.deep.equal(before);
    const stopped = sidecars.splice(Number(first.slice(-1)), 1)[0]!;
    await stopped.stop();
    expect((await table.read()).changed?.row?.holder?.instance).to.not.equal(
      first,
    );
    const stopEndMs = performance.now() + 20_000;
    const next = () => cloud.calls.find(c => c.holder !== first);
    while (!next() && performance.now() < stopEndMs) await sleep(50);
    expect(next()?.token, 'token of the next holder').to.equal(2);
    expect(oneViolations(cloud.calls, LEASE_MS)).to.deep.equal([]);
  });
});
