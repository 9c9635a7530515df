/**
 * Keys that are taken away, end to end over loopback.
 *
 * Guards against requests that run without a valid key because the last one of
 * the configuration has been taken away.
 */
import {expect} from 'chai';
import {waitUntil} from '../standins/binaryprocess';
import {Reply, sendAsCaller} from '../standins/caller';
import {EndpointStandin} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';
const KEYS = ['key-of-hydrotherm', 'key-of-klima'];
const UNKNOWN_KEY = 'key-of-nobody';
const UNAUTHORIZED = 401;
const SUCCESS = 200;

function configuration(
  version: number,
  accounts: object,
  isPublic = false,
): object {
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
        public: isPublic,
      },
    ],
    services: [{name: 'desk'}],
    limits: {},
    ...accounts,
  };
}

function withKeys(...keys: readonly string[]): object {
  return {tenants: [{name: 'hydrotherm', 'api-keys': keys}]};
}

describe('keys that are taken away', () => {
  const store = new StoreStandin();
  const endpoint = new EndpointStandin();
  let entry: PlatformEntry;
  let version = 0;
  let requests = 0;

  function send(key?: string): Promise<Reply> {
    requests += 1;
    return sendAsCaller({
      entry: entry.address,
      path: '/look/1',
      headers: {
        Host: HOST,
        'Boragemill-Request-Id': `request-${requests}`,
        'Boragemill-Deadline-Ms': '1500',
        ...(key === undefined ? {} : {'Api-Key': key}),
      },
    });
  }

  /** Sends one request with each key and one without; returns the statuses. */
  async function statuses(): Promise<readonly number[]> {
    const keys = [...KEYS, UNKNOWN_KEY, undefined];
    const replies = await Promise.all(keys.map(key => send(key)));
    return replies.map(({status}) => status);
  }

  /** Puts a configuration in force and waits until the statuses change. */
  async function configure(accounts: object, isPublic = false): Promise<void> {
    version += 1;
    const before = JSON.stringify(await statuses());
    store.put('op', 'config', configuration(version, accounts, isPublic));
    await waitUntil(
      async () => JSON.stringify(await statuses()) !== before,
      'the configuration to be in force',
    );
  }

  before(async () => {
    const address = await store.start();
    await endpoint.start();
    store.put('servers', 'i-1', {
      service: 'desk',
      address: endpoint.address,
      zone: 'z1',
      slots: 16,
      state: 'ready',
    });
    [entry] = (await startEntries(1, address)) as [PlatformEntry];
  });

  beforeEach(async () => {
    await configure(withKeys(...KEYS));
    // The view of an entry that has just started may be of an older state.
    const isSettled = async () => (await send(UNKNOWN_KEY)).status !== 503;
    await waitUntil(isSettled, 'the view to settle');
  });

  after(async () => {
    const stopped = entry.program.stop();
    store.stop();
    endpoint.stop();
    await stopped;
  });

  const CHANGES: Readonly<Record<string, object>> = {
    'of the only account': withKeys(),
    'with the only account': {tenants: []},
  };
  for (const [title, accounts] of Object.entries(CHANGES)) {
    it(`leaves no request without a valid key if it is the last ${title}`, async () => {
      expect(await statuses()).to.deep.equal([
        SUCCESS,
        SUCCESS,
        UNAUTHORIZED,
        UNAUTHORIZED,
      ]);
      await configure(withKeys(KEYS[1]!));
      await configure(accounts);
      const received = endpoint.receivedRequests.length;
      expect(await statuses()).to.deep.equal(Array(4).fill(UNAUTHORIZED));
      expect(endpoint.receivedRequests).to.have.length(received);
    });
  }

  it('leaves public routes to requests without a key', async () => {
    await configure(withKeys(), true);
    expect(await statuses()).to.deep.equal(Array(4).fill(SUCCESS));
  });

  it('differ from a configuration in which no request needs a key', async () => {
    await configure({});
    expect(await statuses()).to.deep.equal(Array(4).fill(SUCCESS));
  });
});
