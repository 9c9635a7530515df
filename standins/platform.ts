/**
 * Stand-in for the platform: table service, object store, instance list.
 *
 * It serves the HTTP interface that `src/platform/client.ts` uses. It can be
 * made slow or unavailable, or made to lose the answer to a write that took
 * effect. Tests set `faults` directly, or with `POST /control` from another
 * process.
 */
import http from 'node:http';
import express, {Request, Response} from 'express';
import {Condition, InstanceRecord, Row, Write} from '../src/platform/client';
import {listen} from './ports';

export interface Faults {
  down: boolean;
  delayMs: number;
  /** Number of coming writes that take effect but get no answer. */
  loseAnswers: number;
  /** Delay until readers see a change of the instance list. */
  listLagMs: number;
}

/** Processes put `/zones/<zone>` before each path, to say their zone. */
const ZONE_PATH = /^\/zones\/([^/]+)\//;

interface StoredValue {
  readonly version: number;
  readonly value: unknown;
}

interface ListSnapshot {
  readonly atMs: number;
  readonly records: readonly InstanceRecord[];
}

export class PlatformStandin {
  readonly faults: Faults = {
    down: false,
    delayMs: 0,
    loseAnswers: 0,
    listLagMs: 0,
  };
  /** Zones cut off from the platform; their requests get no answer. */
  readonly cutZones = new Set<string>();
  /** The address at which processes of a zone reach an instance. */
  addressFor: (zone: string, record: InstanceRecord) => string = (_, record) =>
    record.address;
  readonly rows = new Map<string, StoredValue>();
  readonly objects = new Map<string, string>();
  writes = 0;
  reads = 0;
  private snapshots: ListSnapshot[] = [];
  private server: http.Server | undefined;

  /** Starts on an ephemeral loopback port and returns the base URL. */
  async start(): Promise<string> {
    const app = express();
    app.use(express.json({limit: '16mb'}));
    app.use(express.text({limit: '16mb', type: () => true}));
    app.post('/control', (req, res) => {
      Object.assign(this.faults, req.body);
      res.json(this.faults);
    });
    app.post('/instances', (req, res) => {
      this.setInstances(req.body as InstanceRecord[]);
      res.json({});
    });
    app.use((req, res, next) => this.applyFaults(req, res, next));
    app.use((req, res, next) => {
      res.locals['zone'] = ZONE_PATH.exec(req.url)?.[1] ?? '';
      req.url = req.url.replace(ZONE_PATH, '/');
      next();
    });
    app.use((req, res, next) => {
      if (!this.cutZones.has(String(res.locals['zone']))) next();
    });
    app.get('/instances', (req, res) => {
      res.json(this.visibleInstances(String(res.locals['zone'])));
    });
    app.post('/table/transact', (req, res) => this.transact(req, res));
    app.get('/table/row', (req, res) => {
      res.json(this.readRow(String(req.query['key'])));
    });
    app.get('/table/rows', (req, res) => {
      const prefix = String(req.query['prefix']);
      const keys = [...this.rows.keys()].filter(k => k.startsWith(prefix));
      res.json(keys.sort().map(k => this.readRow(k)));
    });
    app.put('/objects/:hash', (req, res) => {
      this.objects.set(req.params.hash, String(req.body));
      res.json({});
    });
    app.get('/objects/:hash', (req, res) => {
      const body = this.objects.get(req.params.hash);
      if (body === undefined) res.status(404).end();
      else res.type('text/plain').send(body);
    });
    this.server = http.createServer(app);
    const port = await listen(this.server);
    return `http://127.0.0.1:${port}`;
  }

  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** Sets the instance list; readers see it `listLagMs` later. */
  setInstances(records: readonly InstanceRecord[]): void {
    this.snapshots.push({atMs: Date.now(), records});
  }

  private visibleInstances(zone: string): readonly InstanceRecord[] {
    const visible = Date.now() - this.faults.listLagMs;
    const seen = this.snapshots.filter(list => list.atMs <= visible);
    const records = seen.at(-1)?.records ?? [];
    return records.map(record => {
      return {...record, address: this.addressFor(zone, record)};
    });
  }

  private readRow(key: string): Row {
    this.reads += 1;
    const stored = this.rows.get(key);
    return {key, version: stored?.version ?? 0, value: stored?.value ?? null};
  }

  private applyFaults(req: Request, res: Response, next: () => void): void {
    const proceed = () => {
      if (this.faults.down) res.status(503).end();
      else next();
    };
    if (this.faults.delayMs > 0) setTimeout(proceed, this.faults.delayMs);
    else proceed();
  }

  private transact(req: Request, res: Response): void {
    const {conditions, writes} = req.body as {
      conditions: readonly Condition[];
      writes: readonly Write[];
    };
    const failedConditions = conditions.filter(
      c => (this.rows.get(c.key)?.version ?? 0) !== c.version,
    );
    if (failedConditions.length > 0) {
      res.status(409).json(failedConditions.map(c => this.readRow(c.key)));
      return;
    }
    this.writes += 1;
    for (const applyWrite of writes) this.write(applyWrite);
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      req.socket.destroy();
      return;
    }
    res.json({});
  }

  private write({key, value}: Write): void {
    const version = (this.rows.get(key)?.version ?? 0) + 1;
    if (value === null) this.rows.delete(key);
    else this.rows.set(key, {version, value});
  }
}
