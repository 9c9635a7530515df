/**
 * Deletes claim rows whose retention period is over.
 *
 * Each entry runs this task. The entry that writes the horizon row first
 * does the sweep, so one entry sweeps the table at a time, and at most once an
 * hour. Rows are deleted by compare-and-set: a bounded number in one sweep,
 * and one transaction a second. A row that has changed meanwhile is kept. A
 * deletion is also conditional on the version of the horizon row. This fences
 * off an entry that was paused until another sweep began: a row that was
 * deleted and created again could have the same version as before.
 */
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {Service} from '../kernel/kernel';
import {Log} from '../observe/log';
import {Platform, Row} from '../platform/client';
import {
  Horizon,
  HORIZON_KEY,
  parseHorizon,
  isDeletable,
  raiseHorizon,
} from './retention';
import {CLAIM_PREFIX} from './rows';

export interface SweepParts {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly log: Log;
  /** How long a settled row is kept, in milliseconds. */
  readonly keepMs: number;
}

const CHECK_INTERVAL_MS = 600_000;
const SWEEP_INTERVAL_MS = 3_600_000;
/** Bounds a sweep to 200 transactions, which take 200 s. */
const MAX_ROWS_PER_SWEEP = 20_000;
const ROWS_PER_TRANSACTION = 100;
const TRANSACTION_INTERVAL_MS = 1_000;

export class ClaimSweeper implements Service {
  private timer: Timer | undefined;
  private stopped = false;

  constructor(private readonly parts: SweepParts) {}

  async start(): Promise<void> {
    this.timer = repeatEvery(
      this.parts.clock,
      CHECK_INTERVAL_MS,
      () => void this.sweepIfDue(),
    );
  }

  async stop(): Promise<void> {
    this.stopped = true;
    this.timer?.cancel();
  }

  /**
   * Sweeps if no sweep began within SWEEP_INTERVAL_MS. Returns the number of
   * rows deleted.
   */
  async sweepIfDue(): Promise<number> {
    try {
      const horizon = await this.tryStartSweep();
      return horizon ? await this.deleteExpiredRows(horizon) : 0;
    } catch (error: unknown) {
      this.parts.log('warn', 'claim rows not swept', {reason: String(error)});
      return 0;
    }
  }

  /** The horizon that this entry wrote; undefined if it may not sweep now. */
  private async tryStartSweep(): Promise<Horizon | undefined> {
    const {platform, clock, keepMs} = this.parts;
    const old = parseHorizon(await platform.read(HORIZON_KEY));
    const now = clock.now();
    if (now.getTime() - old.sweptMs < SWEEP_INTERVAL_MS) return undefined;
    const value = raiseHorizon(old, keepMs, now);
    const {version} = old;
    const outcome = await platform.transact(
      [{key: HORIZON_KEY, version}],
      [{key: HORIZON_KEY, value}],
    );
    // Nothing may be deleted until the new horizon is known to be written.
    if (outcome.kind !== 'done') return undefined;
    return {...value, version: version + 1};
  }

  private async deleteExpiredRows(horizon: Horizon): Promise<number> {
    const {platform, clock, keepMs, log} = this.parts;
    const now = clock.now();
    const rows = await platform.list(CLAIM_PREFIX);
    const expired = rows
      .filter(row => this.canDelete(row, horizon, now))
      .slice(0, MAX_ROWS_PER_SWEEP);
    let deleted = 0;
    for (
      let at = 0;
      at < expired.length && !this.stopped;
      at += ROWS_PER_TRANSACTION
    ) {
      if (at > 0) await this.pause();
      const batch = expired.slice(at, at + ROWS_PER_TRANSACTION);
      deleted += await this.deleteRows(batch, horizon);
    }
    if (deleted > 0) log('info', 'claim rows deleted', {deleted, keepMs});
    return deleted;
  }

  /** A row that is not a valid claim row is kept. */
  private canDelete(row: Row, horizon: Horizon, now: Date): boolean {
    try {
      return isDeletable(row, horizon, this.parts.keepMs, now);
    } catch {
      return false;
    }
  }

  /** Deletes rows; if some have changed, tries once more without those. */
  private async deleteRows(
    rows: readonly Row[],
    horizon: Horizon,
    mayRetry = true,
  ): Promise<number> {
    if (rows.length === 0) return 0;
    const outcome = await this.parts.platform.transact(
      [...rows, {key: HORIZON_KEY, version: horizon.version}].map(
        ({key, version}) => ({key, version}),
      ),
      rows.map(({key}) => ({key, value: null})),
    );
    if (outcome.kind === 'done') return rows.length;
    if (outcome.kind !== 'conflict' || !mayRetry) return 0;
    const changed = new Set(outcome.rows.map(({key}) => key));
    if (changed.has(HORIZON_KEY)) return 0;
    return this.deleteRows(
      rows.filter(({key}) => !changed.has(key)),
      horizon,
      false,
    );
  }

  private pause(): Promise<void> {
    return new Promise(done =>
      this.parts.clock.after(TRANSACTION_INTERVAL_MS, done),
    );
  }
}
