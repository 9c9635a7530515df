/**
 * Stand-in for a group of ranks that run in lock-step on an expert map.
 *
 * The ranks are spread over endpoints; each endpoint speaks the interface of
 * `src/experts/engine.ts`. The first one is the sequencer and names version
 * and hash of its active map in each step. An endpoint that does not hold
 * exactly that map refuses the step, and the step is tried again. `steps`
 * records on which map each endpoint ran each step.
 */
import {randomUUID} from 'node:crypto';
import http from 'node:http';
import {AddressInfo} from 'node:net';
import express, {Request, Response} from 'express';
import {mapKey, MapOrder} from '../src/experts/group';
import {
  ExpertMap,
  movesBetween,
  parseMap,
  rankLoads,
  Shape,
} from '../src/experts/map';

export interface RankOptions {
  readonly shape: Shape;
  readonly endpoints: number;
  readonly stepMs: number;
  /** Whether the engines refuse orders with an old fencing number. */
  readonly checksFence: boolean;
}

/** Map of each endpoint that ran the step; undefined where it refused. */
export type StepRecord = readonly (string | undefined)[];

const TOKENS_PER_STEP = 10_000;

class RankEndpoint {
  readonly held = new Map<string, ExpertMap>();
  active: MapOrder | undefined;
  stepped: MapOrder | undefined;
  tokens: number[] = [];
  rankMs: readonly number[] = [];
  stepMs = 0;
  steps = 0;
  ordersRefused = 0;
  private readonly instance = randomUUID();
  private readonly loading = new Set<string>();
  private fence = 0;
  private server: http.Server | undefined;

  constructor(
    private readonly options: RankOptions,
    /** Ranks of this endpoint, from the first one up to the last one. */
    private readonly ranks: readonly [number, number],
  ) {}

  async start(): Promise<string> {
    const app = express();
    app.use(express.json({limit: '16mb'}));
    app.get('/state', (_, res) => {
      const {instance, stepMs, steps} = this;
      res.json({instance, stepMs, steps, batch: 0});
    });
    app.get('/experts', (_, res) => void res.json(this.report()));
    app.use('/experts', (req, res, next) => this.checkFence(req, res, next));
    app.post('/experts/load', (req, res) => {
      this.load(req.body as MapOrder & {map: string; weightStoreUrl: string});
      res.status(202).json({});
    });
    app.post('/experts/activate', (req, res) => {
      const order = req.body as MapOrder;
      if (!this.held.has(mapKey(order))) return void res.status(409).json({});
      this.active = order;
      res.json({});
    });
    app.post('/experts/drop', (req, res) => {
      const {belowVersion} = req.body as {belowVersion: number};
      for (const key of this.held.keys()) {
        if (parseInt(key, 10) < belowVersion) this.held.delete(key);
      }
      res.json({});
    });
    this.server = http.createServer(app);
    await new Promise<void>(done => this.server!.listen(0, '127.0.0.1', done));
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** Runs a step on the named map and returns its key, or refuses. */
  step(
    order: MapOrder,
    loads: readonly ArrayLike<number>[],
  ): string | undefined {
    const key = mapKey(order);
    const map = this.held.get(key);
    if (!map) return undefined;
    this.stepped = order;
    this.steps += 1;
    this.measure(map, loads);
    return key;
  }

  /** Counts tokens and times as the ranks of this endpoint see them. */
  private measure(map: ExpertMap, loads: readonly ArrayLike<number>[]): void {
    const {shape, stepMs, endpoints} = this.options;
    const [first, last] = this.ranks;
    const times = new Array<number>(shape.ranks).fill(0);
    map.layers.forEach((layer, i) => {
      const byRank = rankLoads(shape, layer, loads[i]!);
      byRank.forEach((load, rank) => (times[rank]! += load));
    });
    const mean = 1 / shape.ranks;
    const ms = times.map(t => (t / shape.layers / mean) * stepMs);
    this.rankMs = ms.slice(first, last);
    this.stepMs = Math.max(...ms);
    loads.forEach((layer, i) => {
      for (let e = 0; e < shape.experts; e++) {
        const at = i * shape.experts + e;
        const count = Math.round((layer[e]! * TOKENS_PER_STEP) / endpoints);
        this.tokens[at] = (this.tokens[at] ?? 0) + count;
      }
    });
  }

  private report() {
    const {rankMs, stepMs, tokens} = this;
    this.tokens = [];
    return {
      shape: this.options.shape,
      held: [...this.held.keys()],
      step: this.stepped ?? null,
      stepMs,
      expertTokens: tokens,
      rankMs,
    };
  }

  private checkFence(req: Request, res: Response, next: () => void): void {
    const {epoch} = req.body as {epoch: number};
    if (this.options.checksFence && epoch < this.fence) {
      this.ordersRefused += 1;
      res.status(409).json({highestEpoch: this.fence});
      return;
    }
    this.fence = Math.max(this.fence, epoch);
    next();
  }

  private load(order: MapOrder & {map: string; weightStoreUrl: string}): void {
    const key = mapKey(order);
    const map = parseMap(order.map);
    if (!map.ok || this.held.has(key) || this.loading.has(key)) return;
    this.loading.add(key);
    this.fetchWeights(map.val, order.weightStoreUrl)
      .then(() => this.held.set(key, map.val))
      .catch(() => undefined)
      .finally(() => this.loading.delete(key));
  }

  /** Weights that a map in use already has are not fetched again. */
  private async fetchWeights(map: ExpertMap, store: string): Promise<void> {
    const current = this.stepped && this.held.get(mapKey(this.stepped));
    if (!current) return;
    const [first, last] = this.ranks;
    const own = movesBetween(current, map).filter(
      ({rank}) => rank >= first && rank < last,
    );
    for (const {layer, expert} of own) {
      const answer = await fetch(`${store}/weights/${layer}/${expert}`);
      if (!answer.ok) throw new Error('weight store refused');
      await answer.arrayBuffer();
    }
  }
}

export class RankGroup {
  readonly endpoints: readonly RankEndpoint[];
  readonly steps: StepRecord[] = [];
  /** Steps that could not start because an endpoint refused them. */
  refusedSteps = 0;
  /** Share of each expert's tokens, layer by layer; changed by tests. */
  loads: readonly ArrayLike<number>[];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: RankOptions) {
    const {shape, endpoints} = options;
    const each = shape.ranks / endpoints;
    this.endpoints = Array.from(
      {length: endpoints},
      (_, i) => new RankEndpoint(options, [i * each, (i + 1) * each]),
    );
    const even = new Array<number>(shape.experts).fill(1 / shape.experts);
    this.loads = Array.from({length: shape.layers}, () => even);
  }

  /** Starts stepping and returns the endpoints' base URLs. */
  async start(): Promise<readonly string[]> {
    const {stepMs} = this.options;
    this.timer = setInterval(() => this.step(), stepMs);
    return Promise.all(this.endpoints.map(endpoint => endpoint.start()));
  }

  stop(): void {
    clearInterval(this.timer);
    for (const endpoint of this.endpoints) endpoint.stop();
  }

  /** Steps in which endpoints ran on different maps. */
  splitSteps(): number {
    return this.steps.filter(step => {
      const ran = step.filter(key => key !== undefined);
      return new Set(ran).size > 1;
    }).length;
  }

  /** Map versions in the order of their first step. */
  versions(): readonly number[] {
    const all = this.steps.flatMap(step =>
      step.flatMap(key => (key === undefined ? [] : [parseInt(key, 10)])),
    );
    return all.filter((version, i) => version !== all[i - 1]);
  }

  private step(): void {
    const {active} = this.endpoints[0]!;
    if (!active) return;
    const ran = this.endpoints.map(e => e.step(active, this.loads));
    this.steps.push(ran);
    if (ran.includes(undefined)) this.refusedSteps += 1;
  }
}
