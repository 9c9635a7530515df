/**
 * One part of some prompts crashes each runner that begins to write on it. It is
 * the eighteenth of twenty shared parts.
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {BAD_PART, checkBudget, part, playBadPart} from '../lib-3/badpart.mjs';

const PARTS = 20;
const POSITION = Number(process.env.POSITION ?? 18);

await playBadPart(path.dirname(fileURLToPath(import.meta.url)), {
  shared: (n, isBad) =>
    Array.from({length: PARTS}, (_, i) =>
      isBad && i === POSITION - 1 ? BAD_PART : part(i),
    ),
  intervalMs: 700,
  playMs: 40_000,
  check: checkBudget,
});
