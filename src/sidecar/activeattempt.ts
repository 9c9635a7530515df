/**
 * One attempt that a sidecar works on, from its start to its last frame, and
 * what is kept of the answer of a non-idempotent one.
 */
import {EntryId, refKey} from '../capacity/admission';
import {OUTCOME_LIMITS, Recorded} from '../claims/outcomes';
import {Timer} from '../kernel/clock';
import {AttemptRef, Frame, Header, Offer, Start} from '../wire/messages';
import {Job} from './endpoint';
import {AnswerStream} from './answerstream';

/** A longer answer of a non-idempotent request is not kept to be asked for. */
const MAX_RECORDED_BYTES = OUTCOME_LIMITS.maxAnswerBytes;

export interface ActiveAttempt {
  readonly entry: EntryId;
  readonly offer: Offer;
  readonly ref: AttemptRef;
  readonly stream: AnswerStream;
  /** Whether it counts as running in admission. */
  holdsSlot: boolean;
  /** Its name in admission, where each run after a pause is an attempt. */
  slotRef: AttemptRef;
  pauseCount: number;
  slotWaitTimer: Timer | undefined;
  status: number;
  headers: readonly Header[];
  readonly recordedChunks: Uint8Array[];
  recordedBytes: number;
  outputCount: number;
}

/** An attempt that is about to run and holds its slot. */
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
    slotRef: start,
    pauseCount: 0,
    slotWaitTimer: undefined,
    status: 0,
    headers: [],
    recordedChunks: [],
    recordedBytes: 0,
    outputCount: 0,
  };
}

/** Prefix of the name under which a paused attempt asks for a slot. */
export const RESUME_PREFIX = 'resume ';

/** The name under which a paused attempt asks for a slot. */
export function resumeEntry({ref}: ActiveAttempt): EntryId {
  return RESUME_PREFIX + refKey(ref);
}

/** The offer with which a paused attempt asks for a slot, under a new name. */
export function resumeOffer(active: ActiveAttempt, deadlineMs: number): Offer {
  const {requestId, attempt} = active.ref;
  active.pauseCount += 1;
  active.slotRef = {requestId: `${requestId}/${active.pauseCount}`, attempt};
  return {...active.offer, ...active.slotRef, deadlineMs};
}

/** Adds a frame to the answer that is kept. */
export function recordFrame(active: ActiveAttempt, frame: Frame): void {
  if (frame.status !== 0) {
    active.status = frame.status;
    active.headers = frame.headers;
  }
  active.recordedBytes += frame.data.length;
  if (active.recordedBytes <= MAX_RECORDED_BYTES) {
    active.recordedChunks.push(frame.data);
  }
}

/**
 * The whole answer, or undefined when it was too long. A cut answer is never
 * kept, because it would be replayed as whole.
 */
export function recordedAnswer(active: ActiveAttempt): Recorded | undefined {
  const {status, headers, recordedChunks: recorded, recordedBytes} = active;
  if (recordedBytes > MAX_RECORDED_BYTES) return undefined;
  return {status, headers, body: Buffer.concat(recorded)};
}

/**
 * What an attempt cost the endpoint: prompt and output tokens of a model
 * request, one for a service call.
 */
export function usedTokens({offer, outputCount: count}: ActiveAttempt): number {
  return offer.targetKind === 'model' ? offer.promptTokens + count : 1;
}

/** A start that admission needs only for its grant. */
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
