/**
 * Stand-in for the platform's store. Tables share one version counter, are read
 * as a whole or by long poll for changes, and are written by transactions.
 * Tests switch faults on.
 */
import http from 'node:http';
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

/** Whether the store answers as usual, with 503, or not at all. */
export type StoreMode = 'normal' | 'busy' | 'silent';

export class StoreStandin {
  mode: StoreMode = 'normal';
  calls = 0;
  private version = 0;
  /** Polls that start before this version get 410 and must read anew. */
  private oldestVersion = 0;
  private readonly rows = new Map<string, Row>();
  private readonly pendingPolls = new Set<() => void>();
  private readonly server = http.createServer((req, res) =>
    this.handle(req, res),
  );

  async start(): Promise<string> {
    const port = await listen(this.server);
    return `127.0.0.1:${port}`;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * Writes a row, or removes it if `value` is undefined. Strings are stored
   * as they are, other values as JSON.
   */
  put(table: string, key: string, value: unknown): void {
    this.version += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const deleted = value === undefined;
    this.rows.set(`${table}/${key}`, {
      table,
      key,
      value: Buffer.from(text ?? '').toString('base64'),
      ver: this.version,
      ...(deleted ? {deleted} : {}),
    });
    for (const wake of [...this.pendingPolls]) wake();
  }

  /** Drops the change history, so that clients must read tables anew. */
  dropHistory(): void {
    this.version += 1;
    this.oldestVersion = this.version;
    for (const wake of [...this.pendingPolls]) wake();
  }

  private handle(req: http.IncomingMessage, res: http.ServerResponse): void {
    this.calls += 1;
    if (this.mode === 'silent') return;
    const {pathname, searchParams} = new URL(req.url ?? '/', 'http://store');
    const table = searchParams.get('table') ?? '';
    if (this.mode === 'busy') return this.answer(res, 503, {});
    if (pathname === '/boragemill/rows-get') return this.readTable(table, res);
    if (pathname === '/boragemill/rows-tx') return this.transact(req, res);
    if (pathname === '/boragemill/rows-feed') {
      const after = Number(searchParams.get('after'));
      return this.longPoll(
        table,
        after,
        Number(searchParams.get('wait-ms')),
        res,
      );
    }
    this.answer(res, 404, {});
  }

  private transact(req: http.IncomingMessage, res: http.ServerResponse): void {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => {
      const body = JSON.parse(Buffer.concat(chunks).toString()) as Transaction;
      const holds = body['expected-revision'].every(({table, key, ver}) => {
        const row = this.rows.get(`${table}/${key}`);
        return (row && !row.deleted ? row.ver : 0) === ver;
      });
      if (!holds) return this.answer(res, 412, {});
      for (const {table, key, value} of body.puts) {
        this.put(table, key, Buffer.from(value, 'base64').toString());
      }
      for (const {table, key} of body.remove) this.put(table, key, undefined);
      this.answer(res, 200, {ver: this.version});
    });
  }

  private readTable(table: string, res: http.ServerResponse): void {
    const rows = [...this.rows.values()].filter(
      r => r.table === table && !r.deleted,
    );
    this.answer(res, 200, {rows, 'has-more': false, ver: this.version});
  }

  private longPoll(
    table: string,
    after: number,
    waitMs: number,
    res: http.ServerResponse,
  ): void {
    const changed = () =>
      [...this.rows.values()].filter(r => r.table === table && r.ver > after);
    const finish = () => {
      this.pendingPolls.delete(finishIfChanged);
      clearTimeout(timer);
      if (this.mode === 'silent') return;
      if (this.mode === 'busy') return this.answer(res, 503, {});
      if (after < this.oldestVersion) return this.answer(res, 410, {});
      this.answer(res, 200, {rows: changed(), ver: this.version});
    };
    const finishIfChanged = () => {
      if (changed().length > 0 || after < this.oldestVersion) finish();
    };
    const timer = setTimeout(finish, waitMs);
    this.pendingPolls.add(finishIfChanged);
    finishIfChanged();
  }

  private answer(res: http.ServerResponse, status: number, body: object): void {
    const text = JSON.stringify({
      ...body,
      'now-ms': Math.round(performance.now()),
    });
    res.writeHead(status, {'Content-Type': 'application/json'});
    res.end(text);
  }
}
