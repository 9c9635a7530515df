/**
 * One attempt of a sidecar, from its start to its last frame, and the recorded
 * answer of a non-idempotent one.
 */
import {EntryId, attemptKey} from '../capacity/admission';
import {OUTCOME_LIMITS, RecordedAnswer} from '../claims/outcomes';
import {ByteCollector} from '../kernel/bytecollector';
import {Timer} from '../kernel/clock';
import {AttemptRef, Frame, Header, Offer, Start} from '../wire/messages';
import {Job} from './endpoint';
import {AnswerStream} from './answerstream';

/** A longer answer of a non-idempotent request is not recorded. */
const MAX_RECORDED_BYTES = OUTCOME_LIMITS.maxAnswerBytes;

export interface ActiveAttempt {
  readonly entry: EntryId;
  readonly offer: Offer;
  readonly ref: AttemptRef;
  readonly stream: AnswerStream;
  /** Whether it holds a slot: admission then counts it as running. */
  holdsSlot: boolean;
  /** Its reference in admission, to which each resumed run is a new attempt. */
  admissionRef: AttemptRef;
  pauseCount: number;
  slotWaitTimer: Timer | undefined;
  status: number;
  headers: readonly Header[];
  readonly recorded: ByteCollector;
  isTooLong: boolean;
  outputCount: number;
}

/** A new attempt, which holds its slot. */
export function newActiveAttempt(
  entry: EntryId,
  {start, offer}: Job,
  stream: AnswerStream,
): ActiveAttempt {
  return {
    entry,
    offer,
    ref: start,
    stream,
    holdsSlot: true,
    admissionRef: start,
    pauseCount: 0,
    slotWaitTimer: undefined,
    status: 0,
    headers: [],
    recorded: new ByteCollector(MAX_RECORDED_BYTES),
    isTooLong: false,
    outputCount: 0,
  };
}

/** Prefix of the entry id under which a paused attempt asks for a slot. */
export const RESUME_ENTRY_PREFIX = 'resume ';

/** The entry id under which a paused attempt asks for a slot. */
export function resumeEntry({ref}: ActiveAttempt): EntryId {
  return RESUME_ENTRY_PREFIX + attemptKey(ref);
}

/**
 * The offer with which a paused attempt asks for a slot. It gives the attempt a
 * new reference in admission.
 */
export function resumeOffer(active: ActiveAttempt, deadlineMs: number): Offer {
  const {requestId, attempt} = active.ref;
  active.pauseCount += 1;
  active.admissionRef = {
    requestId: `${requestId}/${active.pauseCount}`,
    attempt,
  };
  return {...active.offer, ...active.admissionRef, deadlineMs};
}

/** Adds a frame to the recorded answer. */
export function recordFrame(active: ActiveAttempt, frame: Frame): void {
  if (frame.status !== 0) {
    active.status = frame.status;
    active.headers = frame.headers;
  }
  const {recorded} = active;
  active.isTooLong ||= recorded.length + frame.data.length > MAX_RECORDED_BYTES;
  if (active.isTooLong) recorded.clear();
  else recorded.append(Buffer.from(frame.data));
}

/**
 * The whole recorded answer, or undefined when it was too long. A truncated
 * answer is never recorded, because it would be replayed as if complete.
 */
export function recordedAnswer(
  active: ActiveAttempt,
): RecordedAnswer | undefined {
  const {status, headers, recorded, isTooLong} = active;
  if (isTooLong) return undefined;
  return {status, headers, body: Buffer.from(recorded.view())};
}

/**
 * Tokens that an attempt is charged for: prompt and output tokens of a model
 * request, one for a service call.
 */
export function usedTokens({offer, outputCount}: ActiveAttempt): number {
  return offer.targetKind === 'model' ? offer.promptTokens + outputCount : 1;
}

/** A start with which admission redeems the grant of a paused attempt. */
export function startForGrant({requestId, attempt}: AttemptRef): Start {
  return {
    requestId,
    attempt,
    grantId: '',
    body: new Uint8Array(0),
    resumeOffset: 0,
    creditBytes: 0,
    method: '',
    path: '',
    headers: [],
  };
}
