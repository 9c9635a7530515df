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
const BAD_PART = 'bad0bad0';
const SOUND_INTERVAL_MS = 150;

const hex = n => (0x10000000 + n).toString(16);
let prompts = 0;
/**
 * Shared parts in order, then one of the request's own. `badPosition` is that of
 * the part that crashes runners, from 1; undefined for a sound prompt.
 */
function prompt(sharedParts, badPosition) {
  const shared = Array.from({length: sharedParts}, (_, i) => hex(i));
  if (badPosition !== undefined) shared[badPosition - 1] = BAD_PART;
  return [...shared, hex(1_000 + prompts++)].map(id => `${id}:40`).join(',');
}

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

/**
 * Plays for `playMs`; every `intervalMs` come `burst` requests with the part, which
 * is at `position` among `sharedParts`. With `sendsHead` a runner has sent the head of
 * its answer when it crashes.
 */
export const playBadPart = (
  folder,
  {sharedParts, position, burst, intervalMs, playMs, sendsHead = false},
) =>
  runCase(folder, async world => {
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
    const arrivals = [];
    const crashes = [];
    for (let i = 0; i < RUNNERS; i++) {
      const runner = new Runner(store, `i-${i}`, 'draft-llm', zones[i % 3]);
      runner.backMs = BACK_MS;
      runner.crashesOn = (req, res) => {
        const parts = req.headers['boragemill-prefix-hash']
          .split(',')
          .slice(0, -1);
        if (!parts.some(part => part.startsWith(`${BAD_PART}:`))) return false;
        arrivals.push({
          id: req.headers['boragemill-request-id'],
          atMs: nowMs(),
        });
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
          if (event >= 8) res.end();
          if (event >= 8 || res.destroyed) clearInterval(timer);
        }, 50);
      };
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
    let turn = 0;
    const ask = isBad =>
      send(
        entries[turn++ % entries.length],
        '/note/1',
        {
          'Api-Key': 'key-1',
          'Boragemill-Deadline-Ms': '8000',
          'Boragemill-Model': 'm',
          'Boragemill-Token-Usage': `${(sharedParts + 1) * 40},48`,
          'Boragemill-Prefix-Hash': prompt(
            sharedParts,
            isBad ? position : undefined,
          ),
        },
        'x',
      );
    const sound = setInterval(() => void ask(false), SOUND_INTERVAL_MS);
    await sleep(BOUNDS['contact-ms']);
    const bad = setInterval(() => {
      for (let i = 0; i < burst; i++) void ask(true);
    }, intervalMs);
    await sleep(playMs);
    clearInterval(sound);
    clearInterval(bad);
    record(
      `${crashes.length} crashes, ${arrivals.length} arrivals of the part`,
    );
    const fromMs =
      crashes.length < 5 ? Infinity : crashes[4] + BOUNDS['contact-ms'];
    const late = arrivals.filter(({atMs}) => atMs > fromMs);
    if (late.length <= 3) return [];
    return [
      `BUDGET ${late.length} requests with the part that crashes runners reached ` +
        `runners later than ${BOUNDS['contact-ms']} ms after the fifth crash; ` +
        `${crashes.length} crashes`,
    ];
  });
