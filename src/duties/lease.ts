/**
 * Decides who holds the duties that one instance performs at a time, and until
 * when its lease is valid.
 *
 * Failures addressed: a holder that dies, freezes or is cut off while it may still
 * have a call under way, and answers of the store that are lost or late. All
 * candidates share one row of the store. Each write names the version of the row
 * that it replaces, so the row has one history, and each change of holder increments
 * its term. Whether a write was done is learnt by reading the row, never from the
 * answer to the write alone.
 *
 * Calls and writes of the store are expensive, so a lease is not renewed by writing.
 * It is valid for `leaseMs` after a moment at which the row is known to have contained
 * no challenge. A candidate that does not hear the holder writes a challenge, waits
 * until every lease that was confirmed before the challenge has ended, and then
 * replaces that version of the row, unless the holder has rewritten it.
 *
 * Two clocks are used, each where its error is harmless: durations that must not
 * seem shorter than they are (the age of a confirmation) are measured by an upper
 * bound of the elapsed time, those that must not seem longer (all waits) by a lower.
 */

/** A process that can hold the duties. */
export interface Holder {
  readonly instance: string;
  /** Differs between two processes of the same instance. */
  readonly process: string;
  /** Address for datagrams, an `IP:port`. */
  readonly address: string;
}

/** The content of the row. */
export interface DutyRow {
  /** Fencing token; each change of holder increments it. */
  readonly term: number;
  /** Undefined after the holder has given the duties back. */
  readonly holder: Holder | undefined;
  /** Process that challenges the holder. */
  readonly challenger: string | undefined;
}

export interface VersionedRow {
  /** Undefined if the row does not exist. */
  readonly row: DutyRow | undefined;
  /** Version at which the row was written; 0 if it does not exist. */
  readonly version: number;
}

/** What one answer of the store shows. */
export interface RowRead {
  /** Undefined if the row has not changed since the last read. */
  readonly changed: VersionedRow | undefined;
  /** Version of the whole store. */
  readonly storeVersion: number;
  /** Upper bound of the time since the answer is certain to have been current. */
  readonly ageMs: number;
}

/** Bounds of the time since the start of the task, in milliseconds. */
export interface Elapsed {
  readonly atLeastMs: number;
  readonly atMostMs: number;
}

/** Durations in milliseconds. */
export interface LeaseTimes {
  readonly leaseMs: number;
  /** Wait of the holder's polls. */
  readonly pollWaitMs: number;
  /** Time without an answer of the holder after which the row is read. */
  readonly silenceMs: number;
  /** Time from a challenge until the row may be taken over. */
  readonly challengeMs: number;
  /** Additional time for candidates that have not written the challenge. */
  readonly otherChallengerMs: number;
}

export interface LeaseState {
  readonly self: Holder;
  /** Undefined before the first read. */
  readonly seen: VersionedRow | undefined;
  readonly storeVersion: number;
  /** Whether the row must be read before the next decision. */
  readonly isUncertain: boolean;
  /** Highest term seen. Terms used by this process are never lower. */
  readonly highestTerm: number;
  /** Latest moment known to be without a challenge, by the upper bound. */
  readonly confirmedMs: number;
  /** When the held term may first be used, by the lower bound. */
  readonly usableMs: number;
  /** When the row was last read, by the lower bound. */
  readonly readMs: number;
  /** When the holder or a new version of the row was last seen. */
  readonly heardMs: number;
  readonly pingedMs: number;
  /** Pings since then that have not been answered. */
  readonly unansweredPings: number;
  /** Term of the last challenge written here. */
  readonly challengedTerm: number;
  /** Challenges of that term that its holder has answered in the store only. */
  readonly answeredChallenges: number;
  /** Since when the store has answered only from older versions. */
  readonly olderSinceMs: number | undefined;
  readonly failures: number;
  readonly retryMs: number;
}

export type Step =
  | {readonly kind: 'read'}
  | {readonly kind: 'poll'; readonly waitMs: number}
  | {
      readonly kind: 'write';
      readonly purpose: WritePurpose;
      readonly row: DutyRow;
      /** Version of the row that is replaced; 0 if it must not exist. */
      readonly expectedVersion: number;
    }
  | {readonly kind: 'ping'; readonly address: string; readonly term: number}
  | {readonly kind: 'wait'; readonly ms: number}
  /** Nothing to do until this process becomes a candidate. */
  | {readonly kind: 'idle'};

export type WritePurpose = 'acquire' | 'challenge' | 'answer' | 'release';

/** Time limit of one call that performs a duty, in milliseconds. */
export const DUTY_CALL_TIMEOUT_MS = 800;
/** Allowance for clocks that run at different speeds and for late timers. */
const CHALLENGE_MARGIN_MS = 300;
/** Longest wait of the holder's polls. */
const MAX_POLL_WAIT_MS = 1_500;
/** Two answers to pings may be lost. */
const SILENCE_MS = 2_500;
const OTHER_CHALLENGER_MS = 1_000;
const PING_INTERVAL_MS = 1_000;
/**
 * Pings that must be unanswered, and time for an answer to the last of them. A
 * candidate that was frozen has not asked meanwhile.
 */
const MIN_UNANSWERED_PINGS = 2;
const PING_ANSWER_MS = 400;
/**
 * Limit of the factor by which the time before a challenge grows while the holder
 * answers challenges but no datagrams: where only datagrams are cut, each candidate
 * causes two writes every 20 s.
 */
const MAX_SILENCE_FACTOR = 8;
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 1_000;
/**
 * Time after which a store that answers only from older versions counts as one that
 * has lost its state. It is longer than any lease.
 */
const ADOPT_OLDER_FACTOR = 3;

export function leaseTimes(leaseMs: number): LeaseTimes {
  return {
    leaseMs,
    // A lease must outlast a poll and one call that begins at its end.
    pollWaitMs: Math.min(MAX_POLL_WAIT_MS, leaseMs / 2),
    silenceMs: SILENCE_MS,
    challengeMs: leaseMs + DUTY_CALL_TIMEOUT_MS + CHALLENGE_MARGIN_MS,
    otherChallengerMs: OTHER_CHALLENGER_MS,
  };
}

export function initialLeaseState(self: Holder): LeaseState {
  return {
    self,
    seen: undefined,
    storeVersion: -Infinity,
    isUncertain: true,
    highestTerm: 0,
    confirmedMs: -Infinity,
    usableMs: Infinity,
    readMs: -Infinity,
    heardMs: -Infinity,
    pingedMs: -Infinity,
    unansweredPings: 0,
    challengedTerm: 0,
    answeredChallenges: 0,
    olderSinceMs: undefined,
    failures: 0,
    retryMs: -Infinity,
  };
}

/** The term that this process holds according to the row; undefined if none. */
export function heldTerm(state: LeaseState): number | undefined {
  const row = state.seen?.row;
  if (row?.holder?.process !== state.self.process) return undefined;
  // A store that has lost its state may name this process with an old term.
  return row.term === state.highestTerm ? row.term : undefined;
}

/** Whether the duties are held and stay so for `ms`, though perhaps not usable yet. */
export function isHeldFor(
  state: LeaseState,
  ms: number,
  now: Elapsed,
  {leaseMs}: LeaseTimes,
): boolean {
  return (
    heldTerm(state) !== undefined &&
    now.atMostMs - state.confirmedMs + ms < leaseMs
  );
}

/** The token that may be used for a call of `ms`; undefined if there is none. */
export function usableTerm(
  state: LeaseState,
  ms: number,
  now: Elapsed,
  times: LeaseTimes,
): number | undefined {
  const isUsable =
    now.atLeastMs >= state.usableMs && isHeldFor(state, ms, now, times);
  return isUsable ? heldTerm(state) : undefined;
}

/** The next thing to do; `jitter` from 0 to 1 spreads the candidates. */
export function nextStep(
  state: LeaseState,
  isCandidate: boolean,
  jitter: number,
  {atLeastMs: nowMs}: Elapsed,
  times: LeaseTimes,
): Step {
  if (nowMs < state.retryMs) return {kind: 'wait', ms: state.retryMs - nowMs};
  const {seen, self} = state;
  const isNamed = seen?.row?.holder?.process === self.process;
  if (!isCandidate) {
    // A write whose answer was lost may have named this process.
    if (seen && state.isUncertain) return {kind: 'read'};
    return seen && isNamed ? releaseOf(seen) : {kind: 'idle'};
  }
  if (!seen || state.isUncertain) return {kind: 'read'};
  const {row} = seen;
  const {holder} = row ?? {};
  if (!row || !holder) return acquireStep(state, seen);
  if (isNamed) {
    if (heldTerm(state) === undefined) return acquireStep(state, seen);
    if (row.challenger !== undefined)
      return writeStep('answer', seen, {...row, challenger: undefined});
    return {kind: 'poll', waitMs: state.failures > 0 ? 0 : times.pollWaitMs};
  }
  if (row.challenger !== undefined) {
    const isOwn = row.challenger === self.process;
    const extraMs = isOwn ? 0 : times.otherChallengerMs * (1 + jitter);
    // The version was read after the challenge had been written.
    const dueMs = state.heardMs + times.challengeMs + extraMs;
    if (nowMs < dueMs) return {kind: 'wait', ms: dueMs - nowMs};
    return acquireStep(state, seen);
  }
  const silentMs = Math.max(
    state.heardMs + silenceMs(state, jitter, times),
    state.unansweredPings < MIN_UNANSWERED_PINGS
      ? Infinity
      : state.pingedMs + PING_ANSWER_MS,
  );
  if (nowMs < silentMs) {
    const pingMs = state.pingedMs + PING_INTERVAL_MS;
    if (nowMs >= pingMs)
      return {kind: 'ping', address: holder.address, term: row.term};
    return {kind: 'wait', ms: Math.min(pingMs, silentMs) - nowMs};
  }
  if (state.readMs < silentMs) return {kind: 'read'};
  return writeStep('challenge', seen, {...row, challenger: self.process});
}

function silenceMs(
  {answeredChallenges}: LeaseState,
  jitter: number,
  {silenceMs: baseMs}: LeaseTimes,
): number {
  const factor = Math.min(MAX_SILENCE_FACTOR, 2 ** answeredChallenges);
  return baseMs * factor * (1 + jitter / 5);
}

function writeStep(
  purpose: WritePurpose,
  {version}: VersionedRow,
  row: DutyRow,
): Step {
  return {kind: 'write', purpose, row, expectedVersion: version};
}

function acquireStep(
  {self, highestTerm}: LeaseState,
  seen: VersionedRow,
): Step {
  return writeStep('acquire', seen, {
    term: highestTerm + 1,
    holder: self,
    challenger: undefined,
  });
}

function releaseOf(seen: VersionedRow): Step {
  return writeStep('release', seen, {
    term: seen.row?.term ?? 0,
    holder: undefined,
    challenger: undefined,
  });
}

/** Takes an answer that shows the row. */
export function applyRead(
  state: LeaseState,
  read: RowRead,
  now: Elapsed,
  {leaseMs}: LeaseTimes,
): LeaseState {
  const {atLeastMs: nowMs} = now;
  if (read.storeVersion < state.storeVersion) {
    const olderSinceMs = state.olderSinceMs ?? nowMs;
    const isLost = nowMs - olderSinceMs >= leaseMs * ADOPT_OLDER_FACTOR;
    // Such an answer confirms nothing. The whole row is read again.
    if (!isLost || !read.changed)
      return {...state, olderSinceMs, isUncertain: true};
  }
  const seen = read.changed ?? state.seen;
  if (!seen) return {...state, isUncertain: true};
  const {row} = seen;
  const isNewVersion =
    seen.version !== state.seen?.version ||
    read.storeVersion < state.storeVersion;
  const highestTerm = Math.max(state.highestTerm, row?.term ?? 0);
  const next: LeaseState = {
    ...state,
    seen,
    storeVersion: read.storeVersion,
    isUncertain: false,
    highestTerm,
    readMs: nowMs,
    heardMs: isNewVersion ? nowMs : state.heardMs,
    unansweredPings: isNewVersion ? 0 : state.unansweredPings,
    olderSinceMs: undefined,
    failures: 0,
    retryMs: -Infinity,
    ...answeredChallenges(state, row),
  };
  const term = heldTerm(next);
  if (term === undefined)
    return {...next, confirmedMs: -Infinity, usableMs: Infinity};
  const isFirstSeen = term !== heldTerm(state);
  const confirmedMs =
    row?.challenger === undefined
      ? Math.max(state.confirmedMs, now.atMostMs - read.ageMs)
      : state.confirmedMs;
  if (!isFirstSeen) return {...next, confirmedMs};
  // Nobody has held the duties before their first term. Otherwise the last call of
  // the former holder must be `leaseMs` ago, so that it cannot follow it at once.
  const usableMs = term === 1 ? nowMs : nowMs + leaseMs;
  return {...next, confirmedMs, usableMs};
}

/** Counts challenges after which the same holder is still there. */
function answeredChallenges(
  {seen, challengedTerm, answeredChallenges: count}: LeaseState,
  row: DutyRow | undefined,
): Pick<LeaseState, 'answeredChallenges'> {
  if (row?.term !== challengedTerm) return {answeredChallenges: 0};
  const wasChallenged = seen?.row?.challenger !== undefined;
  const isAnswered = wasChallenged && row.challenger === undefined;
  return {answeredChallenges: isAnswered ? count + 1 : count};
}

/** Records that a write was sent; only a read shows whether it was done. */
export function recordWrite(
  state: LeaseState,
  {purpose, row}: Extract<Step, {kind: 'write'}>,
): LeaseState {
  const challengedTerm =
    purpose === 'challenge' ? row.term : state.challengedTerm;
  return {...state, isUncertain: true, challengedTerm};
}

/** Records a call to the store that failed; `jitter` from 0 to 1. */
export function recordFailure(
  state: LeaseState,
  jitter: number,
  {atLeastMs}: Elapsed,
): LeaseState {
  const limitMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** state.failures);
  return {
    ...state,
    failures: Math.min(state.failures + 1, 10),
    retryMs: atLeastMs + limitMs * (0.5 + jitter / 2),
  };
}

/** What was read last may not be what the store has; the row is read anew. */
export function recordUncertainty(state: LeaseState): LeaseState {
  return {...state, isUncertain: true};
}

/** This process has become a candidate; what it saw before may be long ago. */
export function recordCandidacy(
  state: LeaseState,
  {atLeastMs}: Elapsed,
): LeaseState {
  return {...state, isUncertain: true, heardMs: atLeastMs, unansweredPings: 0};
}

export function recordPing(
  state: LeaseState,
  {atLeastMs}: Elapsed,
): LeaseState {
  const unansweredPings = state.unansweredPings + 1;
  return {...state, pingedMs: atLeastMs, unansweredPings};
}

/** Takes a holder's answer to a ping. */
export function recordAlive(
  state: LeaseState,
  term: number,
  {atLeastMs}: Elapsed,
): LeaseState {
  const {seen, readMs} = state;
  const rowTerm = seen?.row?.term ?? 0;
  if (term === rowTerm) {
    // While a challenge stands, only its answer in the store counts.
    if (seen?.row?.challenger !== undefined) return state;
    const heard = {heardMs: atLeastMs, unansweredPings: 0};
    return {...state, ...heard, answeredChallenges: 0};
  }
  // The holder has changed. A wrong message must not cause many reads.
  const isDue = term > rowTerm && atLeastMs - readMs >= PING_INTERVAL_MS;
  return isDue ? {...state, isUncertain: true} : state;
}
