/**
 * The duties' row in the real client of the store, and the platform's calls.
 *
 * Guards against a row that is replaced although another has written it, a call that
 * leaves after its lease has ended, and settings that enable duties by default.
 */
import net from 'node:net';
import {expect} from 'chai';
import {
  createCloudClient,
  createDutyTable,
  parseDutyRow,
} from '../platform/duties';
import {parseDeployment} from '../platform/settings';
import {createStoreClient} from '../platform/store';
import {leaseTimes} from '../src/duties/lease';
import {DutyMessage, Lease, LeaseTask} from '../src/duties/leasetask';
import {systemClock} from '../src/kernel/clock';
import {JsonClient} from '../src/kernel/jsonclient';
import {CloudStandin, oneViolations} from '../standins/cloud';
import {StoreStandin} from '../standins/store';

const LEASE_MS = 600;

function sleep(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}

async function until(condition: () => boolean): Promise<void> {
  const endMs = performance.now() + 20_000;
  while (!condition()) {
    expect(performance.now(), 'time for a condition').to.be.below(endMs);
    await sleep(20);
  }
}

function leaseOf(token: number, isValid: () => boolean): Lease {
  return {token, isValidFor: isValid};
}

describe('duty row in the store', function () {
  this.timeout(60_000);
  const store = new StoreStandin();
  const jsonClient = new JsonClient();
  let address: string;
  before(async () => (address = await store.start()));
  after(() => {
    jsonClient.close();
    store.stop();
  });

  it('is replaced only in the version that was read', async () => {
    const table = createDutyTable(
      createStoreClient(address, jsonClient, systemClock, 800),
    );
    const holder = {instance: 'a', process: 'p', address: '127.0.0.1:7000'};
    const row = {term: 1, holder, challenger: undefined};
    expect((await table.read()).changed?.row).to.equal(undefined);
    expect(await table.write(row, 0)).to.equal(true);
    expect(await table.write({...row, term: 2}, 0)).to.equal(false);
    const {changed, storeVersion} = await table.read();
    expect(changed?.row).to.deep.equal(row);
    store.put('op', 'other', {});
    expect((await table.poll(storeVersion, 50)).changed).to.equal(undefined);
    const poll = table.poll(storeVersion, 2_000);
    const challenged = {...row, challenger: 'q'};
    expect(await table.write(challenged, changed!.version)).to.equal(true);
    expect((await poll).changed?.row).to.deep.equal(challenged);
    expect(await table.write(row, changed!.version)).to.equal(false);
    store.put('duties', 'all', undefined);
    expect((await table.read()).changed).to.deep.equal({
      row: undefined,
      version: 0,
    });
  });

  it('passes from a holder that is cut off, and is not written in calm', async () => {
    const tasks: LeaseTask[] = [];
    const cut = new Set<number>();
    for (const i of [0, 1, 2]) {
      const client = createStoreClient(address, jsonClient, systemClock, 400);
      const table = createDutyTable(client);
      const refuseIfCut = () => {
        if (cut.has(i)) throw new Error('cut off');
      };
      const self = `127.0.0.1:${7_000 + i}`;
      tasks.push(
        new LeaseTask({
          duty: 'all',
          self: {instance: `i-${i}`, process: `p-${i}`, address: self},
          table: {
            read: async () => (refuseIfCut(), table.read()),
            poll: async (...poll) => (refuseIfCut(), table.poll(...poll)),
            write: async (...write) => (refuseIfCut(), table.write(...write)),
          },
          times: {...leaseTimes(LEASE_MS), silenceMs: 1_500},
          isCandidate: () => true,
          send(message: DutyMessage, to: string) {
            const j = Number(to.slice(-1));
            if (!cut.has(i) && !cut.has(j))
              setTimeout(() => tasks[j]!.handleMessage(message, self), 1);
          },
          count: () => undefined,
          clock: systemClock,
          log: () => undefined,
          random: Math.random,
        }),
      );
    }
    const holders = () => tasks.filter(t => t.current());
    for (const task of tasks) task.start();
    await until(() => holders().length > 0);
    const [first] = holders();
    const {token} = first!.current()!;
    const versionOf = async () =>
      (
        await createDutyTable(
          createStoreClient(address, jsonClient, systemClock, 400),
        ).read()
      ).changed!.version;
    await sleep(500);
    const version = await versionOf();
    await sleep(3_000);
    expect(await versionOf(), 'version of the row in calm').to.equal(version);
    cut.add(tasks.indexOf(first!));
    await until(() => first!.current() === undefined);
    await until(() => holders().length > 0);
    expect(holders()).to.have.length(1);
    expect(holders()[0]!.current()!.token).to.be.above(token);
    await Promise.all(tasks.map(t => t.stop()));
    expect(holders()).to.be.empty;
  });

  it('is not accepted with an address to which nothing can be sent', () => {
    const row = (address: string) => () =>
      parseDutyRow({holder: 'a', term: 1, state: {process: 'p', address}});
    expect(row('10.0.0.1:7000')).to.not.throw();
    for (const invalid of ['', '10.0.0.1', '10.0.0.1:0', '10.0.0.1:70000'])
      expect(row(invalid)).to.throw();
  });
});

describe('calls for duties', function () {
  this.timeout(20_000);
  const cloud = new CloudStandin();
  let address: string;
  before(async () => (address = await cloud.start()));
  after(() => cloud.stop());
  const counts = new Map([['a', 412]]);

  it('carry the holder and the token, and tell outcomes apart', async () => {
    const client = createCloudClient(address, 'i-1', systemClock);
    const lease = leaseOf(7, () => true);
    const report = {window: 353_445_120, counts};
    expect(await client.reportUsage(lease, report)).to.equal('accepted');
    const scale = {service: 's', zone: 'z', desired: 6};
    expect(await client.scale(lease, scale)).to.equal('accepted');
    expect(cloud.calls.map(c => [c.holder, c.token, c.subject])).to.deep.equal([
      ['i-1', 7, 'usage'],
      ['i-1', 7, 'scale/"s"/"z"'],
    ]);
    expect(cloud.calls[0]!.report).to.deep.equal({
      window: 353_445_120,
      counts: '{"a":412}',
    });
    cloud.enforcesFencing = true;
    const older = leaseOf(6, () => true);
    expect(await client.scale(older, scale)).to.equal('outdated');
    cloud.callsPerS = 0;
    expect(await client.scale(lease, scale)).to.equal('limited');
    cloud.callsPerS = 50;
    cloud.mode = 'busy';
    expect(await client.scale(lease, scale).catch(String)).to.match(/503/);
    cloud.mode = 'normal';
    expect(oneViolations(cloud.calls, 3_000)).to.deep.equal([]);
  });

  // A freeze between the check and the opening of the connection.
  it('are not sent if the lease ends before the connection is open', async () => {
    const client = createCloudClient(address, 'i-1', systemClock);
    const before = cloud.calls.length;
    let checks = 0;
    const lease = leaseOf(8, () => (checks += 1) === 1);
    const outcome = await client.scale(lease, {
      service: 's',
      zone: 'z',
      desired: 7,
    });
    expect(outcome).to.equal('unsent');
    await sleep(50);
    expect(cloud.calls.length).to.equal(before);
  });

  // A connection closed in order would deliver what is in its buffer later on.
  it('reset their connection when their time or lease is over', async () => {
    const errors: (string | undefined)[] = [];
    const server = net.createServer(socket => {
      socket.on('error', (error: NodeJS.ErrnoException) =>
        errors.push(error.code),
      );
      socket.on('end', () => errors.push('closed in order'));
      socket.resume();
    });
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    const {port} = server.address() as net.AddressInfo;
    const client = createCloudClient(`127.0.0.1:${port}`, 'i', systemClock);
    const scale = {service: 's', zone: 'z', desired: 7};
    const startMs = performance.now();
    const call = client.scale(
      leaseOf(1, () => true),
      scale,
    );
    expect(await call.catch(String)).to.match(/timed out/);
    expect(performance.now() - startMs).to.be.above(790);
    let isValid = true;
    setTimeout(() => (isValid = false), 100);
    const second = client.scale(
      leaseOf(1, () => isValid),
      scale,
    );
    expect(await second.catch(String)).to.match(/lease ended/);
    await until(() => errors.length === 2);
    expect(errors).to.deep.equal(['ECONNRESET', 'ECONNRESET']);
    server.close();
  });
});

describe('settings of duties', () => {
  const settings = {
    'node-name': 'i-1',
    ip: '10.0.0.1',
    zone: 'z',
    listen: {},
    'internal-ports': [7_000, 7_010],
    bounds: {'grace-s': 5},
    platform: {address: '10.0.0.2:1'},
  };

  it('leave duties out if there is no cloud', () => {
    expect(parseDeployment(JSON.stringify(settings)).cloud).to.equal(undefined);
  });

  it('have the defaults of the platform and skip unknown duties', () => {
    const cloud = {address: '10.0.0.3:1', duties: ['autoscale', 'other']};
    const text = JSON.stringify({...settings, cloud});
    expect(parseDeployment(text).cloud).to.deep.equal({
      address: '10.0.0.3:1',
      duties: ['autoscale'],
      callsPerS: 50,
      bounds: {
        leaseMs: 3_000,
        thawMs: 300,
        usageWindowMs: 5_000,
        usageTolerance: 0.05,
        usageLateMs: 10_000,
        enforcesFencing: false,
      },
    });
  });
});
