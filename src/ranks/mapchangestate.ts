/**
 * The state of one change of a group's expert map, and what its steps share.
 */
import {OrderOutcome, RankMap, RankOrder, RankReport} from './rank';

export interface PreparingPhase {
  readonly kind: 'preparing';
  readonly acceptedRanks: ReadonlySet<number>;
  /** Ranks that left an order of this change unanswered. */
  readonly silentRanks: ReadonlySet<number>;
  readonly deadlineMs: number;
}

export interface HoldingPhase {
  readonly kind: 'holding';
  readonly pass: number;
  readonly silentRanks: ReadonlySet<number>;
  readonly deadlineMs: number;
}

export interface ArmingPhase {
  readonly kind: 'arming';
  readonly pass: number;
  readonly armedRanks: ReadonlySet<number>;
  readonly silentRanks: ReadonlySet<number>;
  readonly deadlineMs: number;
}

/** Makes sure that nothing is armed or can be, then lets the group go. */
export interface ClearingPhase {
  readonly kind: 'clearing';
  readonly pass: number;
  /** The coordinator whose hold is cleared. */
  readonly coordinator: number;
  /** Whether it is a change that this coordinator has given up itself. */
  readonly isOwnChange: boolean;
  /** Whether this coordinator's own hold at the pass is known to stand. */
  readonly ownHoldConfirmed: boolean;
  /** Only versions above this one, given since clearing began, count. */
  readonly versionAtStart: number;
  /** Ranks that took a version above all that may be armed. */
  readonly clearedRanks: ReadonlySet<number>;
  /** Ranks that were held at the pass when clearing began. */
  readonly heldRanks: readonly number[];
  /** Ranks that have reported since clearing began. */
  readonly reportedRanks: ReadonlySet<number>;
  /** Whether a rank was armed by a third coordinator. */
  readonly armedByAnother: boolean;
  readonly retryAtMs: number;
}

/** Lets held ranks go until none reports the hold any more. */
export interface ReleasingPhase {
  readonly kind: 'releasing';
  readonly pass: number;
  readonly heldRanks: ReadonlySet<number>;
  readonly retryAtMs: number;
  readonly committed: boolean;
}

export interface IdlePhase {
  readonly kind: 'idle';
  /** Time before which no change may begin. */
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
  /** Rank of the coordinator. */
  readonly ownRank: number;
  readonly size: number;
  readonly epoch: number;
  readonly phase: ChangePhase;
  /** Version of the change; all versions given before are lower. */
  readonly version: number;
  readonly target: RankMap | undefined;
  /** Pass of the last hold; a later one is always higher. */
  readonly lastHoldPass: number;
  /** The newest report of each rank. */
  readonly reports: ReadonlyMap<number, RankReport>;
  /** Since when a hold that is not this coordinator's was seen. */
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

export interface OutgoingOrder {
  readonly rank: number;
  readonly epoch: number;
  readonly order: RankOrder;
  /**
   * Whether the coordinator gives it to the engine itself. Otherwise the
   * rank's sidecar passes it on, which costs less.
   */
  readonly direct: boolean;
}

export interface ChangeContext {
  readonly nowMs: number;
  /** The map in use, as far as the ranks report it; undefined if not known. */
  readonly inUse: RankMap | undefined;
  /** A number from 0 up to 1. */
  readonly random: () => number;
}

export interface ChangeDecision {
  readonly state: ChangeState;
  readonly orders: readonly OutgoingOrder[];
}

/** Time between repeated orders while the group is held, in ms. */
export const RETRY_INTERVAL_MS = 60;
/** Rest after a change that failed, in milliseconds. */
const FAILURE_BACKOFF_MS = 2_000;

/** Versions that one coordinator skips at most, so that none is used twice. */
const MAX_SKIPPED_ROUNDS = 1_024;

export function initialChangeState(
  ownRank: number,
  size: number,
  epoch: number,
): ChangeState {
  return {
    ownRank,
    size,
    epoch,
    phase: {kind: 'idle', backoffUntilMs: 0},
    version: 0,
    target: undefined,
    lastHoldPass: -1,
    reports: new Map(),
    strayHoldSinceMs: undefined,
  };
}

/**
 * The rank at which a coordinator holds the group. It differs for each
 * coordinator, because a rank can be held only once. It is far from the own
 * rank, whose machine may be lost together with the coordinator, and from the
 * next ranks, which take over then.
 */
export function holdRankOf(coordinator: number, size: number): number {
  return (coordinator + Math.floor(size / 2)) % size;
}

/** The coordinator that gave a version. */
export function coordinatorOfVersion(version: number, size: number): number {
  return version % size;
}

/** The coordinator that holds the group at a rank. */
export function coordinatorOfHoldRank(holder: number, size: number): number {
  return (holder + size - Math.floor(size / 2)) % size;
}

export function prepareOrder(version: number, map: RankMap): RankOrder {
  return {kind: 'prepare', version, map};
}

/** Above all versions known, and of the coordinator's rank only. */
export function nextVersion(state: ChangeState, random: () => number): number {
  let highest = state.version;
  for (const {map, prepared = 0, armed = 0} of state.reports.values()) {
    highest = Math.max(highest, map, prepared, armed);
  }
  const skipped = 1 + Math.floor(random() * MAX_SKIPPED_ROUNDS);
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

/** Holds the group at the coordinator's holder. */
export function holdOrder(state: ChangeState, pass: number): OutgoingOrder {
  const holder = holdRankOf(state.ownRank, state.size);
  return {...orderFor(state, holder, {kind: 'hold', pass}), direct: true};
}

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
