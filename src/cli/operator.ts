/**
 * What operator commands share: reading their settings and listing the
 * instances to call.
 */
import {z} from 'zod';
import {CommandError, EXIT_CODES} from '../kernel/errors';
import {
  InstanceRecord,
  Platform,
  createPlatformClient,
} from '../platform/client';
import {loadSettings} from '../settings/load';
import {operatorSchema} from '../settings/schema';

export type OperatorSettings = Readonly<z.infer<typeof operatorSchema>>;

/** Reads the operator settings. Throws a `CommandError` if they are invalid. */
export function loadOperatorSettings(file: string): OperatorSettings {
  const loaded = loadSettings(file, operatorSchema);
  if (loaded.err)
    throw new CommandError(loaded.val.join('\n'), EXIT_CODES.usage);
  return loaded.val;
}

export function operatorPlatformClient(settings: OperatorSettings): Platform {
  return createPlatformClient(settings.platform);
}

/** The platform's instance list. Throws a `CommandError` on failure. */
export async function listInstances(
  settings: OperatorSettings,
): Promise<readonly InstanceRecord[]> {
  try {
    return await operatorPlatformClient(settings).instances();
  } catch (error) {
    throw new CommandError(
      `platform at ${settings.platform.url}: ${String(error)}; ` +
        'check platform.url or wait until it is back',
      EXIT_CODES.platformUnreachable,
    );
  }
}
