/**
 * The facts about the end of an attempt, and what they say of the endpoint's process.
 *
 * An answer with a length or in chunks says itself whether it is complete. Any
 * other answer ends with its connection, which looks the same whether the
 * endpoint has closed it or its process has ended. Even a complete answer may have been
 * the last that a process wrote. So the end of an attempt never says that the process
 * lives or has crashed; it only says how the request was involved if it has.
 */
import type {AnswerHead} from './upstream';

/** What marks the end of an answer's body; `connection` if nothing else does. */
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

export type AnswerKind =
  /** No head has arrived. */
  | 'none'
  /** The endpoint says that it has not run the request. */
  | 'rejection'
  | 'failure'
  /** A success without the endpoint's seal. */
  | 'unsigned'
  | 'success';

/** How a request was involved in what became of the endpoint's process. */
export type Involvement =
  /** It was not run. */
  | 'none'
  /** It may have run. */
  | 'present'
  /** The endpoint had begun to write an answer on it. */
  | 'answered';

export interface AttemptEnd {
  /** Undefined if no head has arrived. */
  readonly framing: Framing | undefined;
  /** Complete events. */
  readonly events: number;
  /** Whether bytes of the body have arrived after the last complete event. */
  readonly hasPartialEvent: boolean;
  readonly connection: ConnectionEnd;
  readonly answer: AnswerKind;
  /** Whether an event of a stream, or another answer as a whole, had arrived. */
  readonly hasContent: boolean;
}

const BODILESS_STATUSES = new Set([204, 304]);

export function framingOf({status, headers}: AnswerHead): Framing {
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  const isBodiless = BODILESS_STATUSES.has(status);
  return isBodiless || headers['content-length'] !== undefined
    ? 'length'
    : 'connection';
}

/**
 * The parts of a prompt can only be cleared by an answer on it, but any request that
 * may have run can have crashed its endpoint.
 */
export function involvement({
  connection,
  answer,
  hasContent,
}: AttemptEnd): Involvement {
  if (connection === 'unopened' || answer === 'rejection') return 'none';
  return answer === 'success' && hasContent ? 'answered' : 'present';
}

/** For logs: `framing:received:connection`. */
export function describeEnd(end: AttemptEnd): string {
  const {framing = 'none', events, hasPartialEvent, connection} = end;
  const received = `${events}${hasPartialEvent ? '+' : ''}`;
  return `${framing}:${received}:${connection}`;
}
