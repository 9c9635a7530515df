/**
 * Division of an endpoint's free slots among gateways.
 *
 * Guards against more requests of all gateways together than there are free
 * slots, and against a gateway that never gets a turn.
 */
import {expect} from 'chai';
import {divideSlots} from '../src/gateway/slotshares';

describe('shares of free slots', () => {
  it('add up to the free slots, and give every gateway its turn', () => {
    for (const gateways of [1, 2, 8, 43]) {
      const totals = new Array<number>(gateways).fill(0);
      let turn = 0;
      for (let report = 0; report < 10 * gateways; report++) {
        const free = report % 8;
        const {shares, nextTurn} = divideSlots(free, gateways, turn);
        expect(shares.reduce((a, b) => a + b, 0)).to.equal(free);
        shares.forEach((n, i) => (totals[i]! += n));
        turn = nextTurn;
      }
      expect(Math.max(...totals) - Math.min(...totals)).to.be.at.most(1);
    }
  });

  it('are zero at an endpoint that is full or has a queue', () => {
    expect(divideSlots(0, 3, 1).shares).to.deep.equal([0, 0, 0]);
    expect(divideSlots(-4, 3, 1).shares).to.deep.equal([0, 0, 0]);
    expect(divideSlots(5, 0, 0).shares).to.deep.equal([]);
  });
});
