/**
 * The platform's store in test form: tables with a version counter, whole
 * readings and long polls, and faults that a test switches on.
 */
import http from 'node:http';
import {AddressInfo} from 'node:net';

interface Row {
  readonly table: string;
  readonly key: string;
  readonly value: string;
  readonly ver: number;
  readonly deleted?: boolean;
}

/** How the store answers: as usual, with 503, or not at all. */
export type StoreMode = 'normal' | 'busy' | 'silent';

export class StoreStandin {
  mode: StoreMode = 'normal';
  calls = 0;
  private version = 0;
  /** Changes before this version are forgotten. */
  private oldest = 0;
  private readonly rows = new Map<string, Row>();
  private readonly waiting = new Set<() => void>();
  private readonly server = http.createServer((req, res) =>
    this.handle(req, res),
  );

  async start(): Promise<string> {
    await new Promise<void>(done =>
      this.server.listen(0, '127.0.0.1', () => done()),
    );
    const {port} = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a row; undefined removes it. Text is stored as it is. */
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
    for (const wake of [...this.waiting]) wake();
  }

  /** Forgets the history: feeds must read anew. */
  compact(): void {
    this.version += 1;
    this.oldest = this.version;
    for (const wake of [...this.waiting]) wake();
  }

  private handle(req: http.IncomingMessage, res: http.ServerResponse): void {
    this.calls += 1;
    if (this.mode === 'silent') return;
    const {pathname, searchParams} = new URL(req.url ?? '/', 'http://store');
    const table = searchParams.get('table') ?? '';
    if (this.mode === 'busy') return this.answer(res, 503, {});
    if (pathname === '/boragemill/rows-get') return this.read(table, res);
    if (pathname === '/boragemill/rows-feed') {
      const after = Number(searchParams.get('after'));
      return this.feed(table, after, Number(searchParams.get('wait-ms')), res);
    }
    this.answer(res, 404, {});
  }

  private read(table: string, res: http.ServerResponse): void {
    const rows = [...this.rows.values()].filter(
      r => r.table === table && !r.deleted,
    );
    this.answer(res, 200, {rows, 'has-more': false, ver: this.version});
  }

  private feed(
    table: string,
    after: number,
    waitMs: number,
    res: http.ServerResponse,
  ): void {
    const changed = () =>
      [...this.rows.values()].filter(r => r.table === table && r.ver > after);
    const finish = () => {
      this.waiting.delete(look);
      clearTimeout(timer);
      if (this.mode === 'silent') return;
      if (this.mode === 'busy') return this.answer(res, 503, {});
      if (after < this.oldest) return this.answer(res, 410, {});
      this.answer(res, 200, {rows: changed(), ver: this.version});
    };
    const look = () => {
      if (changed().length > 0 || after < this.oldest) finish();
    };
    const timer = setTimeout(finish, waitMs);
    this.waiting.add(look);
    look();
  }

  private answer(res: http.ServerResponse, status: number, body: object): void {
    const text = JSON.stringify({...body, 'now-ms': 0});
    res.writeHead(status, {'Content-Type': 'application/json'});
    res.end(text);
  }
}
