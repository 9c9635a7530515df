/**
 * Load reports from sidecars to gateways, over UDP.
 *
 * Every two seconds a gateway subscribes to the sidecar of each endpoint. A
 * sidecar sends its endpoint's load to the current subscribers, together with
 * their number, by which they divide shared limits. Lost datagrams are not
 * resent; the next one replaces them. A sidecar that finds no process at its
 * endpoint's address tells the subscribers so a few times. Only gateways see the
 * limit that an endpoint names in its answers; they send it to its sidecar, which
 * reports it with the load.
 */
import dgram from 'node:dgram';
import * as z from 'zod';
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {Log} from '../observe/log';

export interface LoadReport {
  /** Address of the endpoint, an `IP:port`. */
  readonly address: string;
  readonly running: number;
  readonly queued: number;
  readonly group: string;
  readonly open: boolean;
  readonly pace: number;
  /** Number of gateways that receive this report. */
  readonly gateways: number;
  /** The limit that a gateway saw last; 0 if none, undefined if unknown. */
  readonly limitPerS?: number;
}

const messageSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('subscribe')}),
  z.object({
    kind: z.literal('load'),
    address: z.string(),
    running: z.number().min(0),
    queued: z.number().min(0),
    group: z.string(),
    open: z.boolean(),
    pace: z.number().positive(),
    gateways: z.number().int().min(0),
    limitPerS: z.number().min(0).optional(),
  }),
  z.object({kind: z.literal('limit'), limitPerS: z.number().min(0)}),
  z.object({kind: z.literal('gone'), address: z.string()}),
]);

type Message = z.infer<typeof messageSchema>;

/** Interval between subscriptions, in milliseconds. */
const SUBSCRIBE_INTERVAL_MS = 2_000;
/** Three subscriptions may be lost before a gateway is dropped. */
const SUBSCRIPTION_TIMEOUT_MS = 7_000;
/** Interval at which an unchanged load is sent again, in milliseconds. */
const REPEAT_INTERVAL_MS = 500;
/** Times that subscribers are told that an endpoint's process is gone. */
const GONE_REPEATS = 3;

export interface Peer {
  readonly host: string;
  readonly port: number;
}

/** A UDP socket for messages between gateways and sidecars. */
export class DatagramSocket {
  private readonly socket = dgram.createSocket('udp4');

  constructor(
    private readonly handle: (message: Message, from: Peer) => void,
    private readonly log: Log,
  ) {
    this.socket.on('message', (bytes, {address: host, port}) => {
      const read = parseMessage(bytes);
      if (read) this.handle(read, {host, port});
      else
        this.log('debug', 'datagram dropped: not a valid message', {
          host,
          port,
        });
    });
    this.socket.on('error', error =>
      this.log('warn', 'datagram socket failed', {reason: error.message}),
    );
  }

  listen({host, port}: Peer): Promise<void> {
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, host, resolve);
    });
  }

  send(body: Message, {host, port}: Peer): void {
    this.socket.send(JSON.stringify(body), port, host, error => {
      if (!error) return;
      this.log('debug', 'datagram not sent', {host, reason: error.message});
    });
  }

  close(): void {
    this.socket.close();
  }
}

function parseMessage(bytes: Buffer): Message | undefined {
  try {
    return messageSchema.parse(JSON.parse(bytes.toString()));
  } catch {
    return undefined;
  }
}

/** Interval at which a gateway repeats an unchanged limit, in milliseconds. */
const LIMIT_REPEAT_MS = 1_000;

/** The gateway's side: subscribes to all sidecars and passes on reports. */
export class LoadSubscriber {
  private timer: Timer | undefined;
  /** The last limit sent to each sidecar, by host. */
  private readonly sentLimits = new Map<
    string,
    {readonly limitPerS: number; readonly ms: number}
  >();
  private readonly datagrams: DatagramSocket;

  constructor(
    private readonly deps: {
      readonly self: Peer;
      /** Hosts on which sidecars may run. */
      readonly hosts: () => readonly string[];
      readonly handleReport: (report: LoadReport) => void;
      /** No process listens at this endpoint's address. */
      readonly handleProcessGone: (address: string) => void;
      readonly clock: Clock;
      readonly log: Log;
    },
  ) {
    this.datagrams = new DatagramSocket(body => {
      if (body.kind === 'load') this.deps.handleReport(body);
      if (body.kind === 'gone') this.deps.handleProcessGone(body.address);
    }, deps.log);
  }

  async start(): Promise<void> {
    await this.datagrams.listen(this.deps.self);
    this.timer = repeatEvery(this.deps.clock, SUBSCRIBE_INTERVAL_MS, () =>
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

  private subscribe(): void {
    const {port} = this.deps.self;
    for (const host of this.deps.hosts()) {
      this.datagrams.send({kind: 'subscribe'}, {host, port});
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

  constructor(
    private readonly self: Peer,
    private readonly clock: Clock,
    log: Log,
  ) {
    this.datagrams = new DatagramSocket((body, from) => {
      if (body.kind === 'limit') this.limitPerS = body.limitPerS;
      if (body.kind !== 'subscribe') return;
      const subscribedMs = this.clock.elapsedMs();
      this.subscribers.set(from.host, {...from, subscribedMs});
    }, log);
  }

  start(): Promise<void> {
    return this.datagrams.listen(this.self);
  }

  stop(): void {
    this.datagrams.close();
  }

  publish(report: Omit<LoadReport, 'gateways' | 'limitPerS'>): void {
    this.goneSent = 0;
    const nowMs = this.clock.elapsedMs();
    const {running, queued, open, pace} = report;
    const {limitPerS} = this;
    const load = `${running} ${queued} ${open} ${pace} ${limitPerS}`;
    const due = nowMs - this.lastSent.atMs >= REPEAT_INTERVAL_MS;
    if (load === this.lastSent.load && !due) return;
    this.lastSent = {load, atMs: nowMs};
    for (const [host, {subscribedMs}] of this.subscribers) {
      if (nowMs - subscribedMs > SUBSCRIPTION_TIMEOUT_MS)
        this.subscribers.delete(host);
    }
    const gateways = this.subscribers.size;
    for (const peer of this.subscribers.values()) {
      this.datagrams.send({kind: 'load', ...report, gateways, limitPerS}, peer);
    }
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
