/**
 * The ledger of the endpoint's reserved capacity.
 *
 * A grant reserves a request slot, KV memory (prompt plus permitted output)
 * and its prompt's tokens of a batch until it is used, revoked or expires. A
 * running attempt reserves the same for its request until it ends; its batch
 * tokens are freed at its first output token. The sums are kept only here, so
 * the bounds hold whatever the entries know about the load.
 */
import {Map, OrderedMap} from 'immutable';
import {Offer} from '../wire/messages';
import {EntryId, kvTokensOf, attemptKey} from './offer';
import {first, insert, SortedSet, remove} from './sortedset';
import {Charge} from './queue';

/** Upper limits of what may be reserved at once. */
export interface Bounds {
  readonly concurrent: number;
  readonly kvTokens: number;
  /** Prompt tokens of attempts that have not given their first output token. */
  readonly batchTokens: number;
}

/** What a grant or a running attempt reserves besides its request slot. */
export interface Cost {
  readonly kvTokens: number;
  readonly batchTokens: number;
}

/** A grant that an entry holds and has not used yet. */
export interface HeldGrant {
  readonly grantId: string;
  readonly entry: EntryId;
  /** The offer that it answers; absent in a standing grant. */
  readonly offer?: Offer;
  /** Absent in a standing grant, which is charged when it is used. */
  readonly charge?: Charge;
  readonly cost: Cost;
  readonly expiresMs: number;
}

/** An attempt that was given to the endpoint and has not ended. */
export interface RunningAttempt {
  readonly entry: EntryId;
  readonly offer: Offer;
  readonly charge: Charge;
  readonly cost: Cost;
}

/** An attempt that is over: it ran, or its start was refused. */
export interface PastAttempt {
  readonly outcome: 'ran' | 'refused';
  readonly sinceMs: number;
}

export interface Ledger {
  /** Unused grants by grant id, in the order of issue. */
  readonly held: OrderedMap<string, HeldGrant>;
  /** Ids of unused grants by the key of the attempt that they are for. */
  readonly grantIdsByAttempt: Map<string, string>;
  /** Ids of unused grants in the order of expiry. */
  readonly grantIdsByExpiry: SortedSet<string>;
  /** Number of unused standing grants by entry. */
  readonly standingCounts: Map<EntryId, number>;
  /** Running attempts by attempt key. */
  readonly running: Map<string, RunningAttempt>;
  /** Attempts that ended or were refused recently, by attempt key. */
  readonly pastAttempts: Map<string, PastAttempt>;
  /** Keys of past attempts, the earliest first. */
  readonly pastKeysByTime: SortedSet<string>;
  /** Sum of the KV tokens that grants and running attempts reserve. */
  readonly kvTokens: number;
  /** Sum of the batch tokens that they reserve. */
  readonly batchTokens: number;
}

export const emptyLedger: Ledger = {
  held: OrderedMap(),
  grantIdsByAttempt: Map(),
  grantIdsByExpiry: undefined,
  standingCounts: Map(),
  running: Map(),
  pastAttempts: Map(),
  pastKeysByTime: undefined,
  kvTokens: 0,
  batchTokens: 0,
};

export function costOf(offer: Offer): Cost {
  return {kvTokens: kvTokensOf(offer), batchTokens: offer.promptTokens};
}

/** Request slots in use: unused grants and running attempts. */
export function slotsTaken({held, running}: Ledger): number {
  return held.size + running.size;
}

export function totalStandingGrants({standingCounts}: Ledger): number {
  return standingCounts.reduce((sum, n) => sum + n, 0);
}

/** Whether one more attempt of this cost stays within the bounds. */
export function fitsBounds(
  ledger: Ledger,
  bounds: Bounds,
  cost: Cost,
): boolean {
  return (
    slotsTaken(ledger) < bounds.concurrent &&
    ledger.kvTokens + cost.kvTokens <= bounds.kvTokens &&
    fitsBatch(ledger, bounds, cost)
  );
}

/**
 * Whether the prompt fits into the batch. A prompt longer than a whole batch
 * is admitted while no batch tokens are reserved: engines split long prompts.
 */
function fitsBatch(ledger: Ledger, bounds: Bounds, cost: Cost): boolean {
  return (
    ledger.batchTokens === 0 ||
    ledger.batchTokens + cost.batchTokens <= bounds.batchTokens
  );
}

export function addHeldGrant(ledger: Ledger, held: HeldGrant): Ledger {
  const {grantId, entry, offer, expiresMs} = held;
  const reserved = adjustReserved(ledger, held.cost, 1);
  return {
    ...reserved,
    held: ledger.held.set(grantId, held),
    grantIdsByExpiry: insert(
      ledger.grantIdsByExpiry,
      expiresMs,
      grantId,
      grantId,
    ),
    grantIdsByAttempt: offer
      ? ledger.grantIdsByAttempt.set(attemptKey(offer), grantId)
      : ledger.grantIdsByAttempt,
    standingCounts: offer
      ? ledger.standingCounts
      : addToCount(ledger.standingCounts, entry, 1),
  };
}

/** Removes a grant, used or unused, and frees what it reserved. */
export function removeHeldGrant(ledger: Ledger, held: HeldGrant): Ledger {
  const {grantId, entry, offer, expiresMs} = held;
  const freed = adjustReserved(ledger, held.cost, -1);
  return {
    ...freed,
    held: ledger.held.delete(grantId),
    grantIdsByExpiry: remove(ledger.grantIdsByExpiry, expiresMs, grantId),
    grantIdsByAttempt: offer
      ? ledger.grantIdsByAttempt.delete(attemptKey(offer))
      : ledger.grantIdsByAttempt,
    standingCounts: offer
      ? ledger.standingCounts
      : addToCount(ledger.standingCounts, entry, -1),
  };
}

export function addRunning(ledger: Ledger, running: RunningAttempt): Ledger {
  const reserved = adjustReserved(ledger, running.cost, 1);
  const key = attemptKey(running.offer);
  return {...reserved, running: ledger.running.set(key, running)};
}

/** Ends a running attempt; it stays known until `forgetPastAttempts`. */
export function endRunning(ledger: Ledger, key: string, nowMs: number): Ledger {
  const running = ledger.running.get(key);
  if (!running) return ledger;
  const freed = adjustReserved(ledger, running.cost, -1);
  const next = {...freed, running: ledger.running.delete(key)};
  return recordPastAttempt(next, key, 'ran', nowMs);
}

/** Records that an attempt is over; an outcome recorded earlier stays. */
export function recordPastAttempt(
  ledger: Ledger,
  key: string,
  outcome: PastAttempt['outcome'],
  sinceMs: number,
): Ledger {
  if (ledger.pastAttempts.has(key)) return ledger;
  return {
    ...ledger,
    pastAttempts: ledger.pastAttempts.set(key, {outcome, sinceMs}),
    pastKeysByTime: insert(ledger.pastKeysByTime, sinceMs, key, key),
  };
}

/**
 * Frees the batch tokens of an attempt that gave its first output token: its
 * prompt is no longer in the batch.
 */
export function releaseBatchTokens(ledger: Ledger, key: string): Ledger {
  const running = ledger.running.get(key);
  if (!running) return ledger;
  const cost = {...running.cost, batchTokens: 0};
  return {
    ...ledger,
    running: ledger.running.set(key, {...running, cost}),
    batchTokens: ledger.batchTokens - running.cost.batchTokens,
  };
}

/** The grant that expired first, or undefined if none has expired. */
export function firstExpiredGrant(
  ledger: Ledger,
  nowMs: number,
): HeldGrant | undefined {
  const next = first(ledger.grantIdsByExpiry);
  return next && next.rank <= nowMs ? ledger.held.get(next.id) : undefined;
}

/** Forgets attempts that ended before `beforeMs`. */
export function forgetPastAttempts(ledger: Ledger, beforeMs: number): Ledger {
  let {pastAttempts, pastKeysByTime} = ledger;
  for (let n = first(pastKeysByTime); n; n = first(pastKeysByTime)) {
    if (n.rank >= beforeMs) break;
    pastAttempts = pastAttempts.delete(n.id);
    pastKeysByTime = remove(pastKeysByTime, n.rank, n.id);
  }
  return {...ledger, pastAttempts, pastKeysByTime};
}

function adjustReserved(ledger: Ledger, cost: Cost, sign: 1 | -1): Ledger {
  return {
    ...ledger,
    kvTokens: ledger.kvTokens + sign * cost.kvTokens,
    batchTokens: ledger.batchTokens + sign * cost.batchTokens,
  };
}

function addToCount(
  counts: Map<string, number>,
  name: string,
  change: number,
): Map<string, number> {
  const count = counts.get(name, 0) + change;
  return count > 0 ? counts.set(name, count) : counts.delete(name);
}
