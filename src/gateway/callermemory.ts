/**
 * How the memory of a process is divided among its callers, and which unfinished
 * requests give way when there is not enough of it.
 *
 * Answers the load of many callers that together hold more memory than the machine
 * has, although each of them is within its own limit: bodies that stop just short
 * of their end, and answers that nobody reads. Requests that were submitted never
 * give way, because they may be running at an endpoint.
 */

/** Bytes that the parts of a process may hold for its callers. */
export interface MemoryShares {
  /** Bodies of requests, unfinished and submitted. */
  readonly bodyBytes: number;
  /** Answers above `UNRESERVED_ANSWER_BYTES`, arriving or not yet read. */
  readonly answerBytes: number;
  /** Number of connections. */
  readonly connections: number;
}

/**
 * Resident memory of a process without callers: 59 MB was measured at an entry,
 * and the rest is for its heap under load.
 */
const BASELINE_BYTES = 80_000_000;
/**
 * The sum of the shares is two thirds. The rest is for buffers that have been
 * released and that V8 has not collected yet.
 */
const BODY_SHARE = 0.35;
const ANSWER_SHARE = 0.15;
const CONNECTION_SHARE = 0.17;
/**
 * Memory of one connection: its socket, its parser and the headers of its request
 * in progress, which the parser limits to 32 KiB.
 */
const CONNECTION_BYTES = 16_384;

/** `largestBodyBytes` is what one body may have; a body that large always fits. */
export function divideMemory(
  memoryBytes: number,
  largestBodyBytes: number,
): MemoryShares {
  const freeBytes = Math.max(0, memoryBytes - BASELINE_BYTES);
  return {
    bodyBytes: Math.max(largestBodyBytes, Math.floor(freeBytes * BODY_SHARE)),
    answerBytes: Math.max(
      LARGEST_ANSWER_BYTES,
      Math.floor(freeBytes * ANSWER_SHARE),
    ),
    connections: Math.max(
      1,
      Math.floor((freeBytes * CONNECTION_SHARE) / CONNECTION_BYTES),
    ),
  };
}

/** Largest answer that is held until it is complete. */
export const LARGEST_ANSWER_BYTES = 1_048_576;
/**
 * An answer up to this size needs no reservation. The number of connections bounds
 * the memory of all such answers.
 */
export const UNRESERVED_ANSWER_BYTES = 65_536;

/** The body of one request. */
export interface BodyHolder {
  readonly id: number;
  /** The account, or the address of a caller without one. */
  readonly account: string;
  readonly bytes: number;
  /** Submitted requests never give way. */
  readonly isSubmitted: boolean;
  /** Bytes received in the last one to two seconds. */
  readonly recentBytes: number;
}

export interface MemoryRequest {
  /** Id of a holder that is not submitted. */
  readonly id: number;
  /** Bytes that it needs in addition to those it has. */
  readonly bytes: number;
}

/**
 * Progress in bytes that every request is credited with, so that a large body
 * without progress ranks before a small one.
 */
const CREDITED_BYTES = 4_096;

/**
 * Ids of the requests that give way, so that `request` fits into the budget; none
 * if it fits. Contains only the id of `request` if that gives way itself. Requests
 * of accounts above an equal share of the budget come first, then the largest in
 * proportion to their progress.
 */
export function chooseBodiesToShed(
  holders: readonly BodyHolder[],
  request: MemoryRequest,
  budgetBytes: number,
): readonly number[] {
  const wanted = holders.map(holder =>
    holder.id === request.id
      ? {...holder, bytes: holder.bytes + request.bytes}
      : holder,
  );
  let excess = sumOfBytes(wanted) - budgetBytes;
  if (excess <= 0) return [];
  const byAccount = new Map<string, number>();
  for (const {account, bytes} of wanted) {
    byAccount.set(account, (byAccount.get(account) ?? 0) + bytes);
  }
  const shareBytes = budgetBytes / byAccount.size;
  const isOverShare = (holder: BodyHolder) =>
    byAccount.get(holder.account)! > shareBytes;
  const candidates = wanted
    .filter(holder => !holder.isSubmitted)
    .sort(
      (a, b) =>
        Number(isOverShare(b)) - Number(isOverShare(a)) ||
        burden(b) - burden(a),
    );
  const shed: number[] = [];
  for (const {id, bytes} of candidates) {
    if (id === request.id) return [id];
    shed.push(id);
    excess -= bytes;
    if (excess <= 0) return shed;
  }
  return [request.id];
}

function burden({bytes, recentBytes}: BodyHolder): number {
  return bytes / (recentBytes + CREDITED_BYTES);
}

function sumOfBytes(holders: readonly BodyHolder[]): number {
  return holders.reduce((sum, {bytes}) => sum + bytes, 0);
}

/**
 * How many of the answers that wait for memory can go on, in the order in which
 * they came. A later one does not overtake, so that a large one is not starved.
 */
export function countGrantable(
  waitingBytes: Iterable<number>,
  freeBytes: number,
): number {
  let left = freeBytes;
  let count = 0;
  for (const bytes of waitingBytes) {
    left -= bytes;
    if (left < 0) return count;
    count += 1;
  }
  return count;
}
