/**
 * Reads the body of one request into one buffer that grows.
 *
 * Node hands out slices of its read buffers, each with hundreds of bytes of heap,
 * so a body in chunks of one byte would take several hundred times its size if the
 * slices were kept. Each growth is entered into the memory account first, which may
 * decide that this request or others give way.
 */
import http from 'node:http';
import {Clock} from '../kernel/clock';
import {GrowingBuffer} from '../kernel/growingbuffer';
import {hasSmallPieces, InputPace} from '../kernel/inputpace';
import {MessageInput} from '../kernel/messageinput';
import {BodyAccount} from './memoryaccounts';

export type BodyOutcome =
  | {readonly kind: 'whole'; readonly body: Buffer | undefined}
  /** Larger than the limit, by the declared or the received length. */
  | {readonly kind: 'large'}
  /** It gave way to others, or there was no memory for it. */
  | {readonly kind: 'shed'}
  /** The caller has left. */
  | {readonly kind: 'gone'};

export interface BodyReaderDependencies {
  readonly memory: BodyAccount;
  /** Pauses a body that comes in small chunks. */
  readonly pace: InputPace;
}

export interface BodyReading {
  /** Frees the memory, and ends the reading if the body is incomplete. */
  release(): void;
}

const FIRST_BYTES = 16_384;

/**
 * Calls `onOutcome` once. The memory of a whole body is held until `release`;
 * in all other cases it has been released, and the rest of the input is discarded.
 */
export function readBody(
  req: http.IncomingMessage,
  {memory, pace}: BodyReaderDependencies,
  {account, maxBytes}: {readonly account: string; readonly maxBytes: number},
  onOutcome: (outcome: BodyOutcome) => void,
): BodyReading {
  const {headers} = req;
  const declared = headers['content-length'];
  const hasBody =
    declared !== undefined || headers['transfer-encoding'] !== undefined;
  const mostBytes = Math.min(Number(declared ?? Infinity), maxBytes);
  const buffer = new GrowingBuffer(mostBytes);
  const input = new MessageInput(req);
  let bytes = 0;
  let chunks = 0;
  let isFinished = false;
  const holding = memory.open(account, () => finish({kind: 'shed'}));

  function finish(outcome: BodyOutcome): void {
    if (isFinished) return;
    isFinished = true;
    pace.end(input);
    if (outcome.kind === 'whole') {
      holding.submit();
    } else {
      buffer.free();
      holding.release();
    }
    onOutcome(outcome);
  }

  function take(chunk: Buffer): void {
    if (isFinished) return;
    const end = bytes + chunk.length;
    if (end > maxBytes) return finish({kind: 'large'});
    holding.recordProgress(chunk.length);
    if (end > buffer.capacity && !grow(end)) return finish({kind: 'shed'});
    buffer.write(chunk, bytes);
    bytes = end;
    chunks += 1;
    if (hasSmallPieces(chunks, bytes)) pace.pause(input);
  }

  function grow(neededBytes: number): boolean {
    const doubled = Math.max(FIRST_BYTES, buffer.capacity * 2, neededBytes);
    const size = Math.max(neededBytes, Math.min(doubled, mostBytes));
    if (!holding.grow(size - buffer.capacity)) return false;
    buffer.grow(size);
    return true;
  }

  if (Number(declared ?? 0) > maxBytes) {
    finish({kind: 'large'});
  } else {
    req.on('data', take);
    req.on('end', () => {
      const body = hasBody || bytes > 0 ? buffer.read(bytes) : undefined;
      finish({kind: 'whole', body});
    });
    req.on('error', () => finish({kind: 'gone'}));
    req.on('close', () => finish({kind: 'gone'}));
  }
  return {
    release: () => {
      finish({kind: 'gone'});
      holding.release();
    },
  };
}

/**
 * Reads input without keeping it. `onExcess` is called once, after more than
 * `maxBytes` or many small chunks.
 */
export function discardBody(
  req: http.IncomingMessage,
  maxBytes: number,
  onExcess: () => void,
): void {
  let bytes = 0;
  let chunks = 0;
  let isOver = false;
  req.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    chunks += 1;
    if (isOver) return;
    isOver = bytes > maxBytes || hasSmallPieces(chunks, bytes);
    if (isOver) onExcess();
  });
}

/**
 * Discards the rest of a refused request's input, up to `maxBytes` and for `maxMs`,
 * and then calls `onDone` once. Closing a socket with unread bytes resets it, and the
 * caller may lose the answer. Does nothing more once `res` is closed.
 */
export function discardRest(
  {req, res}: {req: http.IncomingMessage; res: http.ServerResponse},
  clock: Clock,
  {maxBytes, maxMs}: {readonly maxBytes: number; readonly maxMs: number},
  onDone: () => void,
): void {
  let isDone = false;
  const end = () => {
    if (isDone) return;
    isDone = true;
    timer.cancel();
    onDone();
  };
  const timer = clock.after(maxMs, end);
  discardBody(req, maxBytes, end);
  req.once('end', end);
  res.once('close', () => {
    isDone = true;
    timer.cancel();
  });
}
