/**
 * What callers of the product's own interface may hold together.
 *
 * Answers the load of many callers that each stay within the limit on one body, but
 * stop just short of its end, or open connections without using them. What gives way
 * is decided as on the platform (`callermemory.ts`, `connections.ts`).
 */
import http from 'node:http';
import {Readable} from 'node:stream';
import {Request, RequestHandler} from 'express';
import {readBody} from '../gateway/bodyreader';
import {InputPace} from '../kernel/inputpace';
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

export interface BodyReadOptions {
  readonly maxBytes: number;
  /** Called in place of the parser if the body is larger than `maxBytes`. */
  readonly onLarge: RequestHandler;
  /** Called in place of the parser if the body gives way to others. */
  readonly onShed: RequestHandler;
}

export class CallerLimitGuard {
  private readonly bodies: BodyAccount;
  private readonly connections: CallerConnections;
  private readonly pace: InputPace;

  constructor({settings, clock, log, countClosed}: CallerLimitDependencies) {
    const {bodyBytes, unfinishedBytes, connections} = settings;
    this.pace = new InputPace(clock);
    // One body of the largest size fits beside the buffer that it grows out of.
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
   * Reads the body of a request whole, in one buffer, before `parse` reads it: Express's
   * parsers keep the pieces as they come, and a piece of one byte takes hundreds of
   * bytes of heap.
   */
  readWhole(
    parse: RequestHandler,
    {maxBytes, onLarge, onShed}: BodyReadOptions,
  ): RequestHandler {
    return (req, res, next) => {
      if (!hasBody(req)) {
        parse(req, res, next);
        return;
      }
      const {bodies: memory, pace} = this;
      const account = req.socket.remoteAddress ?? '';
      const reading = readBody(
        req,
        {memory, pace},
        {account, maxBytes},
        outcome => {
          if (outcome.kind === 'large') onLarge(req, res, next);
          if (outcome.kind === 'shed') onShed(req, res, next);
          if (outcome.kind !== 'whole') return;
          const source = Object.assign(
            Readable.from([outcome.body ?? Buffer.alloc(0)]),
            {
              headers: req.headers,
              body: undefined,
            },
          );
          parse(source as unknown as Request, res, error => {
            req.body = source.body;
            // Whole bodies are bounded where requests wait, by account.
            reading.release();
            next(error);
          });
        },
      );
    };
  }
}

function hasBody({headers}: http.IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
