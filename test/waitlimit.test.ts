/**
 * Waiting while a group of ranks is broken.
 *
 * Guards against requests that are refused twice in an outage of a few seconds:
 * callers retry only once, so a second refusal is final. Also guards against
 * requests that still wait after their callers have left.
 */
import {expect} from 'chai';
import {Route} from '../src/gateway/model';
import {retryDelayMs, waitLimit} from '../src/gateway/waitlimit';
import {
  emptyQueue,
  enqueue,
  nextRequest,
  Queue,
  takeExpired,
  takeRetryable,
} from '../src/gateway/queue';

const ROUTE: Route = {
  name: 'draft',
  host: 'desk.example',
  prefix: '/',
  kind: 'stream',
  timeoutMs: 8_000,
  targetLatencyMs: 400,
  targetGapMs: 120,
  priority: 1,
  split: [{service: 's', weight: 1}],
  maxAttempts: 2,
  public: false,
  resumable: true,
};
const DEADLINE_MS = 8_000;
const MEAN_ANSWER_MS = 1_500;

interface Arrival {
  readonly firstMs: number;
  readonly atMs: number;
}

/**
 * Simulates an outage that begins at 0; returns the share of requests that are
 * served and the longest wait of one of them.
 */
function simulateOutage(outageMs: number, random: () => number) {
  const arrivals: Arrival[] = [];
  for (let ms = 0; ms < outageMs; ms += 25) {
    arrivals.push({firstMs: ms, atMs: ms});
  }
  const total = arrivals.length;
  let queue: Queue<Arrival> = emptyQueue();
  let served = 0;
  let longestMs = 0;
  for (let nowMs = 0; nowMs < outageMs + 4_000; nowMs += 5) {
    for (const arrival of arrivals.filter(
      a => Math.ceil(a.atMs / 5) * 5 === nowMs,
    )) {
      const deadlineMs = arrival.firstMs + DEADLINE_MS;
      const time = {
        nowMs,
        deadlineMs,
        route: ROUTE,
        meanAnswerMs: MEAN_ANSWER_MS,
      };
      const {callerMayRetry, untilMs} = waitLimit(time);
      const item = {request: arrival, account: 'a', priority: 1};
      queue = enqueue(queue, {
        ...item,
        arrivedMs: nowMs,
        untilMs,
        callerMayRetry,
      });
    }
    queue = takeExpired(queue, nowMs).queue;
    if (nowMs < outageMs) {
      const {queue: kept, refused} = takeRetryable(queue);
      queue = kept;
      for (const {request} of refused) {
        const leftMs = request.firstMs + DEADLINE_MS - nowMs;
        const atMs = nowMs + retryDelayMs(leftMs, random);
        arrivals.push({...request, atMs});
      }
      continue;
    }
    for (let next = nextRequest(queue); next; next = nextRequest(queue)) {
      const taken = next;
      longestMs = Math.max(longestMs, nowMs - taken.arrivedMs);
      served += 1;
      const waiting = queue.waiting.filter(w => w !== taken);
      queue = {...queue, waiting};
    }
  }
  return {share: served / total, longestMs};
}

describe('wait limit', () => {
  const random = () => 0.5;

  it('serves all requests that arrive in an outage of 3.5 seconds', () => {
    // With one retry and no waiting, those of the first second would be lost.
    expect(simulateOutage(3_500, random).share).to.equal(1);
  });

  it('never lets a stream wait until its caller has left', () => {
    const CALLER_ABANDON_MS = 2_000;
    expect(simulateOutage(12_000, random).longestMs).to.be.below(
      CALLER_ABANDON_MS,
    );
  });

  it('serves requests that can be on time before those that waited', () => {
    const item = {account: 'a', priority: 1, arrivedMs: 0, untilMs: 10};
    let queue: Queue<string> = emptyQueue();
    queue = enqueue(queue, {...item, request: 'late', callerMayRetry: false});
    queue = enqueue(queue, {...item, request: 'fresh', callerMayRetry: true});
    expect(nextRequest(queue)?.request).to.equal('fresh');
  });

  it('does not wait if no time is left for an answer', () => {
    const deadlineMs = 1_000;
    const time = {
      nowMs: 0,
      deadlineMs,
      route: ROUTE,
      meanAnswerMs: MEAN_ANSWER_MS,
    };
    const {callerMayRetry, untilMs} = waitLimit(time);
    expect(callerMayRetry).to.equal(false);
    expect(untilMs).to.be.below(0);
  });
});
