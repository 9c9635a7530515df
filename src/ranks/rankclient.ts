/**
 * Clients with which a coordinator reaches the ranks of its group: through
 * their sidecars, or directly at the engine if a sidecar does not answer.
 */
import * as z from 'zod';
import {Clock} from '../kernel/clock';
import {JsonClient, JsonResponse} from '../kernel/jsonclient';
import {
  MAP_PATH,
  ORDER_PATH,
  rankMapKey,
  StateAnswer,
  statePath,
  UNKNOWN_MAP_STATUS,
} from './agent';
import {Engine} from './engine';
import {MapReference} from './mapreference';
import {packMap, unpackChoices} from './packing';
import {
  Heartbeat,
  OrderOutcome,
  RankExperts,
  RankOrder,
  RankState,
} from './rank';
import {RoundTrips} from './roundtrip';

/** Least timeout of a state request to a sidecar. */
const MIN_STATE_TIMEOUT_MS = 300;
/** Time for a map to reach a sidecar and those that it passes it on to. */
const MAP_TIMEOUT_MS = 600;
/** Timeout of a map that a sidecar passes on; its sender waits for it. */
export const PASSED_MAP_TIMEOUT_MS = 300;

const stateSchema: z.ZodType<StateAnswer> = z.object({
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
  leading: z.boolean().default(false),
  holding: z.boolean().default(false),
  experts: z.array(z.array(z.number())).optional(),
  choices: z.object({scale: z.number(), packed: z.string()}).optional(),
}) as z.ZodType<StateAnswer>;

const outcomeSchema = z.object({
  outcome: z.enum(['accepted', 'refused', 'unknown']),
});

/** Client of one rank of a group. */
export interface RankClient {
  /** Address of the endpoint. */
  readonly address: string;
  /** Address of its sidecar, an `IP:port`. */
  readonly sidecar: string;
  /** Reads the rank's state for a coordinator. */
  state(coordinator: Heartbeat, withChoices: boolean): Promise<RankState>;
  /**
   * Sends the sidecar a map to pass on to other sidecars. Never rejects, because a
   * rank that the map does not reach is sent it with the order.
   */
  sendMap(reference: MapReference, passTo: readonly string[]): Promise<void>;
  /** Never rejects; `unknown` if there is no answer within `timeoutMs`. */
  order(
    epoch: number,
    order: RankOrder,
    options: OrderOptions,
  ): Promise<OrderOutcome>;
}

export interface OrderOptions {
  /** Whether the order bypasses the rank's sidecar. */
  readonly direct: boolean;
  /** Least time to wait for an answer. */
  readonly timeoutMs: number;
  /** Names the map of an order to prepare; without it the map is sent whole. */
  readonly reference: MapReference | undefined;
  /** Whether the rank should know that map already. */
  readonly isMapSent: boolean;
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
  /** The round trips to all sidecars that the coordinator calls. */
  roundTrips: RoundTrips,
): RankClient {
  let bypassUntilMs = -Infinity;
  /** The rank's experts in the map that it last reported to use. */
  let known: {key: string; experts: RankExperts} | undefined;

  const isSidecarBypassed = () => clock.elapsedMs() < bypassUntilMs;
  const bypassSidecar = () =>
    (bypassUntilMs = clock.elapsedMs() + SIDECAR_BYPASS_MS);

  /** Calls the sidecar; bypasses it for a while if it does not answer in time. */
  async function callSidecar(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    leastMs: number,
  ): Promise<JsonResponse> {
    const startMs = clock.elapsedMs();
    const timeoutMs = roundTrips.timeoutMs(leastMs);
    try {
      const answer = await caller.call(method, sidecar, path, body, timeoutMs);
      roundTrips.recordAnswer(clock.elapsedMs() - startMs);
      return answer;
    } catch (error) {
      if (clock.elapsedMs() - startMs >= timeoutMs) roundTrips.recordTimeout();
      bypassSidecar();
      throw error;
    }
  }

  /**
   * Reads the state from the engine. Leaves out the choices, and the experts if
   * they are known: the group pauses while another instance reads them.
   */
  async function stateFromEngine(): Promise<RankState> {
    const report = await engine.report();
    const role = {leading: false, holding: false};
    const key = rankMapKey(report);
    if (known?.key !== key) {
      const {version, experts} = await engine.experts();
      if (version !== report.map)
        throw new Error('expert map changed between two reads');
      known = {key, experts};
    }
    return {...report, ...role, experts: known.experts, choices: []};
  }

  function toState({choices, ...answer}: StateAnswer): RankState {
    const key = rankMapKey(answer);
    const experts =
      answer.experts ?? (known?.key === key ? known.experts : undefined);
    if (!experts) throw new Error('sidecar: no experts in the answer');
    known = {key, experts};
    return {...answer, experts, choices: choices ? unpackChoices(choices) : []};
  }

  /** Undefined if the sidecar does not know the map that the order refers to. */
  async function orderSidecar(
    epoch: number,
    order: object,
    leastMs: number,
  ): Promise<OrderOutcome | undefined> {
    try {
      const sent = {epoch, order};
      const answer = await callSidecar('POST', ORDER_PATH, sent, leastMs);
      if (answer.status === UNKNOWN_MAP_STATUS) return undefined;
      if (answer.status !== 200) return 'unknown';
      return outcomeSchema.parse(answer.body).outcome;
    } catch {
      // Orders now go to the engine itself for a while.
      return 'unknown';
    }
  }

  return {
    address,
    sidecar,
    async sendMap(reference, passTo) {
      if (isSidecarBypassed()) return;
      const body = {reference, passTo};
      // A timeout shows only that a rank to which the map is passed on is slow.
      await caller
        .call('POST', sidecar, MAP_PATH, body, MAP_TIMEOUT_MS)
        .catch(() => undefined);
    },
    async state(coordinator, withChoices) {
      if (isSidecarBypassed()) return stateFromEngine();
      const path = statePath({coordinator, withChoices, knownMap: known?.key});
      try {
        const {status, body} = await callSidecar(
          'GET',
          path,
          undefined,
          MIN_STATE_TIMEOUT_MS,
        );
        if (status !== 200) throw new Error(`sidecar: status ${status}`);
        return toState(stateSchema.parse(body));
      } catch {
        bypassSidecar();
        return stateFromEngine();
      }
    },
    async order(epoch, order, {direct, timeoutMs, reference, isMapSent}) {
      if (direct || isSidecarBypassed())
        return engine.order(epoch, order, timeoutMs);
      if (order.kind !== 'prepare')
        return (await orderSidecar(epoch, order, timeoutMs)) ?? 'unknown';
      const {kind, version, map} = order;
      const named = reference && {...reference, changes: undefined};
      const forms = [isMapSent ? named : undefined, reference];
      for (const form of forms) {
        if (!form) continue;
        const short = {kind, version, reference: form};
        const outcome = await orderSidecar(epoch, short, timeoutMs);
        if (outcome !== undefined) return outcome;
      }
      const whole = {kind, version, map: packMap(map)};
      return (await orderSidecar(epoch, whole, timeoutMs)) ?? 'unknown';
    },
  };
}
