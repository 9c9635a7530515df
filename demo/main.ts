/**
 * `npm run demo`: starts a deployment in two availability zones, sends real
 * requests and prints what each check saw. Exits with 0 if all checks passed.
 */
import {execFile} from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {Deployment, EntryProcess, keyHash} from '../standins/deployment';
import {expectedAnswer, EngineStandin} from '../standins/engine';
import {BINARY, waitUntil} from '../standins/binaryprocess';
import {ServiceStandin} from '../standins/service';

const KEY = 'demo-key';
const ZONES = ['sk-west-1', 'sk-west-2'] as const;
const ENTRIES_PER_ZONE = 2;
const RULES = [
  `account hydrotherm weight=1 key=${keyHash(KEY)}  # Jana`,
  'model valve max-output=64  # Jana',
  'service stock priority=1  # Peter',
  'service orders non-idempotent=POST:/orders  # Peter',
];
const HEADERS = {
  authorization: `Bearer ${KEY}`,
  'content-type': 'application/json',
};
const ZONE_CHANGE_TIMEOUT_MS = 3_000;

let failures = 0;

function reportCheck(what: string, passed: boolean, seen: string): void {
  if (!passed) failures += 1;
  console.log(`${passed ? 'ok  ' : 'FAIL'} ${what}: ${seen}`);
}

interface Zone {
  readonly engine: EngineStandin;
  readonly stock: ServiceStandin;
  readonly orders: ServiceStandin;
  readonly entries: readonly EntryProcess[];
}

async function startZone(deployment: Deployment, zone: string): Promise<Zone> {
  const engine = new EngineStandin();
  const stock = new ServiceStandin();
  const orders = new ServiceStandin();
  const addEndpoint = async (
    kind: 'model' | 'service',
    name: string,
    endpoint: {start(): Promise<string>},
  ) => {
    const url = await endpoint.start();
    const instance = `${name}.${zone}`;
    await deployment.addSidecar({instance, zone, kind, name, url});
  };
  await Promise.all([
    addEndpoint('model', 'valve', engine),
    addEndpoint('service', 'stock', stock),
    addEndpoint('service', 'orders', orders),
  ]);
  const entries: EntryProcess[] = [];
  for (let i = 1; i <= ENTRIES_PER_ZONE; i++) {
    entries.push(await deployment.addEntry(`entry-${i}.${zone}`, zone));
  }
  return {engine, stock, orders, entries};
}

async function checkStreamedAnswer(url: string): Promise<void> {
  const body = {model: 'valve', prompt: 'valve', stream: true, max_tokens: 12};
  const init = {method: 'POST', headers: HEADERS, body: JSON.stringify(body)};
  const answer = await fetch(`${url}/v1/completions`, init);
  const events = (await answer.text()).trim().split('\n\n');
  const chunks = events.slice(0, -1).map(e => JSON.parse(e.slice(6)));
  const text = chunks.map(c => c.choices[0].text).join('');
  const whole = text === expectedAnswer('valve', 12) && events.length === 14;
  reportCheck('a streamed answer is whole', whole, `"${text}"`);
}

async function checkStockLookup(url: string): Promise<void> {
  const started = performance.now();
  const answer = await fetch(`${url}/services/stock/stock/head-12`, {
    headers: HEADERS,
  });
  const ms = Math.round(performance.now() - started);
  const text = await answer.text();
  reportCheck('a stock look-up answers', answer.ok, `${text} in ${ms} ms`);
}

function sendOrder(url: string, key: string, reference: string) {
  return fetch(`${url}/services/orders/orders`, {
    method: 'POST',
    headers: {...HEADERS, 'idempotency-key': key},
    body: JSON.stringify({reference}),
  });
}

async function checkOrder(zones: readonly Zone[]): Promise<void> {
  const [here, there] = zones.map(zone => zone.entries[0]!.url);
  const first = await sendOrder(here!, 'key-1', 'pallet-1');
  const text = await first.text();
  reportCheck('an order is run', first.status === 201, text);
  const again = await sendOrder(there!, 'key-1', 'pallet-1');
  const executions = zones
    .map(zone => zone.orders.executions.get('pallet-1') ?? 0)
    .reduce((a, b) => a + b);
  const once = executions === 1 && (await again.text()) === text;
  const seen = `${executions} execution, the same answer at another entry`;
  reportCheck('the same order again is not run twice', once, seen);
  const other = await sendOrder(here!, 'key-1', 'pallet-2');
  const run = other.headers.get('boragemill-run');
  const refused = other.status === 409 && run === 'not-run';
  reportCheck(
    'the key with another body is refused',
    refused,
    `${other.status}`,
  );
}

interface CommandResult {
  readonly succeeded: boolean;
  /** Last line of standard output, or standard error if there is none. */
  readonly lastLine: string;
  readonly warnings: number;
}

/** Runs the binary as an operator does. */
function runBinary(...args: readonly string[]): Promise<CommandResult> {
  return new Promise(done => {
    execFile(BINARY, [...args], (error, stdout, stderr) => {
      const last = stdout.trim().split('\n').at(-1) || stderr.trim();
      const warnings = stderr
        .split('\n')
        .filter(l => l.includes(': warning: '));
      done({
        succeeded: error === null,
        lastLine: last,
        warnings: warnings.length,
      });
    });
  });
}

/** Runs `rules apply` on a file and reports the last line of its output. */
async function applyRuleFile(
  deployment: Deployment,
  file: string,
  what: string,
): Promise<void> {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'boragemill-'));
  const settings = path.join(directory, 'operator.jsonc');
  const operator = {
    platform: {url: deployment.platformUrl},
    peers: deployment.peers,
  };
  fs.writeFileSync(settings, JSON.stringify(operator));
  const args = ['rules', 'apply', file, '--settings', settings];
  const {succeeded, lastLine} = await runBinary(...args);
  reportCheck(`rules apply: ${what}`, succeeded, lastLine);
  fs.rmSync(directory, {recursive: true, force: true});
}

async function applyRules(
  deployment: Deployment,
  rules: readonly string[],
  what: string,
): Promise<void> {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'boragemill-'));
  const file = path.join(directory, 'demo.rules');
  fs.writeFileSync(file, rules.join('\n'));
  await applyRuleFile(deployment, file, what);
  fs.rmSync(directory, {recursive: true, force: true});
}

/** Sends a stock look-up; true if an endpoint of `zone` got it. */
async function lookupReaches(zone: Zone, url: string): Promise<boolean> {
  const before = zone.stock.calls;
  const answer = await fetch(`${url}/services/stock/stock/a`, {
    headers: HEADERS,
  });
  await answer.arrayBuffer();
  if (!answer.ok) throw new Error(`look-up failed with ${answer.status}`);
  return zone.stock.calls > before;
}

/** Consecutive look-ups that a zone taken out must not get. */
const LOOKUP_COUNT = 50;

async function checkZoneOut(
  deployment: Deployment,
  zones: readonly Zone[],
): Promise<void> {
  const zone = zones[0]!;
  const url = zone.entries[0]!.url;
  const rulesWithZoneOut = [...RULES, `zone ${ZONES[0]} out  # Peter`];
  await applyRules(deployment, rulesWithZoneOut, `zone ${ZONES[0]} out`);
  const acceptedMs = Date.now();
  let lastReachedMs = acceptedMs;
  for (
    let missesInRow = 0;
    missesInRow < LOOKUP_COUNT &&
    Date.now() < acceptedMs + ZONE_CHANGE_TIMEOUT_MS;
  ) {
    const zoneReached = await lookupReaches(zone, url);
    missesInRow = zoneReached ? 0 : missesInRow + 1;
    if (zoneReached) lastReachedMs = Date.now();
  }
  let reachedLater = 0;
  for (let i = 0; i < LOOKUP_COUNT; i++)
    reachedLater += (await lookupReaches(zone, url)) ? 1 : 0;
  const seen = `last one ${lastReachedMs - acceptedMs} ms after apply, then ${reachedLater} of ${LOOKUP_COUNT}`;
  reportCheck(
    `zone ${ZONES[0]} out: no new work there`,
    reachedLater === 0,
    seen,
  );
  await applyRules(deployment, RULES, `zone ${ZONES[0]} in`);
  await waitUntil(
    () => lookupReaches(zone, url),
    'the zone to be back',
    ZONE_CHANGE_TIMEOUT_MS,
  );
  reportCheck(`zone ${ZONES[0]} back`, true, 'its endpoints answer again');
}

/** Example rule files, each with one of its accounts and all its models. */
const EXAMPLES = [
  {
    file: 'examples/ventilka.rules',
    account: 'counter',
    models: ['heating-advisor', 'offer-writer'],
  },
  {
    file: 'examples/steinsekk.rules',
    account: 'drammen',
    models: ['delivery-notes', 'pickup-answers'],
  },
] as const;

/** The models that an entry lists for a key; empty if the key is unknown. */
async function listModels(
  url: string,
  key: string,
): Promise<readonly string[]> {
  const headers = {authorization: `Bearer ${key}`};
  const answer = await fetch(`${url}/v1/models`, {headers});
  const json = (await answer.json()) as {data?: {id: string}[]};
  return (json.data ?? []).map(({id}) => id).sort();
}

/** Checks and applies each example rule file, then uses it. */
async function checkExamples(
  deployment: Deployment,
  zones: readonly Zone[],
): Promise<void> {
  const entries = zones.flatMap(zone => zone.entries);
  for (const {file, account, models} of EXAMPLES) {
    const {succeeded, lastLine, warnings} = await runBinary(
      'rules',
      'check',
      file,
    );
    const seen = `${lastLine}, ${warnings} warnings`;
    reportCheck(`rules check ${file}`, succeeded && warnings > 0, seen);
    await applyRuleFile(deployment, file, file);
    const key = `example-key-${account}`;
    const lists = await Promise.all(entries.map(e => listModels(e.url, key)));
    const same = lists.filter(list => list.join() === models.join());
    const all = same.length === entries.length;
    const where = `${same.length} of ${entries.length} entries list its models`;
    reportCheck(`${file} is in force`, all, where);
    const headers = {authorization: `Bearer ${key}`};
    const url = `${entries[0]!.url}/services/stock/stock/a`;
    const answer = await fetch(url, {headers});
    await answer.arrayBuffer();
    const {status} = answer;
    reportCheck(`a stock look-up of ${account}`, answer.ok, `status ${status}`);
  }
}

async function main(): Promise<void> {
  const deployment = new Deployment();
  const zones: Zone[] = [];
  try {
    await deployment.start(RULES.join('\n'));
    for (const zone of ZONES) zones.push(await startZone(deployment, zone));
    const get = {headers: HEADERS};
    for (const {entries} of zones) {
      for (const {url} of entries) {
        await deployment.waitUntilReachable(
          url,
          '/services/stock/stock/a',
          get,
        );
        await deployment.waitUntilReachable(
          url,
          '/services/orders/stock/a',
          get,
        );
      }
    }
    const count = deployment.processes.length;
    console.log(`${count} processes in ${ZONES.length} availability zones`);
    const url = zones[0]!.entries[0]!.url;
    await checkStreamedAnswer(url);
    await checkStockLookup(url);
    await checkOrder(zones);
    await checkZoneOut(deployment, zones);
    await checkExamples(deployment, zones);
  } finally {
    await deployment.stop();
    for (const {engine, stock, orders} of zones) {
      [engine, stock, orders].forEach(standin => standin.stop());
    }
  }
  console.log(failures === 0 ? 'all steps passed' : `${failures} steps failed`);
  process.exitCode = failures === 0 ? 0 : 1;
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 1;
});
