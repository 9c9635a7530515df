/**
 * Claims the keys of an entry's non-idempotent requests, records their answers
 * and releases the claims of requests that were not run.
 */
import {createHash} from 'node:crypto';
import {ClaimOutcome, ClaimRequest, Claims} from '../claims/claims';
import {RecordedAnswer} from '../claims/outcomes';
import {Log} from '../observe/log';
import {Timeline} from '../observe/timeline';
import {AttemptRef, Frame} from '../wire/messages';
import {IncomingRequest} from './submission';

export interface RequestClaimsParts {
  readonly instance: string;
  readonly claims: Claims;
  readonly log: Log;
  readonly timeline: Timeline;
}

/** The attempt that a claim is for and the sidecar that granted it. */
export interface GrantedAttempt extends AttemptRef {
  readonly sidecar: string;
  readonly incarnation: string;
}

export class RequestClaims {
  constructor(private readonly parts: RequestClaimsParts) {}

  /** Sends the claim of a request's key and returns it before its outcome. */
  claim(
    request: IncomingRequest,
    granted: GrantedAttempt,
    onOutcome: (outcome: ClaimOutcome) => void,
  ): ClaimRequest {
    const {claims, instance, timeline, log} = this.parts;
    const {requestId} = granted;
    const claimRequest: ClaimRequest = {
      ...granted,
      account: request.account,
      service: request.target,
      key: request.idempotencyKey,
      bodyHash: requestHash(request),
      holder: instance,
    };
    timeline.record('claim', requestId, request.idempotencyKey);
    const report = (outcome: ClaimOutcome) => {
      timeline.record('claim answered', requestId, outcome.kind);
      onOutcome(outcome);
    };
    claims.claim(claimRequest).then(report, (error: unknown) => {
      // Nothing was started. If a row was written nevertheless, the next use
      // of the key settles it.
      log('error', 'claim request failed; request not started', {
        requestId,
        reason: String(error),
      });
      report({kind: 'unavailable'});
    });
    return claimRequest;
  }

  record(claim: ClaimRequest, answer: RecordedAnswer): void {
    const {requestId} = claim;
    this.parts.claims.record(claim, answer).catch((error: unknown) => {
      const reason = String(error);
      this.parts.log('warn', 'recording an answer under its claim failed', {
        requestId,
        reason,
      });
    });
  }

  /**
   * Releases the key and reports whether another request has taken it in the
   * meantime. A failed release counts as taken.
   */
  release(claim: ClaimRequest, onReleased: (taken: boolean) => void): void {
    const {requestId} = claim;
    this.parts.claims.release(claim).then(
      outcome => onReleased(outcome !== 'released'),
      (error: unknown) => {
        const reason = String(error);
        this.parts.log('warn', 'releasing a claim failed', {requestId, reason});
        onReleased(true);
      },
    );
  }
}

function requestHash(request: IncomingRequest): string {
  return createHash('sha256')
    .update(`${request.method} ${request.path}\n`)
    .update(request.body)
    .digest('hex');
}

/** Joins the frames of a service call into its answer. */
export function recordedAnswer(frames: readonly Frame[]): RecordedAnswer {
  const first = frames[0]!;
  const body = Buffer.concat(frames.map(frame => frame.data));
  return {status: first.status, headers: first.headers, body};
}
