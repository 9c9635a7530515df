/**
 * The platform's table service, object store and instance list over HTTP.
 *
 * A table row has a version that counts its writes; 0 stands for an absent
 * row. A transaction writes several rows if every condition on a row's
 * version holds. If the response to a write is lost, the outcome is
 * `unknown`, and the code that called must read the rows back.
 */
import got, {Got, HTTPError} from 'got';
import * as z from 'zod';
import {parseAddress} from '../kernel/address';
import {limitDownload} from '../kernel/downloadlimit';
import {Log, logFor} from '../observe/log';
import {PlatformSettings} from '../settings/schema';

export interface Row {
  readonly key: string;
  readonly version: number;
  /** JSON value. */
  readonly value: unknown;
}

export interface Condition {
  readonly key: string;
  readonly version: number;
}

export interface Write {
  readonly key: string;
  /** JSON value; null deletes the row. */
  readonly value: unknown;
}

export type TransactOutcome =
  | {readonly kind: 'done'}
  | {readonly kind: 'conflict'; readonly rows: readonly Row[]}
  /** The write may or may not have taken effect. */
  | {readonly kind: 'unknown'}
  /** The request did not reach the service or was refused by it. */
  | {readonly kind: 'unavailable'};

export interface InstanceRecord {
  readonly instance: string;
  readonly zone: string;
  readonly role: 'entry' | 'sidecar';
  /** IP:port of its gRPC server. */
  readonly address: string;
  readonly state: 'live' | 'leaving';
  readonly targetKind: string;
  readonly target: string;
}

/** Reads reject if the platform fails or does not answer in time. */
export interface Platform {
  transact(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): Promise<TransactOutcome>;
  /** An absent row has version 0 and value null. */
  read(key: string): Promise<Row>;
  list(prefix: string): Promise<readonly Row[]>;
  putObject(hash: string, body: string): Promise<void>;
  /** The object's text, or undefined if there is none. */
  getObject(hash: string): Promise<string | undefined>;
  instances(): Promise<readonly InstanceRecord[]>;
}

const HTTP_CONFLICT = 409;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

/** Limit on an answer: a list of all rows, or an object. */
const MAX_ANSWER_BYTES = 67_108_864;
const MAX_NAME_CHARACTERS = 200;
/** Faults of the list are cut to this length in the log. */
const MAX_LOGGED_FAULT_CHARACTERS = 500;

const name = z.string().min(1).max(MAX_NAME_CHARACTERS);
const instanceSchema: z.ZodType<InstanceRecord> = z.object({
  instance: name,
  zone: name,
  role: z.enum(['entry', 'sidecar']),
  address: z.string().refine(text => parseAddress(text) !== undefined),
  state: z.enum(['live', 'leaving']),
  targetKind: z.string().max(MAX_NAME_CHARACTERS),
  target: z.string().max(MAX_NAME_CHARACTERS),
});

export function createPlatformClient(
  settings: PlatformSettings,
  log: Log = logFor('platform'),
): Platform {
  let loggedFaults = '';

  /** Skips records that are not valid; logs them when they change. */
  function readInstances(list: readonly unknown[]): readonly InstanceRecord[] {
    const reads = list.map(record => instanceSchema.safeParse(record));
    const faults = reads.flatMap(({error}, index) =>
      (error?.issues ?? []).map(({path}) => [index, ...path].join('.')),
    );
    const reason = faults.join(' ').slice(0, MAX_LOGGED_FAULT_CHARACTERS);
    if (reason !== loggedFaults && reason !== '') {
      log('warn', 'instance records skipped: not valid', {reason});
    }
    loggedFaults = reason;
    return reads.flatMap(({data}) => (data ? [data] : []));
  }

  const http = got.extend(limitDownload(MAX_ANSWER_BYTES), {
    prefixUrl: settings.url,
    timeout: {request: settings.timeoutMs},
    retry: {limit: 0},
  });
  return {
    transact: (conditions, writes) => transact(http, conditions, writes),
    read: key => http.get('table/row', {searchParams: {key}}).json<Row>(),
    list: prefix =>
      http.get('table/rows', {searchParams: {prefix}}).json<Row[]>(),
    async putObject(hash, body) {
      await http.put(`objects/${hash}`, {body});
    },
    getObject: hash => getObject(http, hash),
    instances: async () =>
      readInstances(await http.get('instances').json<unknown[]>()),
  };
}

async function transact(
  http: Got,
  conditions: readonly Condition[],
  writes: readonly Write[],
): Promise<TransactOutcome> {
  try {
    await http.post('table/transact', {json: {conditions, writes}});
    return {kind: 'done'};
  } catch (error) {
    return transactOutcomeOf(error);
  }
}

function transactOutcomeOf(error: unknown): TransactOutcome {
  if (error instanceof HTTPError) {
    const {statusCode, body} = error.response;
    if (statusCode === HTTP_CONFLICT) {
      return {kind: 'conflict', rows: JSON.parse(String(body)) as Row[]};
    }
    if (statusCode === HTTP_UNAVAILABLE) return {kind: 'unavailable'};
    return {kind: 'unknown'};
  }
  const refused = (error as {code?: string}).code === 'ECONNREFUSED';
  return {kind: refused ? 'unavailable' : 'unknown'};
}

async function getObject(http: Got, hash: string): Promise<string | undefined> {
  const response = await http.get(`objects/${hash}`, {throwHttpErrors: false});
  if (response.statusCode === HTTP_NOT_FOUND) return undefined;
  if (!response.ok) throw new Error('object store is unavailable; try again');
  return response.body;
}
