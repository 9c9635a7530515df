/**
 * The tasks around the usage reports: a gateway's, which counts requests and sends
 * its counts to the holders of duties, and the one beside a lease, which reports
 * them to the platform while the lease is valid.
 */
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {Log} from '../observe/log';
import {MetricsRegistry} from '../observe/prometheus';
import {
  DutyHolders,
  HeldDuty,
  holderHosts,
  noDutyHolders,
  noteHolder,
} from './dutyholders';
import {
  countRun,
  emptyUsageCounts,
  openCounts,
  settleCounts,
  UsageCounts,
} from './usagecounts';
import {
  packUsage,
  ServiceDemand,
  UsageMessage,
  UsageSender,
  ZoneLoad,
} from './usagemessage';
import {
  AccountCounts,
  CallOutcome,
  decideUsage,
  newUsageReporting,
  trueTimeMs,
  UsageEffect,
  UsageInput,
  UsageMoment,
  UsageReporting,
} from './usagereport';
import {UsageTimes, windowAt} from './usagewindows';

/** Interval between the messages of a gateway to a holder, in milliseconds. */
const SEND_INTERVAL_MS = 1_000;

/** Interval between two looks at what is to be reported, in milliseconds. */
const REPORT_CHECK_INTERVAL_MS = 100;

/** Windows ahead of the present one up to which an announcement is believed. */
const MAX_BEGUN_AHEAD = 1;

export interface UsageCounterDependencies {
  readonly entry: string;
  readonly zone: string;
  readonly times: UsageTimes;
  readonly clock: Clock;
  /** The store's clock; undefined before its first answer. */
  readonly storeMs: () => number | undefined;
  /** Requests of each service at this gateway. */
  readonly demand: () => readonly ServiceDemand[];
  /** Loads of the endpoints that this gateway knows. */
  readonly loads: () => readonly ZoneLoad[];
  /** Sends a datagram to the sidecar on the host. */
  readonly send: (host: string, message: UsageMessage) => void;
  readonly log: Log;
}

/** The gateway's side. */
export class UsageCounter {
  private counts: UsageCounts = emptyUsageCounts;
  private holders: DutyHolders = noDutyHolders;
  /** True time minus the store's time, as a holder stated it last. */
  private offsetMs: number | undefined;
  private begunWindow: number | undefined;
  private loggedDropped = 0;
  private readonly processStartMs: number;
  private timer: Timer | undefined;

  constructor(private readonly deps: UsageCounterDependencies) {
    this.processStartMs = deps.clock.now().getTime();
  }

  start(): void {
    this.timer = repeatEvery(this.deps.clock, SEND_INTERVAL_MS, () =>
      this.send(),
    );
  }

  stop(): void {
    this.timer?.cancel();
    // The last counts would be lost otherwise.
    this.send();
  }

  /** Requests that were not counted because of a bound. */
  get dropped(): number {
    return this.counts.dropped;
  }

  /** Counts a request that an endpoint began at this monotonic time. */
  recordRun(account: string, beganMs: number): void {
    const {clock, times} = this.deps;
    const nowStoreMs = this.deps.storeMs();
    // Before the store's first answer there is no account either.
    if (nowStoreMs === undefined) return;
    const storeMs = nowStoreMs - (clock.elapsedMs() - beganMs);
    const run = {account, storeMs};
    this.counts = countRun(this.counts, times, run, this.offsetMs);
  }

  /** Called when the sidecar on the host announces duties. */
  handleDuties(host: string, duties: readonly HeldDuty[]): void {
    const {clock} = this.deps;
    for (const held of duties) {
      const before = this.holders;
      this.holders = noteHolder(before, host, held, clock.elapsedMs());
      if (this.holders === before || held.duty !== 'usage') continue;
      this.offsetMs = held.offsetMs ?? this.offsetMs;
      this.takeBegunWindow(held.begunWindow);
    }
  }

  /** An announcement far ahead comes from a clock that was wrong. */
  private takeBegunWindow(window: number | undefined): void {
    const storeMs = this.deps.storeMs();
    if (window === undefined) return;
    if (storeMs === undefined || this.offsetMs === undefined) return;
    const current = windowAt(this.deps.times, storeMs + this.offsetMs);
    if (window > current + MAX_BEGUN_AHEAD) return;
    this.begunWindow = Math.max(window, this.begunWindow ?? window);
  }

  private send(): void {
    const {clock, times, entry, zone, log} = this.deps;
    const storeMs = this.deps.storeMs();
    if (storeMs === undefined) return;
    const {offsetMs, begunWindow} = this;
    this.counts = settleCounts(this.counts, times, storeMs, offsetMs);
    if (this.counts.dropped > this.loggedDropped) {
      const requests = this.counts.dropped - this.loggedDropped;
      this.loggedDropped = this.counts.dropped;
      log('warn', 'requests not counted: too many accounts', {requests});
    }
    const hosts = holderHosts(this.holders, clock.elapsedMs());
    if (hosts.length === 0) return;
    const sender: UsageSender = {
      entry,
      processStartMs: this.processStartMs,
      zone,
      clockOffsetMs: clock.now().getTime() - storeMs,
      begunWindow,
    };
    const counts =
      offsetMs === undefined
        ? undefined
        : openCounts(this.counts, times, storeMs + offsetMs, begunWindow);
    const {demand, loads} = this.deps;
    const messages = packUsage(sender, counts, demand(), loads());
    for (const host of hosts) {
      for (const message of messages) this.deps.send(host, message);
    }
  }
}

/** A lease on a duty, as far as its calls need it. */
export interface DutyLease {
  /** Increases when the holder changes. */
  readonly token: number;
  /** Whether it remains valid for so many milliseconds. */
  isValidFor(ms: number): boolean;
}

export interface UsageReporterDependencies {
  readonly times: UsageTimes;
  readonly clock: Clock;
  /** The store's clock; undefined before its first answer. */
  readonly storeMs: () => number | undefined;
  /** The lease on the duty while this instance holds it. */
  readonly lease: () => DutyLease | undefined;
  /** Number of gateways that subscribe to the load reports of this instance. */
  readonly gateways: () => number;
  /** Time within which a call is answered or given up, in milliseconds. */
  readonly callTimeoutMs: number;
  /**
   * Reports a window to the platform. `refused` means that it does not accept
   * the token or the report; a call that was limited is `unknown`, so that it is
   * repeated.
   */
  readonly report: (
    window: number,
    counts: AccountCounts,
    token: number,
  ) => Promise<CallOutcome>;
  readonly metrics: Pick<MetricsRegistry, 'increment' | 'registerGauge'>;
  readonly log: Log;
}

/** The side of the instance that may hold the duty. */
export class UsageReporter {
  private state: UsageReporting;
  private timer: Timer | undefined;
  private reportedMs: number | undefined;

  constructor(private readonly deps: UsageReporterDependencies) {
    this.state = newUsageReporting(deps.times);
    deps.metrics.registerGauge('boragemill_duty_usage_report_age_ms', () =>
      this.reportedMs === undefined
        ? -1
        : Math.round(deps.clock.elapsedMs() - this.reportedMs),
    );
    deps.metrics.registerGauge(
      'boragemill_duty_usage_sources',
      () => this.state.sources.size,
    );
  }

  start(): void {
    this.timer = repeatEvery(this.deps.clock, REPORT_CHECK_INTERVAL_MS, () =>
      this.handle({
        kind: 'tick',
        token: this.validToken(),
        gateways: this.deps.gateways(),
      }),
    );
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** Called when a gateway has sent its counts. */
  handleMessage(message: UsageMessage): void {
    this.handle({kind: 'heard', message});
  }

  /** The duty as it is announced in load reports; undefined if not held. */
  get held(): HeldDuty | undefined {
    const token = this.deps.lease()?.token;
    if (token === undefined) return undefined;
    const {offsetMs, begunWindow} = this.state;
    return {duty: 'usage', token, offsetMs, begunWindow};
  }

  private validToken(): number | undefined {
    const lease = this.deps.lease();
    return lease?.isValidFor(this.deps.callTimeoutMs) ? lease.token : undefined;
  }

  private handle(input: UsageInput): void {
    const {clock, storeMs} = this.deps;
    const now = {elapsedMs: clock.elapsedMs(), storeMs: storeMs()};
    const {state, effects} = decideUsage(this.state, input, now);
    this.state = state;
    for (const effect of effects) this.carryOut(effect, now);
  }

  private carryOut(effect: UsageEffect, now: UsageMoment): void {
    const {metrics, log, clock} = this.deps;
    const {window} = effect;
    switch (effect.kind) {
      case 'report':
        return this.report(effect, now);
      case 'reported':
        this.reportedMs = clock.elapsedMs();
        metrics.increment('boragemill_duty_usage_windows_total', {
          outcome: 'reported',
        });
        log('info', 'usage window reported', {window});
        return;
      case 'missed': {
        const {reason} = effect;
        metrics.increment('boragemill_duty_usage_windows_total', {
          outcome: reason,
        });
        log('warn', 'usage window not reported', {window, reason});
      }
    }
  }

  private report(
    {window, counts, token}: UsageEffect & {readonly kind: 'report'},
    now: UsageMoment,
  ): void {
    const {log} = this.deps;
    const trueMs = trueTimeMs(this.state, now);
    log('info', 'usage report sent', {
      window,
      token,
      accounts: counts.size,
      requests: counts.reduce((sum, n) => sum + n, 0),
      trueMs: trueMs === undefined ? undefined : Math.round(trueMs),
    });
    this.deps.report(window, counts, token).then(
      outcome => this.handle({kind: 'answered', window, token, outcome}),
      (error: unknown) => {
        log('warn', 'usage report not answered; repeating it', {
          window,
          reason: String(error),
        });
        this.handle({kind: 'answered', window, token, outcome: 'unknown'});
      },
    );
  }
}
