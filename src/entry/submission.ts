/** The interface between the HTTP server and the dispatch task. */
import {RecordedAnswer} from '../claims/outcomes';
import {Fault} from '../kernel/errors';
import {Frame, Header, TargetKind} from '../wire/messages';

/** A request as the HTTP server submits it. */
export interface IncomingRequest {
  readonly account: string;
  readonly caller: string;
  readonly targetKind: TargetKind;
  readonly target: string;
  readonly idempotent: boolean;
  /** Empty on an idempotent request. */
  readonly idempotencyKey: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly prefixHashes: readonly number[];
  readonly priority: number;
  readonly body: Uint8Array;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
}

/** Writes the answer of a request to its caller. */
export interface ReplySink {
  /** Calls `onTaken` when the caller's connection has taken the frame. */
  writeFrame(frame: Frame, onTaken: () => void): void;
  writeRecorded(answer: RecordedAnswer): void;
  writeFault(fault: Fault): void;
}

/** A submitted request, for the side that serves its caller. */
export interface RequestHandle {
  readonly requestId: string;
  callerGone(): void;
}
