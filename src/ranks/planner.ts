/**
 * Plans changes of a group's expert map from what its ranks choose.
 */
import {Clock} from '../kernel/clock';
import {Demand, updateDemand} from './demand';
import {MapDimensions} from './mapinuse';
import {
  improveMapInSlices,
  meanSkew,
  PlacementLimits,
  PlacementPlan,
} from './placement';
import {RankMap} from './rank';

/** The map that a group uses. */
export interface UsedMap {
  readonly epoch: number;
  readonly version: number;
  readonly map: RankMap;
  /** Slowdown of each rank; 1 if healthy. */
  readonly paces: readonly number[];
}

/** A search that found no change worth its copies. */
interface FruitlessSearch {
  readonly epoch: number;
  readonly version: number;
  readonly skew: number;
}

export class ChangePlanner {
  private demand: Demand | undefined;
  private fruitless: FruitlessSearch | undefined;

  constructor(private readonly clock: Clock) {}

  /** Adds what the ranks have chosen to the estimate of the demand. */
  addChoices(
    epoch: number,
    {sets, experts}: MapDimensions,
    ofRanks: readonly (readonly number[])[],
  ): void {
    this.demand = updateDemand(
      this.demand,
      {epoch, sets, experts, ofRanks},
      this.clock.elapsedMs(),
    );
  }

  /** What the last reading showed of the demand; undefined before the first. */
  get lastDemand():
    Pick<Demand, 'distance' | 'noise' | 'hasJumped'> | undefined {
    return this.demand;
  }

  /** The mean skew of a map; undefined while the demand is not known. */
  skewOf({epoch, map, paces}: UsedMap): number | undefined {
    const {demand} = this;
    if (!demand?.known || demand.epoch !== epoch) return undefined;
    return meanSkew(map, demand.shares, paces);
  }

  /** Returns a better map for the demand; undefined if no change is worth it. */
  async plan(
    {epoch, version, map, paces}: UsedMap,
    limits: PlacementLimits,
  ): Promise<PlacementPlan | undefined> {
    const {demand, fruitless} = this;
    const skew = this.skewOf({epoch, version, map, paces});
    if (!demand || skew === undefined || skew < limits.minSkew)
      return undefined;
    const isSearched =
      fruitless?.epoch === epoch && fruitless.version === version;
    // The same search would find nothing again.
    if (isSearched && skew < fruitless.skew + limits.minSkewGain / 2)
      return undefined;
    const plan = await improveMapInSlices(
      map,
      demand.shares,
      limits,
      paces,
      this.clock,
    );
    this.fruitless = plan ? undefined : {epoch, version, skew};
    return plan;
  }
}
