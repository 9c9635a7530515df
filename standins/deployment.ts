/**
 * A small deployment on loopback. The platform stand-in runs in this process;
 * entries and sidecars run as separate processes of the real binary.
 */
import {createHash} from 'node:crypto';
import {sha256Hex} from '../src/rules/patch';
import {HEAD_KEY} from '../src/rules/publish';
import {Facts} from '../src/observe/facts';
import {InstanceRecord} from '../src/platform/client';
import {fetchFactsJson} from '../src/wire/client';
import {Network} from './network';
import {PlatformStandin} from './platform';
import {PeerSettings} from '../src/settings/schema';
import {BinaryProcess, waitUntil} from './binaryprocess';

export interface SidecarOptions {
  readonly instance: string;
  readonly zone: string;
  readonly kind: 'model' | 'service';
  readonly name: string;
  readonly url: string;
  readonly coldConcurrent?: number;
  readonly maxConcurrent?: number;
  readonly kvTokens?: number;
  readonly targetStepMs?: number;
  readonly drainMs?: number;
  readonly group?: object;
}

export interface EntryProcess {
  readonly process: BinaryProcess;
  readonly url: string;
  /** `host:port` of the gRPC listener for peers and operators. */
  readonly address: string;
}

/** Poll interval of the instance list; short so that tests run quickly. */
const LIST_INTERVAL_MS = 500;
const SHARED_KEY = 'a shared key for loopback tests';

/** The given peer settings, with defaults for seeds and heartbeats. */
export function peerSettings(given: Partial<PeerSettings>): PeerSettings {
  return {seeds: [], heartbeatMs: 1_000, ...given};
}

/** The hash of an account key as rule files write it. */
export function keyHash(key: string): string {
  return `sha256:${createHash('sha256').update(key).digest('hex')}`;
}

export class Deployment {
  readonly platform = new PlatformStandin();
  readonly network = new Network();
  readonly processes: BinaryProcess[] = [];
  private instanceRecords: InstanceRecord[] = [];

  constructor(
    /** Peer settings of every process, with the key or certificates. */
    readonly peers: PeerSettings = peerSettings({sharedKey: SHARED_KEY}),
    /** Settings added to those of every process. */
    private readonly extraSettings: object = {},
  ) {}

  /** Base URL of the platform, without a zone path. */
  platformUrl = '';
  private ruleVersion = 0;
  private metricsPort: number | undefined;

  /** Starts the platform and publishes a first rule file. */
  async start(rules: string, metricsPort?: number): Promise<void> {
    this.metricsPort = metricsPort;
    this.platformUrl = await this.platform.start();
    this.platform.addressFor = (zone, record) =>
      this.routes.get(`${zone} ${record.instance}`) ?? record.address;
    this.publish(rules);
  }

  /** Stores a rule file in the platform as the next accepted version. */
  publish(rules: string): void {
    const hash = sha256Hex(rules);
    this.ruleVersion += 1;
    const value = {
      version: this.ruleVersion,
      hash,
      operation: `${this.ruleVersion}`,
    };
    this.platform.objects.set(hash, rules);
    this.platform.rows.set(HEAD_KEY, {version: this.ruleVersion, value});
  }

  async addSidecar(options: SidecarOptions): Promise<BinaryProcess> {
    const {instance, zone, kind, name, url, drainMs, group} = options;
    const process = new BinaryProcess('sidecar', instance, {
      ...this.commonSettings(instance, zone, drainMs),
      listen: {grpc: '127.0.0.1:0'},
      endpoint: {
        kind,
        name,
        url,
        coldConcurrent: options.coldConcurrent ?? 4,
        maxConcurrent: options.maxConcurrent ?? 32,
        kvTokens: options.kvTokens ?? 200_000,
        targetStepMs: options.targetStepMs ?? 50,
      },
      ...(group ? {group} : {}),
    });
    this.processes.push(process);
    const {grpc} = await process.waitForPorts();
    await this.addToInstanceList(instance, zone, 'sidecar', grpc!, kind, name);
    return process;
  }

  async addEntry(
    instance: string,
    zone: string,
    limits: object = {},
    drainMs?: number,
  ): Promise<EntryProcess> {
    const process = new BinaryProcess('entry', instance, {
      ...this.commonSettings(instance, zone, drainMs),
      listen: {http: '127.0.0.1:0', grpc: '127.0.0.1:0'},
      limits,
    });
    this.processes.push(process);
    const {http, grpc} = await process.waitForPorts();
    await this.addToInstanceList(instance, zone, 'entry', grpc!, '', '');
    const address = `127.0.0.1:${grpc}`;
    return {process, url: `http://127.0.0.1:${http}`, address};
  }

  /** Waits until a request for `path` at an entry gets a successful answer. */
  async waitUntilReachable(url: string, path: string, init: RequestInit) {
    const ok = async () => {
      const answer = await fetch(url + path, init);
      await answer.arrayBuffer();
      return answer.ok;
    };
    await waitUntil(ok, `${path} at ${url}`);
  }

  /** Waits until every listed process has applied the latest rule file. */
  async waitUntilRulesApplied(): Promise<void> {
    const applied = async () => {
      const facts = this.instanceRecords.map(({address}) =>
        this.facts(address),
      );
      const versions = (await Promise.all(facts)).map(f => f.rules?.version);
      return versions.every(version => version === this.ruleVersion);
    };
    await waitUntil(applied, `rule version ${this.ruleVersion} to be in force`);
  }

  /** Waits until an entry has links to the sidecars of all zones. */
  async linked({address}: EntryProcess): Promise<void> {
    const sidecars = this.instanceRecords.filter(
      ({role}) => role === 'sidecar',
    );
    const all = async () => {
      const {links} = await this.facts(address);
      return links?.linked.length === sidecars.length;
    };
    await waitUntil(all, `${address} to link to ${sidecars.length} sidecars`);
  }

  /** The state that a process reports to operators. */
  async facts(address: string): Promise<Facts> {
    return JSON.parse(await fetchFactsJson(address, this.peers)) as Facts;
  }

  /** Sets an instance to `leaving` in the platform's list. */
  markLeaving(instance: string): void {
    this.instanceRecords = this.instanceRecords.map(record =>
      record.instance === instance ? {...record, state: 'leaving'} : record,
    );
    this.platform.setInstances(this.instanceRecords);
  }

  removeFromInstanceList(instance: string): void {
    this.instanceRecords = this.instanceRecords.filter(
      r => r.instance !== instance,
    );
    this.platform.setInstances(this.instanceRecords);
  }

  async stop(): Promise<void> {
    for (const process of this.processes) process.kill('SIGKILL');
    await Promise.all(this.processes.map(process => process.exited));
    this.platform.stop();
    this.network.stop();
  }

  private commonSettings(
    instance: string,
    zone: string,
    drainMs = 10_000,
  ): object {
    return {
      instance,
      zone,
      platform: {
        url: `${this.platformUrl}/zones/${zone}`,
        listMs: LIST_INTERVAL_MS,
      },
      peers: this.peers,
      drainMs,
      ...this.extraSettings,
      ...(this.metricsPort ? {metrics: {port: this.metricsPort}} : {}),
    };
  }

  /** Disconnects a zone from the platform and from every other zone. */
  isolateZone(zone: string): void {
    this.platform.cutZones.add(zone);
    for (const other of this.zones()) {
      if (other !== zone) this.network.cut(zone, other);
    }
  }

  /** Restores all connections between zones and to the platform. */
  reconnectAll(): void {
    this.platform.cutZones.clear();
    this.network.healAll();
  }

  private zones(): readonly string[] {
    return [...new Set(this.instanceRecords.map(record => record.zone))];
  }

  /**
   * Addresses by `<viewer> <instance>`: where processes of the viewer zone
   * reach the instance.
   */
  private readonly routes = new Map<string, string>();

  private async updateRoutes(): Promise<void> {
    for (const viewer of this.zones()) {
      for (const {instance, zone, address} of this.instanceRecords) {
        const port = Number(address.split(':')[1]);
        const relayed = await this.network.relayPort(viewer, zone, port);
        this.routes.set(`${viewer} ${instance}`, `127.0.0.1:${relayed}`);
      }
    }
  }

  private async addToInstanceList(
    instance: string,
    zone: string,
    role: 'entry' | 'sidecar',
    port: number,
    targetKind: string,
    target: string,
  ): Promise<void> {
    const address = `127.0.0.1:${port}`;
    const kept = this.instanceRecords.filter(r => r.instance !== instance);
    const state = 'live' as const;
    this.instanceRecords = [
      ...kept,
      {instance, zone, role, address, state, targetKind, target},
    ];
    await this.updateRoutes();
    this.platform.setInstances(this.instanceRecords);
  }
}
