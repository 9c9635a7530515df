/**
 * A world for tests of the lease: instances with clocks of their own, a store, the
 * datagrams between instances and the platform's calls, with faults in all of them.
 */
import {VirtualClock} from '../bench/support/virtualclock';
import {
  DUTY_CALL_TIMEOUT_MS,
  DutyRow,
  LeaseTimes,
  leaseTimes,
  VersionedRow,
} from '../src/duties/lease';
import {DatedRow, DutyTable, Lease, LeaseTask} from '../src/duties/leasetask';
import {StoreClock} from '../src/gateway/storeclock';
import {HistoryGoneError} from '../src/gateway/tablewatch';
import {Clock, readInstant, Timer} from '../src/kernel/clock';
import {DutyCall} from '../standins/cloud';

export const LEASE_MS = 3_000;
export const THAW_MS = 300;
/** Time for which calls are excused after the platform was disrupted. */
const JUST_DISRUPTED_MS = 5_000;
/** Time limit of a call to the store, in addition to its wait. */
const ANSWER_TIMEOUT_MS = 800;

export type FaultKind =
  | 'freeze'
  | 'suspend'
  | 'clockStep'
  | 'die'
  | 'stop'
  | 'stopLeading'
  | 'cut'
  | 'noStore'
  | 'noDatagrams'
  | 'storeDown'
  | 'lostAnswers'
  | 'lateStore'
  | 'noWrites'
  | 'historyGone'
  | 'platformLate';

export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  /** Index of the instance; not used by faults of the store and the platform. */
  readonly instance: number;
  readonly stepMs: number;
}

function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = Math.imul(state ^ (state >>> 15), state | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** One instance: its clocks, what it can reach, and its process. */
class Instance implements Clock {
  isFrozen = false;
  isSuspended = false;
  isLeading = true;
  readonly faults = new Set<FaultKind>();
  /** When it was last resumed or its link restored, in true time. */
  resumedMs = -Infinity;
  task!: LeaseTask;
  /** Counts the processes; actions of earlier ones are dropped. */
  run = 0;
  isAlive = false;
  private stepMs = 0;
  private suspendedMs = 0;
  private suspendedAtMs = 0;
  private pending: (() => void)[] = [];

  constructor(
    readonly world: DutyWorld,
    readonly name: string,
    readonly address: string,
    private readonly rate: number,
  ) {}

  now = () => new Date(this.world.trueMs * this.rate + this.stepMs);

  elapsedMs = () => {
    const awakeMs = this.isSuspended ? this.suspendedAtMs : this.world.trueMs;
    return (awakeMs - this.suspendedMs) * this.rate;
  };

  after(delayMs: number, action: () => void): Timer {
    const dueMs = this.elapsedMs() + delayMs;
    let cancelled = false;
    const fire = () => {
      const leftMs = dueMs - this.elapsedMs();
      if (cancelled) return;
      // The monotonic clock stood still during a suspension.
      if (leftMs > 0.5) arm(leftMs);
      else action();
    };
    const arm = (ms: number) =>
      this.world.after(ms / this.rate, this.inProcess(fire));
    arm(delayMs);
    return {cancel: () => (cancelled = true)};
  }

  /** Runs the action in the present process once it is neither frozen nor dead. */
  inProcess<A extends readonly unknown[]>(
    action: (...args: A) => void,
  ): (...args: A) => void {
    const {run} = this;
    const guarded = (...args: A) => {
      if (run !== this.run || !this.isAlive) return;
      if (this.isFrozen || this.isSuspended)
        this.pending.push(() => guarded(...args));
      else action(...args);
    };
    return guarded;
  }

  setWallTime(stepMs: number): void {
    this.stepMs += stepMs;
  }

  suspend(): void {
    this.suspendedAtMs = this.world.trueMs;
    this.isSuspended = true;
  }

  resume(): void {
    if (this.isSuspended)
      this.suspendedMs += this.world.trueMs - this.suspendedAtMs;
    this.isSuspended = false;
    this.isFrozen = false;
    this.resumedMs = this.world.trueMs;
    const {pending} = this;
    this.pending = [];
    // Timers and sockets are served in any order after a resumption.
    for (const action of pending.sort(() => this.world.random() - 0.5))
      action();
  }

  get canReachStore(): boolean {
    return !this.faults.has('cut') && !this.faults.has('noStore');
  }

  get canSendDatagrams(): boolean {
    return !this.faults.has('cut') && !this.faults.has('noDatagrams');
  }
}

/** The store: one row, whose version counts writes of other tables as well. */
class FakeStore {
  row: VersionedRow = {row: undefined, version: 0};
  version = 10;
  readonly terms: number[] = [];
  writes = 0;
  reads = 0;
  polls = 0;
  private oldest = 0;
  private readonly waiting = new Set<() => void>();

  /** Starts at any time; the difference to the clocks of instances is unknown. */
  constructor(
    private readonly world: DutyWorld,
    private readonly offsetMs: number,
  ) {}

  nowMs(): number {
    return Math.round(this.world.trueMs + this.offsetMs);
  }

  write(row: DutyRow, expectedVersion: number): boolean {
    if (this.row.version !== expectedVersion) return false;
    this.world.checkOverlap(row);
    this.version += 1;
    this.writes += 1;
    this.row = {row, version: this.version};
    this.terms.push(row.term);
    this.wake();
    return true;
  }

  writeOtherTable(): void {
    this.version += 1;
  }

  dropHistory(): void {
    this.version += 1;
    this.oldest = this.version;
    this.wake();
  }

  private wake(): void {
    for (const check of [...this.waiting]) check();
  }

  poll(
    after: number,
    waitMs: number,
    answer: (changed: VersionedRow | undefined | 'gone') => void,
  ): void {
    let isDone = false;
    const finish = () => {
      if (isDone) return;
      isDone = true;
      this.waiting.delete(check);
      if (after < this.oldest) answer('gone');
      else answer(this.row.version > after ? this.row : undefined);
    };
    const check = () => {
      if (this.row.version > after || after < this.oldest) finish();
    };
    this.waiting.add(check);
    this.world.after(waitMs, finish);
    check();
  }
}

export class DutyWorld {
  readonly clock = new VirtualClock();
  readonly random: () => number;
  readonly store: FakeStore;
  readonly instances: readonly Instance[];
  readonly calls: DutyCall[] = [];
  readonly times: LeaseTimes = leaseTimes(LEASE_MS);
  readonly logs: string[] = [];
  /** Terms that were acquired while the lease on another was still valid. */
  readonly overlaps: string[] = [];
  /** Share of messages that are lost, late, repeated or refused. */
  noise: number;
  private readonly faults = new Set<FaultKind>();
  private disruptedMs = -Infinity;

  constructor(seed: number, count: number, noise: number) {
    this.random = seededRandom(seed);
    this.noise = noise;
    this.store = new FakeStore(this, Math.floor(this.random() * 1e6));
    this.instances = Array.from(
      {length: count},
      (_, i) =>
        new Instance(
          this,
          `i-${i}`,
          `10.0.0.${i + 1}:7000`,
          1 + (this.random() - 0.5) * 0.0008,
        ),
    );
    for (const instance of this.instances) this.startProcess(instance);
  }

  get trueMs(): number {
    return this.clock.elapsedMs();
  }

  after(ms: number, action: () => void): Timer {
    return this.clock.after(ms, action);
  }

  wait(ms: number): Promise<void> {
    this.clock.after(ms, () => undefined);
    return this.clock.run(this.trueMs + ms);
  }

  /** Waits until an instance may make calls; returns the time that took. */
  async waitForHolder(limitMs: number): Promise<number> {
    const startMs = this.trueMs;
    while (this.trueMs - startMs < limitMs) {
      if (this.holders().length > 0) return this.trueMs - startMs;
      await this.wait(100);
    }
    return Infinity;
  }

  /** Records running instances that hold a lease although another acquires it. */
  checkOverlap({term, holder}: DutyRow): void {
    const isAcquired = term > Math.max(0, ...this.store.terms);
    if (!isAcquired || !holder) return;
    for (const {name} of this.holders()) {
      if (name !== holder.instance)
        this.overlaps.push(
          `term ${term} of ${holder.instance}, held by ${name}`,
        );
    }
  }

  /** Instances that may make calls now. */
  holders(): readonly Instance[] {
    return this.instances.filter(
      i => i.isAlive && !i.isFrozen && !i.isSuspended && i.task.current(),
    );
  }

  begin({kind, instance: index, durationMs, stepMs}: Fault): void {
    const instance = this.instances[index % this.instances.length]!;
    const end = (action: () => void) => this.after(durationMs, action);
    switch (kind) {
      case 'freeze':
      case 'suspend':
        if (instance.isFrozen || instance.isSuspended) return;
        if (kind === 'freeze') instance.isFrozen = true;
        else instance.suspend();
        end(() => instance.resume());
        return;
      case 'clockStep':
        return instance.setWallTime(stepMs);
      case 'die':
        instance.isAlive = false;
        end(() => this.startProcess(instance));
        return;
      case 'stop': {
        const {run} = instance;
        void instance.task.stop().then(() => {
          if (instance.run === run) instance.isAlive = false;
        });
        end(() => this.startProcess(instance));
        return;
      }
      case 'stopLeading':
        instance.isLeading = false;
        end(() => (instance.isLeading = true));
        return;
      case 'cut':
      case 'noStore':
      case 'noDatagrams':
      case 'noWrites':
        instance.faults.add(kind);
        end(() => {
          instance.faults.delete(kind);
          if (kind === 'cut') instance.resumedMs = this.trueMs;
        });
        return;
      case 'historyGone':
        return this.store.dropHistory();
      default:
        this.faults.add(kind);
        end(() => {
          this.faults.delete(kind);
          if (kind === 'platformLate') this.disruptedMs = this.trueMs;
        });
    }
  }

  private isDue(share: number): boolean {
    return this.random() < share;
  }

  private delayMs(): number {
    if (this.faults.has('lateStore') && this.isDue(0.5))
      return this.random() * 5_000;
    if (this.isDue(this.noise / 4)) return this.random() * 3_000;
    return 1 + this.random() * 20;
  }

  private startProcess(instance: Instance): void {
    if (instance.isFrozen || instance.isSuspended) instance.resume();
    instance.run += 1;
    instance.isAlive = true;
    const process = `${instance.name}/${instance.run}`;
    instance.task = new LeaseTask({
      duty: 'all',
      self: {instance: instance.name, process, address: instance.address},
      table: this.tableFor(instance),
      times: this.times,
      isCandidate: () => instance.isLeading,
      send: (message, address) => {
        const to = this.instances.find(i => i.address === address);
        if (!to || !instance.canSendDatagrams) return;
        if (this.isDue(this.noise)) return;
        const copies = this.isDue(this.noise) ? 2 : 1;
        for (let i = 0; i < copies; i++) {
          this.after(this.delayMs(), () => {
            if (!to.canSendDatagrams || !to.isAlive) return;
            to.inProcess(() =>
              to.task.handleMessage(message, instance.address),
            )();
          });
        }
      },
      count: () => undefined,
      clock: instance,
      log: (_, event, fields) =>
        this.logs.push(
          `${this.trueMs} ${process} ${event} ${JSON.stringify(fields)}`,
        ),
      random: this.random,
    });
    instance.task.start();
    this.performDuties(instance, instance.task);
  }

  /** Makes calls whenever the lease allows it, as the cloud client does. */
  private performDuties(instance: Instance, task: LeaseTask): void {
    const perform = () => {
      const lease = task.current();
      if (lease) {
        for (const subject of ['usage', 'scale/s/z'])
          this.call(instance, lease, subject);
      }
      instance.after(50 + this.random() * 200, perform);
    };
    perform();
  }

  private call(instance: Instance, lease: Lease, subject: string): void {
    if (!lease.isValidFor(DUTY_CALL_TIMEOUT_MS)) return;
    const endMs = instance.elapsedMs() + DUTY_CALL_TIMEOUT_MS;
    const connectMs = this.random() * (this.isDue(0.2) ? 500 : 20);
    this.after(
      connectMs,
      instance.inProcess(() => {
        const leftMs = endMs - instance.elapsedMs();
        if (leftMs <= 0 || !lease.isValidFor(leftMs)) return;
        const sentMs = this.trueMs;
        const arriveMs = this.random() * (this.isDue(0.2) ? leftMs : 20);
        this.after(arriveMs, () =>
          this.deliver(instance, lease.token, subject, sentMs + leftMs),
        );
      }),
    );
  }

  /** The bytes of a call are in the sender's socket until they can leave. */
  private deliver(
    instance: Instance,
    token: number,
    subject: string,
    resetMs: number,
  ): void {
    const isCut = instance.faults.has('cut');
    if (instance.isSuspended || isCut) {
      // On a cut the sender resets the connection in time, if it runs.
      const isReset = isCut && this.trueMs > resetMs && !instance.isFrozen;
      if (isReset) return;
      this.after(20, () => this.deliver(instance, token, subject, resetMs));
      return;
    }
    const execute = () => {
      const isThawed = this.trueMs - instance.resumedMs <= THAW_MS;
      const isDisrupted =
        this.faults.has('platformLate') ||
        this.trueMs - this.disruptedMs <= JUST_DISRUPTED_MS;
      this.calls.push({
        atMs: this.trueMs,
        holder: instance.name,
        token,
        subject,
        isExcused: isThawed || isDisrupted,
      });
    };
    if (this.faults.has('platformLate') && this.isDue(0.5))
      this.after(this.random() * JUST_DISRUPTED_MS, execute);
    else execute();
  }

  /** A client of the store for an instance, with the time limits of the real one. */
  private tableFor(instance: Instance): DutyTable {
    const storeClock = new StoreClock(instance);
    const {store} = this;
    const call = <T>(
      waitMs: number,
      execute: (answer: (value: T | 'gone') => void) => void,
    ) =>
      new Promise<{readonly value: T; readonly storeMs: number}>(
        (resolve, reject) => {
          const settle = instance.inProcess((action: () => void) => action());
          instance.after(waitMs + ANSWER_TIMEOUT_MS, () =>
            reject(new Error('request timed out')),
          );
          if (!instance.canReachStore || this.isDue(this.noise)) return;
          this.after(this.delayMs(), () => {
            if (this.faults.has('storeDown') || this.isDue(this.noise / 2)) {
              settle(() => reject(new Error('status 503')));
              return;
            }
            execute(value => {
              const storeMs = store.nowMs();
              if (!instance.canReachStore || this.faults.has('storeDown'))
                return;
              if (this.isDue(this.faults.has('lostAnswers') ? 0.7 : this.noise))
                return;
              this.after(this.delayMs(), () =>
                settle(() => {
                  if (value === 'gone') reject(new HistoryGoneError());
                  else resolve({value, storeMs});
                }),
              );
            });
          });
        },
      );
    const dated = async (
      waitMs: number,
      execute: (answer: (value: Answer | 'gone') => void) => void,
    ): Promise<DatedRow> => {
      const sent = readInstant(instance);
      const {value, storeMs} = await call<Answer>(waitMs, execute);
      return {...value, asOf: storeClock.date(sent, storeMs)};
    };
    return {
      read: () =>
        dated(0, answer => {
          store.reads += 1;
          answer({changed: store.row, storeVersion: store.version});
        }),
      poll: (after, waitMs) =>
        dated(waitMs, answer => {
          store.polls += 1;
          store.poll(after, waitMs, changed =>
            answer(
              changed === 'gone'
                ? 'gone'
                : {changed, storeVersion: store.version},
            ),
          );
        }),
      write: async (row, expectedVersion) => {
        const {value} = await call<boolean>(0, answer => {
          if (instance.faults.has('noWrites')) return;
          const isDone = store.write(row, expectedVersion);
          // A repeated transaction is answered by its second execution.
          const isRepeated = this.isDue(this.noise);
          answer(isRepeated ? store.write(row, expectedVersion) : isDone);
        });
        return value;
      },
    };
  }
}

type Answer = Pick<DatedRow, 'changed' | 'storeVersion'>;
