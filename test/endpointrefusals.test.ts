/**
 * Requests at many gateways while a good part of the slots is free.
 *
 * Guards against refusals because a request's wait ends before its gateway gets
 * a share of the free slots.
 */
import {expect} from 'chai';
import {EndpointQueueModel, MEAN_RUN_MS, SLOTS} from './endpointqueuemodel';

const SEEDS = [1, 2, 3];
const END_MS = 7_000;

/** Share of the slots that are in use. */
const LOAD = 0.6;
const CAPACITY_PER_S = (SLOTS * 1_000) / MEAN_RUN_MS;

const MAX_REFUSED = 0.01;

describe('requests while four in ten slots are free', () => {
  for (const {gateways, endpoints} of [
    {gateways: 43, endpoints: 72},
    {gateways: 8, endpoints: 12},
  ]) {
    it(`are hardly ever refused (${gateways} gateways, ${endpoints} endpoints)`, async () => {
      for (const seed of SEEDS) {
        const model = new EndpointQueueModel({
          seed,
          gateways,
          endpoints,
          requestsPerS: () => LOAD * CAPACITY_PER_S * endpoints,
        });
        await model.runUntil(END_MS);
        const {refused, arrivals} = model;
        expect(refused / (refused + arrivals)).to.be.at.most(MAX_REFUSED);
      }
    });
  }
});

/** Slots of each endpoint and share in use on a calm day of 98 entries. */
const FEW_SLOTS = 4;
const CALM_LOAD = 2 / 3;

describe('requests while a third of the slots is free', () => {
  it('are hardly ever refused (98 gateways, 192 endpoints of 4 slots)', async () => {
    // Most free slots are shares of gateways that have nothing to send.
    const gateways = 98;
    const endpoints = 192;
    for (const seed of SEEDS) {
      const model = new EndpointQueueModel({
        seed,
        gateways,
        endpoints,
        slots: FEW_SLOTS,
        requestsPerS: () =>
          (CALM_LOAD * endpoints * FEW_SLOTS * 1_000) / MEAN_RUN_MS,
      });
      await model.runUntil(END_MS);
      const {refused, arrivals} = model;
      expect(refused / (refused + arrivals)).to.be.at.most(MAX_REFUSED);
    }
  }).timeout(120_000);
});
