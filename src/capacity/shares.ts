/**
 * Weighted fair sharing between members, each with a virtual counter.
 *
 * A member's counter is the service that it received, divided by its weight.
 * The waiting member with the lowest counter is served next. A member that
 * was idle joins with at least the lowest counter of the waiting members, so
 * that it accumulates no credit while idle. The same structure orders the
 * accounts of a priority class and the callers of an account.
 */
import {Map} from 'immutable';
import {ascending, first, insert, Node, SortedSet, remove} from './sortedset';

/** The state of one member; `Queue` is what it has waiting. */
export interface Share<Queue> {
  /** Service received, divided by the member's weight. */
  readonly counter: number;
  /** Sort key among the waiting members: the counter, or less after joining. */
  readonly rank: number;
  /** Number of attempts charged and not yet settled. */
  readonly inFlight: number;
  /** Undefined while nothing waits. */
  readonly queue: Queue | undefined;
  /** Not served since it joined; comes first among equal ranks. */
  readonly newlyJoined: boolean;
  readonly lastActiveMs: number;
}

export interface Shares<Queue> {
  readonly members: Map<string, Share<Queue>>;
  /** Names of the waiting members, sorted by rank. */
  readonly waitingNames: SortedSet<string>;
  /**
   * Highest rank served so far. While no member waits, a member joins with at
   * least this counter.
   */
  readonly floor: number;
  /** Attempts in flight of all members. */
  readonly inFlight: number;
}

export function emptyShares<Queue>(): Shares<Queue> {
  return {members: Map(), waitingNames: undefined, floor: 0, inFlight: 0};
}

/**
 * Replaces a member's queue. The member joins the waiting members when it gets
 * a queue, and leaves them when its queue becomes undefined.
 *
 * When it joins, its rank may be below its counter by up to `burst`. Without
 * that, a small member's second request soon after the first would wait until
 * the others have received as much service. The counter itself is not
 * reduced, so the member never gets further ahead than `burst`.
 */
export function setQueue<Queue>(
  shares: Shares<Queue>,
  name: string,
  queue: Queue | undefined,
  nowMs: number,
  burst = 0,
): Shares<Queue> {
  const before = shares.members.get(name);
  if (!before?.queue && queue === undefined) return shares;
  if (!before?.queue) return addMember(shares, name, queue!, nowMs, burst);
  const members = shares.members.set(name, {...before, queue});
  if (queue !== undefined) return {...shares, members};
  const waitingNames = remove(
    shares.waitingNames,
    before.rank,
    tieBreakId(name, before),
  );
  return resetIfIdle({...shares, members, waitingNames});
}

/**
 * Forgets all counters when nothing waits or is in flight, so that all members
 * are equal again.
 */
function resetIfIdle<Queue>(shares: Shares<Queue>): Shares<Queue> {
  const busy = shares.waitingNames !== undefined || shares.inFlight > 0;
  return busy ? shares : emptyShares();
}

/** Adds a member to the waiting ones. */
function addMember<Queue>(
  shares: Shares<Queue>,
  name: string,
  queue: Queue,
  nowMs: number,
  burst: number,
): Shares<Queue> {
  const before = shares.members.get(name);
  const lowest = first(shares.waitingNames)?.rank ?? shares.floor;
  const counter = Math.max(before?.counter ?? 0, lowest);
  const inFlight = before?.inFlight ?? 0;
  const rank = Math.max(counter - burst, lowest);
  const arrival = {newlyJoined: true, lastActiveMs: nowMs};
  const share = {counter, rank, inFlight, queue, ...arrival};
  return {
    ...shares,
    members: shares.members.set(name, share),
    waitingNames: insert(
      shares.waitingNames,
      rank,
      tieBreakId(name, share),
      name,
    ),
  };
}

/** Charges a member for an attempt that is granted or started. */
export function charge<Queue>(
  shares: Shares<Queue>,
  name: string,
  amount: number,
  nowMs: number,
): Shares<Queue> {
  const share = shares.members.get(name) ?? newShare<Queue>(shares, nowMs);
  const floor = Math.max(shares.floor, share.rank);
  return adjustShare({...shares, floor}, name, share, amount, 1, nowMs);
}

/** Corrects a member's charge for an attempt that has ended. */
export function settle<Queue>(
  shares: Shares<Queue>,
  name: string,
  correction: number,
  nowMs: number,
): Shares<Queue> {
  const share = shares.members.get(name);
  if (!share) return shares;
  return adjustShare(shares, name, share, correction, -1, nowMs);
}

function newShare<Queue>(shares: Shares<Queue>, nowMs: number): Share<Queue> {
  const counter = first(shares.waitingNames)?.rank ?? shares.floor;
  return {
    counter,
    rank: counter,
    inFlight: 0,
    queue: undefined,
    newlyJoined: false,
    lastActiveMs: nowMs,
  };
}

/** The id that sorts members of equal rank; newly joined ones come first. */
function tieBreakId<Queue>(name: string, {newlyJoined}: Share<Queue>): string {
  return newlyJoined ? `0${name}` : `1${name}`;
}

/** Changes a member's counter and its number of attempts in flight. */
function adjustShare<Queue>(
  shares: Shares<Queue>,
  name: string,
  share: Share<Queue>,
  amount: number,
  inFlightChange: 1 | -1,
  nowMs: number,
): Shares<Queue> {
  const counter = share.counter + amount;
  const inFlight = share.inFlight + inFlightChange;
  const newlyJoined = share.newlyJoined && inFlightChange < 0;
  const rank = newlyJoined ? share.rank + amount : counter;
  const next = {
    ...share,
    counter,
    rank,
    inFlight,
    newlyJoined,
    lastActiveMs: nowMs,
  };
  const changed = {
    ...shares,
    members: shares.members.set(name, next),
    inFlight: shares.inFlight + inFlightChange,
  };
  if (share.queue === undefined) return resetIfIdle(changed);
  const without = remove(
    shares.waitingNames,
    share.rank,
    tieBreakId(name, share),
  );
  const waitingNames = insert(without, rank, tieBreakId(name, next), name);
  return {...changed, waitingNames};
}

/** The waiting members, the next to be served first. */
export function waitingMembers<Queue>(
  shares: Shares<Queue>,
): Generator<Node<string>> {
  return ascending(shares.waitingNames);
}

/** Forgets members that have been idle since before `beforeMs`. */
export function forgetIdle<Queue>(
  shares: Shares<Queue>,
  beforeMs: number,
): Shares<Queue> {
  const members = shares.members.filter(
    m => m.queue !== undefined || m.inFlight > 0 || m.lastActiveMs >= beforeMs,
  );
  return {...shares, members};
}
