/**
 * Splits a stream of server-sent events into complete events.
 *
 * An endpoint may fail within an event. Only complete events are passed on, so
 * that another endpoint can resume the stream after the last one. Its answer is
 * passed on as far as the ids of its events show that it continues the stream.
 *
 * An event may come in as many pieces as it has bytes. Pieces are appended to one buffer
 * and only new bytes are searched, so that its cost is linear in its length.
 */
import {ByteCollector} from '../kernel/bytecollector';
import {LARGEST_ANSWER_BYTES} from './callermemory';

export interface CompleteEvents {
  /** Bytes of complete events; empty if there is none. */
  readonly bytes: Buffer;
  readonly events: number;
  /**
   * Whether an event followed that does not continue the stream. It and all
   * later bytes are dropped.
   */
  readonly isInterrupted: boolean;
}

const NO_EVENTS: CompleteEvents = {
  bytes: Buffer.alloc(0),
  events: 0,
  isInterrupted: false,
};
const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Bytes of the end of an event that may stand at the end of a piece. */
const MAX_PARTIAL_END_BYTES = 2;

export class EventSplitter {
  private readonly partialEvent = new ByteCollector(LARGEST_ANSWER_BYTES);
  private newEvents = 0;
  private passedUnknownPlace = false;
  private passedEvent = false;

  /** Events up to and including this id are dropped as duplicates. */
  constructor(
    private lastId: string | undefined,
    /** Whether the answer continues a stream that an earlier one began. */
    private readonly isResumption = false,
  ) {}

  /** Id of the last complete event. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Whether bytes of an incomplete event are held. */
  get hasPartialEvent(): boolean {
    return this.partialBytes > 0;
  }

  /** Number of bytes held of an incomplete event. */
  get partialBytes(): number {
    return this.partialEvent.length;
  }

  /** Whether the last event's id tells where the stream would go on. */
  get canBeResumed(): boolean {
    return !this.passedUnknownPlace;
  }

  /** Whether an event, other than a comment, was complete. */
  get hasEvent(): boolean {
    return this.passedEvent;
  }

  /** Whether the answer resumes a stream and brought no event of it yet. */
  get lacksNewEvent(): boolean {
    return this.isResumption && this.newEvents === 0;
  }

  /** An incomplete event may have `LARGEST_ANSWER_BYTES` at most. */
  push(chunk: Buffer): CompleteEvents {
    const {partialEvent} = this;
    if (partialEvent.length === 0) return this.split(chunk, 0);
    const searchFrom = Math.max(0, partialEvent.length - MAX_PARTIAL_END_BYTES);
    partialEvent.append(chunk);
    // An event ends with a line feed.
    const mayEnd = chunk.indexOf(NEWLINE) >= 0;
    if (!mayEnd || eventEnd(partialEvent.view(), searchFrom) === 0)
      return NO_EVENTS;
    return this.split(partialEvent.take(), searchFrom);
  }

  /** Splits bytes that begin with an event, whose end is not before `searchFrom`. */
  private split(bytes: Buffer, searchFrom: number): CompleteEvents {
    const whole: Buffer[] = [];
    let start = 0;
    let isInterrupted = false;
    for (
      let end = eventEnd(bytes, searchFrom);
      end > 0;
      end = eventEnd(bytes, start)
    ) {
      const event = bytes.subarray(start, end);
      if (!hasKnownPlace(event)) {
        isInterrupted = this.isResumption;
        if (isInterrupted) break;
        this.passedUnknownPlace = true;
      }
      this.passedEvent ||= !isComment(event);
      if (this.isNew(event)) whole.push(event);
      start = end;
    }
    if (!isInterrupted && start < bytes.length)
      this.partialEvent.append(bytes.subarray(start));
    const joined = whole.length === 1 ? whole[0]! : Buffer.concat(whole);
    return {bytes: joined, events: whole.length, isInterrupted};
  }

  private isNew(event: Buffer): boolean {
    const id = eventId(event);
    if (id === undefined) return true;
    const repeated =
      this.lastId !== undefined && Number(id) <= Number(this.lastId);
    if (repeated) return false;
    this.lastId = id;
    this.newEvents += 1;
    return true;
  }
}

/**
 * Whether the place of a block in the stream is known or does not matter: an
 * event with a numeric id, or a comment.
 */
function hasKnownPlace(block: Buffer): boolean {
  const id = eventId(block);
  if (id !== undefined) return id !== '' && Number.isFinite(Number(id));
  return isComment(block);
}

function isComment(block: Buffer): boolean {
  const lines = block.toString('latin1').split(/\r?\n/);
  return lines.every(line => line === '' || line.startsWith(':'));
}

/** Index after the first blank line at or after `from`, or 0 if there is none. */
function eventEnd(bytes: Buffer, from: number): number {
  let at = bytes.indexOf(NEWLINE, from);
  while (at >= 0) {
    let next = at + 1;
    if (bytes[next] === CARRIAGE_RETURN) next += 1;
    if (bytes[next] === NEWLINE) return next + 1;
    at = bytes.indexOf(NEWLINE, at + 1);
  }
  return 0;
}

function eventId(event: Buffer): string | undefined {
  const found = /^id:[ ]?(.*?)\r?$/m.exec(event.toString('latin1'));
  return found?.[1];
}
