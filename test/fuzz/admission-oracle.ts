/**
 * The oracle of the admission fuzz test. It records what is waiting, granted
 * and running from the messages and effects alone and checks each effect.
 */
import {
  AdmissionEffect,
  AdmissionMessage,
  AdmissionState,
  EntryId,
  loadOf,
  attemptKey,
} from '../../src/capacity/admission';
import {Grant, Offer} from '../../src/wire/messages';

/** The limits of the sidecar under test. */
export const COLD_CONCURRENT = 3;
export const MAX_CONCURRENT = 8;
export const KV_TOKENS = 1_000;
export const BATCH_TOKENS = 600;
export const TARGET_STEP_MS = 50;
export const WARM_STEPS = 16;

/** Throws an error that names the violated rule. */
export function check(holds: boolean, rule: string): void {
  if (!holds) throw new Error(rule);
}

/** An unused grant; the key is empty for a standing grant. */
interface GrantRecord {
  readonly entry: EntryId;
  readonly key: string;
  readonly tokens: number;
  readonly promptTokens: number;
  readonly expiresMs: number;
}

interface SentOffer {
  readonly entry: EntryId;
  readonly offer: Offer;
}

/** Records of what is waiting, granted and running, and their checks. */
export class Oracle {
  readonly waiting = new Map<string, SentOffer>();
  readonly granted = new Map<string, GrantRecord>();
  readonly running = new Map<string, Offer>();
  /** Keys of attempts that were run, also after they ended. */
  readonly ran = new Set<string>();
  /** Refused starts: the entry that received the refusal and the attempt. */
  readonly reportedNotRun = new Set<string>();
  readonly grantIds = new Set<string>();
  /** Prompt tokens of running attempts before their first output token. */
  readonly batch = new Map<string, number>();
  zoneOut = false;
  retired = false;
  leaving = false;
  engine = '';
  bound = COLD_CONCURRENT;
  goodSteps = 0;
  /** The bound to return to if the suspected restart did not happen. */
  boundBeforeSuspicion: number | undefined;

  get closed(): boolean {
    return this.zoneOut || this.retired || this.leaving;
  }

  /**
   * Forgets everything, because the sidecar process was replaced. What the new
   * process says about an attempt holds for that process only: an entry takes
   * an answer of another incarnation as an unknown outcome.
   */
  reset(): void {
    this.ran.clear();
    this.reportedNotRun.clear();
    this.waiting.clear();
    this.granted.clear();
    this.running.clear();
    this.batch.clear();
    [this.zoneOut, this.retired, this.leaving] = [false, false, false];
    [this.engine, this.bound, this.goodSteps] = ['', COLD_CONCURRENT, 0];
    this.boundBeforeSuspicion = undefined;
  }

  /** Updates the records from a message before the sidecar handles it. */
  before(message: AdmissionMessage, nowMs: number): void {
    for (const [id, {expiresMs}] of this.granted) {
      if (expiresMs <= nowMs) this.granted.delete(id);
    }
    switch (message.kind) {
      case 'offer': {
        const key = attemptKey(message.offer);
        const held = [...this.granted.values()].some(g => g.key === key);
        if (held || this.ran.has(key) || this.waiting.has(key)) return;
        this.waiting.set(key, message);
        return;
      }
      case 'withdraw':
        return this.dropAttempt(attemptKey(message.ref), message.entry);
      case 'ended':
        this.running.delete(attemptKey(message.ref));
        this.batch.delete(attemptKey(message.ref));
        return;
      case 'prefilled':
        this.batch.delete(attemptKey(message.ref));
        return;
      case 'entryLost':
        for (const [key, {entry}] of this.waiting) {
          if (entry === message.entry) this.waiting.delete(key);
        }
        for (const [id, {entry}] of this.granted) {
          if (entry === message.entry) this.granted.delete(id);
        }
        return;
      case 'rules':
        this.zoneOut = message.rules.zonesOut.has('z');
        this.retired = message.rules.leaving.has('s');
        return;
      case 'leaving':
        this.leaving = message.leaving;
        return;
    }
  }

  private dropAttempt(key: string, entry: EntryId): void {
    if (this.waiting.get(key)?.entry === entry) this.waiting.delete(key);
    for (const [id, g] of this.granted) {
      if (g.key === key && g.entry === entry) this.granted.delete(id);
    }
  }

  /** Checks the effects of a message and updates the records from them. */
  after(
    message: AdmissionMessage,
    effects: readonly AdmissionEffect[],
    state: AdmissionState,
    nowMs: number,
  ): void {
    const load = loadOf(state);
    this.checkBound(message, load.bound);
    for (const effect of effects) this.recordEffect(message, effect, nowMs);
    const held = this.granted.size;
    if (held > 0) {
      check(
        held + this.running.size <= load.bound,
        'granted and running requests exceed the bound',
      );
    }
    check(this.kvTokens() <= KV_TOKENS, 'KV memory is over-committed');
    check(load.freeTokens === KV_TOKENS - this.kvTokens(), 'KV tokens leaked');
    check(load.running === this.running.size, 'running requests leaked');
    check(load.waiting === this.waiting.size, 'waiting offers leaked');
    if (this.closed) check(held === 0, 'a grant is left after leaving');
    if (this.closed) check(this.waiting.size === 0, 'an offer was not refused');
    this.checkWorkConserving(load.bound);
    for (const {offer} of this.waiting.values()) {
      check(offer.deadlineMs > nowMs, 'an offer waits past its deadline');
    }
  }

  private kvTokens(): number {
    let sum = 0;
    for (const g of this.granted.values()) sum += g.tokens;
    for (const o of this.running.values()) sum += tokensOf(o);
    return sum;
  }

  private batchTokens(): number {
    let sum = 0;
    for (const n of this.batch.values()) sum += n;
    for (const g of this.granted.values()) sum += g.promptTokens;
    return sum;
  }

  private checkBound(message: AdmissionMessage, bound: number): void {
    const before = this.bound;
    this.bound = bound;
    check(
      bound >= COLD_CONCURRENT && bound <= MAX_CONCURRENT,
      'the bound is out of its range',
    );
    if (message.kind === 'engine' && message.instance !== this.engine) {
      this.engine = message.instance;
      this.goodSteps = 0;
      this.boundBeforeSuspicion = undefined;
      check(
        bound === COLD_CONCURRENT,
        'the bound stayed up after an engine restart',
      );
      return;
    }
    if (message.kind === 'engine' && this.boundBeforeSuspicion !== undefined) {
      check(
        bound === this.boundBeforeSuspicion,
        'the bound was lost by a suspicion',
      );
      this.boundBeforeSuspicion = undefined;
      return;
    }
    if (message.kind === 'suspect') this.boundBeforeSuspicion ??= before;
    if (this.boundBeforeSuspicion !== undefined) {
      check(bound === COLD_CONCURRENT, 'the bound stayed up under suspicion');
      return;
    }
    if (message.kind !== 'step') {
      check(bound === before, 'the bound moved without a step');
      return;
    }
    const slow = message.stepMs > TARGET_STEP_MS;
    if (!slow) this.goodSteps += message.steps ?? 1;
    if (slow) check(bound <= before, 'the bound grew by a slow step');
    if (message.stepMs > 4 * TARGET_STEP_MS) {
      check(
        bound === COLD_CONCURRENT,
        'the bound stayed up after a step-time jump',
      );
    }
    if (bound > before) {
      const needed = before === COLD_CONCURRENT ? WARM_STEPS : 8;
      check(this.goodSteps >= needed, 'the bound grew after too few steps');
      check(bound <= before * 1.25 + 1, 'the bound grew too far at once');
    }
    if (bound !== before) this.goodSteps = 0;
  }

  /** Checks that no offer waits if all the waiting ones would fit. */
  private checkWorkConserving(bound: number): void {
    if (this.closed || this.waiting.size === 0) return;
    const standing = [...this.granted.values()].some(g => g.key === '');
    check(!standing, 'a standing grant is left while an offer waits');
    if (this.granted.size + this.running.size >= bound) return;
    const free = KV_TOKENS - this.kvTokens();
    const batchFree = BATCH_TOKENS - this.batchTokens();
    const allFit = [...this.waiting.values()].every(
      ({offer}) =>
        tokensOf(offer) <= free &&
        (batchFree === BATCH_TOKENS || offer.promptTokens <= batchFree),
    );
    check(!allFit, 'capacity is idle while offers wait that fit');
  }

  private recordEffect(
    message: AdmissionMessage,
    effect: AdmissionEffect,
    nowMs: number,
  ): void {
    switch (effect.kind) {
      case 'grant':
        return this.recordGrant(effect.entry, effect.grant, nowMs);
      case 'revoke':
        this.granted.delete(effect.grantId);
        return;
      case 'refuse': {
        const key = attemptKey(effect.refuse);
        this.waiting.delete(key);
        check(!this.running.has(key), 'a running attempt was refused');
        check(!this.ran.has(key), 'an attempt that ran was refused');
        if (message.kind !== 'start') return;
        this.reportedNotRun.add(`${effect.entry} ${key}`);
        this.dropAttempt(key, effect.entry);
        return;
      }
      case 'run':
        return this.recordRun(message, effect, nowMs);
    }
  }

  private recordGrant(entry: EntryId, grant: Grant, nowMs: number): void {
    check(!this.closed, 'a grant was issued after leaving or zone out');
    check(grant.expiresMs > nowMs, 'a grant was issued expired');
    check(!this.grantIds.has(grant.grantId), 'a grant id was used again');
    this.grantIds.add(grant.grantId);
    const standing = grant.requestId === '';
    const key = standing ? '' : attemptKey(grant);
    const sent = this.waiting.get(key);
    check(standing || sent?.entry === entry, 'a grant without an offer');
    if (sent) check(grant.maxTokens === tokensOf(sent.offer), 'wrong tokens');
    if (standing) check(this.waiting.size === 0, 'standing while one waits');
    this.waiting.delete(key);
    const {expiresMs, maxTokens: tokens} = grant;
    const promptTokens = sent ? sent.offer.promptTokens : tokens;
    const record = {entry, key, tokens, promptTokens, expiresMs};
    this.granted.set(grant.grantId, record);
  }

  private recordRun(
    message: AdmissionMessage,
    {entry, start, offer}: AdmissionEffect & {readonly kind: 'run'},
    nowMs: number,
  ): void {
    const key = attemptKey(start);
    const grant = this.granted.get(start.grantId);
    check(message.kind === 'start', 'a run without a start');
    check(!this.closed, 'a run was begun after leaving or zone out');
    check(!this.ran.has(key), 'an attempt was run twice');
    const wasReportedNotRun = this.reportedNotRun.has(`${entry} ${key}`);
    check(!wasReportedNotRun, 'run after "not run" was reported');
    check(grant !== undefined, 'a run without a live grant');
    check(grant!.entry === entry, "a run on another entry's grant");
    check(grant!.expiresMs > nowMs, 'a run on an expired grant');
    check(grant!.key === '' || grant!.key === key, 'a run of another request');
    check(tokensOf(offer) <= grant!.tokens, 'a run larger than its grant');
    this.granted.delete(start.grantId);
    this.dropAttempt(key, entry);
    this.running.set(key, offer);
    this.batch.set(key, offer.promptTokens);
    this.ran.add(key);
  }
}

function tokensOf(offer: Offer): number {
  return offer.promptTokens + offer.maxOutputTokens;
}
