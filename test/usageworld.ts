/**
 * Gateways, holders and the platform in virtual time, for the usage reports.
 *
 * Datagrams are lost, doubled, delayed and so reordered; calls are lost, executed
 * without an answer, or executed late; gateways are killed and start again; the
 * duty changes hands at any moment; some wall clocks are stepped.
 */
import {Clock, Timer} from '../src/kernel/clock';
import {HeldDuty} from '../src/duties/dutyholders';
import {UsageMessage} from '../src/duties/usagemessage';
import {AccountCounts, CallOutcome} from '../src/duties/usagereport';
import {UsageCounter, UsageReporter} from '../src/duties/usagetask';

export interface WorldSettings {
  readonly seed: number;
  readonly durationMs: number;
  /** Share of the datagrams that are lost; as many are doubled. */
  readonly loss: number;
  /** Share of the calls that get no answer. */
  readonly unanswered: number;
  /** Mean time between two kills of a gateway. */
  readonly killEveryMs: number;
  /** Mean time for which one instance holds the duty. */
  readonly holdMs: number;
  /** Gateways whose wall clock is stepped, of seven. */
  readonly stepped: number;
}

export interface WorldResult {
  /** Each execution of a report by the platform, in order. */
  readonly executed: ReadonlyArray<{
    readonly window: number;
    readonly counts: string;
    readonly token: number;
  }>;
  /** Requests that began, by `window account`. */
  readonly truth: ReadonlyMap<string, number>;
  /** Those of them that a kill may have lost. */
  readonly mayBeLost: ReadonlyMap<string, number>;
  readonly holderChanges: number;
  readonly firstWindow: number;
  readonly lastWindow: number;
}

export const TIMES = {windowMs: 5_000, lateMs: 10_000};
const ACCOUNTS = ['almar', 'bruvik', 'cerna'];
const ENTRIES = 7;
const CANDIDATES = 3;
const TICK_MS = 10;
const EPOCH_MS = 1_765_000_000_000;
const STORE_LAG_MS = 1_764_000_000_123;
const CALL_TIMEOUT_MS = 800;
/** Time between two holders, as a new one waits for `lease-ms`. */
const HANDOVER_MS = 3_000;
const MAX_STEP_MS = 600_000;
/** Time from the beginning of a request until a gateway sees it, at most. */
const MAX_SEEN_DELAY_MS = 1_500;
/** Within this time before a kill, counts may not have reached a holder. */
const LOST_MS = 5_000;
/** Time from the beginning of a window until its report is late. */
const WINDOW_LIFE_MS = 15_000;

export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = Math.imul(state ^ (state >>> 15), state | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32;
  };
}

export async function simulateUsage(
  settings: WorldSettings,
): Promise<WorldResult> {
  const random = seededRandom(settings.seed);
  const due = new Map<number, Array<() => void>>();
  let tick = 0;
  const elapsedMs = () => tick * TICK_MS;
  const trueMs = () => EPOCH_MS + elapsedMs();
  const storeMs = () => trueMs() - STORE_LAG_MS;

  function schedule(delayMs: number, action: () => void): void {
    const at = tick + Math.max(1, Math.ceil(delayMs / TICK_MS));
    due.set(at, [...(due.get(at) ?? []), action]);
  }

  /** The clock of a process; its timers end when `isAlive` turns false. */
  function clockOf(stepMs: () => number, isAlive: () => boolean): Clock {
    return {
      now: () => new Date(trueMs() + stepMs()),
      elapsedMs,
      after(delayMs, action): Timer {
        let cancelled = false;
        schedule(delayMs, () => {
          if (!cancelled && isAlive()) action();
        });
        return {cancel: () => (cancelled = true)};
      },
    };
  }

  function transmit(deliver: () => void): void {
    const copies = random() < settings.loss ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      if (random() < settings.loss) continue;
      schedule(random() < 0.1 ? random() * 1_500 : random() * 20, deliver);
    }
  }

  const executed: Array<WorldResult['executed'][number]> = [];
  const truth = new Map<string, number>();
  const mayBeLost = new Map<string, number>();

  // The duty passes from one candidate to another.
  let holder = {index: -1, token: 0, untilMs: 0, fromMs: Infinity};
  let changes = 0;
  const changesMs: number[] = [];
  function changeHolder(): void {
    if (elapsedMs() < holder.untilMs) return;
    const fromMs = elapsedMs() + (holder.index < 0 ? 0 : HANDOVER_MS);
    const untilMs = fromMs + settings.holdMs * (0.3 + 1.4 * random());
    const index = Math.floor(random() * CANDIDATES);
    holder = {index, token: holder.token + 1, fromMs, untilMs};
    changes += 1;
    changesMs.push(fromMs);
    // The instance may also be a new process there.
    if (random() < 0.5) reporters[index] = newReporter(index);
  }

  function call(
    window: number,
    counts: AccountCounts,
    token: number,
  ): Promise<CallOutcome> {
    const text = JSON.stringify([...counts].sort());
    const execute = () => executed.push({window, counts: text, token});
    return new Promise((resolve, reject) => {
      if (random() >= settings.unanswered) {
        return schedule(random() * 400, () => {
          execute();
          resolve('done');
        });
      }
      const fate = random();
      if (fate < 0.4) schedule(random() * 400, execute);
      else if (fate < 0.7) schedule(random() * 2_500, execute);
      schedule(CALL_TIMEOUT_MS, () =>
        random() < 0.5 ? resolve('unknown') : reject(new Error('timed out')),
      );
    });
  }

  const stopped = new Set<UsageReporter>();
  function newReporter(index: number): UsageReporter {
    const former = reporters[index];
    if (former) stopped.add(former);
    const reporter: UsageReporter = new UsageReporter({
      times: TIMES,
      clock: clockOf(
        () => 0,
        () => !stopped.has(reporter),
      ),
      storeMs,
      lease: () => {
        const {token, fromMs, untilMs} = holder;
        const isHeld = elapsedMs() >= fromMs && elapsedMs() < untilMs;
        if (holder.index !== index || !isHeld) return undefined;
        return {token, isValidFor: ms => elapsedMs() + ms <= untilMs};
      },
      gateways: () => ENTRIES,
      callTimeoutMs: CALL_TIMEOUT_MS,
      report: call,
      metrics: {increment: () => undefined, registerGauge: () => undefined},
      log: () => undefined,
    });
    reporter.start();
    return reporter;
  }
  const reporters: UsageReporter[] = [];
  for (let i = 0; i < CANDIDATES; i++) reporters[i] = newReporter(i);

  const alive = new Set<UsageCounter>();
  const steps = Array.from({length: ENTRIES}, () => 0);
  const counters: Array<UsageCounter | undefined> = [];
  const recent: Array<Array<{readonly key: string; readonly ms: number}>> = [];
  function newCounter(index: number): UsageCounter {
    const counter: UsageCounter = new UsageCounter({
      entry: `entry-${index}`,
      zone: 'z1',
      times: TIMES,
      clock: clockOf(
        () => steps[index]!,
        () => alive.has(counter),
      ),
      storeMs,
      demand: () => [],
      loads: () => [],
      send: (host, message: UsageMessage) => {
        const text = JSON.stringify(message);
        transmit(() =>
          reporters[Number(host)]!.handleMessage(
            JSON.parse(text) as UsageMessage,
          ),
        );
      },
      log: () => undefined,
    });
    alive.add(counter);
    recent[index] = [];
    counter.start();
    return counter;
  }
  for (let i = 0; i < ENTRIES; i++) counters[i] = newCounter(i);

  function serveRequest(index: number): void {
    const counter = counters[index];
    if (!counter) return;
    const account = ACCOUNTS[Math.floor(random() ** 2 * ACCOUNTS.length)]!;
    const beganMs = elapsedMs();
    const key = `${Math.floor(trueMs() / TIMES.windowMs)} ${account}`;
    truth.set(key, (truth.get(key) ?? 0) + 1);
    recent[index]!.push({key, ms: beganMs});
    schedule(random() ** 3 * MAX_SEEN_DELAY_MS, () => {
      if (alive.has(counter)) counter.recordRun(account, beganMs);
    });
  }

  interface Kill {
    readonly atMs: number;
    readonly requests: (typeof recent)[number];
  }
  const kills: Kill[] = [];
  /**
   * Counts of a process that has ended are known to the holder of that time only,
   * so that they are lost if the holder changes too.
   */
  function recordLost({atMs, requests}: Kill): void {
    const hasNewHolder = changesMs.some(
      ms => ms > atMs - WINDOW_LIFE_MS && ms < atMs + WINDOW_LIFE_MS,
    );
    const lostMs = hasNewHolder ? WINDOW_LIFE_MS : LOST_MS;
    for (const {key, ms} of requests) {
      if (atMs - ms > lostMs) continue;
      mayBeLost.set(key, (mayBeLost.get(key) ?? 0) + 1);
    }
  }

  function killEntry(index: number): void {
    const counter = counters[index];
    if (!counter || alive.size < ENTRIES) return;
    alive.delete(counter);
    counters[index] = undefined;
    kills.push({atMs: elapsedMs(), requests: recent[index]!});
    schedule(500 + random() * 2_000, () => {
      counters[index] = newCounter(index);
    });
  }

  const ticks = settings.durationMs / TICK_MS;
  for (tick = 1; tick <= ticks; tick++) {
    changeHolder();
    for (const action of due.get(tick) ?? []) action();
    due.delete(tick);
    for (let i = 0; i < ENTRIES; i++) if (random() < 0.2) serveRequest(i);
    if (random() < TICK_MS / settings.killEveryMs)
      killEntry(Math.floor(random() * ENTRIES));
    if (random() < TICK_MS / 10_000 && settings.stepped > 0) {
      const index = Math.floor(random() * settings.stepped);
      steps[index] = (random() - 0.5) * 2 * MAX_STEP_MS;
    }
    if (tick % 50 === 0) {
      reporters.forEach((reporter, i) => {
        const {held} = reporter;
        if (!held) return;
        const text = JSON.stringify([held]);
        for (const counter of alive) {
          transmit(() => {
            const duties = JSON.parse(text) as HeldDuty[];
            if (alive.has(counter)) counter.handleDuties(String(i), duties);
          });
        }
      });
    }
    // Lets the handlers of answered calls run.
    for (let i = 0; i < 4; i++) await Promise.resolve();
  }
  kills.forEach(recordLost);
  return {
    executed,
    truth,
    mayBeLost,
    holderChanges: changes,
    firstWindow: Math.ceil(EPOCH_MS / TIMES.windowMs),
    lastWindow: Math.floor((trueMs() - TIMES.lateMs) / TIMES.windowMs) - 1,
  };
}
