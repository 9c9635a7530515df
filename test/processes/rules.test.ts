/**
 * Guards against an availability zone that receives new work after it was
 * taken out, and against two concurrent `apply` runs that both succeed.
 */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {rulesApply} from '../../src/cli/rules';
import {gatherReport, renderReport} from '../../src/cli/status';
import {loadOperatorSettings} from '../../src/cli/operator';
import {EXIT_CODES} from '../../src/kernel/errors';
import {HEAD_KEY, parseHeadRow} from '../../src/rules/publish';
import {Deployment, EntryProcess, keyHash} from '../../standins/deployment';
import {expectedAnswer, EngineStandin} from '../../standins/engine';
import {waitUntil} from '../../standins/binaryprocess';

const KEY = 'key-of-hydrotherm';
const RULES = [
  `account hydrotherm key=${keyHash(KEY)}  # Jana`,
  'model valve  # Jana',
];
const ZONES = ['sk-west-1', 'sk-west-2', 'sk-west-3'];
const OUT = 'sk-west-2';
const TOKENS = 60;
const EXIT_LIMIT_MS = 3_000;

/** Runs an action and returns what it wrote on both outputs. */
async function captureOutput(
  action: () => Promise<readonly number[]>,
): Promise<{readonly codes: readonly number[]; readonly text: string}> {
  const {stdout, stderr} = process;
  const writes = [stdout.write, stderr.write] as const;
  let text = '';
  const record = (chunk: unknown) => {
    text += String(chunk);
    return true;
  };
  [stdout.write, stderr.write] = [record, record];
  try {
    const codes = await action();
    return {codes, text};
  } finally {
    [stdout.write, stderr.write] = writes;
  }
}

describe('rules in a running deployment', () => {
  const deployment = new Deployment();
  const engines = new Map<string, EngineStandin>();
  const entries: EntryProcess[] = [];
  const failures: string[] = [];
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'boragemill-'));
  const settings = path.join(directory, 'operator.jsonc');
  let callers: Promise<void>[] = [];
  let answered = 0;
  let calling = true;

  function writeRules(name: string, ...lines: readonly string[]): string {
    const file = path.join(directory, name);
    fs.writeFileSync(file, [...lines, ''].join('\n'));
    return file;
  }

  function headVersion(): number {
    const value = deployment.platform.rows.get(HEAD_KEY)!.value;
    return parseHeadRow({key: HEAD_KEY, version: 1, value}).version;
  }

  async function sendRequest(url: string, n: number): Promise<void> {
    const prompt = `spec ${n}`;
    const json = {model: 'valve', prompt, max_tokens: TOKENS};
    const answer = await fetch(`${url}/v1/completions`, {
      method: 'POST',
      headers: {authorization: `Bearer ${KEY}`},
      body: JSON.stringify(json),
    });
    const body = await answer.text();
    if (answer.ok && body.includes(expectedAnswer(prompt, TOKENS)))
      answered += 1;
    else failures.push(`${answer.status} ${body.slice(0, 200)}`);
  }

  before(async () => {
    await deployment.start(RULES.join('\n') + '\n');
    const {platformUrl, peers} = deployment;
    const json = {platform: {url: platformUrl}, peers};
    fs.writeFileSync(settings, JSON.stringify(json));
    for (const zone of ZONES) {
      const engine = new EngineStandin({stepMs: 10, outputTokens: TOKENS});
      engines.set(zone, engine);
      const url = await engine.start();
      const place = {instance: `valve-${zone}`, zone, kind: 'model' as const};
      await deployment.addSidecar({...place, name: 'valve', url});
      entries.push(await deployment.addEntry(`entry-${zone}`, zone));
    }
    const ready = async () => {
      const probes = entries.map(e => fetch(`${e.url}/readyz`));
      return (await Promise.all(probes)).every(answer => answer.ok);
    };
    await waitUntil(ready, 'entries to be ready');
    const prompt = {model: 'valve', prompt: 'warm up', max_tokens: 1};
    const headers = {authorization: `Bearer ${KEY}`};
    const init = {method: 'POST', headers, body: JSON.stringify(prompt)};
    for (const {url} of entries) {
      await deployment.waitUntilReachable(url, '/v1/completions', init);
    }
  });

  after(async () => {
    calling = false;
    await Promise.all(callers);
    await deployment.stop();
    engines.forEach(engine => engine.stop());
    fs.rmSync(directory, {recursive: true, force: true});
  });

  it('takes a zone out within 3 s, finishes its work and brings it back', async () => {
    const engine = engines.get(OUT)!;
    callers = entries.flatMap(({url}) =>
      [1, 2].map(async n => {
        for (let i = 0; calling; i++) await sendRequest(url, n * 10_000 + i);
      }),
    );
    let acceptedMs = 0;
    let lastStartMs = 0;
    let lastStarted = 0;
    const before = headVersion();
    const sampling = setInterval(() => {
      if (acceptedMs === 0 && headVersion() > before) acceptedMs = Date.now();
      if (engine.requestsStarted > lastStarted) lastStartMs = Date.now();
      lastStarted = engine.requestsStarted;
    }, 5);
    await waitUntil(() => lastStarted > 20, 'work in the zone');
    const file = writeRules('out', ...RULES, `zone ${OUT} out  # Jana`);
    const {codes, text} = await captureOutput(async () => [
      await rulesApply({settings, file}),
    ]);
    await new Promise(done => setTimeout(done, 2 * EXIT_LIMIT_MS));
    clearInterval(sampling);
    expect(text).to.match(new RegExp(`zone ${OUT} is taken out`));
    expect(text).to.match(new RegExp(`zone ${OUT}: 2 of 2 instances`));
    expect(codes).to.deep.equal([EXIT_CODES.done]);
    expect(acceptedMs).to.be.above(0);
    expect(lastStartMs - acceptedMs).to.be.below(EXIT_LIMIT_MS);
    const report = renderReport(
      await gatherReport(loadOperatorSettings(settings)),
    );
    expect(report).to.match(new RegExp(`zone ${OUT}: out, version 2 in force`));
    expect(report).to.match(/zone sk-west-1: in, version 2 in force/);

    const count = engine.requestsStarted;
    const back = writeRules('in', ...RULES, `zone ${OUT} in  # Jana`);
    await captureOutput(async () => [await rulesApply({settings, file: back})]);
    await waitUntil(
      () => engine.requestsStarted > count,
      'new work in the zone',
    );
    expect(failures).to.deep.equal([]);
    expect(answered).to.be.above(50);
  }).timeout(60_000);

  it('accepts one of two concurrent applies and shows the other operator the difference', async () => {
    const header = `# boragemill rules version ${headVersion()}`;
    const files = ['a', 'b'].map(name =>
      writeRules(name, header, ...RULES, `account ${name} weight=2  # Peter`),
    );
    const {codes, text} = await captureOutput(() =>
      Promise.all(files.map(file => rulesApply({settings, file}))),
    );
    expect([...codes].sort()).to.deep.equal([
      EXIT_CODES.done,
      EXIT_CODES.conflict,
    ]);
    const [winner, loser] =
      codes[0] === EXIT_CODES.done ? ['a', 'b'] : ['b', 'a'];
    expect(text).to.match(new RegExp(`account ${winner} is added`));
    expect(text).to.match(new RegExp(`account ${loser} is removed`));
  }).timeout(30_000);

  it('brings a file into force that the platform accepted just before it failed', async () => {
    const file = writeRules('last', ...RULES, 'account last  # Peter');
    const before = headVersion();
    const sampling = setInterval(() => {
      if (headVersion() > before) deployment.platform.faults.down = true;
    }, 1);
    const {codes, text} = await captureOutput(async () => [
      await rulesApply({settings, file}),
    ]);
    clearInterval(sampling);
    deployment.platform.faults.down = false;
    expect(text).to.match(/sk-west-3: 2 of 2 instances confirmed/);
    expect(codes).to.deep.equal([EXIT_CODES.done]);
  }).timeout(30_000);
});
