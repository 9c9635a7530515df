/**
 * The simulated world of the rule distribution model: many processes, a
 * network that delays, drops, duplicates and reorders, and the platform.
 */
import {ActiveRules} from '../../src/rules/activerules';
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
import {sha256Hex} from '../../src/rules/patch';
import {PublishOutcome} from '../../src/rules/publish';
import {withDamagedText, fail, Operator, Platform} from './rules-platform';

const ZONES = ['z0', 'z1', 'z2'];
export const PROCESS_COUNT = 9;
const START_MS = 1_000_000;
const HEARTBEAT_MS = 1_000;
/** Processes that poll the head in `converge`. */
const POLLER_COUNT = 2;
const CUTOFF_AFTER_MS = 5_000;

interface Process {
  readonly id: string;
  readonly zone: string;
  incarnation: number;
  alive: boolean;
  state: DistributionState;
  activeRules: ActiveRules;
  /** The highest version that any source told this incarnation of. */
  highestTold: number;
  toldByPlatform: boolean;
  toldByPeer: boolean;
  /** The latest read of the platform that this incarnation can know of. */
  latestKnownReadMs: number;
}

/** A message in transit; `deliver` lets it arrive. */
interface InFlightMessage {
  readonly to: string;
  readonly incarnation: number;
  /** Sender's zone, or `platform`. */
  readonly origin: string;
  readonly from: string;
  /** The sender's `latestKnownReadMs`; 0 if it knows of no read. */
  readonly senderReadMs: number;
  readonly message: () => DistributionMessage;
}

export class World {
  nowMs = START_MS;
  readonly platform = new Platform();
  readonly processes: Process[] = [];
  inFlight: InFlightMessage[] = [];
  /** One-way cuts, as `from>to`. */
  readonly cuts = new Set<string>();
  /** Zones cut off from the platform and all others, but not from each other. */
  readonly cutZones = new Set<string>();
  /** The latest arrival in a zone of any message from outside it. */
  readonly lastOutsideArrivalMs = new Map<string, number>();

  constructor() {
    for (let i = 0; i < PROCESS_COUNT; i++) {
      const zone = ZONES[i % ZONES.length]!;
      this.processes.push(this.newProcess(`p${i}`, zone, 0));
    }
  }

  private newProcess(id: string, zone: string, incarnation: number): Process {
    const findFault = (text: string) =>
      parseRules(text).err ? 'unreadable' : undefined;
    const settings = {instance: id, zone, findFault};
    return {
      id,
      zone,
      incarnation,
      alive: true,
      state: initialDistribution(settings, new Date(this.nowMs)),
      activeRules: new ActiveRules(),
      highestTold: 0,
      toldByPlatform: false,
      toldByPeer: false,
      latestKnownReadMs: 0,
    };
  }

  restart(index: number): void {
    const {id, zone, incarnation} = this.processes[index]!;
    this.processes[index] = this.newProcess(id, zone, incarnation + 1);
  }

  kill(index: number): void {
    this.processes[index]!.alive = false;
  }

  private isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  /** Whether a cut separates two zones, or a zone and `platform`. */
  private areSeparated(a: string, b: string): boolean {
    return this.cutZones.has(a) !== this.cutZones.has(b);
  }

  /** Cuts off all zones but one, not from each other, and runs for `ms`. */
  cutTogether(left: number, ms: number): void {
    ZONES.filter((_, i) => i !== left).forEach(z => this.cutZones.add(z));
    for (const end = this.nowMs + ms; this.nowMs < end;) {
      this.nowMs += HEARTBEAT_MS;
      this.processes.forEach((_, i) => this.tick(i));
      this.processes.forEach((_, i) => this.broadcastHeartbeat(i));
      while (this.inFlight.length > 0) this.receive(this.inFlight.shift()!);
      this.check();
    }
  }

  broadcastHeartbeat(index: number): void {
    const p = this.processes[index]!;
    if (!p.alive) return;
    for (const peer of this.processes) {
      if (peer !== p) this.sendHeartbeat(p, peer);
    }
  }

  private sendHeartbeat(p: Process, peer: Process): void {
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
    if (this.isCut(p.id, to)) return;
    const peer = this.processes.find(q => q.id === to)!;
    const {zone: origin, id: from, latestKnownReadMs} = p;
    this.inFlight.push({
      to,
      incarnation: peer.incarnation,
      origin,
      from,
      senderReadMs: latestKnownReadMs,
      message,
    });
  }

  deliver(at: number, twice: boolean): void {
    if (this.inFlight.length === 0) return;
    const index = at % this.inFlight.length;
    const flight = this.inFlight[index]!;
    if (!twice) this.inFlight.splice(index, 1);
    this.receive(flight);
  }

  /** Delivers a text damaged; the receiver must notice that by its hash. */
  corrupt(at: number): void {
    if (this.inFlight.length === 0) return;
    const [flight] = this.inFlight.splice(at % this.inFlight.length, 1);
    const message = () => withDamagedText(flight!.message());
    this.receive({...flight!, message});
  }

  drop(at: number): void {
    if (this.inFlight.length > 0)
      this.inFlight.splice(at % this.inFlight.length, 1);
  }

  private receive(flight: InFlightMessage): void {
    const {to, incarnation, origin, from, senderReadMs, message} = flight;
    const p = this.processes.find(q => q.id === to)!;
    if (!p.alive || p.incarnation !== incarnation || this.isCut(from, to))
      return;
    if (this.areSeparated(origin, p.zone)) return;
    const arrived = message();
    if (origin !== p.zone && arrived.kind !== 'headFailed') {
      this.lastOutsideArrivalMs.set(p.zone, this.nowMs);
    }
    p.latestKnownReadMs = Math.max(p.latestKnownReadMs, senderReadMs);
    this.recordTold(p, arrived);
    this.decide(p, arrived);
  }

  /** Records for the oracle what a process was told. */
  private recordTold(p: Process, message: DistributionMessage): void {
    if (message.kind === 'peer') {
      p.highestTold = Math.max(p.highestTold, message.rules.version);
      if (message.rules.version > 0) p.toldByPeer = true;
    }
    if (message.kind === 'headRead') {
      p.highestTold = Math.max(p.highestTold, message.head.version);
      p.toldByPlatform = true;
      p.latestKnownReadMs = Math.max(p.latestKnownReadMs, message.readSentMs);
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

  losePeer(index: number, peer: string): void {
    const p = this.processes[index]!;
    if (p.alive) this.decide(p, {kind: 'peerLost', instance: peer});
  }

  private decide(p: Process, message: DistributionMessage): void {
    const now = new Date(this.nowMs);
    const {state, effects} = decideDistribution(p.state, message, now);
    if (state.inForce.version < p.state.inForce.version) {
      fail(
        `${p.id} replaced version ${p.state.inForce.version} by a lower one`,
      );
    }
    p.state = state;
    for (const effect of effects) this.runEffect(p, effect);
  }

  private runEffect(p: Process, effect: DistributionEffect): void {
    switch (effect.kind) {
      case 'readHead':
        return this.startHeadRead(p);
      case 'readObject':
        return this.startObjectRead(p, effect.wanted);
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
        return this.checkReady(p);
      case 'waiting':
      case 'refused':
        return;
    }
  }

  private startHeadRead(p: Process): void {
    const readSentMs = this.nowMs;
    this.sendFromPlatform(p, () =>
      this.platform.down
        ? {kind: 'headFailed'}
        : {
            kind: 'headRead',
            head: this.platform.readHead(0),
            readSentMs,
          },
    );
  }

  private startObjectRead(p: Process, wanted: VersionRef): void {
    this.sendFromPlatform(p, () => ({
      kind: 'object',
      wanted,
      text: this.platform.down
        ? undefined
        : this.platform.objects.get(wanted.hash),
    }));
  }

  private sendFromPlatform(
    p: Process,
    message: () => DistributionMessage,
  ): void {
    const {id, incarnation} = p;
    const origin = 'platform';
    const flight = {
      to: id,
      incarnation,
      origin,
      from: origin,
      senderReadMs: 0,
      message,
    };
    this.inFlight.push(flight);
  }

  /** A read of the head that a lagging replica of the table answers. */
  staleRead(index: number, back: number): void {
    const p = this.processes[index]!;
    if (!p.alive || this.platform.down) return;
    if (this.cutZones.has(p.zone)) return;
    const head = this.platform.readHead(back);
    const message = {kind: 'headRead', head, readSentMs: this.nowMs} as const;
    this.lastOutsideArrivalMs.set(p.zone, this.nowMs);
    this.recordTold(p, message);
    this.decide(p, message);
  }

  private adopt(p: Process, rules: DistributionState['inForce']): void {
    const wasAccepted = this.platform.accepted.some(
      ({value}) => value.version === rules.version && value.hash === rules.hash,
    );
    if (!wasAccepted)
      fail(`${p.id}: version ${rules.version} was never accepted`);
    if (sha256Hex(rules.text) !== rules.hash)
      fail(`${p.id}: the text does not match its hash`);
    const parsed = {...rules, rules: parseRules(rules.text).unwrap()};
    if (!p.activeRules.adopt(parsed))
      fail(`${p.id}: the active rules refused a version`);
    this.processes.filter(q => q !== p).forEach(q => this.sendHeartbeat(p, q));
  }

  private checkReady(p: Process): void {
    if (p.state.inForce.version < p.highestTold) {
      fail(
        `${p.id} is ready below version ${p.highestTold}, which it was told of`,
      );
    }
    if (!p.toldByPlatform && !p.toldByPeer) {
      fail(`${p.id} is ready without an answer from the platform or a peer`);
    }
  }

  stepOperator(at: number, fault: 'none' | 'lost' | 'late', back: number) {
    const accepted = this.platform.stepOperator(at, fault, back);
    if (accepted) this.sendAcceptedFile(accepted);
  }

  /** Sends an accepted file to two processes, like the operator's command. */
  private sendAcceptedFile(operator: Operator): void {
    const outcome = operator.outcome as PublishOutcome & {kind: 'accepted'};
    const rulesFile = {...outcome.accepted, text: operator.text};
    const message: DistributionMessage = {
      kind: 'gossip',
      peer: 'operator',
      message: {kind: 'rulesFile', rulesFile},
    };
    for (const {id, incarnation} of this.processes.slice(0, 2)) {
      this.inFlight.push({
        to: id,
        incarnation,
        origin: 'platform',
        from: 'operator',
        senderReadMs: 0,
        message: () => message,
      });
    }
  }

  check(): void {
    this.platform.checkOutcomes();
    for (const p of this.processes.filter(q => q.alive)) {
      if (p.activeRules.current().version !== p.state.inForce.version) {
        fail(
          `${p.id}: the activeRules and the decision have different versions`,
        );
      }
      const outsideMs = this.lastOutsideArrivalMs.get(p.zone) ?? 0;
      if (p.state.confirmedMs > outsideMs) {
        fail(`${p.id}: confirmed after the last arrival from outside`);
      }
      this.checkCutoff(p);
    }
  }

  /**
   * Checks that no confirmation is later than the last read that the process
   * can know of, and that a zone under `cutoff=stop` stops in time.
   */
  private checkCutoff({id, zone, state, latestKnownReadMs}: Process): void {
    const sinceKnownReadMs = this.nowMs - latestKnownReadMs;
    const {confirmedMs} = state;
    if (confirmedMs > latestKnownReadMs) {
      fail(`${id}: confirmed after the last read that it can know of`);
    }
    const rules = parseRules(`zone ${zone} cutoff=stop after=5s  # Jana`);
    const stopped = mustStopNewWork(
      rules.unwrap(),
      zone,
      confirmedMs,
      this.nowMs,
    );
    if (sinceKnownReadMs > CUTOFF_AFTER_MS && !stopped) {
      fail(
        `${id}: takes work ${sinceKnownReadMs} ms after the last read that it can know of`,
      );
    }
  }

  /**
   * Heals the network and checks that all live processes reach the same version,
   * from their peers alone if the platform is down.
   */
  converge(platformUp: boolean): void {
    this.cuts.clear();
    this.cutZones.clear();
    this.platform.down = !platformUp;
    for (let round = 0; round < 12; round++) {
      this.nowMs += 1_500;
      this.processes.forEach((_, i) => this.members(i, i < POLLER_COUNT));
      this.processes.forEach((_, i) => this.tick(i));
      this.processes.forEach((_, i) => this.broadcastHeartbeat(i));
      while (this.inFlight.length > 0) this.receive(this.inFlight.shift()!);
    }
    const live = this.processes.filter(p => p.alive);
    const versions = live.map(p => p.state.inForce.version);
    const head = this.platform.readHead(0).version;
    const expectedVersion = platformUp ? head : Math.max(0, ...versions);
    const outdated = live.filter(
      p => p.state.inForce.version !== expectedVersion,
    );
    if (outdated.length > 0) {
      fail(
        `${outdated.map(p => p.id).join()} did not reach version ${expectedVersion}`,
      );
    }
    const notReady = live.filter(p => !p.state.ready);
    if (platformUp && notReady.length > 0)
      fail(`${notReady[0]!.id} is never ready`);
    const hasPoller = this.processes.slice(0, POLLER_COUNT).some(p => p.alive);
    const unconfirmed = live.filter(
      p => this.nowMs - p.state.confirmedMs > CUTOFF_AFTER_MS,
    );
    if (platformUp && hasPoller && unconfirmed.length > 0) {
      fail(
        `${unconfirmed[0]!.id} is not confirmed though the platform is read`,
      );
    }
  }
}
