/**
 * Structured logs: one JSON object per line on standard output.
 *
 * The `debug` library decides what is written. It is enabled for this
 * project's namespace only, because express and others log through it too.
 */
import createDebug from 'debug';
import {LogSink, createStdoutSink} from './sink';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

export interface Log {
  (level: LogLevel, event: string, fields?: LogFields): void;
}

const ROOT_NAMESPACE = 'boragemill';

createDebug.formatArgs = function (args) {
  const [event, level, fields] = args as [string, LogLevel, LogFields];
  const line = {
    time: new Date().toISOString(),
    level,
    part: this.namespace.slice(ROOT_NAMESPACE.length + 1),
    event,
    ...fields,
  };
  args.length = 1;
  args[0] = JSON.stringify(line);
};
let sink: LogSink | undefined;

createDebug.log = (line: string) => sink?.write(line);

/** Enables logging; lines of level `debug` only if `level` is `debug`. */
export function enableLogs(level: LogLevel = 'info'): void {
  sink ??= createStdoutSink();
  const enabledNamespaces =
    level === 'debug'
      ? `${ROOT_NAMESPACE}:*`
      : `${ROOT_NAMESPACE}:*,-${ROOT_NAMESPACE}:*:debug`;
  createDebug.enable(enabledNamespaces);
}

/** A logger for one module; each line also has the `shared` fields. */
export function logFor(part: string, shared: LogFields = {}): Log {
  const logger = createDebug(`${ROOT_NAMESPACE}:${part}`);
  const debugLogger = createDebug(`${ROOT_NAMESPACE}:${part}:debug`);
  return (level, event, fields = {}) => {
    const write = level === 'debug' ? debugLogger : logger;
    write(event, level, {...shared, ...fields});
  };
}
