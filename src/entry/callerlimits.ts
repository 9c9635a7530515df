/**
 * What callers of the product's own interface may hold together.
 *
 * Answers the load of many callers that each stay within the limit on one body, but
 * stop just short of its end, or open connections without using them. The body
 * parsers keep the pieces of a body until it is complete, so each piece counts with
 * what it costs besides its bytes. What gives way is decided as on the platform
 * (`callermemory.ts`, `connections.ts`).
 */
import http from 'node:http';
import {CallerConnections, CloseReason} from '../gateway/callerconnections';
import {BodyAccount} from '../gateway/memoryaccounts';
import {Clock} from '../kernel/clock';
import {Log} from '../observe/log';
import {limitLog} from '../observe/loglimit';

export interface CallerLimitSettings {
  /** Largest body of one request. */
  readonly bodyBytes: number;
  /** Bytes of all bodies together that have not arrived completely. */
  readonly unfinishedBytes: number;
  readonly connections: number;
}

export interface CallerLimitDependencies {
  readonly settings: CallerLimitSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly countClosed: (reason: CloseReason) => void;
}

/** Heap that a piece of a body takes besides its bytes; Node slices buffers. */
const PIECE_BYTES = 512;

export class CallerLimitGuard {
  private readonly bodies: BodyAccount;
  private readonly connections: CallerConnections;

  constructor({settings, clock, log, countClosed}: CallerLimitDependencies) {
    const {bodyBytes, unfinishedBytes, connections} = settings;
    // One body of the largest size fits, also in small pieces of a network.
    this.bodies = new BodyAccount(Math.max(unfinishedBytes, 2 * bodyBytes));
    this.connections = new CallerConnections({
      clock,
      log: limitLog(log, clock),
      limits: {connections, descriptors: 2 * connections},
      countClosed,
      onSweep: () => this.bodies.advance(),
    });
  }

  /** Applies the limits to a server, whose requests go to `handle`. */
  attach(server: http.Server, handle: http.RequestListener): void {
    server.on('connection', socket => this.connections.add(socket));
    server.on('listening', () => this.connections.start());
    server.on('close', () => this.connections.stop());
    server.on('request', (req, res) =>
      this.connections.receive(req, res, request => {
        if (hasBody(req)) req.once('end', () => request.submit());
        else request.submit();
        handle(req, res);
      }),
    );
  }

  /**
   * Counts the body of a request until it is whole. `onShed` is called if it gives
   * way; nothing more of it may be kept then.
   */
  countBody(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    onShed: () => void,
  ): void {
    if (!hasBody(req)) return;
    let isShed = false;
    const shed = () => {
      if (isShed) return;
      isShed = true;
      holding.release();
      onShed();
    };
    const holding = this.bodies.open(req.socket.remoteAddress ?? '', shed);
    req.on('data', (piece: Buffer) => {
      if (isShed) return;
      holding.recordProgress(piece.length);
      if (!holding.grow(piece.length + PIECE_BYTES)) shed();
    });
    // Whole bodies are bounded where requests wait, by account.
    req.once('end', () => holding.release());
    res.once('close', () => holding.release());
  }
}

function hasBody({headers}: http.IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
