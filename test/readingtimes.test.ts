/**
 * When what is read from a connection may have arrived.
 *
 * Guards against an end that is read late, because its caller reads slowly, and is
 * taken for one that came after a crash.
 */
import {expect} from 'chai';
import {VirtualClock} from '../bench/support/virtualclock';
import {ReadingTimes} from '../src/gateway/readingtimes';

describe('time since which input may have arrived', () => {
  const clock = new VirtualClock();
  const wait = (ms: number) => {
    clock.after(ms, () => undefined);
    return clock.run(clock.elapsedMs() + ms);
  };

  it('is now, or the beginning of a pause until it is caught up', async () => {
    const reading = new ReadingTimes(clock);
    await wait(1_000);
    expect(reading.arrivedSinceMs()).to.equal(clock.elapsedMs());
    const pausedMs = clock.elapsedMs();
    reading.pause();
    await wait(2_000);
    expect(reading.arrivedSinceMs()).to.equal(pausedMs);
    reading.resume();
    await wait(100);
    // The caller is full again before all has been read.
    reading.pause();
    await wait(2_000);
    reading.resume();
    await wait(100);
    expect(reading.arrivedSinceMs()).to.equal(pausedMs);
    await wait(300);
    expect(reading.arrivedSinceMs()).to.equal(clock.elapsedMs());
  });

  it('is that of the last arrival if the connection is closed here', async () => {
    // An attempt that hangs ends with its time limit, long after a crash.
    const reading = new ReadingTimes(clock);
    const beganMs = clock.elapsedMs();
    await wait(1_000);
    expect(reading.lastArrivalMs()).to.equal(beganMs);
    reading.recordArrival();
    await wait(1_000);
    expect(reading.lastArrivalMs()).to.equal(beganMs + 1_000);
  });
});
