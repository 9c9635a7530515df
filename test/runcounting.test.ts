/**
 * Which requests an entry counts as run, over loopback.
 *
 * Guards against accounts that are billed for requests that no endpoint ran, or
 * twice for one that was sent again, and against runs that are not billed because
 * their answer failed.
 */
import http from 'node:http';
import {expect} from 'chai';
import {parseConfiguration} from '../platform/configuration';
import {platformHeaders} from '../platform/headers';
import {InputPace} from '../src/kernel/inputpace';
import {CallerConnections} from '../src/gateway/callerconnections';
import {CallerServer} from '../src/gateway/callerserver';
import {Exchange} from '../src/gateway/exchange';
import {AnswerAccount, BodyAccount} from '../src/gateway/memoryaccounts';
import {readInstant, systemClock} from '../src/kernel/clock';
import {sendAsCaller} from '../standins/caller';
import {freePort} from '../standins/ports';
import {
  EndpointStandin,
  ReceivedRequest,
  refuseAsNotRun,
  sealedHeaders,
} from '../standins/endpoint';
import {createDispatcher, registeredEndpoint} from './deploymentmodel';

const HOST = 'desk.example';
/** Memory for bodies and for answers, far more than is used. */
const HELD_BYTES = 10_000_000;
/** A pass of the engine below, without other requests. */
const PASS_MS = 60;

function route(name: string, kind: string): object {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    'timeout-ms': 1_000,
    'target-latency-ms': 200,
    service: name === 'draft' ? 's' : 'plain',
    'max-attempts': 2,
    'stream-resume': true,
  };
}

const CONFIGURATION = parseConfiguration({
  version: 1,
  routes: [
    route('look', 'idempotent'),
    route('order', 'non_idempotent'),
    route('draft', 'streaming'),
  ],
  services: [
    {name: 'plain'},
    {
      name: 's',
      engine: {slots: 2, 'kv-cache-tokens': 1e6, stride: 3, step_ms: 20},
    },
  ],
  limits: {},
  tenants: [{name: 'hydrotherm', 'api-keys': ['key']}],
});

describe('requests that count as run', () => {
  const endpoint = new EndpointStandin();
  let runs: number[] = [];
  let caller: CallerServer;
  let entry = '';
  const dispatcher = createDispatcher({
    instance: 'entry-1',
    zone: 'z1',
    clock: systemClock,
    random: Math.random,
    onRun: (_, beganMs) => runs.push(beganMs),
  });

  before(async () => {
    await endpoint.start();
    entry = `127.0.0.1:${await freePort()}`;
    const ignore = () => undefined;
    const connections = new CallerConnections({
      clock: systemClock,
      log: ignore,
      limits: {connections: 100, descriptors: 200},
      countClosed: ignore,
      onSweep: ignore,
    });
    const answers = new AnswerAccount(HELD_BYTES);
    caller = new CallerServer({
      headers: platformHeaders,
      clock: systemClock,
      log: ignore,
      limitedLog: ignore,
      connections,
      bodies: {
        memory: new BodyAccount(HELD_BYTES),
        pace: new InputPace(systemClock),
      },
      catalog: () => dispatcher.currentCatalog(),
      submit: incoming =>
        dispatcher.submit(
          new Exchange(incoming, dispatcher, {
            headers: platformHeaders,
            clock: systemClock,
            answers,
            pace: new InputPace(systemClock),
          }),
        ),
      countRefusal: () => undefined,
      maxConfigurationAgeMs: Infinity,
      configurationMs: 2_000,
      settleMs: 0,
      random: Math.random,
    });
    await caller.listen(entry);
    const change = {configuration: CONFIGURATION, zones: new Map()};
    dispatcher.handleOperatorChange(change, true, readInstant(systemClock));
    const registered = registeredEndpoint('e', 1, 'z1', 2);
    const {address} = endpoint;
    dispatcher.handleEndpointChange(
      new Map([
        ['e', {...registered, address}],
        ['p1', {...registered, id: 'p1', address, service: 'plain'}],
        ['p2', {...registered, id: 'p2', address, service: 'plain'}],
      ]),
      true,
    );
  });

  after(() => {
    caller.close();
    endpoint.stop();
  });

  beforeEach(() => {
    runs = [];
    requests = 0;
  });

  let requests = 0;
  const send = (path: string) =>
    sendAsCaller({
      entry,
      path,
      body: 'x',
      headers: {
        Host: HOST,
        'Api-Key': 'key',
        'Boragemill-Request-Id': `request-${(requests += 1)}`,
      },
    });
  const later = (ms: number) => new Promise(done => setTimeout(done, ms));

  it('count from the time at which a plain answer was begun', async () => {
    endpoint.handler = async (arrival, res) => {
      await later(150);
      res.writeHead(200, sealedHeaders(arrival));
      res.end('done');
    };
    const sentMs = systemClock.elapsedMs();
    await send('/order/1');
    expect(runs).to.have.length(1);
    expect(runs[0]! - sentMs).to.be.within(0, 100);
  });

  it('count a stream from one pass before its first event', async () => {
    let beganMs = 0;
    endpoint.handler = async (arrival, res) => {
      await later(100);
      beganMs = systemClock.elapsedMs();
      await later(PASS_MS);
      res.writeHead(200, sealedHeaders(arrival));
      res.end('id: 1\ndata: x\n\nid: 2\ndata: x\n\n');
    };
    await send('/draft/1');
    expect(runs).to.have.length(1);
    expect(runs[0]! - beganMs).to.be.within(-10, 100);
  });

  it('do not include those that endpoints refused', async () => {
    endpoint.handler = refuseAsNotRun;
    const reply = await send('/look/1');
    expect(reply.status).to.equal(503);
    expect(runs).to.deep.equal([]);
  });

  const breakOff = (arrival: ReceivedRequest, res: http.ServerResponse) => {
    res.writeHead(200, sealedHeaders(arrival));
    res.write('id: 1\ndata: x\n\n', () => setTimeout(() => res.destroy(), 20));
  };

  it('include once a stream that broke and was resumed', async () => {
    endpoint.handler = (arrival, res) => {
      if (arrival.headers['last-event-id'] === undefined)
        return breakOff(arrival, res);
      res.writeHead(200, sealedHeaders(arrival));
      res.end('id: 2\ndata: x\n\n');
    };
    await send('/draft/1');
    expect(runs).to.have.length(1);
  });

  it('include one whose answer was lost or failed, also if sent again', async () => {
    endpoint.handler = (_, res) => void res.destroy();
    await send('/order/1');
    expect(runs).to.have.length(1);
    endpoint.handler = (arrival, res) => {
      res.writeHead(500, sealedHeaders(arrival));
      res.end();
    };
    await send('/look/1');
    expect(runs).to.have.length(2);
  });

  it('do not include a stream that broke before a pass could have begun it', async () => {
    endpoint.handler = (arrival, res) => {
      setTimeout(() => res.destroy(), PASS_MS / 3);
      expect(arrival.path).to.equal('/draft/1');
    };
    await send('/draft/1');
    expect(runs).to.deep.equal([]);
  });
});
