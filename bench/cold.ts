/**
 * Row: requests above the capacity of a cold endpoint.
 *
 * Ten entries see stale load reports and send to one endpoint whatever the
 * report says fits. The engine starts cold and restarts in the middle of the
 * run, when all reports still call it warm. Until it has run enough steps it
 * bears only its cold capacity. The baseline is the same sidecar without
 * grants: it admits every offer.
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
const COLD = 4;
const WARM = 32;
/** Steps that the engine needs before it bears its full load. */
const ENGINE_WARM_STEPS = 50;
const STEP_MS = 30;
const COLLAPSE = 20;
const LINK_MS = 1;
const REPORT_MS = 250;
const REPORT_DELAY_MS = 500;
const OBSERVE_MS = 200;
const TICK_MS = 100;
/** Mean time between the requests of one entry. */
const ARRIVAL_MS = 250;
const OUTPUT = {min: 20, max: 60};
const RESTART_MS = 30_000;
const END_MS = 60_000;

interface Job {
  readonly offer: Offer;
  left: number;
}

interface Result {
  /** Requests begun while the engine already ran all that it bears. */
  readonly above: number;
  readonly served: number;
  /** Requests above the capacity after the restart alone. */
  readonly aboveAfterRestart: number;
}

const EMPTY = new Uint8Array(0);

class Simulation {
  private readonly events = new Events();
  private readonly random: () => number;
  private state;
  private jobs: Job[] = [];
  private instance = 1;
  private steps = 0;
  private seenSteps = 0;
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
      coldConcurrent: COLD,
      maxConcurrent: WARM,
      kvTokens: 1_000_000,
      targetStepMs: 50,
      enforceBounds: bounded,
    });
    this.report = loadOf(this.state);
    this.every(TICK_MS, () => this.tell({kind: 'tick'}));
    this.every(OBSERVE_MS, () => this.observe());
    this.every(REPORT_MS, () => {
      const load = loadOf(this.state);
      this.events.after(REPORT_DELAY_MS, () => (this.report = load));
    });
    for (let e = 0; e < ENTRIES; e += 1) this.arrive(`e${e}`);
    this.events.after(RESTART_MS, () => this.restart());
  }

  run(): Result {
    this.events.runUntil(END_MS);
    const {above, served, aboveAfterRestart} = this;
    return {above, served, aboveAfterRestart};
  }

  private every(intervalMs: number, action: () => void): void {
    this.events.after(intervalMs, () => {
      action();
      this.every(intervalMs, action);
    });
  }

  private arrive(entry: string): void {
    this.events.after(exponential(this.random, ARRIVAL_MS), () => {
      const {running, waiting} = this.report;
      // Each entry believes that the free slots of the report are its own.
      if (running + waiting < WARM) this.offer(entry);
      this.arrive(entry);
    });
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
      maxOutputTokens: OUTPUT.max,
      prefixHashes: [],
      priority: 5,
      deadlineMs: this.events.nowMs + 10_000,
      idempotent: true,
    };
    this.later({kind: 'offer', entry, offer});
  }

  private later(message: AdmissionMessage): void {
    this.events.after(LINK_MS, () => this.tell(message));
  }

  private tell(message: AdmissionMessage): void {
    const now = new Date(this.events.nowMs);
    const {state, effects} = decideAdmission(this.state, message, now);
    this.state = state;
    for (const effect of effects) this.carryOut(effect);
  }

  private carryOut(effect: AdmissionEffect): void {
    if (effect.kind === 'run') return this.begin(effect.offer);
    if (effect.kind !== 'grant') return;
    const {entry, grant} = effect;
    const {grantId, requestId, attempt} = grant;
    const call = {method: 'POST', path: '/', headers: [], body: EMPTY};
    const offsets = {resumeOffset: 0, creditBytes: 0};
    const start = {grantId, requestId, attempt, ...call, ...offsets};
    this.events.after(LINK_MS, () => this.later({kind: 'start', entry, start}));
  }

  private capacity(): number {
    return this.steps < ENGINE_WARM_STEPS ? COLD : WARM;
  }

  private begin(offer: Offer): void {
    const {min, max} = OUTPUT;
    const left = min + Math.floor(this.random() * (max - min + 1));
    if (this.jobs.length >= this.capacity()) {
      this.above += 1;
      if (this.events.nowMs >= RESTART_MS) this.aboveAfterRestart += 1;
    }
    this.jobs.push({offer, left});
    if (!this.stepping) this.step();
  }

  /** One token for each request; an overloaded engine collapses. */
  private step(): void {
    this.stepping = this.jobs.length > 0;
    if (!this.stepping) return;
    const overloaded = this.jobs.length > this.capacity();
    const stepMs = overloaded ? STEP_MS * COLLAPSE : STEP_MS;
    const {instance} = this;
    this.events.after(stepMs, () => {
      if (instance !== this.instance) return;
      this.steps += 1;
      this.lastStepMs = stepMs;
      const ended = this.jobs.filter(job => (job.left -= 1) === 0);
      this.jobs = this.jobs.filter(job => job.left > 0);
      for (const {offer} of ended) this.end(offer);
      this.step();
    });
  }

  private end(offer: Offer): void {
    this.served += 1;
    this.tell({kind: 'ended', ref: offer, tokens: 100 + OUTPUT.min});
  }

  /** Every call to the engine breaks, one after another. */
  private restart(): void {
    const broken = this.jobs;
    this.jobs = [];
    this.instance += 1;
    this.steps = 0;
    this.stepping = false;
    for (const {offer} of broken) {
      this.tell({kind: 'suspect'});
      this.tell({kind: 'ended', ref: offer, tokens: 0});
    }
    if (broken.length > 0) this.later({kind: 'engine', instance: this.name()});
  }

  private name(): string {
    return `g${this.instance}`;
  }

  private observe(): void {
    this.tell({kind: 'engine', instance: this.name()});
    const steps =
      this.steps >= this.seenSteps ? this.steps - this.seenSteps : this.steps;
    this.seenSteps = this.steps;
    if (steps === 0) return;
    const {lastStepMs: stepMs} = this;
    this.tell({kind: 'step', stepMs, batch: this.jobs.length, steps});
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
        baseline: all.above,
        current: granted.above,
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
