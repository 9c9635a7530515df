/**
 * Watches of several tables of one store, in virtual time.
 *
 * Guards against calls to the store that grow with machines although nothing
 * changes, against a change that is missed because the answer to a long poll was
 * lost, and against calls of every watch while the store does not answer.
 */
import {expect} from 'chai';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {VirtualClock} from '../bench/support/virtualclock';
import {readInstant} from '../src/kernel/clock';
import {StoreProgress} from '../src/gateway/storeprogress';
import {watchTimes} from '../src/gateway/watchtimes';
import {DecodedRead, Table, TableWatch} from '../src/gateway/tablewatch';

const TIMES = watchTimes({
  drainMs: 2_000,
  configurationMs: 2_000,
  contactMs: 3_000,
  keyAgeMs: Infinity,
});
const LATENCY_MS = 4;
/** A machine that is in touch with the store learns of a change within this. */
const CONTACT_MS = 5_000;

/** A store with a feed for each table; its answers may be lost. */
class SimulatedStore {
  calls = 0;
  version = 1;
  down = false;
  lostShare = 0;
  private readonly changes: {table: string; version: number}[] = [];
  private readonly waiting = new Set<() => void>();
  private readonly generator = xoroshiro128plus(1);

  constructor(private readonly clock: VirtualClock) {}

  write(table: string): number {
    this.version += 1;
    this.changes.push({table, version: this.version});
    this.waiting.forEach(wake => wake());
    return this.version;
  }

  table(name: string): Table<readonly number[]> {
    const read = (after: number) => this.rowsAfter(name, after);
    return {
      name,
      read: () => this.answer(TIMES.answerTimeoutMs, () => read(0)),
      changes: ({version: after}, waitMs) =>
        this.answer(
          waitMs + TIMES.answerTimeoutMs,
          () => read(after),
          () => this.untilChanged(name, after, waitMs),
        ),
    };
  }

  private rowsAfter(
    name: string,
    after: number,
  ): DecodedRead<readonly number[]> {
    const change = this.changes
      .filter(c => c.table === name && c.version > after)
      .map(c => c.version);
    const asOf = readInstant(this.clock);
    const state = {era: 0, version: this.version};
    return {change, state, rows: change.length, asOf};
  }

  private untilChanged(
    name: string,
    after: number,
    waitMs: number,
  ): Promise<void> {
    return new Promise(done => {
      const finish = () => {
        timer.cancel();
        this.waiting.delete(wake);
        done();
      };
      const timer = this.clock.after(waitMs, finish);
      const wake = () => {
        if (this.rowsAfter(name, after).rows > 0) finish();
      };
      this.waiting.add(wake);
      wake();
    });
  }

  private async answer<T>(
    timeoutMs: number,
    read: () => T,
    ready: () => Promise<void> = () => Promise.resolve(),
  ): Promise<T> {
    this.calls += 1;
    if (this.down) throw new Error('connection refused');
    const endMs = this.clock.elapsedMs() + timeoutMs;
    await ready();
    await this.pause(LATENCY_MS);
    if (uniformFloat64(this.generator) >= this.lostShare) return read();
    await this.pause(endMs - this.clock.elapsedMs());
    throw new Error('request timed out');
  }

  private pause(ms: number): Promise<void> {
    return new Promise(done => this.clock.after(Math.max(0, ms), done));
  }
}

/** The watches of one entry; notes when each version was seen. */
async function startEntry(store: SimulatedStore, clock: VirtualClock) {
  const seenMs = new Map<number, number>();
  const progress = new StoreProgress();
  const ignore = () => undefined;
  const watchOf = (name: string, leads: boolean) =>
    new TableWatch(
      store.table(name),
      {
        handleChange: versions =>
          versions.forEach(version => {
            if (!seenMs.has(version)) seenMs.set(version, clock.elapsedMs());
          }),
        handleNoChange: ignore,
        handleInterruption: ignore,
        handleOlderRead: ignore,
      },
      leads ? TIMES.leadingWaitMs : TIMES.followingWaitMs,
      clock,
      ignore,
      undefined,
      {progress, leads, times: TIMES},
    );
  const watches = [
    watchOf('operator', true),
    watchOf('endpoints', false),
    watchOf('crashes', false),
  ];
  watches.forEach(watch => void watch.run());
  // The clock runs only while timers are set.
  await new Promise<void>(done => setImmediate(done));
  return seenMs;
}

describe('watches of one store', () => {
  it('call it less than half as often while nothing changes', async () => {
    const clock = new VirtualClock();
    const store = new SimulatedStore(clock);
    await startEntry(store, clock);
    await clock.run(10_000);
    const before = store.calls;
    await clock.run(70_000);
    // Polls of 2 s, 3 s and 2 s, as before, are 1.33 calls a second.
    expect((store.calls - before) / 60).to.be.below(1.33 / 2);
  });

  it('notice a change although answers are lost', async () => {
    const clock = new VirtualClock();
    const store = new SimulatedStore(clock);
    const seenMs = await startEntry(store, clock);
    await clock.run(1_000);
    store.lostShare = 0.3;
    const writtenMs = new Map<number, number>();
    for (let i = 0; i < 60; i++) {
      await clock.run(2_000 + i * 3_700);
      const table = ['endpoints', 'crashes', 'operator'][i % 3]!;
      writtenMs.set(store.write(table), clock.elapsedMs());
    }
    store.lostShare = 0;
    await clock.run(clock.elapsedMs() + 30_000);
    const delays = [...writtenMs].map(
      ([version, ms]) => (seenMs.get(version) ?? Infinity) - ms,
    );
    const late = delays.filter(ms => ms > CONTACT_MS);
    // Some answers are lost several times in a row. Without the leading watch, 23
    // of the 60 changes are seen late.
    expect(late.length).to.be.at.most(4);
    expect(Math.max(...delays)).to.be.below(2 * CONTACT_MS);
  });

  it('leave it to one of them to call while the store does not answer', async () => {
    const clock = new VirtualClock();
    const store = new SimulatedStore(clock);
    const seenMs = await startEntry(store, clock);
    await clock.run(1_000);
    // Polls that wait are refused when they end or are sent again.
    store.down = true;
    store.write('operator');
    store.write('endpoints');
    store.write('crashes');
    await clock.run(2_000);
    const before = store.calls;
    await clock.run(12_000);
    // One watch that backs off to 0.4 s calls at most 5 times a second.
    expect(store.calls - before).to.be.at.most(10 * 7);
    store.down = false;
    const version = store.write('endpoints');
    await clock.run(13_500);
    expect(seenMs.get(version)).to.be.below(13_000);
  });
});
