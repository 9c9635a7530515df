/**
 * Measures how late the event loop runs its timers.
 *
 * A process that is short of processor time reads its sockets as late as it
 * runs its timers, so a long delay explains what it noticed late: a closed
 * connection, an answer or the end of a time limit.
 */
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {Log} from './log';

/** Interval between two measurements, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Delay from which a measurement is logged, in milliseconds. */
const MIN_LOGGED_DELAY_MS = 250;

export class LoopDelayMonitor {
  private dueMs = Infinity;
  private lastMs = 0;
  private timer: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly record: (delayMs: number) => void,
  ) {}

  start(): void {
    this.dueMs = this.clock.elapsedMs() + CHECK_INTERVAL_MS;
    this.timer = repeatEvery(this.clock, CHECK_INTERVAL_MS, () => this.check());
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** The last measured delay or, if larger, that of the overdue one, in ms. */
  currentMs(): number {
    const overdueMs = this.clock.elapsedMs() - this.dueMs;
    return Math.round(Math.max(this.lastMs, overdueMs));
  }

  private check(): void {
    const nowMs = this.clock.elapsedMs();
    this.lastMs = Math.max(0, nowMs - this.dueMs);
    this.dueMs = nowMs + CHECK_INTERVAL_MS;
    this.record(this.lastMs);
    if (this.lastMs < MIN_LOGGED_DELAY_MS) return;
    const ms = Math.round(this.lastMs);
    this.log('warn', 'event loop delayed', {ms});
  }
}
