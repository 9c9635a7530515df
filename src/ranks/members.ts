/**
 * The ranks of a group as its coordinator reaches them: by their sidecars, or
 * directly where a sidecar does not answer.
 */
import * as z from 'zod';
import {JsonCaller} from '../kernel/jsoncall';
import {ORDER_PATH, STATE_PATH} from './agent';
import {Engine} from './engine';
import {OrderOutcome, RankOrder, RankState} from './rank';

/** Longest time for a sidecar's answer, in milliseconds. */
const STATE_MS = 300;
const ORDER_MS = 200;

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
  experts: z.array(z.array(z.number())),
  counts: z.array(z.number()),
}) as z.ZodType<RankState>;

const outcomeSchema = z.object({
  outcome: z.enum(['accepted', 'refused', 'unknown']),
});

/** One member of a group. */
export interface Member {
  /** Address of the endpoint. */
  readonly address: string;
  state(coordinator: number, withCounts: boolean): Promise<RankState>;
  /** Never rejects. */
  order(epoch: number, order: RankOrder): Promise<OrderOutcome>;
}

/**
 * A member whose sidecar listens on `sidecar`, an `IP:port`. An order that the
 * sidecar cannot have received goes to the engine itself.
 */
export function member(
  address: string,
  sidecar: string,
  engine: Engine,
  caller: JsonCaller,
): Member {
  return {
    address,
    async state(coordinator, withCounts) {
      const query = `?coordinator=${coordinator}${withCounts ? '&counts' : ''}`;
      const {status, body} = await caller.call(
        'GET',
        sidecar,
        STATE_PATH + query,
        undefined,
        STATE_MS,
      );
      if (status !== 200) throw new Error(`sidecar: status ${status}`);
      return stateSchema.parse(body);
    },
    async order(epoch, order) {
      try {
        const {status, body} = await caller.call(
          'POST',
          sidecar,
          ORDER_PATH,
          {epoch, order},
          ORDER_MS,
        );
        if (status !== 200) return 'unknown';
        return outcomeSchema.parse(body).outcome;
      } catch (error) {
        const {code} = error as {code?: string};
        if (code !== 'ECONNREFUSED') return 'unknown';
        return engine.order(epoch, order, ORDER_MS);
      }
    },
  };
}
