/**
 * The retry budget that all gateways of a deployment share.
 *
 * Guards against gateways that together send more retries than the deployment
 * may, although each keeps to its own budget.
 */
import {expect} from 'chai';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {VirtualClock} from '../bench/support/virtualclock';
import {RequestDispatcher} from '../src/gateway/dispatcher';
import {Exchange} from '../src/gateway/exchange';
import {Endpoint, Route} from '../src/gateway/model';

const GATEWAYS = 44;
const RETRY_RATIO = 0.2;
const RETRY_SLACK = 242;
const WINDOW_MS = 10_000;
const REPORT_INTERVAL_MS = 250;
const ATTEMPT_MS = 5;
const MAX_ATTEMPTS = 4;
const SLOTS = 100;
const ENDPOINT_IDS = Array.from({length: 12}, (_, i) => `e${i}`);

const ROUTE: Route = {
  name: 'r',
  host: 'desk.example',
  prefix: '/',
  kind: 'stream',
  timeoutMs: 8_000,
  targetLatencyMs: 400,
  targetGapMs: 120,
  priority: 1,
  split: [{service: 's', weight: 1}],
  maxAttempts: 2,
  public: true,
  resumable: true,
};

/** Gateways whose requests all fail while `failing` is true. */
class DeploymentModel {
  readonly clock = new VirtualClock();
  readonly requestsMs: number[] = [];
  readonly retriesMs: number[] = [];
  failing = true;
  /** Whether the endpoints are reported as full. */
  full = false;
  /** Number of gateways that the reports to a gateway state. */
  reported: (gateway: number) => number = () => GATEWAYS;
  private readonly random: () => number;
  private readonly gateways: RequestDispatcher[] = [];

  constructor(
    seed: number,
    /** Mean time between two requests at one gateway. */
    private readonly requestIntervalMs = 150,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    for (let i = 0; i < GATEWAYS; i++) {
      this.restart(i);
      this.scheduleRequest(i);
    }
    this.clock.after(0, () => this.report());
  }

  restart(gateway: number): void {
    const dispatcher = new RequestDispatcher(
      {
        zone: 'z',
        retryRatio: RETRY_RATIO,
        retryWindowMs: WINDOW_MS,
      },
      this.clock,
      () => undefined,
      () => undefined,
      () => undefined,
    );
    const endpoints = ENDPOINT_IDS.map((id, i): [string, Endpoint] => [
      id,
      {
        id,
        service: 's',
        address: `10.0.0.${i}:80`,
        zone: 'z',
        slots: SLOTS,
        draining: false,
        coldMs: 0,
      },
    ]);
    dispatcher.handleEndpointChange(new Map(endpoints), true);
    this.gateways[gateway] = dispatcher;
  }

  async runUntil(endMs: number): Promise<void> {
    await this.clock.run(endMs);
  }

  /** Largest number of retries in a window beyond what is allowed in it. */
  worstExcess(): number {
    const {requestsMs, retriesMs} = this;
    const countIn = (times: readonly number[], endMs: number) =>
      times.filter(t => t > endMs - WINDOW_MS && t <= endMs).length;
    let worst = -Infinity;
    for (const endMs of new Set(retriesMs)) {
      const requests = Math.max(
        ...[0, WINDOW_MS / 2, WINDOW_MS].map(earlierMs =>
          countIn(requestsMs, endMs - earlierMs),
        ),
      );
      const allowed = RETRY_RATIO * requests + RETRY_SLACK;
      worst = Math.max(worst, countIn(retriesMs, endMs) - allowed);
    }
    return worst;
  }

  private report(): void {
    this.gateways.forEach((dispatcher, i) => {
      for (const id of ENDPOINT_IDS) {
        const running = this.full ? SLOTS + 1 : 0;
        const load = {running, queued: 0, group: 'g', open: true, pace: 1};
        dispatcher.handleLoadReport({id, ...load}, this.reported(i));
      }
    });
    this.clock.after(REPORT_INTERVAL_MS, () => this.report());
  }

  private scheduleRequest(gateway: number): void {
    const ms = 2 * this.requestIntervalMs * this.random();
    this.clock.after(ms, () => {
      this.submit(this.gateways[gateway]!);
      this.scheduleRequest(gateway);
    });
  }

  private submit(dispatcher: RequestDispatcher): void {
    const arrivedMs = this.clock.elapsedMs();
    this.requestsMs.push(arrivedMs);
    const finish = () => {
      exchange.hasEnded = true;
      const result = {outcome: '', status: 0, tries: []};
      dispatcher.finishExchange(exchange as unknown as Exchange, result);
    };
    const exchange = {
      incoming: {
        service: 's',
        route: ROUTE,
        account: undefined,
        arrivedMs,
        metadata: {requestId: ''},
      },
      deadlineMs: arrivedMs + ROUTE.timeoutMs,
      triedEndpoints: new Set<string>(),
      hasEnded: false,
      refuse: finish,
      send: ({id}: Endpoint) => {
        if (exchange.triedEndpoints.size > 0) {
          this.retriesMs.push(this.clock.elapsedMs());
        }
        exchange.triedEndpoints.add(id);
        this.clock.after(ATTEMPT_MS, () => {
          dispatcher.releaseEndpoint(id, true);
          const sent = exchange as unknown as Exchange;
          const isRetried =
            this.failing &&
            exchange.triedEndpoints.size < MAX_ATTEMPTS &&
            dispatcher.takeRetry(sent);
          if (isRetried) dispatcher.place(sent);
          else finish();
        });
      },
    };
    dispatcher.submit(exchange as unknown as Exchange);
  }
}

describe('retry budget of all gateways together', () => {
  it('is kept by gateways that have just started', async () => {
    const model = new DeploymentModel(1);
    model.reported = () => 0;
    await model.runUntil(12_000);
    expect(model.worstExcess()).to.be.at.most(0);
  });

  it('is kept when a sidecar that has just started hears few gateways', async () => {
    const model = new DeploymentModel(2);
    model.failing = false;
    await model.runUntil(12_000);
    model.failing = true;
    model.reported = () => 1;
    await model.runUntil(20_000);
    expect(model.worstExcess()).to.be.at.most(0);
  });

  it('is kept on both sides of a cut', async () => {
    const model = new DeploymentModel(3);
    model.failing = false;
    await model.runUntil(12_000);
    model.failing = true;
    const cutOff = GATEWAYS / 4;
    model.reported = i => (i < cutOff ? cutOff : GATEWAYS - cutOff);
    await model.runUntil(25_000);
    expect(model.worstExcess()).to.be.at.most(0);
  });

  it('is kept by gateways that restart', async () => {
    const model = new DeploymentModel(4);
    await model.runUntil(17_000);
    for (let i = 0; i < GATEWAYS; i++) model.restart(i);
    await model.runUntil(24_000);
    expect(model.worstExcess()).to.be.at.most(0);
  });

  it('is kept when retries that waited are sent together', async () => {
    const model = new DeploymentModel(5);
    await model.runUntil(12_000);
    for (let i = 0; i < 8; i++) {
      model.full = !model.full;
      await model.runUntil(12_000 + 1_500 * (i + 1));
    }
    expect(model.worstExcess()).to.be.at.most(0);
  });

  it('leaves retries to gateways that get few requests', async () => {
    const model = new DeploymentModel(6, 2_500);
    await model.runUntil(60_000);
    const share = model.retriesMs.length / model.requestsMs.length;
    expect(share).to.be.at.least(RETRY_RATIO * 0.8);
  });
});
