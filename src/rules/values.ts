/**
 * The schemas of the values that rules may have, with their units.
 *
 * The values of each subject are a strict zod object. An unknown key is a
 * fault, so that a misspelt key never silently leaves a default in force.
 */
import {z} from 'zod';

const MS_PER_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
};
const BYTES_PER_UNIT: Readonly<Record<string, number>> = {
  B: 1,
  KiB: 1_024,
  MiB: 1_048_576,
  GiB: 1_073_741_824,
};

/** A duration with its unit, in milliseconds. */
const duration = z
  .string()
  .regex(/^\d+(ms|s|m)$/, 'write it as 500ms, 30s or 5m')
  .transform(s => parseInt(s, 10) * MS_PER_UNIT[s.replace(/\d+/, '')]!);

/** A size with its unit, in bytes. */
const size = z
  .string()
  .regex(/^\d+(B|KiB|MiB|GiB)$/, 'write it as 64KiB or 16MiB')
  .transform(s => parseInt(s, 10) * BYTES_PER_UNIT[s.replace(/\d+/, '')]!);

/** A percentage, as a fraction. */
const percent = z
  .string()
  .regex(/^\d+(\.\d+)?%$/, 'write it as 10%')
  .transform(s => parseFloat(s) / 100);

const perSecond = z
  .string()
  .regex(/^\d+(\.\d+)?\/s$/, 'write it as 1/s')
  .transform(s => parseFloat(s));

const weight = z.coerce.number().positive();
const priority = z.coerce.number().int().min(0).max(9);
const fence = z.enum(['checks', 'ignores']).default('ignores');
const DEFAULT_PRIORITY = 5;
// Confirmations arrive with heartbeats, so a shorter time would stop a zone
// after the loss of only a few messages.
const MIN_CUTOFF_MS = 5_000;

export const accountValues = z
  .strictObject({
    weight: weight.optional(),
    share: percent
      .refine(part => part > 0, 'must be above 0%')
      .refine(part => part <= 1, 'must be at most 100%')
      .optional(),
    limit: z
      .string()
      .regex(/^[1-9]\d*tok\/s$/, 'write it as 20000tok/s')
      .transform(s => parseInt(s, 10))
      .optional(),
    key: z
      .string()
      .regex(
        /^sha256:[0-9a-f]{64}(,sha256:[0-9a-f]{64})*$/,
        'write it as sha256: and 64 hexadecimal digits',
      )
      .transform(s => s.split(',').map(k => k.slice('sha256:'.length)))
      .default([]),
  })
  .refine(v => v.weight === undefined || v.share === undefined, {
    message: 'weight and share exclude each other; keep one',
  });

export const callerValues = z.strictObject({weight: weight.default(1)});

export const workValues = z
  .strictObject({
    priority,
    account: z.string().optional(),
    caller: z.string().optional(),
    model: z.string().optional(),
    service: z.string().optional(),
    method: z
      .string()
      .regex(/^[A-Z]+$/, 'write it as GET')
      .optional(),
    path: z.string().startsWith('/', 'must start with "/"').optional(),
  })
  .refine(v => v.model === undefined || v.service === undefined, {
    message: 'model and service exclude each other; keep one',
  })
  .refine(v => Object.values(v).filter(x => x !== undefined).length > 1, {
    message: 'matches everything; name an account, caller, model or service',
  });

export const modelValues = z.strictObject({
  priority: priority.default(DEFAULT_PRIORITY),
  'max-output': z.coerce.number().int().min(1).default(4_096),
});

export const groupValues = z.strictObject({
  model: z.string(),
  ranks: z.coerce.number().int().min(1),
  fence,
});

export const serviceValues = z.strictObject({
  priority: priority.default(DEFAULT_PRIORITY),
  fence,
  'non-idempotent': z
    .string()
    .regex(/^[A-Z]+:\/[^,]*(,[A-Z]+:\/[^,]*)*$/, 'write it as POST:/orders')
    .transform(s => s.split(',').map(toCallPattern))
    .default([]),
});

export const regionValues = z.strictObject({
  zones: z
    .string()
    .regex(
      /^[a-z0-9][a-z0-9.-]*(,[a-z0-9][a-z0-9.-]*)*$/,
      'write it as oslo-1,oslo-2',
    )
    .transform(s => s.split(',')),
});

export const cutoffValues = z.strictObject({
  cutoff: z.literal('stop'),
  after: duration.refine(ms => ms >= MIN_CUTOFF_MS, 'must be at least 5s'),
});

export const retryValues = z.strictObject({
  ratio: percent.optional(),
  floor: perSecond.optional(),
});

export const queueValues = z.strictObject({
  wait: duration.optional(),
  bytes: size.optional(),
});

export const rebalanceValues = z.strictObject({
  'min-skew': z.coerce.number().min(1).optional(),
  horizon: duration.refine(ms => ms > 0, 'must be above 0').optional(),
});

export const noValues = z.strictObject({});

function toCallPattern(text: string) {
  const at = text.indexOf(':');
  return {method: text.slice(0, at), pathPrefix: text.slice(at + 1)};
}
