/** The engine of one rank, as a sidecar or coordinator calls it. */
import {RankExperts, OrderOutcome, RankOrder, RankReport} from './rank';

export interface Engine {
  report(): Promise<RankReport>;
  /** Times that each expert was chosen since the start, set after set. */
  counts(): Promise<readonly number[]>;
  /** Experts of the map in use. */
  experts(): Promise<{readonly version: number; readonly experts: RankExperts}>;
  /** Never rejects; an order without an answer is `unknown`. */
  order(
    epoch: number,
    order: RankOrder,
    timeoutMs: number,
  ): Promise<OrderOutcome>;
}
