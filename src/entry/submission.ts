/** What the HTTP server and the dispatch task tell each other of a request. */
import {Recorded} from '../claims/outcomes';
import {Fault} from '../kernel/errors';
import {Frame, Header, TargetKind} from '../wire/messages';

/** A request as the HTTP server hands it over. */
export interface IncomingRequest {
  readonly account: string;
  readonly caller: string;
  readonly targetKind: TargetKind;
  readonly target: string;
  readonly idempotent: boolean;
  /** Present on a non-idempotent request. */
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

/** Where the answer of a request goes. */
export interface ReplySink {
  /** Calls `taken` when the caller's connection has taken the frame. */
  writeFrame(frame: Frame, taken: () => void): void;
  writeRecorded(answer: Recorded): void;
  writeFault(fault: Fault): void;
}

/** A request under way, as its caller sees it. */
export interface RequestHandle {
  readonly requestId: string;
  callerGone(): void;
}
