/**
 * What a gateway tells its crash monitor about the ends of attempts.
 *
 * Guards against attempts at an endpoint that leaves, was registered no longer or whose
 * group had stopped that count against their prompts, and against reports of sidecars
 * that are not taken as signs of life.
 */
import {expect} from 'chai';
import {VirtualClock} from '../bench/support/virtualclock';
import {CrashMonitor} from '../src/gateway/crashmonitor';
import {RequestDispatcher} from '../src/gateway/dispatcher';
import {Exchange} from '../src/gateway/exchange';
import {CrashRecord, Endpoint} from '../src/gateway/model';
import {registeredEndpoint, ROUTE} from './deploymentmodel';

const ENDPOINT = registeredEndpoint('e', 1, 'z', 8);

/** A request with one shared part. */
const EXCHANGE = {
  incoming: {
    service: 's',
    route: ROUTE,
    metadata: {requestId: 'r', sharedParts: ['a'], sharedTokens: [1]},
  },
} as unknown as Exchange;

describe('end of an attempt', () => {
  let clock: VirtualClock;
  let records: Map<string, CrashRecord>;
  let dispatcher: RequestDispatcher;
  let monitor: CrashMonitor;

  beforeEach(() => {
    clock = new VirtualClock();
    records = new Map();
    monitor = new CrashMonitor({
      instance: 'g',
      store: {
        nowMs: () => clock.elapsedMs(),
        write: written => {
          written.forEach((record, key) => records.set(key, record));
          return Promise.resolve();
        },
        remove: () => Promise.resolve(),
        create: () => Promise.resolve(false),
      },
      clock,
      log: () => undefined,
      random: () => 0.5,
      handleQuarantine: () => undefined,
      isRegistered: endpoint => dispatcher.isRegistered(endpoint),
    });
    dispatcher = new RequestDispatcher(
      {zone: 'z', retryRatio: 1, retryWindowMs: 10_000},
      clock,
      () => 0.5,
      () => undefined,
      () => undefined,
      () => undefined,
      monitor,
      () => undefined,
    );
    register(ENDPOINT);
    report(true);
  });

  function register(endpoint: Endpoint | undefined): void {
    dispatcher.handleEndpointChange(new Map([['e', endpoint]]), false);
  }

  function report(open: boolean): void {
    dispatcher.handleLoadReport(
      {
        id: 'e',
        running: 0,
        queued: 0,
        group: 'g',
        open,
        pace: 1,
        limitPerS: undefined,
        share: undefined,
      },
      1,
    );
  }

  async function wait(ms: number): Promise<void> {
    clock.after(ms, () => undefined);
    await clock.run(clock.elapsedMs() + ms);
  }

  /** Ends an attempt now, and its process soon after. */
  async function endWithProcess(): Promise<void> {
    const toMs = clock.elapsedMs();
    const span = {sentMs: toMs - 50, fromMs: toMs, toMs, isCut: false};
    dispatcher.reportEnd(EXCHANGE, ENDPOINT, {
      ...span,
      involvement: 'answered',
    });
    await wait(50);
    monitor.handleProcessGone(ENDPOINT.address);
    await wait(100);
  }

  it('counts if the process ends with it', async () => {
    await wait(500);
    await endWithProcess();
    expect([...records.values()]).to.have.nested.property('[0].prompts[0][0]');
  });

  const excuses: Readonly<Record<string, () => void>> = {
    'the endpoint leaves': () => register({...ENDPOINT, draining: true}),
    'its registration has gone': () => register(undefined),
    'its group has stopped': () => report(false),
  };
  for (const [reason, excuse] of Object.entries(excuses)) {
    it(`does not count if ${reason}`, async () => {
      await wait(500);
      excuse();
      await endWithProcess();
      expect(records).to.be.empty;
    });
  }

  for (const isReported of [true, false]) {
    const title = isReported
      ? 'does not count if the sidecar has reported the process since'
      : 'counts if another process registers, without such a report';
    it(title, async () => {
      await wait(500);
      const toMs = clock.elapsedMs();
      const span = {sentMs: toMs - 50, fromMs: toMs, toMs, isCut: false};
      const involvement = 'answered';
      dispatcher.reportEnd(EXCHANGE, ENDPOINT, {...span, involvement});
      await wait(1_200);
      if (isReported) report(true);
      await wait(1_800);
      const other = {...ENDPOINT, id: 'f'};
      dispatcher.handleEndpointChange(new Map([['f', other]]), false);
      await wait(100);
      expect(records.size).to.equal(isReported ? 0 : 1);
    });
  }
});
