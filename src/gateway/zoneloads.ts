/**
 * Sums the loads of endpoints by service and zone, for scaling decisions.
 *
 * Failure: a zone is cut off, and the last reports of its endpoints stay. Only
 * reports of about the last second count, and the sum says how many endpoints
 * it misses.
 */
import {ZoneLoad} from '../duties/usagemessage';
import {Catalog} from './catalog';
import {capacity, Loads, reportedLoad} from './endpointload';

/** Age up to which a report counts; sidecars send two each second. */
const MAX_REPORT_AGE_MS = 1_000;

export function zoneLoads(
  {endpoints}: Pick<Catalog, 'endpoints'>,
  loads: Loads,
  nowMs: number,
): readonly ZoneLoad[] {
  const sums = new Map<string, ZoneLoad>();
  for (const endpoint of endpoints.values()) {
    const {id, service, zone, draining, goneSinceMs} = endpoint;
    if (draining || goneSinceMs !== undefined) continue;
    const key = JSON.stringify([service, zone]);
    const sum = sums.get(key) ?? newSum(service, zone);
    const load = reportedLoad(loads, id, nowMs, MAX_REPORT_AGE_MS);
    sums.set(key, {
      ...sum,
      endpoints: sum.endpoints + 1,
      reporting: sum.reporting + (load ? 1 : 0),
      running: sum.running + (load?.running ?? 0),
      queued: sum.queued + (load?.queued ?? 0),
      capacity: sum.capacity + (load ? capacity(loads, endpoint, nowMs) : 0),
    });
  }
  return [...sums.values()];
}

function newSum(service: string, zone: string): ZoneLoad {
  const none = {endpoints: 0, reporting: 0, running: 0, queued: 0, capacity: 0};
  return {service, zone, ...none};
}
