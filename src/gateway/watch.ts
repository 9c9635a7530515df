/**
 * Follows a table of the platform's store by long polls.
 *
 * The table is read whole once, then its changes are asked for from the last
 * version on. A failed poll is tried again from the same version, so no change
 * is missed. Where the history is gone the table is read whole again. Each
 * answer proves that the view was complete when the store gave it.
 */
import {Clock} from '../kernel/clock';
import {Log} from '../observe/log';

/** The history since the version that was asked for is gone; read anew. */
export class HistoryGone extends Error {}

export interface Read<Change> {
  readonly change: Change;
  /** Version of the store as of which the change is complete. */
  readonly version: number;
}

/** A table whose rows are decoded to changes of one kind. */
export interface Table<Change> {
  readonly name: string;
  read(): Promise<Read<Change>>;
  /** Changes after `version`; empty after `waitMs` without any. */
  changes(version: number, waitMs: number): Promise<Read<Change>>;
}

export interface Follower<Change> {
  /** `provedMs` is the clock's time as of which the view is complete. */
  accept(change: Change, whole: boolean, provedMs: number): void;
  /** A poll proved that nothing has changed. */
  confirm(provedMs: number): void;
}

/** First pause after a failed call, in milliseconds. */
const FIRST_PAUSE_MS = 100;
/** Longest pause; the feed must be back well before keys are refused. */
const LAST_PAUSE_MS = 400;
/** Time between looks at whether changes are wanted again, in ms. */
const UNWANTED_MS = 200;

export class Watch<Change> {
  private version: number | undefined;
  private stopped = false;
  private failures = 0;

  constructor(
    private readonly table: Table<Change>,
    private readonly follower: Follower<Change>,
    private readonly waitMs: number,
    private readonly clock: Clock,
    private readonly log: Log,
    /** After the first reading nothing is asked for while this is false. */
    private readonly wanted: () => boolean = () => true,
  ) {}

  /** Follows the table until `stop`. */
  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.version !== undefined && !this.wanted()) {
        await this.pause(UNWANTED_MS);
        continue;
      }
      try {
        await this.step();
        this.succeeded();
      } catch (error) {
        if (this.stopped) return;
        if (error instanceof HistoryGone) {
          this.version = undefined;
          this.log('info', 'history gone', {table: this.table.name});
          continue;
        }
        this.failed(error);
        await this.pause(this.failurePause());
      }
    }
  }

  stop(): void {
    this.stopped = true;
  }

  private async step(): Promise<void> {
    const sentMs = this.clock.elapsedMs();
    if (this.version === undefined) {
      const {change, version} = await this.table.read();
      this.version = version;
      this.follower.accept(change, true, sentMs);
      return;
    }
    const {change, version} = await this.table.changes(
      this.version,
      this.waitMs,
    );
    // A store that answers from an older state proves nothing.
    if (version < this.version) throw new Error('the answer is out of date');
    const changed = version > this.version;
    this.version = version;
    const waited = this.clock.elapsedMs() - sentMs;
    const provedMs = sentMs + Math.min(waited, this.waitMs);
    if (changed) this.follower.accept(change, false, provedMs);
    else this.follower.confirm(provedMs);
  }

  private succeeded(): void {
    if (this.failures > 0) {
      const {failures} = this;
      this.log('info', 'store regained', {table: this.table.name, failures});
    }
    this.failures = 0;
  }

  private failed(error: unknown): void {
    if (this.failures === 0) {
      const reason = error instanceof Error ? error.message : String(error);
      this.log('warn', 'store lost', {table: this.table.name, reason});
    }
    this.failures += 1;
  }

  /** Random, so that processes do not come back to the store together. */
  private failurePause(): number {
    const base = FIRST_PAUSE_MS * 2 ** Math.min(this.failures - 1, 8);
    return Math.min(LAST_PAUSE_MS, base) * (0.5 + Math.random() / 2);
  }

  private pause(ms: number): Promise<void> {
    return new Promise(done => this.clock.after(ms, done));
  }
}
