/**
 * The task that carries out the decisions on an expert group in a sidecar.
 *
 * It serves the `Group` call, gives orders to the engine, and runs the
 * coordinator: its tick, the connections to the group's sidecars, and the
 * planner. No other task gives map orders to the engine.
 */
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {createTask} from '../kernel/task';
import {Log} from '../observe/log';
import {Timeline} from '../observe/timeline';
import {Platform} from '../platform/client';
import {ActiveRules} from '../rules/activerules';
import {GroupSettings, PeerSettings} from '../settings/schema';
import {CoordinatorPayload, Prepare, RankPayload} from '../wire/messages';
import {Channel, NodeHandlers, StreamHandler} from '../wire/server';
import {
  Coordinator,
  CoordinatorEffect,
  CoordinatorInput,
  decideCoordinator,
  holdsLease,
  initialCoordinator,
  isSettled,
} from './coordinator';
import {EngineReport, RankEngine} from './engine';
import {
  decideRank,
  emptyRow,
  GroupRow,
  initialRank,
  RankEffect,
  RankInput,
  RankSidecar,
} from './group';
import {
  ExpertMap,
  initialMap,
  contentHash,
  serializeMap,
  parseMap,
  Shape,
} from './map';
import {memberKey, MemberConnections} from './members';
import {
  loadFacts,
  LoadFacts,
  emptyPlanner,
  Planner,
  addReport,
  completeSample,
  nextPlan,
} from './planner';

/** Time after which a proposal that is not ready everywhere is abandoned. */
const PREPARE_TIMEOUT_MS = 60_000;
const TICK_INTERVAL_MS = 500;
const ENGINE_POLL_INTERVAL_MS = 200;
const SAMPLE_INTERVAL_MS = 1_000;

export interface GroupParts {
  readonly settings: GroupSettings;
  readonly instance: string;
  readonly incarnation: string;
  readonly peers: PeerSettings;
  readonly platform: Platform;
  readonly engine: RankEngine;
  readonly activeRules: ActiveRules;
  readonly handlers: NodeHandlers;
  readonly clock: Clock;
  readonly log: Log;
  readonly timeline: Timeline;
}

/** Facts about a group for `status`. */
export interface GroupFacts extends LoadFacts {
  readonly group: string;
  readonly coordinator: boolean;
  readonly epoch: number;
  /** Map version of the last step of this sidecar's ranks. */
  readonly mapVersion: number;
  readonly committedVersion: number;
  /** Wall time at which the facts were taken, in milliseconds. */
  readonly atMs: number;
}

type ReplyChannel = Channel<RankPayload>;

type Message =
  | {
      readonly kind: 'rank';
      readonly input: RankInput;
      readonly to?: ReplyChannel;
    }
  | {readonly kind: 'coordinator'; readonly input: CoordinatorInput}
  | {readonly kind: 'sample'};

export class Group {
  private readonly mailbox = createTask<Message>(message =>
    this.handle(message),
  );
  private readonly timers: Timer[] = [];
  private readonly channels = new Set<ReplyChannel>();
  private readonly members: MemberConnections;
  /** Text forms of the committed and the proposed map, by hash. */
  private readonly mapTexts = new Map<string, string>();
  private rank: RankSidecar;
  private coordinator: Coordinator;
  private planner: Planner = emptyPlanner;
  private shape: Shape | undefined;
  /** The committed map, once it has been loaded. */
  private currentMap: ExpertMap | undefined;
  /** Tokens of each expert since the last state report to a coordinator. */
  private unreportedTokens: readonly number[] = [];
  private registered = false;

  constructor(private readonly parts: GroupParts) {
    const {settings, incarnation, peers, platform, clock, timeline} = parts;
    const {name, index, endpoints} = settings;
    const sidecars = Array.from({length: endpoints}, (_, i) => String(i));
    this.rank = initialRank(String(index), index === 0);
    this.coordinator = initialCoordinator({
      group: name,
      holder: incarnation,
      sidecars,
      leaseMs: parts.settings.leaseMs,
      prepareTimeoutMs: PREPARE_TIMEOUT_MS,
    });
    this.members = new MemberConnections({
      group: name,
      settings: peers,
      platform,
      clock,
      timeline,
      onMessage: (from, message) => this.onRankMessage(from, message),
    });
  }

  async start(): Promise<void> {
    const {clock, handlers} = this.parts;
    handlers.group = channel => this.accept(channel);
    this.timers.push(
      repeatEvery(clock, TICK_INTERVAL_MS, () => this.tick()),
      repeatEvery(clock, ENGINE_POLL_INTERVAL_MS, () => void this.pollEngine()),
      repeatEvery(clock, SAMPLE_INTERVAL_MS, () =>
        this.mailbox.post({kind: 'sample'}),
      ),
    );
  }

  async stop(): Promise<void> {
    for (const timer of this.timers) timer.cancel();
    this.members.close();
  }

  facts(): GroupFacts {
    const {clock, settings} = this.parts;
    const now = clock.now();
    return {
      group: settings.name,
      coordinator: holdsLease(this.coordinator, now),
      epoch: this.rank.highestEpoch ?? 0,
      mapVersion: this.rank.lastStep?.version ?? 0,
      committedVersion: this.coordinator.row.version,
      atMs: now.getTime(),
      ...loadFacts(this.planner, this.currentMap),
    };
  }

  /** Facts for `status`; empty until the skew is known, as to a coordinator. */
  status() {
    const {skew, ...others} = this.facts();
    return skew === undefined ? {} : {groups: [{...others, skew}]};
  }

  /** Serves the stream of a coordinator, which may be this process. */
  accept(channel: ReplyChannel): StreamHandler<CoordinatorPayload> {
    this.channels.add(channel);
    return {
      message: message => {
        const input = this.toRankInput(message);
        if (input) this.mailbox.post({kind: 'rank', input, to: channel});
      },
      closed: () => this.channels.delete(channel),
    };
  }

  private toRankInput(message: CoordinatorPayload): RankInput | undefined {
    switch (message.kind) {
      case 'prepare':
        return this.prepareInput(message.prepare);
      case 'activate':
        return {...message.activate, kind: 'activate'};
      case 'release':
        return {...message.release, kind: 'release'};
      case 'probe':
        return {...message.probe, kind: 'probe'};
    }
  }

  private prepareInput(prepare: Prepare): RankInput | undefined {
    const {epoch, version, mapHash: hash} = prepare;
    const map = Buffer.from(prepare.map).toString();
    if (contentHash(map) !== hash) {
      this.parts.log(
        'warn',
        'map in prepare order does not match its hash; order ignored',
        {version},
      );
      return undefined;
    }
    return {kind: 'prepare', order: {epoch, version, hash}, map};
  }

  private handle(message: Message): void {
    switch (message.kind) {
      case 'rank': {
        const next = decideRank(this.rank, message.input);
        this.rank = next.state;
        for (const e of next.effects) this.runRankEffect(e, message.to);
        return;
      }
      case 'coordinator': {
        const {clock} = this.parts;
        const before = this.coordinator;
        const next = decideCoordinator(before, message.input, clock.now());
        this.coordinator = next.state;
        this.recordChanges(before);
        for (const effect of next.effects) this.runCoordinatorEffect(effect);
        return;
      }
      case 'sample':
        return this.rebalance();
    }
  }

  private runRankEffect(
    effect: RankEffect,
    to: ReplyChannel | undefined,
  ): void {
    const {engine} = this.parts;
    switch (effect.kind) {
      case 'reply':
        if (effect.reply.kind === 'state') this.unreportedTokens = [];
        for (const c of to ? [to] : this.channels) c.send(effect.reply);
        return;
      case 'readRow':
        return void this.readRowForRank();
      case 'load':
        return this.logFailedOrder(
          engine.load(effect.order, effect.map),
          'load',
        );
      case 'activate':
        return this.logFailedOrder(engine.activate(effect.order), 'activate');
      case 'drop':
        return this.logFailedOrder(
          engine.drop(effect.epoch, effect.belowVersion),
          'drop',
        );
    }
  }

  /**
   * Logs an order that fails; it is not repeated here. The coordinator repeats
   * `prepare` and `activate` until the ranks confirm them, and a later
   * `release` covers an earlier one.
   */
  private logFailedOrder(pending: Promise<void>, what: string): void {
    pending.catch((error: unknown) => {
      const reason = String(error);
      this.parts.log('warn', 'order to the engine failed', {what, reason});
    });
  }

  private runCoordinatorEffect(effect: CoordinatorEffect): void {
    switch (effect.kind) {
      case 'read':
        return void this.readRowForCoordinator();
      case 'write':
        return void this.writeRow(effect.rowVersion, effect.row);
      case 'send':
        return void this.send(effect);
    }
  }

  private async send({
    to,
    message,
  }: Extract<CoordinatorEffect, {kind: 'send'}>): Promise<void> {
    if (message.kind !== 'prepare') return this.members.send(to, message);
    const text = await this.loadMapText(message.prepare.mapHash);
    if (text === undefined) return;
    const prepare = {...message.prepare, map: Buffer.from(text)};
    this.members.send(to, {kind: 'prepare', prepare});
  }

  private async loadMapText(hash: string): Promise<string | undefined> {
    const known = this.mapTexts.get(hash);
    if (known !== undefined) return known;
    const {platform, log} = this.parts;
    try {
      const text = await platform.getObject(hash);
      if (text === undefined || contentHash(text) !== hash) return undefined;
      this.mapTexts.set(hash, text);
      return text;
    } catch (error) {
      log('warn', 'expert map could not be read from the object store', {
        hash,
        reason: String(error),
      });
      return undefined;
    }
  }

  private get rowKey(): string {
    return `group/${this.parts.settings.name}`;
  }

  private async readRowForRank(): Promise<void> {
    try {
      const {value} = await this.parts.platform.read(this.rowKey);
      const row = (value ?? emptyRow) as GroupRow;
      this.mailbox.post({kind: 'rank', input: {kind: 'row', row}});
    } catch (error) {
      this.parts.log('debug', 'group row could not be read from the table', {
        reason: String(error),
      });
    }
  }

  private async readRowForCoordinator(): Promise<void> {
    const input = await this.readRowInput();
    this.mailbox.post({kind: 'coordinator', input});
  }

  private async readRowInput(): Promise<CoordinatorInput> {
    try {
      const {version, value} = await this.parts.platform.read(this.rowKey);
      const row = (value ?? emptyRow) as GroupRow;
      return {kind: 'row', rowVersion: version, row};
    } catch {
      return {kind: 'readFailed'};
    }
  }

  private async writeRow(rowVersion: number, row: GroupRow): Promise<void> {
    const key = this.rowKey;
    const {kind} = await this.parts.platform.transact(
      [{key, version: rowVersion}],
      [{key, value: row}],
    );
    const settled = kind === 'done' || kind === 'unavailable';
    const outcome = settled ? kind : 'unsure';
    this.mailbox.post({
      kind: 'coordinator',
      input: {kind: 'written', outcome},
    });
  }

  private tick(): void {
    if (this.rank.highestEpoch === undefined) void this.readRowForRank();
    if (!this.registered) void this.register();
    this.mailbox.post({kind: 'coordinator', input: {kind: 'tick'}});
    const {epoch, settings} = this.coordinator;
    if (epoch === undefined) return this.members.close();
    this.members.openMissing(settings.sidecars).catch((error: unknown) => {
      const reason = String(error);
      this.parts.log('debug', 'addresses of the group could not be read', {
        reason,
      });
    });
  }

  private async register(): Promise<void> {
    const {platform, settings, instance} = this.parts;
    const key = memberKey(settings.name, String(settings.index));
    try {
      const {version, value} = await platform.read(key);
      const known = (value as {instance?: string} | null)?.instance;
      if (known === instance) this.registered = true;
      else
        await platform.transact([{key, version}], [{key, value: {instance}}]);
    } catch (error) {
      this.parts.log('debug', 'sidecar could not be registered in its group', {
        reason: String(error),
      });
    }
  }

  private async pollEngine(): Promise<void> {
    let report: EngineReport;
    try {
      report = await this.parts.engine.report();
    } catch (error) {
      this.parts.log('debug', 'no valid report from the engine', {
        reason: String(error),
      });
      return;
    }
    const {held, step, stepMs, rankMs, expertTokens, shape} = report;
    this.shape = shape;
    this.unreportedTokens = expertTokens.map(
      (n, i) => n + (this.unreportedTokens[i] ?? 0),
    );
    const load = {stepMs, rankMs, expertTokens: this.unreportedTokens};
    const input = {
      kind: 'engine',
      held,
      step: step ?? undefined,
      load,
    } as const;
    this.mailbox.post({kind: 'rank', input});
  }

  private onRankMessage(from: string, message: RankPayload): void {
    if (message.kind === 'state') {
      this.planner = addReport(this.planner, message.state);
    }
    const input = {kind: 'rank', from, message} as const;
    this.mailbox.post({kind: 'coordinator', input});
  }

  /** Updates the load estimate and proposes a map if one pays off. */
  private rebalance(): void {
    const {clock} = this.parts;
    const now = clock.now();
    if (!this.shape || !holdsLease(this.coordinator, now)) return;
    this.planner = completeSample(this.planner, this.shape, now);
    const {row} = this.coordinator;
    if (row.version === 0) return void this.propose(initialMap(this.shape));
    if (this.currentMap?.hash !== row.mapHash)
      return void this.loadCurrentMap();
    if (!isSettled(this.coordinator, now)) return;
    const {rebalancing} = this.parts.activeRules.current().rules;
    const next = nextPlan(this.planner, this.currentMap, rebalancing);
    if (next) void this.propose(next.map);
  }

  private async loadCurrentMap(): Promise<void> {
    const text = await this.loadMapText(this.coordinator.row.mapHash);
    const map = text === undefined ? undefined : parseMap(text);
    if (map?.ok) this.currentMap = map.val;
  }

  /** Stores the map in the object store, and only then proposes it. */
  private async propose(map: ExpertMap): Promise<void> {
    const {platform, log} = this.parts;
    const text = serializeMap(map);
    try {
      await platform.putObject(map.hash, text);
    } catch (error) {
      log('warn', 'expert map could not be stored in the object store', {
        reason: String(error),
      });
      return;
    }
    this.cacheMapText(map.hash, text);
    const input = {kind: 'propose', hash: map.hash} as const;
    this.mailbox.post({kind: 'coordinator', input});
  }

  private cacheMapText(hash: string, text: string): void {
    const {row, proposal} = this.coordinator;
    const used = new Set([row.mapHash, proposal?.hash]);
    for (const old of this.mapTexts.keys()) {
      if (!used.has(old)) this.mapTexts.delete(old);
    }
    this.mapTexts.set(hash, text);
  }

  private recordChanges(before: Coordinator): void {
    const {epoch, row} = this.coordinator;
    const {log, timeline} = this.parts;
    if (epoch !== before.epoch) {
      const event =
        epoch === undefined ? 'group lease lost' : 'group lease held';
      log('info', event, {epoch: epoch ?? before.epoch});
      timeline.record(event, '', String(epoch ?? before.epoch));
    }
    if (epoch !== undefined && row.version > before.row.version) {
      log('info', 'expert map committed', {epoch, version: row.version});
      timeline.record('expert map committed', '', String(row.version));
    }
  }
}
