/** Bundles the program and its libraries into one file. */
import fs from 'node:fs';
import esbuild from 'esbuild';

export async function bundle(entry, outfile) {
  const {version} = JSON.parse(fs.readFileSync('package.json', 'utf8'));
  await esbuild.build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    // Comments outside ASCII make V8 hold the source with two bytes a
    // character. Names stay as they are, for stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
    mainFields: ['module', 'main'],
    external: ['unix-dgram'],
    define: {BORAGEMILL_VERSION: JSON.stringify(version)},
    logLevel: 'warning',
  });
}
