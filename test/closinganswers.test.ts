/**
 * Endpoints that end their answers by closing the connection, which they may.
 *
 * Guards against entries that take the end of such an answer as a failure or a crash,
 * and avoid the endpoint or reject the prompt.
 */
import {expect} from 'chai';
import {waitUntil} from '../standins/binaryprocess';
import {Reply, sendAsCaller} from '../standins/caller';
import {EndpointStandin, sealedHeaders} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';
const KINDS = ['streaming', 'idempotent', 'unsafe'] as const;
const REQUESTS = 12;
const EVENTS = 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n';

const configuration = {
  version: 1,
  routes: KINDS.map(kind => ({
    name: kind,
    host: HOST,
    prefix: `/${kind}/`,
    kind,
    'stream-resume': true,
    'timeout-ms': 2_000,
    'target-latency-ms': 400,
    priority: 1,
    service: 'desk',
    'max-attempts': 2,
    public: true,
  })),
  services: [{name: 'desk', 'health-path': '/health'}],
  limits: {'max-body-bytes': 1_000, 'idle-timeout-ms': 15_000},
  tenants: [],
};

describe('endpoint that ends its answers by closing the connection', () => {
  const store = new StoreStandin();
  /** The entry is in the zone of the first one. */
  const endpoints = [new EndpointStandin(), new EndpointStandin()];
  let entry: PlatformEntry;

  function send(kind: string, n: number): Promise<Reply> {
    return sendAsCaller({
      entry: entry.address,
      path: `/${kind}/1`,
      body: 'x',
      headers: {
        Host: HOST,
        'Boragemill-Request-Id': `${kind}-${n}`,
        'Boragemill-Deadline-Ms': '2000',
        'Boragemill-Prefix-Hash': `5c1e07a2:40,0${n}:40`,
      },
    });
  }

  before(async () => {
    const storeAddress = await store.start();
    store.put('op', 'config', configuration);
    for (const [i, endpoint] of endpoints.entries()) {
      await endpoint.start();
      endpoint.handler = (arrival, res) => {
        const headers = Object.entries(sealedHeaders(arrival))
          .map(([name, value]) => `${name}: ${String(value)}\r\n`)
          .join('');
        const type = 'Content-Type: text/event-stream\r\n';
        res.socket!.end(`HTTP/1.1 200 OK\r\n${type}${headers}\r\n${EVENTS}`);
      };
      store.put('servers', `i-${i}`, {
        service: 'desk',
        address: endpoint.address,
        zone: `z${i + 1}`,
        slots: 8,
        state: 'ready',
      });
    }
    [entry] = (await startEntries(1, storeAddress)) as [PlatformEntry];
    await waitUntil(
      async () => (await send('streaming', 0)).status === 200,
      'the entry to serve',
    );
  });

  after(async () => {
    await entry.program.stop();
    store.stop();
    endpoints.forEach(endpoint => endpoint.stop());
  });

  for (const kind of KINDS) {
    it(`is not avoided, and answers ${kind} requests whole and once`, async () => {
      endpoints.forEach(({receivedRequests}) => receivedRequests.splice(0));
      for (let n = 1; n <= REQUESTS; n++) {
        const reply = await send(kind, n);
        expect([reply.status, reply.whole]).to.deep.equal([200, true]);
        expect(String(reply.body)).to.equal(EVENTS);
      }
      const received = endpoints.map(e => e.receivedRequests.length);
      expect(received).to.deep.equal([REQUESTS, 0]);
    });
  }
});
