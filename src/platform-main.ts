/**
 * The command line of the platform's bundle: only the programs that run on
 * the platform, so that a process starts with a third of the code.
 */
import './heap';
import {Command, CommanderError} from 'commander';
import {platformCommand} from './cli/platform-command';
import {CommandError, EXIT} from './kernel/errors';
import {version} from './kernel/version';

const program = new Command('boragemill').version(version).exitOverride();

program.addCommand(platformCommand());

program.parseAsync().catch((error: unknown) => {
  if (error instanceof CommanderError) {
    process.exitCode = error.exitCode === 0 ? EXIT.done : EXIT.usage;
    return;
  }
  const known = error instanceof CommandError;
  process.stderr.write(`${known ? error.message : String(error)}\n`);
  process.exit(known ? error.exitCode : EXIT.failed);
});
