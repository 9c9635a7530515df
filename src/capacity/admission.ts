/**
 * Admission control of a sidecar: which entry may send a request to the
 * endpoint, and when.
 *
 * The sidecar owns the endpoint's capacity. An entry starts a request only
 * with a grant, so the number of running requests stays within the bound
 * even when entries act on outdated load reports. This module
 * combines the ledger (reserved capacity), the fair queue (order of waiting
 * offers) and the warm-up (current concurrency bound).
 */
import {createDecision} from '../kernel/decision';
import {RuleSet} from '../rules/model';
import {AttemptRef, Offer, Start} from '../wire/messages';
import {
  dropGrant,
  expireGrantsAndOffers,
  issueGrants,
  refuseEffect,
  revokeExcessGrants,
  revokeGrants,
  standingGrants,
} from './grants';
import {
  addRunning,
  costOf,
  endRunning,
  forgetPastAttempts,
  HeldGrant,
  recordPastAttempt,
  releaseBatchTokens,
  removeHeldGrant,
} from './ledger';
import {EntryId, kvTokensOf, attemptKey} from './offer';
import {
  chargeOffer,
  dequeue,
  enqueue,
  forgetIdleMembers,
  hasRoomFor,
  settleCharge,
  updateMeanOutput,
} from './queue';
import {
  AdmissionDecision,
  AdmissionMessage,
  AdmissionState,
  currentBounds,
  refusalReason,
} from './state';
import {observeInstance, recordSteps} from './warmup';

export {attemptKey} from './offer';
export type {EntryId} from './offer';
export {initialAdmission, loadOf} from './state';
export type {
  AdmissionEffect,
  AdmissionMessage,
  AdmissionSettings,
  AdmissionState,
} from './state';

/**
 * Ended and refused attempts are remembered this long, so that their
 * repeated messages are recognized.
 */
const PAST_ATTEMPT_RETENTION_MS = 60_000;
const CLEANUP_INTERVAL_MS = 10_000;

/**
 * Handles one message. Expired grants and offers are dropped first, so that
 * no message uses them and their capacity is free. Free capacity is granted
 * last.
 */
export function decideAdmission(
  state: AdmissionState,
  message: AdmissionMessage,
  now: Date,
): AdmissionDecision {
  const nowMs = now.getTime();
  const current = expireGrantsAndOffers(state, nowMs);
  const handled = handleMessage(current.state, message, nowMs);
  const issued = issueGrants(handled.state, nowMs);
  return {
    state: issued.state,
    effects: [...current.effects, ...handled.effects, ...issued.effects],
  };
}

function handleMessage(
  state: AdmissionState,
  message: AdmissionMessage,
  nowMs: number,
): AdmissionDecision {
  switch (message.kind) {
    case 'offer':
      return handleOffer(state, message.entry, message.offer, nowMs);
    case 'withdraw':
      return createDecision(
        withdrawAttempt(state, message.entry, message.ref, nowMs),
      );
    case 'start':
      return handleStart(state, message.entry, message.start, nowMs);
    case 'prefilled': {
      const ledger = releaseBatchTokens(state.ledger, attemptKey(message.ref));
      return createDecision({...state, ledger});
    }
    case 'ended':
      return createDecision(
        endAttempt(state, message.ref, message.tokens, nowMs),
      );
    case 'step': {
      const {stepMs, batch, steps} = message;
      const {warmup, settings, restartSuspected} = state;
      if (restartSuspected) return createDecision(state);
      const next = recordSteps(warmup, settings, stepMs, batch, steps);
      return revokeExcessGrants({...state, warmup: next}, nowMs);
    }
    case 'engine': {
      const {instance} = message;
      const warmup = observeInstance(state.warmup, state.settings, instance);
      const down = message.down ?? false;
      const next = {...state, warmup, restartSuspected: false, down};
      return revokeExcessGrants(next, nowMs);
    }
    case 'suspect':
      return revokeExcessGrants({...state, restartSuspected: true}, nowMs);
    case 'standing':
      return setStandingWanted(state, message.entry, message.wanted, nowMs);
    case 'entryLost':
      return createDecision(dropEntry(state, message.entry, nowMs));
    case 'rules':
      return createDecision(applyRules(state, message.rules));
    case 'leaving':
      return createDecision({...state, leaving: message.leaving});
    case 'tick':
      return createDecision(forgetOldRecords(state, nowMs));
  }
}

function applyRules(state: AdmissionState, rules: RuleSet): AdmissionState {
  const {zone, instance} = state.settings;
  return {
    ...state,
    queue: {...state.queue, rules},
    zoneOut: rules.zonesOut.has(zone),
    retired: rules.leaving.has(instance),
  };
}

/** Forgets idle members and past attempts, once per CLEANUP_INTERVAL_MS. */
function forgetOldRecords(
  state: AdmissionState,
  nowMs: number,
): AdmissionState {
  if (nowMs - state.lastCleanupMs < CLEANUP_INTERVAL_MS) return state;
  return {
    ...state,
    lastCleanupMs: nowMs,
    queue: forgetIdleMembers(state.queue, nowMs),
    ledger: forgetPastAttempts(state.ledger, nowMs - PAST_ATTEMPT_RETENTION_MS),
  };
}

function handleOffer(
  state: AdmissionState,
  entry: EntryId,
  offer: Offer,
  nowMs: number,
): AdmissionDecision {
  const {ledger, queue} = state;
  const key = attemptKey(offer);
  // A repeated offer needs no answer: the first one got it or still waits.
  const known =
    queue.waiting.has(key) ||
    ledger.grantIdsByAttempt.has(key) ||
    ledger.running.has(key) ||
    ledger.pastAttempts.get(key)?.outcome === 'ran';
  if (known) return createDecision(state);
  const reason = offerRefusalReason(state, offer, nowMs);
  if (reason) return createDecision(state, refuseEffect(entry, offer, reason));
  return createDecision({...state, queue: enqueue(queue, entry, offer, nowMs)});
}

function offerRefusalReason(
  state: AdmissionState,
  offer: Offer,
  nowMs: number,
): string | undefined {
  const reason = refusalReason(state);
  if (reason) return reason;
  if (state.ledger.pastAttempts.has(attemptKey(offer)))
    return 'start refused before';
  if (offer.deadlineMs <= nowMs) return 'deadline passed';
  if (kvTokensOf(offer) > currentBounds(state).kvTokens) {
    return 'larger than the KV memory of the endpoint';
  }
  if (!hasRoomFor(state.queue, offer)) return 'queue full';
  return undefined;
}

/** Drops the offer or the unused grant that an entry has for an attempt. */
function withdrawAttempt(
  state: AdmissionState,
  entry: EntryId,
  ref: AttemptRef,
  nowMs: number,
): AdmissionState {
  const key = attemptKey(ref);
  if (state.queue.waiting.get(key)?.entry === entry) {
    return {...state, queue: dequeue(state.queue, ref, nowMs)};
  }
  const held = state.ledger.held.get(
    state.ledger.grantIdsByAttempt.get(key, ''),
  );
  return held?.entry === entry ? dropGrant(state, held, nowMs) : state;
}

function handleStart(
  state: AdmissionState,
  entry: EntryId,
  start: Start,
  nowMs: number,
): AdmissionDecision {
  const key = attemptKey(start);
  // A repeated start must not be refused: the entry would take the refusal
  // as "not run", but the attempt runs or has run.
  const {running, pastAttempts, held} = state.ledger;
  if (running.has(key) || pastAttempts.get(key)?.outcome === 'ran') {
    return createDecision(state);
  }
  const grant = held.get(start.grantId);
  const offer = grant && coveredOffer(grant, start);
  const usable = grant?.entry === entry && !pastAttempts.has(key);
  if (!grant || !offer || !usable) {
    return refuseStart(state, entry, start, nowMs);
  }
  // A request that starts on a standing grant may still wait as an offer.
  const next = grant.offer
    ? state
    : withdrawAttempt(state, entry, start, nowMs);
  return startRun(next, grant, start, offer, nowMs);
}

/**
 * Refuses a start permanently. The entry takes the refusal as "not run" and
 * may run the request elsewhere, so the attempt must not run here later: its
 * offer and grant are dropped and the refusal is remembered. If another entry
 * has an offer or grant for the same attempt, that one stays valid.
 */
function refuseStart(
  state: AdmissionState,
  entry: EntryId,
  start: Start,
  nowMs: number,
): AdmissionDecision {
  // 'grant expired' also stands for a grant that is unknown, is another
  // entry's or does not cover the start.
  const reason = refusalReason(state) ?? 'grant expired';
  const key = attemptKey(start);
  const next = withdrawAttempt(state, entry, start, nowMs);
  const hasOtherEntry =
    next.queue.waiting.has(key) || next.ledger.grantIdsByAttempt.has(key);
  const ledger = hasOtherEntry
    ? next.ledger
    : recordPastAttempt(next.ledger, key, 'refused', nowMs);
  return createDecision({...next, ledger}, refuseEffect(entry, start, reason));
}

/** The offer that a start is for; undefined if the grant does not cover it. */
function coveredOffer(held: HeldGrant, start: Start): Offer | undefined {
  if (held.offer) {
    return attemptKey(held.offer) === attemptKey(start)
      ? held.offer
      : undefined;
  }
  const {offer} = start;
  if (!offer || attemptKey(offer) !== attemptKey(start)) return undefined;
  return kvTokensOf(offer) <= held.cost.kvTokens ? offer : undefined;
}

function startRun(
  state: AdmissionState,
  held: HeldGrant,
  start: Start,
  offer: Offer,
  nowMs: number,
): AdmissionDecision {
  const {entry} = held;
  const charged = held.charge
    ? {queue: state.queue, charge: held.charge}
    : chargeOffer(state.queue, offer, nowMs);
  const {queue, charge} = charged;
  const ledger = addRunning(removeHeldGrant(state.ledger, held), {
    entry,
    offer,
    charge,
    cost: costOf(offer),
  });
  const next = {...state, queue, ledger};
  return createDecision(next, {kind: 'run', entry, start, offer});
}

function endAttempt(
  state: AdmissionState,
  ref: AttemptRef,
  tokens: number,
  nowMs: number,
): AdmissionState {
  const key = attemptKey(ref);
  const running = state.ledger.running.get(key);
  if (!running) return state;
  const settled = settleCharge(state.queue, running.charge, tokens, nowMs);
  return {
    ...state,
    // An attempt that used no tokens must not lower the account's mean output.
    queue:
      tokens > 0 ? updateMeanOutput(settled, running.offer, tokens) : settled,
    ledger: endRunning(state.ledger, key, nowMs),
  };
}

/** Drops the grants and offers of an entry whose link was lost. */
function dropEntry(
  state: AdmissionState,
  entry: EntryId,
  nowMs: number,
): AdmissionState {
  const grants = state.ledger.held.filter(h => h.entry === entry);
  const offers = state.queue.waiting.filter(w => w.entry === entry);
  const freed = grants.reduce((s, h) => dropGrant(s, h, nowMs), state);
  const queue = offers.reduce(
    (q, w) => dequeue(q, w.offer, nowMs),
    freed.queue,
  );
  return {...freed, queue, standingWanted: freed.standingWanted.delete(entry)};
}

/**
 * Sets how many standing grants an entry wants and revokes those that it has
 * above that number.
 */
function setStandingWanted(
  state: AdmissionState,
  entry: EntryId,
  wanted: number,
  nowMs: number,
): AdmissionDecision {
  const next = {
    ...state,
    standingWanted:
      wanted > 0
        ? state.standingWanted.set(entry, wanted)
        : state.standingWanted.delete(entry),
  };
  const surplus = state.ledger.standingCounts.get(entry, 0) - wanted;
  if (surplus <= 0) return createDecision(next);
  const mine = standingGrants(next).filter(h => h.entry === entry);
  return revokeGrants(next, mine.slice(0, surplus), nowMs);
}
