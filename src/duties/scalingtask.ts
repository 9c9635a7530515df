/**
 * The task around scaling decisions, beside the lease on the duty: it observes
 * the services that scale once a second and orders endpoints while the lease is
 * valid. A new holder observes anew.
 */
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {Log} from '../observe/log';
import {MetricsRegistry} from '../observe/prometheus';
import {
  addMessage,
  DemandView,
  emptyDemandView,
  Observations,
  observe,
} from './demandview';
import {HeldDuty} from './dutyholders';
import {decideScaling, forgetOrder, newScaling, Scaling} from './scaling';
import {ScalingBounds} from './scaling';
import {UsageMessage} from './usagemessage';
import {CallOutcome} from './usagereport';
import {DutyLease} from './usagetask';

/** Interval between two observations, in milliseconds. */
const OBSERVE_INTERVAL_MS = 1_000;
/**
 * Orders that are sent each second at most. All instances together may make 50
 * calls a second, which the reports of usage need too.
 */
const MAX_ORDERS_PER_S = 10;

export interface ScalingTaskDependencies {
  readonly clock: Clock;
  readonly lease: () => DutyLease | undefined;
  /** Time within which a call is answered or given up, in milliseconds. */
  readonly callTimeoutMs: number;
  /** Undefined for a service that does not scale. */
  readonly boundsOf: (service: string) => ScalingBounds | undefined;
  readonly isZoneOut: (zone: string) => boolean;
  /** Orders an absolute number of endpoints from the platform. */
  readonly order: (
    service: string,
    zone: string,
    desired: number,
    token: number,
  ) => Promise<CallOutcome>;
  readonly metrics: Pick<MetricsRegistry, 'increment' | 'registerGauge'>;
  readonly log: Log;
}

type Observation = NonNullable<ReturnType<Observations['get']>>;

export class ScalingTask {
  private view: DemandView = emptyDemandView;
  /** By `subjectKey`. */
  private scalings = new Map<string, Scaling>();
  /** Subjects of which an order is not answered yet. */
  private readonly inFlight = new Set<string>();
  private token: number | undefined;
  private timer: Timer | undefined;

  constructor(private readonly deps: ScalingTaskDependencies) {
    deps.metrics.registerGauge(
      'boragemill_duty_scaling_subjects',
      () => this.scalings.size,
    );
  }

  start(): void {
    this.timer = repeatEvery(this.deps.clock, OBSERVE_INTERVAL_MS, () =>
      this.observe(),
    );
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** Called when a gateway has sent what it knows. */
  handleMessage(message: UsageMessage): void {
    this.view = addMessage(this.view, message, this.deps.clock.elapsedMs());
  }

  /** The duty as it is announced in load reports; undefined if not held. */
  get held(): HeldDuty | undefined {
    const token = this.deps.lease()?.token;
    return token === undefined ? undefined : {duty: 'scaling', token};
  }

  private observe(): void {
    const nowMs = this.deps.clock.elapsedMs();
    const {view, observations} = observe(this.view, nowMs);
    this.view = view;
    const token = this.deps.lease()?.token;
    if (token !== this.token) {
      this.token = token;
      this.scalings.clear();
      this.inFlight.clear();
    }
    if (token === undefined) return;
    // A subject that no gateway mentions has no endpoints, or is not heard of.
    for (const key of this.scalings.keys()) {
      if (!observations.has(key)) this.scalings.delete(key);
    }
    let orders = 0;
    for (const [key, seen] of observations) {
      if (orders >= MAX_ORDERS_PER_S) break;
      if (this.inFlight.has(key)) continue;
      if (this.decide(key, seen, token, nowMs)) orders += 1;
    }
  }

  /** True if an order was sent. */
  private decide(
    key: string,
    seen: Observation,
    token: number,
    nowMs: number,
  ): boolean {
    const {boundsOf, isZoneOut, lease, callTimeoutMs, log} = this.deps;
    const {service, zone, endpoints} = seen;
    const bounds = boundsOf(service);
    if (!bounds) return false;
    const before = this.scalings.get(key) ?? newScaling;
    const observation = {...seen, isZoneOut: isZoneOut(zone)};
    const {state, desired} = decideScaling(before, observation, bounds, nowMs);
    const current = lease();
    const mayCall =
      current?.token === token && current.isValidFor(callTimeoutMs);
    if (desired === undefined || !mayCall) {
      // An order that may not be sent is decided again.
      if (desired === undefined) this.scalings.set(key, state);
      return false;
    }
    this.scalings.set(key, state);
    const {running, queued, waiting, capacity} = seen;
    log('info', 'scaling order sent', {
      service,
      zone,
      desired,
      endpoints,
      running,
      queued,
      waiting,
      capacity,
      token,
    });
    this.inFlight.add(key);
    this.deps.order(service, zone, desired, token).then(
      outcome => this.handleAnswer(key, seen, token, outcome),
      (error: unknown) => {
        const reason = String(error);
        log('warn', 'scaling order not answered', {service, zone, reason});
        this.handleAnswer(key, seen, token, 'unknown');
      },
    );
    return true;
  }

  private handleAnswer(
    key: string,
    {service, zone}: Observation,
    token: number,
    outcome: CallOutcome,
  ): void {
    const {metrics, log} = this.deps;
    metrics.increment('boragemill_duty_scaling_orders_total', {outcome});
    log('info', 'scaling order ended', {service, zone, token, outcome});
    if (token !== this.token) return;
    this.inFlight.delete(key);
    const scaling = this.scalings.get(key);
    if (outcome === 'unknown' && scaling)
      this.scalings.set(key, forgetOrder(scaling));
  }
}
