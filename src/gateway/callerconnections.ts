/**
 * The connections of callers, and the requests on them.
 *
 * Answers the load of callers that open connections without using them, send
 * requests without waiting for answers, stop within a request, or do not read their
 * answers. The requests of a connection are handled one after another, so that it
 * holds one body and one answer at most. One sweep a second, in place of a timer for
 * each request, finds what has made no progress.
 */
import http from 'node:http';
import net from 'node:net';
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {MessageInput} from '../kernel/messageinput';
import {LimitedLog} from '../observe/loglimit';
import {chooseConnectionToClose, ConnectionState} from './connections';

export interface ConnectionLimits {
  /** Sockets, with one towards an endpoint for each submitted request. */
  readonly descriptors: number;
  readonly connections: number;
}

/** Why a connection was closed. */
export type CloseReason =
  | 'no room for another connection'
  | 'gave way to another connection'
  | 'too many requests at once'
  | 'headers incomplete'
  | 'body incomplete'
  | 'answer not read';

export interface CallerConnectionsDependencies {
  readonly clock: Clock;
  readonly log: LimitedLog;
  readonly limits: ConnectionLimits;
  readonly countClosed: (reason: CloseReason) => void;
  /** Called once in each sweep. */
  readonly onSweep: () => void;
}

/** The request of a connection that is being handled. */
export interface ActiveRequest {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  /** Monotonic time at which its headers were read. */
  readonly arrivedMs: number;
  /** Called in place of a close if its body makes no progress. */
  setStallHandler(handler: () => void): void;
  /** Whether there is a descriptor for it; it must be submitted then. */
  submit(): boolean;
  /** The connection ends after the answer. */
  beginClose(): void;
}

interface Connection {
  readonly id: number;
  readonly socket: net.Socket;
  phase: ConnectionState['phase'];
  progressMs: number;
  /** Requests that are handled or wait, in the order of their arrival. */
  readonly requests: {readonly req: http.IncomingMessage; start(): void}[];
  /** The last request that was handled. */
  last: http.IncomingMessage | undefined;
  bytesRead: number;
  /**
   * `bytesRead` when the last request had been read whole; undefined while its body
   * is incomplete.
   */
  bytesBeforeHead: number | undefined;
  /** When the sweep first saw a part of the next request's headers. */
  headSinceMs: number | undefined;
  onStall: (() => void) | undefined;
  /** Describes how much of an answer has been sent. */
  sent: string;
  sentMs: number;
}

const SWEEP_INTERVAL_MS = 1_000;
/**
 * Time for the headers of a request after its first byte was seen. Callers may take
 * 3,000 ms; the rest is for the path between.
 */
const HEADERS_TIMEOUT_MS = 4_000;
/**
 * Requests of one connection that have no answer yet. Callers send a request after
 * the answer to the one before; the limit leaves room for some that do not.
 */
const MAX_OUTSTANDING_REQUESTS = 8;
/** Idle time until a configuration sets one, in ms. */
const DEFAULT_IDLE_MS = 15_000;

export class CallerConnections {
  private readonly connections = new Map<number, Connection>();
  private readonly bySocket = new WeakMap<net.Socket, Connection>();
  private nextId = 0;
  private submitted = 0;
  private idleMs = DEFAULT_IDLE_MS;
  private timer: Timer | undefined;

  constructor(private readonly deps: CallerConnectionsDependencies) {}

  get count(): number {
    return this.connections.size;
  }

  /** Time without progress after which a body or an answer is given up. */
  setIdleTimeout(idleMs: number): void {
    this.idleMs = idleMs;
  }

  start(): void {
    const {clock} = this.deps;
    this.timer ??= repeatEvery(clock, SWEEP_INTERVAL_MS, () => this.sweep());
  }

  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }

  /** Takes a connection that was just opened. */
  add(socket: net.Socket): void {
    if (!this.makeRoom(1)) {
      this.report('no room for another connection');
      socket.destroy();
      return;
    }
    const nowMs = this.deps.clock.elapsedMs();
    const connection: Connection = {
      id: this.nextId++,
      socket,
      phase: 'fresh',
      progressMs: nowMs,
      requests: [],
      last: undefined,
      bytesRead: 0,
      bytesBeforeHead: 0,
      headSinceMs: undefined,
      onStall: undefined,
      sent: '',
      sentMs: nowMs,
    };
    this.connections.set(connection.id, connection);
    this.bySocket.set(socket, connection);
    socket.once('close', () => this.remove(connection));
  }

  /** Calls `handle` when the requests before this one have been answered. */
  receive(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    handle: (request: ActiveRequest) => void,
  ): void {
    const connection = this.bySocket.get(req.socket);
    if (!connection || req.socket.destroyed) return;
    const arrivedMs = this.deps.clock.elapsedMs();
    const {requests} = connection;
    if (requests.length >= MAX_OUTSTANDING_REQUESTS) {
      return this.close(connection, 'too many requests at once');
    }
    const input = new MessageInput(req);
    const start = () => {
      input.resume('queue');
      connection.last = req;
      connection.headSinceMs = undefined;
      connection.progressMs = this.deps.clock.elapsedMs();
      this.setPhase(connection, 'reading');
      handle(this.activeRequest(connection, req, res, arrivedMs));
    };
    requests.push({req, start});
    res.once('close', () => this.handleAnswered(connection));
    if (requests.length === 1) return start();
    // Nobody reads it before its turn, and Node would keep each piece of its body.
    input.pause('queue');
    process.nextTick(() => input.joinUnread());
  }

  private activeRequest(
    connection: Connection,
    req: http.IncomingMessage,
    res: http.ServerResponse,
    arrivedMs: number,
  ): ActiveRequest {
    return {
      req,
      res,
      arrivedMs,
      setStallHandler: handler => void (connection.onStall = handler),
      submit: () => {
        // Its own connection must not be chosen, so it counts as submitted first.
        this.setPhase(connection, 'submitted');
        connection.sentMs = this.deps.clock.elapsedMs();
        if (this.makeRoom(0)) return true;
        this.setPhase(connection, 'closing');
        return false;
      },
      beginClose: () => this.setPhase(connection, 'closing'),
    };
  }

  private handleAnswered(connection: Connection): void {
    connection.requests.shift();
    connection.onStall = undefined;
    if (connection.socket.destroyed) return;
    this.setPhase(connection, 'idle');
    // A refusal may be complete before the body has been read; the rest of that is
    // not the beginning of another request.
    connection.bytesBeforeHead = connection.last?.complete
      ? connection.socket.bytesRead
      : undefined;
    connection.progressMs = this.deps.clock.elapsedMs();
    connection.requests[0]?.start();
  }

  private setPhase(connection: Connection, phase: Connection['phase']): void {
    if (!this.connections.has(connection.id)) return;
    const was = connection.phase;
    connection.phase = phase;
    this.submitted += Number(phase === 'submitted');
    this.submitted -= Number(was === 'submitted');
  }

  private remove(connection: Connection): void {
    this.setPhase(connection, 'closing');
    this.connections.delete(connection.id);
  }

  /** Whether there is room for so many more connections, after closing others. */
  private makeRoom(added: number): boolean {
    const {limits, clock} = this.deps;
    for (;;) {
      const connections = this.connections.size + added;
      const sockets = connections + this.submitted;
      const fits =
        connections <= limits.connections && sockets <= limits.descriptors;
      if (fits) return true;
      const nowMs = clock.elapsedMs();
      const id = chooseConnectionToClose(this.connections.values(), nowMs);
      if (id === undefined) return false;
      this.close(this.connections.get(id)!, 'gave way to another connection');
    }
  }

  private close(connection: Connection, reason: CloseReason): void {
    this.report(reason);
    this.remove(connection);
    connection.socket.destroy();
  }

  private report(reason: CloseReason): void {
    this.deps.countClosed(reason);
    this.deps.log('info', 'connection closed', reason, {
      connections: this.connections.size,
    });
  }

  private sweep(): void {
    const nowMs = this.deps.clock.elapsedMs();
    for (const connection of [...this.connections.values()]) {
      this.check(connection, nowMs);
    }
    this.deps.onSweep();
  }

  private check(connection: Connection, nowMs: number): void {
    const {socket, phase, last} = connection;
    const {bytesRead} = socket;
    if (bytesRead !== connection.bytesRead) {
      connection.bytesRead = bytesRead;
      connection.progressMs = nowMs;
    }
    if (phase === 'submitted' || phase === 'closing') {
      return this.checkAnswer(connection, nowMs);
    }
    if (last && !last.complete) {
      if (nowMs - connection.progressMs <= this.idleMs) return;
      const {onStall} = connection;
      connection.onStall = undefined;
      if (onStall) onStall();
      else this.close(connection, 'body incomplete');
      return;
    }
    // A request that has been read whole is about to be submitted, or was refused.
    if (phase === 'reading') return this.checkAnswer(connection, nowMs);
    connection.bytesBeforeHead ??= bytesRead;
    if (bytesRead === connection.bytesBeforeHead) return;
    connection.headSinceMs ??= nowMs;
    if (nowMs - connection.headSinceMs <= HEADERS_TIMEOUT_MS) return;
    this.close(connection, 'headers incomplete');
  }

  private checkAnswer(connection: Connection, nowMs: number): void {
    const {socket} = connection;
    const sent = describeSent(socket);
    const isWaiting = socket.writableLength > 0;
    if (!isWaiting || sent !== connection.sent) {
      connection.sent = sent;
      connection.sentMs = nowMs;
      return;
    }
    if (nowMs - connection.sentMs <= this.idleMs) return;
    this.close(connection, 'answer not read');
  }
}

/**
 * Changes whenever the system takes bytes of an answer. `writableLength` changes
 * only when it has taken a whole write, which may be an answer of 1 MiB; Node's own
 * socket timeout looks at the handle's queue for the same reason.
 */
function describeSent(socket: net.Socket): string {
  const {_handle: handle} = socket as unknown as {
    _handle?: {readonly writeQueueSize?: number} | null;
  };
  const {bytesWritten, writableLength} = socket;
  return `${bytesWritten} ${writableLength} ${handle?.writeQueueSize}`;
}
