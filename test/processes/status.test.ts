/**
 * Guards against a `status` that leaves out facts that the processes report, or
 * that does not exit as an operator's script expects.
 */
import {ChildProcess, execFile, spawn} from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import type {StatusReport} from '../../src/cli/status';
import {rowKey} from '../../src/claims/rows';
import {Deployment, EntryProcess, keyHash} from '../../standins/deployment';
import {EngineStandin} from '../../standins/engine';
import {BINARY, waitUntil} from '../../standins/binaryprocess';
import {RankGroup} from '../../standins/rankgroup';
import {WeightStoreStandin} from '../../standins/weightstore';
import {buildClaimRow} from '../claimrows';

const KEY = 'key-of-counter';
const RULES = [
  `account counter weight=3 key=${keyHash(KEY)}  # Peter`,
  'model draft  # Peter',
  'model valve  # Peter',
].join('\n');
const SHAPE = {layers: 2, ranks: 4, slotsPerRank: 5, experts: 16};
/** An age at which a claim counts as abandoned by its holder. */
const ABANDONED_AGE_MS = 120_000;

describe('status of the binary', () => {
  const deployment = new Deployment();
  const store = new WeightStoreStandin({bytesPerS: 1e9, expertBytes: 1e7});
  const group = new RankGroup({
    shape: SHAPE,
    endpoints: 1,
    stepMs: 10,
    checksFence: true,
  });
  const engine = new EngineStandin();
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'boragemill-'));
  const settingsFile = path.join(directory, 'operator.jsonc');
  const watchProcesses: ChildProcess[] = [];
  let entry: EntryProcess;

  function runStatus(...more: readonly string[]): Promise<string> {
    const args = ['status', '--settings', settingsFile, ...more];
    return new Promise((done, fail) => {
      execFile(BINARY, args, (error, out) => (error ? fail(error) : done(out)));
    });
  }

  async function readReport(): Promise<StatusReport> {
    return JSON.parse(await runStatus('--json')) as StatusReport;
  }

  before(async () => {
    await deployment.start(RULES);
    const weightStoreUrl = await store.start();
    const [rankUrl] = await group.start();
    const {ranks} = SHAPE;
    const zone = 'z1';
    const kind = 'model' as const;
    const place = {instance: 'valve-1', zone, kind, name: 'valve'};
    const members = {name: 'valve-a', index: 0, endpoints: 1, ranks};
    const groupSettings = {...members, leaseMs: 4_000, weightStoreUrl};
    await deployment.addSidecar({
      ...place,
      url: rankUrl!,
      group: groupSettings,
    });
    const url = await engine.start();
    const draft = {instance: 'draft-1', zone, kind, name: 'draft', url};
    await deployment.addSidecar(draft);
    entry = await deployment.addEntry('entry-1', zone);
    const {platformUrl, peers} = deployment;
    const operator = {platform: {url: platformUrl}, peers};
    fs.writeFileSync(settingsFile, JSON.stringify(operator));
    const body = {model: 'draft', prompt: 'note', max_tokens: 4};
    await deployment.waitUntilReachable(entry.url, '/v1/completions', {
      method: 'POST',
      headers: {authorization: `Bearer ${KEY}`},
      body: JSON.stringify(body),
    });
  });

  after(async () => {
    watchProcesses.forEach(child => child.kill('SIGKILL'));
    await deployment.stop();
    group.stop();
    engine.stop();
    store.stop();
    fs.rmSync(directory, {recursive: true, force: true});
  });

  it('shows the group and what each account received', async () => {
    let text = '';
    const isShown = async () => {
      text = await runStatus();
      return /group valve-a: skew \d/.test(text) && /account /.test(text);
    };
    await waitUntil(isShown, 'the group and the account in status');
    expect(text).to.match(
      /group valve-a: skew \d\.\d\d, map version [1-9]\d*, epoch [1-9]\d*, measured \d+\.\d s ago/,
    );
    expect(text).to.match(
      /account counter: 100\.0% served of a share of 100\.0% in the last minute/,
    );
  });

  it('shows the number of unresolved orders with the age of the number', async () => {
    const {rows} = deployment.platform;
    const key = rowKey({account: 'counter', service: 'orders', key: 'k'});
    const value = buildClaimRow({changedMs: Date.now() - ABANDONED_AGE_MS});
    rows.set(key, {version: 1, value});
    try {
      const {claims, atMs} = await readReport();
      expect(claims).to.deep.equal({atMs, unresolved: 1});
      const text = await runStatus();
      expect(text).to.match(/^platform reachable, 1 unresolved orders, read 0/);
      rows.set(key, {version: 2, value: 'no claim row'});
      expect(await runStatus()).to.match(/, unresolved orders unknown/);
    } finally {
      rows.delete(key);
    }
  });

  it('gives the same facts as JSON', async () => {
    const {platform, processes} = await readReport();
    expect(platform).to.equal('reachable');
    const names = processes.map(p => p.instance).sort();
    expect(names).to.deep.equal(['draft-1', 'entry-1', 'valve-1']);
    const groups = processes.flatMap(p => p.facts?.groups ?? []);
    expect(groups.map(g => g.group)).to.deep.equal(['valve-a']);
    const accounts = processes.flatMap(p => p.facts?.accounts ?? []);
    expect(accounts.map(a => a.account)).to.deep.equal(['counter']);
  });

  /** Starts `status --watch` into a pipe; `ended` resolves when it exits. */
  function watch(...more: readonly string[]) {
    const args = ['status', '--watch', '--settings', settingsFile, ...more];
    const stdio = ['ignore', 'pipe', 'pipe'] as ['ignore', 'pipe', 'pipe'];
    const child = spawn(BINARY, args, {stdio});
    watchProcesses.push(child);
    const seen = {text: '', errors: ''};
    child.stdout.on('data', data => (seen.text += String(data)));
    child.stderr.on('data', data => (seen.errors += String(data)));
    const ended = new Promise<readonly [number | null, string | null]>(done =>
      child.once('close', (code, signal) => done([code, signal])),
    );
    return {child, seen, ended};
  }

  it('appends reports to a pipe until SIGINT, which it answers with exit 0', async () => {
    const {child, seen, ended} = watch();
    const count = () => seen.text.split('platform reachable').length - 1;
    await waitUntil(() => count() >= 2, 'two reports');
    child.kill('SIGINT');
    expect(await ended).to.deep.equal([0, null]);
    expect(seen.errors).to.equal('');
    expect(seen.text).to.not.include('\u001b');
  });

  it('reads the claim rows once for several reports', async () => {
    const {child, seen, ended} = watch('--json');
    const lines = () => seen.text.split('\n').slice(0, -1);
    await waitUntil(() => lines().length >= 2, 'two lines of JSON');
    child.kill('SIGINT');
    expect(await ended).to.deep.equal([0, null]);
    const [first, second] = lines().map(l => JSON.parse(l) as StatusReport);
    expect(second!.atMs).to.be.above(first!.atMs);
    expect(second!.claims!.atMs).to.equal(first!.claims!.atMs);
  });
});
