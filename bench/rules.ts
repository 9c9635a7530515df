/**
 * Rule distribution: time until a version is in force at all members, and
 * control traffic. The members are real services over loopback gRPC in this
 * process, in three availability zones; the platform is the stand-in.
 */
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import net from 'node:net';
import {pushRules} from '../src/cli/rules';
import {systemClock} from '../src/kernel/clock';
import {Directory} from '../src/membership/directory';
import {Membership} from '../src/membership/task';
import {Log} from '../src/observe/log';
import {Timeline} from '../src/observe/timeline';
import {InstanceRecord, createPlatformClient} from '../src/platform/client';
import {ActiveRules} from '../src/rules/activerules';
import {sha256Hex} from '../src/rules/patch';
import {publish} from '../src/rules/publish';
import {RulesTask} from '../src/rules/task';
import {NodeServer} from '../src/wire/server';
import {PlatformStandin} from '../standins/platform';
import {Measurement, Row} from './row';
import {pause} from './support/figures';

const MEMBERS = 50;
const SIZES = [10, 50, 150];
const ZONES = ['z1', 'z2', 'z3'];
const TARGET_MS = 7_000;
const TARGET_BYTES_PER_S = 5 * 1_024;
const SLOW_MS = 1_500;
const WINDOW_MS = 8_000;
const GIVE_UP_MS = 30_000;
const PEERS = {
  sharedKey: 'a shared key for loopback',
  seeds: [],
  heartbeatMs: 1_000,
};
const quiet: Log = () => undefined;

interface Node {
  readonly activeRules: ActiveRules;
  readonly rules: RulesTask;
  readonly membership: Membership;
  readonly server: NodeServer;
  readonly record: InstanceRecord;
}

class Fleet {
  readonly platform = new PlatformStandin();
  readonly nodes: Node[] = [];
  url = '';
  private readonly records: InstanceRecord[] = [];
  private applied = 0;

  async start(size: number): Promise<void> {
    this.url = await this.platform.start();
    await this.publish();
    const servers = await Promise.all(
      Array.from({length: size}, (_, i) => this.listen(i)),
    );
    for (const {server, record, timeline} of servers) {
      await this.join(server, record, timeline);
    }
    await this.until(() => this.nodes.every(n => n.rules.ready()));
  }

  private async listen(index: number) {
    const zone = ZONES[index % ZONES.length]!;
    const instance = `${zone}-${index}`;
    const timeline = new Timeline(systemClock, {instance, zone}, 100);
    const server = new NodeServer(PEERS, timeline);
    const port = await server.listen('127.0.0.1:0');
    const record: InstanceRecord = {
      instance,
      zone,
      role: 'sidecar',
      address: `127.0.0.1:${port}`,
      state: 'live',
      targetKind: 'model',
      target: 'valve',
    };
    this.records.push(record);
    return {server, record, timeline};
  }

  private async join(
    server: NodeServer,
    record: InstanceRecord,
    timeline: Timeline,
  ): Promise<void> {
    const {instance, zone} = record;
    const activeRules = new ActiveRules();
    const platform = createPlatformClient({url: this.url, timeoutMs: 2_000});
    const parts = {instance, zone, platform, activeRules, clock: systemClock};
    const rules = new RulesTask({...parts, log: quiet});
    const directory: Directory = {
      instances: () => this.records,
      watch: () => undefined,
    };
    const membership = new Membership({
      self: record,
      release: 'bench',
      settings: PEERS,
      directory,
      rules,
      clock: systemClock,
      timeline,
      log: quiet,
    });
    server.handlers.gossip = channel => membership.accept(channel);
    this.nodes.push({activeRules, rules, membership, server, record});
    await rules.start();
    await membership.start();
  }

  /** Publishes a next version of 240 accounts; returns it when accepted. */
  async publish() {
    this.applied += 1;
    const accounts = Array.from({length: 240}, (_, i) => {
      const weight = i === this.applied % 240 ? this.applied + 1 : 1;
      return `account a${i} weight=${weight}  # Jana`;
    });
    const text = accounts.join('\n') + '\n';
    const platform = createPlatformClient({url: this.url, timeoutMs: 10_000});
    const operation = `op${this.applied}`;
    const outcome = await publish(platform, {text, operation});
    if (outcome.kind !== 'accepted') throw new Error(outcome.kind);
    return {...outcome.accepted, text};
  }

  async until(condition: () => boolean): Promise<number> {
    const start = performance.now();
    while (!condition()) {
      if (performance.now() - start > GIVE_UP_MS) return GIVE_UP_MS;
      await pause(5);
    }
    return performance.now() - start;
  }

  inForce(version: number): Promise<number> {
    return this.until(() =>
      this.nodes.every(n => n.activeRules.current().version >= version),
    );
  }

  async stop(): Promise<void> {
    for (const {rules, membership, server} of this.nodes) {
      await membership.stop();
      await rules.stop();
      server.close();
    }
    this.platform.stop();
  }
}

async function timesInForce(): Promise<readonly Measurement[]> {
  const fleet = new Fleet();
  await fleet.start(MEMBERS);
  await pause(3_000);
  const up = await fleet.inForce((await fleet.publish()).version);
  fleet.platform.faults.delayMs = SLOW_MS;
  const slow = await fleet.inForce((await fleet.publish()).version);
  fleet.platform.faults.delayMs = 0;
  await pause(3_000);
  const rules = await fleet.publish();
  fleet.platform.faults.down = true;
  const records = fleet.nodes.map(n => n.record);
  const platform = {url: fleet.url, timeoutMs: 2_000};
  const handed = pushRules({platform, peers: PEERS}, records, rules);
  const down = await fleet.inForce(rules.version);
  handed.forEach(connection => connection.close());
  const intact = fleet.nodes.every(
    n => sha256Hex(n.activeRules.current().text) === rules.hash,
  );
  if (!intact) throw new Error('a member has another text in force');
  await fleet.stop();
  const named = (name: string, current: number): Measurement => ({
    name: `time in force at ${MEMBERS} members, platform ${name}`,
    unit: 'ms',
    current,
    bound: {relation: 'at most', value: TARGET_MS},
    portable: false,
  });
  return [
    named('up', up),
    named(`slow (${SLOW_MS} ms a call)`, slow),
    named('down just after acceptance', down),
  ];
}

/** Bytes that all client sockets of this process sent and received. */
class SocketMeter {
  private readonly sockets = new Set<net.Socket>();
  private closedBytes = 0;

  private readonly opened = (message: unknown) => {
    const {socket} = message as {readonly socket: net.Socket};
    this.sockets.add(socket);
    socket.once('close', () => {
      this.closedBytes += socket.bytesRead + socket.bytesWritten;
      this.sockets.delete(socket);
    });
  };

  start(): void {
    subscribe('net.client.socket', this.opened);
  }

  stop(): void {
    unsubscribe('net.client.socket', this.opened);
  }

  bytes(): number {
    let total = this.closedBytes;
    for (const s of this.sockets) total += s.bytesRead + s.bytesWritten;
    return total;
  }
}

async function traffic(size: number): Promise<Measurement> {
  const meter = new SocketMeter();
  meter.start();
  const fleet = new Fleet();
  await fleet.start(size);
  await pause(5_000);
  const before = meter.bytes();
  const changes = Math.round((WINDOW_MS / 1_000) * (16_000 / 86_400));
  for (let i = 0; i < changes; i++) await fleet.publish();
  await pause(WINDOW_MS);
  const bytes = meter.bytes() - before;
  await fleet.stop();
  meter.stop();
  // Each byte is sent by one member and received by another.
  const perMember = (2 * bytes) / size / (WINDOW_MS / 1_000);
  return {
    name: `control bytes a second and member, sent and received, ${size} members`,
    unit: 'B/s',
    current: perMember,
    bound: {relation: 'at most', value: TARGET_BYTES_PER_S},
    portable: false,
    note: 'without TCP/IP headers; 16,000 changes a day; 3 zones',
  };
}

export const row: Row = {
  name: 'rules',
  seed: 1,
  async run() {
    const measures = [...(await timesInForce())];
    for (const size of SIZES) measures.push(await traffic(size));
    return measures;
  },
};
