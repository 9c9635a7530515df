/** A discrete clock for benchmark rows: actions at simulated times. */
import {first, insert, SortedSet, remove} from '../src/capacity/sortedset';

type Action = () => void;

export class Events {
  nowMs = 0;
  private queue: SortedSet<Action>;
  private sequence = 0;

  after(delayMs: number, action: Action): void {
    this.sequence += 1;
    const id = String(this.sequence).padStart(12, '0');
    this.queue = insert(this.queue, this.nowMs + delayMs, id, action);
  }

  /** Runs all actions up to a time. */
  runUntil(endMs: number): void {
    for (let n = first(this.queue); n; n = first(this.queue)) {
      if (n.rank > endMs) break;
      this.queue = remove(this.queue, n.rank, n.id);
      this.nowMs = n.rank;
      n.value();
    }
    this.nowMs = endMs;
  }
}

/** Numbers in [0, 1) from a seed. */
export function seeded(seed: number): () => number {
  let value = seed >>> 0;
  return () => {
    value = (value + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(value ^ (value >>> 15), value | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Time to the next event of a Poisson process. */
export function exponential(random: () => number, meanMs: number): number {
  return -Math.log(1 - random()) * meanMs;
}
