/**
 * Clients with which a coordinator reaches the ranks of its group: through
 * their sidecars, or directly at the engine if a sidecar does not answer.
 */
import * as z from 'zod';
import {Clock} from '../kernel/clock';
import {JsonClient} from '../kernel/jsonclient';
import {ORDER_PATH, STATE_PATH} from './agent';
import {Engine} from './engine';
import {OrderOutcome, RankOrder, RankState} from './rank';

/** Timeout of a state request to a sidecar. */
const STATE_TIMEOUT_MS = 300;
/** Timeout of an order, to a sidecar or an engine. */
const ORDER_TIMEOUT_MS = 200;

const stateSchema: z.ZodType<RankState> = z.object({
  group: z.string(),
  epoch: z.number(),
  rank: z.number().int(),
  size: z.number().int(),
  open: z.boolean(),
  pass: z.number(),
  map: z.number(),
  prepared: z.number().optional(),
  armed: z.number().optional(),
  held: z.number().optional(),
  running: z.number(),
  queued: z.number(),
  pace: z.number(),
  experts: z.array(z.array(z.number())),
  counts: z.array(z.number()),
}) as z.ZodType<RankState>;

const outcomeSchema = z.object({
  outcome: z.enum(['accepted', 'refused', 'unknown']),
});

/** Client of one rank of a group. */
export interface RankClient {
  /** Address of the endpoint. */
  readonly address: string;
  /** Reads the rank's state for the coordinator of the given rank. */
  state(coordinator: number, withCounts: boolean): Promise<RankState>;
  /** Never rejects. A direct order bypasses the rank's sidecar. */
  order(
    epoch: number,
    order: RankOrder,
    direct: boolean,
  ): Promise<OrderOutcome>;
}

/**
 * How long a sidecar is bypassed after it did not answer. A frozen sidecar may
 * have left its group held, so its engine must be reached without it.
 */
const SIDECAR_BYPASS_MS = 1_000;

/** Creates a client of a rank whose sidecar listens on `sidecar`, `IP:port`. */
export function createRankClient(
  address: string,
  sidecar: string,
  engine: Engine,
  caller: JsonClient,
  clock: Clock,
): RankClient {
  let bypassUntilMs = -Infinity;

  const isSidecarBypassed = () => clock.elapsedMs() < bypassUntilMs;
  const bypassSidecar = () =>
    (bypassUntilMs = clock.elapsedMs() + SIDECAR_BYPASS_MS);

  /**
   * Reads the state from the engine. Leaves out the counts, which are expensive
   * to read from another instance.
   */
  async function stateFromEngine(): Promise<RankState> {
    const report = await engine.report();
    const {version, experts} = await engine.experts();
    if (version !== report.map)
      throw new Error('expert map changed between two reads');
    return {...report, experts, counts: []};
  }

  return {
    address,
    async state(coordinator, withCounts) {
      if (isSidecarBypassed()) return stateFromEngine();
      const query = `?coordinator=${coordinator}${withCounts ? '&counts' : ''}`;
      try {
        const {status, body} = await caller.call(
          'GET',
          sidecar,
          STATE_PATH + query,
          undefined,
          STATE_TIMEOUT_MS,
        );
        if (status !== 200) throw new Error(`sidecar: status ${status}`);
        return stateSchema.parse(body);
      } catch {
        bypassSidecar();
        return stateFromEngine();
      }
    },
    async order(epoch, order, direct) {
      if (direct || isSidecarBypassed())
        return engine.order(epoch, order, ORDER_TIMEOUT_MS);
      try {
        const {status, body} = await caller.call(
          'POST',
          sidecar,
          ORDER_PATH,
          {epoch, order},
          ORDER_TIMEOUT_MS,
        );
        if (status !== 200) return 'unknown';
        return outcomeSchema.parse(body).outcome;
      } catch {
        // Orders now go to the engine itself for a while.
        bypassSidecar();
        return 'unknown';
      }
    },
  };
}
