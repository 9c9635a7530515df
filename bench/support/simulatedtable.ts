/**
 * Simulates the platform's table in virtual time: compare-and-set, outages,
 * and replies that are lost after the write took effect.
 */
import {CLAIM_PREFIX} from '../../src/claims/rows';
import {
  Condition,
  Platform,
  Row,
  TransactOutcome,
  Write,
} from '../../src/platform/client';
import {VirtualClock} from './virtualclock';

/** Delay of a message between a process and the table. */
const ONE_WAY_DELAY_MS = 4;
/** One reply of the table in this many is lost. */
const LOST_REPLY_EVERY = 200;

export class SimulatedTable {
  up = true;
  private readonly rows = new Map<string, Row>();
  private calls = 0;

  constructor(private readonly clock: VirtualClock) {}

  claims(): readonly Row[] {
    return [...this.rows.values()].filter(row =>
      row.key.startsWith(CLAIM_PREFIX),
    );
  }

  row(key: string): Row {
    return this.rows.get(key) ?? {key, version: 0, value: null};
  }

  /** Writes a row without a condition. */
  put(key: string, value: unknown): void {
    const version = this.row(key).version + 1;
    this.rows.set(key, {key, version, value});
  }

  /** A client for one process; a dead one gets no more replies. */
  clientOf(process: {readonly alive: boolean}): Platform {
    const never = new Promise<never>(() => undefined);
    const alive = <T>(value: T): T | Promise<never> =>
      process.alive ? value : never;
    return {
      transact: async (conditions, writes) => {
        if (!process.alive) return never;
        await this.pass();
        const outcome = this.transact(conditions, writes);
        await this.pass();
        return alive(outcome);
      },
      read: async key => {
        await this.pass();
        if (!this.up) throw new Error('the table is down');
        return alive(this.row(key));
      },
      list: async () => this.claims(),
      putObject: async () => undefined,
      getObject: async () => undefined,
      instances: async () => [],
    };
  }

  private transact(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): TransactOutcome {
    if (!this.up) return {kind: 'unavailable'};
    const broken = conditions.filter(
      c => this.row(c.key).version !== c.version,
    );
    if (broken.length > 0) {
      return {kind: 'conflict', rows: broken.map(c => this.row(c.key))};
    }
    for (const {key, value} of writes) this.put(key, value);
    this.calls += 1;
    const lost = this.calls % LOST_REPLY_EVERY === 0;
    return lost ? {kind: 'unknown'} : {kind: 'done'};
  }

  private pass(): Promise<void> {
    return new Promise(done => this.clock.after(ONE_WAY_DELAY_MS, done));
  }
}
