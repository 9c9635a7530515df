/**
 * An entry of the platform that is stopped while callers still send to it.
 *
 * Guards against requests that are accepted during the stop although their answers
 * take longer than it lasts, and against requests whose connections are closed
 * without an answer when it ends.
 */
import {expect} from 'chai';
import {waitUntil} from '../standins/binaryprocess';
import {Reply, sendAsCaller} from '../standins/caller';
import {
  answerWith,
  EndpointStandin,
  RequestHandler,
  sealedHeaders,
} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';
const KEY = 'key-of-hydrotherm';
const GRACE_MS = 3_000;
const ANSWER_MS = 1_200;
/** In the stop, at a time when an answer can no longer be complete. */
const LATE_MS = 1_700;
/** Answers from which the entry learns how long they take. */
const LEARNED_ANSWERS = 8;

function configuration(): object {
  const route = (name: string, kind: string) => ({
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    'timeout-ms': 8_000,
    'target-latency-ms': 400,
    priority: 1,
    service: 'desk',
    'max-attempts': 2,
    public: false,
  });
  return {
    version: 1,
    routes: [route('quote', 'idempotent'), route('order', 'non_idempotent')],
    services: [{name: 'desk', 'health-path': '/health'}],
    limits: {'max-body-bytes': 1_000, 'idle-timeout-ms': 15_000},
    tenants: [{name: 'hydrotherm', 'api-keys': [KEY], priority: 1}],
  };
}

const answerSlowly: RequestHandler = (arrival, res) => {
  setTimeout(() => answerWith('done')(arrival, res), ANSWER_MS);
};

/** Answers whose head comes at once, and which are never complete. */
const answerWithoutEnd: RequestHandler = (arrival, res) => {
  res.writeHead(200, {...sealedHeaders(arrival), 'Content-Length': '100'});
  res.write('begun');
};

describe('an entry that is stopped', () => {
  const store = new StoreStandin();
  const endpoint = new EndpointStandin();
  let entry: PlatformEntry;
  let stopping: Promise<void> | undefined;
  let requests = 0;

  function send(path: string, deadlineMs = 8_000): Promise<Reply> {
    requests += 1;
    return sendAsCaller({
      entry: entry.address,
      path,
      body: 'x',
      headers: {
        Host: HOST,
        'Api-Key': KEY,
        'Boragemill-Request-Id': `request-${requests}`,
        'Boragemill-Deadline-Ms': String(deadlineMs),
      },
    });
  }

  /** Status of a reply if there is one when the entry has stopped. */
  async function statusAfterStop(
    reply: Promise<Reply>,
  ): Promise<number | undefined> {
    await stopping;
    const silent = new Promise<undefined>(done =>
      setTimeout(() => done(undefined), 50),
    );
    const settled = reply.then(
      ({status}) => status,
      () => undefined,
    );
    return Promise.race([settled, silent]);
  }

  beforeEach(async () => {
    const address = await store.start();
    await endpoint.start();
    store.put('op', 'config', configuration());
    store.put('servers', 'i-0', {
      service: 'desk',
      address: endpoint.address,
      zone: 'z1',
      slots: 64,
      state: 'ready',
    });
    [entry] = (await startEntries(1, address, {graceMs: GRACE_MS})) as [
      PlatformEntry,
    ];
    endpoint.handler = answerWith('done');
    await waitUntil(
      async () => (await send('/quote/1')).status === 200,
      'the entry to serve',
    );
    endpoint.receivedRequests.length = 0;
  });

  afterEach(async () => {
    await (stopping ?? entry.program.stop());
    stopping = undefined;
    store.stop();
    endpoint.stop();
  });

  for (const path of ['/quote/1', '/order/1']) {
    it(`does not begin ${path} if it cannot be answered in time`, async () => {
      endpoint.handler = answerSlowly;
      const learned = Array.from({length: LEARNED_ANSWERS}, () => send(path));
      for (const {status} of await Promise.all(learned))
        expect(status).to.equal(200);
      stopping = entry.program.stop();
      await new Promise(done => setTimeout(done, LATE_MS));
      endpoint.receivedRequests.length = 0;
      const reply = await send(path);
      expect(reply.status).to.equal(503);
      expect(reply.headers).to.have.property('retry-after');
      expect(endpoint.receivedRequests).to.have.length(0);
    }).timeout(15_000);

    it(`serves ${path} while it can be answered in time`, async () => {
      stopping = entry.program.stop();
      await new Promise(done => setTimeout(done, LATE_MS));
      expect(await send(path)).to.include({status: 200, whole: true});
    });

    it(`answers ${path} that does not end in time as of unknown outcome`, async () => {
      endpoint.handler = answerWithoutEnd;
      const reply = send(path);
      await waitUntil(
        () => endpoint.receivedRequests.length > 0,
        'the request to arrive',
      );
      stopping = entry.program.stop();
      expect(await statusAfterStop(reply)).to.equal(502);
    });
  }

  it('answers a request that still waits as not run', async () => {
    store.put('servers', 'i-0', {
      service: 'desk',
      address: endpoint.address,
      zone: 'z1',
      slots: 1,
      state: 'ready',
    });
    endpoint.handler = answerWithoutEnd;
    const running = send('/quote/1');
    await waitUntil(
      () => endpoint.receivedRequests.length > 0,
      'the request to arrive',
    );
    // Too little time is left for this caller to retry, so it waits.
    const waiting = send('/quote/1', 5_900);
    stopping = entry.program.stop();
    expect(await statusAfterStop(waiting)).to.equal(503);
    expect(await statusAfterStop(running)).to.equal(502);
  });
});
