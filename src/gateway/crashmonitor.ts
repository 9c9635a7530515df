/**
 * Relates endpoints that crash to the requests that were there, and shares this
 * with the other gateways through the store.
 *
 * A gateway sees only its own connections break, and connections also break
 * when an endpoint's group stalls or a link is cut. A break is therefore
 * evidence only when the end of the endpoint's process is confirmed: by its
 * sidecar, which no longer finds the process, or by the registration of another
 * process at its address. What gateways conclude from all crashes together is
 * decided in `quarantine.ts`.
 */
import {createHash} from 'node:crypto';
import {LRUCache} from 'lru-cache';
import {Clock} from '../kernel/clock';
import {Log} from '../observe/log';
import {CrashChange, CrashRecord, Endpoint, Prompt} from './model';
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
}

/** A request whose connection to its endpoint broke. */
interface Disconnect {
  readonly process: string;
  readonly address: string;
  readonly prompt: Prompt;
  /** Monotonic time. */
  readonly ms: number;
}

/**
 * Time within which the end of a process must be confirmed. An endpoint is back
 * some seconds after a crash.
 */
const DISCONNECT_VALID_MS = 5_000;

/**
 * Connections that broke at most this long before the last one broke together
 * with it; earlier ones have another cause.
 */
const SAME_BREAK_MS = 300;

/**
 * A sidecar looks for its endpoint several times a second, so connections that
 * broke longer ago than this broke before the endpoint ended.
 */
const SIDECAR_DELAY_MS = 1_000;

/** Bounds on what is held, and on the size of a record. */
const MAX_DISCONNECTS = 512;
const MAX_PROMPTS_PER_CRASH = 24;
const MAX_UNWRITTEN = 512;

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
  private disconnects: readonly Disconnect[] = [];
  /** Time by the store's clock at which an answer last continued, by part. */
  private readonly answeredMs = new LRUCache<string, number>({
    max: MAX_ANSWERED_PARTS,
  });
  /** Records of the store, by key. */
  private readonly shared = new Map<string, CrashRecord>();
  /** Records of this gateway that are not in the store yet. */
  private readonly unwritten = new Map<string, CrashRecord>();
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

  /**
   * Records a connection that broke although its endpoint was registered and
   * its group not known to have stopped.
   */
  recordDisconnect(endpoint: Endpoint, prompt: Prompt): void {
    if (prompt.length === 0) return;
    const ms = this.deps.clock.elapsedMs();
    const {address} = endpoint;
    const process = processOf(endpoint);
    this.disconnects = [
      ...this.recentDisconnects(),
      {process, address, prompt, ms},
    ].slice(-MAX_DISCONNECTS);
  }

  /** Called when a sidecar finds no process at its endpoint's address. */
  handleProcessGone(address: string): void {
    const sinceMs = this.deps.clock.elapsedMs() - SIDECAR_DELAY_MS;
    this.confirmCrash(d => d.address === address && d.ms >= sinceMs, 'sidecar');
  }

  /** Called for each new or renewed registration of an endpoint. */
  handleRegistration(endpoint: Endpoint): void {
    if (this.disconnects.length === 0) return;
    const process = processOf(endpoint);
    this.confirmCrash(
      d => d.address === endpoint.address && d.process !== process,
      'registration',
    );
  }

  /** Called when an answer continues after its first event. */
  recordProgress(prompt: Prompt): void {
    const atMs = this.storeMs();
    if (atMs === undefined) return;
    for (const part of prompt) this.answeredMs.set(part, Math.round(atMs));
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

  /** Clears suspect parts on which this gateway has seen an answer continue. */
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

  private confirmCrash(
    isCandidate: (disconnect: Disconnect) => boolean,
    source: 'sidecar' | 'registration',
  ): void {
    const recent = this.recentDisconnects();
    const candidates = recent.filter(isCandidate);
    const last = candidates.at(-1);
    const storeMs = this.storeMs();
    if (!last || storeMs === undefined) return;
    this.disconnects = recent.filter(d => !isCandidate(d));
    const broken = candidates.filter(
      d => d.process === last.process && last.ms - d.ms <= SAME_BREAK_MS,
    );
    const key = `crash/${last.process}/${this.deps.instance}`;
    const known = this.unwritten.get(key) ?? this.shared.get(key);
    const earlier = known?.kind === 'crash' ? known.prompts : [];
    const record: CrashRecord = {
      kind: 'crash',
      endpoint: last.process,
      atMs: Math.round(storeMs - (this.deps.clock.elapsedMs() - last.ms)),
      prompts: [...earlier, ...broken.map(d => d.prompt)].slice(
        -MAX_PROMPTS_PER_CRASH,
      ),
    };
    this.addOwn(key, record);
    this.deps.log('warn', 'endpoint crashed with requests', {
      endpoint: last.process,
      source,
      agoMs: Math.round(this.deps.clock.elapsedMs() - last.ms),
      requests: broken.length,
      parts: [...new Set(broken.flatMap(d => d.prompt))].join(','),
    });
    this.scheduleUpdate();
  }

  /** Adds a record of this gateway and shares it. */
  private addOwn(key: string, record: CrashRecord): void {
    this.quarantine = addRecord(this.quarantine, key, record);
    this.unwritten.set(key, record);
    const [oldest] = this.unwritten.keys();
    if (this.unwritten.size > MAX_UNWRITTEN) this.unwritten.delete(oldest!);
    this.scheduleWrite();
  }

  private recentDisconnects(): readonly Disconnect[] {
    const sinceMs = this.deps.clock.elapsedMs() - DISCONNECT_VALID_MS;
    return this.disconnects.filter(d => d.ms >= sinceMs);
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
}

/** An endpoint may keep its id when its process starts anew. */
function processOf({id, startedMs}: Endpoint): string {
  return startedMs === undefined ? id : `${id}/${startedMs}`;
}

/** A key of bounded length. */
function keyOf(part: string): string {
  return createHash('sha1').update(part).digest('hex');
}
