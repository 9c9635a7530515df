/**
 * Row: requests above the capacity of a cold endpoint.
 *
 * Ten entries see stale load reports and send to one endpoint as long as the
 * report shows free slots. The engine starts cold and restarts in the middle
 * of the run, when the reports still show it as warm. Until it has run enough
 * steps it can run only as many requests as its cold capacity. The baseline is
 * the same sidecar without limits: it admits every offer.
 */
import {
  AdmissionEffect,
  AdmissionMessage,
  decideAdmission,
  initialAdmission,
  loadOf,
} from '../src/capacity/admission';
import {Load, Offer} from '../src/wire/messages';
import {Events, exponential, seeded} from './events';
import {Measurement, Row} from './row';

const ENTRIES = 10;
const COLD_CAPACITY = 4;
const WARM_CAPACITY = 32;
/** Steps that the engine must run before it reaches its warm capacity. */
const ENGINE_WARM_STEPS = 50;
const STEP_MS = 30;
/** How many times longer a step takes above the capacity. */
const OVERLOAD_SLOWDOWN = 20;
const LINK_MS = 1;
const REPORT_INTERVAL_MS = 250;
const REPORT_DELAY_MS = 500;
const OBSERVE_INTERVAL_MS = 200;
const TICK_INTERVAL_MS = 100;
/** Between the requests of one entry. */
const MEAN_ARRIVAL_INTERVAL_MS = 250;
const OUTPUT_TOKENS = {min: 20, max: 60};
const RESTART_AT_MS = 30_000;
const END_MS = 60_000;

interface Job {
  readonly offer: Offer;
  tokensLeft: number;
}

interface Result {
  /** Requests begun while the engine was already at its capacity. */
  readonly aboveCapacity: number;
  readonly served: number;
  /** Those of them that began after the restart. */
  readonly aboveAfterRestart: number;
}

const EMPTY_BODY = new Uint8Array(0);

class Simulation {
  private readonly events = new Events();
  private readonly random: () => number;
  private state;
  private jobs: Job[] = [];
  private instance = 1;
  private steps = 0;
  private observedSteps = 0;
  private lastStepMs = 0;
  private stepping = false;
  private report: Load;
  private above = 0;
  private aboveAfterRestart = 0;
  private served = 0;
  private count = 0;

  constructor(seed: number, bounded: boolean) {
    this.random = seeded(seed);
    this.state = initialAdmission({
      instance: 's',
      incarnation: 'i',
      zone: 'z',
      coldConcurrent: COLD_CAPACITY,
      maxConcurrent: WARM_CAPACITY,
      kvTokens: 1_000_000,
      targetStepMs: 50,
      enforceBounds: bounded,
    });
    this.report = loadOf(this.state);
    this.repeatEvery(TICK_INTERVAL_MS, () => this.decide({kind: 'tick'}));
    this.repeatEvery(OBSERVE_INTERVAL_MS, () => this.observe());
    this.repeatEvery(REPORT_INTERVAL_MS, () => {
      const load = loadOf(this.state);
      this.events.after(REPORT_DELAY_MS, () => (this.report = load));
    });
    for (let e = 0; e < ENTRIES; e += 1) this.scheduleArrival(`e${e}`);
    this.events.after(RESTART_AT_MS, () => this.restart());
  }

  run(): Result {
    this.events.runUntil(END_MS);
    const {above, served, aboveAfterRestart} = this;
    return {aboveCapacity: above, served, aboveAfterRestart};
  }

  private repeatEvery(intervalMs: number, action: () => void): void {
    this.events.after(intervalMs, () => {
      action();
      this.repeatEvery(intervalMs, action);
    });
  }

  private scheduleArrival(entry: string): void {
    this.events.after(
      exponential(this.random, MEAN_ARRIVAL_INTERVAL_MS),
      () => {
        const {running, waiting} = this.report;
        // Each entry counts all free slots of the report as its own.
        if (running + waiting < WARM_CAPACITY) this.offer(entry);
        this.scheduleArrival(entry);
      },
    );
  }

  private offer(entry: string): void {
    this.count += 1;
    const offer: Offer = {
      requestId: `r${this.count}`,
      attempt: 1,
      account: 'a',
      caller: 'x',
      targetKind: 'model',
      target: 'm',
      promptTokens: 100,
      maxOutputTokens: OUTPUT_TOKENS.max,
      prefixHashes: [],
      priority: 5,
      deadlineMs: this.events.nowMs + 10_000,
      idempotent: true,
    };
    this.deliver({kind: 'offer', entry, offer});
  }

  private deliver(message: AdmissionMessage): void {
    this.events.after(LINK_MS, () => this.decide(message));
  }

  private decide(message: AdmissionMessage): void {
    const now = new Date(this.events.nowMs);
    const {state, effects} = decideAdmission(this.state, message, now);
    this.state = state;
    for (const effect of effects) this.applyEffect(effect);
  }

  private applyEffect(effect: AdmissionEffect): void {
    if (effect.kind === 'run') return this.begin(effect.offer);
    if (effect.kind !== 'grant') return;
    const {entry, grant} = effect;
    const {grantId, requestId, attempt} = grant;
    const call = {method: 'POST', path: '/', headers: [], body: EMPTY_BODY};
    const offsets = {resumeOffset: 0, creditBytes: 0};
    const start = {grantId, requestId, attempt, ...call, ...offsets};
    this.events.after(LINK_MS, () =>
      this.deliver({kind: 'start', entry, start}),
    );
  }

  private capacity(): number {
    return this.steps < ENGINE_WARM_STEPS ? COLD_CAPACITY : WARM_CAPACITY;
  }

  private begin(offer: Offer): void {
    const {min, max} = OUTPUT_TOKENS;
    const left = min + Math.floor(this.random() * (max - min + 1));
    if (this.jobs.length >= this.capacity()) {
      this.above += 1;
      if (this.events.nowMs >= RESTART_AT_MS) this.aboveAfterRestart += 1;
    }
    this.jobs.push({offer, tokensLeft: left});
    if (!this.stepping) this.step();
  }

  /**
   * Runs one step, which gives each request a token. Above the capacity a step
   * takes `OVERLOAD_SLOWDOWN` times as long.
   */
  private step(): void {
    this.stepping = this.jobs.length > 0;
    if (!this.stepping) return;
    const overloaded = this.jobs.length > this.capacity();
    const stepMs = overloaded ? STEP_MS * OVERLOAD_SLOWDOWN : STEP_MS;
    const {instance} = this;
    this.events.after(stepMs, () => {
      if (instance !== this.instance) return;
      this.steps += 1;
      this.lastStepMs = stepMs;
      const ended = this.jobs.filter(job => (job.tokensLeft -= 1) === 0);
      this.jobs = this.jobs.filter(job => job.tokensLeft > 0);
      for (const {offer} of ended) this.end(offer);
      this.step();
    });
  }

  private end(offer: Offer): void {
    this.served += 1;
    this.decide({kind: 'ended', ref: offer, tokens: 100 + OUTPUT_TOKENS.min});
  }

  /** Restarts the engine, which breaks all its calls, one after another. */
  private restart(): void {
    const broken = this.jobs;
    this.jobs = [];
    this.instance += 1;
    this.steps = 0;
    this.stepping = false;
    for (const {offer} of broken) {
      this.decide({kind: 'suspect'});
      this.decide({kind: 'ended', ref: offer, tokens: 0});
    }
    if (broken.length > 0)
      this.deliver({kind: 'engine', instance: this.name()});
  }

  private name(): string {
    return `g${this.instance}`;
  }

  private observe(): void {
    this.decide({kind: 'engine', instance: this.name()});
    const steps =
      this.steps >= this.observedSteps
        ? this.steps - this.observedSteps
        : this.steps;
    this.observedSteps = this.steps;
    if (steps === 0) return;
    const {lastStepMs: stepMs} = this;
    this.decide({kind: 'step', stepMs, batch: this.jobs.length, steps});
  }
}

export const row: Row = {
  name: 'cold',
  seed: 2,
  async run(seed): Promise<readonly Measurement[]> {
    const granted = new Simulation(seed, true).run();
    const all = new Simulation(seed, false).run();
    return [
      {
        name: 'requests above the capacity of a cold endpoint',
        unit: 'requests',
        baseline: all.aboveCapacity,
        current: granted.aboveCapacity,
        bound: {relation: 'at most', value: 0},
        portable: true,
        note: 'baseline admits every offer',
      },
      {
        name: 'of these after a restart in mid-run',
        unit: 'requests',
        baseline: all.aboveAfterRestart,
        current: granted.aboveAfterRestart,
        bound: {relation: 'at most', value: 0},
        portable: true,
      },
      {
        name: 'requests served in 60 s',
        unit: 'requests',
        baseline: all.served,
        current: granted.served,
        portable: true,
      },
    ];
  },
};
