/**
 * The world of the rule distribution model: many processes over a network
 * that delays, drops, doubles and reorders, and the platform.
 */
import {RuleBoard} from '../../src/rules/board';
import {
  decideDistribution,
  DistributionEffect,
  DistributionMessage,
  DistributionState,
  initialDistribution,
  VersionRef,
} from '../../src/rules/distribution';
import {mustStopNewWork} from '../../src/rules/cutoff';
import {parseRules} from '../../src/rules/parse';
import {hashOf} from '../../src/rules/patch';
import {PublishOutcome} from '../../src/rules/publish';
import {damaged, fail, Operator, Platform} from './rules-platform';

const ZONES = ['z0', 'z1', 'z2'];
export const PROCESSES = 9;
const START_MS = 1_000_000;
const BEAT_MS = 1_000;
/** Members that read the head in `converge`. */
const POLLERS = 2;
const CUTOFF_MS = 5_000;

interface Process {
  readonly id: string;
  readonly zone: string;
  life: number;
  alive: boolean;
  state: DistributionState;
  board: RuleBoard;
  /** The highest version that this life was told of by any source. */
  told: number;
  toldByPlatform: boolean;
  toldByPeer: boolean;
  /** Latest read of the platform of which word can have reached this life. */
  wordMs: number;
}

/** Something under way; `deliver` lets it arrive. */
interface Flight {
  readonly to: string;
  readonly life: number;
  /** Sender's zone, or `platform`. */
  readonly origin: string;
  readonly from: string;
  /** What the sender's `wordMs` was; 0 where it knows of no read. */
  readonly wordMs: number;
  readonly message: () => DistributionMessage;
}

export class World {
  nowMs = START_MS;
  readonly platform = new Platform();
  readonly processes: Process[] = [];
  flights: Flight[] = [];
  /** One-way cuts, as `from>to`. */
  readonly cuts = new Set<string>();
  /** Zones cut off from the platform and the others, but not from each other. */
  readonly cutZones = new Set<string>();
  /** Latest arrival in a zone of anything from outside it. */
  readonly outsideMs = new Map<string, number>();

  constructor() {
    for (let i = 0; i < PROCESSES; i++) {
      const zone = ZONES[i % ZONES.length]!;
      this.processes.push(this.born(`p${i}`, zone, 0));
    }
  }

  private born(id: string, zone: string, life: number): Process {
    const fault = (text: string) =>
      parseRules(text).err ? 'unreadable' : undefined;
    const settings = {instance: id, zone, fault};
    return {
      id,
      zone,
      life,
      alive: true,
      state: initialDistribution(settings, new Date(this.nowMs)),
      board: new RuleBoard(),
      told: 0,
      toldByPlatform: false,
      toldByPeer: false,
      wordMs: 0,
    };
  }

  restart(index: number): void {
    const {id, zone, life} = this.processes[index]!;
    this.processes[index] = this.born(id, zone, life + 1);
  }

  kill(index: number): void {
    this.processes[index]!.alive = false;
  }

  private cut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  /** Whether nothing passes between two zones, or a zone and `platform`. */
  private apart(a: string, b: string): boolean {
    return this.cutZones.has(a) !== this.cutZones.has(b);
  }

  /** Cuts all zones but one off together and lets them talk for `ms`. */
  cutTogether(left: number, ms: number): void {
    ZONES.filter((_, i) => i !== left).forEach(z => this.cutZones.add(z));
    for (const end = this.nowMs + ms; this.nowMs < end;) {
      this.nowMs += BEAT_MS;
      this.processes.forEach((_, i) => this.tick(i));
      this.processes.forEach((_, i) => this.heartbeat(i));
      while (this.flights.length > 0) this.arrive(this.flights.shift()!);
      this.check();
    }
  }

  heartbeat(index: number): void {
    const p = this.processes[index]!;
    if (!p.alive) return;
    for (const peer of this.processes) {
      if (peer !== p) this.beat(p, peer);
    }
  }

  private beat(p: Process, peer: Process): void {
    const {version, hash} = p.state.inForce;
    const {confirmedMs} = p.state;
    const rules = {version, hash, zone: p.zone};
    this.send(p, peer.id, () => ({
      kind: 'peer',
      instance: p.id,
      rules,
      confirmedMs,
    }));
  }

  private send(p: Process, to: string, message: () => DistributionMessage) {
    if (this.cut(p.id, to)) return;
    const peer = this.processes.find(q => q.id === to)!;
    const {zone: origin, id: from, wordMs} = p;
    this.flights.push({to, life: peer.life, origin, from, wordMs, message});
  }

  deliver(at: number, twice: boolean): void {
    if (this.flights.length === 0) return;
    const index = at % this.flights.length;
    const flight = this.flights[index]!;
    if (!twice) this.flights.splice(index, 1);
    this.arrive(flight);
  }

  /** Lets a text arrive damaged; its hash tells. */
  corrupt(at: number): void {
    if (this.flights.length === 0) return;
    const [flight] = this.flights.splice(at % this.flights.length, 1);
    const message = () => damaged(flight!.message());
    this.arrive({...flight!, message});
  }

  drop(at: number): void {
    if (this.flights.length > 0)
      this.flights.splice(at % this.flights.length, 1);
  }

  private arrive(flight: Flight): void {
    const {to, life, origin, from, wordMs, message} = flight;
    const p = this.processes.find(q => q.id === to)!;
    if (!p.alive || p.life !== life || this.cut(from, to)) return;
    if (this.apart(origin, p.zone)) return;
    const arrived = message();
    if (origin !== p.zone && arrived.kind !== 'headFailed') {
      this.outsideMs.set(p.zone, this.nowMs);
    }
    p.wordMs = Math.max(p.wordMs, wordMs);
    this.note(p, arrived);
    this.decide(p, arrived);
  }

  /** What the oracle remembers of what a process was told. */
  private note(p: Process, message: DistributionMessage): void {
    if (message.kind === 'peer') {
      p.told = Math.max(p.told, message.rules.version);
      if (message.rules.version > 0) p.toldByPeer = true;
    }
    if (message.kind === 'headRead') {
      p.told = Math.max(p.told, message.head.version);
      p.toldByPlatform = true;
      p.wordMs = Math.max(p.wordMs, message.readSentMs);
    }
    if (message.kind === 'gossip') p.toldByPeer = true;
  }

  tick(index: number): void {
    const p = this.processes[index]!;
    if (p.alive) this.decide(p, {kind: 'tick'});
  }

  members(index: number, poller: boolean): void {
    const p = this.processes[index]!;
    if (!p.alive) return;
    const candidates = this.processes.length - 1;
    this.decide(p, {kind: 'members', poller, candidates});
  }

  lost(index: number, peer: string): void {
    const p = this.processes[index]!;
    if (p.alive) this.decide(p, {kind: 'peerLost', instance: peer});
  }

  private decide(p: Process, message: DistributionMessage): void {
    const now = new Date(this.nowMs);
    const {state, effects} = decideDistribution(p.state, message, now);
    if (state.inForce.version < p.state.inForce.version) {
      fail(`${p.id} went back from ${p.state.inForce.version}`);
    }
    p.state = state;
    for (const effect of effects) this.carryOut(p, effect);
  }

  private carryOut(p: Process, effect: DistributionEffect): void {
    switch (effect.kind) {
      case 'readHead':
        return this.askHead(p);
      case 'readObject':
        return this.askObject(p, effect.wanted);
      case 'send': {
        const {message} = effect;
        return this.send(p, effect.peer, () => ({
          kind: 'gossip',
          peer: p.id,
          message,
        }));
      }
      case 'adopt':
        return this.adopt(p, effect.rules);
      case 'ready':
        return this.ready(p);
      case 'waiting':
      case 'refused':
        return;
    }
  }

  private askHead(p: Process): void {
    const askedMs = this.nowMs;
    this.fromPlatform(p, () =>
      this.platform.down
        ? {kind: 'headFailed'}
        : {
            kind: 'headRead',
            head: this.platform.readHead(0),
            readSentMs: askedMs,
          },
    );
  }

  private askObject(p: Process, wanted: VersionRef): void {
    this.fromPlatform(p, () => ({
      kind: 'object',
      wanted,
      text: this.platform.down
        ? undefined
        : this.platform.objects.get(wanted.hash),
    }));
  }

  private fromPlatform(p: Process, message: () => DistributionMessage): void {
    const {id, life} = p;
    const origin = 'platform';
    const flight = {to: id, life, origin, from: origin, wordMs: 0, message};
    this.flights.push(flight);
  }

  /** A read of the head that a lagging replica of the table answers. */
  staleRead(index: number, back: number): void {
    const p = this.processes[index]!;
    if (!p.alive || this.platform.down) return;
    if (this.cutZones.has(p.zone)) return;
    const head = this.platform.readHead(back);
    const message = {kind: 'headRead', head, askedMs: this.nowMs} as const;
    this.outsideMs.set(p.zone, this.nowMs);
    this.note(p, message);
    this.decide(p, message);
  }

  private adopt(p: Process, rules: DistributionState['inForce']): void {
    const known = this.platform.accepted.some(
      ({value}) => value.version === rules.version && value.hash === rules.hash,
    );
    if (!known) fail(`${p.id}: version ${rules.version} was never accepted`);
    if (hashOf(rules.text) !== rules.hash) fail(`${p.id}: wrong text`);
    const parsed = {...rules, rules: parseRules(rules.text).unwrap()};
    if (!p.board.adopt(parsed)) fail(`${p.id}: the board refused a version`);
    this.processes.filter(q => q !== p).forEach(q => this.beat(p, q));
  }

  private ready(p: Process): void {
    if (p.state.inForce.version < p.told) {
      fail(`${p.id} is ready below version ${p.told}, which it was told of`);
    }
    if (!p.toldByPlatform && !p.toldByPeer) {
      fail(`${p.id} is ready and heard neither the platform nor a peer`);
    }
  }

  stepOperator(at: number, fault: 'none' | 'lost' | 'late', back: number) {
    const accepted = this.platform.stepOperator(at, fault, back);
    if (accepted) this.push(accepted);
  }

  /** The operator's command hands an accepted file to two processes. */
  private push(operator: Operator): void {
    const outcome = operator.outcome as PublishOutcome & {kind: 'accepted'};
    const rulesFile = {...outcome.accepted, text: operator.text};
    const message: DistributionMessage = {
      kind: 'gossip',
      peer: 'operator',
      message: {kind: 'rulesFile', rulesFile},
    };
    for (const {id, life} of this.processes.slice(0, 2)) {
      this.flights.push({
        to: id,
        life,
        origin: 'platform',
        from: 'operator',
        wordMs: 0,
        message: () => message,
      });
    }
  }

  check(): void {
    this.platform.checkOutcomes();
    for (const p of this.processes.filter(q => q.alive)) {
      if (p.board.current().version !== p.state.inForce.version) {
        fail(`${p.id}: board and decision differ`);
      }
      const outsideMs = this.outsideMs.get(p.zone) ?? 0;
      if (p.state.confirmedMs > outsideMs) {
        fail(`${p.id}: confirmed after the last arrival from outside`);
      }
      this.checkCutoff(p);
    }
  }

  /** A confirmation goes back to a read of the platform. */
  private checkCutoff({id, zone, state, wordMs}: Process): void {
    const silentMs = this.nowMs - wordMs;
    const {confirmedMs} = state;
    if (confirmedMs > wordMs) {
      fail(`${id}: confirmed after the last read that it can know of`);
    }
    const rules = parseRules(`zone ${zone} cutoff=stop after=5s  # Jana`);
    const stopped = mustStopNewWork(
      rules.unwrap(),
      zone,
      confirmedMs,
      this.nowMs,
    );
    if (silentMs > CUTOFF_MS && !stopped) {
      fail(`${id}: takes work ${silentMs} ms after the platform's last word`);
    }
  }

  /** Heals the network; with the platform down, peers alone must agree. */
  converge(platformUp: boolean): void {
    this.cuts.clear();
    this.cutZones.clear();
    this.platform.down = !platformUp;
    for (let round = 0; round < 12; round++) {
      this.nowMs += 1_500;
      this.processes.forEach((_, i) => this.members(i, i < POLLERS));
      this.processes.forEach((_, i) => this.tick(i));
      this.processes.forEach((_, i) => this.heartbeat(i));
      while (this.flights.length > 0) this.arrive(this.flights.shift()!);
    }
    const live = this.processes.filter(p => p.alive);
    const versions = live.map(p => p.state.inForce.version);
    const head = this.platform.readHead(0).version;
    const goal = platformUp ? head : Math.max(0, ...versions);
    const behind = live.filter(p => p.state.inForce.version !== goal);
    if (behind.length > 0) {
      fail(`${behind.map(p => p.id).join()} did not reach version ${goal}`);
    }
    const idle = live.filter(p => !p.state.ready);
    if (platformUp && idle.length > 0) fail(`${idle[0]!.id} is never ready`);
    const polled = this.processes.slice(0, POLLERS).some(p => p.alive);
    const stale = live.filter(
      p => this.nowMs - p.state.confirmedMs > CUTOFF_MS,
    );
    if (platformUp && polled && stale.length > 0) {
      fail(`${stale[0]!.id} is not confirmed though the platform is read`);
    }
  }
}
