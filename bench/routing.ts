/**
 * Simulates the policies that choose endpoints and measures their prefix-cache
 * hits, time to first token and herd effect. Load reports lag behind, and cache
 * events arrive late or are lost. Also measures the time of one decision.
 *
 * Each entry process knows only what it has sent and what was reported to it.
 * An offer goes to two endpoints; the one that has room first takes it.
 */
import {LRUCache} from 'lru-cache';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  Candidate,
  SelectionPolicy,
  createSelector,
} from '../src/routing/selection';
import {PrefixIndex} from '../src/routing/prefix';
import {Load} from '../src/wire/messages';
import {Measurement, Row} from './row';
import {quantile} from './support/figures';

const ENTRY_PROCESSES = 6;
const ENDPOINTS = 12;
const MAX_RUNNING = 8;
const REPORT_INTERVAL_MS = 250;
const MAX_EVENT_DELAY_MS = 500;
const EVENT_LOSS_RATIO = 0.2;
const PROMPT_FAMILIES = 80;
const SHARED_BLOCKS = 12;
const OWN_BLOCKS = 4;
const CACHE_BLOCKS = 240;
const PREFILL_MS_PER_BLOCK = 15;
const DECODE_DURATION_MS = 250;
const DURATION_MS = 120_000;
const MEAN_ARRIVAL_INTERVAL_MS = 5.5;
const DECISION_ENDPOINTS = 400;
const DECISIONS = 20_000;
const MAX_DECISION_US = 50;

type Random = () => number;

function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

interface Endpoint {
  readonly name: string;
  readonly cache: LRUCache<number, true>;
  running: number;
  queue: Request[];
  reported: Load;
  sequence: number;
}

interface Request {
  readonly entry: number;
  readonly hashes: readonly number[];
  readonly arrivedMs: number;
}

interface Outcome {
  readonly hitRatio: number;
  readonly firstTokenP95Ms: number;
  readonly herd: number;
}

const IDLE_LOAD: Load = {
  running: 0,
  waiting: 0,
  bound: MAX_RUNNING,
  freeTokens: 0,
  cold: false,
  leaving: false,
  stepMs: 0,
  cachedPrefixes: [],
  evictedPrefixes: [],
  cacheSequence: 0,
};

function simulate(policy: SelectionPolicy, seed: number): Outcome {
  const random = createRandom(seed);
  const events = new Map<number, (() => void)[]>();
  const schedule = (ms: number, action: () => void) => {
    const key = Math.ceil(ms);
    const list = events.get(key);
    if (list) list.push(action);
    else events.set(key, [action]);
  };
  const endpoints: Endpoint[] = Array.from({length: ENDPOINTS}, (_, i) => ({
    name: `e${i}`,
    cache: new LRUCache<number, true>({max: CACHE_BLOCKS}),
    running: 0,
    queue: [],
    reported: IDLE_LOAD,
    sequence: 0,
  }));
  const byName = new Map(endpoints.map(e => [e.name, e]));
  const entries = Array.from({length: ENTRY_PROCESSES}, (_, i) => {
    const index = new PrefixIndex();
    const choose = createSelector(policy, index, createRandom(seed + i));
    return {index, choose, outstanding: new Map<string, number>()};
  });
  let now = 0;
  let hits = 0;
  let blocks = 0;
  const firstTokenTimesMs: number[] = [];
  const herdRatios: number[] = [];

  function changeOutstanding(
    entry: number,
    name: string,
    change: number,
  ): void {
    const {outstanding} = entries[entry]!;
    outstanding.set(name, (outstanding.get(name) ?? 0) + change);
  }

  function startRequest(endpoint: Endpoint, request: Request): void {
    endpoint.running += 1;
    let cached = 0;
    while (
      cached < request.hashes.length &&
      endpoint.cache.get(request.hashes[cached]!)
    ) {
      cached += 1;
    }
    const fresh = request.hashes.slice(cached);
    for (const hash of fresh) endpoint.cache.set(hash, true);
    hits += cached;
    blocks += request.hashes.length;
    const prefillMs = fresh.length * PREFILL_MS_PER_BLOCK;
    firstTokenTimesMs.push(now - request.arrivedMs + prefillMs);
    endpoint.sequence += 1;
    const event = {
      cachedPrefixes: fresh,
      evictedPrefixes: [],
      cacheSequence: endpoint.sequence,
    };
    const {index} = entries[request.entry]!;
    index.recordPrompt(endpoint.name, request.hashes);
    for (const entry of entries) {
      if (random() < EVENT_LOSS_RATIO) continue;
      const delayMs = MAX_EVENT_DELAY_MS * random();
      schedule(now + delayMs, () =>
        entry.index.applyCacheEvent(endpoint.name, event),
      );
    }
    schedule(now + prefillMs + DECODE_DURATION_MS, () => {
      endpoint.running -= 1;
      changeOutstanding(request.entry, endpoint.name, -1);
      const next = endpoint.queue.shift();
      if (next) startRequest(endpoint, next);
    });
  }

  function sendRequest(): void {
    // The square makes a few families much more popular than the others.
    const family = Math.floor(PROMPT_FAMILIES * random() ** 2);
    const entry = Math.floor(ENTRY_PROCESSES * random());
    const shared = Array.from(
      {length: SHARED_BLOCKS},
      (_, i) => family * 100 + i,
    );
    const own = Array.from({length: OWN_BLOCKS}, () =>
      Math.floor(random() * 2 ** 32),
    );
    const hashes = [...shared, ...own];
    const {choose, outstanding} = entries[entry]!;
    const candidates: Candidate[] = endpoints.map(e => ({
      sidecar: e.name,
      zone: 'z',
      load: e.reported,
      outstanding: outstanding.get(e.name) ?? 0,
    }));
    const wanted = {
      prefixHashes: hashes,
      zone: 'z',
      exclude: new Set<string>(),
    };
    const chosen = choose(candidates, wanted, 2).map(n => byName.get(n)!);
    const free = chosen.find(e => e.running < MAX_RUNNING);
    const queueLength = (e: Endpoint) => e.queue.length;
    const taken =
      free ??
      chosen.reduce((a, b) => (queueLength(b) < queueLength(a) ? b : a));
    changeOutstanding(entry, taken.name, 1);
    const request = {entry, hashes, arrivedMs: now};
    if (free) startRequest(taken, request);
    else taken.queue.push(request);
  }

  let nextArrivalMs = 0;
  for (now = 0; now < DURATION_MS; now++) {
    for (const action of events.get(now) ?? []) action();
    events.delete(now);
    for (; nextArrivalMs <= now;) {
      sendRequest();
      nextArrivalMs += -Math.log(1 - random()) * MEAN_ARRIVAL_INTERVAL_MS;
    }
    for (const [i, endpoint] of endpoints.entries()) {
      if ((now + 20 * i) % REPORT_INTERVAL_MS !== 0) continue;
      const {running, queue} = endpoint;
      endpoint.reported = {...IDLE_LOAD, running, waiting: queue.length};
    }
    if (now % 10 === 0) {
      const assigned = endpoints.map(e => e.running + e.queue.length);
      const mean = assigned.reduce((a, b) => a + b, 0) / ENDPOINTS;
      if (mean > 1) herdRatios.push(Math.max(...assigned) / mean);
    }
  }
  return {
    hitRatio: hits / blocks,
    firstTokenP95Ms: quantile(firstTokenTimesMs, 0.95),
    herd: quantile(herdRatios, 0.95),
  };
}

/** Returns the p99 time of one decision among many endpoints, in microseconds. */
function measureDecisionP99Us(seed: number): number {
  const random = createRandom(seed);
  const index = new PrefixIndex();
  const prompts = Array.from({length: 50}, (_, p) =>
    Array.from({length: 16}, (_, i) => p * 100 + i),
  );
  const candidates: Candidate[] = Array.from(
    {length: DECISION_ENDPOINTS},
    (_, i) => {
      const sidecar = `e${i}`;
      index.recordPrompt(sidecar, prompts[i % prompts.length]!);
      const running = Math.floor(random() * MAX_RUNNING);
      return {
        sidecar,
        zone: 'z',
        load: {...IDLE_LOAD, running},
        outstanding: 0,
      };
    },
  );
  const choose = createSelector('prefix', index, random);
  const times: number[] = [];
  for (let i = 0; i < DECISIONS; i++) {
    const prefixHashes = prompts[i % prompts.length]!;
    const wanted = {prefixHashes, zone: 'z', exclude: new Set<string>()};
    const before = performance.now();
    choose(candidates, wanted, 2);
    times.push((performance.now() - before) * 1e3);
  }
  return quantile(times.slice(DECISIONS / 10), 0.99);
}

async function run(seed: number): Promise<readonly Measurement[]> {
  const prefix = simulate('prefix', seed);
  const roundRobin = simulate('round-robin', seed);
  const leastLoaded = simulate('least-loaded', seed);
  return [
    {
      name: 'prefix-cache hit ratio (baseline round robin)',
      unit: 'ratio',
      baseline: roundRobin.hitRatio,
      current: prefix.hitRatio,
      bound: {relation: 'at least', value: roundRobin.hitRatio},
      portable: true,
      note: `least loaded ${leastLoaded.hitRatio.toFixed(3)}`,
    },
    {
      name: 'p95 time to first token (baseline round robin)',
      unit: 'ms',
      baseline: roundRobin.firstTokenP95Ms,
      current: prefix.firstTokenP95Ms,
      bound: {relation: 'at most', value: roundRobin.firstTokenP95Ms},
      portable: true,
      note: `least loaded ${leastLoaded.firstTokenP95Ms.toFixed(0)} ms`,
    },
    {
      name: 'herd, p95 of peak over mean (baseline least loaded)',
      unit: 'ratio',
      baseline: leastLoaded.herd,
      current: prefix.herd,
      bound: {relation: 'at most', value: leastLoaded.herd},
      portable: true,
      note: `round robin ${roundRobin.herd.toFixed(2)}`,
    },
    {
      name: `decision p99 at ${DECISION_ENDPOINTS} endpoints`,
      unit: 'us',
      current: measureDecisionP99Us(seed),
      bound: {relation: 'at most', value: MAX_DECISION_US},
      portable: false,
    },
  ];
}

export const row: Row = {name: 'routing', seed: 20261204, run};
