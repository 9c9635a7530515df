/**
 * The entry's connections to the store have gone silent, the configuration
 * changes, and then a runner drains.
 */
import {setTimeout} from 'node:timers';
import {
  LIMITS,
  Proxy,
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
const CONTACT_MS = 3_000;
const DRAIN_TIMEOUT_MS = 2_000;
/** One client's requests: a small deployment's entry gets about one in two seconds. */
const REQUEST_INTERVAL_MS = 2_400;
/** The runner serves for drain-timeout-ms and a little longer, then exits. */
const SERVES_LONGER_MS = 260;

await runCase(async () => {
  const store = new Store();
  await store.start();
  const proxy = new Proxy(store.address);
  await proxy.start();
  const runners = ['oslo-a', 'oslo-b', 'oslo-c'].map((zone, i) =>
    Object.assign(
      new Runner(`i-${i + 1}`, 'order-app', answerWith('done', 86)),
      {zone},
    ),
  );
  for (const r of runners) {
    await r.start();
    store.put('servers', r.id, r.registration({zone: r.zone}));
  }
  const configuration = version => ({
    version,
    routes: [
      route(
        'order-status',
        'idempotent',
        'order-app',
        version === 2 ? {'timeout-ms': 3500} : {},
      ),
      route('book-collection', 'non_idempotent', 'order-app'),
    ],
    services: [service('order-app')],
    limits: LIMITS,
    tenants: [{name: 'franchise', 'api-keys': [KEY], priority: 1}],
  });
  store.put('op', 'config', configuration(1));
  const entry = await startEntry('edge-oslo-a-1', '127.0.0.1', proxy.address);
  await waitReady(entry);
  await sleep(1_000);
  if (TROUBLE)
    record(
      `proxy: ${proxy.silence()} open connections between the entry and the store go silent`,
    );
  // The entry is in touch again after contact-ms; twice that has passed here.
  await sleep(2 * CONTACT_MS);
  const leaver = runners[0];
  let drainMs;
  const firstMs = nowMs();
  for (let i = 0; i < 6; i++) {
    const atMs = firstMs + i * REQUEST_INTERVAL_MS;
    await sleep(Math.max(0, atMs - nowMs()));
    if (i === 2)
      setTimeout(() => {
        record('store: acknowledges version 2 of the configuration');
        store.put('op', 'config', configuration(2));
      }, REQUEST_INTERVAL_MS - 400);
    const answer = await send(entry, '/book-collection/1', {
      method: 'POST',
      key: KEY,
      body: '{"bags":1}',
    });
    if (answer.status !== 200 && i < 4)
      throw new Error('a request was not served');
    if (i === 3) {
      await sleep(100);
      leaver.leaving = true;
      drainMs = store.put(
        'servers',
        leaver.id,
        leaver.registration({zone: leaver.zone, state: 'draining'}),
      );
      record(`store: acknowledges that ${leaver.id} is draining`);
      setTimeout(() => {
        record(`runner ${leaver.id}: exits`);
        leaver.server.close();
        leaver.server.closeAllConnections();
        store.put('servers', leaver.id, undefined);
      }, DRAIN_TIMEOUT_MS + SERVES_LONGER_MS);
    }
  }
  await sleep(500);
  const late = leaver.arrivals.filter(a => a.ms > drainMs + DRAIN_TIMEOUT_MS);
  record(
    `${late.length} requests reached ${leaver.id} more than ${DRAIN_TIMEOUT_MS} ms after the acknowledgement${late.map(a => `; ${a.id} after ${Math.round(a.ms - drainMs)} ms`).join('')}`,
  );
  return late.length === 0;
});
