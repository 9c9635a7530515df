/**
 * Index of the prompt prefixes that each sidecar's engine has in its cache.
 *
 * Cache events arrive late and have gaps, so the index is an estimate. It is
 * updated by cache events, by the requests that this entry sends, and by the
 * cached token count of each answer, which corrects it. A wrong estimate costs
 * a prefill and nothing else.
 *
 * The index maps a block to the sidecars that hold it, so that a selection
 * among many sidecars looks only at the few that hold the prompt. The records
 * of each sidecar are numbered, and a record expires after a fixed number of
 * later ones. A block that is recorded again takes a new number. The bound is
 * on records, because a bound on distinct blocks kept evicted blocks for longer
 * and hit less often in the bench row `routing`.
 */
import {LRUCache} from 'lru-cache';

export interface CacheEvent {
  readonly cachedPrefixes: readonly number[];
  readonly evictedPrefixes: readonly number[];
  /** Number of the engine's latest cache event; 0 when it reports none. */
  readonly cacheSequence: number;
}

/** The part of the index that selecting a sidecar uses. */
export interface PrefixLookup {
  /** Number of leading blocks that a sidecar is believed to have cached. */
  cachedBlocks(sidecar: string, hashes: readonly number[]): number;
  /** Sidecars that are believed to have a block cached. */
  holders(hash: number): readonly string[];
}

/** Estimated cache of one sidecar's engine. */
interface CacheState {
  readonly sidecar: string;
  /** Number of the latest record. */
  latestRecord: number;
  /** Records up to this number were dropped after a gap. */
  droppedThrough: number;
  /** Sequence number of the latest cache event. */
  sequence: number;
  /** Whether all records are void, because the engine is gone. */
  forgotten: boolean;
}

/** A block believed to be in one sidecar's cache. */
interface CacheRecord {
  readonly cache: CacheState;
  readonly number: number;
}

/** A record expires when its sidecar has this many newer ones. */
const MAX_RECORDS_PER_SIDECAR = 4_096;
/** Bound on distinct blocks, over all sidecars. */
const MAX_INDEXED_BLOCKS = 16_384;
/** Fraction of a sidecar's records, the oldest, that a gap drops. */
const GAP_DROP_FRACTION = 0.25;

export class PrefixIndex implements PrefixLookup {
  private readonly caches = new Map<string, CacheState>();
  private readonly blocks: LRUCache<number, readonly CacheRecord[]>;

  constructor(
    private readonly maxRecords = MAX_RECORDS_PER_SIDECAR,
    maxBlocks = MAX_INDEXED_BLOCKS,
  ) {
    this.blocks = new LRUCache({max: maxBlocks});
  }

  /** Applies a sidecar's event; one older than the latest is ignored. */
  applyCacheEvent(sidecar: string, event: CacheEvent): void {
    const {cacheSequence, cachedPrefixes, evictedPrefixes} = event;
    if (cacheSequence === 0) return;
    const cache = this.cacheOf(sidecar);
    if (cacheSequence <= cache.sequence) return;
    const gap = cache.sequence > 0 && cacheSequence > cache.sequence + 1;
    if (gap) dropOldestRecords(cache, this.maxRecords);
    cache.sequence = cacheSequence;
    for (const hash of evictedPrefixes) this.removeRecord(cache, hash);
    for (const hash of cachedPrefixes) this.addRecord(cache, hash);
  }

  /** Records the prompt of a request that was started on the sidecar. */
  recordPrompt(sidecar: string, hashes: readonly number[]): void {
    const cache = this.cacheOf(sidecar);
    // The first block is recorded last, because engines evict the end of a
    // prefix chain first.
    for (let i = hashes.length - 1; i >= 0; i--)
      this.addRecord(cache, hashes[i]!);
  }

  /** Records the cached fraction, from 0 to 1, that an answer reported. */
  recordCachedFraction(
    sidecar: string,
    hashes: readonly number[],
    cachedFraction: number,
  ): void {
    const cache = this.cacheOf(sidecar);
    const blocks = Math.round(cachedFraction * hashes.length);
    for (const hash of hashes.slice(0, blocks)) this.addRecord(cache, hash);
  }

  cachedBlocks(sidecar: string, hashes: readonly number[]): number {
    const cache = this.caches.get(sidecar);
    if (!cache) return 0;
    let depth = 0;
    while (depth < hashes.length && this.holds(cache, hashes[depth]!)) {
      depth += 1;
    }
    return depth;
  }

  holders(hash: number): readonly string[] {
    const records = this.blocks.peek(hash) ?? [];
    return records.filter(r => this.isCurrent(r)).map(r => r.cache.sidecar);
  }

  /** Drops a sidecar's records: its engine restarted or its link closed. */
  forget(sidecar: string): void {
    const cache = this.caches.get(sidecar);
    if (cache) cache.forgotten = true;
    this.caches.delete(sidecar);
  }

  private cacheOf(sidecar: string): CacheState {
    const known = this.caches.get(sidecar);
    if (known) return known;
    const cache: CacheState = {
      sidecar,
      latestRecord: 0,
      droppedThrough: 0,
      sequence: 0,
      forgotten: false,
    };
    this.caches.set(sidecar, cache);
    return cache;
  }

  private holds(cache: CacheState, hash: number): boolean {
    const records = this.blocks.peek(hash);
    return records?.some(r => r.cache === cache && this.isCurrent(r)) ?? false;
  }

  private isCurrent({cache, number}: CacheRecord): boolean {
    const oldest = Math.max(
      cache.droppedThrough,
      cache.latestRecord - this.maxRecords,
    );
    return !cache.forgotten && number > oldest;
  }

  private addRecord(cache: CacheState, hash: number): void {
    const records = (this.blocks.get(hash) ?? []).filter(r =>
      this.isCurrent(r),
    );
    const others = records.filter(r => r.cache !== cache);
    cache.latestRecord += 1;
    this.blocks.set(hash, [...others, {cache, number: cache.latestRecord}]);
  }

  private removeRecord(cache: CacheState, hash: number): void {
    const records = this.blocks.peek(hash);
    if (!records) return;
    const others = records.filter(r => r.cache !== cache);
    if (others.length > 0) this.blocks.set(hash, others);
    else this.blocks.delete(hash);
  }
}

function dropOldestRecords(cache: CacheState, maxRecords: number): void {
  const oldest = Math.max(
    cache.droppedThrough,
    cache.latestRecord - maxRecords,
  );
  const dropCount = Math.ceil(
    (cache.latestRecord - oldest) * GAP_DROP_FRACTION,
  );
  cache.droppedThrough = oldest + dropCount;
}
