/**
 * Row: fairness between accounts, and between the callers of one account.
 *
 * Ten members (accounts, or callers of one account) send through 6 entries to
 * 12 endpoints. One offers 20 times its even share, four offer three times
 * theirs and five offer 0.3 times theirs. The admission decisions of the
 * sidecars run in simulated time; an engine is a fixed service time for each
 * prompt token and each output token. There are two baselines: the same with
 * FIFO order, and limits per entry without grants, where each entry allows
 * each member an even part of the capacity.
 */
import {
  AdmissionEffect,
  AdmissionMessage,
  AdmissionState,
  decideAdmission,
  initialAdmission,
  attemptKey,
} from '../src/capacity/admission';
import {QueueOrder} from '../src/capacity/queue';
import {Offer, Start} from '../src/wire/messages';
import {Events, exponential, seeded} from './events';
import {Measurement, Row} from './row';
import {quantile} from './support/figures';

const ENTRIES = 6;
const SIDECARS = 12;
const SLOTS_PER_SIDECAR = 32;
const MEMBERS = 10;
const LARGEST_MEMBER = 0;
const FIRST_SMALL = 5;
/** Demand of each member as a multiple of its even share. */
const DEMAND_BY_MEMBER = [20, 3, 3, 3, 3, 0.3, 0.3, 0.3, 0.3, 0.3];

const LINK_MS = 1;
const PREFILL_MS_PER_TOKEN = 0.2;
const DECODE_STEP_MS = 30;
const PROMPT_TOKENS = {min: 200, max: 800};
const OUTPUT_TOKENS = {min: 20, max: 60};
const MAX_OUTPUT_TOKENS = 128;
const QUEUE_TIMEOUT_MS = 10_000;
const TICK_MS = 100;
const WARM_UP_MS = 10_000;
const MEASURED_MS = 20_000;

type Policy = QueueOrder | 'entryLimits';
type Level = 'account' | 'caller';

interface Request {
  readonly offer: Offer;
  readonly member: number;
  readonly entry: number;
  readonly output: number;
  readonly arrivedMs: number;
  /** Sidecars that were sent an offer of this request. */
  offered: readonly number[];
  started: boolean;
}

interface Result {
  /** Tokens served to each member after the warm-up. */
  readonly served: readonly number[];
  /** Times to the first token of the small members' requests. */
  readonly firstTokenMs: readonly number[];
  /** Mean fraction of the slots in use. */
  readonly busyFraction: number;
}

const EMPTY_BODY = new Uint8Array(0);

function meanServiceMs(): number {
  const prompt = (PROMPT_TOKENS.min + PROMPT_TOKENS.max) / 2;
  const output = (OUTPUT_TOKENS.min + OUTPUT_TOKENS.max) / 2;
  return prompt * PREFILL_MS_PER_TOKEN + output * DECODE_STEP_MS;
}

class Simulation {
  private readonly events = new Events();
  private readonly random: () => number;
  private readonly states: AdmissionState[] = [];
  private readonly running: number[] = new Array<number>(SIDECARS).fill(0);
  private readonly requests = new Map<string, Request>();
  private readonly served: number[] = new Array<number>(MEMBERS).fill(0);
  private readonly waits: number[] = [];
  private busyMs = 0;
  private count = 0;
  /**
   * Baseline with limits per entry only: requests in flight and held back, by
   * entry and member.
   */
  private readonly inFlight = new Map<string, number>();
  private readonly heldBack = new Map<string, Request[]>();

  constructor(
    seed: number,
    private readonly policy: Policy,
    private readonly level: Level,
    private readonly members: readonly number[],
  ) {
    this.random = seeded(seed);
    for (let s = 0; s < SIDECARS; s += 1) {
      const state = initialAdmission({
        instance: `s${s}`,
        incarnation: `i${s}`,
        zone: 'z',
        coldConcurrent: SLOTS_PER_SIDECAR,
        maxConcurrent: SLOTS_PER_SIDECAR,
        kvTokens: SLOTS_PER_SIDECAR * (PROMPT_TOKENS.max + MAX_OUTPUT_TOKENS),
        targetStepMs: 50,
        order: policy === 'fifo' ? 'fifo' : 'fair',
        enforceBounds: policy !== 'entryLimits',
      });
      this.states.push(state);
      this.scheduleTick(s);
    }
    for (const member of members) this.scheduleArrival(member);
  }

  run(): Result {
    this.events.runUntil(WARM_UP_MS + MEASURED_MS);
    const {served, waits} = this;
    const busy = this.busyMs / (MEASURED_MS * SIDECARS * SLOTS_PER_SIDECAR);
    return {served, firstTokenMs: waits, busyFraction: busy};
  }

  private inMeasuredTime(): boolean {
    return this.events.nowMs > WARM_UP_MS;
  }

  private scheduleTick(sidecar: number): void {
    this.events.after(TICK_MS, () => {
      this.decide(sidecar, {kind: 'tick'});
      if (this.inMeasuredTime())
        this.busyMs += this.running[sidecar]! * TICK_MS;
      this.scheduleTick(sidecar);
    });
  }

  /** Schedules the next request of a member; arrivals are a Poisson process. */
  private scheduleArrival(member: number): void {
    const capacity = (SIDECARS * SLOTS_PER_SIDECAR) / meanServiceMs();
    const meanMs = MEMBERS / (capacity * DEMAND_BY_MEMBER[member]!);
    this.events.after(exponential(this.random, meanMs), () => {
      this.submit(this.newRequest(member));
      this.scheduleArrival(member);
    });
  }

  /** The largest member uses all entries, each other member two of them. */
  private chooseEntry(member: number): number {
    const pick = Math.floor(this.random() * ENTRIES);
    return member === LARGEST_MEMBER
      ? pick
      : (member + (pick % 2) * 3) % ENTRIES;
  }

  private newRequest(member: number): Request {
    const between = (r: {min: number; max: number}) =>
      r.min + Math.floor(this.random() * (r.max - r.min + 1));
    const name = `m${member}`;
    this.count += 1;
    const arrivedMs = this.events.nowMs;
    const offer: Offer = {
      requestId: `r${this.count}`,
      attempt: 1,
      account: this.level === 'account' ? name : 'one',
      caller: this.level === 'account' ? 'any' : name,
      targetKind: 'model',
      target: 'm',
      promptTokens: between(PROMPT_TOKENS),
      maxOutputTokens: MAX_OUTPUT_TOKENS,
      prefixHashes: [],
      priority: 5,
      deadlineMs: arrivedMs + QUEUE_TIMEOUT_MS,
      idempotent: true,
    };
    const output = between(OUTPUT_TOKENS);
    const entry = this.chooseEntry(member);
    const fresh = {offered: [], started: false};
    return {offer, member, entry, output, arrivedMs, ...fresh};
  }

  /** Chooses two of the six sidecars that an entry is linked to. */
  private chooseTwoSidecars(entry: number): readonly [number, number] {
    const links = 6;
    const a = Math.floor(this.random() * links);
    const b = (a + 1 + Math.floor(this.random() * (links - 1))) % links;
    return [(entry * 2 + a) % SIDECARS, (entry * 2 + b) % SIDECARS];
  }

  private submit(request: Request): void {
    if (this.policy === 'entryLimits') return this.submitWithinLimit(request);
    this.requests.set(attemptKey(request.offer), request);
    request.offered = this.chooseTwoSidecars(request.entry);
    for (const sidecar of request.offered) {
      this.sendOffer(sidecar, request.entry, request.offer);
    }
  }

  private sendOffer(sidecar: number, entry: number, offer: Offer): void {
    this.deliver(sidecar, {kind: 'offer', entry: `e${entry}`, offer});
  }

  /** Baseline: an entry allows each member an even part of the capacity. */
  private submitWithinLimit(request: Request): void {
    const limit = Math.floor(
      (SIDECARS * SLOTS_PER_SIDECAR) / (MEMBERS * ENTRIES),
    );
    const key = `${request.entry}/${request.member}`;
    const now = this.inFlight.get(key) ?? 0;
    if (now >= limit) {
      const held = this.heldBack.get(key) ?? [];
      this.heldBack.set(key, [...held, request]);
      return;
    }
    this.inFlight.set(key, now + 1);
    this.requests.set(attemptKey(request.offer), request);
    const [a, b] = this.chooseTwoSidecars(request.entry);
    const sidecar = this.running[a]! <= this.running[b]! ? a : b;
    this.sendOffer(sidecar, request.entry, request.offer);
  }

  private releaseLimit({entry, member}: Request): void {
    const key = `${entry}/${member}`;
    this.inFlight.set(key, (this.inFlight.get(key) ?? 1) - 1);
    const fresh = (this.heldBack.get(key) ?? []).filter(
      r => r.offer.deadlineMs > this.events.nowMs,
    );
    const next = fresh.shift();
    this.heldBack.set(key, fresh);
    if (next) this.submitWithinLimit(next);
  }

  private decide(sidecar: number, message: AdmissionMessage): void {
    const now = new Date(this.events.nowMs);
    const decision = decideAdmission(this.states[sidecar]!, message, now);
    this.states[sidecar] = decision.state;
    for (const effect of decision.effects) this.applyEffect(sidecar, effect);
  }

  private applyEffect(sidecar: number, effect: AdmissionEffect): void {
    if (effect.kind === 'run') return this.serve(sidecar, effect.offer);
    if (effect.kind !== 'grant') return;
    const {entry, grant} = effect;
    this.events.after(LINK_MS, () => {
      const request = this.requests.get(attemptKey(grant))!;
      const withdraw: AdmissionMessage = {kind: 'withdraw', entry, ref: grant};
      if (request.started) return this.deliver(sidecar, withdraw);
      request.started = true;
      const start = newStart(grant.grantId, request);
      this.deliver(sidecar, {kind: 'start', entry, start});
      const others = request.offered.filter(other => other !== sidecar);
      for (const other of others) this.deliver(other, withdraw);
    });
  }

  /** Delivers a message from an entry to a sidecar after the link delay. */
  private deliver(sidecar: number, message: AdmissionMessage): void {
    this.events.after(LINK_MS, () => this.decide(sidecar, message));
  }

  private serve(sidecar: number, offer: Offer): void {
    const request = this.requests.get(attemptKey(offer))!;
    const prefillMs = offer.promptTokens * PREFILL_MS_PER_TOKEN;
    const tokens = offer.promptTokens + request.output;
    this.running[sidecar]! += 1;
    const waitMs = this.events.nowMs + prefillMs - request.arrivedMs;
    if (request.member >= FIRST_SMALL && this.inMeasuredTime()) {
      this.waits.push(waitMs);
    }
    this.events.after(prefillMs + request.output * DECODE_STEP_MS, () => {
      this.running[sidecar]! -= 1;
      if (this.inMeasuredTime()) this.served[request.member]! += tokens;
      this.decide(sidecar, {kind: 'ended', ref: offer, tokens});
      if (this.policy === 'entryLimits') this.releaseLimit(request);
    });
  }
}

function newStart(grantId: string, {offer}: Request): Start {
  const {requestId, attempt} = offer;
  const call = {method: 'POST', path: '/', headers: [], body: EMPTY_BODY};
  return {
    ...call,
    grantId,
    requestId,
    attempt,
    resumeOffset: 0,
    creditBytes: 0,
  };
}

/** Jain's fairness index: 1 when all values are equal. */
function jain(values: readonly number[]): number {
  const sum = values.reduce((a, b) => a + b, 0);
  const squares = values.reduce((a, b) => a + b * b, 0);
  return (sum * sum) / (values.length * squares);
}

const ALL_MEMBERS = DEMAND_BY_MEMBER.map((_, member) => member);
const SMALL_MEMBERS = ALL_MEMBERS.slice(FIRST_SMALL);
const BACKLOGGED_MEMBERS = ALL_MEMBERS.slice(0, FIRST_SMALL);

function measureLevel(seed: number, level: Level): readonly Measurement[] {
  const simulate = (policy: Policy, members = ALL_MEMBERS) =>
    new Simulation(seed, policy, level, members).run();
  const idle = quantile(simulate('fair', SMALL_MEMBERS).firstTokenMs, 0.99);
  const fair = simulate('fair');
  const fifo = simulate('fifo');
  const limits = simulate('entryLimits');
  const index = (r: Result) => jain(BACKLOGGED_MEMBERS.map(m => r.served[m]!));
  const wait = (r: Result) => quantile(r.firstTokenMs, 0.99) / idle;
  const total = (r: Result) => r.served.reduce((a, b) => a + b, 0);
  const plural = `${level}s`;
  const limitsNote = (value: number) =>
    `baseline FIFO; limits per entry ${value.toPrecision(4)}`;
  return [
    {
      name: `Jain's index, backlogged ${plural}`,
      unit: 'ratio',
      baseline: index(fifo),
      current: index(fair),
      bound: {relation: 'at least', value: 0.99},
      portable: true,
      note: limitsNote(index(limits)),
    },
    {
      name: `p99 time to first token, small ${plural}, over idle p99`,
      unit: 'ratio',
      baseline: wait(fifo),
      current: wait(fair),
      bound: {relation: 'at most', value: 2},
      portable: true,
      note: `${limitsNote(wait(limits))}; idle ${idle.toFixed(0)} ms`,
    },
    {
      name: `busy slots while offers wait, ${plural}`,
      unit: 'ratio',
      baseline: fifo.busyFraction,
      current: fair.busyFraction,
      bound: {relation: 'at least', value: 0.98},
      portable: true,
      note: limitsNote(limits.busyFraction),
    },
    {
      name: `served tokens over FIFO's, ${plural}`,
      unit: 'ratio',
      current: total(fair) / total(fifo),
      bound: {relation: 'at least', value: 0.98},
      portable: true,
      note: `limits per entry ${(total(limits) / total(fifo)).toPrecision(4)}`,
    },
  ];
}

/** Measures the decision on an offer while 1,000 others wait. */
function measureDecisionTime(): Measurement {
  const waiting = 1_000;
  const rounds = 5_000;
  let state = initialAdmission({
    instance: 's',
    incarnation: 'i',
    zone: 'z',
    coldConcurrent: 1,
    maxConcurrent: 1,
    kvTokens: 1e9,
    targetStepMs: 50,
  });
  const now = new Date(0);
  const offerOf = (n: number): Offer => ({
    requestId: `r${n}`,
    attempt: 1,
    account: `a${n % 100}`,
    caller: `c${n % 7}`,
    targetKind: 'model',
    target: 'm',
    promptTokens: 100,
    maxOutputTokens: 100,
    prefixHashes: [],
    priority: 5,
    deadlineMs: 1e9 + n,
    idempotent: true,
  });
  const tell = (message: AdmissionMessage) => {
    state = decideAdmission(state, message, now).state;
  };
  for (let n = 0; n <= waiting; n += 1) {
    tell({kind: 'offer', entry: 'e', offer: offerOf(n)});
  }
  const times: number[] = [];
  for (let n = 0; n < rounds; n += 1) {
    const offer = offerOf(waiting + 1 + n);
    const startedMs = performance.now();
    tell({kind: 'offer', entry: 'e', offer});
    times.push(performance.now() - startedMs);
    tell({kind: 'withdraw', entry: 'e', ref: offer});
  }
  return {
    name: 'decision p99 for an offer, 1,000 waiting',
    unit: 'us',
    current: quantile(times, 0.99) * 1_000,
    portable: false,
  };
}

export const row: Row = {
  name: 'fairness',
  seed: 4,
  async run(seed) {
    return [
      ...measureLevel(seed, 'account'),
      ...measureLevel(seed, 'caller'),
      measureDecisionTime(),
    ];
  },
};
