/**
 * Reconstructs the expert map that a group uses from its ranks' reports.
 *
 * Each rank reports only the experts that it holds itself. A rank that has not
 * reported since the last change is assumed to hold the experts that no other
 * rank holds. The other ranks can then still be given the map in use under a
 * higher version. It is not known whether engines accept a map in which a rank
 * holds no expert of a set, so such a rank gets one that others hold as well.
 */
import {RankMap, RankState, sortExperts} from './rank';

/** Dimensions of an expert map. */
export interface MapDimensions {
  readonly sets: number;
  /** Number of experts in each set. */
  readonly experts: number;
}

/** Returns undefined if more than one rank has not reported the newest map. */
export function mapInUse(
  states: ReadonlyMap<number, RankState>,
  size: number,
  {sets, experts}: MapDimensions,
): RankMap | undefined {
  const newest = Math.max(...[...states.values()].map(s => s.map));
  const upToDate = [...states.values()].filter(s => s.map === newest);
  if (upToDate.length === 0 || upToDate.length < size - 1) return undefined;
  const map = Array.from({length: sets}, (_, set) => {
    const held = new Set(upToDate.flatMap(s => s.experts[set] ?? []));
    const rest = Array.from({length: experts}, (_, expert) => expert).filter(
      expert => !held.has(expert),
    );
    return Array.from({length: size}, (_, rank) => {
      const state = states.get(rank);
      if (state?.map === newest) return state.experts[set] ?? [];
      return rest.length > 0 ? rest : [0];
    });
  });
  return sortExperts(map);
}
