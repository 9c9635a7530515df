/**
 * Guards against an authenticated peer that sends malformed messages: no
 * message, in any order, may end a process, change the rules in force or make a
 * sidecar exceed its endpoint's bound.
 */
import {ClientDuplexStream} from '@grpc/grpc-js';
import {expect} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {channelCredentials, clientMetadata} from '../../src/wire/auth';
import {NodeClient} from '../../src/wire/definition';
import {CallName} from '../../src/wire/validate';
import {Deployment, EntryProcess, keyHash} from '../../standins/deployment';
import {ServiceStandin} from '../../standins/service';

const SEED = 20261204;
const MESSAGES_PER_CALL = 3_000;
const STREAMS_PER_CALL = 10;
const COLD_CONCURRENT = 4;
const KEY = 'key-of-moss';
const GET = {headers: {authorization: `Bearer ${KEY}`}};
const RULES = [
  `account moss key=${keyHash(KEY)}  # Kari`,
  'service stock  # Kari',
].join('\n');
const PATH = '/services/stock/stock/valve';

/** The kinds of message of each call. */
const MESSAGE_KINDS: Readonly<Record<CallName, readonly string[]>> = {
  Link: 'hello offer withdraw start cancel credit ask standing'.split(' '),
  Gossip: 'heartbeat rulesWanted rulesFile rulesPatch'.split(' '),
  Group: 'prepare activate release probe'.split(' '),
};
const TEXT_FIELDS = [
  'requestId account caller targetKind target grantId method path hash',
  'instance zone role address ruleHash release fromHash text patch mapHash',
  'group',
].flatMap(line => line.split(' '));
const NUMBER_FIELDS = [
  'attempt promptTokens maxOutputTokens priority resumeOffset creditBytes',
  'bytes wanted ruleVersion version fromVersion haveVersion epoch belowVersion',
].flatMap(line => line.split(' '));
const TIME_FIELDS = ['deadlineMs', 'confirmedMs'];
const TEXT_VALUES = [
  '',
  'a',
  'stock',
  'stock-1',
  'oslo-1',
  'service',
  '\u0000',
  '/',
];
const NUMBER_VALUES = [0, 1, 2, 7, 1_000, 2 ** 31, 2 ** 32 - 1];
const TIME_VALUES = [0, -1, NaN, Infinity, -Infinity, 1e18];

type Random = () => number;

function pick<T>(random: Random, from: readonly T[]): T {
  return from[Math.floor(random() * from.length)]!;
}

function randomBody(random: Random): Record<string, unknown> {
  const fields: [string, unknown][] = [
    ...TEXT_FIELDS.map(
      name => [name, pick(random, TEXT_VALUES)] as [string, unknown],
    ),
    ...NUMBER_FIELDS.map(
      name => [name, pick(random, NUMBER_VALUES)] as [string, unknown],
    ),
    ...TIME_FIELDS.map(
      name => [name, pick(random, TIME_VALUES)] as [string, unknown],
    ),
  ];
  const some = Object.fromEntries(fields.filter(() => random() < 0.7));
  if (random() < 0.3) some['members'] = [randomBody(random)];
  if (random() < 0.3) some['headers'] = [{name: '\n', value: '\u0000'}];
  if (random() < 0.2) some['offer'] = {...some, members: undefined};
  some['body'] = Buffer.alloc(Math.floor(random() * 2_000), 123);
  some['idempotent'] = random() < 0.5;
  some['leaving'] = random() < 0.5;
  return some;
}

function randomMessage(random: Random, call: CallName): object {
  const kind = pick(random, [...MESSAGE_KINDS[call], 'none']);
  const hlc = pick(random, ['', 'x', '9'.repeat(40), '1.2.3.4']);
  return {
    protocol: pick(random, NUMBER_VALUES),
    hlc,
    [kind]: randomBody(random),
  };
}

type Stream = ClientDuplexStream<object, unknown>;
type Calls = Record<
  CallName,
  (metadata: ReturnType<typeof clientMetadata>) => Stream
>;

/** Sends messages on several streams of one call and closes them. */
async function sendMalformed(
  {peers}: Deployment,
  address: string,
  call: CallName,
  random: Random,
): Promise<void> {
  const client = new NodeClient(address, channelCredentials(peers));
  const streams = Array.from({length: STREAMS_PER_CALL}, () => {
    const open = (client as unknown as Calls)[call];
    const stream = open.call(client, clientMetadata(peers));
    stream.on('error', () => undefined);
    stream.on('data', () => undefined);
    return stream;
  });
  for (let n = 0; n < MESSAGES_PER_CALL; n++) {
    const stream = pick(random, streams);
    if (stream.writable) stream.write(randomMessage(random, call));
    if (n % 100 === 0) await new Promise(done => setImmediate(done));
  }
  await Promise.all(
    streams.map(stream => {
      const closed = new Promise(done => stream.on('close', done));
      stream.end();
      return closed;
    }),
  );
  client.close();
}

describe('a peer that sends malformed messages', () => {
  const deployment = new Deployment();
  const service = new ServiceStandin();
  let entry: EntryProcess;
  let addresses: readonly string[] = [];

  before(async () => {
    await deployment.start(RULES);
    const sidecar = await deployment.addSidecar({
      instance: 'stock-1',
      zone: 'oslo-1',
      kind: 'service',
      name: 'stock',
      url: await service.start(),
      coldConcurrent: COLD_CONCURRENT,
      maxConcurrent: COLD_CONCURRENT,
    });
    entry = await deployment.addEntry('entry-1', 'oslo-1');
    const {grpc} = await sidecar.waitForPorts();
    addresses = [`127.0.0.1:${grpc}`, entry.address];
    await deployment.waitUntilReachable(entry.url, PATH, GET);
  });

  after(async () => {
    await deployment.stop();
    service.stop();
  });

  for (const call of ['Link', 'Gossip', 'Group'] as const) {
    it(`ends no process with ${call} messages, and the service goes on`, async () => {
      const generator = xoroshiro128plus(SEED);
      const random = () => (generator.next() >>> 0) / 2 ** 32;
      for (const address of addresses) {
        await sendMalformed(deployment, address, call, random);
      }
      for (const address of addresses) {
        const {rules} = await deployment.facts(address);
        expect(rules?.version).to.equal(1);
      }
      await deployment.waitUntilReachable(entry.url, PATH, GET);
      expect(service.peak).to.be.at.most(COLD_CONCURRENT);
    });
  }
});
