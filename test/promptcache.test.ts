/**
 * Placement by cached prompts: beliefs, estimates and their use in the choice.
 *
 * Guards against crowds at endpoints that hold a popular beginning, against
 * beliefs that outlive what an endpoint holds or fill the memory, against choices
 * outside shares, avoidance and zones, and against longer decisions.
 */
import {expect} from 'chai';
import * as fc from 'fast-check';
import {VirtualClock} from '../bench/support/virtualclock';
import {parseConfiguration} from '../platform/configuration';
import {platformHeaders} from '../platform/headers';
import {emptyAvoidance, recordFailure} from '../src/gateway/avoidance';
import {Registration} from '../src/gateway/catalog';
import {
  ChoiceContext,
  chooseEndpoint,
  explainPlacement,
} from '../src/gateway/endpointchoice';
import {applyReport, emptyLoads, Loads} from '../src/gateway/endpointload';
import {Exchange} from '../src/gateway/exchange';
import {EngineSpec} from '../src/gateway/model';
import {
  emptyPromptCache,
  heldTokens,
  MAX_BEGINNINGS,
  MAX_BELIEFS,
  MAX_HOLDERS,
  possibleHolders,
  recordEnded,
  recordSent,
} from '../src/gateway/promptcache';
import {createDispatcher, registeredEndpoint, ROUTE} from './deploymentmodel';
import {PromptModelSettings, runPromptModel} from './promptcachemodel';

const SEEDS = [1, 2, 3];
const END_MS = 15_000;
/** Differences between runs that only draw other numbers stay below this. */
const NOISE = 1.05;
const KEPT_MS = 10_000;

const PARTS = [
  {id: 'a', tokens: 1_000},
  {id: 'b', tokens: 500},
];

const ENGINE: EngineSpec = {
  slots: 7,
  stepsPerPass: 8,
  stepMs: 5,
  perRequestMs: 0.6,
  memoryTokens: 60_000,
  readTokensPerS: 5_000,
  experts: undefined,
};

describe('beliefs about cached prompts', () => {
  const holder = {id: 'e', process: 'p'};
  const sent = recordSent(emptyPromptCache, holder, PARTS, 0);
  const held = (cache = sent, process = 'p', parts = PARTS, nowMs = 1) =>
    heldTokens(cache, {id: 'e', process}, parts, KEPT_MS, nowMs);

  it('count the leading parts in order', () => {
    expect(held()).to.equal(1_500);
    const [a, b] = PARTS;
    expect(held(sent, 'p', [a!, {id: 'c', tokens: 9}, b!])).to.equal(1_000);
    expect(held(sent, 'p', [b!, a!])).to.equal(0);
  });

  it('end when the process, its address or the epoch is another one', () => {
    expect(held(sent, 'q')).to.equal(0);
  });

  it('end with the request if the engine keeps nothing, else with age', () => {
    expect(held(recordEnded(sent, 'e', PARTS, false, 5))).to.equal(0);
    const kept = recordEnded(sent, 'e', PARTS, true, 5);
    expect(held(kept, 'p', PARTS, KEPT_MS + 4)).to.equal(1_500);
    expect(held(kept, 'p', PARTS, KEPT_MS + 5)).to.equal(0);
    const twice = recordSent(sent, holder, PARTS, 1);
    const one = recordEnded(twice, 'e', PARTS, false, 2);
    expect(held(one)).to.equal(1_500);
  });

  it('stay within their bounds whatever is sent', () => {
    const event = fc.record({
      beginning: fc.nat(600),
      endpoint: fc.nat(40),
      length: fc.integer({min: 0, max: 24}),
      variant: fc.nat(9),
      ends: fc.boolean(),
      isKept: fc.boolean(),
    });
    const events = fc.array(event, {minLength: 500, maxLength: 1_500});
    fc.assert(
      fc.property(events, list => {
        let cache = emptyPromptCache;
        for (const e of list) {
          const parts = Array.from({length: e.length}, (_, i) => ({
            id: i === 0 ? `${e.beginning}` : `${e.variant}.${i}`,
            tokens: 1,
          }));
          const id = `e${e.endpoint}`;
          cache = e.ends
            ? recordEnded(cache, id, parts, e.isKept, 0)
            : recordSent(cache, {id, process: ''}, parts, 0);
        }
        expect(cache.size).to.be.at.most(MAX_BEGINNINGS);
        for (const holders of cache.values()) {
          expect(holders.size).to.be.within(1, MAX_HOLDERS);
          for (const {beliefs} of holders.values())
            expect(beliefs.size).to.be.within(1, MAX_BELIEFS);
        }
      }),
      {seed: 20261206, numRuns: 30},
    );
  });
});

function registration(id: string, zone = 'z'): Registration {
  const endpoint = registeredEndpoint(id, 0, zone, ENGINE.slots);
  return {
    ...endpoint,
    coldUntilMs: 0,
    goneSinceMs: undefined,
    excludedUntilMs: 0,
  };
}

function reported(loads: Loads, id: string, running: number, share = 1): Loads {
  const load = {id, running, queued: 0, group: id, open: true, pace: 1};
  return applyReport(loads, {...load, limitPerS: undefined, share}, 0);
}

function context(
  loads: Loads,
  held: ReadonlyMap<string, number>,
): ChoiceContext {
  return {
    loads,
    avoidance: emptyAvoidance,
    zone: 'z',
    nowMs: 0,
    random: () => 0,
    withinRate: () => true,
    hasBacklog: false,
    prompt: {
      engine: ENGINE,
      promptTokens: 2_000,
      holders: held,
      heldTokens: ({id}) => held.get(id) ?? 0,
    },
  };
}

describe('choice by cached prompts', () => {
  it('leaves an endpoint that is fuller than its saving is worth', () => {
    const serving = ['holder', 'idle'].map(id => registration(id));
    const chosenAt = (requests: number, tokens: number) => {
      const idle = reported(emptyLoads, 'idle', 0);
      const loads = reported(idle, 'holder', requests);
      const held = new Map([['holder', tokens]]);
      const choice = chooseEndpoint(serving, new Set(), context(loads, held));
      return choice.kind === 'endpoint' ? choice.endpoint.id : choice.kind;
    };
    // 500 tokens save 100 ms. Each request more makes a pass 4.8 ms longer.
    expect(chosenAt(4, 500)).to.equal('holder');
    expect(chosenAt(5, 500)).to.equal('idle');
    // 100 tokens save 20 ms.
    expect(chosenAt(1, 100)).to.equal('holder');
    expect(chosenAt(2, 100)).to.equal('idle');
  });

  it('keeps to shares, avoidance and zones', () => {
    const endpoint = fc.record({
      zone: fc.constantFrom('z', 'y'),
      running: fc.nat(7),
      share: fc.nat(2),
      isAvoided: fc.boolean(),
      tokens: fc.constantFrom(0, 100, 2_000, 1e9),
    });
    const endpoints = fc.array(endpoint, {minLength: 1, maxLength: 8});
    fc.assert(
      fc.property(endpoints, list => {
        let loads = emptyLoads;
        let avoidance = emptyAvoidance;
        const held = new Map<string, number>();
        const serving = list.map((e, i) => {
          const id = `e${i}`;
          loads = reported(loads, id, e.running, e.share);
          if (e.isAvoided) avoidance = recordFailure(avoidance, id, 0);
          held.set(id, e.tokens);
          return registration(id, e.zone);
        });
        const wanted = {...context(loads, held), avoidance};
        const baseline = {...wanted, prompt: undefined};
        const tried = new Set<string>();
        const found = explainPlacement(serving, tried, wanted);
        const before = explainPlacement(serving, tried, baseline);
        expect(found.placement.kind).to.equal(before.placement.kind);
        const {placement} = found;
        if (placement.kind !== 'endpoint') return;
        if (before.placement.kind !== 'endpoint') return;
        const usedOwnZone = before.placement.among.every(e => e.zone === 'z');
        for (const chosen of placement.among) {
          const verdict = before.verdicts.find(v => v.endpoint === chosen);
          const {exclusion} = verdict!;
          expect([undefined, 'more loaded']).to.include(exclusion);
          if (usedOwnZone) expect(chosen.zone).to.equal('z');
        }
      }),
      {seed: 20261206, numRuns: 1_000},
    );
  });

  it('adds less than a tenth of operations among 10,000 endpoints', () => {
    const serving: Registration[] = [];
    let loads = emptyLoads;
    let cache = emptyPromptCache;
    for (let i = 0; i < 10_000; i++) {
      serving.push(registration(`e${i}`));
      loads = reported(loads, `e${i}`, i % 3);
      const holder = {id: `e${i}`, process: ''};
      cache = recordSent(cache, holder, PARTS, 0);
    }
    const holders = possibleHolders(cache, PARTS);
    expect(holders.size).to.equal(MAX_HOLDERS);
    let lookups = 0;
    let beliefs = 0;
    const get = loads.get.bind(loads) as unknown as (
      id: string,
      other: unknown,
    ) => never;
    const counted = Object.assign(loads, {
      get: (id: string, other: unknown) => {
        lookups += 1;
        return get(id, other);
      },
    });
    const base = context(counted, new Map());
    chooseEndpoint(serving, new Set(), {...base, prompt: undefined});
    const without = lookups;
    lookups = 0;
    const prompt = {
      ...base.prompt!,
      holders: {
        size: holders.size,
        has: (id: string) => {
          lookups += 1;
          return holders.has(id);
        },
      },
      heldTokens: ({id}: Registration) => {
        beliefs += 1;
        return heldTokens(cache, {id, process: ''}, PARTS, 0, 0);
      },
    };
    chooseEndpoint(serving, new Set(), {...base, prompt});
    expect(lookups).to.be.at.most(without * 1.1);
    expect(beliefs).to.be.at.most(MAX_HOLDERS);
  });
});

describe('beliefs of a dispatcher', () => {
  const start = (keptMs: number) => {
    const clock = new VirtualClock();
    const dispatcher = createDispatcher({
      instance: 'g',
      zone: 'z',
      clock,
      random: () => 0,
      cachedPrompts: {keptMs},
    });
    const service = {
      name: 's',
      healthPath: '/',
      coldRequestsPerS: 0,
      engine: ENGINE,
    };
    const configuration = {
      version: 1,
      routes: [ROUTE],
      services: [service],
      requiresKeys: false,
      accounts: [],
      limits: {bodyBytes: 1, idleTimeoutMs: 1},
    };
    const change = {configuration, zones: new Map()};
    dispatcher.handleOperatorChange(change, true, {elapsedMs: 0, wallMs: 0});
    const register = (startedMs: number, address = '10.0.0.1:80') => {
      const endpoint = registeredEndpoint('e', 1, 'z', ENGINE.slots);
      const registered = {...endpoint, startedMs, address};
      dispatcher.handleEndpointChange(new Map([['e', registered]]), true);
    };
    const report = (epoch: number) => {
      const load = {id: 'e', running: 0, queued: 0, group: 'g', epoch};
      const rest = {open: true, pace: 1, limitPerS: undefined, share: 1};
      dispatcher.handleLoadReport({...load, ...rest}, 1);
    };
    register(1);
    report(1);
    const exchange = {
      incoming: {
        service: 's',
        route: ROUTE,
        account: undefined,
        arrivedMs: 0,
        metadata: {
          requestId: '',
          sharedParts: PARTS.map(p => p.id),
          sharedTokens: PARTS.map(p => p.tokens),
        },
      },
      deadlineMs: ROUTE.timeoutMs,
      triedEndpoints: new Set<string>(),
      hasEnded: false,
      send: () => undefined,
    } as unknown as Exchange;
    dispatcher.submit(exchange);
    const held = () =>
      dispatcher.explain(
        {
          service: 's',
          route: ROUTE,
          account: undefined,
          arrivedMs: 0,
          deadlineMs: ROUTE.timeoutMs,
          triedEndpoints: new Set(),
          parts: PARTS,
          promptTokens: undefined,
        },
        1,
      ).candidates[0]!.heldTokens;
    expect(held()).to.equal(1_500);
    const release = (evidence: 'works' | 'fails' | 'rejects') =>
      dispatcher.releaseEndpoint(exchange, 'e', evidence);
    return {register, report, release, held};
  };

  const endings: readonly {
    readonly when: string;
    readonly keptMs: number;
    readonly change: (f: ReturnType<typeof start>) => void;
    readonly tokens: number;
  }[] = [
    {
      when: 'are void when the endpoint restarts',
      keptMs: KEPT_MS,
      change: f => f.register(2),
      tokens: 0,
    },
    {
      when: 'are void when its registration names another address',
      keptMs: KEPT_MS,
      change: f => f.register(1, '10.0.0.2:80'),
      tokens: 0,
    },
    {
      when: "are void when its group's epoch changes",
      keptMs: KEPT_MS,
      change: f => f.report(2),
      tokens: 0,
    },
    {
      when: 'outlive a renewed registration and report',
      keptMs: 0,
      change: f => {
        f.register(1);
        f.report(1);
      },
      tokens: 1_500,
    },
    {
      when: 'end with the request if engines keep nothing',
      keptMs: 0,
      change: f => f.release('works'),
      tokens: 0,
    },
    {
      when: 'outlive the request if engines keep prompts',
      keptMs: KEPT_MS,
      change: f => f.release('works'),
      tokens: 1_500,
    },
    {
      when: 'end with a request that was not taken',
      keptMs: KEPT_MS,
      change: f => f.release('rejects'),
      tokens: 0,
    },
  ];
  for (const {when, keptMs, change, tokens} of endings) {
    it(when, () => {
      const fixture = start(keptMs);
      change(fixture);
      expect(fixture.held()).to.equal(tokens);
    });
  }
});

describe('cached prompts in a deployment', () => {
  const FEW = {gateways: 4, endpoints: 12, requestsPerS: 25, beginnings: 30};
  const MANY = {gateways: 40, endpoints: 24, requestsPerS: 50, beginnings: 1};

  async function compare(
    settings: Omit<PromptModelSettings, 'seed' | 'cachedPrompts'>,
    keptMs: number,
  ) {
    const results = [];
    for (const seed of SEEDS) {
      const run = (cachedPrompts: PromptModelSettings['cachedPrompts']) =>
        runPromptModel({...settings, seed, cachedPrompts}, END_MS);
      const [baseline, current] = [await run(undefined), await run({keptMs})];
      const ratio = current.meanFirstEventMs / baseline.meanFirstEventMs;
      results.push({baseline, current, ratio});
    }
    return results;
  }

  it('shorten the time to the first event where engines keep them', async () => {
    for (const {ratio} of await compare({...FEW, keptParts: 24}, KEPT_MS))
      expect(ratio).to.be.at.most(0.85);
  });

  it('cost nothing where engines keep none', async () => {
    for (const {ratio} of await compare({...FEW, keptParts: 0}, 0))
      expect(ratio).to.be.at.most(NOISE);
  });

  it('cost little where beliefs are wrong', async () => {
    for (const {ratio} of await compare({...FEW, keptParts: 0}, KEPT_MS))
      expect(ratio).to.be.at.most(NOISE);
  });

  for (const keptParts of [24, 0]) {
    const engines = keptParts > 0 ? 'keep prompts' : 'keep none';
    it(`do not crowd an endpoint with a popular beginning where engines ${engines}`, async () => {
      const keptMs = keptParts > 0 ? KEPT_MS : 0;
      for (const r of await compare({...MANY, keptParts}, keptMs)) {
        expect(r.ratio).to.be.at.most(NOISE);
        expect(r.current.mostHeld).to.be.at.most(r.baseline.mostHeld + 1);
        expect(r.current.refused).to.be.at.most(r.baseline.refused + 1);
      }
    }).timeout(60_000);
  }
});

describe('cached prompts on the platform', () => {
  it('have their tokens read from the header, within bounds', () => {
    const read = (value: string) =>
      platformHeaders.readRequest({'boragemill-prefix-hash': value});
    expect(read('a:100,b,c:-1,d:9999999999,own:5')).to.deep.include({
      sharedParts: ['a', 'b', 'c', 'd'],
      sharedTokens: [100, 0, 0, 1_000_000],
    });
  });

  it('have the speed of reading read from the configuration', () => {
    const engine = {slots: 1, 'kv-cache-tokens': 1, step_ms: 1};
    const read = (extra: object) =>
      parseConfiguration({
        version: 1,
        routes: [],
        services: [{name: 's', engine: {...engine, ...extra}}],
        limits: {},
      }).services[0]!.engine!.readTokensPerS;
    expect(read({read_per_s: 6_400})).to.equal(6_400);
    expect(read({})).to.equal(undefined);
  });
});
