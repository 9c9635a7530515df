/**
 * Instance records that are not valid in the platform's list.
 *
 * Guards against a process that stops following the list, and so opens no more
 * links, because of one record: nested, with a number too large or with a port
 * out of range.
 */
import http from 'node:http';
import net, {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {SidecarLinks} from '../src/entry/links';
import {systemClock} from '../src/kernel/clock';
import {PlatformDirectory} from '../src/membership/directory';
import {initialView, mergePlatformList} from '../src/membership/view';
import {Timeline} from '../src/observe/timeline';
import {createPlatformClient, InstanceRecord} from '../src/platform/client';
import {subsetOf} from '../src/routing/subset';
import {EntryHello} from '../src/wire/messages';
import {peerSettings} from '../standins/deployment';

const NESTING_DEPTH = 100_000;
/** Interval at which the list is read, and time in which a link is opened. */
const LIST_INTERVAL_MS = 20;
const LINK_TIMEOUT_MS = 150;
const NESTED = '['.repeat(NESTING_DEPTH) + ']'.repeat(NESTING_DEPTH);

function record(instance: string, address: string): InstanceRecord {
  return {
    instance,
    zone: 'z1',
    role: 'sidecar',
    address,
    state: 'live',
    targetKind: 'service',
    target: 'desk',
  };
}

function oddRecords(): readonly string[] {
  const valid = record('odd', '127.0.0.1:9');
  const odd = ['null', '5', '[]', '{}', NESTED];
  for (const field of Object.keys(valid)) {
    for (const json of ['null', '1e400', NESTED]) {
      const others = Object.entries({...valid, [field]: undefined});
      const fields = others.map(([name, value]) =>
        name === field
          ? `"${name}":${json}`
          : JSON.stringify({[name]: value}).slice(1, -1),
      );
      odd.push(`{${fields.join()}}`);
    }
  }
  for (const address of [
    '127.0.0.1:70000',
    '127.0.0.1:0',
    ':80',
    '',
    '127.0.0.1',
    'host:80',
    '127.0.0.1:80:9',
    '999.1.1.1:80',
  ]) {
    odd.push(JSON.stringify({...valid, address}));
  }
  return odd;
}

describe('instance record that is not valid', () => {
  let list = '[]';
  const server = http.createServer((req, res) => res.end(list));
  let url = '';

  before(async () => {
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  after(() => {
    server.close();
    server.closeAllConnections();
  });

  const client = () =>
    createPlatformClient({url, timeoutMs: 2_000}, () => undefined);

  it('is skipped: nested, number too large, port out of range', async () => {
    const valid = record('valid', '[::1]:8080');
    list = `[${[...oddRecords(), JSON.stringify(valid)].join()}]`;
    expect(await client().instances()).to.deep.equal([valid]);
    const view = mergePlatformList(
      initialView({...valid, instance: 'self'}, 1_000),
      (await client().instances()).map(r => ({...r, leaving: false})),
      0,
    );
    expect([...view.members.keys()]).to.deep.equal(['valid']);
  });

  it('does not keep an entry from linking to others', async () => {
    const failed: string[] = [];
    for (const odd of oddRecords()) {
      if (!(await linksBeside(odd))) failed.push(odd.slice(0, 100));
    }
    expect(failed).to.deep.equal([]);
  });

  /** Whether an entry links to a sidecar that is listed after an odd record. */
  async function linksBeside(odd: string): Promise<boolean> {
    const connections: net.Socket[] = [];
    const sidecar = net.createServer(socket => connections.push(socket));
    await new Promise<void>(done => sidecar.listen(0, '127.0.0.1', done));
    const address = `127.0.0.1:${(sidecar.address() as AddressInfo).port}`;
    const directory = new PlatformDirectory(
      client(),
      systemClock,
      () => undefined,
      LIST_INTERVAL_MS,
    );
    const links = new SidecarLinks(
      directory,
      peerSettings({}),
      systemClock,
      new Timeline(systemClock, {instance: 'e', zone: 'z1'}, 100),
      () => ({}) as EntryHello,
      sidecars => subsetOf('e', 'z1', sidecars),
    );
    list = `[${odd}]`;
    let started = true;
    await directory.start();
    await links.start().catch(() => (started = false));
    list = `[${odd},${JSON.stringify(record('s-1', address))}]`;
    await new Promise(done => setTimeout(done, LINK_TIMEOUT_MS));
    await directory.stop();
    await links.stop();
    sidecar.close();
    // An open connection would keep the test process from ending.
    connections.forEach(socket => socket.destroy());
    return started && connections.length > 0;
  }
});
