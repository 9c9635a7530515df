/**
 * `status`: what each process reports about itself, by zone.
 *
 * A process that does not answer is shown as "unknown" with the time at which
 * a peer last got its heartbeat. Nothing else about it is inferred from the
 * platform's list or from other processes. A fact that was measured before
 * the answer is shown with its age.
 */
import {EXIT_CODES} from '../kernel/errors';
import {ClaimFacts, Facts, MemberFacts} from '../observe/facts';
import {readClaimFacts} from './claims';
import {
  ProcessAddress,
  fetchStatuses,
  fetchFacts,
  lastHeardMs,
  ProcessStatus,
} from './inspect';
import {operatorPlatformClient, loadOperatorSettings} from './operator';
import type {OperatorSettings} from './operator';

export interface StatusOptions {
  readonly settings: string;
  readonly json?: boolean;
  /** Prints a report every two seconds until a signal ends the process. */
  readonly watch?: boolean;
}

export interface StatusReport {
  readonly atMs: number;
  readonly platform: 'reachable' | 'unreachable';
  readonly processes: readonly ProcessStatus[];
  /** Absent if the claim rows could not be read. */
  readonly claims?: ClaimFacts;
}

const WATCH_INTERVAL_MS = 2_000;
/**
 * Interval between reads of the claim rows while watching. A read returns
 * every claim row, and all commands and processes share the table's limit of
 * two thousand reads per second.
 */
const CLAIMS_INTERVAL_MS = 30_000;
/** Clears a terminal and moves the cursor to the top left. */
const CLEAR_SCREEN = '\u001b[2J\u001b[H';

/**
 * Returns the exit code. If no process answered, it is `failed`, or
 * `platformUnreachable` if the platform did not answer either.
 */
export async function showStatus(options: StatusOptions): Promise<number> {
  const settings = loadOperatorSettings(options.settings);
  if (options.watch) return watchStatus(settings, options);
  const report = await gatherReport(settings);
  process.stdout.write(`${formatReport(report, options)}\n`);
  return exitCode(report);
}

/**
 * Prints until SIGINT, which ends the process with `done`. A terminal shows
 * only the latest report; a pipe, a file or JSON output gets all of them.
 */
async function watchStatus(
  settings: OperatorSettings,
  options: StatusOptions,
): Promise<never> {
  process.once('SIGINT', () => process.exit(EXIT_CODES.done));
  // The reader of the pipe is gone.
  process.stdout.once('error', () => process.exit(EXIT_CODES.done));
  const linePrefix = process.stdout.isTTY && !options.json ? CLEAR_SCREEN : '';
  let claims: ClaimFacts | undefined;
  for (;;) {
    const report = await gatherReport(settings, claims);
    claims = report.claims;
    process.stdout.write(`${linePrefix}${formatReport(report, options)}\n`);
    await new Promise(done => setTimeout(done, WATCH_INTERVAL_MS));
  }
}

function formatReport(report: StatusReport, {json}: StatusOptions): string {
  return json ? JSON.stringify(report) : renderReport(report);
}

function exitCode({platform, processes}: StatusReport): number {
  if (processes.some(p => p.facts)) return EXIT_CODES.done;
  return platform === 'reachable'
    ? EXIT_CODES.failed
    : EXIT_CODES.platformUnreachable;
}

/** `last` is what an earlier report of the same command found about claims. */
export async function gatherReport(
  settings: OperatorSettings,
  last?: ClaimFacts,
): Promise<StatusReport> {
  const atMs = Date.now();
  const lastClaims = last ? {claims: last} : {};
  try {
    const platform = operatorPlatformClient(settings);
    const list = await platform.instances();
    const isFresh = last && atMs - last.atMs < CLAIMS_INTERVAL_MS;
    const [processes, read] = await Promise.all([
      fetchStatuses(settings, list),
      isFresh ? last : readClaimFacts(platform, new Date(atMs)),
    ]);
    const claims = read ? {claims: read} : lastClaims;
    return {atMs, platform: 'reachable', processes, ...claims};
  } catch {
    const processes = await askSeeds(settings);
    return {atMs, platform: 'unreachable', processes, ...lastClaims};
  }
}

/** Without the platform's list, asks the seeds and the members they know. */
async function askSeeds(
  settings: OperatorSettings,
): Promise<readonly ProcessStatus[]> {
  const {seeds} = settings.peers;
  const found = await fetchFacts(settings, seeds);
  const answered = found.filter(facts => facts !== undefined);
  const unaskedMembers = new Map<string, MemberFacts>();
  for (const member of answered.flatMap(facts => facts.members ?? [])) {
    const asked = answered.some(f => f.instance === member.instance);
    if (!asked && member.address !== '')
      unaskedMembers.set(member.instance, member);
  }
  const others = await fetchStatuses(settings, [
    ...unaskedMembers.values(),
  ] as ProcessAddress[]);
  const seedStatuses = answered.map(facts => {
    const {instance, zone, role} = facts;
    return {instance, zone, role, facts};
  });
  return [...seedStatuses, ...others];
}

/** The report as text: a line for each zone and its processes. */
export function renderReport(report: StatusReport): string {
  const {processes, platform} = report;
  const zones = [...new Set(processes.map(p => p.zone))].sort();
  const lines = zones.flatMap(zone => [
    `zone ${zone}: ${zoneState(processes, zone)}`,
    ...processes
      .filter(p => p.zone === zone)
      .flatMap(p => processLines(p, report).map(line => `  ${line}`)),
  ]);
  return [`platform ${platform}, ${claimsText(report)}`, ...lines].join('\n');
}

function zoneState(processes: readonly ProcessStatus[], zone: string): string {
  const known = processes
    .filter(p => p.zone === zone && p.facts?.rules)
    .map(p => p.facts!.rules!);
  const versions = [...new Set(known.map(r => r.version))].sort();
  if (known.length === 0) return 'unknown';
  const out = known.filter(r => r.zonesOut.includes(zone)).length;
  const state = out === 0 ? 'in' : out === known.length ? 'out' : 'mixed';
  return `${state}, version ${versions.join(' and ')} in force`;
}

function processLines(
  {instance, role, facts}: ProcessStatus,
  {processes, atMs}: StatusReport,
): readonly string[] {
  if (!facts) {
    const heardMs = lastHeardMs(processes, instance);
    const heard =
      heardMs === undefined
        ? ''
        : `, last heard by a peer ${formatAge(heardMs, atMs)}`;
    return [`${instance} ${role}: unknown, no answer${heard}`];
  }
  const head = [
    `${instance} ${role}: ${facts.state}`,
    rulesText(facts),
    capacityText(facts),
    linksText(facts),
  ];
  return [
    head.filter(part => part !== '').join(', '),
    ...accountLines(facts),
    ...groupLines(facts),
  ];
}

function rulesText({rules, atMs}: Facts): string {
  if (!rules) return 'version unknown';
  const {version, confirmedMs, note, stoppedByCutoff} = rules;
  const confirmed =
    confirmedMs === 0
      ? 'never confirmed by the platform'
      : `confirmed ${formatAge(confirmedMs, atMs)}`;
  const stopped = stoppedByCutoff ? ', stopped by the cut-off rule' : '';
  const why = note === '' ? '' : ` (${note})`;
  return `version ${version} ${confirmed}${stopped}${why}`;
}

function capacityText({role, capacity, atMs}: Facts): string {
  if (role !== 'sidecar') return '';
  if (!capacity) return 'grants and queue unknown';
  const {running, granted, waiting, bound, cold} = capacity;
  const state = cold ? 'cold' : 'warm';
  return (
    `${running} running and ${granted} granted of ${bound} (${state}), ` +
    `${waiting} waiting, measured ${formatAge(capacity.atMs, atMs)}`
  );
}

function linksText({role, links}: Facts): string {
  if (role !== 'entry') return '';
  if (!links) return 'links unknown';
  const {requests, linked, avoided} = links;
  const zones = [...new Set(linked.map(l => l.zone))].sort();
  const where = zones.length === 0 ? '' : ` in ${zones.join(', ')}`;
  const which = avoided.length === 0 ? '' : ` (avoided: ${avoided.join(', ')})`;
  return `${requests} requests, ${linked.length} sidecars linked${where}${which}`;
}

function claimsText({claims, atMs}: StatusReport): string {
  if (!claims) return 'unresolved orders unknown';
  return `${claims.unresolved} unresolved orders, read ${formatAge(claims.atMs, atMs)}`;
}

function accountLines({role, accounts}: Facts): readonly string[] {
  if (role !== 'sidecar') return [];
  if (!accounts) return ['  service of accounts unknown'];
  return accounts.map(
    a =>
      `  account ${a.account}: ${formatPercent(a.served)} served of a share of ` +
      `${formatPercent(a.share)} in the last minute`,
  );
}

function groupLines({groups, atMs}: Facts): readonly string[] {
  return (groups ?? []).map(
    g =>
      `  group ${g.group}: skew ${g.skew?.toFixed(2) ?? 'unknown'}, map version ` +
      `${g.mapVersion}, epoch ${g.epoch}, measured ${formatAge(g.atMs, atMs)}`,
  );
}

function formatAge(thenMs: number, nowMs: number): string {
  return `${Math.max(0, (nowMs - thenMs) / 1_000).toFixed(1)} s ago`;
}

function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}
