/**
 * Builds dist/boragemill: one executable that holds Node.js and the bundle.
 *
 * The bundle's hash is kept beside the binary, so that an unchanged source
 * tree is not injected again.
 */
import {createHash} from 'node:crypto';
import {execFileSync} from 'node:child_process';
import fs from 'node:fs';
import {createRequire} from 'node:module';
import {bundle} from './bundling.mjs';

const require = createRequire(import.meta.url);
const BUNDLE = 'dist/boragemill.cjs';
const BINARY = 'dist/boragemill';
const STAMP = 'dist/boragemill.sha256';
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

function stampOf(path) {
  return createHash('sha256').update(fs.readFileSync(path)).digest('hex');
}

function isCurrent(stamp) {
  if (!fs.existsSync(BINARY) || !fs.existsSync(STAMP)) return false;
  return fs.readFileSync(STAMP, 'utf8') === stamp;
}

function inject() {
  const config = 'dist/sea.json';
  const blob = 'dist/boragemill.blob';
  const settings = {
    main: BUNDLE,
    output: blob,
    disableExperimentalSEAWarning: true,
  };
  fs.writeFileSync(config, JSON.stringify(settings));
  execFileSync(process.execPath, ['--experimental-sea-config', config], {
    stdio: 'ignore',
  });
  fs.rmSync(BINARY, {force: true});
  fs.copyFileSync(process.execPath, BINARY);
  const postject = require.resolve('postject/dist/cli.js');
  const args = [postject, BINARY, 'NODE_SEA_BLOB', blob];
  execFileSync(
    process.execPath,
    [...args, '--sentinel-fuse', FUSE, '--overwrite'],
    {stdio: 'ignore'},
  );
  fs.chmodSync(BINARY, 0o755);
}

await bundle('src/main.ts', BUNDLE);
const stamp = stampOf(BUNDLE);
if (!isCurrent(stamp)) {
  inject();
  fs.writeFileSync(STAMP, stamp);
}
