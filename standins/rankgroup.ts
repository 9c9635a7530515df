/**
 * Stand-in for a group of ranks that run in lock-step on an expert map.
 *
 * The ranks are divided evenly among endpoints. Each endpoint serves the
 * interface that `src/experts/engine.ts` uses. The first endpoint is the
 * sequencer: each step carries version and hash of its active map. An
 * endpoint that does not hold exactly that map refuses the step, and the step
 * is retried. `steps` records the map on which each endpoint ran each step.
 */
import {randomUUID} from 'node:crypto';
import http from 'node:http';
import express, {Request, Response} from 'express';
import {mapKey, MapOrder} from '../src/experts/group';
import {
  ExpertMap,
  movesBetween,
  parseMap,
  rankLoads,
  Shape,
} from '../src/experts/map';
import {listen} from './ports';

export interface RankGroupOptions {
  readonly shape: Shape;
  readonly endpoints: number;
  readonly stepMs: number;
  /** Whether the endpoints refuse orders with an old fencing epoch. */
  readonly checksFence: boolean;
}

/** Map key with which each endpoint ran a step; undefined if it refused. */
export type StepRecord = readonly (string | undefined)[];

const TOKENS_PER_STEP = 10_000;

class RankEndpoint {
  readonly heldMaps = new Map<string, ExpertMap>();
  active: MapOrder | undefined;
  lastStepOrder: MapOrder | undefined;
  tokens: number[] = [];
  rankMs: readonly number[] = [];
  stepMs = 0;
  steps = 0;
  ordersRefused = 0;
  private readonly instance = randomUUID();
  private readonly loading = new Set<string>();
  private highestEpochSeen = 0;
  private server: http.Server | undefined;

  constructor(
    private readonly options: RankGroupOptions,
    /** First rank of this endpoint, and the rank after its last one. */
    private readonly rankRange: readonly [number, number],
  ) {}

  async start(): Promise<string> {
    const app = express();
    app.use(express.json({limit: '16mb'}));
    app.get('/state', (_, res) => {
      const {instance, stepMs, steps} = this;
      res.json({instance, stepMs, steps, batch: 0});
    });
    app.get('/experts', (_, res) => void res.json(this.expertsReport()));
    app.use('/experts', (req, res, next) => this.checkFence(req, res, next));
    app.post('/experts/load', (req, res) => {
      this.startLoading(
        req.body as MapOrder & {map: string; weightStoreUrl: string},
      );
      res.status(202).json({});
    });
    app.post('/experts/activate', (req, res) => {
      const order = req.body as MapOrder;
      if (!this.heldMaps.has(mapKey(order)))
        return void res.status(409).json({});
      this.active = order;
      res.json({});
    });
    app.post('/experts/drop', (req, res) => {
      const {belowVersion} = req.body as {belowVersion: number};
      for (const key of this.heldMaps.keys()) {
        if (parseInt(key, 10) < belowVersion) this.heldMaps.delete(key);
      }
      res.json({});
    });
    this.server = http.createServer(app);
    const port = await listen(this.server);
    return `http://127.0.0.1:${port}`;
  }

  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** Runs a step on the ordered map; undefined if the map isn't held. */
  step(
    order: MapOrder,
    loads: readonly ArrayLike<number>[],
  ): string | undefined {
    const key = mapKey(order);
    const map = this.heldMaps.get(key);
    if (!map) return undefined;
    this.lastStepOrder = order;
    this.steps += 1;
    this.recordMeasurements(map, loads);
    return key;
  }

  /** Counts expert tokens and sets step times as this endpoint reports them. */
  private recordMeasurements(
    map: ExpertMap,
    loads: readonly ArrayLike<number>[],
  ): void {
    const {shape, stepMs, endpoints} = this.options;
    const [first, last] = this.rankRange;
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

  private expertsReport() {
    const {rankMs, stepMs, tokens} = this;
    this.tokens = [];
    return {
      shape: this.options.shape,
      held: [...this.heldMaps.keys()],
      step: this.lastStepOrder ?? null,
      stepMs,
      expertTokens: tokens,
      rankMs,
    };
  }

  private checkFence(req: Request, res: Response, next: () => void): void {
    const {epoch} = req.body as {epoch: number};
    if (this.options.checksFence && epoch < this.highestEpochSeen) {
      this.ordersRefused += 1;
      res.status(409).json({highestEpoch: this.highestEpochSeen});
      return;
    }
    this.highestEpochSeen = Math.max(this.highestEpochSeen, epoch);
    next();
  }

  private startLoading(
    order: MapOrder & {map: string; weightStoreUrl: string},
  ): void {
    const key = mapKey(order);
    const map = parseMap(order.map);
    if (!map.ok || this.heldMaps.has(key) || this.loading.has(key)) return;
    this.loading.add(key);
    this.fetchWeights(map.val, order.weightStoreUrl)
      .then(() => this.heldMaps.set(key, map.val))
      .catch(() => undefined)
      .finally(() => this.loading.delete(key));
  }

  /**
   * Fetches the weights of this endpoint's ranks that change between the map
   * in use and `map`; weights that the map in use has are not fetched again.
   */
  private async fetchWeights(map: ExpertMap, store: string): Promise<void> {
    const current =
      this.lastStepOrder && this.heldMaps.get(mapKey(this.lastStepOrder));
    if (!current) return;
    const [first, last] = this.rankRange;
    const ownMoves = movesBetween(current, map).filter(
      ({rank}) => rank >= first && rank < last,
    );
    for (const {layer, expert} of ownMoves) {
      const answer = await fetch(`${store}/weights/${layer}/${expert}`);
      if (!answer.ok) throw new Error('weight store refused');
      await answer.arrayBuffer();
    }
  }
}

export class RankGroup {
  readonly endpoints: readonly RankEndpoint[];
  readonly steps: StepRecord[] = [];
  /** Steps that at least one endpoint refused. */
  refusedSteps = 0;
  /** Each expert's share of the tokens, per layer; set by tests. */
  expertShares: readonly ArrayLike<number>[];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: RankGroupOptions) {
    const {shape, endpoints} = options;
    const ranksPerEndpoint = shape.ranks / endpoints;
    this.endpoints = Array.from(
      {length: endpoints},
      (_, i) =>
        new RankEndpoint(options, [
          i * ranksPerEndpoint,
          (i + 1) * ranksPerEndpoint,
        ]),
    );
    const even = new Array<number>(shape.experts).fill(1 / shape.experts);
    this.expertShares = Array.from({length: shape.layers}, () => even);
  }

  /** Starts the steps and the endpoints; returns the endpoints' base URLs. */
  async start(): Promise<readonly string[]> {
    const {stepMs} = this.options;
    this.timer = setInterval(() => this.step(), stepMs);
    return Promise.all(this.endpoints.map(endpoint => endpoint.start()));
  }

  stop(): void {
    clearInterval(this.timer);
    for (const endpoint of this.endpoints) endpoint.stop();
  }

  /** Number of steps that endpoints ran on different maps. */
  countSplitSteps(): number {
    return this.steps.filter(step => {
      const ran = step.filter(key => key !== undefined);
      return new Set(ran).size > 1;
    }).length;
  }

  /** The map versions in step order, without consecutive repeats. */
  mapVersionSequence(): readonly number[] {
    const all = this.steps.flatMap(step =>
      step.flatMap(key => (key === undefined ? [] : [parseInt(key, 10)])),
    );
    return all.filter((version, i) => version !== all[i - 1]);
  }

  private step(): void {
    const {active} = this.endpoints[0]!;
    if (!active) return;
    const ran = this.endpoints.map(e => e.step(active, this.expertShares));
    this.steps.push(ran);
    if (ran.includes(undefined)) this.refusedSteps += 1;
  }
}
