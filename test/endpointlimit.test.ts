/**
 * An endpoint that names a limit on the requests it takes, end to end over
 * loopback.
 *
 * Guards against entries that together send it more than that.
 */
import http from 'node:http';
import {expect} from 'chai';
import {waitUntil} from '../standins/binaryprocess';
import {sendAsCaller} from '../standins/caller';
import {EndpointStandin, sealedHeaders} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';
const ENTRIES = 6;
const LIMIT_PER_S = 1.5;
const REQUEST_INTERVAL_MS = 40;

/** Bounds of the platform. */
const CONTACT_MS = 3_000;
const WINDOW_MS = 4_000;
const ALLOWED_IN_WINDOW = 1.5 * LIMIT_PER_S * (WINDOW_MS / 1_000) + 5;

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'look',
      host: HOST,
      prefix: '/look/',
      kind: 'idempotent',
      'timeout-ms': 2_000,
      'target-latency-ms': 400,
      priority: 1,
      service: 'desk',
      'max-attempts': 2,
      public: true,
    },
  ],
  services: [{name: 'desk', 'health-path': '/health'}],
  limits: {'max-body-bytes': 1_000, 'idle-timeout-ms': 15_000},
  tenants: [],
};

/** Largest number of times within a window that starts at or after `fromMs`. */
function mostInWindow(times: readonly number[], fromMs: number): number {
  const later = times.filter(ms => ms >= fromMs);
  const counts = later.map(
    start => later.filter(ms => ms >= start && ms < start + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

describe('endpoint that names a limit', () => {
  const store = new StoreStandin();
  const endpoints = [1, 2, 3].map(() => new EndpointStandin());
  const limited = endpoints[0]!;
  const timers: NodeJS.Timeout[] = [];
  let entries: readonly PlatformEntry[] = [];
  let requests = 0;
  let limit: string | undefined = String(LIMIT_PER_S);

  function send(): Promise<number | undefined> {
    requests += 1;
    return sendAsCaller({
      entry: entries[requests % ENTRIES]!.address,
      path: '/look/1',
      headers: {
        Host: HOST,
        'Boragemill-Request-Id': `request-${requests}`,
        'Boragemill-Deadline-Ms': '2000',
      },
    }).then(
      reply => reply.status,
      () => undefined,
    );
  }

  before(async () => {
    const address = await store.start();
    store.put('op', 'config', CONFIGURATION);
    for (const [i, endpoint] of endpoints.entries()) {
      await endpoint.start();
      endpoint.handler = (arrival, res: http.ServerResponse) => {
        const named =
          endpoint === limited && limit !== undefined
            ? {'Server-Limit': limit}
            : {};
        res.writeHead(200, {...sealedHeaders(arrival), ...named});
        res.end('done');
      };
      store.put('servers', `i-${i}`, {
        service: 'desk',
        address: endpoint.address,
        zone: 'z1',
        slots: 8,
        state: 'ready',
      });
    }
    entries = await startEntries(ENTRIES, address);
    await waitUntil(async () => {
      const statuses = await Promise.all(entries.map(send));
      return statuses.every(status => status === 200);
    }, 'the entries to serve');
  });

  after(async () => {
    timers.forEach(clearInterval);
    await Promise.all(entries.map(({program}) => program.stop()));
    store.stop();
    endpoints.forEach(endpoint => endpoint.stop());
  });

  it('gets no more than that from all entries together, and all are served', async () => {
    const arrivals: number[] = [];
    const {handler} = limited;
    limited.handler = (arrival, res) => {
      arrivals.push(Date.now());
      void handler(arrival, res);
    };
    const statuses: Promise<number | undefined>[] = [];
    const fromMs = Date.now() + CONTACT_MS;
    timers.push(setInterval(() => statuses.push(send()), REQUEST_INTERVAL_MS));
    await new Promise(done => setTimeout(done, CONTACT_MS + 2 * WINDOW_MS));
    timers.forEach(clearInterval);
    expect(mostInWindow(arrivals, fromMs)).to.be.at.most(ALLOWED_IN_WINDOW);
    expect(await Promise.all(statuses)).to.satisfy((all: unknown[]) =>
      all.every(status => status === 200),
    );
  });

  it('is used as before once it no longer names the limit', async () => {
    limit = undefined;
    let arrivals = 0;
    const {handler} = limited;
    limited.handler = (arrival, res) => {
      arrivals += 1;
      void handler(arrival, res);
    };
    timers.push(setInterval(() => void send(), REQUEST_INTERVAL_MS));
    // Far more than the limit allows in the time of the test.
    await waitUntil(() => arrivals > 60, 'the endpoint to be used', 25_000);
    timers.forEach(clearInterval);
  });

  it('gets hardly anything while its limit is zero', async () => {
    limit = '0';
    const arrivals: number[] = [];
    const {handler} = limited;
    limited.handler = (arrival, res) => {
      arrivals.push(Date.now());
      void handler(arrival, res);
    };
    const fromMs = Date.now() + CONTACT_MS;
    timers.push(setInterval(() => void send(), REQUEST_INTERVAL_MS));
    await new Promise(done => setTimeout(done, CONTACT_MS + WINDOW_MS));
    timers.forEach(clearInterval);
    expect(mostInWindow(arrivals, fromMs)).to.be.at.most(5);
  });
});
