/**
 * The platform's table service, object store and instance list over HTTP.
 *
 * A table row has a version that counts its writes; 0 stands for an absent
 * row. A transaction writes several rows if every condition on a row's
 * version holds. If the response to a write is lost, the outcome is
 * `unknown`, and the code that called must read the rows back.
 */
import got, {Got, HTTPError} from 'got';
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

export function createPlatformClient(settings: PlatformSettings): Platform {
  const http = got.extend({
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
    instances: () => http.get('instances').json<InstanceRecord[]>(),
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
