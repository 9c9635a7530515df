/**
 * Parses a rule file: one rule a line, each with a comment that names who
 * asked for it.
 *
 * All faults of single lines are returned together, each with its line number
 * and the remedy, so that an operator can correct them all before the next
 * attempt. `check.ts` adds the contradictions between lines.
 */
import {Err, Ok, Result} from 'ts-results';
import {z} from 'zod';
import {RuleFault, RuleLine, splitFile} from './lines';
import {Account, emptyRules, RuleSet} from './model';
import * as values from './values';

export type {RuleFault, RuleLine} from './lines';

/** Adds a line to the rules; throws if the line has a fault. */
type ApplyRule = (rules: RuleSet, line: RuleLine) => RuleSet;

/** A kind of rule, selected by the first word of a line. */
interface Subject {
  /** The names that the subject accepts. */
  readonly name: RegExp;
  readonly flags: readonly string[];
  readonly apply: ApplyRule;
}

export function parseRules(
  text: string,
): Result<RuleSet, readonly RuleFault[]> {
  const {lines, faults} = splitFile(text);
  const allFaults = [...faults];
  let rules = emptyRules;
  for (const line of lines) rules = applyLine(rules, line, allFaults);
  if (allFaults.length > 0)
    return Err(allFaults.sort((a, b) => a.line - b.line));
  return Ok(resolveShares(rules));
}

function applyLine(
  rules: RuleSet,
  line: RuleLine,
  faults: RuleFault[],
): RuleSet {
  const subject = SUBJECTS[line.subject];
  const addFault = (message: string) => faults.push({line: line.line, message});
  if (!subject) {
    const known = Object.keys(SUBJECTS).join(', ');
    addFault(`unknown rule "${line.subject}"; use one of ${known}`);
    return rules;
  }
  for (const message of findWordFaults(subject, line)) addFault(message);
  try {
    return subject.apply(rules, line);
  } catch (error) {
    addFault(describeError(error));
    return rules;
  }
}

function findWordFaults(subject: Subject, line: RuleLine): readonly string[] {
  const faults: string[] = [];
  if (!subject.name.test(line.name)) {
    faults.push(
      `"${line.name}" is not a valid name for ${line.subject}; correct it`,
    );
  }
  for (const flag of line.flags.filter(f => !subject.flags.includes(f))) {
    faults.push(`unknown word "${flag}"; remove it or write key=value`);
  }
  return faults;
}

function describeError(error: unknown): string {
  if (!(error instanceof z.ZodError)) return (error as Error).message;
  const issues = error.issues.map(issue => {
    const key = issue.path.join('.');
    return key === '' ? issue.message : `${key}: ${issue.message}`;
  });
  return `${issues.join('; ')}; correct the value`;
}

function parseValues<S extends z.ZodType>(
  schema: S,
  line: RuleLine,
): z.infer<S> {
  return schema.parse(line.values.toObject());
}

/**
 * Converts shares to weights. Accounts with a share get that fraction of all
 * capacity; the others divide the rest in proportion to their weights.
 */
function resolveShares(rules: RuleSet): RuleSet {
  const all = rules.accounts.valueSeq().toArray();
  const shares = sum(all.map(a => a.share ?? 0));
  if (shares === 0) return rules;
  const totalWeight = sum(all.filter(a => a.share === undefined).map(weightOf));
  const rest = 1 - shares;
  const scale = totalWeight > 0 && rest > 0 ? totalWeight / rest : 1;
  const accounts = rules.accounts.map(account =>
    account.share === undefined
      ? account
      : {...account, weight: account.share * scale},
  );
  return {...rules, accounts};
}

function weightOf(account: Account): number {
  return account.weight;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((a, b) => a + b, 0);
}

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]*$/;
const CALLER_NAME_PATTERN = /^[a-z0-9][a-z0-9._-]*\/[^/\s]+$/;

const SUBJECTS: Readonly<Record<string, Subject>> = {
  account: {
    name: NAME_PATTERN,
    flags: [],
    apply(rules, line) {
      const {weight, share, limit, key} = parseValues(
        values.accountValues,
        line,
      );
      const account = {
        name: line.name,
        weight: weight ?? 1,
        keyHashes: key,
        ...(share === undefined ? {} : {share}),
        ...(limit === undefined ? {} : {limitTokensPerS: limit}),
      };
      return {...rules, accounts: rules.accounts.set(line.name, account)};
    },
  },

  caller: {
    name: CALLER_NAME_PATTERN,
    flags: [],
    apply(rules, line) {
      const {weight} = parseValues(values.callerValues, line);
      const callerWeights = rules.callerWeights.set(line.name, weight);
      return {...rules, callerWeights};
    },
  },

  work: {
    name: NAME_PATTERN,
    flags: [],
    apply(rules, line) {
      const {path, ...rest} = parseValues(values.workValues, line);
      const kind = {
        name: line.name,
        ...rest,
        ...(path === undefined ? {} : {pathPrefix: path}),
      };
      return {...rules, work: rules.work.push(kind)};
    },
  },

  model: {
    name: NAME_PATTERN,
    flags: [],
    apply(rules, line) {
      const parsed = parseValues(values.modelValues, line);
      const model = {
        name: line.name,
        priority: parsed.priority,
        maxOutputTokens: parsed['max-output'],
      };
      return {...rules, models: rules.models.set(line.name, model)};
    },
  },

  group: {
    name: NAME_PATTERN,
    flags: [],
    apply(rules, line) {
      const {model, ranks, fence} = parseValues(values.groupValues, line);
      const checksFence = fence === 'checks';
      const group = {name: line.name, model, ranks, checksFence};
      return {...rules, groups: rules.groups.set(line.name, group)};
    },
  },

  service: {
    name: NAME_PATTERN,
    flags: [],
    apply(rules, line) {
      const parsed = parseValues(values.serviceValues, line);
      const service = {
        name: line.name,
        priority: parsed.priority,
        nonIdempotent: parsed['non-idempotent'],
        checksFence: parsed.fence === 'checks',
      };
      return {...rules, services: rules.services.set(line.name, service)};
    },
  },

  zone: {name: NAME_PATTERN, flags: ['in', 'out'], apply: applyZone},

  region: {
    name: NAME_PATTERN,
    flags: [],
    apply(rules, line) {
      const {zones} = parseValues(values.regionValues, line);
      const regions = zones.reduce(
        (placed, zone) => placed.set(zone, line.name),
        rules.regions,
      );
      return {...rules, regions};
    },
  },

  endpoint: {
    name: NAME_PATTERN,
    flags: ['leaving'],
    apply(rules, line) {
      parseValues(values.noValues, line);
      if (!line.flags.includes('leaving'))
        throw new Error('write "leaving" after the name');
      return {...rules, leaving: rules.leaving.add(line.name)};
    },
  },

  budget: {
    name: /^(retry|queue)$/,
    flags: [],
    apply(rules, line) {
      const parseBudget =
        line.name === 'retry' ? parseRetryBudget : parseQueueBudget;
      return {...rules, budgets: {...rules.budgets, ...parseBudget(line)}};
    },
  },

  rebalance: {
    name: /^experts$/,
    flags: [],
    apply(rules, line) {
      const parsed = parseValues(values.rebalanceValues, line);
      const rebalancing = {
        minSkew: parsed['min-skew'] ?? rules.rebalancing.minSkew,
        horizonS: toSeconds(parsed.horizon) ?? rules.rebalancing.horizonS,
      };
      return {...rules, rebalancing};
    },
  },
};

function applyZone(rules: RuleSet, line: RuleLine): RuleSet {
  if (line.values.has('cutoff') || line.values.has('after')) {
    if (line.flags.length > 0) {
      throw new Error('in, out and cutoff exclude each other; use two lines');
    }
    const {after} = parseValues(values.cutoffValues, line);
    const cutoff = {zone: line.name, stopAfterMs: after};
    return {...rules, cutoffs: rules.cutoffs.set(line.name, cutoff)};
  }
  parseValues(values.noValues, line);
  const [state, ...more] = line.flags;
  if (more.length > 0) throw new Error('in and out exclude each other');
  if (state === 'in') return rules;
  if (state === 'out') {
    return {...rules, zonesOut: rules.zonesOut.add(line.name)};
  }
  throw new Error(
    'write "out", "in" or "cutoff=stop after=30s" after the name',
  );
}

function parseRetryBudget(line: RuleLine) {
  const {ratio, floor} = parseValues(values.retryValues, line);
  return {
    ...(ratio === undefined ? {} : {retryRatio: ratio}),
    ...(floor === undefined ? {} : {retryFloorPerS: floor}),
  };
}

function parseQueueBudget(line: RuleLine) {
  const {wait, bytes} = parseValues(values.queueValues, line);
  return {
    ...(wait === undefined ? {} : {queueMs: wait}),
    ...(bytes === undefined ? {} : {queueBytesPerAccount: bytes}),
  };
}

function toSeconds(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : ms / 1_000;
}
