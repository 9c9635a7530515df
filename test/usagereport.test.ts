/**
 * Usage reports, from the gateways' counts to the calls of the holders.
 *
 * Guards against two reports of one window with different counts, and against
 * counts that differ from the requests that began in the window.
 */
import {expect} from 'chai';
import fc from 'fast-check';
import {simulateUsage, WorldResult, WorldSettings} from './usageworld';

const CALM: WorldSettings = {
  seed: 1,
  durationMs: 60_000,
  loss: 0,
  unanswered: 0,
  killEveryMs: Infinity,
  holdMs: 1e9,
  stepped: 0,
};

/** The counts reported for each window; throws if there are two of a window. */
function reportedCounts({executed}: WorldResult): Map<number, string> {
  const reported = new Map<number, string>();
  for (const {window, counts} of executed) {
    const known = reported.get(window) ?? counts;
    expect(counts, `second report of window ${window}`).to.equal(known);
    reported.set(window, counts);
  }
  return reported;
}

/** Compares each reported count with the requests that began. */
function expectTruth(result: WorldResult): void {
  for (const [window, text] of reportedCounts(result)) {
    const counts = new Map(JSON.parse(text) as Array<[string, number]>);
    for (const [key, began] of result.truth) {
      const [ofWindow, account = ''] = key.split(' ');
      if (Number(ofWindow) !== window) continue;
      const count = counts.get(account) ?? 0;
      const lost = result.mayBeLost.get(key) ?? 0;
      expect(count, `window ${key}`).to.be.within(began - lost, began);
    }
  }
}

describe('usage reports', () => {
  it('name each request once, in each window, when nothing fails', async () => {
    const result = await simulateUsage(CALM);
    const reported = reportedCounts(result);
    expectTruth(result);
    // The first window is the one during which the first lease began.
    for (let w = result.firstWindow + 1; w <= result.lastWindow; w++) {
      expect(reported.has(w), `window ${w}`).to.equal(true);
    }
  });

  it('keep to one count for a window, and to the truth, whatever fails', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.record({
          seed: fc.integer({min: 0, max: 2 ** 31}),
          loss: fc.constantFrom(0, 0.05, 0.15),
          unanswered: fc.constantFrom(0, 0.2, 0.6),
          killEveryMs: fc.constantFrom(4_000, 15_000, Infinity),
          holdMs: fc.constantFrom(3_000, 12_000, 40_000, 1e9),
          stepped: fc.constantFrom(0, 1, 2),
        }),
        async drawn => {
          const result = await simulateUsage({...drawn, durationMs: 90_000});
          expectTruth(result);
          // A holder leaves out the windows that came due before its lease.
          const missed =
            result.lastWindow -
            result.firstWindow +
            1 -
            reportedCounts(result).size;
          if (drawn.unanswered < 0.6 && drawn.holdMs > 3_000) {
            expect(missed).to.be.at.most(1 + 2 * result.holderChanges);
          }
        },
      ),
      {numRuns: 25, seed: 20261206},
    );
  }).timeout(120_000);
});
