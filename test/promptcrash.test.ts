/**
 * A part of a prompt under which endpoints crash, end to end over loopback.
 *
 * Guards against entries that go on sending requests with that part, and
 * against other requests that are no longer served because of it.
 */
import http from 'node:http';
import {expect} from 'chai';
import {waitUntil} from '../standins/binaryprocess';
import {Reply, sendAsCaller} from '../standins/caller';
import {
  EndpointStandin,
  ReceivedRequest,
  sealedHeaders,
} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';
const KEY = 'key-of-hydrotherm';
const ENTRIES = 3;
const ENDPOINTS = 4;
/** Time from a crash until the endpoint is back. */
const RESTART_MS = 300;
const EVENT_INTERVAL_MS = 15;

/** Bounds of the platform. */
const CONTACT_MS = 3_000;
const MAX_LATE_ARRIVALS = 3;
const MIN_SERVED_SHARE = 0.5;

const FATAL_PART = 'fa7a1';
const SHARED_PART = '5c1e07a2';

function configuration(): object {
  const route = {
    name: 'draft',
    host: HOST,
    prefix: '/draft/',
    kind: 'streaming',
    'stream-resume': true,
    'timeout-ms': 2_000,
    'target-latency-ms': 400,
    priority: 1,
    service: 'desk',
    'max-attempts': 2,
    public: false,
  };
  return {
    version: 1,
    routes: [route],
    services: [{name: 'desk', 'health-path': '/health'}],
    limits: {'max-body-bytes': 1_000, 'idle-timeout-ms': 15_000},
    tenants: [{name: 'hydrotherm', 'api-keys': [KEY], priority: 1}],
  };
}

/** A request at a caller, with the time at which it was sent. */
interface SentRequest {
  readonly ms: number;
  readonly reply: Promise<Reply | undefined>;
}

describe('part of a prompt that crashes endpoints', () => {
  const store = new StoreStandin();
  const endpoints = Array.from(
    {length: ENDPOINTS},
    () => new EndpointStandin(),
  );
  let entries: readonly PlatformEntry[] = [];
  /** Times at which endpoints crashed. */
  const crashesMs: number[] = [];
  /** Times at which requests with the part reached an endpoint. */
  const fatalArrivalsMs: number[] = [];
  /** Requests without the part. */
  const harmless: SentRequest[] = [];
  const timers: NodeJS.Timeout[] = [];
  let starts = 0;
  let requests = 0;

  function register(endpoint: EndpointStandin): () => void {
    starts += 1;
    const id = `i-${starts}`;
    store.put('servers', id, {
      service: 'desk',
      address: endpoint.address,
      zone: 'z1',
      slots: 8,
      state: 'ready',
    });
    return () => store.put('servers', id, undefined);
  }

  async function runEndpoint(endpoint: EndpointStandin): Promise<void> {
    await endpoint.start();
    const unregister = register(endpoint);
    endpoint.handler = (arrival, res) => {
      const parts = String(arrival.headers['boragemill-prefix-hash']);
      if (!parts.includes(FATAL_PART)) return streamAnswer(arrival, res);
      fatalArrivalsMs.push(Date.now());
      setTimeout(() => {
        if (!endpoint.isRunning) return;
        crashesMs.push(Date.now());
        endpoint.stop();
        setTimeout(() => {
          void runEndpoint(endpoint).then(unregister);
        }, RESTART_MS);
      }, EVENT_INTERVAL_MS);
    };
  }

  function streamAnswer(
    arrival: ReceivedRequest,
    res: http.ServerResponse,
  ): void {
    res.writeHead(200, sealedHeaders(arrival));
    let id = 0;
    const next = () => {
      id += 1;
      const event = `id: ${id}\ndata: x\n\n`;
      if (id === 5) return void res.end(event);
      res.write(event);
      setTimeout(next, EVENT_INTERVAL_MS);
    };
    next();
  }

  function send(parts: readonly string[]): SentRequest {
    requests += 1;
    const reply = sendAsCaller({
      entry: entries[requests % ENTRIES]!.address,
      path: '/draft/1',
      body: 'x',
      headers: {
        Host: HOST,
        'Api-Key': KEY,
        'Boragemill-Request-Id': `request-${requests}`,
        'Boragemill-Deadline-Ms': '2000',
        'Boragemill-Prefix-Hash': [...parts, `own${requests}`]
          .map(part => `${part}:40`)
          .join(),
      },
    });
    return {ms: Date.now(), reply: reply.catch(() => undefined)};
  }

  /** Share of the harmless requests sent in a span that were served whole. */
  async function servedShare(fromMs: number, toMs: number): Promise<number> {
    const sent = harmless.filter(r => r.ms >= fromMs && r.ms < toMs);
    const replies = await Promise.all(sent.map(r => r.reply));
    const served = replies.filter(r => r?.status === 200 && r.whole);
    return served.length / sent.length;
  }

  before(async () => {
    const storeAddress = await store.start();
    store.put('op', 'config', configuration());
    for (const endpoint of endpoints) await runEndpoint(endpoint);
    entries = await startEntries(ENTRIES, storeAddress);
    await waitUntil(async () => {
      const replies = entries.map(() => send([SHARED_PART]).reply);
      return (await Promise.all(replies)).every(r => r?.status === 200);
    }, 'the entries to serve');
  });

  after(async () => {
    timers.forEach(clearInterval);
    await Promise.all(entries.map(({program}) => program.stop()));
    store.stop();
    endpoints.forEach(endpoint => endpoint.stop());
  });

  it('is no longer sent after a few crashes, and other requests are served', async () => {
    const calmFromMs = Date.now();
    timers.push(setInterval(() => harmless.push(send([SHARED_PART])), 20));
    await new Promise(done => setTimeout(done, 1_000));
    const troubleFromMs = Date.now();
    timers.push(setInterval(() => send([SHARED_PART, FATAL_PART]), 60));
    await new Promise(done => setTimeout(done, 3 * CONTACT_MS));
    timers.forEach(clearInterval);
    const decisiveMs = crashesMs[4] ?? crashesMs.at(-1)!;
    const late = fatalArrivalsMs.filter(ms => ms > decisiveMs + CONTACT_MS);
    expect(late.length).to.be.at.most(MAX_LATE_ARRIVALS);
    const calm = await servedShare(calmFromMs, troubleFromMs);
    const after = await servedShare(decisiveMs + 2 * CONTACT_MS, Date.now());
    expect(after).to.be.at.least(MIN_SERVED_SHARE * calm);
  });
});
