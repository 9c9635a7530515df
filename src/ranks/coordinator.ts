/**
 * Background task that balances the load of a group of ranks.
 *
 * Each sidecar runs one. The coordinator of the lowest rank that is alive
 * leads: it polls the other sidecars and changes the expert map. A leading
 * coordinator sends heartbeats, which do not wait for polls, plans or orders.
 * Another takes over when no coordinator of a lower rank has given a sign of
 * life for a while and none of them says, when asked, that it leads. Two leading
 * coordinators do no harm, because `decideChange` allows for them, but each of
 * them cancels what the other has begun while the group is held.
 */
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {Log} from '../observe/log';
import {RankAgent} from './agent';
import {decideChange, mayBeginChange} from './mapchange';
import {
  ChangeState,
  initialChangeState,
  ChangeInput,
  OutgoingOrder,
} from './mapchangestate';
import {Demand, updateDemand} from './demand';
import {MapDimensions, mapInUse} from './mapinuse';
import {RankClient} from './rankclient';
import {improveMap, PlacementLimits} from './placement';
import {Heartbeat, RankMap, RankReport, RankState} from './rank';

export interface ExpertLimits extends PlacementLimits, MapDimensions {
  /** Time that a rank needs to copy one expert. */
  readonly copyMsPerExpert: number;
}

export interface CoordinatorDependencies {
  readonly agent: RankAgent;
  /** Addresses of all endpoints of this sidecar's service. */
  readonly addresses: () => readonly string[];
  /** Creates a client of the rank at an address. */
  readonly clientFor: (address: string) => RankClient;
  /** Sends a heartbeat to the sidecars of the endpoints at these addresses. */
  readonly sendHeartbeat: (
    addresses: readonly string[],
    heartbeat: Heartbeat,
  ) => void;
  /** Undefined until the configuration is known. */
  readonly limits: () => ExpertLimits | undefined;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
}

/** Interval between two readings of the demand. */
const DEMAND_READ_INTERVAL_MS = 400;
/** Interval between steps, and between polls while a change is in progress. */
const POLL_INTERVAL_MS = 60;
/** Interval between the heartbeats of a leading coordinator. */
const HEARTBEAT_INTERVAL_MS = 150;
/**
 * Time without a sign of life after which the next rank takes over; three
 * heartbeats may be lost. A coordinator may be lost while the group is held, and
 * callers give up after two seconds.
 */
const TAKEOVER_TIMEOUT_MS = 600;
/**
 * Time for which an answer shows that a coordinator is alive: until the next
 * answer is due.
 */
const ALIVE_AFTER_ANSWER_MS = 500;
/** Timeout of orders that the group does not wait for. */
const PREPARE_ORDER_TIMEOUT_MS = 500;
/** Timeout of orders while the group may be held. */
const ORDER_TIMEOUT_MS = 200;
/**
 * Longest wait for the reports of one poll; later ones are used as they
 * arrive. The limit is short because a frozen instance that left its group held
 * does not answer, and the group stays held while the poll waits.
 */
const POLL_TIMEOUT_MS = 100;
/** Extra time for each lower rank, so that one coordinator takes over first. */
const TAKEOVER_DELAY_PER_RANK_MS = 100;
/** Interval between polls of an address that belongs to another group. */
const OTHER_GROUP_POLL_INTERVAL_MS = 5_000;

interface AddressGroup {
  readonly group: string;
  readonly polledMs: number;
}

interface PolledState extends RankState {
  readonly polledMs: number;
}

export class Coordinator {
  private change: ChangeState | undefined;
  private demand: Demand | undefined;
  private readonly states = new Map<number, PolledState>();
  /** What ranks have chosen since the demand was last updated. */
  private choices: (readonly number[])[] = [];
  /** Ranks whose order to prepare is in flight. */
  private readonly preparingRanks = new Set<number>();
  private readonly clients = new Map<number, RankClient>();
  private readonly groupByAddress = new Map<string, AddressGroup>();
  private readonly clientByAddress = new Map<string, RankClient>();
  /** Addresses whose state request is in flight. */
  private readonly pendingAddresses = new Set<string>();
  private lastDemandReadMs = -Infinity;
  /** Earliest time at which the ranks can have copied the ordered experts. */
  private copyEndMs = -Infinity;
  /** When this coordinator last released the group. */
  private releasedMs = -Infinity;
  private leading = false;
  /** This sidecar's group, once it is known. */
  private group: Heartbeat | undefined;
  private completedCount = 0;
  private timer: Timer | undefined;
  private heartbeats: Timer | undefined;
  private stopped = false;

  constructor(private readonly deps: CoordinatorDependencies) {}

  start(): void {
    const {clock} = this.deps;
    this.timer = clock.after(
      POLL_INTERVAL_MS,
      () => void this.stepAndReschedule(),
    );
    this.heartbeats = repeatEvery(clock, HEARTBEAT_INTERVAL_MS, () =>
      this.sendHeartbeat(),
    );
  }

  /** Number of map changes that this sidecar has completed. */
  get completedChanges(): number {
    return this.completedCount;
  }

  /** Whether this sidecar leads its group. */
  isLeading(): boolean {
    return this.leading;
  }

  /**
   * Ends the task. First waits, for a limited time, until a change that may
   * hold the group has ended.
   */
  async stop(): Promise<void> {
    this.stopped = true;
    const STOP_TIMEOUT_MS = 1_500;
    const endMs = this.deps.clock.elapsedMs() + STOP_TIMEOUT_MS;
    while (this.mayHold() && this.deps.clock.elapsedMs() < endMs) {
      await new Promise<void>(done =>
        this.deps.clock.after(POLL_INTERVAL_MS, done),
      );
    }
    this.timer?.cancel();
    this.heartbeats?.cancel();
  }

  private sendHeartbeat(): void {
    const {group} = this;
    if (!this.leading || !group) return;
    const addresses = [...this.groupByAddress]
      .filter(([, known]) => known.group === group.group)
      .map(([address]) => address);
    this.deps.sendHeartbeat(addresses, group);
  }

  private async stepAndReschedule(): Promise<void> {
    try {
      await this.step();
    } catch (error) {
      this.deps.log('debug', 'coordinator step failed', {
        reason: String(error),
      });
    }
    this.timer = this.deps.clock.after(
      POLL_INTERVAL_MS,
      () => void this.stepAndReschedule(),
    );
  }

  private async step(): Promise<void> {
    const {agent, clock, log} = this.deps;
    const nowMs = clock.elapsedMs();
    const busy = this.change !== undefined && this.change.phase.kind !== 'idle';
    const copying =
      this.change?.phase.kind === 'preparing' && nowMs < this.copyEndMs;
    if (
      (!busy || copying) &&
      nowMs - this.lastDemandReadMs < DEMAND_READ_INTERVAL_MS
    ) {
      this.applyInput({kind: 'tick'});
      return;
    }
    const ownReport = await agent.report();
    this.group = {group: ownReport.group, rank: ownReport.rank};
    const leads = await this.shouldLead(ownReport);
    if (leads !== this.leading) {
      this.leading = leads;
      log('info', leads ? 'became coordinator' : 'no longer coordinator', {
        group: ownReport.group,
        rank: ownReport.rank,
        sinceSignMs: Math.round(agent.msSinceLastSign()),
      });
    }
    this.updateRole();
    // A coordinator that no longer leads still releases the hold it placed.
    if (!leads && !this.mayHold()) {
      this.change = undefined;
      this.lastDemandReadMs = nowMs;
      return;
    }
    this.resetIfGroupReformed(ownReport);
    const readDemand = nowMs - this.lastDemandReadMs >= DEMAND_READ_INTERVAL_MS;
    await this.poll(ownReport, readDemand);
    this.applyInput({kind: 'tick'});
    if (!readDemand) return;
    this.lastDemandReadMs = nowMs;
    this.readDemand();
    if (leads) this.planChange(nowMs);
  }

  /**
   * Whether this coordinator leads now. Before it takes over, it asks the
   * others whether one of a lower rank is leading, because datagrams may be
   * lost or late.
   */
  private async shouldLead(ownReport: RankReport): Promise<boolean> {
    const {agent} = this.deps;
    const {rank} = ownReport;
    if (rank === 0) return true;
    const takeoverMs = TAKEOVER_TIMEOUT_MS + TAKEOVER_DELAY_PER_RANK_MS * rank;
    if (agent.msSinceLastSign() <= takeoverMs) return false;
    if (this.leading) return true;
    await this.poll(ownReport, false);
    const leader = this.aliveStates().find(s => s.leading && s.rank < rank);
    if (!leader) return true;
    agent.recordSign(leader);
    this.deps.log('info', 'coordinator is alive without heartbeats', {
      group: ownReport.group,
      rank: leader.rank,
    });
    return false;
  }

  /** States that show what their sidecars do now. */
  private aliveStates(): readonly PolledState[] {
    const sinceMs = this.deps.clock.elapsedMs() - ALIVE_AFTER_ANSWER_MS;
    return [...this.states.values()].filter(s => s.polledMs >= sinceMs);
  }

  private updateRole(): void {
    this.deps.agent.setRole({
      leading: this.leading,
      holding: this.mayHold(),
    });
  }

  /** Whether this coordinator may have placed a hold that still stands. */
  private mayHold(): boolean {
    const kind = this.change?.phase.kind ?? 'idle';
    return kind !== 'idle' && kind !== 'preparing';
  }

  /** Starts with a fresh state if the group has formed again. */
  private resetIfGroupReformed(ownReport: RankReport): void {
    const {change} = this;
    if (
      change &&
      change.epoch === ownReport.epoch &&
      change.size === ownReport.size
    )
      return;
    const fresh = initialChangeState(
      ownReport.rank,
      ownReport.size,
      ownReport.epoch,
    );
    this.change = {...fresh, version: change?.version ?? 0};
    this.states.clear();
    this.clients.clear();
    this.choices = [];
    this.deps.log('info', 'group formed', {
      group: ownReport.group,
      epoch: ownReport.epoch,
      size: ownReport.size,
    });
  }

  private async poll(
    ownReport: RankReport,
    withChoices: boolean,
  ): Promise<void> {
    const nowMs = this.deps.clock.elapsedMs();
    const answers: Promise<void>[] = [];
    for (const address of this.deps.addresses()) {
      const known = this.groupByAddress.get(address);
      const isMember = known?.group === ownReport.group;
      const isDue =
        !known || nowMs - known.polledMs > OTHER_GROUP_POLL_INTERVAL_MS;
      if (!isMember && !isDue) continue;
      // The choices of a rank outside the group would only fill the link.
      const query = withChoices && isMember;
      answers.push(this.pollAddress(address, ownReport, query, nowMs));
    }
    const {clock} = this.deps;
    const timeout = new Promise<void>(done =>
      clock.after(POLL_TIMEOUT_MS, done),
    );
    await Promise.race([Promise.all(answers), timeout]);
  }

  private clientAt(address: string): RankClient {
    const client =
      this.clientByAddress.get(address) ?? this.deps.clientFor(address);
    this.clientByAddress.set(address, client);
    return client;
  }

  private async pollAddress(
    address: string,
    ownReport: RankReport,
    withChoices: boolean,
    nowMs: number,
  ): Promise<void> {
    if (this.pendingAddresses.has(address)) return;
    this.pendingAddresses.add(address);
    const client = this.clientAt(address);
    try {
      const state = await client.state(ownReport, withChoices);
      this.groupByAddress.set(address, {group: state.group, polledMs: nowMs});
      if (state.group !== ownReport.group || state.epoch !== ownReport.epoch)
        return;
      if (state.choices.length > 0) this.choices.push(state.choices);
      // It may still show the hold that this coordinator has released since.
      if (nowMs < this.releasedMs) return;
      this.states.set(state.rank, {...state, polledMs: nowMs});
      this.clients.set(state.rank, client);
      this.applyInput({kind: 'report', report: state});
    } catch (error) {
      this.deps.log('debug', 'rank did not report its state', {
        address,
        reason: String(error),
      });
    } finally {
      this.pendingAddresses.delete(address);
    }
  }

  private applyInput(input: ChangeInput): void {
    if (!this.change) return;
    const {clock, random} = this.deps;
    const before = this.change;
    const {state, orders} = decideChange(before, input, {
      nowMs: clock.elapsedMs(),
      inUse: this.currentMap(),
      random,
      holdingRanks: this.holdingRanks(),
    });
    this.change = state;
    this.updateRole();
    if (state.phase.kind !== before.phase.kind) {
      const {version, epoch} = state;
      if (state.phase.kind === 'releasing' && state.phase.committed) {
        this.completedCount += 1;
      }
      // Clearing orders another map; what is in flight must not delay it.
      if (state.phase.kind === 'clearing') this.preparingRanks.clear();
      if (before.phase.kind === 'releasing') {
        this.releasedMs = clock.elapsedMs();
      }
      // Demand has moved while the experts were copied, so read it now.
      if (state.phase.kind === 'idle') this.lastDemandReadMs = -Infinity;
      const pass = 'pass' in state.phase ? state.phase.pass : undefined;
      const cause = input.kind === 'answer' ? input.outcome : input.kind;
      this.deps.log('info', 'map change phase', {
        from: before.phase.kind,
        to: state.phase.kind,
        cause,
        rank: input.kind === 'answer' ? input.rank : undefined,
        version,
        epoch,
        pass,
      });
    }
    for (const order of orders) void this.sendOrder(order);
  }

  /** Ranks of other coordinators that are alive and hold the group. */
  private holdingRanks(): ReadonlySet<number> {
    const ownRank = this.change?.ownRank;
    const holding = this.aliveStates().filter(
      s => s.holding && s.rank !== ownRank,
    );
    return new Set(holding.map(s => s.rank));
  }

  private async sendOrder({
    rank,
    epoch,
    order,
    direct,
  }: OutgoingOrder): Promise<void> {
    const isPrepare = order.kind === 'prepare';
    // Repeats of a large order that is still in flight would fill the link. An
    // order without an answer is repeated after its timeout.
    if (isPrepare && this.preparingRanks.has(rank)) return;
    if (isPrepare) this.preparingRanks.add(rank);
    const timeoutMs =
      this.change?.phase.kind === 'preparing'
        ? PREPARE_ORDER_TIMEOUT_MS
        : ORDER_TIMEOUT_MS;
    const client = this.clients.get(rank);
    const outcome = client
      ? await client.order(epoch, order, {direct, timeoutMs})
      : 'unknown';
    if (isPrepare) this.preparingRanks.delete(rank);
    // The group has formed again in the meantime.
    if (this.change?.epoch !== epoch) return;
    this.applyInput({kind: 'answer', rank, order, outcome});
  }

  private currentMap(): RankMap | undefined {
    const limits = this.deps.limits();
    if (!this.change || !limits) return undefined;
    return mapInUse(this.states, this.change.size, limits);
  }

  /** Adds what the ranks have chosen to the estimate of the demand. */
  private readDemand(): void {
    const {change, choices} = this;
    const limits = this.deps.limits();
    this.choices = [];
    if (!limits || !change) return;
    const {sets, experts} = limits;
    this.demand = updateDemand(
      this.demand,
      {epoch: change.epoch, sets, experts, ofRanks: choices},
      this.deps.clock.elapsedMs(),
    );
  }

  private planChange(nowMs: number): void {
    const limits = this.deps.limits();
    const {change, demand} = this;
    if (!limits || !change || this.states.size !== change.size) return;
    const states = [...this.states.values()];
    // The group switched maps between the reports, or a rank did not report.
    if (states.some(s => s.map !== states[0]!.map)) return;
    if (!demand?.known || !mayBeginChange(change, nowMs) || this.stopped)
      return;
    const map = this.currentMap();
    if (!map) return;
    const paces = Array.from(
      {length: change.size},
      (_, rank) => this.states.get(rank)!.pace,
    );
    const plan = improveMap(map, demand.shares, limits, paces);
    if (!plan) return;
    this.deps.log('info', 'map change planned', {
      copies: plan.copies,
      skewBefore: Number(plan.skewBefore.toFixed(3)),
      skewAfter: Number(plan.skewAfter.toFixed(3)),
    });
    this.copyEndMs = nowMs + plan.maxCopiesPerRank * limits.copyMsPerExpert;
    this.applyInput({kind: 'begin', target: plan.map});
  }
}
