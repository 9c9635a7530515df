/**
 * The number of unresolved orders, for `status`.
 *
 * The command itself counts them from the platform's rows, as
 * `orders unresolved` does by default. Entries do not provide the number: an
 * entry knows only its own requests, and 1,400 entries that read all rows
 * would use up the table's reads, which requests need.
 */
import {ClaimFacts} from '../observe/facts';
import {CLAIM_PREFIX} from '../claims/rows';
import {Platform} from '../platform/client';
import {DEFAULT_OLDER_THAN_S, unresolvedOrders} from './orders';

/** Undefined if the rows cannot be read. */
export async function readClaimFacts(
  platform: Platform,
  now: Date,
): Promise<ClaimFacts | undefined> {
  try {
    const rows = await platform.list(CLAIM_PREFIX);
    const found = unresolvedOrders(rows, DEFAULT_OLDER_THAN_S, now);
    return {atMs: now.getTime(), unresolved: found.length};
  } catch {
    return undefined;
  }
}
