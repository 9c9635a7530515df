/** Ends the process after a command has failed. */
import {CommanderError} from 'commander';
import {CommandError, EXIT_CODES} from '../kernel/errors';

/** Writes the error to standard error and exits with its code. */
export function endWithFailure(error: unknown): void {
  if (error instanceof CommanderError) {
    process.exitCode =
      error.exitCode === 0 ? EXIT_CODES.done : EXIT_CODES.usage;
    return;
  }
  const isCommandError = error instanceof CommandError;
  process.stderr.write(`${isCommandError ? error.message : String(error)}\n`);
  process.exit(isCommandError ? error.exitCode : EXIT_CODES.failed);
}
