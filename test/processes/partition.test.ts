/**
 * Guards against a cut between availability zones, or from the platform, that
 * stops work which does not need the unreachable part.
 */
import {expect} from 'chai';
import {Deployment, EntryProcess, keyHash} from '../../standins/deployment';
import {expectedAnswer, EngineStandin} from '../../standins/engine';
import {waitUntil} from '../../standins/binaryprocess';
import {ServiceStandin} from '../../standins/service';

const KEY = 'key-of-moss';
const RULES = [
  `account moss key=${keyHash(KEY)}  # Kari`,
  'model draft  # Kari',
  'service bookings non-idempotent=POST:/orders  # Kari',
];
const ZONES = ['oslo-1', 'oslo-2'] as const;
const OUTPUT_TOKENS = 40;
/** About four seconds of streaming, longer than a rule change takes. */
const LONG_TOKENS = 1_000;
/** A request on a cut link waits at most for a failed keepalive (2 s + 2 s). */
const FIRST_ANSWER_MS = 6_000;
const HEADERS = {
  authorization: `Bearer ${KEY}`,
  'content-type': 'application/json',
};

interface Site {
  readonly engine: EngineStandin;
  readonly bookings: ServiceStandin;
  readonly entry: EntryProcess;
}

function draft(prompt: string, tokens = OUTPUT_TOKENS): RequestInit {
  const json = {model: 'draft', prompt, max_tokens: tokens};
  return {method: 'POST', headers: HEADERS, body: JSON.stringify(json)};
}

function book({entry}: Site, reference: string): Promise<Response> {
  return fetch(`${entry.url}/services/bookings/orders`, {
    method: 'POST',
    headers: {...HEADERS, 'idempotency-key': `key of ${reference}`},
    body: JSON.stringify({reference}),
  });
}

/** Sends a draft and returns the milliseconds until the complete answer. */
async function draftLatencyMs(
  {entry}: Site,
  prompt: string,
  tokens = OUTPUT_TOKENS,
): Promise<number> {
  const started = performance.now();
  const init = draft(prompt, tokens);
  const answer = await fetch(`${entry.url}/v1/completions`, init);
  const json = (await answer.json()) as {choices?: {text: string}[]};
  expect(json.choices?.[0]?.text, JSON.stringify(json)).to.equal(
    expectedAnswer(prompt, tokens),
  );
  return performance.now() - started;
}

describe('a cut between availability zones', () => {
  const deployment = new Deployment();
  const sites: Site[] = [];

  before(async () => {
    await deployment.start(RULES.join('\n'));
    for (const zone of ZONES) {
      const engine = new EngineStandin({
        warmSteps: 0,
        outputTokens: LONG_TOKENS,
      });
      const bookings = new ServiceStandin();
      const model = {instance: `draft.${zone}`, zone, name: 'draft'};
      const service = {instance: `bookings.${zone}`, zone, name: 'bookings'};
      const engineUrl = await engine.start();
      const serviceUrl = await bookings.start();
      await deployment.addSidecar({...model, kind: 'model', url: engineUrl});
      await deployment.addSidecar({
        ...service,
        kind: 'service',
        url: serviceUrl,
      });
      const entry = await deployment.addEntry(`entry.${zone}`, zone);
      sites.push({engine, bookings, entry});
    }
    const get = {headers: HEADERS};
    for (const {entry} of sites) {
      const {url} = entry;
      await deployment.waitUntilReachable(
        url,
        '/v1/completions',
        draft('first'),
      );
      await deployment.waitUntilReachable(
        url,
        '/services/bookings/stock/a',
        get,
      );
    }
  });

  // A test after a cut needs the links between the zones again, and must not
  // depend on the rules of a test that did not finish.
  beforeEach(async () => {
    deployment.reconnectAll();
    deployment.publish(RULES.join('\n'));
    await deployment.waitUntilRulesApplied();
    for (const {entry} of sites) await deployment.linked(entry);
  });

  after(async () => {
    await deployment.stop();
    for (const {engine, bookings} of sites) {
      engine.stop();
      bookings.stop();
    }
  });

  it('leaves each zone serving its own callers', async () => {
    deployment.isolateZone(ZONES[0]);
    for (const [i, site] of sites.entries()) {
      const first = await draftLatencyMs(site, `first ${i}`);
      expect(first).to.be.below(FIRST_ANSWER_MS);
      for (let n = 0; n < 10; n++)
        await draftLatencyMs(site, `zone ${i} note ${n}`);
    }
  });

  it('resumes a stream in its own zone when a cut interrupts it', async () => {
    const [own, other] = sites as [Site, Site];
    const leaving = `endpoint draft.${ZONES[0]} leaving  # Kari`;
    deployment.publish([...RULES, leaving].join('\n'));
    const startsRequestsAt = async ({engine}: Site) => {
      const before = engine.requestsStarted;
      await draftLatencyMs(own, `probe ${before}`);
      return engine.requestsStarted > before;
    };
    await deployment.waitUntilRulesApplied();
    const before = other.engine.requestsStarted;
    const long = draftLatencyMs(own, 'long note', LONG_TOKENS);
    await waitUntil(
      () => other.engine.requestsStarted > before,
      'the stream to start',
    );
    deployment.publish(RULES.join('\n'));
    await waitUntil(() => startsRequestsAt(own), 'the own endpoint to be back');
    const resumed = own.engine.requestsStarted;
    deployment.isolateZone(ZONES[0]);
    await long;
    expect(own.engine.requestsStarted).to.equal(resumed + 1);
  });

  it('refuses a booking of the cut-off zone as not run', async () => {
    deployment.isolateZone(ZONES[0]);
    const refused = await book(sites[0]!, 'cut-off');
    expect(refused.status).to.equal(503);
    expect(refused.headers.get('boragemill-run')).to.equal('not-run');
    const taken = await book(sites[1]!, 'other zone');
    expect(taken.status).to.equal(201);
    const runs = sites.map(({bookings}) => bookings.executions.get('cut-off'));
    expect(runs).to.deep.equal([undefined, undefined]);
  });

  it('serves callers while bytes pass in one direction only', async () => {
    deployment.network.cutOneWay(ZONES[0], ZONES[1]);
    for (const [i, site] of sites.entries()) {
      const first = await draftLatencyMs(site, `one way ${i}`);
      expect(first).to.be.below(FIRST_ANSWER_MS);
    }
  });

  it('serves model requests and refuses bookings while the platform is down', async () => {
    deployment.platform.faults.down = true;
    try {
      await draftLatencyMs(sites[0]!, 'platform down');
      const refused = await book(sites[1]!, 'platform down');
      expect(refused.status).to.equal(503);
      expect(refused.headers.get('retry-after')).to.not.equal(null);
      expect(refused.headers.get('boragemill-run')).to.equal('not-run');
    } finally {
      deployment.platform.faults.down = false;
    }
  });

  it('closes links to another region when the rules assign regions', async () => {
    const regions = ZONES.map(zone => `region r-${zone} zones=${zone}  # Kari`);
    deployment.publish([...RULES, ...regions].join('\n'));
    for (const [i, {entry}] of sites.entries()) {
      const zones = async () => {
        const {links} = await deployment.facts(entry.address);
        return new Set(links?.linked.map(({zone}) => zone));
      };
      const linkedToItselfOnly = async () => {
        const found = await zones();
        return found.size === 1 && found.has(ZONES[i]!);
      };
      await waitUntil(
        linkedToItselfOnly,
        `${ZONES[i]} to be linked to itself only`,
      );
      await draftLatencyMs(sites[i]!, `region ${i}`);
    }
  });

  it('puts the rule file in force in a cut-off zone after the heal', async () => {
    deployment.isolateZone(ZONES[0]);
    deployment.publish([...RULES, 'model note  # Kari'].join('\n'));
    const models = async ({entry}: Site) =>
      (await fetch(`${entry.url}/v1/models`, {headers: HEADERS})).text();
    const has = async (site: Site) => (await models(site)).includes('note');
    await waitUntil(
      () => has(sites[1]!),
      'the connected zone to have the rules',
    );
    expect(await has(sites[0]!)).to.equal(false);
    deployment.reconnectAll();
    await waitUntil(() => has(sites[0]!), 'the healed zone to have the rules');
  });
});
