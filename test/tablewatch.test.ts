/**
 * Following a table of the store.
 *
 * Guards against changes that are missed because a poll fails or the store has
 * dropped its history, and against a view that counts as up to date although
 * the answer came from an older state of the store.
 */
import {expect} from 'chai';
import {StoreProgress} from '../src/gateway/storeprogress';
import {
  DecodedRead,
  HistoryGoneError,
  TableWatch,
  WatchRole,
} from '../src/gateway/tablewatch';
import {watchTimes} from '../src/gateway/watchtimes';
import {Clock, readInstant} from '../src/kernel/clock';

interface Seen {
  readonly change: string;
  readonly isFullRead: boolean;
}

/** A clock that moves only by its timers, which end at once, and `advance`. */
function jumpingClock(): Clock & {advance(ms: number): void} {
  let ms = 0;
  return {
    now: () => new Date(ms),
    elapsedMs: () => ms,
    advance(by) {
      ms += by;
    },
    after(delayMs, action) {
      const handle = setImmediate(() => {
        ms += delayMs;
        action();
      });
      return {cancel: () => clearImmediate(handle)};
    },
  };
}

interface UndatedRead {
  readonly change: string;
  readonly version: number;
  readonly rows: number;
  /** Counts from 1 in a store that names it. */
  readonly era?: number;
}

function dated(
  {change, version, rows, era = 0}: UndatedRead,
  clock: Clock,
): DecodedRead<string> {
  return {change, rows, state: {era, version}, asOf: readInstant(clock)};
}

const WAIT_MS = 1_000;
const TIMES = watchTimes({
  drainMs: 2_000,
  configurationMs: 2_000,
  contactMs: 3_000,
  keyAgeMs: Infinity,
});

/** An answer to a poll that finds no change. */
function unchanged(version: number): () => UndatedRead {
  return () => ({change: '', version, rows: 0});
}

/** Runs a watch over scripted answers until they are used up. */
async function runWatch(
  reads: (() => UndatedRead)[],
  changes: ((version: number) => UndatedRead)[],
  role?: WatchRole,
) {
  const clock = jumpingClock();
  const seen: Seen[] = [];
  const confirmations: number[] = [];
  const events: string[] = [];
  const waits: number[] = [];
  const endScript = () => {
    watch.stop();
    throw new Error('end of the script');
  };
  const watch: TableWatch<string> = new TableWatch(
    {
      name: 't',
      async read() {
        const answer = reads.shift();
        if (!answer) return endScript();
        return dated(answer(), clock);
      },
      async changes({version}, waitMs) {
        waits.push(waitMs);
        const answer = changes.shift();
        if (!answer) return endScript();
        clock.advance(waitMs);
        return dated(answer(version), clock);
      },
    },
    {
      handleChange(change, isFullRead, asOf) {
        seen.push({change, isFullRead});
        if (asOf) confirmations.push(asOf.elapsedMs);
      },
      handleNoChange: asOf => confirmations.push(asOf.elapsedMs),
      handleInterruption: () => undefined,
      handleOlderRead: () => confirmations.push(NaN),
    },
    WAIT_MS,
    clock,
    (level, event) => events.push(event),
    undefined,
    role,
  );
  await watch.run();
  const elapsedMs = clock.elapsedMs();
  return {seen, proofs: confirmations, events, waits, elapsedMs};
}

function fail(error: Error): never {
  throw error;
}

describe('watch of a table', () => {
  it('polls again from the same version after a failed poll', async () => {
    const requestedVersions: number[] = [];
    const answer = (change: string, version: number) => (after: number) => {
      requestedVersions.push(after);
      return {change, version, rows: 1};
    };
    const {seen, events} = await runWatch(
      [() => ({change: 'all', version: 5, rows: 1})],
      [
        answer('a', 6),
        after => {
          requestedVersions.push(after);
          return fail(new Error('reset'));
        },
        answer('b', 9),
      ],
    );
    expect(requestedVersions).to.deep.equal([5, 6, 6]);
    expect(seen.map(s => s.change)).to.deep.equal(['all', 'a', 'b']);
    expect(events).to.include.members([
      'table read failed; retrying',
      'table read recovered',
    ]);
  });

  it('reads the whole table again if the history is gone', async () => {
    const {seen} = await runWatch(
      [
        () => ({change: 'first', version: 5, rows: 1}),
        () => ({change: 'second', version: 20, rows: 1}),
      ],
      [() => fail(new HistoryGoneError())],
    );
    expect(seen).to.deep.equal([
      {change: 'first', isFullRead: true},
      {change: 'second', isFullRead: true},
    ]);
  });

  // Keys would be refused again and again, until an answer came at once by chance.
  it('polls without a wait after an answer that was old, if it leads', async () => {
    const clock = jumpingClock();
    const waits: number[] = [];
    const ages = [0, 0, 1_500, 0, 0];
    const read = () => {
      const {elapsedMs, wallMs} = readInstant(clock);
      const ageMs = ages.shift() ?? 0;
      const asOf = {elapsedMs: elapsedMs - ageMs, wallMs: wallMs - ageMs};
      const state = {era: 0, version: 5};
      return {change: '', state, rows: 0, asOf};
    };
    const watch: TableWatch<string> = new TableWatch(
      {
        name: 't',
        read: async () => read(),
        async changes(_, waitMs) {
          waits.push(waitMs);
          clock.advance(waitMs);
          if (waits.length === 5) watch.stop();
          return read();
        },
      },
      {
        handleChange: () => undefined,
        handleNoChange: () => undefined,
        handleInterruption: () => undefined,
        handleOlderRead: () => undefined,
      },
      1_000,
      clock,
      () => undefined,
      undefined,
      {
        progress: new StoreProgress(),
        leads: true,
        times: TIMES,
      },
    );
    await watch.run();
    // The poll after the full read does not wait either.
    expect(waits).to.deep.equal([0, 1_000, 0, 1_000, 1_000]);
  });

  // Routes were refused by a state of some seconds ago that counted as the newest.
  it('takes no full read that is older than what the store has shown', async () => {
    const {seen} = await runWatch(
      [
        () => ({change: 'all', version: 5, rows: 1}),
        () => ({change: 'older', version: 3, rows: 1}),
        () => ({change: 'newer', version: 8, rows: 1}),
      ],
      [() => fail(new HistoryGoneError()), unchanged(8)],
    );
    expect(seen.map(s => s.change)).to.deep.equal(['all', 'newer']);
  });

  it('takes no full read that is older than what another watch was told', async () => {
    const progress = new StoreProgress();
    const server = await runWatch(
      [() => ({change: 'servers', version: 9, rows: 1})],
      [],
      {progress, leads: false, times: TIMES},
    );
    const operator = await runWatch(
      [
        () => ({change: 'older', version: 7, rows: 1}),
        () => ({change: 'newer', version: 9, rows: 1}),
      ],
      [unchanged(9)],
      {progress, leads: true, times: TIMES},
    );
    expect(server.seen.map(s => s.change)).to.deep.equal(['servers']);
    expect(operator.seen.map(s => s.change)).to.deep.equal(['newer']);
  });

  it('counts no first read from before the history that is gone as confirmation', async () => {
    const {seen, proofs, waits} = await runWatch(
      [
        () => ({change: 'older', version: 3, rows: 1}),
        () => ({change: 'newer', version: 8, rows: 1}),
      ],
      [() => fail(new HistoryGoneError()), unchanged(8)],
      {progress: new StoreProgress(), leads: true, times: TIMES},
    );
    expect(seen.map(s => s.change)).to.deep.equal(['older', 'newer']);
    // The read and its withdrawal, at once, the next read and the poll after it.
    expect(proofs.map(Number.isNaN)).to.deep.equal([false, true, false, false]);
    expect(waits.slice(0, 2)).to.deep.equal([0, 0]);
  });

  // A key that had been taken away was accepted until the next change.
  it('reads the whole table again if the store came back from a copy', async () => {
    const {seen, events} = await runWatch(
      [
        () => ({change: 'before', version: 12, rows: 1, era: 1}),
        () => ({change: 'after', version: 14, rows: 1, era: 2}),
      ],
      [
        () => ({change: 'rest of the changes', version: 14, rows: 1, era: 2}),
        () => ({change: '', version: 14, rows: 0, era: 2}),
      ],
    );
    expect(seen).to.deep.equal([
      {change: 'before', isFullRead: true},
      {change: 'after', isFullRead: true},
    ]);
    expect(events).to.include('store came back from a copy; reading all rows');
  });

  it('takes the state of a store that does not have the one before', async () => {
    const {seen} = await runWatch(
      [
        () => ({change: 'before', version: 12, rows: 1}),
        () => ({change: 'copy', version: 6, rows: 1}),
      ],
      [
        unchanged(12),
        () => fail(new HistoryGoneError({era: 0, version: 4})),
        unchanged(6),
      ],
    );
    expect(seen.map(s => s.change)).to.deep.equal(['before', 'copy']);
  });

  it('takes no answer of an earlier era that arrives late', async () => {
    const {seen, proofs} = await runWatch(
      [() => ({change: 'all', version: 5, rows: 1, era: 2})],
      [
        () => ({change: 'earlier', version: 20, rows: 1, era: 1}),
        () => ({change: 'without era', version: 21, rows: 1}),
        () => ({change: '', version: 5, rows: 0, era: 2}),
      ],
    );
    expect(seen.map(s => s.change)).to.deep.equal(['all']);
    expect(proofs).to.have.length(2);
  });

  it('sees a change that an empty answer to its poll left out, if it leads', async () => {
    const requestedVersions: number[] = [];
    const answer = (rows: number, version: number) => (after: number) => {
      requestedVersions.push(after);
      return {change: `${rows} rows`, version, rows};
    };
    const {seen} = await runWatch(
      [() => ({change: 'all', version: 5, rows: 1})],
      [answer(0, 5), answer(0, 7), answer(1, 7), answer(0, 8), answer(0, 9)],
      {progress: new StoreProgress(), leads: true, times: TIMES},
    );
    expect(requestedVersions).to.deep.equal([5, 5, 5, 7, 7]);
    expect(seen.map(s => s.change)).to.include('1 rows');
  });

  it('pauses if the history is gone again after each full read', async () => {
    const {elapsedMs} = await runWatch(
      Array.from({length: 4}, (_, i) => () => ({
        change: '',
        version: i,
        rows: 1,
      })),
      Array.from({length: 4}, () => () => fail(new HistoryGoneError())),
    );
    // Three pauses of 50 ms or more, and the waits of the polls.
    expect(elapsedMs - 4 * WAIT_MS).to.be.at.least(150);
  });

  it('does not count an answer from an older state as confirmation', async () => {
    const {seen, proofs} = await runWatch(
      [() => ({change: 'all', version: 5, rows: 1})],
      [
        () => ({change: 'old', version: 4, rows: 1}),
        () => ({change: '', version: 5, rows: 0}),
      ],
    );
    expect(seen.map(s => s.change)).to.deep.equal(['all']);
    expect(proofs).to.have.length(2);
  });
});
