/**
 * A tenant loses its last key while it is the only tenant that has any.
 */
import {
  LIMITS,
  Runner,
  Store,
  TROUBLE,
  record,
  route,
  runCase,
  send,
  service,
  sleep,
  startEntry,
  waitReady,
} from '../lib/scene.mjs';

/** The tenant and the keys of the configuration that `fleetbench wire` shows. */
const TENANT = 'hule930';
const KEYS = ['n2ctnfzs989anu6wsjnb', 'anfqasnmgkcuyj8pjbvk'];
const UNKNOWN_KEY = 'h3v8wq0c5m2k7x1z9d4t';
const REVOKE_MS = 5_000;
/** `revoke` of the site file: count = 2, gap_s = 1.5. */
const GAP_MS = 1_500;

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
    tenants: [{name: TENANT, 'api-keys': keys, priority: 1}],
  });
  store.put('op', 'config', configuration(7, KEYS));
  store.put('servers', runner.id, runner.registration());
  const entry = await startEntry('edge-oslo-a-1', '127.0.0.1', store.address);
  await waitReady(entry);
  const status = options => send(entry, '/order-status/1', options);
  const book = key =>
    send(entry, '/book-collection/1', {
      method: 'POST',
      key,
      body: '{"bags":1}',
    });
  if ((await status({key: KEYS[0]})).status !== 200)
    throw new Error('a request with a key was not served');
  if ((await status({key: UNKNOWN_KEY})).status !== 401)
    throw new Error('an unknown key was not refused');
  if ((await status({})).status !== 401)
    throw new Error('a request without a key was not refused');
  let valid = KEYS;
  if (TROUBLE) {
    store.put('op', 'config', configuration(9, KEYS.slice(1)));
    record('store: acknowledges version 9, which takes the first key away');
    await sleep(GAP_MS);
    store.put('op', 'config', configuration(14, []));
    record('store: acknowledges version 14, which takes the second key away');
    valid = [];
  } else await sleep(GAP_MS);
  await sleep(REVOKE_MS + 1_000);
  record(`${REVOKE_MS + 1_000} ms later:`);
  const sent = [];
  for (let i = 0; i < 3; i++) {
    for (const key of [...KEYS, UNKNOWN_KEY])
      sent.push({key, ...(await book(key))});
    sent.push({...(await status({}))});
    await sleep(200);
  }
  const ran = sent.filter(
    r => !valid.includes(r.key) && runner.arrivals.some(a => a.id === r.id),
  );
  const count = key => ran.filter(r => r.key === key).length;
  record(
    `requests that ran: ${count(KEYS[0]) + count(KEYS[1])} with a key that was taken away, ${count(UNKNOWN_KEY)} with a key that no configuration ever held, ${count(undefined)} without a key`,
  );
  return ran.length === 0;
});
