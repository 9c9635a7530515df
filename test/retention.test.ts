import {expect} from 'chai';
import {keyTimeMs} from '../src/claims/retention';
import {ClaimSweeper} from '../src/claims/sweep';
import {Clock} from '../src/kernel/clock';
import {Platform, Row} from '../src/platform/client';
import {run} from './fuzz/retention';

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;
const KEEP_MS = 7 * DAY_MS;
const NOW_MS = 1_780_000_000_000;

function releasedRow(changedMs: number) {
  return {
    state: 'released',
    bodyHash: 'b',
    attempt: 1,
    requestId: 'r',
    requestAttempt: 1,
    holder: 'e',
    sidecar: 's',
    incarnation: 'i',
    changedMs,
  };
}

describe('retention of claim rows', () => {
  it('never runs a UUIDv7 key twice, and deletes only settled rows past their retention', async function () {
    this.timeout(120_000);
    const tally = await run(20261204, 50_000);
    // Guards against a run that does not reach the cases under test.
    expect(tally.claimed).to.be.above(100);
    expect(tally.recorded).to.be.above(100);
    expect(tally.forgotten).to.be.above(100);
    expect(tally.deleted).to.be.above(100);
  });

  it('reads no creation time from a key that only resembles a UUIDv7', () => {
    const createdKey = '019e6b1e-2c00-7000-8000-000000000000';
    expect(keyTimeMs(createdKey)).to.equal(0x019e6b1e2c00);
    expect(keyTimeMs(createdKey.replaceAll('-', ''))).to.equal(undefined);
    expect(keyTimeMs(`x${createdKey}`)).to.equal(undefined);
    expect(keyTimeMs(createdKey.replace('-7', '-4'))).to.equal(undefined);
  });

  it('does not let an entry that was paused delete a row that was created again', async () => {
    const key = 'claim/a/s/k';
    const rows = new Map<string, Row>();
    let nowMs = NOW_MS;
    let paused: Promise<void> | undefined;
    const row = (name: string): Row =>
      rows.get(name) ?? {key: name, version: 0, value: null};
    const platform: Platform = {
      transact: async (conditions, writes) => {
        if (writes[0]!.value === null) await paused;
        const conflicting = conditions.filter(
          c => row(c.key).version !== c.version,
        );
        if (conflicting.length > 0) {
          return {kind: 'conflict', rows: conflicting.map(c => row(c.key))};
        }
        for (const {key: name, value} of writes) {
          const version = row(name).version + 1;
          if (value === null) rows.delete(name);
          else rows.set(name, {key: name, version, value});
        }
        return {kind: 'done'};
      },
      read: async name => row(name),
      list: async prefix =>
        [...rows.values()].filter(r => r.key.startsWith(prefix)),
      putObject: async () => undefined,
      getObject: async () => undefined,
      instances: async () => [],
    };
    const clock: Clock = {
      now: () => new Date(nowMs),
      elapsedMs: () => nowMs,
      after: () => ({cancel: () => undefined}),
    };
    const parts = {platform, clock, log: () => undefined, keepMs: KEEP_MS};
    rows.set(key, {key, version: 1, value: releasedRow(NOW_MS - 8 * DAY_MS)});
    let resume = () => {};
    paused = new Promise(done => {
      resume = done;
    });
    const first = new ClaimSweeper(parts).sweepIfDue();
    await new Promise<void>(done => setImmediate(done));
    paused = undefined;
    nowMs += 2 * HOUR_MS;
    expect(await new ClaimSweeper(parts).sweepIfDue()).to.equal(1);
    rows.set(key, {key, version: 1, value: releasedRow(nowMs)});
    resume();
    expect(await first).to.equal(0);
    expect(rows.has(key)).to.equal(true);
  });
});
