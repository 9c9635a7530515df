/**
 * What a sidecar needs of the endpoint beside it, whatever its kind.
 */
import {AttemptRef, Frame, Header, Offer, Start} from '../wire/messages';

/** An attempt that the endpoint is to run. */
export interface Job {
  readonly start: Start;
  readonly offer: Offer;
  /** Present when a paused attempt goes on; counts its runs. */
  readonly run?: number;
}

/** Where an endpoint's answer to one attempt goes. */
export interface AnswerSink {
  frame(frame: Frame): void;
  /** The answer ended early; `ran` when the endpoint saw the request. */
  failed(run: 'ran' | 'not-run' | 'unknown', reason: string): void;
}

/** A running attempt. */
export interface RunningAttempt {
  cancel(): void;
}

/** How the endpoint is doing, as last observed. */
export interface EndpointState {
  /** Changes with every start of the endpoint. */
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

/** A frame with the given parts; the rest are zero values. */
export function newFrame(
  {requestId, attempt}: AttemptRef,
  parts: Partial<Frame>,
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
    ...parts,
  };
}
