/** Builds claim rows for tests. */
import {ClaimRow} from '../src/claims/rows';

/** A row in the state `claimed` with the given fields replaced. */
export function buildClaimRow(
  parts: Partial<ClaimRow> & Pick<ClaimRow, 'changedMs'>,
): ClaimRow {
  return {
    state: 'claimed',
    bodyHash: 'b',
    attempt: 1,
    requestId: 'r',
    requestAttempt: 1,
    holder: 'entry-1',
    sidecar: 'orders-1',
    incarnation: 'i',
    ...parts,
  };
}
