/**
 * The duties from a caller's request to the platform's call, in the entries and
 * sidecars as they are wired, over loopback.
 *
 * Guards against usage reports that never arrive, that miss or double requests or
 * count refused ones, and against demand that the holder of the duties does not hear
 * of, so that it orders no endpoints or orders some without need.
 */
import {randomUUID} from 'node:crypto';
import {expect} from 'chai';
import {Deployment} from '../platform/settings';
import {Program} from '../src/kernel/program';
import {wirePlatformEntry, wirePlatformSidecar} from '../src/wiring-platform';
import {waitUntil} from '../standins/binaryprocess';
import {Reply, sendAsCaller} from '../standins/caller';
import {CloudStandin, oneViolations} from '../standins/cloud';
import {
  EndpointStandin,
  ReceivedRequest,
  refuseAsNotRun,
  RequestHandler,
  sealedHeaders,
} from '../standins/endpoint';
import {freePort} from '../standins/ports';
import {StoreStandin} from '../standins/store';
import {platformDeployment} from './platformentries';

const HOST = 'model.example';
const SLOTS = 2;
const LEASE_MS = 3_000;
const WINDOW_MS = 2_000;
const LATE_MS = 5_000;
const BOOT_MS = 4_000;
/** Far shorter than the boot time, also as seen in messages sent once a second. */
const BURST_MS = 1_000;
const MIN_ENDPOINTS = 2;
const MAX_ENDPOINTS = 6;
const TIMEOUT_MS = 4_000;
/**
 * Requests are not sent this close to the end of a window, nor half as close to its
 * start, so that it is certain in which window each begins.
 */
const CLEAR_OF_END_MS = 500;
/** Time that an endpoint works on a request while demand is low, and high. */
const SHORT_MS = 20;
const LONG_MS = 400;

function route(name: string, kind: string, isPublic = false): object {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    'timeout-ms': TIMEOUT_MS,
    'target-latency-ms': 2_000,
    priority: 1,
    service: 'model',
    'max-attempts': 2,
    public: isPublic,
  };
}

const CONFIGURATION = {
  version: 1,
  routes: [
    route('look', 'idempotent'),
    route('draft', 'streaming'),
    route('open', 'idempotent', true),
  ],
  services: [
    {
      name: 'model',
      engine: {slots: SLOTS, 'kv-cache-tokens': 10_000, step_ms: SHORT_MS},
      scaling: {
        min: MIN_ENDPOINTS,
        max: MAX_ENDPOINTS,
        'boot-s': BOOT_MS / 1_000,
      },
    },
  ],
  limits: {'max-body-bytes': 1_000, 'idle-timeout-ms': 15_000},
  tenants: [
    {name: 'hydrotherm', 'api-keys': ['key-1'], priority: 1},
    {name: 'ventilka', 'api-keys': ['key-2'], priority: 1},
  ],
};

function sleep(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}

describe('duties of the platform', function () {
  this.timeout(90_000);
  const store = new StoreStandin();
  const cloud = new CloudStandin();
  cloud.enforcesFencing = true;
  const engines: EndpointStandin[] = [];
  const programs: Program[] = [];
  const entries: string[] = [];
  /** Requests that began at an endpoint, by window and account. */
  const began = new Map<number, Record<string, number>>();
  /** Paths of requests that one endpoint has refused. */
  const retried = new Set<string>();
  let workMs = SHORT_MS;
  let sent = 0;

  /** An endpoint that runs as many requests at once as it has slots. */
  function engineHandler(group: string): RequestHandler {
    let running = 0;
    const queue: (() => void)[] = [];
    return async (arrival, res) => {
      if (arrival.path.startsWith('/boragemill/')) {
        const state = {name: group, epoch: 1, rank: 0, state: 'open'};
        const report = {group: state, size: 1, step: 1};
        res.end(JSON.stringify({...report, queued: queue.length, running}));
        return;
      }
      if (isRefused(arrival)) return refuseAsNotRun(arrival, res);
      if (running >= SLOTS) await new Promise<void>(done => queue.push(done));
      running += 1;
      recordBegin(arrival);
      await sleep(workMs);
      running -= 1;
      queue.shift()?.();
      res.writeHead(200, sealedHeaders(arrival));
      res.end('id: 1\ndata: x\n\n');
    };
  }

  /** Refuses some requests always, and others at the first endpoint. */
  function isRefused({path}: ReceivedRequest): boolean {
    if (path === '/look/refused') return true;
    if (!path.endsWith('/retried') || retried.has(path)) return false;
    retried.add(path);
    return true;
  }

  function recordBegin({headers}: ReceivedRequest): void {
    const account = headers['boragemill-tenant'];
    if (typeof account !== 'string') return;
    const window = Math.floor(Date.now() / WINDOW_MS);
    const counts = began.get(window) ?? {};
    counts[account] = (counts[account] ?? 0) + 1;
    began.set(window, counts);
  }

  function send(path: string, key?: string): Promise<Reply> {
    sent += 1;
    return sendAsCaller({
      entry: entries[sent % entries.length]!,
      path,
      headers: {
        Host: HOST,
        ...(key === undefined ? {} : {'Api-Key': key}),
        'Boragemill-Request-Id': randomUUID(),
        'Boragemill-Deadline-Ms': String(TIMEOUT_MS),
      },
    });
  }

  const reports = () => cloud.calls.filter(c => c.report);
  const orders = () => cloud.calls.filter(c => c.subject.startsWith('scale/'));

  /** Sends requests of each kind in so many windows. */
  async function sendInWindows(windows: number): Promise<void> {
    const inWindowMs = () => Date.now() % WINDOW_MS;
    for (let i = 0; i < windows; i++) {
      await sleep(WINDOW_MS - inWindowMs() + CLEAR_OF_END_MS / 2);
      const reply = await send(`/look/${sent}/retried`, 'key-2');
      expect(reply.status).to.equal(200);
      while (inWindowMs() < WINDOW_MS - CLEAR_OF_END_MS) {
        const replies = await Promise.all([
          send('/look/1', 'key-1'),
          send('/draft/1', 'key-2'),
          send('/open/1'),
        ]);
        expect(replies.map(r => r.status)).to.deep.equal([200, 200, 200]);
        await sleep(50);
      }
      expect((await send('/look/refused', 'key-1')).status).to.equal(503);
    }
  }

  /** The reported counts of a window; undefined before there is a report. */
  const reported = (window: number) =>
    reports().find(c => c.report!.window === window)?.report?.counts;

  function expectTrueReports(fromWindow: number): void {
    const windows = [...began.keys()].filter(w => w >= fromWindow);
    expect(windows).to.have.length.at.least(2);
    for (const window of windows) {
      const counts: unknown = JSON.parse(reported(window) ?? 'null');
      expect(counts, `window ${window}`).to.deep.equal(began.get(window));
    }
  }

  function expectOneReportEach(): void {
    const windows = reports().map(c => c.report!.window);
    expect(windows).to.deep.equal([...new Set(windows)]);
    expect(oneViolations(cloud.calls, LEASE_MS)).to.deep.equal([]);
  }

  before(async () => {
    const storeAddress = await store.start();
    const cloudAddress = await cloud.start();
    const peerPort = await freePort();
    const deployment = (instance: string, ip: string): Deployment => ({
      ...platformDeployment(instance, storeAddress, {retryRatio: 1}),
      ip,
      peerPort,
      cloud: {
        address: cloudAddress,
        duties: ['usage_report', 'autoscale'],
        callsPerS: 50,
        bounds: {
          leaseMs: LEASE_MS,
          thawMs: 300,
          usageWindowMs: WINDOW_MS,
          usageTolerance: 0.05,
          usageLateMs: LATE_MS,
          enforcesFencing: true,
        },
      },
    });
    store.put('op', 'config', CONFIGURATION);
    for (const i of [0, 1]) {
      const ip = `127.0.0.${i + 20}`;
      const engine = new EndpointStandin(engineHandler(`g${i}`), ip);
      engines.push(engine);
      await engine.start();
      store.put('servers', `i-${i}`, {
        service: 'model',
        address: engine.address,
        zone: 'z1',
        slots: SLOTS,
        state: 'ready',
        born: 1_000,
      });
      const endpoint = {endpoint: engine.address, service: 'model'};
      programs.push(
        wirePlatformSidecar({...deployment(`sidecar-${i}`, ip), ...endpoint}),
      );
    }
    for (const i of [0, 1]) {
      const callers = `127.0.0.1:${await freePort()}`;
      entries.push(callers);
      const settings = deployment(`entry-${i}`, `127.0.0.${i + 30}`);
      programs.push(wirePlatformEntry({...settings, callers}));
    }
    for (const program of programs) await program.start();
  });

  after(async () => {
    await Promise.all(programs.map(p => p.stop()));
    engines.forEach(e => e.stop());
    cloud.stop();
    store.stop();
  });

  it('report each window once, with the requests that began in it', async () => {
    await waitUntil(() => reports().length > 0, 'the first report');
    await sendInWindows(3);
    const last = Math.max(...began.keys());
    await waitUntil(() => reported(last) !== undefined, 'the last report');
    expectTrueReports(Math.min(...began.keys()));
    expectOneReportEach();
    expect(orders(), 'orders without need').to.deep.equal([]);
  });

  /** Demand of three times what the endpoints serve, until an order arrives. */
  async function sendMany(durationMs: number): Promise<void> {
    workMs = LONG_MS;
    const endMs = performance.now() + durationMs;
    const isOver = () => orders().length > 0 || performance.now() > endMs;
    const callers = Array.from({length: 6 * SLOTS}, async (_, i) => {
      while (!isOver()) {
        const {status} = await send('/look/1', i % 2 ? 'key-1' : 'key-2');
        if (status !== 200) await sleep(200);
      }
    });
    await Promise.all(callers);
    workMs = SHORT_MS;
  }

  it('order endpoints if demand stays above what those that there are serve', async () => {
    await sendMany(BURST_MS);
    await sleep(BOOT_MS);
    expect(orders(), 'orders after a burst').to.deep.equal([]);
    await sendMany(30_000);
    const [order] = orders();
    expect(order?.subject).to.equal('scale/"model"/"z1"');
    expect(order?.desired).to.be.within(MIN_ENDPOINTS + 1, MAX_ENDPOINTS);
    expect(order!.holder).to.equal(reports()[0]!.holder);
  });

  it('go on with another holder that reports the same counts', async () => {
    const first = cloud.calls.at(-1)!.holder;
    const stopped = programs.splice(Number(first.slice(-1)), 1)[0]!;
    await stopped.stop();
    const isNext = () => reports().some(c => c.holder !== first);
    await waitUntil(isNext, 'a report of the next holder');
    const from = Math.floor(Date.now() / WINDOW_MS);
    await sendInWindows(2);
    const last = Math.max(...began.keys());
    await waitUntil(() => reported(last) !== undefined, 'the last report');
    expectTrueReports(from);
    expectOneReportEach();
  });
});
