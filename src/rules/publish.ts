/**
 * Publishes a rule file: puts its text into the object store under its hash,
 * then changes `rules/head` by compare-and-set with an operation id.
 *
 * The steps are a generator that yields calls to the platform and receives
 * their answers, so that a fuzz model can run them in any order and lose any
 * answer. The outcome of a write whose answer was lost is found by reading
 * the row. If the row is unchanged, the same write is sent again: the first
 * one may still arrive, but only one of the two can succeed.
 */
import {Platform, Row, TransactOutcome} from '../platform/client';
import {VersionRef} from './distribution';
import {sha256Hex} from './patch';

export const HEAD_KEY = 'rules/head';

/** The value of the head row. */
export interface HeadValue extends VersionRef {
  /** Ids of the latest operations, newest first. */
  readonly operations: readonly string[];
}

export interface PublishRequest {
  readonly text: string;
  /** Unique id of this publication. */
  readonly operation: string;
  /** The version that the operator edited, if known; it must be the head. */
  readonly base?: number;
}

export type PublishOutcome =
  | {readonly kind: 'accepted'; readonly accepted: VersionRef}
  /** Another version is the head; nothing was changed. */
  | {readonly kind: 'conflict'; readonly head: VersionRef}
  /** Nothing was changed. */
  | {readonly kind: 'unavailable'}
  /** The write may have taken effect, and its outcome cannot be found. */
  | {readonly kind: 'unknown'};

export type PublishCall =
  | {readonly kind: 'read'}
  | {readonly kind: 'put'; readonly hash: string; readonly body: string}
  | {
      readonly kind: 'write';
      readonly rowVersion: number;
      readonly value: HeadValue;
    };

/** The answer to a call; undefined if a read or put failed. */
export type PublishAnswer = Row | TransactOutcome | true | undefined;

export type PublishSteps = Generator<
  PublishCall,
  PublishOutcome,
  PublishAnswer
>;

/** Operation ids that the head row keeps, to find the outcome of a write. */
const MAX_REMEMBERED_OPERATIONS = 4;
const MAX_WRITE_ATTEMPTS = 4;
const NO_HEAD: HeadValue = {version: 0, hash: '', operations: []};

/** Returns the head that a row holds; version 0 for an absent row. */
export function parseHeadRow(row: Row): HeadValue {
  const value = row.value as Partial<HeadValue> | null;
  return {...NO_HEAD, ...value};
}

/** The steps of a publication; see the head of this file. */
export function* publishSteps(request: PublishRequest): PublishSteps {
  const row = (yield {kind: 'read'}) as Row | undefined;
  if (!row) return {kind: 'unavailable'};
  const head = parseHeadRow(row);
  if (request.base !== undefined && request.base !== head.version) {
    return {kind: 'conflict', head: refOf(head)};
  }
  const hash = sha256Hex(request.text);
  const put = yield {kind: 'put', hash, body: request.text};
  if (!put) return {kind: 'unavailable'};
  const value: HeadValue = {
    version: head.version + 1,
    hash,
    operations: [request.operation, ...head.operations].slice(
      0,
      MAX_REMEMBERED_OPERATIONS,
    ),
  };
  return yield* writeHeadSteps(request.operation, row.version, value);
}

function* writeHeadSteps(
  operation: string,
  rowVersion: number,
  value: HeadValue,
): PublishSteps {
  let mayHaveRun = false;
  for (let attempt = 1; attempt <= MAX_WRITE_ATTEMPTS; attempt++) {
    const answer = yield {kind: 'write', rowVersion, value};
    const outcome = answer as TransactOutcome;
    if (outcome.kind === 'done') return acceptedOutcome(value);
    if (outcome.kind === 'unavailable' && !mayHaveRun) return outcome;
    mayHaveRun = true;
    // The row of a conflict is current, whereas a read may be stale.
    const row =
      outcome.kind === 'conflict'
        ? outcome.rows[0]
        : ((yield {kind: 'read'}) as Row | undefined);
    const settled = row && outcomeFromRow(operation, rowVersion, value, row);
    if (settled) return settled;
  }
  return {kind: 'unknown'};
}

/** The outcome that a row shows, or undefined if it shows none. */
function outcomeFromRow(
  operation: string,
  rowVersion: number,
  value: HeadValue,
  row: Row,
): PublishOutcome | undefined {
  const head = parseHeadRow(row);
  if (head.operations.includes(operation)) return acceptedOutcome(value);
  // An unchanged row or a stale read does not show the outcome.
  if (row.version <= rowVersion) return undefined;
  const operationDropped =
    head.version >= value.version + MAX_REMEMBERED_OPERATIONS;
  if (operationDropped) return {kind: 'unknown'};
  return {kind: 'conflict', head: refOf(head)};
}

function acceptedOutcome(value: HeadValue): PublishOutcome {
  return {kind: 'accepted', accepted: refOf(value)};
}

function refOf({version, hash}: VersionRef): VersionRef {
  return {version, hash};
}

/** Publishes a rule file on the platform. */
export async function publish(
  platform: Platform,
  request: PublishRequest,
): Promise<PublishOutcome> {
  const steps = publishSteps(request);
  let step = steps.next();
  while (!step.done)
    step = steps.next(await callPlatform(platform, step.value));
  return step.value;
}

async function callPlatform(
  platform: Platform,
  call: PublishCall,
): Promise<PublishAnswer> {
  if (call.kind === 'write') {
    const {rowVersion, value} = call;
    const condition = {key: HEAD_KEY, version: rowVersion};
    return platform.transact([condition], [{key: HEAD_KEY, value}]);
  }
  try {
    if (call.kind === 'read') return await platform.read(HEAD_KEY);
    await platform.putObject(call.hash, call.body);
    return true;
  } catch {
    return undefined;
  }
}
