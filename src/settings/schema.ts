/**
 * The settings of each program, checked with zod.
 *
 * Settings describe the place of a process: its addresses, its availability
 * zone, its peers and the endpoint beside it. Behaviour that operators change
 * is in the rule file instead. Durations are in milliseconds and sizes in
 * bytes, and the unit is part of the key.
 */
import {z} from 'zod';

const address = z
  .string()
  .regex(/^\[?[0-9a-fA-F.:]+\]?:\d{1,5}$/, 'must be IP:port');

const instance = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    'must be lower-case letters, digits, dots or hyphens, at most 63, and start with a letter or digit',
  );

const url = z.url({protocol: /^https?$/});

const platform = z.strictObject({
  url,
  timeoutMs: z.number().int().min(10).max(60_000).default(2_000),
  /** Interval of instance list reads; the default depends on the role. */
  listMs: z.number().int().min(100).max(600_000).optional(),
});

const tls = z.strictObject({
  caFile: z.string(),
  certFile: z.string(),
  keyFile: z.string(),
});

const peers = z.strictObject({
  sharedKey: z.string().min(16).optional(),
  tls: tls.optional(),
  seeds: z.array(address).default([]),
  heartbeatMs: z.number().int().min(50).max(10_000).default(1_000),
});

const metrics = z.strictObject({
  host: z.string().default('127.0.0.1'),
  port: z.number().int().min(1).max(65_535).default(8125),
  prefix: z.string().default('boragemill.'),
});

const common = {
  instance,
  zone: instance,
  platform,
  peers,
  metrics: metrics.optional(),
  drainMs: z.number().int().min(0).max(3_600_000).default(60_000),
  timelineEvents: z.number().int().min(100).max(100_000).default(4_000),
};

export const entrySchema = z.strictObject({
  ...common,
  listen: z.strictObject({http: address, grpc: address}),
  limits: z
    .strictObject({
      bodyBytes: z.number().int().min(1_024).default(4_194_304),
      /** Bytes of all bodies together that have not arrived completely. */
      unfinishedBytes: z.number().int().min(1_024).default(33_554_432),
      connections: z.number().int().min(1).default(1_000),
      queuedBytesPerAccount: z.number().int().min(1_024).default(16_777_216),
      streamWindowBytes: z.number().int().min(1_024).default(16_384),
    })
    .prefault({}),
  claims: z
    .strictObject({
      /** How long the claim row of a settled order is kept. */
      keepDays: z.number().min(1).max(365).default(7),
    })
    .prefault({}),
});

const endpoint = z.strictObject({
  kind: z.enum(['model', 'service']),
  name: instance,
  url,
  /** Largest number of concurrent requests that a cold endpoint can take. */
  coldConcurrent: z.number().int().min(1),
  maxConcurrent: z.number().int().min(1),
  /** KV cache size of a model engine, in tokens. */
  kvTokens: z.number().int().min(1).default(1_000_000),
  /** Most prompt tokens that the engine puts in one batch; absent: no limit. */
  batchTokens: z.number().int().min(1).optional(),
  /** Number of steps after which a cold engine counts as warm. */
  warmSteps: z.number().int().min(1).default(64),
  /**
   * The concurrency is only raised while the step time of a model engine, or
   * the call time of a plain service, is at most this.
   */
  targetStepMs: z.number().min(0.1).default(50),
});

const group = z.strictObject({
  name: instance,
  /** Position of this endpoint in its group; 0 is the step sequencer. */
  index: z.number().int().min(0),
  endpoints: z.number().int().min(1),
  ranks: z.number().int().min(1),
  weightStoreUrl: url,
  /**
   * Lease of the group's coordinator, in milliseconds. The default is long, so
   * that the renewals of thousands of groups fit the table's write rate.
   */
  leaseMs: z.number().int().min(1_000).max(300_000).default(20_000),
});

export const sidecarSchema = z.strictObject({
  ...common,
  listen: z.strictObject({grpc: address}),
  endpoint,
  group: group.optional(),
});

/** The settings of operator commands. */
export const operatorSchema = z.strictObject({platform, peers});

export type EntrySettings = Readonly<z.infer<typeof entrySchema>>;
export type SidecarSettings = Readonly<z.infer<typeof sidecarSchema>>;
export type PeerSettings = Readonly<z.infer<typeof peers>>;
export type PlatformSettings = Readonly<z.infer<typeof platform>>;
export type MetricsSettings = Readonly<z.infer<typeof metrics>>;
export type EndpointSettings = Readonly<z.infer<typeof endpoint>>;
export type GroupSettings = Readonly<z.infer<typeof group>>;
