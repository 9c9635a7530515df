/**
 * The state of admission control, the messages that the sidecar's work task
 * passes to it and the effects that the task carries out.
 */
import {Map} from 'immutable';
import {Decision} from '../kernel/decision';
import {emptyRules, RuleSet} from '../rules/model';
import {AttemptRef, Grant, Load, Offer, Refuse, Start} from '../wire/messages';
import {Bounds, emptyLedger, Ledger} from './ledger';
import {EntryId} from './offer';
import {emptyQueue, FairQueue, QueueOrder} from './queue';
import {coldWarmup, Warmup} from './warmup';

export type AdmissionMessage =
  | {readonly kind: 'offer'; readonly entry: EntryId; readonly offer: Offer}
  | {readonly kind: 'withdraw'; readonly entry: EntryId; ref: AttemptRef}
  | {readonly kind: 'start'; readonly entry: EntryId; readonly start: Start}
  /** An attempt gave its first output token: its prompt left the batch. */
  | {readonly kind: 'prefilled'; readonly ref: AttemptRef}
  /** An attempt ended; `tokens` is what it used: prompt plus output. */
  | {readonly kind: 'ended'; readonly ref: AttemptRef; readonly tokens: number}
  /** Engine steps, with the duration and batch size of the last one. */
  | {
      readonly kind: 'step';
      readonly stepMs: number;
      readonly batch: number;
      /** Steps since the last report; 1 if absent. */
      readonly steps?: number;
    }
  /** What the sidecar last observed of the endpoint. */
  | {
      readonly kind: 'engine';
      /** The endpoint's instance id; empty if it did not answer. */
      readonly instance: string;
      /** Connections to it fail, so it is not merely slow to answer. */
      readonly down?: boolean;
    }
  /**
   * A call to the endpoint failed, so the endpoint may have restarted. The
   * cold bound applies until its instance id is observed again.
   */
  | {readonly kind: 'suspect'}
  /** The number of standing grants that an entry wants. */
  | {
      readonly kind: 'standing';
      readonly entry: EntryId;
      readonly wanted: number;
    }
  /** The link to an entry closed. */
  | {readonly kind: 'entryLost'; readonly entry: EntryId}
  | {readonly kind: 'rules'; readonly rules: RuleSet}
  /** The sidecar or its endpoint is about to stop, or no longer is. */
  | {readonly kind: 'leaving'; readonly leaving: boolean}
  /** Sent at intervals, so that grants and offers expire without traffic. */
  | {readonly kind: 'tick'};

export type AdmissionEffect =
  | {readonly kind: 'grant'; readonly entry: EntryId; readonly grant: Grant}
  | {readonly kind: 'refuse'; readonly entry: EntryId; readonly refuse: Refuse}
  | {readonly kind: 'revoke'; readonly entry: EntryId; readonly grantId: string}
  /** Give the attempt to the endpoint now. */
  | {
      readonly kind: 'run';
      readonly entry: EntryId;
      readonly start: Start;
      readonly offer: Offer;
    };

/** The endpoint and its limits. */
export interface AdmissionSettings {
  readonly instance: string;
  readonly incarnation: string;
  readonly zone: string;
  readonly coldConcurrent: number;
  readonly maxConcurrent: number;
  readonly kvTokens: number;
  readonly targetStepMs: number;
  /** Good steps before the bound first exceeds the cold bound; default 64. */
  readonly warmSteps?: number;
  /**
   * Limit for the prompt tokens of all attempts that have not given their
   * first output token; no limit if absent.
   */
  readonly batchTokens?: number;
  /** Default `fair`; `fifo` is a baseline for benchmarks. */
  readonly order?: QueueOrder;
  /** Default true; false admits all at once, as a baseline for benchmarks. */
  readonly enforceBounds?: boolean;
}

export interface AdmissionState {
  readonly settings: AdmissionSettings;
  readonly queue: FairQueue;
  readonly ledger: Ledger;
  readonly warmup: Warmup;
  /** A call failed and the endpoint's instance was not observed since. */
  readonly restartSuspected: boolean;
  /** Connections to the endpoint fail, so any request would fail at once. */
  readonly down: boolean;
  /** Number of standing grants that each entry wants. */
  readonly standingWanted: Map<EntryId, number>;
  readonly nextGrantNumber: number;
  readonly leaving: boolean;
  /** A rule takes the sidecar's zone out of service. */
  readonly zoneOut: boolean;
  /** A rule takes this endpoint out of service. */
  readonly retired: boolean;
  readonly lastCleanupMs: number;
}

export type AdmissionDecision = Decision<AdmissionState, AdmissionEffect>;

export function initialAdmission(settings: AdmissionSettings): AdmissionState {
  return {
    settings,
    queue: emptyQueue(settings.order ?? 'fair', emptyRules),
    ledger: emptyLedger,
    warmup: coldWarmup(settings),
    restartSuspected: false,
    down: false,
    standingWanted: Map(),
    nextGrantNumber: 1,
    leaving: false,
    zoneOut: false,
    retired: false,
    lastCleanupMs: 0,
  };
}

/** The load report that entries receive. */
export function loadOf(state: AdmissionState): Load {
  const {settings, ledger, warmup} = state;
  return {
    running: ledger.running.size,
    waiting: state.queue.waiting.size,
    bound: concurrencyBound(state),
    freeTokens: Math.max(0, settings.kvTokens - ledger.kvTokens),
    cold:
      concurrencyBound(state) <= settings.coldConcurrent &&
      settings.coldConcurrent < settings.maxConcurrent,
    leaving: refusalReason(state) !== undefined,
    stepMs: warmup.lastStepMs,
    cachedPrefixes: [],
    evictedPrefixes: [],
    cacheSequence: 0,
  };
}

/** How many requests the endpoint may run at once now. */
export function concurrencyBound({
  settings,
  warmup,
  restartSuspected,
}: AdmissionState): number {
  return restartSuspected ? settings.coldConcurrent : warmup.bound;
}

/** What may be reserved at once now; unlimited in the unbounded baseline. */
export function currentBounds(state: AdmissionState): Bounds {
  const {settings} = state;
  if (settings.enforceBounds === false) {
    const none = Infinity;
    return {concurrent: none, kvTokens: none, batchTokens: none};
  }
  return {
    concurrent: concurrencyBound(state),
    kvTokens: settings.kvTokens,
    batchTokens: settings.batchTokens ?? Infinity,
  };
}

/** Why all offers are refused now; undefined while they are accepted. */
export function refusalReason(state: AdmissionState): string | undefined {
  if (state.leaving || state.retired) return 'leaving';
  if (state.zoneOut) return 'zone out';
  if (state.down) return 'endpoint does not answer';
  return undefined;
}
