/**
 * How many connections of callers a process keeps, and which one it closes when
 * another comes.
 *
 * Answers the load of callers that open connections and send nothing, or headers
 * without end: they must not take the descriptors that others need. A connection
 * whose request was submitted is never closed for another one.
 */

/** Descriptors kept for files. */
const FILE_DESCRIPTORS = 200;
/**
 * Descriptors kept for the process's own sockets: listeners, datagrams, standard
 * output, calls to the store, and the connections of readiness and metrics.
 */
const OWN_DESCRIPTORS = 40;

/**
 * Sockets that callers may cause: connections, and one towards an endpoint for each
 * request in flight.
 */
export function callerDescriptors(maxFds: number): number {
  return Math.max(2, maxFds - FILE_DESCRIPTORS - OWN_DESCRIPTORS);
}

export interface ConnectionState {
  readonly id: number;
  /**
   * `fresh` has never sent the whole headers of a request, `idle` has no request,
   * `reading` has one whose body is incomplete, `closing` has been refused.
   */
  readonly phase: 'fresh' | 'idle' | 'reading' | 'closing' | 'submitted';
  /** Monotonic time of the last byte received. */
  readonly progressMs: number;
}

/**
 * A body without progress for this time may be closed for a new connection. It is
 * the time that callers have for headers; one that makes progress is not closed.
 */
const STALLED_MS = 3_000;

const ORDER = ['closing', 'fresh', 'idle', 'reading'] as const;

/** Id of the connection to close for a new one; undefined if none may be. */
export function chooseConnectionToClose(
  connections: Iterable<ConnectionState>,
  nowMs: number,
): number | undefined {
  let chosen: ConnectionState | undefined;
  for (const connection of connections) {
    const {phase, progressMs} = connection;
    if (phase === 'submitted') continue;
    if (phase === 'reading' && nowMs - progressMs < STALLED_MS) continue;
    if (!chosen || comesBefore(connection, chosen)) chosen = connection;
  }
  return chosen?.id;
}

function comesBefore(a: ConnectionState, b: ConnectionState): boolean {
  const order = rankOf(a) - rankOf(b);
  return order < 0 || (order === 0 && a.progressMs < b.progressMs);
}

function rankOf({phase}: ConnectionState): number {
  return (ORDER as readonly string[]).indexOf(phase);
}
