/**
 * Compact encoding of numbers in the messages between sidecars.
 *
 * A coordinator reads the choices of all ranks several times a second and sends
 * each of them the whole expert map. Written as JSON numbers, these messages
 * would fill the link of a small instance: the choices of 24 ranks with 16 sets of
 * 96 experts take 200 kB. Numbers are written with 7 bits a byte, the lowest
 * first, and the bytes as base64 text. Most choices are small, so their bytes
 * are compressed to about half.
 */
import {constants, deflateRawSync, inflateRawSync} from 'node:zlib';
import {RankMap} from './rank';

const BITS_PER_BYTE = 7;
const CONTINUES = 0x80;
/** Five bytes hold every number up to 2^35. */
const MAX_BYTES_PER_NUMBER = 5;

/** Packs non-negative whole numbers below 2^35. */
export function packNumbers(numbers: readonly number[]): string {
  return numberBytes(numbers).toString('base64');
}

/** Throws a RangeError if the text does not end with a whole number. */
export function unpackNumbers(text: string): readonly number[] {
  return readNumbers(Buffer.from(text, 'base64'));
}

function numberBytes(numbers: readonly number[]): Buffer {
  const bytes: number[] = [];
  for (const number of numbers) {
    let rest = number;
    while (rest >= CONTINUES) {
      bytes.push((rest % CONTINUES) | CONTINUES);
      rest = Math.floor(rest / CONTINUES);
    }
    bytes.push(rest);
  }
  return Buffer.from(bytes);
}

function readNumbers(bytes: Buffer): readonly number[] {
  const numbers: number[] = [];
  let number = 0;
  let length = 0;
  for (const byte of bytes) {
    number += (byte % CONTINUES) * 2 ** (BITS_PER_BYTE * length);
    length += 1;
    if (length > MAX_BYTES_PER_NUMBER)
      throw new RangeError('packed number is longer than 5 bytes');
    if (byte >= CONTINUES) continue;
    numbers.push(number);
    number = 0;
    length = 0;
  }
  if (length > 0) throw new RangeError('packed numbers end within a number');
  return numbers;
}

/** Packs a map as its dimensions and then each rank's experts, set by set. */
export function packMap(map: RankMap): string {
  const ranks = map[0]?.length ?? 0;
  const numbers = [map.length, ranks];
  for (const held of map.flat()) numbers.push(held.length, ...held);
  return packNumbers(numbers);
}

/** Throws a RangeError if the text does not hold exactly one map. */
export function unpackMap(text: string): RankMap {
  const numbers = unpackNumbers(text);
  const [sets = 0, ranks = 0] = numbers;
  let at = 2;
  const map: number[][][] = [];
  for (let set = 0; set < sets; set++) {
    const held: number[][] = [];
    for (let rank = 0; rank < ranks; rank++) {
      const count = numbers[at];
      if (count === undefined || at + count >= numbers.length)
        throw new RangeError('packed map ends early');
      held.push(numbers.slice(at + 1, at + 1 + count));
      at += 1 + count;
    }
    map.push(held);
  }
  if (at !== numbers.length) throw new RangeError('packed map is too long');
  return map;
}

/** Choices in units of `scale`, so that each of them takes one byte. */
export interface PackedChoices {
  readonly scale: number;
  readonly packed: string;
}

/**
 * Units of the most frequent choice, so that each number takes one byte. One in
 * 127 is finer than the demand.
 */
const MAX_UNITS = 127;

/** Largest size of the choices of one rank, uncompressed, in bytes. */
const MAX_CHOICES_BYTES = 1_048_576;

export function packChoices(choices: readonly number[]): PackedChoices {
  const most = choices.reduce((max, n) => Math.max(max, n), 0);
  const scale = Math.max(1, most / MAX_UNITS);
  const bytes = numberBytes(choices.map(n => Math.round(n / scale)));
  const packed = deflateRawSync(bytes, {
    level: 1,
    strategy: constants.Z_HUFFMAN_ONLY,
  });
  return {scale, packed: packed.toString('base64')};
}

/** Throws an error if the text does not hold compressed whole numbers. */
export function unpackChoices({
  scale,
  packed,
}: PackedChoices): readonly number[] {
  const bytes = inflateRawSync(Buffer.from(packed, 'base64'), {
    maxOutputLength: MAX_CHOICES_BYTES,
  });
  return readNumbers(bytes).map(n => n * scale);
}
