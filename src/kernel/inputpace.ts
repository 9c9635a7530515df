/**
 * Limits the processor time that input in small pieces takes.
 *
 * Node reads up to 64 KiB from a connection at a time. In chunks of one byte that is
 * eleven thousand pieces, which are handled in one go, so that a few such senders could
 * keep the process from everything else. Their connections are read one after another,
 * with pauses in proportion to the time that a read takes.
 */
import {Clock, Timer} from './clock';
import {MessageInput} from './messageinput';

/**
 * Any input may have so many pieces, and one more for each so many bytes. Node hands out
 * what it has read from a network in pieces of a packet (about 1,400 bytes) or more.
 */
const FREE_PIECES = 512;
const BYTES_PER_PIECE = 256;

export function hasSmallPieces(pieces: number, bytes: number): boolean {
  return pieces > FREE_PIECES + bytes / BYTES_PER_PIECE;
}

/** Time until the next read if one brings nothing, in ms. */
const TURN_MS = 1;
/** Pause after a read, as a multiple of the time that its pieces took. */
const PAUSE_FACTOR = 2;

export class InputPace {
  /** In the order in which they are read next. */
  private readonly paused = new Set<MessageInput>();
  private reading: MessageInput | undefined;
  private timer: Timer | undefined;

  constructor(private readonly clock: Clock) {}

  /** Called at a piece of the present read; the next read waits for its turn. */
  pause(input: MessageInput): void {
    if (this.paused.has(input)) return;
    this.paused.add(input);
    input.pause('pace');
    if (input === this.reading || !this.timer) this.waitAfterRead();
  }

  /** Called when the input has ended; it may have been paused or not. */
  end(input: MessageInput): void {
    if (this.paused.delete(input)) input.resume('pace');
  }

  private waitAfterRead(): void {
    this.timer?.cancel();
    this.reading = undefined;
    const beganMs = this.clock.elapsedMs();
    // Runs when the rest of the read has been handled.
    this.timer = this.clock.after(0, () => {
      const readMs = this.clock.elapsedMs() - beganMs;
      const pauseMs = Math.max(TURN_MS, PAUSE_FACTOR * readMs);
      this.timer = this.clock.after(pauseMs, () => this.resumeNext());
    });
  }

  private resumeNext(): void {
    this.timer = undefined;
    const [next] = this.paused;
    if (!next) return;
    this.reading = next;
    this.end(next);
    if (this.paused.size > 0)
      this.timer = this.clock.after(TURN_MS, () => this.resumeNext());
  }
}
