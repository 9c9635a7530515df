/**
 * The facts about the end of an attempt: how its answer marks its end, what had
 * arrived of it, and how the connection ended.
 *
 * An answer with a length or in chunks says itself whether it is complete. Any
 * other answer ends with its connection, which looks the same whether the
 * endpoint has closed it or its process has ended.
 */
import type {AnswerHead} from './upstream';

/** What marks the end of an answer's body. */
export type Framing = 'length' | 'chunks' | 'connection';

export type ConnectionEnd =
  /** The answer ended in the way that its framing announces. */
  | 'complete'
  /** It was lost after the request may have been sent. */
  | 'lost'
  /** It could not be opened; nothing was sent. */
  | 'unopened'
  /** This process closed it. */
  | 'stopped';

export interface AttemptEnd {
  /** Undefined if no head has arrived. */
  readonly framing: Framing | undefined;
  /** Complete events. */
  readonly events: number;
  /** Whether bytes of the body have arrived after the last complete event. */
  readonly hasPartialEvent: boolean;
  readonly connection: ConnectionEnd;
}

const BODILESS_STATUSES = new Set([204, 304]);

export function framingOf({status, headers}: AnswerHead): Framing {
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  const isBodiless = BODILESS_STATUSES.has(status);
  return isBodiless || headers['content-length'] !== undefined
    ? 'length'
    : 'connection';
}

/** For logs: `framing:received:connection`. */
export function describeEnd(end: AttemptEnd): string {
  const {framing = 'none', events, hasPartialEvent, connection} = end;
  const received = `${events}${hasPartialEvent ? '+' : ''}`;
  return `${framing}:${received}:${connection}`;
}
