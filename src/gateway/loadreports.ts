/**
 * Load reports from sidecars to gateways, over UDP.
 *
 * Every two seconds a gateway subscribes to the sidecar of each endpoint and
 * states the endpoint's slots and the declared time of its passes, which a sidecar
 * does not follow by itself. A
 * sidecar sends its endpoint's load to the current subscribers, each with a share
 * of the free slots and the number of subscribers, by which they divide other
 * limits. Lost datagrams are not
 * resent; the next one replaces them. A sidecar that finds no process at its
 * endpoint's address tells the subscribers so a few times. Only gateways see the
 * limit that an endpoint names in its answers; they send it to its sidecar, which
 * reports it with the load. A sidecar that holds duties says so in its load reports,
 * and gateways send it what it needs for them. The heartbeats of coordinators and the
 * datagrams by which the holder of duties is found use the same sockets.
 */
import {HeldDuty} from '../duties/dutyholders';
import {UsageMessage} from '../duties/usagemessage';
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {DutyMessage} from '../duties/leasetask';
import {Log} from '../observe/log';
import {DatagramSocket, Peer} from './datagrams';
import {Heartbeat} from '../ranks/rank';
import {HeardTarget, hearTarget, PassTarget} from '../ranks/passtarget';
import {divideSlots} from './slotshares';

export interface LoadReport {
  /** Address of the endpoint, an `IP:port`. */
  readonly address: string;
  readonly running: number;
  readonly queued: number;
  readonly group: string;
  /** Epoch of the group; absent if unknown. */
  readonly epoch?: number;
  readonly open: boolean;
  readonly pace: number;
  /** Number of gateways that receive this report. */
  readonly gateways: number;
  /** The limit that a gateway saw last; 0 if none, undefined if unknown. */
  readonly limitPerS?: number;
  /** Free slots that the receiver may fill; undefined if unknown. */
  readonly share?: number;
  /** Requests that should be at the endpoint at most; undefined if unknown. */
  readonly requestLimit?: number;
  /** Duties that the sender holds; undefined if none. */
  readonly duties?: readonly HeldDuty[];
}

/** Interval between subscriptions to a sidecar, in milliseconds. */
const SUBSCRIBE_INTERVAL_MS = 2_000;
/**
 * Interval at which due subscriptions are sent. A gateway that has just started
 * has no reports, and without them it may send more than its share.
 */
const SUBSCRIBE_CHECK_INTERVAL_MS = 100;
/** Three subscriptions may be lost before a gateway is dropped. */
const SUBSCRIPTION_TIMEOUT_MS = 7_000;
/**
 * Limit on subscribers; a further one gets no reports. Anybody may send a datagram,
 * and each subscriber is sent four a second. A deployment has up to 1,400 instances.
 */
const MAX_SUBSCRIBERS = 2_048;
/** Interval at which an unchanged load is sent again, in milliseconds. */
const REPEAT_INTERVAL_MS = 500;
/** Times that subscribers are told that an endpoint's process is gone. */
const GONE_REPEATS = 3;

/** Interval at which a gateway repeats an unchanged limit, in milliseconds. */
const LIMIT_REPEAT_MS = 1_000;

export interface EndpointHost {
  readonly host: string;
  readonly slots: number;
  /** Undefined if the configuration is not known. */
  readonly target?: PassTarget | undefined;
}

/** The gateway's side: subscribes to all sidecars and passes on reports. */
export class LoadSubscriber {
  private timer: Timer | undefined;
  /** The last limit sent to each sidecar, by host. */
  private readonly sentLimits = new Map<
    string,
    {readonly limitPerS: number; readonly ms: number}
  >();
  /** When each sidecar was last subscribed to, by host. */
  private readonly subscribedMs = new Map<string, number>();
  private readonly datagrams: DatagramSocket;

  constructor(
    private readonly deps: {
      readonly self: Peer;
      /** Endpoints that may have a sidecar. */
      readonly endpoints: () => readonly EndpointHost[];
      readonly handleReport: (report: LoadReport) => void;
      /** No process listens at this endpoint's address. */
      readonly handleProcessGone: (address: string) => void;
      /** The sidecar on the host holds these duties. */
      readonly handleDuties?: (
        host: string,
        duties: readonly HeldDuty[],
      ) => void;
      readonly clock: Clock;
      readonly log: Log;
    },
  ) {
    this.datagrams = new DatagramSocket((body, {host}) => {
      if (body.kind === 'load') {
        this.deps.handleReport(body);
        if (body.duties) this.deps.handleDuties?.(host, body.duties);
      }
      if (body.kind === 'gone') this.deps.handleProcessGone(body.address);
    }, deps.log);
  }

  async start(): Promise<void> {
    await this.datagrams.listen(this.deps.self);
    this.timer = repeatEvery(this.deps.clock, SUBSCRIBE_CHECK_INTERVAL_MS, () =>
      this.subscribe(),
    );
  }

  stop(): void {
    this.timer?.cancel();
    this.datagrams.close();
  }

  /** Sends a sidecar the limit that its endpoint named; 0 stands for none. */
  sendLimit(host: string, limitPerS: number): void {
    const sent = this.sentLimits.get(host);
    const ms = this.deps.clock.elapsedMs();
    const isKnown = sent?.limitPerS === limitPerS;
    if (isKnown && ms - sent.ms < LIMIT_REPEAT_MS) return;
    this.sentLimits.set(host, {limitPerS, ms});
    const {port} = this.deps.self;
    this.datagrams.send({kind: 'limit', limitPerS}, {host, port});
  }

  /** Sends a sidecar that holds a duty what it needs for that. */
  sendUsage(host: string, usage: UsageMessage): void {
    const {port} = this.deps.self;
    this.datagrams.send({kind: 'usage', ...usage}, {host, port});
  }

  private subscribe(): void {
    const {port} = this.deps.self;
    const nowMs = this.deps.clock.elapsedMs();
    const endpoints = this.deps.endpoints();
    for (const {host, slots, target} of endpoints) {
      const sentMs = this.subscribedMs.get(host) ?? -Infinity;
      if (nowMs - sentMs < SUBSCRIBE_INTERVAL_MS) continue;
      this.subscribedMs.set(host, nowMs);
      this.datagrams.send({kind: 'subscribe', slots, target}, {host, port});
    }
    const hosts = new Set(endpoints.map(e => e.host));
    for (const host of this.subscribedMs.keys()) {
      if (!hosts.has(host)) this.subscribedMs.delete(host);
    }
  }
}

/** The sidecar's side: sends load reports to all subscribers. */
export class LoadPublisher {
  private readonly datagrams: DatagramSocket;
  private readonly subscribers = new Map<
    string,
    Peer & {subscribedMs: number}
  >();
  private lastSent = {load: '', atMs: -Infinity};
  private goneSent = 0;
  private limitPerS: number | undefined;
  /** Slots of the endpoint; undefined before the first subscription. */
  private slots: number | undefined;
  private heard: HeardTarget | undefined;
  /** Index of the subscriber whose turn for a free slot is next. */
  private turn = 0;

  constructor(
    private readonly self: Peer,
    private readonly clock: Clock,
    log: Log,
    handleHeartbeat: (heartbeat: Heartbeat) => void = () => undefined,
    handleDuty: (message: DutyMessage, from: Peer) => void = () => undefined,
    handleUsage: (usage: UsageMessage) => void = () => undefined,
  ) {
    this.datagrams = new DatagramSocket((body, from) => {
      if (body.kind === 'usage') handleUsage(body);
      if (body.kind === 'heartbeat') handleHeartbeat(body);
      if (body.kind === 'dutyPing' || body.kind === 'dutyAlive')
        handleDuty(body, from);
      if (body.kind === 'limit') this.limitPerS = body.limitPerS;
      if (body.kind !== 'subscribe') return;
      const isKnown = this.subscribers.has(from.host);
      if (!isKnown && this.subscribers.size >= MAX_SUBSCRIBERS) {
        return log('debug', 'subscription dropped: too many', {
          host: from.host,
        });
      }
      this.slots = body.slots ?? this.slots;
      const subscribedMs = this.clock.elapsedMs();
      this.heard = hearTarget(this.heard, body.target, subscribedMs);
      this.subscribers.set(from.host, {...from, subscribedMs});
    }, log);
  }

  /** What subscribers stated about the passes of the endpoint's service. */
  get heardTarget(): HeardTarget | undefined {
    return this.heard;
  }

  start(): Promise<void> {
    return this.datagrams.listen(this.self);
  }

  stop(): void {
    this.datagrams.close();
  }

  /** Number of gateways that subscribed lately. */
  get subscriberCount(): number {
    return this.subscribers.size;
  }

  publish(report: Omit<LoadReport, 'gateways' | 'limitPerS' | 'share'>): void {
    this.goneSent = 0;
    const nowMs = this.clock.elapsedMs();
    const {running, queued, open, pace, requestLimit = Infinity} = report;
    const {limitPerS} = this;
    // A change of true time alone need not be sent at once.
    const held = (report.duties ?? [])
      .map(({duty, token, begunWindow}) => `${duty}:${token}:${begunWindow}`)
      .join();
    const load = `${running} ${queued} ${open} ${pace} ${limitPerS} ${requestLimit} ${held}`;
    const due = nowMs - this.lastSent.atMs >= REPEAT_INTERVAL_MS;
    if (load === this.lastSent.load && !due) return;
    this.lastSent = {load, atMs: nowMs};
    for (const [host, {subscribedMs}] of this.subscribers) {
      if (nowMs - subscribedMs > SUBSCRIPTION_TIMEOUT_MS)
        this.subscribers.delete(host);
    }
    const gateways = this.subscribers.size;
    const {slots} = this;
    const {shares, nextTurn} = divideSlots(
      Math.min(slots ?? 0, requestLimit) - running - queued,
      gateways,
      this.turn,
    );
    this.turn = nextTurn;
    [...this.subscribers.values()].forEach((peer, i) => {
      const share = slots === undefined ? undefined : shares[i];
      const load = {...report, gateways, limitPerS, share};
      this.datagrams.send({kind: 'load', ...load}, peer);
    });
  }

  /** Sends a coordinator's heartbeat to the sidecars on the hosts. */
  sendHeartbeat(hosts: readonly string[], heartbeat: Heartbeat): void {
    const {port} = this.self;
    for (const host of hosts) {
      this.datagrams.send({kind: 'heartbeat', ...heartbeat}, {host, port});
    }
  }

  /** Sends a datagram about the duties that one instance performs. */
  sendDuty(message: DutyMessage, peer: Peer): void {
    this.datagrams.send(message, peer);
  }

  /** Tells the subscribers that no process listens at the address. */
  publishProcessGone(address: string): void {
    this.limitPerS = undefined;
    if (this.goneSent >= GONE_REPEATS) return;
    this.goneSent += 1;
    for (const peer of this.subscribers.values()) {
      this.datagrams.send({kind: 'gone', address}, peer);
    }
  }
}
