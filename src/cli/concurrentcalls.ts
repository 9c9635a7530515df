/**
 * Calls to many processes with bounded concurrency.
 *
 * Without the bound, one command would open 11,400 connections at once to a
 * deployment of 11,400 processes. That uses up the command's sockets and the
 * time that it has to complete TLS handshakes.
 */

/** Largest number of calls in flight. */
export const MAX_CONCURRENT_CALLS = 32;
/** Longest wait for one process, in milliseconds. */
export const CALL_TIMEOUT_MS = 3_000;

export interface CallLimits {
  readonly concurrency: number;
  /** Time after which a call counts as failed, in milliseconds. */
  readonly timeoutMs: number;
}

export const DEFAULT_CALL_LIMITS: CallLimits = {
  concurrency: MAX_CONCURRENT_CALLS,
  timeoutMs: CALL_TIMEOUT_MS,
};

/**
 * Runs `call` for every item and returns the results in the order of the
 * items, with undefined for a call that failed or timed out. Never rejects.
 * A call that times out is not cancelled, so it must end by itself soon after.
 */
export async function callEach<T, R>(
  items: readonly T[],
  call: (item: T) => Promise<R>,
  bounds: CallLimits = DEFAULT_CALL_LIMITS,
): Promise<readonly (R | undefined)[]> {
  const results = new Array<R | undefined>(items.length).fill(undefined);
  let next = 0;
  const worker = async () => {
    while (next < items.length) {
      const index = next++;
      results[index] = await callWithTimeout(
        call,
        items[index]!,
        bounds.timeoutMs,
      );
    }
  };
  const workers = Math.min(bounds.concurrency, items.length);
  await Promise.all(Array.from({length: workers}, worker));
  return results;
}

async function callWithTimeout<T, R>(
  call: (item: T) => Promise<R>,
  item: T,
  timeoutMs: number,
): Promise<R | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timedOut = new Promise<undefined>(done => {
    timer = setTimeout(() => done(undefined), timeoutMs);
  });
  try {
    return await Promise.race([call(item), timedOut]);
  } catch {
    return undefined;
  } finally {
    clearTimeout(timer);
  }
}
