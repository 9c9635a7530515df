/**
 * Joins bytes that arrive in pieces.
 *
 * Node hands out each piece of a body as a buffer of its own, with hundreds of bytes
 * of heap however small it is, so a bound in bytes does not bound a list of pieces.
 * Here they are copied into one buffer, at a cost that is linear in their bytes.
 */
import {GrowingBuffer} from './growingbuffer';

const EMPTY = Buffer.alloc(0);
/** Size of the first buffer, and up to which buffers are taken from Node's pool. */
const FIRST_BYTES = 256;
const MAX_POOLED_BYTES = 2_048;

export class ByteCollector {
  /** Holds the bytes while there are few of them; `large` does then. */
  private small: Buffer = EMPTY;
  private large: GrowingBuffer | undefined;
  private bytes = 0;

  /** The caller of `append` keeps the limit `maxBytes`. */
  constructor(private readonly maxBytes: number) {}

  get length(): number {
    return this.bytes;
  }

  append(piece: Buffer): void {
    const end = this.bytes + piece.length;
    if (!this.large && end <= MAX_POOLED_BYTES) {
      if (end > this.small.length) this.growSmall(end);
      piece.copy(this.small, this.bytes);
    } else {
      this.growLarge(end).write(piece, this.bytes);
    }
    this.bytes = end;
  }

  /** All bytes; valid until the next call of another method. */
  view(): Buffer {
    const {large, small, bytes} = this;
    return large ? large.read(bytes) : small.subarray(0, bytes);
  }

  /** Hands over all bytes and begins anew. */
  take(): Buffer {
    const taken = this.view();
    this.small = EMPTY;
    this.large = undefined;
    this.bytes = 0;
    return taken;
  }

  /** Drops all bytes and frees their memory. */
  clear(): void {
    this.large?.free();
    this.take();
  }

  private growSmall(bytes: number): void {
    const before = this.view();
    const size = Math.max(FIRST_BYTES, 2 * before.length, bytes);
    this.small = Buffer.allocUnsafe(Math.min(MAX_POOLED_BYTES, size));
    before.copy(this.small);
  }

  private growLarge(bytes: number): GrowingBuffer {
    const large = (this.large ??= this.newLarge());
    if (bytes > large.capacity) {
      const doubled = Math.min(2 * large.capacity, this.maxBytes);
      large.grow(Math.max(bytes, doubled));
    }
    return large;
  }

  private newLarge(): GrowingBuffer {
    const large = new GrowingBuffer(this.maxBytes);
    const before = this.view();
    large.grow(Math.max(before.length, 2 * MAX_POOLED_BYTES));
    large.write(before, 0);
    this.small = EMPTY;
    return large;
  }
}
