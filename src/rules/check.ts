/**
 * Finds all faults of a rule file: those of single lines and contradictions
 * between lines.
 *
 * `apply` refuses a file with a fault, so a file in force is free of
 * contradictions. A process that receives a version only parses it, because
 * it must not refuse a version that the platform has accepted.
 */
import {RuleFault, RuleLine, splitFile} from './lines';
import {parseRules} from './parse';

/** An endpoint that is known to be live. */
export interface LiveEndpoint {
  readonly instance: string;
  readonly zone: string;
  readonly targetKind: string;
  readonly target: string;
}

/**
 * Returns the faults, sorted by line. Whether each model and service keeps an
 * endpoint is only checked for those that have a live endpoint.
 */
export function checkRules(
  text: string,
  live: readonly LiveEndpoint[] = [],
): readonly RuleFault[] {
  const parsed = parseRules(text);
  const {lines} = splitFile(text);
  const faults = [
    ...(parsed.err ? parsed.val : []),
    ...findDuplicates(lines),
    ...findReusedKeys(lines),
    ...findZonesInTwoRegions(lines),
    ...findUnknownNames(lines),
    ...findExcessShares(lines),
    ...findTargetsWithoutEndpoint(lines, live),
  ];
  return faults.sort((a, b) => a.line - b.line);
}

/** Names the setting that a line sets; no two lines may set the same one. */
function describeSetting(line: RuleLine): string {
  if (line.subject === 'zone') {
    const part = line.values.has('cutoff') ? 'cutoff' : 'in or out';
    return `zone ${line.name} ${part}`;
  }
  return `${line.subject} ${line.name}`;
}

/** The criteria by which a kind of work matches requests. */
function criteriaOf(line: RuleLine): string {
  const criteria = line.values.delete('priority').entrySeq().sort();
  return criteria.map(([key, value]) => `${key}=${value}`).join(' ');
}

function findDuplicates(lines: readonly RuleLine[]): readonly RuleFault[] {
  const work = lines.filter(line => line.subject === 'work');
  return [
    ...findClashes(lines, describeSetting, 'is also set'),
    ...findClashes(work, criteriaOf, 'has the priority of the kind of work'),
  ];
}

/** Reports each line that has the same key as an earlier line. */
function findClashes(
  lines: readonly RuleLine[],
  keyOf: (line: RuleLine) => string,
  problem: string,
): readonly RuleFault[] {
  const first = new Map<string, number>();
  const faults: RuleFault[] = [];
  for (const line of lines) {
    const key = keyOf(line);
    const earlier = first.get(key);
    if (earlier === undefined) first.set(key, line.line);
    else {
      const message = `${key} ${problem} on line ${earlier}; keep one of the two`;
      faults.push({line: line.line, message});
    }
  }
  return faults;
}

function findReusedKeys(lines: readonly RuleLine[]): readonly RuleFault[] {
  const keys = splitListValues(lines, 'account', 'key');
  const abbreviate = (key: string) => key.slice(0, 'sha256:'.length + 8);
  return findClashes(
    keys,
    key => `key ${abbreviate(key.name)}`,
    'is already used',
  );
}

function findZonesInTwoRegions(
  lines: readonly RuleLine[],
): readonly RuleFault[] {
  const zones = splitListValues(lines, 'region', 'zones');
  return findClashes(zones, zone => `zone ${zone.name}`, 'has a region');
}

/** Returns a line for each item of a comma list, named by the item. */
function splitListValues(
  lines: readonly RuleLine[],
  subject: string,
  key: string,
): readonly RuleLine[] {
  return lines
    .filter(line => line.subject === subject)
    .flatMap(line =>
      (line.values.get(key) ?? '')
        .split(',')
        .filter(item => item !== '')
        .map(item => ({...line, name: item})),
    );
}

function namesOf(lines: readonly RuleLine[], subject: string): Set<string> {
  return new Set(lines.filter(l => l.subject === subject).map(l => l.name));
}

function findUnknownNames(lines: readonly RuleLine[]): readonly RuleFault[] {
  const subjects = ['account', 'model', 'service'];
  const known = new Map(subjects.map(s => [s, namesOf(lines, s)]));
  return lines.flatMap(line =>
    referencesOf(line)
      .filter(([subject, name]) => !known.get(subject)!.has(name))
      .map(([subject, name]) => ({
        line: line.line,
        message: `no ${subject} "${name}"; add it or correct the name`,
      })),
  );
}

/** The accounts, models and services to which a line refers. */
function referencesOf(line: RuleLine): readonly (readonly [string, string])[] {
  const referenceIn = (key: string) => {
    const name = line.values.get(key);
    return name ? [[key, name] as const] : [];
  };
  if (line.subject === 'group') return referenceIn('model');
  if (line.subject === 'caller') {
    return [['account', line.name.split('/')[0]!]];
  }
  if (line.subject !== 'work') return [];
  return [
    ...referenceIn('account'),
    ...referenceIn('model'),
    ...referenceIn('service'),
  ];
}

/** Reports shares that leave too little for the other accounts. */
function findExcessShares(lines: readonly RuleLine[]): readonly RuleFault[] {
  const accounts = lines.filter(line => line.subject === 'account');
  const withShare = accounts.filter(line => line.values.has('share'));
  const total = withShare
    .map(line => parseFloat(line.values.get('share')!))
    .reduce((a, b) => a + b, 0);
  const hasWeighted = accounts.length > withShare.length;
  if (withShare.length === 0 || total < 100) return [];
  if (total === 100 && !hasWeighted) return [];
  const {line} = withShare.at(-1)!;
  const message =
    total > 100
      ? `shares add up to ${total}%, above the whole; lower one of them`
      : 'shares add up to 100% and leave nothing for accounts with a weight';
  return [{line, message}];
}

/** Reports models and services that lose their last live endpoint. */
function findTargetsWithoutEndpoint(
  lines: readonly RuleLine[],
  live: readonly LiveEndpoint[],
): readonly RuleFault[] {
  const zones = lines.filter(
    line => line.subject === 'zone' && line.flags.includes('out'),
  );
  const out = new Set(zones.map(line => line.name));
  const endpoints = lines.filter(line => line.subject === 'endpoint');
  const leaving = new Set(endpoints.map(line => line.name));
  const lastRemoval = [...zones, ...endpoints].at(-1);
  const keepsWork = (e: LiveEndpoint) =>
    !out.has(e.zone) && !leaving.has(e.instance);
  const targets = lines.filter(
    line => line.subject === 'model' || line.subject === 'service',
  );
  return targets.flatMap(({subject, name}) => {
    const serving = live.filter(
      e => e.targetKind === subject && e.target === name,
    );
    if (!lastRemoval || serving.length === 0 || serving.some(keepsWork))
      return [];
    const message = `leaves ${subject} ${name} without an endpoint; keep a zone in`;
    return [{line: lastRemoval.line, message}];
  });
}
