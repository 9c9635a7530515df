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
 *
 * The work is divided by role: `pollplan.ts` decides whom to ask, `poller.ts`
 * asks, `planner.ts` computes a better map, and `mapchange.ts` decides which
 * orders carry it out. This module runs them in turn and sends the orders.
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
import {MapDimensions, mapInUse} from './mapinuse';
import {MapReference, referTo, relaysOf} from './mapreference';
import {PlacementLimits} from './placement';
import {ChangePlanner, UsedMap} from './planner';
import {GroupPoller, PollScope} from './poller';
import {
  doubtfulRanks,
  ranksOfChange,
  ranksOfTurn,
  ranksWithChoices,
} from './pollplan';
import {RankClient} from './rankclient';
import {Heartbeat, RankMap, RankReport} from './rank';

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
/**
 * Time after a change in which the ranks are asked as soon as they have switched.
 * They do so a few passes after its end, and nothing can be planned before all
 * have reported it.
 */
const SWITCH_OBSERVATION_MS = 1_000;
/** Interval between steps, and between polls while a change is in progress. */
const POLL_INTERVAL_MS = 60;
/**
 * Part of the time that polls may take while a change is in progress. Answers to
 * orders are read in the rest of it.
 */
const MAX_POLL_SHARE = 0.5;
/** Interval between the heartbeats of a leading coordinator. */
const HEARTBEAT_INTERVAL_MS = 150;
/**
 * Time without a sign of life after which the next rank takes over; three
 * heartbeats may be lost. A coordinator may be lost while the group is held, and
 * callers give up after two seconds.
 */
const TAKEOVER_TIMEOUT_MS = 600;
/** Timeout of orders that the group does not wait for. */
const PREPARE_ORDER_TIMEOUT_MS = 500;
/** Timeout of orders while the group may be held. */
const ORDER_TIMEOUT_MS = 200;
/** Extra time for each lower rank, so that one coordinator takes over first. */
const TAKEOVER_DELAY_PER_RANK_MS = 100;
const ALL_RANKS: PollScope = {ranks: undefined, withChoices: new Set()};

export class Coordinator {
  private change: ChangeState | undefined;
  private readonly poller: GroupPoller;
  private readonly planner: ChangePlanner;
  /** Ranks whose order to prepare is in flight. */
  private readonly preparingRanks = new Set<number>();
  /** The map that was last named in an order. */
  private lastReference:
    | {readonly map: RankMap; readonly reference: MapReference | undefined}
    | undefined;
  /** The map that was last sent to all ranks. */
  private sentMap: RankMap | undefined;
  private lastDemandReadMs = -Infinity;
  /** When the last change ended. */
  private changeEndMs = -Infinity;
  /** Number of readings of the demand. */
  private readings = 0;
  /** Whether answers to the last reading are still awaited. */
  private isReading = false;
  /** Whether the last reading may have spanned a shift of the demand. */
  private wasMixed = false;
  /** Whether no change has been planned for the last reading. */
  private isUnplanned = false;
  /** Time from one step to the next. */
  private stepIntervalMs = POLL_INTERVAL_MS;
  /** Time that the rank with most experts to copy needs for them. */
  private copyMs = 0;
  /** Time at which all ranks should have copied the ordered experts. */
  private copyEndMs = -Infinity;
  private leading = false;
  /** This sidecar's group, once it is known. */
  private group: Heartbeat | undefined;
  private completedCount = 0;
  private timer: Timer | undefined;
  private heartbeats: Timer | undefined;
  private stopped = false;

  constructor(private readonly deps: CoordinatorDependencies) {
    const {addresses, clientFor, clock, log} = deps;
    this.poller = new GroupPoller({
      addresses,
      clientFor,
      handleState: report => this.applyInput({kind: 'report', report}),
      clock,
      log,
    });
    this.planner = new ChangePlanner(clock);
  }

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
    // A rank that has not been polled yet must not take over meanwhile.
    const addresses = this.poller.possibleAddresses(group.group);
    this.deps.sendHeartbeat(addresses, group);
  }

  private async stepAndReschedule(): Promise<void> {
    const {clock, log} = this.deps;
    this.stepIntervalMs = POLL_INTERVAL_MS;
    try {
      await this.step();
    } catch (error) {
      log('debug', 'coordinator step failed', {reason: String(error)});
    }
    this.timer = clock.after(
      this.stepIntervalMs,
      () => void this.stepAndReschedule(),
    );
  }

  private async step(): Promise<void> {
    const {agent, clock, log} = this.deps;
    const nowMs = clock.elapsedMs();
    const busy = this.change !== undefined && this.change.phase.kind !== 'idle';
    const copying =
      this.change?.phase.kind === 'preparing' && nowMs < this.copyEndMs;
    const isReadingDue =
      nowMs - this.lastDemandReadMs >= DEMAND_READ_INTERVAL_MS;
    if ((!busy || copying) && !isReadingDue && !this.observesSwitch(nowMs)) {
      this.applyInput({kind: 'tick'});
      await this.useReading();
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
    if (isReadingDue) {
      if (this.isReading) this.readDemand();
      this.isReading = true;
      this.lastDemandReadMs = nowMs;
      this.readings += 1;
    }
    // All ranks switch at the same pass, so the own one tells when to ask them.
    const awaitsSwitch =
      this.observesSwitch(nowMs) && ownReport.armed !== undefined;
    if (isReadingDue || !awaitsSwitch) {
      const scope = this.pollScope(isReadingDue, awaitsSwitch, nowMs);
      await this.poller.poll(ownReport, scope);
    }
    const pollMs = clock.elapsedMs() - nowMs;
    this.stepIntervalMs = Math.max(
      POLL_INTERVAL_MS,
      pollMs * (1 / MAX_POLL_SHARE - 1),
    );
    this.applyInput({kind: 'tick'});
    await this.useReading();
  }

  /** Whether the ranks may just have switched to the map of the last change. */
  private observesSwitch(nowMs: number): boolean {
    const {change} = this;
    if (change?.phase.kind !== 'idle' || !this.leading) return false;
    if (nowMs - this.changeEndMs > SWITCH_OBSERVATION_MS) return false;
    return doubtfulRanks(change).size > 0;
  }

  /** Plans a change once a reading is complete and all ranks use one map. */
  private async useReading(): Promise<void> {
    if (this.isReading && !this.poller.awaitsChoices) this.readDemand();
    if (this.leading && this.isUnplanned) await this.planChange();
  }

  /** The ranks that the next decision rests on. */
  private pollScope(
    isReadingDue: boolean,
    awaitsSwitch: boolean,
    nowMs: number,
  ): PollScope {
    const {change} = this;
    if (!change || this.poller.states.size < change.size) return ALL_RANKS;
    const {phase, size} = change;
    const isCopying = phase.kind === 'preparing' && nowMs < this.copyEndMs;
    const withChoices = isReadingDue
      ? ranksWithChoices(size)
      : new Set<number>();
    if (awaitsSwitch) return {ranks: withChoices, withChoices};
    if (phase.kind === 'idle' || isCopying) {
      const ranks = isReadingDue
        ? ranksOfTurn(change, this.readings)
        : doubtfulRanks(change);
      return {ranks, withChoices};
    }
    const ranks = ranksOfChange(change);
    return {ranks: new Set([...ranks, ...withChoices]), withChoices};
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
    await this.poller.poll(ownReport, ALL_RANKS);
    const leader = this.poller
      .aliveStates()
      .find(s => s.leading && s.rank < rank);
    if (!leader) return true;
    agent.recordSign(leader);
    this.deps.log('info', 'coordinator is alive without heartbeats', {
      group: ownReport.group,
      rank: leader.rank,
    });
    return false;
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
      change ? undefined : ownReport,
    );
    const isSameSize = change?.size === fresh.size;
    this.change = {
      ...fresh,
      version: change?.version ?? 0,
      switchMs: isSameSize ? change.switchMs : fresh.switchMs,
    };
    this.poller.reset();
    this.deps.log('info', 'group formed', {
      group: ownReport.group,
      epoch: ownReport.epoch,
      size: ownReport.size,
    });
  }

  private applyInput(input: ChangeInput): void {
    if (!this.change) return;
    const {clock, random} = this.deps;
    const before = this.change;
    const {state, orders} = decideChange(before, input, {
      nowMs: clock.elapsedMs(),
      inUse: () => this.currentMap(),
      random,
      holdingRanks: () => this.holdingRanks(),
    });
    this.change = state;
    this.updateRole();
    // The last rank to accept the order begins to copy now.
    if (haveAllAccepted(state) && !haveAllAccepted(before))
      this.copyEndMs = clock.elapsedMs() + this.copyMs;
    if (state.phase.kind !== before.phase.kind) {
      const {version, epoch} = state;
      if (state.phase.kind === 'releasing' && state.phase.committed) {
        this.completedCount += 1;
      }
      // Clearing orders another map; what is in flight must not delay it.
      if (state.phase.kind === 'clearing') this.preparingRanks.clear();
      if (before.phase.kind === 'releasing') {
        // They may still show the hold that has been released.
        this.poller.ignoreEarlierAnswers();
      }
      if (state.phase.kind === 'idle') {
        this.changeEndMs = clock.elapsedMs();
        // Demand has moved while the experts were copied.
        this.lastDemandReadMs = -Infinity;
        this.isUnplanned = false;
      }
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
    const holding = this.poller
      .aliveStates()
      .filter(s => s.holding && s.rank !== ownRank);
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
    const client = this.poller.clientOf(rank);
    const reference =
      order.kind === 'prepare' ? this.referenceTo(order.map) : undefined;
    const outcome = client
      ? await client.order(epoch, order, {
          direct,
          timeoutMs,
          reference,
          isMapSent: isPrepare && this.sentMap === order.map,
        })
      : 'unknown';
    if (isPrepare) this.preparingRanks.delete(rank);
    // The group has formed again in the meantime.
    if (this.change?.epoch !== epoch) return;
    this.applyInput({kind: 'answer', rank, order, outcome});
  }

  private currentMap(): RankMap | undefined {
    const limits = this.deps.limits();
    if (!this.change || !limits) return undefined;
    return mapInUse(this.poller.states, this.change.size, limits);
  }

  /** Names a map by what differs from the one in use, the same for all ranks. */
  private referenceTo(map: RankMap): MapReference | undefined {
    if (this.lastReference?.map === map) return this.lastReference.reference;
    const inUse = this.currentMap();
    const reference = inUse && referTo(map, inUse);
    this.lastReference = {map, reference};
    return reference;
  }

  private readDemand(): void {
    const {poller} = this;
    const {clock, log, limits: readLimits} = this.deps;
    const limits = readLimits();
    const choices = poller.takeChoices();
    this.isReading = false;
    this.isUnplanned = true;
    if (!limits || !this.change) return;
    const {epoch, size} = this.change;
    const pollMs = clock.elapsedMs() - this.lastDemandReadMs;
    this.planner.addChoices(epoch, limits, choices);
    const {distance, noise, hasJumped} = this.planner.lastDemand!;
    // A reading that spans a shift mixes the demand before and after it.
    const isMixed = hasJumped && !this.wasMixed;
    if (isMixed) {
      this.isUnplanned = false;
      this.lastDemandReadMs = -Infinity;
    }
    this.wasMixed = isMixed;
    if (!this.leading) return;
    const versions = [...poller.states.values()].map(s => s.map);
    const newest = Math.max(...versions);
    const used = this.usedMap();
    log('info', 'demand read', {
      sinceChangeMs: roundedMs(clock.elapsedMs() - this.changeEndMs),
      pollMs: roundedMs(pollMs),
      choicesOf: choices.length,
      ranks: size,
      onNewestMap: versions.filter(v => v === newest).length,
      distance: Number(distance.toFixed(2)),
      noise: Number(noise.toFixed(2)),
      skew: used && roundedSkew(this.planner.skewOf(used)),
    });
  }

  private async planChange(): Promise<void> {
    const {clock, log, limits: readLimits} = this.deps;
    const limits = readLimits();
    if (!limits || !this.mayBegin()) return;
    const used = this.usedMap();
    if (!used) return;
    this.isUnplanned = false;
    const startMs = clock.elapsedMs();
    const plan = await this.planner.plan(used, limits);
    const plannedMs = clock.elapsedMs();
    if (plan) await this.sendMap(plan.map);
    // The group may have formed again or changed its map during the search.
    const now = this.usedMap();
    const isCurrent = now?.epoch === used.epoch && now.version === used.version;
    if (!plan || !isCurrent || !this.mayBegin()) return;
    log('info', 'map change planned', {
      copies: plan.copies,
      skewBefore: roundedSkew(plan.skewBefore),
      skewAfter: roundedSkew(plan.skewAfter),
      searchMs: roundedMs(plannedMs - startMs),
      sendMs: roundedMs(clock.elapsedMs() - plannedMs),
    });
    this.copyMs = plan.maxCopiesPerRank * limits.copyMsPerExpert;
    this.copyEndMs = clock.elapsedMs() + this.copyMs;
    this.applyInput({kind: 'begin', target: plan.map});
  }

  /** Sends a map to the ranks of a large group before they are ordered to use it. */
  private async sendMap(map: RankMap): Promise<void> {
    const {change, poller} = this;
    const reference = this.referenceTo(map);
    const relays = relaysOf(change?.size ?? 0);
    if (!reference || relays.length === 0) return;
    await Promise.all(
      relays.map(({rank, others}) => {
        const passTo = others.flatMap(r => poller.clientOf(r)?.sidecar ?? []);
        return poller.clientOf(rank)?.sendMap(reference, passTo);
      }),
    );
    this.sentMap = map;
  }

  private mayBegin(): boolean {
    const {change, stopped} = this;
    if (!change || stopped) return false;
    return mayBeginChange(change, this.deps.clock.elapsedMs());
  }

  /** The map in use, if the reports of all ranks agree on it. */
  private usedMap(): UsedMap | undefined {
    const {change} = this;
    const {states} = this.poller;
    if (!change || states.size !== change.size) return undefined;
    const version = states.get(0)?.map;
    // The group switched maps between the reports, or a rank did not report.
    if ([...states.values()].some(s => s.map !== version)) return undefined;
    const map = this.currentMap();
    if (!map || version === undefined) return undefined;
    const paces = Array.from(
      {length: change.size},
      (_, rank) => states.get(rank)!.pace,
    );
    return {epoch: change.epoch, version, map, paces};
  }
}

function haveAllAccepted({phase, size}: ChangeState): boolean {
  return phase.kind === 'preparing' && phase.acceptedRanks.size === size;
}

/** Undefined if the time is not known. */
function roundedMs(ms: number): number | undefined {
  return Number.isFinite(ms) ? Math.round(ms) : undefined;
}

function roundedSkew(skew: number | undefined): number | undefined {
  return skew === undefined ? undefined : Number(skew.toFixed(3));
}
