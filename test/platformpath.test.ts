/**
 * The platform's entry, end to end over loopback, against stand-ins for the
 * store, the operator, endpoints and callers.
 */
import http from 'node:http';
import net from 'node:net';
import {expect} from 'chai';
import {Deployment} from '../platform/settings';
import {Program} from '../src/kernel/program';
import {wirePlatformEntry} from '../src/wiring-platform';
import {waitUntil} from '../standins/binaryprocess';
import {Reply, sendAsCaller} from '../standins/caller';
import {freePort} from '../standins/ports';
import {
  answerWith,
  ReceivedRequest,
  refuseAsNotRun,
  EndpointStandin,
  sealedHeaders,
} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';

const HOST = 'desk.example';
const KEY = 'key-of-hydrotherm';

function route(name: string, kind: string, overrides: object = {}): object {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    'timeout-ms': 1_500,
    'target-latency-ms': 400,
    priority: 1,
    service: 'desk',
    'max-attempts': 2,
    public: false,
    ...overrides,
  };
}

function configuration(version: number, keys: readonly string[]): object {
  return {
    version,
    routes: [
      route('look', 'idempotent'),
      route('order', 'non_idempotent', {'max-attempts': 1}),
      route('draft', 'streaming', {'stream-resume': true}),
      route('open', 'idempotent', {public: true}),
      route('short', 'non_idempotent', {'timeout-ms': 250}),
    ],
    services: [{name: 'desk', 'health-path': '/health'}],
    limits: {'max-body-bytes': 1_000, 'idle-timeout-ms': 15_000},
    tenants: [{name: 'hydrotherm', 'api-keys': keys, priority: 1}],
  };
}

/** Status line and headers of an answer without a Content-Length. */
function headWithoutLength(arrival: ReceivedRequest): string {
  const headers = Object.entries(sealedHeaders(arrival))
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('');
  return `HTTP/1.1 200 OK\r\n${headers}\r\n`;
}

describe('entry on the platform', () => {
  const store = new StoreStandin();
  const first = new EndpointStandin();
  const second = new EndpointStandin();
  let entry: Program;
  let port = 0;
  let readinessPort = 0;
  let requests = 0;

  function register(id: string, address: string, overrides: object = {}): void {
    store.put('servers', id, {
      service: 'desk',
      address,
      zone: 'z1',
      slots: 4,
      state: 'ready',
      ...overrides,
    });
  }

  before(async () => {
    const address = await store.start();
    await first.start();
    await second.start();
    [port, readinessPort] = [await freePort(), await freePort()];
    const deployment: Deployment = {
      instance: 'entry-1',
      zone: 'z1',
      ip: '127.0.0.1',
      callers: `127.0.0.1:${port}`,
      readiness: `127.0.0.1:${readinessPort}`,
      peerPort: await freePort(),
      metricsPort: 0,
      endpoint: undefined,
      service: undefined,
      store: address,
      machine: {memoryBytes: 202_000_000, maxFds: 2_069},
      bounds: {
        graceMs: 4_000,
        drainMs: 2_000,
        configurationMs: 2_000,
        contactMs: 3_000,
        revokeMs: 2_900,
        failClosed: true,
        // The budget is tested in retrybudget.test.ts.
        retryRatio: 4,
        retryWindowMs: 10_000,
      },
    };
    entry = wirePlatformEntry(deployment);
    await entry.start();
  });

  after(() => {
    store.stop();
    first.stop();
    second.stop();
  });

  beforeEach(async () => {
    store.mode = 'normal';
    first.handler = answerWith('first');
    second.handler = answerWith('second');
    first.receivedRequests.length = 0;
    second.receivedRequests.length = 0;
  });

  function send(
    path: string,
    options: {
      readonly body?: string;
      readonly key?: string;
      readonly headers?: http.OutgoingHttpHeaders;
      readonly onSocket?: (socket: net.Socket) => void;
    } = {},
  ): Promise<Reply> {
    requests += 1;
    return sendAsCaller({
      entry: `127.0.0.1:${port}`,
      path,
      body: options.body,
      onSocket: options.onSocket,
      headers: {
        Host: HOST,
        'Api-Key': options.key ?? KEY,
        'Boragemill-Request-Id': `request-${requests}`,
        'Boragemill-Deadline-Ms': '3000',
        ...options.headers,
      },
    });
  }

  async function isReady(): Promise<boolean> {
    return new Promise(resolve => {
      http
        .get({host: '127.0.0.1', port: readinessPort, agent: false}, res => {
          res.resume();
          resolve(res.statusCode === 200);
        })
        .on('error', () => resolve(false));
    });
  }

  const arrivals = () => [
    ...first.receivedRequests,
    ...second.receivedRequests,
  ];

  it('is not ready and refuses with 503 before it has a configuration', async () => {
    const reply = await send('/look/1');
    expect(reply.status).to.equal(503);
    expect(Number(reply.headers['retry-after'])).to.be.above(0);
    expect(await isReady()).to.equal(false);
    store.put('op', 'config', configuration(3, [KEY]));
    register('i-1', first.address);
    register('i-2', second.address);
    await waitUntil(isReady, 'the entry to be ready');
    // Both endpoints are known, whichever polls have brought them.
    await waitUntil(async () => {
      await send('/look/1');
      return [first, second].every(e => e.receivedRequests.length > 0);
    }, 'requests at both endpoints');
  });

  it('skips table rows that are not valid', async () => {
    store.put('servers', 'i-odd', 'not JSON');
    store.put('servers', 'i-state', {service: 'desk', state: 'asleep'});
    store.put('op', 'config', {version: 'four'});
    const reply = await send('/look/1');
    expect(reply.status).to.equal(200);
  });

  it('forwards a request and its answer unchanged', async () => {
    const reply = await send('/order/7?x=1', {
      body: 'pallets',
      headers: {'Boragemill-Tenant': 'forged', 'X-Own': 'kept'},
    });
    expect(reply.status).to.equal(200);
    const [arrival] = arrivals();
    expect(reply.headers['boragemill-response-seal']).to.equal(
      `s.${arrival!.headers['boragemill-request-id']}`,
    );
    expect(arrival).to.include({
      method: 'POST',
      path: '/order/7?x=1',
      body: 'pallets',
    });
    const {headers} = arrival!;
    expect(headers['boragemill-tenant']).to.equal('hydrotherm');
    expect(headers['api-key']).to.equal(undefined);
    expect(headers['x-own']).to.equal('kept');
    expect(headers.host).to.equal(HOST);
    expect(headers['boragemill-expect-instance']).to.match(/^i-[12]$/);
    expect(Number(headers['boragemill-deadline-ms'])).to.be.within(
      1_000,
      1_500,
    );
  });

  it('answers 404, 401 and 413 without an endpoint', async () => {
    // The view of an entry that has just started may be of an older state.
    const isSettled = async () => (await send('/nowhere/1')).status !== 503;
    await waitUntil(isSettled, 'the view to settle');
    expect((await send('/nowhere/1')).status).to.equal(404);
    expect((await send('/look/1', {key: 'wrong'})).status).to.equal(401);
    expect((await send('/open/1', {key: 'wrong'})).status).to.equal(200);
    const large = await send('/order/1', {body: 'x'.repeat(1_001)});
    expect(large.status).to.equal(413);
  });

  it('retries a non-idempotent request only if it certainly did not run', async () => {
    first.handler = refuseAsNotRun;
    second.handler = answerWith('second');
    for (let i = 0; i < 6; i++) {
      const reply = await send('/order/1', {body: 'x'});
      expect(reply.body).to.equal('second');
    }
    // The connection breaks after the request arrived: it may have run.
    const broken = (a: unknown, res: http.ServerResponse) => {
      res.destroy();
    };
    [first.handler, second.handler] = [broken, broken];
    const before = arrivals().length;
    const reply = await send('/order/1', {body: 'x'});
    expect(reply.status).to.equal(502);
    expect(arrivals().length - before).to.equal(1);
  });

  it('retries a non-idempotent request if no connection opens', async () => {
    register('i-dead', '127.0.0.1:1');
    for (let i = 0; i < 8; i++) {
      expect((await send('/order/1', {body: 'x'})).status).to.equal(200);
    }
    store.put('servers', 'i-dead', undefined);
  });

  it('discards an answer to another request', async () => {
    first.handler = (a, res) => {
      res.writeHead(200, {
        ...sealedHeaders(a),
        'Boragemill-Request-Id': 'other',
      });
      res.end('foreign');
    };
    for (let i = 0; i < 6; i++) {
      const reply = await send('/look/1');
      expect(reply.body).to.equal('second');
    }
    second.handler = first.handler;
    expect((await send('/order/1', {body: 'x'})).status).to.equal(502);
  });

  // A faulty endpoint may send an earlier refusal again. Guards against telling
  // a caller that its request was not run, or running it again elsewhere,
  // because of a refusal that does not name the request.
  const foreignRefusals = [
    {title: 'names another request', status: 503, id: 'other'},
    {title: 'names no request', status: 503, id: undefined},
    {title: 'is a 429 to another request', status: 429, id: 'other'},
    {title: 'is a 421 to another request', status: 421, id: 'other'},
    {title: 'is a 421 that names no request', status: 421, id: undefined},
  ];
  for (const {title, status, id} of foreignRefusals) {
    it(`does not take a request as not run if the refusal ${title}`, async () => {
      const repeated = (a: ReceivedRequest, res: http.ServerResponse) => {
        const name = id === undefined ? '' : `Boragemill-Request-Id: ${id}\r\n`;
        res.socket!.write(
          `HTTP/1.1 ${status} Refused\r\n${name}` +
            'Boragemill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
        );
        // The endpoint runs the request nevertheless.
        void answerWith('run')(a, res);
      };
      [first.handler, second.handler] = [repeated, repeated];
      const reply = await send('/order/1', {body: 'x'});
      expect(arrivals()).to.have.length(1);
      expect(reply.status).to.equal(502);
    });
  }

  it('takes a request without an id as not run if it is refused without one', async () => {
    const refusal = (a: ReceivedRequest, res: http.ServerResponse) => {
      res.writeHead(400, {'Boragemill-Not-Executed': '1'});
      res.end();
    };
    [first.handler, second.handler] = [refusal, refusal];
    const reply = await send('/order/1', {
      body: 'x',
      headers: {'Boragemill-Request-Id': ''},
    });
    expect(reply.status).to.equal(503);
  });

  it('does not pass on an answer without a length that was reset', async () => {
    // Node counts such an answer as complete if the reset comes with its bytes.
    for (const delayMs of [0, 5, 30]) {
      const reset = (a: ReceivedRequest, res: http.ServerResponse) => {
        const {socket} = res;
        socket!.write(headWithoutLength(a) + 'half an ans');
        setTimeout(() => socket!.resetAndDestroy(), delayMs);
      };
      [first.handler, second.handler] = [reset, reset];
      for (let i = 0; i < 10; i++) {
        const reply = await send('/order/1', {body: 'x'});
        expect(reply.status).to.equal(502);
      }
    }
  });

  it('passes on an answer without a length that ends normally', async () => {
    const withoutLength = (a: ReceivedRequest, res: http.ServerResponse) => {
      const {socket} = res;
      socket!.end(headWithoutLength(a) + 'a whole answer');
    };
    [first.handler, second.handler] = [withoutLength, withoutLength];
    const reply = await send('/order/1', {body: 'x'});
    expect(reply).to.include({status: 200, body: 'a whole answer'});
  });

  it('retries an idempotent request once, then passes on the failure', async () => {
    const failing = (a: ReceivedRequest, res: http.ServerResponse) => {
      res.writeHead(500, sealedHeaders(a));
      res.end('no');
    };
    [first.handler, second.handler] = [failing, failing];
    const reply = await send('/look/1');
    expect(reply.status).to.equal(500);
    expect(arrivals()).to.have.length(2);
    expect(reply.headers['boragemill-response-seal']).to.match(/^s\./);
  });

  it('resumes a broken stream after its last complete event', async () => {
    const event = (id: number) => `id: ${id}\ndata: ${'x'.repeat(id)}\n\n`;
    const streaming = (a: ReceivedRequest, res: http.ServerResponse) => {
      const after = Number(a.headers['last-event-id'] ?? 0);
      res.writeHead(200, sealedHeaders(a));
      if (after === 0) {
        // The connection breaks within the third event.
        res.write(event(1) + event(2) + event(3).slice(0, 6), () =>
          setTimeout(() => res.destroy(), 20),
        );
        return;
      }
      res.end([3, 4].map(event).join(''));
    };
    [first.handler, second.handler] = [streaming, streaming];
    const reply = await send('/draft/1', {body: 'x'});
    expect(reply.body).to.equal([1, 2, 3, 4].map(event).join(''));
    expect(reply.whole).to.equal(true);
    expect(arrivals()).to.have.length(2);
    const seal = reply.headers['boragemill-response-seal'];
    expect(seal).to.match(/^s\./);
  });

  it('does not let a stream that ends early look complete', async () => {
    const cut = (a: ReceivedRequest, res: http.ServerResponse) => {
      res.writeHead(200, sealedHeaders(a));
      res.write('id: 1\ndata: x\n\nid: 2\nda', () =>
        setTimeout(() => res.destroy(), 20),
      );
    };
    [first.handler, second.handler] = [cut, cut];
    const reply = await send('/draft/1', {body: 'x'});
    expect(reply.whole).to.equal(false);
    expect(reply.body).to.equal('id: 1\ndata: x\n\n');
  });

  it('passes on a stream without a length that ends normally', async () => {
    const event = (id: number) => `id: ${id}\ndata: x\n\n`;
    const streaming = (a: ReceivedRequest, res: http.ServerResponse) => {
      const {socket} = res;
      socket!.write(headWithoutLength(a) + event(1));
      setTimeout(() => socket!.end(event(2)), 20);
    };
    [first.handler, second.handler] = [streaming, streaming];
    const reply = await send('/draft/1', {body: 'x'});
    expect(reply).to.include({status: 200, whole: true});
    expect(reply.body).to.equal(event(1) + event(2));
    expect(arrivals()).to.have.length(1);
  });

  it('resumes a stream without a length that ends within an event', async () => {
    const event = (id: number) => `id: ${id}\ndata: x\n\n`;
    const streaming = (a: ReceivedRequest, res: http.ServerResponse) => {
      const {socket} = res;
      const isResumed = a.headers['last-event-id'] === '1';
      const bytes = isResumed ? event(2) : event(1) + 'id: 2\nda';
      socket!.end(headWithoutLength(a) + bytes);
    };
    [first.handler, second.handler] = [streaming, streaming];
    const reply = await send('/draft/1', {body: 'x'});
    expect(reply).to.include({status: 200, whole: true});
    expect(reply.body).to.equal(event(1) + event(2));
  });

  it('does not let a stream without a length that ends within an event look complete', async () => {
    const cut = (a: ReceivedRequest, res: http.ServerResponse) => {
      res.socket!.end(headWithoutLength(a) + 'id: 1\ndata: x\n\nid: 2\nda');
    };
    [first.handler, second.handler] = [cut, cut];
    const reply = await send('/draft/1', {body: 'x'});
    expect(reply.whole).to.equal(false);
    expect(reply.body).to.equal('id: 1\ndata: x\n\n');
  });

  // Guards against memory without a limit and callers left to their deadline.
  const MAX_READ_BYTES = 16_777_216;
  const MAX_ANSWER_MS = 1_200;
  const sealed = (a: ReceivedRequest) => headWithoutLength(a);
  const cases = [
    {title: 'in a head', path: '/look/1', first: 'HTTP/1.1 200 OK\r\nX: '},
    {title: 'in a line', path: '/look/1', first: ''},
    {
      title: 'in interim answers',
      path: '/look/1',
      first: '',
      repeated: 'HTTP/1.1 102 Processing\r\n\r\n',
    },
    {title: 'in a body', path: '/look/1', first: sealed},
    {title: 'in an event of a stream', path: '/draft/1', first: sealed},
    {
      title: 'in a failed answer to a stream',
      path: '/draft/1',
      first: 'HTTP/1.1 500 Failed\r\n\r\n',
    },
  ];
  for (const {title, path, first: start, repeated = 'x'} of cases) {
    it(`ends an attempt whose bytes never end: ${title}`, async () => {
      const sockets: net.Socket[] = [];
      const chunk = Buffer.from(repeated.repeat(65_536 / repeated.length));
      const endless = (a: ReceivedRequest, res: http.ServerResponse) => {
        const socket = res.socket!;
        sockets.push(socket);
        const write = () => {
          while (!socket.destroyed && socket.write(chunk));
        };
        socket.on('drain', write);
        socket.write(typeof start === 'string' ? start : start(a));
        write();
      };
      [first.handler, second.handler] = [endless, endless];
      const reply = await send(path, {body: 'x'});
      expect(reply.status).to.equal(502);
      expect(reply.ms).to.be.below(MAX_ANSWER_MS);
      await waitUntil(
        () => sockets.every(s => s.destroyed),
        'the connections to be closed',
      );
      for (const {bytesWritten} of sockets) {
        expect(bytesWritten).to.be.below(MAX_READ_BYTES);
      }
    });
  }

  it('answers at the time limit of the route', async () => {
    const silent = () => undefined;
    [first.handler, second.handler] = [silent, silent];
    const reply = await send('/short/1', {body: 'x'});
    expect(reply.status).to.equal(504);
    expect(reply.ms).to.be.within(240, 700);
  });

  it('aborts the attempt when the caller disconnects', async () => {
    const silent = () => undefined;
    [first.handler, second.handler] = [silent, silent];
    let socket: net.Socket | undefined;
    const reply = send('/order/1', {
      body: 'x',
      onSocket: s => (socket = s),
    }).catch(() => undefined);
    await waitUntil(() => arrivals().length === 1, 'the request to arrive');
    socket!.destroy();
    await reply;
    await waitUntil(() => arrivals()[0]!.closed, 'the attempt to end');
  });

  it('goes on avoiding an endpoint when a caller leaves it unanswered', async () => {
    first.handler = ({path}, res) => {
      if (!path.includes('silent')) res.destroy();
    };
    let silent: net.Socket | undefined;
    const leaving: Promise<unknown>[] = [];
    while (first.receivedRequests.length === 0) {
      const before = arrivals().length;
      const left = send('/look/silent', {onSocket: s => (silent = s)});
      leaving.push(left.catch(() => undefined));
      // A second one must not reach the first endpoint.
      await waitUntil(
        () => arrivals().length > before,
        'the request to arrive',
      );
    }
    while (first.receivedRequests.length < 2) await send('/look/1');
    silent!.destroy();
    await waitUntil(
      () => first.receivedRequests[0]!.closed,
      'the attempt to end',
    );
    for (let i = 0; i < 8; i++) await send('/look/1');
    expect(first.receivedRequests).to.have.length(2);
    await Promise.all(leaving);
  });

  it('stops using draining endpoints and zones out of service', async () => {
    register('i-1', first.address, {state: 'draining'});
    await waitUntil(async () => {
      first.receivedRequests.length = 0;
      for (let i = 0; i < 5; i++) await send('/look/1');
      return first.receivedRequests.length === 0;
    }, 'the draining endpoint to get nothing');
    register('i-1', first.address, {zone: 'z2'});
    store.put('op', 'evacuate/z1', {});
    await waitUntil(
      async () => (await send('/look/1')).body === 'first',
      'the zone to get nothing',
    );
    store.put('op', 'evacuate/z1', undefined);
  });

  it('applies a newer configuration, and never an older one', async () => {
    store.put('op', 'config', configuration(8, ['key-2']));
    await waitUntil(
      async () => (await send('/look/1')).status === 401,
      'the key to be refused',
    );
    store.put('op', 'config', configuration(7, [KEY]));
    store.dropHistory();
    await waitUntil(async () => {
      const reply = await send('/look/1', {key: 'key-2'});
      return reply.status === 200;
    }, 'the new key to work');
    expect((await send('/look/1')).status).to.equal(401);
    store.put('op', 'config', configuration(9, [KEY]));
    await waitUntil(
      async () => (await send('/look/1')).status === 200,
      'the key to be back',
    );
  });

  it('refuses keys with 503 after the store has been silent too long', async () => {
    store.mode = 'silent';
    await waitUntil(
      async () => (await send('/look/1')).status === 503,
      'keys to be refused',
    );
    expect((await send('/open/1')).status).to.equal(200);
    expect(await isReady()).to.equal(false);
    store.mode = 'normal';
    await waitUntil(isReady, 'the store to answer again');
    expect((await send('/look/1')).status).to.equal(200);
  }).timeout(20_000);

  it('finishes running requests when it is stopped, and closes connections', async () => {
    const slow = (a: ReceivedRequest, res: http.ServerResponse) => {
      setTimeout(() => {
        res.writeHead(200, sealedHeaders(a));
        res.end('slow');
      }, 400);
    };
    [first.handler, second.handler] = [slow, slow];
    const running = send('/order/1', {body: 'x'});
    await waitUntil(() => arrivals().length === 1, 'the request to arrive');
    const stopped = entry.stop();
    expect(await isReady()).to.equal(false);
    const reply = await running;
    expect(reply.body).to.equal('slow');
    const after = await send('/look/1');
    expect(after.status).to.equal(200);
    expect(after.headers.connection).to.equal('close');
    await stopped;
  }).timeout(20_000);
});
