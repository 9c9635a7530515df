/**
 * Stand-ins and helpers for the cases 6 and later: the platform's store, the
 * project's programs as separate processes, raw callers, and the record of what
 * was sent, answered and run. Only Node's own modules are used.
 */
import {Buffer} from 'node:buffer';
import console from 'node:console';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../..',
);

export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** False with TROUBLE=0 in the environment. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Writes lines with the time since the start to `record.txt` and the screen. */
export class Record {
  constructor(file) {
    this.out = fs.createWriteStream(file);
    this.startMs = performance.now();
  }

  write(text) {
    const ms = Math.round(performance.now() - this.startMs);
    const line = `${String(ms).padStart(6)} ms  ${text}`;
    this.out.write(`${line}\n`);
    console.log(line);
  }

  close() {
    return new Promise(done => this.out.end(done));
  }
}

/** Loopback addresses of this run, one for each process. */
const block = 16 + (process.pid % 200);
let nextHost = 1;
export const newIp = () =>
  `127.${block}.${(process.pid >> 8) % 250}.${nextHost++}`;

/** A port that is free on a loopback address of this run. */
function freePort() {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, newIp(), () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Ports, the same on all addresses of this run; `app` is for runners. */
export const PORTS = {
  front: await freePort(),
  readiness: await freePort(),
  peers: await freePort(),
  app: await freePort(),
};

/** The platform's store: rows, transactions and the feed of changes. */
export class Store {
  rows = new Map();
  version = 1;
  waiting = new Set();
  startMs = performance.now() - 10_000;

  async start(ip) {
    this.server = http.createServer((req, res) => this.handle(req, res));
    this.server.keepAliveTimeout = 60_000;
    await new Promise(done => this.server.listen(0, ip, done));
    this.address = `${ip}:${this.server.address().port}`;
  }

  /** Writes rows in one transaction; undefined removes one. */
  put(table, values) {
    this.version += 1;
    for (const [key, value] of Object.entries(values)) {
      const bytes =
        value === undefined ? undefined : Buffer.from(JSON.stringify(value));
      const row = {table, part: '', key, bytes, ver: this.version};
      this.rows.set(`${table}\0${key}`, row);
    }
    for (const wake of [...this.waiting]) wake();
  }

  answer(res, status, body) {
    const nowMs = Math.round(performance.now() - this.startMs);
    const text = JSON.stringify({...body, ver: this.version, 'now-ms': nowMs});
    res.writeHead(status, {'Content-Type': 'application/json'});
    res.end(text);
  }

  format({table, part, key, bytes, ver}) {
    return bytes
      ? {table, part, key, value: bytes.toString('base64'), ver}
      : {table, part, key, deleted: true, ver};
  }

  handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const query = url.searchParams;
    const table = query.get('table');
    if (url.pathname === '/boragemill/rows-get') {
      req.resume();
      const from = query.get('from') ?? '';
      const limit = Math.min(500, Number(query.get('limit') ?? 500));
      const found = [...this.rows.values()]
        .filter(r => r.table === table && r.bytes && r.key >= from)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      const rows = found.slice(0, limit).map(row => this.format(row));
      return this.answer(res, 200, {rows, 'has-more': found.length > limit});
    }
    if (url.pathname === '/boragemill/rows-feed') {
      req.resume();
      const after = Number(query.get('after'));
      const waitMs = Math.min(30_000, Number(query.get('wait-ms') ?? 0));
      const changed = () =>
        [...this.rows.values()]
          .filter(r => r.table === table && r.ver > after)
          .sort((a, b) => a.ver - b.ver);
      const finish = () => {
        clearTimeout(timer);
        this.waiting.delete(look);
        if (res.destroyed || res.writableEnded) return;
        this.answer(res, 200, {rows: changed().map(row => this.format(row))});
      };
      const look = () => changed().length > 0 && finish();
      const timer = setTimeout(finish, waitMs);
      this.waiting.add(look);
      res.on('close', () => {
        clearTimeout(timer);
        this.waiting.delete(look);
      });
      look();
      return;
    }
    if (url.pathname === '/boragemill/rows-tx') {
      const chunks = [];
      req.on('data', chunk => chunks.push(chunk));
      req.on('end', () =>
        this.transact(JSON.parse(Buffer.concat(chunks)), res),
      );
      return;
    }
    req.resume();
    this.answer(res, 404, {});
  }

  transact({'expected-revision': expected = [], puts = [], remove = []}, res) {
    const rowOf = ({table, key}) => this.rows.get(`${table}\0${key}`);
    const versionOf = row => (row?.bytes ? row.ver : 0);
    if (expected.some(e => versionOf(rowOf(e)) !== e.ver)) {
      const rows = expected.flatMap(e => rowOf(e) ?? []);
      return this.answer(res, 412, {rows: rows.map(r => this.format(r))});
    }
    this.version += 1;
    const ver = this.version;
    for (const {table, key, value} of puts) {
      const bytes = Buffer.from(value, 'base64');
      this.rows.set(`${table}\0${key}`, {table, part: '', key, bytes, ver});
    }
    for (const {table, key} of remove) {
      this.rows.set(`${table}\0${key}`, {table, part: '', key, ver});
    }
    for (const wake of [...this.waiting]) wake();
    this.answer(res, 200, {});
  }
}

/** Bounds of the site file `ventilka-bory`. */
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
  'budget-slack': 92,
  'cold-overage': 1.5,
  'cold-slack': 5,
  'evacuate-ms': 5000,
  'recovery-s': 12,
  'pass-ms': 120,
  'retry-after-s': 0,
  stall_ms: 1500,
  'enforce-fencing': false,
};

const ZONES = {'bratislava-a': 'sk-west', 'trnava-b': 'sk-west'};

/** Command of a role in the deploy file, split at spaces. */
function commandOf(role) {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  return /run = "([^"]*)"/.exec(section)[1].split(' ');
}

/** The processes of one run; `end` ends all that are left. */
export class Programs {
  constructor(record) {
    this.record = record;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.running = new Set();
  }

  start(name, role, settings) {
    const file = path.join(this.folder, `${name}.json`);
    fs.writeFileSync(file, JSON.stringify(settings));
    const [program, ...args] = commandOf(role);
    const log = fs.openSync(path.join(this.folder, `${name}.log`), 'w');
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        BORAGEMILL_SETTINGS: file,
      },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    const entry = {name, child, file, ended: undefined};
    this.running.add(entry);
    child.on('exit', (code, signal) => {
      this.running.delete(entry);
      entry.ended = {code, signal};
      this.record.write(`process ${name} ended: code ${code} signal ${signal}`);
    });
    return entry;
  }

  /** The end of a process's output. */
  tail(name, lines = 5) {
    const text = fs.readFileSync(path.join(this.folder, `${name}.log`), 'utf8');
    return text.trim().split('\n').slice(-lines);
  }

  log(name) {
    return fs.readFileSync(path.join(this.folder, `${name}.log`), 'utf8');
  }

  async end() {
    for (const {child} of this.running) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    const endMs = performance.now() + 3_000;
    while (this.running.size > 0 && performance.now() < endMs) await sleep(20);
    fs.rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Settings of an entry on a machine of class `edge`. */
export function entrySettings(name, ip, storeAddress) {
  return {
    'node-name': name,
    role: 'entry',
    'machine-class': 'edge',
    serves: ['edge'],
    ip,
    zone: 'bratislava-a',
    region: 'sk-west',
    zones: ZONES,
    listen: {
      front: `${ip}:${PORTS.front}`,
      'readiness-addr': `${ip}:${PORTS.readiness}`,
    },
    'internal-ports': [PORTS.peers, PORTS.peers + 15],
    seeds: [],
    bootstrap: true,
    'in-tolerance': false,
    limits: {
      'cpu-share': 0.675,
      'cpu-cores': 1,
      'memory-mb': 350,
      'max-fds': 4100,
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
      'cost',
      'retry',
      'recover',
      'engine',
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
}

/** Settings of a sidecar beside the runner at `app`. */
export function sidecarSettings(name, ip, storeAddress, app, service) {
  return {
    ...entrySettings(name, ip, storeAddress),
    role: 'sidecar',
    'machine-class': 'side',
    serves: ['side'],
    listen: {},
    limits: {
      'cpu-share': 0.405,
      'cpu-cores': 1,
      'memory-mb': 218,
      'max-fds': 1494,
      'link-mbps': 14,
      'disk-mb': 0,
    },
    app,
    service,
  };
}

export const KEY = 'n2ctnfzs989anu6wsjnb';
export const HOST = 'ficu95.example';

/** A configuration with one tenant. */
export function configuration(version, routes, services) {
  return {
    version,
    routes,
    services,
    limits: {
      'max-header-bytes': 16384,
      'max-body-bytes': 4194304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15000,
    },
    tenants: [{name: 'hule930', 'api-keys': [KEY], priority: 1}],
  };
}

export function registration(service, address, fields = {}) {
  return {
    service,
    address,
    zone: 'bratislava-a',
    version: 'v1',
    slots: 8,
    state: 'ready',
    'cold-remaining-ms': 0,
    sequence: 4,
    ...fields,
  };
}

/** Waits until the entry answers its readiness check with 200. */
export async function untilReady(ip, limitMs = 15_000) {
  const endMs = performance.now() + limitMs;
  while (performance.now() < endMs) {
    if ((await readiness(ip)) === 200) return true;
    await sleep(50);
  }
  return false;
}

/** Status of the readiness check; 0 if there is no answer within a second. */
export function readiness(ip, timeoutMs = 1_000) {
  return new Promise(done => {
    const url = `http://${ip}:${PORTS.readiness}/boragemill/ready`;
    const req = http.get(url, {agent: false, timeout: timeoutMs}, res => {
      res.resume();
      res.on('end', () => done(res.statusCode));
      res.on('error', () => done(0));
    });
    req.on('timeout', () => req.destroy(new Error('timeout')));
    req.on('error', () => done(0));
  });
}

let requests = 0;
export const newRequestId = () =>
  (0x9c41d000 + process.pid * 65_536 + requests++)
    .toString(16)
    .padStart(16, '0');

/** The head of a request of a client. */
export function requestHead(method, target, id, deadlineMs, more = []) {
  return [
    `${method} ${target} HTTP/1.1`,
    `Host: ${HOST}`,
    `Boragemill-Request-Id: ${id}`,
    `Boragemill-Deadline-Ms: ${deadlineMs}`,
    `Api-Key: ${KEY}`,
    ...more,
    '',
    '',
  ].join('\r\n');
}

/** Reads one HTTP/1.1 answer from bytes; undefined while the head is incomplete. */
export function parseAnswer(bytes) {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const lines = bytes.subarray(0, end).toString('latin1').split('\r\n');
  const status = Number(lines[0].split(' ')[1]);
  const headers = new Map(
    lines.slice(1).map(line => {
      const at = line.indexOf(':');
      return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
    }),
  );
  const rest = bytes.subarray(end + 4);
  if (headers.get('transfer-encoding') === 'chunked') {
    const parts = [];
    for (let at = 0; ;) {
      const eol = rest.indexOf('\r\n', at);
      if (eol < 0)
        return {status, headers, body: Buffer.concat(parts), whole: false};
      const size = parseInt(rest.subarray(at, eol).toString('latin1'), 16);
      if (size === 0)
        return {
          status,
          headers,
          body: Buffer.concat(parts),
          whole: rest.length >= eol + 4,
        };
      const chunk = rest.subarray(eol + 2, eol + 2 + size);
      parts.push(chunk);
      if (rest.length < eol + 4 + size)
        return {status, headers, body: Buffer.concat(parts), whole: false};
      at = eol + 4 + size;
    }
  }
  const length = Number(headers.get('content-length') ?? 0);
  return {
    status,
    headers,
    body: rest.subarray(0, length),
    whole: rest.length >= length,
  };
}

/**
 * Sends one request on a connection of its own. Resolves when the answer is
 * complete or the connection has ended.
 */
export function sendRequest(ip, head, body, timeoutMs = 10_000) {
  return new Promise(done => {
    const socket = net.connect(PORTS.front, ip);
    const chunks = [];
    let ended;
    const finish = how => {
      if (ended) return;
      ended = how;
      clearTimeout(timer);
      socket.destroy();
      done({how, ...parseAnswer(Buffer.concat(chunks))});
    };
    const timer = setTimeout(() => finish('no answer in time'), timeoutMs);
    socket.on('connect', () => {
      socket.write(head);
      if (body) socket.write(body);
    });
    socket.on('data', chunk => {
      chunks.push(chunk);
      const answer = parseAnswer(Buffer.concat(chunks));
      if (answer?.whole) finish('answered');
    });
    socket.on('end', () => finish('connection closed'));
    socket.on('error', error => finish(`connection failed: ${error.code}`));
    socket.on('close', () => finish('connection closed'));
  });
}

/** Runs a case; exits with 1 if it returns true, 0 if false, 2 if it fails. */
export async function runCase(file, play) {
  const record = new Record(file);
  const programs = new Programs(record);
  let status = 2;
  const stop = () => void programs.end().then(() => process.exit(2));
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
  const limit = setTimeout(() => {
    record.write('the case took longer than 116 s');
    void programs.end().then(() => process.exit(2));
  }, 116_000);
  try {
    record.write(`trouble: ${hasTrouble ? 'yes' : 'no'}`);
    const broken = await play(record, programs);
    status = broken ? 1 : 0;
    record.write(
      broken ? 'RESULT: the rule was broken' : 'RESULT: the rule held',
    );
  } catch (error) {
    record.write(`RESULT: the case could not run: ${error.stack}`);
  }
  await programs.end();
  clearTimeout(limit);
  await record.close();
  process.exit(status);
}

/** A client that keeps its connection for many requests, one after another. */
export class KeptCaller {
  constructor(ip) {
    this.ip = ip;
    this.answered = 0;
  }

  /**
   * Resolves with the answer, or with the way in which the connection ended.
   * `isKept` tells whether the connection had brought an answer before.
   */
  request(head, body, timeoutMs = 10_000) {
    return new Promise(done => {
      if (!this.socket || this.socket.destroyed) {
        this.socket = net.connect(PORTS.front, this.ip);
        this.answered = 0;
      }
      const {socket} = this;
      const isKept = this.answered > 0;
      const chunks = [];
      const finish = (how, answer) => {
        clearTimeout(timer);
        socket.removeAllListeners();
        socket.on('error', () => undefined);
        const isClosing = answer?.headers.get('connection') === 'close';
        if (how === 'answered' && !isClosing) this.answered += 1;
        else socket.destroy();
        done({how, isKept, ...answer});
      };
      const timer = setTimeout(() => finish('no answer in time'), timeoutMs);
      socket.on('data', chunk => {
        chunks.push(chunk);
        const answer = parseAnswer(Buffer.concat(chunks));
        if (answer?.whole) finish('answered', answer);
      });
      socket.on('error', error => finish(`connection failed: ${error.code}`));
      socket.on('close', () => finish('connection closed'));
      socket.write(body ? head + body : head);
    });
  }

  close() {
    this.socket?.destroy();
  }
}
