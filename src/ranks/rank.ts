/**
 * State of a rank of a model group as its engine reports it, and the orders
 * that it accepts.
 *
 * All ranks of a group run each pass together and must use the same expert map
 * in it. Engines do not compare their maps; whoever changes the map must make
 * sure that they agree. The map versions of a rank only increase. When the
 * group forms again it gets a new epoch and its ranks lose all of this state.
 */

/** Experts that one rank holds, indexed by set. */
export type RankExperts = readonly (readonly number[])[];

/** Expert map of a group: the experts held, indexed by set, then by rank. */
export type RankMap = readonly RankExperts[];

/**
 * The map with each rank's experts in ascending order. All ranks of a group must
 * be given a map in the same order, whether it was sent whole or as changes.
 */
export function sortExperts(map: RankMap): RankMap {
  return map.map(ranks =>
    ranks.map(held => [...held].sort((one, other) => one - other)),
  );
}

export interface RankReport {
  readonly group: string;
  /** Number of the group's formation; orders for another epoch are refused. */
  readonly epoch: number;
  readonly rank: number;
  /** Number of ranks in the group. */
  readonly size: number;
  /** False while a rank of the group is missing. */
  readonly open: boolean;
  /** The last pass that was begun; an idle group begins none. */
  readonly pass: number;
  /** Version of the map in use; 0 is the map that the group formed with. */
  readonly map: number;
  /** Version whose experts have all been copied to the rank. */
  readonly prepared: number | undefined;
  /** Version that the rank switches to when a later pass begins. */
  readonly armed: number | undefined;
  /** Pass that the group cannot begin until the hold here is released. */
  readonly held: number | undefined;
  readonly running: number;
  readonly queued: number;
  /** Slowdown against a healthy rank: 1 if healthy, 2 if half as fast. */
  readonly pace: number;
}

/** What a rank's sidecar does as a coordinator of the group. */
export interface CoordinatorRole {
  readonly leading: boolean;
  /** Whether it may have placed a hold that still stands. */
  readonly holding: boolean;
}

/** A rank's report together with its experts, as its sidecar serves it. */
export interface RankState extends RankReport, CoordinatorRole {
  /** The rank's experts in the map in use. */
  readonly experts: RankExperts;
  /**
   * How often each expert was chosen since the sidecar was last asked, set by
   * set; empty if it was not asked or does not know.
   */
  readonly choices: readonly number[];
}

/** A sign, sent several times a second, that a leading coordinator is alive. */
export interface Heartbeat {
  readonly group: string;
  /** Rank of the coordinator. */
  readonly rank: number;
}

export type RankOrder =
  /** Starts copying the experts that are new to the rank; takes a while. */
  | {
      readonly kind: 'prepare';
      readonly version: number;
      /** The whole group's map. */
      readonly map: RankMap;
    }
  /** Switches to a prepared version when `pass` begins. */
  | {readonly kind: 'arm'; readonly version: number; readonly pass: number}
  | {readonly kind: 'disarm'; readonly version: number}
  /** Keeps the group from beginning `pass` until `go`; does not expire. */
  | {readonly kind: 'hold'; readonly pass: number}
  | {readonly kind: 'go'; readonly pass: number};

/**
 * Result of an order. `unknown` means that no answer came: the order may have
 * been carried out, or may still be carried out seconds later.
 */
export type OrderOutcome = 'accepted' | 'refused' | 'unknown';
