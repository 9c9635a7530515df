/** An active request of the dispatch task, and the messages built from it. */
import {ClaimRequest} from '../claims/claims';
import {Timer} from '../kernel/clock';
import {Window} from '../streams/flowcontrol';
import {Frame, Offer, Start} from '../wire/messages';
import {RequestEffect, RequestState} from './requeststate';
import {IncomingRequest, ReplySink} from './submission';

export interface ActiveRequest {
  readonly request: IncomingRequest;
  readonly reply: ReplySink;
  /** When the current attempt's wait for a grant times out. */
  deadlineMs: number;
  grantTimer: Timer;
  readonly lifetimeTimer: Timer;
  readonly startedMs: number;
  state: RequestState;
  claim: ClaimRequest | undefined;
  /** Frames of a non-idempotent request's answer, to be recorded at its end. */
  recordedFrames: Frame[];
  outcomeTimer: Timer | undefined;
  window: Window;
  /** Whether the body counts towards its account's queued bytes. */
  holdsQueuedBytes: boolean;
  /** When the current attempt began (monotonic); undefined after a frame. */
  awaitingFirstFrameSinceMs: number | undefined;
}

/** The offer message for an attempt. */
export function createOffer(active: ActiveRequest, attempt: number): Offer {
  const {request, state, deadlineMs} = active;
  const {account, caller, targetKind, target, priority, idempotent} = request;
  const {promptTokens, maxOutputTokens, prefixHashes} = request;
  return {
    requestId: state.requestId,
    attempt,
    account,
    caller,
    targetKind,
    target,
    promptTokens,
    maxOutputTokens,
    prefixHashes,
    priority,
    deadlineMs,
    idempotent,
  };
}

/** The start message for the attempt that a sidecar granted. */
export function createStart(
  {request, state, window}: ActiveRequest,
  effect: Extract<RequestEffect, {kind: 'start'}>,
): Start {
  const {grantId, attempt, resumeOffset} = effect;
  const {body, method, path, headers} = request;
  return {
    grantId,
    requestId: state.requestId,
    attempt,
    body,
    resumeOffset,
    creditBytes: Math.max(0, window.credit),
    method,
    path,
    headers,
  };
}

/** The sidecars that hold an offer or a started attempt of a request. */
export function engagedSidecars(state: RequestState): readonly string[] {
  switch (state.phase) {
    case 'offering':
      return state.offered.toArray();
    case 'claiming':
    case 'started':
    case 'asking':
      return [state.sidecar];
    default:
      return [];
  }
}
