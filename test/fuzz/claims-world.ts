/** The simulated deployment of the claims model: entries, sidecars, callers. */
import {AskOutcome, ClaimResult} from '../../src/claims/claim';
import {ClaimRequest} from '../../src/claims/claims';
import {
  answerAsk,
  failAttempt,
  finishAttempt,
  RecordedAnswer,
} from '../../src/claims/outcomes';
import {ClaimRow, decodeAnswer} from '../../src/claims/rows';
import {AttemptRef} from '../../src/wire/messages';
import type {Tally} from './claims';
import {Call, Oracle, refText, Violation} from './claims-oracle';
import {
  receiveAsk,
  Entry,
  newSidecar,
  Sidecar,
  receiveStart,
  StartReply,
  EntryAttempt,
} from './claims-sidecar';
import {EntryClaims, Table} from './claims-store';
import {pick, SimulatedProcess, ready, Traffic} from './traffic';

const ENTRIES = 3;
const SIDECARS = 2;
const KEYS = 4;
const ASK_TIMEOUT_MS = 300;

export class World {
  steps = 0;
  readonly traffic = new Traffic();
  private serial = 0;
  private readonly table = new Table((key, row) =>
    this.oracle.checkRow(key, row),
  );
  private readonly entries: Entry[] = [];
  private readonly sidecars: Sidecar[] = [];
  private readonly oracle = new Oracle();
  private readonly uncertainRefs = new Set<string>();
  private readonly orphanedAttempts: EntryAttempt[] = [];
  private readonly counts = {tombstones: 0, recorded: 0};

  constructor(private readonly smallLimits: boolean) {
    for (let i = 0; i < ENTRIES; i++) this.entries.push(this.newEntry(i));
    for (let i = 0; i < SIDECARS; i++) this.sidecars.push(this.newSidecar(i));
  }

  // ---- Commands ----

  call(
    entryIndex: number,
    keyIndex: number,
    variant: number,
  ): Call | undefined {
    const entry = pick(this.entries, entryIndex);
    const sidecar = pick(this.sidecars, variant);
    if (!ready(entry) || !ready(sidecar)) return undefined;
    const key = `key/${keyIndex % KEYS}`;
    const bodyHash = variant % 16 === 15 ? 'other' : 'body';
    const request: ClaimRequest = {
      account: 'a',
      service: 's',
      key,
      bodyHash,
      requestId: this.requestId(entry),
      attempt: 1,
      holder: entry.name,
      sidecar: sidecar.name,
      incarnation: sidecar.incarnation,
    };
    const call: Call = {request, phase: 'claiming'};
    entry.calls.set(refText(request), call);
    entry.claims.claim(request, result =>
      this.handleClaimResult(entry, call, result),
    );
    return call;
  }

  advance(ms: number): void {
    this.traffic.nowMs += ms;
  }

  /**
   * The entry assumes that its link to the sidecar is broken, and asks for the
   * outcome of a call.
   */
  suspectLink(entryIndex: number, index: number): void {
    const entry = pick(this.entries, entryIndex);
    const started = [...entry.calls.values()].filter(
      c => c.phase === 'started',
    );
    if (!ready(entry) || started.length === 0) return;
    const call = pick(started, index);
    call.phase = 'asking';
    this.askAboutCall(entry, call);
  }

  expireCallerDeadline(entryIndex: number, index: number): void {
    const entry = pick(this.entries, entryIndex);
    const asking = [...entry.calls.values()].filter(c => c.phase === 'asking');
    if (!ready(entry) || asking.length === 0) return;
    this.oracle.endCall(pick(asking, index), 'unknown');
  }

  killEntry(index: number): void {
    const i = index % ENTRIES;
    this.entries[i]!.alive = false;
    this.entries[i] = this.newEntry(i);
  }

  pauseEntry(index: number): void {
    pick(this.entries, index).paused = true;
  }

  resumeEntry(index: number): void {
    pick(this.entries, index).paused = false;
  }

  /** The endpoint may still run what the sidecar had sent to it. */
  killSidecar(index: number): void {
    const i = index % SIDECARS;
    const old = this.sidecars[i]!;
    old.alive = false;
    this.orphanedAttempts.push(...old.running.values());
    this.sidecars[i] = this.newSidecar(i);
  }

  pauseSidecar(index: number): void {
    pick(this.sidecars, index).paused = true;
  }

  resumeSidecar(index: number): void {
    pick(this.sidecars, index).paused = false;
  }

  setTableUp(up: boolean): void {
    this.table.up = up;
  }

  /** The endpoint runs one of the attempts sent to it, or fails it. */
  execute(index: number, variant: number): void {
    if (this.orphanedAttempts.length > 0 && variant % 5 === 0) {
      const [attempt] = this.orphanedAttempts.splice(
        index % this.orphanedAttempts.length,
        1,
      );
      this.runOnce(attempt!);
      return;
    }
    const sidecar = pick(this.sidecars, index);
    if (!ready(sidecar) || sidecar.running.size === 0) return;
    const attempt = pick([...sidecar.running.values()], variant);
    sidecar.running.delete(refText(attempt.ref));
    if (variant % 11 === 0) this.failAtEndpoint(sidecar, attempt, variant);
    else this.complete(sidecar, attempt);
  }

  // ---- Oracle ----

  /** Ends all faults, repeats each key until it has an outcome, and checks it. */
  settle(): void {
    this.table.up = true;
    for (const p of [...this.entries, ...this.sidecars]) p.paused = false;
    this.quiesce();
    for (let k = 0; k < KEYS; k++) this.settleKey(k);
    this.quiesce();
    for (let k = 0; k < KEYS; k++) this.checkKey(`key/${k}`);
  }

  addTo(tally: Tally): void {
    const {counts} = this;
    tally.steps += this.steps;
    tally.executions += this.oracle.executedRefs.size;
    tally.tombstones += counts.tombstones;
    tally.recorded += counts.recorded;
    tally.unknown += this.oracle.unknownCalls;
    tally.notRun += this.oracle.reportedNotRun.size;
    tally.forgotten += this.sidecars.filter(
      s => s.outcomes.horizonMs > 0,
    ).length;
    tally.keys += KEYS;
  }

  private settleKey(index: number): void {
    const row = this.table.value(`key/${index}`);
    if (!row) return;
    const variant = row.bodyHash === 'other' ? 15 : 0;
    for (let tries = 0; tries < 8; tries++) {
      const call = this.call(tries, index, variant)!;
      this.quiesce();
      if (call.reported === 'ran' || call.reported === 'unknown') return;
    }
    throw new Violation(
      `key ${index} is neither run nor unknown after 8 calls`,
    );
  }

  private checkKey(key: string): void {
    const row = this.table.value(key);
    const runs = this.oracle.runsOf(key);
    if (!row) {
      if (runs > 0) throw new Violation(`${key} ran without a row`);
      return;
    }
    if (row.state === 'done' && runs === 1) return;
    if (row.state === 'unknown' && this.isOutcomeLost(row)) return;
    throw new Violation(`${key} ends in state ${row.state} after ${runs} runs`);
  }

  private isOutcomeLost(row: ClaimRow): boolean {
    const ref = {requestId: row.requestId, attempt: row.requestAttempt};
    if (this.uncertainRefs.has(refText(ref))) return true;
    const sidecar = this.sidecars.find(s => s.name === row.sidecar)!;
    if (sidecar.incarnation !== row.incarnation) return true;
    const {answer} = answerAsk(
      sidecar.outcomes,
      ref,
      new Date(this.traffic.nowMs),
    );
    return this.smallLimits && answer.outcome === 'unknown';
  }

  /** Half of the answers are larger than `maxAnswerBytes` of small limits. */
  private runOnce(attempt: EntryAttempt): RecordedAnswer {
    return this.oracle.runOnce(attempt, this.serial % 2 === 0);
  }

  // ---- Entry ----

  private handleClaimResult(
    entry: Entry,
    call: Call,
    result: ClaimResult,
  ): void {
    switch (result.kind) {
      case 'claimed':
        call.phase = 'started';
        this.sendStart(entry, call);
        break;
      case 'stored':
        this.replay(call, decodeAnswer(result.answer, undefined)!);
        break;
      case 'recorded':
        this.replay(call, result.answer);
        break;
      case 'conflict':
        this.oracle.endCall(call, 'conflict');
        break;
      case 'unavailable':
        this.oracle.endCall(call, 'not-run');
        break;
      case 'running':
      case 'unknown':
        this.oracle.endCall(call, 'unknown');
        break;
    }
  }

  private replay(call: Call, answer: RecordedAnswer): void {
    this.oracle.checkAnswer(call, answer);
    this.counts.recorded += 1;
    this.oracle.endCall(call, 'ran');
  }

  private sendStart(entry: Entry, call: Call): void {
    const {sidecar, incarnation} = call.request;
    this.send(sidecar, target =>
      this.receiveStart(target, incarnation, {
        ref: call.request,
        key: call.request.key,
        bodyHash: call.request.bodyHash,
        entry,
      }),
    );
  }

  private handleStartReply(
    entry: Entry,
    ref: AttemptRef,
    reply: StartReply,
  ): void {
    const call = entry.calls.get(refText(ref));
    if (!call || call.phase === 'claiming' || call.phase === 'over') return;
    const {key} = call.request;
    switch (reply.kind) {
      case 'result':
        entry.claims.record(key, ref, reply.answer);
        this.oracle.checkAnswer(call, reply.answer);
        this.oracle.endCall(call, 'ran');
        break;
      case 'refused':
        entry.claims.release(key, ref);
        this.oracle.endCall(call, 'not-run');
        break;
      case 'failed':
        if (call.phase === 'asking') break;
        call.phase = 'asking';
        this.askAboutCall(entry, call);
        break;
    }
  }

  private askAboutCall(entry: Entry, call: Call): void {
    const {sidecar, incarnation} = call.request;
    this.ask(entry, sidecar, incarnation, call.request, outcome => {
      if (call.phase !== 'asking') return;
      switch (outcome.kind) {
        case 'not-run':
          this.handleStartReply(entry, call.request, {kind: 'refused'});
          break;
        case 'ran': {
          const {answer} = outcome;
          this.handleStartReply(entry, call.request, {kind: 'result', answer});
          break;
        }
        case 'unknown':
          this.oracle.endCall(call, 'unknown');
          break;
        default:
          this.traffic.after(entry, ASK_TIMEOUT_MS, () =>
            this.askAgain(entry, call),
          );
      }
    });
  }

  private askAgain(entry: Entry, call: Call): void {
    if (call.phase === 'asking') this.askAboutCall(entry, call);
  }

  private ask(
    entry: SimulatedProcess,
    sidecar: string,
    incarnation: string,
    ref: AttemptRef,
    done: (outcome: AskOutcome) => void,
  ): void {
    let open = true;
    const once = (outcome: AskOutcome) => {
      if (open) done(outcome);
      open = false;
    };
    this.traffic.after(entry, ASK_TIMEOUT_MS, () =>
      once({kind: 'unreachable'}),
    );
    this.send(sidecar, target => {
      const now = new Date(this.traffic.nowMs);
      const outcome = receiveAsk(target, incarnation, ref, now);
      if (outcome.kind === 'not-run') this.counts.tombstones += 1;
      this.traffic.send(() => once(outcome), entry);
    });
  }

  // ---- Sidecar ----

  private receiveStart(
    sidecar: Sidecar,
    incarnation: string,
    attempt: EntryAttempt,
  ): void {
    const now = new Date(this.traffic.nowMs);
    const reply = receiveStart(sidecar, incarnation, attempt, now);
    if (reply) this.reply(attempt.entry, attempt.ref, reply);
  }

  private complete(sidecar: Sidecar, attempt: EntryAttempt): void {
    const answer = this.runOnce(attempt);
    const now = new Date(this.traffic.nowMs);
    sidecar.outcomes = finishAttempt(
      sidecar.outcomes,
      attempt.ref,
      answer,
      now,
    );
    this.reply(attempt.entry, attempt.ref, {kind: 'result', answer});
  }

  /** The connection to the endpoint fails, before or after the attempt ran. */
  private failAtEndpoint(
    sidecar: Sidecar,
    attempt: EntryAttempt,
    variant: number,
  ): void {
    const run = variant % 3 === 0 ? 'not-run' : 'unknown';
    if (variant % 3 === 1) this.runOnce(attempt);
    if (run === 'unknown') this.uncertainRefs.add(refText(attempt.ref));
    const now = new Date(this.traffic.nowMs);
    sidecar.outcomes = failAttempt(sidecar.outcomes, attempt.ref, run, now);
    const kind = run === 'not-run' ? 'refused' : 'failed';
    this.reply(attempt.entry, attempt.ref, {kind});
  }

  private reply(entry: Entry, ref: AttemptRef, reply: StartReply): void {
    this.traffic.send(() => this.handleStartReply(entry, ref, reply), entry);
  }

  // ---- Network and time ----

  private send(name: string, go: (sidecar: Sidecar) => void): void {
    const forward = () => {
      // The message goes to the incarnation that runs when it arrives.
      const current = this.sidecars.find(s => s.name === name)!;
      if (ready(current)) go(current);
    };
    this.traffic.send(forward);
  }

  /** Delivers everything without faults until nothing is in flight. */
  private quiesce(): void {
    for (let i = 0; i < 100_000; i++) {
      if (this.traffic.deliverNext() || this.completeNext()) continue;
      if (!this.traffic.advanceToNext() && !this.suspectAllLinks()) return;
    }
    throw new Violation('messages are still in flight after 100000 steps');
  }

  private completeNext(): boolean {
    for (const sidecar of this.sidecars) {
      for (const [id, attempt] of sidecar.running) {
        sidecar.running.delete(id);
        this.complete(sidecar, attempt);
        return true;
      }
    }
    return false;
  }

  private suspectAllLinks(): boolean {
    let found = false;
    for (const entry of this.entries) {
      for (const call of entry.calls.values()) {
        if (call.phase !== 'started') continue;
        call.phase = 'asking';
        this.askAboutCall(entry, call);
        found = true;
      }
    }
    return found;
  }

  private entryTime(entry: Entry): Date {
    return new Date(this.traffic.nowMs + entry.skewMs);
  }

  private newEntry(index: number): Entry {
    const process = {
      name: `entry-${index}`,
      alive: true,
      paused: false,
      skewMs: (index - 1) * 2_500,
      calls: new Map<string, Call>(),
    };
    const now = () => new Date(this.traffic.nowMs + process.skewMs);
    const claims = new EntryClaims(
      process,
      this.traffic,
      this.table,
      now,
      (sidecar, incarnation, ref, done) =>
        this.ask(process, sidecar, incarnation, ref, done),
    );
    return Object.assign(process, {claims});
  }

  private newSidecar(index: number): Sidecar {
    return newSidecar(index, `i${this.serial++}`, this.smallLimits);
  }

  /** A UUID of version 7 by the entry's clock. */
  private requestId(entry: Entry): string {
    const time = this.entryTime(entry).getTime().toString(16).padStart(12, '0');
    const serial = (this.serial++).toString(16).padStart(12, '0');
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${serial}`;
  }
}
