/**
 * Retention of claim rows, as pure functions.
 *
 * A settled row may be deleted when it has not changed for the retention
 * period. An idempotency key that is a UUID of version 7 carries the time at
 * which it was created. The row of such a key is only deleted if that time is
 * at or before the horizon, which has a row of its own and only rises. If a key
 * of that age has no row, the row may have been deleted, and the key is never
 * claimed again. The first row of a key is written on the condition that
 * the horizon has not changed, so the rule holds even if entries differ in
 * their clocks or in their configured retention periods.
 *
 * Keys of any other form do not tell when they were created. Their rows are
 * kept for the same period, and a later repeat of the key is a new request.
 */
import {z} from 'zod';
import {Row} from '../platform/client';
import {parseRowKey, parseClaimRow} from './rows';

export const HORIZON_KEY = 'claims/horizon';

const horizonRow = z.object({
  /** Rows of keys created at or before this may have been deleted. */
  horizonMs: z.number(),
  /** Wall time of the last sweep's start, in milliseconds. */
  sweptMs: z.number(),
});

type HorizonRow = Readonly<z.infer<typeof horizonRow>>;

/** The horizon row; version 0 when it does not exist yet. */
export interface Horizon extends HorizonRow {
  readonly version: number;
}

export const NO_HORIZON: Horizon = {version: 0, horizonMs: 0, sweptMs: 0};

const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Throws if the row is not a valid horizon row. */
export function parseHorizon({version, value}: Row): Horizon {
  if (value === null) return {...NO_HORIZON, version};
  return {...horizonRow.parse(value), version};
}

/** The time at which a key was created; undefined if it is not a UUIDv7. */
export function keyTimeMs(key: string): number | undefined {
  const found = UUID_V7.exec(key);
  return found ? parseInt(`${found[1]}${found[2]}`, 16) : undefined;
}

/** Whether the row of a key may have been deleted. */
export function mayHaveBeenDeleted(key: string, {horizonMs}: Horizon): boolean {
  const createdMs = keyTimeMs(key);
  return createdMs !== undefined && createdMs <= horizonMs;
}

/** The row that a sweep writes at its start; the horizon never falls. */
export function raiseHorizon(
  old: Horizon,
  keepMs: number,
  now: Date,
): HorizonRow {
  const nowMs = now.getTime();
  const horizonMs = Math.max(old.horizonMs, nowMs - keepMs);
  return {horizonMs, sweptMs: nowMs};
}

/** Whether a row may be deleted, given a horizon that is in the table. */
export function isDeletable(
  stored: Row,
  horizon: Horizon,
  keepMs: number,
  now: Date,
): boolean {
  const {row} = parseClaimRow(stored);
  const settled = row?.state === 'done' || row?.state === 'released';
  if (!row || !settled) return false;
  if (row.changedMs > now.getTime() - keepMs) return false;
  const {key} = parseRowKey(stored.key);
  return keyTimeMs(key) === undefined || mayHaveBeenDeleted(key, horizon);
}
