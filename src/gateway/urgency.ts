/**
 * Waits and refusals by urgency while a service has too little room.
 *
 * Load pattern: streams of several priorities compete for the same endpoints, and
 * more arrive than can be served. Less urgent ones have longer target latencies, so
 * a wait that is a share of the target latency favours them, and the most urgent
 * are refused most often. Here the wait follows the urgency, and a request whose
 * turn cannot come within its wait is refused at once, by the rate at which room
 * frees at this entry and by what stands before it. A class that gets much less
 * than its share of the room goes first until it does not. Services whose
 * routes all have one priority are not affected.
 */
import {Map} from 'immutable';
import {Configuration} from './model';
import {retryDelayMs, WaitConditions, WaitLimit, waitLimit} from './waitlimit';

/** The urgency classes of a service. */
export interface UrgencyClasses {
  /** Priorities of its routes, the most urgent first. */
  readonly priorities: readonly number[];
  /** Shortest target latency of its routes, in milliseconds. */
  readonly latencyMs: number;
}

/** What an entry knows of a service's requests and room; counts decay. */
export interface RoomHistory {
  /** Requests by class, from their callers and to endpoints. */
  readonly arrived: Map<number, number>;
  readonly placed: Map<number, number>;
  /** Slots that became free for this entry. */
  readonly freed: number;
  readonly sinceMs: number;
  readonly decayedMs: number;
}

/** Time constants of the decay, in milliseconds. */
const CLASS_DECAY_MS = 5_000;
const ROOM_DECAY_MS = 1_000;
const MIN_DECAY_INTERVAL_MS = 50;

/**
 * Waits of the most and the least urgent class, as shares of the shortest target
 * latency; those between are spaced evenly. In a trial on a deployment 0.7, 0.4 and
 * 0.05 served 0.435 in place of 0.316, together with the limit at every rank.
 */
const MOST_URGENT_WAIT_SHARE = 0.7;
const LEAST_URGENT_WAIT_SHARE = 0.05;

/**
 * Part of its share of the room below which a class goes first. It is above the
 * quarter that each class must get, because requests that are placed may still be
 * lost: with 0.25, a class was served 0.15 of its share in a trial.
 */
const STARVED_PART = 0.4;

/**
 * Requests that may wait beyond the room that is expected: the rate is a mean, and
 * a freed slot must find a request.
 */
const SPARE_PLACES = 1;

/** Shortest Retry-After, in milliseconds, and the random part added to it. */
const MIN_RETRY_AFTER_MS = 800;
const RETRY_AFTER_JITTER = 0.5;

export function urgencyClasses(
  configuration: Configuration | undefined,
  service: string,
): UrgencyClasses {
  const routes = (configuration?.routes ?? []).filter(({split}) =>
    split.some(s => s.service === service),
  );
  const priorities = [...new Set(routes.map(r => r.priority))];
  return {
    priorities: priorities.sort((a, b) => a - b),
    latencyMs: Math.min(...routes.map(r => r.targetLatencyMs)),
  };
}

/** Class of a priority, which an account may have set to none of the routes'. */
export function classOf(
  {priorities}: UrgencyClasses,
  priority: number,
): number {
  const moreUrgent = priorities.filter(p => p < priority).length;
  return Math.max(0, Math.min(moreUrgent, priorities.length - 1));
}

export function emptyRoomHistory(nowMs: number): RoomHistory {
  return {
    arrived: Map(),
    placed: Map(),
    freed: 0,
    sinceMs: nowMs,
    decayedMs: nowMs,
  };
}

/** Adds events to a history. */
export function recordRoom(
  before: RoomHistory,
  event: {
    readonly arrived?: number;
    readonly placed?: number;
    readonly freed?: number;
  },
  nowMs: number,
): RoomHistory {
  const history = decay(before, nowMs);
  const add = (counts: Map<number, number>, of: number | undefined) =>
    of === undefined ? counts : counts.update(of, 0, n => n + 1);
  return {
    ...history,
    arrived: add(history.arrived, event.arrived),
    placed: add(history.placed, event.placed),
    freed: history.freed + (event.freed ?? 0),
  };
}

function decay(history: RoomHistory, nowMs: number): RoomHistory {
  const passedMs = nowMs - history.decayedMs;
  if (passedMs < MIN_DECAY_INTERVAL_MS) return history;
  const factor = Math.exp(-passedMs / CLASS_DECAY_MS);
  return {
    ...history,
    arrived: history.arrived.map(n => n * factor),
    placed: history.placed.map(n => n * factor),
    freed: history.freed * Math.exp(-passedMs / ROOM_DECAY_MS),
    decayedMs: nowMs,
  };
}

/** Slots per second that become free for this entry. */
export function roomPerS(history: RoomHistory, nowMs: number): number {
  const {freed, sinceMs} = decay(history, nowMs);
  const ageMs = Math.max(MIN_DECAY_INTERVAL_MS, nowMs - sinceMs);
  const seen = 1 - Math.exp(-ageMs / ROOM_DECAY_MS);
  return (freed * 1_000) / (ROOM_DECAY_MS * seen);
}

/** Whether a class gets much less than its share of the room. */
export function isStarved({arrived, placed}: RoomHistory, of: number): boolean {
  const sum = (counts: Map<number, number>) =>
    counts.reduce((total, n) => total + n, 0);
  const share = arrived.get(of, 0) / Math.max(sum(arrived), 1);
  return placed.get(of, 0) < STARVED_PART * share * sum(placed);
}

export interface UrgentWaitConditions extends WaitConditions {
  readonly classes: UrgencyClasses;
  readonly urgency: number;
  readonly isStarved: boolean;
  /** Requests that wait and go before this one. */
  readonly ahead: number;
  readonly roomPerS: number;
}

export interface UrgentWait extends WaitLimit {
  /** Whether the request's turn cannot come within its wait. */
  readonly isHopeless: boolean;
}

export function urgentWait(conditions: UrgentWaitConditions): UrgentWait {
  const limit = waitLimit(conditions);
  const {classes, urgency, isStarved, nowMs, deadlineMs} = conditions;
  const {priorities, latencyMs} = classes;
  if (priorities.length < 2 || !limit.callerMayRetry) {
    return {...limit, isHopeless: false};
  }
  const position = isStarved ? 0 : urgency / (priorities.length - 1);
  const share =
    MOST_URGENT_WAIT_SHARE +
    (LEAST_URGENT_WAIT_SHARE - MOST_URGENT_WAIT_SHARE) * position;
  const waitMs = latencyMs * share;
  const room = (conditions.roomPerS * waitMs) / 1_000;
  return {
    callerMayRetry: true,
    untilMs: Math.min(deadlineMs, nowMs + waitMs),
    isHopeless: conditions.ahead >= SPARE_PLACES + room,
  };
}

/** Delay after which room can be expected, in milliseconds. */
export function roomDelayMs(
  {
    nowMs,
    deadlineMs,
    ahead,
    roomPerS,
  }: Pick<UrgentWaitConditions, 'nowMs' | 'deadlineMs' | 'ahead' | 'roomPerS'>,
  random: () => number,
): number {
  const leftMs = deadlineMs - nowMs;
  const drainMs = ((ahead + 1) * 1_000) / roomPerS;
  const soonestMs = Math.max(MIN_RETRY_AFTER_MS, drainMs);
  const spreadMs = soonestMs * (1 + RETRY_AFTER_JITTER * random());
  return Math.min(spreadMs, retryDelayMs(leftMs, random));
}
