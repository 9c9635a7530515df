/**
 * Owns the gossip streams of a process. It opens streams to the neighbours
 * that the membership view selects, sends heartbeats on every stream, and
 * passes received messages to the view and to the rules task.
 *
 * The first heartbeat on a stream describes the process in full. Later ones
 * omit unchanged fields, which more than halves control traffic.
 */
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {MemberFacts} from '../observe/facts';
import {Log} from '../observe/log';
import {Timeline} from '../observe/timeline';
import {InstanceRecord} from '../platform/client';
import {PeerPort, RulesTask} from '../rules/task';
import {PeerSettings} from '../settings/schema';
import {Connection} from '../wire/client';
import {Heartbeat, PeerPayload} from '../wire/messages';
import {Channel, StreamHandler} from '../wire/server';
import {Directory} from './directory';
import * as views from './view';

export interface MembershipParts {
  readonly self: views.InstanceInfo;
  readonly release: string;
  readonly settings: PeerSettings;
  readonly directory: Directory;
  readonly rules: RulesTask;
  readonly clock: Clock;
  readonly timeline: Timeline;
  readonly log: Log;
}

interface Stream {
  /**
   * The peer's instance: the one that was dialled, or empty for an inbound
   * stream, until the first heartbeat names it.
   */
  instance: string;
  /** Undefined while the stream is not open. */
  channel: Channel<PeerPayload> | undefined;
  /** The last rule file hash that the peer sent, and the last sent to it. */
  lastHashReceived: string;
  lastHashSent: string;
  /** Whether a heartbeat with the full description was sent. */
  fullHeartbeatSent: boolean;
}

interface OutboundStream {
  readonly connection: Connection<PeerPayload, PeerPayload>;
  readonly stream: Stream;
  readonly sinceMs: number;
}

/** A peer is lost when it was not heard for this many heartbeat intervals. */
const MAX_MISSED_HEARTBEATS = 3;

export class Membership implements PeerPort {
  private view: views.MembershipView;
  private readonly inbound = new Set<Stream>();
  /** Streams that this process opens, by address. */
  private readonly outbound = new Map<string, OutboundStream>();
  /** Peers from which heartbeats arrive on some stream. */
  private readonly livePeers = new Set<string>();
  private timer: Timer | undefined;

  constructor(private readonly parts: MembershipParts) {
    const {self, settings} = parts;
    this.view = views.initialView(self, settings.heartbeatMs);
    parts.rules.connect(this);
  }

  async start(): Promise<void> {
    const {directory, clock, settings} = this.parts;
    directory.watch(() => this.mergePlatformList(directory.instances()));
    this.mergePlatformList(directory.instances());
    this.timer = repeatEvery(clock, settings.heartbeatMs, () => this.tick());
  }

  async stop(): Promise<void> {
    this.timer?.cancel();
    this.outbound.forEach(({connection}) => connection.close());
    this.inbound.forEach(({channel}) => channel?.close());
  }

  /** Tells all peers that this process is leaving. */
  leave(): void {
    this.view = {...this.view, leaving: true};
    this.announce();
  }

  /** Handles a stream that a peer opened. */
  accept(channel: Channel<PeerPayload>): StreamHandler<PeerPayload> {
    const stream = newStream('', channel);
    this.inbound.add(stream);
    this.sendHeartbeat(stream);
    return {
      message: message => this.handleMessage(stream, message),
      closed: () => {
        this.inbound.delete(stream);
        this.reportIfDisconnected(stream);
      },
    };
  }

  send(peer: string, message: PeerPayload): void {
    this.streams()
      .find(s => s.instance === peer && s.channel)
      ?.channel?.send(message);
  }

  announce(): void {
    for (const stream of this.streams()) this.sendHeartbeat(stream);
  }

  facts(): readonly MemberFacts[] {
    const nowMs = this.nowMs();
    return this.view.members
      .valueSeq()
      .map(known => {
        const {instance, zone, role, address} = known;
        const {leaving, heardMs, directMs} = known;
        const info = {instance, zone, role, address};
        const liveness = views.liveness(this.view, known, nowMs);
        return {...info, leaving, heardMs, directMs, liveness};
      })
      .toArray();
  }

  private nowMs(): number {
    return this.parts.clock.now().getTime();
  }

  private streams(): readonly Stream[] {
    const out = [...this.outbound.values()].map(({stream}) => stream);
    return [...out, ...this.inbound];
  }

  private mergePlatformList(records: readonly InstanceRecord[]): void {
    const infos = records.map(r => ({...r, leaving: r.state === 'leaving'}));
    this.view = views.mergePlatformList(this.view, infos, this.nowMs());
    this.updateStreams();
  }

  /** Runs once a heartbeat interval. */
  private tick(): void {
    this.view = views.expireMembers(this.view, this.nowMs());
    this.markLostPeers();
    this.updateStreams();
    for (const stream of this.streams()) this.sendHeartbeatWithRecords(stream);
  }

  /**
   * Marks peers as silent when their heartbeats stop, and dialled instances
   * when they send none at all.
   */
  private markLostPeers(): void {
    const limitMs = MAX_MISSED_HEARTBEATS * this.parts.settings.heartbeatMs;
    for (const instance of this.livePeers) {
      const known = this.view.members.get(instance);
      if (known && this.nowMs() - known.directMs <= limitMs) continue;
      this.livePeers.delete(instance);
      this.view = views.markSilent(this.view, instance, this.nowMs());
      this.parts.rules.post({kind: 'peerLost', instance});
      this.parts.log('info', 'peer lost', {instance});
    }
    for (const {stream, sinceMs} of this.outbound.values()) {
      const known = this.view.members.get(stream.instance);
      const heardMs = Math.max(known?.directMs ?? 0, sinceMs);
      if (known && this.nowMs() - heardMs > limitMs) {
        this.view = views.markSilent(this.view, stream.instance, this.nowMs());
      }
    }
  }

  /**
   * Opens and closes streams so that they match the neighbours in the view,
   * and reports the membership to the rules task. The seeds are dialled while
   * no peer is live.
   */
  private updateStreams(): void {
    const nowMs = this.nowMs();
    const {seeds} = this.parts.settings;
    const wanted = new Map<string, string>();
    for (const instance of views.neighbours(this.view, nowMs)) {
      const {address} = this.view.members.get(instance)!;
      if (address !== '') wanted.set(address, instance);
    }
    if (this.livePeers.size === 0) seeds.forEach(s => wanted.set(s, ''));
    for (const [address, {connection, stream}] of this.outbound) {
      if (wanted.has(address)) continue;
      this.outbound.delete(address);
      connection.close();
      this.reportIfDisconnected(stream);
    }
    for (const [address, instance] of wanted) this.dial(address, instance);
    const poller = views.isPoller(this.view, nowMs);
    const candidates = this.view.members.size + seeds.length;
    this.parts.rules.post({kind: 'members', poller, candidates});
  }

  private dial(address: string, instance: string): void {
    if (this.outbound.has(address)) return;
    const {settings, clock, timeline} = this.parts;
    const stream = newStream(instance, undefined);
    const events = {
      opened: (channel: Channel<PeerPayload>) => {
        Object.assign(stream, newStream(stream.instance, channel));
        this.sendHeartbeat(stream);
      },
      message: (message: PeerPayload) => this.handleMessage(stream, message),
      lost: () => {
        stream.channel = undefined;
        this.reportIfDisconnected(stream);
      },
    };
    const connection = new Connection<PeerPayload, PeerPayload>(
      address,
      'Gossip',
      settings,
      clock,
      timeline,
      events,
    );
    this.outbound.set(address, {connection, stream, sinceMs: this.nowMs()});
  }

  /**
   * Reports a peer to which no stream is open as lost, so that the rules task
   * does not request rules from it.
   */
  private reportIfDisconnected({instance}: Stream): void {
    const open = this.streams().some(
      s => s.instance === instance && s.channel !== undefined,
    );
    if (!open) this.parts.rules.post({kind: 'peerLost', instance});
  }

  private handleMessage(stream: Stream, message: PeerPayload): void {
    if (message.kind === 'heartbeat') {
      return this.handleHeartbeat(stream, message.heartbeat);
    }
    const peer = stream.instance;
    this.parts.rules.post({kind: 'gossip', peer, message});
  }

  private handleHeartbeat(stream: Stream, heartbeat: Heartbeat): void {
    const {instance, ruleVersion, confirmedMs} = heartbeat;
    if (instance === this.parts.self.instance) return;
    stream.instance = instance;
    if (heartbeat.ruleHash !== '') stream.lastHashReceived = heartbeat.ruleHash;
    this.view = views.applyHeartbeat(this.view, heartbeat, this.nowMs());
    if (!this.livePeers.has(instance)) {
      this.livePeers.add(instance);
      this.updateStreams();
    }
    const {zone} = this.view.members.get(instance)!;
    const hash = ruleVersion === 0 ? '' : stream.lastHashReceived;
    const rules = {version: ruleVersion, hash, zone};
    this.parts.rules.post({kind: 'peer', instance, rules, confirmedMs});
  }

  /** Sends a heartbeat without member records. */
  private sendHeartbeat(stream: Stream): void {
    this.writeHeartbeat(stream, this.buildHeartbeat(stream));
  }

  private sendHeartbeatWithRecords(stream: Stream): void {
    if (!stream.channel) return;
    const nowMs = this.nowMs();
    const [view, record] = views.nextRecord(this.view);
    this.view = view;
    const notice = views.notHeardNotice(view, stream.instance, nowMs);
    const members = [...notice, ...(record ? [record] : [])];
    this.writeHeartbeat(stream, {...this.buildHeartbeat(stream), members});
  }

  private writeHeartbeat(stream: Stream, heartbeat: Heartbeat): void {
    if (!stream.channel) return;
    stream.channel.send({kind: 'heartbeat', heartbeat});
    stream.fullHeartbeatSent = true;
    if (heartbeat.ruleHash !== '') stream.lastHashSent = heartbeat.ruleHash;
  }

  /** Builds a heartbeat without the fields that the peer already has. */
  private buildHeartbeat(stream: Stream): Heartbeat {
    const {version, hash, confirmedMs} = this.parts.rules.inForce();
    const {instance, ...info} = this.parts.self;
    const blank = {zone: '', role: '', address: ''};
    const identity = stream.fullHeartbeatSent
      ? {...blank, targetKind: '', target: '', release: ''}
      : {...info, release: this.parts.release};
    return {
      instance,
      ...identity,
      ruleVersion: version,
      ruleHash: hash === stream.lastHashSent ? '' : hash,
      leaving: this.view.leaving,
      confirmedMs,
      members: [],
    };
  }
}

function newStream(
  instance: string,
  channel: Channel<PeerPayload> | undefined,
): Stream {
  return {
    instance,
    channel,
    lastHashReceived: '',
    lastHashSent: '',
    fullHeartbeatSent: false,
  };
}
