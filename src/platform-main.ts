/**
 * The command line of the platform's bundle. It has only the programs that run
 * on the platform, so that a process loads only a third of the code.
 */
import './heap';
import {Command} from 'commander';
import {endWithFailure} from './cli/failure';
import {platformCommand} from './cli/platform-command';
import {version} from './kernel/version';

const program = new Command('boragemill').version(version).exitOverride();

program.addCommand(platformCommand());

program.parseAsync().catch(endWithFailure);
