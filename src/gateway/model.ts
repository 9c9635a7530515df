/**
 * Types of the gateway's configuration, endpoints and load.
 *
 * The adapter of a deployment decodes its wire format into these types; no
 * other module in this folder depends on that format. Durations are in
 * milliseconds and sizes in bytes unless a name says otherwise.
 */

/**
 * Whether a request may run more than once: `idempotent` may, `nonIdempotent`
 * must not, and `stream` may only if its route is resumable.
 */
export type RequestKind = 'idempotent' | 'nonIdempotent' | 'stream';

export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash; the longest match for a host wins. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Time within which a request must be answered. */
  readonly timeoutMs: number;
  /** Time within which an answer or a stream's first event is on time. */
  readonly targetLatencyMs: number;
  /** Longest time between two events of a stream that is on time. */
  readonly targetGapMs: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Services that share the route's requests, by weight. */
  readonly split: readonly WeightedService[];
  /** Number of times that one request may run, on any endpoint. */
  readonly maxAttempts: number;
  /** Whether requests need no API key. */
  readonly public: boolean;
  /** Whether a broken stream may be resumed at another endpoint. */
  readonly resumable: boolean;
}

/** Capacity and timing of the model engine behind a service. */
export interface EngineSpec {
  /** Requests that one endpoint runs at once. */
  readonly slots: number;
  /** Token steps in a pass; each pass yields one event per stream. */
  readonly stepsPerPass: number;
  readonly stepMs: number;
  /** Time added to a step for each running request. */
  readonly perRequestMs: number;
  /** Tokens of a prompt that it reads per second; absent if not declared. */
  readonly readTokensPerS?: number;
  /** Size of the KV cache for the contexts of requests, in tokens. */
  readonly memoryTokens: number;
  readonly experts: ExpertSpec | undefined;
}

/** Dimensions of the expert layers of a group of ranks. */
export interface ExpertSpec {
  readonly sets: number;
  readonly experts: number;
  /** Experts of one set that a rank can hold. */
  readonly slotsPerRank: number;
  /** Experts of one set that one map change may add to a rank. */
  readonly maxNewPerChange: number;
  /** Time that a rank takes to copy one expert. */
  readonly copyMs: number;
}

export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Requests per second that a cold endpoint can serve; 0 means unlimited. */
  readonly coldRequestsPerS: number;
  readonly engine: EngineSpec | undefined;
  /** Undefined if the number of its endpoints is not changed. */
  readonly scaling?: ScalingSpec | undefined;
}

/** Between how many endpoints a service may have in each zone. */
export interface ScalingSpec {
  readonly min: number;
  readonly max: number;
  /** Time from an order until new endpoints serve. */
  readonly bootMs: number;
}

export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority. */
  readonly priority: number | undefined;
}

export interface CallerLimits {
  readonly bodyBytes: number;
  readonly idleTimeoutMs: number;
}

export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Whether a request needs a key, unless its route is public. */
  readonly requiresKeys: boolean;
  readonly accounts: readonly Account[];
  readonly limits: CallerLimits;
}

export interface Endpoint {
  readonly id: string;
  readonly service: string;
  /** `IP:port`; may be reused later by an endpoint of another service. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly draining: boolean;
  /** Time for which it stays cold after its registration is read. */
  readonly coldMs: number;
  /** Unix time at which its process started, if the registration says so. */
  readonly startedMs: number | undefined;
}

/** Shared parts of a request's prompt, in order. */
export type Prompt = readonly string[];

/**
 * What gateways tell each other about crashes of endpoints through the store.
 * Times are those of the store's clock.
 */
export type CrashRecord =
  | {
      readonly kind: 'crash';
      /** Id of the endpoint's process. */
      readonly endpoint: string;
      /** The earliest time at which it may have ended. */
      readonly atMs: number;
      /** The latest one; absent if it is the same. */
      readonly untilMs?: number | undefined;
      /** Prompts of the requests that were there or ended shortly before. */
      readonly prompts: readonly Prompt[];
    }
  /** An endpoint outlived its answer on the part, which ended then. */
  | {readonly kind: 'cleared'; readonly part: string; readonly atMs: number}
  /** One request with the quarantined part was admitted. */
  | {readonly kind: 'trial'; readonly part: string; readonly atMs: number};

/** Records by key; undefined if the record was deleted. */
export type CrashChange = ReadonlyMap<string, CrashRecord | undefined>;

/** A row of a watched table; `value` is undefined if the row was deleted. */
export interface TableRow {
  readonly key: string;
  readonly value: unknown;
  /** Version of the store at which the row was written, if the store names it. */
  readonly version?: number;
}

/** The rows of a table: all of them, or those changed since the last read. */
export interface TableChange {
  /** Whether `rows` holds all rows of the table. */
  readonly whole: boolean;
  readonly rows: readonly TableRow[];
}

/** The load of an endpoint as its sidecar reports it. */
export interface EndpointLoad {
  readonly id: string;
  readonly running: number;
  readonly queued: number;
  /** The group of ranks that the endpoint belongs to. */
  readonly group: string;
  /** Increases when the group forms again; absent if unknown. */
  readonly epoch?: number;
  /** False while the group is broken. */
  readonly open: boolean;
  /** Its time for the same work, divided by that of a healthy endpoint. */
  readonly pace: number;
  /**
   * Requests per second that the endpoint takes from all gateways; 0 if it has
   * no limit, undefined if the sidecar does not know.
   */
  readonly limitPerS: number | undefined;
  /**
   * Requests that this gateway may send until the next report; undefined if the
   * sidecar does not know the endpoint's slots.
   */
  readonly share: number | undefined;
  /**
   * Requests that should be at the endpoint at most; undefined if the sidecar
   * does not limit them below the slots.
   */
  readonly requestLimit?: number;
}
