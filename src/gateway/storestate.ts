/**
 * A state of the platform's store.
 *
 * Each transaction gives the store a higher version. If the store comes back from a
 * copy, its version falls and the same numbers are given out again to other
 * transactions, but its era rises. Versions are comparable only within an era, so
 * states are compared by `compareStates` and never by their versions alone.
 */
export interface StoreState {
  /** Number of times that the store has come back from a copy; 0 if not told. */
  readonly era: number;
  readonly version: number;
}

/** Before every state of a store. */
export const NO_STATE: StoreState = {era: -Infinity, version: -Infinity};

/** Negative if `a` is the older state, 0 if they are the same. */
export function compareStates(a: StoreState, b: StoreState): number {
  return a.era === b.era ? a.version - b.version : a.era - b.era;
}
