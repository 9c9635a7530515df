/**
 * The number of unresolved orders, for `status`.
 *
 * It is read from the platform by the command itself, with the meaning that
 * `orders unresolved` has by default. Entries do not provide it: an entry
 * knows its own requests only, and 1,400 of them reading all rows would take
 * the table's reads from the requests.
 */
import {ClaimFacts} from '../observe/facts';
import {CLAIM_PREFIX} from '../claims/rows';
import {Platform} from '../platform/client';
import {DEFAULT_OLDER_THAN_S, unresolved} from './orders';

/** Undefined where the rows cannot be read. */
export async function readClaimFacts(
  platform: Platform,
  now: Date,
): Promise<ClaimFacts | undefined> {
  try {
    const rows = await platform.list(CLAIM_PREFIX);
    const found = unresolved(rows, DEFAULT_OLDER_THAN_S, now);
    return {atMs: now.getTime(), unresolved: found.length};
  } catch {
    return undefined;
  }
}
