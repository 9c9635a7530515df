/** Bundles the program with its libraries into one file, by esbuild. */
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
    // White space and comments are removed: one character outside ASCII, as
    // in a comment, makes V8 hold the whole source with two bytes per
    // character. Identifiers are kept for stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
    mainFields: ['module', 'main'],
    external: ['unix-dgram'],
    define: {BORAGEMILL_VERSION: JSON.stringify(version)},
    logLevel: 'warning',
  });
}
