/** The command line of the one binary. */
import './heap';
import {Command, InvalidArgumentError, Option} from 'commander';
import {DEFAULT_OLDER_THAN_S, orders} from './cli/orders';
import {operatorPlatform, operatorSettings} from './cli/operator';
import {
  rulesApply,
  RulesApplyOptions,
  rulesCheck,
  rulesDiff,
  RulesOptions,
  rulesShow,
} from './cli/rules';
import {status, StatusOptions} from './cli/status';
import {runEntry, RunOptions, runSidecar} from './cli/run';
import {endWithFailure} from './cli/failure';
import {platformCommand} from './cli/platform-command';
import {timeline, TimelineOptions} from './cli/timeline';
import {version} from './kernel/version';

function program(name: string, description: string): Command {
  return new Command(name)
    .description(description)
    .requiredOption('--settings <file>', 'settings: JSON with comments')
    .option('--check', 'only check the settings')
    .addOption(
      new Option('--log-level <level>', 'least level to write')
        .choices(['debug', 'info'])
        .default('info'),
    );
}

const SETTINGS_HELP = 'settings of operator commands';

const boragemill = new Command('boragemill')
  .description('Load balancer for expert-parallel model groups')
  .version(version);

boragemill.addCommand(
  program('entry', 'Serves callers and routes their requests').action(
    (options: RunOptions) => runEntry(options),
  ),
);
boragemill.addCommand(
  program('sidecar', 'Owns the capacity of the endpoint beside it').action(
    (options: RunOptions) => runSidecar(options),
  ),
);

boragemill.addCommand(platformCommand());

boragemill.addCommand(
  new Command('timeline')
    .description('Merges the events of all processes into one causal order')
    .requiredOption('--settings <file>', SETTINGS_HELP)
    .option('--request <id>', 'only the events of one request')
    .addOption(
      new Option('--format <format>', 'html draws a picture per request')
        .choices(['text', 'json', 'html'])
        .default('text'),
    )
    .option('--out <file>', 'write to a file')
    .action(async (options: TimelineOptions) => {
      process.exitCode = await timeline(options);
    }),
);

/** Sets the process's exit code to what an operator command returns. */
async function finish(result: Promise<number>): Promise<void> {
  process.exitCode = await result;
}

/** Reads an option's value as a whole number. */
function whole(text: string): number {
  if (!/^\d+$/.test(text)) {
    throw new InvalidArgumentError('give a whole number');
  }
  return Number(text);
}

function rulesCommand(name: string, description: string): Command {
  return new Command(name)
    .description(description)
    .requiredOption('--settings <file>', SETTINGS_HELP);
}

boragemill.addCommand(
  new Command('rules')
    .description('Checks, applies and shows the rule file')
    .addCommand(
      new Command('check')
        .description('Reports every fault of a rule file')
        .argument('<file>', 'rule file')
        .option('--settings <file>', 'also check against the live endpoints')
        .action((file: string, options: Partial<RulesOptions>) =>
          finish(rulesCheck({...options, file})),
        ),
    )
    .addCommand(
      rulesCommand('apply', 'Puts a rule file in force everywhere')
        .argument('<file>', 'rule file')
        .option('--base <version>', 'the version that was edited', whole)
        .option('--wait-ms <ms>', 'longest wait for confirmations', whole)
        .action((file: string, options: Omit<RulesApplyOptions, 'file'>) =>
          finish(rulesApply({...options, file})),
        ),
    )
    .addCommand(
      rulesCommand('show', 'Prints the accepted rule file').action(
        (options: RulesOptions) => finish(rulesShow(options)),
      ),
    )
    .addCommand(
      rulesCommand('diff', 'Says in words what a rule file would change')
        .argument('<file>', 'rule file')
        .action((file: string, options: RulesOptions) =>
          finish(rulesDiff({...options, file})),
        ),
    ),
);

boragemill.addCommand(
  new Command('status')
    .description('Shows what is in force in each zone and instance')
    .requiredOption('--settings <file>', SETTINGS_HELP)
    .option('--json', 'print JSON')
    .option('--watch', 'print again every two seconds until SIGINT')
    .action((options: StatusOptions) => finish(status(options))),
);

interface UnresolvedOptions extends RulesOptions {
  readonly json?: boolean;
  readonly olderThan: number;
}

boragemill.addCommand(
  new Command('orders').description('Shows non-idempotent requests').addCommand(
    rulesCommand('unresolved', 'Lists requests whose outcome is not settled')
      .option('--json', 'print JSON')
      .option(
        '--older-than <seconds>',
        'age from which a claim counts as left',
        whole,
        DEFAULT_OLDER_THAN_S,
      )
      .action((options: UnresolvedOptions) => {
        const platform = operatorPlatform(operatorSettings(options.settings));
        const write = (line: string) => process.stdout.write(`${line}\n`);
        return finish(orders(platform, options, {now: new Date(), write}));
      }),
  ),
);

/** Makes every command throw in place of ending the process. */
function overrideExits(command: Command): void {
  command.exitOverride();
  command.commands.forEach(overrideExits);
}

overrideExits(boragemill);

boragemill.parseAsync().catch(endWithFailure);
