/** The command line of the binary. */
import './heap';
import {Command, InvalidArgumentError, Option} from 'commander';
import {DEFAULT_OLDER_THAN_S, listUnresolvedOrders} from './cli/orders';
import {operatorPlatformClient, loadOperatorSettings} from './cli/operator';
import {
  rulesApply,
  RulesApplyOptions,
  rulesCheck,
  rulesDiff,
  RulesOptions,
  rulesShow,
} from './cli/rules';
import {showStatus, StatusOptions} from './cli/status';
import {runEntry, RunOptions, runSidecar} from './cli/run';
import {endWithFailure} from './cli/failure';
import {platformCommand} from './cli/platform-command';
import {showTimeline, TimelineOptions} from './cli/timeline';
import {version} from './kernel/version';

function programCommand(name: string, description: string): Command {
  return new Command(name)
    .description(description)
    .requiredOption('--settings <file>', 'settings: JSON with comments')
    .option('--check', 'only check the settings')
    .addOption(
      new Option('--log-level <level>', 'lowest level to log')
        .choices(['debug', 'info'])
        .default('info'),
    );
}

const SETTINGS_HELP = 'settings of operator commands';

const boragemill = new Command('boragemill')
  .description('Load balancer for expert-parallel model groups')
  .version(version);

boragemill.addCommand(
  programCommand('entry', 'Serves callers and routes their requests').action(
    (options: RunOptions) => runEntry(options),
  ),
);
boragemill.addCommand(
  programCommand(
    'sidecar',
    'Owns the capacity of the endpoint beside it',
  ).action((options: RunOptions) => runSidecar(options)),
);

boragemill.addCommand(platformCommand());

boragemill.addCommand(
  new Command('timeline')
    .description('Merges the events of all processes into one causal order')
    .requiredOption('--settings <file>', SETTINGS_HELP)
    .option('--request <id>', 'only the events of one request')
    .addOption(
      new Option('--format <format>', 'html draws a diagram of each request')
        .choices(['text', 'json', 'html'])
        .default('text'),
    )
    .option('--out <file>', 'write to a file')
    .action(async (options: TimelineOptions) => {
      process.exitCode = await showTimeline(options);
    }),
);

/** Sets the process's exit code to what an operator command returns. */
async function setExitCode(result: Promise<number>): Promise<void> {
  process.exitCode = await result;
}

/** Parses an option's value as a non-negative integer. */
function parseWholeNumber(text: string): number {
  if (!/^\d+$/.test(text)) {
    throw new InvalidArgumentError('give a whole number');
  }
  return Number(text);
}

function operatorCommand(name: string, description: string): Command {
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
          setExitCode(rulesCheck({...options, file})),
        ),
    )
    .addCommand(
      operatorCommand('apply', 'Puts a rule file in force everywhere')
        .argument('<file>', 'rule file')
        .option(
          '--base <version>',
          'the version that was edited',
          parseWholeNumber,
        )
        .option(
          '--wait-ms <ms>',
          'longest wait for confirmations',
          parseWholeNumber,
        )
        .action((file: string, options: Omit<RulesApplyOptions, 'file'>) =>
          setExitCode(rulesApply({...options, file})),
        ),
    )
    .addCommand(
      operatorCommand('show', 'Prints the accepted rule file').action(
        (options: RulesOptions) => setExitCode(rulesShow(options)),
      ),
    )
    .addCommand(
      operatorCommand('diff', 'Describes what a rule file would change')
        .argument('<file>', 'rule file')
        .action((file: string, options: RulesOptions) =>
          setExitCode(rulesDiff({...options, file})),
        ),
    ),
);

boragemill.addCommand(
  new Command('status')
    .description('Shows what is in force in each zone and instance')
    .requiredOption('--settings <file>', SETTINGS_HELP)
    .option('--json', 'print JSON')
    .option('--watch', 'print again every two seconds until SIGINT')
    .action((options: StatusOptions) => setExitCode(showStatus(options))),
);

interface UnresolvedOptions extends RulesOptions {
  readonly json?: boolean;
  readonly olderThan: number;
}

boragemill.addCommand(
  new Command('orders').description('Shows non-idempotent requests').addCommand(
    operatorCommand('unresolved', 'Lists requests whose outcome is not settled')
      .option('--json', 'print JSON')
      .option(
        '--older-than <seconds>',
        'age above which a claim counts as abandoned',
        parseWholeNumber,
        DEFAULT_OLDER_THAN_S,
      )
      .action((options: UnresolvedOptions) => {
        const platform = operatorPlatformClient(
          loadOperatorSettings(options.settings),
        );
        const write = (line: string) => process.stdout.write(`${line}\n`);
        return setExitCode(
          listUnresolvedOrders(platform, options, {now: new Date(), write}),
        );
      }),
  ),
);

/** Makes every command throw instead of ending the process. */
function throwInsteadOfExit(command: Command): void {
  command.exitOverride();
  command.commands.forEach(throwInsteadOfExit);
}

throwInsteadOfExit(boragemill);

boragemill.parseAsync().catch(endWithFailure);
