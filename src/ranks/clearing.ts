/**
 * Cancels a map change that cannot be completed.
 *
 * Some ranks may be armed for a pass, or may still become so by a late order,
 * while others are not. Clearing prepares the map in use under a higher version
 * at each rank that is not armed. The rank can then no longer be armed for the
 * change. When all ranks are cleared, the group is released.
 *
 * A rank is disarmed only after another has accepted a higher version. That one was
 * not armed, so the change cannot be complete, whatever pass it is for. If every rank
 * turns out to be armed for the same version, that change is complete, and the group
 * is released for it.
 *
 * The coordinator of the change may be lost with its instance, so that its rank does
 * not answer. A coordinator arms its own rank last, only after all other ranks have
 * confirmed. If another rank has accepted the higher version, then not all others
 * were armed, and the unreachable rank is not armed either.
 *
 * A coordinator that clears another's change first places its own hold at the
 * same pass, because the other may wake up and release its hold while only
 * some ranks are cleared.
 */
import {
  RETRY_INTERVAL_MS,
  ChangeState,
  ChangeContext,
  ClearingPhase,
  coordinatorOfHoldRank,
  coordinatorOfVersion,
  holdRankOf,
  holdOrder,
  nextVersion,
  OutgoingOrder,
  orderFor,
  prepareOrder,
  startReleasing,
  endWithBackoff,
  ChangeDecision,
} from './mapchangestate';
import {OrderOutcome, RankOrder, RankReport} from './rank';

/** A hold that belongs to no current change is cleared after this time. */
const STRAY_HOLD_TIMEOUT_MS = 250;
/**
 * The same if its coordinator is alive. It may not be able to release its hold,
 * and callers give up after two seconds.
 */
const LIVE_HOLD_TIMEOUT_MS = 1_200;

/** Begins to cancel this coordinator's change, including late orders to arm. */
export function startClearingOwnChange(
  state: ChangeState,
  pass: number,
  context: ChangeContext,
): ChangeDecision {
  const heldRanks = [holdRankOf(state.ownRank, state.size)];
  const {ownRank: coordinator, version: ownVersion} = state;
  const origin = {coordinator, ownVersion, heldRanks};
  return startClearing(state, pass, origin, context);
}

function startClearing(
  state: ChangeState,
  pass: number,
  origin: Pick<ClearingPhase, 'coordinator' | 'ownVersion' | 'heldRanks'>,
  context: ChangeContext,
): ChangeDecision {
  const passBegun = [...state.reports.values()].some(r => r.pass >= pass);
  if (passBegun) return endWithBackoff(state, context.nowMs);
  const phase: ClearingPhase = {
    kind: 'clearing',
    pass,
    ...origin,
    // A hold that was reported may have been released since.
    ownHoldConfirmed: false,
    orderedVersions: new Set(),
    acceptedVersion: -1,
    clearedRanks: new Set(),
    reportedRanks: new Set(),
    armedByAnother: false,
    retryAtMs: 0,
  };
  const next = {
    ...state,
    phase,
    lastHoldPass: Math.max(state.lastHoldPass, pass),
  };
  return sendClearingOrders(next, phase, context);
}

/** Sends or repeats the orders that are not confirmed yet. */
export function sendClearingOrders(
  state: ChangeState,
  phase: ClearingPhase,
  {nowMs, inUse: readMap, random}: ChangeContext,
): ChangeDecision {
  const rescheduled = {...phase, retryAtMs: nowMs + RETRY_INTERVAL_MS};
  if (!phase.ownHoldConfirmed) {
    const orders = [holdOrder(state, phase.pass)];
    return {state: {...state, phase: rescheduled}, orders};
  }
  const inUse = readMap();
  if (!inUse) return {state: {...state, phase: rescheduled}, orders: []};
  const version = nextVersion(state, random);
  const orders: OutgoingOrder[] = [];
  let {armedByAnother} = phase;
  for (let rank = 0; rank < state.size; rank++) {
    if (phase.clearedRanks.has(rank)) continue;
    const armed = armedVersionOf(state, phase, rank);
    if (armed !== undefined && mayDisarm(state, phase, rank, armed)) {
      orders.push(orderFor(state, rank, {kind: 'disarm', version: armed}));
      armedByAnother ||=
        coordinatorOfVersion(armed, state.size) !== phase.coordinator;
    }
    orders.push(orderFor(state, rank, prepareOrder(version, inUse)));
  }
  const orderedVersions = new Set([...phase.orderedVersions, version]);
  const next = {...rescheduled, armedByAnother, orderedVersions};
  return {state: {...state, phase: next, version}, orders};
}

/** Returns the version for which a rank is or may be armed. */
function armedVersionOf(
  {ownRank, size, reports}: ChangeState,
  {ownVersion}: ClearingPhase,
  rank: number,
): number | undefined {
  const reported = reports.get(rank)?.armed;
  if (ownVersion === undefined) return reported;
  // This coordinator's order to arm may have been carried out since the report.
  if (reported === undefined) return ownVersion;
  // A version that another coordinator armed is protected by the hold of that
  // coordinator.
  return coordinatorOfVersion(reported, size) === ownRank
    ? reported
    : undefined;
}

/**
 * Whether a rank may be disarmed now: if its change is known to be incomplete.
 *
 * The rank of the coordinator that armed it comes first. Next comes this
 * coordinator's own rank, because this coordinator may be lost too, and another one
 * must then finish the clearing. Held ranks come last, because the version that they
 * are armed for shows that next coordinator whose change it was.
 */
function mayDisarm(
  state: ChangeState,
  phase: ClearingPhase,
  rank: number,
  armed: number,
): boolean {
  const {ownRank, size} = state;
  const {acceptedVersion, clearedRanks, heldRanks, reportedRanks} = phase;
  if (armed >= acceptedVersion) return false;
  const owner = coordinatorOfVersion(armed, size);
  if (heldRanks.includes(rank)) {
    if (rank === owner && reportedRanks.size === size) return true;
    return unclearedRanks(size, phase).every(
      left =>
        heldRanks.includes(left) ||
        (left === owner && isOnlyChangeReported(state, phase)),
    );
  }
  return (
    rank === owner ||
    rank === ownRank ||
    clearedRanks.has(ownRank) ||
    heldRanks.includes(ownRank)
  );
}

function unclearedRanks(
  size: number,
  {clearedRanks}: ClearingPhase,
): readonly number[] {
  return Array.from({length: size}, (_, rank) => rank).filter(
    rank => !clearedRanks.has(rank),
  );
}

export function handleClearingAnswer(
  state: ChangeState,
  phase: ClearingPhase,
  rank: number,
  order: RankOrder,
  outcome: OrderOutcome,
  context: ChangeContext,
): ChangeDecision {
  if (order.kind === 'hold' && order.pass === phase.pass) {
    // The pass has begun, or the rank is already held at another pass.
    if (outcome === 'refused') return endWithBackoff(state, context.nowMs);
    if (outcome === 'unknown') return {state, orders: []};
    const confirmed: ClearingPhase = {
      ...phase,
      ownHoldConfirmed: true,
      reportedRanks: new Set(),
    };
    return sendClearingOrders({...state, phase: confirmed}, confirmed, context);
  }
  const countsAsCleared =
    order.kind === 'prepare' &&
    phase.orderedVersions.has(order.version) &&
    outcome === 'accepted' &&
    phase.ownHoldConfirmed;
  if (!countsAsCleared || phase.clearedRanks.has(rank))
    return {state, orders: []};
  const next = addClearedRank(phase, rank, order.version);
  const after = {...state, phase: next};
  if (isClearingComplete(after, next))
    return releaseClearedHolds(after, next, context);
  return allowsMoreDisarms(after, phase, next)
    ? sendClearingOrders(after, next, context)
    : {state: after, orders: []};
}

function addClearedRank(
  phase: ClearingPhase,
  rank: number,
  version: number,
): ClearingPhase {
  return {
    ...phase,
    clearedRanks: new Set([...phase.clearedRanks, rank]),
    acceptedVersion: Math.max(phase.acceptedVersion, version),
  };
}

/** Whether a rank may be disarmed now that had to wait before. */
function allowsMoreDisarms(
  state: ChangeState,
  before: ClearingPhase,
  after: ClearingPhase,
): boolean {
  return unclearedRanks(state.size, after).some(rank => {
    const armed = armedVersionOf(state, after, rank);
    if (armed === undefined || mayDisarm(state, before, rank, armed)) {
      return false;
    }
    return mayDisarm(state, after, rank, armed);
  });
}

/** Handles a report that arrived while clearing. */
export function handleClearingReport(
  state: ChangeState,
  phase: ClearingPhase,
  rank: number,
  context: ChangeContext,
): ChangeDecision {
  const report = state.reports.get(rank)!;
  const {pass, ownHoldConfirmed} = phase;
  // The first report may have been read before the hold was placed.
  const holdReleased =
    ownHoldConfirmed &&
    rank === holdRankOf(state.ownRank, state.size) &&
    phase.reportedRanks.has(rank) &&
    report.held !== pass;
  // Another coordinator released the group; there may be a newer change.
  if (holdReleased || report.pass >= pass)
    return endWithBackoff(state, context.nowMs);
  const clearedBy = versionThatCleared(state, phase, report);
  const reported: ClearingPhase = {
    ...phase,
    reportedRanks: new Set([...phase.reportedRanks, rank]),
  };
  const next =
    clearedBy === undefined
      ? reported
      : addClearedRank(reported, rank, clearedBy);
  const after = {...state, phase: next};
  const done = isClearingComplete(after, next) || isChangeComplete(after, next);
  return done
    ? releaseClearedHolds(after, next, context)
    : {state: after, orders: []};
}

/**
 * The version by which a report shows the rank to be cleared; undefined if it shows no
 * such version. The answer to the order to prepare may have been lost.
 */
function versionThatCleared(
  {ownRank, size}: ChangeState,
  {ownHoldConfirmed, ownVersion, orderedVersions}: ClearingPhase,
  {armed, prepared}: RankReport,
): number | undefined {
  if (armed !== undefined) {
    // A rank armed by another coordinator has accepted its higher version.
    const isSuperseded =
      ownVersion !== undefined && coordinatorOfVersion(armed, size) !== ownRank;
    return isSuperseded ? armed : undefined;
  }
  const isOrdered = prepared !== undefined && orderedVersions.has(prepared);
  return ownHoldConfirmed && isOrdered ? prepared : undefined;
}

/**
 * Whether every rank reported, since the hold was placed, that it is armed for the
 * same version. Such a change is complete: a rank is disarmed only if another was not
 * armed.
 */
function isChangeComplete(
  {size, reports}: ChangeState,
  {ownHoldConfirmed, reportedRanks}: ClearingPhase,
): boolean {
  if (!ownHoldConfirmed || reportedRanks.size < size) return false;
  const versions = new Set([...reports.values()].map(r => r.armed));
  return versions.size === 1 && !versions.has(undefined);
}

/** Releases this coordinator's hold and those found when clearing began. */
function releaseClearedHolds(
  state: ChangeState,
  {pass, heldRanks}: ClearingPhase,
  {nowMs}: ChangeContext,
): ChangeDecision {
  const ranks = [
    ...new Set([holdRankOf(state.ownRank, state.size), ...heldRanks]),
  ];
  return startReleasing(state, pass, ranks, false, nowMs);
}

/** Whether no rank is armed for the pass or can become so. */
function isClearingComplete(state: ChangeState, phase: ClearingPhase): boolean {
  if (!phase.ownHoldConfirmed) return false;
  return unclearedRanks(state.size, phase).every(
    rank =>
      rank === phase.coordinator &&
      phase.clearedRanks.size > 0 &&
      isOnlyChangeReported(state, phase),
  );
}

/**
 * Whether the reports since clearing began show no change but that of
 * `coordinator`, whose own rank was found not to be armed by that change.
 */
function isOnlyChangeReported(
  {size, ownRank, reports}: ChangeState,
  {coordinator, armedByAnother, heldRanks, reportedRanks}: ClearingPhase,
): boolean {
  if (coordinator === ownRank || armedByAnother) return false;
  const holdRank = holdRankOf(coordinator, size);
  if (heldRanks.some(rank => rank !== holdRank)) return false;
  for (let rank = 0; rank < size; rank++) {
    if (rank === coordinator) continue;
    if (!reportedRanks.has(rank)) return false;
    const heldNow = reports.get(rank)?.held !== undefined;
    if (heldNow && rank !== holdRank && rank !== holdRankOf(ownRank, size)) {
      return false;
    }
  }
  return true;
}

/**
 * Clears a hold that another coordinator left, or that was placed late. A
 * coordinator that is alive releases its hold itself; to clear it would only
 * prolong it.
 */
export function clearStrayHold(
  state: ChangeState,
  context: ChangeContext,
): ChangeDecision {
  const heldReports = [...state.reports.values()].filter(
    r => r.held !== undefined,
  );
  if (heldReports.length === 0) {
    return {state: {...state, strayHoldSinceMs: undefined}, orders: []};
  }
  const since = state.strayHoldSinceMs ?? context.nowMs;
  const next = {...state, strayHoldSinceMs: since};
  const holdingRanks = context.holdingRanks();
  const isOfLiveCoordinator = ({rank}: RankReport) =>
    holdingRanks.has(coordinatorOfHoldRank(rank, state.size));
  const timeoutMs = heldReports.some(isOfLiveCoordinator)
    ? LIVE_HOLD_TIMEOUT_MS
    : STRAY_HOLD_TIMEOUT_MS;
  if (context.nowMs - since < timeoutMs) return {state: next, orders: []};
  const pass = Math.min(...heldReports.map(r => r.held!));
  const ranks = heldReports.filter(r => r.held === pass).map(r => r.rank);
  const {ownRank, size} = state;
  const foreignHoldRank = ranks.find(
    rank => rank !== holdRankOf(ownRank, size),
  );
  const coordinator =
    foreignHoldRank === undefined
      ? ownRank
      : coordinatorOfHoldRank(foreignHoldRank, size);
  const fresh = {...next, strayHoldSinceMs: undefined};
  const origin = {coordinator, ownVersion: undefined, heldRanks: ranks};
  return startClearing(fresh, pass, origin, context);
}
