/**
 * Starts a program on the users' platform from the settings file that the
 * platform has written, and stops it on a signal.
 */
import fs from 'node:fs';
import {
  Deployment,
  parseDeployment,
  SETTINGS_VARIABLE,
} from '../../platform/settings';
import {CommandError, EXIT_CODES} from '../kernel/errors';
import {Program} from '../kernel/program';
import {enableLogs, LogLevel, logFor} from '../observe/log';
import {ExplainOptions, explainRequest} from './explain';
import {wirePlatformEntry, wirePlatformSidecar} from '../wiring-platform';

export interface PlatformOptions {
  readonly settings?: string;
  readonly check?: boolean;
  readonly logLevel: LogLevel;
}

type CreateProgram = (deployment: Deployment) => Program;

const PROGRAMS: Readonly<Record<'entry' | 'sidecar', CreateProgram>> = {
  entry: wirePlatformEntry,
  sidecar: wirePlatformSidecar,
};

/** Settings of the program that `--settings` or the environment names. */
function settingsFile(options: Pick<PlatformOptions, 'settings'>): string {
  const file = options.settings ?? process.env[SETTINGS_VARIABLE];
  if (file === undefined) {
    const message = `no settings; give --settings or set ${SETTINGS_VARIABLE}`;
    throw new CommandError(message, EXIT_CODES.usage);
  }
  return file;
}

export interface PlatformExplainOptions extends ExplainOptions {
  readonly settings?: string;
  /** Address of an entry's metrics; by default that of the settings file. */
  readonly entry?: string;
}

export function explainPlatform(
  options: PlatformExplainOptions,
): Promise<void> {
  const address = options.entry ?? metricsAddress(settingsFile(options));
  if (!isAddress(address)) {
    const message = `${address}: give --entry as HOST:PORT`;
    throw new CommandError(message, EXIT_CODES.usage);
  }
  return explainRequest(address, options, line =>
    process.stdout.write(`${line}\n`),
  );
}

function metricsAddress(file: string): string {
  const {ip, metricsPort} = readDeployment(file);
  return `${ip}:${metricsPort}`;
}

function isAddress(text: string): boolean {
  const port = Number(/^[^:/\s]+:(\d{1,5})$/.exec(text)?.[1]);
  return port > 0 && port < 65_536;
}

export async function runPlatform(
  role: 'entry' | 'sidecar',
  options: PlatformOptions,
): Promise<void> {
  const file = settingsFile(options);
  const deployment = readDeployment(file);
  if (options.check) {
    process.stdout.write(`${file}: settings are valid\n`);
    return;
  }
  enableLogs(options.logLevel);
  const log = logFor('process', {instance: deployment.instance});
  const program = PROGRAMS[role](deployment);
  let stopping = false;
  const stop = async () => {
    if (stopping) return;
    stopping = true;
    log('info', 'stopping');
    await program.stop();
    log('info', 'stopped');
    process.exit(EXIT_CODES.done);
  };
  process.on('SIGTERM', () => void stop());
  process.on('SIGINT', () => void stop());
  process.on('SIGHUP', () => {
    try {
      const keys = changedKeys(deployment, readDeployment(file));
      log('info', 'settings read again', {
        changed: keys.join(','),
        inForce: keys.length === 0 ? 'unchanged' : 'at the next start',
      });
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log('error', 'settings file is unreadable or invalid', {reason});
    }
  });
  await program.start();
  log('info', 'started', {role, zone: deployment.zone});
}

/**
 * Names of the settings that differ. Changes only take effect at the next
 * start, because requests in flight depend on addresses, ports and bounds.
 */
function changedKeys(
  previous: Deployment,
  next: Deployment,
): readonly string[] {
  const keys = Object.keys(next) as (keyof Deployment)[];
  return keys.filter(
    k => JSON.stringify(previous[k]) !== JSON.stringify(next[k]),
  );
}

function readDeployment(file: string): Deployment {
  try {
    return parseDeployment(fs.readFileSync(file, 'utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new CommandError(`${file}: ${reason}`, EXIT_CODES.usage);
  }
}
