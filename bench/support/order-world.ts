/**
 * Simulates entries, sidecars, callers and the claims table in virtual time,
 * for the `orders` row. The claims task and the sidecars' outcome state are
 * those of the product.
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {AskOutcome} from '../../src/claims/claim';
import {ClaimRequest, Claims} from '../../src/claims/claims';
import {
  answerAsk,
  beginAttempt,
  finishAttempt,
  newOutcomeState,
  OUTCOME_LIMITS,
  OutcomeState,
  RecordedAnswer,
} from '../../src/claims/outcomes';
import {rowKey} from '../../src/claims/rows';
import {ClaimsTask} from '../../src/claims/task';
import {Row} from '../../src/platform/client';
import {AttemptRef} from '../../src/wire/messages';
import {OwnerMode, Owner, ownerOf, Watermark} from './owners';
import {SimulatedTable} from './simulatedtable';
import {VirtualClock} from './virtualclock';

export interface OrderCounts {
  readonly placed: number;
  readonly duringOutage: number;
  readonly refusedInOutage: number;
  /** Placed and answered while the table was down. */
  readonly servedInOutage: number;
  /** Orders not answered whose last try ended as "unknown". */
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
  lastOutcome: CallerOutcome | '';
  answeredInOutage: boolean;
  readonly placedInOutage: boolean;
  firstTryRefused: boolean;
  answered: boolean;
}

/** How one request ends for its caller. */
type CallerOutcome = 'ran' | 'not-run' | 'unknown' | 'broken';

const HOP_MS = 1;
/** How long the endpoint works before, and again after, an order counts. */
const HALF_EXECUTION_MS = 40;
const ENTRIES = 3;
const SIDECARS = 3;
const RETRY_DELAY_MS = 5_000;
const MAX_TRIES = 400;
const ASK_TIMEOUT_MS = 500;
/** Interval between the updates of a watermark. */
const WATERMARK_INTERVAL_MS = 1_000;

export class OrderWorld {
  private readonly clock = new VirtualClock();
  private readonly random;
  private readonly table = new SimulatedTable(this.clock);
  private readonly entries: Entry[] = [];
  private readonly sidecars: Sidecar[] = [];
  private readonly orders: Order[] = [];
  private readonly runs = new Map<string, number>();
  private readonly ranRequestIds = new Set<string>();
  private serial = 0;
  private wronglyNotRun = 0;
  private killedEntries = 0;
  private killedSidecars = 0;

  private readonly watermarks: Watermark[] = [];

  /**
   * Without `useClaims` every request starts at once. With `ownerMode` each
   * key has an owner sidecar, which runs it while the table is down.
   */
  constructor(
    seed: number,
    private readonly useClaims: boolean,
    private readonly ownerMode?: OwnerMode,
  ) {
    for (let i = 0; i < SIDECARS; i++) {
      this.watermarks.push({upToMs: this.clock.nowMs, gaps: []});
    }
    this.random = xoroshiro128plus(seed);
    for (let i = 0; i < ENTRIES; i++) this.entries.push(this.newEntry(i));
    for (let i = 0; i < SIDECARS; i++) this.sidecars.push(this.newSidecar(i));
  }

  at(ms: number, action: () => void): void {
    this.clock.after(ms, action);
  }

  async run(endMs: number): Promise<void> {
    if (this.ownerMode) this.scheduleWatermarks();
    await this.clock.run(endMs);
  }

  private scheduleWatermarks(): void {
    this.clock.after(WATERMARK_INTERVAL_MS, () => {
      if (this.table.up)
        this.sidecars.forEach((s, i) => this.updateWatermark(s, i));
      this.scheduleWatermarks();
    });
  }

  private updateWatermark({owner}: Sidecar, index: number): void {
    const write = (key: string) => this.writeOwnedRow(key);
    owner.updateWatermark(this.watermarks[index]!, this.clock.nowMs, write);
  }

  /** Writes the claim row of a key that an owner ran without one. */
  private writeOwnedRow(key: string): boolean {
    const name = rowKey({account: 'a', service: 's', key});
    const {state} = (this.table.row(name).value ?? {}) as {state?: string};
    if (state === 'done') return true;
    const value = {
      state: 'done',
      bodyHash: 'b',
      attempt: 1,
      requestId: this.newRequestId(),
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

  setTableUp(up: boolean): void {
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

  /** Places an order, retried with the same key until it is answered. */
  placeOrder(key: string, placedInOutage: boolean): void {
    const order: Order = {
      key,
      mintedMs: this.clock.nowMs,
      placedInOutage,
      firstTryRefused: false,
      answered: false,
      answeredInOutage: false,
      lastOutcome: '',
    };
    this.orders.push(order);
    void this.callUntilAnswered(order);
  }

  claimRows(): readonly Row[] {
    return this.table.claims();
  }

  counts(countUnresolved: (now: Date) => number): OrderCounts {
    const count = (test: (order: Order) => boolean) =>
      this.orders.filter(test).length;
    return {
      placed: this.orders.length,
      duringOutage: count(o => o.placedInOutage),
      refusedInOutage: count(o => o.placedInOutage && o.firstTryRefused),
      answered: count(o => o.answered),
      servedInOutage: count(o => o.answeredInOutage),
      leftUnknown: count(o => !o.answered && o.lastOutcome === 'unknown'),
      doubleRuns: [...this.runs.values()].filter(n => n > 1).length,
      wronglyNotRun: this.wronglyNotRun,
      unresolved: countUnresolved(this.clock.now()),
      killedEntries: this.killedEntries,
      killedSidecars: this.killedSidecars,
    };
  }

  private async callUntilAnswered(order: Order): Promise<void> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const seen = await this.sendRequest(order);
      order.lastOutcome = seen;
      if (seen === 'not-run' && tries === 0) order.firstTryRefused = true;
      if (seen === 'ran') {
        order.answered = true;
        order.answeredInOutage = order.placedInOutage && !this.table.up;
        return;
      }
      await this.sleep(RETRY_DELAY_MS);
    }
  }

  private async sendRequest(order: Order): Promise<CallerOutcome> {
    const {key} = order;
    const entry = this.pickRandom(this.entries);
    const sidecar = this.sidecarFor(key);
    const request: ClaimRequest = {
      account: 'a',
      service: 's',
      key,
      bodyHash: 'b',
      requestId: this.newRequestId(),
      attempt: 1,
      holder: entry.name,
      sidecar: sidecar.name,
      incarnation: sidecar.incarnation,
    };
    // The offer to the sidecar and its grant.
    await this.sleep(2 * HOP_MS);
    const claim = entry.claims.claim(request);
    const outcome = await Promise.race([claim, entry.died]);
    if (!outcome || !entry.alive) return 'broken';
    if (outcome.kind === 'recorded') return 'ran';
    if (outcome.kind === 'unavailable') {
      if (!this.ownerMode) return this.reportNotRun(request);
      return this.startWithoutClaim(entry, sidecar, request, order);
    }
    if (outcome.kind !== 'claimed') return 'unknown';
    return this.startClaimed(entry, sidecar, request, order);
  }

  private sidecarFor(key: string): Sidecar {
    if (!this.ownerMode) return this.pickRandom(this.sidecars);
    const name = ownerOf(
      key,
      this.sidecars.map(s => s.name),
    );
    return this.sidecars.find(s => s.name === name)!;
  }

  /** Starts an order while the table is down; the owner alone decides. */
  private async startWithoutClaim(
    entry: Entry,
    sidecar: Sidecar,
    request: ClaimRequest,
    order: Order,
  ): Promise<CallerOutcome> {
    await this.sleep(HOP_MS);
    if (!sidecar.alive) return 'unknown';
    const reply = sidecar.owner.beginWithoutStore(order, this.clock.nowMs);
    if (reply === 'refused') return this.reportNotRun(request);
    if (reply === 'ran') return 'ran';
    if (reply !== 'run') return 'unknown';
    await this.execute(request);
    if (!sidecar.alive) return 'unknown';
    sidecar.owner.finish(request.key);
    await this.sleep(HOP_MS);
    return entry.alive ? 'ran' : 'broken';
  }

  private async startClaimed(
    entry: Entry,
    sidecar: Sidecar,
    request: ClaimRequest,
    order: Order,
  ): Promise<CallerOutcome> {
    await this.sleep(HOP_MS);
    if (!sidecar.alive) return 'unknown';
    if (this.ownerMode) {
      const row = this.watermarks[this.sidecars.indexOf(sidecar)]!;
      const reply = sidecar.owner.beginWithStore(order, row);
      if (reply === 'ran') this.writeOwnedRow(request.key);
      if (reply === 'ran') return 'ran';
      // The claim row stays and is listed as unresolved.
      if (reply !== 'run') return 'unknown';
    }
    const {state, allowed} = beginAttempt(
      sidecar.outcomes,
      request,
      this.clock.now(),
    );
    sidecar.outcomes = state;
    if (!allowed) {
      void entry.claims.release(request);
      return this.reportNotRun(request);
    }
    const answer = await this.execute(request);
    if (!sidecar.alive) return 'unknown';
    const now = this.clock.now();
    sidecar.outcomes = finishAttempt(sidecar.outcomes, request, answer, now);
    sidecar.owner.finish(request.key);
    await this.sleep(HOP_MS);
    if (!entry.alive) return 'broken';
    void entry.claims.record(request, answer);
    return 'ran';
  }

  /** The endpoint finishes an order even if its sidecar or entry is killed. */
  private async execute({
    key,
    requestId,
  }: ClaimRequest): Promise<RecordedAnswer> {
    await this.sleep(HALF_EXECUTION_MS);
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
    this.ranRequestIds.add(requestId);
    await this.sleep(HALF_EXECUTION_MS);
    return {status: 201, headers: [], body: new Uint8Array(200)};
  }

  private reportNotRun({requestId}: ClaimRequest): CallerOutcome {
    if (this.ranRequestIds.has(requestId)) this.wronglyNotRun += 1;
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
      platform: this.table.clientOf(life),
      clock: this.clock,
      log: () => undefined,
      ask: (sidecar, incarnation, ref) =>
        this.askSidecar(sidecar, incarnation, ref),
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

  /** The owner reads its watermark now, or when the table is up again. */
  private newOwner(index: number): Owner {
    const {nowMs} = this.clock;
    const {upToMs} = this.watermarks[index]!;
    const mode = this.ownerMode ?? 'plain';
    return new Owner(mode, nowMs, this.table.up ? upToMs : 0);
  }

  private async askSidecar(
    name: string,
    incarnation: string,
    ref: AttemptRef,
  ): Promise<AskOutcome> {
    await this.sleep(2 * HOP_MS);
    const sidecar = this.sidecars.find(s => s.name === name);
    if (!sidecar) {
      await this.sleep(ASK_TIMEOUT_MS);
      return {kind: 'unreachable'};
    }
    if (sidecar.incarnation !== incarnation) return {kind: 'unknown'};
    const {state, answer} = answerAsk(sidecar.outcomes, ref, this.clock.now());
    sidecar.outcomes = state;
    const {outcome, status, headers, body} = answer;
    if (outcome !== 'ran') return {kind: outcome};
    return {kind: 'ran', answer: {status, headers, body}};
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(done => this.clock.after(ms, done));
  }

  private pickRandom<T>(from: readonly T[]): T {
    return from[(this.random.next() >>> 8) % from.length]!;
  }

  /** A UUID of version 7. */
  private newRequestId(): string {
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
