/**
 * Describes in words what changes between two rule sets.
 *
 * Operators read the description before and after `apply`. After a conflict it
 * shows what the other operator changed. Rule sets are compared, not texts, so
 * a moved line or a changed comment is not a change.
 */
import {Map, Set as NameSet} from 'immutable';
import {RuleSet, WorkKind} from './model';

/** The values of one rule in words, by the name of the value. */
type RuleDescription = Readonly<Record<string, string>>;

export function describeChanges(
  before: RuleSet,
  after: RuleSet,
): readonly string[] {
  const sections = Object.keys(SECTION_DESCRIBERS).flatMap(subject => {
    const describe = SECTION_DESCRIBERS[subject]!;
    return describeMapChanges(subject, describe(before), describe(after));
  });
  return [
    ...describeSetChanges(before.zonesOut, after.zonesOut, ZONE_PHRASES),
    ...describeSetChanges(before.leaving, after.leaving, ENDPOINT_PHRASES),
    ...sections,
    ...describeOrderChange(before, after),
  ];
}

interface SetPhrases {
  readonly added: (name: string) => string;
  readonly removed: (name: string) => string;
}

const ZONE_PHRASES: SetPhrases = {
  added: name => `zone ${name} is taken out: it receives no new work`,
  removed: name => `zone ${name} comes back in and receives new work`,
};

const ENDPOINT_PHRASES: SetPhrases = {
  added: name => `endpoint ${name} leaves: it receives no new work`,
  removed: name => `endpoint ${name} stays and receives new work`,
};

function describeSetChanges(
  before: NameSet<string>,
  after: NameSet<string>,
  phrases: SetPhrases,
): readonly string[] {
  return [
    ...after.subtract(before).toArray().sort().map(phrases.added),
    ...before.subtract(after).toArray().sort().map(phrases.removed),
  ];
}

function describeMapChanges(
  subject: string,
  before: Map<string, RuleDescription>,
  after: Map<string, RuleDescription>,
): readonly string[] {
  const names = [...new Set([...before.keys(), ...after.keys()])];
  return names.sort().flatMap(name => {
    const [old, now] = [before.get(name), after.get(name)];
    const title = `${subject} ${name}`.trim();
    if (!old) return [`${title} is added (${formatDescription(now!)})`];
    if (!now) return [`${title} is removed`];
    return describeValueChanges(title, old, now);
  });
}

function describeValueChanges(
  title: string,
  before: RuleDescription,
  after: RuleDescription,
): readonly string[] {
  return Object.keys(after)
    .filter(key => before[key] !== after[key])
    .map(key => `${title}: ${key} from ${before[key]} to ${after[key]}`);
}

function formatDescription(described: RuleDescription): string {
  const parts = Object.entries(described).map(([key, v]) => `${key} ${v}`);
  return parts.join(', ');
}

function describeOrderChange(
  before: RuleSet,
  after: RuleSet,
): readonly string[] {
  const names = (rules: RuleSet) => rules.work.map(kind => kind.name);
  const commonNames = (a: RuleSet, b: RuleSet) =>
    names(a).filter(name => names(b).includes(name));
  const now = commonNames(after, before);
  if (now.equals(commonNames(before, after))) return [];
  return [`kinds of work are matched in the order ${now.join(', ')}`];
}

const SECTION_DESCRIBERS: Readonly<
  Record<string, (rules: RuleSet) => Map<string, RuleDescription>>
> = {
  zone: rules =>
    rules.cutoffs.map(c => ({
      'stop when cut off for': `${c.stopAfterMs / 1_000} s`,
    })),
  region: rules =>
    rules.regions
      .groupBy(region => region)
      .toMap()
      .map(zones => ({zones: zones.keySeq().sort().join(', ')})),
  account: rules =>
    rules.accounts.map(a => ({
      ...(a.share === undefined
        ? {weight: String(a.weight), share: 'by weight'}
        : {weight: 'by share', share: `${roundToHundredths(a.share * 100)}%`}),
      limit: a.limitTokensPerS ? `${a.limitTokensPerS} tokens/s` : 'none',
      keys: a.keyHashes.map(hash => hash.slice(0, 8)).join(' ') || 'none',
    })),
  caller: rules => rules.callerWeights.map(w => ({weight: String(w)})),
  work: rules =>
    Map(rules.work.map(kind => [kind.name, describeWork(kind)] as const)),
  model: rules =>
    rules.models.map(m => ({
      priority: String(m.priority),
      'longest output': `${m.maxOutputTokens} tokens`,
    })),
  group: rules =>
    rules.groups.map(g => ({
      model: g.model,
      ranks: String(g.ranks),
      'fencing numbers': describeFencing(g.checksFence),
    })),
  service: rules =>
    rules.services.map(s => ({
      priority: String(s.priority),
      'non-idempotent calls':
        s.nonIdempotent
          .map(p => `${p.method} ${p.pathPrefix}`)
          .sort()
          .join(', ') || 'none',
      'fencing numbers': describeFencing(s.checksFence),
    })),
  budgets: ({budgets}) =>
    Map({
      '': {
        'retries per first attempt': `${roundToHundredths(budgets.retryRatio * 100)}%`,
        'retries always allowed': `${budgets.retryFloorPerS}/s`,
        'longest wait': `${budgets.queueMs} ms`,
        'queued bytes per account': String(budgets.queueBytesPerAccount),
      },
    }),
  rebalancing: ({rebalancing}) =>
    Map({
      '': {
        'least skew': String(rebalancing.minSkew),
        horizon: `${rebalancing.horizonS} s`,
      },
    }),
};

function describeWork(kind: WorkKind): RuleDescription {
  return {
    priority: String(kind.priority),
    account: kind.account ?? 'any',
    caller: kind.caller ?? 'any',
    target: kind.model ?? kind.service ?? 'any',
    method: kind.method ?? 'any',
    path: kind.pathPrefix ?? 'any',
  };
}

function describeFencing(checks: boolean): string {
  return checks ? 'checked' : 'ignored';
}

function roundToHundredths(percent: number): number {
  return Math.round(percent * 100) / 100;
}
