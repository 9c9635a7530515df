/**
 * An HTTP server for the ports that only the platform and other processes use:
 * readiness, metrics and the sidecars' orders.
 *
 * Anybody who reaches such a port may open connections without end or send bodies
 * without end, so these ports have small limits of their own. They do not share the
 * limits of callers: a crowd on one port takes no connection from another.
 */
import http from 'node:http';
import {CallerConnections, CloseReason} from '../gateway/callerconnections';
import {discardBody} from '../gateway/bodyreader';
import {LimitedLog} from '../observe/loglimit';
import {Clock} from './clock';

export interface BoundedServerLimits {
  /** A further connection replaces one without a request. */
  readonly connections: number;
  /** Time within which a body must go on, in ms. */
  readonly idleMs: number;
  /** Whether the handler reads bodies. Others are discarded, up to 64 KiB. */
  readonly readsBodies: boolean;
}

export interface BoundedServerDependencies {
  readonly clock: Clock;
  readonly log: LimitedLog;
  readonly countClosed: (reason: CloseReason) => void;
  /** Called every second while the server listens. */
  readonly onSweep?: () => void;
}

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 5_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
const MAX_UNREAD_BODY_BYTES = 65_536;

export function createBoundedServer(
  limits: BoundedServerLimits,
  handle: http.RequestListener,
  {clock, log, countClosed, onSweep}: BoundedServerDependencies,
): http.Server {
  const connections = new CallerConnections({
    clock,
    log,
    limits: {
      connections: limits.connections,
      // Requests need no descriptor that is counted here.
      descriptors: 2 * limits.connections,
    },
    countClosed,
    onSweep: onSweep ?? (() => undefined),
  });
  connections.setIdleTimeout(limits.idleMs);
  const server = http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      noDelay: true,
    },
    (req, res) =>
      connections.receive(req, res, request => {
        // A request that has been read whole keeps its connection.
        req.once('end', () => request.submit());
        if (!limits.readsBodies) {
          discardBody(req, MAX_UNREAD_BODY_BYTES, () => req.socket.destroy());
        }
        handle(req, res);
      }),
  );
  server.on('connection', socket => connections.add(socket));
  server.on('listening', () => connections.start());
  server.on('close', () => connections.stop());
  return server;
}
