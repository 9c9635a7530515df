/**
 * The task that keeps a group of ranks balanced.
 *
 * Each sidecar runs one. The one of the lowest rank that is alive asks the
 * others for their states and changes the map; the others wait until none of a
 * lower rank has asked them for a while. Two of them at once do no harm: the
 * decision in `change.ts` allows for it.
 */
import {Clock, Timer} from '../kernel/clock';
import {Log} from '../observe/log';
import {Agent} from './agent';
import {decideChange, mayBegin} from './change';
import {ChangeState, initialChange, Input, Order} from './changestate';
import {Demand, observed} from './demand';
import {ExpertSets, mapInUse} from './inuse';
import {Member} from './members';
import {improvedMap, Limits} from './placement';
import {RankMap, RankReport, RankState} from './rank';

export interface ExpertLimits extends Limits, ExpertSets {
  /** Time in which a rank copies one expert, in milliseconds. */
  readonly copyMs: number;
}

export interface CoordinatorParts {
  readonly agent: Agent;
  /** Addresses of all endpoints of the own service. */
  readonly addresses: () => readonly string[];
  readonly member: (address: string) => Member;
  /** Undefined until the configuration is known. */
  readonly limits: () => ExpertLimits | undefined;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
}

/** Time between two readings of the demand, in milliseconds. */
const READ_MS = 400;
/** Time between polls while a change is under way, in milliseconds. */
const WATCH_MS = 60;
/**
 * Silence after which the next rank takes over, in milliseconds. A coordinator
 * may be gone while the group is held, and callers leave after two seconds. It
 * asks at least each `READ_MS`.
 */
const SILENCE_MS = 600;
/**
 * Longest wait for the ranks' reports, in ms; later ones count as they come. A
 * group that a frozen machine left held waits for each round of reports.
 */
const POLL_MS = 100;
/** Further silence for each lower rank, so that one takes over first. */
const SILENCE_PER_RANK_MS = 100;
/** Time after which addresses of other groups are asked again, in ms. */
const RECALL_MS = 5_000;

interface Known {
  readonly group: string;
  readonly askedMs: number;
}

export class Coordinator {
  private change: ChangeState | undefined;
  private demand: Demand | undefined;
  private readonly states = new Map<number, RankState>();
  private readonly members = new Map<number, Member>();
  private readonly known = new Map<string, Known>();
  private readonly reached = new Map<string, Member>();
  /** Addresses whose answer is awaited. */
  private readonly asking = new Set<string>();
  private readMs = -Infinity;
  /** Time at which the ranks can have copied what was ordered. */
  private copiedMs = -Infinity;
  private leading = false;
  private completed = 0;
  private timer: Timer | undefined;
  private stopped = false;

  constructor(private readonly parts: CoordinatorParts) {}

  start(): void {
    this.timer = this.parts.clock.after(WATCH_MS, () => void this.turn());
  }

  /** Changes of the map that this sidecar has completed. */
  get changes(): number {
    return this.completed;
  }

  /** Whether this sidecar coordinates its group. */
  leads(): boolean {
    return this.leading;
  }

  /** Ends the task; a change under way is completed first. */
  async stop(): Promise<void> {
    this.stopped = true;
    const END_MS = 1_500;
    const endMs = this.parts.clock.elapsedMs() + END_MS;
    while (this.mayHold() && this.parts.clock.elapsedMs() < endMs) {
      await new Promise<void>(done => this.parts.clock.after(WATCH_MS, done));
    }
    this.timer?.cancel();
  }

  private async turn(): Promise<void> {
    try {
      await this.step();
    } catch (error) {
      this.parts.log('debug', 'no turn', {reason: String(error)});
    }
    this.timer = this.parts.clock.after(WATCH_MS, () => void this.turn());
  }

  private async step(): Promise<void> {
    const {agent, clock, log} = this.parts;
    const nowMs = clock.elapsedMs();
    const busy = this.change !== undefined && this.change.phase.kind !== 'idle';
    const copying =
      this.change?.phase.kind === 'preparing' && nowMs < this.copiedMs;
    if ((!busy || copying) && nowMs - this.readMs < READ_MS) {
      this.apply({kind: 'tick'});
      return;
    }
    const own = await agent.report();
    const silence = SILENCE_MS + SILENCE_PER_RANK_MS * own.rank;
    const leads = own.rank === 0 || agent.sinceAsked() > silence;
    if (leads !== this.leading) {
      this.leading = leads;
      log('info', leads ? 'coordinating' : 'not coordinating', {
        group: own.group,
        rank: own.rank,
        sinceAskedMs: Math.round(agent.sinceAsked()),
      });
    }
    // A hold that was placed is let go also by one who leads no more.
    if (!leads && !this.mayHold()) {
      this.change = undefined;
      this.readMs = nowMs;
      return;
    }
    this.follow(own);
    const read = nowMs - this.readMs >= READ_MS;
    await this.poll(own, read);
    this.apply({kind: 'tick'});
    if (!read) return;
    this.readMs = nowMs;
    if (leads) this.plan(nowMs);
  }

  /** Whether the group may be held by this coordinator. */
  private mayHold(): boolean {
    const kind = this.change?.phase.kind ?? 'idle';
    return kind !== 'idle' && kind !== 'preparing';
  }

  /** Starts anew where the group has formed again. */
  private follow(own: RankReport): void {
    const {change} = this;
    if (change && change.epoch === own.epoch && change.size === own.size)
      return;
    const fresh = initialChange(own.rank, own.size, own.epoch);
    this.change = {...fresh, version: change?.version ?? 0};
    this.states.clear();
    this.members.clear();
    this.parts.log('info', 'group formed', {
      group: own.group,
      epoch: own.epoch,
      size: own.size,
    });
  }

  private async poll(own: RankReport, withCounts: boolean): Promise<void> {
    const nowMs = this.parts.clock.elapsedMs();
    const asked = this.parts.addresses().filter(address => {
      const known = this.known.get(address);
      if (!known || known.group === own.group) return true;
      return nowMs - known.askedMs > RECALL_MS;
    });
    const answers = asked.map(address =>
      this.ask(address, own, withCounts, nowMs),
    );
    const {clock} = this.parts;
    const limit = new Promise<void>(done => clock.after(POLL_MS, done));
    await Promise.race([Promise.all(answers), limit]);
  }

  private memberAt(address: string): Member {
    const found = this.reached.get(address) ?? this.parts.member(address);
    this.reached.set(address, found);
    return found;
  }

  private async ask(
    address: string,
    own: RankReport,
    withCounts: boolean,
    nowMs: number,
  ): Promise<void> {
    if (this.asking.has(address)) return;
    this.asking.add(address);
    const member = this.memberAt(address);
    try {
      const state = await member.state(own.rank, withCounts);
      this.known.set(address, {group: state.group, askedMs: nowMs});
      if (state.group !== own.group || state.epoch !== own.epoch) return;
      const counts =
        state.counts.length > 0
          ? state.counts
          : (this.states.get(state.rank)?.counts ?? []);
      this.states.set(state.rank, {...state, counts});
      this.members.set(state.rank, member);
      this.apply({kind: 'report', report: state});
    } catch (error) {
      this.parts.log('debug', 'rank silent', {address, reason: String(error)});
    } finally {
      this.asking.delete(address);
    }
  }

  private apply(input: Input): void {
    if (!this.change) return;
    const {clock, random} = this.parts;
    const before = this.change;
    const {state, orders} = decideChange(before, input, {
      nowMs: clock.elapsedMs(),
      inUse: this.inUse(),
      random,
    });
    this.change = state;
    if (state.phase.kind !== before.phase.kind) {
      const {version, epoch} = state;
      if (state.phase.kind === 'releasing' && state.phase.changed) {
        this.completed += 1;
      }
      // Demand has moved while the experts were copied.
      if (state.phase.kind === 'idle') this.readMs = -Infinity;
      const pass = 'pass' in state.phase ? state.phase.pass : undefined;
      const cause = input.kind === 'answer' ? input.outcome : input.kind;
      this.parts.log('info', 'map change', {
        from: before.phase.kind,
        to: state.phase.kind,
        cause,
        rank: input.kind === 'answer' ? input.rank : undefined,
        version,
        epoch,
        pass,
      });
    }
    for (const order of orders) void this.send(order);
  }

  private async send({rank, epoch, order, direct}: Order): Promise<void> {
    const member = this.members.get(rank);
    const outcome = member
      ? await member.order(epoch, order, direct)
      : 'unknown';
    // Another formation of the group has begun meanwhile.
    if (this.change?.epoch !== epoch) return;
    this.apply({kind: 'answer', rank, order, outcome});
  }

  private inUse(): RankMap | undefined {
    const limits = this.parts.limits();
    if (!this.change || !limits) return undefined;
    return mapInUse(this.states, this.change.size, limits);
  }

  private plan(nowMs: number): void {
    const limits = this.parts.limits();
    const {change} = this;
    if (!limits || !change || this.states.size !== change.size) return;
    const states = [...this.states.values()];
    if (states.some(s => s.counts.length === 0)) return;
    // A switch falls between the readings, or a rank is silent.
    if (states.some(s => s.map !== states[0]!.map)) return;
    this.demand = observed(this.demand, states, limits.sets, nowMs);
    if (!this.demand.known || !mayBegin(change, nowMs) || this.stopped) return;
    const map = this.inUse();
    if (!map) return;
    const paces = Array.from(
      {length: change.size},
      (_, rank) => this.states.get(rank)!.pace,
    );
    const plan = improvedMap(map, this.demand.shares, limits, paces);
    if (!plan) return;
    this.parts.log('info', 'map planned', {
      copies: plan.copies,
      skewBefore: Number(plan.skewBefore.toFixed(3)),
      skewAfter: Number(plan.skewAfter.toFixed(3)),
    });
    this.copiedMs = nowMs + plan.mostCopies * limits.copyMs;
    this.apply({kind: 'begin', target: plan.map});
  }
}
