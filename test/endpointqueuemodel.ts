/**
 * Model of gateways that share endpoints with slots and queues of their own.
 *
 * An endpoint runs as many requests as it has slots, and queues some more. It
 * looks at its queue only when a slot comes free: not every endpoint drops a
 * queued request when its connection closes. Its sidecar reports the load at
 * fixed intervals; on its own instance the endpoint's report is fresh. Callers
 * leave a stream that has no event for two seconds.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {VirtualClock} from '../bench/support/virtualclock';
import {RequestDispatcher} from '../src/gateway/dispatcher';
import {Exchange} from '../src/gateway/exchange';
import {Endpoint} from '../src/gateway/model';
import {divideSlots} from '../src/gateway/slotshares';
import {
  createDispatcher,
  MAX_ATTEMPTS,
  registeredEndpoint,
  REPORT_INTERVAL_MS,
  ROUTE,
} from './deploymentmodel';

export const SLOTS = 7;
const QUEUE_PLACES = 2 * SLOTS;
const ZONES = 3;

/** Mean time for which a request occupies a slot. */
export const MEAN_RUN_MS = 1_100;

/** Shortest run, as a share of the mean; the longest is as far above it. */
const SHORTEST_RUN_SHARE = 0.2;

const LINK_MS = 2;

/** Callers leave a stream without events after this time. */
const ABANDON_MS = 2_000;

export interface QueueModelSettings {
  readonly seed: number;
  readonly gateways: number;
  readonly endpoints: number;
  readonly requestsPerS: (nowMs: number) => number;
  /** Slots of each endpoint; `SLOTS` if absent. */
  readonly slots?: number;
}

const MS_PER_S = 1_000;

interface Request {
  /** Whether it has a slot, and its caller has got an event. */
  running: boolean;
  ended: boolean;
  readonly start: () => void;
  readonly complete: () => void;
}

class QueueingEndpoint {
  private running = 0;
  private queue: Request[] = [];

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: () => number,
    private readonly slots: number,
  ) {}

  get held(): number {
    return this.running + this.queue.length;
  }

  get hasFreeSlot(): boolean {
    return this.running < this.slots;
  }

  load(): {readonly running: number; readonly queued: number} {
    return {running: this.running, queued: this.queue.length};
  }

  /** Whether the request was taken. */
  offer(request: Request): boolean {
    if (this.hasFreeSlot) this.run(request);
    else if (this.queue.length < QUEUE_PLACES) this.queue.push(request);
    else return false;
    return true;
  }

  private run(request: Request): void {
    this.running += 1;
    request.start();
    const share =
      SHORTEST_RUN_SHARE + 2 * (1 - SHORTEST_RUN_SHARE) * this.random();
    this.clock.after(MEAN_RUN_MS * share, () => {
      this.running -= 1;
      request.complete();
      this.queue = this.queue.filter(r => !r.ended);
      const next = this.queue.shift();
      if (next) this.run(next);
    });
  }
}

export class EndpointQueueModel {
  readonly clock = new VirtualClock();
  /** Requests that reached an endpoint. */
  arrivals = 0;
  /** Arrivals that had to wait while another endpoint had a free slot. */
  needlessWaits = 0;
  /** Most requests that one endpoint had at a time. */
  mostHeld = 0;
  /** Callers that left without an event. */
  callersLeft = 0;
  /** Those of them whose request was at an endpoint. */
  leftAtEndpoint = 0;
  refused = 0;
  completed = 0;
  /** Time at which the next request is due, not rounded. */
  private dueMs = 0;
  private readonly endpoints = new Map<string, QueueingEndpoint>();
  private readonly gateways: RequestDispatcher[] = [];
  private readonly random: () => number;

  constructor(private readonly settings: QueueModelSettings) {
    const generator = xoroshiro128plus(settings.seed);
    this.random = () => uniformFloat64(generator);
    const {slots = SLOTS} = settings;
    const registered = new Map<string, Endpoint>();
    for (let i = 0; i < settings.endpoints; i++) {
      const zone = `z${Math.floor((i * ZONES) / settings.endpoints)}`;
      const id = `e${i}`;
      registered.set(id, registeredEndpoint(id, i, zone, slots));
      const endpoint = new QueueingEndpoint(this.clock, this.random, slots);
      this.endpoints.set(id, endpoint);
      this.clock.after(REPORT_INTERVAL_MS * this.random(), () =>
        this.report(id, zone, endpoint),
      );
    }
    for (let i = 0; i < settings.gateways; i++) {
      const dispatcher = createDispatcher({
        instance: `g${i}`,
        zone: `z${i % ZONES}`,
        clock: this.clock,
        random: this.random,
      });
      dispatcher.handleEndpointChange(registered, true);
      this.gateways.push(dispatcher);
    }
    this.scheduleRequest();
  }

  async runUntil(endMs: number): Promise<void> {
    await this.clock.run(endMs);
  }

  private report(
    id: string,
    group: string,
    endpoint: QueueingEndpoint,
    turn = 0,
  ): void {
    const {gateways, slots = SLOTS} = this.settings;
    const free = slots - endpoint.held;
    const {shares, nextTurn} = divideSlots(free, gateways, turn);
    const load = {
      id,
      group,
      open: true,
      pace: 1,
      limitPerS: undefined,
      ...endpoint.load(),
    };
    this.clock.after(LINK_MS, () => {
      this.gateways.forEach((dispatcher, i) =>
        dispatcher.handleLoadReport({...load, share: shares[i]}, gateways),
      );
    });
    this.clock.after(REPORT_INTERVAL_MS, () =>
      this.report(id, group, endpoint, nextTurn),
    );
  }

  private scheduleRequest(): void {
    const perS = this.settings.requestsPerS(this.clock.elapsedMs());
    // Rounding each interval up to a millisecond would lower the rate.
    this.dueMs += (-Math.log(1 - this.random()) * MS_PER_S) / perS;
    this.clock.after(this.dueMs - this.clock.elapsedMs(), () => {
      const index = Math.floor(this.random() * this.gateways.length);
      this.submit(this.gateways[index]!);
      this.scheduleRequest();
    });
  }

  private submit(dispatcher: RequestDispatcher): void {
    const arrivedMs = this.clock.elapsedMs();
    let endpointId: string | undefined;
    const end = () => {
      request.ended = true;
      exchange.hasEnded = true;
      const result = {outcome: '', status: 0, tries: []};
      dispatcher.finishExchange(exchange as unknown as Exchange, result);
    };
    const release = (evidence: 'works' | 'rejects' | 'none') => {
      const sent = exchange as unknown as Exchange;
      if (endpointId !== undefined) {
        dispatcher.releaseEndpoint(sent, endpointId, evidence);
      }
      endpointId = undefined;
    };
    const request: Request = {
      running: false,
      ended: false,
      start: () => {
        request.running = true;
      },
      complete: () => {
        this.completed += 1;
        release('works');
        end();
      },
    };
    const exchange = {
      incoming: {
        service: 's',
        route: ROUTE,
        account: undefined,
        arrivedMs,
        metadata: {requestId: '', sharedParts: []},
      },
      deadlineMs: arrivedMs + ROUTE.timeoutMs,
      triedEndpoints: new Set<string>(),
      hasEnded: false,
      hasAnswerBegun: false,
      refuse: () => {
        this.refused += 1;
        end();
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
          else exchange.refuse();
        });
      },
    };
    this.clock.after(ABANDON_MS, () => {
      if (request.ended || request.running) return;
      this.callersLeft += 1;
      if (endpointId !== undefined) this.leftAtEndpoint += 1;
      release('none');
      end();
    });
    dispatcher.submit(exchange as unknown as Exchange);
  }

  /** Whether the endpoint took the request. */
  private deliver(id: string, request: Request): boolean {
    const endpoint = this.endpoints.get(id)!;
    const endpoints = [...this.endpoints.values()];
    this.arrivals += 1;
    if (!endpoint.hasFreeSlot && endpoints.some(e => e.hasFreeSlot)) {
      this.needlessWaits += 1;
    }
    const isTaken = endpoint.offer(request);
    this.mostHeld = Math.max(this.mostHeld, endpoint.held);
    return isTaken;
  }
}
