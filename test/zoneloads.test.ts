/**
 * Sums of load reports by service and zone.
 *
 * Guards against scaling on reports of endpoints that have been cut off, or of a
 * group that is broken.
 */
import {expect} from 'chai';
import {applyEndpointChange, emptyCatalog} from '../src/gateway/catalog';
import {applyReport, emptyLoads} from '../src/gateway/endpointload';
import {zoneLoads} from '../src/gateway/zoneloads';
import {registeredEndpoint} from './deploymentmodel';

describe('loads of a zone', () => {
  it('count fresh reports of working endpoints, and all that are registered', () => {
    const ids = ['fresh', 'limited', 'old', 'broken', 'silent', 'draining'];
    const change = new Map(
      ids.map((id, i) => {
        const endpoint = registeredEndpoint(id, i, 'z1', 7);
        return [id, {...endpoint, draining: id === 'draining'}];
      }),
    );
    const catalog = applyEndpointChange(emptyCatalog, change, true, 0);
    const reports = [
      {id: 'old', atMs: 8_000},
      {id: 'fresh', atMs: 9_500},
      {id: 'limited', atMs: 9_500, requestLimit: 5},
      {id: 'broken', atMs: 9_500, open: false},
    ];
    let loads = emptyLoads;
    for (const {atMs, ...report} of reports) {
      const load = {
        running: 4,
        queued: 1,
        group: report.id,
        open: true,
        pace: 1,
      };
      const unknown = {limitPerS: undefined, share: undefined};
      loads = applyReport(loads, {...load, ...unknown, ...report}, atMs);
    }
    expect(zoneLoads(catalog, loads, 10_000)).to.deep.equal([
      {
        service: 's',
        zone: 'z1',
        endpoints: 5,
        reporting: 2,
        running: 8,
        queued: 2,
        capacity: 12,
      },
    ]);
  });
});
