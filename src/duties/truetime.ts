/**
 * True time, from wall clocks of which some may be wrong.
 *
 * Failure: the wall clock of an instance is stepped by minutes. The store's clock
 * is steady, but its origin is arbitrary. Each gateway states by how much its
 * wall clock is ahead of the store's clock; the median of these offsets is right
 * while fewer than half of the clocks are wrong. True time is the store's time
 * plus the median, so a step of the own wall clock does not matter.
 */

/** The median; undefined for no values. The lower one of an even number. */
export function median(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
