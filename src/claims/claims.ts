/**
 * The claims service, with which an entry claims the idempotency key of a
 * non-idempotent request before it starts the request.
 */
import {Header} from '../wire/messages';
import {RecordedAnswer} from './outcomes';

/** A non-idempotent request that has been granted but not started. */
export interface ClaimRequest {
  readonly account: string;
  readonly service: string;
  readonly key: string;
  /** Hex SHA-256 of method, path and body. */
  readonly bodyHash: string;
  readonly requestId: string;
  readonly attempt: number;
  /** The entry instance that holds the claim. */
  readonly holder: string;
  readonly sidecar: string;
  readonly incarnation: string;
}

export type ClaimOutcome =
  /** The caller of `claim` holds the claim and may start the request. */
  | {readonly kind: 'claimed'}
  /** An earlier request with this key ran; this is its recorded answer. */
  | {readonly kind: 'recorded'; readonly answer: RecordedAnswer}
  /** The key was used before with another method, path or body. */
  | {readonly kind: 'conflict'}
  /** Another request with this key is running now. */
  | {readonly kind: 'running'}
  /** The platform's table cannot be reached; nothing was started. */
  | {readonly kind: 'unavailable'}
  /** The key is so old that its row may have been deleted. */
  | {readonly kind: 'forgotten'}
  /** An earlier request with this key may or may not have run. */
  | {readonly kind: 'unknown'};

export interface Claims {
  claim(request: ClaimRequest): Promise<ClaimOutcome>;
  /** Records the answer of a request that ran. */
  record(request: ClaimRequest, answer: RecordedAnswer): Promise<void>;
  /**
   * Releases the key of a request that was certainly not run. `taken` when
   * another request has claimed the key since and may have run.
   */
  release(request: ClaimRequest): Promise<ReleaseOutcome>;
}

/** `pending`: the row could not be changed yet; retries continue. */
export type ReleaseOutcome = 'released' | 'taken' | 'pending';

export type {Header};
