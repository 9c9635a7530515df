/**
 * The state, messages and effects of the request decision, which an entry runs
 * for each of its requests.
 */
import {Set} from 'immutable';
import {Decision} from '../kernel/decision';
import {Fault} from '../kernel/errors';
import {ClaimOutcome} from '../claims/claims';
import {RecordedAnswer} from '../claims/outcomes';
import {Assembly, newAssembly} from '../streams/reassembly';
import {Answer, Failed, Frame, Grant, Refuse} from '../wire/messages';

export type RequestPhase =
  | 'offering'
  | 'claiming'
  | 'started'
  | 'asking'
  /** Waits for the retry budget. */
  | 'retrying'
  /** Releases its claim before a new attempt. */
  | 'releasing'
  | 'finished';

export interface RequestState {
  readonly phase: RequestPhase;
  readonly requestId: string;
  readonly attempt: number;
  readonly idempotent: boolean;
  /** Whether a new attempt can continue from an offset above zero. */
  readonly resumable: boolean;
  /** Sidecars that hold an offer of the current attempt. */
  readonly offered: Set<string>;
  /** Sidecars that refused or failed this request. */
  readonly tried: Set<string>;
  readonly sidecar: string;
  /** Incarnation of the sidecar that granted the current attempt. */
  readonly incarnation: string;
  readonly grantId: string;
  /** The grant was revoked, or its link lost, while claiming. */
  readonly grantEnded: boolean;
  /** A claim was sent and its outcome is not known yet. */
  readonly claimPending: boolean;
  /** Some attempt was started and has not been reported as not run. */
  readonly mayHaveRun: boolean;
  /** The caller has disconnected. */
  readonly abandoned: boolean;
  readonly assembly: Assembly;
}

export type RequestMessage =
  /** The sidecars chosen for an attempt; empty if none is left. */
  | {readonly kind: 'chosen'; readonly sidecars: readonly string[]}
  | {
      readonly kind: 'grant';
      readonly sidecar: string;
      /** The incarnation at the other end of the link. */
      readonly incarnation: string;
      readonly grant: Grant;
    }
  | {readonly kind: 'refuse'; readonly sidecar: string; refuse: Refuse}
  | {readonly kind: 'revoke'; readonly sidecar: string; grantId: string}
  | {readonly kind: 'frame'; readonly sidecar: string; readonly frame: Frame}
  | {readonly kind: 'failed'; readonly sidecar: string; failed: Failed}
  | {
      readonly kind: 'answer';
      readonly sidecar: string;
      /** The incarnation at the other end of the link. */
      readonly incarnation: string;
      readonly answer: Answer;
    }
  | {readonly kind: 'claimed'; readonly outcome: ClaimOutcome}
  /**
   * The `releaseClaim` effect is done. `taken`: another request may hold the
   * key by now and may have run.
   */
  | {readonly kind: 'released'; readonly taken?: boolean}
  | {readonly kind: 'lost'; readonly sidecar: string}
  /** A link to this incarnation was opened. */
  | {
      readonly kind: 'linked';
      readonly sidecar: string;
      readonly incarnation: string;
    }
  /** Nothing is received from the sidecar; its link is still open. */
  | {readonly kind: 'silent'; readonly sidecar: string}
  /** The time of an `askLater` effect has come. */
  | {readonly kind: 'askDue'}
  | {readonly kind: 'callerGone'}
  /** The wait for a grant has timed out. */
  | {readonly kind: 'queueDeadline'}
  /** The request has reached its maximum life and ends in any phase. */
  | {readonly kind: 'deadline'}
  /** Whether the retry budget allows the retry of a `retry` effect. */
  | {readonly kind: 'retryAllowed'; readonly allowed: boolean};

export type RequestEffect =
  | {readonly kind: 'choose'; readonly exclude: Set<string>}
  | {readonly kind: 'offer'; readonly sidecar: string; attempt: number}
  | {readonly kind: 'withdraw'; readonly sidecar: string; attempt: number}
  | {readonly kind: 'claim'; readonly sidecar: string; attempt: number}
  | {
      readonly kind: 'start';
      readonly sidecar: string;
      readonly grantId: string;
      readonly attempt: number;
      readonly resumeOffset: number;
    }
  | {readonly kind: 'cancel'; readonly sidecar: string; attempt: number}
  | {readonly kind: 'ask'; readonly sidecar: string; attempt: number}
  /** Posts `askDue` after an interval. */
  | {readonly kind: 'askLater'}
  | {readonly kind: 'deliver'; readonly frame: Frame}
  /** Delivers the recorded answer of an earlier request with the same key. */
  | {readonly kind: 'replay'; readonly answer: RecordedAnswer}
  | {readonly kind: 'releaseClaim'; readonly attempt: number}
  | {readonly kind: 'retry'}
  | {readonly kind: 'fail'; readonly fault: Fault};

export type RequestDecision = Decision<RequestState, RequestEffect>;

/**
 * The state of a new request. `resumable`: the endpoint can continue from an
 * offset, as model engines can. The answer of a plain service may differ from
 * run to run, so the partial body of one run is never completed by another.
 */
export function newRequest(
  requestId: string,
  idempotent: boolean,
  resumable = idempotent,
): RequestState {
  return {
    phase: 'offering',
    requestId,
    attempt: 1,
    idempotent,
    resumable,
    offered: Set(),
    tried: Set(),
    sidecar: '',
    incarnation: '',
    grantId: '',
    grantEnded: false,
    claimPending: false,
    mayHaveRun: false,
    abandoned: false,
    assembly: newAssembly(requestId),
  };
}

export function isForRequest(
  state: RequestState,
  ref: {readonly requestId: string},
): boolean {
  return ref.requestId === state.requestId;
}

export function isCurrentAttempt(
  state: RequestState,
  ref: {readonly requestId: string; readonly attempt: number},
): boolean {
  return isForRequest(state, ref) && ref.attempt === state.attempt;
}

export function isCurrentGrant(
  state: RequestState,
  sidecar: string,
  grant: Grant,
): boolean {
  return (
    grant.attempt === state.attempt &&
    sidecar === state.sidecar &&
    grant.grantId === state.grantId
  );
}
