/**
 * One change of a group's expert map, as a pure decision.
 *
 * All ranks must switch with the same pass. The coordinator prepares a map at
 * every rank and waits until each holds it. It then holds another rank at a
 * pass ahead, so that the pass cannot begin, arms all other ranks for that
 * pass, its own rank last, and lets the held rank go when all have confirmed.
 *
 * An order without an answer may be carried out seconds later, and orders
 * carry no fence that a rank would check. Three facts replace it. Versions are
 * never used twice, so a late order can only concern its own change. A rank
 * that has taken a higher version refuses to arm a lower one, so preparing
 * the map in use under a higher version cancels an order to arm that is still
 * on its way. And each coordinator holds the group at a rank of its own, which
 * it lets go only when every rank is armed or none can be.
 *
 * The held rank is on another machine than the coordinator, and the order
 * comes from the coordinator itself. A machine that freezes right after it
 * gave a hold can then be replaced; `clearing.ts` tells how.
 *
 * Load pattern: for many seconds a third of all orders is not answered and
 * carried out late, while demand goes on to shift. Orders of a change may be
 * repeated at any time, so each is repeated until the rank confirms it, by an
 * answer or by its report. Where answers are being lost, the pass to switch
 * with is further ahead, so that the group does not wait for the repeats.
 */
import {
  ChangeState,
  Circumstances,
  Arming,
  Holding,
  Idle,
  Input,
  nextVersion,
  holderOf,
  holdOrder,
  orderFor,
  Preparing,
  prepareOrder,
  release,
  Releasing,
  rested,
  Result,
  toAll,
} from './changestate';
import {
  clearingAnswered,
  clearingSeen,
  clearOwn,
  clearStep,
  foreignHold,
} from './clearing';
import {OrderOutcome, RankMap, RankOrder, RankReport} from './rank';

/** Longest time for all ranks to take a map and copy its experts, in ms. */
const PREPARE_MS = 10_000;
/** Time in which each rank must confirm that it copies, in ms. */
const ACCEPT_MS = 2_500;
/** Longest time for the hold to be confirmed, in milliseconds. */
const HOLD_MS = 300;
/** Longest time to arm all ranks, in ms; the group may wait for it. */
const ARM_MS = 500;

/**
 * Passes between the last one begun and the one to switch with. One pass
 * takes about 50 ms, and the orders to arm need about 10 ms.
 */
const AHEAD = 2;
/** The same while answers are being lost; leaves time for five repeats. */
const AHEAD_LOSSY = 5;

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
    const holder = holderOf(state.own, state.size);
    const heard = {...phase, silent: new Set([...silent, holder])};
    const next = {...state, phase: heard};
    return {state: next, orders: [holdOrder(next, phase.pass)]};
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
  const arm: RankOrder = {kind: 'arm', version, pass};
  const orders = armedNext(next, new Set()).map(rank =>
    orderFor(next, rank, arm),
  );
  return {state: next, orders};
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
  return clearOwn(state, phase.pass, around);
}

/**
 * The ranks to be armed now: most at once, then one more, and the own rank
 * last. A coordinator that is lost while most are being armed leaves one that
 * is not, which proves that its own rank is not armed either.
 */
function armedNext(
  {own, size}: ChangeState,
  armed: ReadonlySet<number>,
): readonly number[] {
  const second = (own + 1) % size;
  const first = Array.from({length: size}, (_, rank) => rank).filter(
    rank => rank !== own && rank !== second,
  );
  for (const wave of [first, [second], [own]]) {
    const left = wave.filter(rank => !armed.has(rank));
    if (left.length > 0) return left;
  }
  return [];
}

function armed(
  state: ChangeState,
  phase: Arming,
  rank: number,
  {nowMs}: Circumstances,
): Result {
  const {own, size, version} = state;
  const {pass} = phase;
  if (phase.armed.has(rank)) return {state, orders: []};
  const ranks = new Set([...phase.armed, rank]);
  if (ranks.size === size) {
    return release(state, pass, [holderOf(own, size)], true, nowMs);
  }
  const next: ChangeState = {...state, phase: {...phase, armed: ranks}};
  const arm: RankOrder = {kind: 'arm', version, pass};
  const before = armedNext(state, phase.armed);
  const orders = armedNext(next, ranks)
    .filter(wanted => !before.includes(wanted))
    .map(wanted => orderFor(next, wanted, arm));
  return {state: next, orders};
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
    case 'preparing': {
      const {state: known, orders} = foreignHold(next, around);
      if (known.phase.kind === 'clearing') return {state: known, orders};
      return preparedSeen(known, phase, report.rank, around);
    }
    case 'arming':
      if (report.armed !== next.version) break;
      return armed(next, phase, report.rank, around);
    case 'releasing':
      if (report.held === phase.pass) break;
      return released(next, phase, report.rank, around);
    case 'clearing':
      return clearingSeen(next, phase, report.rank, around);
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
    orders: [holdOrder(next, pass)],
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

function ticked(state: ChangeState, around: Circumstances): Result {
  const {phase} = state;
  const {nowMs} = around;
  switch (phase.kind) {
    case 'preparing':
      if (nowMs >= phase.untilMs) return rested(state, nowMs);
      return foreignHold(state, around);
    case 'holding':
      // A hold that comes late is seen in the reports and cleared then.
      if (nowMs >= phase.untilMs) return rested(state, nowMs);
      break;
    case 'arming':
      if (nowMs >= phase.untilMs) return clearOwn(state, phase.pass, around);
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
