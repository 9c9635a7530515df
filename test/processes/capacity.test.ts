/**
 * Tests the capacity control of real sidecar processes: one of a service
 * behind a real entry, one of a model with a fake entry.
 *
 * Guards against an engine that restarts cold being given as many requests as
 * before, and against a sidecar that accepts new work or cuts off running work
 * after SIGTERM.
 */
import {expect} from 'chai';
import {Deployment, keyHash} from '../../standins/deployment';
import {expectedAnswer, EngineStandin} from '../../standins/engine';
import {BinaryProcess, waitUntil} from '../../standins/binaryprocess';
import {ServiceStandin} from '../../standins/service';
import {systemClock} from '../../src/kernel/clock';
import {Timeline} from '../../src/observe/timeline';
import {RESTART_IDLE_MS} from '../../src/sidecar/callstats';
import {Connection} from '../../src/wire/client';
import {
  EntryPayload,
  Grant,
  Load,
  Offer,
  Refuse,
  SidecarMessage,
} from '../../src/wire/messages';
import {Channel} from '../../src/wire/server';

const COLD_CONCURRENT = 4;
const MAX_CONCURRENT = 16;
const OUTPUT_TOKENS = 40;
const RULES = 'model valve  # Jana';

/** An entry's link to a sidecar, with a record of what it received. */
class FakeEntry {
  readonly refusals: Refuse[] = [];
  readonly answers = new Map<string, string>();
  readonly failedRequests: string[] = [];
  readonly finished: string[] = [];
  load: Load | undefined;
  /** Called with each grant; by default it is used at once. */
  onGrant = (grant: Grant) => this.start(grant);
  onEnded: () => void = () => {};
  private channel: Channel<EntryPayload> | undefined;
  private readonly connection: Connection<SidecarMessage, EntryPayload>;
  private count = 0;

  constructor(deployment: Deployment, port: number) {
    const source = {instance: 'fake-entry', zone: 'sk-west-1'};
    this.connection = new Connection<SidecarMessage, EntryPayload>(
      `127.0.0.1:${port}`,
      'Link',
      {...deployment.peers, heartbeatMs: 1_000},
      systemClock,
      new Timeline(systemClock, source, 100),
      {
        opened: channel => (this.channel = channel),
        message: message => this.handleMessage(message),
        lost: () => (this.channel = undefined),
      },
    );
  }

  close(): void {
    this.connection.close();
  }

  offer(): string {
    this.count += 1;
    const requestId = `request-${this.count}`;
    const offer: Offer = {
      requestId,
      attempt: 1,
      account: 'a',
      caller: 'x',
      targetKind: 'model',
      target: 'valve',
      promptTokens: 4,
      maxOutputTokens: OUTPUT_TOKENS,
      prefixHashes: [],
      priority: 5,
      deadlineMs: Date.now() + 30_000,
      idempotent: true,
    };
    this.channel?.send({kind: 'offer', offer});
    return requestId;
  }

  start({grantId, requestId, attempt}: Grant): void {
    const body = Buffer.from(requestId);
    const call = {method: 'POST', path: '/', headers: [], body};
    const offsets = {resumeOffset: 0, creditBytes: 1_000_000};
    const start = {grantId, requestId, attempt, ...call, ...offsets};
    this.channel?.send({kind: 'start', start});
  }

  private handleMessage(message: SidecarMessage): void {
    switch (message.kind) {
      case 'grant':
        return this.onGrant(message.grant);
      case 'refuse':
        this.refusals.push(message.refuse);
        return;
      case 'load':
        this.load = message.load;
        return;
      case 'failed':
        this.failedRequests.push(message.failed.requestId);
        return this.onEnded();
      case 'frames':
        for (const {requestId, data, end} of message.frames.frames) {
          const before = this.answers.get(requestId) ?? '';
          this.answers.set(requestId, before + Buffer.from(data).toString());
          if (!end) continue;
          this.finished.push(requestId);
          this.onEnded();
        }
    }
  }
}

describe('the capacity of a service', () => {
  const deployment = new Deployment();
  const service = new ServiceStandin();
  const KEY = 'key-of-moss';
  const headers = {authorization: `Bearer ${KEY}`};
  let serviceUrl = '';
  let stockUrl = '';

  before(async () => {
    const account = `account moss key=${keyHash(KEY)}  # Kari`;
    await deployment.start([account, 'service stock  # Kari'].join('\n'));
    service.lookupMs = 10;
    serviceUrl = await service.start();
    await deployment.addSidecar({
      instance: 'stock-1',
      zone: 'oslo-1',
      kind: 'service',
      name: 'stock',
      url: serviceUrl,
      coldConcurrent: COLD_CONCURRENT,
      maxConcurrent: MAX_CONCURRENT,
      targetStepMs: 1_000,
    });
    const {url} = await deployment.addEntry('entry-1', 'oslo-1');
    const path = '/services/stock/stock/valve';
    await deployment.waitUntilReachable(url, path, {headers});
    stockUrl = url + path;
  });

  after(async () => {
    await deployment.stop();
    service.stop();
  });

  it('grows while calls are fast and is cold again after a time without calls', async () => {
    const ask = async () => (await fetch(stockUrl, {headers})).arrayBuffer();
    const callers = (until: () => boolean) =>
      Array.from({length: 2 * MAX_CONCURRENT}, async () => {
        while (!until()) await ask();
      });
    const isWarm = () => service.peak === MAX_CONCURRENT;
    await Promise.all(callers(isWarm));
    // A restart of the service would go unnoticed while there are no calls.
    await new Promise(done => setTimeout(done, 2 * RESTART_IDLE_MS));
    service.peak = 0;
    await Promise.all(Array.from({length: 2 * MAX_CONCURRENT}, ask));
    expect(service.peak).to.equal(COLD_CONCURRENT);
  });

  it('refuses calls while the service is down and accepts them when it is back', async () => {
    service.stop();
    const isRefused = async () => {
      const answer = await fetch(stockUrl, {headers});
      await answer.arrayBuffer();
      return answer.headers.get('boragemill-run') === 'not-run';
    };
    await waitUntil(isRefused, 'calls to be refused before they are sent');
    await service.start(Number(new URL(serviceUrl).port));
    const isAnswered = async () => !(await isRefused());
    await waitUntil(isAnswered, 'calls to be accepted again');
  });
});

describe('the capacity of a real sidecar', () => {
  let deployment: Deployment;
  let engine: EngineStandin;
  let sidecar: BinaryProcess;
  let entry: FakeEntry;

  beforeEach(async () => {
    deployment = new Deployment();
    await deployment.start(RULES);
    engine = new EngineStandin({
      coldConcurrent: COLD_CONCURRENT,
      outputTokens: OUTPUT_TOKENS,
      warmSteps: 50,
    });
    sidecar = await deployment.addSidecar({
      instance: 'valve-1',
      zone: 'sk-west-1',
      kind: 'model',
      name: 'valve',
      url: await engine.start(),
      coldConcurrent: COLD_CONCURRENT,
      maxConcurrent: MAX_CONCURRENT,
      targetStepMs: 20,
    });
    const {grpc} = await sidecar.waitForPorts();
    entry = new FakeEntry(deployment, grpc!);
    await waitUntil(() => entry.load !== undefined, 'the first load report');
  });

  afterEach(async () => {
    entry.close();
    await deployment.stop();
    engine.stop();
  });

  it('gives an engine that restarts under load only what the cold bound allows', async () => {
    entry.onEnded = () => void entry.offer();
    for (let i = 0; i < 2 * MAX_CONCURRENT; i += 1) entry.offer();
    await waitUntil(
      () => entry.load!.bound === MAX_CONCURRENT,
      'the bound to grow',
    );
    expect(engine.overloadedSteps).to.equal(0);

    engine.restart();
    const restartedMs = Date.now();
    await waitUntil(() => entry.load!.cold, 'the restart to be noticed');
    expect(Date.now() - restartedMs).to.be.below(1_000);
    await waitUntil(
      () => entry.load!.bound === MAX_CONCURRENT,
      'the bound to grow again',
    );
    expect(engine.overloadedSteps).to.equal(0);
    expect(entry.failedRequests).to.not.be.empty;
  });

  it('refuses work within a second of SIGTERM and finishes running requests', async () => {
    const running = Array.from({length: COLD_CONCURRENT}, () => entry.offer());
    await waitUntil(
      () => entry.answers.size === COLD_CONCURRENT,
      'all requests to stream',
    );
    const waiting = entry.offer();
    sidecar.kill('SIGTERM');
    const signalledMs = Date.now();
    await waitUntil(
      () => entry.load!.leaving,
      'the entry to receive a leaving report',
    );
    expect(Date.now() - signalledMs).to.be.below(1_000);
    await waitUntil(
      () => entry.refusals.length === 1,
      'the offer to be refused',
    );
    expect(entry.refusals[0]!.requestId).to.equal(waiting);
    expect(entry.refusals[0]!.reason).to.equal('leaving');
    expect(await sidecar.exited).to.equal(0);
    for (const id of running) {
      expect(entry.answers.get(id)).to.equal(expectedAnswer(id, OUTPUT_TOKENS));
    }
    expect(engine.requestsStarted).to.equal(COLD_CONCURRENT);
  });
});
