/**
 * Estimates how much each expert of a group is in demand.
 *
 * Each rank tells how often it chose each expert since it was last asked. The
 * sums over all ranks go into an exponentially decaying average. Demand jumps
 * when the subjects of requests change. A reading that is far from the average
 * replaces it, so the estimate follows a jump in one reading.
 */

export interface Demand {
  /** Share of each expert in its set's choices, indexed by set, then expert. */
  readonly shares: readonly (readonly number[])[];
  /** Choices that are too few for a reading yet, set by set. */
  readonly pending: readonly number[];
  readonly epoch: number;
  /** Time of the last reading. */
  readonly atMs: number;
  /** False until the first reading; `shares` is uniform until then. */
  readonly known: boolean;
  /** Mean distance of the last reading's sets from the average before it. */
  readonly distance: number;
}

/** What the ranks of a group have chosen since they were last asked. */
export interface Choices {
  readonly epoch: number;
  readonly sets: number;
  readonly experts: number;
  /** Choices of each rank that answered, set by set. */
  readonly ofRanks: readonly (readonly number[])[];
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

/** Adds the ranks' choices to the estimate. */
export function updateDemand(
  before: Demand | undefined,
  {epoch, sets, experts, ofRanks}: Choices,
  nowMs: number,
): Demand {
  const last =
    before?.epoch === epoch && before.pending.length === sets * experts
      ? before
      : uniformDemand(epoch, sets, experts, nowMs);
  const sums = [...last.pending];
  for (const choices of ofRanks) {
    if (choices.length !== sums.length) continue;
    choices.forEach((n, i) => (sums[i]! += n));
  }
  const total = sums.reduce((sum, n) => sum + n, 0);
  if (total < MIN_CHOICES_PER_READING) return {...last, pending: sums};
  const newShares = Array.from({length: sets}, (_, set) =>
    normalizeToShares(sums.slice(set * experts, (set + 1) * experts)),
  );
  const passedMs = nowMs - last.atMs;
  const weight = 1 - Math.exp(-passedMs / AVERAGING_TIME_CONSTANT_MS);
  const shares = newShares.map((set, i) =>
    blendShares(last.shares[i]!, set, last.known ? weight : 1),
  );
  const distances = newShares.map((set, i) =>
    distanceOf(last.shares[i]!, set),
  );
  const distance = distances.reduce((sum, d) => sum + d, 0) / sets;
  const pending = sums.map(() => 0);
  return {shares, pending, epoch, atMs: nowMs, known: true, distance};
}

function uniformDemand(
  epoch: number,
  sets: number,
  experts: number,
  atMs: number,
): Demand {
  const shares = Array.from({length: sets}, () =>
    new Array<number>(experts).fill(1 / experts),
  );
  const pending = new Array<number>(sets * experts).fill(0);
  return {shares, pending, epoch, atMs, known: false, distance: 0};
}

function blendShares(
  average: readonly number[],
  latest: readonly number[],
  weight: number,
): readonly number[] {
  const used = distanceOf(average, latest) > MIN_JUMP_DISTANCE ? 1 : weight;
  return average.map((share, i) => share + used * (latest[i]! - share));
}

/** Sum of absolute differences of shares, at most 2. */
function distanceOf(one: readonly number[], other: readonly number[]): number {
  return one.reduce((sum, share, i) => sum + Math.abs(share - other[i]!), 0);
}

function normalizeToShares(values: readonly number[]): readonly number[] {
  const sum = values.reduce((total, n) => total + n, 0);
  if (sum === 0) return values.map(() => 1 / values.length);
  return values.map(n => n / sum);
}
