/**
 * Estimates how much each expert of a group is in demand.
 *
 * Each rank tells how often it chose each expert since it was last asked. The
 * sums over all ranks go into an exponentially decaying average. Demand jumps
 * when the subjects of requests change. A reading that is further from the average
 * than noise explains replaces it, so the estimate follows a jump in one reading.
 * How noisy a reading is shows in how far its ranks differ from each other: the
 * more requests they run, the less they do.
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
  /** Expected distance between the last reading and the demand. */
  readonly noise: number;
  /** Whether the last reading has replaced the average before it. */
  readonly hasJumped: boolean;
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

/** Least distance of a reading that counts as a jump, in multiples of its noise. */
const JUMP_NOISES = 2;
/** The same as a sum of shares; the average follows smaller changes soon enough. */
const MIN_JUMP_DISTANCE = 0.2;

/**
 * Noise of a reading of a few ranks. With steady demand, readings of twelve ranks
 * over half a second differ by about a third, because they cover different
 * requests.
 */
const USUAL_NOISE = 0.35;

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
  const isComplete = (choices: readonly number[]) =>
    choices.length === sets * experts;
  const complete = ofRanks.filter(isComplete);
  const sums = sumOf([last.pending, ...complete]);
  const total = sums.reduce((sum, n) => sum + n, 0);
  if (total < MIN_CHOICES_PER_READING) return {...last, pending: sums};
  const newShares = sharesOf(sums, sets, experts);
  const noise = noiseOf(complete, sets, experts);
  const passedMs = nowMs - last.atMs;
  const weight = 1 - Math.exp(-passedMs / AVERAGING_TIME_CONSTANT_MS);
  const shares = newShares.map((set, i) =>
    last.known ? blendShares(last.shares[i]!, set, weight, noise) : set,
  );
  const distances = newShares.map((set, i) => distanceOf(last.shares[i]!, set));
  const distance = meanOf(distances);
  return {
    shares,
    pending: sums.map(() => 0),
    epoch,
    atMs: nowMs,
    known: true,
    distance,
    noise,
    hasJumped: last.known && isJump(distance, noise),
  };
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
  return {
    shares,
    pending,
    epoch,
    atMs,
    known: false,
    distance: 0,
    noise: 0,
    hasJumped: false,
  };
}

/**
 * Noise of a reading, as the expected distance between it and the demand. Half of
 * the ranks differ from the other half by twice as much as their mean does from
 * the demand. `USUAL_NOISE` if too few ranks answered to tell.
 */
function noiseOf(
  ofRanks: readonly (readonly number[])[],
  sets: number,
  experts: number,
): number {
  if (ofRanks.length < 2) return USUAL_NOISE;
  const [one, other] = [0, 1].map(half =>
    sharesOf(sumOf(ofRanks.filter((_, i) => i % 2 === half)), sets, experts),
  );
  return meanOf(one!.map((set, i) => distanceOf(set, other![i]!))) / 2;
}

function isJump(distance: number, noise: number): boolean {
  return distance > Math.max(MIN_JUMP_DISTANCE, JUMP_NOISES * noise);
}

function blendShares(
  average: readonly number[],
  latest: readonly number[],
  weight: number,
  noise: number,
): readonly number[] {
  const used = isJump(distanceOf(average, latest), noise) ? 1 : weight;
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

function sharesOf(
  sums: readonly number[],
  sets: number,
  experts: number,
): readonly (readonly number[])[] {
  return Array.from({length: sets}, (_, set) =>
    normalizeToShares(sums.slice(set * experts, (set + 1) * experts)),
  );
}

/** Sums lists of one length, item by item. */
function sumOf(lists: readonly (readonly number[])[]): number[] {
  const sums = [...lists[0]!];
  for (const list of lists.slice(1)) list.forEach((n, i) => (sums[i]! += n));
  return sums;
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, n) => sum + n, 0) / values.length;
}
