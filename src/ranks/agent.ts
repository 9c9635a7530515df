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
import {
  BodyReaderDependencies,
  discardBody,
  readBody,
} from '../gateway/bodyreader';
import {Log} from '../observe/log';
import {Engine} from './engine';
import {KnownMaps, MapReference} from './mapreference';
import {packChoices, PackedChoices, unpackMap} from './packing';
import {
  CoordinatorRole,
  Heartbeat,
  RankExperts,
  RankOrder,
  RankReport,
} from './rank';

export const STATE_PATH = '/state';
export const ORDER_PATH = '/orders';
export const MAP_PATH = '/maps';

/**
 * Timeout of an order to the engine on the same instance. Engines answer within
 * about 2 ms. An order that times out is repeated.
 */
const ORDER_TIMEOUT_MS = 40;
const MAX_ORDER_BYTES = 4_194_304;
/** Body of a request that needs none. */
const MAX_DISCARDED_BYTES = 65_536;
/** The order refers to a map that this sidecar does not know. */
export const UNKNOWN_MAP_STATUS = 409;

const version = z.number().int().min(0);
const pass = z.number().int().min(0);

/** Bounds the map that a sidecar builds from the shape in an order. */
const dimension = z.number().int().min(0).max(4_096);

const referenceSchema = z.object({
  shape: z.object({sets: dimension, ranks: dimension, experts: dimension}),
  base: z.string(),
  digest: z.string(),
  changes: z.string().optional(),
}) as z.ZodType<MapReference>;

const MAX_RELAY_ADDRESSES = 256;

const mapSchema = z.object({
  reference: referenceSchema,
  /** Sidecars to pass the map on to, each an `IP:port`. */
  passTo: z.array(z.string()).max(MAX_RELAY_ADDRESSES),
});

const orderSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('prepare'),
    version,
    /** Absent if the map is given by a reference. */
    map: z.string().transform(unpackMap).optional(),
    reference: referenceSchema.optional(),
  }),
  z.object({kind: z.literal('arm'), version, pass}),
  z.object({kind: z.literal('disarm'), version}),
  z.object({kind: z.literal('hold'), pass}),
  z.object({kind: z.literal('go'), pass}),
]);

const requestSchema = z.object({epoch: z.number(), order: orderSchema});
type ReceivedOrder = z.infer<typeof orderSchema>;

/** What a coordinator asks a sidecar for, besides the rank's report. */
export interface StateQuery {
  /** The coordinator that asks; asking is a sign of life. */
  readonly coordinator: Heartbeat;
  readonly withChoices: boolean;
  /** Key of the map whose experts the coordinator knows already. */
  readonly knownMap: string | undefined;
}

/** Identifies the experts of a rank: they differ between any two keys. */
export function rankMapKey({group, epoch, rank, map}: RankReport): string {
  return `${group} ${epoch} ${rank} ${map}`;
}

/** The answer to a state query, as it is sent. */
export interface StateAnswer extends RankReport, CoordinatorRole {
  /** Absent if the coordinator knows them. */
  readonly experts?: RankExperts;
  readonly choices?: PackedChoices;
}

/** The path and query that ask a sidecar for its rank's state. */
export function statePath({
  coordinator,
  withChoices,
  knownMap,
}: StateQuery): string {
  const {group, rank} = coordinator;
  const parameters = new URLSearchParams({group, coordinator: String(rank)});
  if (withChoices) parameters.set('choices', '1');
  if (knownMap !== undefined) parameters.set('known', knownMap);
  return `${STATE_PATH}?${parameters}`;
}

function readStateQuery(parameters: URLSearchParams): StateQuery {
  return {
    coordinator: {
      group: parameters.get('group') ?? '',
      rank: Number(parameters.get('coordinator') ?? Infinity),
    },
    withChoices: parameters.has('choices'),
    knownMap: parameters.get('known') ?? undefined,
  };
}

export class RankAgent {
  /** When a coordinator of a lower rank last gave a sign of life. */
  private lastSignMs: number;
  private rank = 0;
  private group: string | undefined;
  private role: CoordinatorRole = {leading: false, holding: false};
  /** The engine's counts when a coordinator last asked for the choices. */
  private lastCounts: {epoch: number; counts: readonly number[]} | undefined;
  private cachedExperts: {key: string; experts: RankExperts} | undefined;
  private readonly knownMaps = new KnownMaps();

  constructor(
    private readonly engine: Engine,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly input: BodyReaderDependencies,
    /** Sends a map to another sidecar; a lost one is ordered in full later. */
    private readonly sendMap: (
      sidecar: string,
      reference: MapReference,
    ) => Promise<unknown> = () => Promise.resolve(),
  ) {
    // A rank that has just started does not know whether another one leads.
    this.lastSignMs = clock.elapsedMs();
  }

  /**
   * Time since a coordinator of a lower rank last gave a sign of life: a
   * heartbeat, or a request for the state.
   */
  msSinceLastSign(): number {
    return this.clock.elapsedMs() - this.lastSignMs;
  }

  /** Records a sign of life of a coordinator. */
  recordSign({group, rank}: Heartbeat): void {
    const isOfLowerRank = group === this.group && rank < this.rank;
    if (isOfLowerRank) this.lastSignMs = this.clock.elapsedMs();
  }

  /** Sets what this sidecar's coordinator does, which others are told. */
  setRole(role: CoordinatorRole): void {
    this.role = role;
  }

  async report(): Promise<RankReport> {
    const report = await this.engine.report();
    this.rank = report.rank;
    // Whether another rank leads shows only once the group is known.
    if (this.group !== report.group) this.lastSignMs = this.clock.elapsedMs();
    this.group = report.group;
    return report;
  }

  async state({withChoices, knownMap}: StateQuery): Promise<StateAnswer> {
    const report = await this.report();
    const answer: StateAnswer = {
      ...report,
      ...this.role,
      choices: withChoices ? await this.choices(report.epoch) : undefined,
    };
    if (knownMap === rankMapKey(report)) return answer;
    return {...answer, experts: await this.experts(report)};
  }

  private async experts(report: RankReport): Promise<RankExperts> {
    const key = rankMapKey(report);
    if (this.cachedExperts?.key !== key) {
      const {version: readVersion, experts} = await this.engine.experts();
      // The rank switched maps between the two reads; the next poll sees it.
      if (readVersion !== report.map)
        throw new Error('expert map changed between two reads');
      this.cachedExperts = {key, experts};
    }
    return this.cachedExperts.experts;
  }

  /** Choices since the last call; undefined at the first one of an epoch. */
  private async choices(epoch: number): Promise<PackedChoices | undefined> {
    const counts = await this.engine.counts();
    const last = this.lastCounts;
    this.lastCounts = {epoch, counts};
    if (last?.epoch !== epoch || last.counts.length !== counts.length)
      return undefined;
    return packChoices(
      counts.map((count, i) => Math.max(0, count - last.counts[i]!)),
    );
  }

  order(epoch: number, order: RankOrder) {
    return this.engine.order(epoch, order, ORDER_TIMEOUT_MS);
  }

  handle(req: http.IncomingMessage, res: http.ServerResponse): void {
    // Any process may send a request here, and not every target is a valid URL.
    const [path, query = ''] = (req.url ?? '').split('?', 2);
    if (req.method === 'POST' && path === ORDER_PATH) {
      void this.forwardOrder(req, res);
      return;
    }
    if (req.method === 'POST' && path === MAP_PATH) {
      void this.passMapOn(req, res);
      return;
    }
    discardBody(req, MAX_DISCARDED_BYTES, () => req.socket.destroy());
    if (req.method === 'GET' && path === STATE_PATH) {
      const stateQuery = readStateQuery(new URLSearchParams(query));
      this.recordSign(stateQuery.coordinator);
      this.state(stateQuery).then(
        state => sendJson(res, 200, state),
        (error: unknown) => {
          this.log('debug', 'rank state unavailable', {reason: String(error)});
          sendJson(res, 503, {});
        },
      );
      return;
    }
    sendJson(res, 404, {});
  }

  /** Rejects if the body is too large, or gives way to others for memory. */
  private readBody(req: http.IncomingMessage): Promise<string> {
    return new Promise((resolve, reject) => {
      const limits = {
        account: req.socket?.remoteAddress ?? '',
        maxBytes: MAX_ORDER_BYTES,
      };
      const reading = readBody(req, this.input, limits, outcome => {
        if (outcome.kind !== 'whole') {
          return reject(new Error(`body not read: ${outcome.kind}`));
        }
        // The caller parses it at once, and keeps none of its bytes.
        resolve(outcome.body?.toString() ?? '');
        setImmediate(() => reading.release());
      });
    });
  }

  /** Undefined if the order refers to a map that is not known here. */
  private resolveOrder(received: ReceivedOrder): RankOrder | undefined {
    if (received.kind !== 'prepare') return received;
    const {kind, version, map, reference} = received;
    if (map) {
      this.knownMaps.remember(map);
      return {kind, version, map};
    }
    if (!reference) throw new Error('order to prepare names no map');
    const resolved = this.knownMaps.resolve(reference);
    return resolved && {kind, version, map: resolved};
  }

  /** Answers when the other sidecars have the map too, or do not answer. */
  private async passMapOn(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    try {
      const {reference, passTo} = mapSchema.parse(
        JSON.parse(await this.readBody(req)),
      );
      const sent = passTo.map(sidecar =>
        this.sendMap(sidecar, reference).catch((error: unknown) =>
          this.log('debug', 'map not passed on', {
            sidecar,
            reason: String(error),
          }),
        ),
      );
      const map = this.knownMaps.resolve(reference);
      await Promise.all(sent);
      sendJson(res, map ? 200 : UNKNOWN_MAP_STATUS, {});
    } catch (error) {
      this.log('debug', 'invalid map dropped', {reason: String(error)});
      refuseBody(res);
    }
  }

  private async forwardOrder(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    try {
      const {epoch, order: received} = requestSchema.parse(
        JSON.parse(await this.readBody(req)),
      );
      const order = this.resolveOrder(received);
      if (!order) return sendJson(res, UNKNOWN_MAP_STATUS, {});
      const outcome = await this.order(epoch, order);
      sendJson(res, 200, {outcome});
    } catch (error) {
      this.log('warn', 'invalid order request', {reason: String(error)});
      refuseBody(res);
    }
  }
}

/** Closes the connection too, because the body may not have been read whole. */
function refuseBody(res: http.ServerResponse): void {
  res.shouldKeepAlive = false;
  sendJson(res, 400, {});
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
