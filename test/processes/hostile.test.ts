/**
 * Guards against unauthenticated peers and hostile callers: they must get a
 * clear error, learn nothing about other accounts and not delay other callers.
 */
import {execFile} from 'node:child_process';
import fs from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {promisify} from 'node:util';
import {expect} from 'chai';
import * as selfsigned from 'selfsigned';
import {PeerSettings} from '../../src/settings/schema';
import {fetchFactsJson} from '../../src/wire/client';
import {
  Deployment,
  EntryProcess,
  keyHash,
  peerSettings,
} from '../../standins/deployment';
import {BINARY} from '../../standins/binaryprocess';
import {ServiceStandin} from '../../standins/service';

const KEYS = {moss: 'key-of-moss', fredrikstad: 'key-of-fredrikstad'};
const RULES = [
  `account moss key=${keyHash(KEYS.moss)}  # Kari`,
  `account fredrikstad key=${keyHash(KEYS.fredrikstad)}  # Kari`,
  'service bookings non-idempotent=POST:/orders  # Kari',
].join('\n');
const ZONE = 'oslo-1';
const STOCK = '/services/bookings/stock/a';

function headers(key: string): Record<string, string> {
  return {
    authorization: `Bearer ${key}`,
    'content-type': 'application/json',
    'idempotency-key': 'k-1',
  };
}

interface StartedDeployment {
  readonly deployment: Deployment;
  readonly bookings: ServiceStandin;
  readonly entry: EntryProcess;
  readonly address: string;
}

async function startDeployment(
  peers?: PeerSettings,
): Promise<StartedDeployment> {
  const deployment = new Deployment(peers);
  const bookings = new ServiceStandin();
  await deployment.start(RULES);
  const url = await bookings.start();
  const place = {instance: 'bookings-1', zone: ZONE, url};
  const choice = {...place, kind: 'service' as const, name: 'bookings'};
  const sidecar = await deployment.addSidecar(choice);
  const entry = await deployment.addEntry('entry-1', ZONE);
  const get = {headers: headers(KEYS.moss)};
  await deployment.waitUntilReachable(entry.url, STOCK, get);
  const {grpc} = await sidecar.waitForPorts();
  return {deployment, bookings, entry, address: `127.0.0.1:${grpc}`};
}

async function rejectionOf(call: Promise<unknown>): Promise<string> {
  return call.then(
    () => 'answered',
    (error: unknown) => String(error),
  );
}

describe('hostile callers and peers', () => {
  let started: StartedDeployment;

  before(async () => {
    started = await startDeployment();
  });

  after(async () => {
    await started.deployment.stop();
    started.bookings.stop();
  });

  it('rejects a peer with a wrong key or none', async () => {
    const {address} = started;
    const wrong = peerSettings({sharedKey: 'some other shared key'});
    expect(await rejectionOf(fetchFactsJson(address, wrong))).to.match(
      /UNAUTHENTICATED/,
    );
    const none = peerSettings({});
    expect(await rejectionOf(fetchFactsJson(address, none))).to.match(
      /UNAUTHENTICATED/,
    );
  });

  it("does not give one account the answer recorded for another account's key", async () => {
    const {entry, bookings} = started;
    const book = async (key: string, reference: string) => {
      const answer = await fetch(`${entry.url}/services/bookings/orders`, {
        method: 'POST',
        headers: headers(key),
        body: JSON.stringify({reference}),
      });
      return ((await answer.json()) as {reference: string}).reference;
    };
    expect(await book(KEYS.moss, 'of moss')).to.equal('of moss');
    expect(await book(KEYS.fredrikstad, 'other')).to.equal('other');
    expect(bookings.executions.get('of moss')).to.equal(1);
    expect(bookings.executions.get('other')).to.equal(1);
  });

  it('refuses headers over 16 KiB', async () => {
    const {entry} = started;
    const more = {...headers(KEYS.moss), 'x-large': 'x'.repeat(20_000)};
    const answer = await fetch(entry.url + STOCK, {headers: more});
    expect(answer.status).to.equal(431);
  });

  it('closes connections that send headers slowly and serves others', async () => {
    const {entry} = started;
    const port = Number(new URL(entry.url).port);
    const slow = Array.from({length: 50}, () => {
      const socket = net.connect(port, '127.0.0.1');
      socket.write('GET / HTTP/1.1\r\nHost: a\r\n');
      socket.on('error', () => undefined);
      socket.resume();
      return new Promise<void>(done => socket.on('close', () => done()));
    });
    const get = {headers: headers(KEYS.moss)};
    const answer = await fetch(entry.url + STOCK, get);
    expect(answer.status).to.equal(200);
    await Promise.all(slow);
  }).timeout(20_000);
});

describe('processes that authenticate by certificates', () => {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'boragemill-'));
  let started: StartedDeployment;
  let peers: PeerSettings;

  before(async () => {
    const names = [{name: 'commonName', value: 'boragemill test'}];
    const ip = {name: 'subjectAltName', altNames: [{type: 7, ip: '127.0.0.1'}]};
    const basic = {name: 'basicConstraints', cA: true};
    const pems = selfsigned.generate(names, {
      keySize: 2048,
      algorithm: 'sha256',
      extensions: [basic, ip],
    });
    const write = (name: string, text: string) => {
      const file = path.join(directory, name);
      fs.writeFileSync(file, text);
      return file;
    };
    const certFile = write('cert.pem', pems.cert);
    const keyFile = write('key.pem', pems.private);
    peers = peerSettings({tls: {caFile: certFile, certFile, keyFile}});
    started = await startDeployment(peers);
  });

  after(async () => {
    await started.deployment.stop();
    started.bookings.stop();
    fs.rmSync(directory, {recursive: true, force: true});
  });

  it('serves requests, and answers operators who have a certificate', async () => {
    const facts = JSON.parse(await fetchFactsJson(started.address, peers)) as {
      instance: string;
    };
    expect(facts.instance).to.equal('bookings-1');
    const settings = {
      platform: {url: started.deployment.platformUrl},
      peers: {tls: peers.tls},
    };
    const file = path.join(directory, 'operator.jsonc');
    fs.writeFileSync(file, JSON.stringify(settings));
    const args = ['status', '--settings', file];
    const {stdout} = await promisify(execFile)(BINARY, args);
    expect(stdout).to.match(/bookings-1/);
    expect(stdout).to.match(/entry-1/);
    expect(started.entry.process.nonJsonLines).to.deep.equal([]);
  });

  it('does not talk to a peer without a certificate', async () => {
    const plain = peerSettings({sharedKey: 'some other shared key'});
    const answer = await rejectionOf(fetchFactsJson(started.address, plain));
    expect(answer).to.not.equal('answered');
  });
});
