/**
 * Endpoints that answer with bytes that are no valid answer, end to end over
 * loopback.
 *
 * Guards against an answer that ends the entry's process, and all requests in
 * progress with it, because it cannot be passed on to a caller.
 */
import {expect} from 'chai';
import * as fc from 'fast-check';
import {waitUntil} from '../standins/binaryprocess';
import {Reply, sendAsCaller} from '../standins/caller';
import {RawEndpoint, signedAnswer} from '../standins/rawendpoint';
import {StoreStandin} from '../standins/store';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';
const SUCCESS = 200;
const SEED = 38;
/** Answers that are sent at a time. */
const BATCH = 16;
const BATCHES = 40;

const ROUTES = [
  {name: 'check', kind: 'idempotent'},
  {name: 'order', kind: 'non_idempotent'},
  {name: 'draft', kind: 'streaming', 'stream-resume': true},
];

function configuration(): object {
  const routes = ROUTES.map(route => ({
    ...route,
    host: HOST,
    prefix: `/${route.name}/`,
    'timeout-ms': 1_000,
    'target-latency-ms': 400,
    service: 'desk',
    'max-attempts': 2,
    public: true,
  }));
  return {version: 1, routes, services: [{name: 'desk'}], limits: {}};
}

/** A byte of a line: any but the one that ends it. */
const lineByte = fc.oneof(
  {weight: 6, arbitrary: fc.integer({min: 0x20, max: 0x7e})},
  {weight: 1, arbitrary: fc.integer({min: 0, max: 0xff})},
);
const text = fc
  .array(lineByte, {maxLength: 12})
  .map(bytes => Buffer.from(bytes).toString('latin1'));

const status = fc.oneof(
  fc.integer({min: 0, max: 99}).map(n => String(n).padStart(3, '0')),
  fc.integer({min: 100, max: 999}).map(String),
  fc.constantFrom('200', '204', '304', '429', '503', '', '20', '2000', '-01'),
);

const statusLine = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.tuple(status, text).map(([s, t]) => `HTTP/1.1 ${s} ${t}`),
  },
  {
    weight: 1,
    arbitrary: fc
      .tuple(fc.constantFrom('HTTP/1.0', 'HTTP/2.0', 'HTTP/9.9', 'ICY'), status)
      .map(([version, s]) => `${version} ${s} OK`),
  },
  {weight: 1, arbitrary: text},
);

const headerName = fc.oneof(
  fc.constantFrom(
    '',
    ' ',
    'X',
    'Boragemill-Request-Id',
    'Connection',
    'Content-Length',
    'Content-Type',
    'Date',
    'Expect',
    'Keep-Alive',
    'Retry-After',
    'Server-Leaving',
    'Server-Limit',
    'Set-Cookie',
    'Trailer',
    'Transfer-Encoding',
    'Upgrade',
    '__proto__',
  ),
  text,
);
const headerValue = fc.oneof(
  fc.constantFrom('', '0', '4', '-1', '1e999', 'NaN', 'chunked', 'x'),
  text,
);
const headerLine = fc
  .tuple(headerName, fc.constantFrom(': ', ':', ' : ', ''), headerValue)
  .map(parts => parts.join(''));

interface SpoiledAnswer {
  readonly statusLine: string;
  readonly signed: boolean;
  readonly lines: readonly string[];
  readonly lineEnd: string;
  readonly body: string;
}

const spoiledAnswer: fc.Arbitrary<SpoiledAnswer> = fc.record({
  statusLine,
  signed: fc.boolean(),
  lines: fc.array(headerLine, {maxLength: 4}),
  lineEnd: fc.constantFrom('\r\n', '\r\n', '\r\n', '\n'),
  body: fc.oneof(
    fc.constantFrom('done', '4\r\ndone\r\n0\r\n\r\n', 'id: 1\ndata: x\n\n'),
    fc.constantFrom('4;x\r\ndone\r\n0\r\n: x\r\n\r\n', 'z\r\n', '-1\r\nx'),
    text,
  ),
});

function bytesOf(answer: SpoiledAnswer, id: string): Buffer {
  const {signed, lines, lineEnd, body} = answer;
  const head = [
    answer.statusLine,
    `Boragemill-Request-Id: ${id}`,
    ...(signed ? [`Boragemill-Response-Seal: s.${id}`] : []),
    ...lines,
    '',
    '',
  ];
  return Buffer.from(head.join(lineEnd) + body, 'latin1');
}

/** Answers that a check of their heads must not let through. */
const UNFIT_ANSWERS: Readonly<Record<string, Partial<SpoiledAnswer>>> = {
  'a status below 100': {statusLine: 'HTTP/1.1 000 OK'},
  'a status below 100 without a signature': {
    statusLine: 'HTTP/1.1 099 OK',
    signed: false,
  },
  'a status above 599': {statusLine: 'HTTP/1.1 999 OK'},
  'a header without a name': {lines: [': x', 'Content-Length: 4']},
};

describe('an endpoint that answers with bytes that are no answer', () => {
  const store = new StoreStandin();
  const endpoint = new RawEndpoint();
  const spoiled = new Map<string, SpoiledAnswer>();
  let entry: PlatformEntry;
  let requests = 0;

  async function send(
    path: string,
    answer?: SpoiledAnswer,
  ): Promise<Reply | undefined> {
    requests += 1;
    const id = `request-${requests}`;
    if (answer) spoiled.set(id, answer);
    return sendAsCaller({
      entry: entry.address,
      path: `/${path}/1`,
      body: 'x',
      headers: {
        Host: HOST,
        'Boragemill-Request-Id': id,
        'Boragemill-Deadline-Ms': '1000',
      },
    }).catch(() => undefined);
  }

  before(async () => {
    const address = await store.start();
    await endpoint.start();
    endpoint.answer = (id, socket) => {
      const answer = spoiled.get(id);
      if (answer) socket.end(bytesOf(answer, id));
      else socket.end(signedAnswer(id, 'done'));
    };
    store.put('op', 'config', configuration());
    store.put('servers', 'i-1', {
      service: 'desk',
      address: endpoint.address,
      zone: 'z1',
      slots: 64,
      state: 'ready',
    });
    [entry] = (await startEntries(1, address, {retryRatio: 8})) as [
      PlatformEntry,
    ];
    await waitUntil(
      async () => (await send('check'))?.status === SUCCESS,
      'the entry to serve',
    );
  });

  after(async () => {
    const stopped = entry.program.stop();
    store.stop();
    endpoint.stop();
    await stopped;
  });

  for (const [title, unfit] of Object.entries(UNFIT_ANSWERS)) {
    for (const {name} of ROUTES) {
      it(`answers a request on ${name} with a failure for ${title}`, async () => {
        const sound = {
          statusLine: 'HTTP/1.1 200 OK',
          signed: true,
          lines: ['Content-Length: 4'],
          lineEnd: '\r\n',
          body: 'done',
        };
        const reply = await send(name, {...sound, ...unfit});
        expect(reply?.status).to.equal(502);
        expect((await send('check'))?.status).to.equal(SUCCESS);
      });
    }
  }

  it('goes on serving whatever bytes it gets', async () => {
    const answers = fc.sample(spoiledAnswer, {
      seed: SEED,
      numRuns: BATCH * BATCHES,
    });
    for (let from = 0; from < answers.length; from += BATCH) {
      const batch = answers
        .slice(from, from + BATCH)
        .flatMap(answer => ROUTES.map(({name}) => send(name, answer)));
      const sound = send('check');
      for (const reply of await Promise.all(batch)) {
        const isSuccess = reply && reply.status < 300 && reply.whole;
        if (isSuccess)
          expect(reply.headers).to.have.property('boragemill-response-seal');
      }
      expect((await sound)?.status, 'status of a sound request').to.equal(
        SUCCESS,
      );
    }
  }).timeout(60_000);
});
