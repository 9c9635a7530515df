/** A request under way in the dispatch task, and what is sent for it. */
import {ClaimRequest} from '../claims/claims';
import {Timer} from '../kernel/clock';
import {Window} from '../streams/window';
import {Frame, Offer, Start} from '../wire/messages';
import {RequestEffect, RequestState} from './requeststate';
import {ReplySink, IncomingRequest} from './submission';

export interface ActiveRequest {
  readonly request: IncomingRequest;
  readonly reply: ReplySink;
  /** When the current attempt's wait for a grant ends. */
  deadlineMs: number;
  grantTimer: Timer;
  readonly lifeTimer: Timer;
  readonly startedMs: number;
  state: RequestState;
  claim: ClaimRequest | undefined;
  /** The answer so far of a non-idempotent request, to be recorded. */
  recordedFrames: Frame[];
  askTimer: Timer | undefined;
  window: Window;
  /** Its body counts as queued. */
  queued: boolean;
  /** When the current attempt was started, until its first frame. */
  awaitingFirstFrameSinceMs: number | undefined;
}

/** The offer of an attempt to a sidecar. */
export function offerOf(active: ActiveRequest, attempt: number): Offer {
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

/** The start of the attempt that a sidecar granted. */
export function startOf(
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

/** The sidecars where a request has an offer or a started attempt. */
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
