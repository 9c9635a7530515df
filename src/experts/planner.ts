/**
 * Collects the load reports of a group and plans its next map.
 *
 * The sidecars' state reports of one second make up one sample. The task asks
 * for a plan only while the group runs the committed map.
 */
import {Rebalancing} from '../rules/model';
import {RankState} from '../wire/messages';
import {LoadEstimate, addSample, rankConditions, RankCondition} from './load';
import {ExpertMap, Shape, stepSkew} from './map';
import {Plan, plan, DEFAULT_POLICY} from './policy';

export interface Planner {
  /** Tokens of each expert in the current sample, layer by layer. */
  readonly tokens: readonly number[];
  /** Times of the ranks in their last step, in milliseconds, by sidecar. */
  readonly rankMs: ReadonlyMap<string, readonly number[]>;
  readonly estimate: LoadEstimate | undefined;
}

export const emptyPlanner: Planner = {
  tokens: [],
  rankMs: new Map(),
  estimate: undefined,
};

/** Adds a sidecar's report to the current sample. */
export function addReport(planner: Planner, report: RankState): Planner {
  const {expertTokens, rankMs, sidecar} = report;
  const tokens = expertTokens.map((n, i) => n + (planner.tokens[i] ?? 0));
  return {
    ...planner,
    tokens: expertTokens.length > 0 ? tokens : planner.tokens,
    rankMs: new Map(planner.rankMs).set(sidecar, rankMs),
  };
}

/**
 * Adds the current sample to the estimate and starts a new one. A sample
 * without a token count for every expert is dropped, and the estimate stays.
 */
export function completeSample(
  planner: Planner,
  shape: Shape,
  now: Date,
): Planner {
  const {tokens, rankMs, estimate} = planner;
  const {layers, experts} = shape;
  if (tokens.length !== layers * experts) return {...planner, tokens: []};
  const sample = {
    tokens: Array.from({length: layers}, (_, layer) =>
      tokens.slice(layer * experts, (layer + 1) * experts),
    ),
    rankMs: [...rankMs.keys()].sort().flatMap(name => rankMs.get(name)!),
    atMs: now.getTime(),
  };
  return {...planner, tokens: [], estimate: addSample(estimate, sample)};
}

/** The plan for the next map, if a change pays off under the current rules. */
export function nextPlan(
  {estimate}: Planner,
  current: ExpertMap,
  {minSkew, horizonS}: Rebalancing,
): Plan | undefined {
  if (!estimate) return undefined;
  const horizonMs = horizonS * 1_000;
  return plan(estimate, current, {...DEFAULT_POLICY, minSkew, horizonMs});
}

export interface LoadFacts {
  /** Predicted skew of a step; 1 is even. */
  readonly skew: number | undefined;
  readonly ranks: readonly RankCondition[];
}

export function loadFacts(
  {estimate}: Planner,
  map: ExpertMap | undefined,
): LoadFacts {
  if (!estimate || !map) return {skew: undefined, ranks: []};
  const skew = stepSkew(map, estimate.shares);
  return {skew, ranks: rankConditions(estimate, map)};
}
