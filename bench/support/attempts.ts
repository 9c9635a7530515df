/**
 * Retry amplification, computed from the time lines of the entries: all
 * attempts that were started, divided by the first attempts.
 */
import {RETRY_WINDOW_MS} from '../../src/entry/router';
import {wallTimeOf} from '../../src/observe/merge';
import {TimelineEvent} from '../../src/observe/timeline';
import {emptyRules} from '../../src/rules/model';

const MS_PER_S = 1_000;
const RETRY_WINDOW_S = RETRY_WINDOW_MS / MS_PER_S;

export interface Amplification {
  /** All starts divided by first starts, in the worst second. */
  readonly worstRatio: number;
  /** The most that the budgets allow in that second. */
  readonly allowedRatio: number;
  readonly retries: number;
  /** Largest ratio of an entry's retries in ten seconds to its budget. */
  readonly worstBudgetUse: number;
}

interface SecondCounts {
  received: number;
  firsts: number;
  retries: number;
}

function countPerSecond(
  ring: readonly TimelineEvent[],
): Map<number, SecondCounts> {
  const seconds = new Map<number, SecondCounts>();
  const startedBefore = new Set<string>();
  for (const event of ring) {
    const at = Math.floor(wallTimeOf(event).getTime() / MS_PER_S);
    const second = seconds.get(at) ?? {received: 0, firsts: 0, retries: 0};
    seconds.set(at, second);
    if (event.name === 'received') second.received += 1;
    if (event.name !== 'start') continue;
    if (startedBefore.has(event.requestId)) second.retries += 1;
    else second.firsts += 1;
    startedBefore.add(event.requestId);
  }
  return seconds;
}

function sumOver(
  seconds: ReadonlyMap<number, SecondCounts>,
  from: number,
  to: number,
  of: (second: SecondCounts) => number,
): number {
  let total = 0;
  for (let at = from; at <= to; at++) {
    const second = seconds.get(at);
    if (second) total += of(second);
  }
  return total;
}

/** The budget of one entry for the ten seconds up to `at`. */
function budgetOf(
  seconds: ReadonlyMap<number, SecondCounts>,
  at: number,
): number {
  const {retryRatio, retryFloorPerS} = emptyRules.budgets;
  const from = at - RETRY_WINDOW_S + 1;
  const received = sumOver(seconds, from, at, s => s.received);
  return retryRatio * received + retryFloorPerS * RETRY_WINDOW_S;
}

/** Measures the wall-clock seconds from one time to another. */
export function measureAmplification(
  rings: readonly (readonly TimelineEvent[])[],
  from: Date,
  to: Date,
): Amplification {
  const entries = rings.map(countPerSecond);
  const first = Math.floor(from.getTime() / MS_PER_S);
  const last = Math.floor(to.getTime() / MS_PER_S);
  let worst = {worstRatio: 1, allowedRatio: 1};
  let retries = 0;
  let budgetUse = 0;
  for (let at = first; at <= last; at++) {
    const all = (of: (second: SecondCounts) => number) =>
      entries.reduce((n, seconds) => n + sumOver(seconds, at, at, of), 0);
    const firsts = Math.max(
      1,
      all(s => s.firsts),
    );
    const again = all(s => s.retries);
    const allowed = entries.reduce((n, e) => n + budgetOf(e, at), 0);
    const worstRatio = 1 + again / firsts;
    if (worstRatio >= worst.worstRatio) {
      worst = {worstRatio, allowedRatio: 1 + allowed / firsts};
    }
    retries += again;
    for (const seconds of entries) {
      const from = at - RETRY_WINDOW_S + 1;
      const used = sumOver(seconds, from, at, s => s.retries);
      budgetUse = Math.max(budgetUse, used / budgetOf(seconds, at));
    }
  }
  return {...worst, retries, worstBudgetUse: budgetUse};
}
