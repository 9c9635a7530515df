/**
 * Many gateways that choose endpoints by the same load reports.
 *
 * Guards against crowds: all gateways send to the few endpoints whose reported
 * load is lowest, where requests then wait while other endpoints have free
 * slots, until their callers leave.
 */
import {expect} from 'chai';
import {EndpointQueueModel, MEAN_RUN_MS, SLOTS} from './endpointqueuemodel';

const SEEDS = [1, 2, 3];

/** Requests per second and endpoint; they occupy 41% of the slots. */
const CALM_PER_S = 190 / 72;
const CALM_END_MS = 9_000;

/** Requests per second and endpoint that all slots together can serve. */
const CAPACITY_PER_S = (SLOTS * 1_000) / MEAN_RUN_MS;
const OVERLOAD = 1.5;
const OVERLOAD_FROM_MS = 2_000;
const OVERLOAD_TO_MS = 6_000;
const OVERLOAD_END_MS = 8_500;

/** Share of requests that may wait although another endpoint has a free slot. */
const MAX_NEEDLESS_WAITS = 0.01;

/**
 * A gateway sends one request beyond the slots, so that a freed slot is used at
 * once; two more may come from two gateways that send at the same moment.
 */
const MAX_HELD = SLOTS + 1 + 2;

/** Share of the callers that leave whose requests may be at an endpoint. */
const MAX_LEFT_AT_ENDPOINT = 0.25;

const SIZES = [
  {gateways: 43, endpoints: 72},
  {gateways: 8, endpoints: 12},
];

async function runSeeds(
  size: (typeof SIZES)[number],
  perEndpointAndS: (nowMs: number) => number,
  endMs: number,
): Promise<readonly EndpointQueueModel[]> {
  const models = SEEDS.map(
    seed =>
      new EndpointQueueModel({
        seed,
        ...size,
        requestsPerS: nowMs => perEndpointAndS(nowMs) * size.endpoints,
      }),
  );
  for (const model of models) await model.runUntil(endMs);
  return models;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, n) => total + n, 0);
}

describe('endpoints shared by many gateways', () => {
  for (const size of SIZES) {
    const title = `(${size.gateways} gateways, ${size.endpoints} endpoints)`;

    it(`have no waiting requests while others have free slots ${title}`, async () => {
      const models = await runSeeds(size, () => CALM_PER_S, CALM_END_MS);
      for (const {needlessWaits, arrivals} of models) {
        expect(needlessWaits / arrivals).to.be.at.most(MAX_NEEDLESS_WAITS);
      }
    });

    describe(`when more arrives than they can serve ${title}`, () => {
      let models: readonly EndpointQueueModel[] = [];

      before(async () => {
        models = await runSeeds(
          size,
          nowMs =>
            nowMs >= OVERLOAD_FROM_MS && nowMs < OVERLOAD_TO_MS
              ? OVERLOAD * CAPACITY_PER_S
              : CALM_PER_S,
          OVERLOAD_END_MS,
        );
      });

      it('hold no more than their slots and a few requests', () => {
        for (const {mostHeld} of models) {
          expect(mostHeld).to.be.at.most(MAX_HELD);
        }
      });

      it('have few requests left when their callers leave', () => {
        const left = sum(models.map(m => m.callersLeft));
        const atEndpoint = sum(models.map(m => m.leftAtEndpoint));
        expect(atEndpoint).to.be.at.most(left * MAX_LEFT_AT_ENDPOINT);
      });
    });
  }
});
