/**
 * Structured logs: one JSON object a line on standard output.
 *
 * The `debug` library decides what is written. It is switched on for this
 * project's name space only, because express and others write under it too.
 */
import createDebug from 'debug';
import {Sink, standardOutput} from './sink';

export type Level = 'debug' | 'info' | 'warn' | 'error';

export type Fields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

export interface Log {
  (level: Level, event: string, fields?: Fields): void;
}

const ROOT = 'boragemill';

createDebug.formatArgs = function (args) {
  const [event, level, fields] = args as [string, Level, Fields];
  const line = {
    time: new Date().toISOString(),
    level,
    part: this.namespace.slice(ROOT.length + 1),
    event,
    ...fields,
  };
  args.length = 1;
  args[0] = JSON.stringify(line);
};
let sink: Sink | undefined;

createDebug.log = (line: string) => sink?.write(line);

/** Switches logging on; `debug` also writes the most detailed level. */
export function enableLogs(level: Level = 'info'): void {
  sink ??= standardOutput();
  const finer = level === 'debug' ? `${ROOT}:*` : `${ROOT}:*,-${ROOT}:*:debug`;
  createDebug.enable(finer);
}

/** A log for one part of the program; `shared` fields go into each line. */
export function logFor(part: string, shared: Fields = {}): Log {
  const normal = createDebug(`${ROOT}:${part}`);
  const fine = createDebug(`${ROOT}:${part}:debug`);
  return (level, event, fields = {}) => {
    const write = level === 'debug' ? fine : normal;
    write(event, level, {...shared, ...fields});
  };
}
