/**
 * Flow control of one answer, from the caller back to the engine.
 *
 * The entry gives the sidecar a window of credit and renews it only as the
 * caller reads. If the request is resumable, a sidecar without credit holds a
 * bounded amount of data and then pauses the request: it cancels it at the
 * engine, keeps the offset, and resumes from there when credit returns. While
 * the caller does not read, the memory that such an answer takes is therefore
 * bounded in every process.
 *
 * Credit counts the bytes that a frame takes at the entry. There each token
 * of a model becomes a server-sent event, which is much longer than the token.
 */
import {Frame} from '../wire/messages';
import {joinFrames, splitFrame} from './heldframes';

/** Bytes that a server-sent event adds to one token. */
export const EVENT_OVERHEAD_BYTES = 200;
/** A resumable stream pauses once its held frames will use this much credit. */
export const MAX_HELD_COST = 8_192;

/** Bytes of credit that a frame uses. */
export function creditCost(frame: Frame): number {
  return frame.data.length + EVENT_OVERHEAD_BYTES * frame.lengths.length;
}

/** The entry's side of one answer's flow control. */
export interface Window {
  /** Size of the window; UNBOUNDED_WINDOW if it has no limit. */
  readonly sizeBytes: number;
  /**
   * Credit given to the sidecar, less what was received; below zero after a
   * frame that exceeded it.
   */
  readonly credit: number;
  /** Bytes received and not yet taken by the caller's connection. */
  readonly unreadBytes: number;
}

/** A window size that means no limit; a baseline for benchmarks. */
export const UNBOUNDED_WINDOW = 0;

const UNLIMITED_CREDIT = 0xffff_ffff;

export function newWindow(sizeBytes: number): Window {
  const credit = sizeBytes === UNBOUNDED_WINDOW ? UNLIMITED_CREDIT : sizeBytes;
  return {sizeBytes, credit, unreadBytes: 0};
}

/**
 * Sets the credit for a new attempt: the window, less the bytes that the
 * caller has not read.
 */
export function resetCredit(window: Window): Window {
  if (window.sizeBytes === UNBOUNDED_WINDOW) return window;
  return {
    ...window,
    credit: Math.max(0, window.sizeBytes - window.unreadBytes),
  };
}

/** Records the arrival of a frame of this cost. */
export function recordArrival(window: Window, cost: number): Window {
  const credit = window.credit - cost;
  return {...window, credit, unreadBytes: window.unreadBytes + cost};
}

/**
 * Records that the caller's connection took bytes. `grant` is the credit to
 * send to the sidecar now, or 0.
 */
export function recordRead(
  window: Window,
  cost: number,
): {readonly window: Window; readonly grant: number} {
  const unreadBytes = Math.max(0, window.unreadBytes - cost);
  const room = window.sizeBytes - window.credit - unreadBytes;
  // Sent in amounts of at least half a window, so that a fast reader costs
  // few messages.
  const due =
    window.sizeBytes !== UNBOUNDED_WINDOW && room >= window.sizeBytes / 2;
  if (!due) return {window: {...window, unreadBytes}, grant: 0};
  const credit = window.credit + room;
  return {window: {...window, unreadBytes, credit}, grant: room};
}

/** `over` once the last frame was received; some may still be held. */
export type FlowPhase = 'running' | 'paused' | 'resuming' | 'over';

/** The sidecar's side of one attempt's flow control. */
export interface Flow {
  readonly phase: FlowPhase;
  /** Bytes that may still be sent; below zero after a frame exceeded it. */
  readonly credit: number;
  /** Frames received from the endpoint and not sent for lack of credit. */
  readonly held: readonly Frame[];
  /** Credit that the held frames will use when they are sent. */
  readonly heldCost: number;
  /** Offset of the next token or byte expected from the endpoint. */
  readonly offset: number;
  /** Whether the endpoint can resume from an offset. */
  readonly resumable: boolean;
}

export type FlowMessage =
  | {readonly kind: 'frame'; readonly frame: Frame}
  | {readonly kind: 'credit'; readonly bytes: number}
  /** The attempt was started at the endpoint again, from the offset. */
  | {readonly kind: 'resumed'};

export type FlowEffect =
  | {readonly kind: 'send'; readonly frame: Frame}
  /** Cancel the attempt at the endpoint. */
  | {readonly kind: 'pause'}
  /** Start the attempt at the endpoint again, from `offset`. */
  | {readonly kind: 'resume'; readonly offset: number};

export interface FlowDecision {
  readonly flow: Flow;
  readonly effects: readonly FlowEffect[];
}

export function newFlow(
  credit: number,
  offset: number,
  resumable: boolean,
): Flow {
  return {
    phase: 'running',
    credit,
    held: [],
    heldCost: 0,
    offset,
    resumable,
  };
}

export function decideFlow(flow: Flow, message: FlowMessage): FlowDecision {
  switch (message.kind) {
    case 'frame':
      return handleFrame(flow, message.frame);
    case 'credit':
      return handleCredit(flow, message.bytes);
    case 'resumed':
      if (flow.phase !== 'resuming') return {flow, effects: []};
      return {flow: {...flow, phase: 'running'}, effects: []};
  }
}

function handleFrame(flow: Flow, frame: Frame): FlowDecision {
  // A frame in flight when the attempt was paused is sent again on resume.
  if (flow.phase !== 'running') return {flow, effects: []};
  const cost = creditCost(frame);
  const offset = Math.max(flow.offset, frame.offset + frame.count);
  const phase = frame.end ? 'over' : flow.phase;
  // One frame may exceed the credit that is left; otherwise a frame longer
  // than the window would never be sent. The credit goes below zero then, as
  // it does at the entry, so that both sides agree.
  if (flow.held.length === 0 && flow.credit > 0) {
    const credit = flow.credit - cost;
    const next = {...flow, credit, offset, phase} as const;
    return {flow: next, effects: [{kind: 'send', frame}]};
  }
  const held = [...flow.held, frame];
  const heldCost = flow.heldCost + cost;
  const next: Flow = {...flow, held, heldCost, offset, phase};
  const pause = flow.resumable && !frame.end && heldCost >= MAX_HELD_COST;
  if (!pause) return {flow: next, effects: []};
  const paused: Flow = {...next, held: joinFrames(held), phase: 'paused'};
  return {flow: paused, effects: [{kind: 'pause'}]};
}

function handleCredit(flow: Flow, bytes: number): FlowDecision {
  let credit = flow.credit + bytes;
  let heldCost = flow.heldCost;
  const effects: FlowEffect[] = [];
  let held = flow.held;
  while (held.length > 0 && credit > 0) {
    const [frame, rest] = splitFrame(held[0]!, credit, EVENT_OVERHEAD_BYTES);
    const cost = creditCost(frame);
    credit -= cost;
    heldCost -= cost;
    effects.push({kind: 'send', frame});
    held = rest ? [rest, ...held.slice(1)] : held.slice(1);
  }
  const next: Flow = {...flow, credit, held, heldCost};
  if (flow.phase !== 'paused' || held.length > 0 || credit <= 0) {
    return {flow: next, effects};
  }
  effects.push({kind: 'resume', offset: flow.offset});
  return {flow: {...next, phase: 'resuming'}, effects};
}

/** Whether the whole answer has been received and sent. */
export function isDone(flow: Flow): boolean {
  return flow.phase === 'over' && flow.held.length === 0;
}

/** Bytes of queued request bodies by account. */
export type QueuedBytesByAccount = ReadonlyMap<string, number>;

/** Whether an account may queue another body of this length. */
export function fitsQueueLimit(
  queued: QueuedBytesByAccount,
  account: string,
  bytes: number,
  limit: number,
): boolean {
  return (queued.get(account) ?? 0) + bytes <= limit;
}
