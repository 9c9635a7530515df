/**
 * Background task that holds the duties of one instance at a time, or waits to.
 *
 * It carries out the steps that `lease.ts` decides, one after another, so at most
 * one call to the store is under way. Datagrams are handled between them.
 */
import {Clock, Instant, msSince, readInstant, Timer} from '../kernel/clock';
import {Log} from '../observe/log';
import {HistoryGoneError} from '../gateway/tablewatch';
import {
  applyRead,
  DutyRow,
  Elapsed,
  heldTerm,
  Holder,
  initialLeaseState,
  isHeldFor,
  LeaseState,
  LeaseTimes,
  nextStep,
  recordAlive,
  recordCandidacy,
  recordFailure,
  recordUncertainty,
  recordPing,
  recordWrite,
  Step,
  usableTerm,
  VersionedRow,
} from './lease';

/** The right to make calls for the duties. */
export interface Lease {
  readonly token: number;
  /** Whether the lease stays valid for so long. */
  isValidFor(ms: number): boolean;
}

export interface DatedRow {
  /** Undefined if the row has not changed. */
  readonly changed: VersionedRow | undefined;
  readonly storeVersion: number;
  /** Latest moment at which the answer is certain to have been current. */
  readonly asOf: Instant;
}

/**
 * The row in the store. Its calls throw an error if there is no answer; a write
 * may then be done later.
 */
export interface DutyTable {
  read(): Promise<DatedRow>;
  /** Waits for a change after `storeVersion`; may throw `HistoryGoneError`. */
  poll(storeVersion: number, waitMs: number): Promise<DatedRow>;
  /**
   * Writes the row if its version is the expected one, 0 standing for a row that
   * does not exist; false if it is another.
   */
  write(row: DutyRow, expectedVersion: number): Promise<boolean>;
}

/** A datagram about the duties: a candidate's question or the holder's answer. */
export interface DutyMessage {
  readonly kind: 'dutyPing' | 'dutyAlive';
  readonly duty: string;
  readonly term: number;
}

export interface LeaseDependencies {
  /** Name of the lease in datagrams. */
  readonly duty: string;
  readonly self: Holder;
  readonly table: DutyTable;
  readonly times: LeaseTimes;
  /** Whether this instance may hold the duties now. */
  readonly isCandidate: () => boolean;
  /** Sends a datagram to an `IP:port`. */
  readonly send: (message: DutyMessage, address: string) => void;
  /** Counts calls to the store and changes of the lease. */
  readonly count: (event: string) => void;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
}

/** Interval at which an instance that is no candidate looks whether it is one. */
const IDLE_CHECK_MS = 500;
/** Time for the row to be released when the process stops, in milliseconds. */
const RELEASE_TIMEOUT_MS = 1_500;
/** Least time between two polls that show no change, in milliseconds. */
const MIN_POLL_MS = 100;
/**
 * Interval at which both clocks are compared, in milliseconds. Wall time that is set
 * back hides a suspension only if both happen within one interval and differ by
 * less than `CLOCK_JUMP_MS`.
 */
const CLOCK_CHECK_MS = 100;
/** Wall time is rounded, and adjusted gradually by at most 0.5 ms a second. */
const CLOCK_JUMP_MS = 50;

export class LeaseTask {
  private state: LeaseState;
  private jitter: number;
  private stopping = false;
  private isStarted = false;
  private timer: Timer | undefined;
  private ended: Promise<void> = Promise.resolve();
  private readonly elapsed: ElapsedBounds;
  /** Ends the current wait or poll. */
  private interrupt: () => void = () => undefined;
  /** Whether the last confirmed lease has been reported as valid. */
  private wasValid = false;
  private wasCandidate = false;
  private seenJumps = 0;

  constructor(private readonly deps: LeaseDependencies) {
    this.state = initialLeaseState(deps.self);
    this.jitter = deps.random();
    this.elapsed = new ElapsedBounds(deps.clock, deps.times.leaseMs);
  }

  start(): void {
    this.isStarted = true;
    this.checkClocks();
    this.ended = this.run().catch((error: unknown) =>
      this.deps.log('error', 'lease task failed; no duty is performed', {
        reason: String(error),
      }),
    );
  }

  /** Gives the duties back, within a limited time. The lease ends at once. */
  async stop(): Promise<void> {
    this.stopping = true;
    if (!this.isStarted) return;
    this.interrupt();
    await Promise.race([this.ended, this.sleep(RELEASE_TIMEOUT_MS)]);
    this.isStarted = false;
    this.timer?.cancel();
  }

  /** The lease, if calls may be made now. */
  current(): Lease | undefined {
    const token = this.usableToken(0);
    if (token === undefined) return undefined;
    return {
      token,
      isValidFor: ms => this.usableToken(ms) === token,
    };
  }

  /** Takes a datagram about the duties from an `IP:port`. */
  handleMessage({kind, duty, term}: DutyMessage, from: string): void {
    if (duty !== this.deps.duty) return;
    if (kind === 'dutyAlive') {
      const wasUncertain = this.state.isUncertain;
      this.state = recordAlive(this.state, term, this.elapsed.read());
      if (!wasUncertain && this.state.isUncertain) this.interrupt();
      return;
    }
    const held = heldTerm(this.state);
    if (held === undefined || !this.isValid()) return;
    this.deps.send({kind: 'dutyAlive', duty, term: held}, from);
  }

  private isCandidate(): boolean {
    return !this.stopping && this.deps.isCandidate();
  }

  /** Whether the lease is valid, though perhaps not usable yet. */
  private isValid(): boolean {
    const now = this.elapsed.read();
    return this.isCandidate() && isHeldFor(this.state, 0, now, this.deps.times);
  }

  private usableToken(ms: number): number | undefined {
    if (!this.isCandidate()) return undefined;
    return usableTerm(this.state, ms, this.elapsed.read(), this.deps.times);
  }

  private checkClocks(): void {
    this.elapsed.read();
    this.confirmAfterJump();
    this.reportValidity();
    this.timer = this.deps.clock.after(CLOCK_CHECK_MS, () => {
      if (this.isStarted) this.checkClocks();
    });
  }

  /** Reads the row at once, because a jump of the clocks has ended the lease. */
  private confirmAfterJump(): void {
    const {jumps} = this.elapsed;
    if (jumps === this.seenJumps) return;
    this.seenJumps = jumps;
    if (heldTerm(this.state) === undefined) return;
    this.deps.log('info', 'clocks jumped; reading duty row', {jumps});
    this.state = recordUncertainty(this.state);
    this.interrupt();
  }

  private reportValidity(): void {
    const isValid = this.isValid();
    if (isValid === this.wasValid) return;
    this.wasValid = isValid;
    const {highestTerm: term, seen} = this.state;
    this.deps.count(isValid ? 'lease_valid' : 'lease_ended');
    if (isValid) this.deps.log('info', 'duties acquired', {term});
    else
      this.deps.log('info', 'duties no longer held', {
        term,
        holder: seen?.row?.holder?.instance,
        sinceConfirmedMs: Math.round(
          this.elapsed.read().atMostMs - this.state.confirmedMs,
        ),
      });
  }

  private async run(): Promise<void> {
    for (;;) {
      const isCandidate = this.isCandidate();
      if (isCandidate && !this.wasCandidate)
        this.state = recordCandidacy(this.state, this.elapsed.read());
      this.wasCandidate = isCandidate;
      const step = nextStep(
        this.state,
        isCandidate,
        this.jitter,
        this.elapsed.read(),
        this.deps.times,
      );
      if (step.kind === 'idle' && this.stopping) return;
      if (!this.isStarted) return;
      await this.carryOut(step);
      this.reportValidity();
    }
  }

  private async carryOut(step: Step): Promise<void> {
    const {deps} = this;
    switch (step.kind) {
      case 'idle':
        return this.sleep(IDLE_CHECK_MS);
      case 'wait':
        // The task must notice in time that it is no candidate any more.
        return this.sleep(Math.min(step.ms, IDLE_CHECK_MS));
      case 'ping': {
        const {address, term} = step;
        this.state = recordPing(this.state, this.elapsed.read());
        deps.send({kind: 'dutyPing', duty: deps.duty, term}, address);
        return;
      }
      case 'read':
        await this.read(() => deps.table.read(), 'read');
        return;
      case 'poll':
        return this.poll(step.waitMs);
      case 'write':
        return this.write(step);
    }
  }

  private async poll(waitMs: number): Promise<void> {
    const {clock, table} = this.deps;
    const sentMs = clock.elapsedMs();
    const {seen, storeVersion} = this.state;
    const poll = () => table.poll(storeVersion, waitMs);
    const isAnswered = await this.read(poll, 'poll');
    // A store that does not wait must not be polled without end.
    const isEarly = clock.elapsedMs() - sentMs < Math.min(waitMs, MIN_POLL_MS);
    if (isAnswered && isEarly && this.state.seen === seen)
      await this.sleep(MIN_POLL_MS);
  }

  /** Returns whether an answer has arrived and was used. */
  private async read(
    call: () => Promise<DatedRow>,
    kind: 'read' | 'poll',
  ): Promise<boolean> {
    const {count, clock, log, times} = this.deps;
    count(kind);
    const sent = this.elapsed.read();
    const {jumps} = this.elapsed;
    try {
      // Only polls are interrupted; their answer is not used then.
      const read =
        kind === 'poll' ? await this.untilInterrupt(call()) : await call();
      if (!read) return false;
      const {changed, storeVersion, asOf} = read;
      const now = this.elapsed.read();
      // If the clocks have jumped since, only the time of the call is certain.
      const ageMs =
        this.elapsed.jumps === jumps
          ? Math.max(0, msSince(asOf, clock))
          : now.atMostMs - sent.atMostMs;
      const before = this.state;
      this.state = applyRead(
        this.state,
        {changed, storeVersion, ageMs},
        now,
        times,
      );
      if (this.state.olderSinceMs !== undefined)
        throw new Error('the store answered from an older version than before');
      if (before.failures > 0)
        log('info', 'duty row read again', {failures: before.failures});
      if (this.state.seen?.version !== before.seen?.version) {
        this.jitter = this.deps.random();
        this.logRow();
      }
      return true;
    } catch (error) {
      if (error instanceof HistoryGoneError) {
        log('info', 'changes of duty row no longer in the store; reading it');
        this.state = recordUncertainty(this.state);
      } else {
        this.handleFailure(kind, error);
      }
      return false;
    }
  }

  private async write(step: Extract<Step, {kind: 'write'}>): Promise<void> {
    const {count, log, table} = this.deps;
    const {purpose, row, expectedVersion} = step;
    count(purpose);
    this.state = recordWrite(this.state, step);
    try {
      const isDone = await table.write(row, expectedVersion);
      log('info', isDone ? 'duty row written' : 'duty row has changed', {
        purpose,
        term: row.term,
      });
    } catch (error) {
      this.handleFailure(purpose, error);
    }
  }

  private handleFailure(call: string, error: unknown): void {
    const {count, log, random} = this.deps;
    count('failure');
    // Repeated failures of an outage are logged once.
    log(
      this.state.failures === 0 ? 'warn' : 'debug',
      'call to the store for the duties failed; retrying',
      {call, reason: String(error)},
    );
    this.state = recordFailure(this.state, random(), this.elapsed.read());
  }

  private logRow(): void {
    const {seen} = this.state;
    this.deps.log('info', 'duty row read', {
      version: seen?.version,
      term: seen?.row?.term,
      holder: seen?.row?.holder?.instance,
      challenged: seen?.row?.challenger !== undefined,
    });
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(done => {
      const timer = this.deps.clock.after(ms, done);
      this.interrupt = () => {
        timer.cancel();
        done();
      };
    });
  }

  private async untilInterrupt<T>(answer: Promise<T>): Promise<T | undefined> {
    const interrupted = new Promise<undefined>(done => {
      this.interrupt = () => done(undefined);
    });
    answer.catch((error: unknown) =>
      this.deps.log('debug', 'poll of duty row failed', {
        reason: String(error),
      }),
    );
    return Promise.race([answer, interrupted]);
  }
}

/**
 * Bounds of the elapsed time. The monotonic clock does not count suspensions, and
 * wall time may be set; between two readings the larger difference is an upper bound,
 * unless a step back during a suspension hides part of it. So where the clocks
 * disagree, the upper bound grows by more than a lease besides.
 */
class ElapsedBounds {
  private last: Instant;
  private atMostMs = 0;
  private jumpCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly leaseMs: number,
  ) {
    this.last = readInstant(clock);
  }

  /** Times at which the clocks disagreed. */
  get jumps(): number {
    return this.jumpCount;
  }

  read(): Elapsed {
    const now = readInstant(this.clock);
    const elapsedMs = now.elapsedMs - this.last.elapsedMs;
    const wallMs = now.wallMs - this.last.wallMs;
    this.atMostMs += Math.max(elapsedMs, wallMs);
    if (Math.abs(elapsedMs - wallMs) > CLOCK_JUMP_MS) {
      this.atMostMs += this.leaseMs;
      this.jumpCount += 1;
    }
    this.last = now;
    return {atLeastMs: now.elapsedMs, atMostMs: this.atMostMs};
  }
}
