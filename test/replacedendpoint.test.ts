/**
 * Registrations of several processes at one address.
 *
 * Guards against requests that are refused although their service runs: after
 * all machines had lost power, gateways sent them to the registrations of the
 * processes from before, which lapse seconds after their successors register.
 */
import {expect} from 'chai';
import {
  applyEndpointChange,
  Catalog,
  emptyCatalog,
  endpointAt,
  excludeReplacedEndpoint,
  servingEndpoints,
} from '../src/gateway/catalog';
import {Endpoint} from '../src/gateway/model';

const SERVICE = 'pool';
const NOW_MS = 10_000;
const BEFORE_MS = 1_700_000_000_000;
const AFTER_MS = BEFORE_MS + 60_000;

function endpoint(
  id: string,
  address: string,
  startedMs: number | undefined,
): Endpoint {
  return {
    id,
    service: SERVICE,
    address,
    zone: 'z1',
    slots: 4,
    draining: false,
    coldMs: 0,
    startedMs,
  };
}

function catalogOf(...endpoints: readonly Endpoint[]): Catalog {
  const change = new Map(endpoints.map(e => [e.id, e]));
  return applyEndpointChange(emptyCatalog, change, true, NOW_MS);
}

function servingIds(catalog: Catalog, nowMs = NOW_MS): readonly string[] {
  return servingEndpoints(catalog, SERVICE, nowMs).map(e => e.id);
}

describe('registrations at one address', () => {
  const [old, other] = [
    endpoint('old', '10.0.0.1:8000', BEFORE_MS),
    endpoint('other', '10.0.0.2:8000', BEFORE_MS),
  ];
  const successor = endpoint('new', old.address, AFTER_MS);

  it('leave the reports from there to the process that started last', () => {
    const catalog = catalogOf(old, successor, other);
    expect(endpointAt(catalog, old.address)?.id).to.equal('new');
    expect(endpointAt(catalog, '10.0.0.9:8000')).to.equal(undefined);
  });

  it('leave only the process that started last', () => {
    expect(servingIds(catalogOf(old, successor, other))).to.have.members([
      'new',
      'other',
    ]);
    expect(servingIds(catalogOf(successor, old, other))).to.have.members([
      'new',
      'other',
    ]);
  });

  it('leave the earlier one once the later has been found elsewhere', () => {
    // A process whose machine had a wrong clock may seem to have started last.
    const catalog = catalogOf(old, successor);
    const excluded = excludeReplacedEndpoint(catalog, 'new', NOW_MS);
    expect(servingIds(excluded)).to.deep.equal(['old']);
  });

  it('are all used if one does not say when its process started', () => {
    const undated = endpoint('undated', old.address, undefined);
    expect(servingIds(catalogOf(old, successor, undated))).to.have.members([
      'old',
      'new',
      'undated',
    ]);
  });

  it('leave no lapsed one whose successor has registered', () => {
    const first = catalogOf(old);
    const change = new Map([
      ['old', undefined],
      ['new', {...successor, draining: true}],
    ]);
    const replaced = applyEndpointChange(first, change, false, NOW_MS);
    expect(servingIds(replaced, NOW_MS + 100)).to.deep.equal([]);
  });
});
