/**
 * `rules check|apply|show|diff`: the only way for operators to change
 * behaviour.
 *
 * `apply` itself sends an accepted file to a few processes of each zone, so
 * that the file takes effect even if the platform goes down right after it
 * has accepted it. It then waits until every instance confirms the version.
 */
import {randomUUID} from 'node:crypto';
import fs from 'node:fs';
import {systemClock} from '../kernel/clock';
import {CommandError, EXIT_CODES} from '../kernel/errors';
import {Timeline} from '../observe/timeline';
import {InstanceRecord, Platform} from '../platform/client';
import {checkRules, LiveEndpoint} from '../rules/check';
import {describeChanges} from '../rules/diff';
import {RulesText, VersionRef} from '../rules/distribution';
import {emptyRules, RuleSet} from '../rules/model';
import {parseRules} from '../rules/parse';
import {
  HEAD_KEY,
  parseHeadRow,
  publish,
  PublishOutcome,
} from '../rules/publish';
import {findWarnings} from '../rules/warnings';
import {Connection} from '../wire/client';
import {PeerPayload} from '../wire/messages';
import {fetchStatuses, lastHeardMs, ProcessStatus} from './inspect';
import {
  listInstances,
  operatorPlatformClient,
  loadOperatorSettings,
} from './operator';
import type {OperatorSettings} from './operator';

export interface RulesOptions {
  readonly settings: string;
}

export interface RulesCheckOptions {
  readonly file: string;
  /** With settings, the rules are also checked against the live endpoints. */
  readonly settings?: string;
}

export interface RulesApplyOptions extends RulesOptions {
  readonly file: string;
  /** The version that was edited; by default the one in the file's header. */
  readonly base?: number;
  readonly waitMs?: number;
}

export interface RulesDiffOptions extends RulesOptions {
  readonly file: string;
}

const DEFAULT_WAIT_MS = 10_000;
const POLL_INTERVAL_MS = 250;
/** Processes of each zone to which the command sends the file itself. */
const PUSH_TARGETS_PER_ZONE = 3;
const VERSION_HEADER = /^# boragemill rules version (\d+)\n/;

/** Returns the exit code: `failed` if the file has errors. */
export async function rulesCheck(options: RulesCheckOptions): Promise<number> {
  const {text} = readRuleFile(options.file);
  const live = options.settings
    ? liveEndpoints(await listInstances(loadOperatorSettings(options.settings)))
    : [];
  if (!reportProblems(options.file, text, live)) return EXIT_CODES.failed;
  printLine(`${options.file}: no faults`);
  return EXIT_CODES.done;
}

/** Prints the head version under a header from which `apply` takes the base. */
export async function rulesShow(options: RulesOptions): Promise<number> {
  const platform = operatorPlatformClient(
    loadOperatorSettings(options.settings),
  );
  const {version, text} = await readHead(platform);
  printLine(
    `# boragemill rules version ${version}\n${text.replace(/\n$/, '')}`,
  );
  return EXIT_CODES.done;
}

/** Prints what applying a file would change. */
export async function rulesDiff(options: RulesDiffOptions): Promise<number> {
  const platform = operatorPlatformClient(
    loadOperatorSettings(options.settings),
  );
  const {text} = readRuleFile(options.file);
  if (!reportProblems(options.file, text, [])) return EXIT_CODES.failed;
  const head = await readHead(platform);
  printLine(`against version ${head.version}:`);
  printChanges(parseRulesOrEmpty(head.text), parseRulesOrEmpty(text));
  return EXIT_CODES.done;
}

export async function rulesApply(options: RulesApplyOptions): Promise<number> {
  const settings = loadOperatorSettings(options.settings);
  const platform = operatorPlatformClient(settings);
  const {text, base} = readRuleFile(options.file);
  const instances = await listInstances(settings);
  if (!reportProblems(options.file, text, liveEndpoints(instances)))
    return EXIT_CODES.failed;
  const before = await readHead(platform);
  const request = {
    text,
    operation: randomUUID(),
    base: options.base ?? base ?? before.version,
  };
  const outcome = await publish(platform, request);
  if (outcome.kind !== 'accepted')
    return reportNotApplied(platform, outcome, text);
  const {version, hash} = outcome.accepted;
  printLine(`version ${version} is accepted:`);
  printChanges(parseRulesOrEmpty(before.text), parseRulesOrEmpty(text));
  const waitMs = options.waitMs ?? DEFAULT_WAIT_MS;
  return waitForConfirmations(
    settings,
    instances,
    {version, hash, text},
    waitMs,
  );
}

async function reportNotApplied(
  platform: Platform,
  outcome: Exclude<PublishOutcome, {readonly kind: 'accepted'}>,
  text: string,
): Promise<number> {
  switch (outcome.kind) {
    case 'conflict': {
      const {version} = outcome.head;
      warn(
        `not applied: version ${version} is the head, which this file is ` +
          'not based on; edit the output of "rules show" and apply it again',
      );
      const head = await readHead(platform);
      printLine(`version ${head.version} against this file:`);
      printChanges(parseRulesOrEmpty(text), parseRulesOrEmpty(head.text));
      return EXIT_CODES.conflict;
    }
    case 'unavailable':
      warn('not applied: the platform is unreachable; try again later');
      return EXIT_CODES.platformUnreachable;
    case 'unknown':
      warn(
        'the platform does not answer and may have accepted the file; run ' +
          '"rules show" when it is back',
      );
      return EXIT_CODES.platformUnreachable;
  }
}

interface RuleFile {
  readonly text: string;
  readonly base?: number;
}

function readRuleFile(file: string): RuleFile {
  if (!fs.existsSync(file)) {
    const message = `${file}: not found; give the path of a rule file`;
    throw new CommandError(message, EXIT_CODES.usage);
  }
  const text = fs.readFileSync(file, 'utf8');
  const header = VERSION_HEADER.exec(text);
  if (!header) return {text};
  return {text: text.slice(header[0].length), base: Number(header[1])};
}

/** Prints errors or else warnings. Returns whether the file has no errors. */
function reportProblems(
  file: string,
  text: string,
  live: readonly LiveEndpoint[],
): boolean {
  const faults = checkRules(text, live);
  for (const {line, message} of faults) warn(`${file}:${line}: ${message}`);
  if (faults.length > 0) return false;
  for (const {line, message} of findWarnings(text)) {
    warn(`${file}:${line}: warning: ${message}`);
  }
  return true;
}

function liveEndpoints(
  instances: readonly InstanceRecord[],
): readonly LiveEndpoint[] {
  return instances.filter(i => i.role === 'sidecar' && i.state === 'live');
}

async function readHead(platform: Platform): Promise<RulesText> {
  try {
    const {version, hash} = parseHeadRow(await platform.read(HEAD_KEY));
    if (version === 0) return {version, hash, text: ''};
    const text = await platform.getObject(hash);
    if (text !== undefined) return {version, hash, text};
    throw new Error(`the object store has no text for version ${version}`);
  } catch (error) {
    const message = `the platform cannot be read: ${String(error)}; try again`;
    throw new CommandError(message, EXIT_CODES.platformUnreachable);
  }
}

/** Empty rules for a version that this release cannot parse. */
function parseRulesOrEmpty(text: string): RuleSet {
  const parsed = parseRules(text);
  return parsed.ok ? parsed.val : emptyRules;
}

function printChanges(before: RuleSet, after: RuleSet): void {
  const changes = describeChanges(before, after);
  if (changes.length === 0) printLine('  no change');
  for (const change of changes) printLine(`  ${change}`);
}

async function waitForConfirmations(
  settings: OperatorSettings,
  instances: readonly InstanceRecord[],
  rules: RulesText,
  waitMs: number,
): Promise<number> {
  const connections = pushRules(settings, instances, rules);
  const deadlineMs = Date.now() + waitMs;
  let answers = await fetchStatuses(settings, instances);
  while (!answers.every(a => hasVersion(a, rules)) && Date.now() < deadlineMs) {
    await new Promise(done => setTimeout(done, POLL_INTERVAL_MS));
    answers = await pollUnconfirmed(settings, instances, answers, rules);
  }
  connections.forEach(connection => connection.close());
  confirmationLines(answers, rules).forEach(printLine);
  const all = answers.every(a => hasVersion(a, rules));
  return all ? EXIT_CODES.done : EXIT_CODES.unconfirmed;
}

/**
 * Fetches the status of the unconfirmed instances again. The others stay
 * confirmed, because versions only increase.
 */
async function pollUnconfirmed(
  settings: OperatorSettings,
  instances: readonly InstanceRecord[],
  answers: readonly ProcessStatus[],
  wanted: VersionRef,
): Promise<readonly ProcessStatus[]> {
  const missing = instances.filter((_, i) => !hasVersion(answers[i]!, wanted));
  const again = [...(await fetchStatuses(settings, missing))];
  return answers.map(a => (hasVersion(a, wanted) ? a : again.shift()!));
}

/** Sends the accepted file to a few processes of each zone. */
export function pushRules(
  settings: OperatorSettings,
  instances: readonly InstanceRecord[],
  rulesFile: RulesText,
): readonly Connection<PeerPayload, PeerPayload>[] {
  const zones = new Set(instances.map(i => i.zone));
  const chosen = [...zones].flatMap(zone =>
    instances.filter(i => i.zone === zone).slice(0, PUSH_TARGETS_PER_ZONE),
  );
  const identity = {instance: 'operator', zone: ''};
  const timeline = new Timeline(systemClock, identity, 1);
  return chosen.map(
    ({address}) =>
      new Connection<PeerPayload, PeerPayload>(
        address,
        'Gossip',
        settings.peers,
        systemClock,
        timeline,
        {
          opened: channel => channel.send({kind: 'rulesFile', rulesFile}),
          message: () => undefined,
          lost: () => undefined,
        },
      ),
  );
}

function hasVersion({facts}: ProcessStatus, wanted: VersionRef): boolean {
  return (facts?.rules?.version ?? 0) >= wanted.version;
}

/** For each zone, how many instances confirmed and which did not. */
export function confirmationLines(
  answers: readonly ProcessStatus[],
  wanted: VersionRef,
): readonly string[] {
  const zones = [...new Set(answers.map(a => a.zone))].sort();
  return zones.flatMap(zone => {
    const all = answers.filter(a => a.zone === zone);
    const missing = all.filter(a => !hasVersion(a, wanted));
    const count = `${all.length - missing.length} of ${all.length}`;
    const line = `zone ${zone}: ${count} instances confirmed`;
    return [
      line,
      ...missing.map(a => `  unconfirmed: ${describeUnconfirmed(a, answers)}`),
    ];
  });
}

function describeUnconfirmed(
  {instance, facts}: ProcessStatus,
  answers: readonly ProcessStatus[],
): string {
  if (!facts) {
    const heardMs = lastHeardMs(answers, instance);
    if (heardMs === undefined) {
      return `${instance}: no answer, its version is unknown`;
    }
    const since = new Date(heardMs).toISOString();
    return `${instance}: no answer, unconfirmed since ${since}, when a peer last heard it`;
  }
  if (!facts.rules) return `${instance}: its version is unknown`;
  const {version, note, confirmedMs} = facts.rules;
  const since =
    confirmedMs === 0 ? 'its start' : new Date(confirmedMs).toISOString();
  const why = note === '' ? '' : ` (${note})`;
  return `${instance}: version ${version}, unconfirmed since ${since}${why}`;
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function warn(line: string): void {
  process.stderr.write(`${line}\n`);
}
