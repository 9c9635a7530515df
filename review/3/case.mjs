/**
 * An entry freezes with a poll under way, keys are taken away, and the store is
 * down when it wakes.
 */
import {setTimeout} from 'node:timers';
import {
  LIMITS,
  Runner,
  Store,
  TROUBLE,
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

const KEYS = [
  'n2ctnfzs989anu6wsjnb',
  'anfqasnmgkcuyj8pjbvk',
  'h3v8wq0c5m2k7x1z9d4t',
];
const REVOKE_MS = 5_000;
const FREEZE_MS = 2_200;
const STORE_DOWN_MS = 8_000;

await runCase(async () => {
  const store = new Store();
  await store.start();
  const runner = new Runner('i-1', 'order-app');
  await runner.start();
  const configuration = (version, keys) => ({
    version,
    routes: [
      route('order-status', 'idempotent', 'order-app'),
      route('book-collection', 'non_idempotent', 'order-app'),
    ],
    services: [service('order-app')],
    limits: LIMITS,
    tenants: [{name: 'franchise', 'api-keys': keys, priority: 1}],
  });
  store.put('op', 'config', configuration(1, KEYS));
  store.put('servers', runner.id, runner.registration());
  const entry = await startEntry('edge-oslo-a-1', '127.0.0.1', store.address);
  await waitReady(entry);
  await sleep(2_000);
  const [, taken] = KEYS;
  const first = await send(entry, '/order-status/1', {key: taken});
  if (first.status !== 200) throw new Error('the first request was not served');
  // Begins soon after the entry has asked for changes of the operator's table.
  await new Promise(
    done => (store.onPoll = ({table}) => table === 'op' && done()),
  );
  store.onPoll = () => undefined;
  await sleep(20);
  if (TROUBLE) {
    entry.child.kill('SIGSTOP');
    record('edge-oslo-a-1: freezes');
    setTimeout(() => {
      entry.child.kill('SIGCONT');
      record(`edge-oslo-a-1: wakes after ${FREEZE_MS} ms`);
    }, FREEZE_MS);
  }
  await sleep(20);
  store.put('op', 'config', configuration(2, KEYS.slice(1)));
  record('store: acknowledges version 2, which takes the first key away');
  await sleep(100);
  const ackMs = store.put('op', 'config', configuration(3, KEYS.slice(2)));
  record('store: acknowledges version 3, which takes the second key away');
  await sleep(100);
  if (TROUBLE) {
    store.mode = 'silent';
    record(`store: is down for ${STORE_DOWN_MS} ms`);
    setTimeout(() => (store.mode = 'normal'), STORE_DOWN_MS);
  }
  await sleep(ackMs + REVOKE_MS + 20 - nowMs());
  const late = [];
  while (nowMs() < ackMs + REVOKE_MS + 1_000) {
    late.push(send(entry, '/order-status/2', {key: taken}));
    await sleep(50);
  }
  const answers = await Promise.all(late);
  const ran = answers.filter(r => runner.arrivals.some(a => a.id === r.id));
  record(
    `${ran.length} requests with the second key, sent later than ${REVOKE_MS} ms after the acknowledgement, ran${ran.map(r => `; ${r.id} after ${Math.round(r.sentMs - ackMs)} ms`).join('')}`,
  );
  return ran.length === 0;
});
