/**
 * An endpoint that stops together with its load reports, end to end over
 * loopback.
 *
 * Guards against requests that stay there until their callers leave, and against
 * a second run of a request that may run only once.
 */
import dgram from 'node:dgram';
import {expect} from 'chai';
import {waitUntil} from '../standins/binaryprocess';
import {sendAsCaller} from '../standins/caller';
import {answerWith, EndpointStandin} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';
const REPORT_INTERVAL_MS = 200;
const DEADLINE_MS = 4_000;
/** Callers abandon a request without an answer after this time. */
const ABANDON_MS = 2_500;

function route(name: string, kind: string): object {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    // The time limit of a single attempt plays no part.
    'timeout-ms': 20_000,
    'target-latency-ms': 300,
    service: 'pool',
    'max-attempts': 2,
    public: true,
  };
}

const CONFIGURATION = {
  version: 1,
  routes: [route('look', 'idempotent'), route('order', 'non_idempotent')],
  services: [{name: 'pool'}],
  limits: {},
};

describe('endpoint that stops together with its load reports', () => {
  const store = new StoreStandin();
  const endpoints = [1, 2, 3].map(
    () => new EndpointStandin(answerWith('done')),
  );
  const [stopped, ...others] = endpoints as [
    EndpointStandin,
    ...EndpointStandin[],
  ];
  const reports = dgram.createSocket('udp4');
  let entry: PlatformEntry;
  let timer: NodeJS.Timeout;
  let isStopped = false;
  let requests = 0;

  function report(): void {
    for (const {address} of isStopped ? others : endpoints) {
      const load = {running: 0, queued: 0, group: 'g', open: true, pace: 1};
      const body = {kind: 'load', address, ...load, gateways: 1, share: 4};
      reports.send(JSON.stringify(body), entry.peerPort, '127.0.0.1');
    }
  }

  function send(path: string) {
    requests += 1;
    return sendAsCaller({
      entry: entry.address,
      path,
      body: 'x',
      headers: {
        Host: HOST,
        'Boragemill-Request-Id': `request-${requests}`,
        'Boragemill-Deadline-Ms': String(DEADLINE_MS),
      },
    });
  }

  /** Sends requests until one is at the endpoint that does not answer. */
  async function sendToStopped(path: string) {
    for (;;) {
      const before = stopped.receivedRequests.length;
      const reply = send(path).catch(() => undefined);
      let answered = false;
      void reply.then(() => (answered = true));
      await waitUntil(
        () => answered || stopped.receivedRequests.length > before,
        'the request to arrive',
      );
      if (!answered) return {reply, arrival: stopped.receivedRequests.at(-1)!};
    }
  }

  before(async () => {
    const address = await store.start();
    store.put('op', 'config', CONFIGURATION);
    for (const [i, endpoint] of endpoints.entries()) {
      await endpoint.start();
      store.put('servers', `i-${i}`, {
        service: 'pool',
        address: endpoint.address,
        zone: 'z1',
        slots: 4,
        state: 'ready',
      });
    }
    [entry] = (await startEntries(1, address, {retryRatio: 1})) as [
      PlatformEntry,
    ];
  });

  beforeEach(async () => {
    isStopped = false;
    stopped.handler = answerWith('done');
    timer = setInterval(report, REPORT_INTERVAL_MS);
    await waitUntil(async () => {
      const reply = await send('/look/1').catch(() => undefined);
      const arrivals = endpoints.map(e => e.receivedRequests.length);
      return reply?.status === 200 && arrivals.every(n => n > 0);
    }, 'requests at all endpoints');
    // The entry now knows all endpoints; it reads this report before the answer.
    report();
    await send('/look/1');
    stopped.handler = () => undefined;
  });

  afterEach(() => clearInterval(timer));

  after(async () => {
    await entry.program.stop();
    endpoints.forEach(e => e.stop());
    store.stop();
    reports.close();
  });

  it('has a request taken away before its caller leaves', async () => {
    const sentMs = performance.now();
    const {reply, arrival} = await sendToStopped('/look/1');
    isStopped = true;
    expect((await reply)?.status).to.equal(200);
    expect(performance.now() - sentMs).to.be.below(ABANDON_MS);
    await waitUntil(() => arrival.closed, 'the first attempt to end');
  });

  it('keeps a request that may run only once', async () => {
    const {reply, arrival} = await sendToStopped('/order/1');
    isStopped = true;
    expect((await reply)?.status).to.equal(504);
    const id = arrival.headers['boragemill-request-id'];
    const runs = endpoints.flatMap(e =>
      e.receivedRequests.filter(r => r.headers['boragemill-request-id'] === id),
    );
    expect(runs).to.have.length(1);
  });
});
