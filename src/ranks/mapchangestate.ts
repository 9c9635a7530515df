/**
 * State of a change of a group's expert map, and the helpers that its phases
 * share.
 *
 * Terms: `prepare` has a rank copy the experts of a map version; `arm` has it
 * switch to that version when a given pass begins; `hold` keeps the group from
 * beginning a pass until `go`.
 */
import {OrderOutcome, RankMap, RankOrder, RankReport} from './rank';

/** Waits until every rank has copied the experts of the new map. */
export interface PreparingPhase {
  readonly kind: 'preparing';
  /** When the change began, and the last pass begun before. */
  readonly beginMs: number;
  readonly beginPass: number;
  /** Ranks that have accepted the order to prepare. */
  readonly acceptedRanks: ReadonlySet<number>;
  /** Ranks that did not answer an order of this change. */
  readonly silentRanks: ReadonlySet<number>;
  readonly deadlineMs: number;
}

/** Waits until the hold at `pass` is confirmed. */
export interface HoldingPhase {
  readonly kind: 'holding';
  readonly pass: number;
  /** When the hold was first ordered. */
  readonly orderedMs: number;
  readonly silentRanks: ReadonlySet<number>;
  readonly deadlineMs: number;
}

/** Waits until every rank is armed to switch at `pass`. */
export interface ArmingPhase {
  readonly kind: 'arming';
  readonly pass: number;
  /** When the hold was first ordered. */
  readonly orderedMs: number;
  readonly armedRanks: ReadonlySet<number>;
  readonly silentRanks: ReadonlySet<number>;
  readonly deadlineMs: number;
}

/** Ensures that no rank is armed or can become so, then releases the group. */
export interface ClearingPhase {
  readonly kind: 'clearing';
  readonly pass: number;
  /** Rank of the coordinator whose hold is cleared. */
  readonly coordinator: number;
  /** Version of this coordinator's change, if that is what it gave up. */
  readonly ownVersion: number | undefined;
  /** Whether this coordinator's own hold at the pass is confirmed. */
  readonly ownHoldConfirmed: boolean;
  /**
   * Versions ordered since clearing began. Only these show that a rank is cleared: it
   * may be armed for any version that an earlier process of this coordinator ordered.
   */
  readonly orderedVersions: ReadonlySet<number>;
  /**
   * Highest version that a rank was seen to accept. The rank was not armed then, so no
   * change of a lower version can be complete.
   */
  readonly acceptedVersion: number;
  /** Ranks that accepted a version above any that they may be armed for. */
  readonly clearedRanks: ReadonlySet<number>;
  /** Ranks that were held at the pass when clearing began. */
  readonly heldRanks: readonly number[];
  /** Ranks that have reported since clearing began. */
  readonly reportedRanks: ReadonlySet<number>;
  /** Whether a coordinator other than `coordinator` had armed a rank. */
  readonly armedByAnother: boolean;
  /** When unconfirmed orders are repeated. */
  readonly retryAtMs: number;
}

/** Repeats the order to release until each held rank has confirmed it. */
export interface ReleasingPhase {
  readonly kind: 'releasing';
  readonly pass: number;
  readonly heldRanks: ReadonlySet<number>;
  readonly retryAtMs: number;
  /** Whether all ranks were armed, so that they switch to the new map. */
  readonly committed: boolean;
}

/** No change is in progress. */
export interface IdlePhase {
  readonly kind: 'idle';
  /** No change may begin before this time. */
  readonly backoffUntilMs: number;
}

export type ChangePhase =
  | IdlePhase
  | PreparingPhase
  | HoldingPhase
  | ArmingPhase
  | ClearingPhase
  | ReleasingPhase;

export interface ChangeState {
  /** Rank of this coordinator. */
  readonly ownRank: number;
  /** Number of ranks in the group. */
  readonly size: number;
  readonly epoch: number;
  readonly phase: ChangePhase;
  /** Version of the change; higher than all versions ordered before. */
  readonly version: number;
  readonly target: RankMap | undefined;
  /** Time from the order to hold until all ranks are armed, as measured. */
  readonly switchMs: number;
  /** Pass of the last hold; each hold is at a higher pass than the last. */
  readonly lastHoldPass: number;
  /** Latest report of each rank. */
  readonly reports: ReadonlyMap<number, RankReport>;
  /** Since when a hold was reported that belongs to no current change. */
  readonly strayHoldSinceMs: number | undefined;
}

export type ChangeInput =
  | {readonly kind: 'begin'; readonly target: RankMap}
  | {
      readonly kind: 'answer';
      readonly rank: number;
      readonly order: RankOrder;
      readonly outcome: OrderOutcome;
    }
  | {readonly kind: 'report'; readonly report: RankReport}
  | {readonly kind: 'tick'};

/** An order together with the rank that it is sent to. */
export interface OutgoingOrder {
  readonly rank: number;
  readonly epoch: number;
  readonly order: RankOrder;
  /**
   * Whether the coordinator sends it to the engine itself. Otherwise the rank's
   * sidecar forwards it, which costs less.
   */
  readonly direct: boolean;
}

export interface ChangeContext {
  readonly nowMs: number;
  /** Reads the map in use from the ranks' reports; undefined if not known. */
  readonly inUse: () => RankMap | undefined;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /**
   * Returns the ranks of other coordinators that are known to be alive and to
   * hold the group. They release their holds themselves.
   */
  readonly holdingRanks: () => ReadonlySet<number>;
}

export interface ChangeDecision {
  readonly state: ChangeState;
  readonly orders: readonly OutgoingOrder[];
}

/** Interval between retries of an order while the group is held. */
export const RETRY_INTERVAL_MS = 60;
/** Time after a failed change before the next one may begin. */
const FAILURE_BACKOFF_MS = 2_000;

/**
 * A new version skips a random number of rounds, at most this many, so that a
 * coordinator that has restarted without its state does not reuse a version.
 * A round has one version for each coordinator. The first version of a process skips
 * more, because it may not know the last ones of the process before it.
 */
const MAX_SKIPPED_ROUNDS = 1_024;
const MAX_SKIPPED_ROUNDS_AT_FIRST = 65_536;

/**
 * Most passes from the last one begun to the pass of a hold. A process that has just
 * started knows from it which passes an earlier one may have used.
 */
export const MAX_PASSES_AHEAD = 40;

/** Assumed until the first change has been measured. */
const INITIAL_SWITCH_MS_PER_RANK = 2;
/** Longest time for which the switch of a map is planned ahead. */
const MAX_SWITCH_MS = 1_000;
/** Weight of the latest change if it took less time than those before. */
const SWITCH_WEIGHT = 0.3;

/**
 * Adds the time that a change took until all ranks were armed. A longer time
 * counts at once, because a group that waits at its hold delays all streams.
 */
export function recordSwitch(state: ChangeState, ms: number): ChangeState {
  const blended = state.switchMs + SWITCH_WEIGHT * (ms - state.switchMs);
  const switchMs = Math.min(MAX_SWITCH_MS, Math.max(ms, blended));
  return {...state, switchMs};
}

/**
 * The state of a coordinator that knows of no change. `ownReport` is its rank's report
 * when its process has just started: a process before it may have held the group, and
 * an order to release that hold may still arrive, so that no hold may be placed at a
 * pass that it may have used.
 */
export function initialChangeState(
  ownRank: number,
  size: number,
  epoch: number,
  ownReport?: Pick<RankReport, 'pass' | 'map' | 'prepared' | 'armed'>,
): ChangeState {
  const {pass = 0, map = 0, prepared = 0, armed = 0} = ownReport ?? {};
  const isGroupNew = Math.max(pass, map, prepared, armed) <= 0;
  return {
    ownRank,
    size,
    epoch,
    phase: {kind: 'idle', backoffUntilMs: 0},
    version: 0,
    target: undefined,
    switchMs: size * INITIAL_SWITCH_MS_PER_RANK,
    lastHoldPass: isGroupNew ? -1 : pass + MAX_PASSES_AHEAD,
    reports: new Map(),
    strayHoldSinceMs: undefined,
  };
}

/**
 * Returns the rank at which a coordinator holds the group. It is different for
 * each coordinator, because a rank can be held at only one pass. It is far from
 * the coordinator's own rank, whose instance may be lost together with the
 * coordinator, and from the next ranks, which take over in that case.
 */
export function holdRankOf(coordinator: number, size: number): number {
  return (coordinator + Math.floor(size / 2)) % size;
}

/** Returns the rank of the coordinator that issued a version. */
export function coordinatorOfVersion(version: number, size: number): number {
  return version % size;
}

/** Returns the rank of the coordinator that holds the group at a rank. */
export function coordinatorOfHoldRank(holdRank: number, size: number): number {
  return (holdRank + size - Math.floor(size / 2)) % size;
}

export function prepareOrder(version: number, map: RankMap): RankOrder {
  return {kind: 'prepare', version, map};
}

/**
 * Returns a version above all known ones. Its remainder modulo the group's size
 * is the coordinator's rank, so no two coordinators issue the same version.
 */
export function nextVersion(state: ChangeState, random: () => number): number {
  let highest = state.version;
  for (const {map, prepared = 0, armed = 0} of state.reports.values()) {
    highest = Math.max(highest, map, prepared, armed);
  }
  const maxSkipped =
    state.version === 0 ? MAX_SKIPPED_ROUNDS_AT_FIRST : MAX_SKIPPED_ROUNDS;
  const skipped = 1 + Math.floor(random() * maxSkipped);
  const round = Math.floor(highest / state.size) + skipped;
  return round * state.size + state.ownRank;
}

export function ordersForAll(
  state: ChangeState,
  order: RankOrder,
): readonly OutgoingOrder[] {
  return Array.from({length: state.size}, (_, rank) =>
    orderFor(state, rank, order),
  );
}

export function orderFor(
  state: ChangeState,
  rank: number,
  order: RankOrder,
): OutgoingOrder {
  return {rank, epoch: state.epoch, order, direct: false};
}

/** Returns the order that places this coordinator's hold. */
export function holdOrder(state: ChangeState, pass: number): OutgoingOrder {
  const holdRank = holdRankOf(state.ownRank, state.size);
  return {...orderFor(state, holdRank, {kind: 'hold', pass}), direct: true};
}

/** Ends a change that did not succeed; the next one begins after a backoff. */
export function endWithBackoff(
  state: ChangeState,
  nowMs: number,
): ChangeDecision {
  const phase: IdlePhase = {
    kind: 'idle',
    backoffUntilMs: nowMs + FAILURE_BACKOFF_MS,
  };
  return {state: {...state, phase, target: undefined}, orders: []};
}

/** Orders the given ranks to release their hold at a pass. */
export function startReleasing(
  state: ChangeState,
  pass: number,
  ranks: readonly number[],
  committed: boolean,
  nowMs: number,
): ChangeDecision {
  const phase: ReleasingPhase = {
    kind: 'releasing',
    pass,
    heldRanks: new Set(ranks),
    retryAtMs: nowMs + RETRY_INTERVAL_MS,
    committed,
  };
  const orders = ranks.map(r => orderFor(state, r, {kind: 'go', pass}));
  return {state: {...state, phase}, orders};
}
