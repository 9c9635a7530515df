/**
 * Runs the benchmark rows and prints one table.
 *
 * `npm run bench` runs all rows, `npm run bench -- skew fairness` some, and
 * `npm run bench -- --portable` all rows but only the measures that CI checks.
 * The exit code is 1 when a bound is missed.
 */
import fs from 'node:fs';
import path from 'node:path';
import {pathToFileURL} from 'node:url';
import {Command} from 'commander';
import {Measurement, Row, verdict} from './row';

interface Options {
  readonly portable?: boolean;
  readonly seed?: string;
}

/** Files of this directory that are not rows. */
const NOT_ROWS = new Set(['main.ts', 'row.ts']);

async function loadRows(names: readonly string[]): Promise<readonly Row[]> {
  const files = fs.readdirSync(__dirname).filter(f => f.endsWith('.ts'));
  const rows: Row[] = [];
  for (const file of files.filter(f => !NOT_ROWS.has(f)).sort()) {
    const url = pathToFileURL(path.join(__dirname, file)).href;
    const loaded = (await import(url)) as {readonly row?: Row};
    if (loaded.row) rows.push(loaded.row);
  }
  return names.length === 0 ? rows : rows.filter(r => names.includes(r.name));
}

function formatCells(
  row: Row,
  seed: number,
  m: Measurement,
): readonly string[] {
  const bound = m.bound ? `${m.bound.relation} ${m.bound.value}` : '';
  return [
    row.name,
    m.name,
    m.baseline === undefined ? '' : formatFigure(m.baseline),
    formatFigure(m.current),
    m.unit,
    bound,
    verdict(m),
    String(seed),
    m.note ?? '',
  ];
}

function formatFigure(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toPrecision(4);
}

function printTable(lines: readonly (readonly string[])[]): void {
  const widths = lines[0]!.map((_, i) =>
    Math.max(...lines.map(line => line[i]!.length)),
  );
  for (const line of lines) {
    console.log(line.map((cell, i) => cell.padEnd(widths[i]!)).join('  '));
  }
}

const HEADINGS = [
  'row',
  'measure',
  'baseline',
  'current',
  'unit',
  'bound',
  'verdict',
  'seed',
  'note',
];

async function main(names: readonly string[], choice: Options): Promise<void> {
  const lines: (readonly string[])[] = [HEADINGS];
  let missed = 0;
  for (const row of await loadRows(names)) {
    const seed = choice.seed === undefined ? row.seed : Number(choice.seed);
    const all = await row.run(seed);
    const shown = choice.portable ? all.filter(m => m.portable) : all;
    missed += shown.filter(m => verdict(m) === 'missed').length;
    lines.push(...shown.map(m => formatCells(row, seed, m)));
  }
  printTable(lines);
  console.log(`${lines.length - 1} measures, ${missed} missed`);
  process.exitCode = missed > 0 ? 1 : 0;
}

new Command('bench')
  .argument('[rows...]', 'rows to run; all by default')
  .option(
    '--portable',
    'show and check only measures that do not depend on the host',
  )
  .option('--seed <n>', 'seed for every row instead of its own')
  .action(main)
  .parseAsync()
  .catch((error: unknown) => {
    console.error(error);
    // Timers and servers that a failed row left would keep the process alive.
    process.exit(1);
  });
