/**
 * A part of a prompt crashes runners and stands behind sixteen other parts.
 */
import process from 'node:process';
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

const KEY = 'n2ctnfzs989anu6wsjnb';
const CONTACT_MS = 3_000;
/** Shared parts of a prompt, and the place of the one that crashes runners. */
const PARTS = Number(process.env.PARTS ?? 18);
const CRASHING = '91bd3f06';
const DOWN_MS = 3_000;

await runCase(async () => {
  const store = new Store();
  await store.start();
  const crashes = [];
  const reached = [];
  const runners = [];
  const answer = async (req, res, runner) => {
    const parts = (req.headers['boragemill-prefix-hash'] ?? '')
      .split(',')
      .map(part => part.split(':')[0]);
    await sleep(70);
    if (parts.slice(0, -1).includes(CRASHING)) {
      reached.push({id: req.headers['boragemill-request-id'], ms: nowMs()});
      crashes.push(nowMs());
      record(
        `runner ${runner.id}: crashes as it begins to write the answer (crash ${crashes.length})`,
      );
      return crash(runner);
    }
    res.writeHead(200, {
      ...runner.headers(req),
      'Content-Type': 'text/event-stream',
    });
    for (let n = 1; n <= 5; n++) {
      res.write(`id: ${n}\ndata: ${'a'.repeat(50)}\n\n`);
      await sleep(50);
    }
    res.end();
  };
  function crash(runner) {
    runner.server.closeAllConnections();
    runner.server.close();
    setTimeout(async () => {
      const [host, port] = runner.address.split(':');
      await new Promise(done => runner.server.listen(Number(port), host, done));
      store.put('servers', runner.id, undefined);
      runner.incarnation += 1;
      runner.id = `${runner.place}-${runner.incarnation}`;
      runner.born = Date.now();
      store.put('servers', runner.id, runner.registration({slots: 8}));
      record(
        `runner ${runner.id}: has started at the address of the one that crashed`,
      );
    }, DOWN_MS);
  }
  for (let i = 1; i <= 4; i++) {
    const runner = Object.assign(new Runner(`i-${i}-1`, 'draft-llm', answer), {
      place: `i-${i}`,
      incarnation: 1,
    });
    await runner.start();
    runners.push(runner);
    store.put('servers', runner.id, runner.registration({slots: 8}));
  }
  store.put('op', 'config', {
    version: 1,
    routes: [
      route('delivery-note', 'streaming', 'draft-llm', {
        'timeout-ms': 8000,
        'target-latency-ms': 401,
        'target-gap-ms': 120,
        'stream-resume': true,
        'sticky-sessions': true,
        priority: 1,
      }),
    ],
    services: [service('draft-llm')],
    limits: LIMITS,
    tenants: [{name: 'franchise', 'api-keys': [KEY], priority: 1}],
  });
  const entry = await startEntry('edge-oslo-a-1', '127.0.0.1', store.address);
  await waitReady(entry);
  let count = 0;
  const prompt = crashing => {
    const shared = Array.from(
      {length: PARTS},
      (_, i) => `5c1e${(1000 + i).toString(16).padStart(4, '0')}:40`,
    );
    if (crashing && TROUBLE) shared[PARTS - 1] = `${CRASHING}:40`;
    count += 1;
    return [...shared, `e440${count.toString(16).padStart(4, '0')}:250`].join(
      ',',
    );
  };
  const sound = [];
  const ask = crashing =>
    send(entry, '/delivery-note/1', {
      method: 'POST',
      key: KEY,
      body: '{}',
      deadlineMs: 8000,
      headers: {
        'Boragemill-Model': 'm',
        'Boragemill-Token-Usage': '990,80',
        'Boragemill-Prefix-Hash': prompt(crashing),
      },
    });
  /** One request with the part, and sound ones beside it. */
  const round = async () => {
    const crashing = ask(true);
    for (let i = 0; i < 4; i++) {
      sound.push(ask(false));
      await sleep(600);
    }
    await crashing;
  };
  const startedMs = nowMs();
  while (crashes.length < 5 && nowMs() < startedMs + 25_000) await round();
  const fifthMs = crashes[4] ?? nowMs();
  record(
    TROUBLE
      ? `the fifth crash was at ${(fifthMs / 1000).toFixed(3)} s`
      : 'no crash',
  );
  await sleep(Math.max(0, fifthMs + CONTACT_MS - nowMs()));
  for (let i = 0; i < 8; i++) await round();
  const late = reached.filter(r => r.ms > fifthMs + CONTACT_MS);
  const ids = new Set(late.map(r => r.id));
  record(
    `${late.length} requests with the part (${ids.size} of clients) reached runners later than ${CONTACT_MS} ms after the fifth crash; ${crashes.length} crashes in all`,
  );
  const broken = (await Promise.all(sound)).filter(
    r => r.status !== 200,
  ).length;
  record(
    `${broken} of ${sound.length} sound requests were not answered completely`,
  );
  return ids.size <= 3;
});
