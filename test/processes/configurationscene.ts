/**
 * Entries in processes of their own, each of which reads the store at an address of
 * its own, an operator that adds, moves and removes routes, and callers that ask each
 * entry for the routes that have changed.
 */
import http from 'node:http';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {waitUntil} from '../../standins/binaryprocess';
import {sendAsCaller} from '../../standins/caller';
import {answerWith, EndpointStandin} from '../../standins/endpoint';
import {PlatformProcess} from '../../standins/platformprocess';
import {freePort} from '../../standins/ports';
import {StoreStandin} from '../../standins/store';
import {ConfigurationJudge, Outcome} from './configurationjudge';

const HOST = 'desk.example';
const CALLERS_PORT = 8_080;
const READINESS_PORT = 8_081;
const SERVICES = ['old', 'new'] as const;
/** A service without routes, whose registrations raise the store's version. */
const IDLE = 'idle';
const IDLE_ENDPOINTS = 12;
const ROUTE_TIMEOUT_MS = 1_500;
/** Time after a change in which its route is asked for at each interval. */
const ASKED_MS = 4_000;
/** Time after a change in which its route is asked for at every fourth. */
const SELDOM_ASKED_MS = 10_000;
/** A process that is killed may have this much of its log unwritten. */
const UNWRITTEN_LOG_MS = 1_000;
/** Delay of this process above which its store counts as slow. */
const HELD_UP_MS = 300;
export const BOUNDS = {
  configurationMs: 2_000,
  contactMs: 3_000,
  maxSkewMs: 5_000,
};

export function pause(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}

/** A source of choices that are the same for the same seed. */
export class Choices {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** From `min` to `max`, both included. */
  integer(min: number, max: number): number {
    return uniformInt(this.generator, min, max);
  }

  of<T>(values: readonly T[]): T {
    return values[this.integer(0, values.length - 1)]!;
  }
}

interface Refusal {
  readonly id: string;
  readonly atMs: number;
}

interface Entry {
  readonly name: string;
  readonly ip: string;
  readonly store: string;
  readonly agent: http.Agent;
  process: PlatformProcess;
  /** Refusals with 404 by the process that runs now. */
  refusals: Refusal[];
}

/** A configuration as the operator wrote it. */
interface Written {
  readonly config: number;
  readonly storeVersion: number;
  readonly routes: ReadonlyMap<string, Outcome>;
}

let nextHost = 20;

export class ConfigurationScene {
  readonly store = new StoreStandin();
  readonly judge = new ConfigurationJudge(BOUNDS);
  /** Refusals with 404 that are in no log. */
  readonly unlogged: Refusal[] = [];
  entries: Entry[] = [];
  /** Whether the operator writes nothing by itself. */
  isOperatorPaused = false;
  private readonly endpoints = [...SERVICES, IDLE].map(
    name => new EndpointStandin(answerWith(name)),
  );
  private readonly written: Written[] = [];
  private readonly changedMs = new Map<string, number>();
  private readonly removed: string[] = [];
  private added = 0;
  private requests = 0;
  private stopped = false;
  private startedMs = 0;
  private loops: Promise<void>[] = [];

  constructor(
    readonly choices: Choices,
    private readonly routeCount: number,
  ) {
    this.store.handleVersion = (client, version) =>
      this.judge.recordTold(client, version);
  }

  async start(entryCount: number): Promise<void> {
    this.store.era = 1;
    for (const endpoint of this.endpoints) await endpoint.start();
    await this.registerEndpoints();
    const routes = Array.from(
      {length: this.routeCount},
      (_, i): [string, Outcome] => [`r${i}`, SERVICES[i % 2]!],
    );
    this.write(new Map(routes), true);
    this.startedMs = performance.now();
    for (let i = 0; i < entryCount; i++) {
      const name = `entry-${i}`;
      const {pid} = process;
      // A loopback address of its own, because the metrics port is fixed.
      const ip = `127.${1 + (pid % 254)}.${(pid >> 8) % 256}.${nextHost++ % 250}`;
      const store = await this.store.start(name);
      const agent = new http.Agent({keepAlive: true});
      const address = {name, ip, store, agent, refusals: []};
      const entry = {...address, process: await this.startProcess(address)};
      this.entries.push(entry);
    }
    for (const entry of this.entries) {
      const serves = async () => (await this.ask(entry, 'r0')) === 200;
      await waitUntil(serves, `${entry.name} to serve`, 40_000);
    }
    const registrationMs = this.choices.of([2_000, 6_000, 16_000]);
    this.loops = [
      this.repeat(300, 600, () => this.isOperatorPaused || this.change()),
      this.repeat(0, 2 * registrationMs, () => this.registerEndpoints()),
      ...this.entries.map(entry => this.askForChanges(entry)),
      this.watchDelays(),
    ];
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.loops);
    // Logs are written asynchronously.
    await pause(UNWRITTEN_LOG_MS);
    for (const entry of this.entries) {
      this.checkLog(entry);
      entry.agent.destroy();
      await entry.process.stop();
    }
    this.store.stop();
    this.endpoints.forEach(endpoint => endpoint.stop());
  }

  /** Ends the process of an entry and starts another in its place. */
  async restart(entry: Entry, signal: NodeJS.Signals): Promise<void> {
    const end = this.judge.beginTrouble(entry.name);
    const endedMs = performance.now();
    await entry.process.stop(signal);
    this.checkLog(entry, signal === 'SIGKILL' ? endedMs : Infinity);
    this.judge.recordStart(entry.name);
    entry.refusals = [];
    entry.process = await this.startProcess(entry);
    end();
  }

  /** Resets the connections between the store and one entry. */
  reset(entry: Entry): void {
    const end = this.judge.beginTrouble(entry.name);
    this.store.resetConnections([entry.name]);
    end();
  }

  /** Adds, moves or removes a route, or adds one again that was removed. */
  change(): void {
    const {choices, removed} = this;
    const routes = new Map(this.written.at(-1)!.routes);
    const names = [...routes.keys()];
    const kind = choices.integer(0, 3);
    const name = kind < 2 ? this.nameToAdd() : choices.of(names);
    if (kind < 2) {
      routes.set(name, choices.of(SERVICES));
    } else if (kind === 2) {
      routes.set(name, routes.get(name) === 'old' ? 'new' : 'old');
    } else {
      routes.delete(name);
      removed.push(name);
    }
    this.write(routes);
    this.changedMs.set(name, performance.now());
  }

  /** Writes again what the operator wrote after this version of the store. */
  writeAgain(storeVersion: number, lastOnly: boolean): void {
    const lost = this.written.filter(w => w.storeVersion > storeVersion);
    for (const {config, routes} of lastOnly ? lost.slice(-1) : lost)
      this.put(config, routes);
  }

  /** Registers all endpoints, one after another with pauses of up to `pauseMs`. */
  async registerEndpoints(pauseMs = 0): Promise<void> {
    const register = async (id: string, service: string, i: number) => {
      if (pauseMs > 0) await pause(this.choices.integer(0, pauseMs));
      const {address} = this.endpoints[i]!;
      const row = {service, address, zone: 'z1', slots: 64, state: 'ready'};
      this.store.put('servers', id, row);
    };
    for (const [i, service] of SERVICES.entries())
      await register(service, service, i);
    for (let i = 0; i < IDLE_ENDPOINTS; i++)
      await register(`idle-${i}`, IDLE, SERVICES.length);
  }

  /** Time for which the store has held a configuration. */
  get ageMs(): number {
    return performance.now() - this.startedMs;
  }

  /** Takes the store back to a copy. */
  restore(ageMs: number): number {
    const copy = this.store.stateOf(ageMs);
    this.store.restore(copy);
    this.judge.forgetVersions(copy.version);
    const held = this.written.findLast(w => w.storeVersion <= copy.version)!;
    this.judge.recordRoutes(held.routes, held.storeVersion);
    return copy.version;
  }

  private nameToAdd(): string {
    const again = this.choices.integer(0, 1) === 1 && this.removed.shift();
    return again || `added-${this.added++}`;
  }

  private write(routes: ReadonlyMap<string, Outcome>, isFirst = false): void {
    const last = this.written.at(-1)?.config ?? 0;
    this.put(last + this.choices.integer(1, 3), routes, isFirst);
  }

  private put(
    config: number,
    routes: ReadonlyMap<string, Outcome>,
    isFirst = false,
  ): void {
    const storeVersion = this.store.put('op', 'config', {
      version: config,
      routes: [...routes].map(([name, service]) => ({
        name,
        host: HOST,
        prefix: `/${name}/`,
        kind: 'idempotent',
        'timeout-ms': ROUTE_TIMEOUT_MS,
        service,
        public: true,
      })),
      services: [...SERVICES, IDLE].map(name => ({name})),
      limits: {},
    });
    this.written.push({config, storeVersion, routes});
    this.judge.recordRoutes(routes, storeVersion, isFirst);
  }

  private async startProcess(
    entry: Pick<Entry, 'ip' | 'store'>,
  ): Promise<PlatformProcess> {
    return new PlatformProcess({
      program: 'entry',
      ip: entry.ip,
      callersPort: CALLERS_PORT,
      readinessPort: READINESS_PORT,
      peerPort: await freePort(),
      store: entry.store,
      memoryMb: 202,
      maxFds: 2_000,
      bounds: {
        'config-apply-ms': BOUNDS.configurationMs,
        'contact-ms': BOUNDS.contactMs,
        'drain-timeout-ms': 2_000,
      },
    });
  }

  private async repeat(
    minMs: number,
    maxMs: number,
    action: () => unknown,
  ): Promise<void> {
    while (!this.stopped) {
      await pause(this.choices.integer(minMs, maxMs));
      if (!this.stopped && this.store.mode === 'normal') action();
    }
  }

  /** The store is slow while this process is held up. */
  private async watchDelays(): Promise<void> {
    while (!this.stopped) {
      const startMs = performance.now();
      await pause(100);
      if (performance.now() - startMs > 100 + HELD_UP_MS)
        this.judge.beginTrouble(undefined, true, startMs)();
    }
  }

  private async askForChanges(entry: Entry): Promise<void> {
    for (let turn = 0; !this.stopped; turn++) {
      await pause(200 + Math.random() * 100);
      const limitMs = turn % 4 === 0 ? SELDOM_ASKED_MS : ASKED_MS;
      const sinceMs = performance.now() - limitMs;
      for (const [route, ms] of this.changedMs) {
        if (ms >= sinceMs) void this.ask(entry, route);
      }
    }
  }

  /** The status of one request; 0 without a whole answer. */
  private async ask(entry: Entry, route: string): Promise<number> {
    const id = `request-${(this.requests += 1)}`;
    const sentMs = performance.now();
    const {refusals} = entry;
    const reply = await sendAsCaller({
      entry: `${entry.ip}:${CALLERS_PORT}`,
      path: `/${route}/1`,
      headers: {
        Host: HOST,
        'Boragemill-Request-Id': id,
        'Boragemill-Deadline-Ms': String(ROUTE_TIMEOUT_MS),
      },
      agent: entry.agent,
    }).catch(() => undefined);
    if (!reply?.whole) return 0;
    const {status, body} = reply;
    if (status === 404) refusals.push({id, atMs: performance.now()});
    if (status === 404 || status === 200) {
      const outcome = status === 404 ? 'none' : (body as Outcome);
      this.judge.recordAnswer({entry: entry.name, route, sentMs, outcome});
    }
    return status;
  }

  private checkLog({process, refusals}: Entry, killedMs = Infinity): void {
    const logged = new Set<string>();
    for (const line of process.output.join('').split('\n')) {
      if (!line.includes('"event":"refused"')) continue;
      logged.add(/"request":"([^"]*)"/.exec(line)?.[1] ?? '');
    }
    for (const refusal of refusals) {
      const mayBeUnwritten = refusal.atMs > killedMs - UNWRITTEN_LOG_MS;
      if (!logged.has(refusal.id) && !mayBeUnwritten)
        this.unlogged.push(refusal);
    }
  }
}
