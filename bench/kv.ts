/**
 * KV export and import against recomputing, when a zone is emptied and when
 * it comes back.
 *
 * Sizes and rates are 1/64 of those of an endpoint with 70,272 bytes of KV a
 * token (61 layers of a compressed cache) on 10 or 1 Gbit/s, and a prefill
 * of 10,000 tokens a second, so the ratio of moving to computing is kept.
 * The baseline recomputes. "Emptied": the cache of the endpoint that leaves
 * goes to one that serves its callers besides its own. "Returned": a cold
 * endpoint takes the cache of a warm one before its first request.
 */
import got from 'got';
import {Readable} from 'node:stream';
import {EngineStandin} from '../standins/engine';
import {BLOCK_TOKENS, kvBytes, KvTransferOptions} from '../standins/kvtransfer';
import {Measurement, Row} from './row';
import {Prompts, sharedPrompts} from './support/callers';
import {pause, quantile} from './support/figures';

const SCALE = 64;
const BYTES_PER_TOKEN = 70_272 / SCALE;
const LINKS_GBIT = [10, 1] as const;
const BYTES_PER_MS_PER_GBIT = 125_000;
const PREFILL_MS_PER_TOKEN = 0.1;
const CACHED_BLOCKS = 64;
const WARM_REQUESTS = 200;
const REQUESTS = 80;
const INTERVAL_MS = 50;
const OUTPUT_TOKENS = 5;

interface Figures {
  readonly transferMs: number;
  readonly computedTokens: number;
  readonly p95Ms: number;
}

interface Engine {
  readonly standin: EngineStandin;
  readonly url: string;
}

async function startEngine(transfer: KvTransferOptions): Promise<Engine> {
  const standin = new EngineStandin({
    warmSteps: 0,
    outputTokens: OUTPUT_TOKENS,
    cachedBlocks: CACHED_BLOCKS,
    prefillMsPerToken: PREFILL_MS_PER_TOKEN,
    transfer,
  });
  return {standin, url: await standin.start()};
}

/** Sends a request and returns the milliseconds to its first token. */
async function ask(url: string, id: string, prompt: string): Promise<number> {
  const begin = performance.now();
  const promptTokens = Math.ceil(prompt.length / 4);
  const json = {
    requestId: id,
    attempt: 1,
    prompt,
    promptTokens,
    maxOutput: OUTPUT_TOKENS,
    resumeOffset: 0,
  };
  let firstMs = Infinity;
  const answer = got.stream.post(`${url}/generate`, {json, retry: {limit: 0}});
  for await (const data of answer as AsyncIterable<Buffer>) {
    const token = data.toString().includes('"t"');
    if (token) firstMs = Math.min(firstMs, performance.now() - begin);
  }
  return firstMs;
}

async function run(
  url: string,
  count: number,
  prompts: Prompts,
): Promise<readonly number[]> {
  const pending: Promise<number>[] = [];
  for (let i = 0; i < count; i++) {
    pending.push(ask(url, `${i}`, prompts(i)));
    await pause(INTERVAL_MS);
  }
  return Promise.all(pending);
}

/** Fills the engine's cache as a warm endpoint of this traffic has it. */
async function warm({url}: Engine, prompts: Prompts): Promise<void> {
  for (let i = 0; i < WARM_REQUESTS; i += 10) {
    const batch = Array.from({length: 10}, (_, k) => prompts(i + k));
    await Promise.all(batch.map((p, k) => ask(url, `w${i}.${k}`, p)));
  }
}

async function move(from: Engine, to: Engine): Promise<number> {
  const begin = performance.now();
  const body = got.stream(`${from.url}/kv`) as Readable;
  const answer = await got.put(`${to.url}/kv`, {body, retry: {limit: 0}});
  if (answer.statusCode !== 200) throw new Error('the cache was not moved');
  return performance.now() - begin;
}

async function trial(
  seed: number,
  transfer: KvTransferOptions,
  targetWarm: boolean,
  moved: boolean,
): Promise<Figures> {
  const engines = [await startEngine(transfer), await startEngine(transfer)];
  const [source, target] = engines as [Engine, Engine];
  try {
    await warm(source, sharedPrompts(seed));
    if (targetWarm) await warm(target, sharedPrompts(seed + 1));
    const transferMs = moved ? await move(source, target) : 0;
    const {standin} = target;
    const computed = () => standin.promptTokens - standin.cachedPromptTokens;
    const before = computed();
    const times = await run(target.url, REQUESTS, sharedPrompts(seed + 2));
    const computedTokens = computed() - before;
    return {transferMs, computedTokens, p95Ms: quantile(times, 0.95)};
  } finally {
    engines.forEach(({standin}) => standin.stop());
  }
}

function rows(
  name: string,
  transfer: KvTransferOptions,
  recomputed: Figures,
  moved: Figures,
): readonly Measurement[] {
  const bytes = kvBytes(CACHED_BLOCKS, transfer) * SCALE;
  const savedMs =
    (recomputed.computedTokens - moved.computedTokens) * PREFILL_MS_PER_TOKEN;
  const note = `${CACHED_BLOCKS * BLOCK_TOKENS} tokens at most, ${REQUESTS} requests`;
  const row = (
    what: string,
    unit: string,
    baseline: number,
    current: number,
  ) => ({
    name: `${name}: ${what}`,
    unit,
    baseline,
    current,
    portable: false,
    note,
  });
  return [
    row('bytes moved, full scale', 'MB', 0, bytes / 1e6),
    row('time of the transfer', 'ms', 0, moved.transferMs),
    row('prefill time saved', 'ms', 0, savedMs),
    row(
      'prompt tokens computed',
      'tokens',
      recomputed.computedTokens,
      moved.computedTokens,
    ),
    row('p95 first token', 'ms', recomputed.p95Ms, moved.p95Ms),
  ];
}

export const row: Row = {
  name: 'kv',
  seed: 1,
  async run(seed) {
    const found: Measurement[] = [];
    for (const gbit of LINKS_GBIT) {
      const bytesPerMs = (gbit * BYTES_PER_MS_PER_GBIT) / SCALE;
      const transfer = {bytesPerToken: BYTES_PER_TOKEN, bytesPerMs};
      for (const targetWarm of [true, false]) {
        const recomputed = await trial(seed, transfer, targetWarm, false);
        const moved = await trial(seed, transfer, targetWarm, true);
        const name = `${targetWarm ? 'emptied' : 'returned'}, ${gbit} Gbit/s`;
        found.push(...rows(name, transfer, recomputed, moved));
      }
    }
    return found;
  },
};
