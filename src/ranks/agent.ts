/**
 * What a sidecar does for its own rank: it tells the rank's state to the
 * coordinator of the group and passes on its orders.
 *
 * Reports and orders cost nothing on the rank's own machine, so the
 * coordinator asks the sidecars and not the ranks.
 */
import http from 'node:http';
import * as z from 'zod';
import {Clock} from '../kernel/clock';
import {Log} from '../observe/log';
import {Engine} from './engine';
import {RankExperts, RankOrder, RankReport, RankState} from './rank';

export const STATE_PATH = '/state';
export const ORDER_PATH = '/orders';

/**
 * Longest time for an order on the own machine, in milliseconds. Engines
 * answer within about 2 ms; an order without an answer is repeated.
 */
const ORDER_TIMEOUT_MS = 40;
const MAX_ORDER_BYTES = 4_194_304;

const version = z.number().int().min(0);
const pass = z.number().int().min(0);

const orderSchema: z.ZodType<RankOrder> = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('prepare'),
    version,
    map: z.array(z.array(z.array(z.number().int().min(0)))),
  }),
  z.object({kind: z.literal('arm'), version, pass}),
  z.object({kind: z.literal('disarm'), version}),
  z.object({kind: z.literal('hold'), pass}),
  z.object({kind: z.literal('go'), pass}),
]);

const requestSchema = z.object({epoch: z.number(), order: orderSchema});

export class Agent {
  /** Time at which a coordinator of a lower rank asked last. */
  private lastPolledMs = -Infinity;
  private rank = 0;
  private cachedExperts:
    {version: number; epoch: number; experts: RankExperts} | undefined;

  constructor(
    private readonly engine: Engine,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Milliseconds since a coordinator of a lower rank asked. */
  msSinceLastPoll(): number {
    return this.clock.elapsedMs() - this.lastPolledMs;
  }

  async report(): Promise<RankReport> {
    const report = await this.engine.report();
    this.rank = report.rank;
    return report;
  }

  /** The rank's state; counts are empty unless asked for. */
  async state(withCounts: boolean): Promise<RankState> {
    const report = await this.report();
    const {map, epoch} = report;
    if (
      this.cachedExperts?.version !== map ||
      this.cachedExperts.epoch !== epoch
    ) {
      const {version: readVersion, experts} = await this.engine.experts();
      // A switch between the two readings is seen with the next report.
      if (readVersion !== map) throw new Error('the map has just changed');
      this.cachedExperts = {version: map, epoch, experts};
    }
    const counts = withCounts ? await this.engine.counts() : [];
    return {...report, experts: this.cachedExperts.experts, counts};
  }

  order(epoch: number, order: RankOrder) {
    return this.engine.order(epoch, order, ORDER_TIMEOUT_MS);
  }

  handle(req: http.IncomingMessage, res: http.ServerResponse): void {
    const {pathname, searchParams} = new URL(req.url ?? '/', 'http://peer');
    if (req.method === 'GET' && pathname === STATE_PATH) {
      const coordinator = Number(searchParams.get('coordinator') ?? Infinity);
      if (coordinator < this.rank) this.lastPolledMs = this.clock.elapsedMs();
      this.state(searchParams.has('counts')).then(
        state => sendJson(res, 200, state),
        (error: unknown) => {
          this.log('debug', 'no state', {reason: String(error)});
          sendJson(res, 503, {});
        },
      );
      return;
    }
    if (req.method === 'POST' && pathname === ORDER_PATH) {
      void this.forwardOrder(req, res);
      return;
    }
    sendJson(res, 404, {});
  }

  private async forwardOrder(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    try {
      const {epoch, order} = requestSchema.parse(
        JSON.parse(await readBody(req)),
      );
      const outcome = await this.order(epoch, order);
      sendJson(res, 200, {outcome});
    } catch (error) {
      this.log('warn', 'order not readable', {reason: String(error)});
      sendJson(res, 400, {});
    }
  }
}

async function readBody(req: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_ORDER_BYTES) throw new Error('the order is too long');
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
}

function sendJson(
  res: http.ServerResponse,
  status: number,
  body: object,
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  res.end(text);
}
