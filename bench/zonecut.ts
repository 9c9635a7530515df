/**
 * Service while an availability zone is cut off from the platform and from
 * the other zones, and after the cut ends.
 *
 * From the cut on the platform's balancer sends the zone's callers to the
 * other zones, which then carry 90% each; callers within the zone go on
 * using its entry.
 */
import {lossRow} from './support/zoneloss';

export const row = lossRow('zonecut', 1, {
  inside: true,
  leave({deployment}, site) {
    deployment.isolateZone(site.zone);
    site.away = true;
  },
  async comeBack({deployment}, site) {
    deployment.reconnectAll();
    site.away = false;
  },
});
