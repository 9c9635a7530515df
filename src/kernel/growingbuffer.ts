/**
 * A buffer that grows without leaving the smaller ones to the garbage collector,
 * which collects them late, and that can be freed at once. A small one is a plain
 * buffer, because a resizable one costs about 8 us.
 */

/** Buffers above this size are resizable. */
const MAX_PLAIN_BYTES = 65_536;

/** Of ES2024; in Node 20, but not in the type library. */
interface ResizableArrayBuffer extends ArrayBuffer {
  resize(bytes: number): void;
}
const createResizable = ArrayBuffer as unknown as new (
  bytes: number,
  options: {readonly maxByteLength: number},
) => ResizableArrayBuffer;

export class GrowingBuffer {
  private view = Buffer.alloc(0);
  private resizable: ResizableArrayBuffer | undefined;

  constructor(private readonly maxBytes: number) {}

  get capacity(): number {
    return this.view.length;
  }

  /** Grows to at most `maxBytes`. */
  grow(bytes: number): void {
    const before = this.view;
    if (this.resizable) {
      this.resizable.resize(bytes);
      this.view = Buffer.from(this.resizable, 0, bytes);
      return;
    }
    if (bytes > MAX_PLAIN_BYTES) {
      const options = {maxByteLength: this.maxBytes};
      this.resizable = new createResizable(bytes, options);
      this.view = Buffer.from(this.resizable, 0, bytes);
    } else {
      this.view = Buffer.allocUnsafeSlow(bytes);
    }
    before.copy(this.view);
  }

  write(chunk: Buffer, at: number): void {
    chunk.copy(this.view, at);
  }

  /** The first bytes; valid until the buffer grows or is freed. */
  read(bytes: number): Buffer {
    return this.view.subarray(0, bytes);
  }

  free(): void {
    this.view = Buffer.alloc(0);
    this.resizable?.resize(0);
  }
}
