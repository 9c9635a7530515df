/**
 * Pure decision that settles a claim row: `done` with the answer, or
 * `released` when the request was certainly not run.
 *
 * Only the attempt that the row names may settle it. The table may be down
 * for minutes, so the write is retried until the row is known to be settled.
 * Until then, the sidecar's record of the attempt answers repeats of the key.
 */
import {Decision, createDecision} from '../kernel/decision';
import {AttemptRef} from '../wire/messages';
import {isRowOf} from './claim';
import {
  ClaimRow,
  StoredAnswer,
  StoredRow,
  TableReadOutcome,
  TableWriteOutcome,
} from './rows';

export type Settlement =
  | {readonly kind: 'done'; readonly answer: StoredAnswer}
  | {readonly kind: 'released'};

export interface SettleState {
  readonly phase: 'writing' | 'reading' | 'waiting' | 'over';
  readonly ref: AttemptRef;
  readonly settlement: Settlement;
}

export type SettleMessage =
  | {readonly kind: 'begin'}
  | {readonly kind: 'written'; readonly outcome: TableWriteOutcome}
  | {readonly kind: 'read'; readonly outcome: TableReadOutcome}
  | {readonly kind: 'waited'};

export type SettleEffect =
  | {readonly kind: 'write'; readonly version: number; readonly row: ClaimRow}
  | {readonly kind: 'read'}
  | {readonly kind: 'wait'; readonly ms: number}
  | {readonly kind: 'finish'; readonly result: SettleResult};

/**
 * `foreign`: the row is absent, belongs to another attempt or was settled in
 * the other way; it is left unchanged.
 */
export type SettleResult = 'settled' | 'foreign';

type SettleDecision = Decision<SettleState, SettleEffect>;

const RETRY_DELAY_MS = 500;

export function newSettleState(
  ref: AttemptRef,
  settlement: Settlement,
): SettleState {
  return {phase: 'reading', ref, settlement};
}

export function decideSettle(
  state: SettleState,
  message: SettleMessage,
  now: Date,
): SettleDecision {
  switch (message.kind) {
    case 'begin':
    case 'waited':
      return createDecision({...state, phase: 'reading'}, {kind: 'read'});
    case 'written':
      if (state.phase !== 'writing') return createDecision(state);
      return handleWritten(state, message.outcome, now);
    case 'read':
      if (state.phase !== 'reading') return createDecision(state);
      if (message.outcome.kind === 'unavailable') return retry(state);
      return decideByRow(state, message.outcome.row, now);
  }
}

function handleWritten(
  state: SettleState,
  outcome: TableWriteOutcome,
  now: Date,
): SettleDecision {
  switch (outcome.kind) {
    case 'done':
      return finish(state, 'settled');
    case 'conflict':
      return decideByRow(state, outcome.row, now);
    case 'unknown':
    case 'unavailable':
      return retry(state);
  }
}

function decideByRow(
  state: SettleState,
  found: StoredRow,
  now: Date,
): SettleDecision {
  const {version, row} = found;
  const {settlement} = state;
  if (!row || !isRowOf(row, state.ref)) return finish(state, 'foreign');
  if (row.state === settlement.kind) return finish(state, 'settled');
  const unsettled = row.state === 'claimed' || row.state === 'unknown';
  if (!unsettled) return finish(state, 'foreign');
  const next: ClaimRow = {
    ...row,
    ...settledFields(settlement),
    lost: undefined,
  };
  const changedMs = now.getTime();
  return createDecision(
    {...state, phase: 'writing'},
    {kind: 'write', version, row: {...next, changedMs}},
  );
}

function settledFields(settlement: Settlement): Partial<ClaimRow> {
  if (settlement.kind === 'released') return {state: 'released'};
  return {state: 'done', answer: settlement.answer};
}

function retry(state: SettleState): SettleDecision {
  return createDecision(
    {...state, phase: 'waiting'},
    {kind: 'wait', ms: RETRY_DELAY_MS},
  );
}

function finish(state: SettleState, result: SettleResult): SettleDecision {
  return createDecision({...state, phase: 'over'}, {kind: 'finish', result});
}
