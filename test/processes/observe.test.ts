/**
 * Guards what operators observe of running processes: metrics, exit codes and
 * the timeline.
 */
import {execFile} from 'node:child_process';
import dgram from 'node:dgram';
import fs from 'node:fs';
import {AddressInfo} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {Deployment, EntryProcess, keyHash} from '../../standins/deployment';
import {EngineStandin} from '../../standins/engine';
import {BINARY, waitUntil} from '../../standins/binaryprocess';

const KEY = 'key-of-steinsekk';
const RULES = [
  `account steinsekk key=${keyHash(KEY)}  # Kari`,
  'model draft  # Kari',
].join('\n');

interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

function runCommand(...args: string[]): Promise<CommandResult> {
  return new Promise(done => {
    execFile(BINARY, args, (error, stdout, stderr) => {
      const code = typeof error?.code === 'number' ? error.code : 0;
      done({code, stdout, stderr});
    });
  });
}

describe('observing a deployment', () => {
  const deployment = new Deployment();
  const engines = [new EngineStandin(), new EngineStandin()];
  let statsd: dgram.Socket;
  const metrics: string[] = [];
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'boragemill-'));
  const settingsFile = path.join(directory, 'operator.jsonc');
  let entry: EntryProcess;

  before(async () => {
    statsd = dgram.createSocket('udp4');
    statsd.on('message', message => metrics.push(message.toString()));
    await new Promise<void>(done => statsd.bind(0, '127.0.0.1', done));
    await deployment.start(RULES, (statsd.address() as AddressInfo).port);
    for (const [i, engine] of engines.entries()) {
      const url = await engine.start();
      const instance = `draft-${i + 1}`;
      const zone = `oslo-${i + 1}`;
      const place = {instance, zone, kind: 'model' as const, name: 'draft'};
      await deployment.addSidecar({...place, url});
    }
    await deployment.addEntry('entry-2', 'oslo-2');
    entry = await deployment.addEntry('entry-1', 'oslo-1');
    const settings = {
      platform: {url: deployment.platformUrl},
      peers: deployment.peers,
    };
    fs.writeFileSync(settingsFile, JSON.stringify(settings));
  });

  after(async () => {
    await deployment.stop();
    engines.forEach(engine => engine.stop());
    statsd.close();
    fs.rmSync(directory, {recursive: true, force: true});
  });

  it('merges the events of a request in causal order', async () => {
    const body = {model: 'draft', prompt: 'delivery note', max_tokens: 3};
    const init = {
      method: 'POST',
      headers: {authorization: `Bearer ${KEY}`},
      body: JSON.stringify(body),
    };
    await deployment.waitUntilReachable(entry.url, '/v1/completions', init);
    const answer = await fetch(`${entry.url}/v1/completions`, init);
    const request = answer.headers.get('boragemill-request-id')!;
    const run = await runCommand(
      'timeline',
      ...['--settings', settingsFile, '--format', 'json', '--request', request],
    );
    expect(run.code).to.equal(0);
    const events = run.stdout
      .trim()
      .split('\n')
      .map(line => JSON.parse(line) as {name: string; instance: string});
    const names = events.map(event => event.name);
    const order = ['received', 'start', 'run', 'answered', 'finished'];
    const places = order.map(name => names.indexOf(name));
    expect(places).to.deep.equal([...places].sort((a, b) => a - b));
    expect(places[0]).to.equal(0);
    expect(new Set(events.map(event => event.instance)).size).to.equal(2);
  });

  it('reads all four processes and draws a diagram of each request', async () => {
    const args = ['timeline', '--settings', settingsFile];
    const all = await runCommand(...args, '--format', 'text');
    expect(all.stderr).to.equal('');
    expect(all.stdout).to.match(/oslo-1 entry-1 .* received steinsekk draft/);
    const page = await runCommand(...args, '--format', 'html');
    expect(page.stdout).to.match(/<svg[^>]*>[\s\S]*<circle/);
  });

  it('sends statsd metrics to the address of the settings', async () => {
    const receivedMetrics = () => metrics.join('\n');
    await waitUntil(
      () => /boragemill\.entry\.request:\d+.*\|ms/.test(receivedMetrics()),
      'the metrics of a request',
    );
    expect(receivedMetrics()).to.match(/instance:entry-1/);
  });

  it('exits with 2 on wrong usage and prints one line for a wrong setting', async () => {
    const wrong = path.join(directory, 'wrong.jsonc');
    fs.writeFileSync(wrong, '{"platform": {"url": "x"}, "peers": {}}');
    const settings = await runCommand('timeline', '--settings', wrong);
    expect(settings.code).to.equal(2);
    expect(settings.stderr.trim()).to.match(
      /^\S+wrong\.jsonc:1: platform\.url/,
    );
    expect((await runCommand('timeline')).code).to.equal(2);
    expect((await runCommand('nonsense')).code).to.equal(2);
    expect((await runCommand('--help')).code).to.equal(0);
  });

  it('exits with 2 when the port is in use', async () => {
    const {grpc} = await entry.process.waitForPorts();
    const file = path.join(directory, 'second.jsonc');
    const text = fs
      .readFileSync(
        path.join(__dirname, '../../examples/sidecar.jsonc'),
        'utf8',
      )
      .replace('127.0.0.1:9090', `127.0.0.1:${grpc}`)
      .replace('http://127.0.0.1:7000', deployment.platformUrl);
    fs.writeFileSync(file, text);
    const run = await runCommand('sidecar', '--settings', file);
    expect(run.code).to.equal(2);
    expect(run.stderr).to.match(/listen: .*; free the port/);
    const checked = await runCommand('sidecar', '--settings', file, '--check');
    expect(checked.code).to.equal(0);
  });

  it('exits with 4 when the platform is unreachable', async () => {
    const file = path.join(directory, 'gone.jsonc');
    const settings = {platform: {url: 'http://127.0.0.1:9'}, peers: {}};
    fs.writeFileSync(file, JSON.stringify(settings));
    const run = await runCommand('timeline', '--settings', file);
    expect(run.code).to.equal(4);
  });
});
