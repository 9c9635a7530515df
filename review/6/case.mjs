/**
 * A group of twelve ranks with a sidecar each, and one entry. A batch of streams
 * comes every twelve seconds. Orders to the ranks are carried out late, and all
 * sidecars are killed at once while their coordinator arms the ranks for a new
 * expert map. All ranks must have the same map in each pass.
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {URL} from 'node:url';
import http from 'node:http';
import {
  configuration,
  entrySettings,
  hasTrouble,
  HOST,
  newIp,
  newRequestId,
  PORTS,
  registration,
  requestHead,
  runCase,
  sendRequest,
  sidecarSettings,
  sleep,
  Store,
  untilReady,
} from '../lib-2/scene.mjs';

const SIZE = 12;
const SETS = 3;
const EXPERTS = 96;
const PLACEMENTS = 11;
const SPARE = 4;
const EXPERT_MB = 2_200;
const LINK_MBPS = 44_000;
const COPY_MS = (EXPERT_MB * 8_000) / LINK_MBPS;
const SERVICE = 'huvo11a';
const PASS_MS = 50;
const EVENTS = 26;
const BATCH = 16;
const BATCH_INTERVAL_MS = 10_000;
/** Share of the orders that get no answer and are carried out late. */
const LATE_SHARE = 0.5;
const LATE_FROM_MS = 2_000;
const LATE_TO_MS = 12_000;
const RESTART_MS = 1_000;
const PLAY_MS = 106_000;
const ROUTE = {
  name: 'r-2yhvz3p',
  host: HOST,
  prefix: '/lohu930/',
  kind: 'streaming',
  'timeout-ms': 8000,
  'target-latency-ms': 401,
  priority: 1,
  service: SERVICE,
  'max-attempts': 2,
  public: false,
  'sticky-sessions': true,
  'stream-resume': true,
  'target-gap-ms': 120,
};
const ENGINE = {
  slots: 8,
  'kv-cache-tokens': 329333,
  stride: 6,
  step_ms: 4.84,
  per_seq_ms: 0.543,
  read_per_s: 74800,
  sets: SETS,
  experts: EXPERTS,
  placements: PLACEMENTS,
  spare: SPARE,
  'expert-mb': EXPERT_MB,
  'link-mbps': LINK_MBPS,
};

/** Map 0 assigns the experts in turn; indexed by set, then by rank. */
const FIRST_MAP = Array.from({length: SETS}, () =>
  Array.from({length: SIZE}, (_, rank) =>
    Array.from({length: EXPERTS / SIZE}, (_, i) => i * SIZE + rank),
  ),
);

/** The ranks of one group, as PROTOCOL.md describes them. */
class Group {
  step = 0;
  epoch = 1;
  born = Date.now();
  late = false;
  lateOrders = [];
  violation = undefined;
  mapChanges = 0;
  onOrder = () => undefined;

  constructor(record) {
    this.record = record;
    this.ranks = Array.from({length: SIZE}, (_, rank) => ({
      rank,
      highest: 0,
      map: {version: 0, content: FIRST_MAP},
      prepared: undefined,
      armed: undefined,
      held: undefined,
      running: [],
      sequence: 0,
      counts: new Array(SETS * EXPERTS).fill(0),
    }));
    this.shiftDemand();
  }

  /** Draws anew which experts are liked. */
  shiftDemand() {
    this.cumulative = Array.from({length: SETS}, () => {
      const order = Array.from({length: EXPERTS}, (_, i) => i);
      for (let i = EXPERTS - 1; i > 0; i--) {
        const j = Math.floor(Math.random() * (i + 1));
        [order[i], order[j]] = [order[j], order[i]];
      }
      const weights = new Array(EXPERTS);
      order.forEach(
        (expert, place) => (weights[expert] = 1 / (place + 1) ** 1.3),
      );
      let sum = 0;
      const sums = weights.map(w => (sum += w));
      return sums.map(s => s / sum);
    });
  }

  async start(ips) {
    this.addresses = ips.map(ip => `${ip}:${PORTS.app}`);
    for (const [i, ip] of ips.entries()) {
      const server = http.createServer((req, res) => this.handle(i, req, res));
      server.keepAliveTimeout = 60_000;
      await new Promise(done => server.listen(PORTS.app, ip, done));
    }
    this.timer = setInterval(() => this.beginPass(), PASS_MS);
  }

  beginPass() {
    // An idle group makes no passes.
    if (this.ranks.every(r => r.running.length === 0)) return;
    const next = this.step + 1;
    if (this.ranks.some(r => r.held === next)) return;
    this.step = next;
    let hasSwitched = false;
    for (const rank of this.ranks) {
      if (rank.armed?.step !== next) continue;
      const {version, content} = rank.prepared;
      rank.map = {version, content};
      rank.prepared = undefined;
      rank.armed = undefined;
      hasSwitched = true;
    }
    const seen = this.ranks.map(
      ({map}) => `${map.version} ${JSON.stringify(map.content)}`,
    );
    if (new Set(seen).size > 1 && !this.violation) {
      const versions = this.ranks.map(r => r.map.version).join(' ');
      this.violation = `pass ${next} begins with the maps ${versions}`;
      this.record.write(`MAP: ${this.violation}`);
    } else if (hasSwitched) {
      this.mapChanges += 1;
      this.record.write(
        `all ranks switch to map ${this.ranks[0].map.version} at pass ${next}`,
      );
    }
    for (const rank of this.ranks) {
      for (const request of [...rank.running]) {
        this.choose(rank.counts);
        request.advance();
      }
    }
  }

  choose(counts) {
    for (let set = 0; set < SETS; set++) {
      for (let n = 0; n < 40; n++) {
        const at = Math.random();
        const expert = this.cumulative[set].findIndex(sum => at < sum);
        counts[set * EXPERTS + Math.max(0, expert)] += 1;
      }
    }
  }

  handle(index, req, res) {
    const rank = this.ranks[index];
    const [path, query = ''] = req.url.split('?');
    const json = (status, body) => {
      const text = JSON.stringify(body);
      res.writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(text),
      });
      res.end(text);
    };
    if (path === '/boragemill/report') {
      req.resume();
      const {map, armed, held, running, sequence} = rank;
      return json(200, {
        stage: 'mixed',
        models: [{name: 'm', version: 1, adapters: []}],
        busy: false,
        sequence,
        queued: 0,
        running: running.length,
        'kv-used': 0,
        'kv-total': 329333,
        handles: 0,
        born: this.born,
        group: {name: 'g-1', epoch: this.epoch, rank: index, state: 'open'},
        size: SIZE,
        step: this.step,
        map: map.version,
        prepared: this.preparedVersion(rank),
        armed: armed?.version,
        held,
      });
    }
    if (path === '/boragemill/picked') {
      req.resume();
      const base = {step: this.step, epoch: this.epoch, born: this.born};
      if (!query.includes('lists'))
        return json(200, {...base, counts: rank.counts});
      const {version, content} = rank.map;
      const experts = content.map(ofSet => ofSet[index]);
      return json(200, {...base, map: {version, experts}});
    }
    if (path === '/boragemill/order') {
      const chunks = [];
      req.on('data', chunk => chunks.push(chunk));
      req.on('end', () => {
        const order = JSON.parse(Buffer.concat(chunks));
        const isLate = this.late && Math.random() < LATE_SHARE;
        if (isLate) {
          const ms = LATE_FROM_MS + Math.random() * (LATE_TO_MS - LATE_FROM_MS);
          setTimeout(() => this.carryOut(rank, order, 'late'), ms);
        } else json(this.carryOut(rank, order, ''), {});
        this.onOrder(index, order, isLate);
      });
      return;
    }
    req.resume();
    if (path === '/health') return json(200, {});
    this.serveStream(rank, req, res);
  }

  serveStream(rank, req, res) {
    res.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Boragemill-Request-Id': req.headers['boragemill-request-id'],
      'Boragemill-Response-Seal': '3e1b.07.5a2.600.0.c9f2a4d1',
    });
    let n = Number(req.headers['last-event-id'] ?? 0);
    const request = {
      advance: () => {
        n += 1;
        res.write(`id: ${n}\ndata: ${'x'.repeat(40)}\n\n`);
        if (n < EVENTS) return;
        leave();
        res.end();
      },
    };
    const leave = () => {
      const at = rank.running.indexOf(request);
      if (at >= 0) rank.running.splice(at, 1);
    };
    res.on('close', leave);
    rank.running.push(request);
  }

  preparedVersion({prepared}) {
    const isCopied = prepared && prepared.readyMs <= performance.now();
    return isCopied ? prepared.version : undefined;
  }

  /** Returns the status of the answer. */
  carryOut(rank, order, note) {
    const status = this.apply(rank, order);
    if (status === 202) rank.sequence += 1;
    const {op, version, step} = order;
    const what = [op, version, step].filter(v => v !== undefined).join(' ');
    this.record.write(
      `rank ${rank.rank}: ${what}${note ? `, carried out ${note}` : ''} -> ${status} (pass ${this.step})`,
    );
    return status;
  }

  apply(rank, {op, version, step, map, epoch}) {
    if (epoch !== undefined && epoch !== this.epoch) return 409;
    switch (op) {
      case 'prepare': {
        if (version <= rank.highest || rank.armed) return 409;
        const added = map.map((ofSet, set) => {
          const held = new Set(rank.map.content[set][rank.rank]);
          return ofSet[rank.rank].filter(expert => !held.has(expert)).length;
        });
        if (added.some(n => n > SPARE)) return 409;
        const copies = added.reduce((sum, n) => sum + n, 0);
        rank.highest = version;
        rank.prepared = {
          version,
          content: map,
          readyMs: performance.now() + copies * COPY_MS,
        };
        return 202;
      }
      case 'arm':
        if (this.preparedVersion(rank) !== version || step <= this.step)
          return 409;
        if (rank.armed) return rank.armed.step === step ? 200 : 409;
        rank.armed = {version, step};
        return 202;
      case 'disarm':
        if (rank.map.version === version) return 409;
        if (rank.armed?.version !== version) return 200;
        rank.armed = undefined;
        return 202;
      case 'hold':
        if (step <= this.step) return 409;
        if (rank.held !== undefined) return rank.held === step ? 200 : 409;
        rank.held = step;
        return 202;
      case 'go':
        if (rank.held !== step) return 200;
        rank.held = undefined;
        return 202;
      default:
        return 400;
    }
  }
}

await runCase(
  new URL('record.txt', import.meta.url),
  async (record, programs) => {
    const store = new Store();
    await store.start(newIp());
    const group = new Group(record);
    const ips = Array.from({length: SIZE}, newIp);
    await group.start(ips);
    store.put('op', {
      config: configuration(
        7,
        [ROUTE],
        [
          {
            name: SERVICE,
            'health-path': '/health',
            'cold-per-s': 0,
            engine: ENGINE,
          },
        ],
      ),
    });
    store.put(
      'servers',
      Object.fromEntries(
        group.addresses.map((address, i) => [
          `i-7f3a91${i.toString(16).padStart(2, '0')}`,
          registration(SERVICE, address, {born: group.born}),
        ]),
      ),
    );
    const sidecars = new Map();
    const startSidecar = i => {
      const name = `side-bratislava-a-${i + 1}`;
      const settings = sidecarSettings(
        name,
        ips[i],
        store.address,
        group.addresses[i],
        SERVICE,
      );
      sidecars.set(i, programs.start(name, 'sidecar', settings));
    };
    for (let i = 0; i < SIZE; i++) startSidecar(i);
    const ip = newIp();
    programs.start(
      'entry',
      'entry',
      entrySettings('edge-bratislava-a-1', ip, store.address),
    );
    if (!(await untilReady(ip)))
      throw new Error('the entry did not become ready');
    record.write('entry ready');
    await sleep(2_000);

    group.late = hasTrouble;
    let kills = 0;
    let isKilling = false;
    group.onOrder = (rank, {op, version}, isLate) => {
      if (isLate)
        record.write(
          `rank ${rank}: ${op} ${version ?? ''} gets no answer and comes late`,
        );
      if (!hasTrouble || op !== 'arm' || !isLate || isKilling) return;
      isKilling = true;
      kills += 1;
      // The sidecars are killed together; each starts again a second later.
      setTimeout(() => {
        record.write('all sidecars are killed');
        for (const {child} of sidecars.values()) child.kill('SIGKILL');
        setTimeout(() => {
          for (let i = 0; i < SIZE; i++) startSidecar(i);
          record.write('all sidecars start again');
        }, RESTART_MS);
      }, 5);
    };
    const endMs = performance.now() + PLAY_MS;
    const outcomes = new Map();
    const pending = [];
    while (performance.now() + BATCH_INTERVAL_MS < endMs && !group.violation) {
      isKilling = false;
      group.shiftDemand();
      record.write(`${BATCH} streams are sent`);
      for (let i = 0; i < BATCH; i++) {
        const head = requestHead('POST', '/lohu930/2f', newRequestId(), 8_022, [
          'Content-Length: 0',
          'Boragemill-Model: m',
          'Boragemill-Token-Usage: 700,160',
        ]);
        pending.push(
          sendRequest(ip, head, undefined, 8_500).then(
            ({status = '-', how}) => {
              const outcome = `${status}, ${how}`;
              outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
            },
          ),
        );
      }
      const nextMs = performance.now() + BATCH_INTERVAL_MS;
      while (performance.now() < nextMs && !group.violation) await sleep(50);
    }
    await Promise.race([Promise.all(pending), sleep(3_000)]);
    clearInterval(group.timer);
    record.write(
      `streams: ${[...outcomes].map(([o, n]) => `${n} x ${o}`).join('; ')}`,
    );
    record.write(
      `map changes: ${group.mapChanges}; kills: ${kills}; passes: ${group.step}`,
    );
    return group.violation !== undefined;
  },
);
