/**
 * Entries, sidecars, callers and the table in virtual time, for the `orders`
 * row. The claims task and the outcome table are the real ones.
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {AskOutcome} from '../../src/claims/claim';
import {ClaimRequest, Claims} from '../../src/claims/claims';
import {
  ask,
  begin,
  finish,
  newOutcomeState,
  OUTCOME_LIMITS,
  OutcomeState,
  Recorded,
} from '../../src/claims/outcomes';
import {rowKey} from '../../src/claims/rows';
import {ClaimsTask} from '../../src/claims/task';
import {Row} from '../../src/platform/client';
import {AttemptRef} from '../../src/wire/messages';
import {Check, Owner, ownerOf, Watermark} from './owners';
import {SimulatedTable} from './simulatedtable';
import {VirtualClock} from './virtualclock';

export interface Outcome {
  readonly placed: number;
  readonly duringOutage: number;
  readonly refusedInOutage: number;
  /** Answered while the table was down. */
  readonly servedInOutage: number;
  /** Callers whose last answer was "unknown". */
  readonly leftUnknown: number;
  readonly answered: number;
  readonly doubleRuns: number;
  readonly wronglyNotRun: number;
  readonly unresolved: number;
  readonly killedEntries: number;
  readonly killedSidecars: number;
}

interface Entry {
  alive: boolean;
  readonly name: string;
  /** Resolves when the entry is killed and its callers' connections break. */
  readonly died: Promise<undefined>;
  readonly kill: () => void;
  readonly claims: Claims;
}

interface Sidecar {
  alive: boolean;
  readonly name: string;
  readonly incarnation: string;
  outcomes: OutcomeState;
  readonly owner: Owner;
}

interface Order {
  readonly key: string;
  readonly mintedMs: number;
  last: Seen | '';
  answeredInOutage: boolean;
  readonly inOutage: boolean;
  refused: boolean;
  answered: boolean;
}

/** What a caller sees of one request. */
type Seen = 'ran' | 'not-run' | 'unknown' | 'broken';

const HOP_MS = 1;
/** The order application, before and after the order takes effect. */
const WORK_MS = 40;
const ENTRIES = 3;
const SIDECARS = 3;
const REPEAT_MS = 5_000;
const MAX_REPEATS = 400;
const ASK_TIMEOUT_MS = 500;
/** How often an owner writes its watermark. */
const MARK_MS = 1_000;

export class OrderWorld {
  private readonly clock = new VirtualClock();
  private readonly random;
  private readonly table = new SimulatedTable(this.clock);
  private readonly entries: Entry[] = [];
  private readonly sidecars: Sidecar[] = [];
  private readonly orders: Order[] = [];
  private readonly runs = new Map<string, number>();
  private readonly ranRefs = new Set<string>();
  private serial = 0;
  private wronglyNotRun = 0;
  private killedEntries = 0;
  private killedSidecars = 0;

  private readonly watermarks: Watermark[] = [];

  /**
   * Without claims every request is started at once. With `owners` each key
   * has an owner sidecar, which runs it while the table is down.
   */
  constructor(
    seed: number,
    private readonly useClaims: boolean,
    private readonly owners?: Check,
  ) {
    for (let i = 0; i < SIDECARS; i++) {
      this.watermarks.push({markMs: this.clock.nowMs, gaps: []});
    }
    this.random = xoroshiro128plus(seed);
    for (let i = 0; i < ENTRIES; i++) this.entries.push(this.newEntry(i));
    for (let i = 0; i < SIDECARS; i++) this.sidecars.push(this.newSidecar(i));
  }

  at(ms: number, action: () => void): void {
    this.clock.after(ms, action);
  }

  async run(endMs: number): Promise<void> {
    if (this.owners) this.markLater();
    await this.clock.run(endMs);
  }

  private markLater(): void {
    this.clock.after(MARK_MS, () => {
      if (this.table.up) this.sidecars.forEach((s, i) => this.mark(s, i));
      this.markLater();
    });
  }

  private mark({owner}: Sidecar, index: number): void {
    const write = (key: string) => this.recordOwned(key);
    owner.mark(this.watermarks[index]!, this.clock.nowMs, write);
  }

  /** Writes the row of a key that ran without one. */
  private recordOwned(key: string): boolean {
    const name = rowKey({account: 'a', service: 's', key});
    const {state} = (this.table.row(name).value ?? {}) as {state?: string};
    if (state === 'done') return true;
    const value = {
      state: 'done',
      bodyHash: 'b',
      attempt: 1,
      requestId: this.requestId(),
      requestAttempt: 1,
      holder: 'owner',
      sidecar: 'owner',
      incarnation: '',
      changedMs: this.clock.nowMs,
      answer: {status: 201, headers: [], body: ''},
    };
    this.table.put(name, value);
    return true;
  }

  setTable(up: boolean): void {
    this.table.up = up;
  }

  killEntry(index: number): void {
    const i = index % ENTRIES;
    this.entries[i]!.alive = false;
    this.entries[i]!.kill();
    this.entries[i] = this.newEntry(i);
    this.killedEntries += 1;
  }

  killSidecar(index: number): void {
    const i = index % SIDECARS;
    this.sidecars[i]!.alive = false;
    this.sidecars[i] = this.newSidecar(i);
    this.killedSidecars += 1;
  }

  /** A caller places an order and repeats its key until it is answered. */
  place(key: string, inOutage: boolean): void {
    const order: Order = {
      key,
      mintedMs: this.clock.nowMs,
      inOutage,
      refused: false,
      answered: false,
      answeredInOutage: false,
      last: '',
    };
    this.orders.push(order);
    void this.call(order);
  }

  claimRows(): readonly Row[] {
    return this.table.claims();
  }

  outcome(countUnresolved: (now: Date) => number): Outcome {
    const count = (test: (order: Order) => boolean) =>
      this.orders.filter(test).length;
    return {
      placed: this.orders.length,
      duringOutage: count(o => o.inOutage),
      refusedInOutage: count(o => o.inOutage && o.refused),
      answered: count(o => o.answered),
      servedInOutage: count(o => o.answeredInOutage),
      leftUnknown: count(o => !o.answered && o.last === 'unknown'),
      doubleRuns: [...this.runs.values()].filter(n => n > 1).length,
      wronglyNotRun: this.wronglyNotRun,
      unresolved: countUnresolved(this.clock.now()),
      killedEntries: this.killedEntries,
      killedSidecars: this.killedSidecars,
    };
  }

  private async call(order: Order): Promise<void> {
    for (let tries = 0; tries < MAX_REPEATS; tries++) {
      const seen = await this.request(order);
      order.last = seen;
      if (seen === 'not-run' && tries === 0) order.refused = true;
      if (seen === 'ran') {
        order.answered = true;
        order.answeredInOutage = order.inOutage && !this.table.up;
        return;
      }
      await this.pause(REPEAT_MS);
    }
  }

  private async request(order: Order): Promise<Seen> {
    const {key} = order;
    const entry = this.pick(this.entries);
    const sidecar = this.sidecarFor(key);
    const request: ClaimRequest = {
      account: 'a',
      service: 's',
      key,
      bodyHash: 'b',
      requestId: this.requestId(),
      attempt: 1,
      holder: entry.name,
      sidecar: sidecar.name,
      incarnation: sidecar.incarnation,
    };
    // An offer and its grant.
    await this.pause(2 * HOP_MS);
    const claim = entry.claims.claim(request);
    const outcome = await Promise.race([claim, entry.died]);
    if (!outcome || !entry.alive) return 'broken';
    if (outcome.kind === 'recorded') return 'ran';
    if (outcome.kind === 'unavailable') {
      if (!this.owners) return this.notRun(request);
      return this.startOwned(entry, sidecar, request, order);
    }
    if (outcome.kind !== 'claimed') return 'unknown';
    return this.start(entry, sidecar, request, order);
  }

  private sidecarFor(key: string): Sidecar {
    if (!this.owners) return this.pick(this.sidecars);
    const name = ownerOf(
      key,
      this.sidecars.map(s => s.name),
    );
    return this.sidecars.find(s => s.name === name)!;
  }

  /** The table is down: the owner alone decides. */
  private async startOwned(
    entry: Entry,
    sidecar: Sidecar,
    request: ClaimRequest,
    order: Order,
  ): Promise<Seen> {
    await this.pause(HOP_MS);
    if (!sidecar.alive) return 'unknown';
    const reply = sidecar.owner.beginWithoutStore(order, this.clock.nowMs);
    if (reply === 'refused') return this.notRun(request);
    if (reply === 'ran') return 'ran';
    if (reply !== 'run') return 'unknown';
    await this.execute(request);
    if (!sidecar.alive) return 'unknown';
    sidecar.owner.finish(request.key);
    await this.pause(HOP_MS);
    return entry.alive ? 'ran' : 'broken';
  }

  private async start(
    entry: Entry,
    sidecar: Sidecar,
    request: ClaimRequest,
    order: Order,
  ): Promise<Seen> {
    await this.pause(HOP_MS);
    if (!sidecar.alive) return 'unknown';
    if (this.owners) {
      const row = this.watermarks[this.sidecars.indexOf(sidecar)]!;
      const reply = sidecar.owner.beginWithStore(order, row);
      if (reply === 'ran') this.recordOwned(request.key);
      if (reply === 'ran') return 'ran';
      // The claim row stays and is listed as unresolved.
      if (reply !== 'run') return 'unknown';
    }
    const {state, allowed} = begin(sidecar.outcomes, request, this.clock.now());
    sidecar.outcomes = state;
    if (!allowed) {
      void entry.claims.release(request);
      return this.notRun(request);
    }
    const answer = await this.execute(request);
    if (!sidecar.alive) return 'unknown';
    const now = this.clock.now();
    sidecar.outcomes = finish(sidecar.outcomes, request, answer, now);
    sidecar.owner.finish(request.key);
    await this.pause(HOP_MS);
    if (!entry.alive) return 'broken';
    void entry.claims.record(request, answer);
    return 'ran';
  }

  /** The application carries on whatever becomes of its callers. */
  private async execute({key, requestId}: ClaimRequest): Promise<Recorded> {
    await this.pause(WORK_MS);
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
    this.ranRefs.add(requestId);
    await this.pause(WORK_MS);
    return {status: 201, headers: [], body: new Uint8Array(200)};
  }

  private notRun({requestId}: ClaimRequest): Seen {
    if (this.ranRefs.has(requestId)) this.wronglyNotRun += 1;
    return 'not-run';
  }

  private newEntry(index: number): Entry {
    let kill = () => {};
    const died = new Promise<undefined>(done => {
      kill = () => done(undefined);
    });
    const life = {alive: true, name: `entry-${index}`, died, kill};
    if (!this.useClaims) return {...life, claims: NO_CLAIMS};
    const claims = new ClaimsTask({
      platform: this.table.seenBy(life),
      clock: this.clock,
      log: () => undefined,
      ask: (sidecar, incarnation, ref) => this.ask(sidecar, incarnation, ref),
    });
    return Object.assign(life, {claims});
  }

  private newSidecar(index: number): Sidecar {
    return {
      alive: true,
      name: `sidecar-${index}`,
      incarnation: `i${this.serial++}`,
      outcomes: newOutcomeState(OUTCOME_LIMITS),
      owner: this.newOwner(index),
    };
  }

  /** It reads its watermark at its start, or once the table is up. */
  private newOwner(index: number): Owner {
    const {nowMs} = this.clock;
    const {markMs} = this.watermarks[index]!;
    const check = this.owners ?? 'plain';
    return new Owner(check, nowMs, this.table.up ? markMs : 0);
  }

  private async ask(
    name: string,
    incarnation: string,
    ref: AttemptRef,
  ): Promise<AskOutcome> {
    await this.pause(2 * HOP_MS);
    const sidecar = this.sidecars.find(s => s.name === name);
    if (!sidecar) {
      await this.pause(ASK_TIMEOUT_MS);
      return {kind: 'unreachable'};
    }
    if (sidecar.incarnation !== incarnation) return {kind: 'unknown'};
    const {state, answer} = ask(sidecar.outcomes, ref, this.clock.now());
    sidecar.outcomes = state;
    const {outcome, status, headers, body} = answer;
    if (outcome !== 'ran') return {kind: outcome};
    return {kind: 'ran', answer: {status, headers, body}};
  }

  private pause(ms: number): Promise<void> {
    return new Promise(done => this.clock.after(ms, done));
  }

  private pick<T>(from: readonly T[]): T {
    return from[(this.random.next() >>> 8) % from.length]!;
  }

  /** A UUID of version 7. */
  private requestId(): string {
    const time = this.clock.nowMs.toString(16).padStart(12, '0');
    const serial = (this.serial++).toString(16).padStart(12, '0');
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${serial}`;
  }
}

const NO_CLAIMS: Claims = {
  claim: async () => ({kind: 'claimed'}),
  record: async () => undefined,
  release: async () => 'released',
};
