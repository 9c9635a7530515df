/**
 * What a benchmark row is and how it is judged.
 *
 * A bound comes from the stated target and never from a measured figure. The
 * baseline is measured in the same run. Measures that are counts, or ratios
 * within one run, are `portable` and are checked in CI; absolute times depend
 * on the host and are not.
 */
export interface Bound {
  readonly relation: 'at most' | 'at least';
  readonly value: number;
}

export interface Measurement {
  /** For example "mean step-time skew, Zipf 1.0". */
  readonly name: string;
  readonly unit: string;
  /** The figure of the policy compared with, if there is one. */
  readonly baseline?: number;
  readonly current: number;
  /** Without a bound the figure is reported and not judged. */
  readonly bound?: Bound;
  readonly portable: boolean;
  /** Shown in the last column, for example what the baseline is. */
  readonly note?: string;
}

export interface Row {
  readonly name: string;
  readonly seed: number;
  run(seed: number): Promise<readonly Measurement[]>;
}

export type Verdict = 'met' | 'missed' | 'reported';

export function verdict({bound, current}: Measurement): Verdict {
  if (!bound) return 'reported';
  const met =
    bound.relation === 'at most'
      ? current <= bound.value
      : current >= bound.value;
  return met ? 'met' : 'missed';
}
