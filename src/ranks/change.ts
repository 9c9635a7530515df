/**
 * One change of a group's expert map, as a pure decision.
 *
 * All ranks must switch with the same pass. The coordinator prepares a map at
 * every rank and waits until each holds it. It then holds its own rank at a
 * pass ahead, so that the pass cannot begin, arms every rank for that pass and
 * lets its rank go only when all are known to be armed.
 *
 * An order without an answer may be carried out seconds later, and orders
 * carry no fence that a rank would check. Three facts replace it. Versions are
 * never used twice, so a late order can only concern its own change. A rank
 * that has taken a higher version refuses to arm a lower one, so preparing
 * the map in use under a higher version cancels an order to arm that is still
 * on its way. And each coordinator holds its own rank: one that clears up
 * after another holds its own rank at the same pass first, so that the other,
 * should it wake up and go on, cannot start the pass with ranks half cleared.
 *
 * Load pattern: for many seconds a third of all orders is not answered and
 * carried out late, while demand goes on to shift. Orders of a change may be
 * repeated at any time, so each is repeated until the rank confirms it, by an
 * answer or by its report. Where answers are being lost, the pass to switch
 * with is further ahead, so that the group does not wait for the repeats.
 */
import {OrderOutcome, RankMap, RankOrder, RankReport} from './rank';

export interface Preparing {
  readonly kind: 'preparing';
  readonly accepted: ReadonlySet<number>;
  /** Ranks that left an order of this change unanswered. */
  readonly silent: ReadonlySet<number>;
  readonly untilMs: number;
}

export interface Holding {
  readonly kind: 'holding';
  readonly pass: number;
  readonly silent: ReadonlySet<number>;
  readonly untilMs: number;
}

export interface Arming {
  readonly kind: 'arming';
  readonly pass: number;
  readonly armed: ReadonlySet<number>;
  readonly silent: ReadonlySet<number>;
  readonly untilMs: number;
}

/** Makes sure that nothing is armed or can be, then lets the group go. */
export interface Clearing {
  readonly kind: 'clearing';
  readonly pass: number;
  /** Whether the own rank is known to be held at the pass. */
  readonly secured: boolean;
  /** Only versions above this one, given since clearing began, count. */
  readonly above: number;
  /** Ranks that took a version above all that may be armed. */
  readonly cleared: ReadonlySet<number>;
  /** Other ranks that were held at the pass when clearing began. */
  readonly others: readonly number[];
  readonly againMs: number;
}

/** Lets held ranks go until none reports the hold any more. */
export interface Releasing {
  readonly kind: 'releasing';
  readonly pass: number;
  readonly held: ReadonlySet<number>;
  readonly againMs: number;
  readonly changed: boolean;
}

export interface Idle {
  readonly kind: 'idle';
  /** Time before which no change may begin. */
  readonly restUntilMs: number;
}

export type Phase = Idle | Preparing | Holding | Arming | Clearing | Releasing;

export interface ChangeState {
  /** Rank of the coordinator. */
  readonly own: number;
  readonly size: number;
  readonly epoch: number;
  readonly phase: Phase;
  /** Version of the change; all versions given before are lower. */
  readonly version: number;
  readonly target: RankMap | undefined;
  /** Pass of the last hold; a later one is always higher. */
  readonly lastPass: number;
  /** The newest report of each rank. */
  readonly reports: ReadonlyMap<number, RankReport>;
  /** Since when a hold that is not this coordinator's was seen. */
  readonly foreignSinceMs: number | undefined;
}

export type Input =
  | {readonly kind: 'begin'; readonly target: RankMap}
  | {
      readonly kind: 'answer';
      readonly rank: number;
      readonly order: RankOrder;
      readonly outcome: OrderOutcome;
    }
  | {readonly kind: 'report'; readonly report: RankReport}
  | {readonly kind: 'tick'};

export interface Order {
  readonly rank: number;
  readonly epoch: number;
  readonly order: RankOrder;
}

export interface Circumstances {
  readonly nowMs: number;
  /** The map in use, as reported by all ranks; undefined if not known. */
  readonly inUse: RankMap | undefined;
  /** A number from 0 up to 1. */
  readonly random: () => number;
}

/** Longest time for all ranks to take a map and copy its experts, in ms. */
const PREPARE_MS = 10_000;
/** Time in which each rank must confirm that it copies, in ms. */
const ACCEPT_MS = 2_500;
/** Longest time to hold the own rank, in milliseconds. */
const HOLD_MS = 300;
/** Longest time to arm all ranks, in ms; the group may wait for it. */
const ARM_MS = 500;
/** Time between repeated orders while the group is held, in ms. */
const AGAIN_MS = 60;
/** Rest after a change that failed, in milliseconds. */
const REST_MS = 2_000;
/** A hold of another coordinator that lasts this long is left over, in ms. */
const FOREIGN_MS = 250;

/**
 * Passes between the last one begun and the one to switch with. One pass
 * takes about 50 ms, and the orders to arm need about 10 ms.
 */
const AHEAD = 2;
/** The same while answers are being lost; leaves time for five repeats. */
const AHEAD_LOSSY = 5;

/** Versions that one coordinator skips at most, so that none is used twice. */
const VERSION_SPREAD = 1_024;

export function initialChange(
  own: number,
  size: number,
  epoch: number,
): ChangeState {
  return {
    own,
    size,
    epoch,
    phase: {kind: 'idle', restUntilMs: 0},
    version: 0,
    target: undefined,
    lastPass: -1,
    reports: new Map(),
    foreignSinceMs: undefined,
  };
}

interface Result {
  readonly state: ChangeState;
  readonly orders: readonly Order[];
}

export function decideChange(
  state: ChangeState,
  input: Input,
  around: Circumstances,
): Result {
  switch (input.kind) {
    case 'begin':
      return begin(state, input.target, around);
    case 'answer':
      return answered(state, input.rank, input.order, input.outcome, around);
    case 'report':
      return reportSeen(state, input.report, around);
    case 'tick':
      return ticked(state, around);
  }
}

/** Whether a new change may begin now. */
export function mayBegin(state: ChangeState, nowMs: number): boolean {
  const {phase, reports, size} = state;
  if (phase.kind !== 'idle' || nowMs < phase.restUntilMs) return false;
  if (reports.size !== size) return false;
  return [...reports.values()].every(
    r => r.open && r.held === undefined && r.armed === undefined,
  );
}

function begin(
  state: ChangeState,
  target: RankMap,
  {nowMs, random}: Circumstances,
): Result {
  if (!mayBegin(state, nowMs)) return {state, orders: []};
  const version = nextVersion(state, random);
  const phase: Preparing = {
    kind: 'preparing',
    accepted: new Set(),
    silent: new Set(),
    untilMs: nowMs + ACCEPT_MS,
  };
  const next = {...state, phase, version, target};
  return {state: next, orders: toAll(next, prepareOrder(version, target))};
}

function prepareOrder(version: number, map: RankMap): RankOrder {
  return {kind: 'prepare', version, map};
}

/** Above all versions known, and of the coordinator's rank only. */
function nextVersion(state: ChangeState, random: () => number): number {
  let highest = state.version;
  for (const {map, prepared = 0, armed = 0} of state.reports.values()) {
    highest = Math.max(highest, map, prepared, armed);
  }
  const skipped = 1 + Math.floor(random() * VERSION_SPREAD);
  const round = Math.floor(highest / state.size) + skipped;
  return round * state.size + state.own;
}

function toAll(state: ChangeState, order: RankOrder): readonly Order[] {
  return Array.from({length: state.size}, (_, rank) =>
    orderFor(state, rank, order),
  );
}

function orderFor(state: ChangeState, rank: number, order: RankOrder): Order {
  return {rank, epoch: state.epoch, order};
}

function rested(state: ChangeState, nowMs: number): Result {
  const phase: Idle = {kind: 'idle', restUntilMs: nowMs + REST_MS};
  return {state: {...state, phase, target: undefined}, orders: []};
}

function answered(
  state: ChangeState,
  rank: number,
  order: RankOrder,
  outcome: OrderOutcome,
  around: Circumstances,
): Result {
  const {phase} = state;
  switch (phase.kind) {
    case 'preparing':
      if (order.kind !== 'prepare' || order.version !== state.version) break;
      return prepareAnswered(state, phase, rank, order, outcome, around);
    case 'holding':
      if (order.kind !== 'hold' || order.pass !== phase.pass) break;
      return holdAnswered(state, phase, order, outcome, around);
    case 'arming':
      if (order.kind !== 'arm' || order.version !== state.version) break;
      return armAnswered(state, phase, rank, order, outcome, around);
    case 'releasing':
      if (order.kind !== 'go' || order.pass !== phase.pass) break;
      if (outcome === 'accepted') return released(state, phase, rank, around);
      return {state, orders: [orderFor(state, rank, order)]};
    case 'clearing':
      return clearingAnswered(state, phase, rank, order, outcome, around);
  }
  return {state, orders: []};
}

function prepareAnswered(
  state: ChangeState,
  phase: Preparing,
  rank: number,
  order: RankOrder,
  outcome: OrderOutcome,
  {nowMs}: Circumstances,
): Result {
  if (outcome === 'unknown') {
    const silent = new Set([...phase.silent, rank]);
    const next = {...state, phase: {...phase, silent}};
    return {state: next, orders: [orderFor(next, rank, order)]};
  }
  if (outcome === 'refused') {
    // An earlier order may have been carried out; the reports tell.
    if (phase.silent.has(rank)) return {state, orders: []};
    return rested(state, nowMs);
  }
  return {state: preparationTaken(state, phase, rank, nowMs), orders: []};
}

function preparationTaken(
  state: ChangeState,
  phase: Preparing,
  rank: number,
  nowMs: number,
): ChangeState {
  if (phase.accepted.has(rank)) return state;
  const accepted = new Set([...phase.accepted, rank]);
  const untilMs =
    accepted.size === state.size ? nowMs + PREPARE_MS : phase.untilMs;
  return {...state, phase: {...phase, accepted, untilMs}};
}

function holdAnswered(
  state: ChangeState,
  phase: Holding,
  order: RankOrder,
  outcome: OrderOutcome,
  {nowMs}: Circumstances,
): Result {
  const {silent} = phase;
  if (outcome === 'unknown') {
    const heard = {...phase, silent: new Set([...silent, state.own])};
    const next = {...state, phase: heard};
    return {state: next, orders: [orderFor(next, next.own, order)]};
  }
  if (outcome === 'refused') {
    // The pass has begun; the next reports name a later one.
    const all = Array.from({length: state.size}, (_, rank) => rank);
    const accepted = new Set(all);
    const untilMs = nowMs + ACCEPT_MS;
    const preparing: Preparing = {kind: 'preparing', accepted, silent, untilMs};
    return {state: {...state, phase: preparing}, orders: []};
  }
  const {pass} = phase;
  const arming: Arming = {
    kind: 'arming',
    pass,
    armed: new Set(),
    silent,
    untilMs: nowMs + ARM_MS,
  };
  const next = {...state, phase: arming};
  const {version} = state;
  return {state: next, orders: toAll(next, {kind: 'arm', version, pass})};
}

function armAnswered(
  state: ChangeState,
  phase: Arming,
  rank: number,
  order: RankOrder,
  outcome: OrderOutcome,
  around: Circumstances,
): Result {
  if (outcome === 'accepted') return armed(state, phase, rank, around);
  if (phase.armed.has(rank)) return {state, orders: []};
  if (outcome === 'unknown') {
    const silent = new Set([...phase.silent, rank]);
    const next = {...state, phase: {...phase, silent}};
    return {state: next, orders: [orderFor(next, rank, order)]};
  }
  // An earlier order may have been carried out; the reports tell.
  if (phase.silent.has(rank)) return {state, orders: []};
  return clear(state, phase.pass, true, around);
}

function armed(
  state: ChangeState,
  phase: Arming,
  rank: number,
  {nowMs}: Circumstances,
): Result {
  const ranks = new Set([...phase.armed, rank]);
  if (ranks.size < state.size) {
    const next: ChangeState = {...state, phase: {...phase, armed: ranks}};
    return {state: next, orders: []};
  }
  return release(state, phase.pass, [state.own], true, nowMs);
}

function release(
  state: ChangeState,
  pass: number,
  ranks: readonly number[],
  changed: boolean,
  nowMs: number,
): Result {
  const phase: Releasing = {
    kind: 'releasing',
    pass,
    held: new Set(ranks),
    againMs: nowMs + AGAIN_MS,
    changed,
  };
  const orders = ranks.map(r => orderFor(state, r, {kind: 'go', pass}));
  return {state: {...state, phase}, orders};
}

/** Begins to cancel what is armed or may be armed late. */
function clear(
  state: ChangeState,
  pass: number,
  secured: boolean,
  around: Circumstances,
  others: readonly number[] = [],
): Result {
  const phase: Clearing = {
    kind: 'clearing',
    pass,
    secured,
    above: state.version,
    cleared: new Set(),
    others,
    againMs: 0,
  };
  const next = {...state, phase, lastPass: Math.max(state.lastPass, pass)};
  return clearStep(next, phase, around);
}

/** Repeats what is still to be confirmed. */
function clearStep(
  state: ChangeState,
  phase: Clearing,
  {nowMs, inUse, random}: Circumstances,
): Result {
  const again = {...phase, againMs: nowMs + AGAIN_MS};
  if (!phase.secured) {
    const hold = orderFor(state, state.own, {kind: 'hold', pass: phase.pass});
    return {state: {...state, phase: again}, orders: [hold]};
  }
  if (!inUse) return {state: {...state, phase: again}, orders: []};
  const version = nextVersion(state, random);
  const orders: Order[] = [];
  for (let rank = 0; rank < state.size; rank++) {
    if (phase.cleared.has(rank)) continue;
    const armed = state.reports.get(rank)?.armed ?? phase.above;
    orders.push(orderFor(state, rank, {kind: 'disarm', version: armed}));
    orders.push(orderFor(state, rank, prepareOrder(version, inUse)));
  }
  return {state: {...state, phase: again, version}, orders};
}

function clearingAnswered(
  state: ChangeState,
  phase: Clearing,
  rank: number,
  order: RankOrder,
  outcome: OrderOutcome,
  around: Circumstances,
): Result {
  if (order.kind === 'hold' && order.pass === phase.pass) {
    // The pass has begun, or this rank is held at another one.
    if (outcome === 'refused') return rested(state, around.nowMs);
    if (outcome === 'unknown') return {state, orders: []};
    const secured: Clearing = {...phase, secured: true};
    return clearStep({...state, phase: secured}, secured, around);
  }
  const counts =
    order.kind === 'prepare' &&
    order.version > phase.above &&
    outcome === 'accepted' &&
    phase.secured;
  if (!counts) return {state, orders: []};
  const cleared = new Set([...phase.cleared, rank]);
  if (cleared.size < state.size) {
    const next: ChangeState = {...state, phase: {...phase, cleared}};
    return {state: next, orders: []};
  }
  const held = [...new Set([state.own, ...phase.others])];
  return release(state, phase.pass, held, false, around.nowMs);
}

function reportSeen(
  state: ChangeState,
  report: RankReport,
  around: Circumstances,
): Result {
  if (report.epoch !== state.epoch) return {state, orders: []};
  const reports = new Map(state.reports).set(report.rank, report);
  const next = {...state, reports};
  const {phase} = next;
  switch (phase.kind) {
    case 'preparing':
      return preparedSeen(next, phase, report.rank, around);
    case 'arming':
      if (report.armed !== next.version) break;
      return armed(next, phase, report.rank, around);
    case 'releasing':
      if (report.held === phase.pass) break;
      return released(next, phase, report.rank, around);
    case 'idle':
      return foreignHold(next, around);
  }
  return {state: next, orders: []};
}

function preparedSeen(
  before: ChangeState,
  phase: Preparing,
  rank: number,
  {nowMs}: Circumstances,
): Result {
  const seen = before.reports.get(rank)?.prepared === before.version;
  const state = seen ? preparationTaken(before, phase, rank, nowMs) : before;
  const all = [...state.reports.values()];
  const ready =
    all.length === state.size && all.every(r => r.prepared === state.version);
  if (!ready) return {state, orders: []};
  const newest = Math.max(...all.map(r => r.pass));
  const ahead = phase.silent.size > 0 ? AHEAD_LOSSY : AHEAD;
  const pass = Math.max(newest + ahead, state.lastPass + 1);
  const holding: Holding = {
    kind: 'holding',
    pass,
    silent: phase.silent,
    untilMs: nowMs + HOLD_MS,
  };
  const next = {...state, phase: holding, lastPass: pass};
  return {
    state: next,
    orders: [orderFor(next, next.own, {kind: 'hold', pass})],
  };
}

/** A rank is no longer held at the pass. */
function released(
  state: ChangeState,
  phase: Releasing,
  rank: number,
  {nowMs}: Circumstances,
): Result {
  const held = new Set([...phase.held].filter(r => r !== rank));
  if (held.size > 0) {
    return {state: {...state, phase: {...phase, held}}, orders: []};
  }
  if (!phase.changed) return rested(state, nowMs);
  const idle: Idle = {kind: 'idle', restUntilMs: nowMs};
  return {state: {...state, phase: idle, target: undefined}, orders: []};
}

/** Clears up a hold that another coordinator left, or that came late. */
function foreignHold(state: ChangeState, around: Circumstances): Result {
  const held = [...state.reports.values()].filter(r => r.held !== undefined);
  if (held.length === 0) {
    return {state: {...state, foreignSinceMs: undefined}, orders: []};
  }
  const since = state.foreignSinceMs ?? around.nowMs;
  const next = {...state, foreignSinceMs: since};
  if (around.nowMs - since < FOREIGN_MS) return {state: next, orders: []};
  const pass = Math.min(...held.map(r => r.held!));
  const ranks = held.filter(r => r.held === pass).map(r => r.rank);
  const fresh = {...next, foreignSinceMs: undefined};
  const secured = ranks.includes(state.own);
  return clear(fresh, pass, secured, around, ranks);
}

function ticked(state: ChangeState, around: Circumstances): Result {
  const {phase} = state;
  const {nowMs} = around;
  switch (phase.kind) {
    case 'preparing':
    case 'holding':
      // A hold that comes late is seen in the reports and cleared then.
      if (nowMs >= phase.untilMs) return rested(state, nowMs);
      break;
    case 'arming':
      if (nowMs >= phase.untilMs) return clear(state, phase.pass, true, around);
      break;
    case 'clearing':
      if (nowMs >= phase.againMs) return clearStep(state, phase, around);
      break;
    case 'releasing': {
      if (nowMs < phase.againMs) break;
      const {held, pass, changed} = phase;
      return release(state, pass, [...held], changed, nowMs);
    }
    case 'idle':
      return foreignHold(state, around);
  }
  return {state, orders: []};
}
