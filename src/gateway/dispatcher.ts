/**
 * Assigns requests to endpoints. It holds the catalog, the loads, the queues
 * and the retry budgets; each decision is made by a module of pure functions.
 */
import {mayHaveBegun, runBeganMs} from '../duties/usagecounts';
import {ServiceDemand, ZoneLoad} from '../duties/usagemessage';
import {Clock, Instant, msSince, Timer} from '../kernel/clock';
import {Log} from '../observe/log';
import {
  countFirstAttempt,
  emptyRetryState,
  RetryBudget,
  RetryState,
  takeRetry,
} from '../routing/retry';
import {clearFailures, emptyAvoidance, recordFailure} from './avoidance';
import {
  applyEndpointChange,
  applyOperatorChange,
  Catalog,
  confirmOperatorTable,
  emptyCatalog,
  EndpointChange,
  excludeReplacedEndpoint,
  interruptOperatorTable,
  OperatorChange,
  Registration,
  servingEndpoints,
  withdrawConfirmation,
} from './catalog';
import {
  Choice,
  ChoiceContext,
  chooseEndpoint,
  explainPlacement,
  PromptPreference,
  silentEndpoints,
} from './endpointchoice';
import {
  DelayRange,
  EndpointState,
  explainCandidates,
  PlacementRequest,
  ServiceExplanation,
} from './explanation';
import {
  emptyPromptCache,
  heldTokens,
  Holder,
  possibleHolders,
  PromptPart,
  recordEnded,
  recordSent,
} from './promptcache';
import {nextPlacementStep, Unavailable} from './placementstep';
import {CrashMonitor} from './crashmonitor';
import {
  AttemptSpan,
  Dispatcher,
  EndpointEvidence,
  Exchange,
  ExchangeResult,
  RunEvidence,
} from './exchange';
import {
  applyReport,
  countFinished,
  countSent,
  emptyLoads,
  groupEpoch,
  isGroupOpen,
  loadEstimate,
  Loads,
  reportedRoom,
  retainLoads,
  SlotChange,
} from './endpointload';
import {Endpoint, EndpointLoad, Prompt} from './model';
import {
  AnswerTime,
  longAnswerMs,
  retryDelayMs,
  updateAnswerTime,
  WaitLimit,
} from './waitlimit';
import {
  classOf,
  emptyRoomHistory,
  isStarved,
  recordRoom,
  roomDelayMs,
  RoomHistory,
  roomPerS,
  UrgencyClasses,
  urgencyClasses,
  urgentWait,
  UrgentWaitConditions,
} from './urgency';
import {zoneLoads} from './zoneloads';
import {emptyLastSends, isWithinRate} from './sharedrate';
import {
  applyRegistration,
  isOtherProcess,
  isUnavailable,
  markLeaving,
  markPaused,
  nextEndMs,
  noUnavailableEndpoints,
  removeElapsed,
  UnavailableEndpoints,
} from './unavailability';
import {
  countAhead,
  countBefore,
  countPlaced,
  emptyQueue,
  enqueue,
  nextRequest,
  Queue,
  QueuedRequest,
  removeRequest,
  takeExpired,
  takeRetryable,
} from './queue';

export interface DispatcherSettings {
  readonly zone: string;
  /** Retries allowed per first attempt. */
  readonly retryRatio: number;
  /** Length of the window over which retries are counted. */
  readonly retryWindowMs: number;
  /**
   * False if all classes of requests wait for a share of their target latency; true
   * if absent.
   */
  readonly waitsByUrgency?: boolean;
  /**
   * Whether endpoints are chosen by the prompts that they hold, and for how long
   * they are believed to keep one after its request: 0 for engines that keep
   * none. Absent: cached prompts do not matter.
   */
  readonly cachedPrompts?: {readonly keptMs: number};
}

/** Interval at which waiting requests are served again, in milliseconds. */
const QUEUE_POLL_MS = 10;

/**
 * Interval at which requests are looked for at endpoints whose reports have
 * stopped, in milliseconds. It is that of the reports.
 */
const SILENCE_CHECK_INTERVAL_MS = 250;

/** Shortest Retry-After while all endpoints are full, in ms. */
const OVERLOAD_RETRY_AFTER_MS = 800;

/** Retry-After for a request that its endpoint did not run, in ms. */
const NOT_RUN_RETRY_AFTER_MS = 400;

/** Retry-After while stopping, in ms. Other gateways serve the caller at once. */
const STOPPING_RETRY_AFTER_MS = 50;

/** Largest random share added to a Retry-After, to spread out the retries. */
const RETRY_AFTER_JITTER = 0.5;

/**
 * Allotted share of the rate of cold endpoints; the rest is for gateways that
 * are not counted yet.
 */
const COLD_ALLOTTED_SHARE = 0.8;

/**
 * Lowest limit that is applied, in requests per second. An endpoint that gets no
 * requests could not say that its limit has ended.
 */
const MIN_LIMIT_PER_S = 0.1;

/** Number of gateways assumed to share limits before a report gives it. */
const DEFAULT_GATEWAYS = 24;

/**
 * Time for which a higher reported number of gateways prevails. A sidecar that
 * has just started or is cut off hears only some of them.
 */
const GATEWAYS_VALID_MS = 30_000;

/** Longest timer for the end of a pause; longer ones overflow in Node. */
const MAX_PAUSE_TIMER_MS = 60_000;

/** What decides how long a request waits. */
type WaitingRequest = Pick<
  PlacementRequest,
  'service' | 'route' | 'account' | 'deadlineMs'
>;

/** What the end of an attempt shows about the endpoint's slots. */
const SLOT_CHANGES: Readonly<Record<EndpointEvidence, SlotChange>> = {
  works: 'freed',
  rejects: 'full',
  fails: 'unknown',
  none: 'unknown',
};

/** Why an endpoint is no longer counted as unavailable. */
type AvailabilityCause = 'pause over' | 'other process' | 'forgotten';

export class RequestDispatcher implements Dispatcher {
  private catalog: Catalog = emptyCatalog;
  private loads: Loads = emptyLoads;
  private avoidance = emptyAvoidance;
  private retries = new Map<string, RetryState>();
  private queues = new Map<string, Queue<Exchange>>();
  /** Time for a complete answer, by service. */
  private readonly answerTimes = new Map<string, AnswerTime>();
  /** Time at which the process ends; infinite until it is stopped. */
  private stopMs = Infinity;
  private lastSends = emptyLastSends;
  /** Urgency classes by service, for a version of the configuration. */
  private classes = new Map<string, UrgencyClasses>();
  /** By service; only those with several urgency classes have one. */
  private readonly rooms = new Map<string, RoomHistory>();
  /** This gateway's place in the turns at each endpoint. */
  private readonly phases = new Map<string, number>();
  /** Limits that endpoints have named, in requests per second, by id. */
  private readonly limitsPerS = new Map<string, number>();
  private promptCache = emptyPromptCache;
  private unavailable = noUnavailableEndpoints;
  private pauseTimer: Timer | undefined;
  private gateways = {count: DEFAULT_GATEWAYS, untilMs: -Infinity};
  /** Requests that have not ended. */
  private readonly active = new Set<Exchange>();
  /** Requests that began to run and that found no room, by service. */
  private readonly served = new Map<string, {begun: number; refused: number}>();
  private serveScheduled = false;
  private pollScheduled = false;
  private silenceCheckScheduled = false;

  constructor(
    private readonly settings: DispatcherSettings,
    private readonly clock: Clock,
    /** A number from 0 (inclusive) to 1 (exclusive). */
    private readonly random: () => number,
    private readonly log: Log,
    private readonly onEnd: (
      exchange: Exchange,
      result: ExchangeResult,
    ) => void,
    private readonly onRetry: (service: string, allowed: boolean) => void,
    private readonly crashes: CrashMonitor,
    /** Called when an answer names a limit or, with 0, ends it. */
    private readonly onLimit: (
      endpoint: Registration,
      limitPerS: number,
    ) => void,
    /** Called when an endpoint began a request, with that monotonic time. */
    private readonly onRun: (
      exchange: Exchange,
      beganMs: number,
    ) => void = () => undefined,
  ) {}

  currentCatalog(): Catalog {
    return this.catalog;
  }

  /** Requests that have not ended. */
  get inFlight(): number {
    return this.active.size;
  }

  handleOperatorChange(
    change: OperatorChange,
    isFullRead: boolean,
    asOf: Instant | undefined,
  ): void {
    const before = this.catalog;
    this.catalog = applyOperatorChange(before, change, isFullRead, asOf);
    const version = this.catalog.configuration?.version;
    const held = before.configuration?.version;
    if (version !== held) {
      this.classes = new Map();
      this.log('info', 'configuration applied', {
        version,
        before: held,
        fullRead: isFullRead,
        ageMs: Math.round(msSince(this.catalog.operatorAsOf, this.clock)),
      });
    }
    const read = change.configuration?.version;
    if (read !== undefined && held !== undefined && read < held) {
      const event = 'older configuration in the store; keeping the newer one';
      this.log('info', event, {version: read, held, fullRead: isFullRead});
    }
    if (!this.catalog.zonesOut.equals(before.zonesOut)) {
      const zones = this.catalog.zonesOut.join(',');
      this.log('info', 'zones out of service', {zones});
    }
  }

  handleOperatorConfirmation(asOf: Instant): void {
    this.catalog = confirmOperatorTable(this.catalog, asOf);
  }

  handleOperatorInterruption(): void {
    this.catalog = interruptOperatorTable(this.catalog, this.clock.elapsedMs());
  }

  withdrawOperatorConfirmation(): void {
    this.catalog = withdrawConfirmation(this.catalog);
  }

  handleEndpointChange(change: EndpointChange, isFullRead: boolean): void {
    const nowMs = this.clock.elapsedMs();
    const before = this.catalog.endpoints;
    this.catalog = applyEndpointChange(this.catalog, change, isFullRead, nowMs);
    this.loads = retainLoads(this.loads, this.catalog.endpoints);
    for (const [id, registered] of change) {
      const endpoint = registered === 'invalid' ? undefined : registered;
      if (endpoint) this.crashes.handleRegistration(endpoint);
      if (endpoint) {
        const next = applyRegistration(this.unavailable, endpoint);
        this.setUnavailable(next, 'other process');
      }
      if (!endpoint) this.forgetRates(id);
      else if (!this.phases.has(id)) this.phases.set(id, this.random());
      // A read of the whole table brings every registration again.
      if (endpoint && isSameRegistration(before.get(id), endpoint)) continue;
      this.log('info', 'endpoint', {
        endpoint: id,
        state: stateOf(registered),
        service: endpoint?.service,
        address: endpoint?.address,
        zone: endpoint?.zone,
        coldMs: endpoint?.coldMs,
      });
    }
    this.serveIfWaiting();
  }

  handleLoadReport(report: EndpointLoad, gateways: number): void {
    const nowMs = this.clock.elapsedMs();
    if (
      gateways >= this.gateways.count ||
      (gateways > 0 && nowMs > this.gateways.untilMs)
    ) {
      this.gateways = {count: gateways, untilMs: nowMs + GATEWAYS_VALID_MS};
    }
    this.loads = applyReport(this.loads, report, nowMs);
    const {id, limitPerS} = report;
    if (limitPerS !== undefined) this.setLimit(id, limitPerS, 'sidecar');
    const endpoint = this.catalog.endpoints.get(id);
    if (endpoint) this.crashes.handleSidecarReport(endpoint);
    if (endpoint && report.share) {
      this.recordRoom(endpoint.service, {freed: report.share});
    }
    // Without a free slot for this gateway the report helps no waiting request.
    if (report.share !== 0) this.serveIfWaiting();
  }

  /** Takes the limit that an answer of the endpoint names, if any. */
  reportLimit(endpoint: Registration, namedPerS: number | undefined): void {
    const limitPerS =
      namedPerS === undefined ? 0 : Math.max(namedPerS, MIN_LIMIT_PER_S);
    const hadLimit = this.limitsPerS.has(endpoint.id);
    this.setLimit(endpoint.id, limitPerS, 'answer');
    // The end of a limit is sent even if another gateway sent the limit, because
    // that gateway may have stopped.
    if (hadLimit || limitPerS > 0) this.onLimit(endpoint, limitPerS);
  }

  /** Sets an endpoint's limit; 0 stands for none. */
  private setLimit(
    id: string,
    limitPerS: number,
    source: 'answer' | 'sidecar',
  ): void {
    if ((this.limitsPerS.get(id) ?? 0) === limitPerS) return;
    if (limitPerS > 0) this.limitsPerS.set(id, limitPerS);
    else this.limitsPerS.delete(id);
    this.log('info', 'endpoint limit', {
      endpoint: id,
      limitPerS: limitPerS > 0 ? limitPerS : null,
      source,
      gateways: this.gateways.count,
    });
  }

  reportLeaving(endpoint: Registration): void {
    if (this.isReplaced(endpoint)) return;
    const next = markLeaving(this.unavailable, endpoint);
    this.setUnavailable(next, 'forgotten');
  }

  reportPause(endpoint: Registration, ms: number): void {
    if (this.isReplaced(endpoint)) return;
    this.endPauses();
    const untilMs = this.clock.elapsedMs() + ms;
    const next = markPaused(this.unavailable, endpoint, untilMs);
    this.setUnavailable(next, 'forgotten');
    this.schedulePauseEnd();
  }

  private endPauses(): void {
    const nowMs = this.clock.elapsedMs();
    this.setUnavailable(removeElapsed(this.unavailable, nowMs), 'pause over');
  }

  private schedulePauseEnd(): void {
    this.pauseTimer?.cancel();
    const endMs = nextEndMs(this.unavailable);
    if (endMs === Infinity) return;
    const ms = Math.min(endMs - this.clock.elapsedMs(), MAX_PAUSE_TIMER_MS);
    this.pauseTimer = this.clock.after(ms, () => {
      this.endPauses();
      this.schedulePauseEnd();
      this.serveIfWaiting();
    });
  }

  /** Whether another process has registered since a request was sent. */
  private isReplaced(endpoint: Registration): boolean {
    const registered = this.catalog.endpoints.get(endpoint.id);
    return registered !== undefined && isOtherProcess(registered, endpoint);
  }

  /** `cause` is logged for endpoints that are not in `next` any more. */
  private setUnavailable(
    next: UnavailableEndpoints,
    cause: AvailabilityCause,
  ): void {
    const before = this.unavailable;
    this.unavailable = next;
    if (next === before) return;
    for (const [endpoint, {reason}] of before) {
      if (next.has(endpoint)) continue;
      this.log('info', 'endpoint available again', {endpoint, reason, cause});
    }
    const nowMs = this.clock.elapsedMs();
    for (const [endpoint, {reason, untilMs}] of next) {
      if (before.get(endpoint)?.reason === reason) continue;
      const ms = untilMs === Infinity ? null : Math.round(untilMs - nowMs);
      this.log('info', 'endpoint unavailable', {endpoint, reason, ms});
    }
  }

  private forgetRates(id: string): void {
    this.phases.delete(id);
    this.limitsPerS.delete(id);
    this.lastSends = this.lastSends.delete(id);
  }

  /** Accepts a request that has just been read. */
  submit(exchange: Exchange): void {
    this.active.add(exchange);
    this.scheduleSilenceCheck();
    const {service} = exchange.incoming;
    const retries = this.retries.get(service) ?? emptyRetryState;
    const nowMs = this.clock.elapsedMs();
    const budget = this.retryBudget();
    this.retries.set(service, countFirstAttempt(retries, budget, nowMs));
    this.recordRoom(service, {arrived: this.urgencyOf(exchange.incoming)});
    this.place(exchange);
  }

  /** Sends a request to an endpoint, lets it wait, or refuses it. */
  place(exchange: Exchange): void {
    if (exchange.hasEnded || this.rejectIfQuarantined(exchange)) return;
    const {incoming, deadlineMs} = exchange;
    const {service} = incoming;
    if (!this.canEndBeforeStop(service, deadlineMs))
      return this.refuseForStop(exchange);
    const queue = this.queueOf(service);
    const nowMs = this.clock.elapsedMs();
    const wait = urgentWait(
      this.waitConditions({...incoming, deadlineMs}, nowMs),
    );
    const choice = this.chooseFor(exchange);
    const othersWait = queue.waiting.length > 0;
    const step = nextPlacementStep(choice, wait, othersWait, nowMs);
    if (step.kind === 'refuse') {
      return this.refuseForNoEndpoint(exchange, step.forMs);
    }
    if (step.kind === 'send' && choice.kind === 'endpoint') {
      return this.send(exchange, choice.endpoint);
    }
    if (wait.isHopeless)
      return this.refuseForNoRoom(exchange, 'no room in time');
    const item = queuedRequest(exchange, incoming, wait);
    this.queues.set(service, enqueue(queue, item));
    this.scheduleServe();
  }

  /** Requests that wait, of all services, by their priority. */
  waitingCount(priority: number): number {
    const queues = [...this.queues.values()];
    const waiting = queues.flatMap(queue => queue.waiting);
    return waiting.filter(w => w.priority === priority).length;
  }

  /** Priorities of the services' routes while they differ. */
  competingPriorities(): readonly number[] {
    const services = [...this.catalog.services.keys()];
    const classes = services.map(name => this.classesOf(name).priorities);
    return [...new Set(classes.filter(c => c.length > 1).flat())];
  }

  private classesOf(service: string): UrgencyClasses {
    const known = this.classes.get(service);
    if (known) return known;
    const {waitsByUrgency = true} = this.settings;
    const classes = urgencyClasses(
      waitsByUrgency ? this.catalog.configuration : undefined,
      service,
    );
    this.classes.set(service, classes);
    return classes;
  }

  private urgencyOf(
    request: Pick<PlacementRequest, 'service' | 'account' | 'route'>,
  ): number {
    const classes = this.classesOf(request.service);
    return classOf(classes, priorityOf(request));
  }

  private recordRoom(
    service: string,
    event: Parameters<typeof recordRoom>[1],
  ): void {
    if (this.classesOf(service).priorities.length < 2) return;
    const nowMs = this.clock.elapsedMs();
    const room = this.rooms.get(service) ?? emptyRoomHistory(nowMs);
    this.rooms.set(service, recordRoom(room, event, nowMs));
  }

  /** Tells whether requests of a priority go first because they get little. */
  private starvation(service: string): (priority: number) => boolean {
    const room = this.rooms.get(service);
    if (!room) return () => false;
    const classes = this.classesOf(service);
    const starved = classes.priorities.map((_, of) => isStarved(room, of));
    return priority => starved[classOf(classes, priority)] ?? false;
  }

  private waitConditions(
    request: WaitingRequest,
    nowMs: number,
  ): UrgentWaitConditions {
    const {service, route, deadlineMs} = request;
    const room = this.rooms.get(service) ?? emptyRoomHistory(nowMs);
    const priority = priorityOf(request);
    const isPriorityStarved = this.starvation(service);
    const classes = this.classesOf(service);
    const competes = classes.priorities.length > 1;
    return {
      nowMs,
      deadlineMs,
      route,
      meanAnswerMs:
        this.answerTimes.get(service)?.meanMs ?? route.targetLatencyMs,
      classes,
      urgency: this.urgencyOf(request),
      isStarved: isPriorityStarved(priority),
      ahead: competes
        ? countAhead(this.queueOf(service), priority, isPriorityStarved)
        : 0,
      roomPerS: roomPerS(room, nowMs),
    };
  }

  private refuseForNoRoom(exchange: Exchange, reason: string): void {
    const {incoming, deadlineMs} = exchange;
    const {service, metadata} = incoming;
    this.servedOf(service).refused += 1;
    const nowMs = this.clock.elapsedMs();
    const serving = servingEndpoints(this.catalog, service, nowMs);
    this.log('info', 'no room for a request', {
      request: metadata.requestId,
      service,
      endpoints: serving.length,
      ...reportedRoom(this.loads, serving, nowMs),
      waiting: this.queueOf(service).waiting.length,
    });
    const request = {...incoming, deadlineMs};
    exchange.refuse(reason, this.noRoomDelayMs(request, this.random));
  }

  private noRoomDelayMs(request: WaitingRequest, random: () => number): number {
    const {priorities} = this.classesOf(request.service);
    if (priorities.length < 2)
      return addJitter(OVERLOAD_RETRY_AFTER_MS, random);
    const conditions = this.waitConditions(request, this.clock.elapsedMs());
    return roomDelayMs(conditions, random);
  }

  /**
   * What `place` would do with a request now, without doing it. `maxCandidates`
   * bounds the endpoints that are listed.
   */
  explain(
    request: PlacementRequest,
    maxCandidates: number,
  ): ServiceExplanation {
    const nowMs = this.clock.elapsedMs();
    const {service} = request;
    const queue = this.queueOf(service);
    const waiting = queue.waiting.length;
    const found = this.servingFor(service, nowMs);
    const preference = this.promptPreference(
      service,
      () => ({
        parts: request.parts.map(({id, tokens}) => ({
          id: servicePart(service, id),
          tokens,
        })),
        promptTokens: request.promptTokens,
      }),
      nowMs,
    );
    const explained =
      found.kind === 'serving'
        ? explainPlacement(
            found.endpoints,
            request.triedEndpoints,
            this.choiceContext(nowMs, waiting > 0, preference),
          )
        : undefined;
    const candidates = explainCandidates(
      service,
      explained,
      this.endpointState(nowMs, preference),
      maxCandidates,
    );
    const base = {service, waiting, ...candidates};
    const refuse = (reason: string, retryAfterMs?: DelayRange) => ({
      ...base,
      decision: 'refuse' as const,
      status: 503,
      reason,
      retryAfterMs,
    });
    const part = this.crashes.partToReject(
      request.parts.map(({id}) => servicePart(service, id)),
    );
    if (part !== undefined)
      return {...refuse('prompt part quarantined'), quarantinedPart: part};
    if (!this.canEndBeforeStop(service, request.deadlineMs)) {
      const ms = STOPPING_RETRY_AFTER_MS;
      return refuse('stopping', {fromMs: ms, toMs: ms});
    }
    const limit = urgentWait(this.waitConditions(request, nowMs));
    const choice = found.kind === 'serving' ? explained!.placement : found;
    const step = nextPlacementStep(choice, limit, waiting > 0, nowMs);
    const delays = (delayMs: (random: () => number) => number): DelayRange => {
      const bounds = [delayMs(() => 0), delayMs(() => 1)];
      return {
        fromMs: Math.round(Math.min(...bounds)),
        toMs: Math.round(Math.max(...bounds)),
      };
    };
    if (step.kind === 'refuse') {
      const leftMs = request.deadlineMs - nowMs;
      return refuse(
        'no endpoint',
        delays(random => noEndpointDelayMs(leftMs, step.forMs, random)),
      );
    }
    if (step.kind === 'send') return {...base, decision: 'send'};
    const retryAfterMs = delays(random => this.noRoomDelayMs(request, random));
    if (limit.isHopeless) return refuse('no room in time', retryAfterMs);
    const item = queuedRequest(undefined, request, limit);
    return {
      ...base,
      decision: 'wait',
      reason: step.because,
      waitMs: Math.max(0, Math.round(limit.untilMs - nowMs)),
      before: countBefore(queue, item, this.starvation(service)),
      retryAfterMs,
    };
  }

  private endpointState(
    nowMs: number,
    preference: PromptPreference | undefined,
  ): EndpointState {
    const {catalog, loads, avoidance, unavailable} = this;
    return {
      catalog,
      loads,
      avoidance,
      unavailable,
      nowMs,
      ratePerS: endpoint => this.sharedRatePerS(endpoint, nowMs),
      prompt: preference,
    };
  }

  /**
   * Stops by a time on the monotonic clock. Until then, requests are refused if
   * they may not be answered by it; a request that was cut off then might have
   * run, and its caller could not send it elsewhere.
   */
  stopBy(stopMs: number): void {
    this.stopMs = stopMs;
    this.serveIfWaiting();
  }

  /** Ends all requests: as not run if that is certain. */
  endAll(): void {
    for (const exchange of [...this.active]) this.refuseForStop(exchange);
  }

  private canEndBeforeStop(service: string, deadlineMs: number): boolean {
    if (deadlineMs <= this.stopMs) return true;
    const time = this.answerTimes.get(service);
    const neededMs = time ? longAnswerMs(time) : 0;
    return this.clock.elapsedMs() + neededMs <= this.stopMs;
  }

  private refuseForStop(exchange: Exchange): void {
    exchange.refuse('stopping', STOPPING_RETRY_AFTER_MS);
  }

  releaseEndpoint(
    exchange: Exchange,
    endpoint: string,
    evidence: EndpointEvidence,
  ): void {
    this.loads = countFinished(this.loads, endpoint, SLOT_CHANGES[evidence]);
    if (SLOT_CHANGES[evidence] === 'freed') {
      this.recordRoom(exchange.incoming.service, {freed: 1});
    }
    const nowMs = this.clock.elapsedMs();
    const {cachedPrompts} = this.settings;
    if (cachedPrompts) {
      const hasRun = evidence === 'works' || evidence === 'none';
      const isKept = hasRun && cachedPrompts.keptMs > 0;
      const parts = partsOf(exchange);
      this.promptCache = recordEnded(
        this.promptCache,
        endpoint,
        parts,
        isKept,
        nowMs,
      );
    }
    if (evidence === 'works' || evidence === 'rejects') {
      this.avoidance = clearFailures(this.avoidance, endpoint);
    } else if (evidence === 'fails') {
      this.avoidance = recordFailure(this.avoidance, endpoint, nowMs);
    }
    this.serveIfWaiting();
  }

  /**
   * The ranks of a stalled group break their connections too, and an endpoint
   * that leaves may; neither shows that the endpoint crashed.
   */
  reportEnd(
    exchange: Exchange,
    endpoint: Endpoint,
    {involvement, ...span}: AttemptSpan,
  ): void {
    const {id} = endpoint;
    const found = this.catalog.endpoints.get(id);
    const isReplaced = found !== undefined && isOtherProcess(found, endpoint);
    const hasLeft = found === undefined || found.draining;
    const leavingSinceMs = hasLeft ? -Infinity : found.goneSinceMs;
    this.crashes.recordEnd({
      endpoint,
      prompt: promptOf(exchange),
      requestId: exchange.incoming.metadata.requestId,
      ...span,
      hasAnswer: involvement === 'answered',
      leavingSinceMs: isReplaced ? undefined : leavingSinceMs,
      isStalled: !isGroupOpen(this.loads, id, this.clock.elapsedMs()),
    });
  }

  reportAlive(endpoint: Endpoint, sentMs: number): void {
    this.crashes.handleSignOfLife(endpoint, sentMs);
  }

  /** Whether the endpoint's process is registered, as far as is known. */
  isRegistered(endpoint: Endpoint): boolean {
    const found = this.catalog.endpoints.get(endpoint.id);
    if (!found || found.goneSinceMs !== undefined) return false;
    return !isOtherProcess(found, endpoint);
  }

  reportRun(
    exchange: Exchange,
    {sentMs, seenMs, isAnswered, requestsThere}: RunEvidence,
  ): boolean {
    const {service, route} = exchange.incoming;
    const engine = this.catalog.services.get(service)?.engine;
    const stepMs = engine
      ? engine.stepMs + engine.perRequestMs * requestsThere
      : 0;
    const passMs = (engine?.stepsPerPass ?? 0) * stepMs;
    const isStream = route.kind === 'stream';
    const run = {isStream, sentMs, seenMs, passMs};
    if (!isAnswered && !mayHaveBegun(run)) return false;
    this.servedOf(service).begun += 1;
    this.onRun(exchange, runBeganMs(run));
    return true;
  }

  private servedOf(service: string): {begun: number; refused: number} {
    const served = this.served.get(service) ?? {begun: 0, refused: 0};
    this.served.set(service, served);
    return served;
  }

  /** Requests of each service at this gateway since its start. */
  demand(): readonly ServiceDemand[] {
    return [...this.catalog.services.keys()].map(service => {
      const {begun, refused} = this.servedOf(service);
      const waiting = this.queueOf(service).waiting.length;
      return {service, begun, refused, waiting};
    });
  }

  /** Loads of the endpoints of each service and zone. */
  zoneLoads(): readonly ZoneLoad[] {
    return zoneLoads(this.catalog, this.loads, this.clock.elapsedMs());
  }

  reportProgress(exchange: Exchange, endpoint: Endpoint, sentMs: number): void {
    this.crashes.recordProgress(endpoint, promptOf(exchange), sentMs);
  }

  /** Rejects requests with quarantined parts that no answer has begun for. */
  handleQuarantine(): void {
    for (const exchange of [...this.active]) {
      if (!exchange.hasAnswerBegun) this.rejectIfQuarantined(exchange);
    }
  }

  private rejectIfQuarantined(exchange: Exchange): boolean {
    const part = this.crashes.rejectedPart(promptOf(exchange));
    if (part === undefined) return false;
    this.log('info', 'request rejected for a quarantined prompt part', {
      request: exchange.incoming.metadata.requestId,
      part,
    });
    exchange.refuse('prompt part quarantined');
    return true;
  }

  reportMisdirected(endpoint: string): void {
    const nowMs = this.clock.elapsedMs();
    this.catalog = excludeReplacedEndpoint(this.catalog, endpoint, nowMs);
    this.log('info', 'endpoint excluded: another process has its address', {
      endpoint,
    });
  }

  takeRetry(exchange: Exchange): boolean {
    const {service, metadata} = exchange.incoming;
    const taken = takeRetry(
      this.retries.get(service) ?? emptyRetryState,
      this.retryBudget(),
      this.clock.elapsedMs(),
    );
    this.retries.set(service, taken.state);
    this.onRetry(service, taken.allowed);
    this.log('info', 'retry', {
      request: metadata.requestId,
      service,
      allowed: taken.allowed,
      firstAttempts: taken.firstAttempts,
      retries: taken.retries,
    });
    return taken.allowed;
  }

  finishExchange(exchange: Exchange, result: ExchangeResult): void {
    this.active.delete(exchange);
    const {service} = exchange.incoming;
    this.queues.set(service, removeRequest(this.queueOf(service), exchange));
    const answered = result.tries.find(t => t.outcome === 'answered');
    if (answered) {
      const time = this.answerTimes.get(service);
      this.answerTimes.set(service, updateAnswerTime(time, answered.ms));
    }
    this.onEnd(exchange, result);
  }

  private chooseFor(exchange: Exchange): Choice | Unavailable {
    const nowMs = this.clock.elapsedMs();
    const {service} = exchange.incoming;
    const found = this.servingFor(service, nowMs);
    if (found.kind === 'unavailable') return found;
    const hasBacklog = this.queueOf(service).waiting.some(
      ({request}) => request !== exchange,
    );
    return chooseEndpoint(
      found.endpoints,
      exchange.triedEndpoints,
      this.choiceContext(
        nowMs,
        hasBacklog,
        this.promptPreference(
          service,
          () => ({
            parts: partsOf(exchange),
            promptTokens: exchange.incoming.metadata.promptTokens,
          }),
          nowMs,
        ),
      ),
    );
  }

  /** Undefined for requests and services to which it does not apply. */
  private promptPreference(
    service: string,
    readPrompt: () => Pick<PlacementRequest, 'parts' | 'promptTokens'>,
    nowMs: number,
  ): PromptPreference | undefined {
    const {cachedPrompts} = this.settings;
    const engine = this.catalog.services.get(service)?.engine;
    if (!cachedPrompts || engine?.readTokensPerS === undefined)
      return undefined;
    const {parts, promptTokens} = readPrompt();
    if (parts.length === 0) return undefined;
    const cache = this.promptCache;
    return {
      engine,
      promptTokens: promptTokens ?? parts.reduce((n, p) => n + p.tokens, 0),
      holders: possibleHolders(cache, parts),
      heldTokens: endpoint =>
        heldTokens(
          cache,
          this.holderOf(endpoint),
          parts,
          cachedPrompts.keptMs,
          nowMs,
        ),
    };
  }

  private holderOf({id, address, startedMs}: Registration): Holder {
    const epoch = groupEpoch(this.loads, id);
    return {id, process: `${address} ${startedMs ?? ''} ${epoch}`};
  }

  /** The endpoints that serve, unless all of them are unavailable. */
  private servingFor(
    service: string,
    nowMs: number,
  ):
    | {
        readonly kind: 'serving';
        readonly endpoints: readonly Registration[];
      }
    | Unavailable {
    const {catalog, unavailable} = this;
    const endpoints = servingEndpoints(
      catalog,
      service,
      nowMs,
      id => !isUnavailable(unavailable, id, nowMs),
    );
    if (endpoints.length === 0 && !unavailable.isEmpty()) {
      const all = servingEndpoints(catalog, service, nowMs);
      const ends = all.map(e => unavailable.get(e.id)?.untilMs ?? Infinity);
      const forMs = Math.min(...ends) - nowMs;
      if (all.length > 0) return {kind: 'unavailable', forMs};
    }
    return {kind: 'serving', endpoints};
  }

  private choiceContext(
    nowMs: number,
    hasBacklog: boolean,
    prompt: PromptPreference | undefined,
  ): ChoiceContext {
    return {
      loads: this.loads,
      avoidance: this.avoidance,
      zone: this.settings.zone,
      nowMs,
      random: this.random,
      withinRate: endpoint => this.withinRate(endpoint, nowMs),
      hasBacklog,
      prompt,
    };
  }

  private send(exchange: Exchange, endpoint: Registration): void {
    const {service, account} = exchange.incoming;
    const nowMs = this.clock.elapsedMs();
    const estimate = loadEstimate(this.loads, endpoint.id, nowMs);
    this.loads = countSent(this.loads, endpoint.id);
    if (this.settings.cachedPrompts) {
      this.promptCache = recordSent(
        this.promptCache,
        this.holderOf(endpoint),
        partsOf(exchange),
        nowMs,
      );
    }
    const queue = this.queueOf(service);
    this.queues.set(service, countPlaced(queue, account?.name ?? '', nowMs));
    this.lastSends = this.lastSends.set(endpoint.id, nowMs);
    this.recordRoom(service, {placed: this.urgencyOf(exchange.incoming)});
    exchange.send(endpoint, estimate);
  }

  /** Applies the rates of cold and limited endpoints, which gateways share. */
  private withinRate(endpoint: Registration, nowMs: number): boolean {
    const requestsPerS = this.sharedRatePerS(endpoint, nowMs);
    if (requestsPerS === undefined) return true;
    const {id} = endpoint;
    const rate = {
      requestsPerS,
      gateways: this.gateways.count,
      phase: this.phases.get(id) ?? 0,
    };
    return isWithinRate(this.lastSends, id, rate, nowMs);
  }

  /** The rate of a cold or limited endpoint; undefined if it is neither. */
  private sharedRatePerS(
    {id, coldUntilMs, service}: Registration,
    nowMs: number,
  ): number | undefined {
    const coldPerS = this.catalog.services.get(service)?.coldRequestsPerS ?? 0;
    const rates: number[] = [];
    if (coldUntilMs > nowMs && coldPerS > 0) {
      rates.push(coldPerS * COLD_ALLOTTED_SHARE);
    }
    const limitPerS = this.limitsPerS.get(id);
    if (limitPerS !== undefined) rates.push(limitPerS);
    return rates.length === 0 ? undefined : Math.min(...rates);
  }

  private queueOf(service: string): Queue<Exchange> {
    return this.queues.get(service) ?? emptyQueue();
  }

  private serveIfWaiting(): void {
    for (const {waiting} of this.queues.values()) {
      if (waiting.length > 0) return this.scheduleServe();
    }
  }

  /** Serves the queues now, and again soon if requests are left. */
  private scheduleServe(): void {
    if (this.serveScheduled) return;
    this.serveScheduled = true;
    this.clock.after(0, () => {
      this.serveScheduled = false;
      for (const service of this.queues.keys()) this.serveQueue(service);
      this.schedulePoll();
    });
  }

  private scheduleSilenceCheck(): void {
    if (this.silenceCheckScheduled) return;
    this.silenceCheckScheduled = true;
    this.clock.after(SILENCE_CHECK_INTERVAL_MS, () => {
      this.silenceCheckScheduled = false;
      this.leaveSilentEndpoints();
      if (this.active.size > 0) this.scheduleSilenceCheck();
    });
  }

  /**
   * Takes the requests that may run again away from endpoints whose reports
   * have stopped. Such an endpoint would notice only when its instance resumes
   * that their callers have left.
   */
  private leaveSilentEndpoints(): void {
    const nowMs = this.clock.elapsedMs();
    const services = new Set(
      [...this.active].map(({incoming}) => incoming.service),
    );
    for (const service of services) {
      const serving = servingEndpoints(this.catalog, service, nowMs);
      const silent = silentEndpoints(serving, this.loads, nowMs);
      if (silent.size === 0) continue;
      for (const exchange of [...this.active]) {
        const {currentEndpoint} = exchange;
        if (currentEndpoint !== undefined && silent.has(currentEndpoint)) {
          exchange.leaveSilentEndpoint();
        }
      }
    }
  }

  /** Only one poll is scheduled, however many events have served the queues. */
  private schedulePoll(): void {
    if (this.pollScheduled) return;
    this.pollScheduled = true;
    this.clock.after(QUEUE_POLL_MS, () => {
      this.pollScheduled = false;
      this.serveIfWaiting();
    });
  }

  private serveQueue(service: string): void {
    const {queue, expired} = takeExpired(
      this.queueOf(service),
      this.clock.elapsedMs(),
    );
    this.queues.set(service, queue);
    for (const {request} of expired) {
      this.refuseForNoRoom(request, 'overload');
    }
    for (const {request} of queue.waiting) {
      if (!this.canEndBeforeStop(service, request.deadlineMs))
        this.refuseForStop(request);
    }
    for (;;) {
      const isFirst = this.starvation(service);
      const next = nextRequest(this.queueOf(service), undefined, isFirst);
      if (!next) return;
      const choice = this.chooseFor(next.request);
      if (choice.kind === 'full') return;
      if (choice.kind === 'none') {
        const {queue, refused} = takeRetryable(this.queueOf(service));
        this.queues.set(service, queue);
        for (const {request} of refused) this.refuseForNoEndpoint(request);
        return;
      }
      this.queues.set(
        service,
        removeRequest(this.queueOf(service), next.request),
      );
      if (choice.kind === 'unavailable') {
        this.refuseForNoEndpoint(next.request, choice.forMs);
      } else this.send(next.request, choice.endpoint);
    }
  }

  /**
   * The ranks of a group that breaks refuse what waits at them. A caller that
   * returned soon would find the group still broken, and most return only once.
   */
  retryAfterMs(exchange: Exchange): number {
    const choice = this.chooseFor(exchange);
    if (choice.kind === 'none') return this.noEndpointDelayMs(exchange);
    if (choice.kind !== 'unavailable') return NOT_RUN_RETRY_AFTER_MS;
    return this.noEndpointDelayMs(exchange, choice.forMs);
  }

  /** `forMs` is the time for which all endpoints are unavailable, if they are. */
  private refuseForNoEndpoint(exchange: Exchange, forMs = Infinity): void {
    exchange.refuse('no endpoint', this.noEndpointDelayMs(exchange, forMs));
  }

  private noEndpointDelayMs(exchange: Exchange, forMs = Infinity): number {
    const leftMs = exchange.deadlineMs - this.clock.elapsedMs();
    return noEndpointDelayMs(leftMs, forMs, this.random);
  }

  /** Has no floor, because floors add up with the number of gateways. */
  private retryBudget(): RetryBudget {
    const {retryRatio, retryWindowMs: windowMs} = this.settings;
    return {retryRatio, retryFloorPerS: 0, windowMs};
  }
}

/** 0 is the most urgent. */
function priorityOf({
  account,
  route,
}: Pick<PlacementRequest, 'account' | 'route'>): number {
  return account?.priority ?? route.priority;
}

function addJitter(ms: number, random: () => number): number {
  return ms * (1 + RETRY_AFTER_JITTER * random());
}

function noEndpointDelayMs(
  leftMs: number,
  forMs: number,
  random: () => number,
): number {
  const delayMs = retryDelayMs(leftMs, random);
  return Math.min(delayMs, addJitter(forMs, random));
}

function queuedRequest<T>(
  request: T,
  {
    account,
    route,
    arrivedMs,
  }: Pick<PlacementRequest, 'account' | 'route' | 'arrivedMs'>,
  {untilMs, callerMayRetry}: WaitLimit,
): QueuedRequest<T> {
  return {
    request,
    account: account?.name ?? '',
    priority: priorityOf({account, route}),
    arrivedMs,
    untilMs,
    callerMayRetry,
  };
}

/** Services have different endpoints, so their parts are told apart. */
function servicePart(service: string, part: string): string {
  return `${service}/${part}`;
}

function partsOf({
  incoming: {service, metadata},
}: Exchange): readonly PromptPart[] {
  return metadata.sharedParts.map((part, i) => ({
    id: servicePart(service, part),
    tokens: metadata.sharedTokens[i]!,
  }));
}

function promptOf({incoming: {service, metadata}}: Exchange): Prompt {
  return metadata.sharedParts.map(part => servicePart(service, part));
}

/** Whether nothing that is logged about an endpoint has changed. */
function isSameRegistration(
  before: Registration | undefined,
  {service, address, zone, draining, coldMs}: Endpoint,
): boolean {
  return (
    before !== undefined &&
    before.goneSinceMs === undefined &&
    before.service === service &&
    before.address === address &&
    before.zone === zone &&
    before.draining === draining &&
    before.coldMs === coldMs
  );
}

/** The state of a registration as it is logged. */
function stateOf(registered: Endpoint | 'invalid' | undefined): string {
  if (registered === undefined) return 'gone';
  if (registered === 'invalid') return 'invalid';
  return registered.draining ? 'draining' : 'ready';
}
