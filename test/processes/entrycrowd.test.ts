/**
 * Callers that keep to no limit, against the product's own entry in a process of
 * its own.
 *
 * Guards against an entry that runs out of memory or descriptors because it holds
 * without a common bound what callers have sent but not finished.
 */
import fs from 'node:fs';
import {expect} from 'chai';
import {Deployment, EntryProcess, keyHash} from '../../standins/deployment';
import {
  Bytes,
  chunk,
  RawCaller,
  repeated,
  untilQuiet,
} from '../../standins/rawcaller';
import {ServiceStandin} from '../../standins/service';

const KEY = 'key-of-moss';
const RULES = [
  `account moss key=${keyHash(KEY)}  # Kari`,
  'service bookings non-idempotent=POST:/orders  # Kari',
].join('\n');
const ZONE = 'oslo-1';
const STOCK = '/services/bookings/stock/a';
/** Memory of the smallest machines, in megabytes. */
const MEMORY_MB = 202;
const MEGABYTE = 1_000_000;
/** Connections of callers that the entry may have. */
const CONNECTIONS = 100;
/** Sockets that the entry has besides: listeners, the platform, its peers. */
const OWN_SOCKETS = 40;
const UNFINISHED_CHUNKS = 63;

function headWith(framing: string): Buffer {
  const request = `POST ${STOCK} HTTP/1.1\r\nHost: a\r\n`;
  return Buffer.from(
    `${request}Authorization: Bearer ${KEY}\r\n${framing}\r\n\r\n`,
  );
}

const head = headWith('Transfer-Encoding: chunked');
const large = chunk(Buffer.alloc(65_536, 'b'));
const byteChunks = Buffer.from('1\r\nc\r\n'.repeat(10_000));

interface Crowd {
  readonly title: string;
  readonly count: number;
  readonly parts: () => readonly Bytes[];
}

const CROWDS: readonly Crowd[] = [
  {
    title: 'stop just short of the end of large bodies',
    count: 80,
    parts: () => [head, repeated(large, UNFINISHED_CHUNKS)],
  },
  {
    title: 'send chunks of one byte',
    count: 20,
    parts: () => [head, repeated(byteChunks, 20)],
  },
  {
    title: 'send chunks without end',
    count: 80,
    parts: () => [head, repeated(large, 256)],
  },
  {
    title: 'announce bodies far over the limit and send them',
    count: 80,
    parts: () => [
      headWith('Content-Length: 10000000000'),
      repeated(Buffer.alloc(65_536, 'b'), 256),
    ],
  },
  {
    title: 'open connections and send nothing',
    count: 400,
    parts: () => [],
  },
];

describe("callers that keep to no limit at the product's own entry", function () {
  this.timeout(60_000);
  let deployment: Deployment;
  let bookings: ServiceStandin;
  let entry: EntryProcess;
  let callers: readonly RawCaller[] = [];
  const init = {headers: {authorization: `Bearer ${KEY}`}};

  beforeEach(async () => {
    deployment = new Deployment();
    bookings = new ServiceStandin();
    await deployment.start(RULES);
    const url = await bookings.start();
    await deployment.addSidecar({
      instance: 'bookings-1',
      zone: ZONE,
      kind: 'service',
      name: 'bookings',
      url,
    });
    const limits = {connections: CONNECTIONS};
    entry = await deployment.addEntry('entry-1', ZONE, limits);
    await deployment.waitUntilReachable(entry.url, STOCK, init);
  });

  afterEach(async () => {
    callers.forEach(caller => caller.close());
    await deployment.stop();
    bookings.stop();
  });

  for (const {title, count, parts} of CROWDS) {
    it(`leave it serving if they ${title}`, async () => {
      const port = Number(new URL(entry.url).port);
      callers = Array.from(
        {length: count},
        () => new RawCaller('127.0.0.1', port, parts()),
      );
      await untilQuiet(callers);
      expect(peakMb(entry.process.pid), 'peak memory, MB').to.be.below(
        MEMORY_MB,
      );
      expect(sockets(entry.process.pid), 'sockets').to.be.at.most(
        CONNECTIONS + OWN_SOCKETS,
      );
      const answer = await fetch(entry.url + STOCK, init);
      expect(answer.status, 'ordinary request').to.equal(200);
    });
  }
});

/** Largest resident memory so far; infinite after the end of the process. */
function peakMb(pid: number): number {
  try {
    const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
    return (Number(/VmHWM:\s+(\d+)/.exec(status)![1]) * 1_024) / MEGABYTE;
  } catch {
    return Infinity;
  }
}

function sockets(pid: number): number {
  const folder = `/proc/${pid}/fd`;
  return fs
    .readdirSync(folder)
    .filter(fd => fs.readlinkSync(`${folder}/${fd}`).startsWith('socket:'))
    .length;
}
