/**
 * Division of an endpoint's free slots among gateways.
 *
 * Guards against more requests of all gateways together than there are free
 * slots, against a gateway that never gets a turn, and against endpoints whose turns
 * run in step.
 */
import {expect} from 'chai';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {divideSlots, firstTurn} from '../src/gateway/slotshares';

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

  it('leave few of 98 gateways without a slot of 192 idle endpoints', () => {
    const gateways = 98;
    const freeSlots = 4;
    const generator = xoroshiro128plus(1);
    const random = () => uniformFloat64(generator);
    let turns = Array.from({length: 192}, () => firstTurn(random));
    for (let report = 0; report < 20; report++) {
      const all = turns.map(turn => divideSlots(freeSlots, gateways, turn));
      turns = all.map(({nextTurn}) => nextTurn);
      const without = Array.from({length: gateways}, (_, gateway) =>
        all.every(({shares}) => shares[gateway] === 0),
      );
      expect(without.filter(Boolean).length).to.be.at.most(gateways / 20);
    }
  });

  it('are zero at an endpoint that is full or has a queue', () => {
    expect(divideSlots(0, 3, 1).shares).to.deep.equal([0, 0, 0]);
    expect(divideSlots(-4, 3, 1).shares).to.deep.equal([0, 0, 0]);
    expect(divideSlots(5, 0, 0).shares).to.deep.equal([]);
  });
});
