/**
 * Pure decision that batches the claim writes of one entry into table
 * transactions.
 *
 * The platform's table handles a few hundred writes per second, fewer than an
 * entry's claims at peak load, so the writes of a few milliseconds share a
 * transaction. A transaction is applied whole or not at all: if the condition
 * of one write does not hold, none is applied. The writes that the reply lists
 * as conflicting end with a conflict; the others are resent at once in a new
 * transaction. If the outcome of a transaction is unknown, so is the outcome
 * of each of its writes, and each claim then reads its own row.
 */
import {List, Map, Set} from 'immutable';
import {Decision, createDecision} from '../kernel/decision';
import {Row, TransactOutcome} from '../platform/client';
import {ClaimRow, parseClaimRow, TableWriteOutcome} from './rows';

/** One compare-and-set of a row; `id` identifies it in the outcome. */
export interface PendingWrite {
  readonly id: number;
  readonly key: string;
  readonly version: number;
  readonly row: ClaimRow;
}

export interface BatchLimits {
  /** How long the first queued write waits for others, in milliseconds. */
  readonly gatherMs: number;
  /** Writes in one transaction. */
  readonly maxWrites: number;
  /** Concurrent transactions; with several, a slow one delays few writes. */
  readonly maxInFlight: number;
}

export interface BatchState {
  readonly limits: BatchLimits;
  readonly queue: List<PendingWrite>;
  /** The writes of each transaction that has no outcome yet. */
  readonly inFlight: Map<number, readonly PendingWrite[]>;
  readonly nextTransactionId: number;
  /** Whether the timer of a `gather` effect is running. */
  readonly gathering: boolean;
}

export type BatchMessage =
  | {readonly kind: 'add'; readonly write: PendingWrite}
  /** The delay of a `gather` effect has passed. */
  | {readonly kind: 'gathered'}
  | {
      readonly kind: 'transacted';
      readonly transaction: number;
      readonly outcome: TransactOutcome;
    };

export type BatchEffect =
  /** Starts a timer, so that more writes can join the transaction. */
  | {readonly kind: 'gather'; readonly ms: number}
  | {
      readonly kind: 'transact';
      readonly transaction: number;
      readonly writes: readonly PendingWrite[];
    }
  | {readonly kind: 'written'; readonly id: number; outcome: TableWriteOutcome};

type BatchDecision = Decision<BatchState, BatchEffect>;

export const BATCH_LIMITS: BatchLimits = {
  gatherMs: 3,
  maxWrites: 100,
  maxInFlight: 4,
};

export function newBatchState(limits: BatchLimits): BatchState {
  return {
    limits,
    queue: List(),
    inFlight: Map(),
    nextTransactionId: 1,
    gathering: false,
  };
}

export function decideBatch(
  state: BatchState,
  message: BatchMessage,
): BatchDecision {
  switch (message.kind) {
    case 'add':
      return enqueue(state, message.write);
    case 'gathered':
      return sendQueued({...state, gathering: false});
    case 'transacted':
      return completeTransaction(state, message.transaction, message.outcome);
  }
}

function enqueue(state: BatchState, write: PendingWrite): BatchDecision {
  const queue = state.queue.push(write);
  if (state.gathering) return createDecision({...state, queue});
  const {gatherMs: ms} = state.limits;
  return createDecision(
    {...state, queue, gathering: true},
    {kind: 'gather', ms},
  );
}

/** Sends queued writes until `maxInFlight` transactions are in flight. */
function sendQueued(state: BatchState): BatchDecision {
  let current = state;
  const effects: BatchEffect[] = [];
  while (!current.queue.isEmpty() && canStartTransaction(current)) {
    const writes = selectWrites(current);
    const taken = Set(writes.map(w => w.id));
    const queue = current.queue.filter(w => !taken.has(w.id));
    const sent = startTransaction({...current, queue}, writes);
    current = sent.state;
    effects.push(...sent.effects);
  }
  return {state: current, effects};
}

function canStartTransaction(state: BatchState): boolean {
  return state.inFlight.size < state.limits.maxInFlight;
}

/** The writes of the next transaction, at most one for each key. */
function selectWrites(state: BatchState): readonly PendingWrite[] {
  const keys = new globalThis.Set<string>();
  const writes: PendingWrite[] = [];
  for (const write of state.queue) {
    if (writes.length === state.limits.maxWrites) break;
    if (keys.has(write.key)) continue;
    keys.add(write.key);
    writes.push(write);
  }
  return writes;
}

function startTransaction(
  state: BatchState,
  writes: readonly PendingWrite[],
): BatchDecision {
  const transaction = state.nextTransactionId;
  const inFlight = state.inFlight.set(transaction, writes);
  const next = {...state, inFlight, nextTransactionId: transaction + 1};
  return createDecision(next, {kind: 'transact', transaction, writes});
}

function completeTransaction(
  state: BatchState,
  transaction: number,
  outcome: TransactOutcome,
): BatchDecision {
  const writes = state.inFlight.get(transaction);
  if (!writes) return createDecision(state);
  const withoutTransaction = {
    ...state,
    inFlight: state.inFlight.delete(transaction),
  };
  const first =
    outcome.kind === 'conflict'
      ? handleConflict(withoutTransaction, writes, outcome)
      : createDecision(
          withoutTransaction,
          ...writes.map(w => writtenEffect(w, {kind: outcome.kind})),
        );
  const rest = first.state.gathering
    ? createDecision<BatchState, BatchEffect>(first.state)
    : sendQueued(first.state);
  return {state: rest.state, effects: [...first.effects, ...rest.effects]};
}

function handleConflict(
  state: BatchState,
  writes: readonly PendingWrite[],
  {rows}: Extract<TransactOutcome, {kind: 'conflict'}>,
): BatchDecision {
  const conflicting = Map(rows.map(row => [row.key, row]));
  const effects = writes
    .filter(w => conflicting.has(w.key))
    .map(w => writtenEffect(w, conflictOutcome(conflicting.get(w.key)!)));
  const others = writes.filter(w => !conflicting.has(w.key));
  // A conflict that lists none of the rows leaves their writes uncertain.
  if (effects.length === 0) {
    const unknown = writes.map(w => writtenEffect(w, {kind: 'unknown'}));
    return createDecision(state, ...unknown);
  }
  if (others.length === 0) return createDecision(state, ...effects);
  const resent = startTransaction(state, others);
  return {state: resent.state, effects: [...effects, ...resent.effects]};
}

/**
 * The outcome of a conflicting write. It is `unavailable` if the row is not a
 * valid claim row, so that the row is not overwritten.
 */
function conflictOutcome(row: Row): TableWriteOutcome {
  try {
    return {kind: 'conflict', row: parseClaimRow(row)};
  } catch {
    return {kind: 'unavailable'};
  }
}

function writtenEffect(
  {id}: PendingWrite,
  outcome: TableWriteOutcome,
): BatchEffect {
  return {kind: 'written', id, outcome};
}
