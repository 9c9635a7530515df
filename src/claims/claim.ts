/**
 * Pure decision that claims an idempotency key for one request.
 *
 * The claim row of a key decides which request may start. It is only changed
 * by compare-and-set. Its version grows until the row is deleted, long after
 * it was settled, so a delayed write cannot undo a newer one. A claim write
 * that is delayed until after the deletion is not followed by a run, because
 * the grant that it was made for has expired.
 *
 * If the holder of a claim died or is paused, the sidecar that the row names
 * is asked about the attempt. When it answers "not run", it also keeps a
 * tombstone, which fences off a holder that resumes: the holder's start has
 * the request id and attempt of the tombstone, and the sidecar refuses it.
 * Another incarnation of the sidecar refuses the start because it never issued
 * the grant. The holder's later writes to the row carry that request id and
 * attempt too and are dropped, because the row then has a higher attempt
 * number.
 */
import {Decision, createDecision} from '../kernel/decision';
import {AttemptRef} from '../wire/messages';
import {ClaimRequest} from './claims';
import {RecordedAnswer} from './outcomes';
import {
  ClaimRow,
  StoredAnswer,
  StoredRow,
  TableReadOutcome,
  TableWriteOutcome,
} from './rows';

/** What the sidecar that the row names reports about an attempt. */
export type AskOutcome =
  | {readonly kind: 'running'}
  | {readonly kind: 'ran'; readonly answer: RecordedAnswer}
  /** The sidecar keeps a tombstone, so the attempt cannot start later. */
  | {readonly kind: 'not-run'}
  /** The sidecar cannot tell, or another incarnation of it answered. */
  | {readonly kind: 'unknown'}
  | {readonly kind: 'unreachable'};

export interface ClaimState {
  readonly phase: 'writing' | 'reading' | 'asking' | 'waiting' | 'over';
  readonly request: ClaimRequest;
  readonly deadlineMs: number;
  /** If true, an absent row does not prove that the key is unused. */
  readonly rowMayHaveBeenDeleted: boolean;
  /** The row as last read, or as the claim write under way sets it. */
  readonly lastRow?: StoredRow;
  /** Whether the write under way claims the key or marks it as unknown. */
  readonly writePurpose: 'claim' | 'unknown';
  /** The attempt of another holder that was already given START_GRACE_MS. */
  readonly awaitedAttempt: string;
  /** The outcome of a claim write is unknown; it may still take effect. */
  readonly ownWriteUncertain: boolean;
}

export type ClaimMessage =
  | {readonly kind: 'begin'}
  | {readonly kind: 'written'; readonly outcome: TableWriteOutcome}
  | {readonly kind: 'read'; readonly outcome: TableReadOutcome}
  | {readonly kind: 'asked'; readonly outcome: AskOutcome}
  | {readonly kind: 'waited'};

export type ClaimResult =
  | {readonly kind: 'claimed'; readonly version: number}
  | {readonly kind: 'stored'; readonly answer: StoredAnswer}
  | {readonly kind: 'recorded'; readonly answer: RecordedAnswer}
  | {readonly kind: 'conflict'}
  | {readonly kind: 'forgotten'}
  | {readonly kind: 'running'}
  | {readonly kind: 'unavailable'}
  | {readonly kind: 'unknown'};

export type ClaimEffect =
  | {readonly kind: 'write'; readonly version: number; readonly row: ClaimRow}
  | {readonly kind: 'read'}
  | {
      readonly kind: 'ask';
      readonly sidecar: string;
      readonly incarnation: string;
      readonly ref: AttemptRef;
    }
  | {readonly kind: 'wait'; readonly ms: number}
  /** Records the answer of another holder's attempt, which ran, in the row. */
  | {readonly kind: 'record'; readonly ref: AttemptRef; answer: RecordedAnswer}
  /** Releases the row, which this request may hold but will not use. */
  | {readonly kind: 'release'; readonly ref: AttemptRef}
  | {readonly kind: 'finish'; readonly result: ClaimResult};

type ClaimDecision = Decision<ClaimState, ClaimEffect>;

/**
 * How long another holder may take from its claim to its start before its
 * sidecar is asked. Without this, two healthy entries that race for a key
 * would cause tombstones for each other's attempts.
 */
export const START_GRACE_MS = 250;
/** Delay before the table is read or a sidecar is asked again. */
export const POLL_INTERVAL_MS = 100;

/** `deadlineMs` is the time by which an earlier claim must be resolved. */
export function newClaimState(
  request: ClaimRequest,
  deadlineMs: number,
  rowMayHaveBeenDeleted = false,
): ClaimState {
  return {
    phase: 'writing',
    request,
    deadlineMs,
    rowMayHaveBeenDeleted,
    writePurpose: 'claim',
    awaitedAttempt: '',
    ownWriteUncertain: false,
  };
}

export function decideClaim(
  state: ClaimState,
  message: ClaimMessage,
  now: Date,
): ClaimDecision {
  switch (message.kind) {
    case 'begin':
      if (!state.rowMayHaveBeenDeleted) return writeClaim(state, 0, 1, now);
      return createDecision({...state, phase: 'reading'}, {kind: 'read'});
    case 'written':
      if (state.phase !== 'writing') return createDecision(state);
      return handleWritten(state, message.outcome, now);
    case 'read':
      if (state.phase !== 'reading') return createDecision(state);
      return handleRead(state, message.outcome, now);
    case 'asked':
      if (state.phase !== 'asking') return createDecision(state);
      return handleAskOutcome(state, message.outcome, now);
    case 'waited':
      if (state.phase !== 'waiting') return createDecision(state);
      return createDecision({...state, phase: 'reading'}, {kind: 'read'});
  }
}

function writeClaim(
  state: ClaimState,
  version: number,
  attempt: number,
  now: Date,
): ClaimDecision {
  const {bodyHash, requestId, holder, sidecar, incarnation} = state.request;
  const row: ClaimRow = {
    state: 'claimed',
    bodyHash,
    attempt,
    requestId,
    requestAttempt: state.request.attempt,
    holder,
    sidecar,
    incarnation,
    changedMs: now.getTime(),
  };
  const next: ClaimState = {...state, phase: 'writing', writePurpose: 'claim'};
  const lastRow = {version, row};
  return createDecision({...next, lastRow}, {kind: 'write', version, row});
}

function handleWritten(
  state: ClaimState,
  outcome: TableWriteOutcome,
  now: Date,
): ClaimDecision {
  if (outcome.kind === 'conflict') return decideByRow(state, outcome.row, now);
  if (state.writePurpose === 'unknown') return finish(state, {kind: 'unknown'});
  switch (outcome.kind) {
    case 'done': {
      const version = state.lastRow!.version + 1;
      return finish(state, {kind: 'claimed', version});
    }
    case 'unknown':
      return createDecision(
        {...state, phase: 'reading', ownWriteUncertain: true},
        {kind: 'read'},
      );
    case 'unavailable':
      return giveUp(state);
  }
}

function handleRead(
  state: ClaimState,
  outcome: TableReadOutcome,
  now: Date,
): ClaimDecision {
  if (outcome.kind === 'row') return decideByRow(state, outcome.row, now);
  if (now.getTime() >= state.deadlineMs) return giveUp(state);
  return wait(state, POLL_INTERVAL_MS);
}

/** Decides by the row that was found in the table. */
function decideByRow(
  state: ClaimState,
  found: StoredRow,
  now: Date,
): ClaimDecision {
  const {version, row} = found;
  const next = {...state, lastRow: found};
  const late = now.getTime() >= state.deadlineMs;
  if (!row && state.rowMayHaveBeenDeleted)
    return finish(next, {kind: 'forgotten'});
  if (!row) return late ? giveUp(next) : writeClaim(next, version, 1, now);
  if (row.bodyHash !== state.request.bodyHash) {
    return finish(next, {kind: 'conflict'});
  }
  if (isRowOf(row, attemptRef(state.request))) return finishOwnRow(next, found);
  switch (row.state) {
    case 'done':
      return finish(next, {kind: 'stored', answer: row.answer!});
    case 'released':
      if (late) return giveUp(next);
      return writeClaim(next, version, row.attempt + 1, now);
    case 'unknown':
      if (row.lost) return finish(next, {kind: 'unknown'});
      return askSidecar(next, row);
    case 'claimed':
      return resolveForeignClaim(next, row);
  }
}

/** The row is of this request: its write took effect, the reply was lost. */
function finishOwnRow(
  state: ClaimState,
  {version, row}: StoredRow,
): ClaimDecision {
  if (row!.state !== 'claimed') return giveUp(state);
  return finish(state, {kind: 'claimed', version});
}

function resolveForeignClaim(state: ClaimState, row: ClaimRow): ClaimDecision {
  const attempt = `${row.requestId}#${row.requestAttempt}`;
  if (state.awaitedAttempt === attempt) return askSidecar(state, row);
  return wait({...state, awaitedAttempt: attempt}, START_GRACE_MS);
}

function askSidecar(state: ClaimState, row: ClaimRow): ClaimDecision {
  const {sidecar, incarnation} = row;
  const ref = {requestId: row.requestId, attempt: row.requestAttempt};
  const asking: ClaimState = {...state, phase: 'asking'};
  return createDecision(asking, {kind: 'ask', sidecar, incarnation, ref});
}

function handleAskOutcome(
  state: ClaimState,
  outcome: AskOutcome,
  now: Date,
): ClaimDecision {
  const {version, row} = state.lastRow!;
  const late = now.getTime() >= state.deadlineMs;
  switch (outcome.kind) {
    case 'not-run':
      return writeClaim(state, version, row!.attempt + 1, now);
    case 'ran':
      return finishWithEarlierAnswer(state, row!, outcome.answer);
    case 'running':
      return late
        ? finish(state, {kind: 'running'})
        : wait(state, POLL_INTERVAL_MS);
    case 'unknown':
      return writeUnknown(state, true, now);
    case 'unreachable':
      return late
        ? writeUnknown(state, false, now)
        : wait(state, POLL_INTERVAL_MS);
  }
}

function finishWithEarlierAnswer(
  state: ClaimState,
  row: ClaimRow,
  answer: RecordedAnswer,
): ClaimDecision {
  const ref = {requestId: row.requestId, attempt: row.requestAttempt};
  const finished = finish(state, {kind: 'recorded', answer});
  const effects: readonly ClaimEffect[] = [
    {kind: 'record', ref, answer},
    ...finished.effects,
  ];
  return {state: finished.state, effects};
}

/** `lost`: the sidecar can no longer tell the outcome and isn't asked again. */
function writeUnknown(
  state: ClaimState,
  lost: boolean,
  now: Date,
): ClaimDecision {
  const {version, row: old} = state.lastRow!;
  if (old!.state === 'unknown' && old!.lost === lost) {
    return finish(state, {kind: 'unknown'});
  }
  const changedMs = now.getTime();
  const row: ClaimRow = {...old!, state: 'unknown', lost, changedMs};
  const next: ClaimState = {
    ...state,
    phase: 'writing',
    writePurpose: 'unknown',
  };
  return createDecision(next, {kind: 'write', version, row});
}

function wait(state: ClaimState, ms: number): ClaimDecision {
  return createDecision({...state, phase: 'waiting'}, {kind: 'wait', ms});
}

/** Ends without a start; releases a row that this request may hold. */
function giveUp(state: ClaimState): ClaimDecision {
  const finished = finish(state, {kind: 'unavailable'});
  if (!state.ownWriteUncertain) return finished;
  const release = {kind: 'release' as const, ref: attemptRef(state.request)};
  return {state: finished.state, effects: [release, ...finished.effects]};
}

function finish(state: ClaimState, result: ClaimResult): ClaimDecision {
  return createDecision({...state, phase: 'over'}, {kind: 'finish', result});
}

export function attemptRef({requestId, attempt}: AttemptRef): AttemptRef {
  return {requestId, attempt};
}

export function isRowOf(row: ClaimRow, ref: AttemptRef): boolean {
  return row.requestId === ref.requestId && row.requestAttempt === ref.attempt;
}
