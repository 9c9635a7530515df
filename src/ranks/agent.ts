/**
 * The sidecar's HTTP service for its own rank: reports the rank's state to the
 * group's coordinator and forwards the coordinator's orders to the engine.
 *
 * Reports and orders cost nothing when they come from the rank's own instance,
 * so the coordinator goes through the sidecars instead of calling the engines.
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
 * Timeout of an order to the engine on the same instance. Engines answer within
 * about 2 ms. An order that times out is repeated.
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

export class RankAgent {
  /** When a coordinator of a lower rank last requested the state. */
  private lastPolledMs = -Infinity;
  private rank = 0;
  private cachedExperts:
    {version: number; epoch: number; experts: RankExperts} | undefined;

  constructor(
    private readonly engine: Engine,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Time since a coordinator of a lower rank last requested the state. */
  msSinceLastPoll(): number {
    return this.clock.elapsedMs() - this.lastPolledMs;
  }

  async report(): Promise<RankReport> {
    const report = await this.engine.report();
    this.rank = report.rank;
    return report;
  }

  /** Reads the rank's state; `counts` is empty unless `withCounts` is set. */
  async state(withCounts: boolean): Promise<RankState> {
    const report = await this.report();
    const {map, epoch} = report;
    if (
      this.cachedExperts?.version !== map ||
      this.cachedExperts.epoch !== epoch
    ) {
      const {version: readVersion, experts} = await this.engine.experts();
      // The rank switched maps between the two reads; the next poll sees it.
      if (readVersion !== map)
        throw new Error('expert map changed between two reads');
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
          this.log('debug', 'rank state unavailable', {reason: String(error)});
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
      this.log('warn', 'invalid order request', {reason: String(error)});
      sendJson(res, 400, {});
    }
  }
}

async function readBody(req: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_ORDER_BYTES)
      throw new Error('order request is larger than 4 MiB');
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
