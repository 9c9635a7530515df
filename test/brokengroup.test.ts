/**
 * Requests that the ranks of a broken group refuse.
 *
 * Guards against callers that are told to return while the group is still
 * broken: they return once, so their requests are lost.
 */
import {expect} from 'chai';
import {VirtualClock} from '../bench/support/virtualclock';
import {Exchange} from '../src/gateway/exchange';
import {createDispatcher, registeredEndpoint, ROUTE} from './deploymentmodel';

const DEADLINE_MS = 8_000;
/** Time for which a group is broken after a rank of it has failed. */
const LEAST_OUTAGE_MS = 2_000;

const exchange = {
  incoming: {service: 's', route: ROUTE},
  deadlineMs: DEADLINE_MS,
  triedEndpoints: new Set(['e1']),
} as unknown as Exchange;

function dispatcherWithGroup(open: boolean) {
  const dispatcher = createDispatcher({
    instance: 'g1',
    zone: 'z1',
    clock: new VirtualClock(),
    random: () => 0.5,
  });
  const endpoints = ['e1', 'e2'].map((id, i) =>
    registeredEndpoint(id, i, 'z1', 4),
  );
  dispatcher.handleEndpointChange(new Map(endpoints.map(e => [e.id, e])), true);
  for (const {id} of endpoints) {
    const load = {running: 0, queued: 0, group: 'g', open, pace: 1};
    const unknown = {limitPerS: undefined, requestLimit: undefined};
    dispatcher.handleLoadReport({id, ...load, ...unknown, share: 1}, 1);
  }
  return dispatcher;
}

describe('caller whose request a rank has refused', () => {
  it('is told to return when a broken group may be open again', () => {
    const ms = dispatcherWithGroup(false).retryAfterMs(exchange);
    expect(ms).to.be.within(LEAST_OUTAGE_MS, DEADLINE_MS / 3);
  });

  it('is told to return soon while the group is open', () => {
    expect(dispatcherWithGroup(true).retryAfterMs(exchange)).to.be.below(500);
  });
});
