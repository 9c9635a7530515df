/**
 * Hybrid logical clock: time stamps that respect cause and effect.
 *
 * A stamp is wall time plus a counter. The receiver of a message moves its
 * clock past the sender's stamp, so an event sorts after the events that
 * caused it even if the wall clocks of the two processes differ.
 */
export interface Stamp {
  readonly wallMs: number;
  readonly counter: number;
}

export const zeroStamp: Stamp = {wallMs: 0, counter: 0};

/** The stamp of a local event or of a message to be sent. */
export function tick(last: Stamp, wallMs: number): Stamp {
  if (wallMs > last.wallMs) return {wallMs, counter: 0};
  return {wallMs: last.wallMs, counter: last.counter + 1};
}

/** The stamp of the receipt of a message that carries `remote`. */
export function receive(last: Stamp, remote: Stamp, wallMs: number): Stamp {
  const later = compare(last, remote) >= 0 ? last : remote;
  return tick(later, wallMs);
}

export function compare(a: Stamp, b: Stamp): number {
  return a.wallMs - b.wallMs || a.counter - b.counter;
}

const WALL_DIGITS = 9;
const COUNTER_DIGITS = 4;
const BASE = 36;

/** Text that sorts in the order of the stamps. */
export function format(stamp: Stamp): string {
  const wall = stamp.wallMs.toString(BASE).padStart(WALL_DIGITS, '0');
  const counter = stamp.counter.toString(BASE).padStart(COUNTER_DIGITS, '0');
  return `${wall}-${counter}`;
}

/** Parses the output of `format`; any other text gives the zero stamp. */
export function parse(text: string): Stamp {
  const [wall, counter] = text.split('-');
  if (!wall || !counter) return zeroStamp;
  const stamp = {
    wallMs: parseInt(wall, BASE),
    counter: parseInt(counter, BASE),
  };
  return Number.isNaN(stamp.wallMs + stamp.counter) ? zeroStamp : stamp;
}
