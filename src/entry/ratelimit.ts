/**
 * The rate limit of a client account: a token bucket that holds at most two
 * seconds' worth of tokens.
 *
 * Each entry enforces its part of the account's limit, which is the limit
 * divided by the number of live entries.
 */
import {Map} from 'immutable';

export interface TokenBucket {
  readonly tokens: number;
  readonly updatedMs: number;
}

export type TokenBuckets = Map<string, TokenBucket>;

export interface ChargeResult {
  readonly buckets: TokenBuckets;
  /** 0 when the request is admitted. */
  readonly retryAfterMs: number;
}

const BURST_S = 2;
const MS_PER_S = 1_000;

/** Takes `cost` tokens from an account's bucket, or returns the wait time. */
export function chargeTokens(
  buckets: TokenBuckets,
  account: string,
  cost: number,
  limitPerS: number,
  now: Date,
): ChargeResult {
  const nowMs = now.getTime();
  const capacity = limitPerS * BURST_S;
  const bucket = buckets.get(account) ?? {tokens: capacity, updatedMs: nowMs};
  const elapsedS = Math.max(0, nowMs - bucket.updatedMs) / MS_PER_S;
  const tokens = Math.min(capacity, bucket.tokens + elapsedS * limitPerS);
  // A request larger than the bucket is admitted when the bucket is full. The
  // whole cost is taken, which leaves the bucket below zero.
  const needed = Math.min(cost, capacity);
  if (tokens < needed) {
    const waitMs = Math.ceil(((needed - tokens) / limitPerS) * MS_PER_S);
    const refilled = buckets.set(account, {tokens, updatedMs: nowMs});
    return {buckets: refilled, retryAfterMs: waitMs};
  }
  const charged = {tokens: tokens - cost, updatedMs: nowMs};
  return {buckets: buckets.set(account, charged), retryAfterMs: 0};
}
