/**
 * Five runners of one service answer small requests. One of them gets into
 * trouble: the bodies of its answers come in chunks of one byte, without end,
 * until the entry closes. The entry must stay alive and within its memory.
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval} from 'node:timers';
import {URL} from 'node:url';
import fs from 'node:fs';
import net from 'node:net';
import {
  configuration,
  entrySettings,
  hasTrouble,
  KeptCaller,
  newIp,
  newRequestId,
  PORTS,
  registration,
  requestHead,
  runCase,
  sleep,
  Store,
  untilReady,
} from '../lib-2/scene.mjs';

const SERVICE = 'wuno96b';
const SLOTS = 6;
const RUNNERS = 5;
const WORK_MS = 2_000;
const CALLERS = 30;
const CALM_MS = 5_000;
const TROUBLE_MS = 15_000;
const ROUTE = {
  name: 'r-fi6y7z5',
  host: 'ficu95.example',
  prefix: '/pufi791/',
  kind: 'non_idempotent',
  'timeout-ms': 8000,
  'target-latency-ms': 2500,
  priority: 1,
  service: SERVICE,
  'max-attempts': 2,
  public: false,
};

/** An HTTP/1.1 server with one request at a time on a connection. */
async function startRunner(ip, onAnswer, onArrival) {
  const runner = {inTrouble: false, runs: 0, address: `${ip}:${PORTS.app}`};
  const server = net.createServer(socket => {
    let input = '';
    socket.on('error', () => undefined);
    socket.on('data', async chunk => {
      input += chunk.toString('latin1');
      if (!input.includes('\r\n\r\n')) return;
      const id = /boragemill-request-id: *(\S+)/i.exec(input)?.[1];
      input = '';
      runner.runs += 1;
      onArrival(id);
      await sleep(WORK_MS);
      const isEndless = runner.inTrouble;
      onAnswer(id, isEndless);
      const head =
        'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n' +
        `Boragemill-Request-Id: ${id}\r\n` +
        'Boragemill-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n';
      if (!isEndless) {
        socket.write(`${head}Content-Length: 800\r\n\r\n${'x'.repeat(800)}`);
        return;
      }
      socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
      const piece = Buffer.from('1\r\nx\r\n'.repeat(4_096));
      const more = () => {
        while (!socket.destroyed && socket.write(piece));
      };
      socket.on('drain', more);
      more();
    });
  });
  await new Promise(done => server.listen(PORTS.app, ip, done));
  return runner;
}

/** Resident memory of a process in MB (of 10^6 bytes); 0 if it has ended. */
function residentMb(pid) {
  try {
    const text = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
    return (Number(/VmRSS:\s+(\d+)/.exec(text)[1]) * 1_024) / 1e6;
  } catch {
    return 0;
  }
}

await runCase(
  new URL('record.txt', import.meta.url),
  async (record, programs) => {
    const store = new Store();
    await store.start(newIp());
    const runners = [];
    /** Ids of the requests that have reached a sound runner. */
    const atSound = new Set();
    for (let i = 0; i < RUNNERS; i++) {
      runners.push(
        await startRunner(
          newIp(),
          (id, isEndless) => {
            if (isEndless)
              record.write(`runner ${i} answers ${id} without end`);
          },
          id => i > 0 && atSound.add(id),
        ),
      );
    }
    store.put('op', {
      config: configuration(
        7,
        [ROUTE],
        [{name: SERVICE, 'health-path': '/health', 'cold-per-s': 0}],
      ),
    });
    store.put(
      'servers',
      Object.fromEntries(
        runners.map(({address}, i) => [
          `i-7f3a91c${i}`,
          registration(SERVICE, address, {slots: SLOTS}),
        ]),
      ),
    );
    const ip = newIp();
    const settings = entrySettings('edge-bratislava-a-1', ip, store.address);
    const entry = programs.start('entry', 'entry', settings);
    if (!(await untilReady(ip)))
      throw new Error('the entry did not become ready');
    record.write('entry ready');
    let mostMb = 0;
    const watch = setInterval(() => {
      mostMb = Math.max(mostMb, residentMb(entry.child.pid));
    }, 50);
    const endMs = performance.now() + CALM_MS + TROUBLE_MS;
    const outcomes = new Map();
    const lost = [];
    const call = async () => {
      const caller = new KeptCaller(ip);
      while (performance.now() < endMs && !entry.ended) {
        const id = newRequestId();
        const head = requestHead('POST', '/pufi791/2f', id, 8039, [
          'Content-Length: 2',
        ]);
        const {
          status = '-',
          how,
          isKept,
        } = await caller.request(head, 'ab', 9_000);
        const outcome = `${status}, ${how}`;
        outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
        if (
          isKept &&
          status === '-' &&
          how !== 'no answer in time' &&
          atSound.has(id)
        )
          lost.push(id);
        await sleep(20);
      }
      caller.close();
    };
    const callers = Array.from({length: CALLERS}, call);
    await sleep(CALM_MS);
    record.write(
      `calm: ${[...outcomes].map(([o, n]) => `${n} x ${o}`).join('; ')}`,
    );
    record.write(`calm: the entry holds ${Math.round(mostMb)} MB`);
    if (hasTrouble) {
      runners[0].inTrouble = true;
      record.write('runner 0 is in trouble from here on');
    }
    await Promise.all(callers);
    clearInterval(watch);
    await sleep(200);
    const limitMb = settings.limits['memory-mb'];
    record.write(
      `largest resident memory of the entry: ${Math.round(mostMb)} MB of ${limitMb} MB`,
    );
    record.write(
      `all: ${[...outcomes].map(([o, n]) => `${n} x ${o}`).join('; ')}`,
    );
    record.write(`runs at the runners: ${runners.map(r => r.runs).join(', ')}`);
    if (entry.ended) {
      const lines = programs.log('entry').split('\n');
      for (const line of lines
        .filter(l => /FATAL|heap limit/.test(l))
        .slice(0, 3))
        record.write(`output of the entry: ${line.trim()}`);
    }
    record.write(
      `requests of kept connections that reached a sound runner and whose connection closed without an answer: ${lost.length} (${lost.join(' ')})`,
    );
    // LOST allows three.
    return lost.length > 3;
  },
);
