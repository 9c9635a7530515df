/** The simulated sidecars of the claims model and their replies. */
import {AskOutcome} from '../../src/claims/claim';
import {
  answerAsk,
  beginAttempt,
  newOutcomeState,
  OUTCOME_LIMITS,
  OutcomeState,
  RecordedAnswer,
} from '../../src/claims/outcomes';
import {AttemptRef} from '../../src/wire/messages';
import {Call, Attempt, refText} from './claims-oracle';
import {EntryClaims} from './claims-store';
import {SimulatedProcess} from './traffic';

export interface Entry extends SimulatedProcess {
  readonly name: string;
  readonly skewMs: number;
  readonly calls: Map<string, Call>;
  readonly claims: EntryClaims;
}

export interface Sidecar extends SimulatedProcess {
  readonly name: string;
  readonly incarnation: string;
  readonly running: Map<string, EntryAttempt>;
  outcomes: OutcomeState;
}

export interface EntryAttempt extends Attempt {
  readonly entry: Entry;
}

export type StartReply =
  | {readonly kind: 'result'; readonly answer: RecordedAnswer}
  | {readonly kind: 'refused'}
  | {readonly kind: 'failed'};

const SMALL_LIMITS = {retainMs: 4_000, maxBytes: 4_000, maxAnswerBytes: 60};

export function newSidecar(
  index: number,
  incarnation: string,
  smallLimits: boolean,
): Sidecar {
  return {
    name: `sidecar-${index}`,
    incarnation,
    alive: true,
    paused: false,
    running: new Map(),
    outcomes: newOutcomeState(smallLimits ? SMALL_LIMITS : OUTCOME_LIMITS),
  };
}

/** Handles a start; no reply if the attempt runs or ran, as its end replies. */
export function receiveStart(
  sidecar: Sidecar,
  incarnation: string,
  attempt: EntryAttempt,
  now: Date,
): StartReply | undefined {
  // An earlier copy of this start may have run in the previous incarnation.
  if (incarnation !== sidecar.incarnation) return {kind: 'failed'};
  const begun = beginAttempt(sidecar.outcomes, attempt.ref, now);
  sidecar.outcomes = begun.state;
  if (begun.allowed) sidecar.running.set(refText(attempt.ref), attempt);
  else if (begun.knownOutcome === 'not-run') return {kind: 'refused'};
  else if (begun.knownOutcome === 'unknown') return {kind: 'failed'};
  return undefined;
}

export function receiveAsk(
  sidecar: Sidecar,
  incarnation: string,
  ref: AttemptRef,
  now: Date,
): AskOutcome {
  if (incarnation !== sidecar.incarnation) return {kind: 'unknown'};
  const {state, answer} = answerAsk(sidecar.outcomes, ref, now);
  sidecar.outcomes = state;
  const {status, body, headers, outcome} = answer;
  if (outcome !== 'ran') return {kind: outcome};
  return {kind: 'ran', answer: {status, body, headers}};
}
