/**
 * Chooses sidecars for requests by load, outstanding requests, circuits and
 * cached prefixes, and keeps the retry budget. This state is not stored: a
 * restarted entry learns it again within seconds.
 */
import {Clock} from '../kernel/clock';
import {
  Candidate,
  SidecarSelector,
  SelectionPolicy,
  createSelector,
  Random,
} from '../routing/selection';
import {
  Circuits,
  isUsable,
  noCircuits,
  recordOffer,
  observeDelay,
  observeFailure,
} from '../routing/circuit';
import {PrefixIndex} from '../routing/prefix';
import {
  countFirstAttempt,
  emptyRetryState,
  RetryBudget,
  takeRetry,
} from '../routing/retry';
import {ActiveRules} from '../rules/activerules';
import {Load, TargetKind} from '../wire/messages';
import {LinkedSidecar} from './links';

export interface RouterParts {
  readonly zone: string;
  readonly linked: () => readonly LinkedSidecar[];
  readonly activeRules: ActiveRules;
  readonly clock: Clock;
  /** A policy by name, or a function. */
  readonly pick: SelectionPolicy | SidecarSelector;
  readonly random: Random;
}

/** What routing needs to know of a request. */
export interface RoutableRequest {
  readonly targetKind: TargetKind;
  readonly target: string;
  readonly promptTokens: number;
  readonly prefixHashes: readonly number[];
}

/** Sidecars that a request is offered to at a time. */
export const OFFERS_PER_ATTEMPT = 2;

/** Window of the retry budget in the rule file, in milliseconds. */
export const RETRY_WINDOW_MS = 10_000;

export class Router {
  private readonly prefixes = new PrefixIndex();
  private readonly outstanding = new Map<string, number>();
  private readonly pick: SidecarSelector;
  private circuits: Circuits = noCircuits;
  private retries = emptyRetryState;

  constructor(private readonly parts: RouterParts) {
    const {pick, random} = parts;
    this.pick =
      typeof pick === 'string'
        ? createSelector(pick, this.prefixes, random)
        : pick;
  }

  /** Chooses the sidecars to offer a request to; empty if none is left. */
  choose(
    request: RoutableRequest,
    exclude: ReadonlySet<string>,
  ): readonly string[] {
    const now = this.parts.clock.now();
    const candidates = this.candidates(request);
    const healthy = candidates.filter(c =>
      isUsable(this.circuits, c.sidecar, now),
    );
    const {prefixHashes} = request;
    const wanted = {prefixHashes, zone: this.parts.zone, exclude};
    const chosen = this.pick(healthy, wanted, OFFERS_PER_ATTEMPT);
    // If no other is left, use endpoints with an open circuit: a slow endpoint
    // is better than none.
    return chosen.length > 0
      ? chosen
      : this.pick(candidates, wanted, OFFERS_PER_ATTEMPT);
  }

  private candidates(request: RoutableRequest): readonly Candidate[] {
    const {rules} = this.parts.activeRules.current();
    const found: Candidate[] = [];
    for (const {hello, load} of this.parts.linked()) {
      const {instance, zone, target, targetKind} = hello;
      if (target !== request.target || targetKind !== request.targetKind)
        continue;
      if (rules.zonesOut.has(zone) || rules.leaving.has(instance)) continue;
      const outstanding = this.outstanding.get(instance) ?? 0;
      found.push({sidecar: instance, zone, load, outstanding});
    }
    return found;
  }

  /** Changes the count of requests offered to or started at a sidecar. */
  adjustOutstanding(sidecar: string, change: number): void {
    const count = (this.outstanding.get(sidecar) ?? 0) + change;
    if (count > 0) this.outstanding.set(sidecar, count);
    else this.outstanding.delete(sidecar);
  }

  recordOffer(sidecar: string): void {
    const now = this.parts.clock.now();
    this.circuits = recordOffer(this.circuits, sidecar, now);
  }

  recordStart(sidecar: string, request: RoutableRequest): void {
    this.prefixes.recordPrompt(sidecar, request.prefixHashes);
  }

  /** Records the delay and the cache hit of an answer's first frame. */
  recordFirstFrame(
    sidecar: string,
    request: RoutableRequest,
    delayMs: number,
    cachedTokens: number,
  ): void {
    const now = this.parts.clock.now();
    const {target, promptTokens, prefixHashes} = request;
    this.circuits = observeDelay(this.circuits, sidecar, target, delayMs, now);
    if (promptTokens === 0) return;
    const cachedShare = cachedTokens / promptTokens;
    this.prefixes.recordCachedFraction(
      sidecar,
      prefixHashes,
      Math.min(1, cachedShare),
    );
  }

  recordFailure(sidecar: string, request: RoutableRequest): void {
    const now = this.parts.clock.now();
    this.circuits = observeFailure(this.circuits, sidecar, request.target, now);
  }

  recordLoad(sidecar: string, load: Load): void {
    this.prefixes.applyCacheEvent(sidecar, load);
  }

  /** Forgets a sidecar's prefixes; its next incarnation may use a new engine. */
  forgetPrefixes(sidecar: string): void {
    this.prefixes.forget(sidecar);
  }

  countFirstAttempt(): void {
    this.retries = countFirstAttempt(
      this.retries,
      this.retryBudget(),
      this.parts.clock.elapsedMs(),
    );
  }

  /** Takes one retry from the retry budget, if it has one left. */
  takeRetryAllowance(): boolean {
    const taken = takeRetry(
      this.retries,
      this.retryBudget(),
      this.parts.clock.elapsedMs(),
    );
    this.retries = taken.state;
    return taken.allowed;
  }

  private retryBudget(): RetryBudget {
    const {retryRatio, retryFloorPerS} =
      this.parts.activeRules.current().rules.budgets;
    return {retryRatio, retryFloorPerS, windowMs: RETRY_WINDOW_MS};
  }

  /** Sidecars whose circuit is not closed, for `status`. */
  avoidedSidecars(): readonly string[] {
    return this.circuits
      .filter(({circuit}) => circuit !== 'closed')
      .keySeq()
      .toArray();
  }
}
