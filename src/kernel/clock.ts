/**
 * The clock and timers of the program.
 *
 * Decisions receive the time as an argument and tasks read it from a `Clock`
 * that is passed in, so that tests and fuzz models control time. `now` is
 * wall time and may jump; `elapsedMs` is monotonic, so use it for intervals.
 */
export interface Clock {
  /** Wall time. */
  now(): Date;
  /** Milliseconds since an arbitrary start; monotonic. */
  elapsedMs(): number;
  /** Runs `action` once after `delayMs`; the result cancels it. */
  after(delayMs: number, action: () => void): Timer;
}

/** One moment on both clocks, in milliseconds. */
export interface Instant {
  readonly elapsedMs: number;
  readonly wallMs: number;
}

export function readInstant(clock: Clock): Instant {
  return {elapsedMs: clock.elapsedMs(), wallMs: clock.now().getTime()};
}

/**
 * Time since a moment in the past, in milliseconds, at least the true one. The
 * monotonic clock does not count the time for which the machine is suspended, and
 * wall time may be set back; the larger difference counts.
 */
export function msSince({elapsedMs, wallMs}: Instant, clock: Clock): number {
  const now = readInstant(clock);
  return Math.max(now.elapsedMs - elapsedMs, now.wallMs - wallMs);
}

export interface Timer {
  cancel(): void;
}

/** The system's clock. Its timers do not keep the process alive. */
export const systemClock: Clock = {
  now: () => new Date(),
  elapsedMs: () => performance.now(),
  after(delayMs, action) {
    const handle = setTimeout(action, delayMs);
    handle.unref();
    return {cancel: () => clearTimeout(handle)};
  },
};

/** Runs `action` repeatedly, `intervalMs` apart, until cancelled. */
export function repeatEvery(
  clock: Clock,
  intervalMs: number,
  action: () => void,
): Timer {
  let timer = clock.after(intervalMs, tick);
  let cancelled = false;
  function tick() {
    action();
    if (!cancelled) timer = clock.after(intervalMs, tick);
  }
  return {
    cancel() {
      cancelled = true;
      timer.cancel();
    },
  };
}
