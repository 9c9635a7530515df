/**
 * The interface of a sidecar to its endpoint, for model engines and plain
 * services alike.
 */
import {AttemptRef, Frame, Header, Offer, Start} from '../wire/messages';

/** An attempt to be run by the endpoint. */
export interface Job {
  readonly start: Start;
  readonly offer: Offer;
  /** Number of the run after a pause; absent on the first run. */
  readonly run?: number;
}

/** Receives the endpoint's answer to one attempt. */
export interface AnswerSink {
  frame(frame: Frame): void;
  /** The answer ended early; `run` tells whether the endpoint ran the request. */
  failed(run: 'ran' | 'not-run' | 'unknown', reason: string): void;
}

/** An attempt that the endpoint is running. */
export interface RunningAttempt {
  cancel(): void;
}

/** State of the endpoint at an observation. */
export interface EndpointState {
  /** Identifies one start of the endpoint. */
  readonly instance: string;
  readonly stepMs: number;
  readonly batch: number;
  /** Steps since the endpoint's start. */
  readonly steps: number;
}

export interface Endpoint {
  run(job: Job, sink: AnswerSink): RunningAttempt;
  /** Rejects when the endpoint does not answer. */
  observe(): Promise<EndpointState>;
}

const EMPTY = new Uint8Array(0);
const NO_HEADERS: readonly Header[] = [];

/** A frame with the given fields; the others have zero values. */
export function newFrame(
  {requestId, attempt}: AttemptRef,
  fields: Partial<Frame>,
): Frame {
  return {
    requestId,
    attempt,
    offset: 0,
    count: 0,
    data: EMPTY,
    end: false,
    total: 0,
    finish: '',
    status: 0,
    headers: NO_HEADERS,
    cachedTokens: 0,
    lengths: [],
    ...fields,
  };
}
