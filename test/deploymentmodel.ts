/**
 * Model of a deployment: gateways that share endpoints, callers that send
 * requests to them, and sidecars that report the endpoints' loads.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {VirtualClock} from '../bench/support/virtualclock';
import {CrashMonitor} from '../src/gateway/crashmonitor';
import {DispatcherSettings, RequestDispatcher} from '../src/gateway/dispatcher';
import {Exchange} from '../src/gateway/exchange';
import {Clock, Timer} from '../src/kernel/clock';
import {Log} from '../src/observe/log';
import {Endpoint, EndpointLoad, Route} from '../src/gateway/model';

export const RETRY_RATIO = 0.2;
export const RETRY_WINDOW_MS = 10_000;

export const REPORT_INTERVAL_MS = 250;
export const MAX_ATTEMPTS = 4;

export const ROUTE: Route = {
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

/** A gateway's dispatcher whose crash records go nowhere. */
export function createDispatcher(gateway: {
  readonly instance: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly random: () => number;
  readonly log?: Log;
  readonly onRun?: (exchange: Exchange, beganMs: number) => void;
  readonly waitsByUrgency?: boolean;
  readonly cachedPrompts?: DispatcherSettings['cachedPrompts'];
}): RequestDispatcher {
  const {instance, zone, clock, random, log = () => undefined} = gateway;
  const {waitsByUrgency = true} = gateway;
  return new RequestDispatcher(
    {
      zone,
      retryRatio: RETRY_RATIO,
      retryWindowMs: RETRY_WINDOW_MS,
      waitsByUrgency,
      cachedPrompts: gateway.cachedPrompts,
    },
    clock,
    random,
    log,
    () => undefined,
    () => undefined,
    new CrashMonitor({
      instance,
      store: {
        nowMs: () => undefined,
        write: () => Promise.resolve(),
        remove: () => Promise.resolve(),
        create: () => Promise.resolve(false),
      },
      clock,
      log: () => undefined,
      random,
      handleQuarantine: () => undefined,
      isRegistered: () => true,
    }),
    () => undefined,
    gateway.onRun,
  );
}

/** Registration of the endpoint with the given index. */
export function registeredEndpoint(
  id: string,
  index: number,
  zone: string,
  slots: number,
): Endpoint {
  return {
    id,
    service: 's',
    address: `10.0.0.${index}:80`,
    zone,
    slots,
    draining: false,
    coldMs: 0,
    startedMs: undefined,
  };
}

/** How an endpoint treats a request. */
export interface Treatment {
  /** Time after which the attempt ends. */
  readonly ms: number;
  /**
   * `failed`: the request may be sent again. `unanswered`: its caller has left
   * without a byte of an answer.
   */
  readonly outcome: 'answered' | 'failed' | 'unanswered';
}

/** What a gateway learns about an endpoint from an attempt. */
const EVIDENCE = {
  answered: 'works',
  failed: 'works',
  unanswered: 'none',
} as const;

export interface ModelSettings {
  readonly seed: number;
  readonly gateways: number;
  readonly endpoints: readonly string[];
  readonly slots: number;
  /** Mean time between two requests at one gateway. */
  readonly requestIntervalMs: number;
  readonly treat: (endpoint: string, nowMs: number) => Treatment;
  /** Load that the endpoint's sidecar reports; undefined if it is silent. */
  readonly report: (
    endpoint: string,
    nowMs: number,
    running: number,
  ) => Pick<EndpointLoad, 'running'> | undefined;
  /** Number of gateways that the reports to a gateway state. */
  readonly reportedGateways: (gateway: number, nowMs: number) => number;
}

export interface Arrival {
  readonly endpoint: string;
  readonly ms: number;
  readonly isRetry: boolean;
}

export class DeploymentModel {
  readonly clock = new VirtualClock();
  /** Times at which callers sent requests. */
  readonly requestsMs: number[] = [];
  /** Requests that reached an endpoint. */
  readonly arrivals: Arrival[] = [];
  /** Requests that were still at an endpoint when their callers left. */
  readonly abandoned: Arrival[] = [];
  private readonly running = new Map<string, number>();
  private readonly gateways: RequestDispatcher[] = [];
  private readonly random: () => number;

  constructor(private readonly settings: ModelSettings) {
    const generator = xoroshiro128plus(settings.seed);
    this.random = () => uniformFloat64(generator);
    for (let i = 0; i < settings.gateways; i++) {
      this.restart(i);
      this.scheduleRequest(i);
    }
    this.clock.after(0, () => this.report());
  }

  /** Replaces a gateway by a new process. */
  restart(gateway: number): void {
    const dispatcher = createDispatcher({
      instance: `g${gateway}`,
      zone: 'z',
      clock: this.clock,
      random: this.random,
    });
    const {endpoints, slots} = this.settings;
    const registered = endpoints.map((id, i): [string, Endpoint] => [
      id,
      registeredEndpoint(id, i, 'z', slots),
    ]);
    dispatcher.handleEndpointChange(new Map(registered), true);
    this.gateways[gateway] = dispatcher;
  }

  async runUntil(endMs: number): Promise<void> {
    await this.clock.run(endMs);
  }

  private report(): void {
    const {endpoints, report, reportedGateways} = this.settings;
    const nowMs = this.clock.elapsedMs();
    for (const id of endpoints) {
      const load = report(id, nowMs, this.running.get(id) ?? 0);
      if (!load) continue;
      const whole = {
        id,
        queued: 0,
        group: 'g',
        open: true,
        pace: 1,
        limitPerS: undefined,
        share: undefined,
        ...load,
      };
      this.gateways.forEach((dispatcher, i) =>
        dispatcher.handleLoadReport(whole, reportedGateways(i, nowMs)),
      );
    }
    this.clock.after(REPORT_INTERVAL_MS, () => this.report());
  }

  private scheduleRequest(gateway: number): void {
    const ms = 2 * this.settings.requestIntervalMs * this.random();
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
    let end: Timer | undefined;
    let sentMs = 0;
    const exchange = {
      incoming: {
        service: 's',
        route: ROUTE,
        account: undefined,
        arrivedMs,
        metadata: {requestId: '', sharedParts: []},
      },
      deadlineMs: arrivedMs + ROUTE.timeoutMs,
      triedEndpoints: new Set<string>(),
      hasEnded: false,
      currentEndpoint: undefined as string | undefined,
      refuse: finish,
      leaveSilentEndpoint: () => {
        const id = exchange.currentEndpoint;
        const waitedMs = this.clock.elapsedMs() - sentMs;
        const sent = exchange as unknown as Exchange;
        if (id === undefined || waitedMs < ROUTE.targetLatencyMs) return;
        if (exchange.triedEndpoints.size >= ROUTE.maxAttempts) return;
        if (!dispatcher.takeRetry(sent)) return;
        end?.cancel();
        this.countRunning(id, -1);
        exchange.currentEndpoint = undefined;
        dispatcher.releaseEndpoint(sent, id, 'none');
        dispatcher.place(sent);
      },
      send: ({id}: Endpoint) => {
        const isRetry = exchange.triedEndpoints.size > 0;
        exchange.triedEndpoints.add(id);
        exchange.currentEndpoint = id;
        const nowMs = this.clock.elapsedMs();
        sentMs = nowMs;
        const arrival = {endpoint: id, ms: nowMs, isRetry};
        this.arrivals.push(arrival);
        this.countRunning(id, 1);
        const {ms, outcome} = this.settings.treat(id, nowMs);
        end = this.clock.after(ms, () => {
          this.countRunning(id, -1);
          exchange.currentEndpoint = undefined;
          if (outcome === 'unanswered') this.abandoned.push(arrival);
          const sent = exchange as unknown as Exchange;
          dispatcher.releaseEndpoint(sent, id, EVIDENCE[outcome]);
          const isRetried =
            outcome === 'failed' &&
            exchange.triedEndpoints.size < MAX_ATTEMPTS &&
            dispatcher.takeRetry(sent);
          if (isRetried) dispatcher.place(sent);
          else finish();
        });
      },
    };
    dispatcher.submit(exchange as unknown as Exchange);
  }

  private countRunning(endpoint: string, change: number): void {
    const running = (this.running.get(endpoint) ?? 0) + change;
    this.running.set(endpoint, running);
  }
}
