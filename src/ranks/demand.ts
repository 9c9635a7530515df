/**
 * Estimates how much each expert of a group is in demand.
 *
 * Ranks count how often they chose each expert since their start. The
 * differences between two readings go into an exponentially decaying average.
 * Demand jumps when the subjects of requests change. A reading that is far
 * from the average replaces it, so the estimate follows a jump in one reading.
 */
import {RankState} from './rank';

export interface Demand {
  /** Share of each expert in its set's choices, indexed by set, then expert. */
  readonly shares: readonly (readonly number[])[];
  /** Counters of each rank at the last reading. */
  readonly counts: ReadonlyMap<number, readonly number[]>;
  readonly epoch: number;
  /** Time of the last reading. */
  readonly atMs: number;
  /** False until two readings were compared; `shares` is uniform until then. */
  readonly known: boolean;
}

/** Time constant of the exponentially decaying average. */
const AVERAGING_TIME_CONSTANT_MS = 1_500;

/**
 * A reading further than this from the average counts as a jump. The distance
 * is the sum of absolute differences of shares, at most 2. With steady demand,
 * readings over half a second differ by about a third, because they cover
 * different requests.
 */
const MIN_JUMP_DISTANCE = 0.7;

/** With fewer choices a reading is too noisy; the next one then covers more. */
const MIN_CHOICES_PER_READING = 2_000;

/** Adds a reading of all ranks of a group to the estimate. */
export function updateDemand(
  before: Demand | undefined,
  ranks: readonly RankState[],
  sets: number,
  nowMs: number,
): Demand {
  const counts = new Map(ranks.map(r => [r.rank, r.counts] as const));
  const epoch = ranks[0]?.epoch ?? 0;
  const expertsPerSet = Math.floor(
    (ranks[0]?.counts.length ?? 0) / Math.max(1, sets),
  );
  if (!before || before.epoch !== epoch) {
    const shares = Array.from({length: sets}, () =>
      new Array<number>(expertsPerSet).fill(1 / expertsPerSet),
    );
    return {shares, counts, epoch, atMs: nowMs, known: false};
  }
  const sums = new Array<number>(sets * expertsPerSet).fill(0);
  for (const {rank, counts: now} of ranks) {
    const old = before.counts.get(rank);
    if (!old || old.length !== now.length) continue;
    now.forEach((count, i) => (sums[i]! += Math.max(0, count - old[i]!)));
  }
  const total = sums.reduce((sum, n) => sum + n, 0);
  if (total < MIN_CHOICES_PER_READING) return before;
  const newShares = Array.from({length: sets}, (_, set) =>
    normalizeToShares(
      sums.slice(set * expertsPerSet, (set + 1) * expertsPerSet),
    ),
  );
  const passedMs = nowMs - before.atMs;
  const weight = 1 - Math.exp(-passedMs / AVERAGING_TIME_CONSTANT_MS);
  const shares = newShares.map((set, i) =>
    blendShares(before.shares[i]!, set, before.known ? weight : 1),
  );
  return {shares, counts, epoch, atMs: nowMs, known: true};
}

function blendShares(
  average: readonly number[],
  latest: readonly number[],
  weight: number,
): readonly number[] {
  const distance = average.reduce(
    (sum, share, i) => sum + Math.abs(share - latest[i]!),
    0,
  );
  const used = distance > MIN_JUMP_DISTANCE ? 1 : weight;
  return average.map((share, i) => share + used * (latest[i]! - share));
}

function normalizeToShares(values: readonly number[]): readonly number[] {
  const sum = values.reduce((total, n) => total + n, 0);
  if (sum === 0) return values.map(() => 1 / values.length);
  return values.map(n => n / sum);
}
