/**
 * Whether the pieces of an answer take so much processor time that it has to be paced.
 *
 * An ordinary stream brings an event in each pass of its model, whole or in some pieces.
 * What shows an endpoint in trouble is an event, or an answer that is kept whole, in very
 * many small pieces, or small pieces at a rate that no model reaches.
 */
import {Clock} from '../kernel/clock';
import {hasSmallPieces} from '../kernel/inputpace';

/** Pieces of less than this size count towards the rate, by what they lack. */
const FULL_PIECE_BYTES = 64;
const MAX_PIECES_PER_S = 4_096;
/** Pieces that may come at once above that rate. */
const MAX_BURST = 8_192;
const MS_PER_S = 1_000;

export class AnswerPieces {
  /** Since the last event that was complete. */
  private pieces = 0;
  private bytes = 0;
  /** Small pieces above the rate; `updatedMs` is when it was last lowered. */
  private burst = 0;
  private updatedMs: number;

  constructor(private readonly clock: Clock) {
    this.updatedMs = clock.elapsedMs();
  }

  /** Adds a piece; `completesEvent` if an event ends in it. */
  add(bytes: number, completesEvent: boolean): void {
    this.pieces = completesEvent ? 0 : this.pieces + 1;
    this.bytes = completesEvent ? 0 : this.bytes + bytes;
    this.burst += Math.max(0, 1 - bytes / FULL_PIECE_BYTES);
  }

  /** Whether the next read of the answer should wait for its turn. */
  needPace(): boolean {
    if (hasSmallPieces(this.pieces, this.bytes)) return true;
    if (this.burst <= MAX_BURST) return false;
    const nowMs = this.clock.elapsedMs();
    const allowed = ((nowMs - this.updatedMs) / MS_PER_S) * MAX_PIECES_PER_S;
    this.burst = Math.max(0, this.burst - allowed);
    this.updatedMs = nowMs;
    return this.burst > MAX_BURST;
  }
}
