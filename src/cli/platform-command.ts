/** The command that starts the programs on the users' platform. */
import {Command, Option} from 'commander';
import {PlatformOptions, runPlatform} from './platform';

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

export function platformCommand(): Command {
  return new Command('platform')
    .description("The programs on the users' platform")
    .exitOverride()
    .addCommand(programCommand('entry', 'Serves callers'))
    .addCommand(
      programCommand('sidecar', 'Watches the model endpoint beside it'),
    );
}
