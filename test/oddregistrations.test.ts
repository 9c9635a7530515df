/**
 * Registrations that another writer left among those of the endpoints.
 *
 * Guards against processes that end, or stop following the table, because of
 * one registration that is not valid, and against requests that are sent to it.
 */
import http from 'node:http';
import {expect} from 'chai';
import * as z from 'zod';
import {parseEndpoint} from '../platform/endpoints';
import {Deployment} from '../platform/settings';
import {createStoreClient} from '../platform/store';
import {endpointTable} from '../platform/tables';
import {startAttempt} from '../src/gateway/upstream';
import {JsonClient} from '../src/kernel/jsonclient';
import {systemClock} from '../src/kernel/clock';
import {InputPace} from '../src/kernel/inputpace';
import {wirePlatformSidecar} from '../src/wiring-platform';
import {waitUntil} from '../standins/binaryprocess';
import {Reply, sendAsCaller} from '../standins/caller';
import {freePort} from '../standins/ports';
import {answerWith, EndpointStandin} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {
  PlatformEntry,
  startEntries,
  platformDeployment,
} from './platformentries';

const NESTING_DEPTH = 100_000;
/** A row of the store holds 64 KiB, and a read of the stand-in 4 MiB. */
const STORED_NESTING_DEPTH = 5_000;
const LONG_TEXT = 'x'.repeat(60_000);

const HOST = 'odd.example';

/** A valid registration as the endpoint writes it. */
const VALID: Readonly<Record<string, unknown>> = {
  service: 'desk',
  address: '127.0.0.1:8080',
  zone: 'z1',
  version: 1,
  slots: 4,
  state: 'ready',
  'cold-remaining-ms': 0,
  sequence: 3,
  born: 1_700_000_000_000,
};

/** The JSON text of a valid registration in which one field is replaced. */
function withField(field: string, json: string, base = VALID): string {
  const fields = Object.entries({...base, [field]: null}).map(
    ([name, value]) =>
      `${JSON.stringify(name)}:${name === field ? json : JSON.stringify(value)}`,
  );
  return `{${fields.join()}}`;
}

/** Registrations that are not valid, by what is wrong with them. */
function oddRegistrations(
  base = VALID,
  depth = STORED_NESTING_DEPTH,
): ReadonlyMap<string, string> {
  const nestedArrays = '['.repeat(depth) + ']'.repeat(depth);
  const nestedObjects = '{"a":'.repeat(depth) + '1' + '}'.repeat(depth);
  const odd = new Map<string, string>([
    ['nested array', nestedArrays],
    ['nested object', nestedObjects],
    ['empty text', ''],
    ['null', 'null'],
    ['bytes that are not JSON', '\u0000\u0001{'],
    ['long text that is not JSON', LONG_TEXT],
  ]);
  const replace = (name: string, field: string, json: string) =>
    odd.set(`${name} in ${field}`, withField(field, json, base));
  for (const field of Object.keys(VALID)) {
    replace('nested array', field, nestedArrays);
    replace('nested object', field, nestedObjects);
    replace('true', field, 'true');
  }
  for (const field of ['slots', 'cold-remaining-ms', 'sequence', 'born']) {
    for (const number of ['1e400', '1e308', '9007199254740992', '-1', '"5"']) {
      replace(`number ${number}`, field, number);
    }
  }
  for (const slots of ['1e15', '1.5', '0']) replace(slots, 'slots', slots);
  for (const address of [
    '127.0.0.1:70000',
    '127.0.0.1:65536',
    '127.0.0.1:0',
    '127.0.0.1:-5',
    '127.0.0.1:99999999999999999999',
    `127.0.0.1:${'1'.repeat(60_000)}`,
    '127.0.0.1:8080:9',
    '127.0.0.1:',
    '127.0.0.1',
    ':80',
    '',
    '999.1.1.1:80',
    '1.2.3:80',
    '...:80',
    '[::1]:80',
    '::1:80',
    'host.example:80',
    '127.0.0.1:80\n',
    LONG_TEXT,
  ]) {
    replace(address.slice(0, 32), 'address', JSON.stringify(address));
  }
  replace('unknown state', 'state', '"asleep"');
  replace('long text', 'service', JSON.stringify(LONG_TEXT));
  replace('long text', 'zone', JSON.stringify(LONG_TEXT));
  return odd;
}

/** Ids that cannot be sent in a header as they are. */
const ODD_IDS = [
  '',
  'i-a\r\nX-Own: 1',
  'i-\u0000',
  'i-\u0142',
  ' i-a',
  'i'.repeat(200),
];

describe('registration that is not valid', () => {
  it('names no endpoint: nested, number too large, port out of range', () => {
    const accepted: string[] = [];
    for (const [name, text] of oddRegistrations(VALID, NESTING_DEPTH)) {
      let value: unknown = text;
      try {
        value = JSON.parse(text);
      } catch {
        // The store's client leaves such a value as text.
      }
      try {
        parseEndpoint('i-odd', value);
        accepted.push(name);
      } catch (error) {
        expect(error, name).to.be.instanceOf(z.ZodError);
      }
    }
    for (const id of ODD_IDS) {
      try {
        parseEndpoint(id, VALID);
        accepted.push(`id ${JSON.stringify(id)}`);
      } catch (error) {
        expect(error).to.be.instanceOf(z.ZodError);
      }
    }
    expect(accepted).to.deep.equal([]);
  });

  it('does not keep the others in the same read from being decoded', async () => {
    const rows: object[] = [];
    const put = (key: string, bytes: Buffer) =>
      rows.push({key, value: bytes.toString('base64')});
    put('i-1', Buffer.from(JSON.stringify(VALID)));
    for (const [name, text] of oddRegistrations(VALID, NESTING_DEPTH))
      put(name, Buffer.from(text));
    // A text whose bytes are not UTF-8.
    const zone = JSON.stringify({...VALID, zone: 'z\u00ff'});
    put('i-bytes', Buffer.from(zone, 'latin1'));
    rows.push({key: 'i-without-value'}, {key: 'i-null-value', value: null});
    put('i-2', Buffer.from(JSON.stringify(VALID)));
    const caller = {
      call: async () => ({
        status: 200,
        headers: {},
        body: {rows, ver: 7, 'now-ms': 1},
      }),
    } as unknown as JsonClient;
    let skipped = 0;
    const table = endpointTable(
      createStoreClient('127.0.0.1:1', caller, systemClock, 800),
      () => (skipped += 1),
    );
    const {change, state} = await table.read();
    const usable = [...change]
      .filter(([, e]) => typeof e === 'object')
      .map(([id]) => id);
    expect(usable).to.deep.equal(['i-1', 'i-2']);
    expect(state.version).to.equal(7);
    expect(skipped).to.equal(rows.length - 2);
  });
});

describe('attempt that cannot be made', () => {
  // Node checks ports, paths and header values before it connects.
  const cases = {
    'port out of range': {address: '127.0.0.1:70000'},
    'header value': {headers: ['Boragemill-Expect-Instance', 'i\r\nX: 1']},
    path: {path: '/a b'},
  };
  for (const [name, target] of Object.entries(cases)) {
    it(`ends as not sent instead of throwing: ${name}`, async () => {
      const ends: unknown[] = [];
      const attempt = {
        address: '127.0.0.1:9',
        method: 'GET',
        path: '/',
        headers: [],
        body: undefined,
        ...target,
      };
      const unexpected = () => expect.fail('the endpoint answered');
      const start = () =>
        startAttempt(
          attempt,
          {
            head: unexpected,
            data: unexpected,
            end: unexpected,
            broken: (sent, reason) => ends.push({sent, known: reason !== ''}),
          },
          new InputPace(systemClock),
        );
      start();
      start().abort();
      expect(ends).to.deep.equal([]);
      await new Promise(done => setTimeout(done, 400));
      expect(ends).to.deep.equal([{sent: false, known: true}]);
    });
  }
});

/** Time in which an entry leaves an endpoint, of its settings. */
const DRAIN_MS = 2_000;

describe('registrations that are not valid in the store', () => {
  const store = new StoreStandin();
  const endpoint = new EndpointStandin();
  let storeAddress = '';
  let entry: PlatformEntry;
  let requests = 0;

  const registration = (address = endpoint.address) => ({...VALID, address});
  const register = () => store.put('servers', 'i-1', registration());

  function send(): Promise<Reply> {
    requests += 1;
    return sendAsCaller({
      entry: entry.address,
      path: '/look/1',
      headers: {
        Host: HOST,
        'Boragemill-Request-Id': `request-${requests}`,
        'Boragemill-Deadline-Ms': '2000',
      },
    });
  }

  async function waitForStatus(
    status: number,
    withinMs?: number,
  ): Promise<void> {
    await waitUntil(
      async () => (await send()).status === status,
      `status ${status}`,
      withinMs,
    );
  }

  function putOdd(address: string): void {
    const base = {...VALID, address};
    for (const [name, text] of oddRegistrations(base)) {
      store.put('servers', `i-odd ${name}`.slice(0, 200), text);
    }
    for (const id of ODD_IDS) store.put('servers', id, base);
  }

  before(async () => {
    storeAddress = await store.start();
    store.put('op', 'config', {
      version: 1,
      routes: [
        {
          name: 'look',
          host: HOST,
          prefix: '/look/',
          kind: 'idempotent',
          'timeout-ms': 2_000,
          service: 'desk',
          'max-attempts': 3,
        },
      ],
      services: [{name: 'desk'}],
      limits: {},
    });
    await endpoint.start();
    [entry] = (await startEntries(1, storeAddress, {
      drainMs: DRAIN_MS,
    })) as [PlatformEntry];
    register();
    await waitForStatus(200);
  });

  after(async () => {
    await entry.program.stop();
    endpoint.stop();
    store.stop();
  });

  it('do not end an entry, and get no request: nested, number too large, port out of range', async () => {
    const odd = new EndpointStandin();
    const second = new EndpointStandin(answerWith('second'));
    await odd.start();
    await second.start();
    putOdd(odd.address);
    // Changes that come after them are still followed.
    store.put('servers', 'i-2', registration(second.address));
    await waitUntil(
      async () => (await send()).body === 'second',
      'a request at the endpoint that registered last',
    );
    const replies = await Promise.all(Array.from({length: 200}, send));
    expect(odd.receivedRequests).to.deep.equal([]);
    expect(replies.map(r => r.status)).to.deep.equal(Array(200).fill(200));
    store.put('servers', 'i-2', undefined);
    odd.stop();
    second.stop();
  });

  it('do not end a sidecar, which goes on following the table', async () => {
    const peerPort = await freePort();
    let polls = 0;
    const peer = http.createServer((req, res) => {
      polls += 1;
      res.writeHead(503).end();
    });
    await new Promise<void>(done => peer.listen(peerPort, '127.0.0.2', done));
    const engine = new EndpointStandin((arrival, res) => {
      const report = {
        group: {name: 'g', epoch: 1, rank: 0, state: 'open'},
        size: 2,
        queued: 0,
        running: 0,
        step: 1,
      };
      res.end(JSON.stringify(report));
    });
    await engine.start();
    store.put('servers', 'i-engine', {
      ...registration(engine.address),
      service: 'model',
    });
    const deployment: Deployment = {
      ...platformDeployment('sidecar-1', storeAddress),
      peerPort,
      endpoint: engine.address,
      service: 'model',
    };
    const sidecar = wirePlatformSidecar(deployment);
    await sidecar.start();
    const base = {...VALID, service: 'model', address: '127.0.0.3:9'};
    for (const [name, text] of oddRegistrations(base)) {
      store.put('servers', `i-odd ${name}`.slice(0, 200), text);
    }
    store.put('servers', 'i-peer', {...base, address: '127.0.0.2:9'});
    await waitUntil(async () => polls > 0, 'the sidecar to poll its peer');
    await sidecar.stop();
    engine.stop();
    peer.close();
    peer.closeAllConnections();
  });

  it('take an endpoint out of use at once until it is valid again', async () => {
    await waitForStatus(200);
    store.put(
      'servers',
      'i-1',
      withField('address', '"127.0.0.1:70000"', registration()),
    );
    // The store sends the change at once; a watch that has just read another one
    // pauses for 250 ms. The bound is drain-ms, as for an endpoint that leaves.
    await waitForStatus(503, DRAIN_MS);
    const received = endpoint.receivedRequests.length;
    const replies = await Promise.all(Array.from({length: 20}, send));
    expect(endpoint.receivedRequests).to.have.length(received);
    expect(replies.map(r => r.status)).to.deep.equal(Array(20).fill(503));
    register();
    await waitForStatus(200);
  });
});
