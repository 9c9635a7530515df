/** Types of the fuzz model of requests, and the expected answers. */
import {
  RequestEffect,
  RequestMessage,
  RequestState,
} from '../../src/entry/requeststate';
import {AttemptRef, Frame} from '../../src/wire/messages';

export type RequestType = 'model' | 'service' | 'order';

/** The state of one request, and what the oracle knows of it. */
export interface TrackedRequest {
  readonly id: string;
  readonly kind: RequestType;
  readonly deadlineMs: number;
  state: RequestState;
  delivered: number[];
  /** How the request ended, as the caller saw it. */
  ended?: 'answer' | 'ran' | 'not-run' | 'unknown';
  /** Number of each run of this request by an engine. */
  runs: number[];
  claimHeld: boolean;
  callerGone: boolean;
}

export interface RunningAttempt {
  readonly ref: AttemptRef;
  readonly request: TrackedRequest;
  readonly run: number;
  position: number;
}

/** An entry of a sidecar's outcome table. */
export type OutcomeEntry =
  | {readonly kind: 'running'}
  | {readonly kind: 'ran'; readonly body: Uint8Array}
  /** The engine broke off the run. */
  | {readonly kind: 'failed'}
  | {readonly kind: 'tombstone'};

export interface SimulatedSidecar {
  readonly name: string;
  incarnation: number;
  alive: boolean;
  linked: boolean;
  full: boolean;
  /** The endpoint refuses connections, so nothing is run. */
  endpointDown: boolean;
  grants: Map<string, AttemptRef>;
  table: Map<string, OutcomeEntry>;
  running: RunningAttempt[];
  nextGrant: number;
}

/** A message in flight. */
export interface MessageInFlight {
  readonly lossy: boolean;
  /** The receiver; undefined for the entry. */
  readonly sidecar?: SimulatedSidecar;
  readonly incarnation: number;
  readonly requestId: string;
  readonly message: RequestMessage | RequestEffect;
}

export const ANSWER_UNITS = 9;

export function attemptKey({requestId, attempt}: AttemptRef): string {
  return `${requestId}#${attempt}`;
}

export function throwViolation(text: string): never {
  throw new Error(`violation: ${text}`);
}

/** A unit of the expected answer; a service answers differently in each run. */
export function answerUnit(
  request: TrackedRequest,
  run: number,
  index: number,
): number {
  const name = Number(request.id.slice(1));
  const salt = request.kind === 'model' ? 0 : run;
  return (name * 31 + salt * 7 + index * 3) % 251;
}

export function expectedAnswer(request: TrackedRequest, run: number): number[] {
  return Array.from({length: ANSWER_UNITS}, (_, i) =>
    answerUnit(request, run, i),
  );
}

export function isFinished({state}: TrackedRequest): boolean {
  return state.phase === 'finished';
}

/** A frame with units of an answer, as the sidecar sends it. */
export function newFrame(
  request: TrackedRequest,
  ref: AttemptRef,
  offset: number,
  units: readonly number[],
  end: boolean,
): Frame {
  return {
    ...ref,
    offset,
    count: units.length,
    data: Uint8Array.from(units),
    end,
    total: end ? ANSWER_UNITS : 0,
    finish: '',
    status: 200,
    headers: [],
    cachedTokens: 0,
    lengths: request.kind === 'model' ? units.map(() => 1) : [],
  };
}
