/**
 * The age of the configuration by which keys are refused, on a model clock.
 *
 * Guards against keys that are refused for moments while nothing is wrong, because
 * the leading poll waits for longer than keys stay valid, and against keys that are
 * accepted too long after they were taken away, because a freeze or a suspension of
 * the machine falls between the store's answer and its reading.
 */
import {expect} from 'chai';
import * as fc from 'fast-check';
import {VirtualClock} from '../bench/support/virtualclock';
import {StoreClock} from '../src/gateway/storeclock';
import {StoreProgress} from '../src/gateway/storeprogress';
import {DecodedRead, Table, TableWatch} from '../src/gateway/tablewatch';
import {WatchBounds, watchTimes} from '../src/gateway/watchtimes';
import {Clock, Instant, msSince, readInstant} from '../src/kernel/clock';

const REVOKE_MS = 5_000;
/** Keys are refused on an older configuration. */
const KEY_AGE_MS = 3_500;

/** Bounds of deployments of three sizes. */
const BOUNDS: readonly WatchBounds[] = [
  {drainMs: 2_000, configurationMs: 2_000, contactMs: 3_000},
  {drainMs: 3_000, configurationMs: 3_000, contactMs: 4_000},
  {drainMs: 4_000, configurationMs: 4_000, contactMs: 5_000},
].map(bounds => ({...bounds, keyAgeMs: KEY_AGE_MS}));

/** A machine whose process may be frozen, or which may be suspended as a whole. */
class StoppableClock implements Clock {
  private stoppedUntilMs = 0;
  private suspendedMs = 0;

  constructor(private readonly world: VirtualClock) {}

  now = () => this.world.now();
  elapsedMs = () => this.world.elapsedMs() - this.suspendedMs;

  get isStopped(): boolean {
    return this.world.elapsedMs() < this.stoppedUntilMs;
  }

  stop(ms: number, isSuspended: boolean): void {
    this.stoppedUntilMs = this.world.elapsedMs() + ms;
    // The monotonic clock does not count a suspension.
    if (isSuspended) this.suspendedMs += ms;
  }

  after(delayMs: number, action: () => void) {
    return this.world.after(delayMs, () => this.whenRunning(action));
  }

  /** Runs the action, once the machine runs again if it is stopped. */
  whenRunning(action: () => void): void {
    if (!this.isStopped) return action();
    const leftMs = this.stoppedUntilMs - this.world.elapsedMs();
    this.world.after(leftMs, () => this.whenRunning(action));
  }
}

/** The operator's table, each version of which takes one key away. */
class KeyStore {
  version = 1;
  down = false;
  /** When each version was acknowledged. */
  readonly writtenMs = new Map<number, number>();
  private readonly polls = new Set<() => void>();

  constructor(
    private readonly world: VirtualClock,
    private readonly latencyMs: number,
  ) {}

  takeKeyAway(): void {
    this.version += 1;
    this.writtenMs.set(this.version, this.world.elapsedMs());
    this.polls.forEach(answer => answer());
  }

  table(clock: StoppableClock, timeoutMs: number): Table<number> {
    const dates = new StoreClock(clock);
    const call = (after: number, waitMs: number) =>
      new Promise<DecodedRead<number>>((resolve, reject) => {
        const sent = readInstant(clock);
        const timeout = clock.after(waitMs + timeoutMs, () =>
          reject(new Error('request timed out')),
        );
        const write = () => {
          if (!this.polls.delete(write)) return;
          if (this.down) return;
          const {version} = this;
          const storeMs = this.world.elapsedMs();
          this.world.after(this.latencyMs, () =>
            clock.whenRunning(() => {
              timeout.cancel();
              const asOf = dates.date(sent, storeMs);
              const state = {era: 0, version};
              resolve({change: version, state, rows: 1, asOf});
            }),
          );
        };
        this.world.after(this.latencyMs, () => {
          this.polls.add(write);
          if (this.version > after) write();
          else this.world.after(waitMs, write);
        });
      });
    return {
      name: 'operator',
      read: () => call(0, 0),
      changes: ({version}, waitMs) => call(version, waitMs),
    };
  }
}

/** What a gateway that follows the operator's table knows. */
function startGateway(
  store: KeyStore,
  clock: StoppableClock,
  bounds: WatchBounds,
) {
  const times = watchTimes(bounds);
  let version = 0;
  let asOf: Instant | undefined;
  const watch = new TableWatch<number>(
    store.table(clock, times.answerTimeoutMs),
    {
      handleChange(newest, isFullRead, confirmed) {
        version = newest;
        asOf = confirmed;
      },
      handleNoChange: confirmed => (asOf = confirmed),
      handleInterruption: () => undefined,
      handleOlderRead: () => (asOf = undefined),
    },
    times.leadingWaitMs,
    clock,
    () => undefined,
    undefined,
    {progress: new StoreProgress(), leads: true, times},
  );
  void watch.run();
  return {
    version: () => version,
    acceptsKeys: () => asOf !== undefined && msSince(asOf, clock) <= KEY_AGE_MS,
    stop: () => watch.stop(),
  };
}

interface Scene {
  readonly bounds: WatchBounds;
  readonly latencyMs: number;
  /** Times of what happens, in milliseconds. */
  readonly changesMs: readonly number[];
  readonly stopsMs: number;
  readonly stoppedMs: number;
  readonly isSuspended: boolean;
  readonly downMs: number;
  readonly downForMs: number;
}

const scene: fc.Arbitrary<Scene> = fc.record({
  bounds: fc.constantFrom(...BOUNDS),
  latencyMs: fc.integer({min: 1, max: 60}),
  changesMs: fc.array(fc.integer({min: 4_000, max: 9_000}), {
    minLength: 1,
    maxLength: 4,
  }),
  stopsMs: fc.integer({min: 3_000, max: 9_000}),
  stoppedMs: fc.integer({min: 100, max: 5_000}),
  isSuspended: fc.boolean(),
  downMs: fc.integer({min: 3_000, max: 12_000}),
  downForMs: fc.integer({min: 0, max: 9_000}),
});

const CHECK_INTERVAL_MS = 20;
const END_MS = 22_000;

/** Calls `check` with the time while the gateway runs. */
async function play(
  {bounds, latencyMs, ...events}: Scene,
  check: (
    nowMs: number,
    store: KeyStore,
    gateway: ReturnType<typeof startGateway>,
  ) => void,
): Promise<void> {
  const world = new VirtualClock();
  const clock = new StoppableClock(world);
  const store = new KeyStore(world, latencyMs);
  const gateway = startGateway(store, clock, bounds);
  for (const ms of events.changesMs) {
    world.after(ms, () => store.takeKeyAway());
  }
  world.after(events.stopsMs, () =>
    clock.stop(events.stoppedMs, events.isSuspended),
  );
  world.after(events.downMs, () => (store.down = true));
  world.after(events.downMs + events.downForMs, () => (store.down = false));
  for (let ms = 1_000; ms < END_MS; ms += CHECK_INTERVAL_MS) {
    world.after(ms, () => {
      if (!clock.isStopped) check(ms, store, gateway);
    });
  }
  await world.run(END_MS);
  gateway.stop();
}

describe('age of the configuration', () => {
  for (const bounds of BOUNDS) {
    const title = `drain bound of ${bounds.drainMs} ms`;
    it(`refuses no key in calm with a ${title}`, async () => {
      const calm = {
        changesMs: [],
        stopsMs: 0,
        stoppedMs: 0,
        isSuspended: false,
        downMs: 0,
        downForMs: 0,
      };
      // Answers may take as long as their time limit allows.
      for (const latencyMs of [4, 200, 390]) {
        const refusedMs: number[] = [];
        await play({...calm, bounds, latencyMs}, (ms, store, gateway) => {
          if (!gateway.acceptsKeys()) refusedMs.push(ms);
        });
        expect(refusedMs, `latency of ${latencyMs} ms`).to.deep.equal([]);
      }
    });
  }

  it('refuses a key in time wherever a stop splits its polls', async () => {
    await fc.assert(
      fc.asyncProperty(scene, async played => {
        await play(played, (ms, store, gateway) => {
          if (!gateway.acceptsKeys()) return;
          for (const [version, writtenMs] of store.writtenMs) {
            if (gateway.version() >= version) continue;
            expect(ms - writtenMs).to.be.at.most(REVOKE_MS);
          }
        });
      }),
      {seed: 41, numRuns: 300},
    );
  }).timeout(120_000);
});
