/**
 * The faults with which a request ends without an answer. A fault says "not
 * run" only if no attempt of the request can have run.
 */
import {createDecision} from '../kernel/decision';
import {Fault, createFault} from '../kernel/errors';
import {ClaimOutcome} from '../claims/claims';
import {RequestDecision, RequestEffect, RequestState} from './requeststate';

const RETRY_AFTER_MS = 1_000;

/** The effect that ends a request whose claim was not granted. */
export function claimRefusalEffect(
  state: RequestState,
  outcome: ClaimOutcome,
): RequestEffect {
  switch (outcome.kind) {
    case 'recorded':
      return {kind: 'replay', answer: outcome.answer};
    case 'conflict':
      return {
        kind: 'fail',
        fault: createFault(
          'key_conflict',
          'this Idempotency-Key was used with another body; use a new key',
        ),
      };
    case 'running':
      // "Not run" would be wrong: the earlier request with this key is running.
      return {
        kind: 'fail',
        fault: createFault(
          'outcome_unknown',
          'a request with this key is running; repeat it for its answer',
          RETRY_AFTER_MS,
        ),
      };
    case 'forgotten':
      return {
        kind: 'fail',
        fault: createFault(
          'outcome_unknown',
          'this Idempotency-Key is older than keys are kept; look its order up and use a new key',
        ),
      };
    case 'unknown':
      return {kind: 'fail', fault: outcomeUnknownFault()};
    default:
      return {
        kind: 'fail',
        fault: notRunOrUnknownFault(
          state,
          'the claim store is unreachable; a repeat must keep its key',
        ),
      };
  }
}

export function endWithFault(
  state: RequestState,
  fault: Fault,
): RequestDecision {
  return createDecision({...state, phase: 'finished'}, {kind: 'fail', fault});
}

/** The fault "not run", or "outcome unknown" if an attempt may have run. */
export function notRunOrUnknownFault(
  state: RequestState,
  message: string,
): Fault {
  return state.mayHaveRun ? outcomeUnknownFault() : notRunFault(message);
}

function notRunFault(message: string): Fault {
  return createFault('not_run', `${message}; try again later`, RETRY_AFTER_MS);
}

export function outcomeUnknownFault(): Fault {
  return createFault(
    'outcome_unknown',
    'the request may have run; check its effect before you repeat it',
  );
}

/** The account's queued bodies have reached their limit. */
export function queueFullFault(): Fault {
  return createFault(
    'over_limit',
    "the account's queued requests fill its memory; wait for answers",
    RETRY_AFTER_MS,
  );
}
