/**
 * Endpoints that say in an answer that they are about to end, or that they want
 * no requests for some time, end to end over loopback.
 *
 * Guards against requests that an entry sends to such an endpoint afterwards.
 */
import http from 'node:http';
import {expect} from 'chai';
import {waitUntil} from '../standins/binaryprocess';
import {Reply, sendAsCaller} from '../standins/caller';
import {
  answerWith,
  EndpointStandin,
  ReceivedRequest,
  RequestHandler,
  sealedHeaders,
} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';
const TIMEOUT_MS = 1_500;
const TARGET_LATENCY_MS = 400;

function route(name: string, kind: string, overrides: object = {}): object {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    'timeout-ms': TIMEOUT_MS,
    'target-latency-ms': TARGET_LATENCY_MS,
    priority: 1,
    service: 'desk',
    'max-attempts': 2,
    public: true,
    ...overrides,
  };
}

const CONFIGURATION = {
  version: 1,
  routes: [
    route('look', 'idempotent'),
    route('order', 'non_idempotent', {'max-attempts': 1}),
    route('draft', 'streaming'),
  ],
  services: [{name: 'desk', 'health-path': '/health'}],
  limits: {'max-body-bytes': 1_000, 'idle-timeout-ms': 15_000},
  tenants: [],
};

/** An entry reads changes of a table at most every 250 ms. */
const TABLE_READ_MS = 500;

const LEAVING = {'Server-Leaving': '1'};
const NOT_RUN = {'Boragemill-Not-Executed': '1'};

function answer(
  status: number,
  headers: http.OutgoingHttpHeaders,
  body = 'done',
): RequestHandler {
  return (arrival, res) => {
    res.writeHead(status, {...sealedHeaders(arrival), ...headers});
    res.end(body);
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}

describe('endpoint that answers that it', () => {
  const store = new StoreStandin();
  const [first, second] = [new EndpointStandin(), new EndpointStandin()];
  let address = '';
  let entries: readonly PlatformEntry[] = [];
  let requests = 0;
  /** Ids are new in each test, because an entry remembers them. */
  let tests = 0;
  let ids: readonly [string, string] = ['', ''];

  function send(path = '/look/1'): Promise<Reply> {
    requests += 1;
    return sendAsCaller({
      entry: entries[0]!.address,
      path,
      headers: {
        Host: HOST,
        'Boragemill-Request-Id': `request-${requests}`,
        'Boragemill-Deadline-Ms': String(TIMEOUT_MS),
      },
    });
  }

  async function sendMany(count: number, path?: string): Promise<void> {
    for (let i = 0; i < count; i++) await send(path);
  }

  /** Sends until the endpoint has received a request. */
  async function sendUntilReceived(
    endpoint: EndpointStandin,
    path?: string,
  ): Promise<Reply> {
    endpoint.receivedRequests.length = 0;
    for (let i = 0; i < 200; i++) {
      const reply = await send(path);
      if (endpoint.receivedRequests.length > 0) return reply;
      await sleep(10);
    }
    throw new Error('the endpoint gets no requests');
  }

  function register(endpoint: EndpointStandin, overrides: object = {}): void {
    const id = ids[endpoint === first ? 0 : 1];
    store.put('servers', id, {
      service: 'desk',
      address: endpoint.address,
      zone: 'z1',
      slots: 4,
      state: 'ready',
      born: 1_000,
      ...overrides,
    });
  }

  before(async () => {
    address = await store.start();
    store.put('op', 'config', CONFIGURATION);
    await Promise.all([first.start(), second.start()]);
    entries = await startEntries(1, address, {retryRatio: 4});
  });

  after(async () => {
    await Promise.all(entries.map(({program}) => program.stop()));
    store.stop();
    first.stop();
    second.stop();
  });

  beforeEach(async () => {
    tests += 1;
    ids = [`first-${tests}`, `second-${tests}`];
    first.handler = answerWith('first');
    second.handler = answerWith('second');
    register(first);
    register(second);
    await sendUntilReceived(first);
    await sendUntilReceived(second);
    first.receivedRequests.length = 0;
    second.receivedRequests.length = 0;
  });

  afterEach(async () => {
    // Draining endpoints are not used once their registration is gone.
    register(first, {state: 'draining'});
    register(second, {state: 'draining'});
    await waitUntil(
      async () => (await send()).status !== 200,
      'no endpoint to be known',
    );
    ids.forEach(id => store.put('servers', id, undefined));
  });

  describe('is leaving', () => {
    const answers: readonly [string, RequestHandler, string][] = [
      ['a success', answer(200, LEAVING), '/look/1'],
      [
        'the head of a stream',
        answer(200, LEAVING, 'id: 1\ndata: a\n\n'),
        '/draft/1',
      ],
      ['its own failure', answer(500, LEAVING), '/look/1'],
      ['a refusal', answer(503, {...LEAVING, ...NOT_RUN}), '/look/1'],
      [
        'a repeated header',
        answer(200, {'Server-Leaving': ['1', '1']}),
        '/look/1',
      ],
    ];
    for (const [name, handler, path] of answers) {
      it(`gets no new requests after it has said so on ${name}`, async () => {
        first.handler = handler;
        await sendUntilReceived(first, path);
        await sendMany(30, path);
        expect(first.receivedRequests).to.have.lengthOf(1);
      });
    }

    it('goes on with a stream that runs there', async () => {
      let finish = () => {};
      first.handler = (arrival, res) => {
        res.writeHead(200, {...sealedHeaders(arrival), ...LEAVING});
        res.write('id: 1\ndata: a\n\n');
        finish = () => res.end('id: 2\ndata: b\n\n');
      };
      second.handler = answerWith('id: 1\ndata: x\n\n');
      let reply: Promise<Reply> = Promise.reject(new Error('not sent'));
      reply.catch(() => undefined);
      for (let i = 0; i < 200 && first.receivedRequests.length === 0; i++) {
        reply = send('/draft/1');
        await sleep(20);
      }
      await sendMany(30);
      finish();
      const {body, whole, headers} = await reply;
      expect(body).to.equal('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
      expect(whole).to.equal(true);
      expect(headers['server-leaving']).to.equal('1');
      expect(first.receivedRequests).to.have.lengthOf(1);
    });

    it('is not used again for a registration of the same process', async () => {
      first.handler = answer(200, LEAVING);
      await sendUntilReceived(first);
      register(first, {slots: 5});
      await sleep(TABLE_READ_MS);
      await sendMany(30);
      store.put('servers', ids[0], undefined);
      await sleep(TABLE_READ_MS);
      register(first);
      await sleep(TABLE_READ_MS);
      await sendMany(30);
      expect(first.receivedRequests).to.have.lengthOf(1);
    });

    it('is used again once another process is registered under its id', async () => {
      first.handler = answer(200, LEAVING);
      await sendUntilReceived(first);
      first.handler = answerWith('first');
      register(first, {born: 2_000});
      await sendUntilReceived(first);
    });

    it('is used again by an entry that starts anew', async () => {
      first.handler = answer(200, LEAVING);
      await sendUntilReceived(first);
      first.handler = answerWith('first');
      const [started] = await startEntries(1, address, {retryRatio: 4});
      const earlier = entries;
      entries = [started!];
      await waitUntil(
        async () => (await send().catch(() => undefined))?.status === 200,
        'the entry to serve',
      );
      await sendUntilReceived(first);
      await earlier[0]!.program.stop();
    });

    it('is not used for lack of others, whose requests are refused at once', async () => {
      register(second, {state: 'draining'});
      first.handler = answer(503, {...LEAVING, ...NOT_RUN});
      await sleep(TABLE_READ_MS);
      first.receivedRequests.length = 0;
      await send();
      for (const path of ['/look/1', '/order/1', '/draft/1']) {
        const {status, headers, ms} = await send(path);
        expect(status).to.equal(503);
        expect(ms).to.be.below(100);
        expect(Number(headers['retry-after'])).to.be.within(0.3, 0.6);
        expect(headers).to.not.have.property('server-leaving');
      }
      // A registration that lapses is not used either.
      store.put('servers', ids[0], undefined);
      await sleep(TABLE_READ_MS);
      await sendMany(3);
      expect(first.receivedRequests).to.have.lengthOf(1);
    });

    it('gets no request that waits for it', async () => {
      register(second, {state: 'draining'});
      register(first, {slots: 1});
      await sleep(TABLE_READ_MS);
      first.receivedRequests.length = 0;
      first.handler = async (arrival, res) => {
        await sleep(100);
        await answer(200, LEAVING)(arrival, res);
      };
      const running = send();
      await sleep(30);
      const waiting = await send();
      expect((await running).status).to.equal(200);
      expect(waiting.status).to.equal(503);
      expect(waiting.ms).to.be.below(120);
      expect(first.receivedRequests).to.have.lengthOf(1);
    });

    it('is used on if another process or another request is answered so', async () => {
      const wrong: readonly RequestHandler[] = [
        answer(421, LEAVING),
        (arrival: ReceivedRequest, res) => {
          res.writeHead(200, {
            ...sealedHeaders(arrival),
            ...LEAVING,
            'Boragemill-Request-Id': 'another',
          });
          res.end();
        },
      ];
      for (const handler of wrong) {
        first.handler = handler;
        await sendUntilReceived(first);
        first.handler = answerWith('first');
        register(first, {slots: 5});
        await sendUntilReceived(first);
      }
    });
  });

  describe('wants no requests for some time', () => {
    function refusal(retryAfter: string): RequestHandler {
      return answer(503, {...NOT_RUN, 'Retry-After': retryAfter});
    }

    /** Sends for the given time; the second endpoint is free. */
    async function sendFor(ms: number): Promise<void> {
      const untilMs = Date.now() + ms;
      while (Date.now() < untilMs) {
        await send();
        await sleep(5);
      }
    }

    it('gets no requests until then, and is used afterwards', async () => {
      first.handler = refusal('2');
      await sendUntilReceived(first);
      await sendFor(1_900);
      expect(first.receivedRequests).to.have.lengthOf(1);
      first.handler = answerWith('first');
      await sleep(150);
      await sendUntilReceived(first);
    });

    it('gets no requests for a fraction of a second or until a date', async () => {
      const inTwoSeconds = () => new Date(Date.now() + 2_999).toUTCString();
      for (const [text, ms] of [
        ['0.4', 350],
        [inTwoSeconds(), 900],
        ['1000000000000', 500],
      ] as const) {
        first.handler = refusal(text);
        await sendUntilReceived(first);
        await sendFor(ms);
        expect(first.receivedRequests, text).to.have.lengthOf(1);
        if (text !== '0.4') {
          tests += 1;
          register(first, {born: 1_000 + tests});
        }
        first.handler = answerWith('first');
      }
      // Another process is registered, and nothing overflowed before.
      await sendUntilReceived(first);
    });

    for (const text of ['0', 'abc', '-1', '']) {
      it(`is used on if that time is "${text}"`, async () => {
        first.handler = refusal(text);
        await sendUntilReceived(first);
        await sendFor(500);
        expect(first.receivedRequests.length).to.be.above(2);
      });
    }

    it('gets two requests at most that were under way', async () => {
      const arrivals: number[] = [];
      let refusedMs = Infinity;
      first.handler = async (arrival, res) => {
        arrivals.push(Date.now());
        await sleep(20);
        refusedMs = Math.min(refusedMs, Date.now());
        await refusal('2')(arrival, res);
      };
      const replies: Promise<Reply>[] = [];
      const untilMs = Date.now() + 1_900;
      while (Date.now() < untilMs) {
        replies.push(send(), send(), send());
        await sleep(20);
      }
      await Promise.all(replies);
      const late = arrivals.filter(ms => ms > refusedMs + 500);
      expect(arrivals).to.not.have.lengthOf(0);
      expect(late).to.have.lengthOf.at.most(2);
    });

    it('is not used for lack of others, whose requests are told to return then', async () => {
      register(second, {state: 'draining'});
      await sleep(TABLE_READ_MS);
      first.receivedRequests.length = 0;
      first.handler = refusal('0.3');
      await send();
      for (const path of ['/look/1', '/order/1', '/draft/1']) {
        const {status, headers, ms} = await send(path);
        expect(status).to.equal(503);
        expect(ms).to.be.below(100);
        // The pause and up to half of it, less the time that has passed.
        expect(Number(headers['retry-after'])).to.be.within(0.15, 0.46);
      }
      expect(first.receivedRequests).to.have.lengthOf(1);
      first.handler = refusal('60');
      await sleep(300);
      await send();
      const {headers} = await send();
      // A third of the time that the caller has, or somewhat less.
      expect(Number(headers['retry-after'])).to.be.within(0.35, 0.51);
      expect(first.receivedRequests).to.have.lengthOf(2);
    });
  });
});
