/**
 * Model of the coordination of groups of ranks, in virtual time.
 *
 * The sidecars of a service exchange messages over links and processors that
 * handle one message after another, as those of small machines do.
 */
import http from 'node:http';
import {InputPace} from '../src/kernel/inputpace';
import {BodyAccount} from '../src/gateway/memoryaccounts';
import {Readable} from 'node:stream';
import {VirtualClock} from '../bench/support/virtualclock';
import {Clock, repeatEvery} from '../src/kernel/clock';
import {JsonClient, JsonResponse} from '../src/kernel/jsonclient';
import {Log} from '../src/observe/log';
import {MAP_PATH, RankAgent} from '../src/ranks/agent';
import {Coordinator, ExpertLimits} from '../src/ranks/coordinator';
import {Engine} from '../src/ranks/engine';
import {meanSkew} from '../src/ranks/placement';
import {
  OrderOutcome,
  RankExperts,
  RankOrder,
  RankReport,
} from '../src/ranks/rank';
import {createRankClient, PASSED_MAP_TIMEOUT_MS} from '../src/ranks/rankclient';
import {RoundTrips} from '../src/ranks/roundtrip';

/** The size of a service's groups, and what their machines can carry. */
export interface SiteShape {
  readonly groups: number;
  readonly ranks: number;
  readonly limits: ExpertLimits;
  /** Rate of each direction of a machine's link. */
  readonly linkBytesPerMs: number;
  /** Time that a machine's processor takes to send or to receive a message. */
  readonly messageMs: number;
  /** Time from one pass to the next; 60 ms if absent. */
  readonly passMs?: number;
  /** Demand of the experts; as in `DEMAND` if absent. */
  readonly demand?: DemandShape;
}

/** How uneven the demand is, and how often it moves to other experts. */
export interface DemandShape {
  /** Share of an expert is proportional to its place to the power of this. */
  readonly exponent: number;
  readonly shiftIntervalMs: number;
  /** Largest skew of a map that fits the demand. */
  readonly fittingSkew: number;
}

const PASS_INTERVAL_MS = 60;
const DEMAND: DemandShape = {
  exponent: -0.94,
  shiftIntervalMs: 6_000,
  fittingSkew: 2,
};
/** Choices of a rank in each set; counts then have up to five digits. */
const CHOICES_PER_MS = 6.7;
/** Time for which the ranks have counted choices before the start. */
const COUNTED_MS = 20_000;
const LATENCY_MS = 1;
/** Size of the head of a request or an answer. */
const HEAD_BYTES = 200;
const ENGINE_READ_TIMEOUT_MS = 500;
const SIDECAR_PORT = 9_000;

const ignoreLog: Log = () => undefined;

/** Does one piece of work after another, in the order in which they come. */
class SerialResource {
  /** Time for which it has worked. */
  busyMs = 0;
  private freeAtMs = 0;

  constructor(private readonly clock: Clock) {}

  run(ms: number, then: () => void): void {
    const nowMs = this.clock.elapsedMs();
    this.busyMs += ms;
    this.freeAtMs = Math.max(nowMs, this.freeAtMs) + ms;
    this.clock.after(this.freeAtMs - nowMs, then);
  }
}

class Machine {
  readonly inbound: SerialResource;
  readonly outbound: SerialResource;
  readonly processor: SerialResource;
  /** Bytes of answers to reads by this machine, on its link. */
  readBytes = 0;
  /** Reads of engines on other machines. */
  engineReads = 0;
  stopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly shape: SiteShape,
  ) {
    this.inbound = new SerialResource(clock);
    this.outbound = new SerialResource(clock);
    this.processor = new SerialResource(clock);
  }

  sendTo(target: Machine, text: string, deliver: () => void): void {
    if (target === this) return deliver();
    const {linkBytesPerMs, messageMs} = this.shape;
    const linkMs = (HEAD_BYTES + Buffer.byteLength(text)) / linkBytesPerMs;
    const receive = () =>
      target.processor.run(messageMs, () => {
        if (!this.stopped && !target.stopped) deliver();
      });
    this.processor.run(messageMs, () =>
      this.outbound.run(linkMs, () =>
        this.clock.after(LATENCY_MS, () => target.inbound.run(linkMs, receive)),
      ),
    );
  }

  /** Sends a request and resolves to the answer; rejects at the timeout. */
  exchange(
    target: Machine,
    request: {readonly text: string; readonly isRead: boolean},
    respond: () => Promise<string>,
    timeoutMs: number,
  ): Promise<string> {
    return new Promise((resolve, reject) => {
      const timer = this.clock.after(timeoutMs, () =>
        reject(new Error('timeout')),
      );
      const fail = (error: unknown) => {
        timer.cancel();
        reject(error);
      };
      this.sendTo(target, request.text, () => {
        respond().then(answer => {
          if (request.isRead && target !== this)
            this.readBytes += HEAD_BYTES + Buffer.byteLength(answer);
          target.sendTo(this, answer, () => {
            timer.cancel();
            resolve(answer);
          });
        }, fail);
      });
    });
  }
}

/** Carries calls between sidecars over the machines' links. */
class SimulatedCaller extends JsonClient {
  constructor(
    private readonly machine: Machine,
    private readonly nodeAt: (host: string) => Node,
  ) {
    super();
  }

  override async call(
    method: 'GET' | 'POST',
    address: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<JsonResponse> {
    const target = this.nodeAt(address.split(':')[0]!);
    const text = body === undefined ? '' : JSON.stringify(body);
    let status = 0;
    const respond = async () => {
      const answer = await serve(target.agent, method, path, text);
      status = answer.status;
      return answer.text;
    };
    const request = {text: path + text, isRead: method === 'GET'};
    const answer = await this.machine.exchange(
      target.machine,
      request,
      respond,
      timeoutMs,
    );
    const parsed = answer === '' ? undefined : JSON.parse(answer);
    return {status, headers: {}, body: parsed};
  }
}

/** Has an agent handle an HTTP request without a socket. */
function serve(
  agent: RankAgent,
  method: string,
  url: string,
  body: string,
): Promise<{readonly status: number; readonly text: string}> {
  return new Promise(resolve => {
    let status = 0;
    const req = Object.assign(Readable.from([Buffer.from(body)]), {
      method,
      url,
      headers: {},
    });
    const res = {
      writeHead: (code: number) => (status = code),
      end: (text?: string | Buffer) =>
        resolve({status, text: text?.toString() ?? ''}),
    };
    agent.handle(
      req as unknown as http.IncomingMessage,
      res as unknown as http.ServerResponse,
    );
  });
}

/** An engine that is called from another machine. */
function remoteEngine(from: Machine, target: Node): Engine {
  const read = async <T>(value: () => Promise<T>): Promise<T> => {
    from.engineReads += 1;
    const respond = async () => JSON.stringify(await value());
    const request = {text: '', isRead: true};
    return JSON.parse(
      await from.exchange(
        target.machine,
        request,
        respond,
        ENGINE_READ_TIMEOUT_MS,
      ),
    );
  };
  const engine: Engine = target.engine;
  return {
    report: () => read(() => engine.report()),
    counts: () => read(() => engine.counts()),
    experts: () => read(() => engine.experts()),
    async order(epoch, order, timeoutMs) {
      const request = {text: JSON.stringify(order), isRead: false};
      const respond = () => engine.order(epoch, order, timeoutMs);
      try {
        const outcome = await from.exchange(
          target.machine,
          request,
          respond,
          timeoutMs,
        );
        return outcome as OrderOutcome;
      } catch {
        return 'unknown';
      }
    },
  };
}

/** The passes that the ranks of a group run together. */
export class SimulatedGroup {
  pass = 0;
  /** Passes that ranks began with different maps, or with maps in other order. */
  readonly mixedPasses: number[] = [];
  /** Time for which the group has waited at a hold. */
  heldMs = 0;
  /** When demand shifted, and when the map was even enough again. */
  readonly shifts: {readonly atMs: number; fitsAtMs: number | undefined}[] = [];
  readonly engines: readonly SimulatedEngine[];
  private readonly demand: DemandShape;
  private readonly passMs: number;

  constructor(
    readonly name: string,
    readonly clock: Clock,
    readonly shape: SiteShape,
  ) {
    this.engines = Array.from(
      {length: shape.ranks},
      (_, rank) => new SimulatedEngine(this, rank),
    );
    this.demand = shape.demand ?? DEMAND;
    this.passMs = shape.passMs ?? PASS_INTERVAL_MS;
    repeatEvery(clock, this.passMs, () => this.beginPass());
  }

  private beginPass(): void {
    const next = this.pass + 1;
    if (this.engines.some(e => e.held === next)) {
      this.heldMs += this.passMs;
      return;
    }
    this.pass = next;
    this.engines.forEach(e => e.switchMap(next));
    if (new Set(this.engines.map(e => `${e.mapInUse} ${e.mapText}`)).size > 1)
      this.mixedPasses.push(next);
    this.recordShifts();
  }

  /** Records when the map in use fits the demand after each shift. */
  private recordShifts(): void {
    const nowMs = this.clock.elapsedMs();
    const {shiftIntervalMs, fittingSkew} = this.demand;
    const period = Math.floor((COUNTED_MS + nowMs) / shiftIntervalMs);
    const atMs = period * shiftIntervalMs - COUNTED_MS;
    let shift = this.shifts.at(-1);
    if (shift?.atMs !== atMs) {
      shift = {atMs, fitsAtMs: undefined};
      this.shifts.push(shift);
    }
    if (shift.fitsAtMs !== undefined) return;
    const {sets} = this.shape.limits;
    const map = Array.from({length: sets}, (_, set) =>
      this.engines.map(engine => engine.expertsInUse[set]!),
    );
    if (meanSkew(map, this.shares(period)) <= fittingSkew)
      shift.fitsAtMs = nowMs;
  }

  /** Share of each expert in the demand between two shifts, set by set. */
  private shares(period: number): readonly (readonly number[])[] {
    const {sets, experts} = this.shape.limits;
    const weights = Array.from(
      {length: experts},
      (_, i) => (i + 1) ** this.demand.exponent,
    );
    const sum = weights.reduce((a, b) => a + b, 0);
    const offset = period * 31;
    return Array.from({length: sets}, (_, set) =>
      Array.from({length: experts}, (_, expert) => {
        const place = (expert * (2 * set + 5) + offset) % experts;
        return weights[place]! / sum;
      }),
    );
  }

  /** Total counts of a rank; demand moves to other experts at intervals. */
  counts(): readonly number[] {
    const {sets, experts} = this.shape.limits;
    const {shiftIntervalMs} = this.demand;
    const totals = new Array<number>(sets * experts).fill(0);
    const endMs = COUNTED_MS + this.clock.elapsedMs();
    for (let period = 0; period * shiftIntervalMs < endMs; period++) {
      const ms = Math.min(shiftIntervalMs, endMs - period * shiftIntervalMs);
      this.shares(period).forEach((shares, set) =>
        shares.forEach((share, expert) => {
          totals[set * experts + expert]! += ms * CHOICES_PER_MS * share;
        }),
      );
    }
    return totals.map(n => Math.floor(n));
  }
}

class SimulatedEngine implements Engine {
  held: number | undefined;
  stopped = false;
  private map = 0;
  private mapExperts: RankExperts;
  private text = '';
  private highestVersion = 0;
  private copied:
    | {
        readonly version: number;
        readonly atMs: number;
        readonly experts: RankExperts;
        readonly text: string;
      }
    | undefined;
  private armed: {readonly version: number; readonly pass: number} | undefined;

  constructor(
    private readonly group: SimulatedGroup,
    private readonly rank: number,
  ) {
    const {ranks, limits} = group.shape;
    const perRank = limits.experts / ranks;
    this.mapExperts = Array.from({length: limits.sets}, () =>
      Array.from({length: perRank}, (_, i) => i * ranks + rank),
    );
  }

  get expertsInUse(): RankExperts {
    return this.mapExperts;
  }

  /** The whole map in use, as it was ordered. */
  get mapText(): string {
    return this.text;
  }

  get mapInUse(): number {
    return this.map;
  }

  switchMap(pass: number): void {
    if (this.armed?.pass !== pass) return;
    this.map = this.armed.version;
    this.mapExperts = this.copied!.experts;
    this.text = this.copied!.text;
    this.armed = undefined;
  }

  async report(): Promise<RankReport> {
    this.checkRunning();
    const {copied, group} = this;
    const isCopied = copied && copied.atMs <= group.clock.elapsedMs();
    return {
      group: group.name,
      epoch: 1,
      rank: this.rank,
      size: group.shape.ranks,
      open: true,
      pass: group.pass,
      map: this.map,
      prepared: isCopied ? copied.version : undefined,
      armed: this.armed?.version,
      held: this.held,
      running: 10,
      queued: 0,
      pace: 1,
    };
  }

  async counts(): Promise<readonly number[]> {
    this.checkRunning();
    return this.group.counts();
  }

  async experts() {
    this.checkRunning();
    return {version: this.map, experts: this.mapExperts};
  }

  async order(
    _epoch: number,
    order: RankOrder,
    timeoutMs: number,
  ): Promise<OrderOutcome> {
    if (this.stopped) {
      const {clock} = this.group;
      await new Promise<void>(done => clock.after(timeoutMs, done));
      return 'unknown';
    }
    return this.carryOut(order) ? 'accepted' : 'refused';
  }

  private carryOut(order: RankOrder): boolean {
    const {group, copied} = this;
    const nowMs = group.clock.elapsedMs();
    switch (order.kind) {
      case 'prepare': {
        if (order.version === copied?.version) return true;
        if (order.version <= this.highestVersion || this.armed) return false;
        this.highestVersion = order.version;
        const experts = order.map.map(ranks => ranks[this.rank]!);
        const known = this.mapExperts.map(held => new Set(held));
        const copies = experts.flatMap((held, set) =>
          held.filter(expert => !known[set]!.has(expert)),
        ).length;
        const atMs = nowMs + copies * group.shape.limits.copyMsPerExpert;
        const text = JSON.stringify(order.map);
        this.copied = {version: order.version, atMs, experts, text};
        return true;
      }
      case 'arm':
        if (copied?.version !== order.version || copied.atMs > nowMs)
          return false;
        if (order.pass <= group.pass) return false;
        this.armed = {version: order.version, pass: order.pass};
        return true;
      case 'disarm':
        if (this.map === order.version) return false;
        if (this.armed?.version === order.version) this.armed = undefined;
        return true;
      case 'hold':
        if (order.pass <= group.pass) return false;
        if (this.held !== undefined && this.held !== order.pass) return false;
        this.held = order.pass;
        return true;
      case 'go':
        if (this.held === order.pass) this.held = undefined;
        return true;
    }
  }

  private checkRunning(): void {
    if (this.stopped) throw new Error('engine does not answer');
  }
}

/** A machine with a sidecar, and the engine beside it. */
export interface Node {
  readonly rank: number;
  readonly group: string;
  readonly machine: Machine;
  readonly engine: SimulatedEngine;
  agent: RankAgent;
  /** Starts the service of a sidecar that knows nothing from before. */
  readonly startAgent: () => RankAgent;
  readonly coordinator: Coordinator;
}

export class Site {
  readonly clock = new VirtualClock();
  readonly nodes = new Map<string, Node>();
  readonly groups: SimulatedGroup[] = [];

  constructor(shape: SiteShape) {
    const {clock} = this;
    const addresses: string[] = [];
    for (let g = 0; g < shape.groups; g++) {
      const group = new SimulatedGroup(`g${g}`, clock, shape);
      this.groups.push(group);
      group.engines.forEach((engine, rank) => {
        const host = `10.${g}.0.${rank + 1}`;
        addresses.push(`${host}:8325`);
        const machine = new Machine(clock, shape);
        const caller = new SimulatedCaller(machine, at => this.nodes.get(at)!);
        const startAgent = () =>
          new RankAgent(
            engine,
            clock,
            ignoreLog,
            {memory: new BodyAccount(Infinity), pace: new InputPace(clock)},
            (sidecar, reference) =>
              caller.call(
                'POST',
                sidecar,
                MAP_PATH,
                {reference, passTo: []},
                PASSED_MAP_TIMEOUT_MS,
              ),
          );
        const agent = startAgent();
        const roundTrips = new RoundTrips();
        const coordinator = new Coordinator({
          agent,
          addresses: () => addresses,
          sendHeartbeat: (targets, heartbeat) => {
            for (const address of targets) {
              const target = this.nodes.get(address.split(':')[0]!)!;
              machine.sendTo(target.machine, JSON.stringify(heartbeat), () =>
                target.agent.recordSign(heartbeat),
              );
            }
          },
          clientFor: address => {
            const remoteHost = address.split(':')[0]!;
            return createRankClient(
              address,
              `${remoteHost}:${SIDECAR_PORT}`,
              remoteEngine(machine, this.nodes.get(remoteHost)!),
              caller,
              clock,
              roundTrips,
            );
          },
          limits: () => shape.limits,
          clock,
          log: ignoreLog,
          random: () => 0.5,
        });
        this.nodes.set(host, {
          rank,
          group: group.name,
          machine,
          engine,
          agent,
          startAgent,
          coordinator,
        });
      });
    }
    // Processes do not start in the same millisecond.
    [...this.nodes.values()].forEach(({coordinator}, i) =>
      clock.after(i * 7, () => coordinator.start()),
    );
  }

  runUntil(endMs: number): Promise<void> {
    return this.clock.run(endMs);
  }

  /** Nodes other than those of rank 0 that lead. */
  otherLeaders(): readonly Node[] {
    return [...this.nodes.values()].filter(
      ({rank, coordinator}) => rank !== 0 && coordinator.isLeading(),
    );
  }

  get firstRanks(): readonly Node[] {
    return [...this.nodes.values()].filter(({rank}) => rank === 0);
  }
}
