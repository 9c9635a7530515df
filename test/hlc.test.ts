import {expect} from 'chai';
import * as fc from 'fast-check';
import * as hlc from '../src/observe/hlc';

const stamps = fc.record({
  wallMs: fc.integer({min: 0, max: 4e12}),
  counter: fc.integer({min: 0, max: 1e6}),
});

describe('hybrid logical clock', () => {
  it('sorts an effect after its cause, whatever the wall clocks show', () => {
    const wall = fc.integer({min: 0, max: 4e12});
    fc.assert(
      fc.property(stamps, stamps, wall, (local, remote, now) => {
        const received = hlc.receive(local, remote, now);
        expect(hlc.compare(received, remote)).to.be.above(0);
        expect(hlc.compare(received, local)).to.be.above(0);
      }),
      {seed: 1},
    );
  });

  it('keeps the order of stamps in their text form', () => {
    fc.assert(
      fc.property(stamps, stamps, (a, b) => {
        const order = Math.sign(hlc.compare(a, b));
        const [x, y] = [hlc.format(a), hlc.format(b)];
        expect(x < y ? -1 : x > y ? 1 : 0).to.equal(order);
      }),
      {seed: 2},
    );
  });
});
