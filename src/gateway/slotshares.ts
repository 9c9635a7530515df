/**
 * Divides the free slots of an endpoint among the gateways.
 *
 * Load pattern: dozens of gateways read the same report, which shows one free
 * slot, and all have a request that waits. A sidecar therefore hands out each
 * free slot to one gateway. Gateways take turns, so that each gets its part where
 * there are fewer slots than gateways. It does not matter if the sidecar fails:
 * without reports, gateways go by their own counts.
 */

export interface SlotShares {
  /** Slots that each gateway may fill. */
  readonly shares: readonly number[];
  /** Index of the gateway that comes first next time. */
  readonly nextTurn: number;
}

export function divideSlots(
  freeSlots: number,
  gateways: number,
  turn: number,
): SlotShares {
  if (gateways === 0) return {shares: [], nextTurn: 0};
  const free = Math.max(0, freeSlots);
  const base = Math.floor(free / gateways);
  const extra = free % gateways;
  const shares = new Array<number>(gateways).fill(base);
  for (let i = 0; i < extra; i++) shares[(turn + i) % gateways]! += 1;
  return {shares, nextTurn: (turn + extra) % gateways};
}
