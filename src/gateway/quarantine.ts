/**
 * Finds prompt parts under which endpoints crash, and decides whether a request
 * with such a part is admitted.
 *
 * A part that crashes endpoints does so each time one begins to write an answer
 * on it, whatever else the prompt holds. A crash is therefore evidence against
 * all shared parts of the requests that were there or ended shortly before, and an
 * answer that its endpoint has outlived clears its parts of all earlier crashes. A part is
 * quarantined after some crashes of which it has not been cleared. Endpoints
 * that crash together count once, because a common cause, such as a lost zone,
 * is more likely than a part that reached all of them at once.
 *
 * Other parts often come together with the part that crashes endpoints. Each
 * crash is therefore explained by one quarantined part only: one that was never
 * cleared goes before others, then the one with the most crashes, then the one
 * that stands later in the prompt and so is shared by fewer requests.
 *
 * A quarantine holds for `QUARANTINE_MS` after the last crash. Then a single
 * request is admitted as a trial: if its answer continues, the part is cleared,
 * and if its endpoint crashes, the quarantine starts anew.
 *
 * All times are those of the store's clock, which the gateways share.
 */
import {Map} from 'immutable';
import {CrashRecord, Prompt} from './model';

/** An endpoint that ended by itself, and the requests that were there. */
export type Crash = Extract<CrashRecord, {kind: 'crash'}>;

export interface Quarantine {
  /** Crashes by a key that is unique to the endpoint and the observer. */
  readonly crashes: Map<string, Crash>;
  /** End of the last answer that its endpoint outlived, by part. */
  readonly clearedMs: Map<string, number>;
  /** Last time at which a trial was admitted, by part. */
  readonly trialMs: Map<string, number>;
}

/** What is known of a part that is quarantined. */
export interface QuarantinedPart {
  /** Endpoints that crashed under it. */
  readonly endpoints: readonly string[];
  /** Time of the last crash or trial. */
  readonly lastMs: number;
}

export type Admission =
  | {readonly kind: 'admit'}
  | {readonly kind: 'reject'; readonly part: string}
  /** Rejected, unless this gateway obtains the trial of this part. */
  | {readonly kind: 'trial'; readonly part: string};

/** Crashes after which a part that was never cleared is quarantined. */
const MIN_CRASHES = 3;

/**
 * The same for a part on which an answer was outlived. Where endpoints crash
 * often for other reasons, popular parts are present at several crashes.
 */
const MIN_CRASHES_IF_CLEARED = 5;

/** Endpoints that crash within this time of each other crash together. */
const SIMULTANEOUS_MS = 300;

/** Each trial may crash an endpoint and stall its group for some seconds. */
const QUARANTINE_MS = 600_000;

/** Time after which a crash is forgotten. */
const CRASH_RETENTION_MS = 3_600_000;

/** Bounds on the crashes held and on their records; the oldest are dropped. */
const MAX_CRASHES = 256;
const MAX_RECORDS = 1_024;

export const emptyQuarantine: Quarantine = {
  crashes: Map(),
  clearedMs: Map(),
  trialMs: Map(),
};

/** Adds what a gateway has recorded; `key` identifies the record. */
export function addRecord(
  quarantine: Quarantine,
  key: string,
  record: CrashRecord,
): Quarantine {
  const {crashes, clearedMs, trialMs} = quarantine;
  switch (record.kind) {
    case 'crash':
      return {...quarantine, crashes: crashes.set(key, record)};
    case 'cleared': {
      const latest = setLatest(clearedMs, record.part, record.atMs);
      return {...quarantine, clearedMs: latest};
    }
    case 'trial': {
      const latest = setLatest(trialMs, record.part, record.atMs);
      return {...quarantine, trialMs: latest};
    }
  }
}

/**
 * Drops old crashes, and what is known of parts without a crash. It bounds the
 * memory that a flood of crashes or parts can take.
 */
export function trim(quarantine: Quarantine): Quarantine {
  let {crashes} = quarantine;
  const newestMs = Math.max(...crashes.map(c => c.atMs).values());
  crashes = crashes.filter(c => newestMs - c.atMs <= CRASH_RETENTION_MS);
  const endpoints = new Set(crashes.valueSeq().map(c => c.endpoint));
  if (endpoints.size > MAX_CRASHES || crashes.size > MAX_RECORDS) {
    crashes = newestCrashes(crashes);
  }
  const prompts = crashes.valueSeq().flatMap(c => c.prompts);
  const known = new Set(prompts.flatMap(prompt => prompt));
  const isKnown = (_: number, part: string) => known.has(part);
  const clearedMs = quarantine.clearedMs.filter(isKnown);
  return {crashes, clearedMs, trialMs: quarantine.trialMs.filter(isKnown)};
}

/** All records of the newest crashes, as far as the bounds allow. */
function newestCrashes(crashes: Map<string, Crash>): Map<string, Crash> {
  const byEndpoint = crashes
    .groupBy(c => c.endpoint)
    .valueSeq()
    .sortBy(records => -records.map(c => c.atMs).max()!);
  let records = 0;
  return Map(
    byEndpoint
      .take(MAX_CRASHES)
      .takeWhile(of => (records += of.size) <= MAX_RECORDS)
      .flatMap(of => of.entrySeq()),
  );
}

/** Parts that have not been cleared of all crashes. */
export function suspectParts(quarantine: Quarantine): ReadonlySet<string> {
  const suspects = new Set<string>();
  for (const crash of quarantine.crashes.values()) {
    for (const part of crash.prompts.flat()) {
      if (isSuspect(quarantine, crash, part)) suspects.add(part);
    }
  }
  return suspects;
}

export function quarantinedParts(
  quarantine: Quarantine,
): ReadonlyMap<string, QuarantinedPart> {
  const found = new globalThis.Map<string, QuarantinedPart>();
  let unexplained = quarantine.crashes.valueSeq().toArray();
  for (;;) {
    const part = mostSuspect(quarantine, unexplained);
    if (part === undefined) return found;
    const isUnder = (c: Crash) => c.prompts.some(p => p.includes(part));
    const crashes = unexplained.filter(isUnder);
    const lastMs = Math.max(
      quarantine.trialMs.get(part, -Infinity),
      ...crashes.map(c => c.atMs),
    );
    const endpoints = [...new Set(crashes.map(c => c.endpoint))];
    found.set(part, {endpoints, lastMs});
    // Other gateways may have recorded only other requests of the same crash.
    unexplained = unexplained.filter(c => !endpoints.includes(c.endpoint));
  }
}

/** Decides on a request; `quarantined` comes from `quarantinedParts`. */
export function admission(
  quarantined: ReadonlyMap<string, QuarantinedPart>,
  prompt: Prompt,
  nowMs: number,
): Admission {
  let due: string | undefined;
  for (const part of prompt) {
    const found = quarantined.get(part);
    if (!found) continue;
    if (nowMs - found.lastMs < QUARANTINE_MS) return {kind: 'reject', part};
    due ??= part;
  }
  return due === undefined ? {kind: 'admit'} : {kind: 'trial', part: due};
}

interface Suspicion {
  readonly part: string;
  readonly crashes: number;
  readonly wasCleared: boolean;
  /** Latest position in a prompt. */
  readonly position: number;
}

/** The time between which a crash happened. */
interface CrashSpan {
  readonly fromMs: number;
  readonly untilMs: number;
}

/**
 * Crashes by endpoint. Gateways that saw the same crash may estimate its time
 * differently.
 */
type CrashSpans = globalThis.Map<string, CrashSpan>;

/** The part that explains the most crashes, if it explains enough of them. */
function mostSuspect(
  quarantine: Quarantine,
  crashes: readonly Crash[],
): string | undefined {
  const latestMs = latestTimes(crashes);
  const spansOf = new globalThis.Map<string, CrashSpans>();
  const positions = new globalThis.Map<string, number>();
  for (const crash of crashes) {
    for (const prompt of crash.prompts) {
      prompt.forEach((part, position) => {
        if (!isSuspect(quarantine, crash, part)) return;
        const spans: CrashSpans = spansOf.get(part) ?? new globalThis.Map();
        const {endpoint, atMs} = crash;
        const fromMs = Math.min(atMs, spans.get(endpoint)?.fromMs ?? Infinity);
        const untilMs = Math.max(fromMs, latestMs.get(endpoint)!);
        spansOf.set(part, spans.set(endpoint, {fromMs, untilMs}));
        positions.set(part, Math.max(position, positions.get(part) ?? 0));
      });
    }
  }
  let most: Suspicion | undefined;
  for (const [part, spans] of spansOf) {
    const wasCleared = quarantine.clearedMs.has(part);
    const suspicion = {
      part,
      crashes: countDistinct(spans.values(), wasCleared),
      wasCleared,
      position: positions.get(part)!,
    };
    const minCrashes = suspicion.wasCleared
      ? MIN_CRASHES_IF_CLEARED
      : MIN_CRASHES;
    if (suspicion.crashes < minCrashes) continue;
    if (!most || isMoreSuspect(suspicion, most)) most = suspicion;
  }
  return most?.part;
}

function isMoreSuspect(a: Suspicion, b: Suspicion): boolean {
  if (a.wasCleared !== b.wasCleared) return b.wasCleared;
  if (a.crashes !== b.crashes) return a.crashes > b.crashes;
  if (a.position !== b.position) return a.position > b.position;
  // All gateways must find the same part.
  return a.part < b.part;
}

function isSuspect(
  {clearedMs}: Quarantine,
  {atMs}: Crash,
  part: string,
): boolean {
  return atMs > clearedMs.get(part, -Infinity);
}

/** The latest time at which each endpoint may have crashed. */
function latestTimes(crashes: readonly Crash[]): ReadonlyMap<string, number> {
  const latest = new globalThis.Map<string, number>();
  for (const {endpoint, atMs, untilMs = atMs} of crashes) {
    latest.set(endpoint, Math.min(untilMs, latest.get(endpoint) ?? Infinity));
  }
  return latest;
}

/**
 * Number of crashes, without those that follow another one closely. A part that was
 * cleared before is more likely sound, so only crashes that can't have happened
 * together count for it; the others count as having happened as early as possible.
 */
function countDistinct(
  spans: Iterable<CrashSpan>,
  areCertainlyApart: boolean,
): number {
  const ends = [...spans].map(({fromMs, untilMs}) => ({
    fromMs,
    untilMs: areCertainlyApart ? untilMs : fromMs,
  }));
  let count = 0;
  let lastMs = -Infinity;
  for (const {fromMs, untilMs} of ends.sort((a, b) => a.untilMs - b.untilMs)) {
    if (fromMs - lastMs <= SIMULTANEOUS_MS) continue;
    count += 1;
    lastMs = untilMs;
  }
  return count;
}

function setLatest(
  times: Map<string, number>,
  part: string,
  ms: number,
): Map<string, number> {
  return times.set(part, Math.max(ms, times.get(part, -Infinity)));
}
