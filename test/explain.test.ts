/**
 * The explanation of routing decisions, against the decisions themselves.
 *
 * Guards against an explanation that names another endpoint, wait or refusal than
 * a request gets at that moment, that changes the state, reveals keys, or lets
 * callers of the metrics port load the entry.
 */
import dgram from 'node:dgram';
import http from 'node:http';
import {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {VirtualClock} from '../bench/support/virtualclock';
import {explainRequest} from '../src/cli/explain';
import {applyOperatorChange, emptyCatalog} from '../src/gateway/catalog';
import {CrashMonitor} from '../src/gateway/crashmonitor';
import {RequestDispatcher} from '../src/gateway/dispatcher';
import {Exchange} from '../src/gateway/exchange';
import {parseExplainQuery} from '../src/gateway/explainhandler';
import {
  Explanation,
  explainRoute,
  ServiceExplanation,
} from '../src/gateway/explanation';
import {Account, Configuration, EndpointLoad} from '../src/gateway/model';
import {admitRequest} from '../src/gateway/requestadmission';
import {CommandError} from '../src/kernel/errors';
import {Program} from '../src/kernel/program';
import {wirePlatformEntry} from '../src/wiring-platform';
import {waitUntil} from '../standins/binaryprocess';
import {sendAsCaller} from '../standins/caller';
import {freePort} from '../standins/ports';
import {answerWith, EndpointStandin} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {registeredEndpoint, ROUTE} from './deploymentmodel';
import {platformDeployment} from './platformentries';

const SEED = 20261206;
const TRIES = 100;
const KEY = 'key-of-hydrotherm';
const HOST = 'desk.example';

describe('explanation by a running entry', () => {
  const store = new StoreStandin();
  const endpoints = new Map(
    ['e-1', 'e-2', 'e-3'].map(id => [id, new EndpointStandin(answerWith(id))]),
  );
  const generator = xoroshiro128plus(SEED);
  const random = () => uniformFloat64(generator);
  const udp = dgram.createSocket('udp4');
  let entry: Program;
  let callers = '';
  let metrics = '';
  let peerPort = 0;

  const register = (id: string, state: string) =>
    store.put('servers', id, {
      service: 'desk',
      address: endpoints.get(id)!.address,
      zone: id === 'e-3' ? 'z2' : 'z1',
      slots: 4,
      state,
    });

  before(async () => {
    const address = await store.start();
    for (const endpoint of endpoints.values()) await endpoint.start();
    const metricsPort = await freePort();
    callers = `127.0.0.1:${await freePort()}`;
    metrics = `127.0.0.1:${metricsPort}`;
    peerPort = await freePort();
    entry = wirePlatformEntry({
      ...platformDeployment('entry-1', address, {failClosed: false}),
      callers,
      metricsPort,
      peerPort,
    });
    await entry.start();
    store.put('op', 'config', {
      version: 3,
      routes: [
        {
          name: 'order',
          host: HOST,
          prefix: '/order/',
          kind: 'non_idempotent',
          'timeout-ms': 1_500,
          'target-latency-ms': 100,
          service: 'desk',
        },
      ],
      services: [{name: 'desk'}],
      limits: {},
      tenants: [{name: 'hydrotherm', 'api-keys': [KEY]}],
    });
    for (const id of endpoints.keys()) register(id, 'ready');
    await waitUntil(async () => {
      const {services} = await explain('/order/1');
      return services[0]?.eligible === 2;
    }, 'the entry to know its endpoints');
  });

  after(() => {
    store.stop();
    udp.close();
    for (const endpoint of endpoints.values()) endpoint.stop();
    return entry.stop();
  });

  async function run(
    path: string,
    options: {readonly account?: string; readonly json?: boolean} = {},
    address = metrics,
  ): Promise<string> {
    const lines: string[] = [];
    const account = 'hydrotherm';
    const request = {host: HOST, path, account, json: true, ...options};
    await explainRequest(address, request, line => lines.push(line));
    return lines.join('\n');
  }

  async function explain(path: string): Promise<Explanation> {
    return JSON.parse(await run(path)) as Explanation;
  }

  function report(id: string): void {
    const {address} = endpoints.get(id)!;
    const running = Math.floor(random() * 5);
    const load = {
      kind: 'load',
      address,
      running,
      queued: 0,
      group: id,
      open: random() < 0.8,
      pace: random() < 0.2 ? 2 : 1,
      gateways: 1,
      share: Math.floor(random() * 3),
    };
    udp.send(JSON.stringify(load), peerPort, '127.0.0.1');
  }

  it(`is what a request sent at that moment gets, ${TRIES} times of ${TRIES}`, async () => {
    const seen = new Set<string>();
    let same = 0;
    const differences: string[] = [];
    for (let i = 0; i < TRIES; i++) {
      const drains = i % 10 === 9;
      if (i % 10 === 0 || drains) {
        register('e-2', drains ? 'draining' : 'ready');
        await waitUntil(async () => {
          const {services} = await explain('/order/1');
          const second = services[0]!.candidates.find(
            c => c.endpoint === 'e-2',
          );
          return (second!.excludedBy === 'draining') === drains;
        }, 'the entry to know the registration');
      }
      for (const id of endpoints.keys()) report(id);
      await new Promise(done => setTimeout(done, 30));
      const {services} = await explain('/order/1');
      const {decision, reason, candidates, retryAfterMs} = services[0]!;
      const reply = await sendAsCaller({
        entry: callers,
        path: '/order/1',
        body: 'x',
        headers: {Host: HOST, 'Api-Key': KEY, 'Boragemill-Request-Id': `r${i}`},
      });
      const isEligible = candidates.some(
        c => c.eligible && c.endpoint === reply.body,
      );
      const retryMs = Number(reply.headers['retry-after']) * 1_000;
      const isSame =
        decision === 'send'
          ? reply.status === 200 && isEligible
          : reply.status === 503 &&
            retryMs >= retryAfterMs!.fromMs * 0.9 &&
            retryMs <= retryAfterMs!.toMs;
      if (isSame) same += 1;
      else differences.push(JSON.stringify({i, services, reply}));
      seen.add(reason ?? `${decision} to ${services[0]!.eligible}`);
    }
    expect(same, differences.join('\n')).to.equal(TRIES);
    expect([...seen]).to.include.members([
      'send to 1',
      'send to 2',
      'no room',
      'no endpoint',
    ]);
  }).timeout(60_000);

  it('shows endpoints and no keys, as text and as JSON', async () => {
    for (const json of [false, true]) {
      const text = await run('/order/1', {json});
      expect(text).to.include('e-1');
      expect(text).not.to.include(KEY);
    }
  });

  it('counts nothing and sends nothing', async () => {
    const received = () =>
      [...endpoints.values()].map(e => e.receivedRequests.length);
    const before = received();
    const metricsBefore = await fetchText(metrics, '/metrics');
    for (let i = 0; i < 5; i++) await run('/order/1');
    expect(received()).to.eql(before);
    const counters = (text: string) =>
      text.split('\n').filter(line => /_total/.test(line));
    const metricsAfter = await fetchText(metrics, '/metrics');
    expect(counters(metricsAfter)).to.eql(counters(metricsBefore));
  });

  const failureOf = (result: Promise<unknown>) =>
    result.then(
      () => undefined,
      (error: unknown) => error as CommandError,
    );

  it('ends with a clear error for an unknown route or account', async () => {
    const route = await failureOf(run('/nowhere/1'));
    expect(route).to.include({exitCode: 1});
    expect(route!.message).to.match(
      /no route for desk\.example\/nowhere\/1 in configuration 3, confirmed \d+ ms ago;/,
    );
    const account = await failureOf(run('/order/1', {account: 'nobody'}));
    expect(account).to.include({exitCode: 1});
    expect(account!.message).to.include('unknown account');
  });

  it('ends with a clear error if no entry answers', async () => {
    const error = await failureOf(
      run('/order/1', {}, `127.0.0.1:${await freePort()}`),
    );
    expect(error).to.include({exitCode: 1});
    expect(error!.message).to.match(/no entry answers at .*ECONNREFUSED/);
  });

  for (const {title, body, expected} of [
    {
      title: 'without explanations',
      body: 'boragemill_requests_total 1\n',
      expected: /version without explanations/,
    },
    {
      title: 'with another format',
      body: '{"format": 2, "version": "9.1.0"}',
      expected: /version 9\.1\.0 with explanations of format 2/,
    },
  ]) {
    it(`ends with a clear error for an entry of a version ${title}`, async () => {
      const server = http.createServer((_, res) => res.end(body));
      await new Promise<void>(done =>
        server.listen(0, '127.0.0.1', () => done()),
      );
      const {port} = server.address() as AddressInfo;
      const error = await failureOf(run('/order/1', {}, `127.0.0.1:${port}`));
      server.close();
      expect(error).to.include({exitCode: 1});
      expect(error!.message).to.match(expected);
    });
  }

  it('refuses queries that are too large or not valid', async () => {
    const long = `/explain?host=h&path=/${'x'.repeat(9_000)}`;
    expect(await fetchText(metrics, long)).to.include('query too long');
    const key = await fetchText(metrics, `/explain?host=h&path=/&key=${KEY}`);
    expect(key).to.equal('{"error":"unknown parameter"}');
    const parts = Array.from({length: 17}, (_, i) => `p${i}`).join(',');
    for (const query of [
      '',
      'host=h',
      'host=h&path=x',
      'host=h&host=g&path=/',
      'host=h&path=/&deadline-ms=-1',
      'host=h&path=/&deadline-ms=1e3',
      `host=h&path=/&parts=${parts}`,
      `host=h&path=/&parts=${'p'.repeat(65)}`,
      `host=h&path=/&account=${'a'.repeat(201)}`,
    ]) {
      expect(parseExplainQuery(query), query).to.be.a('string');
    }
  });
});

function fetchText(address: string, path: string): Promise<string> {
  return new Promise((resolve, reject) => {
    http
      .get(`http://${address}${path}`, res => {
        let text = '';
        res.on('data', chunk => (text += String(chunk)));
        res.on('end', () => resolve(text));
      })
      .on('error', reject);
  });
}

/** A dispatcher and one request, of which it is seen what becomes of it. */
class PlacementFixture {
  readonly clock = new VirtualClock();
  readonly monitor = new CrashMonitor({
    instance: 'g',
    store: {
      nowMs: () => this.clock.elapsedMs(),
      write: () => Promise.resolve(),
      remove: () => Promise.resolve(),
      create: () => Promise.resolve(false),
    },
    clock: this.clock,
    log: () => undefined,
    random: () => 0.5,
    handleQuarantine: () => undefined,
    isRegistered: () => true,
  });
  readonly dispatcher = new RequestDispatcher(
    {zone: 'z', retryRatio: 0.2, retryWindowMs: 10_000},
    this.clock,
    () => 0.5,
    () => undefined,
    () => undefined,
    () => undefined,
    this.monitor,
    () => undefined,
  );
  /** What became of the last request; empty while it waits. */
  result = '';
  retryAfterMs: number | undefined;

  register(...ids: readonly string[]): void {
    const registered = ids.map(
      (id, i) => [id, registeredEndpoint(id, i, 'z', 1)] as const,
    );
    this.dispatcher.handleEndpointChange(new Map(registered), true);
  }

  report(id: string, overrides: Partial<EndpointLoad>): void {
    const load = {
      id,
      running: 0,
      queued: 0,
      group: 'g',
      open: true,
      pace: 1,
      limitPerS: undefined,
      share: undefined,
      ...overrides,
    };
    this.dispatcher.handleLoadReport(load, 1);
  }

  registration(id: string) {
    return this.dispatcher.currentCatalog().endpoints.get(id)!;
  }

  explain(leftMs = ROUTE.timeoutMs): ServiceExplanation {
    const nowMs = this.clock.elapsedMs();
    return this.dispatcher.explain(
      {
        service: 's',
        route: ROUTE,
        account: undefined,
        arrivedMs: nowMs,
        deadlineMs: nowMs + leftMs,
        triedEndpoints: new Set(),
        parts: [{id: 'p', tokens: 0}],
        promptTokens: undefined,
      },
      10,
    );
  }

  submit(leftMs = ROUTE.timeoutMs): void {
    const nowMs = this.clock.elapsedMs();
    this.result = '';
    const exchange = {
      incoming: {
        service: 's',
        route: ROUTE,
        account: undefined,
        arrivedMs: nowMs,
        metadata: {requestId: '', sharedParts: ['p'], sharedTokens: [0]},
      },
      deadlineMs: nowMs + leftMs,
      triedEndpoints: new Set<string>(),
      hasEnded: false,
      refuse: (reason: string, retryAfterMs?: number) => {
        this.result = reason;
        this.retryAfterMs = retryAfterMs;
      },
      send: ({id}: {readonly id: string}) => {
        this.result = `sent to ${id}`;
      },
    };
    this.dispatcher.submit(exchange as unknown as Exchange);
  }
}

const SHORT_MS = ROUTE.timeoutMs / 2;

describe('explanation of a wait or refusal', () => {
  const cases: readonly {
    readonly decision: ServiceExplanation['decision'];
    readonly reason: string;
    readonly when: string;
    readonly prepare: (f: PlacementFixture) => void | Promise<void>;
    readonly leftMs?: number;
  }[] = [
    {
      decision: 'refuse',
      reason: 'no endpoint',
      when: 'none is registered',
      prepare: () => undefined,
    },
    {
      decision: 'refuse',
      reason: 'no endpoint',
      when: 'the groups of all are broken',
      prepare: f => {
        f.register('a');
        f.report('a', {open: false});
      },
    },
    {
      decision: 'refuse',
      reason: 'no endpoint',
      when: 'all want a pause',
      prepare: f => {
        f.register('a');
        f.dispatcher.reportPause(f.registration('a'), 300);
      },
    },
    {
      decision: 'wait',
      reason: 'no endpoint',
      when: 'the caller cannot return in time',
      prepare: f => {
        f.register('a');
        f.report('a', {open: false});
      },
      leftMs: SHORT_MS,
    },
    {
      decision: 'wait',
      reason: 'no room',
      when: 'all endpoints are full',
      prepare: f => {
        f.register('a');
        f.submit();
      },
    },
    {
      decision: 'wait',
      reason: 'others wait',
      when: 'a slot is free that another request will get',
      prepare: f => {
        f.register('a');
        f.report('a', {running: 1});
        f.submit();
        f.report('a', {running: 0, share: 1});
      },
    },
    {
      decision: 'refuse',
      reason: 'stopping',
      when: 'the process ends before the deadline',
      prepare: f => {
        f.register('a');
        f.dispatcher.stopBy(f.clock.elapsedMs());
        f.clock.nowMs += 1;
      },
    },
    {
      decision: 'refuse',
      reason: 'prompt part quarantined',
      when: 'endpoints crashed under it',
      prepare: async f => {
        f.register('a');
        const crashes = [0, 1_000, 2_000].map(atMs => {
          const endpoint = `e${atMs}`;
          const prompts = [['s/p']];
          const crash = {kind: 'crash' as const, endpoint, atMs, prompts};
          return [endpoint, crash] as const;
        });
        f.monitor.handleRecords(new Map(crashes), true);
        await f.clock.run(100);
      },
    },
  ];
  for (const {decision, reason, when, prepare, leftMs} of cases) {
    it(`is what happens: ${decision}, ${reason}, when ${when}`, async () => {
      const fixture = new PlacementFixture();
      await prepare(fixture);
      const explained = fixture.explain(leftMs);
      expect(explained).to.include({decision, reason});
      fixture.submit(leftMs);
      expect(fixture.result).to.equal(decision === 'wait' ? '' : reason);
      const {retryAfterMs} = explained;
      if (decision === 'wait') {
        expect(explained.waitMs).to.be.above(0);
      } else if (retryAfterMs) {
        const {fromMs, toMs} = retryAfterMs;
        expect(fixture.retryAfterMs).to.be.within(fromMs, toMs);
      } else {
        expect(fixture.retryAfterMs).to.equal(undefined);
      }
    });
  }

  it('names what excludes each endpoint', () => {
    const fixture = new PlacementFixture();
    const exclusions: Readonly<Record<string, string | undefined>> = {
      best: undefined,
      leaving: 'leaving',
      paused: 'pause',
      replaced: 'replaced',
      broken: 'group broken',
      avoided: 'avoided',
      full: 'full',
      limited: 'rate',
      slow: 'slow',
      shareless: 'no share',
    };
    const {dispatcher} = fixture;
    fixture.register(...Object.keys(exclusions));
    for (const id of Object.keys(exclusions)) {
      fixture.report(id, {
        group: id,
        share: id === 'shareless' ? 0 : 1,
        open: id !== 'broken',
        pace: id === 'slow' ? 2 : 1,
        running: id === 'full' ? 1 : 0,
        // One request in a long time, of which this gateway's turn is not now.
        limitPerS: id === 'limited' ? 0.1 : undefined,
      });
    }
    dispatcher.reportLeaving(fixture.registration('leaving'));
    dispatcher.reportPause(fixture.registration('paused'), 1_000);
    dispatcher.reportMisdirected('replaced');
    dispatcher.releaseEndpoint({} as Exchange, 'avoided', 'fails');
    const {candidates} = fixture.explain();
    const found = candidates.map(c => [c.endpoint, c.excludedBy] as const);
    expect(Object.fromEntries(found)).to.eql(exclusions);
  });
});

describe('explanation of an admission', () => {
  const ACCOUNT: Account = {name: 'a', keys: ['k'], priority: undefined};
  const CONFIGURATION: Configuration = {
    version: 1,
    routes: [
      {...ROUTE, public: false},
      {...ROUTE, prefix: '/unused/', split: []},
    ],
    services: [],
    requiresKeys: true,
    accounts: [ACCOUNT],
    limits: {bodyBytes: 1, idleTimeoutMs: 1},
  };
  const instant = {elapsedMs: 0, wallMs: 0};
  const catalog = applyOperatorChange(
    emptyCatalog,
    {configuration: CONFIGURATION, zones: new Map()},
    true,
    instant,
  );
  const normal = {
    isSettled: true,
    catalog,
    configurationAgeMs: 0,
    finalRefusalAgeMs: 2_000,
    maxConfigurationAgeMs: 3_500,
    stopping: false,
  };
  const request = {host: ROUTE.host, target: '/x', readAccount: () => ACCOUNT};
  const stranger = {...request, readAccount: () => undefined};
  const old = {...normal, configurationAgeMs: 3_000};
  const tooOld = {...normal, configurationAgeMs: 4_000};
  const unsettled = {...normal, isSettled: false};
  const cases = [
    {state: {...normal, stopping: true}, request, is: '503 stopping'},
    {
      state: {...normal, catalog: emptyCatalog},
      request,
      is: '503 no configuration',
    },
    {
      state: normal,
      request: {...request, host: 'other'},
      is: '404 no such route',
    },
    {
      state: old,
      request: {...request, host: 'other'},
      is: '503 configuration may be old',
    },
    {
      state: {...old, finalRefusalAgeMs: 3_000},
      request: {...request, host: 'other'},
      is: '404 no such route',
    },
    {state: old, request: stranger, is: '503 configuration may be old'},
    {
      state: unsettled,
      request: {...request, host: 'other'},
      is: '503 configuration not settled',
    },
    {state: unsettled, request: stranger, is: '503 configuration not settled'},
    {state: tooOld, request, is: '503 keys cannot be checked'},
    {state: normal, request: stranger, is: '401 unknown key'},
    {
      state: normal,
      request: {...request, target: '/unused/x'},
      is: '503 no service',
    },
  ];
  for (const {state, request, is} of cases) {
    it(`names the refusal: ${is}`, () => {
      const explained = explainRoute(admitRequest(state, request), () => {
        throw new Error('no service is asked');
      });
      expect(explained.decision).to.equal('refuse');
      expect(`${explained.status} ${explained.reason}`).to.equal(is);
    });
  }

  it('names each service of a route with its share', () => {
    const split = [
      {service: 's', weight: 3},
      {service: 't', weight: 1},
      {service: 'unused', weight: 0},
    ];
    const admission = admitRequest(normal, request);
    if (admission.kind !== 'admit') throw new Error('not admitted');
    const route = {...admission.route, split};
    const {services} = explainRoute({...admission, route}, service => ({
      service,
      decision: 'send',
      waiting: 0,
      eligible: 0,
      candidates: [],
      omitted: 0,
    }));
    expect(services.map(s => [s.service, s.share])).to.eql([
      ['s', 0.75],
      ['t', 0.25],
    ]);
  });
});
