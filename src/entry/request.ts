/**
 * The request decision: the life of one request in an entry, as a pure
 * function from a state and a message to the next state and its effects.
 *
 * A request is offered to two sidecars, started at the first that grants it and
 * withdrawn from the other. Until the start is sent, the entry itself can tell
 * that the request was not run. Afterwards only the outcome table of the
 * sidecar incarnation that received the start shows it. A non-idempotent
 * request claims its key between the grant and the start.
 *
 * Messages may be late, repeated, out of order or meant for another request, so
 * each is checked against the request, the attempt and the phase.
 */
import {Set} from 'immutable';
import {createDecision} from '../kernel/decision';
import {ClaimOutcome} from '../claims/claims';
import {receiveFrame} from '../streams/reassembly';
import {Answer, Failed, Frame, Grant, Refuse} from '../wire/messages';
import {
  claimRefusalEffect,
  endWithFault,
  notRunOrUnknownFault,
  outcomeUnknownFault,
} from './requestfaults';
import {
  isCurrentAttempt,
  isCurrentGrant,
  RequestDecision,
  isForRequest,
  RequestEffect,
  RequestMessage,
  RequestState,
} from './requeststate';
import {
  beginNextAttempt,
  askOutcome,
  claimKey,
  withdrawOrCancelEffects,
  dropOffer,
  releaseClaim,
  startAttempt,
  withdrawEffects,
} from './requeststeps';

export function decideRequest(
  state: RequestState,
  message: RequestMessage,
): RequestDecision {
  if (state.phase === 'finished') return decideAfterFinish(state, message);
  switch (message.kind) {
    case 'chosen':
      return onChosen(state, message.sidecars);
    case 'grant':
      return onGrant(
        state,
        message.sidecar,
        message.incarnation,
        message.grant,
      );
    case 'refuse':
      return onRefuse(state, message.sidecar, message.refuse);
    case 'revoke':
      return onRevoke(state, message.sidecar, message.grantId);
    case 'frame':
      return onFrame(state, message.sidecar, message.frame);
    case 'failed':
      return onFailed(state, message.sidecar, message.failed);
    case 'answer':
      return onAnswer(
        state,
        message.sidecar,
        message.incarnation,
        message.answer,
      );
    case 'claimed':
      return onClaimed(state, message.outcome);
    case 'released':
      return onReleased(state, message.taken ?? false);
    case 'lost':
      return onLost(state, message.sidecar);
    case 'linked':
      return onLinked(state, message.sidecar, message.incarnation);
    case 'silent':
      return onSilent(state, message.sidecar);
    case 'askDue':
      return state.phase === 'asking'
        ? askOutcome(state)
        : createDecision(state);
    case 'retryAllowed':
      return onRetryAllowed(state, message.allowed);
    case 'callerGone':
      return onCallerGone(state);
    case 'queueDeadline':
      return onQueueDeadline(state);
    case 'deadline':
      return onDeadline(state);
  }
}

/** After its end, a request still withdraws grants and releases its claim. */
function decideAfterFinish(
  state: RequestState,
  message: RequestMessage,
): RequestDecision {
  if (message.kind === 'grant' && isForRequest(state, message.grant)) {
    const {sidecar, grant} = message;
    // A repeated grant must not lead to a withdrawal of the attempt that ran.
    if (isCurrentGrant(state, sidecar, grant)) return createDecision(state);
    return createDecision(state, {
      kind: 'withdraw',
      sidecar,
      attempt: grant.attempt,
    });
  }
  if (message.kind === 'claimed' && state.claimPending) {
    const next = {...state, claimPending: false};
    if (message.outcome.kind !== 'claimed') return createDecision(next);
    return createDecision(next, {kind: 'releaseClaim', attempt: state.attempt});
  }
  return createDecision(state);
}

function onChosen(
  state: RequestState,
  sidecars: readonly string[],
): RequestDecision {
  if (state.phase !== 'offering') return createDecision(state);
  const untried = sidecars.filter(
    s => !state.offered.has(s) && !state.tried.has(s),
  );
  if (untried.length === 0) {
    if (!state.offered.isEmpty()) return createDecision(state);
    return endWithFault(
      state,
      notRunOrUnknownFault(state, 'no endpoint takes this request now'),
    );
  }
  const {attempt} = state;
  const offers = untried.map(sidecar => ({
    kind: 'offer' as const,
    sidecar,
    attempt,
  }));
  return {
    state: {...state, offered: state.offered.union(untried)},
    effects: offers,
  };
}

function onGrant(
  state: RequestState,
  sidecar: string,
  incarnation: string,
  grant: Grant,
): RequestDecision {
  if (!isForRequest(state, grant)) return createDecision(state);
  const current = isCurrentAttempt(state, grant);
  if (state.phase !== 'offering' || !current || !state.offered.has(sidecar)) {
    const repeated =
      state.phase !== 'offering' && isCurrentGrant(state, sidecar, grant);
    if (repeated) return createDecision(state);
    const {attempt} = grant;
    return createDecision(state, {kind: 'withdraw', sidecar, attempt});
  }
  const withdrawals = withdrawEffects(state, sidecar);
  const next: RequestState = {
    ...state,
    sidecar,
    incarnation,
    grantId: grant.grantId,
    grantEnded: false,
    offered: Set<string>(),
  };
  const decision = state.idempotent ? startAttempt(next) : claimKey(next);
  return {
    state: decision.state,
    effects: [...withdrawals, ...decision.effects],
  };
}

function onClaimed(
  state: RequestState,
  outcome: ClaimOutcome,
): RequestDecision {
  if (state.phase !== 'claiming' || !state.claimPending) {
    return createDecision(state);
  }
  const next: RequestState = {...state, claimPending: false};
  const {sidecar, attempt} = state;
  if (outcome.kind === 'claimed') {
    return state.grantEnded ? releaseClaim(next) : startAttempt(next);
  }
  const ended: RequestState = {...next, phase: 'finished'};
  const withdraw = {kind: 'withdraw' as const, sidecar, attempt};
  return createDecision(ended, withdraw, claimRefusalEffect(next, outcome));
}

function onRefuse(
  state: RequestState,
  sidecar: string,
  refuse: Refuse,
): RequestDecision {
  if (!isCurrentAttempt(state, refuse)) return createDecision(state);
  if (state.phase === 'offering') return dropOffer(state, sidecar);
  if (state.phase !== 'started' || sidecar !== state.sidecar) {
    return createDecision(state);
  }
  // The refusal may answer a repeated offer or start while the first one runs.
  // For a request that must not run twice, the outcome table decides.
  if (!state.idempotent) return askOutcome({...state, phase: 'asking'});
  if (!state.resumable && state.assembly.offset > 0)
    return createDecision(state);
  const {attempt} = state;
  const next = beginNextAttempt({...state, tried: state.tried.add(sidecar)});
  const cancel = {kind: 'cancel' as const, sidecar, attempt};
  return {state: next.state, effects: [cancel, ...next.effects]};
}

function onRevoke(
  state: RequestState,
  sidecar: string,
  grantId: string,
): RequestDecision {
  const isCurrent = state.sidecar === sidecar && state.grantId === grantId;
  // After the start was sent, the sidecar itself refuses it.
  if (!isCurrent || state.phase !== 'claiming') return createDecision(state);
  return createDecision({...state, grantEnded: true});
}

function onReleased(state: RequestState, taken: boolean): RequestDecision {
  if (state.phase !== 'releasing') return createDecision(state);
  if (state.abandoned) return createDecision({...state, phase: 'finished'});
  // If another request has taken the key and run, "not run" would be wrong.
  return beginNextAttempt({...state, mayHaveRun: taken});
}

function onFrame(
  state: RequestState,
  sidecar: string,
  frame: Frame,
): RequestDecision {
  const expectsFrames = state.phase === 'started' || state.phase === 'asking';
  if (!expectsFrames || sidecar !== state.sidecar) return createDecision(state);
  const received = receiveFrame(state.assembly, frame);
  if (received.kind === 'dropped') return createDecision(state);
  if (received.kind === 'broken') {
    return state.phase === 'asking'
      ? createDecision(state)
      : onInterruption(state, true);
  }
  const {assembly} = received;
  const phase = assembly.complete ? 'finished' : state.phase;
  const deliver = {kind: 'deliver' as const, frame: received.frame};
  return createDecision({...state, assembly, phase}, deliver);
}

function onFailed(
  state: RequestState,
  sidecar: string,
  message: Failed,
): RequestDecision {
  const expectsFrames = state.phase === 'started' || state.phase === 'asking';
  const fromCurrentAttempt =
    isCurrentAttempt(state, message) && sidecar === state.sidecar;
  if (!expectsFrames || !fromCurrentAttempt) return createDecision(state);
  if (state.idempotent) return onInterruption(state, false);
  if (message.run === 'not-run') return onNotRun(state);
  const {run} = message;
  return endWithFault(state, {...outcomeUnknownFault(), run});
}

/** The sidecar reports that a non-idempotent attempt was not run. */
function onNotRun(state: RequestState): RequestDecision {
  // A body that was received contradicts the report, so the outcome is unknown.
  if (state.assembly.offset > 0)
    return endWithFault(state, outcomeUnknownFault());
  return releaseClaim(state);
}

function onLost(state: RequestState, sidecar: string): RequestDecision {
  if (state.phase === 'offering') return dropOffer(state, sidecar);
  if (sidecar !== state.sidecar) return createDecision(state);
  if (state.phase === 'started') return onInterruption(state, false);
  if (state.phase === 'claiming') {
    return createDecision({...state, grantEnded: true});
  }
  return createDecision(state);
}

/**
 * Asks again at once when a link is reopened. A new incarnation doesn't know
 * the outcome, so the request ends.
 */
function onLinked(
  state: RequestState,
  sidecar: string,
  incarnation: string,
): RequestDecision {
  if (state.phase !== 'asking' || sidecar !== state.sidecar) {
    return createDecision(state);
  }
  if (incarnation !== state.incarnation)
    return endWithFault(state, outcomeUnknownFault());
  const {attempt} = state;
  return createDecision(state, {kind: 'ask', sidecar, attempt});
}

function onSilent(state: RequestState, sidecar: string): RequestDecision {
  if (state.phase !== 'offering' || !state.offered.has(sidecar)) {
    return createDecision(state);
  }
  const {attempt} = state;
  const next = dropOffer(state, sidecar);
  const withdraw = {kind: 'withdraw' as const, sidecar, attempt};
  return {state: next.state, effects: [withdraw, ...next.effects]};
}

/**
 * Handles a started attempt that broke off: a non-idempotent request asks for
 * its outcome. An idempotent request is retried, unless part of an answer that
 * cannot be resumed was already delivered.
 */
function onInterruption(state: RequestState, cancel: boolean): RequestDecision {
  const {sidecar, attempt} = state;
  if (!state.idempotent) return askOutcome({...state, phase: 'asking'});
  const cancels: readonly RequestEffect[] = cancel
    ? [{kind: 'cancel', sidecar, attempt}]
    : [];
  if (!state.resumable && state.assembly.offset > 0) {
    const ended = endWithFault(state, outcomeUnknownFault());
    return {state: ended.state, effects: [...cancels, ...ended.effects]};
  }
  const tried = state.tried.add(sidecar);
  return {
    state: {...state, tried, phase: 'retrying'},
    effects: [...cancels, {kind: 'retry'}],
  };
}

function onRetryAllowed(
  state: RequestState,
  allowed: boolean,
): RequestDecision {
  if (state.phase !== 'retrying') return createDecision(state);
  if (allowed) return beginNextAttempt(state);
  return endWithFault(
    state,
    notRunOrUnknownFault(state, 'the retry budget is used up'),
  );
}

function onAnswer(
  state: RequestState,
  sidecar: string,
  incarnation: string,
  answer: Answer,
): RequestDecision {
  const fromCurrentAttempt =
    isCurrentAttempt(state, answer) && sidecar === state.sidecar;
  if (state.phase !== 'asking' || !fromCurrentAttempt)
    return createDecision(state);
  // Another incarnation did not receive the start, so its "not run" is void.
  if (incarnation !== state.incarnation)
    return endWithFault(state, outcomeUnknownFault());
  if (answer.outcome === 'ran') return deliverMissingPart(state, answer);
  if (answer.outcome === 'not-run') return onNotRun(state);
  // A sidecar that does not know the outcome will not learn it later.
  if (answer.outcome === 'unknown')
    return endWithFault(state, outcomeUnknownFault());
  return createDecision(state);
}

/** Delivers the missing part of an answer that the sidecar has recorded. */
function deliverMissingPart(
  state: RequestState,
  answer: Answer,
): RequestDecision {
  const {body, status, headers} = answer;
  const {requestId, attempt} = state;
  const frame: Frame = {
    requestId,
    attempt,
    offset: 0,
    count: body.length,
    data: body,
    end: true,
    total: body.length,
    finish: '',
    status,
    headers,
    cachedTokens: 0,
    lengths: [],
  };
  const received = receiveFrame(state.assembly, frame);
  if (received.kind !== 'accepted')
    return endWithFault(state, outcomeUnknownFault());
  return createDecision(
    {...state, assembly: received.assembly, phase: 'finished'},
    {kind: 'deliver', frame: received.frame},
  );
}

function onCallerGone(state: RequestState): RequestDecision {
  const {attempt, sidecar} = state;
  const ended: RequestState = {...state, phase: 'finished', abandoned: true};
  switch (state.phase) {
    case 'offering':
      return {state: ended, effects: withdrawEffects(state)};
    case 'claiming':
      return createDecision(ended, {kind: 'withdraw', sidecar, attempt});
    case 'started':
      if (state.idempotent) {
        return createDecision(ended, {kind: 'cancel', sidecar, attempt});
      }
      // A started non-idempotent request runs to its end, to be recorded.
      return createDecision({...state, abandoned: true});
    case 'retrying':
      return createDecision(ended);
    default:
      return createDecision({...state, abandoned: true});
  }
}

function onQueueDeadline(state: RequestState): RequestDecision {
  if (state.phase !== 'offering') return createDecision(state);
  return onDeadline(state);
}

function onDeadline(state: RequestState): RequestDecision {
  const ended = endWithFault(
    state,
    notRunOrUnknownFault(state, 'no endpoint had room in time'),
  );
  return {
    state: ended.state,
    effects: [...withdrawOrCancelEffects(state), ...ended.effects],
  };
}
