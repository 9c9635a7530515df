/**
 * Issues, revokes and expires grants.
 *
 * Free capacity is granted to waiting offers in the order of the fair queue.
 * While no offer waits, part of it is given to entries as standing grants,
 * which save the round trip of an offer. All standing grants are revoked as
 * soon as an offer has to wait.
 */
import {createDecision} from '../kernel/decision';
import {AttemptRef} from '../wire/messages';
import {
  addHeldGrant,
  Cost,
  costOf,
  firstExpiredGrant,
  fitsBounds,
  HeldGrant,
  removeHeldGrant,
  slotsTaken,
  totalStandingGrants,
} from './ledger';
import {EntryId} from './offer';
import {
  chargeOffer,
  dequeue,
  offersPastDeadline,
  pickOffer,
  settleCharge,
} from './queue';
import {
  AdmissionDecision,
  AdmissionEffect,
  AdmissionSettings,
  AdmissionState,
  concurrencyBound,
  currentBounds,
  refusalReason,
} from './state';

export const GRANT_LIFETIME_MS = 2_000;
export const STANDING_GRANT_LIFETIME_MS = 5_000;

const RETRY_AFTER_MS = 500;
/** Fraction of the slots without other use that may be standing grants. */
const STANDING_GRANT_FRACTION = 0.5;

export function refuseEffect(
  entry: EntryId,
  ref: AttemptRef,
  reason: string,
): AdmissionEffect {
  const {requestId, attempt} = ref;
  const refuse = {requestId, attempt, reason, retryAfterMs: RETRY_AFTER_MS};
  return {kind: 'refuse', entry, refuse};
}

function revokeEffect({entry, grantId}: HeldGrant): AdmissionEffect {
  return {kind: 'revoke', entry, grantId};
}

/** Drops an unused grant, frees its reservation and refunds its charge. */
export function dropGrant(
  state: AdmissionState,
  held: HeldGrant,
  nowMs: number,
): AdmissionState {
  const {charge} = held;
  const queue = charge
    ? settleCharge(state.queue, charge, 0, nowMs)
    : state.queue;
  return {...state, queue, ledger: removeHeldGrant(state.ledger, held)};
}

export function standingGrants({ledger}: AdmissionState): readonly HeldGrant[] {
  return [...ledger.held.values()].filter(h => !h.offer);
}

export function revokeGrants(
  state: AdmissionState,
  grants: readonly HeldGrant[],
  nowMs: number,
): AdmissionDecision {
  const next = grants.reduce((s, h) => dropGrant(s, h, nowMs), state);
  return {state: next, effects: grants.map(revokeEffect)};
}

/**
 * Revokes unused grants in excess of a bound that has fallen: standing grants
 * first, then the others, each the newest first.
 */
export function revokeExcessGrants(
  state: AdmissionState,
  nowMs: number,
): AdmissionDecision {
  const excess = slotsTaken(state.ledger) - currentBounds(state).concurrent;
  if (excess <= 0 || state.ledger.held.isEmpty()) return createDecision(state);
  const newestFirst = [...state.ledger.held.values()].reverse();
  const order = [
    ...newestFirst.filter(h => !h.offer),
    ...newestFirst.filter(h => h.offer),
  ];
  return revokeGrants(state, order.slice(0, excess), nowMs);
}

/** Revokes expired grants and refuses offers whose deadline has passed. */
export function expireGrantsAndOffers(
  state: AdmissionState,
  nowMs: number,
): AdmissionDecision {
  const effects: AdmissionEffect[] = [];
  let next = state;
  for (;;) {
    const held = firstExpiredGrant(next.ledger, nowMs);
    if (!held) break;
    next = dropGrant(next, held, nowMs);
    effects.push(revokeEffect(held));
  }
  for (const {entry, offer} of offersPastDeadline(next.queue, nowMs)) {
    next = {...next, queue: dequeue(next.queue, offer, nowMs)};
    effects.push(refuseEffect(entry, offer, 'deadline passed'));
  }
  return {state: next, effects};
}

/**
 * Grants free capacity to waiting offers. If none is left waiting, gives out
 * standing grants; otherwise revokes the standing grants and tries again.
 */
export function issueGrants(
  state: AdmissionState,
  nowMs: number,
): AdmissionDecision {
  const reason = refusalReason(state);
  if (reason) return stopGranting(state, reason, nowMs);
  const granted = grantWaiting(state, nowMs);
  if (granted.state.queue.waiting.isEmpty()) {
    return andThen(granted, s => grantStanding(s, nowMs));
  }
  const standing = standingGrants(granted.state);
  if (standing.length === 0) return granted;
  const revoked = andThen(granted, s => revokeGrants(s, standing, nowMs));
  return andThen(revoked, s => grantWaiting(s, nowMs));
}

/** Applies a second decision to the state of the first; effects add up. */
function andThen(
  before: AdmissionDecision,
  decide: (state: AdmissionState) => AdmissionDecision,
): AdmissionDecision {
  const after = decide(before.state);
  return {state: after.state, effects: [...before.effects, ...after.effects]};
}

function grantWaiting(state: AdmissionState, nowMs: number): AdmissionDecision {
  const effects: AdmissionEffect[] = [];
  let next = state;
  const bounds = currentBounds(state);
  while (slotsTaken(next.ledger) < bounds.concurrent) {
    const {ledger} = next;
    const found = pickOffer(next.queue, o =>
      fitsBounds(ledger, bounds, costOf(o)),
    );
    if (!found) break;
    const {entry, offer} = found;
    const dequeued = dequeue(next.queue, offer, nowMs);
    const {queue, charge} = chargeOffer(dequeued, offer, nowMs);
    const expiresMs = nowMs + GRANT_LIFETIME_MS;
    const cost = costOf(offer);
    const grantId = nextGrantId(next);
    const held = {grantId, entry, offer, charge, cost, expiresMs};
    next = withGrant({...next, queue}, held);
    effects.push(grantEffect(held));
  }
  return {state: next, effects};
}

function nextGrantId({settings, nextGrantNumber}: AdmissionState): string {
  return `${settings.incarnation}/${nextGrantNumber}`;
}

/** Adds a grant to the ledger and advances the grant number. */
function withGrant(state: AdmissionState, held: HeldGrant): AdmissionState {
  const ledger = addHeldGrant(state.ledger, held);
  return {...state, ledger, nextGrantNumber: state.nextGrantNumber + 1};
}

function grantEffect(held: HeldGrant): AdmissionEffect {
  const {grantId, entry, offer, expiresMs, cost} = held;
  const grant = {
    grantId,
    requestId: offer?.requestId ?? '',
    attempt: offer?.attempt ?? 0,
    expiresMs,
    maxTokens: cost.kvTokens,
  };
  return {kind: 'grant', entry, grant};
}

/** Issues standing grants for part of the free slots. */
function grantStanding(
  state: AdmissionState,
  nowMs: number,
): AdmissionDecision {
  if (state.standingWanted.isEmpty()) return createDecision(state);
  const cost = standingCost(state.settings);
  const expiresMs = nowMs + STANDING_GRANT_LIFETIME_MS;
  const effects: AdmissionEffect[] = [];
  let next = state;
  for (;;) {
    const entry = nextStandingEntry(next);
    if (entry === undefined) break;
    if (!fitsBounds(next.ledger, currentBounds(next), cost)) break;
    const held = {grantId: nextGrantId(next), entry, cost, expiresMs};
    next = withGrant(next, held);
    effects.push(grantEffect(held));
  }
  return {state: next, effects};
}

/**
 * What a standing grant reserves: an even share of the endpoint's KV memory.
 * The request that uses the grant may have a prompt as long as that share, so
 * the same number of batch tokens is reserved.
 */
function standingCost(settings: AdmissionSettings): Cost {
  const {kvTokens, maxConcurrent, batchTokens = Infinity} = settings;
  const share = Math.floor(kvTokens / maxConcurrent);
  const tokens = Math.min(share, batchTokens);
  return {kvTokens: tokens, batchTokens: tokens};
}

/**
 * The entry to get the next standing grant: the one with the fewest among
 * those that want more; undefined if no more may be given out.
 */
function nextStandingEntry(state: AdmissionState): EntryId | undefined {
  const {ledger, standingWanted, settings} = state;
  const standing = totalStandingGrants(ledger);
  const bound =
    settings.enforceBounds === false
      ? settings.maxConcurrent
      : concurrencyBound(state);
  const openSlots = bound - (slotsTaken(ledger) - standing);
  if (standing >= Math.floor(openSlots * STANDING_GRANT_FRACTION))
    return undefined;
  let bestEntry: EntryId | undefined;
  let fewest = Infinity;
  for (const [entry, count] of standingWanted) {
    const heldCount = ledger.standingCounts.get(entry, 0);
    if (heldCount < count && heldCount < fewest)
      [bestEntry, fewest] = [entry, heldCount];
  }
  return bestEntry;
}

/** Refuses all waiting offers and revokes all unused grants. */
function stopGranting(
  state: AdmissionState,
  reason: string,
  nowMs: number,
): AdmissionDecision {
  const waiting = [...state.queue.waiting.values()];
  const revoked = revokeGrants(state, [...state.ledger.held.values()], nowMs);
  const queue = waiting.reduce(
    (q, w) => dequeue(q, w.offer, nowMs),
    revoked.state.queue,
  );
  const refusals = waiting.map(w => refuseEffect(w.entry, w.offer, reason));
  return {
    state: {...revoked.state, queue},
    effects: [...refusals, ...revoked.effects],
  };
}
