/**
 * Transfers a prefix cache between engine stand-ins.
 *
 * A transfer is one JSON line with the names of the blocks, least recently
 * used first, and then as many zero bytes as the KV entries of their tokens
 * take. The sender limits its rate because the network between zones is
 * shared.
 */
import {IncomingMessage, ServerResponse} from 'node:http';

export const BLOCK_TOKENS = 64;

export interface KvTransferOptions {
  readonly bytesPerToken: number;
  /** Rate limit of the sender. */
  readonly bytesPerMs: number;
}

const CHUNK_BYTES = 16_384;
const zeroChunk = Buffer.alloc(CHUNK_BYTES);

/** Size of the KV entries of a number of blocks, in bytes. */
export function kvBytes(blocks: number, transfer: KvTransferOptions): number {
  return blocks * BLOCK_TOKENS * transfer.bytesPerToken;
}

export async function sendBlocks(
  res: ServerResponse,
  blocks: readonly string[],
  transfer: KvTransferOptions,
): Promise<void> {
  res.setHeader('content-type', 'application/octet-stream');
  res.write(JSON.stringify(blocks) + '\n');
  const begin = performance.now();
  const total = kvBytes(blocks.length, transfer);
  for (let sent = 0; sent < total && !res.destroyed;) {
    const size = Math.min(CHUNK_BYTES, total - sent);
    sent += size;
    const written = new Promise<void>(done => {
      res.write(zeroChunk.subarray(0, size), () => done());
    });
    await written;
    const dueMs = begin + sent / transfer.bytesPerMs - performance.now();
    if (dueMs > 0) await new Promise(done => setTimeout(done, dueMs));
  }
  res.end();
}

/** Receives a cache; undefined if it has more or fewer bytes than expected. */
export async function receiveBlocks(
  req: IncomingMessage,
  transfer: KvTransferOptions,
): Promise<readonly string[] | undefined> {
  let headerLine = '';
  let blocks: readonly string[] | undefined;
  let bytes = 0;
  for await (const data of req as AsyncIterable<Buffer>) {
    if (blocks) {
      bytes += data.length;
      continue;
    }
    const end = data.indexOf('\n');
    headerLine += data.toString('utf8', 0, end < 0 ? data.length : end);
    if (end < 0) continue;
    blocks = JSON.parse(headerLine) as readonly string[];
    bytes += data.length - end - 1;
  }
  const complete = blocks && bytes === kvBytes(blocks.length, transfer);
  return complete ? blocks : undefined;
}
