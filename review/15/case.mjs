/**
 * One part of some prompts crashes each runner that begins to write on it. The runner
 * has sent the head of its answer by then, which has neither a length nor chunks.
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {playBadPart} from '../lib-3/badpart.mjs';

await playBadPart(path.dirname(fileURLToPath(import.meta.url)), {
  sharedParts: 3,
  position: 3,
  burst: 1,
  intervalMs: 700,
  playMs: 40_000,
  sendsHead: process.env.HEAD !== '0',
});
