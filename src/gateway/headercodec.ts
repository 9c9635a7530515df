/**
 * The interface through which the gateway reads and writes HTTP headers.
 *
 * An adapter implements it for each deployment, so that no module in this
 * folder depends on the names of headers.
 */
import {IncomingHttpHeaders} from 'node:http';

/** What the headers of a caller's request say. */
export interface RequestMetadata {
  readonly requestId: string;
  /** API key. */
  readonly key: string | undefined;
  /** Time for which the caller waits for its answer. */
  readonly deadlineMs: number | undefined;
  /** Id of the event after which a stream is resumed. */
  readonly lastEventId: string | undefined;
  readonly promptTokens: number | undefined;
  /** Ids of the prompt's parts that other requests may share, in order. */
  readonly sharedParts: readonly string[];
  /** Tokens of each of these parts; 0 where the caller does not say. */
  readonly sharedTokens: readonly number[];
  /** Expected length of the answer, in tokens. */
  readonly answerTokens: number | undefined;
}

/** What the gateway adds to a request that it forwards to an endpoint. */
export interface ForwardedMetadata {
  readonly endpoint: string;
  /** Time in which the endpoint must answer. */
  readonly leftMs: number;
  readonly account: string | undefined;
  /** Replaces the caller's id when a stream is resumed. */
  readonly lastEventId: string | undefined;
  /** Absent if the request has no body. */
  readonly bodyBytes: number | undefined;
}

/** What the status and headers of an endpoint's answer say. */
export interface AnswerMetadata {
  /** Id of the request that the answer belongs to. */
  readonly requestId: string | undefined;
  /** Whether the answer carries the endpoint's signature. */
  readonly signed: boolean;
  /** The endpoint did not run the request and never will. */
  readonly notRun: boolean;
  /** The address belongs to a process other than the endpoint named. */
  readonly misdirected: boolean;
  /** Requests per second that the endpoint takes from all gateways. */
  readonly limitPerS: number | undefined;
  /** The endpoint is about to end and wants no new requests. */
  readonly leaving: boolean;
  /** Time for which the endpoint, which refuses this request, wants no others. */
  readonly pauseMs: number | undefined;
}

/** Lists of headers alternate names and values, like Node's `rawHeaders`. */
export interface HeaderCodec {
  readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** The headers to send to an endpoint for a caller's request. */
  forwardedHeaders(
    raw: readonly string[],
    headers: IncomingHttpHeaders,
    added: ForwardedMetadata,
  ): string[];
  /** `now` is the wall time at which the answer arrived. */
  readAnswer(
    status: number,
    headers: IncomingHttpHeaders,
    now: Date,
  ): AnswerMetadata;
  /** The headers to send to the caller for an answer, without a length. */
  returnedHeaders(
    raw: readonly string[],
    headers: IncomingHttpHeaders,
  ): string[];
}
