/** The simulated sidecar and entries of the admission fuzz test. */
import {Map as Dictionary, Set as Names} from 'immutable';
import {
  AdmissionEffect,
  AdmissionMessage,
  AdmissionSettings,
  AdmissionState,
  decideAdmission,
  EntryId,
  initialAdmission,
  attemptKey,
} from '../../src/capacity/admission';
import {emptyRules, RuleSet} from '../../src/rules/model';
import {Grant, Offer, Start} from '../../src/wire/messages';
import {
  BATCH_TOKENS,
  COLD_CONCURRENT,
  KV_TOKENS,
  MAX_CONCURRENT,
  Oracle,
  TARGET_STEP_MS,
  WARM_STEPS,
} from './admission-oracle';

export const ENTRIES = ['e1', 'e2', 'e3'];
export const ACCOUNTS = ['a', 'b', 'c'];
export const CALLERS = ['x', 'y'];
export const WEIGHTS: Readonly<Record<string, number>> = {a: 1, b: 2, c: 3};

/** The sidecar under test, its entries and the network between them. */
export class World {
  readonly oracle = new Oracle();
  /** Messages sent and not yet delivered. */
  readonly delayed: AdmissionMessage[] = [];
  /** Every delivered message, for commands that repeat one. */
  readonly history: AdmissionMessage[] = [];
  readonly issuedGrants: {entry: EntryId; grant: Grant}[] = [];
  readonly offers = new Map<string, Offer>();
  nowMs = 1_000_000;
  private requests = 0;
  private incarnation = 0;
  private state = this.startSidecar();

  private startSidecar(): AdmissionState {
    this.incarnation += 1;
    const settings: AdmissionSettings = {
      instance: 's',
      incarnation: `i${this.incarnation}`,
      zone: 'z',
      coldConcurrent: COLD_CONCURRENT,
      maxConcurrent: MAX_CONCURRENT,
      kvTokens: KV_TOKENS,
      batchTokens: BATCH_TOKENS,
      targetStepMs: TARGET_STEP_MS,
      warmSteps: WARM_STEPS,
    };
    return initialAdmission(settings);
  }

  restart(): void {
    this.state = this.startSidecar();
    this.oracle.reset();
  }

  newOffer(parts: Partial<Offer>): Offer {
    this.requests += 1;
    const offer: Offer = {
      requestId: `r${this.requests}`,
      attempt: 1,
      account: 'a',
      caller: 'x',
      targetKind: 'model',
      target: 'm',
      promptTokens: 10,
      maxOutputTokens: 10,
      prefixHashes: [],
      priority: 5,
      deadlineMs: this.nowMs + 60_000,
      idempotent: true,
      ...parts,
    };
    this.offers.set(attemptKey(offer), offer);
    return offer;
  }

  /** Passes a message to the sidecar and checks its effects. */
  deliver(message: AdmissionMessage): readonly AdmissionEffect[] {
    this.history.push(message);
    this.oracle.before(message, this.nowMs);
    const now = new Date(this.nowMs);
    const {state, effects} = decideAdmission(this.state, message, now);
    this.state = state;
    this.oracle.after(message, effects, state, this.nowMs);
    for (const effect of effects) {
      if (effect.kind === 'grant') this.issuedGrants.push(effect);
    }
    return effects;
  }

  /** A start on a grant; `standing` is the offer for a standing grant. */
  startMessage(
    entry: EntryId,
    grant: Grant,
    standing?: Offer,
  ): AdmissionMessage {
    const {requestId, attempt} = standing ?? grant;
    const start: Start = {
      grantId: grant.grantId,
      requestId,
      attempt,
      body: new Uint8Array(0),
      resumeOffset: 0,
      creditBytes: 0,
      method: 'POST',
      path: '/',
      headers: [],
      ...(standing ? {offer: standing} : {}),
    };
    return {kind: 'start', entry, start};
  }

  rulesMessage(zoneOut: boolean, retired: boolean): AdmissionMessage {
    const account = (name: string) => ({
      name,
      weight: WEIGHTS[name]!,
      keyHashes: [],
    });
    const rules: RuleSet = {
      ...emptyRules,
      accounts: Dictionary(ACCOUNTS.map(name => [name, account(name)])),
      zonesOut: Names(zoneOut ? ['z'] : []),
      leaving: Names(retired ? ['s'] : []),
    };
    return {kind: 'rules', rules};
  }
}
