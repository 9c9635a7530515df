/**
 * Splits a stream of server-sent events into whole events.
 *
 * An endpoint may break off within an event. Only whole events are passed
 * on, so that a stream can go on at another endpoint after the last one.
 */

export interface Piece {
  /** Bytes of whole events; empty if none was completed. */
  readonly bytes: Buffer;
  readonly events: number;
}

const NEWLINE = 0x0a;
const RETURN = 0x0d;
const NONE = Buffer.alloc(0);

export class EventSplitter {
  private rest: Buffer = NONE;

  /** Events up to and including this id are dropped as repeated. */
  constructor(private lastId: string | undefined) {}

  /** Id of the last whole event. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Whether bytes of an incomplete event are held. */
  get partial(): boolean {
    return this.rest.length > 0;
  }

  push(chunk: Buffer): Piece {
    const bytes =
      this.rest.length > 0 ? Buffer.concat([this.rest, chunk]) : chunk;
    const whole: Buffer[] = [];
    let start = 0;
    for (let end = eventEnd(bytes, 0); end > 0; end = eventEnd(bytes, start)) {
      const event = bytes.subarray(start, end);
      if (this.isNew(event)) whole.push(event);
      start = end;
    }
    this.rest = bytes.subarray(start);
    if (whole.length === 0) return {bytes: NONE, events: 0};
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

/** Index after the blank line that ends the event from `start`, or 0. */
function eventEnd(bytes: Buffer, start: number): number {
  let at = bytes.indexOf(NEWLINE, start);
  while (at >= 0) {
    let next = at + 1;
    if (bytes[next] === RETURN) next += 1;
    if (bytes[next] === NEWLINE) return next + 1;
    at = bytes.indexOf(NEWLINE, at + 1);
  }
  return 0;
}

function eventId(event: Buffer): string | undefined {
  const found = /^id:[ ]?(.*?)\r?$/m.exec(event.toString('latin1'));
  return found?.[1];
}
