/** The figures of the zone rows. */
import {Measurement} from '../row';
import {measureAmplification} from './attempts';
import {Sample} from './callers';
import {quantile} from './figures';
import {Outcome} from './zones';

const WINDOW_MS = 5_000;
const FIRST_TOKEN_MS = 1_700;

export interface Figure {
  readonly name: string;
  readonly unit: string;
  readonly of: (outcome: Outcome) => number;
  /** The largest permitted value; absent for a figure only reported. */
  readonly most?: number;
  readonly portable?: boolean;
  readonly note?: string;
}

export function measurementsOf(
  figures: readonly Figure[],
  baseline: Outcome,
  current: Outcome,
): readonly Measurement[] {
  const requests = `${current.samples.length} requests${reasons(current)}`;
  return figures.map(({name, unit, of, most, portable, note}) => ({
    name,
    unit,
    baseline: of(baseline),
    current: of(current),
    ...(most === undefined
      ? {}
      : {bound: {relation: 'at most' as const, value: most}}),
    portable: portable ?? false,
    note: note ?? requests,
  }));
}

/** The failures by kind and message. */
function reasons({samples}: Outcome): string {
  const counts = new Map<string, number>();
  for (const {result, message} of samples) {
    if (result === 'whole') continue;
    const reason = `${result} ${message}`.trim();
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  return [...counts].map(([reason, n]) => `; ${n} ${reason}`).join('');
}

export const isFailed = ({result}: Sample) => result !== 'whole';

export function countOf(
  {samples}: Outcome,
  holds: (sample: Sample) => boolean,
): number {
  return samples.filter(holds).length;
}

/** The largest p95 of the time to the first token over all windows. */
function worstWindow({samples}: Outcome): number {
  const first = Math.min(...samples.map(s => s.atMs));
  const windows = new Map<number, number[]>();
  for (const {atMs, firstTokenMs} of samples) {
    const window = Math.floor((atMs - first) / WINDOW_MS);
    windows.set(window, [...(windows.get(window) ?? []), firstTokenMs]);
  }
  return Math.max(...[...windows.values()].map(times => quantile(times, 0.95)));
}

const PHASES = ['before', 'during', 'after'] as const;
type Phase = (typeof PHASES)[number];

function phaseOf({leftAtMs, backAtMs}: Outcome, {atMs}: Sample): Phase {
  if (atMs < leftAtMs) return 'before';
  return atMs < backAtMs ? 'during' : 'after';
}

function firstToken(part: number, phase: Phase): Figure {
  return {
    name: `p${100 * part} first token, ${phase}`,
    unit: 'ms',
    of: o => {
      const inPhase = o.samples.filter(s => phaseOf(o, s) === phase);
      return quantile(
        inPhase.map(s => s.firstTokenMs),
        part,
      );
    },
  };
}

export const firstTokens: readonly Figure[] = [
  {
    name: 'p95 first token, worst 5 s',
    unit: 'ms',
    of: worstWindow,
    most: FIRST_TOKEN_MS,
  },
  ...PHASES.flatMap(phase => [
    firstToken(0.95, phase),
    firstToken(0.99, phase),
  ]),
];

export const coldStart: readonly Figure[] = [
  {
    name: 'requests above a cold capacity on return',
    unit: 'requests',
    of: o => o.aboveCapacity,
    most: 0,
    portable: true,
  },
  {
    name: 'cold steps above their capacity',
    unit: 'steps',
    of: o => o.overloadedSteps,
    most: 0,
    portable: true,
  },
  {name: 'even spread again', unit: 'ms', of: o => o.evenAgainMs},
  {
    name: 'load of the other zones during',
    unit: 'ratio',
    of: o => o.loadDuring,
    note: 'mean batch over the warm bound',
  },
];

export const hitRatios: readonly Figure[] = PHASES.map((phase, i) => ({
  name: `prefix-cache hit ratio, ${phase}`,
  unit: 'ratio',
  of: ({hits}: Outcome) => hits[i]!.cached / Math.max(1, hits[i]!.prompt),
}));

function retries(o: Outcome) {
  return measureAmplification(o.timelines, o.lossFrom, o.lossTo);
}

export function retryFigures(current: Outcome): readonly Figure[] {
  // Rounded down, which is the stricter side.
  const allowedRatio = Math.floor(100 * retries(current).allowedRatio) / 100;
  return [
    {
      name: 'starts over first starts, worst 1 s of the loss',
      unit: 'ratio',
      of: o => retries(o).worstRatio,
      most: allowedRatio,
      note: 'bound: 10% of 10 s and the floor, all used in this second',
    },
    {
      name: "retries over an entry's budget of 10 s, worst",
      unit: 'ratio',
      of: o => retries(o).worstBudgetUse,
      most: 1,
      portable: true,
    },
    {
      name: 'retries started during the loss',
      unit: 'attempts',
      of: o => retries(o).retries,
    },
  ];
}
