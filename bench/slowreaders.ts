/**
 * Measures the memory that slow readers cost, with 1,000 streams through one
 * real entry and one real sidecar. Some readers have stopped, some read a byte
 * a second, and the others read normally.
 *
 * Loopback sockets buffer some 4 MB for each stopped reader before the entry
 * notices that it has stopped. Streams of slow readers therefore begin with
 * long tokens, and their number stays within the host's memory for sockets.
 *
 * The memory of a stopped stream is the growth of both processes after the
 * first group of stopped streams, so that it doesn't include the initial
 * growth of their heaps. Streams start at fixed times, so the row needs no
 * seed.
 */
import {Deployment, keyHash} from '../standins/deployment';
import {BinaryProcess} from '../standins/binaryprocess';
import {Measurement, Row} from './row';
import {FloodProcess, waitUntilPaused, waitForState} from './support/flood';
import {Pace, StreamReader} from './support/reader';
import {pause, quantile} from './support/figures';

const KEY = 'bench-key';
const ZONE = 'sk-west-1';
const STREAMS = 1_000;
const FIRST_STOPPED_STREAMS = 100;
const MORE_STOPPED_STREAMS = 150;
const BYTE_READERS = 50;
const NORMAL_READERS =
  STREAMS - FIRST_STOPPED_STREAMS - MORE_STOPPED_STREAMS - BYTE_READERS;
const STEP_MS = 65;
const TOKENS = 20_000;
const SETTLE_MS = 3_000;
const MEASUREMENT_MS = 8_000;
const FILL_TIMEOUT_MS = 60_000;
const LONG_TOKEN_BYTES = 16_000;
const LONG_TOKENS_BYTES = 4_000_000;
/**
 * Tokens of a stopped reader's stream in the baseline, where streams never
 * pause: 6.4 MB, all in long tokens. Short tokens took 97 s, longer than the
 * rest of the row.
 */
const BASELINE_TOKENS = 400;
const BASELINE_TOKEN_BYTES = 16_000;
const BASELINE_LONG_TOKENS_BYTES = BASELINE_TOKENS * BASELINE_TOKEN_BYTES;
const BASELINE_WINDOW_BYTES = 1_000_000_000;
const BASELINE_NORMAL_READERS = 100;
const BASELINE_STOPPED_STREAMS = 50;
/**
 * Some streams may still count as running, because the kernel goes on taking
 * a few bytes for full sockets for a long time.
 */
const MAX_RUNNING_SLOW_STREAMS = 10;
const MAX_BYTES_PER_STREAM = 65_536;
const MAX_RESIDENT_MB = 128;
const MB = 1e6;

interface Site {
  readonly deployment: Deployment;
  readonly engine: FloodProcess;
  readonly entry: BinaryProcess;
  readonly sidecar: BinaryProcess;
  readonly url: string;
}

async function startSite(
  limits: object,
  bigBytes: number,
  bigTokenBytes: number,
): Promise<Site> {
  const deployment = new Deployment();
  await deployment.start(
    [
      `account bench key=${keyHash(KEY)}  # bench`,
      `model draft max-output=${TOKENS}  # bench`,
    ].join('\n'),
  );
  const engine = new FloodProcess({
    stepMs: STEP_MS,
    bigBytes,
    bigTokenBytes,
  });
  const sidecar = await deployment.addSidecar({
    instance: 'draft-1',
    zone: ZONE,
    kind: 'model',
    name: 'draft',
    url: await engine.start(),
    coldConcurrent: 2 * STREAMS,
    maxConcurrent: 2 * STREAMS,
    kvTokens: 1_000_000_000,
    targetStepMs: 1_000,
  });
  const {process: entry, url} = await deployment.addEntry('e-1', ZONE, limits);
  const init = {
    method: 'POST',
    headers: {authorization: `Bearer ${KEY}`},
    body: JSON.stringify({model: 'draft', prompt: 'x', max_tokens: 1}),
  };
  await deployment.waitUntilReachable(url, '/v1/completions', init);
  return {deployment, engine, entry, sidecar, url};
}

class ReaderGroup {
  readonly all: StreamReader[] = [];
  /** Times between tokens of normal readers, while `measuring`. */
  private gaps: number[] = [];
  private measuring = false;

  constructor(private readonly url: string) {}

  async add(pace: Pace, count: number, tokens = TOKENS): Promise<void> {
    const prompt = pace === 'normal' ? 'x' : 'big';
    for (let i = 0; i < count; i++) {
      let last: number | undefined;
      const token = () => {
        const now = performance.now();
        if (this.measuring && last !== undefined) this.gaps.push(now - last);
        last = now;
      };
      const {url} = this;
      const options = {url, key: KEY, model: 'draft', prompt, tokens, pace};
      this.all.push(new StreamReader({...options, token}));
      if (i % 10 === 9) await pause(10);
    }
  }

  async measure(): Promise<readonly number[]> {
    this.gaps = [];
    this.measuring = true;
    await pause(MEASUREMENT_MS);
    this.measuring = false;
    return this.gaps;
  }
}

function residentMemory({entry, sidecar}: Site): {
  readonly entry: number;
  readonly sidecar: number;
} {
  return {entry: entry.residentBytes(), sidecar: sidecar.residentBytes()};
}

async function stopSite(site: Site, readers: ReaderGroup): Promise<void> {
  readers.all.forEach(reader => reader.close());
  await site.deployment.stop();
  site.engine.stop();
}

/** Measures the memory growth for each stopped stream when no stream pauses. */
async function measureUnboundedBytesPerStream(): Promise<number> {
  const site = await startSite(
    {streamWindowBytes: BASELINE_WINDOW_BYTES},
    BASELINE_LONG_TOKENS_BYTES,
    BASELINE_TOKEN_BYTES,
  );
  const readers = new ReaderGroup(site.url);
  await readers.add('normal', BASELINE_NORMAL_READERS);
  await pause(SETTLE_MS);
  const before = residentMemory(site);
  await readers.add('stopped', BASELINE_STOPPED_STREAMS, BASELINE_TOKENS);
  await pause(SETTLE_MS);
  const noBigStreams = (s: {readonly bigStreams: number}) => s.bigStreams === 0;
  await waitForState(
    site.engine,
    noBigStreams,
    'whole answers',
    FILL_TIMEOUT_MS,
  );
  await pause(SETTLE_MS);
  const after = residentMemory(site);
  await stopSite(site, readers);
  const growthBytes =
    after.entry + after.sidecar - before.entry - before.sidecar;
  return growthBytes / BASELINE_STOPPED_STREAMS;
}

async function run(): Promise<readonly Measurement[]> {
  const site = await startSite({}, LONG_TOKENS_BYTES, LONG_TOKEN_BYTES);
  const readers = new ReaderGroup(site.url);
  const waitUntilAllPaused = async (what: string) => {
    await pause(SETTLE_MS);
    await waitUntilPaused(
      site.engine,
      MAX_RUNNING_SLOW_STREAMS,
      what,
      FILL_TIMEOUT_MS,
    );
    await pause(SETTLE_MS);
  };
  await readers.add('normal', NORMAL_READERS);
  await pause(SETTLE_MS);
  const gapsWithoutSlowReaders = await readers.measure();
  await readers.add('stopped', FIRST_STOPPED_STREAMS);
  await waitUntilAllPaused('the first stopped streams to pause');
  const firstMemory = residentMemory(site);
  await readers.add('stopped', MORE_STOPPED_STREAMS);
  await readers.add('byte', BYTE_READERS);
  await waitUntilAllPaused('all slow streams to pause');
  const totalMemory = residentMemory(site);
  const gapsWithSlowReaders = await readers.measure();
  const failed = readers.all.filter(r => r.status !== 200 || r.read < 0);
  await stopSite(site, readers);
  const growthBytes =
    totalMemory.entry +
    totalMemory.sidecar -
    firstMemory.entry -
    firstMemory.sidecar;
  const bytesPerStream = growthBytes / (MORE_STOPPED_STREAMS + BYTE_READERS);
  const ratio =
    quantile(gapsWithSlowReaders, 0.95) /
    quantile(gapsWithoutSlowReaders, 0.95);
  const unbounded = await measureUnboundedBytesPerStream();
  return [
    {
      name: 'memory for each stopped stream, both hops',
      unit: 'bytes',
      baseline: Math.round(unbounded),
      current: Math.round(bytesPerStream),
      bound: {relation: 'at most', value: MAX_BYTES_PER_STREAM},
      portable: false,
      note: `${BASELINE_STOPPED_STREAMS} streams of 6.4 MB in the baseline`,
    },
    {
      name: `entry resident memory, ${STREAMS} streams`,
      unit: 'MB',
      current: totalMemory.entry / MB,
      bound: {relation: 'at most', value: MAX_RESIDENT_MB},
      portable: false,
    },
    {
      name: `sidecar resident memory, ${STREAMS} streams`,
      unit: 'MB',
      current: totalMemory.sidecar / MB,
      bound: {relation: 'at most', value: MAX_RESIDENT_MB},
      portable: false,
    },
    {
      name: 'time between tokens, p95, to that without slow readers',
      unit: 'ratio',
      current: ratio,
      bound: {relation: 'at most', value: 1.1},
      portable: false,
      note: `${NORMAL_READERS} normal readers, ${quantile(gapsWithoutSlowReaders, 0.95).toFixed(1)} ms without`,
    },
    {
      name: 'streams refused or out of order',
      unit: 'streams',
      current: failed.length,
      bound: {relation: 'at most', value: 0},
      portable: false,
    },
  ];
}

export const row: Row = {name: 'slowreaders', seed: 1, run};
