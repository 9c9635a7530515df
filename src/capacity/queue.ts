/**
 * The fair queue of offers that wait for a grant.
 *
 * Offers are ordered by priority class, then by the account's virtual token
 * counter, then by the caller's, then by arrival. A grant charges the tokens
 * that the attempt is expected to use. When the attempt ends, the charge is
 * corrected to the tokens that it used.
 *
 * The expected output is the account's recent mean and not the permitted
 * maximum. With the maximum, an account with many attempts in flight would be
 * charged far too much, and the later corrections would favor it over
 * accounts that joined meanwhile.
 *
 * Each priority class has counters of its own. Otherwise an account that waits
 * in a lower class would hold down the lowest counter of a higher one.
 */
import {Map} from 'immutable';
import {RuleSet} from '../rules/model';
import {AttemptRef, Offer} from '../wire/messages';
import {attemptKey, WaitingOffer} from './offer';
import {ascending, first, insert, SortedSet, remove} from './sortedset';
import {
  charge,
  emptyShares,
  forgetIdle,
  setQueue,
  settle,
  Shares,
  waitingMembers,
} from './shares';

/** `fifo` ignores priorities, accounts and callers. */
export type QueueOrder = 'fair' | 'fifo';

/** Waiting offers of one caller by arrival. */
type CallerQueue = SortedSet<WaitingOffer>;
/** The callers of one account, with their waiting offers. */
type AccountQueue = Shares<NonNullable<CallerQueue>>;
/** The accounts of one priority class. */
type PriorityClass = Shares<AccountQueue>;

export interface FairQueue {
  readonly order: QueueOrder;
  readonly rules: RuleSet;
  /** By priority; 0 is served first. */
  readonly classes: Map<number, PriorityClass>;
  /**
   * The callers, with their counters, of accounts without waiting offers; by
   * priority and account.
   */
  readonly idleAccounts: Map<string, AccountQueue>;
  /** Waiting offers by attempt key. */
  readonly waiting: Map<string, WaitingOffer>;
  /** Attempt keys of waiting offers in the order of their deadlines. */
  readonly keysByDeadline: SortedSet<string>;
  /** Number of waiting offers by account, and by account and caller. */
  readonly waitingCounts: Map<string, number>;
  /** Recent mean output tokens of an account's attempts. */
  readonly meanOutputTokens: Map<string, number>;
  readonly nextSequence: number;
}

/** What an attempt was charged; needed to correct the charge at its end. */
export interface Charge {
  readonly queueKey: QueueKey;
  readonly promptTokens: number;
  /** Expected tokens, before division by a weight. */
  readonly tokens: number;
  readonly accountWeight: number;
  readonly callerWeight: number;
}

/** The priority class, account and caller that an offer is queued under. */
export interface QueueKey {
  readonly priority: number;
  readonly account: string;
  readonly caller: string;
}

export const MAX_WAITING_PER_ACCOUNT = 1_000;
/**
 * How many offers of an account may wait above MAX_WAITING_PER_ACCOUNT; only
 * offers of callers with few waiting offers.
 */
const EXTRA_WAITING_FOR_SMALL_CALLERS = 1_000;
/** A caller with fewer waiting offers than this may use that extra room. */
const SMALL_CALLER_MAX_WAITING = 8;

const LOWEST_PRIORITY = 9;
/** Weight of the newest attempt in an account's mean output. */
const MEAN_OUTPUT_GAIN = 0.1;
/** Accounts, and callers of each, whose first offers are tried in one pick. */
const MAX_ACCOUNTS_TRIED = 8;
const MAX_CALLERS_TRIED = 4;
/** The counters of idle accounts and callers are kept this long. */
const IDLE_RETENTION_MS = 60_000;

export function emptyQueue(order: QueueOrder, rules: RuleSet): FairQueue {
  return {
    order,
    rules,
    classes: Map(),
    idleAccounts: Map(),
    waiting: Map(),
    keysByDeadline: undefined,
    waitingCounts: Map(),
    meanOutputTokens: Map(),
    nextSequence: 1,
  };
}

function queueKeyOf(queue: FairQueue, offer: Offer): QueueKey {
  if (queue.order === 'fifo') return {priority: 0, account: '', caller: ''};
  const {account, caller} = offer;
  const priority = Math.min(LOWEST_PRIORITY, offer.priority);
  return {priority, account, caller};
}

function accountWeight({rules}: FairQueue, {account}: QueueKey): number {
  return rules.accounts.get(account)?.weight ?? 1;
}

function callerWeight({rules}: FairQueue, {account, caller}: QueueKey): number {
  return rules.callerWeights.get(`${account}/${caller}`) ?? 1;
}

/** Tokens that an attempt is expected to use; at least one. */
function expectedTokens(queue: FairQueue, offer: Offer): number {
  const mean =
    queue.meanOutputTokens.get(offer.account) ?? offer.maxOutputTokens;
  const output = Math.min(mean, offer.maxOutputTokens);
  return Math.max(1, offer.promptTokens + output);
}

/**
 * Whether an offer may wait. An account that is at its limit still has room
 * for a caller with few waiting offers, so that one large caller cannot fill
 * the queue and shut out the account's other callers.
 */
export function hasRoomFor(queue: FairQueue, offer: Offer): boolean {
  const {account} = offer;
  const ofAccount = queue.waitingCounts.get(account) ?? 0;
  if (ofAccount < MAX_WAITING_PER_ACCOUNT) return true;
  const ofCaller = queue.waitingCounts.get(callerKey(offer)) ?? 0;
  const limit = MAX_WAITING_PER_ACCOUNT + EXTRA_WAITING_FOR_SMALL_CALLERS;
  return ofAccount < limit && ofCaller < SMALL_CALLER_MAX_WAITING;
}

function callerKey({account, caller}: Offer): string {
  return JSON.stringify([account, caller]);
}

function adjustCounts(
  {waitingCounts}: FairQueue,
  offer: Offer,
  change: 1 | -1,
): Map<string, number> {
  const byAccount = addToCount(waitingCounts, offer.account, change);
  return addToCount(byAccount, callerKey(offer), change);
}

function addToCount(
  counts: Map<string, number>,
  key: string,
  change: number,
): Map<string, number> {
  const count = (counts.get(key) ?? 0) + change;
  return count > 0 ? counts.set(key, count) : counts.delete(key);
}

/** Adds an offer; its attempt must not be waiting already. */
export function enqueue(
  queue: FairQueue,
  entry: string,
  offer: Offer,
  nowMs: number,
): FairQueue {
  const sequence = queue.nextSequence;
  const item: WaitingOffer = {entry, offer, sequence};
  const key = attemptKey(offer);
  const queueKey = queueKeyOf(queue, offer);
  const next = {
    ...queue,
    nextSequence: sequence + 1,
    waiting: queue.waiting.set(key, item),
    keysByDeadline: insert(queue.keysByDeadline, offer.deadlineMs, key, key),
    waitingCounts: adjustCounts(queue, offer, 1),
  };
  const added = (callerQueue: CallerQueue) =>
    insert(callerQueue, sequence, key, item);
  const burst = expectedTokens(queue, offer);
  return updateCallerQueue(next, queueKey, nowMs, added, burst);
}

/** Removes an offer if it is waiting. */
export function dequeue(
  queue: FairQueue,
  ref: AttemptRef,
  nowMs: number,
): FairQueue {
  const key = attemptKey(ref);
  const item = queue.waiting.get(key);
  if (!item) return queue;
  const {offer, sequence} = item;
  const next = {
    ...queue,
    waiting: queue.waiting.delete(key),
    keysByDeadline: remove(queue.keysByDeadline, offer.deadlineMs, key),
    waitingCounts: adjustCounts(queue, offer, -1),
  };
  return updateCallerQueue(next, queueKeyOf(queue, offer), nowMs, callerQueue =>
    remove(callerQueue, sequence, key),
  );
}

/**
 * Picks the next offer to grant; `fits` tells whether there is capacity for
 * an offer.
 *
 * If the offer of the first account does not fit, a smaller offer of another
 * account may overtake it, but only while that account's counter is at most
 * what the first account's will be once its offer is served. Each other
 * account can therefore overtake a large request by at most that request's own
 * cost. The same holds between the callers of an account.
 */
export function pickOffer(
  queue: FairQueue,
  fits: (offer: Offer) => boolean,
): WaitingOffer | undefined {
  for (let priority = 0; priority <= LOWEST_PRIORITY; priority += 1) {
    const accounts = queue.classes.get(priority);
    if (accounts?.waitingNames) return pickFromAccounts(queue, accounts, fits);
  }
  return undefined;
}

function pickFromAccounts(
  queue: FairQueue,
  accounts: PriorityClass,
  fits: (offer: Offer) => boolean,
): WaitingOffer | undefined {
  let limit = Infinity;
  let tried = 0;
  for (const {rank, value} of waitingMembers(accounts)) {
    if (rank > limit || tried === MAX_ACCOUNTS_TRIED) return undefined;
    const callers = accounts.members.get(value)!.queue!;
    const found = pickFromCallers(queue, callers, fits);
    if (found) return found;
    if (tried === 0) limit = rank + firstOfferAccountCost(queue, callers);
    tried += 1;
  }
  return undefined;
}

function pickFromCallers(
  queue: FairQueue,
  callers: AccountQueue,
  fits: (offer: Offer) => boolean,
): WaitingOffer | undefined {
  let limit = Infinity;
  let tried = 0;
  for (const {rank, value: name} of waitingMembers(callers)) {
    if (rank > limit || tried === MAX_CALLERS_TRIED) return undefined;
    const {value} = first(callers.members.get(name)!.queue)!;
    if (fits(value.offer)) return value;
    if (tried === 0) limit = rank + callerCost(queue, value.offer);
    tried += 1;
  }
  return undefined;
}

/** By how much its first offer, once served, raises the account's counter. */
function firstOfferAccountCost(
  queue: FairQueue,
  callers: AccountQueue,
): number {
  const caller = first(callers.waitingNames)!.value;
  const {offer} = first(callers.members.get(caller)!.queue)!.value;
  const weight = accountWeight(queue, queueKeyOf(queue, offer));
  return expectedTokens(queue, offer) / weight;
}

/** By how much the offer, once served, raises the caller's counter. */
function callerCost(queue: FairQueue, offer: Offer): number {
  const weight = callerWeight(queue, queueKeyOf(queue, offer));
  return expectedTokens(queue, offer) / weight;
}

/** Charges the account and caller of an offer that is granted or started. */
export function chargeOffer(
  queue: FairQueue,
  offer: Offer,
  nowMs: number,
): {readonly queue: FairQueue; readonly charge: Charge} {
  const queueKey = queueKeyOf(queue, offer);
  const charged: Charge = {
    queueKey,
    promptTokens: offer.promptTokens,
    tokens: expectedTokens(queue, offer),
    accountWeight: accountWeight(queue, queueKey),
    callerWeight: callerWeight(queue, queueKey),
  };
  const {tokens} = charged;
  const byAccount = updateClass(queue, queueKey.priority, accounts =>
    charge(accounts, queueKey.account, tokens / charged.accountWeight, nowMs),
  );
  const byCaller = updateCallers(byAccount, queueKey, nowMs, callers =>
    charge(callers, queueKey.caller, tokens / charged.callerWeight, nowMs),
  );
  return {queue: byCaller, charge: charged};
}

/** Corrects a charge to the tokens used; 0 for an attempt that never ran. */
export function settleCharge(
  queue: FairQueue,
  charged: Charge,
  usedTokens: number,
  nowMs: number,
): FairQueue {
  const {queueKey} = charged;
  const correction = usedTokens - charged.tokens;
  const byAccount = updateClass(queue, queueKey.priority, accounts =>
    settle(
      accounts,
      queueKey.account,
      correction / charged.accountWeight,
      nowMs,
    ),
  );
  return updateCallers(byAccount, queueKey, nowMs, callers =>
    settle(callers, queueKey.caller, correction / charged.callerWeight, nowMs),
  );
}

/** Updates the account's mean output with that of an ended attempt. */
export function updateMeanOutput(
  queue: FairQueue,
  offer: Offer,
  usedTokens: number,
): FairQueue {
  const output = Math.max(0, usedTokens - offer.promptTokens);
  const before = queue.meanOutputTokens.get(offer.account) ?? output;
  const mean = before + MEAN_OUTPUT_GAIN * (output - before);
  return {
    ...queue,
    meanOutputTokens: queue.meanOutputTokens.set(offer.account, mean),
  };
}

/** Waiting offers whose deadline has passed, the earliest deadline first. */
export function offersPastDeadline(
  queue: FairQueue,
  nowMs: number,
): readonly WaitingOffer[] {
  const late: WaitingOffer[] = [];
  for (const {rank, id} of ascending(queue.keysByDeadline)) {
    if (rank > nowMs) break;
    late.push(queue.waiting.get(id)!);
  }
  return late;
}

/** Forgets accounts and callers that were idle for the retention time. */
export function forgetIdleMembers(queue: FairQueue, nowMs: number): FairQueue {
  const beforeMs = nowMs - IDLE_RETENTION_MS;
  const classes = queue.classes.map(accounts => {
    const kept = forgetIdle(accounts, beforeMs);
    const members = kept.members.map(m =>
      m.queue ? {...m, queue: forgetIdle(m.queue, beforeMs)} : m,
    );
    return {...kept, members};
  });
  const idleAccounts = queue.idleAccounts
    .map(callers => forgetIdle(callers, beforeMs))
    .filter(callers => !callers.members.isEmpty());
  return {...queue, classes, idleAccounts};
}

function updateClass(
  queue: FairQueue,
  priority: number,
  change: (accounts: PriorityClass) => PriorityClass,
): FairQueue {
  const before = queue.classes.get(priority) ?? emptyShares<AccountQueue>();
  return {...queue, classes: queue.classes.set(priority, change(before))};
}

/**
 * Changes the callers of an account, and moves the account to the waiting or
 * the idle accounts, depending on whether any of its callers waits. `burst` is
 * passed on to `setQueue`.
 */
function updateCallers(
  queue: FairQueue,
  queueKey: QueueKey,
  nowMs: number,
  change: (callers: AccountQueue) => AccountQueue,
  burst = 0,
): FairQueue {
  const {priority, account} = queueKey;
  const idleKey = `${priority}/${account}`;
  const accounts = queue.classes.get(priority) ?? emptyShares<AccountQueue>();
  const before =
    accounts.members.get(account)?.queue ??
    queue.idleAccounts.get(idleKey) ??
    emptyShares<NonNullable<CallerQueue>>();
  const after = change(before);
  const isWaiting = after.waitingNames !== undefined;
  const accountQueue = isWaiting ? after : undefined;
  const kept = !isWaiting && !after.members.isEmpty();
  return {
    ...queue,
    classes: queue.classes.set(
      priority,
      setQueue(accounts, account, accountQueue, nowMs, burst),
    ),
    idleAccounts: kept
      ? queue.idleAccounts.set(idleKey, after)
      : queue.idleAccounts.delete(idleKey),
  };
}

/** Changes a caller's queue; `tokens` is the burst before weighting. */
function updateCallerQueue(
  queue: FairQueue,
  queueKey: QueueKey,
  nowMs: number,
  change: (callerQueue: CallerQueue) => CallerQueue,
  tokens = 0,
): FairQueue {
  const callerBurst = tokens / callerWeight(queue, queueKey);
  const accountBurst = tokens / accountWeight(queue, queueKey);
  const updateCaller = (callers: AccountQueue) => {
    const before = callers.members.get(queueKey.caller)?.queue;
    const after = change(before);
    return setQueue(callers, queueKey.caller, after, nowMs, callerBurst);
  };
  return updateCallers(queue, queueKey, nowMs, updateCaller, accountBurst);
}
