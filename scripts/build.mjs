/**
 * Builds dist/boragemill: one executable with Node.js and the bundle.
 *
 * The hash of the bundle is stored beside the binary. The binary is not built
 * again while the bundle is unchanged.
 */
import {createHash} from 'node:crypto';
import {execFileSync} from 'node:child_process';
import fs from 'node:fs';
import {createRequire} from 'node:module';
import {bundle} from './bundling.mjs';

const require = createRequire(import.meta.url);
const BUNDLE = 'dist/boragemill.cjs';
const BINARY = 'dist/boragemill';
const HASH_FILE = 'dist/boragemill.sha256';
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

function fileHash(path) {
  return createHash('sha256').update(fs.readFileSync(path)).digest('hex');
}

function isUpToDate(bundleHash) {
  if (!fs.existsSync(BINARY) || !fs.existsSync(HASH_FILE)) return false;
  return fs.readFileSync(HASH_FILE, 'utf8') === bundleHash;
}

function buildBinary() {
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
const bundleHash = fileHash(BUNDLE);
if (!isUpToDate(bundleHash)) {
  buildBinary();
  fs.writeFileSync(HASH_FILE, bundleHash);
}
