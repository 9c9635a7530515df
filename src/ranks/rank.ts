/**
 * A rank of a model group as its engine shows it, and the orders it takes.
 *
 * All ranks of a group run each pass together and must use one expert map in
 * it. The engine does not compare maps; whoever orders a change must see to
 * that. Versions of maps only rise at a rank, and a rank forgets everything
 * when its group forms again, in a new epoch.
 */

/** Experts that one rank holds, by set. */
export type RankExperts = readonly (readonly number[])[];

/** Experts by set and rank. */
export type RankMap = readonly RankExperts[];

export interface RankReport {
  readonly group: string;
  /** Formation of the group; orders of another one are refused. */
  readonly epoch: number;
  readonly rank: number;
  /** Ranks of the group. */
  readonly size: number;
  /** False while a rank is missing. */
  readonly open: boolean;
  /** Pass that was begun last; an idle group begins none. */
  readonly pass: number;
  /** Version of the map in use; 0 is the one that the group forms with. */
  readonly map: number;
  /** Version whose experts are copied completely. */
  readonly prepared: number | undefined;
  /** Version that comes into use with a later pass. */
  readonly armed: number | undefined;
  /** Pass that the group does not begin until this rank is let go. */
  readonly held: number | undefined;
  readonly running: number;
  readonly queued: number;
  /** Its time for the same work, in that of a sound rank; 1 if sound. */
  readonly pace: number;
}

/** What a sidecar tells of its rank. */
export interface RankState extends RankReport {
  /** Experts of the map in use. */
  readonly experts: RankExperts;
  /** Times that each expert was chosen since the start, set after set. */
  readonly counts: readonly number[];
}

export type RankOrder =
  /** Copies the experts that are new to the rank; takes a while. */
  | {
      readonly kind: 'prepare';
      readonly version: number;
      /** The whole group's map. */
      readonly map: RankMap;
    }
  /** Puts a prepared version in use as `pass` begins. */
  | {readonly kind: 'arm'; readonly version: number; readonly pass: number}
  | {readonly kind: 'disarm'; readonly version: number}
  /** The group does not begin `pass` until `go`; does not expire. */
  | {readonly kind: 'hold'; readonly pass: number}
  | {readonly kind: 'go'; readonly pass: number};

/**
 * How an order ended. One without an answer may have been carried out, or may
 * be carried out seconds later.
 */
export type OrderOutcome = 'accepted' | 'refused' | 'unknown';
