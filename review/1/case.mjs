/**
 * A runner spoils the status line of one answer.
 */
import http from 'node:http';
import {
  LIMITS,
  Runner,
  Store,
  TROUBLE,
  answerWith,
  nowMs,
  record,
  route,
  runCase,
  send,
  service,
  sleep,
  startEntry,
  waitReady,
} from '../lib/scene.mjs';

const KEY = 'n2ctnfzs989anu6wsjnb';
const CLIENTS = 16;
const WORK_MS = 200;
/** One answer in fifty of one runner in three is spoiled. */
const SPOILED_ANSWER = 50;
const PLAY_MS = 5_000;

await runCase(async () => {
  const store = new Store();
  await store.start();
  let answers = 0;
  let spoiledMs;
  const sound = answerWith('x'.repeat(800), WORK_MS);
  const runners = ['oslo-a', 'oslo-b', 'oslo-c'].map((zone, i) => {
    // All in the entry's zone, so that it uses them evenly.
    const runner = new Runner(`i-${i + 1}`, 'order-app', sound);
    return Object.assign(runner, {zone: 'oslo-a'});
  });
  const faulty = runners[2];
  faulty.handler = (req, res, runner) => {
    answers += 1;
    if (!TROUBLE || answers !== SPOILED_ANSWER) return sound(req, res, runner);
    const id = req.headers['boragemill-request-id'];
    record(
      `runner ${runner.id}: spoils its answer ${answers}, the one to ${id}: its status line is "HTTP/1.1 000 OK"`,
    );
    spoiledMs = nowMs();
    res.socket.end(
      `HTTP/1.1 000 OK\r\nBoragemill-Request-Id: ${id}\r\n` +
        `Boragemill-Response-Seal: s.${id}\r\nContent-Length: 4\r\n\r\ndone`,
    );
  };
  store.put('op', 'config', {
    version: 1,
    routes: [
      route('order-status', 'idempotent', 'order-app'),
      route('book-collection', 'non_idempotent', 'order-app'),
    ],
    services: [service('order-app')],
    limits: LIMITS,
    tenants: [{name: 'franchise', 'api-keys': [KEY], priority: 1}],
  });
  for (const r of runners) {
    await r.start();
    store.put('servers', r.id, r.registration({zone: r.zone}));
  }
  const entry = await startEntry('edge-oslo-a-1', '127.0.0.1', store.address);
  await waitReady(entry);
  // Clients that keep their connections and send one request after the other.
  const endMs = nowMs() + PLAY_MS;
  const results = [];
  await Promise.all(
    Array.from({length: CLIENTS}, async (_, client) => {
      const agent = new http.Agent({keepAlive: true, maxSockets: 1});
      for (let n = 0; nowMs() < endMs && !entry.exit; n++) {
        const order = (n + client) % 2 === 0;
        const result = await send(
          entry,
          order ? '/book-collection/1' : '/order-status/1',
          {
            key: KEY,
            agent,
            method: order ? 'POST' : 'GET',
            body: order ? '{"bags":1}' : undefined,
          },
        );
        results.push({...result, kept: n > 0});
        await sleep(5);
      }
      agent.destroy();
    }),
  );
  await sleep(300);
  const lost = results.filter(
    r =>
      r.kept &&
      r.status === undefined &&
      runners.some(
        runner => runner !== faulty && runner.arrivals.some(a => a.id === r.id),
      ),
  );
  record(
    `${results.length} requests; ${lost.length} requests on kept connections were passed on to a sound runner, and their connections were closed without an answer${lost.length > 0 ? `: ${lost.map(r => r.id).join(', ')}` : ''}`,
  );
  if (entry.exit) {
    record(
      `the entry ended by itself ${Math.round(entry.exit.ms - spoiledMs)} ms after the spoiled answer; it wrote:`,
    );
    const text = entry.log
      .join('')
      .split('\n')
      .filter(line => line !== '' && !line.startsWith('{'));
    for (const line of text.slice(0, 16))
      record(
        `  ${line
          .trim()
          .replace(/(file:\/\/)?\/\S*\/(target\/)/, '$2')
          .slice(0, 160)}`,
      );
  }
  return lost.length <= 3 && !entry.exit;
});
