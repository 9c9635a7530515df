/**
 * Tokens a second for each core of an entry's processor time, and the delay
 * that entry and sidecar add to a token, with real processes. The baseline of
 * the delay is a reader that takes its tokens from the engine directly.
 * Streams start at fixed times, so the row needs no seed.
 */
import http from 'node:http';
import {Deployment, keyHash} from '../standins/deployment';
import {EntryProcess} from '../standins/deployment';
import {Measurement, Row} from './row';
import {FloodProcess, monotonicMs} from './support/flood';
import {StreamReader} from './support/reader';
import {pause, quantile} from './support/figures';

const KEY = 'bench-key';
const ZONE = 'sk-west-1';
const TARGET_PER_CORE = 37_000;
const MAX_ADDED_MS = 2;
const SIDECARS = 2;
const STEP_MS = 32;
const TOKENS = 100_000;
/** Streams for a quarter of the target rate. */
const QUARTER = Math.round((TARGET_PER_CORE / 4 / 1_000) * STEP_MS);
const LOADED = 2 * QUARTER;
const SETTLE_MS = 3_000;
const MEASURE_MS = 8_000;

/** Delays of tokens from the engine's write to the reader. */
class Delays {
  private values: number[] | undefined;

  readonly token = (_: number, writtenMs: number): void => {
    this.values?.push(monotonicMs() - writtenMs);
  };

  async measure(): Promise<readonly number[]> {
    const values: number[] = [];
    this.values = values;
    await pause(MEASURE_MS);
    this.values = undefined;
    return values;
  }
}

function direct(
  engineUrl: string,
  index: number,
  token: Delays['token'],
): http.ClientRequest {
  const request = http.request(`${engineUrl}/generate`, {method: 'POST'});
  request.on('error', () => undefined);
  request.on('response', response => {
    response.setEncoding('latin1');
    response.on('error', () => undefined);
    response.on('data', (chunk: string) => {
      for (const [, position, writtenMs] of chunk.matchAll(
        /<(\d+) ([\d.]+)>/g,
      )) {
        token(Number(position), Number(writtenMs));
      }
    });
  });
  const body = {
    requestId: `direct-${index}`,
    attempt: 1,
    prompt: 'x',
    maxOutput: TOKENS,
    resumeOffset: 0,
  };
  request.end(JSON.stringify(body));
  return request;
}

async function run(): Promise<readonly Measurement[]> {
  const deployment = new Deployment();
  await deployment.start(
    [
      `account bench key=${keyHash(KEY)}  # bench`,
      `model draft max-output=${TOKENS}  # bench`,
    ].join('\n'),
  );
  const engines: FloodProcess[] = [];
  const urls: string[] = [];
  for (let i = 0; i < SIDECARS; i++) {
    const engine = new FloodProcess({
      stepMs: STEP_MS,
      spread: true,
      bigBytes: 0,
      bigTokenBytes: 0,
    });
    engines.push(engine);
    const url = await engine.start();
    urls.push(url);
    await deployment.addSidecar({
      instance: `draft-${i}`,
      zone: ZONE,
      kind: 'model',
      name: 'draft',
      url,
      coldConcurrent: 2_000,
      maxConcurrent: 2_000,
      kvTokens: 1_000_000_000,
      targetStepMs: 1_000,
    });
  }
  const entry = await deployment.addEntry('e-1', ZONE);
  const init = {
    method: 'POST',
    headers: {authorization: `Bearer ${KEY}`},
    body: JSON.stringify({model: 'draft', prompt: 'x', max_tokens: 1}),
  };
  await deployment.waitUntilReachable(entry.url, '/v1/completions', init);
  try {
    return await measure(entry, engines, urls);
  } finally {
    await deployment.stop();
    engines.forEach(engine => engine.stop());
  }
}

async function measure(
  entry: EntryProcess,
  engines: readonly FloodProcess[],
  urls: readonly string[],
): Promise<readonly Measurement[]> {
  const delays = new Delays();
  const straight = Array.from({length: QUARTER}, (_, i) =>
    direct(urls[i % urls.length]!, i, delays.token),
  );
  await pause(SETTLE_MS);
  const without = quantile(await delays.measure(), 0.99);
  straight.forEach(request => request.destroy());
  const readers: StreamReader[] = [];
  const fill = async (count: number) => {
    while (readers.length < count) {
      const options = {url: entry.url, key: KEY, model: 'draft', prompt: 'x'};
      const pace = 'normal' as const;
      readers.push(
        new StreamReader({
          ...options,
          tokens: TOKENS,
          pace,
          token: delays.token,
        }),
      );
      if (readers.length % 10 === 0) await pause(10);
    }
    await pause(SETTLE_MS);
  };
  await fill(QUARTER);
  const delayed = await delays.measure();
  const through = quantile(delayed, 0.99);
  await fill(LOADED);
  const cpuBefore = entry.process.cpuMs();
  const tokens = (await delays.measure()).length;
  const cpuMs = entry.process.cpuMs() - cpuBefore;
  const broken = readers.filter(r => r.status !== 200 || r.read < 0);
  readers.forEach(reader => reader.close());
  const rate = Math.round((1_000 * tokens) / MEASURE_MS);
  return [
    {
      name: 'tokens for each second of entry processor time',
      unit: 'tokens/s',
      current: Math.round((1_000 * tokens) / cpuMs),
      bound: {relation: 'at least', value: TARGET_PER_CORE},
      portable: false,
      note: `at ${rate} tokens/s in ${LOADED} streams`,
    },
    {
      name: 'p99 delay added by entry and sidecar, quarter rate',
      unit: 'ms',
      baseline: without,
      current: through - without,
      bound: {relation: 'at most', value: MAX_ADDED_MS},
      portable: false,
      note: `${through.toFixed(2)} ms through both, median ${quantile(delayed, 0.5).toFixed(2)} ms; baseline is direct`,
    },
    {
      name: 'streams refused or out of order',
      unit: 'streams',
      current: broken.length,
      bound: {relation: 'at most', value: 0},
      portable: false,
      note: `${engines.length} sidecars`,
    },
  ];
}

export const row: Row = {name: 'datapath', seed: 1, run};
