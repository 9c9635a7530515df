/**
 * Requests and datagrams that are not valid, sent to the ports on which the
 * platform's programs speak to each other.
 *
 * Guards against a message that ends the process that receives it, whoever has
 * sent it, and against a message without an end that fills its memory.
 */
import dgram from 'node:dgram';
import net from 'node:net';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {waitUntil} from '../standins/binaryprocess';
import {freePort} from '../standins/ports';
import {EndpointStandin} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {Program} from '../src/kernel/program';
import {wirePlatformSidecar} from '../src/wiring-platform';
import {
  PlatformEntry,
  platformDeployment,
  startEntries,
} from './platformentries';

const HOST = '127.0.0.1';
const SEED = 38;
const MESSAGES = 600;
/** Messages that are sent at a time. */
const BATCH = 40;

const text = fc
  .array(fc.integer({min: 0x21, max: 0xff}), {maxLength: 12})
  .map(bytes => Buffer.from(bytes).toString('latin1'));

const path = fc.oneof(
  fc.constantFrom('//', '///', '//[', '/\\', '/%', '/?', '*', 'http://[/', ':'),
  fc
    .tuple(fc.constantFrom('/state', '/orders', '/maps', '/', '//state'), text)
    .map(parts => parts.join('?')),
  text.map(t => `/${t}`),
);

const request = fc
  .record({
    method: fc.constantFrom('GET', 'POST', 'PUT', 'HEAD', 'OPTIONS', 'CONNECT'),
    path,
    lines: fc.array(
      fc.constantFrom(
        'Transfer-Encoding: chunked',
        'Content-Length: 3',
        'Content-Length: -1',
        'Expect: 100-continue',
        'Expect: nothing',
        'Upgrade: x\r\nConnection: upgrade',
        ': x',
        'Host: [',
      ),
      {maxLength: 2},
    ),
    body: fc.oneof(
      fc.json(),
      fc.constantFrom('{"epoch":1', '3\r\n{}\r\n0'),
      text,
    ),
  })
  .map(({method, path, lines, body}) =>
    [`${method} ${path} HTTP/1.1`, ...lines, '', body].join('\r\n'),
  );

const number = fc.oneof(
  fc.nat(100),
  fc.constantFrom(-1, 0.5, 1e15, 1e300, '1', null),
);
const datagram = fc.oneof(
  fc
    .record(
      {
        kind: fc.constantFrom(
          'subscribe',
          'load',
          'limit',
          'gone',
          'heartbeat',
        ),
        slots: number,
        address: fc.oneof(fc.constantFrom('127.0.0.1:1', ':'), fc.string()),
        running: number,
        queued: number,
        group: fc.oneof(fc.constantFrom('g', '__proto__'), fc.string()),
        open: fc.oneof(fc.boolean(), number),
        pace: number,
        gateways: number,
        limitPerS: number,
        share: number,
        requestLimit: number,
        rank: number,
      },
      {requiredKeys: ['kind']},
    )
    .map(message => JSON.stringify(message)),
  fc.json(),
  fc.string(),
);

/** Sends bytes on a new connection; resolves when the peer has closed it. */
function sendBytes(port: number, bytes: string): Promise<string> {
  return new Promise(resolve => {
    const socket = net.connect({host: HOST, port});
    let answer = '';
    socket.on('data', chunk => (answer += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(answer));
    // Node keeps a connection open on which it waits for the rest of a request.
    socket.setTimeout(200, () => socket.destroy());
    socket.write(bytes, 'latin1');
  });
}

describe('messages that are not valid, to a program of the platform', () => {
  const store = new StoreStandin();
  const engine = new EndpointStandin((arrival, res) => {
    const group = {name: 'g', epoch: 1, rank: 0, state: 'open'};
    const report = {group, size: 2, queued: 0, running: 0, step: 1};
    const map = {version: 0, experts: [[0]]};
    res.end(JSON.stringify({...report, epoch: 1, counts: [1], map}));
  });
  const udp = dgram.createSocket('udp4');
  let sidecar: Program;
  let sidecarPort: number;
  let entry: PlatformEntry;

  async function expectSidecarServes(): Promise<void> {
    const answer = await sendBytes(
      sidecarPort,
      'GET /state HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n',
    );
    // A rank whose engine reports no experts answers 503.
    expect(answer).to.match(/^HTTP\/1.1 (200|503)/);
  }

  before(async () => {
    const address = await store.start();
    await engine.start();
    store.put('op', 'config', {
      version: 1,
      routes: [],
      services: [{name: 'model'}],
      limits: {},
    });
    store.put('servers', 'i-1', {
      service: 'model',
      address: engine.address,
      zone: 'z1',
      slots: 4,
      state: 'ready',
    });
    sidecarPort = await freePort();
    sidecar = wirePlatformSidecar({
      ...platformDeployment('sidecar-1', address),
      peerPort: sidecarPort,
      endpoint: engine.address,
      service: 'model',
    });
    await sidecar.start();
    [entry] = (await startEntries(1, address)) as [PlatformEntry];
    await waitUntil(
      async () => engine.receivedRequests.length > 0,
      'the sidecar to read a report',
    );
  });

  after(async () => {
    const stopped = Promise.all([sidecar.stop(), entry.program.stop()]);
    store.stop();
    engine.stop();
    udp.close();
    await stopped;
  });

  for (const target of ['//', '//[', 'http://[/']) {
    it(`do not end a sidecar: a request for ${target}`, async () => {
      await sendBytes(sidecarPort, `GET ${target} HTTP/1.1\r\nHost: x\r\n\r\n`);
      await expectSidecarServes();
    });
  }

  it('do not end a sidecar: requests', async () => {
    const sent = fc.sample(request, {seed: SEED, numRuns: MESSAGES});
    for (let from = 0; from < sent.length; from += BATCH) {
      const batch = sent.slice(from, from + BATCH);
      await Promise.all(batch.map(bytes => sendBytes(sidecarPort, bytes)));
      await expectSidecarServes();
    }
  });

  it('do not end a sidecar: an order without an end', async () => {
    const socket = net.connect({host: HOST, port: sidecarPort});
    socket.on('error', () => undefined);
    const closed = new Promise(done => socket.once('close', done));
    socket.resume();
    socket.write(
      'POST /orders HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n',
    );
    const data = Buffer.alloc(65_536, 'x');
    let sent = 0;
    const write = (error?: Error | null) => {
      if (error || socket.destroyed || sent > 64 * 1_048_576) return;
      sent += data.length;
      socket.write(`${data.length.toString(16)}\r\n`);
      socket.write(data);
      socket.write('\r\n', write);
    };
    write();
    await closed;
    expect(sent).to.be.below(16 * 1_048_576);
    await expectSidecarServes();
  });

  it('do not end an entry or a sidecar: datagrams', async () => {
    const sent = fc.sample(datagram, {seed: SEED, numRuns: MESSAGES});
    for (const bytes of sent) {
      for (const port of [sidecarPort, entry.peerPort]) {
        await new Promise(done =>
          udp.send(Buffer.from(bytes), port, HOST, done),
        );
      }
    }
    await expectSidecarServes();
  });
});
