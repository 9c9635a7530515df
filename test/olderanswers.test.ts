/**
 * Watches of several tables while the store answers from older states, in virtual time.
 *
 * Guards against a view that is dated later than the state that it shows, and against an
 * older state that is taken for one to which the store has gone back.
 */
import {expect} from 'chai';
import {VirtualClock} from '../bench/support/virtualclock';
import {StoreProgress} from '../src/gateway/storeprogress';
import {StoreState} from '../src/gateway/storestate';
import {HistoryGoneError, TableWatch} from '../src/gateway/tablewatch';
import {watchTimes} from '../src/gateway/watchtimes';
import {readInstant} from '../src/kernel/clock';

const TIMES = watchTimes({
  drainMs: 2_000,
  configurationMs: 2_000,
  contactMs: 3_000,
  keyAgeMs: Infinity,
});
const ROUND_TRIP_MS = 10;

function stateAt(version: number, era = 0): StoreState {
  return {era, version};
}

/** The state in an answer, or that of a store whose history is gone. */
type Answer = StoreState | {readonly goneAt: StoreState};

class WatchScene {
  readonly clock = new VirtualClock();
  readonly progress = new StoreProgress();
  readonly fullReads: StoreState[] = [];
  readonly confirmedMs: number[] = [];
  openPolls = 0;
  mostOpenPolls = 0;
  private watch!: TableWatch<StoreState>;

  /** Starts a watch whose polls wait for all their time. */
  async start(
    leads: boolean,
    read: () => StoreState,
    poll: () => Answer,
  ): Promise<void> {
    const {clock, progress} = this;
    const decoded = (answer: Answer) => {
      if ('goneAt' in answer) throw new HistoryGoneError(answer.goneAt);
      const asOf = readInstant(clock);
      return {change: answer, state: answer, rows: 0, asOf};
    };
    const pause = (ms: number) =>
      new Promise<void>(done => clock.after(ms, done));
    this.watch = new TableWatch<StoreState>(
      {
        name: 't',
        read: async () => decoded(read()),
        changes: async (_, waitMs) => {
          this.openPolls += 1;
          this.mostOpenPolls = Math.max(this.mostOpenPolls, this.openPolls);
          await pause(waitMs + ROUND_TRIP_MS);
          this.openPolls -= 1;
          return decoded(poll());
        },
      },
      {
        handleChange: (state, isFullRead, asOf) => {
          if (isFullRead) this.fullReads.push(state);
          if (asOf) this.confirmedMs.push(asOf.elapsedMs);
        },
        handleNoChange: asOf => this.confirmedMs.push(asOf.elapsedMs),
      },
      leads ? TIMES.leadingWaitMs : TIMES.followingWaitMs,
      clock,
      () => undefined,
      undefined,
      {progress, leads, times: TIMES},
    );
    void this.watch.run();
    // The clock runs only while timers are set.
    await new Promise<void>(done => setImmediate(done));
  }

  async run(ms: number): Promise<void> {
    await this.clock.run(ms);
    this.watch.stop();
  }
}

describe('watch of a store that answers from older states', () => {
  let scene: WatchScene;

  beforeEach(() => {
    scene = new WatchScene();
  });

  it('does not date a poll later than a newer state was known', async () => {
    const newerMs = 100;
    await scene.start(
      true,
      () => stateAt(5),
      () => stateAt(5),
    );
    scene.clock.after(newerMs, () =>
      scene.progress.recordState(stateAt(9), stateAt(5), newerMs),
    );
    await scene.run(TIMES.leadingWaitMs + 300);
    expect(Math.max(...scene.confirmedMs)).to.be.at.most(newerMs);
  });

  it('does not take a state that the same era has passed for a loss', async () => {
    const isLate = () => scene.clock.elapsedMs() > 500;
    await scene.start(
      true,
      () => (isLate() ? stateAt(6, 3) : stateAt(12, 3)),
      () => (isLate() ? {goneAt: stateAt(6, 3)} : stateAt(12, 3)),
    );
    await scene.run(60_000);
    expect(scene.fullReads).to.deep.equal([stateAt(12, 3)]);
  });

  it('does not go back because a 410 arrives late', async () => {
    await scene.start(
      true,
      () => stateAt(12),
      () =>
        scene.clock.elapsedMs() > 500 ? {goneAt: stateAt(6)} : stateAt(12),
    );
    scene.clock.after(600, () =>
      scene.progress.recordState(stateAt(20), stateAt(12), 600),
    );
    await scene.run(TIMES.leadingWaitMs + 200);
    expect(scene.progress.newestState).to.deep.equal(stateAt(20));
  });

  it('takes two older answers with an outage between for no loss', () => {
    const {progress} = scene;
    progress.recordState(stateAt(9), stateAt(0), 0);
    const floor = progress.newestState;
    for (const ms of [1_000, 35_000])
      expect(progress.recordState(stateAt(5), floor, ms)).to.equal(false);
  });

  for (const era of [0, 3]) {
    it(`takes older answers without an era for a loss in the end (era ${era})`, () => {
      const {progress} = scene;
      progress.recordState(stateAt(9, era), stateAt(0, era), 0);
      const floor = progress.newestState;
      const results: boolean[] = [];
      for (let ms = 0; ms <= 32_000; ms += 400)
        results.push(progress.recordState(stateAt(5), floor, ms));
      expect(results[0]).to.equal(false);
      expect(results).to.include(true);
    });
  }

  it('keeps few polls open if its checks show an older state', async () => {
    await scene.start(
      false,
      () => stateAt(5),
      () => stateAt(5),
    );
    scene.progress.recordState(stateAt(9), stateAt(5), 0);
    scene.progress.recordAnswer(stateAt(9));
    await scene.run(25_000);
    expect(scene.mostOpenPolls).to.be.at.most(2);
  });

  it('gives up a poll that waits once another watch learns of a new era', async () => {
    let era = 1;
    await scene.start(
      false,
      () => stateAt(5, era),
      () => stateAt(5, era),
    );
    scene.progress.recordState(stateAt(9, 1), stateAt(5, 1), 0);
    scene.clock.after(1_000, () => {
      era = 2;
      scene.progress.recordState(stateAt(3, 2), stateAt(9, 1), 1_000);
    });
    await scene.run(1_100);
    expect(scene.fullReads).to.deep.equal([stateAt(5, 1), stateAt(5, 2)]);
  });
});
