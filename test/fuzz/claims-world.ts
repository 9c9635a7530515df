/** The simulated entries, sidecars, callers and oracle of the claims model. */
import {AskOutcome, ClaimResult} from '../../src/claims/claim';
import {ClaimRequest} from '../../src/claims/claims';
import {ask, fail, finish, Recorded} from '../../src/claims/outcomes';
import {ClaimRow, decodeAnswer} from '../../src/claims/rows';
import {AttemptRef} from '../../src/wire/messages';
import type {Tally} from './claims';
import {Call, Oracle, refText, Violation} from './claims-oracle';
import {
  answerAt,
  Entry,
  newSidecar,
  Sidecar,
  startAt,
  StartReply,
  Work,
} from './claims-sidecar';
import {EntryClaims, Table} from './claims-store';
import {pick, Process, ready, Traffic} from './traffic';

const ENTRIES = 3;
const SIDECARS = 2;
const KEYS = 4;
const ASK_MS = 300;

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
  private readonly lostRefs = new Set<string>();
  private readonly orphans: Work[] = [];
  private readonly counts = {tombstones: 0, recorded: 0};

  constructor(private readonly small: boolean) {
    for (let i = 0; i < ENTRIES; i++) this.entries.push(this.newEntry(i));
    for (let i = 0; i < SIDECARS; i++) this.sidecars.push(this.newSidecar(i));
  }

  // ---- Commands ----

  call(entryIndex: number, keyIndex: number, c: number): Call | undefined {
    const entry = pick(this.entries, entryIndex);
    const sidecar = pick(this.sidecars, c);
    if (!ready(entry) || !ready(sidecar)) return undefined;
    const key = `key/${keyIndex % KEYS}`;
    const bodyHash = c % 16 === 15 ? 'other' : 'body';
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
    entry.claims.claim(request, result => this.claimed(entry, call, result));
    return call;
  }

  advance(ms: number): void {
    this.traffic.nowMs += ms;
  }

  /** The entry believes that its link broke. */
  suspect(entryIndex: number, index: number): void {
    const entry = pick(this.entries, entryIndex);
    const started = [...entry.calls.values()].filter(
      c => c.phase === 'started',
    );
    if (!ready(entry) || started.length === 0) return;
    const call = pick(started, index);
    call.phase = 'asking';
    this.askOwn(entry, call);
  }

  callerDeadline(entryIndex: number, index: number): void {
    const entry = pick(this.entries, entryIndex);
    const asking = [...entry.calls.values()].filter(c => c.phase === 'asking');
    if (!ready(entry) || asking.length === 0) return;
    this.oracle.say(pick(asking, index), 'unknown');
  }

  killEntry(index: number): void {
    const i = index % ENTRIES;
    this.entries[i]!.alive = false;
    this.entries[i] = this.newEntry(i);
  }

  pauseEntry(index: number): void {
    pick(this.entries, index).paused = true;
  }

  wakeEntry(index: number): void {
    pick(this.entries, index).paused = false;
  }

  /** What the endpoint was doing may still run to its end. */
  killSidecar(index: number): void {
    const i = index % SIDECARS;
    const old = this.sidecars[i]!;
    old.alive = false;
    this.orphans.push(...old.running.values());
    this.sidecars[i] = this.newSidecar(i);
  }

  pauseSidecar(index: number): void {
    pick(this.sidecars, index).paused = true;
  }

  wakeSidecar(index: number): void {
    pick(this.sidecars, index).paused = false;
  }

  setTable(up: boolean): void {
    this.table.up = up;
  }

  /** The endpoint takes a step with one of the attempts given to it. */
  execute(index: number, how: number): void {
    if (this.orphans.length > 0 && how % 5 === 0) {
      const [work] = this.orphans.splice(index % this.orphans.length, 1);
      this.runOnce(work!);
      return;
    }
    const sidecar = pick(this.sidecars, index);
    if (!ready(sidecar) || sidecar.running.size === 0) return;
    const work = pick([...sidecar.running.values()], how);
    sidecar.running.delete(refText(work.ref));
    if (how % 11 === 0) this.breakOff(sidecar, work, how);
    else this.complete(sidecar, work);
  }

  // ---- Oracle ----

  /** Ends all faults, repeats each key, and checks where it ends. */
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
    tally.unknown += this.oracle.unknown;
    tally.notRun += this.oracle.saidNotRun.size;
    tally.forgotten += this.sidecars.filter(
      s => s.outcomes.horizonMs > 0,
    ).length;
    tally.keys += KEYS;
  }

  private settleKey(index: number): void {
    const row = this.table.value(`key/${index}`);
    if (!row) return;
    const c = row.bodyHash === 'other' ? 15 : 0;
    for (let tries = 0; tries < 8; tries++) {
      const call = this.call(tries, index, c)!;
      this.quiesce();
      if (call.said === 'ran' || call.said === 'unknown') return;
    }
    throw new Violation(`key ${index} does not come to an end`);
  }

  private checkKey(key: string): void {
    const row = this.table.value(key);
    const runs = this.oracle.runsOf(key);
    if (!row) {
      if (runs > 0) throw new Violation(`${key} ran without a row`);
      return;
    }
    if (row.state === 'done' && runs === 1) return;
    if (row.state === 'unknown' && this.certaintyLost(row)) return;
    throw new Violation(`${key} ends ${row.state} after ${runs} runs`);
  }

  private certaintyLost(row: ClaimRow): boolean {
    const ref = {requestId: row.requestId, attempt: row.requestAttempt};
    if (this.lostRefs.has(refText(ref))) return true;
    const sidecar = this.sidecars.find(s => s.name === row.sidecar)!;
    if (sidecar.incarnation !== row.incarnation) return true;
    const {answer} = ask(sidecar.outcomes, ref, new Date(this.traffic.nowMs));
    return this.small && answer.outcome === 'unknown';
  }

  /** Half of the answers are too large for a small outcome table. */
  private runOnce(work: Work): Recorded {
    return this.oracle.runOnce(work, this.serial % 2 === 0);
  }

  // ---- Entry ----

  private claimed(entry: Entry, call: Call, result: ClaimResult): void {
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
        this.oracle.say(call, 'conflict');
        break;
      case 'unavailable':
        this.oracle.say(call, 'not-run');
        break;
      case 'running':
      case 'unknown':
        this.oracle.say(call, 'unknown');
        break;
    }
  }

  private replay(call: Call, answer: Recorded): void {
    this.oracle.checkAnswer(call, answer);
    this.counts.recorded += 1;
    this.oracle.say(call, 'ran');
  }

  private sendStart(entry: Entry, call: Call): void {
    const {sidecar, incarnation} = call.request;
    this.send(sidecar, target =>
      this.startAt(target, incarnation, {
        ref: call.request,
        key: call.request.key,
        bodyHash: call.request.bodyHash,
        entry,
      }),
    );
  }

  private startReply(entry: Entry, ref: AttemptRef, reply: StartReply): void {
    const call = entry.calls.get(refText(ref));
    if (!call || call.phase === 'claiming' || call.phase === 'over') return;
    const {key} = call.request;
    switch (reply.kind) {
      case 'result':
        entry.claims.record(key, ref, reply.answer);
        this.oracle.checkAnswer(call, reply.answer);
        this.oracle.say(call, 'ran');
        break;
      case 'refused':
        entry.claims.release(key, ref);
        this.oracle.say(call, 'not-run');
        break;
      case 'failed':
        if (call.phase === 'asking') break;
        call.phase = 'asking';
        this.askOwn(entry, call);
        break;
    }
  }

  private askOwn(entry: Entry, call: Call): void {
    const {sidecar, incarnation} = call.request;
    this.ask(entry, sidecar, incarnation, call.request, outcome => {
      if (call.phase !== 'asking') return;
      switch (outcome.kind) {
        case 'not-run':
          this.startReply(entry, call.request, {kind: 'refused'});
          break;
        case 'ran': {
          const {answer} = outcome;
          this.startReply(entry, call.request, {kind: 'result', answer});
          break;
        }
        case 'unknown':
          this.oracle.say(call, 'unknown');
          break;
        default:
          this.traffic.after(entry, ASK_MS, () => this.askAgain(entry, call));
      }
    });
  }

  private askAgain(entry: Entry, call: Call): void {
    if (call.phase === 'asking') this.askOwn(entry, call);
  }

  private ask(
    entry: Process,
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
    this.traffic.after(entry, ASK_MS, () => once({kind: 'unreachable'}));
    this.send(sidecar, target => {
      const now = new Date(this.traffic.nowMs);
      const outcome = answerAt(target, incarnation, ref, now);
      if (outcome.kind === 'not-run') this.counts.tombstones += 1;
      this.traffic.send(() => once(outcome), entry);
    });
  }

  // ---- Sidecar ----

  private startAt(sidecar: Sidecar, incarnation: string, work: Work): void {
    const now = new Date(this.traffic.nowMs);
    const reply = startAt(sidecar, incarnation, work, now);
    if (reply) this.reply(work.entry, work.ref, reply);
  }

  private complete(sidecar: Sidecar, work: Work): void {
    const answer = this.runOnce(work);
    const now = new Date(this.traffic.nowMs);
    sidecar.outcomes = finish(sidecar.outcomes, work.ref, answer, now);
    this.reply(work.entry, work.ref, {kind: 'result', answer});
  }

  /** The connection to the endpoint breaks, before or after it ran. */
  private breakOff(sidecar: Sidecar, work: Work, how: number): void {
    const run = how % 3 === 0 ? 'not-run' : 'unknown';
    if (how % 3 === 1) this.runOnce(work);
    if (run === 'unknown') this.lostRefs.add(refText(work.ref));
    const now = new Date(this.traffic.nowMs);
    sidecar.outcomes = fail(sidecar.outcomes, work.ref, run, now);
    const kind = run === 'not-run' ? 'refused' : 'failed';
    this.reply(work.entry, work.ref, {kind});
  }

  private reply(entry: Entry, ref: AttemptRef, reply: StartReply): void {
    this.traffic.send(() => this.startReply(entry, ref, reply), entry);
  }

  // ---- Network and time ----

  private send(name: string, go: (sidecar: Sidecar) => void): void {
    const forward = () => {
      // A message may reach the incarnation that runs when it arrives.
      const current = this.sidecars.find(s => s.name === name)!;
      if (ready(current)) go(current);
    };
    this.traffic.send(forward);
  }

  /** Delivers everything without faults until nothing is under way. */
  private quiesce(): void {
    for (let i = 0; i < 100_000; i++) {
      if (this.traffic.deliverNext() || this.finishWork()) continue;
      if (!this.traffic.skip() && !this.suspectAll()) return;
    }
    throw new Violation('the world does not come to rest');
  }

  private finishWork(): boolean {
    for (const sidecar of this.sidecars) {
      for (const [id, work] of sidecar.running) {
        sidecar.running.delete(id);
        this.complete(sidecar, work);
        return true;
      }
    }
    return false;
  }

  private suspectAll(): boolean {
    let found = false;
    for (const entry of this.entries) {
      for (const call of entry.calls.values()) {
        if (call.phase !== 'started') continue;
        call.phase = 'asking';
        this.askOwn(entry, call);
        found = true;
      }
    }
    return found;
  }

  private clock(entry: Entry): Date {
    return new Date(this.traffic.nowMs + entry.skewMs);
  }

  private newEntry(index: number): Entry {
    const life = {
      name: `entry-${index}`,
      alive: true,
      paused: false,
      skewMs: (index - 1) * 2_500,
      calls: new Map<string, Call>(),
    };
    const now = () => new Date(this.traffic.nowMs + life.skewMs);
    const claims = new EntryClaims(
      life,
      this.traffic,
      this.table,
      now,
      (sidecar, incarnation, ref, done) =>
        this.ask(life, sidecar, incarnation, ref, done),
    );
    return Object.assign(life, {claims});
  }

  private newSidecar(index: number): Sidecar {
    return newSidecar(index, `i${this.serial++}`, this.small);
  }

  /** A UUID of version 7 by the entry's clock. */
  private requestId(entry: Entry): string {
    const time = this.clock(entry).getTime().toString(16).padStart(12, '0');
    const serial = (this.serial++).toString(16).padStart(12, '0');
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${serial}`;
  }
}
