/**
 * Clearing up after a change that cannot be completed.
 *
 * Ranks may be armed for a pass, or may still be by a late order, while
 * others are not. Preparing the map in use under a higher version at a rank
 * that is not armed makes sure that it never will be. Once that holds for all
 * ranks the group is let go.
 *
 * The coordinator of the change may be lost with its machine, so that its
 * rank cannot be asked. It arms its own rank last, only after all others have
 * confirmed. If another rank takes the higher version although none was
 * disarmed, then not all others were armed, and the unreachable rank is not
 * armed either. So no rank but the coordinator's is disarmed before some rank
 * has taken a higher version.
 *
 * Who clears up after another holds the group at the same pass first. The
 * other may wake up and let go its own hold while ranks are half cleared.
 */
import {
  AGAIN_MS,
  ChangeState,
  Circumstances,
  Clearing,
  coordinatorAt,
  coordinatorOf,
  holderOf,
  holdOrder,
  nextVersion,
  Order,
  orderFor,
  prepareOrder,
  release,
  rested,
  Result,
} from './changestate';
import {OrderOutcome, RankOrder} from './rank';

/** A hold of another coordinator that lasts this long is left over, in ms. */
const FOREIGN_MS = 250;

/** Begins to cancel what this coordinator armed or may arm late. */
export function clearOwn(
  state: ChangeState,
  pass: number,
  around: Circumstances,
): Result {
  const held = [holderOf(state.own, state.size)];
  const whose = {coordinator: state.own, mine: true, held};
  return clear(state, pass, whose, around);
}

function clear(
  state: ChangeState,
  pass: number,
  whose: Pick<Clearing, 'coordinator' | 'mine' | 'held'>,
  around: Circumstances,
): Result {
  const begun = [...state.reports.values()].some(r => r.pass >= pass);
  if (begun) return rested(state, around.nowMs);
  const phase: Clearing = {
    kind: 'clearing',
    pass,
    ...whose,
    // A hold that was reported may have been let go since.
    secured: false,
    above: state.version,
    cleared: new Set(),
    seen: new Set(),
    mixed: false,
    againMs: 0,
  };
  const next = {...state, phase, lastPass: Math.max(state.lastPass, pass)};
  return clearStep(next, phase, around);
}

/** Repeats what is still to be confirmed. */
export function clearStep(
  state: ChangeState,
  phase: Clearing,
  {nowMs, inUse, random}: Circumstances,
): Result {
  const again = {...phase, againMs: nowMs + AGAIN_MS};
  if (!phase.secured) {
    const orders = [holdOrder(state, phase.pass)];
    return {state: {...state, phase: again}, orders};
  }
  if (!inUse) return {state: {...state, phase: again}, orders: []};
  const version = nextVersion(state, random);
  const orders: Order[] = [];
  let {mixed} = phase;
  for (let rank = 0; rank < state.size; rank++) {
    if (phase.cleared.has(rank)) continue;
    const armed = armedAt(state, phase, rank);
    if (armed !== undefined && mayDisarm(state, phase, rank, armed)) {
      orders.push(orderFor(state, rank, {kind: 'disarm', version: armed}));
      mixed ||= coordinatorOf(armed, state.size) !== phase.coordinator;
    }
    orders.push(orderFor(state, rank, prepareOrder(version, inUse)));
  }
  return {state: {...state, phase: {...again, mixed}, version}, orders};
}

/** The version for which a rank is armed, as far as known. */
function armedAt(
  {own, size, reports}: ChangeState,
  {mine, above}: Clearing,
  rank: number,
): number | undefined {
  const reported = reports.get(rank)?.armed;
  if (!mine) return reported;
  // An own order to arm may have been carried out since the last report.
  if (reported === undefined) return above;
  // What another coordinator armed is guarded by its own hold.
  return coordinatorOf(reported, size) === own ? reported : undefined;
}

/**
 * Whether a rank may be disarmed now.
 *
 * The rank of the coordinator that armed it goes first, unless a rank was
 * found that is not armed. This coordinator's own rank goes before the others,
 * because it may be lost and be cleared up after in turn. Held ranks go last:
 * what they are armed for shows whose change it was to whoever comes next.
 */
function mayDisarm(
  state: ChangeState,
  phase: Clearing,
  rank: number,
  armed: number,
): boolean {
  const {own, size} = state;
  const {cleared, held, seen} = phase;
  const owner = coordinatorOf(armed, size);
  if (isLeftOver(state, phase) && cleared.size === 0) return false;
  if (held.includes(rank)) {
    if (rank === owner && seen.size === size) return true;
    return ranksLeft(size, phase).every(
      left =>
        held.includes(left) || (left === owner && isOnlyChange(state, phase)),
    );
  }
  if (rank === owner) return true;
  const ownDone = rank === own || cleared.has(own) || held.includes(own);
  return cleared.size > 0 && ownDone;
}

/**
 * Whether the hold was placed by this coordinator's process before it started
 * anew. That process may also have let the group go by an order that is still
 * on its way, but only once all ranks were armed.
 */
function isLeftOver(
  {own}: ChangeState,
  {coordinator, mine}: Clearing,
): boolean {
  return coordinator === own && !mine;
}

function ranksLeft(size: number, {cleared}: Clearing): readonly number[] {
  return Array.from({length: size}, (_, rank) => rank).filter(
    rank => !cleared.has(rank),
  );
}

export function clearingAnswered(
  state: ChangeState,
  phase: Clearing,
  rank: number,
  order: RankOrder,
  outcome: OrderOutcome,
  around: Circumstances,
): Result {
  if (order.kind === 'hold' && order.pass === phase.pass) {
    // The pass has begun, or the holder is held at another one.
    if (outcome === 'refused') return rested(state, around.nowMs);
    if (outcome === 'unknown') return {state, orders: []};
    const secured: Clearing = {...phase, secured: true, seen: new Set()};
    return clearStep({...state, phase: secured}, secured, around);
  }
  const counts =
    order.kind === 'prepare' &&
    order.version > phase.above &&
    outcome === 'accepted' &&
    phase.secured;
  if (!counts || phase.cleared.has(rank)) return {state, orders: []};
  const next = {...phase, cleared: new Set([...phase.cleared, rank])};
  const after = {...state, phase: next};
  if (isComplete(after, next)) return letGo(after, next, around);
  return allowsMore(after, phase, next)
    ? clearStep(after, next, around)
    : {state: after, orders: []};
}

/** Whether ranks may be disarmed that had to wait before. */
function allowsMore(
  state: ChangeState,
  before: Clearing,
  after: Clearing,
): boolean {
  return ranksLeft(state.size, after).some(rank => {
    const armed = armedAt(state, after, rank);
    if (armed === undefined || mayDisarm(state, before, rank, armed)) {
      return false;
    }
    return mayDisarm(state, after, rank, armed);
  });
}

/** Takes note of a report that arrived while clearing. */
export function clearingSeen(
  state: ChangeState,
  phase: Clearing,
  rank: number,
  around: Circumstances,
): Result {
  const report = state.reports.get(rank)!;
  const {pass, secured, mine} = phase;
  // The first report may have been read before the hold was placed.
  const released =
    secured &&
    rank === holderOf(state.own, state.size) &&
    phase.seen.has(rank) &&
    report.held !== pass;
  // Somebody else has let the group go; there may be a newer change.
  if (released || report.pass >= pass) return rested(state, around.nowMs);
  // A rank that another coordinator armed has taken a higher version of it.
  const superseded =
    mine &&
    report.armed !== undefined &&
    coordinatorOf(report.armed, state.size) !== state.own;
  if (phase.seen.has(rank) && !superseded) return {state, orders: []};
  const next: Clearing = {
    ...phase,
    seen: new Set([...phase.seen, rank]),
    cleared: superseded ? new Set([...phase.cleared, rank]) : phase.cleared,
  };
  const after = {...state, phase: next};
  const done = isComplete(after, next) || isArmedThroughout(after, next);
  return done ? letGo(after, next, around) : {state: after, orders: []};
}

/** Whether a change was complete when this coordinator's process ended. */
function isArmedThroughout(state: ChangeState, phase: Clearing): boolean {
  const {own, size, reports} = state;
  const {held, seen} = phase;
  if (!isLeftOver(state, phase) || seen.size < size) return false;
  if (held.some(rank => rank !== holderOf(own, size))) return false;
  const versions = new Set([...reports.values()].map(r => r.armed));
  return versions.size === 1 && !versions.has(undefined);
}

function letGo(
  state: ChangeState,
  {pass, held}: Clearing,
  {nowMs}: Circumstances,
): Result {
  const ranks = [...new Set([holderOf(state.own, state.size), ...held])];
  return release(state, pass, ranks, false, nowMs);
}

/** Whether no rank is armed for the pass, or can be. */
function isComplete(state: ChangeState, phase: Clearing): boolean {
  if (!phase.secured) return false;
  return ranksLeft(state.size, phase).every(
    rank =>
      rank === phase.coordinator &&
      phase.cleared.size > 0 &&
      isOnlyChange(state, phase),
  );
}

/**
 * Whether all reports since clearing began show no change but the one of the
 * coordinator, whose rank was found not to be armed by that change.
 */
function isOnlyChange(
  {size, own, reports}: ChangeState,
  {coordinator, mixed, held, seen}: Clearing,
): boolean {
  if (coordinator === own || mixed) return false;
  const holder = holderOf(coordinator, size);
  if (held.some(rank => rank !== holder)) return false;
  for (let rank = 0; rank < size; rank++) {
    if (rank === coordinator) continue;
    if (!seen.has(rank)) return false;
    const heldNow = reports.get(rank)?.held !== undefined;
    if (heldNow && rank !== holder && rank !== holderOf(own, size)) {
      return false;
    }
  }
  return true;
}

/** Clears up a hold that another coordinator left, or that came late. */
export function foreignHold(state: ChangeState, around: Circumstances): Result {
  const held = [...state.reports.values()].filter(r => r.held !== undefined);
  if (held.length === 0) {
    return {state: {...state, foreignSinceMs: undefined}, orders: []};
  }
  const since = state.foreignSinceMs ?? around.nowMs;
  const next = {...state, foreignSinceMs: since};
  if (around.nowMs - since < FOREIGN_MS) return {state: next, orders: []};
  const pass = Math.min(...held.map(r => r.held!));
  const ranks = held.filter(r => r.held === pass).map(r => r.rank);
  const {own, size} = state;
  const foreign = ranks.find(rank => rank !== holderOf(own, size));
  const coordinator =
    foreign === undefined ? own : coordinatorAt(foreign, size);
  const fresh = {...next, foreignSinceMs: undefined};
  const whose = {coordinator, mine: false, held: ranks};
  return clear(fresh, pass, whose, around);
}
