/**
 * The state of one change of a group's expert map, and what its steps share.
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
  /** The coordinator whose hold is cleared. */
  readonly coordinator: number;
  /** Whether it is a change that this coordinator has given up itself. */
  readonly mine: boolean;
  /** Whether this coordinator's own hold at the pass is known to stand. */
  readonly secured: boolean;
  /** Only versions above this one, given since clearing began, count. */
  readonly above: number;
  /** Ranks that took a version above all that may be armed. */
  readonly cleared: ReadonlySet<number>;
  /** Ranks that were held at the pass when clearing began. */
  readonly held: readonly number[];
  /** Ranks that have reported since clearing began. */
  readonly seen: ReadonlySet<number>;
  /** Whether a rank was armed by a third coordinator. */
  readonly mixed: boolean;
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
  /**
   * Whether the coordinator gives it to the engine itself. Otherwise the
   * rank's sidecar passes it on, which costs less.
   */
  readonly direct: boolean;
}

export interface Circumstances {
  readonly nowMs: number;
  /** The map in use, as far as the ranks report it; undefined if not known. */
  readonly inUse: RankMap | undefined;
  /** A number from 0 up to 1. */
  readonly random: () => number;
}

export interface Result {
  readonly state: ChangeState;
  readonly orders: readonly Order[];
}

/** Time between repeated orders while the group is held, in ms. */
export const AGAIN_MS = 60;
/** Rest after a change that failed, in milliseconds. */
const REST_MS = 2_000;

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

/**
 * The rank at which a coordinator holds the group. It differs for each
 * coordinator, because a rank can be held only once. It is far from the own
 * rank, whose machine may be lost together with the coordinator, and from the
 * next ranks, which take over then.
 */
export function holderOf(coordinator: number, size: number): number {
  return (coordinator + Math.floor(size / 2)) % size;
}

/** The coordinator that gave a version. */
export function coordinatorOf(version: number, size: number): number {
  return version % size;
}

/** The coordinator that holds the group at a rank. */
export function coordinatorAt(holder: number, size: number): number {
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
  const skipped = 1 + Math.floor(random() * VERSION_SPREAD);
  const round = Math.floor(highest / state.size) + skipped;
  return round * state.size + state.own;
}

export function toAll(state: ChangeState, order: RankOrder): readonly Order[] {
  return Array.from({length: state.size}, (_, rank) =>
    orderFor(state, rank, order),
  );
}

export function orderFor(
  state: ChangeState,
  rank: number,
  order: RankOrder,
): Order {
  return {rank, epoch: state.epoch, order, direct: false};
}

/** Holds the group at the coordinator's holder. */
export function holdOrder(state: ChangeState, pass: number): Order {
  const holder = holderOf(state.own, state.size);
  return {...orderFor(state, holder, {kind: 'hold', pass}), direct: true};
}

export function rested(state: ChangeState, nowMs: number): Result {
  const phase: Idle = {kind: 'idle', restUntilMs: nowMs + REST_MS};
  return {state: {...state, phase, target: undefined}, orders: []};
}

export function release(
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
