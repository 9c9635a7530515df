/**
 * `npm run fuzz -- --seed N --minutes M [model...]`: runs the fuzz models
 * with consecutive seeds until the time is over. The first violation ends the
 * run; the last line that names a seed shows how to reproduce it.
 */
import fs from 'node:fs';
import path from 'node:path';
import {pathToFileURL} from 'node:url';
import {Command} from 'commander';

/** A fuzz model; a file of this directory exports it as `model`. */
export interface Model {
  /** Runs random steps; throws if an invariant does not hold. */
  run(seed: number, steps: number): void | Promise<void>;
}

interface Options {
  readonly seed: string;
  readonly minutes: string;
  readonly steps: string;
}

const MS_PER_MINUTE = 60_000;

async function loadModel(name: string): Promise<Model | undefined> {
  const url = pathToFileURL(path.join(__dirname, `${name}.ts`)).href;
  return ((await import(url)) as {readonly model?: Model}).model;
}

function modelNames(): readonly string[] {
  return fs
    .readdirSync(__dirname)
    .filter(file => file.endsWith('.ts') && file !== 'main.ts')
    .map(file => file.slice(0, -'.ts'.length));
}

async function main(names: readonly string[], options: Options): Promise<void> {
  const steps = Number(options.steps);
  const deadlineMs = Date.now() + Number(options.minutes) * MS_PER_MINUTE;
  const chosen = names.length > 0 ? names : modelNames();
  const counts = new Map<string, number>();
  for (let seed = Number(options.seed); Date.now() < deadlineMs; seed++) {
    for (const name of chosen) {
      const model = await loadModel(name);
      if (!model) continue;
      console.error(`${name}: seed ${seed}`);
      await model.run(seed, steps);
      counts.set(name, (counts.get(name) ?? 0) + steps);
    }
  }
  for (const [name, count] of counts) console.log(`${name}: ${count} steps`);
}

new Command('fuzz')
  .argument('[models...]', 'models to run; all by default')
  .option('--seed <n>', 'first seed', '1')
  .option('--minutes <m>', 'how long to run', '1')
  .option('--steps <n>', 'steps for each seed', '10000')
  .action(main)
  .parseAsync()
  .catch((error: unknown) => {
    console.error(error);
    process.exitCode = 1;
  });
