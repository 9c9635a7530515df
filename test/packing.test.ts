/**
 * Packed numbers in the messages between sidecars.
 *
 * Guards against a map that a rank reads differently from how it was sent, and
 * against text that is no packed map.
 */
import {expect} from 'chai';
import fc from 'fast-check';
import {
  packChoices,
  packMap,
  packNumbers,
  unpackChoices,
  unpackMap,
  unpackNumbers,
} from '../src/ranks/packing';

const number = fc.nat({max: 2 ** 31 - 1});
const map = fc
  .tuple(fc.integer({min: 1, max: 4}), fc.integer({min: 1, max: 6}))
  .chain(([sets, ranks]) =>
    fc.array(
      fc.array(fc.array(fc.nat(300), {maxLength: 6}), {
        minLength: ranks,
        maxLength: ranks,
      }),
      {minLength: sets, maxLength: sets},
    ),
  );

describe('packing', () => {
  it('returns the numbers and maps that were packed', () => {
    fc.assert(
      fc.property(fc.array(number), map, (numbers, ranks) => {
        expect(unpackNumbers(packNumbers(numbers))).to.deep.equal(numbers);
        expect(unpackMap(packMap(ranks))).to.deep.equal(ranks);
      }),
      {seed: 1, numRuns: 300},
    );
  });

  it('keeps choices to within half a percent of the most frequent one', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(90_000), {minLength: 1}), choices => {
        const tolerance = Math.max(0.5, Math.max(...choices) * 0.005);
        unpackChoices(packChoices(choices)).forEach((n, i) =>
          expect(n).to.be.closeTo(choices[i]!, tolerance),
        );
      }),
      {seed: 1, numRuns: 300},
    );
  });

  it('rejects a map that is cut off or too long', () => {
    const whole = [2, 1, 2, 5, 6, 1, 7];
    expect(unpackMap(packNumbers(whole))).to.deep.equal([[[5, 6]], [[7]]]);
    for (let length = 2; length < whole.length; length++) {
      const part = packNumbers(whole.slice(0, length));
      expect(() => unpackMap(part), `${length}`).to.throw(RangeError);
    }
    const longer = packNumbers([...whole, 8]);
    expect(() => unpackMap(longer)).to.throw(RangeError);
    const unended = Buffer.from([0xff]).toString('base64');
    expect(() => unpackMap(unended)).to.throw(RangeError);
  });
});
