/**
 * Builds the binary and the platform's bundle, and runs every test; extra
 * arguments go to mocha.
 */
import {spawnSync} from 'node:child_process';

function run(command, args) {
  const {status} = spawnSync(command, args, {stdio: 'inherit'});
  if (status !== 0) process.exit(status ?? 1);
}

run(process.execPath, ['scripts/build.mjs']);
run(process.execPath, ['scripts/bundle.mjs']);
run('npx', ['--no-install', 'mocha', ...process.argv.slice(2)]);
