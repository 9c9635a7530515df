/**
 * Scripted cases in which an owner sidecar (option (b) of the design, modelled
 * in `owners.ts`) may run one key twice. Each case counts the runs of the key,
 * with a plain owner, as proposed, and with one that makes every check.
 */
import {OwnerMode, CLOCK_BOUND_MS, OwnedKey, Owner, Watermark} from './owners';

export interface OwnerCase {
  readonly name: string;
  countRuns(mode: OwnerMode): number;
}

const START_MS = 1_000_000;
const OUTAGE_START_MS = START_MS + 300_000;
/** An owner refuses when its rule version has been unconfirmed for longer. */
export const LEASE_MS = 900_000;

function keyAt(mintedMs: number): OwnedKey {
  return {key: 'k', mintedMs};
}

function newOwner(
  mode: OwnerMode,
  startMs = START_MS,
  watermark = newWatermark(),
): Owner {
  const leaseMs = mode === 'checked' ? LEASE_MS : Infinity;
  return new Owner(mode, startMs, watermark.upToMs, startMs, leaseMs);
}

function newWatermark(): Watermark {
  return {upToMs: START_MS, gaps: []};
}

/** Starts a key without a claim in the store; returns how often it ran. */
function runWithoutStore(owner: Owner, key: OwnedKey, nowMs: number): number {
  if (owner.beginWithoutStore(key, nowMs) !== 'run') return 0;
  owner.finish(key.key);
  return 1;
}

/** Starts a key claimed in the store; returns how often it ran. */
function runWithStore(
  owner: Owner,
  key: OwnedKey,
  watermark: Watermark,
): number {
  if (owner.beginWithStore(key, watermark) !== 'run') return 0;
  owner.finish(key.key);
  return 1;
}

/**
 * The owner that a new rule version names. A checked one starts only when the
 * lease of the previous owner has expired.
 */
function newSuccessor(mode: OwnerMode, changeMs: number): Owner {
  return newOwner(mode, mode === 'checked' ? changeMs + LEASE_MS : changeMs);
}

export const OWNER_CASES: readonly OwnerCase[] = [
  {
    name: 'two rule versions, each with its owner, at once',
    countRuns: mode => {
      const key = keyAt(OUTAGE_START_MS);
      const changeMs = OUTAGE_START_MS - 60_000;
      const now = OUTAGE_START_MS + 10;
      const first = runWithoutStore(newOwner(mode), key, now);
      return first + runWithoutStore(newSuccessor(mode, changeMs), key, now);
    },
  },
  {
    name: 'two rule versions, the old owner cut off for longer than its lease',
    countRuns: mode => {
      const changeMs = START_MS + 60_000;
      const key = keyAt(changeMs + LEASE_MS + 60_000);
      const now = key.mintedMs + 10;
      const first = runWithoutStore(newOwner(mode), key, now);
      return first + runWithoutStore(newSuccessor(mode, changeMs), key, now);
    },
  },
  {
    name: 'owner cut off with one entry; others have the store',
    countRuns: mode => {
      const key = keyAt(OUTAGE_START_MS);
      const inside = runWithoutStore(newOwner(mode), key, OUTAGE_START_MS + 10);
      // Without the checks, another entry claims the key in the store for a
      // sidecar that it can reach.
      if (mode === 'checked') return inside;
      return inside + runWithStore(newOwner(mode), key, newWatermark());
    },
  },
  {
    name: 'owner restarts in the outage',
    countRuns: mode => {
      const key = keyAt(OUTAGE_START_MS);
      const first = runWithoutStore(newOwner(mode), key, OUTAGE_START_MS + 10);
      const next = newOwner(mode, OUTAGE_START_MS + 5_000);
      return first + runWithoutStore(next, key, OUTAGE_START_MS + 5_010);
    },
  },
  {
    name: 'owner restarts, key of a caller whose clock is ahead',
    countRuns: mode => {
      const key = keyAt(OUTAGE_START_MS + 60_000);
      const first = runWithoutStore(newOwner(mode), key, OUTAGE_START_MS + 10);
      const next = newOwner(mode, OUTAGE_START_MS + 5_000);
      return first + runWithoutStore(next, key, OUTAGE_START_MS + 70_000);
    },
  },
  {
    name: 'claimed in the store just before, start still on its way',
    countRuns: mode => {
      const key = keyAt(OUTAGE_START_MS - 5);
      const owner = newOwner(mode);
      const repeat = runWithoutStore(owner, key, OUTAGE_START_MS + 10);
      return repeat + runWithStore(owner, key, newWatermark());
    },
  },
  {
    name: 'ran by the store at another sidecar before the outage',
    countRuns: mode => {
      const key = keyAt(START_MS + 10_000);
      const watermark = newWatermark();
      const owner = newOwner(mode, START_MS, watermark);
      owner.updateWatermark(
        watermark,
        key.mintedMs + CLOCK_BOUND_MS,
        () => true,
      );
      // The first run was at another sidecar, before all requests of a key
      // went to its owner.
      return 1 + runWithoutStore(owner, key, OUTAGE_START_MS + 10);
    },
  },
  {
    name: 'ran in the outage, owner restarts, the store is back',
    countRuns: mode => {
      const watermark = newWatermark();
      const key = keyAt(OUTAGE_START_MS);
      const first = runWithoutStore(newOwner(mode), key, OUTAGE_START_MS + 10);
      const next = newOwner(mode, OUTAGE_START_MS + 60_000, watermark);
      return first + runWithStore(next, key, watermark);
    },
  },
  {
    name: 'the same, and the owner restarts again after its watermark moved',
    countRuns: mode => {
      const watermark = newWatermark();
      const key = keyAt(OUTAGE_START_MS);
      const first = runWithoutStore(newOwner(mode), key, OUTAGE_START_MS + 10);
      const second = newOwner(mode, OUTAGE_START_MS + 60_000, watermark);
      second.updateWatermark(watermark, OUTAGE_START_MS + 120_000, () => true);
      const third = newOwner(mode, OUTAGE_START_MS + 180_000, watermark);
      return first + runWithStore(third, key, watermark);
    },
  },
];
