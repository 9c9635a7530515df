/**
 * Builds the parts that perform the duties of one instance at a time: the counts of
 * each entry, and the lease, the usage reports and the scaling of the sidecars that
 * may hold them. Where the settings name no duty, nothing of it is built.
 */
import {randomUUID} from 'node:crypto';
import {
  CloudClient,
  createCloudClient,
  createDutyTable,
  DUTY_KEY,
  DutyCallOutcome,
} from '../platform/duties';
import {Cloud, Deployment} from '../platform/settings';
import {Store} from '../platform/store';
import {HeldDuty} from './duties/dutyholders';
import {DUTY_CALL_TIMEOUT_MS, leaseTimes} from './duties/lease';
import {DutyMessage, Lease, LeaseTask} from './duties/leasetask';
import {ScalingTask} from './duties/scalingtask';
import {UsageMessage} from './duties/usagemessage';
import {CallOutcome} from './duties/usagereport';
import {UsageCounter, UsageReporter} from './duties/usagetask';
import {UsageTimes} from './duties/usagewindows';
import {Catalog} from './gateway/catalog';
import {Peer} from './gateway/datagrams';
import {RequestDispatcher} from './gateway/dispatcher';
import {Exchange} from './gateway/exchange';
import {parseAddress} from './kernel/address';
import {Clock, repeatEvery, Timer} from './kernel/clock';
import {Log} from './observe/log';
import {MetricsRegistry} from './observe/prometheus';

/** Interval at which the holder of the duties looks for due calls. */
const DUTY_INTERVAL_MS = 250;

/**
 * Makes other calls that are due; called several times a second while this instance
 * holds the duties. Whoever makes a call checks `lease` again right before it.
 */
export type DutyPerformer = (lease: Lease, cloud: CloudClient) => void;

/** An entry's side of the duties. */
export interface EntryUsage {
  start(): void;
  stop(): void;
  /** Counts a request that an endpoint began at this monotonic time. */
  recordRun(exchange: Exchange, beganMs: number): void;
  handleDuties(host: string, duties: readonly HeldDuty[]): void;
}

/** Undefined if the settings name no duty that needs what entries know. */
export function wireUsageCounter({
  deployment: {instance, zone, cloud},
  store,
  dispatcher,
  send,
  clock,
  log,
}: {
  readonly deployment: Deployment;
  readonly store: Store;
  readonly dispatcher: RequestDispatcher;
  readonly send: (host: string, message: UsageMessage) => void;
  readonly clock: Clock;
  readonly log: Log;
}): EntryUsage | undefined {
  if (!cloud || cloud.duties.length === 0) return undefined;
  const counter = new UsageCounter({
    entry: instance,
    zone,
    times: usageTimes(cloud),
    clock,
    storeMs: () => store.nowMs(),
    demand: () => dispatcher.demand(),
    loads: () => dispatcher.zoneLoads(),
    send,
    log,
  });
  return {
    start: () => counter.start(),
    stop: () => counter.stop(),
    recordRun({incoming: {account}}, beganMs) {
      if (account) counter.recordRun(account.name, beganMs);
    },
    handleDuties: (host, duties) => counter.handleDuties(host, duties),
  };
}

/** The side of a sidecar that may hold the duties. */
export interface DutyHolder {
  start(): void;
  /** Gives the duties back. */
  stop(): Promise<void>;
  /** The duties as load reports announce them; undefined if none is held. */
  readonly held: readonly HeldDuty[] | undefined;
  handleMessage(message: DutyMessage, from: Peer): void;
  handleUsage(message: UsageMessage): void;
}

/** Undefined if the settings name no duty. */
export function wireDutyHolder({
  deployment: {instance, ip, peerPort, cloud},
  store,
  catalog,
  isCandidate,
  gateways,
  send,
  perform,
  registry,
  clock,
  log,
}: {
  readonly deployment: Deployment;
  readonly store: Store;
  readonly catalog: () => Catalog;
  readonly isCandidate: () => boolean;
  /** Number of entries that receive load reports from here. */
  readonly gateways: () => number;
  readonly send: (message: DutyMessage, peer: Peer) => void;
  readonly perform: DutyPerformer | undefined;
  readonly registry: MetricsRegistry;
  readonly clock: Clock;
  readonly log: Log;
}): DutyHolder | undefined {
  if (!cloud || cloud.duties.length === 0) return undefined;
  const task = new LeaseTask({
    duty: DUTY_KEY,
    self: {instance, process: randomUUID(), address: `${ip}:${peerPort}`},
    table: createDutyTable(store),
    times: leaseTimes(cloud.bounds.leaseMs),
    isCandidate,
    send(message, address) {
      const peer = parseAddress(address);
      if (peer) send(message, peer);
      else log('warn', 'duty holder has an invalid address', {address});
    },
    count: event => registry.increment('boragemill_duty_events_total', {event}),
    clock,
    log,
    random: Math.random,
  });
  registry.registerGauge('boragemill_duty_held', () =>
    Number(task.current() !== undefined),
  );
  registry.registerGauge(
    'boragemill_duty_token',
    () => task.current()?.token ?? 0,
  );
  const client = createCloudClient(cloud.address, instance, clock);
  const common = {
    clock,
    lease: () => task.current(),
    callTimeoutMs: DUTY_CALL_TIMEOUT_MS,
    metrics: registry,
    log,
  };
  const usage = cloud.duties.includes('usage_report')
    ? new UsageReporter({
        ...common,
        times: usageTimes(cloud),
        storeMs: () => store.nowMs(),
        gateways,
        report: (window, counts, token) =>
          callWith(task, token, lease =>
            client.reportUsage(lease, {window, counts}),
          ),
      })
    : undefined;
  const scaling = cloud.duties.includes('autoscale')
    ? new ScalingTask({
        ...common,
        boundsOf: service => catalog().services.get(service)?.scaling,
        isZoneOut: zone => catalog().zonesOut.has(zone),
        order: (service, zone, desired, token) =>
          callWith(task, token, lease =>
            client.scale(lease, {service, zone, desired}),
          ),
      })
    : undefined;
  let timer: Timer | undefined;
  return {
    start() {
      task.start();
      usage?.start();
      scaling?.start();
      if (!perform) return;
      timer = repeatEvery(clock, DUTY_INTERVAL_MS, () => {
        const lease = task.current();
        if (lease) perform(lease, client);
      });
    },
    stop() {
      timer?.cancel();
      usage?.stop();
      scaling?.stop();
      return task.stop();
    },
    get held() {
      const held = [usage?.held, scaling?.held].flatMap(duty => duty ?? []);
      return held.length > 0 ? held : undefined;
    },
    handleMessage: (message, {host, port}) =>
      task.handleMessage(message, `${host}:${port}`),
    handleUsage(message) {
      usage?.handleMessage(message);
      scaling?.handleMessage(message);
    },
  };
}

function usageTimes({bounds}: Cloud): UsageTimes {
  return {windowMs: bounds.usageWindowMs, lateMs: bounds.usageLateMs};
}

const OUTCOMES: Readonly<Record<DutyCallOutcome, CallOutcome>> = {
  accepted: 'done',
  outdated: 'refused',
  // Neither was executed, so both may be tried again.
  unsent: 'unknown',
  limited: 'unknown',
};

/** Makes a call for which the decision was made under the given token. */
async function callWith(
  task: LeaseTask,
  token: number,
  call: (lease: Lease) => Promise<DutyCallOutcome>,
): Promise<CallOutcome> {
  const lease = task.current();
  if (lease?.token !== token) return 'unknown';
  return OUTCOMES[await call(lease)];
}
