/** One part of some prompts crashes each runner that begins to write on it. */
import {
  BOUNDS,
  LIMITS,
  nowMs,
  Program,
  record,
  route,
  runCase,
  Runner,
  send,
  service,
  sleep,
  Store,
  waitFor,
} from './world.mjs';

const RUNNERS = 12;
/** Time until a runner is back. */
const BACK_MS = 2_000;
/** Time for which only sound requests come at first. */
const CALM_MS = 6_000;
const SOUND_INTERVAL_MS = 150;
const EVENT_INTERVAL_MS = 50;
const CONTACT_MS = BOUNDS['contact-ms'];

/** The part that crashes runners. */
export const BAD_PART = 'bad0bad0';
/** The id of a sound part. */
export const part = n => (0x10000000 + n).toString(16);

let prompts = 0;
/** A prompt with the given shared parts and one of its own. */
const promptOf = shared =>
  [...shared, part(1_000 + prompts)].map(id => `${id}:40`).join(',');

/** Head of a stream without a length or chunks, which ends with its connection. */
const unframedHead = ({headers: {'boragemill-request-id': id}}) =>
  [
    'HTTP/1.1 200 OK',
    'Content-Type: text/event-stream',
    `Boragemill-Request-Id: ${id}`,
    `Boragemill-Response-Seal: s.${id}`,
    'Connection: close',
    '',
    '',
  ].join('\r\n');

/** The BUDGET rule of the news page on parts that crash runners. */
export function checkBudget({crashes, arrivals}) {
  if (crashes.length < 5) return [];
  const fromMs = crashes[4] + CONTACT_MS;
  const late = arrivals.filter(atMs => atMs > fromMs);
  if (late.length <= 3) return [];
  return [
    `BUDGET ${late.length} requests with the part that crashes runners reached ` +
      `runners later than ${CONTACT_MS} ms after the fifth crash; ` +
      `${crashes.length} crashes`,
  ];
}

/** The LOST rule of the news page on sound requests beside them. */
export function checkSound({crashes, sound, firstBadMs, endMs}) {
  const share = (fromMs, toMs) => {
    const sent = sound.filter(s => s.sentMs >= fromMs && s.sentMs < toMs);
    const begun = sent.filter(s => s.hasBegun).length;
    return {begun, sent: sent.length};
  };
  const calm = share(0, firstBadMs);
  const lastMs = crashes[Math.min(crashes.length, 5) - 1] ?? Infinity;
  const after = share(lastMs + 2 * CONTACT_MS, endMs);
  record(
    `sound requests that began: ${calm.begun} of ${calm.sent} in calm, ` +
      `${after.begun} of ${after.sent} after the crashes`,
  );
  if (calm.sent < 20 || after.sent < 20) return [];
  if (after.begun / after.sent >= calm.begun / calm.sent / 2) return [];
  return [
    `LOST ${after.begun} of ${after.sent} sound requests began later than ` +
      `${2 * CONTACT_MS} ms after the last of ${crashes.length} crashes, ` +
      `${calm.begun} of ${calm.sent} before`,
  ];
}

/**
 * Plays for `playMs`; every `intervalMs` come `burst` requests with the part. `shared`
 * gives the shared parts of a prompt by its number and whether it has the bad one.
 * Answers have `events` events. With `sendsHead` a runner has sent the head of its
 * answer when it crashes.
 */
export const playBadPart = ({
  shared,
  burst = 1,
  intervalMs,
  playMs,
  events = 8,
  sendsHead = false,
  check,
}) =>
  runCase(async world => {
    const store = world.keep(new Store());
    await store.start();
    store.put('op', 'config', {
      version: 3,
      routes: [
        route('note', 'draft-llm', {
          kind: 'streaming',
          'timeout-ms': 8_000,
          'stream-resume': true,
          'sticky-sessions': true,
        }),
      ],
      services: [service('draft-llm')],
      limits: LIMITS,
      tenants: [{name: 'bergen', 'api-keys': ['key-1'], priority: 1}],
    });
    const zones = ['oslo-a', 'oslo-b', 'oslo-c'];
    const runners = [];
    const arrivals = [];
    const crashes = [];
    for (let i = 0; i < RUNNERS; i++) {
      const runner = new Runner(store, `i-${i}`, 'draft-llm', zones[i % 3]);
      runner.backMs = BACK_MS;
      runner.crashesOn = (req, res) => {
        const parts = req.headers['boragemill-prefix-hash']
          .split(',')
          .slice(0, -1);
        if (!parts.some(text => text.startsWith(`${BAD_PART}:`))) return false;
        arrivals.push(nowMs());
        if (!world.trouble) return false;
        crashes.push(nowMs());
        if (sendsHead) res.socket.write(unframedHead(req));
        return true;
      };
      runner.serve = (req, res) => {
        res.writeHead(200, {'Content-Type': 'text/event-stream'});
        let event = Number(req.headers['last-event-id'] ?? 0);
        const timer = setInterval(() => {
          res.write(`id: ${++event}\ndata: word\n\n`);
          if (event >= events) res.end();
          if (event >= events || res.destroyed) clearInterval(timer);
        }, EVENT_INTERVAL_MS);
      };
      runners.push(runner);
      await world.keep(runner).start();
    }
    const entries = [];
    for (const zone of zones) {
      const entry = new Program('entry', `edge-${zone}-1`, zone, store.address);
      await world.keep(entry).start();
      entries.push(entry);
    }
    for (const entry of entries)
      await waitFor(() => entry.isReady(), `${entry.name} to be ready`);
    const ask = isBad => {
      prompts += 1;
      const parts = shared(prompts, isBad);
      return send(
        entries[prompts % entries.length],
        '/note/1',
        {
          'Api-Key': 'key-1',
          'Boragemill-Deadline-Ms': '8000',
          'Boragemill-Model': 'm',
          'Boragemill-Token-Usage': `${(parts.length + 1) * 40},${6 * events}`,
          'Boragemill-Prefix-Hash': promptOf(parts),
        },
        'x',
      );
    };
    const soundAnswers = [];
    const soundTimer = setInterval(
      () => void ask(false).then(answer => soundAnswers.push(answer)),
      SOUND_INTERVAL_MS,
    );
    await sleep(CALM_MS);
    const firstBadMs = nowMs();
    const badTimer = setInterval(() => {
      for (let i = 0; i < burst; i++) void ask(true);
    }, intervalMs);
    await sleep(playMs);
    const endMs = nowMs();
    clearInterval(soundTimer);
    clearInterval(badTimer);
    await sleep(1_000);
    record(
      `${crashes.length} crashes, ${arrivals.length} arrivals of the part`,
    );
    const begun = new Set(runners.flatMap(r => r.runs.map(({id}) => id)));
    const sound = soundAnswers.map(({id, sentMs}) => ({
      sentMs,
      hasBegun: begun.has(id),
    }));
    return check({crashes, arrivals, sound, firstBadMs, endMs});
  });
