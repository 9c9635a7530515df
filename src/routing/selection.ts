/**
 * Selects the sidecars that a request is offered to.
 *
 * Load reports lag. If every entry selected the least loaded sidecar of the
 * same report, the entries would overload it together. The default policy
 * therefore compares a small random sample, adds the requests that this entry
 * has outstanding, and weighs load against the cached part of the prompt.
 */
import {Load} from '../wire/messages';
import {PrefixLookup} from './prefix';

/** What an entry knows about one linked sidecar. */
export interface Candidate {
  readonly sidecar: string;
  readonly zone: string;
  readonly load: Load;
  /** Requests that this entry has offered to the sidecar or started on it. */
  readonly outstanding: number;
}

export interface SelectionCriteria {
  /** Hashes of the prompt's blocks, each over the prompt up to that block. */
  readonly prefixHashes: readonly number[];
  /** Zone of the entry. */
  readonly zone: string;
  /** Sidecars already tried. */
  readonly exclude: ReadonlySet<string>;
}

/** Returns at most `count` sidecars, the best first. */
export type SidecarSelector = (
  candidates: readonly Candidate[],
  criteria: SelectionCriteria,
  count: number,
) => readonly string[];

/** Returns a random number from 0 to 1; the caller seeds the generator. */
export type Random = () => number;

export type SelectionPolicy = 'prefix' | 'round-robin' | 'least-loaded';

/** Size of the random sample, and most prefix holders that join it. */
const SAMPLE_SIZE = 4;
/** Pressure that is subtracted when the whole prompt is cached. */
const CACHED_PROMPT_CREDIT = 0.9;
/** From this pressure on, a cached prefix earns no credit. */
const MAX_PRESSURE_FOR_CREDIT = 1.2;
/** Pressure that is added for a sidecar in another zone. */
const OTHER_ZONE_PENALTY = 1;

export function createSelector(
  policy: SelectionPolicy,
  prefixes: PrefixLookup,
  random: Random,
): SidecarSelector {
  switch (policy) {
    case 'prefix':
      return createPrefixSelector(prefixes, random);
    case 'round-robin':
      return createRoundRobinSelector();
    case 'least-loaded':
      return selectLeastLoaded;
  }
}

/** Estimated requests at a sidecar, relative to its concurrency bound. */
function pressureOf({load, outstanding}: Candidate): number {
  // The report may already count this entry's outstanding requests.
  const reported = load.running + load.waiting;
  const total = Math.max(reported, outstanding) + outstanding / 2;
  return total / Math.max(1, load.bound);
}

function usableCandidates(
  candidates: readonly Candidate[],
  {exclude}: SelectionCriteria,
): Candidate[] {
  return candidates.filter(c => !c.load.leaving && !exclude.has(c.sidecar));
}

/** Selects by load, less a credit for the cached part of the prompt. */
export function createPrefixSelector(
  prefixes: PrefixLookup,
  random: Random,
): SidecarSelector {
  return (candidates, criteria, count) => {
    const usable = usableCandidates(candidates, criteria);
    const {prefixHashes, zone} = criteria;
    const promptBlocks = Math.max(1, prefixHashes.length);
    const scores = new Map<string, number>();
    const score = (c: Candidate, cachedBlocks: number) => {
      const pressure = pressureOf(c);
      const credit =
        pressure < MAX_PRESSURE_FOR_CREDIT
          ? (CACHED_PROMPT_CREDIT * cachedBlocks) / promptBlocks
          : 0;
      const zonePenalty = c.zone === zone ? 0 : OTHER_ZONE_PENALTY;
      scores.set(c.sidecar, pressure + zonePenalty - credit);
    };
    for (const c of longestPrefixHolders(usable, prefixHashes, prefixes)) {
      score(c.candidate, c.cachedBlocks);
    }
    const inZone = usable.filter(c => c.zone === zone);
    const pool = inZone.length >= count ? inZone : usable;
    for (const c of sampleCandidates(pool, random)) {
      if (scores.has(c.sidecar)) continue;
      score(c, prefixes.cachedBlocks(c.sidecar, prefixHashes));
    }
    return [...scores]
      .sort((a, b) => a[1] - b[1])
      .slice(0, count)
      .map(([sidecar]) => sidecar);
  };
}

interface PrefixHolder {
  readonly candidate: Candidate;
  readonly cachedBlocks: number;
}

/**
 * Returns a few of the sidecars with the longest cached prefix. The search
 * starts at the prompt's last block and looks only at the sidecars that hold
 * it, because looking at every sidecar took most of a decision's time.
 */
function longestPrefixHolders(
  usable: readonly Candidate[],
  hashes: readonly number[],
  prefixes: PrefixLookup,
): readonly PrefixHolder[] {
  let best: readonly PrefixHolder[] = [];
  for (let blocks = hashes.length; blocks > 0; blocks--) {
    // A sidecar that holds a later block may lack an earlier one.
    if ((best[0]?.cachedBlocks ?? 0) >= blocks) return best;
    const names = prefixes.holders(hashes[blocks - 1]!);
    if (names.length === 0) continue;
    const found = selectLongestHolders(usable, names, hashes, prefixes);
    if ((found[0]?.cachedBlocks ?? 0) > (best[0]?.cachedBlocks ?? 0))
      best = found;
  }
  return best;
}

/**
 * Returns those of the named sidecars that hold the most leading blocks, the
 * least loaded first.
 */
function selectLongestHolders(
  usable: readonly Candidate[],
  names: readonly string[],
  hashes: readonly number[],
  prefixes: PrefixLookup,
): readonly PrefixHolder[] {
  const named = new Set(names);
  const found = usable
    .filter(c => named.has(c.sidecar))
    .map(candidate => {
      const cachedBlocks = prefixes.cachedBlocks(candidate.sidecar, hashes);
      return {candidate, cachedBlocks, pressure: pressureOf(candidate)};
    });
  const most = Math.max(0, ...found.map(h => h.cachedBlocks));
  return found
    .filter(({cachedBlocks}) => cachedBlocks > 0 && cachedBlocks === most)
    .sort((a, b) => a.pressure - b.pressure)
    .slice(0, SAMPLE_SIZE);
}

function sampleCandidates(
  pool: readonly Candidate[],
  random: Random,
): readonly Candidate[] {
  if (pool.length <= SAMPLE_SIZE) return pool;
  const sampled = new Set<Candidate>();
  // Bounded, because a poor random source could repeat itself.
  for (let i = 0; i < 4 * SAMPLE_SIZE && sampled.size < SAMPLE_SIZE; i++) {
    sampled.add(pool[Math.floor(random() * pool.length)]!);
  }
  return [...sampled];
}

/** Selects each sidecar in turn. */
export function createRoundRobinSelector(): SidecarSelector {
  let turn = 0;
  return (candidates, criteria, count) => {
    const usable = usableCandidates(candidates, criteria);
    if (usable.length === 0) return [];
    const start = turn++ % usable.length;
    const rotated = [...usable.slice(start), ...usable.slice(0, start)];
    return rotated.slice(0, count).map(c => c.sidecar);
  };
}

/** Selects the least loaded sidecars, those in the entry's zone first. */
export const selectLeastLoaded: SidecarSelector = (
  candidates,
  criteria,
  count,
) => {
  const usable = usableCandidates(candidates, criteria);
  const distance = (c: Candidate) => (c.zone === criteria.zone ? 0 : 1);
  const pressure = (c: Candidate) =>
    (c.load.running + c.load.waiting + c.outstanding) /
    Math.max(1, c.load.bound);
  return [...usable]
    .sort((a, b) => distance(a) - distance(b) || pressure(a) - pressure(b))
    .slice(0, count)
    .map(c => c.sidecar);
};
