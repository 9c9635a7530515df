/**
 * A flood of subscriptions at a sidecar, over loopback.
 *
 * Guards against a sidecar that keeps, and sends reports to, any number of addresses
 * that have sent it a datagram, and against gateways that get no reports because of
 * them: without reports, they send requests to endpoints that have no free slot.
 */
import dgram from 'node:dgram';
import {once} from 'node:events';
import {expect} from 'chai';
import {VirtualClock} from '../bench/support/virtualclock';
import {LoadPublisher, LoadReport} from '../src/gateway/loadreports';
import {waitUntil} from '../standins/binaryprocess';
import {freePort} from '../standins/ports';

/** The limit that is stated for subscribers of a sidecar. */
const MOST_SUBSCRIBERS = 2_048;
const FLOOD = 3_000;
/** Sockets at a time, below the receive buffer of the sidecar. */
const BATCH = 40;
const SIDECAR = '127.0.0.9';
const LOAD = {
  address: '127.0.0.9:8000',
  running: 1,
  queued: 0,
  group: 'g',
  open: true,
  pace: 1,
};
const SUBSCRIPTION = JSON.stringify({kind: 'subscribe', slots: 8});

/** A gateway at its own address. */
class Gateway {
  readonly reports: LoadReport[] = [];
  private readonly socket = dgram.createSocket('udp4');

  constructor(private readonly sidecarPort: number) {
    this.socket.on('message', bytes =>
      this.reports.push(JSON.parse(bytes.toString())),
    );
  }

  async listen(host: string): Promise<void> {
    this.socket.bind(0, host);
    await once(this.socket, 'listening');
  }

  subscribe(): void {
    this.socket.send(SUBSCRIPTION, this.sidecarPort, SIDECAR);
  }

  close(): void {
    this.socket.close();
  }
}

describe('flood of subscriptions from many addresses', () => {
  const clock = new VirtualClock();
  let port: number;
  let publisher: LoadPublisher;
  let known: Gateway[];
  let dropped: number;

  before(async () => {
    port = await freePort();
    dropped = 0;
    publisher = new LoadPublisher({host: SIDECAR, port}, clock, (_, event) => {
      if (event === 'subscription dropped: too many') dropped += 1;
    });
    await publisher.start();
    known = [new Gateway(port), new Gateway(port)];
    for (const [i, gateway] of known.entries()) {
      await gateway.listen(`127.0.1.${i + 1}`);
      gateway.subscribe();
    }
    await waitUntil(() => publisher.subscriberCount === 2, 'two subscribers');
  });

  after(() => {
    known.forEach(gateway => gateway.close());
    publisher.stop();
  });

  /** Subscriptions from the addresses with these numbers. */
  async function flood(first: number, end: number): Promise<void> {
    for (let i = first; i < end; i += BATCH) {
      const taken = () => publisher.subscriberCount + dropped;
      const before = taken();
      const size = Math.min(BATCH, end - i);
      const gateways = Array.from({length: size}, () => new Gateway(port));
      for (const [j, gateway] of gateways.entries()) {
        const n = i + j;
        await gateway.listen(`127.1.${n >> 8}.${n & 255}`);
        gateway.subscribe();
      }
      await waitUntil(() => taken() >= before + size, `batch at ${i}`);
      gateways.forEach(gateway => gateway.close());
    }
  }

  /** Waits until every known gateway has the report. */
  async function publish(running: number): Promise<void> {
    publisher.publish({...LOAD, running});
    await waitUntil(
      () => known.every(({reports}) => reports.at(-1)?.running === running),
      `report ${running}`,
    );
  }

  it('leaves the number of subscribers at its bound', async () => {
    await flood(1, FLOOD + 1);
    expect(publisher.subscriberCount).to.equal(MOST_SUBSCRIBERS);
    expect(dropped).to.equal(FLOOD + known.length - MOST_SUBSCRIBERS);
  });

  it('leaves those who were there before it their reports', async () => {
    await publish(0);
    // Gateways subscribe every two seconds, and a subscription is kept for seven.
    for (let step = 1; step <= 6; step++) {
      clock.nowMs += 2_000;
      known.forEach(gateway => gateway.subscribe());
      await flood(FLOOD + step * BATCH, FLOOD + (step + 1) * BATCH);
      await publish(step);
      expect(publisher.subscriberCount).to.be.at.most(MOST_SUBSCRIBERS);
    }
    // Those of the flood have been dropped, except for the last ones.
    expect(publisher.subscriberCount).to.be.at.most(2 + 4 * BATCH);
  });
});
