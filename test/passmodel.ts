/**
 * Model of gateways in front of groups of ranks that run their passes together.
 *
 * The time of a pass follows the engine's declared figures: steps, requests that
 * write and prompts that are read, part of it multiplied by the skew of the
 * experts in demand. Each rank's sidecar reports its load at fixed intervals.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {VirtualClock} from '../bench/support/virtualclock';
import {RequestDispatcher} from '../src/gateway/dispatcher';
import {Exchange} from '../src/gateway/exchange';
import {Configuration, Endpoint, EngineSpec, Route} from '../src/gateway/model';
import {divideSlots} from '../src/gateway/slotshares';
import {recordEvents, StreamTiming} from '../src/gateway/streamtiming';
import {measurePasses, PassMeter} from '../src/ranks/passtime';
import {
  LimitRangeRule,
  recordStretch,
  requestLimit,
  StretchHistory,
} from '../src/ranks/requestlimit';
import {
  createDispatcher,
  MAX_ATTEMPTS,
  registeredEndpoint,
  REPORT_INTERVAL_MS,
  ROUTE,
} from './deploymentmodel';

export const ENGINE: EngineSpec = {
  slots: 7,
  stepsPerPass: 7,
  stepMs: 4.84,
  perRequestMs: 0.6214,
  memoryTokens: 288_166,
  experts: undefined,
};

const PROMPT_TOKENS_PER_MS = 74.8;
const MAX_PROMPT_TOKENS_PER_PASS = 512 * ENGINE.stepsPerPass;
const EXPERT_SHARE = 0.85;
/** Largest deviation of a pass's skew from the mean, as a share. */
const SKEW_NOISE = 0.12;

const MEAN_PROMPT_TOKENS = 835;
const MAX_PROMPT_TOKENS = 2_880;
const MEAN_EVENTS = 22.7;
const MAX_EVENTS = 57;
/** Standard deviation of the logarithms of prompts and answers. */
const SIZE_SPREAD = 0.7;

const QUEUE_PLACES = 20;
const LINK_MS = 5;
const ABANDON_MS = 2_000;
const MS_PER_S = 1_000;

/** An attempt that was answered, as far as the dispatcher reads it. */
const ANSWERED = {
  endpoint: '',
  outcome: 'answered' as const,
  end: {
    framing: 'chunks' as const,
    events: 1,
    hasPartialEvent: false,
    connection: 'complete' as const,
    answer: 'success' as const,
    hasContent: true,
  },
  evidence: 'works' as const,
  estimate: {requests: 0, reportAgeMs: undefined},
};

export interface PassModelSettings {
  readonly seed: number;
  readonly gateways: number;
  readonly groups: number;
  readonly ranks: number;
  readonly requestsPerS: (nowMs: number) => number;
  /** Load of the most loaded rank divided by the mean load. */
  readonly skew: (nowMs: number) => number;
  /** Whether sidecars limit requests by the time of the passes. */
  readonly limitsRequests: boolean;
  /** How the limit is bounded; as in the product if absent. */
  readonly limitRange?: LimitRangeRule;
  /** Routes of the requests, each as often; one if absent. */
  readonly routes?: readonly Route[];
  /** Whether gateways know the routes' urgency. */
  readonly waitsByUrgency?: boolean;
}

/** A caller's request with all its attempts. */
export interface CallerResult {
  readonly sentMs: number;
  readonly route: Route;
  outcome: 'on time' | 'late' | 'refused' | 'left' | 'running';
}

interface RankRequest {
  promptTokens: number;
  eventsLeft: number;
  ended: boolean;
  /** Called for each event, at the end of its pass. */
  readonly emit: (isLast: boolean) => void;
}

class ModelRank {
  running: RankRequest[] = [];
  queue: RankRequest[] = [];
  meter: PassMeter | undefined;
  history: StretchHistory = [];
  turn = 0;

  constructor(readonly id: string) {}

  get held(): number {
    return this.running.length + this.queue.length;
  }

  offer(request: RankRequest): boolean {
    if (this.queue.length >= QUEUE_PLACES) return false;
    this.queue.push(request);
    return true;
  }

  admit(): void {
    this.running = this.running.filter(r => !r.ended);
    this.queue = this.queue.filter(r => !r.ended);
    while (this.running.length < ENGINE.slots && this.queue.length > 0) {
      this.running.push(this.queue.shift()!);
    }
  }

  /** Reads prompts and writes tokens; returns the time that it takes alone. */
  work(): {readonly ms: number; readonly emitting: readonly RankRequest[]} {
    let budget = MAX_PROMPT_TOKENS_PER_PASS;
    let readTokens = 0;
    const emitting: RankRequest[] = [];
    let writers = 0;
    for (const request of this.running) {
      if (request.promptTokens > 0) {
        const read = Math.min(budget, request.promptTokens);
        request.promptTokens -= read;
        budget -= read;
        readTokens += read;
        if (request.promptTokens > 0) continue;
      } else writers += 1;
      emitting.push(request);
    }
    const {stepsPerPass, stepMs, perRequestMs} = ENGINE;
    const stepsMs = stepsPerPass * (stepMs + perRequestMs * writers);
    return {ms: stepsMs + readTokens / PROMPT_TOKENS_PER_MS, emitting};
  }
}

class ModelGroup {
  pass = 0;
  private idle = true;

  constructor(
    readonly name: string,
    readonly ranks: readonly ModelRank[],
    private readonly clock: VirtualClock,
    private readonly skew: () => number,
  ) {}

  wake(): void {
    if (!this.idle) return;
    this.idle = false;
    this.clock.after(0, () => this.beginPass());
  }

  private beginPass(): void {
    for (const rank of this.ranks) rank.admit();
    if (this.ranks.every(r => r.running.length === 0)) {
      this.idle = true;
      return;
    }
    this.pass += 1;
    const works = this.ranks.map(rank => rank.work());
    const times = works.map(w => w.ms);
    const mean = times.reduce((sum, ms) => sum + ms, 0) / times.length;
    const ms =
      (1 - EXPERT_SHARE) * Math.max(...times) +
      EXPERT_SHARE * mean * this.skew();
    this.clock.after(ms, () => {
      for (const {emitting} of works) {
        for (const request of emitting) {
          if (request.ended) continue;
          request.eventsLeft -= 1;
          request.ended = request.eventsLeft <= 0;
          request.emit(request.ended);
        }
      }
      this.beginPass();
    });
  }
}

export class PassModel {
  readonly clock = new VirtualClock();
  readonly results: CallerResult[] = [];
  private readonly groups: readonly ModelGroup[];
  private readonly ranks = new Map<string, ModelRank>();
  private readonly gateways: RequestDispatcher[] = [];
  private readonly random: () => number;
  /** Time at which the next request is due, not rounded. */
  private dueMs = 0;

  constructor(private readonly settings: PassModelSettings) {
    const generator = xoroshiro128plus(settings.seed);
    this.random = () => uniformFloat64(generator);
    const registered = new Map<string, Endpoint>();
    this.groups = Array.from({length: settings.groups}, (_, g) => {
      const ranks = Array.from({length: settings.ranks}, (_, r) => {
        const id = `e${g}-${r}`;
        const index = g * settings.ranks + r;
        const endpoint = registeredEndpoint(id, index, `z${g}`, ENGINE.slots);
        registered.set(id, endpoint);
        const rank = new ModelRank(id);
        this.ranks.set(id, rank);
        return rank;
      });
      const group = new ModelGroup(`g${g}`, ranks, this.clock, () => {
        const deviation = SKEW_NOISE * (2 * this.random() - 1);
        return settings.skew(this.clock.elapsedMs()) * (1 + deviation);
      });
      for (const rank of ranks) {
        this.clock.after(REPORT_INTERVAL_MS * this.random(), () =>
          this.report(rank, group),
        );
      }
      return group;
    });
    for (let i = 0; i < settings.gateways; i++) {
      const dispatcher = createDispatcher({
        instance: `g${i}`,
        zone: `z${i % settings.groups}`,
        clock: this.clock,
        random: this.random,
        waitsByUrgency: settings.waitsByUrgency ?? true,
      });
      dispatcher.handleOperatorChange(
        {configuration: this.configuration(), zones: new Map()},
        true,
        {elapsedMs: 0, wallMs: 0},
      );
      dispatcher.handleEndpointChange(registered, true);
      this.gateways.push(dispatcher);
    }
    this.scheduleRequest();
  }

  async runUntil(endMs: number): Promise<void> {
    await this.clock.run(endMs);
  }

  /** Results of the callers that sent their requests in the given time. */
  sentBetween(fromMs: number, toMs: number): readonly CallerResult[] {
    return this.results.filter(r => r.sentMs >= fromMs && r.sentMs < toMs);
  }

  private report(rank: ModelRank, group: ModelGroup): void {
    const {gateways, limitsRequests} = this.settings;
    const nowMs = this.clock.elapsedMs();
    const running = rank.running.filter(r => !r.ended).length;
    const queued = rank.queue.filter(r => !r.ended).length;
    const {meter, measured} = measurePasses(
      rank.meter,
      {pass: group.pass, epoch: 1, open: true, running},
      nowMs,
    );
    rank.meter = meter;
    if (measured) {
      rank.history = recordStretch(rank.history, ENGINE, measured, nowMs);
    }
    const limit = limitsRequests
      ? requestLimit(
          rank.history,
          ENGINE,
          this.routes[0]!.targetGapMs!,
          nowMs,
          this.settings.limitRange,
        )
      : ENGINE.slots;
    const {shares, nextTurn} = divideSlots(
      limit - running - queued,
      gateways,
      rank.turn,
    );
    rank.turn = nextTurn;
    const load = {
      id: rank.id,
      group: group.name,
      open: true,
      pace: 1,
      limitPerS: undefined,
      running,
      queued,
      requestLimit: limit,
    };
    this.clock.after(LINK_MS, () => {
      this.gateways.forEach((dispatcher, i) =>
        dispatcher.handleLoadReport({...load, share: shares[i]}, gateways),
      );
    });
    this.clock.after(REPORT_INTERVAL_MS, () => this.report(rank, group));
  }

  private configuration(): Configuration {
    return {
      version: 1,
      routes: this.routes,
      services: [],
      requiresKeys: false,
      accounts: [],
      limits: {bodyBytes: 1, idleTimeoutMs: 1},
    };
  }

  private get routes(): readonly Route[] {
    return this.settings.routes ?? [ROUTE];
  }

  private scheduleRequest(): void {
    const perS = this.settings.requestsPerS(this.clock.elapsedMs());
    // Rounding each interval up to a millisecond would lower the rate.
    this.dueMs += (-Math.log(1 - this.random()) * MS_PER_S) / perS;
    this.clock.after(this.dueMs - this.clock.elapsedMs(), () => {
      const sentMs = this.clock.elapsedMs();
      const route = this.routes[this.results.length % this.routes.length]!;
      const result: CallerResult = {sentMs, route, outcome: 'running'};
      this.results.push(result);
      const size = {
        promptTokens: this.size(MEAN_PROMPT_TOKENS, MAX_PROMPT_TOKENS),
        events: this.size(MEAN_EVENTS, MAX_EVENTS),
      };
      this.submit(result, size, true);
      this.scheduleRequest();
    });
  }

  /** A number from a log-normal distribution. */
  private size(mean: number, max: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    const normal = radius * Math.cos(2 * Math.PI * this.random());
    const median = mean / Math.exp(SIZE_SPREAD ** 2 / 2);
    return Math.ceil(Math.min(max, median * Math.exp(SIZE_SPREAD * normal)));
  }

  private submit(
    result: CallerResult,
    size: {readonly promptTokens: number; readonly events: number},
    mayRetry: boolean,
  ): void {
    const index = Math.floor(this.random() * this.gateways.length);
    const dispatcher = this.gateways[index]!;
    const arrivedMs = this.clock.elapsedMs();
    const {route} = result;
    let endpointId: string | undefined;
    let timing: StreamTiming | undefined;
    const end = (outcome: CallerResult['outcome']) => {
      request.ended = true;
      exchange.hasEnded = true;
      result.outcome = outcome;
      const ms = this.clock.elapsedMs() - arrivedMs;
      const tries =
        outcome === 'on time' || outcome === 'late' ? [{...ANSWERED, ms}] : [];
      const ended = {outcome: '', status: 0, tries, timing};
      dispatcher.finishExchange(exchange as unknown as Exchange, ended);
    };
    const release = (evidence: 'works' | 'rejects' | 'none') => {
      const sent = exchange as unknown as Exchange;
      if (endpointId !== undefined) {
        dispatcher.releaseEndpoint(sent, endpointId, evidence);
      }
      endpointId = undefined;
    };
    const request: RankRequest = {
      promptTokens: size.promptTokens,
      eventsLeft: size.events,
      ended: false,
      emit: isLast => {
        this.clock.after(LINK_MS, () => {
          const nowMs = this.clock.elapsedMs();
          timing = recordEvents(timing, nowMs - result.sentMs);
          if (!isLast) return;
          release('works');
          const isOnTime =
            timing.firstEventMs <= route.targetLatencyMs &&
            timing.longestGapMs <= route.targetGapMs!;
          end(isOnTime ? 'on time' : 'late');
        });
      },
    };
    const exchange = {
      incoming: {
        service: 's',
        route,
        account: undefined,
        arrivedMs,
        metadata: {requestId: '', sharedParts: []},
      },
      deadlineMs: result.sentMs + route.timeoutMs,
      triedEndpoints: new Set<string>(),
      hasEnded: false,
      hasAnswerBegun: false,
      refuse: (_reason: string, retryAfterMs = 0) => {
        end('refused');
        if (!mayRetry) return;
        this.clock.after(retryAfterMs, () => {
          result.outcome = 'running';
          this.submit(result, size, false);
        });
      },
      send: ({id}: Endpoint) => {
        exchange.triedEndpoints.add(id);
        endpointId = id;
        this.clock.after(LINK_MS, () => {
          if (request.ended || this.deliver(id, request)) return;
          release('rejects');
          const sent = exchange as unknown as Exchange;
          const isRetried =
            exchange.triedEndpoints.size < MAX_ATTEMPTS &&
            dispatcher.takeRetry(sent);
          if (isRetried) dispatcher.place(sent);
          else exchange.refuse('no retry');
        });
      },
    };
    const abandonMs = Math.max(ABANDON_MS, 4 * route.targetLatencyMs);
    this.clock.after(abandonMs, () => {
      if (exchange.hasEnded || timing) return;
      release('none');
      end('left');
    });
    dispatcher.submit(exchange as unknown as Exchange);
  }

  /** Whether the rank took the request. */
  private deliver(id: string, request: RankRequest): boolean {
    const rank = this.ranks.get(id)!;
    if (!rank.offer(request)) return false;
    this.groups.find(g => g.ranks.includes(rank))!.wake();
    return true;
  }
}
