/**
 * The types of the pure decision functions.
 *
 * A `Decide` function takes a state, a message and the time. It returns the
 * next state and the effects, which the surrounding task carries out. It reads
 * no clock, socket or random source, so a fuzz model can run it in any order
 * and at any speed.
 */
export interface Decision<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

export type Decide<State, Message, Effect> = (
  state: State,
  message: Message,
  now: Date,
) => Decision<State, Effect>;

/** The decision for a state and any number of effects. */
export function createDecision<State, Effect>(
  state: State,
  ...effects: readonly Effect[]
): Decision<State, Effect> {
  return {state, effects};
}
