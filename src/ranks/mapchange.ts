/**
 * Changes a group's expert map; a pure state machine.
 *
 * All ranks must switch to the new map at the same pass:
 *
 * 1. Preparing: the coordinator has every rank copy the new map's experts.
 * 2. Holding: it places a hold for a later pass at one rank, so that the group
 *    cannot begin that pass.
 * 3. Arming: it arms all ranks to switch at that pass, its own rank last.
 * 4. Releasing: when all ranks have confirmed, it releases the hold.
 *
 * An order without an answer may be carried out seconds later, and ranks check
 * no fencing token. Three rules replace the token:
 *
 * - Versions are never reused, so a late order can only affect its own change.
 * - A rank that has accepted a higher version refuses to arm a lower one.
 *   Preparing the map in use under a higher version therefore cancels an order
 *   to arm that is still in flight.
 * - Each coordinator holds the group at a different rank, and releases the
 *   hold only when every rank is armed, or when none is and none can become so.
 *
 * The held rank is on another instance than the coordinator, and the order to
 * hold goes directly from the coordinator to the engine. If the coordinator's
 * instance freezes right after the hold, another coordinator can take over; see
 * `clearing.ts`.
 *
 * The change must also succeed when, for many seconds, a third of all orders
 * get no answer and are carried out late, while demand keeps shifting. All
 * orders are idempotent, so each is repeated until the rank confirms it by an
 * answer or in its report. While answers are being lost, the pass of the
 * switch is further ahead, so that the group does not wait for the retries.
 */
import {
  ChangeState,
  ChangeContext,
  ArmingPhase,
  HoldingPhase,
  IdlePhase,
  ChangeInput,
  MAX_PASSES_AHEAD,
  nextVersion,
  holdRankOf,
  holdOrder,
  orderFor,
  PreparingPhase,
  prepareOrder,
  recordSwitch,
  startReleasing,
  ReleasingPhase,
  endWithBackoff,
  ChangeDecision,
  ordersForAll,
} from './mapchangestate';
import {
  handleClearingAnswer,
  handleClearingReport,
  startClearingOwnChange,
  sendClearingOrders,
  clearStrayHold,
} from './clearing';
import {OrderOutcome, RankMap, RankOrder, RankReport} from './rank';

/** Timeout for copying the experts, after all ranks have accepted the map. */
const PREPARE_TIMEOUT_MS = 10_000;
/** Timeout for all ranks to accept a map, that is, to begin to copy. */
const ACCEPT_TIMEOUT_MS = 2_500;
/** Timeout for the confirmation of the hold. */
const HOLD_TIMEOUT_MS = 300;
/** Timeout for arming all ranks; the group may be waiting at the hold. */
const ARM_TIMEOUT_MS = 500;

/**
 * Least distance from the last pass begun to the pass at which the ranks switch.
 */
const MIN_PASSES_AHEAD = 2;
/** The same while answers are being lost; leaves time for five retries. */
const PASSES_AHEAD_LOSSY = 5;
/**
 * Time until the pass of the switch, as a multiple of the time that arming takes.
 * To switch a few passes later costs little; a group that has to wait at its hold
 * delays every stream.
 */
const SWITCH_TIME_FACTOR = 1.5;
/** Time of a pass if none was begun while the ranks prepared. */
const USUAL_PASS_MS = 50;

export function decideChange(
  state: ChangeState,
  input: ChangeInput,
  context: ChangeContext,
): ChangeDecision {
  switch (input.kind) {
    case 'begin':
      return beginChange(state, input.target, context);
    case 'answer':
      return handleAnswer(
        state,
        input.rank,
        input.order,
        input.outcome,
        context,
      );
    case 'report':
      return handleReport(state, input.report, context);
    case 'tick':
      return handleTick(state, context);
  }
}

/** Whether a new change may begin now. */
export function mayBeginChange(state: ChangeState, nowMs: number): boolean {
  const {phase, reports, size} = state;
  if (phase.kind !== 'idle' || nowMs < phase.backoffUntilMs) return false;
  if (reports.size !== size) return false;
  return [...reports.values()].every(
    r => r.open && r.held === undefined && r.armed === undefined,
  );
}

function beginChange(
  state: ChangeState,
  target: RankMap,
  {nowMs, random}: ChangeContext,
): ChangeDecision {
  if (!mayBeginChange(state, nowMs)) return {state, orders: []};
  const version = nextVersion(state, random);
  const phase: PreparingPhase = {
    kind: 'preparing',
    beginMs: nowMs,
    beginPass: newestPass(state),
    acceptedRanks: new Set(),
    silentRanks: new Set(),
    deadlineMs: nowMs + ACCEPT_TIMEOUT_MS,
  };
  const next = {...state, phase, version, target};
  return {
    state: next,
    orders: ordersForAll(next, prepareOrder(version, target)),
  };
}

function handleAnswer(
  state: ChangeState,
  rank: number,
  order: RankOrder,
  outcome: OrderOutcome,
  context: ChangeContext,
): ChangeDecision {
  const {phase} = state;
  switch (phase.kind) {
    case 'preparing':
      if (order.kind !== 'prepare' || order.version !== state.version) break;
      return handlePrepareAnswer(state, phase, rank, order, outcome, context);
    case 'holding':
      if (order.kind !== 'hold' || order.pass !== phase.pass) break;
      return handleHoldAnswer(state, phase, order, outcome, context);
    case 'arming':
      if (order.kind !== 'arm' || order.version !== state.version) break;
      return handleArmAnswer(state, phase, rank, order, outcome, context);
    case 'releasing':
      if (order.kind !== 'go' || order.pass !== phase.pass) break;
      if (outcome === 'accepted')
        return removeHeldRank(state, phase, rank, context);
      return {state, orders: [orderFor(state, rank, order)]};
    case 'clearing':
      return handleClearingAnswer(state, phase, rank, order, outcome, context);
  }
  return {state, orders: []};
}

function handlePrepareAnswer(
  state: ChangeState,
  phase: PreparingPhase,
  rank: number,
  order: RankOrder,
  outcome: OrderOutcome,
  {nowMs}: ChangeContext,
): ChangeDecision {
  if (outcome === 'unknown') {
    const silentRanks = new Set([...phase.silentRanks, rank]);
    const next = {...state, phase: {...phase, silentRanks}};
    return {state: next, orders: [orderFor(next, rank, order)]};
  }
  if (outcome === 'refused') {
    // An earlier order may have been carried out; the rank's report will show.
    if (phase.silentRanks.has(rank)) return {state, orders: []};
    return endWithBackoff(state, nowMs);
  }
  return {state: addAcceptedRank(state, phase, rank, nowMs), orders: []};
}

function addAcceptedRank(
  state: ChangeState,
  phase: PreparingPhase,
  rank: number,
  nowMs: number,
): ChangeState {
  if (phase.acceptedRanks.has(rank)) return state;
  const acceptedRanks = new Set([...phase.acceptedRanks, rank]);
  const deadlineMs =
    acceptedRanks.size === state.size
      ? nowMs + PREPARE_TIMEOUT_MS
      : phase.deadlineMs;
  return {...state, phase: {...phase, acceptedRanks, deadlineMs}};
}

function handleHoldAnswer(
  state: ChangeState,
  phase: HoldingPhase,
  order: RankOrder,
  outcome: OrderOutcome,
  {nowMs}: ChangeContext,
): ChangeDecision {
  const {silentRanks} = phase;
  if (outcome === 'unknown') {
    const holdRank = holdRankOf(state.ownRank, state.size);
    const nextPhase = {
      ...phase,
      silentRanks: new Set([...silentRanks, holdRank]),
    };
    const next = {...state, phase: nextPhase};
    return {state: next, orders: [holdOrder(next, phase.pass)]};
  }
  if (outcome === 'refused') {
    // The pass has already begun; the next reports determine a later one.
    const all = Array.from({length: state.size}, (_, rank) => rank);
    const acceptedRanks = new Set(all);
    const deadlineMs = nowMs + ACCEPT_TIMEOUT_MS;
    const preparing: PreparingPhase = {
      kind: 'preparing',
      beginMs: nowMs,
      beginPass: newestPass(state),
      acceptedRanks,
      silentRanks,
      deadlineMs,
    };
    return {state: {...state, phase: preparing}, orders: []};
  }
  const {pass} = phase;
  const arming: ArmingPhase = {
    kind: 'arming',
    pass,
    orderedMs: phase.orderedMs,
    armedRanks: new Set(),
    silentRanks,
    deadlineMs: nowMs + ARM_TIMEOUT_MS,
  };
  const next = {...state, phase: arming};
  const {version} = state;
  const arm: RankOrder = {kind: 'arm', version, pass};
  const orders = ranksToArm(next, new Set()).map(rank =>
    orderFor(next, rank, arm),
  );
  return {state: next, orders};
}

function handleArmAnswer(
  state: ChangeState,
  phase: ArmingPhase,
  rank: number,
  order: RankOrder,
  outcome: OrderOutcome,
  context: ChangeContext,
): ChangeDecision {
  if (outcome === 'accepted') return addArmedRank(state, phase, rank, context);
  if (phase.armedRanks.has(rank)) return {state, orders: []};
  if (outcome === 'unknown') {
    const silentRanks = new Set([...phase.silentRanks, rank]);
    const next = {...state, phase: {...phase, silentRanks}};
    return {state: next, orders: [orderFor(next, rank, order)]};
  }
  // An earlier order may have been carried out; the rank's report will show.
  if (phase.silentRanks.has(rank)) return {state, orders: []};
  return startClearingOwnChange(state, phase.pass, context);
}

/**
 * Returns the ranks to arm now, in three waves: all but two, then the rank
 * after the coordinator's, and last the coordinator's own rank. If the
 * coordinator is lost during the first wave, the rank of the second wave is
 * not armed, which proves that the coordinator's rank is not armed either.
 */
function ranksToArm(
  {ownRank, size}: ChangeState,
  armedRanks: ReadonlySet<number>,
): readonly number[] {
  const second = (ownRank + 1) % size;
  const first = Array.from({length: size}, (_, rank) => rank).filter(
    rank => rank !== ownRank && rank !== second,
  );
  for (const wave of [first, [second], [ownRank]]) {
    const left = wave.filter(rank => !armedRanks.has(rank));
    if (left.length > 0) return left;
  }
  return [];
}

/** Records that a rank is armed; releases the group once all ranks are. */
function addArmedRank(
  state: ChangeState,
  phase: ArmingPhase,
  rank: number,
  {nowMs}: ChangeContext,
): ChangeDecision {
  const {ownRank, size, version} = state;
  const {pass} = phase;
  if (phase.armedRanks.has(rank)) return {state, orders: []};
  const ranks = new Set([...phase.armedRanks, rank]);
  if (ranks.size === size) {
    return startReleasing(
      recordSwitch(state, nowMs - phase.orderedMs),
      pass,
      [holdRankOf(ownRank, size)],
      true,
      nowMs,
    );
  }
  const next: ChangeState = {...state, phase: {...phase, armedRanks: ranks}};
  const arm: RankOrder = {kind: 'arm', version, pass};
  const before = ranksToArm(state, phase.armedRanks);
  const orders = ranksToArm(next, ranks)
    .filter(wanted => !before.includes(wanted))
    .map(wanted => orderFor(next, wanted, arm));
  return {state: next, orders};
}

function handleReport(
  state: ChangeState,
  report: RankReport,
  context: ChangeContext,
): ChangeDecision {
  if (report.epoch !== state.epoch) return {state, orders: []};
  const reports = new Map(state.reports).set(report.rank, report);
  const next = {...state, reports};
  const {phase} = next;
  switch (phase.kind) {
    case 'preparing': {
      const {state: checked, orders} = clearStrayHold(next, context);
      if (checked.phase.kind === 'clearing') return {state: checked, orders};
      return handlePreparingReport(checked, phase, report.rank, context);
    }
    case 'arming':
      if (report.armed !== next.version) break;
      return addArmedRank(next, phase, report.rank, context);
    case 'releasing':
      if (report.held === phase.pass) break;
      return removeHeldRank(next, phase, report.rank, context);
    case 'clearing':
      return handleClearingReport(next, phase, report.rank, context);
    case 'idle':
      return clearStrayHold(next, context);
  }
  return {state: next, orders: []};
}

function handlePreparingReport(
  before: ChangeState,
  phase: PreparingPhase,
  rank: number,
  {nowMs}: ChangeContext,
): ChangeDecision {
  const seen = before.reports.get(rank)?.prepared === before.version;
  const state = seen ? addAcceptedRank(before, phase, rank, nowMs) : before;
  const all = [...state.reports.values()];
  const ready =
    all.length === state.size && all.every(r => r.prepared === state.version);
  if (!ready) return {state, orders: []};
  const newest = newestPass(state);
  const usualAhead = passesAhead(state, phase, nowMs);
  const ahead =
    phase.silentRanks.size > 0
      ? Math.max(PASSES_AHEAD_LOSSY, usualAhead)
      : usualAhead;
  const pass = Math.max(newest + ahead, state.lastHoldPass + 1);
  // The group has to begin more passes first.
  if (pass > newest + MAX_PASSES_AHEAD) return {state, orders: []};
  const holding: HoldingPhase = {
    kind: 'holding',
    pass,
    orderedMs: nowMs,
    silentRanks: phase.silentRanks,
    deadlineMs: nowMs + HOLD_TIMEOUT_MS,
  };
  const next = {...state, phase: holding, lastHoldPass: pass};
  return {
    state: next,
    orders: [holdOrder(next, pass)],
  };
}

/** The last pass that any rank has reported to have begun. */
function newestPass({reports}: ChangeState): number {
  return Math.max(-1, ...[...reports.values()].map(r => r.pass));
}

/** Passes that the group begins while its ranks are armed, with a margin. */
function passesAhead(
  state: ChangeState,
  {beginMs, beginPass}: PreparingPhase,
  nowMs: number,
): number {
  const passes = newestPass(state) - beginPass;
  const passMs = passes > 0 ? (nowMs - beginMs) / passes : USUAL_PASS_MS;
  const switchMs = SWITCH_TIME_FACTOR * state.switchMs;
  const ahead = MIN_PASSES_AHEAD + Math.ceil(switchMs / Math.max(1, passMs));
  return Math.min(MAX_PASSES_AHEAD, ahead);
}

/** Records that a rank is no longer held; ends the change after the last. */
function removeHeldRank(
  before: ChangeState,
  phase: ReleasingPhase,
  rank: number,
  {nowMs}: ChangeContext,
): ChangeDecision {
  const state = withoutReportedHold(before, rank, phase.pass);
  const heldRanks = new Set([...phase.heldRanks].filter(r => r !== rank));
  if (heldRanks.size > 0) {
    return {state: {...state, phase: {...phase, heldRanks}}, orders: []};
  }
  if (!phase.committed) return endWithBackoff(state, nowMs);
  const idle: IdlePhase = {kind: 'idle', backoffUntilMs: nowMs};
  const reports = reportsAsArmed(state);
  return {
    state: {...state, phase: idle, target: undefined, reports},
    orders: [],
  };
}

/**
 * The latest reports, in which ranks that do not report the new map yet are armed
 * for it. They may have reported before they were armed, and another change
 * planned for the old map would be refused.
 */
function reportsAsArmed({
  reports,
  version,
}: ChangeState): ChangeState['reports'] {
  const entries = [...reports].map(
    ([rank, report]) =>
      [
        rank,
        report.map >= version ? report : {...report, armed: version},
      ] as const,
  );
  return new Map(entries);
}

/**
 * The last report may be older than the release. Its hold would count as one
 * that another coordinator left.
 */
function withoutReportedHold(
  state: ChangeState,
  rank: number,
  pass: number,
): ChangeState {
  const report = state.reports.get(rank);
  if (report?.held !== pass) return state;
  const released = {...report, held: undefined};
  return {...state, reports: new Map(state.reports).set(rank, released)};
}

function handleTick(
  state: ChangeState,
  context: ChangeContext,
): ChangeDecision {
  const {phase} = state;
  const {nowMs} = context;
  switch (phase.kind) {
    case 'preparing':
      if (nowMs >= phase.deadlineMs) return endWithBackoff(state, nowMs);
      return clearStrayHold(state, context);
    case 'holding':
      // A hold that is placed late shows up in the reports and is cleared then.
      if (nowMs >= phase.deadlineMs) return endWithBackoff(state, nowMs);
      break;
    case 'arming':
      if (nowMs >= phase.deadlineMs) {
        const slower = recordSwitch(state, nowMs - phase.orderedMs);
        return startClearingOwnChange(slower, phase.pass, context);
      }
      break;
    case 'clearing':
      if (nowMs >= phase.retryAtMs)
        return sendClearingOrders(state, phase, context);
      break;
    case 'releasing': {
      if (nowMs < phase.retryAtMs) break;
      const {heldRanks, pass, committed} = phase;
      return startReleasing(state, pass, [...heldRanks], committed, nowMs);
    }
    case 'idle':
      return clearStrayHold(state, context);
  }
  return {state, orders: []};
}
