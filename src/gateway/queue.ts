/**
 * Requests that wait for a free endpoint of their service.
 *
 * Load pattern: for some seconds more requests arrive than the endpoints can
 * serve in time. Without a limit on waiting, all requests would be late. A
 * request waits only as long as its first event or answer can still be on time
 * or, if its caller cannot retry, as long as its answer can still be complete
 * by the deadline (`waitlimit.ts`). After that it is refused and told when to
 * retry. More urgent requests go first. Among equally urgent ones, those that
 * can still be on time go before those that have been refused once. Then the
 * account with the fewest requests served recently goes first, so an account
 * that sends or retries a lot delays only itself.
 */
import {Map} from 'immutable';

export interface QueuedRequest<T> {
  readonly request: T;
  readonly account: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedMs: number;
  /** Time after which waiting is useless. */
  readonly untilMs: number;
  /** Whether the caller is told to retry while the service has no endpoint. */
  readonly callerMayRetry: boolean;
}

export interface Queue<T> {
  readonly waiting: readonly QueuedRequest<T>[];
  /** Recently placed requests by account, decaying over time. */
  readonly served: Map<string, number>;
  /** Time up to which `served` has decayed. */
  readonly decayedMs: number;
}

/** Time constant of the decay of `served`, in ms. */
const SERVED_DECAY_MS = 5_000;
const MIN_DECAY_INTERVAL_MS = 100;

export function emptyQueue<T>(): Queue<T> {
  return {waiting: [], served: Map(), decayedMs: 0};
}

export function enqueue<T>(queue: Queue<T>, item: QueuedRequest<T>): Queue<T> {
  return {...queue, waiting: [...queue.waiting, item]};
}

export function removeRequest<T>(queue: Queue<T>, request: T): Queue<T> {
  const waiting = queue.waiting.filter(w => w.request !== request);
  return {...queue, waiting};
}

/** Counts a request sent to an endpoint, from the queue or directly. */
export function countPlaced<T>(
  queue: Queue<T>,
  account: string,
  nowMs: number,
): Queue<T> {
  const {served, decayedMs} = decayServed(queue, nowMs);
  const count = served.get(account, 0) + 1;
  return {...queue, served: served.set(account, count), decayedMs};
}

/** The request to serve next, among those for which `fits` holds. */
export function nextRequest<T>(
  queue: Queue<T>,
  fits: (item: QueuedRequest<T>) => boolean = () => true,
  isStarved: (priority: number) => boolean = () => false,
): QueuedRequest<T> | undefined {
  let best: QueuedRequest<T> | undefined;
  for (const item of queue.waiting) {
    if (!fits(item)) continue;
    if (!best || goesBefore(queue, item, best, isStarved)) best = item;
  }
  return best;
}

/** Waiting requests that are at least as urgent as one that arrives. */
export function countAhead<T>(
  {waiting}: Queue<T>,
  priority: number,
  isStarved: (priority: number) => boolean,
): number {
  const isFirst = isStarved(priority);
  return waiting.filter(
    w => isStarved(w.priority) || (!isFirst && w.priority <= priority),
  ).length;
}

/** Number of waiting requests that are served before the given one. */
export function countBefore<T>(
  queue: Queue<T>,
  item: QueuedRequest<unknown>,
  isStarved: (priority: number) => boolean,
): number {
  return queue.waiting.filter(w => goesBefore(queue, w, item, isStarved))
    .length;
}

/** Removes and returns the requests whose time to wait is over. */
export function takeExpired<T>(
  queue: Queue<T>,
  nowMs: number,
): {readonly queue: Queue<T>; readonly expired: readonly QueuedRequest<T>[]} {
  const expired = queue.waiting.filter(w => w.untilMs <= nowMs);
  if (expired.length === 0) return {queue, expired};
  const waiting = queue.waiting.filter(w => w.untilMs > nowMs);
  return {queue: {...queue, waiting}, expired};
}

/** Removes and returns the requests whose callers may retry. */
export function takeRetryable<T>(queue: Queue<T>): {
  readonly queue: Queue<T>;
  readonly refused: readonly QueuedRequest<T>[];
} {
  const refused = queue.waiting.filter(w => w.callerMayRetry);
  const waiting = queue.waiting.filter(w => !w.callerMayRetry);
  return {queue: {...queue, waiting}, refused};
}

function goesBefore<T>(
  queue: Queue<T>,
  a: QueuedRequest<unknown>,
  b: QueuedRequest<unknown>,
  isStarved: (priority: number) => boolean,
): boolean {
  const isFirst = isStarved(a.priority);
  if (isFirst !== isStarved(b.priority)) return isFirst;
  if (a.priority !== b.priority) return a.priority < b.priority;
  if (a.callerMayRetry !== b.callerMayRetry) return a.callerMayRetry;
  const [servedA, servedB] = [a, b].map(w => queue.served.get(w.account, 0));
  if (servedA !== servedB) return servedA! < servedB!;
  return a.arrivedMs < b.arrivedMs;
}

function decayServed<T>(
  {served, decayedMs}: Queue<T>,
  nowMs: number,
): Pick<Queue<T>, 'served' | 'decayedMs'> {
  const passedMs = nowMs - decayedMs;
  if (passedMs < MIN_DECAY_INTERVAL_MS) return {served, decayedMs};
  const factor = Math.exp(-passedMs / SERVED_DECAY_MS);
  const MIN_COUNT = 0.05;
  const kept = served.map(n => n * factor).filter(n => n >= MIN_COUNT);
  return {served: kept, decayedMs: nowMs};
}
