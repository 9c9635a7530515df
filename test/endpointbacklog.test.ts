/**
 * Requests that wait at many gateways when all endpoints become free at once.
 *
 * Guards against a backlog that goes to the endpoints beyond their slots, where
 * it waits in their queues until its callers leave. All gateways then see empty
 * endpoints, which may be used without a share.
 */
import {expect} from 'chai';
import {VirtualClock} from '../bench/support/virtualclock';
import {Exchange} from '../src/gateway/exchange';
import {Endpoint} from '../src/gateway/model';
import {divideSlots} from '../src/gateway/slotshares';
import {createDispatcher, registeredEndpoint, ROUTE} from './deploymentmodel';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const GATEWAYS = 43;
const ENDPOINTS = 72;
const SLOTS = 7;
const WAITING_PER_GATEWAY = 25;

/** Too little is left of the deadline for the callers to retry. */
const LEFT_MS = ROUTE.timeoutMs * 0.7;

/** Time within which no second report arrives. */
const ONE_REPORT_MS = 200;

describe('requests that wait while all groups are broken', () => {
  it('do not exceed the slots of the endpoints when the groups open', async () => {
    const clock = new VirtualClock();
    const generator = xoroshiro128plus(1);
    const random = () => uniformFloat64(generator);
    const ids = Array.from({length: ENDPOINTS}, (_, i) => `e${i}`);
    const registered = new Map<string, Endpoint>(
      ids.map((id, i) => [id, registeredEndpoint(id, i, `z${i % 3}`, SLOTS)]),
    );
    const gateways = Array.from({length: GATEWAYS}, (_, i) =>
      createDispatcher({instance: `g${i}`, zone: `z${i % 3}`, clock, random}),
    );
    const reportAll = (open: boolean) =>
      ids.forEach((id, turn) => {
        const {shares} = divideSlots(SLOTS, GATEWAYS, turn * SLOTS);
        gateways.forEach((gateway, i) =>
          gateway.handleLoadReport(
            {
              id,
              running: 0,
              queued: 0,
              group: `g${turn % 3}`,
              open,
              pace: 1,
              limitPerS: undefined,
              share: shares[i],
            },
            GATEWAYS,
          ),
        );
      });
    const held = new Map<string, number>(ids.map(id => [id, 0]));
    for (const gateway of gateways)
      gateway.handleEndpointChange(registered, true);
    reportAll(false);
    for (const gateway of gateways) {
      for (let i = 0; i < WAITING_PER_GATEWAY; i++) {
        gateway.submit({
          incoming: {
            service: 's',
            route: ROUTE,
            account: undefined,
            arrivedMs: 0,
            metadata: {requestId: '', sharedParts: []},
          },
          deadlineMs: LEFT_MS,
          triedEndpoints: new Set<string>(),
          hasEnded: false,
          hasAnswerBegun: false,
          refuse: () => undefined,
          send: ({id}: Endpoint) => held.set(id, held.get(id)! + 1),
        } as unknown as Exchange);
      }
    }
    await clock.run(100);
    expect(Math.max(...held.values())).to.equal(0);
    reportAll(true);
    await clock.run(100 + ONE_REPORT_MS);
    const sent = [...held.values()].reduce((sum, n) => sum + n, 0);
    expect(sent).to.be.at.most(ENDPOINTS * SLOTS);
    expect(Math.max(...held.values())).to.be.at.most(SLOTS);
  });
});
