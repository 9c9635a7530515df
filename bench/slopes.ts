/**
 * Measures what each further link, rule or request costs a process, for
 * docs/CAPACITY.md: the slope over three counts of each, with real processes.
 */
import {Clock, systemClock} from '../src/kernel/clock';
import {Timeline} from '../src/observe/timeline';
import {SidecarPayload} from '../src/wire/messages';
import {NodeServer} from '../src/wire/server';
import {InstanceRecord} from '../src/platform/client';
import {Deployment, keyHash} from '../standins/deployment';
import {BinaryProcess} from '../standins/binaryprocess';
import {ServiceStandin} from '../standins/service';
import {Measurement, Row} from './row';
import {pause} from './support/figures';

const KEY = 'bench-key';
const ZONE = 'zone-1';
const BASE_RULES = [
  `account bench key=${keyHash(KEY)}  # bench`,
  'service stock  # bench',
];
const HEADERS = {authorization: `Bearer ${KEY}`};
const LINK_COUNTS = [0, 40, 80] as const;
const RULE_COUNTS = [0, 1_000, 2_000] as const;
const REQUEST_COUNTS = [500, 1_000, 2_000] as const;
const CONCURRENT_CALLERS = 16;
const SETTLE_MS = 2_000;
const IDLE_MEASUREMENT_MS = 4_000;
const LOAD_REPORT_INTERVAL_MS = 250;

interface Point {
  readonly x: number;
  readonly y: number;
}

function leastSquaresSlope(points: readonly Point[]): number {
  const n = points.length;
  const meanX = points.reduce((sum, p) => sum + p.x, 0) / n;
  const meanY = points.reduce((sum, p) => sum + p.y, 0) / n;
  const covariance = points.reduce(
    (sum, p) => sum + (p.x - meanX) * (p.y - meanY),
    0,
  );
  return covariance / points.reduce((sum, p) => sum + (p.x - meanX) ** 2, 0);
}

const LOAD_MESSAGE: SidecarPayload = {
  kind: 'load',
  load: {
    running: 1,
    waiting: 0,
    bound: 8,
    freeTokens: 1_000,
    cold: false,
    leaving: false,
    stepMs: 20,
    cachedPrefixes: [],
    evictedPrefixes: [],
    cacheSequence: 0,
  },
};

/** Starts a server that says hello on each link and reports its load, as a sidecar does. */
async function startFakeSidecar(
  index: number,
  deployment: Deployment,
  clock: Clock,
): Promise<{readonly record: InstanceRecord; stop(): void}> {
  const instance = `fake-${index}`;
  const timeline = new Timeline(clock, {instance, zone: ZONE}, 100);
  const target = `model-${index}`;
  const timers: NodeJS.Timeout[] = [];
  const server = new NodeServer(deployment.peers, timeline, {
    link: channel => {
      const hello = {
        instance,
        incarnation: instance,
        zone: ZONE,
        release: '',
        targetKind: 'model' as const,
        target,
        leaving: false,
        ruleVersion: 1,
      };
      channel.send({kind: 'hello', hello});
      timers.push(
        setInterval(() => channel.send(LOAD_MESSAGE), LOAD_REPORT_INTERVAL_MS),
      );
      return {message: () => undefined, closed: () => undefined};
    },
  });
  const port = await server.listen('127.0.0.1:0');
  const record = {
    instance,
    zone: ZONE,
    role: 'sidecar' as const,
    address: `127.0.0.1:${port}`,
    state: 'live' as const,
    targetKind: 'model',
    target,
  };
  const stop = () => {
    timers.forEach(timer => clearInterval(timer));
    server.close();
  };
  return {record, stop};
}

interface IdleUsage {
  readonly residentMb: number;
  /** Processor time in percent of a core. */
  readonly cpuPercent: number;
}

async function measureIdle(process: BinaryProcess): Promise<IdleUsage> {
  await pause(SETTLE_MS);
  const before = process.cpuMs();
  await pause(IDLE_MEASUREMENT_MS);
  return {
    residentMb: process.residentBytes() / 1e6,
    cpuPercent: ((process.cpuMs() - before) / IDLE_MEASUREMENT_MS) * 100,
  };
}

async function measureWithLinks(count: number): Promise<IdleUsage> {
  const deployment = new Deployment();
  const fakes = await Promise.all(
    Array.from({length: count}, (_, i) =>
      startFakeSidecar(i, deployment, systemClock),
    ),
  );
  try {
    await deployment.start(BASE_RULES.join('\n'));
    const entry = await deployment.addEntry('entry-1', ZONE);
    const records = fakes.map(fake => fake.record);
    deployment.platform.setInstances(records);
    return await measureIdle(entry.process);
  } finally {
    fakes.forEach(fake => fake.stop());
    await deployment.stop();
  }
}

async function measureWithRules(count: number): Promise<IdleUsage> {
  const deployment = new Deployment();
  const accountRules = Array.from(
    {length: count},
    (_, i) => `account a${i} weight=2 key=${keyHash(String(i))}  # bench`,
  );
  try {
    await deployment.start([...BASE_RULES, ...accountRules].join('\n'));
    const entry = await deployment.addEntry('entry-1', ZONE);
    return await measureIdle(entry.process);
  } finally {
    await deployment.stop();
  }
}

interface CpuCost {
  readonly entryMs: number;
  readonly sidecarMs: number;
}

async function measureRequestCosts(counts: readonly number[]): Promise<{
  readonly costs: readonly CpuCost[];
  readonly sidecarUsage: IdleUsage;
}> {
  const deployment = new Deployment();
  const stock = new ServiceStandin();
  try {
    await deployment.start(BASE_RULES.join('\n'));
    const url = await stock.start();
    const sidecar = await deployment.addSidecar({
      instance: 'stock-1',
      zone: ZONE,
      kind: 'service',
      name: 'stock',
      url,
      coldConcurrent: CONCURRENT_CALLERS,
    });
    const entry = await deployment.addEntry('entry-1', ZONE);
    const path = '/services/stock/stock/a';
    await deployment.waitUntilReachable(entry.url, path, {headers: HEADERS});
    const sidecarUsage = await measureIdle(sidecar);
    const costs: CpuCost[] = [];
    for (const count of counts) {
      const before = [entry.process.cpuMs(), sidecar.cpuMs()];
      let left = count;
      const caller = async () => {
        while (left-- > 0) {
          const answer = await fetch(entry.url + path, {headers: HEADERS});
          await answer.arrayBuffer();
        }
      };
      await Promise.all(Array.from({length: CONCURRENT_CALLERS}, caller));
      costs.push({
        entryMs: entry.process.cpuMs() - before[0]!,
        sidecarMs: sidecar.cpuMs() - before[1]!,
      });
    }
    return {costs, sidecarUsage};
  } finally {
    await deployment.stop();
    stock.stop();
  }
}

function unboundedMeasurement(
  name: string,
  unit: string,
  current: number,
): Measurement {
  return {name, unit, current, portable: false};
}

export const row: Row = {
  name: 'slopes',
  seed: 0,
  async run() {
    const links: IdleUsage[] = [];
    for (const count of LINK_COUNTS) links.push(await measureWithLinks(count));
    const rules: IdleUsage[] = [];
    for (const count of RULE_COUNTS) rules.push(await measureWithRules(count));
    const {costs, sidecarUsage} = await measureRequestCosts(REQUEST_COUNTS);
    const slopeOver = (xs: readonly number[], ys: readonly number[]) =>
      leastSquaresSlope(xs.map((x, i) => ({x, y: ys[i]!})));
    const memory = (all: readonly IdleUsage[]) => all.map(i => i.residentMb);
    const cpu = (all: readonly IdleUsage[]) => all.map(i => i.cpuPercent);
    const entryMs = costs.map(c => c.entryMs);
    const sidecarMs = costs.map(c => c.sidecarMs);
    return [
      unboundedMeasurement(
        'entry without links, resident',
        'MB',
        links[0]!.residentMb,
      ),
      unboundedMeasurement(
        'entry without links',
        '% core',
        links[0]!.cpuPercent,
      ),
      unboundedMeasurement(
        'entry, each link',
        'KB',
        slopeOver(LINK_COUNTS, memory(links)) * 1e3,
      ),
      unboundedMeasurement(
        'entry, each link',
        '% core',
        slopeOver(LINK_COUNTS, cpu(links)),
      ),
      unboundedMeasurement(
        'entry, each rule',
        'KB',
        slopeOver(RULE_COUNTS, memory(rules)) * 1e3,
      ),
      unboundedMeasurement(
        'sidecar with one link, resident',
        'MB',
        sidecarUsage.residentMb,
      ),
      unboundedMeasurement(
        'sidecar with one link',
        '% core',
        sidecarUsage.cpuPercent,
      ),
      unboundedMeasurement(
        'entry, each service call',
        'ms',
        slopeOver(REQUEST_COUNTS, entryMs),
      ),
      unboundedMeasurement(
        'sidecar, each service call',
        'ms',
        slopeOver(REQUEST_COUNTS, sidecarMs),
      ),
    ];
  },
};
