/** How a command that failed ends the process. */
import {CommanderError} from 'commander';
import {CommandError, EXIT} from '../kernel/errors';

/** Writes the fault on standard error and sets the exit code. */
export function endWithFailure(error: unknown): void {
  if (error instanceof CommanderError) {
    process.exitCode = error.exitCode === 0 ? EXIT.done : EXIT.usage;
    return;
  }
  const known = error instanceof CommandError;
  process.stderr.write(`${known ? error.message : String(error)}\n`);
  process.exit(known ? error.exitCode : EXIT.failed);
}
