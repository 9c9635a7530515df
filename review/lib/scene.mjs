/**
 * Stand-ins and helpers for the cases of this review: a store, runners, a
 * client, a proxy, and the entry started with the command of the deploy file.
 * Plain Node.js, without dependencies. Everything listens on loopback.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {URL} from 'node:url';
import console from 'node:console';
import {clearTimeout, setTimeout} from 'node:timers';
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';

export const HOST = 'desk.example';
export const TROUBLE = process.env.TROUBLE !== '0';
export const sleep = ms => new Promise(done => setTimeout(done, ms));

const startMs = performance.now();
export const nowMs = () => performance.now() - startMs;

/** The file that the case's `run.sh` names, `record.txt` in its folder. */
const recordFile = process.argv[2];
let lastLine = '';
/** Adds a line to the record at once. */
export function record(text) {
  lastLine = `${(nowMs() / 1000).toFixed(3).padStart(8)} s  ${text}`;
  fs.appendFileSync(recordFile, `${lastLine}\n`);
}

const REPOSITORY = path.resolve(import.meta.dirname, '../..');
const children = new Set();
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));

/** Ends all processes that this one started, by their ids. */
function endChildren() {
  for (const child of children) {
    try {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    } catch {
      // It has ended already.
    }
  }
  fs.rmSync(folder, {recursive: true, force: true});
}

/** Runs a case; its function returns true if the rule held. */
export async function runCase(play) {
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
    process.on(signal, () => {
      record(`stopped by ${signal}`);
      endChildren();
      process.exit(2);
    });
  }
  fs.writeFileSync(recordFile, `TROUBLE=${TROUBLE ? 1 : 0}\n`);
  let code = 2;
  try {
    const held = await play();
    code = held ? 0 : 1;
    record(held ? 'the rule held' : 'THE RULE WAS BROKEN');
  } catch (error) {
    record(`the case could not run: ${error.message ?? error}`);
  }
  endChildren();
  console.log(lastLine);
  process.exit(code);
}

export function freePort(host = '127.0.0.1') {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The platform's store, as PROTOCOL.md describes it. */
export class Store {
  mode = 'normal'; // 'silent': takes calls and does not answer
  version = 0;
  rows = new Map();
  polls = new Set();
  /** Called with the query of each poll. */
  onPoll = () => undefined;
  server = http.createServer((req, res) => this.handle(req, res));

  async start() {
    await new Promise(done => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  /** Writes a row, or removes it if `value` is undefined. */
  put(table, key, value) {
    this.version += 1;
    this.rows.set(`${table}/${key}`, {
      table,
      part: '',
      key,
      value: Buffer.from(JSON.stringify(value ?? null)).toString('base64'),
      ver: this.version,
      ...(value === undefined ? {deleted: true} : {}),
    });
    for (const wake of [...this.polls]) wake();
    return nowMs();
  }

  handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const query = Object.fromEntries(url.searchParams);
    if (this.mode === 'silent') return;
    if (url.pathname === '/boragemill/rows-get') {
      const rows = [...this.rows.values()]
        .filter(r => r.table === query.table && !r.deleted)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return this.answer(res, 200, {rows, 'has-more': false});
    }
    if (url.pathname === '/boragemill/rows-feed') return this.feed(query, res);
    if (url.pathname === '/boragemill/rows-tx') return this.transact(req, res);
    this.answer(res, 404, {});
  }

  feed(query, res) {
    this.onPoll(query);
    const after = Number(query.after);
    const changed = () =>
      [...this.rows.values()]
        .filter(r => r.table === query.table && r.ver > after)
        .sort((a, b) => a.ver - b.ver);
    const finish = () => {
      this.polls.delete(wake);
      clearTimeout(timer);
      if (this.mode === 'silent') return;
      this.answer(res, 200, {rows: changed()});
    };
    const wake = () => {
      if (changed().length > 0) finish();
    };
    const timer = setTimeout(finish, Number(query['wait-ms'] ?? 0));
    this.polls.add(wake);
    res.on('close', () => {
      this.polls.delete(wake);
      clearTimeout(timer);
    });
    wake();
  }

  transact(req, res) {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      const tx = JSON.parse(Buffer.concat(chunks).toString());
      const holds = (tx['expected-revision'] ?? []).every(
        ({table, key, ver}) => {
          const row = this.rows.get(`${table}/${key}`);
          return (row && !row.deleted ? row.ver : 0) === ver;
        },
      );
      if (!holds) return this.answer(res, 412, {});
      for (const {table, key, value} of tx.puts ?? []) {
        this.put(
          table,
          key,
          JSON.parse(Buffer.from(value, 'base64').toString()),
        );
      }
      for (const {table, key} of tx.remove ?? [])
        this.put(table, key, undefined);
      this.answer(res, 200, {});
    });
  }

  answer(res, status, body) {
    const text = JSON.stringify({
      ...body,
      ver: this.version,
      'now-ms': Math.round(nowMs()),
    });
    res.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
    });
    res.end(text);
  }
}

/** A runner. `handler` answers the requests that are for it. */
export class Runner {
  /** Requests that have arrived, with their times. */
  arrivals = [];
  leaving = false;
  server = http.createServer((req, res) => this.handle(req, res));

  constructor(id, service, handler = answerWith('done')) {
    Object.assign(this, {id, service, handler});
  }

  async start(host = '127.0.0.1') {
    await new Promise(done => this.server.listen(0, host, done));
    this.address = `${host}:${this.server.address().port}`;
  }

  registration(overrides = {}) {
    return {
      service: this.service,
      address: this.address,
      zone: 'oslo-a',
      version: 'v1',
      slots: 6,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 1,
      born: this.born ?? (this.born = Date.now()),
      ...overrides,
    };
  }

  handle(req, res) {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      if (req.url === '/health') {
        res.writeHead(this.leaving ? 503 : 200, {
          'Boragemill-Instance-Id': this.id,
        });
        return res.end();
      }
      const id = req.headers['boragemill-request-id'];
      const expected = req.headers['boragemill-expect-instance'];
      if (expected !== undefined && expected !== this.id) {
        record(`runner ${this.id}: 421 to ${id}, which expects ${expected}`);
        res.writeHead(421, {'Boragemill-Instance-Id': this.id});
        return res.end();
      }
      this.arrivals.push({
        id,
        ms: nowMs(),
        tenant: req.headers['boragemill-tenant'],
      });
      record(
        `runner ${this.id}: runs ${id} (${req.method} ${req.url}, tenant ${req.headers['boragemill-tenant'] ?? 'none'})`,
      );
      this.handler(req, res, this);
    });
  }

  /** Headers of an answer to a request. */
  headers(req) {
    const id = req.headers['boragemill-request-id'];
    return {
      'Boragemill-Request-Id': id,
      'Boragemill-Response-Seal': `s.${this.id}.${id}`,
      ...(this.leaving ? {'Server-Leaving': '1'} : {}),
    };
  }
}

export function answerWith(text, afterMs = 60) {
  return (req, res, runner) =>
    setTimeout(() => {
      res.writeHead(200, {
        ...runner.headers(req),
        'Content-Length': Buffer.byteLength(text),
      });
      res.end(text);
    }, afterMs);
}

/** Settings of the site steinsekk-hq. */
const BOUNDS = {
  'seed-lag-s': 3,
  'reuse-after-s': 2,
  'contact-ms': 3000,
  'ack-timeout-ms': 4000,
  'catch-up-s': 4,
  'drain-timeout-ms': 2000,
  'grace-s': 8,
  'loss-slack-ms': 200,
  'config-apply-ms': 2000,
  'rollback-slack-ms': 250,
  'max-skew-ms': 5000,
  'fail-closed': true,
  'revoke-ms': 5000,
  'retry-budget-ratio': 0.2,
  'budget-window-s': 10,
  'budget-slack': 88,
  'cold-overage': 1.5,
  'cold-slack': 5,
  'evacuate-ms': 5000,
  'recovery-s': 12,
  'pass-ms': 120,
  'retry-after-s': 0,
  stall_ms: 1500,
  'enforce-fencing': false,
};

export function route(name, kind, service, overrides = {}) {
  return {
    name: `r-${name}`,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    'timeout-ms': 4000,
    'target-latency-ms': 387,
    priority: 2,
    service,
    'max-attempts': kind === 'non_idempotent' ? 1 : 2,
    public: false,
    ...overrides,
  };
}

export function service(name) {
  return {
    name,
    'health-path': '/health',
    'max-connections': 48,
    protocol: 'h1',
    tls: false,
    'cold-start-s': 0,
    'cold-per-s': 0,
  };
}

export const LIMITS = {
  'max-header-bytes': 16384,
  'max-body-bytes': 4194304,
  'header-timeout-ms': 3000,
  'idle-timeout-ms': 15000,
};

/** The command of `deploy/system.toml`, with the settings given. */
export async function startEntry(name, host, storeAddress) {
  const port = await freePort(host);
  const ready = await freePort(host);
  const peer = await freePort(host);
  const settings = {
    'node-name': name,
    role: 'entry',
    'machine-class': 'edge',
    serves: ['edge'],
    ip: host,
    zone: 'oslo-a',
    region: 'oslo',
    zones: {'oslo-a': 'oslo'},
    listen: {front: `${host}:${port}`, 'readiness-addr': `${host}:${ready}`},
    'internal-ports': [peer, peer + 15],
    seeds: [],
    bootstrap: true,
    'in-tolerance': false,
    limits: {
      'cpu-share': 0.675,
      'cpu-cores': 1,
      'memory-mb': 350,
      'max-fds': 4200,
      'link-mbps': 1000,
      'disk-mb': 0,
    },
    'data-dir': null,
    discovery: 'platform',
    entry: 'vip',
    'heartbeat-ms': 1200,
    contracts: [
      'base',
      'drain',
      'config',
      'retry',
      'recover',
      'stream',
      'tenants',
      'platform',
    ],
    'fault-tolerance': {machines: 2, zones: 1, regions: 0},
    bounds: BOUNDS,
    platform: {
      address: storeAddress,
      form: 'table',
      'writes-per-s': 400,
      'reads-per-s': 2000,
      'tx-ms': 5,
      'part-writes-s': 200,
      'row-bytes': 65536,
      across: false,
      'history-s': 20,
    },
  };
  const file = path.join(folder, `${name}.json`);
  fs.writeFileSync(file, JSON.stringify(settings));
  const run = entryCommand();
  const [program, ...args] = run;
  const child = spawn(program, args, {
    cwd: REPOSITORY,
    env: {
      PATH: process.env.PATH,
      HOME: process.env.HOME,
      LANG: 'C',
      BORAGEMILL_SETTINGS: file,
    },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  children.add(child);
  const entry = {name, host, port, ready, child, log: [], exit: undefined};
  const keep = chunk => entry.log.push(chunk.toString());
  child.stdout.on('data', keep);
  child.stderr.on('data', keep);
  child.on('exit', (code, signal) => {
    entry.exit = {code, signal, ms: nowMs()};
    record(`${name}: process ended, code ${code}, signal ${signal}`);
  });
  record(`${name}: started, pid ${child.pid}`);
  return entry;
}

/** The `run` line of the role `entry` in the deploy file. */
function entryCommand() {
  const text = fs.readFileSync(
    path.join(REPOSITORY, 'deploy/system.toml'),
    'utf8',
  );
  const role = text.slice(text.indexOf('[roles.entry]'));
  return /^run = "(.*)"$/m.exec(role)[1].split(' ');
}

export async function waitReady(entry, ms = 20000) {
  const endMs = nowMs() + ms;
  while (nowMs() < endMs) {
    if (entry.exit)
      throw new Error(
        `${entry.name} ended while starting: ${entry.log.join('')}`,
      );
    const status = await new Promise(done => {
      http
        .get(
          {
            host: entry.host,
            port: entry.ready,
            path: '/boragemill/ready',
            agent: false,
          },
          res => {
            res.resume();
            done(res.statusCode);
          },
        )
        .on('error', () => done(0));
    });
    if (status === 200) return;
    await sleep(100);
  }
  throw new Error(`${entry.name} did not become ready`);
}

let sentCount = 0;

/** Sends a request as a client; resolves with what it got. */
export function send(entry, urlPath, options = {}) {
  const id = options.id ?? `q${String((sentCount += 1)).padStart(4, '0')}`;
  const {method = 'GET', key, agent = false, body, deadlineMs = 4000} = options;
  const sentMs = nowMs();
  record(
    `client: sends ${id} (${method} ${urlPath}, key ${key ?? 'none'}) to ${entry.name}`,
  );
  return new Promise(done => {
    const finish = result => {
      clearTimeout(timer);
      record(
        `client: ${id} gets ${result.status ?? `no answer (${result.error})`}`,
      );
      done({id, sentMs, endMs: nowMs(), ...result});
    };
    const req = http.request({
      host: entry.host,
      port: entry.port,
      method,
      path: urlPath,
      agent,
      headers: {
        Host: HOST,
        'Boragemill-Request-Id': id,
        'Boragemill-Deadline-Ms': String(deadlineMs),
        ...(key === undefined ? {} : {'Api-Key': key}),
        ...(body === undefined
          ? {}
          : {'Content-Length': Buffer.byteLength(body)}),
        ...options.headers,
      },
    });
    const timer = setTimeout(() => {
      finish({error: 'deadline of the client'});
      req.destroy();
    }, deadlineMs + 500);
    req.on('response', res => {
      const chunks = [];
      res.on('data', chunk => chunks.push(chunk));
      res.on('end', () =>
        finish(
          res.complete
            ? {
                status: res.statusCode,
                headers: res.headers,
                body: Buffer.concat(chunks).toString(),
              }
            : {error: 'the answer ended early'},
        ),
      );
      res.on('error', error =>
        finish({error: `answer broken off: ${error.message}`}),
      );
    });
    let over = false;
    req.on('error', error => {
      if (!over) finish({error: error.message});
      over = true;
    });
    req.end(body);
  });
}

/**
 * A proxy in front of an address. `silence` lets the connections that are open
 * go silent for good, without a reset; new ones work.
 */
export class Proxy {
  pairs = new Set();

  constructor(target) {
    this.target = target;
  }

  async start() {
    const [host, port] = this.target.split(':');
    this.server = net.createServer(near => {
      const far = net.connect(Number(port), host);
      const pair = {near, far, silent: false};
      this.pairs.add(pair);
      for (const [from, to] of [
        [near, far],
        [far, near],
      ]) {
        from.on('data', chunk => {
          if (!pair.silent) to.write(chunk);
        });
        from.on('end', () => {
          if (!pair.silent) to.end();
        });
        from.on('close', () => {
          this.pairs.delete(pair);
          if (!pair.silent) to.destroy();
        });
        from.on('error', () => undefined);
      }
    });
    await new Promise(done => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  silence() {
    for (const pair of this.pairs) pair.silent = true;
    return this.pairs.size;
  }
}
