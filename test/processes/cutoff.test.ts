/**
 * Guards against a zone under `cutoff=stop` that takes new work while it
 * cannot learn that it was taken out, stops while it can, or aborts work that
 * is running; and against work that other zones send to a zone that was taken
 * out while it was cut off.
 */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {execFile} from 'node:child_process';
import {expect} from 'chai';
import {loadOperatorSettings} from '../../src/cli/operator';
import {gatherReport, renderReport} from '../../src/cli/status';
import {EXIT_CODES} from '../../src/kernel/errors';
import {Facts} from '../../src/observe/facts';
import {fetchFactsJson} from '../../src/wire/client';
import {Deployment, EntryProcess, keyHash} from '../../standins/deployment';
import {expectedAnswer, EngineStandin} from '../../standins/engine';
import {BINARY, waitUntil} from '../../standins/binaryprocess';

const KEY = 'key-of-moss';
const ZONES = ['oslo-1', 'oslo-2', 'oslo-3'] as const;
/** The shortest time that the rule permits. */
const CUTOFF_AFTER_MS = 5_000;
const STOP_RULE = `cutoff=stop after=${CUTOFF_AFTER_MS / 1_000}s  # Kari`;
const LONG_WAIT_RULES = [
  `account moss key=${keyHash(KEY)}  # Kari`,
  'model draft  # Kari',
  `zone ${ZONES[0]} ${STOP_RULE}`,
  `zone ${ZONES[1]} ${STOP_RULE}`,
];
// With a short queue wait, a request that no zone may take is refused soon. A
// request that a cut interrupts is not resumed either, because the cut is
// noticed only after that time.
const RULES = [...LONG_WAIT_RULES, 'budget queue wait=500ms  # Kari'];
const SHORT_TOKENS = 2;
/** About 20 s at 20 ms a step, longer than a cut-off zone takes to stop. */
const LONG_TOKENS = 1_000;
const STEP_MS = 20;
const EXIT_LIMIT_MS = 3_000;
const WAIT_LIMIT_MS = 30_000;
const HEARTBEAT_MS = 1_000;
/** A peer that was silent during a cut is tried again after up to 30 s. */
const RETRY_LIMIT_MS = 45_000;
const TIMEOUT_MS = 120_000;
const HEADERS = {authorization: `Bearer ${KEY}`};

interface Site {
  readonly zone: string;
  readonly engine: EngineStandin;
  readonly entry: EntryProcess;
}

interface CommandResult {
  readonly code: number;
  readonly text: string;
}

function draft({entry}: Site, prompt: string, tokens = SHORT_TOKENS) {
  const json = {model: 'draft', prompt, max_tokens: tokens};
  const init = {method: 'POST', headers: HEADERS, body: JSON.stringify(json)};
  return fetch(`${entry.url}/v1/completions`, init);
}

/**
 * Returns how a zone answers a short request. `unknown` is correct for a
 * request that was started in another zone just before a cut and cannot be
 * run again.
 */
async function probeOutcome(site: Site): Promise<string> {
  const answer = await draft(site, 'probe');
  const body = await answer.text();
  if (answer.ok) return 'served';
  const run = answer.headers.get('boragemill-run')!;
  expect([503, 504], body).to.include(answer.status);
  return run;
}

async function refusesNewWork(site: Site): Promise<boolean> {
  return (await probeOutcome(site)) === 'not-run';
}

describe('a zone that is cut off', () => {
  const deployment = new Deployment();
  const sites: Site[] = [];
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'boragemill-'));

  /** Writes settings for an operator who reaches what `zone` reaches. */
  function writeOperatorSettings(
    zone: string,
    ...seeds: readonly string[]
  ): string {
    const file = path.join(directory, `${zone}.jsonc`);
    const url = `${deployment.platformUrl}/zones/${zone}`;
    const peers = {...deployment.peers, seeds};
    fs.writeFileSync(file, JSON.stringify({platform: {url}, peers}));
    return file;
  }

  /** Cuts zones off from the platform and all others, not from each other. */
  function cutTogether(...zones: readonly string[]): void {
    for (const zone of zones) {
      deployment.platform.cutZones.add(zone);
      for (const other of ZONES.filter(z => !zones.includes(z))) {
        deployment.network.cut(zone, other);
      }
    }
  }

  async function factsOf({entry}: Site): Promise<Facts> {
    return JSON.parse(
      await fetchFactsJson(entry.address, deployment.peers),
    ) as Facts;
  }

  /** Whether an entry receives heartbeats directly from another zone. */
  async function hearsOthers(site: Site): Promise<boolean> {
    const {members, atMs} = await factsOf(site);
    return members!.some(
      m => m.zone !== site.zone && atMs - m.directMs < 2 * HEARTBEAT_MS,
    );
  }

  async function served(site: Site): Promise<boolean> {
    const before = site.engine.requestsStarted;
    const answer = await draft(site, `probe ${before}`);
    await answer.arrayBuffer();
    return answer.ok && site.engine.requestsStarted > before;
  }

  before(async () => {
    await deployment.start(RULES.join('\n'));
    for (const zone of ZONES) {
      const engine = new EngineStandin({
        stepMs: STEP_MS,
        warmSteps: 0,
        outputTokens: LONG_TOKENS,
      });
      const url = await engine.start();
      const place = {instance: `draft.${zone}`, zone, name: 'draft'};
      await deployment.addSidecar({...place, kind: 'model', url});
      const entry = await deployment.addEntry(`entry.${zone}`, zone);
      sites.push({zone, engine, entry});
    }
  });

  beforeEach(async () => {
    deployment.reconnectAll();
    deployment.publish(RULES.join('\n'));
    await deployment.waitUntilRulesApplied();
    for (const {entry} of sites) await deployment.linked(entry);
    for (const site of sites) {
      await waitUntil(() => served(site), `${site.zone} to serve`);
    }
  });

  after(async () => {
    await deployment.stop();
    sites.forEach(({engine}) => engine.stop());
    fs.rmSync(directory, {recursive: true, force: true});
  });

  it('continues when it is only cut off from the platform and other zones can read it', async () => {
    const [cut] = sites as [Site];
    await waitUntil(
      () => hearsOthers(cut),
      'heartbeats of other zones',
      RETRY_LIMIT_MS,
    );
    deployment.platform.cutZones.add(cut.zone);
    const end = Date.now() + 2 * CUTOFF_AFTER_MS;
    const confirmed = async () => {
      expect(await probeOutcome(cut)).to.equal('served');
      const {rules} = await factsOf(cut);
      expect(rules!.stoppedByCutoff).to.equal(false);
      return rules!.confirmedMs > end;
    };
    await waitUntil(
      confirmed,
      'a confirmation through other zones',
      WAIT_LIMIT_MS,
    );
  }).timeout(TIMEOUT_MS);

  it('stops new work, finishes running work, reports it, and serves again after the heal', async () => {
    const [cut] = sites as [Site];
    const others = ZONES.slice(1).map(z => `endpoint draft.${z} leaving  # K`);
    deployment.publish([...RULES, ...others].join('\n'));
    await deployment.waitUntilRulesApplied();
    const before = cut.engine.requestsStarted;
    let finished = false;
    const long = draft(cut, 'long note', LONG_TOKENS)
      .then(answer => answer.text())
      .finally(() => (finished = true));
    await waitUntil(
      () => cut.engine.requestsStarted > before,
      'the long note to start',
    );
    cutTogether(cut.zone);
    expect(await probeOutcome(cut), 'at once').to.not.equal('not-run');
    await waitUntil(
      () => refusesNewWork(cut),
      'the zone to stop',
      WAIT_LIMIT_MS,
    );
    expect(finished, 'finished before the zone stopped').to.equal(false);
    const started = cut.engine.requestsStarted;
    const operator = writeOperatorSettings(cut.zone, cut.entry.address);
    const status = renderReport(
      await gatherReport(loadOperatorSettings(operator)),
    );
    for (const name of [`draft.${cut.zone}`, `entry.${cut.zone}`]) {
      expect(status).to.match(new RegExp(`${name} .*stopped by the cut-off`));
    }
    expect(await long).to.include(expectedAnswer('long note', LONG_TOKENS));
    expect(cut.engine.requestsStarted).to.equal(started);
    deployment.reconnectAll();
    await waitUntil(
      () => served(cut),
      'the zone to serve again',
      WAIT_LIMIT_MS,
    );
    expect((await factsOf(cut)).rules!.stoppedByCutoff).to.equal(false);
  }).timeout(TIMEOUT_MS);

  it('stops together with another zone that is cut off with it', async () => {
    const [first, second, outside] = sites as [Site, Site, Site];
    cutTogether(first.zone, second.zone);
    const both = async () =>
      (await refusesNewWork(first)) && (await refusesNewWork(second));
    await waitUntil(both, 'both zones to stop', WAIT_LIMIT_MS);
    expect(await probeOutcome(outside)).to.equal('served');
    deployment.reconnectAll();
    for (const site of [first, second]) {
      await waitUntil(
        () => served(site),
        `${site.zone} to serve again`,
        WAIT_LIMIT_MS,
      );
    }
  }).timeout(TIMEOUT_MS);

  it('receives no work when it is taken out while cut off, and apply reports it as unconfirmed', async () => {
    const [cut, ...others] = sites as [Site, Site, Site];
    deployment.publish(LONG_WAIT_RULES.join('\n'));
    await deployment.waitUntilRulesApplied();
    const failures: string[] = [];
    let calling = true;
    let answered = 0;
    const callers = others.map(async (site, i) => {
      for (let n = 0; calling; n++) {
        const prompt = `${i} ${n}`;
        const answer = await draft(site, prompt);
        const body = await answer.text();
        if (body.includes(expectedAnswer(prompt, SHORT_TOKENS))) answered += 1;
        else failures.push(body);
      }
    });
    let acceptedMs = 0;
    let lateStarts = 0;
    let lastStarted = cut.engine.requestsStarted;
    const head = () => deployment.platform.rows.get('rules/head')!.version;
    const sampling = setInterval(() => {
      if (acceptedMs === 0 && head() > before) acceptedMs = Date.now();
      const since = acceptedMs === 0 ? 0 : Date.now() - acceptedMs;
      if (since > EXIT_LIMIT_MS)
        lateStarts += cut.engine.requestsStarted - lastStarted;
      lastStarted = cut.engine.requestsStarted;
    }, 5);
    const before = head();
    try {
      await waitUntil(() => answered > 10, 'answers in the other zones');
      cutTogether(cut.zone);
      const file = path.join(directory, 'out.rules');
      const rules = [...LONG_WAIT_RULES, `zone ${cut.zone} out  # Kari`];
      fs.writeFileSync(file, rules.join('\n'));
      const {code, text} = await apply(
        file,
        writeOperatorSettings(others[1].zone),
      );
      expect(code, text).to.equal(EXIT_CODES.unconfirmed);
      expect(text).to.include(`zone ${cut.zone}: 0 of 2 instances confirmed`);
      for (const name of [`draft.${cut.zone}`, `entry.${cut.zone}`]) {
        expect(text).to.match(
          new RegExp(`unconfirmed: ${name}: .*unconfirmed since 20\\d\\d-`),
        );
      }
      for (const {zone} of others) {
        expect(text).to.include(`zone ${zone}: 2 of 2 instances confirmed`);
      }
      const more = answered + 20;
      await waitUntil(() => answered > more, 'answers while the zone is out');
      deployment.reconnectAll();
      const out = async () => (await factsOf(cut)).rules!.version === head();
      await waitUntil(
        out,
        'the healed zone to learn of its exit',
        WAIT_LIMIT_MS,
      );
      const last = answered + 20;
      await waitUntil(() => answered > last, 'answers after the heal');
    } finally {
      calling = false;
      clearInterval(sampling);
      await Promise.all(callers);
      deployment.reconnectAll();
    }
    expect(failures).to.deep.equal([]);
    expect(lateStarts, 'requests started in the zone').to.equal(0);
  }).timeout(TIMEOUT_MS);

  function apply(file: string, settings: string): Promise<CommandResult> {
    const args = ['rules', 'apply', file, '--settings', settings];
    return new Promise(done => {
      execFile(
        BINARY,
        [...args, '--wait-ms', '1000'],
        (error, stdout, stderr) => {
          const code = typeof error?.code === 'number' ? error.code : 0;
          done({code, text: stdout + stderr});
        },
      );
    });
  }
});
