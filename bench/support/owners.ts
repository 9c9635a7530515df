/**
 * A model of option (b) of the design, in which sidecars run orders while the
 * store is down, for the `orders` row.
 *
 * All requests with the same key go to one owner sidecar, whether the store is
 * up or down, and the owner remembers keys and not only attempts. A key carries
 * the time at which it was minted. Every run of a key minted up to the
 * watermark has a claim row, except in the gaps: a restart leaves one between
 * the watermark and the new start, since it is no longer known which of the
 * keys minted then ran without a row.
 */

/**
 * Which requests an owner refuses. A plain owner checks only that the key was
 * minted after its own start; a checked one also checks the watermark, the
 * gaps, the clocks and its lease.
 */
export type OwnerMode = 'plain' | 'checked';

interface Gap {
  readonly fromMs: number;
  readonly toMs: number;
}

/** The row of an owner in the table; it outlives the owner's restarts. */
export interface Watermark {
  upToMs: number;
  gaps: readonly Gap[];
}

export type OwnerReply =
  | 'run'
  /** This request did not start the key. */
  | 'refused'
  | 'running'
  | 'ran'
  /** An earlier incarnation may have run it without a row. */
  | 'unknown';

export interface OwnedKey {
  readonly key: string;
  readonly mintedMs: number;
}

/** Largest assumed difference between the clocks of callers and sidecars. */
export const CLOCK_BOUND_MS = 1_000;

/** One incarnation of an owner sidecar. */
export class Owner {
  private readonly keyStates = new Map<string, 'running' | 'ran'>();
  /** Keys that ran without a claim row. */
  private readonly withoutRow = new Set<string>();
  private watermarkMs: number;
  private gapRecorded = false;

  constructor(
    private readonly mode: OwnerMode,
    private readonly startMs: number,
    markMs: number,
    /** When the rule version that makes it the owner was last confirmed. */
    public confirmedMs = startMs,
    private readonly leaseMs = Infinity,
  ) {
    this.watermarkMs = mode === 'checked' ? markMs : 0;
  }

  /** Decides on a start while the store is down and the key is unclaimed. */
  beginWithoutStore({key, mintedMs}: OwnedKey, nowMs: number): OwnerReply {
    const known = this.keyStates.get(key);
    if (known) return known;
    const sinceMs = Math.max(this.startMs, this.watermarkMs) + CLOCK_BOUND_MS;
    if (mintedMs <= sinceMs) return 'refused';
    const ahead = mintedMs > nowMs + CLOCK_BOUND_MS;
    const expired = nowMs - this.confirmedMs > this.leaseMs;
    if (this.mode === 'checked' && (ahead || expired)) return 'refused';
    this.keyStates.set(key, 'running');
    this.withoutRow.add(key);
    return 'run';
  }

  /** Decides on a start of a key just claimed, for which no row existed. */
  beginWithStore({key, mintedMs}: OwnedKey, row: Watermark): OwnerReply {
    const known = this.keyStates.get(key);
    if (known) return known;
    if (this.mode === 'checked') {
      this.recordGap(row);
      const lost = row.gaps.some(
        g => g.fromMs < mintedMs && mintedMs <= g.toMs,
      );
      if (lost) return 'unknown';
    }
    this.keyStates.set(key, 'running');
    return 'run';
  }

  /** The endpoint has answered. */
  finish(key: string): void {
    this.keyStates.set(key, 'ran');
  }

  hasRun(key: string): boolean {
    return this.keyStates.get(key) === 'ran';
  }

  /**
   * Called while the store is up. Records the gap before this incarnation,
   * writes the missing rows and advances the watermark once every run has one.
   */
  updateWatermark(
    row: Watermark,
    nowMs: number,
    write: (key: string) => boolean,
  ): void {
    if (this.mode === 'plain') return;
    this.recordGap(row);
    for (const key of [...this.withoutRow]) {
      if (this.keyStates.get(key) === 'ran' && write(key)) {
        this.withoutRow.delete(key);
      }
    }
    if (this.withoutRow.size > 0) return;
    row.upToMs = Math.max(row.upToMs, nowMs);
    this.watermarkMs = row.upToMs;
  }

  private recordGap(row: Watermark): void {
    if (this.gapRecorded) return;
    this.gapRecorded = true;
    const toMs = this.startMs + CLOCK_BOUND_MS;
    if (toMs > row.upToMs) {
      row.gaps = [...row.gaps, {fromMs: row.upToMs, toMs}];
    }
    this.watermarkMs = Math.max(this.watermarkMs, row.upToMs);
  }
}

/** The owner of a key among the sidecars of one rule version. */
export function ownerOf(key: string, sidecars: readonly string[]): string {
  const scored = sidecars.map(name => ({name, score: hash(`${name} ${key}`)}));
  return scored.reduce((a, b) => (b.score > a.score ? b : a)).name;
}

/** FNV-1a with a final mix, so that similar names give unrelated scores. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (const char of text) {
    value = Math.imul(value ^ char.charCodeAt(0), 0x01000193);
  }
  value = Math.imul(value ^ (value >>> 16), 0x45d9f3b);
  return (value ^ (value >>> 16)) >>> 0;
}
