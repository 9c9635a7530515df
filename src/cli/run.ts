/**
 * Starts a program from its settings file and stops it on a signal.
 */
import {z} from 'zod';
import {CommandError, EXIT_CODES} from '../kernel/errors';
import {Kernel} from '../kernel/kernel';
import {SERVICE_KEYS} from '../kernel/servicekeys';
import {enableLogs, LogLevel, Log} from '../observe/log';
import {loadSettings} from '../settings/load';
import {
  EntrySettings,
  entrySchema,
  SidecarSettings,
  sidecarSchema,
} from '../settings/schema';
import {wireEntry, wireSidecar} from '../wiring';

export interface RunOptions {
  readonly settings: string;
  readonly check?: boolean;
  readonly logLevel: LogLevel;
}

/** How long an entry accepts new callers after it has reported not ready. */
const BALANCER_GRACE_MS = 1_000;

export async function runEntry(options: RunOptions): Promise<void> {
  const settings = loadCheckedSettings(options, entrySchema);
  if (!settings) return;
  const kernel = wireEntry(settings);
  await startProgram(kernel, options, settings, async () => {
    const server = kernel.get(SERVICE_KEYS.http);
    return {http: await server.listen()};
  });
  stopOnSignals(kernel, settings, async () => {
    const server = kernel.get(SERVICE_KEYS.http);
    server.drain();
    await sleep(Math.min(BALANCER_GRACE_MS, settings.drainMs));
    server.close();
  });
}

export async function runSidecar(options: RunOptions): Promise<void> {
  const settings = loadCheckedSettings(options, sidecarSchema);
  if (!settings) return;
  const kernel = wireSidecar(settings);
  const node = kernel.get(SERVICE_KEYS.node);
  const work = kernel.get(SERVICE_KEYS.work);
  node.handlers.link = channel => work.accept(channel);
  await startProgram(kernel, options, settings, async () => ({}));
  stopOnSignals(kernel, settings, async () => work.refuseNewWork());
}

function loadCheckedSettings<S extends z.ZodType>(
  options: RunOptions,
  schema: S,
): z.infer<S> | undefined {
  const loaded = loadSettings(options.settings, schema);
  if (loaded.err)
    throw new CommandError(loaded.val.join('\n'), EXIT_CODES.usage);
  if (!options.check) return loaded.val;
  process.stdout.write(`${options.settings}: settings are valid\n`);
  return undefined;
}

type Ports = Readonly<Record<string, number>>;

async function startProgram(
  kernel: Kernel,
  options: RunOptions,
  settings: EntrySettings | SidecarSettings,
  listenMore: () => Promise<Ports>,
): Promise<void> {
  enableLogs(options.logLevel);
  const log = kernel.get(SERVICE_KEYS.log);
  const node = kernel.get(SERVICE_KEYS.node);
  logWarnings(log);
  await kernel.start();
  try {
    const grpc = await node.listen(settings.listen.grpc);
    const more = await listenMore();
    log('info', 'listening', {grpc, ...more});
  } catch (error) {
    throw new CommandError(
      listenFault(options.settings, error),
      EXIT_CODES.usage,
    );
  }
}

/** Logs Node.js warnings as JSON lines instead of plain text. */
function logWarnings(log: Log): void {
  process.removeAllListeners('warning');
  process.on('warning', ({name, message}) =>
    log('warn', 'runtime warning', {name, message}),
  );
}

function listenFault(file: string, error: unknown): string {
  const reason = error instanceof Error ? error.message : String(error);
  return `${file}: listen: ${reason}; free the port or choose another address`;
}

function stopOnSignals(
  kernel: Kernel,
  settings: EntrySettings | SidecarSettings,
  drain: () => Promise<void>,
): void {
  let stopping = false;
  const stop = async () => {
    if (stopping) return;
    stopping = true;
    const log = kernel.get(SERVICE_KEYS.log);
    const deadline = new Date(Date.now() + settings.drainMs);
    log('info', 'stopping', {deadline: deadline.toISOString()});
    kernel.get(SERVICE_KEYS.facts).markDraining();
    kernel.get(SERVICE_KEYS.membership).leave();
    await drain();
    await kernel.stop(deadline);
    kernel.get(SERVICE_KEYS.node).close();
    kernel.get(SERVICE_KEYS.metrics).close();
    log('info', 'stopped');
    process.exitCode = EXIT_CODES.done;
    // Idle connections from peers would keep the process alive.
    setTimeout(() => process.exit(), BALANCER_GRACE_MS).unref();
  };
  process.on('SIGTERM', () => void stop());
  process.on('SIGINT', () => void stop());
}

function sleep(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}
