/**
 * Log lines and metrics about the configuration that an entry holds.
 *
 * Guards against refusals of which nobody can tell afterwards whether they were
 * wrong, because the logs lack the version that decided, until when it was known to
 * be the newest, and the read that brought it.
 */
import {expect} from 'chai';
import {VirtualClock} from '../bench/support/virtualclock';
import {platformHeaders} from '../platform/headers';
import {CallerConnections} from '../src/gateway/callerconnections';
import {CallerServer} from '../src/gateway/callerserver';
import {RequestDispatcher} from '../src/gateway/dispatcher';
import {BodyAccount} from '../src/gateway/memoryaccounts';
import {Configuration} from '../src/gateway/model';
import {readInstant} from '../src/kernel/clock';
import {InputPace} from '../src/kernel/inputpace';
import {LogFields} from '../src/observe/log';
import {wirePlatformEntry} from '../src/wiring-platform';
import {waitUntil} from '../standins/binaryprocess';
import {sendAsCaller} from '../standins/caller';
import {freePort} from '../standins/ports';
import {StoreStandin} from '../standins/store';
import {createDispatcher, ROUTE} from './deploymentmodel';
import {platformDeployment} from './platformentries';

const HELD_BYTES = 1_000_000;

function configuration(version: number): Configuration {
  return {
    version,
    routes: [{...ROUTE, host: 'desk.example', prefix: '/look/', public: false}],
    services: [],
    requiresKeys: true,
    accounts: [],
    limits: {bodyBytes: 1_024, idleTimeoutMs: 1_000},
  };
}

describe('log of the configuration', () => {
  let clock: VirtualClock;
  let dispatcher: RequestDispatcher;
  let lines: (LogFields & {readonly event: string})[];
  const log = (_: string, event: string, fields?: LogFields) => {
    lines.push({event, ...fields});
  };

  beforeEach(() => {
    lines = [];
    clock = new VirtualClock();
    dispatcher = createDispatcher({
      instance: 'entry-1',
      zone: 'z1',
      clock,
      random: () => 0.5,
      log,
    });
  });

  /** Takes a configuration, or a change of something else, known to be current. */
  function read(
    version: number | undefined,
    {fullRead = false, ageMs = 0} = {},
  ): void {
    const {elapsedMs, wallMs} = readInstant(clock);
    dispatcher.handleOperatorChange(
      {
        configuration:
          version === undefined ? undefined : configuration(version),
        zones: new Map(),
      },
      fullRead,
      {elapsedMs: elapsedMs - ageMs, wallMs: wallMs - ageMs},
    );
  }

  it('has the version, the one before it, the read and its age', () => {
    read(4, {fullRead: true, ageMs: 20.4});
    clock.nowMs += 500;
    read(7, {ageMs: 130});
    const event = 'configuration applied';
    expect(lines).to.deep.equal([
      {event, version: 4, before: undefined, fullRead: true, ageMs: 20},
      {event, version: 7, before: 4, fullRead: false, ageMs: 130},
    ]);
  });

  it('tells that an older configuration was read and not applied', () => {
    read(7, {fullRead: true});
    lines = [];
    read(7, {fullRead: true});
    read(undefined);
    expect(lines).to.deep.equal([]);
    read(4, {fullRead: true});
    read(6);
    const event = 'older configuration in the store; keeping the newer one';
    expect(lines).to.deep.equal([
      {event, version: 4, held: 7, fullRead: true},
      {event, version: 6, held: 7, fullRead: false},
    ]);
    expect(dispatcher.currentCatalog().configuration?.version).to.equal(7);
  });

  describe('at a refusal', () => {
    let server: CallerServer;
    let entry: string;

    beforeEach(async () => {
      entry = `127.0.0.1:${await freePort()}`;
      const ignore = () => undefined;
      server = new CallerServer({
        headers: platformHeaders,
        clock,
        log,
        limitedLog: ignore,
        connections: new CallerConnections({
          clock,
          log: ignore,
          limits: {connections: 10, descriptors: 20},
          countClosed: ignore,
          onSweep: ignore,
        }),
        bodies: {
          memory: new BodyAccount(HELD_BYTES),
          pace: new InputPace(clock),
        },
        catalog: () => dispatcher.currentCatalog(),
        submit: () => expect.fail('the request was admitted'),
        countRefusal: ignore,
        maxConfigurationAgeMs: 5_000,
        configurationMs: 2_000,
        settleMs: 3_000,
        random: () => 0.5,
      });
      await server.listen(entry);
    });

    afterEach(() => server.close());

    /** The line of a request for `path`, which must be refused. */
    async function refusal(path: string): Promise<unknown> {
      lines = [];
      const headers = {
        Host: 'desk.example',
        'Api-Key': 'key',
        'Boragemill-Request-Id': 'request-1',
      };
      await sendAsCaller({entry, path, headers});
      expect(lines).to.have.length(1);
      return lines[0];
    }

    const refused = {event: 'refused', request: 'request-1'};

    it('has the version that decided and its age', async () => {
      read(4, {fullRead: true, ageMs: 30.4});
      clock.nowMs += 700;
      expect(await refusal('/nowhere/1')).to.deep.equal({
        ...refused,
        status: 404,
        reason: 'no such route',
        version: 4,
        ageMs: 730,
      });
      dispatcher.handleOperatorConfirmation(readInstant(clock));
      clock.nowMs += 10;
      expect(await refusal('/look/1')).to.deep.equal({
        ...refused,
        status: 401,
        reason: 'unknown key',
        version: 4,
        ageMs: 10,
      });
      clock.nowMs += 2_000;
      expect(await refusal('/nowhere/1')).to.deep.equal({
        ...refused,
        status: 503,
        reason: 'configuration may be old',
        version: 4,
        ageMs: 2_010,
      });
    });

    it('has neither before a configuration was read', async () => {
      expect(await refusal('/look/1')).to.deep.equal({
        ...refused,
        status: 503,
        reason: 'no configuration',
        version: undefined,
        ageMs: undefined,
      });
    });
  });
});

describe('metrics of the configuration', () => {
  it('count what reads of all rows and of changes brought', async () => {
    const store = new StoreStandin();
    const metricsPort = await freePort();
    const put = (version: number) =>
      store.put('op', 'config', {
        version,
        routes: [],
        services: [],
        limits: {},
        tenants: [],
      });
    const values = async () => {
      const response = await fetch(`http://127.0.0.1:${metricsPort}/metrics`);
      const text = await response.text();
      return text
        .split('\n')
        .filter(line => /^boragemill_configuration(_version|s_)/.test(line))
        .sort();
    };
    put(4);
    const entry = wirePlatformEntry({
      ...platformDeployment('entry-1', await store.start()),
      metricsPort,
      peerPort: await freePort(),
    });
    const version = async (wanted: number) =>
      (await values()).includes(`boragemill_configuration_version ${wanted}`);
    await entry.start();
    try {
      await waitUntil(() => version(4), 'version 4');
      put(5);
      await waitUntil(() => version(5), 'version 5');
      put(7);
      await waitUntil(() => version(7), 'version 7');
      expect(await values()).to.deep.equal([
        'boragemill_configuration_version 7',
        'boragemill_configurations_applied_total{read="changes"} 2',
        'boragemill_configurations_applied_total{read="full"} 1',
      ]);
    } finally {
      store.stop();
      await entry.stop();
    }
  });
});
