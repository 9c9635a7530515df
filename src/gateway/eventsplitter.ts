/**
 * Splits a stream of server-sent events into complete events.
 *
 * An endpoint may fail within an event. Only complete events are passed on, so
 * that another endpoint can resume the stream after the last one.
 */

export interface CompleteEvents {
  /** Bytes of complete events; empty if there is none. */
  readonly bytes: Buffer;
  readonly events: number;
}

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY = Buffer.alloc(0);

export class EventSplitter {
  private partialEvent: Buffer = EMPTY;

  /** Events up to and including this id are dropped as duplicates. */
  constructor(private lastId: string | undefined) {}

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

  push(chunk: Buffer): CompleteEvents {
    const bytes =
      this.partialEvent.length > 0
        ? Buffer.concat([this.partialEvent, chunk])
        : chunk;
    const whole: Buffer[] = [];
    let start = 0;
    for (let end = eventEnd(bytes, 0); end > 0; end = eventEnd(bytes, start)) {
      const event = bytes.subarray(start, end);
      if (this.isNew(event)) whole.push(event);
      start = end;
    }
    this.partialEvent = bytes.subarray(start);
    if (whole.length === 0) return {bytes: EMPTY, events: 0};
    const joined = whole.length === 1 ? whole[0]! : Buffer.concat(whole);
    return {bytes: joined, events: whole.length};
  }

  private isNew(event: Buffer): boolean {
    const id = eventId(event);
    if (id === undefined) return true;
    const repeated =
      this.lastId !== undefined && Number(id) <= Number(this.lastId);
    if (!repeated) this.lastId = id;
    return !repeated;
  }
}

/** Index after the blank line that ends the event at `start`, or 0 if none. */
function eventEnd(bytes: Buffer, start: number): number {
  let at = bytes.indexOf(NEWLINE, start);
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
