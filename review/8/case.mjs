/**
 * Two runners answer streams, one more answers orders. One of the two gets into
 * trouble: its answers go on without end, in chunks of one byte, and no event of
 * them ends. Orders, which go to the sound runner of another service, must be
 * answered by their route's time-out.
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {URL} from 'node:url';
import http from 'node:http';
import net from 'node:net';
import {
  configuration,
  entrySettings,
  hasTrouble,
  HOST,
  newIp,
  newRequestId,
  PORTS,
  readiness,
  registration,
  requestHead,
  runCase,
  sendRequest,
  sleep,
  Store,
  untilReady,
} from '../lib-2/scene.mjs';

const MODEL = 'huvo11a';
const ORDERS = 'wuno96b';
const SLOTS = 8;
const STREAM_CALLERS = 4;
const ORDER_INTERVAL_MS = 250;
const ORDER_TIMEOUT_MS = 4_000;
/** What CONFIG allows beyond the time-out. */
const ALLOWED_MS = 500;
const CALM_MS = 2_000;
const TROUBLE_MS = 20_000;
const EVENTS = 26;
const EVENT_MS = 50;

const STREAM_ROUTE = {
  name: 'r-2yhvz3p',
  host: HOST,
  prefix: '/lohu930/',
  kind: 'streaming',
  'timeout-ms': 8000,
  'target-latency-ms': 401,
  priority: 1,
  service: MODEL,
  'max-attempts': 2,
  public: false,
  'sticky-sessions': true,
  'stream-resume': true,
  'target-gap-ms': 120,
};
const ORDER_ROUTE = {
  name: 'r-fi6y7z5',
  host: HOST,
  prefix: '/pufi791/',
  kind: 'non_idempotent',
  'timeout-ms': ORDER_TIMEOUT_MS,
  'target-latency-ms': 389,
  priority: 2,
  service: ORDERS,
  'max-attempts': 2,
  public: false,
};

function answerHead(id, more) {
  return [
    'HTTP/1.1 200 OK',
    `Boragemill-Request-Id: ${id}`,
    'Boragemill-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1',
    ...more,
    '',
    '',
  ].join('\r\n');
}

const chunk = text => `${text.length.toString(16)}\r\n${text}\r\n`;

/** A model runner, which serves one request at a time on a connection. */
async function startModelRunner(ip, onEndless) {
  const runner = {inTrouble: false, address: `${ip}:${PORTS.app}`};
  const server = net.createServer(socket => {
    let input = '';
    let timer;
    socket.on('error', () => undefined);
    socket.on('close', () => clearInterval(timer));
    socket.on('data', bytes => {
      input += bytes.toString('latin1');
      if (!input.includes('\r\n\r\n')) return;
      const id = /boragemill-request-id: *(\S+)/i.exec(input)?.[1];
      input = '';
      const headers = [
        'Content-Type: text/event-stream',
        'Transfer-Encoding: chunked',
      ];
      socket.write(answerHead(id, headers));
      if (runner.inTrouble) {
        onEndless(id);
        const piece = Buffer.from('1\r\nx\r\n'.repeat(4_096));
        const more = () => {
          while (!socket.destroyed && socket.write(piece));
        };
        socket.on('drain', more);
        return more();
      }
      let n = 0;
      timer = setInterval(() => {
        n += 1;
        socket.write(chunk(`id: ${n}\ndata: ${'x'.repeat(60)}\n\n`));
        if (n < EVENTS) return;
        clearInterval(timer);
        socket.end('0\r\n\r\n');
      }, EVENT_MS);
    });
  });
  await new Promise(done => server.listen(PORTS.app, ip, done));
  return runner;
}

await runCase(
  new URL('record.txt', import.meta.url),
  async (record, programs) => {
    const store = new Store();
    await store.start(newIp());
    const models = [];
    for (let i = 0; i < 2; i++) {
      models.push(
        await startModelRunner(newIp(), id =>
          record.write(`model runner ${i} answers stream ${id} without end`),
        ),
      );
    }
    const ordersIp = newIp();
    const runs = new Map();
    const orderServer = http.createServer((req, res) => {
      const id = req.headers['boragemill-request-id'];
      runs.set(id, (runs.get(id) ?? 0) + 1);
      req.resume();
      setTimeout(() => {
        res.writeHead(200, {
          'Boragemill-Request-Id': id,
          'Boragemill-Response-Seal': '3e1b.07.5a2.600.0.c9f2a4d2',
          'Content-Length': 800,
        });
        res.end('x'.repeat(800));
      }, 85);
    });
    await new Promise(done => orderServer.listen(PORTS.app, ordersIp, done));
    store.put('op', {
      config: configuration(
        7,
        [STREAM_ROUTE, ORDER_ROUTE],
        [MODEL, ORDERS].map(name => ({
          name,
          'health-path': '/health',
          'cold-per-s': 0,
        })),
      ),
    });
    store.put('servers', {
      'i-7f3a91c0': registration(MODEL, models[0].address, {slots: SLOTS}),
      'i-7f3a91c1': registration(MODEL, models[1].address, {slots: SLOTS}),
      'i-5840f93b': registration(ORDERS, `${ordersIp}:${PORTS.app}`, {
        slots: SLOTS,
      }),
    });
    const ip = newIp();
    const settings = entrySettings('edge-bratislava-a-1', ip, store.address);
    programs.start('entry', 'entry', settings);
    if (!(await untilReady(ip)))
      throw new Error('the entry did not become ready');
    record.write('entry ready');

    const endMs = performance.now() + CALM_MS + TROUBLE_MS;
    const streams = new Map();
    const callStreams = async () => {
      while (performance.now() < endMs) {
        const head = requestHead('POST', '/lohu930/2f', newRequestId(), 8054, [
          'Content-Length: 0',
        ]);
        const {status = '-', how} = await sendRequest(
          ip,
          head,
          undefined,
          8_500,
        );
        const outcome = `${status}, ${how}`;
        streams.set(outcome, (streams.get(outcome) ?? 0) + 1);
      }
    };
    const orders = [];
    const sendOrder = async () => {
      const id = newRequestId();
      const sentMs = performance.now();
      const head = requestHead('POST', '/pufi791/2f', id, 6_000, [
        'Content-Length: 2',
      ]);
      const {status, how} = await sendRequest(ip, head, 'ab', 6_000);
      const ms = status === undefined ? Infinity : performance.now() - sentMs;
      orders.push({id, status, how, ms});
      if (ms > ORDER_TIMEOUT_MS)
        record.write(
          `order ${id}: ${status ?? '-'}, ${how}, after ${Math.round(ms)} ms`,
        );
    };
    let missed = 0;
    const checkReadiness = async () => {
      while (performance.now() < endMs) {
        const startMs = performance.now();
        const status = await readiness(ip, 1_000);
        if (status !== 200) missed += 1;
        if (status === 0)
          record.write('no answer to the readiness check within 1 s');
        await sleep(Math.max(0, 1_000 - (performance.now() - startMs)));
      }
    };
    const others = [
      checkReadiness(),
      ...Array.from({length: STREAM_CALLERS}, callStreams),
    ];
    const pending = [];
    const troubleMs = performance.now() + CALM_MS;
    while (performance.now() < endMs) {
      if (
        hasTrouble &&
        !models[0].inTrouble &&
        performance.now() >= troubleMs
      ) {
        models[0].inTrouble = true;
        record.write('model runner 0 is in trouble from here on');
      }
      pending.push(sendOrder());
      await sleep(ORDER_INTERVAL_MS);
    }
    await Promise.all([...pending, ...others]);
    const summary = map => [...map].map(([o, n]) => `${n} x ${o}`).join('; ');
    record.write(`streams: ${summary(streams)}`);
    const byStatus = new Map();
    for (const {status = '-'} of orders)
      byStatus.set(status, (byStatus.get(status) ?? 0) + 1);
    record.write(`orders: ${summary(byStatus)}; run: ${runs.size}`);
    record.write(`readiness checks without a 200: ${missed}`);
    const open = orders.filter(o => o.ms > ORDER_TIMEOUT_MS);
    const late = open.filter(o => o.ms > ORDER_TIMEOUT_MS + ALLOWED_MS);
    record.write(
      `orders without an answer at ${ORDER_TIMEOUT_MS} ms: ${open.length}, ` +
        `${ALLOWED_MS} ms later: ${late.length}, of ${orders.length}`,
    );
    // CONFIG: more than half of them; the other rule on time-outs asks for eight.
    return late.length >= 8 && late.length > open.length / 2;
  },
);
