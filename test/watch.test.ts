/**
 * Following a table of the store.
 *
 * Guards against a change that is missed over a failed poll or a dropped
 * history, and against a proof of completeness that an answer does not give.
 */
import {expect} from 'chai';
import {HistoryGone, Read, Watch} from '../src/gateway/watch';
import {Clock} from '../src/kernel/clock';

interface Seen {
  readonly change: string;
  readonly whole: boolean;
}

/** Time that passes only by the timers that are waited for. */
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

/** Runs a watch over scripted answers until they are used up. */
async function follow(
  reads: (() => Read<string>)[],
  changes: ((version: number) => Read<string>)[],
) {
  const clock = jumpingClock();
  const seen: Seen[] = [];
  const proofs: number[] = [];
  const events: string[] = [];
  const watch: Watch<string> = new Watch(
    {
      name: 't',
      async read() {
        return reads.shift()!();
      },
      async changes(version, waitMs) {
        const answer = changes.shift();
        if (!answer) {
          watch.stop();
          throw new Error('end of the script');
        }
        clock.advance(waitMs);
        return answer(version);
      },
    },
    {
      accept(change, whole, provedMs) {
        seen.push({change, whole});
        proofs.push(provedMs);
      },
      confirm: provedMs => proofs.push(provedMs),
    },
    1_000,
    clock,
    (level, event) => events.push(event),
  );
  await watch.run();
  return {seen, proofs, events};
}

function fail(error: Error): never {
  throw error;
}

describe('watch of a table', () => {
  it('asks again from the same version after a failed poll', async () => {
    const asked: number[] = [];
    const answer = (change: string, version: number) => (after: number) => {
      asked.push(after);
      return {change, version};
    };
    const {seen, events} = await follow(
      [() => ({change: 'all', version: 5})],
      [
        answer('a', 6),
        after => {
          asked.push(after);
          return fail(new Error('reset'));
        },
        answer('b', 9),
      ],
    );
    expect(asked).to.deep.equal([5, 6, 6]);
    expect(seen.map(s => s.change)).to.deep.equal(['all', 'a', 'b']);
    expect(events).to.include.members(['store lost', 'store regained']);
  });

  it('reads the table whole where the history is gone', async () => {
    const {seen} = await follow(
      [
        () => ({change: 'first', version: 5}),
        () => ({change: 'second', version: 20}),
      ],
      [() => fail(new HistoryGone())],
    );
    expect(seen).to.deep.equal([
      {change: 'first', whole: true},
      {change: 'second', whole: true},
    ]);
  });

  it('takes an answer from an older state as no proof', async () => {
    const {seen, proofs} = await follow(
      [() => ({change: 'all', version: 5})],
      [() => ({change: 'old', version: 4}), () => ({change: '', version: 5})],
    );
    expect(seen.map(s => s.change)).to.deep.equal(['all']);
    expect(proofs).to.have.length(2);
  });
});
