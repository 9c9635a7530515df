/**
 * Offers: the KV memory they need, their keys in maps, and the record of a
 * waiting one.
 */
import {AttemptRef, Offer} from '../wire/messages';

/** Identifies the link of an entry, on which grants and refusals are sent. */
export type EntryId = string;

/** The key of an attempt in maps. */
export function attemptKey({requestId, attempt}: AttemptRef): string {
  return `${requestId}#${attempt}`;
}

/** KV cache tokens that an attempt may need: prompt plus permitted output. */
export function kvTokensOf(offer: Offer): number {
  return offer.promptTokens + offer.maxOutputTokens;
}

/** An offer that waits for a grant. */
export interface WaitingOffer {
  readonly entry: EntryId;
  readonly offer: Offer;
  /** Number in the order of arrival. */
  readonly sequence: number;
}
