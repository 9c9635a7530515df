/**
 * Endpoints whose answers break off before their body, end to end over loopback.
 *
 * Guards against a success with an empty or short body that looks complete, made
 * of an answer whose head was cut, or of a stream without an event.
 */
import net from 'node:net';
import {expect} from 'chai';
import {waitUntil} from '../standins/binaryprocess';
import {Reply, sendAsCaller} from '../standins/caller';
import {
  RawAnswer,
  RawEndpoint,
  signedAnswer,
  signedHead,
} from '../standins/rawendpoint';
import {StoreStandin} from '../standins/store';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';
const KEY = 'key-of-hydrotherm';
const SUCCESS = 200;
const FIRST_FAILURE = 400;
/** Requests that are sent at a time. */
const BATCH = 32;

const ROUTES = [
  {name: 'check', kind: 'idempotent'},
  {name: 'order', kind: 'non_idempotent'},
  {name: 'draft', kind: 'streaming', 'stream-resume': true},
  {name: 'note', kind: 'streaming'},
];

function configuration(): object {
  const routes = ROUTES.map(route => ({
    ...route,
    host: HOST,
    prefix: `/${route.name}/`,
    'timeout-ms': 4_000,
    'target-latency-ms': 400,
    priority: 1,
    service: 'desk',
    'max-attempts': 2,
    public: false,
  }));
  return {
    version: 1,
    routes,
    services: [{name: 'desk', 'health-path': '/health'}],
    limits: {'max-body-bytes': 1_000, 'idle-timeout-ms': 15_000},
    tenants: [{name: 'hydrotherm', 'api-keys': [KEY], priority: 1}],
  };
}

const ENDS: Readonly<Record<string, (socket: net.Socket) => void>> = {
  closed: socket => socket.end(),
  reset: socket => socket.resetAndDestroy(),
};

/** Heads that break off at each of their bytes. */
const HEADS: Readonly<Record<string, (id: string) => string>> = {
  'a head with a length': id => signedHead(id, 'Content-Length: 4'),
  'a chunked head': id => signedHead(id, 'Transfer-Encoding: chunked'),
  'a head without a length': id => signedHead(id, 'Connection: close'),
  'a head after an interim answer': id =>
    'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n' +
    signedHead(id, 'Content-Length: 4'),
  'a head with a repeated header': id =>
    signedHead(id, 'X-Note: a', 'X-Note: b', 'Content-Length: 4'),
};

/** Complete answers without an event. */
const EMPTY_STREAMS: Readonly<Record<string, (id: string) => string>> = {
  'with a length': id => signedHead(id, 'Content-Length: 0'),
  'in chunks': id => signedHead(id, 'Transfer-Encoding: chunked') + '0\r\n\r\n',
  'without a length': id => signedHead(id, 'Connection: close'),
  'with a comment only': id => signedAnswer(id, ': begun\n\n'),
};

describe('an endpoint whose answer breaks off', () => {
  const store = new StoreStandin();
  const endpoints = [new RawEndpoint(), new RawEndpoint()];
  let entry: PlatformEntry;
  let requests = 0;

  function answerWith(answer: RawAnswer): void {
    for (const endpoint of endpoints) endpoint.answer = answer;
  }

  /** The status of the reply; undefined if there is no complete one. */
  async function send(route: string): Promise<number | undefined> {
    requests += 1;
    const reply: Reply | undefined = await sendAsCaller({
      entry: entry.address,
      path: `/${route}/1`,
      body: 'x',
      headers: {
        Host: HOST,
        'Api-Key': KEY,
        'Boragemill-Request-Id': `request-${requests}`,
        'Boragemill-Deadline-Ms': '3000',
      },
    }).catch(() => undefined);
    return reply?.whole ? reply.status : undefined;
  }

  before(async () => {
    const address = await store.start();
    for (const endpoint of endpoints) await endpoint.start();
    store.put('op', 'config', configuration());
    for (const [i, {address}] of endpoints.entries()) {
      const registration = {service: 'desk', address, zone: 'z1', slots: 64};
      store.put('servers', `i-${i}`, {...registration, state: 'ready'});
    }
    [entry] = (await startEntries(1, address, {retryRatio: 8})) as [
      PlatformEntry,
    ];
    await waitUntil(
      async () => (await send('check')) === SUCCESS,
      'the entry to serve',
    );
  });

  after(async () => {
    const stopped = entry.program.stop();
    store.stop();
    endpoints.forEach(endpoint => endpoint.stop());
    await stopped;
  });

  for (const {name: route} of ROUTES) {
    for (const [title, headOf] of Object.entries(HEADS)) {
      for (const [how, end] of Object.entries(ENDS)) {
        it(`gives no success on ${route} for ${title} that is ${how}`, async () => {
          const length = headOf('request-1000').length;
          const cuts = Array.from({length: length - 1}, (_, i) => i);
          for (let from = 0; from < cuts.length; from += BATCH) {
            const batch = cuts.slice(from, from + BATCH);
            const cutOf = new Map<string, number>();
            batch.forEach((at, i) =>
              cutOf.set(`request-${requests + 1 + i}`, at),
            );
            answerWith((id, socket) => {
              // Ids have different lengths, so that the cut counts from the end.
              const text = headOf(id);
              const at = text.length - (length - cutOf.get(id)!);
              socket.write(text.slice(0, Math.max(0, at)), () => end(socket));
            });
            const statuses = await Promise.all(batch.map(() => send(route)));
            for (const status of statuses)
              expect(status ?? FIRST_FAILURE).to.be.at.least(FIRST_FAILURE);
          }
        }).timeout(20_000);
      }
    }
  }

  for (const route of ['draft', 'note']) {
    for (const [title, answerOf] of Object.entries(EMPTY_STREAMS)) {
      it(`gives no success on ${route} for a stream without an event, ${title}`, async () => {
        answerWith((id, socket) => socket.end(answerOf(id)));
        expect((await send(route)) ?? FIRST_FAILURE).to.be.at.least(
          FIRST_FAILURE,
        );
      });
    }
  }
});
