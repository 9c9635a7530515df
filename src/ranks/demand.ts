/**
 * How much each expert of a group is in demand.
 *
 * Ranks count choices since their start. The differences of two readings are
 * averaged with exponential decay. Demand jumps when the subjects of requests
 * change; a reading that is far from the average replaces it, so that a jump
 * is followed within one reading.
 */
import {RankState} from './rank';

export interface Demand {
  /** Share of each expert in its set's choices, set after set. */
  readonly shares: readonly (readonly number[])[];
  /** Counts of each rank at the last reading. */
  readonly counts: ReadonlyMap<number, readonly number[]>;
  readonly epoch: number;
  readonly atMs: number;
  /** Whether `shares` rests on at least one difference. */
  readonly known: boolean;
}

/** Time constant of the average, in milliseconds. */
const MEMORY_MS = 1_500;

/**
 * Sum of differences of shares, of at most 2, from which a reading counts as
 * a jump. Readings of half a second differ by a third as their requests do.
 */
const JUMP = 0.7;

/** Choices below which a reading says too little. */
const LEAST_CHOICES = 2_000;

/** Adds a reading of all ranks of a group. */
export function observed(
  before: Demand | undefined,
  ranks: readonly RankState[],
  sets: number,
  nowMs: number,
): Demand {
  const counts = new Map(ranks.map(r => [r.rank, r.counts] as const));
  const epoch = ranks[0]?.epoch ?? 0;
  const size = Math.floor((ranks[0]?.counts.length ?? 0) / Math.max(1, sets));
  if (!before || before.epoch !== epoch) {
    const shares = Array.from({length: sets}, () =>
      new Array<number>(size).fill(1 / size),
    );
    return {shares, counts, epoch, atMs: nowMs, known: false};
  }
  const sums = new Array<number>(sets * size).fill(0);
  for (const {rank, counts: now} of ranks) {
    const old = before.counts.get(rank);
    if (!old || old.length !== now.length) continue;
    now.forEach((count, i) => (sums[i]! += Math.max(0, count - old[i]!)));
  }
  const total = sums.reduce((sum, n) => sum + n, 0);
  if (total < LEAST_CHOICES) return before;
  const fresh = Array.from({length: sets}, (_, set) =>
    normalized(sums.slice(set * size, (set + 1) * size)),
  );
  const passedMs = nowMs - before.atMs;
  const weight = 1 - Math.exp(-passedMs / MEMORY_MS);
  const shares = fresh.map((set, i) =>
    blended(before.shares[i]!, set, before.known ? weight : 1),
  );
  return {shares, counts, epoch, atMs: nowMs, known: true};
}

function blended(
  old: readonly number[],
  fresh: readonly number[],
  weight: number,
): readonly number[] {
  const distance = old.reduce(
    (sum, share, i) => sum + Math.abs(share - fresh[i]!),
    0,
  );
  const used = distance > JUMP ? 1 : weight;
  return old.map((share, i) => share + used * (fresh[i]! - share));
}

function normalized(values: readonly number[]): readonly number[] {
  const sum = values.reduce((total, n) => total + n, 0);
  if (sum === 0) return values.map(() => 1 / values.length);
  return values.map(n => n / sum);
}
