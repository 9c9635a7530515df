/**
 * `orders unresolved`: lists the non-idempotent requests whose outcome is not
 * settled, so that operators can look them up in the order application.
 *
 * A claim is listed if its outcome is unknown, or if it has been held for
 * longer than an order can take. A claim of the second kind is settled by the
 * next request with its key.
 */
import {CommandError, EXIT_CODES} from '../kernel/errors';
import {Platform, Row} from '../platform/client';
import {
  CLAIM_PREFIX,
  ClaimRow,
  parseRowKey,
  parseClaimRow,
} from '../claims/rows';

export interface OrdersOptions {
  readonly json?: boolean;
  /** Age in seconds above which a claim counts as abandoned by its holder. */
  readonly olderThan: number;
}

export interface CommandContext {
  readonly now: Date;
  readonly write: (line: string) => void;
}

/** Longer than a service call and the query for its outcome may take. */
export const DEFAULT_OLDER_THAN_S = 60;

export interface UnresolvedOrder {
  readonly account: string;
  readonly service: string;
  readonly key: string;
  readonly state: 'unknown' | 'claimed';
  /** Time since the row's last change, in seconds. */
  readonly ageS: number;
  readonly requestId: string;
  readonly holder: string;
  readonly sidecar: string;
  /** What an operator can do about it. */
  readonly remedy: string;
}

/**
 * Returns the exit code `done` even if there are some. Throws a `CommandError`
 * if the platform cannot be read.
 */
export async function listUnresolvedOrders(
  platform: Platform,
  options: OrdersOptions,
  {now, write}: CommandContext,
): Promise<number> {
  const found = unresolvedOrders(
    await readClaimRows(platform),
    options.olderThan,
    now,
  );
  if (options.json) {
    write(JSON.stringify(found, null, 2));
    return EXIT_CODES.done;
  }
  for (const one of found) write(formatOrder(one));
  write(`${found.length} unresolved`);
  return EXIT_CODES.done;
}

/** The orders to list, oldest first. */
export function unresolvedOrders(
  rows: readonly Row[],
  olderThanS: number,
  now: Date,
): readonly UnresolvedOrder[] {
  return rows
    .map(row => unresolvedOrderOf(row, now))
    .filter(one => one !== undefined)
    .filter(one => one.state === 'unknown' || one.ageS > olderThanS)
    .sort((a, b) => b.ageS - a.ageS);
}

async function readClaimRows(platform: Platform): Promise<readonly Row[]> {
  try {
    return await platform.list(CLAIM_PREFIX);
  } catch {
    throw new CommandError(
      'the platform does not answer; check platform.url and try again',
      EXIT_CODES.platformUnreachable,
    );
  }
}

function unresolvedOrderOf(
  stored: Row,
  now: Date,
): UnresolvedOrder | undefined {
  const {row} = parseClaimRow(stored);
  if (row?.state !== 'unknown' && row?.state !== 'claimed') return undefined;
  const {state, requestId, holder, sidecar, changedMs} = row;
  return {
    ...parseRowKey(stored.key),
    state,
    ageS: Math.max(0, Math.round((now.getTime() - changedMs) / 1_000)),
    requestId,
    holder,
    sidecar,
    remedy: remedyOf(row),
  };
}

function remedyOf({state, lost}: ClaimRow): string {
  if (state === 'unknown' && lost) return 'look it up in the application';
  return 'repeat its key; the sidecar is asked again';
}

function formatOrder(one: UnresolvedOrder): string {
  const {account, service, key, state, ageS, requestId} = one;
  const where = `${one.holder} -> ${one.sidecar}`;
  return `${state} ${ageS} s  ${account}/${service}/${key}  ${where}  ${requestId}  ${one.remedy}`;
}
