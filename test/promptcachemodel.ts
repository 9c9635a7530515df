/**
 * Model of gateways whose requests share beginnings of prompts, and of endpoints
 * that hold beginnings while a request with them runs or for longer. Endpoints
 * run as many requests as they have slots and queue the rest.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {LRUCache} from 'lru-cache';
import {VirtualClock} from '../bench/support/virtualclock';
import {Exchange} from '../src/gateway/exchange';
import {expectedPassMs, readMs} from '../src/gateway/firsteventestimate';
import {EngineSpec} from '../src/gateway/model';
import {divideSlots} from '../src/gateway/slotshares';
import {
  createDispatcher,
  registeredEndpoint,
  REPORT_INTERVAL_MS,
  ROUTE,
} from './deploymentmodel';

const ENGINE: EngineSpec = {
  slots: 7,
  stepsPerPass: 8,
  stepMs: 5,
  perRequestMs: 0.6,
  memoryTokens: 60_000,
  readTokensPerS: 5_000,
  experts: undefined,
};
const PART_TOKENS = [1_500, 500];
const OWN_TOKENS = 200;
const ANSWER_PASSES = 20;

export interface PromptModelSettings {
  readonly seed: number;
  readonly gateways: number;
  readonly endpoints: number;
  readonly requestsPerS: number;
  /** Number of beginnings; each request has one of them at random. */
  readonly beginnings: number;
  /** Parts that an endpoint keeps after a request; 0 for none. */
  readonly keptParts: number;
  /** What gateways assume; undefined for the baseline. */
  readonly cachedPrompts: {readonly keptMs: number} | undefined;
}

interface Job {
  readonly parts: readonly string[];
  readonly start: (firstEventMs: number) => void;
  readonly end: () => void;
}

class CachingEndpoint {
  private running = 0;
  private queue: Job[] = [];
  private readonly inUse = new Map<string, number>();
  private readonly kept: LRUCache<string, true> | undefined;

  constructor(
    private readonly clock: VirtualClock,
    keptParts: number,
  ) {
    if (keptParts > 0) this.kept = new LRUCache({max: keptParts});
  }

  get held(): number {
    return this.running + this.queue.length;
  }

  load() {
    return {running: this.running, queued: this.queue.length};
  }

  offer(job: Job): void {
    if (this.running < ENGINE.slots) this.run(job);
    else this.queue.push(job);
  }

  private run(job: Job): void {
    this.running += 1;
    const has = (p: string) => this.inUse.has(p) || this.kept?.get(p) === true;
    const missing = job.parts.findIndex(p => !has(p));
    const unread = missing < 0 ? [] : PART_TOKENS.slice(missing);
    const tokens = unread.reduce((sum, n) => sum + n, OWN_TOKENS);
    for (const p of job.parts) {
      this.inUse.set(p, (this.inUse.get(p) ?? 0) + 1);
      this.kept?.set(p, true);
    }
    const passMs = expectedPassMs(ENGINE, this.running);
    const firstMs = readMs(ENGINE, tokens) + 1.5 * passMs;
    job.start(firstMs);
    this.clock.after(firstMs + ANSWER_PASSES * passMs, () => {
      this.running -= 1;
      for (const p of job.parts) {
        const left = this.inUse.get(p)! - 1;
        if (left > 0) this.inUse.set(p, left);
        else this.inUse.delete(p);
      }
      job.end();
      const next = this.queue.shift();
      if (next) this.run(next);
    });
  }
}

export interface PromptModelResult {
  readonly meanFirstEventMs: number;
  /** Most requests that one endpoint had at a time. */
  readonly mostHeld: number;
  readonly started: number;
  readonly refused: number;
}

export async function runPromptModel(
  settings: PromptModelSettings,
  endMs: number,
): Promise<PromptModelResult> {
  const {gateways, endpoints, cachedPrompts, beginnings} = settings;
  const clock = new VirtualClock();
  // Arrivals do not depend on what gateways draw, so they are the same in runs
  // that differ in the choice of endpoints.
  const arrivals = xoroshiro128plus(settings.seed);
  const choices = xoroshiro128plus(settings.seed + 1_000);
  const random = () => uniformFloat64(arrivals);
  const ids = Array.from({length: endpoints}, (_, i) => `e${i}`);
  const machines = new Map(
    ids.map(id => [id, new CachingEndpoint(clock, settings.keptParts)]),
  );
  const registered = new Map(
    ids.map((id, i) => [id, registeredEndpoint(id, i, 'z', ENGINE.slots)]),
  );
  const dispatchers = Array.from({length: gateways}, (_, i) => {
    const dispatcher = createDispatcher({
      instance: `g${i}`,
      zone: 'z',
      clock,
      random: () => uniformFloat64(choices),
      cachedPrompts,
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
    dispatcher.handleEndpointChange(registered, true);
    return dispatcher;
  });
  const firstEventsMs: number[] = [];
  let mostHeld = 0;
  let refused = 0;

  const report = (id: string, turn: number) => {
    const machine = machines.get(id)!;
    const free = ENGINE.slots - machine.held;
    const {shares, nextTurn} = divideSlots(free, gateways, turn);
    dispatchers.forEach((dispatcher, i) =>
      dispatcher.handleLoadReport(
        {
          id,
          group: id,
          open: true,
          pace: 1,
          limitPerS: undefined,
          share: shares[i],
          ...machine.load(),
        },
        gateways,
      ),
    );
    clock.after(REPORT_INTERVAL_MS, () => report(id, nextTurn));
  };
  ids.forEach((id, i) =>
    clock.after((i * REPORT_INTERVAL_MS) / endpoints, () => report(id, i)),
  );

  const submit = (dispatcher: (typeof dispatchers)[number], family: number) => {
    const arrivedMs = clock.elapsedMs();
    const parts = PART_TOKENS.map((_, i) => `${family}.${i}`);
    const finish = () => {
      exchange.hasEnded = true;
      const result = {outcome: '', status: 0, tries: []};
      dispatcher.finishExchange(sent, result);
    };
    const exchange = {
      incoming: {
        service: 's',
        route: ROUTE,
        account: undefined,
        arrivedMs,
        metadata: {
          requestId: '',
          sharedParts: parts,
          sharedTokens: PART_TOKENS,
          promptTokens: PART_TOKENS.reduce((a, b) => a + b, OWN_TOKENS),
        },
      },
      deadlineMs: arrivedMs + ROUTE.timeoutMs,
      triedEndpoints: new Set<string>(),
      hasEnded: false,
      hasAnswerBegun: false,
      leaveSilentEndpoint: () => undefined,
      refuse: () => {
        refused += 1;
        finish();
      },
      send: ({id}: {readonly id: string}) => {
        const machine = machines.get(id)!;
        machine.offer({
          parts,
          start: ms => firstEventsMs.push(clock.elapsedMs() - arrivedMs + ms),
          end: () => {
            dispatcher.releaseEndpoint(sent, id, 'works');
            finish();
          },
        });
        mostHeld = Math.max(mostHeld, machine.held);
      },
    };
    const sent = exchange as unknown as Exchange;
    dispatcher.submit(sent);
  };
  let dueMs = 0;
  const scheduleRequest = () => {
    dueMs += (-Math.log(1 - random()) * 1_000) / settings.requestsPerS;
    clock.after(dueMs - clock.elapsedMs(), () => {
      const gateway = Math.floor(random() * gateways);
      submit(dispatchers[gateway]!, Math.floor(random() * beginnings));
      scheduleRequest();
    });
  };
  scheduleRequest();
  await clock.run(endMs);
  const started = firstEventsMs.length;
  const sumMs = firstEventsMs.reduce((a, b) => a + b, 0);
  return {meanFirstEventMs: sumMs / started, mostHeld, started, refused};
}
