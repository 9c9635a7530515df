/**
 * Determines the sidecars that an entry links to.
 *
 * Rendezvous hashing gives each entry its own stable subset of each target's
 * sidecars. Links stay few, several entries link to every sidecar, and a
 * change of one instance moves few links. An entry links only within its own
 * region, because links to every zone of ten regions would cost most of a
 * core. Only for a target without sidecars in that region does it link to
 * other regions.
 */
import {createHash} from 'node:crypto';
import {InstanceRecord} from '../platform/client';

/** Links for each target in the entry's own zone. */
export const OWN_ZONE_LINKS = 6;
/** Links for each target in each other zone of the entry's region. */
export const OTHER_ZONE_LINKS = 2;
/** Links, over all other regions, for a target that the own region lacks. */
export const OTHER_REGION_LINKS = 2;

const WEIGHT_BYTES = 6;

/** Returns the region of a zone. */
export type RegionOf = (zone: string) => string;

const singleRegion: RegionOf = () => '';

/** Returns the subset for one entry, over all targets and zones. */
export function subsetOf(
  entry: string,
  zone: string,
  sidecars: readonly InstanceRecord[],
  regionOf: RegionOf = singleRegion,
): readonly InstanceRecord[] {
  const ownRegion = regionOf(zone);
  const inRegion = sidecars.filter(
    record => regionOf(record.zone) === ownRegion,
  );
  const regionTargets = new Set(inRegion.map(targetOf));
  const fromOtherRegions = sidecars.filter(
    record => !regionTargets.has(targetOf(record)),
  );
  const byZone = groupBy(inRegion, r => `${targetOf(r)} ${r.zone}`);
  const byTarget = groupBy(fromOtherRegions, targetOf);
  return [
    ...byZone.flatMap(group => {
      const ownZone = group[0]!.zone === zone;
      const count = ownZone ? OWN_ZONE_LINKS : OTHER_ZONE_LINKS;
      return highestWeighted(entry, group, count);
    }),
    ...byTarget.flatMap(group =>
      highestWeighted(entry, group, OTHER_REGION_LINKS),
    ),
  ];
}

function targetOf({targetKind, target}: InstanceRecord): string {
  return `${targetKind} ${target}`;
}

function groupBy(
  records: readonly InstanceRecord[],
  keyOf: (record: InstanceRecord) => string,
): readonly (readonly InstanceRecord[])[] {
  const groups = new Map<string, InstanceRecord[]>();
  for (const record of records) {
    const key = keyOf(record);
    const group = groups.get(key);
    if (group) group.push(record);
    else groups.set(key, [record]);
  }
  return [...groups.values()];
}

/** Returns the `count` sidecars with the highest rendezvous weights. */
function highestWeighted(
  entry: string,
  group: readonly InstanceRecord[],
  count: number,
): readonly InstanceRecord[] {
  if (group.length <= count) return group;
  return group
    .map(record => ({record, weight: weightOf(entry, record.instance)}))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, count)
    .map(({record}) => record);
}

function weightOf(entry: string, sidecar: string): number {
  const digest = createHash('sha1').update(`${entry}/${sidecar}`).digest();
  return digest.readUIntBE(0, WEIGHT_BYTES);
}
