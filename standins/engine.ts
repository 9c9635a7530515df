/**
 * Stand-in for a model engine with continuous batching.
 *
 * Each step generates one token for every running request. A step takes
 * longer with a larger batch, and much longer when a cold engine runs more
 * requests than its cold capacity. When the requests need more than the KV
 * memory, the engine crashes: it drops all of them and starts cold under a
 * new instance id. Each token is derived from the prompt and the position
 * alone, so a resumed answer can be checked byte for byte.
 */
import {createHash, randomUUID} from 'node:crypto';
import http from 'node:http';
import express, {Request, Response} from 'express';
import {KvTransferOptions, receiveBlocks, sendBlocks} from './kvtransfer';
import {listen} from './ports';

export interface EngineOptions {
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  readonly kvTokens: number;
  readonly coldConcurrent: number;
  /** Steps after which a cold engine is warm. */
  readonly warmSteps: number;
  /** Length of an answer, unless the request sets a lower maximum. */
  readonly outputTokens: number;
  readonly cachedBlocks: number;
  /** Time per uncached prompt token; prefills run one after another. */
  readonly prefillMsPerToken: number;
  readonly transfer: KvTransferOptions;
}

export const engineDefaults: EngineOptions = {
  stepMs: 4,
  stepMsPerRequest: 0.2,
  kvTokens: 200_000,
  coldConcurrent: 4,
  warmSteps: 50,
  outputTokens: 40,
  cachedBlocks: 512,
  prefillMsPerToken: 0,
  transfer: {bytesPerToken: 1_098, bytesPerMs: 19_500},
};

interface RunningRequest {
  readonly id: string;
  readonly res: Response;
  readonly promptTokens: number;
  readonly seed: string;
  readonly totalTokens: number;
  nextPosition: number;
}

/** Factor by which steps of an overloaded cold engine take longer. */
const OVERLOAD_SLOWDOWN = 20;
const BLOCK_CHARS = 256;
/**
 * An engine that is later than this was idle or held up. Its next step is
 * then timed from the present.
 */
const MAX_STEP_LATENESS_MS = 50;

/** The token at `position` of an answer; `seed` is the prompt's. */
export function tokenAt(seed: string, position: number): string {
  const digest = createHash('sha1').update(`${seed}/${position}`).digest('hex');
  return `${position === 0 ? '' : ' '}${digest.slice(0, 4)}`;
}

export function promptSeed(prompt: string): string {
  return createHash('sha1').update(prompt).digest('hex');
}

/** The whole answer of `tokens` tokens to a prompt. */
export function expectedAnswer(prompt: string, tokens: number): string {
  const seed = promptSeed(prompt);
  const all = Array.from({length: tokens}, (_, i) => tokenAt(seed, i));
  return all.join('');
}

export class EngineStandin {
  instance = randomUUID();
  steps = 0;
  /** Steps that a cold engine ran above its cold capacity. */
  overloadedSteps = 0;
  crashes = 0;
  requestsStarted = 0;
  /** Requests that arrived when a cold engine was at its cold capacity. */
  arrivalsAboveColdCapacity = 0;
  /** Prompt tokens of all requests, and how many were in the prefix cache. */
  promptTokens = 0;
  cachedPromptTokens = 0;
  cancelled = 0;
  lastStepMs = 0;
  /** The port that the engine listens on, kept after a stop. */
  port = 0;
  private running: RunningRequest[] = [];
  private readonly prefixCache = new Set<string>();
  private readonly options: EngineOptions;
  private prefillEndMs = 0;
  private stepDueMs = -Infinity;
  private server: http.Server | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(options: Partial<EngineOptions> = {}) {
    this.options = {...engineDefaults, ...options};
  }

  /** Starts on a loopback port, ephemeral by default; returns the base URL. */
  async start(onPort?: number): Promise<string> {
    const app = express();
    app.use(express.json({limit: '16mb'}));
    app.post('/generate', (req, res) => this.startRequest(req, res));
    app.post('/cancel', (req, res) => {
      const {requestId, attempt} = req.body as {
        requestId: string;
        attempt: number;
      };
      this.removeRequest(`${requestId}#${attempt}`);
      res.json({});
    });
    app.get('/kv', (req, res) => {
      void sendBlocks(res, [...this.prefixCache], this.options.transfer);
    });
    app.put('/kv', (req, res) => void this.importKv(req, res));
    app.get('/state', (req, res) => void res.json(this.state()));
    this.server = http.createServer(app);
    const port = await listen(this.server, onPort);
    this.port = port;
    return `http://127.0.0.1:${port}`;
  }

  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.server?.closeAllConnections();
    this.server?.close();
  }

  state() {
    return {
      instance: this.instance,
      stepMs: this.lastStepMs,
      batch: this.running.length,
      steps: this.steps,
      kvUsed: this.kvUsed(),
      overloadedSteps: this.overloadedSteps,
      crashes: this.crashes,
      started: this.requestsStarted,
      cancelled: this.cancelled,
    };
  }

  /** Drops all requests and restarts cold under a new instance id. */
  restart(): void {
    for (const {res} of this.running) res.destroy();
    this.running = [];
    this.prefixCache.clear();
    this.steps = 0;
    this.instance = randomUUID();
  }

  private kvUsed(): number {
    return this.running.reduce(
      (sum, r) => sum + r.promptTokens + r.nextPosition,
      0,
    );
  }

  private startRequest(req: Request, res: Response): void {
    const body = req.body as {
      requestId: string;
      attempt: number;
      prompt: string;
      promptTokens: number;
      maxOutput: number;
      resumeOffset: number;
    };
    this.requestsStarted += 1;
    const cold = this.steps < this.options.warmSteps;
    if (cold && this.running.length >= this.options.coldConcurrent) {
      this.arrivalsAboveColdCapacity += 1;
    }
    const until = Math.min(body.maxOutput, this.options.outputTokens);
    const id = `${body.requestId}#${body.attempt}`;
    res.type('application/x-ndjson');
    const cached = this.cachePrompt(body.prompt, body.promptTokens);
    this.promptTokens += body.promptTokens;
    this.cachedPromptTokens += cached;
    res.write(JSON.stringify({cached}) + '\n');
    res.on('close', () => this.removeRequest(id));
    const request: RunningRequest = {
      id,
      res,
      promptTokens: body.promptTokens,
      seed: promptSeed(body.prompt),
      totalTokens: until,
      nextPosition: body.resumeOffset,
    };
    this.prefill(body.promptTokens - cached, () => {
      if (res.destroyed) return;
      this.running.push(request);
      if (!this.timer) this.scheduleStep();
    });
  }

  /** Runs `done` after all earlier prefills and then this one are done. */
  private prefill(tokens: number, done: () => void): void {
    const {prefillMsPerToken} = this.options;
    if (prefillMsPerToken === 0) {
      done();
      return;
    }
    const now = performance.now();
    const begin = Math.max(now, this.prefillEndMs);
    this.prefillEndMs = begin + tokens * prefillMsPerToken;
    setTimeout(done, this.prefillEndMs - now);
  }

  private async importKv(req: Request, res: Response): Promise<void> {
    const blocks = await receiveBlocks(req, this.options.transfer);
    if (!blocks) {
      res
        .status(400)
        .json({error: 'KV cache transfer was truncated; send it again'});
      return;
    }
    blocks.forEach(block => this.prefixCache.add(block));
    this.evictBlocks();
    res.json({blocks: blocks.length});
  }

  /**
   * Puts the prompt's blocks into the prefix cache. Returns how many of its
   * tokens were there already.
   */
  private cachePrompt(prompt: string, promptTokens: number): number {
    const blocks = Math.floor(prompt.length / BLOCK_CHARS);
    let hits = 0;
    for (let i = 1; i <= blocks; i++) {
      const prefix = promptSeed(prompt.slice(0, i * BLOCK_CHARS));
      if (this.prefixCache.has(prefix)) hits += 1;
      this.prefixCache.delete(prefix);
      this.prefixCache.add(prefix);
    }
    this.evictBlocks();
    return blocks === 0 ? 0 : Math.floor((promptTokens * hits) / blocks);
  }

  /** Evicts the least recently used blocks above the cache size. */
  private evictBlocks(): void {
    for (const prefix of this.prefixCache) {
      if (this.prefixCache.size <= this.options.cachedBlocks) break;
      this.prefixCache.delete(prefix);
    }
  }

  private removeRequest(id: string): void {
    const kept = this.running.filter(r => r.id !== id);
    if (kept.length < this.running.length) this.cancelled += 1;
    this.running = kept;
  }

  private scheduleStep(): void {
    const batch = this.running.length;
    const {stepMs, stepMsPerRequest, coldConcurrent, warmSteps} = this.options;
    const cold = this.steps < warmSteps;
    const overloaded = cold && batch > coldConcurrent;
    if (overloaded) this.overloadedSteps += 1;
    const normal = stepMs + stepMsPerRequest * batch;
    this.lastStepMs = overloaded ? normal * OVERLOAD_SLOWDOWN : normal;
    const now = performance.now();
    // A step is timed from when the previous one was due. Timed from when its
    // timer fired, steps would take longer and the engine would have less
    // capacity on a busy computer.
    const latenessMs = now - this.stepDueMs;
    const startMs = latenessMs < MAX_STEP_LATENESS_MS ? this.stepDueMs : now;
    this.stepDueMs = startMs + this.lastStepMs;
    this.timer = setTimeout(() => this.step(), this.stepDueMs - now);
  }

  private step(): void {
    this.timer = undefined;
    this.steps += 1;
    if (this.kvUsed() > this.options.kvTokens) {
      this.crashes += 1;
      this.restart();
      return;
    }
    for (const r of this.running) this.writeNextToken(r);
    this.running = this.running.filter(r => r.nextPosition < r.totalTokens);
    if (this.running.length > 0) this.scheduleStep();
    else this.stepDueMs = -Infinity;
  }

  private writeNextToken(r: RunningRequest): void {
    if (r.nextPosition < r.totalTokens) {
      const t = [tokenAt(r.seed, r.nextPosition)];
      r.res.write(JSON.stringify({o: r.nextPosition, t}) + '\n');
      r.nextPosition += 1;
    }
    if (r.nextPosition < r.totalTokens) return;
    const last = {end: true, total: r.totalTokens, finish: 'stop'};
    r.res.end(JSON.stringify(last) + '\n');
  }
}
