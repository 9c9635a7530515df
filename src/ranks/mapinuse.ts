/**
 * The map that a group uses, put together from what its ranks report.
 *
 * Each rank tells only which experts it holds itself. A rank that has not
 * reported since the last change is taken to hold what no other does; with
 * that, others can still be given the map in use under a higher version. It
 * is not known whether engines take a map in which a rank holds nothing of a
 * set, so such a rank is given one expert that others hold as well.
 */
import {RankMap, RankState} from './rank';

export interface ExpertSets {
  readonly sets: number;
  /** Experts of each set. */
  readonly experts: number;
}

/** Undefined where more than one rank is unknown. */
export function mapInUse(
  states: ReadonlyMap<number, RankState>,
  size: number,
  {sets, experts}: ExpertSets,
): RankMap | undefined {
  const newest = Math.max(...[...states.values()].map(s => s.map));
  const known = [...states.values()].filter(s => s.map === newest);
  if (known.length === 0 || known.length < size - 1) return undefined;
  return Array.from({length: sets}, (_, set) => {
    const held = new Set(known.flatMap(s => s.experts[set] ?? []));
    const rest = Array.from({length: experts}, (_, expert) => expert).filter(
      expert => !held.has(expert),
    );
    return Array.from({length: size}, (_, rank) => {
      const state = states.get(rank);
      if (state?.map === newest) return state.experts[set] ?? [];
      return rest.length > 0 ? rest : [0];
    });
  });
}
