/** The command that starts the programs on the users' platform. */
import {Command, InvalidArgumentError, Option} from 'commander';
import {
  explainPlatform,
  PlatformExplainOptions,
  PlatformOptions,
  runPlatform,
} from './platform';

function programCommand(
  name: 'entry' | 'sidecar',
  description: string,
): Command {
  return new Command(name)
    .description(description)
    .exitOverride()
    .option('--settings <file>', 'settings that the platform has written')
    .option('--check', 'only check the settings')
    .addOption(
      new Option('--log-level <level>', 'lowest level to log')
        .choices(['debug', 'info'])
        .default('info'),
    )
    .action((options: PlatformOptions) => runPlatform(name, options));
}

function explainCommand(): Command {
  return new Command('explain')
    .description('Explains where an entry would send a request now')
    .exitOverride()
    .option('--settings <file>', 'settings that the platform has written')
    .option('--entry <address>', "HOST:PORT of the entry's metrics")
    .requiredOption('--host <host>', 'host that the caller names')
    .requiredOption('--path <path>', 'path of the request')
    .option('--account <name>', 'name of the account, never a key')
    .option('--deadline-ms <ms>', 'time that the caller waits', parseCount)
    .option('--prompt-tokens <n>', 'length of the prompt', parseCount)
    .option(
      '--parts <ids>',
      'shared parts of the prompt in order: ID:TOKENS,ID:TOKENS',
    )
    .option('--json', 'print JSON')
    .action((options: PlatformExplainOptions) => explainPlatform(options));
}

/** Parses an option's value as a non-negative integer. */
function parseCount(text: string): number {
  if (!/^\d{1,9}$/.test(text)) {
    throw new InvalidArgumentError('give a whole number');
  }
  return Number(text);
}

export function platformCommand(): Command {
  return new Command('platform')
    .description("The programs on the users' platform")
    .exitOverride()
    .addCommand(programCommand('entry', 'Serves callers'))
    .addCommand(
      programCommand('sidecar', 'Watches the model endpoint beside it'),
    )
    .addCommand(explainCommand());
}
