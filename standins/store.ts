/**
 * Stand-in for the platform's store. Tables share one version counter, are read
 * in pages or by long poll for changes, and are written by transactions.
 *
 * Tests switch faults on. Each state of the last seconds is kept, so that reads can
 * be answered from an older one and the store can come back from a copy. A client
 * that has an address of its own can be told apart from others.
 */
import http from 'node:http';
import type net from 'node:net';
import {Map as PersistentMap} from 'immutable';
import {listen} from './ports';

interface Row {
  readonly table: string;
  readonly key: string;
  readonly value: string;
  readonly ver: number;
  readonly deleted?: boolean;
}

interface Transaction {
  readonly 'expected-revision': readonly Row[];
  readonly puts: readonly Row[];
  readonly remove: readonly Row[];
}

/**
 * Whether the store answers as usual, with 503, or not at all, or resets all
 * connections.
 */
export type StoreMode = 'normal' | 'busy' | 'silent' | 'reset';

/** What the store holds at one moment. */
export interface StoreState {
  readonly atMs: number;
  readonly version: number;
  /** Polls that start before this version get 410 and must read anew. */
  readonly oldestVersion: number;
  readonly rows: PersistentMap<string, Row>;
}

/** What polls get while they hear nothing: no answer, or that nothing has changed. */
export type Deafness = 'unanswered' | 'unchanged';

/** Reads, and polls if `includesFeed`, that are answered from another state. */
export interface StaleReads {
  readonly state: () => StoreState;
  readonly includesFeed: boolean;
}

/** Version of the store, if the answer names it, and further fields. */
type Body = Readonly<Record<string, unknown>> & {readonly ver?: number};

type Answer = (status: number, body: Body) => void;

interface Listener {
  readonly server: http.Server;
  readonly sockets: Set<net.Socket>;
}

const PAGE_ROWS = 500;
const PAGE_BYTES = 1_000_000;
/** Time for which states are kept. */
const KEPT_MS = 10_000;

export class StoreStandin {
  mode: StoreMode = 'normal';
  calls = 0;
  /** Time until a call is handled. */
  delayMs = 0;
  staleReads: StaleReads | undefined;
  /** Header `Store-Era`; not sent if undefined. */
  era: number | undefined;
  /** Called for each answer that names a version, with the client's name. */
  handleVersion: (client: string, version: number) => void = () => undefined;
  private deafness: Deafness | undefined;
  /** The state that polls are answered from while they hear nothing. */
  private deafSince: StoreState | undefined;
  private states: readonly StoreState[] = [
    {atMs: 0, version: 0, oldestVersion: 0, rows: PersistentMap()},
  ];
  private readonly pendingPolls = new Set<() => void>();
  private readonly listeners = new Map<string, Listener>();

  /** Listens on a port of its own for the client of this name. */
  async start(client = ''): Promise<string> {
    const server = http.createServer((req, res) => {
      if (this.delayMs === 0) this.handle(client, req, res);
      else setTimeout(() => this.handle(client, req, res), this.delayMs);
    });
    const sockets = new Set<net.Socket>();
    server.on('connection', socket => {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
      if (this.mode === 'reset') socket.resetAndDestroy();
    });
    this.listeners.set(client, {server, sockets});
    const port = await listen(server);
    return `127.0.0.1:${port}`;
  }

  stop(): void {
    for (const {server} of this.listeners.values()) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Resets the connections of all clients, or of those named; new ones work. */
  resetConnections(clients = [...this.listeners.keys()]): void {
    for (const client of clients) {
      const sockets = this.listeners.get(client)?.sockets ?? [];
      for (const socket of sockets) socket.resetAndDestroy();
    }
  }

  /**
   * Writes a row, or removes it if `value` is undefined. Strings are stored
   * as they are, other values as JSON. Returns the row's version.
   */
  put(table: string, key: string, value: unknown): number {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const deleted = value === undefined;
    const ver = this.state.version + 1;
    const row = {
      table,
      key,
      value: Buffer.from(text ?? '').toString('base64'),
      ver,
      ...(deleted ? {deleted} : {}),
    };
    const rows = this.state.rows.set(`${table}/${key}`, row);
    this.enter({...this.state, version: ver, rows});
    return ver;
  }

  /** Drops the change history, so that clients must read tables anew. */
  dropHistory(): void {
    const version = this.state.version + 1;
    this.enter({...this.state, version, oldestVersion: version});
  }

  /** Lets polls hear nothing of changes, or again of all if undefined. */
  deafen(deafness: Deafness | undefined): void {
    this.deafness = deafness;
    this.deafSince = deafness && this.state;
    this.wakePolls();
  }

  /** The newest state that is older than `ageMs`, or the oldest that is kept. */
  stateOf(ageMs: number): StoreState {
    const untilMs = performance.now() - ageMs;
    return this.states.findLast(s => s.atMs <= untilMs) ?? this.states[0]!;
  }

  /** Comes back from a copy; its versions are given out again. */
  restore(copy: StoreState): void {
    if (this.era !== undefined) this.era += 1;
    this.states = [];
    this.enter(copy);
  }

  private get state(): StoreState {
    return this.states.at(-1)!;
  }

  private enter(state: StoreState): void {
    const atMs = performance.now();
    const first = this.states.findLastIndex(s => s.atMs < atMs - KEPT_MS);
    this.states = [...this.states.slice(Math.max(0, first)), {...state, atMs}];
    this.wakePolls();
  }

  private wakePolls(): void {
    for (const wake of [...this.pendingPolls]) wake();
  }

  private handle(
    client: string,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): void {
    this.calls += 1;
    if (this.mode === 'silent') return;
    const {pathname, searchParams} = new URL(req.url ?? '/', 'http://store');
    const answer = (status: number, body: Body) =>
      this.answer(client, res, status, body);
    if (this.mode === 'busy') return answer(503, {});
    if (pathname === '/boragemill/rows-get')
      return answer(200, this.readPage(searchParams));
    if (pathname === '/boragemill/rows-tx') return this.transact(req, answer);
    if (pathname === '/boragemill/rows-feed')
      return this.longPoll(searchParams, res, answer);
    answer(404, {});
  }

  private transact(req: http.IncomingMessage, answer: Answer): void {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => {
      const body = JSON.parse(Buffer.concat(chunks).toString()) as Transaction;
      const holds = body['expected-revision'].every(({table, key, ver}) => {
        const row = this.state.rows.get(`${table}/${key}`);
        return (row && !row.deleted ? row.ver : 0) === ver;
      });
      if (!holds) return answer(412, {});
      for (const {table, key, value} of body.puts) {
        this.put(table, key, Buffer.from(value, 'base64').toString());
      }
      for (const {table, key} of body.remove) this.put(table, key, undefined);
      answer(200, {ver: this.state.version});
    });
  }

  private readPage(query: URLSearchParams): Body {
    const {staleReads} = this;
    const state = staleReads?.state() ?? this.state;
    const table = query.get('table') ?? '';
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    const found = [...state.rows.values()]
      .filter(r => r.table === table && !r.deleted)
      .filter(({key}) => key >= from && (to === null || key < to))
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
    let bytes = 0;
    const rows = found.slice(0, limit).filter(({value}, i) => {
      bytes += value.length;
      return i === 0 || bytes <= PAGE_BYTES;
    });
    const hasMore = rows.length < found.length;
    return {rows, 'has-more': hasMore, ver: state.version};
  }

  private longPoll(
    query: URLSearchParams,
    res: http.ServerResponse,
    answer: Answer,
  ): void {
    const table = query.get('table') ?? '';
    const after = Number(query.get('after'));
    const isGone = () =>
      after < this.feedState.oldestVersion || after > this.state.version;
    const changed = () =>
      [...this.feedState.rows.values()]
        .filter(r => r.table === table && r.ver > after)
        .sort((a, b) => a.ver - b.ver);
    const stop = () => {
      this.pendingPolls.delete(finishIfChanged);
      clearTimeout(timer);
    };
    const finish = () => {
      stop();
      if (this.mode === 'silent' || this.deafness === 'unanswered') return;
      if (this.mode === 'busy') return answer(503, {});
      if (isGone()) return answer(410, {ver: this.state.version});
      answer(200, {rows: changed(), ver: this.feedState.version});
    };
    const finishIfChanged = () => {
      if (this.deafness === 'unanswered') return;
      if (isGone() || changed().length > 0) finish();
    };
    const timer = setTimeout(finish, Number(query.get('wait-ms')));
    this.pendingPolls.add(finishIfChanged);
    res.once('close', stop);
    finishIfChanged();
  }

  /** The state by which polls are answered. */
  private get feedState(): StoreState {
    const {staleReads, deafSince} = this;
    if (deafSince) return deafSince;
    return staleReads?.includesFeed ? staleReads.state() : this.state;
  }

  private answer(
    client: string,
    res: http.ServerResponse,
    status: number,
    body: Body,
  ): void {
    if (res.destroyed || !res.socket || res.socket.destroyed) return;
    const text = JSON.stringify({
      ...body,
      'now-ms': Math.round(performance.now()),
    });
    const {era} = this;
    res.writeHead(status, {
      'Content-Type': 'application/json',
      ...(era === undefined ? {} : {'Store-Era': era}),
    });
    res.end(text);
    if (body.ver !== undefined) this.handleVersion(client, body.ver);
  }
}
