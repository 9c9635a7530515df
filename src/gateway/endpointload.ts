/**
 * This gateway's estimate of the load of each endpoint, and its share of the
 * free slots.
 *
 * A sidecar's report counts the requests of all gateways, but is a few hundred
 * milliseconds old. The number of this gateway's requests in flight is exact.
 * The estimate is its own requests now plus the others' at the last report.
 *
 * All gateways act on the same report. If each used every slot that it shows as
 * free, the requests of all would exceed the slots and wait in the endpoint's
 * queue. The report therefore states a share of the free slots for each gateway
 * (`slotshares.ts`), which is its allowance until the next report. A slot that one
 * of its own requests frees adds to the allowance, because no other gateway
 * knows of it yet.
 */
import {Map} from 'immutable';
import {EndpointLoad} from './model';

interface Load {
  /** Requests of this gateway in flight. */
  readonly own: number;
  /** Requests of other gateways at the last report. */
  readonly others: number;
  /** Group of ranks at the last report; undefined before the first. */
  readonly group: string | undefined;
  /** Epoch of the group at the last report; undefined if unknown. */
  readonly epoch: number | undefined;
  /** False if the group was broken at the last report. */
  readonly open: boolean;
  readonly pace: number;
  /** Time of the last report. */
  readonly reportedMs: number;
  /** Requests that this gateway may send until the next report. */
  readonly allowance: number;
  /** Requests that should be there at most, as of the last report. */
  readonly requestLimit: number;
  /** Requests of all gateways that ran and that waited at the last report. */
  readonly running: number;
  readonly queued: number;
}

export type Loads = Map<string, Load>;

/**
 * Age up to which a report is used. Two repeats of a report may be lost before
 * a gateway falls back to its own count.
 */
const REPORT_VALID_MS = 1_500;

/** Variation among healthy endpoints stays below this pace. */
const MAX_HEALTHY_PACE = 1.5;

const UNKNOWN_LOAD: Load = {
  own: 0,
  others: 0,
  group: undefined,
  epoch: undefined,
  open: true,
  pace: 1,
  reportedMs: -Infinity,
  allowance: 0,
  requestLimit: Infinity,
  running: 0,
  queued: 0,
};

export const emptyLoads: Loads = Map();

export function countSent(loads: Loads, id: string): Loads {
  const load = loads.get(id, UNKNOWN_LOAD);
  const allowance = Math.max(0, load.allowance - 1);
  return loads.set(id, {...load, own: load.own + 1, allowance});
}

/** How an attempt leaves the slots of its endpoint. */
export type SlotChange =
  /** The endpoint worked on the request and now has a free slot. */
  | 'freed'
  /** The endpoint rejected the request, so it has no free slot. */
  | 'full'
  | 'unknown';

export function countFinished(
  loads: Loads,
  id: string,
  change: SlotChange,
): Loads {
  const load = loads.get(id, UNKNOWN_LOAD);
  const own = Math.max(0, load.own - 1);
  const allowances = {
    freed: load.allowance + 1,
    full: 0,
    unknown: load.allowance,
  };
  return loads.set(id, {...load, own, allowance: allowances[change]});
}

export function applyReport(
  loads: Loads,
  report: EndpointLoad,
  nowMs: number,
): Loads {
  const {own} = loads.get(report.id, UNKNOWN_LOAD);
  const others = Math.max(0, report.running + report.queued - own);
  const {group, epoch, open, pace, running, queued} = report;
  const {requestLimit = Infinity} = report;
  return loads.set(report.id, {
    own,
    others,
    group,
    epoch,
    open,
    pace,
    reportedMs: nowMs,
    allowance: report.share ?? Infinity,
    requestLimit,
    running,
    queued,
  });
}

/** What an endpoint reported that works. */
export interface ReportedLoad {
  readonly running: number;
  readonly queued: number;
}

/** The last report, unless it is older or its group was broken. */
export function reportedLoad(
  loads: Loads,
  id: string,
  nowMs: number,
  maxAgeMs: number,
): ReportedLoad | undefined {
  const load = loads.get(id, UNKNOWN_LOAD);
  if (!load.open || nowMs - load.reportedMs > maxAgeMs) return undefined;
  return load;
}

/** Whether this gateway may send one more request to the endpoint. */
export function hasAllowance(loads: Loads, id: string, nowMs: number): boolean {
  if (!hasFreshReport(loads, id, nowMs)) return true;
  return loads.get(id, UNKNOWN_LOAD).allowance >= 1;
}

/**
 * Requests that this gateway may send to the endpoint until its next report;
 * undefined if no fresh report limits them.
 */
export function shareOf(
  loads: Loads,
  id: string,
  nowMs: number,
): number | undefined {
  if (!hasFreshReport(loads, id, nowMs)) return undefined;
  const {allowance} = loads.get(id, UNKNOWN_LOAD);
  return allowance === Infinity ? undefined : allowance;
}

/** Room for requests at a set of endpoints. */
export interface Room {
  /** Slots that no request is estimated to take. */
  readonly freeSlots: number;
  /** Those of them that this gateway may fill until the next reports. */
  readonly shares: number;
}

/** The room at the endpoints whose reports are fresh. */
export function reportedRoom(
  loads: Loads,
  endpoints: readonly {readonly id: string; readonly slots: number}[],
  nowMs: number,
): Room {
  let freeSlots = 0;
  let shares = 0;
  for (const endpoint of endpoints) {
    const {id} = endpoint;
    if (!hasFreshReport(loads, id, nowMs)) continue;
    const free =
      capacity(loads, endpoint, nowMs) - estimatedRequests(loads, id, nowMs);
    freeSlots += Math.max(0, free);
    shares += shareOf(loads, id, nowMs) ?? 0;
  }
  return {freeSlots, shares};
}

/** Names the group of an endpoint and its epoch, as last reported. */
export function groupEpoch(loads: Loads, id: string): string {
  const {group, epoch} = loads.get(id, UNKNOWN_LOAD);
  return `${group ?? ''} ${epoch ?? ''}`;
}

/** What a gateway assumed about an endpoint's load when it sent a request. */
export interface LoadEstimate {
  readonly requests: number;
  /** Age of the last report; undefined before the first. */
  readonly reportAgeMs: number | undefined;
}

export function loadEstimate(
  loads: Loads,
  id: string,
  nowMs: number,
): LoadEstimate {
  const {reportedMs} = loads.get(id, UNKNOWN_LOAD);
  return {
    requests: estimatedRequests(loads, id, nowMs),
    reportAgeMs: reportedMs === -Infinity ? undefined : nowMs - reportedMs,
  };
}

/** Estimated number of requests at the endpoint. */
export function estimatedRequests(
  loads: Loads,
  id: string,
  nowMs: number,
): number {
  const {own, others, reportedMs} = loads.get(id, UNKNOWN_LOAD);
  return nowMs - reportedMs <= REPORT_VALID_MS ? own + others : own;
}

/**
 * Requests that may be at an endpoint with so many slots: fewer than the slots
 * if a fresh report says so.
 */
export function capacity(
  loads: Loads,
  {id, slots}: {readonly id: string; readonly slots: number},
  nowMs: number,
): number {
  if (!hasFreshReport(loads, id, nowMs)) return slots;
  return Math.min(slots, loads.get(id, UNKNOWN_LOAD).requestLimit);
}

/**
 * False if a fresh report says that the endpoint's group is broken. A rank that
 * is cut off sends no reports, so the newest report of its group counts.
 */
export function isGroupOpen(loads: Loads, id: string, nowMs: number): boolean {
  const {group, open, reportedMs} = loads.get(id, UNKNOWN_LOAD);
  if (nowMs - reportedMs <= REPORT_VALID_MS) return open;
  if (group === undefined) return true;
  const newest = loads
    .valueSeq()
    .filter(load => load.group === group)
    .maxBy(load => load.reportedMs);
  return !newest || newest.open || nowMs - newest.reportedMs > REPORT_VALID_MS;
}

function hasFreshReport(loads: Loads, id: string, nowMs: number): boolean {
  const {reportedMs} = loads.get(id, UNKNOWN_LOAD);
  return nowMs - reportedMs <= REPORT_VALID_MS;
}

/**
 * Whether its reports have stopped. An endpoint of a service without sidecars
 * has never reported and does not count as silent.
 */
export function isSilent(loads: Loads, id: string, nowMs: number): boolean {
  const {reportedMs} = loads.get(id, UNKNOWN_LOAD);
  return reportedMs !== -Infinity && !hasFreshReport(loads, id, nowMs);
}

/** Whether a fresh report says that it is slower than healthy endpoints. */
export function isSlow(loads: Loads, id: string, nowMs: number): boolean {
  const {pace, reportedMs} = loads.get(id, UNKNOWN_LOAD);
  return pace > MAX_HEALTHY_PACE && nowMs - reportedMs <= REPORT_VALID_MS;
}

/** Drops endpoints that are gone and have no requests in flight. */
export function retainLoads(
  loads: Loads,
  known: {has(id: string): boolean},
): Loads {
  return loads.filter((load, id) => load.own > 0 || known.has(id));
}
