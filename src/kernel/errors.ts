/**
 * Errors that a caller or an operator sees.
 *
 * A fault has a typed kind and a message that names the remedy. `run` says
 * whether the request was run; the value `not-run` is a guarantee.
 */
export type RunOutcome = 'ran' | 'not-run' | 'unknown';

export type FaultKind =
  | 'malformed'
  | 'unknown_key'
  | 'unknown_target'
  | 'key_conflict'
  | 'too_large'
  | 'over_limit'
  | 'not_run'
  | 'outcome_unknown';

export interface Fault {
  readonly kind: FaultKind;
  readonly message: string;
  readonly run: RunOutcome;
  /** Present when a later attempt can succeed, in milliseconds. */
  readonly retryAfterMs?: number;
}

const HTTP_STATUS: Readonly<Record<FaultKind, number>> = {
  malformed: 400,
  unknown_key: 401,
  unknown_target: 404,
  key_conflict: 409,
  too_large: 413,
  over_limit: 429,
  not_run: 503,
  outcome_unknown: 504,
};

/** The HTTP status that a caller sees for a fault. */
export function httpStatusOf(kind: FaultKind): number {
  return HTTP_STATUS[kind];
}

export function createFault(
  kind: FaultKind,
  message: string,
  retryAfterMs?: number,
): Fault {
  const run: RunOutcome = kind === 'outcome_unknown' ? 'unknown' : 'not-run';
  return {kind, message, run, ...(retryAfterMs ? {retryAfterMs} : {})};
}

/** Ends a command with an exit code and a message for the operator. */
export class CommandError extends Error {
  constructor(
    message: string,
    readonly exitCode: number,
  ) {
    super(message);
  }
}

export const EXIT_CODES = {
  done: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  platformUnreachable: 4,
  unconfirmed: 5,
} as const;
