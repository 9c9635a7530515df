/**
 * One part of some prompts crashes each runner that begins to write on it. The runner
 * has sent the head of its answer by then, which has neither a length nor chunks.
 */
import {BAD_PART, checkBudget, part, playBadPart} from '../lib-3/badpart.mjs';

await playBadPart({
  shared: (n, isBad) => [part(0), part(1), isBad ? BAD_PART : part(2)],
  intervalMs: 700,
  playMs: 40_000,
  sendsHead: process.env.HEAD !== '0',
  check: checkBudget,
});
