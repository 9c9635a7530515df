/**
 * Relates endpoints that crash to the requests that were there, and shares this
 * with the other gateways through the store.
 *
 * A gateway sees only the ends of its own attempts, and no such end shows whether
 * the endpoint's process goes on: connections also break when a group stalls or a
 * link is cut, and an answer may look complete although its process ended with it.
 * So each attempt waits in `recentprompts.ts` for what becomes of the process. Its
 * prompt is evidence when the end of the process is confirmed: by its sidecar, which
 * no longer finds the process, or by the registration of another process at its
 * address. Its answer clears the prompt's parts when the process shows that it has
 * outlived it: by a later answer, a report of its sidecar, or by staying registered.
 * What gateways conclude from all crashes together is decided in `quarantine.ts`.
 */
import {createHash} from 'node:crypto';
import {LRUCache} from 'lru-cache';
import {Clock} from '../kernel/clock';
import {Log} from '../observe/log';
import {CrashChange, CrashRecord, Endpoint, Prompt} from './model';
import {EndedAttempt, processOf, RecentPrompts} from './recentprompts';
import {
  Admission,
  addRecord,
  admission,
  emptyQuarantine,
  Quarantine,
  QuarantinedPart,
  quarantinedParts,
  suspectParts,
  trim,
} from './quarantine';

/** Where crash records are shared. Writes reject if the store fails. */
export interface CrashStore {
  /** The store's clock; undefined until the store has answered once. */
  nowMs(): number | undefined;
  write(records: ReadonlyMap<string, CrashRecord>): Promise<void>;
  remove(keys: readonly string[]): Promise<void>;
  /** Writes a record unless its key exists; false if it does. */
  create(key: string, record: CrashRecord): Promise<boolean>;
}

export interface CrashMonitorDependencies {
  /** Name of this gateway. */
  readonly instance: string;
  readonly store: CrashStore;
  readonly clock: Clock;
  readonly log: Log;
  /** A number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  /** Called when a part is quarantined. */
  readonly handleQuarantine: () => void;
  /** Whether the endpoint's process is registered, as far as is known. */
  readonly isRegistered: (endpoint: Endpoint) => boolean;
}

type CrashSource = 'sidecar' | 'registration';

/**
 * Time within which the end of a process is confirmed. An endpoint is back some
 * seconds after a crash, or its registration has lapsed.
 */
const CONFIRMATION_MS = 5_000;

/** Interval at which attempts are looked for whose time for that has passed. */
const CONFIRMATION_CHECK_MS = 1_000;

/**
 * A sidecar looks for its endpoint several times a second, so attempts that ended
 * longer ago than this ended before the process did.
 */
const SIDECAR_DELAY_MS = 1_000;

/** Bound on the characters of the prompts in a record; a row takes 64 KiB. */
const MAX_PROMPT_CHARACTERS = 24_000;
const MAX_UNWRITTEN = 512;

/** Requests named by a log line. */
const MAX_LOGGED_REQUESTS = 8;

/** Processes that are remembered as registered, by address, and as ended. */
const MAX_KNOWN_PROCESSES = 16_384;

/** Parts whose answers this gateway remembers. */
const MAX_ANSWERED_PARTS = 4_096;

/**
 * Longest delay before a gateway shares answers from before a crash. It is
 * random, because many gateways may know the same parts.
 */
const MAX_SHARE_DELAY_MS = 200;

/** Delay before conclusions, so that they are drawn once for many records. */
const UPDATE_DELAY_MS = 20;

/** Delay before a write, so that records of the same moment go together. */
const WRITE_DELAY_MS = 20;
const WRITE_RETRY_MS = 300;

/** Most entries in one transaction. */
const MAX_WRITES = 50;

export class CrashMonitor {
  private quarantine: Quarantine = emptyQuarantine;
  private quarantined: ReadonlyMap<string, QuarantinedPart> = new Map();
  private suspects: ReadonlySet<string> = new Set();
  private readonly recent = new RecentPrompts();
  /** The newest process at each address. */
  private readonly registered = new LRUCache<string, string>({
    max: MAX_KNOWN_PROCESSES,
  });
  /** Monotonic time at which the end of a process was first confirmed. */
  private readonly endedMs = new LRUCache<string, number>({
    max: MAX_KNOWN_PROCESSES,
  });
  /** Time by the store's clock of the last answer that was outlived, by part. */
  private readonly answeredMs = new LRUCache<string, number>({
    max: MAX_ANSWERED_PARTS,
  });
  /** Records of the store, by key. */
  private readonly shared = new Map<string, CrashRecord>();
  /** Records of this gateway that are not in the store yet. */
  private readonly unwritten = new Map<string, CrashRecord>();
  private checkScheduled = false;
  private shareScheduled = false;
  private updateScheduled = false;
  private writeScheduled = false;
  /** Parts for which this gateway may admit one request. */
  private readonly permits = new Set<string>();
  /** Keys of trial records that are being created. */
  private readonly pendingTrials = new Set<string>();

  constructor(private readonly deps: CrashMonitorDependencies) {}

  get quarantinedCount(): number {
    return this.quarantined.size;
  }

  /** Records an attempt that has ended at an endpoint which may have run it. */
  recordEnd(attempt: EndedAttempt): void {
    const {endpoint, prompt, sentMs, leavingSinceMs} = attempt;
    if (prompt.length === 0) return;
    const process = processOf(endpoint);
    const endedMs = this.endedAtMs(process);
    if (sentMs <= endedMs) {
      const hadLeft = leavingSinceMs !== undefined && leavingSinceMs <= endedMs;
      if (!hadLeft) this.addCrash(process, [attempt], 'end read late');
      return;
    }
    if (!this.registered.has(endpoint.address))
      this.registered.set(endpoint.address, process);
    this.recent.add(attempt);
    this.scheduleCheck();
  }

  /** Called when a sidecar finds no process at its endpoint's address. */
  handleProcessGone(address: string): void {
    const sinceMs = this.deps.clock.elapsedMs() - SIDECAR_DELAY_MS;
    const processes = new Set(
      [...this.recent.endpoints()]
        .filter(([, endpoint]) => endpoint.address === address)
        .map(([process]) => process),
    );
    const newest = this.registered.get(address);
    if (newest !== undefined) processes.add(newest);
    for (const process of processes)
      this.endProcess(process, sinceMs, 'sidecar');
  }

  /** Called for each new or renewed registration of an endpoint. */
  handleRegistration(endpoint: Endpoint): void {
    const {address, draining} = endpoint;
    const process = processOf(endpoint);
    const nowMs = this.deps.clock.elapsedMs();
    if (draining) this.recent.excuse(process, nowMs);
    const newest = this.registered.get(address);
    // The registration of a process that has ended may be read once more.
    if (newest === process || this.endedMs.has(process)) return;
    this.registered.set(address, process);
    if (newest === undefined) return;
    this.endProcess(newest, nowMs - CONFIRMATION_MS, 'registration');
  }

  /**
   * Called with a monotonic time at which an endpoint's process was certainly alive.
   * Answers that ended before then have not crashed it.
   */
  handleSignOfLife(endpoint: Endpoint, aliveMs: number): void {
    const process = processOf(endpoint);
    for (const {prompt, ms} of this.recent.takeOutlived(process, aliveMs))
      this.clear(prompt, ms);
  }

  /** Called for each report of an endpoint's sidecar that has found its process. */
  handleSidecarReport(endpoint: Endpoint): void {
    if (this.recent.isEmpty) return;
    const nowMs = this.deps.clock.elapsedMs();
    this.handleSignOfLife(endpoint, nowMs - SIDECAR_DELAY_MS);
  }

  /**
   * Called when the answer to a request sent at that time goes on although its
   * endpoint began to write it long before.
   */
  recordProgress(endpoint: Endpoint, prompt: Prompt, sentMs: number): void {
    if (sentMs <= this.endedAtMs(processOf(endpoint))) return;
    this.clear(prompt, this.deps.clock.elapsedMs());
  }

  private clear(prompt: Prompt, ms: number): void {
    const atMs = this.storeMsAt(ms);
    if (atMs === undefined) return;
    for (const part of prompt) {
      const knownMs = this.answeredMs.get(part) ?? -Infinity;
      this.answeredMs.set(part, Math.max(knownMs, Math.round(atMs)));
    }
    if (prompt.some(part => this.suspects.has(part))) this.shareAnswers(prompt);
  }

  /** Takes all records of the store (`isFullRead`) or those that changed. */
  handleRecords(change: CrashChange, isFullRead: boolean): void {
    if (isFullRead) this.shared.clear();
    for (const [key, record] of change) {
      if (record) this.shared.set(key, record);
      else this.shared.delete(key);
    }
    this.quarantine = emptyQuarantine;
    for (const [key, record] of [...this.shared, ...this.unwritten]) {
      this.quarantine = addRecord(this.quarantine, key, record);
    }
    this.scheduleUpdate();
  }

  /**
   * The quarantined part for which a request is rejected; undefined if it is
   * admitted. Uses up a permit, and asks for a trial that is due.
   */
  rejectedPart(prompt: Prompt): string | undefined {
    const nowMs = this.storeMs();
    const decision = this.admissionOf(prompt);
    if (decision.kind === 'admit' || nowMs === undefined) return undefined;
    const {part} = decision;
    if (this.permits.delete(part)) return undefined;
    if (decision.kind === 'trial') void this.requestTrial(part, nowMs);
    return part;
  }

  /** The part for which `rejectedPart` would reject; changes nothing. */
  partToReject(prompt: Prompt): string | undefined {
    const decision = this.admissionOf(prompt);
    if (decision.kind === 'admit') return undefined;
    return this.permits.has(decision.part) ? undefined : decision.part;
  }

  private admissionOf(prompt: Prompt): Admission {
    const nowMs = this.storeMs();
    if (this.quarantined.size === 0 || nowMs === undefined)
      return {kind: 'admit'};
    return admission(this.quarantined, prompt, nowMs);
  }

  /** Clears suspect parts on which this gateway has seen an answer outlived. */
  private shareAnswers(parts: Iterable<string>): void {
    let cleared = false;
    for (const part of parts) {
      const atMs = this.answeredMs.peek(part);
      if (!this.suspects.has(part) || atMs === undefined) continue;
      if (atMs <= (this.quarantine.clearedMs.get(part) ?? -Infinity)) continue;
      this.addOwn(`cleared/${keyOf(part)}`, {kind: 'cleared', part, atMs});
      cleared = true;
      this.deps.log('info', 'prompt part cleared', {part, atMs});
    }
    if (cleared) this.scheduleUpdate();
  }

  /** Shares answers on suspect parts that no gateway has cleared yet. */
  private scheduleShare(): void {
    if (this.shareScheduled || this.suspects.size === 0) return;
    this.shareScheduled = true;
    const delayMs = MAX_SHARE_DELAY_MS * this.deps.random();
    this.deps.clock.after(delayMs, () => {
      this.shareScheduled = false;
      const {clearedMs} = this.quarantine;
      this.shareAnswers([...this.suspects].filter(p => !clearedMs.has(p)));
    });
  }

  /** When the process was found to have ended; monotonic. */
  private endedAtMs(process: string): number {
    return this.endedMs.get(process) ?? -Infinity;
  }

  private endProcess(
    process: string,
    sinceMs: number,
    source: CrashSource,
  ): void {
    const nowMs = this.deps.clock.elapsedMs();
    // A sidecar repeats itself, and another process registers afterwards.
    const isConfirmed = nowMs - this.endedAtMs(process) <= CONFIRMATION_MS;
    if (!isConfirmed) this.endedMs.set(process, nowMs);
    const attempts = this.recent.takeEnded(process, sinceMs);
    if (attempts.length > 0) this.addCrash(process, attempts, source);
  }

  /** Records that attempts ended with a process; the last one comes first. */
  private addCrash(
    process: string,
    attempts: readonly EndedAttempt[],
    source: CrashSource | 'end read late',
  ): void {
    const confirmedMs = this.endedAtMs(process);
    const lastMs = Math.min(attempts[0]!.fromMs, confirmedMs);
    const cutMs = attempts.find(a => a.isCut)?.toMs ?? Infinity;
    const atMs = this.storeMsAt(lastMs);
    const untilMs = this.storeMsAt(
      Math.max(lastMs, Math.min(cutMs, confirmedMs)),
    );
    if (atMs === undefined || untilMs === undefined) return;
    const key = `crash/${process}/${this.deps.instance}`;
    const known = this.unwritten.get(key) ?? this.shared.get(key);
    // A process without a time of its start may crash again under the same name.
    const isSame =
      known?.kind === 'crash' && Math.abs(known.atMs - atMs) <= CONFIRMATION_MS;
    const earlier = isSame ? known : undefined;
    const prompts = attempts.map(a => a.prompt);
    this.addOwn(key, {
      kind: 'crash',
      endpoint: process,
      atMs: earlier?.atMs ?? Math.round(atMs),
      untilMs: Math.min(earlier?.untilMs ?? Infinity, Math.round(untilMs)),
      prompts: distinctPrompts([...prompts, ...(earlier?.prompts ?? [])]),
    });
    this.deps.log('warn', 'endpoint crashed with requests', {
      endpoint: process,
      source,
      agoMs: Math.round(this.deps.clock.elapsedMs() - lastMs),
      requests: attempts.length,
      requestIds: attempts
        .slice(0, MAX_LOGGED_REQUESTS)
        .map(a => a.requestId)
        .join(','),
      parts: [...new Set(prompts.flat())].join(','),
    });
    this.scheduleUpdate();
  }

  /**
   * An endpoint that is still registered when the end of its process would have been
   * confirmed lives; nothing is known of one whose registration has gone.
   */
  private scheduleCheck(): void {
    if (this.checkScheduled) return;
    this.checkScheduled = true;
    this.deps.clock.after(CONFIRMATION_CHECK_MS, () => {
      this.checkScheduled = false;
      const aliveMs = this.deps.clock.elapsedMs() - CONFIRMATION_MS;
      for (const [process, endpoint] of this.recent.endpoints()) {
        if (this.deps.isRegistered(endpoint))
          this.handleSignOfLife(endpoint, aliveMs);
        else this.recent.takeOutlived(process, aliveMs);
      }
      if (!this.recent.isEmpty) this.scheduleCheck();
    });
  }

  /** Adds a record of this gateway and shares it. */
  private addOwn(key: string, record: CrashRecord): void {
    this.quarantine = addRecord(this.quarantine, key, record);
    this.unwritten.set(key, record);
    const [oldest] = this.unwritten.keys();
    if (this.unwritten.size > MAX_UNWRITTEN) this.unwritten.delete(oldest!);
    this.scheduleWrite();
  }

  private scheduleUpdate(): void {
    if (this.updateScheduled) return;
    this.updateScheduled = true;
    this.deps.clock.after(UPDATE_DELAY_MS, () => {
      this.updateScheduled = false;
      this.update();
    });
  }

  /** Derives what follows from the records, and logs what has changed. */
  private update(): void {
    this.quarantine = trim(this.quarantine);
    const before = this.quarantined;
    this.quarantined = quarantinedParts(this.quarantine);
    this.suspects = suspectParts(this.quarantine);
    const added = [...this.quarantined].filter(([part]) => !before.has(part));
    for (const [part, {endpoints}] of added) {
      this.deps.log('warn', 'prompt part quarantined', {
        part,
        endpoints: endpoints.join(','),
      });
    }
    for (const part of before.keys()) {
      if (this.quarantined.has(part)) continue;
      this.deps.log('info', 'quarantine of prompt part ended', {part});
    }
    if (added.length > 0) this.deps.handleQuarantine();
    this.scheduleShare();
  }

  private async requestTrial(part: string, nowMs: number): Promise<void> {
    const lastMs = this.quarantined.get(part)?.lastMs ?? 0;
    // The key is the same at all gateways, so only one of them creates it.
    const key = `trial/${keyOf(part)}/${lastMs}`;
    if (this.pendingTrials.has(key)) return;
    this.pendingTrials.add(key);
    try {
      const atMs = Math.round(nowMs);
      const granted = await this.deps.store.create(key, {
        kind: 'trial',
        part,
        atMs,
      });
      if (granted) this.permits.add(part);
      this.deps.log('info', 'trial of quarantined prompt part', {
        part,
        granted,
      });
    } catch (error) {
      this.deps.log('warn', 'trial of quarantined prompt part not obtained', {
        part,
        reason: String(error),
      });
    }
    this.pendingTrials.delete(key);
  }

  private scheduleWrite(delayMs = WRITE_DELAY_MS): void {
    if (this.writeScheduled) return;
    this.writeScheduled = true;
    this.deps.clock.after(delayMs, () => void this.write());
  }

  private async write(): Promise<void> {
    const records = new Map([...this.unwritten].slice(0, MAX_WRITES));
    let delayMs = WRITE_DELAY_MS;
    try {
      await this.deps.store.write(records);
      for (const [key, record] of records) {
        this.shared.set(key, record);
        if (this.unwritten.get(key) === record) this.unwritten.delete(key);
      }
      await this.removeUnused();
    } catch (error) {
      delayMs = WRITE_RETRY_MS;
      this.deps.log('warn', 'crash records not written', {
        unwritten: this.unwritten.size,
        reason: String(error),
      });
    }
    this.writeScheduled = false;
    if (this.unwritten.size > 0) this.scheduleWrite(delayMs);
  }

  /** Removes records from the store that no conclusion depends on. */
  private async removeUnused(): Promise<void> {
    const unused = [...this.shared]
      .filter(([key, record]) => !this.isHeld(key, record))
      .map(([key]) => key)
      .slice(0, MAX_WRITES);
    if (unused.length === 0) return;
    await this.deps.store.remove(unused);
    unused.forEach(key => this.shared.delete(key));
  }

  /** Whether conclusions still depend on a record. */
  private isHeld(key: string, record: CrashRecord): boolean {
    const {crashes, clearedMs, trialMs} = this.quarantine;
    return record.kind === 'crash'
      ? crashes.has(key)
      : clearedMs.has(record.part) || trialMs.has(record.part);
  }

  private storeMs(): number | undefined {
    return this.deps.store.nowMs();
  }

  /** A monotonic time by the store's clock. */
  private storeMsAt(ms: number): number | undefined {
    const storeMs = this.storeMs();
    if (storeMs === undefined) return undefined;
    return storeMs - (this.deps.clock.elapsedMs() - ms);
  }
}

/** Without repeated ones, and without the last ones if they are too large. */
function distinctPrompts(prompts: readonly Prompt[]): readonly Prompt[] {
  const distinct = new Map(prompts.map(prompt => [prompt.join(), prompt]));
  let characters = 0;
  return [...distinct]
    .filter(([key]) => (characters += key.length) <= MAX_PROMPT_CHARACTERS)
    .map(([, prompt]) => prompt);
}

/** A key of bounded length. */
function keyOf(part: string): string {
  return createHash('sha1').update(part).digest('hex');
}
