/**
 * Reassembles the answer to one request from its frames.
 *
 * A frame carries its request, attempt and offset. Frames of another request
 * or attempt and repeated frames are dropped. If the beginning of a frame was
 * received before, that part is cut off. A gap is an error. The last frame
 * carries the total length, so an answer is either complete or known to be
 * incomplete.
 */
import {Frame} from '../wire/messages';

/** How much of an answer has been received. */
export interface Assembly {
  readonly requestId: string;
  readonly attempt: number;
  /** Tokens (bytes for a service) received so far, over all attempts. */
  readonly offset: number;
  readonly complete: boolean;
}

export type ReceiveResult =
  /** The frame continues the answer. */
  | {
      readonly kind: 'accepted';
      readonly assembly: Assembly;
      /** The part of the frame that was not received before. */
      readonly frame: Frame;
    }
  /** The frame is not needed: of another request or attempt, or repeated. */
  | {
      readonly kind: 'dropped';
      readonly reason: 'request' | 'attempt' | 'repeated';
    }
  /**
   * The answer cannot be continued: frames are missing before this one, the
   * total is not the offset reached, or the frame cannot be cut.
   */
  | {readonly kind: 'broken'; readonly reason: 'gap' | 'total' | 'length'};

export function newAssembly(requestId: string): Assembly {
  return {requestId, attempt: 1, offset: 0, complete: false};
}

/** Continues the answer in another attempt, from the offset reached. */
export function continueInAttempt(
  assembly: Assembly,
  attempt: number,
): Assembly {
  return {...assembly, attempt};
}

export function receiveFrame(assembly: Assembly, frame: Frame): ReceiveResult {
  if (frame.requestId !== assembly.requestId) {
    return {kind: 'dropped', reason: 'request'};
  }
  if (frame.attempt !== assembly.attempt) {
    return {kind: 'dropped', reason: 'attempt'};
  }
  if (assembly.complete) return {kind: 'dropped', reason: 'repeated'};
  if (frame.offset > assembly.offset) return {kind: 'broken', reason: 'gap'};
  const offset = frame.offset + frame.count;
  if (frame.end && frame.total !== offset) {
    return {kind: 'broken', reason: 'total'};
  }
  if (offset < assembly.offset) {
    // The attempt's answer ends before the offset that an earlier attempt
    // reached, so it is not the same answer.
    if (frame.end) return {kind: 'broken', reason: 'total'};
    return {kind: 'dropped', reason: 'repeated'};
  }
  if (offset === assembly.offset && frame.count > 0 && !frame.end) {
    return {kind: 'dropped', reason: 'repeated'};
  }
  const newPart = withoutFirst(frame, assembly.offset - frame.offset);
  if (!newPart) return {kind: 'broken', reason: 'length'};
  return {
    kind: 'accepted',
    assembly: {...assembly, offset, complete: frame.end},
    frame: newPart,
  };
}

/**
 * The frame without its first `count` tokens or bytes; undefined if its token
 * lengths do not tell where these end.
 */
function withoutFirst(frame: Frame, count: number): Frame | undefined {
  if (count === 0) return frame;
  const cut = byteLengthOfFirst(frame, count);
  if (cut === undefined) return undefined;
  return {
    ...frame,
    offset: frame.offset + count,
    count: frame.count - count,
    data: frame.data.subarray(cut),
    lengths: frame.lengths.slice(count),
  };
}

function byteLengthOfFirst(frame: Frame, count: number): number | undefined {
  if (count === frame.count) return frame.data.length;
  if (frame.lengths.length === frame.count) {
    return frame.lengths.slice(0, count).reduce((sum, n) => sum + n, 0);
  }
  // Frames of a service count bytes and have no token lengths.
  return frame.data.length === frame.count ? count : undefined;
}
