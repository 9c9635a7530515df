/**
 * Keys while the store does not answer, end to end over loopback.
 *
 * Guards against keys that are accepted longer than the platform allows after they
 * were taken away, because the answer to a poll was read late and the view was taken
 * to be as new as the time of the reading.
 */
import {expect} from 'chai';
import {waitUntil} from '../standins/binaryprocess';
import {sendAsCaller} from '../standins/caller';
import {EndpointStandin} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {TcpProxy} from '../standins/tcpproxy';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';
const KEYS = ['key-of-hydrotherm', 'key-of-klima', 'key-of-teplo'];
const REVOKE_MS = 3_500;
/** For which the answer to a poll is held up. */
const HELD_MS = 1_900;
const SUCCESS = 200;

function configuration(version: number, keys: readonly string[]): object {
  return {
    version,
    routes: [
      {
        name: 'look',
        host: HOST,
        prefix: '/look/',
        kind: 'idempotent',
        'timeout-ms': 1_500,
        service: 'desk',
      },
    ],
    services: [{name: 'desk'}],
    limits: {},
    tenants: [{name: 'hydrotherm', 'api-keys': keys}],
  };
}

describe('answer of the store that is read late', () => {
  const store = new StoreStandin();
  const proxy = new TcpProxy();
  const endpoint = new EndpointStandin();
  let entry: PlatformEntry;
  let requests = 0;

  async function send(key: string): Promise<number> {
    requests += 1;
    const {status} = await sendAsCaller({
      entry: entry.address,
      path: '/look/1',
      headers: {
        Host: HOST,
        'Boragemill-Request-Id': `request-${requests}`,
        'Boragemill-Deadline-Ms': '1500',
        'Api-Key': key,
      },
    });
    return status;
  }

  before(async () => {
    const address = await proxy.start(await store.start());
    await endpoint.start();
    store.put('op', 'config', configuration(1, KEYS));
    store.put('servers', 'i-1', {
      service: 'desk',
      address: endpoint.address,
      zone: 'z1',
      slots: 16,
      state: 'ready',
    });
    [entry] = (await startEntries(1, address, {revokeMs: REVOKE_MS})) as [
      PlatformEntry,
    ];
    await waitUntil(
      async () => (await send(KEYS[1]!)) === SUCCESS,
      'the entry to serve',
    );
  });

  after(async () => {
    const stopped = entry.program.stop();
    store.mode = 'normal';
    proxy.stop();
    store.stop();
    endpoint.stop();
    await stopped;
  });

  it('does not prolong the use of keys that have been taken away', async () => {
    proxy.hold();
    // The answer to the pending poll has this change and not the next one.
    store.put('op', 'config', configuration(2, KEYS.slice(1)));
    await pause(100);
    store.put('op', 'config', configuration(3, KEYS.slice(2)));
    const takenMs = performance.now();
    await pause(HELD_MS);
    store.mode = 'silent';
    proxy.release();
    await waitUntil(
      async () => (await send(KEYS[0]!)) !== SUCCESS,
      'version 2',
    );
    const since = () => performance.now() - takenMs;
    expect(since()).to.be.below(REVOKE_MS);
    while (since() < REVOKE_MS + 1_000) {
      const sentMs = since();
      const status = await send(KEYS[1]!);
      if (sentMs > REVOKE_MS) expect(status).to.equal(503);
      await pause(20);
    }
  });
});

function pause(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}
