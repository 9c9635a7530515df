/**
 * Three zones of real processes at 60% load, of which one leaves and
 * returns: what the zone rows share.
 */
import {Deployment, keyHash, peerSettings} from '../../standins/deployment';
import {EngineStandin} from '../../standins/engine';
import {BinaryProcess} from '../../standins/binaryprocess';
import {TimelineEvent} from '../../src/observe/timeline';
import {readEvents} from '../../src/wire/client';
import {
  balancedLoad,
  completion,
  Door,
  EVERYWHERE,
  insideLoad,
  KEY,
  OUTPUT_TOKENS,
  Sample,
  sharedPrompts,
} from './callers';
import {pause} from './figures';

const ZONES = ['oslo-1', 'oslo-2', 'oslo-3'] as const;
const ENGINES_PER_ZONE = 2;
export const WARM_BOUND = 12;
export const COLD_BOUND = 4;
const STEP_MS = 20;
const STEP_MS_PER_REQUEST = 0.2;
/** Less than the prompts' prefixes need, so that routing matters. */
const CACHED_BLOCKS = 64;
const LOAD = 0.6;
/** Callers within the zone, who stay with it when it is cut off. */
const INSIDE_INTERVAL_MS = 250;
/**
 * A second model has one endpoint each in the first and the last zone, and
 * its callers are in the zone between. They lean on the zone that leaves, so
 * its loss makes retries in an entry that lives on. One endpoint alone is at
 * 90% with this load.
 */
const LEANING = 'note';
const LEANING_LOAD = 0.9;
const SETTLE_MS = 8_000;
const BEFORE_MS = 8_000;
const OUT_MS = 10_000;
const AFTER_MS = 15_000;
const SPREAD_WINDOW_MS = 1_000;
/** A zone's share of the starts when the spread counts as even again. */
const EVEN_SHARE = 0.8 / ZONES.length;
/** Ring size that holds all events of a run. */
const TIMELINE_EVENTS = 100_000;
export const RULES = [
  `account bench key=${keyHash(KEY)}  # bench`,
  `model ${EVERYWHERE} max-output=64  # bench`,
  `model ${LEANING} max-output=64  # bench`,
];

export interface Site extends Door {
  engines: EngineStandin[];
  /** The engine of the second model, in the first and last zone. */
  leaning: EngineStandin | undefined;
  processes: BinaryProcess[];
  /** Where the entry's time line is read. */
  address: string;
}

export interface World {
  readonly deployment: Deployment;
  readonly sites: readonly Site[];
  /** The bound that sidecars give a cold endpoint. */
  readonly cold: number;
}

/** How a zone leaves and how it returns. */
export interface Plan {
  readonly seed: number;
  readonly cold: number;
  readonly rules: readonly string[];
  /** Whether some callers are within the zone that leaves. */
  readonly inside: boolean;
  leave(world: World, site: Site): void;
  comeBack(world: World, site: Site): Promise<void>;
}

/** Prompt tokens and cached ones of a phase, all engines together. */
export interface Hits {
  readonly prompt: number;
  readonly cached: number;
}

export interface Outcome {
  readonly samples: readonly Sample[];
  readonly zone: string;
  readonly leftAtMs: number;
  readonly backAtMs: number;
  readonly lastNewMs: number;
  readonly overloadedSteps: number;
  readonly aboveCapacity: number;
  readonly evenAgainMs: number;
  /** Mean batch over the warm bound in the other zones, during the loss. */
  readonly loadDuring: number;
  readonly hits: readonly [before: Hits, during: Hits, after: Hits];
  readonly timelines: readonly (readonly TimelineEvent[])[];
  readonly lossFrom: Date;
  readonly lossTo: Date;
}

async function startEndpoint(
  deployment: Deployment,
  site: Site,
  name: string,
  instance: string,
  cold: number,
): Promise<EngineStandin> {
  const engine = new EngineStandin({
    stepMs: STEP_MS,
    stepMsPerRequest: STEP_MS_PER_REQUEST,
    coldConcurrent: COLD_BOUND,
    outputTokens: OUTPUT_TOKENS,
    cachedBlocks: CACHED_BLOCKS,
  });
  const url = await engine.start();
  const sidecar = await deployment.addSidecar({
    instance,
    zone: site.zone,
    kind: 'model',
    name,
    url,
    coldConcurrent: cold,
    maxConcurrent: WARM_BOUND,
  });
  site.processes.push(sidecar);
  return engine;
}

/** Starts the zone's endpoints and entry, or starts them again. */
export async function startSite(
  deployment: Deployment,
  site: Site,
  cold: number,
): Promise<void> {
  const {zone} = site;
  const start = (model: string, instance: string) =>
    startEndpoint(deployment, site, model, instance, cold);
  site.engines = [];
  site.processes = [];
  for (let i = 1; i <= ENGINES_PER_ZONE; i++) {
    site.engines.push(await start(EVERYWHERE, `${EVERYWHERE}-${i}.${zone}`));
  }
  if (zone !== ZONES[1]) {
    site.leaning = await start(LEANING, `${LEANING}.${zone}`);
  }
  const entry = await deployment.addEntry(`entry.${zone}`, zone);
  site.processes.push(entry.process);
  site.url = entry.url;
  site.address = entry.address;
}

const newSite = (zone: string): Site => ({
  zone,
  url: '',
  address: '',
  away: false,
  life: 0,
  engines: [],
  leaning: undefined,
  processes: [],
});

/** All engines of a zone. */
export function enginesOf({engines, leaning}: Site): readonly EngineStandin[] {
  return leaning ? [...engines, leaning] : engines;
}

function starts(site: Site): number {
  return total([site], engine => engine.requestsStarted);
}

function total(
  sites: readonly Site[],
  of: (engine: EngineStandin) => number,
): number {
  const engines = sites.flatMap(site => site.engines);
  return engines.reduce((sum, engine) => sum + of(engine), 0);
}

/** Watches a site for some time and says when its last request started. */
async function watchLoss(
  sites: readonly Site[],
  site: Site,
  forMs: number,
): Promise<Pick<Outcome, 'lastNewMs' | 'loadDuring'>> {
  const others = sites.filter(s => s !== site).flatMap(s => s.engines);
  const begin = performance.now();
  const startsNow = () =>
    enginesOf(site).reduce((n, engine) => n + engine.requestsStarted, 0);
  let lastNewMs = 0;
  let count = startsNow();
  let looks = 0;
  let held = 0;
  while (performance.now() < begin + forMs) {
    await pause(5);
    looks += 1;
    held += others.reduce((n, engine) => n + engine.state().batch, 0);
    if (startsNow() === count) continue;
    count = startsNow();
    lastNewMs = performance.now() - begin;
  }
  const loadDuring = held / looks / (others.length * WARM_BOUND);
  return {lastNewMs, loadDuring};
}

/** Milliseconds from `since` until the zone has an even share for a window. */
async function untilEven(
  sites: readonly Site[],
  site: Site,
  since: number,
  forMs: number,
): Promise<number> {
  const begin = performance.now();
  let found = Infinity;
  while (performance.now() < begin + forMs) {
    const all = total(sites, engine => engine.requestsStarted);
    const own = starts(site);
    await pause(SPREAD_WINDOW_MS);
    const grown = total(sites, engine => engine.requestsStarted) - all;
    const even = (starts(site) - own) / Math.max(1, grown) >= EVEN_SHARE;
    if (even) found = Math.min(found, performance.now() - since);
  }
  return found;
}

function hitsOf(engines: readonly EngineStandin[]): Hits {
  const sum = (of: (engine: EngineStandin) => number) =>
    engines.reduce((n, engine) => n + of(engine), 0);
  return {
    prompt: sum(engine => engine.promptTokens),
    cached: sum(engine => engine.cachedPromptTokens),
  };
}

const minus = (a: Hits, b: Hits): Hits => ({
  prompt: a.prompt - b.prompt,
  cached: a.cached - b.cached,
});

/** Time between two requests at a load of some endpoints. */
function intervalMs(endpoints: number, load: number): number {
  const stepMs = STEP_MS + WARM_BOUND * STEP_MS_PER_REQUEST;
  const capacityPerMs = (endpoints * WARM_BOUND) / (OUTPUT_TOKENS * stepMs);
  return 1 / (capacityPerMs * load);
}

export async function scenario(plan: Plan): Promise<Outcome> {
  const deployment = new Deployment(
    peerSettings({sharedKey: 'a shared key for loopback benchmarks'}),
    {timelineEvents: TIMELINE_EVENTS},
  );
  const sites = ZONES.map(newSite);
  const engines = new Set<EngineStandin>();
  try {
    await deployment.start(plan.rules.join('\n'));
    for (const site of sites) await startSite(deployment, site, plan.cold);
    for (const {url} of sites) {
      for (const model of [EVERYWHERE, LEANING]) {
        const probe = completion('reachable', model);
        await deployment.waitUntilReachable(url, '/v1/completions', probe);
      }
    }
    const world = {deployment, sites, cold: plan.cold};
    return await measure(plan, world, () => {
      sites.flatMap(enginesOf).forEach(engine => engines.add(engine));
      return [...engines];
    });
  } finally {
    await deployment.stop();
    sites.flatMap(enginesOf).forEach(engine => engines.add(engine));
    engines.forEach(engine => engine.stop());
  }
}

async function measure(
  plan: Plan,
  world: World,
  engines: () => readonly EngineStandin[],
): Promise<Outcome> {
  const {deployment, sites} = world;
  const site = sites[0]!;
  const prompts = sharedPrompts(plan.seed);
  const endpoints = sites.length * ENGINES_PER_ZONE;
  const leaningMs = intervalMs(1, LEANING_LOAD);
  const loads = [
    balancedLoad(sites, intervalMs(endpoints, LOAD), prompts),
    insideLoad(sites[1]!, leaningMs, prompts, LEANING),
  ];
  if (plan.inside) loads.push(insideLoad(site, INSIDE_INTERVAL_MS, prompts));
  await pause(SETTLE_MS);
  const beginMs = performance.now();
  const begin = hitsOf(engines());
  await pause(BEFORE_MS);
  const left = hitsOf(engines());
  const lossFrom = new Date();
  const leftAtMs = performance.now();
  plan.leave(world, site);
  const watched = await watchLoss(sites, site, OUT_MS);
  const lossTo = new Date();
  const during = hitsOf(engines());
  const count = (of: (engine: EngineStandin) => number) =>
    engines().reduce((n, engine) => n + of(engine), 0);
  const overloaded = count(engine => engine.overloadedSteps);
  const above = count(engine => engine.arrivalsAboveColdCapacity);
  const backAtMs = performance.now();
  await plan.comeBack(world, site);
  const evenAgainMs = await untilEven(sites, site, backAtMs, AFTER_MS);
  const samples = await Promise.all(loads.map(load => load.stop()));
  const after = hitsOf(engines());
  const timelines = await Promise.all(
    sites.map(({address}) => readEvents(address, deployment.peers, '')),
  );
  return {
    samples: samples.flat().filter(({atMs}) => atMs >= beginMs),
    zone: site.zone,
    leftAtMs,
    backAtMs,
    ...watched,
    overloadedSteps: count(engine => engine.overloadedSteps) - overloaded,
    aboveCapacity: count(engine => engine.arrivalsAboveColdCapacity) - above,
    evenAgainMs,
    hits: [minus(left, begin), minus(during, left), minus(after, during)],
    timelines,
    lossFrom,
    lossTo,
  };
}
