/**
 * The claims of an entry's non-idempotent requests: what is claimed, and what
 * is recorded of an answer.
 */
import {createHash} from 'node:crypto';
import {ClaimOutcome, ClaimRequest, Claims} from '../claims/claims';
import {Recorded} from '../claims/outcomes';
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

  /** Claims a request's key and tells the outcome; returns the claim. */
  claim(
    request: IncomingRequest,
    granted: GrantedAttempt,
    tell: (outcome: ClaimOutcome) => void,
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
      tell(outcome);
    };
    claims.claim(claimRequest).then(report, (error: unknown) => {
      // Nothing was started, and a row that was written is settled by the
      // next use of the key.
      log('error', 'claim failed', {requestId, reason: String(error)});
      report({kind: 'unavailable'});
    });
    return claimRequest;
  }

  record(claim: ClaimRequest, answer: Recorded): void {
    const {requestId} = claim;
    this.parts.claims.record(claim, answer).catch((error: unknown) => {
      const reason = String(error);
      this.parts.log('warn', 'answer not recorded', {requestId, reason});
    });
  }

  /** Gives the key back; `released` is told whether it was taken since. */
  release(claim: ClaimRequest, released: (taken: boolean) => void): void {
    const {requestId} = claim;
    this.parts.claims.release(claim).then(
      outcome => released(outcome !== 'released'),
      (error: unknown) => {
        const reason = String(error);
        this.parts.log('warn', 'claim not released', {requestId, reason});
        released(true);
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

/** The answer that the frames of a service call make up. */
export function recordedAnswer(frames: readonly Frame[]): Recorded {
  const first = frames[0]!;
  const body = Buffer.concat(frames.map(frame => frame.data));
  return {status: first.status, headers: first.headers, body};
}
