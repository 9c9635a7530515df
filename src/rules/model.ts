/**
 * The parsed content of a rule file.
 *
 * The rule file is the only place where operators change behaviour. It has
 * one rule a line, and each line ends in a comment that names who asked for
 * it. A `RuleSet` is the parsed content of one version of the file. Tasks read
 * it from `ActiveRules` and never parse text themselves.
 */
import {List, Map, Set} from 'immutable';

export interface Account {
  readonly name: string;
  /** Weight of the account's share of capacity, relative to the others. */
  readonly weight: number;
  /** Fraction of all capacity if the file sets `share`; `weight` follows it. */
  readonly share?: number;
  /** Tokens a second, or undefined for no limit. */
  readonly limitTokensPerS?: number;
  /** Hex SHA-256 hashes of the account's keys. */
  readonly keyHashes: readonly string[];
}

/** Requests with a common priority; an absent field matches all requests. */
export interface WorkKind {
  readonly name: string;
  /** Lower is served first. */
  readonly priority: number;
  readonly account?: string;
  /** A trailing `*` matches any suffix. */
  readonly caller?: string;
  readonly model?: string;
  readonly service?: string;
  readonly method?: string;
  readonly pathPrefix?: string;
}

export interface Model {
  readonly name: string;
  /** Lower is served first. */
  readonly priority: number;
  readonly maxOutputTokens: number;
}

export interface Group {
  readonly name: string;
  readonly model: string;
  readonly ranks: number;
  /** Whether the engines refuse orders with an old fencing number. */
  readonly checksFence: boolean;
}

/** Calls that must not be run twice, by method and path. */
export interface CallPattern {
  readonly method: string;
  readonly pathPrefix: string;
}

export interface Service {
  readonly name: string;
  readonly priority: number;
  readonly nonIdempotent: readonly CallPattern[];
  readonly checksFence: boolean;
}

/**
 * When a cut-off zone stops taking new work; see "cutoff" in the operations
 * page.
 */
export interface Cutoff {
  readonly zone: string;
  readonly stopAfterMs: number;
}

export interface Budgets {
  /** Retries allowed for each first attempt. */
  readonly retryRatio: number;
  /** Retries a second that are always allowed. */
  readonly retryFloorPerS: number;
  /** Longest time that a request waits for a grant. */
  readonly queueMs: number;
  /** Limit of an account's queued request bodies in one entry, in bytes. */
  readonly queueBytesPerAccount: number;
}

export interface Rebalancing {
  /** Predicted skew below which no expert is moved. */
  readonly minSkew: number;
  /** How long a skew is expected to last, in seconds. */
  readonly horizonS: number;
}

export interface RuleSet {
  readonly accounts: Map<string, Account>;
  /** Weight of a caller, by `account/caller`; others have weight 1. */
  readonly callerWeights: Map<string, number>;
  /** In the order of the file; the first match applies. */
  readonly work: List<WorkKind>;
  readonly models: Map<string, Model>;
  readonly groups: Map<string, Group>;
  readonly services: Map<string, Service>;
  readonly zonesOut: Set<string>;
  /** Region of each zone that has one; see `regionOf`. */
  readonly regions: Map<string, string>;
  readonly cutoffs: Map<string, Cutoff>;
  /** Endpoint instances that operators are removing. */
  readonly leaving: Set<string>;
  readonly budgets: Budgets;
  readonly rebalancing: Rebalancing;
}

export const emptyRules: RuleSet = {
  accounts: Map(),
  callerWeights: Map(),
  work: List(),
  models: Map(),
  groups: Map(),
  services: Map(),
  zonesOut: Set(),
  regions: Map(),
  cutoffs: Map(),
  leaving: Set(),
  budgets: {
    retryRatio: 0.1,
    retryFloorPerS: 1,
    queueMs: 10_000,
    queueBytesPerAccount: 16_777_216,
  },
  rebalancing: {minSkew: 1.02, horizonS: 60},
};

/** Returns a zone's region. Zones without a region in the file share one. */
export function regionOf({regions}: RuleSet, zone: string): string {
  return regions.get(zone) ?? '';
}

/** Whether the rules mark a service call as non-idempotent. */
export function isNonIdempotent(
  service: Service,
  method: string,
  path: string,
): boolean {
  return service.nonIdempotent.some(
    p => p.method === method && path.startsWith(p.pathPrefix),
  );
}

/** The properties of a request that determine its priority. */
export interface RequestAttributes {
  readonly account: string;
  readonly caller: string;
  readonly targetKind: 'model' | 'service';
  readonly target: string;
  readonly method: string;
  readonly path: string;
}

const DEFAULT_PRIORITY = 5;

/** Returns the priority of a request's kind of work, else of its target. */
export function priorityOf(rules: RuleSet, request: RequestAttributes): number {
  const kind = rules.work.find(work => matches(work, request));
  if (kind) return kind.priority;
  const targets =
    request.targetKind === 'model' ? rules.models : rules.services;
  return targets.get(request.target)?.priority ?? DEFAULT_PRIORITY;
}

function matches(work: WorkKind, request: RequestAttributes): boolean {
  const model = request.targetKind === 'model' ? request.target : undefined;
  const service = request.targetKind === 'service' ? request.target : undefined;
  return (
    (work.account ?? request.account) === request.account &&
    (work.model === undefined || work.model === model) &&
    (work.service === undefined || work.service === service) &&
    (work.method ?? request.method) === request.method &&
    request.path.startsWith(work.pathPrefix ?? '') &&
    matchesCaller(work.caller, request.caller)
  );
}

function matchesCaller(pattern: string | undefined, caller: string): boolean {
  if (pattern === undefined) return true;
  if (!pattern.endsWith('*')) return pattern === caller;
  return caller.startsWith(pattern.slice(0, -1));
}
