/**
 * Circuit breakers: avoid endpoints that are slow or failing although they
 * still answer heartbeats (gray failure).
 *
 * An endpoint is compared with the other endpoints of its target, because a
 * slow answer is normal when all of them are slow. At most a third of a
 * target's endpoints are avoided at once, because avoiding more would only
 * move the load to the rest. After a pause a single request probes the
 * endpoint.
 */
import {Map} from 'immutable';

export type Circuit = 'closed' | 'open' | 'probing';

/** Circuit breaker of one sidecar's endpoint. */
export interface EndpointCircuit {
  readonly target: string;
  readonly circuit: Circuit;
  /** Moving average of the observed delay, in milliseconds. */
  readonly delayMs: number;
  readonly samples: number;
  readonly consecutiveFailures: number;
  readonly openUntilMs: number;
  readonly pauseMs: number;
}

/** Circuit breakers by sidecar. */
export type Circuits = Map<string, EndpointCircuit>;

/** Weight of the newest delay in the moving average. */
const DELAY_SMOOTHING = 0.2;
/** Observed delays that an endpoint needs before it is compared. */
const MIN_SAMPLES = 10;
/** Other endpoints that are needed for a comparison. */
const MIN_COMPARED_ENDPOINTS = 2;
/** An endpoint is slow above this multiple of the others' median delay. */
const SLOW_FACTOR = 3;
/** Differences up to this are jitter, whatever their ratio. */
const MIN_EXCESS_MS = 20;
/** Consecutive failures that open a circuit. */
const FAILURES_TO_OPEN = 5;
/** Largest fraction of a target's endpoints that is avoided at once. */
const MAX_AVOIDED_FRACTION = 1 / 3;
/** Time before the first probe; doubles with each probe that fails. */
const MIN_PAUSE_MS = 2_000;
const MAX_PAUSE_MS = 60_000;

export const noCircuits: Circuits = Map();

const newCircuit = (target: string): EndpointCircuit => ({
  target,
  circuit: 'closed',
  delayMs: 0,
  samples: 0,
  consecutiveFailures: 0,
  openUntilMs: 0,
  pauseMs: MIN_PAUSE_MS,
});

/** Records the delay of an answer, per token or to its first byte. */
export function observeDelay(
  state: Circuits,
  sidecar: string,
  target: string,
  delayMs: number,
  now: Date,
): Circuits {
  const old = state.get(sidecar) ?? newCircuit(target);
  // A probe is judged alone, without the slow answers that preceded it.
  const startsAverage = old.samples === 0 || old.circuit === 'probing';
  const average = startsAverage
    ? delayMs
    : old.delayMs + DELAY_SMOOTHING * (delayMs - old.delayMs);
  const next = {
    ...old,
    delayMs: average,
    samples: old.samples + 1,
    consecutiveFailures: 0,
  };
  const slow = next.samples >= MIN_SAMPLES && isSlow(state, sidecar, next);
  return updateCircuit(state.set(sidecar, next), sidecar, slow, now);
}

/** Records an attempt that the endpoint failed or whose link broke. */
export function observeFailure(
  state: Circuits,
  sidecar: string,
  target: string,
  now: Date,
): Circuits {
  const old = state.get(sidecar) ?? newCircuit(target);
  const consecutiveFailures = old.consecutiveFailures + 1;
  const next = {...old, consecutiveFailures};
  const failing =
    consecutiveFailures >= FAILURES_TO_OPEN || old.circuit === 'probing';
  return updateCircuit(state.set(sidecar, next), sidecar, failing, now);
}

/** Whether new requests may be offered to the sidecar now. */
export function isUsable(state: Circuits, sidecar: string, now: Date): boolean {
  const found = state.get(sidecar);
  if (!found || found.circuit === 'closed') return true;
  return found.openUntilMs <= now.getTime();
}

/** Records an offered request; on an open circuit it is the probe. */
export function recordOffer(
  state: Circuits,
  sidecar: string,
  now: Date,
): Circuits {
  const found = state.get(sidecar);
  if (!found || found.circuit === 'closed') return state;
  const openUntilMs = now.getTime() + found.pauseMs;
  return state.set(sidecar, {...found, circuit: 'probing', openUntilMs});
}

/** Opens or closes the circuit after an observation. */
function updateCircuit(
  state: Circuits,
  sidecar: string,
  unhealthy: boolean,
  now: Date,
): Circuits {
  const found = state.get(sidecar)!;
  if (!unhealthy) {
    if (found.circuit !== 'probing') return state;
    const closed = {...found, circuit: 'closed' as const, samples: 1};
    return state.set(sidecar, {...closed, pauseMs: MIN_PAUSE_MS});
  }
  const wasClosed = found.circuit === 'closed';
  if (found.circuit === 'open') return state;
  if (wasClosed && !mayAvoidAnother(state, found.target)) return state;
  const pauseMs = wasClosed
    ? found.pauseMs
    : Math.min(MAX_PAUSE_MS, 2 * found.pauseMs);
  const openUntilMs = now.getTime() + pauseMs;
  return state.set(sidecar, {...found, circuit: 'open', openUntilMs, pauseMs});
}

/** Whether the endpoint is slow compared with the others of its target. */
function isSlow(
  state: Circuits,
  sidecar: string,
  endpoint: EndpointCircuit,
): boolean {
  const delays = state
    .filter(
      (other, name) =>
        name !== sidecar &&
        other.target === endpoint.target &&
        other.circuit === 'closed' &&
        other.samples >= MIN_SAMPLES,
    )
    .valueSeq()
    .map(other => other.delayMs)
    .sort()
    .toArray();
  if (delays.length < MIN_COMPARED_ENDPOINTS) return false;
  const median = delays[Math.floor(delays.length / 2)]!;
  const excess = endpoint.delayMs - median;
  return excess > MIN_EXCESS_MS && endpoint.delayMs > SLOW_FACTOR * median;
}

/** Whether another endpoint of the target may be avoided. */
function mayAvoidAnother(state: Circuits, target: string): boolean {
  const peers = state.filter(e => e.target === target);
  const avoided = peers.count(e => e.circuit !== 'closed');
  return avoided + 1 <= peers.size * MAX_AVOIDED_FRACTION;
}

/** Removes the circuits of sidecars that are not in `known`. */
export function retainCircuits(
  state: Circuits,
  known: ReadonlySet<string>,
): Circuits {
  return state.filter((_, sidecar) => known.has(sidecar));
}
