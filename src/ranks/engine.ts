/** Interface to the engine of one rank, for sidecars and coordinators. */
import {RankExperts, OrderOutcome, RankOrder, RankReport} from './rank';

export interface Engine {
  report(): Promise<RankReport>;
  /** How often each expert was chosen since the start, set by set. */
  counts(): Promise<readonly number[]>;
  /** The rank's experts in the map in use, and that map's version. */
  experts(): Promise<{readonly version: number; readonly experts: RankExperts}>;
  /** Never rejects; resolves to `unknown` if the engine does not answer. */
  order(
    epoch: number,
    order: RankOrder,
    timeoutMs: number,
  ): Promise<OrderOutcome>;
}
