/**
 * The simulated world of the group model: sidecars with an engine each, the
 * table, the network, and the checks that must hold in every step.
 */
import {
  Coordinator,
  CoordinatorEffect,
  CoordinatorInput,
  CoordinatorOrder,
  decideCoordinator,
  holdsLease,
  initialCoordinator,
} from '../../src/experts/coordinator';
import {
  decideRank,
  emptyRow,
  GroupRow,
  initialRank,
  mapKey,
  MapOrder,
  RankEffect,
  RankInput,
  RankSidecar,
} from '../../src/experts/group';
import {RankPayload} from '../../src/wire/messages';

export const SIDECARS = ['s0', 's1', 's2'];
export const LEASE_MS = 1_000;
const PREPARE_TIMEOUT_MS = 2_000;
const LOAD = {stepMs: 1, expertTokens: [], rankMs: []};

interface Engine {
  held: Set<string>;
  /** Highest fencing number of an order; set only if the engine checks it. */
  highestFence: number;
  active: MapOrder | undefined;
  lastStep: MapOrder | undefined;
  /** Highest committed version that was run since the engine started. */
  highestRun: number;
}

interface Sidecar {
  name: string;
  incarnation: number;
  paused: boolean;
  rank: RankSidecar;
  coordinator: Coordinator;
  /** Epochs that processes of this sidecar have held. */
  epochs: number[];
}

type EngineOrder = Extract<RankEffect, {kind: 'load' | 'activate' | 'drop'}>;

/**
 * A message or request in flight. `incarnation` is that of the process that
 * receives it or its answer.
 */
type NetworkItem =
  | {kind: 'order'; to: number; from: number; message: CoordinatorOrder}
  | {
      kind: 'reply';
      to: number;
      from: string;
      incarnation: number;
      message: RankPayload;
    }
  | {kind: 'engine'; at: number; order: EngineOrder}
  | {kind: 'step'; at: number; id: number; order: MapOrder}
  | {kind: 'read'; by: number; incarnation: number; rank: boolean}
  | {
      kind: 'write';
      by: number;
      incarnation: number;
      rowVersion: number;
      row: GroupRow;
    }
  | {kind: 'input'; to: number; incarnation: number; input: CoordinatorInput}
  | {kind: 'rankRow'; to: number; incarnation: number; row: GroupRow};

/** Which sidecars get `activate`; `each` is a fault that the model must find. */
export type Activation = 'sequencer' | 'each';

export class World {
  readonly engines: Engine[] = SIDECARS.map(newEngine);
  readonly sidecars: Sidecar[] = [];
  readonly committed = new Set<string>();
  inFlight: NetworkItem[] = [];
  nowMs = 0;
  row = emptyRow;
  rowVersion = 0;
  startedSteps = 0;
  commits = 0;
  /** Key of the map that each step ran on. */
  readonly mapOfStep = new Map<number, string>();

  constructor(
    readonly fencing: boolean,
    readonly activation: Activation = 'sequencer',
  ) {
    SIDECARS.forEach((_, i) => this.sidecars.push(this.createSidecar(i, 0)));
  }

  private createSidecar(i: number, incarnation: number): Sidecar {
    const name = SIDECARS[i]!;
    const settings = {
      group: 'g',
      holder: `${name}/${incarnation}`,
      sidecars: SIDECARS,
      leaseMs: LEASE_MS,
      prepareTimeoutMs: PREPARE_TIMEOUT_MS,
    };
    this.inFlight.push({kind: 'read', by: i, incarnation, rank: true});
    return {
      name,
      incarnation,
      paused: false,
      rank: initialRank(name, i === 0 || this.activation === 'each'),
      coordinator: initialCoordinator(settings),
      epochs: this.sidecars[i]?.epochs ?? [],
    };
  }

  restartSidecar(i: number): void {
    this.sidecars[i] = this.createSidecar(i, this.sidecars[i]!.incarnation + 1);
  }

  restartEngine(i: number): void {
    this.engines[i] = newEngine();
  }

  coordinate(i: number, input: CoordinatorInput): void {
    const sidecar = this.sidecars[i]!;
    const now = new Date(this.nowMs);
    const next = decideCoordinator(sidecar.coordinator, input, now);
    sidecar.coordinator = next.state;
    const {epoch} = next.state;
    if (epoch !== undefined && !sidecar.epochs.includes(epoch)) {
      sidecar.epochs.push(epoch);
    }
    for (const effect of next.effects) this.runCoordinatorEffect(i, effect);
  }

  private runCoordinatorEffect(i: number, effect: CoordinatorEffect): void {
    const incarnation = this.sidecars[i]!.incarnation;
    if (effect.kind === 'read') {
      this.inFlight.push({kind: 'read', by: i, incarnation, rank: false});
    } else if (effect.kind === 'write') {
      const {rowVersion, row} = effect;
      this.inFlight.push({kind: 'write', by: i, incarnation, rowVersion, row});
    } else {
      this.sendOrder(i, SIDECARS.indexOf(effect.to), effect.message);
    }
  }

  sendOrder(from: number, to: number, message: CoordinatorOrder): void {
    const each = message.kind === 'activate' && this.activation === 'each';
    const targets = each ? SIDECARS.map((_, i) => i) : [to];
    for (const t of targets) {
      this.inFlight.push({kind: 'order', to: t, from, message});
    }
  }

  runRank(i: number, input: RankInput, replyTo?: number): void {
    const sidecar = this.sidecars[i]!;
    const next = decideRank(sidecar.rank, input);
    sidecar.rank = next.state;
    for (const effect of next.effects) this.runRankEffect(i, effect, replyTo);
  }

  private runRankEffect(i: number, effect: RankEffect, replyTo?: number): void {
    const incarnation = this.sidecars[i]!.incarnation;
    if (effect.kind === 'readRow') {
      this.inFlight.push({kind: 'read', by: i, incarnation, rank: true});
    } else if (effect.kind !== 'reply') {
      this.inFlight.push({kind: 'engine', at: i, order: effect});
    } else {
      const from = SIDECARS[i]!;
      const receivers =
        replyTo === undefined ? SIDECARS.map((_, to) => to) : [replyTo];
      for (const to of receivers) {
        const target = this.sidecars[to]!.incarnation;
        const message = effect.reply;
        this.inFlight.push({
          kind: 'reply',
          to,
          from,
          incarnation: target,
          message,
        });
      }
    }
  }

  /** The sidecar reads its engine's report. */
  pollEngine(i: number): void {
    if (this.sidecars[i]!.paused) return;
    const {held, lastStep} = this.engines[i]!;
    const input = {held: [...held], step: lastStep, load: LOAD};
    this.runRank(i, {kind: 'engine', ...input});
  }

  startStep(): void {
    const {active} = this.engines[0]!;
    if (!active) return;
    const id = ++this.startedSteps;
    this.engines.forEach((engine, at) => {
      const mapOrder = this.activation === 'each' ? engine.active : active;
      if (mapOrder) this.inFlight.push({kind: 'step', at, id, order: mapOrder});
    });
  }

  /** Delivers one message; with `lost`, a table request's answer is lost. */
  deliver(index: number, lost = false): void {
    const item = this.inFlight[index];
    if (!item || !this.isDeliverable(item)) return;
    this.inFlight.splice(index, 1);
    switch (item.kind) {
      case 'order':
        return this.runRank(item.to, orderInput(item.message), item.from);
      case 'reply':
        return this.coordinate(item.to, {...item, kind: 'rank'});
      case 'engine':
        return this.runEngineOrder(item.at, item.order);
      case 'step':
        return this.runStep(item.at, item.id, item.order);
      case 'read':
        return this.answerRead(item, lost);
      case 'write':
        return this.answerWrite(item, lost);
      case 'input':
        return this.coordinate(item.to, item.input);
      case 'rankRow':
        return this.runRank(item.to, {kind: 'row', row: item.row});
    }
  }

  /** Messages wait for a paused process and are lost with a stopped one. */
  private isDeliverable(item: NetworkItem): boolean {
    if (!('to' in item)) return true;
    const target = this.sidecars[item.to]!;
    if (target.paused) return false;
    if ('incarnation' in item && item.incarnation !== target.incarnation) {
      this.inFlight = this.inFlight.filter(other => other !== item);
      return false;
    }
    return true;
  }

  drop(index: number): void {
    const item = this.inFlight[index];
    // The result of a table request is inside its caller's process already.
    if (!item || item.kind === 'input') return;
    this.inFlight.splice(index, 1);
    // The caller of a lost table request learns of it from its timeout.
    if (item.kind === 'read' && !item.rank) {
      this.sendAnswer(item.by, item.incarnation, {kind: 'readFailed'});
    }
    if (item.kind === 'write') {
      this.sendAnswer(item.by, item.incarnation, {
        kind: 'written',
        outcome: 'unsure',
      });
    }
  }

  duplicate(index: number): void {
    const item = this.inFlight[index];
    const neverDuplicated = ['input', 'read', 'write'];
    if (item && !neverDuplicated.includes(item.kind)) this.inFlight.push(item);
  }

  private sendAnswer(
    to: number,
    incarnation: number,
    input: CoordinatorInput,
  ): void {
    this.inFlight.push({kind: 'input', to, incarnation, input});
  }

  private answerRead(
    item: Extract<NetworkItem, {kind: 'read'}>,
    lost: boolean,
  ): void {
    const {by, incarnation} = item;
    const {row, rowVersion} = this;
    if (item.rank) {
      if (!lost)
        this.inFlight.push({kind: 'rankRow', to: by, incarnation, row});
    } else if (lost) this.sendAnswer(by, incarnation, {kind: 'readFailed'});
    else this.sendAnswer(by, incarnation, {kind: 'row', rowVersion, row});
  }

  private answerWrite(
    item: Extract<NetworkItem, {kind: 'write'}>,
    lost: boolean,
  ): void {
    const {by, incarnation, row} = item;
    const holds = item.rowVersion === this.rowVersion;
    if (holds) {
      check(row.version >= this.row.version, 'committed version reverted');
      if (row.version > this.row.version) this.commits += 1;
      check(row.epoch >= this.row.epoch, 'epoch reverted');
      this.row = row;
      this.rowVersion += 1;
      this.committed.add(mapKey({version: row.version, hash: row.mapHash}));
    }
    const outcome = holds && !lost ? 'done' : 'unsure';
    this.sendAnswer(by, incarnation, {kind: 'written', outcome});
  }

  private runEngineOrder(i: number, effect: EngineOrder): void {
    const engine = this.engines[i]!;
    const epoch = effect.kind === 'drop' ? effect.epoch : effect.order.epoch;
    if (this.fencing && epoch < engine.highestFence) return;
    if (this.fencing) engine.highestFence = epoch;
    if (effect.kind === 'load') engine.held.add(mapKey(effect.order));
    if (effect.kind === 'activate') this.activate(engine, effect.order);
    if (effect.kind === 'drop') {
      const kept = [...engine.held].filter(
        key => Number(key.split(':')[0]) >= effect.belowVersion,
      );
      engine.held = new Set(kept);
    }
  }

  private activate(engine: Engine, order: MapOrder): void {
    if (!engine.held.has(mapKey(order))) return;
    const {active} = engine;
    const older =
      active && active.epoch === order.epoch && order.version < active.version;
    if (this.fencing && older) return;
    engine.active = order;
  }

  private runStep(i: number, id: number, order: MapOrder): void {
    const engine = this.engines[i]!;
    if (!engine.held.has(mapKey(order))) return;
    const key = mapKey(order);
    const other = this.mapOfStep.get(id);
    check(!other || other === key, `step ${id} ran on ${other} and ${key}`);
    check(this.committed.has(key), `step ${id} ran on uncommitted ${key}`);
    this.mapOfStep.set(id, key);
    engine.lastStep = order;
    if (i > 0) return;
    const reverted = this.fencing && order.version < engine.highestRun;
    check(!reverted, `step ${id} went back to version ${order.version}`);
    engine.highestRun = Math.max(engine.highestRun, order.version);
  }

  /** Ends all pauses; the group must then run `hash` in bounded time. */
  requireRecovery(hash: string): void {
    for (const sidecar of this.sidecars) sidecar.paused = false;
    for (let n = 0; n < MAX_RECOVERY_ROUNDS; n++) {
      this.round(hash);
      if (this.runsMap(hash)) return;
    }
    const held = this.engines.map(e => [...e.held].join(','));
    check(
      false,
      `stayed on version ${this.row.version}; held ${held.join(' | ')}`,
    );
  }

  /** Every process that is not paused does its regular work once. */
  round(hash: string): void {
    this.nowMs += LEASE_MS / 10;
    this.sidecars.forEach((sidecar, i) => {
      if (sidecar.paused) return;
      this.pollEngine(i);
      if (sidecar.rank.highestEpoch === undefined) {
        const incarnation = sidecar.incarnation;
        this.inFlight.push({kind: 'read', by: i, incarnation, rank: true});
      }
      this.coordinate(i, {kind: 'tick'});
      const holder = holdsLease(sidecar.coordinator, new Date(this.nowMs));
      if (holder) this.coordinate(i, {kind: 'propose', hash});
    });
    this.startStep();
    let next = 0;
    for (let n = this.inFlight.length; n > 0; n--) {
      const before = this.inFlight.length;
      this.deliver(next);
      // Messages for a paused process stay where they are.
      if (this.inFlight.length === before && this.isStuck(next)) next += 1;
    }
  }

  private isStuck(index: number): boolean {
    const item = this.inFlight[index];
    return !!item && 'to' in item && this.sidecars[item.to]!.paused;
  }

  /** Whether `hash` is committed and every engine's last step ran on it. */
  private runsMap(hash: string): boolean {
    const {row} = this;
    if (row.mapHash !== hash) return false;
    return this.engines.every(
      ({lastStep}) =>
        lastStep?.version === row.version && lastStep.hash === hash,
    );
  }
}

const MAX_RECOVERY_ROUNDS = 200;

function newEngine(): Engine {
  const held = new Set<string>();
  return {
    held,
    highestFence: 0,
    active: undefined,
    lastStep: undefined,
    highestRun: 0,
  };
}

function check(holds: boolean, message: string): void {
  if (!holds) throw new Error(message);
}

function orderInput(message: CoordinatorOrder): RankInput {
  switch (message.kind) {
    case 'prepare': {
      const {epoch, version, mapHash: hash} = message.prepare;
      return {kind: 'prepare', order: {epoch, version, hash}, map: hash};
    }
    case 'activate':
      return {...message.activate, kind: 'activate'};
    case 'release':
      return {...message.release, kind: 'release'};
    case 'probe':
      return {...message.probe, kind: 'probe'};
  }
}
