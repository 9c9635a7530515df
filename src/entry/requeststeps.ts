/**
 * Steps of the request decision that are shared by the handlers of several
 * messages.
 */
import {Set} from 'immutable';
import {createDecision} from '../kernel/decision';
import {continueInAttempt} from '../streams/reassembly';
import {RequestDecision, RequestEffect, RequestState} from './requeststate';

/** Withdraws the offers of the current attempt, except that to `except`. */
export function withdrawEffects(
  state: RequestState,
  except?: string,
): readonly RequestEffect[] {
  const {attempt} = state;
  return state.offered
    .toArray()
    .filter(sidecar => sidecar !== except)
    .map(sidecar => ({kind: 'withdraw' as const, sidecar, attempt}));
}

export function claimKey(state: RequestState): RequestDecision {
  const {sidecar, attempt} = state;
  return createDecision(
    {...state, phase: 'claiming', claimPending: true},
    {kind: 'claim', sidecar, attempt},
  );
}

export function startAttempt(state: RequestState): RequestDecision {
  const {sidecar, grantId, attempt} = state;
  const resumeOffset = state.assembly.offset;
  return createDecision(
    {...state, phase: 'started', mayHaveRun: true},
    {kind: 'start', sidecar, grantId, attempt, resumeOffset},
  );
}

/** Releases the claim; the current attempt is known not to have run. */
export function releaseClaim(state: RequestState): RequestDecision {
  const next: RequestState = {
    ...state,
    phase: 'releasing',
    mayHaveRun: false,
    tried: state.tried.add(state.sidecar),
  };
  return createDecision(next, {kind: 'releaseClaim', attempt: state.attempt});
}

/** Drops the offer to a sidecar that refused or was lost; chooses another. */
export function dropOffer(
  state: RequestState,
  sidecar: string,
): RequestDecision {
  if (!state.offered.has(sidecar)) return createDecision(state);
  const offered = state.offered.delete(sidecar);
  const tried = state.tried.add(sidecar);
  const next = {...state, offered, tried};
  return createDecision(next, {kind: 'choose', exclude: tried.union(offered)});
}

/** Asks for the outcome now and, as the answer may be lost, again later. */
export function askOutcome(state: RequestState): RequestDecision {
  const {sidecar, attempt} = state;
  return createDecision(
    state,
    {kind: 'ask', sidecar, attempt},
    {kind: 'askLater'},
  );
}

/** Begins a new attempt, which continues from the offset reached. */
export function beginNextAttempt(state: RequestState): RequestDecision {
  const attempt = state.attempt + 1;
  const next: RequestState = {
    ...state,
    attempt,
    phase: 'offering',
    sidecar: '',
    incarnation: '',
    grantId: '',
    offered: Set(),
    assembly: continueInAttempt(state.assembly, attempt),
  };
  return createDecision(next, {kind: 'choose', exclude: state.tried});
}

/** Withdraws or cancels the offers and the attempt of a request that ends. */
export function withdrawOrCancelEffects(
  state: RequestState,
): readonly RequestEffect[] {
  const {attempt, sidecar} = state;
  if (state.phase === 'offering') return withdrawEffects(state);
  if (state.phase === 'claiming') {
    return [{kind: 'withdraw', sidecar, attempt}];
  }
  if (state.phase === 'started' && state.idempotent) {
    return [{kind: 'cancel', sidecar, attempt}];
  }
  return [];
}
