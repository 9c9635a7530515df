/**
 * The times of the watches of the store's tables, derived from the platform's
 * bounds.
 *
 * Connections may go silent without an error. A change of a table whose poll is
 * on such a connection shows in the version that the next answer of the leading
 * watch names, and a poll that does not wait, on a connection of its own, brings
 * it. The times of these steps add up to less than the bound on the use of what
 * has changed. If the leading watch's own connection is silent, its poll has to
 * time out first; all watches have caught up again by the time at which an instance
 * counts as in touch.
 *
 * Keys are refused while the configuration was confirmed too long ago. The answer to
 * each poll of the leading watch confirms it, so even one that arrives at its time
 * limit has to come before that age. With a drain bound of 4,000 ms and keys refused
 * after 3,500 ms, a wait of 3,750 ms refused all keys for moments in calm.
 */

/** Bounds of the platform, in milliseconds. */
export interface WatchBounds {
  /** Until which an endpoint may get requests after it was said to leave. */
  readonly drainMs: number;
  /** Until which a configuration must be in force. */
  readonly configurationMs: number;
  /** After which an instance that was disturbed counts as in touch again. */
  readonly contactMs: number;
  /** Age of the configuration above which keys are refused; may be infinite. */
  readonly keyAgeMs: number;
}

/** Times of the watches, in milliseconds. */
export interface WatchTimes {
  /** Longest wait of a poll of the leading watch. */
  readonly leadingWaitMs: number;
  /** Longest wait of a poll of the other watches. */
  readonly followingWaitMs: number;
  /** Time for an answer to arrive, besides the wait that was asked for. */
  readonly answerTimeoutMs: number;
  /** Time for which an answer that should have arrived is still waited for. */
  readonly lateAnswerMs: number;
  /** Least time between two checks of a table whose answer may be lost. */
  readonly checkIntervalMs: number;
}

/** The store takes waits of up to 30 s. */
const FOLLOWING_WAIT_MS = 29_000;
const ANSWER_TIMEOUT_MS = 800;
const LATE_ANSWER_MS = 100;
/** Longest pause of a watch after its first failed call, in milliseconds. */
export const FIRST_BACKOFF_MS = 100;
/** Lowest wait of the leading polls where the bounds leave less. */
const MIN_LEADING_WAIT_MS = 100;
/** A call on a new connection that is answered at once, with some load. */
const ROUND_TRIP_MS = 50;
/** Time for a request that was placed before a change was seen to arrive. */
const SENDING_MS = 50;

/**
 * Longest time from a change until no request is placed without it, if the poll
 * of its table is on a silent connection and the leading watch's is not.
 */
export function noticeMs(times: Omit<WatchTimes, 'checkIntervalMs'>): number {
  const leadingAnswer = times.leadingWaitMs + ROUND_TRIP_MS;
  const check = times.lateAnswerMs + ROUND_TRIP_MS;
  return leadingAnswer + check + SENDING_MS;
}

/**
 * Longest time from the moment at which all connections go silent until all
 * tables have been read again on new ones and no request is placed without.
 */
export function recoveryMs(times: Omit<WatchTimes, 'checkIntervalMs'>): number {
  const {leadingWaitMs, answerTimeoutMs} = times;
  const timeout = leadingWaitMs + answerTimeoutMs;
  const retry = FIRST_BACKOFF_MS + ROUND_TRIP_MS;
  const check = times.lateAnswerMs + ROUND_TRIP_MS;
  return timeout + retry + check + SENDING_MS;
}

/** Age of the configuration when a late answer to a leading poll is read. */
export function confirmedAgeMs(
  times: Omit<WatchTimes, 'checkIntervalMs'>,
): number {
  return times.leadingWaitMs + times.answerTimeoutMs;
}

/** The longest waits with which all bounds hold. */
export function watchTimes(bounds: WatchBounds): WatchTimes {
  const times = {
    leadingWaitMs: 0,
    followingWaitMs: FOLLOWING_WAIT_MS,
    answerTimeoutMs: ANSWER_TIMEOUT_MS,
    lateAnswerMs: LATE_ANSWER_MS,
  };
  const {drainMs, configurationMs, contactMs, keyAgeMs} = bounds;
  const leadingWaitMs = Math.max(
    MIN_LEADING_WAIT_MS,
    Math.min(
      Math.min(drainMs, configurationMs) - noticeMs(times),
      contactMs - recoveryMs(times),
      keyAgeMs - confirmedAgeMs(times),
    ),
  );
  // A check that another change has caused must not delay the next one beyond
  // the answer of the leading watch that shows the need for it.
  const checkIntervalMs = leadingWaitMs + LATE_ANSWER_MS;
  return {...times, leadingWaitMs, checkIntervalMs};
}
