/**
 * The HTTP server for callers and the readiness check of their balancer.
 *
 * Node's own server is used: answers must keep an endpoint's status line,
 * header order and bytes, which a framework would rewrite.
 */
import http from 'node:http';
import {Clock} from '../kernel/clock';
import {Log} from '../observe/log';
import {Catalog, matchRoute} from './catalog';
import {Incoming, writeFailure} from './exchange';
import {Route} from './model';
import {Headers} from './protocol';

export interface CallerServerParts {
  readonly headers: Headers;
  readonly clock: Clock;
  readonly log: Log;
  catalog(): Catalog;
  submit(incoming: Incoming): void;
  /** A request was refused before it was placed. */
  refused(status: number, reason: string): void;
  /** Age of the configuration's proof from which keys are refused, in ms. */
  readonly staleMs: number;
  readonly random: () => number;
}

/** Size of a head that is read at all; the platform's callers send less. */
const MAX_HEADER_BYTES = 32_768;

/**
 * Time in which a head must arrive. Node counts it from the opening of a new
 * connection, on which a caller may stay idle first.
 */
const HEADERS_MS = 15_000;

/** Idle time of a connection before a configuration says more, in ms. */
const DEFAULT_IDLE_MS = 15_000;
/** Callers may use a connection until its idle limit is reached. */
const IDLE_MARGIN_MS = 1_000;

const RETRY_START_MS = 500;
const RETRY_STALE_MS = 1_500;

/**
 * Age of the configuration's proof up to which an unknown route or key is
 * refused for good; a newer configuration may hold it.
 */
const CERTAIN_MS = 2_000;

export class CallerServer {
  private readonly server: http.Server;
  private draining = false;
  private closing = false;

  constructor(private readonly parts: CallerServerParts) {
    this.server = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_MS,
        requestTimeout: 0,
        keepAliveTimeout: DEFAULT_IDLE_MS + IDLE_MARGIN_MS,
        noDelay: true,
      },
      (req, res) => this.handle(req, res),
    );
  }

  listen(address: string): Promise<void> {
    const [host = '', port = ''] = address.split(':');
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, resolve);
    });
  }

  /** Tells callers to use other connections, and goes on serving. */
  drain(): void {
    this.draining = true;
  }

  /** Refuses what still comes and closes connections that are idle. */
  close(): void {
    this.closing = true;
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Whether new callers should be sent here. */
  ready(): boolean {
    const {configuration} = this.parts.catalog();
    return !this.draining && configuration !== undefined && !this.stale();
  }

  setIdle(idleMs: number): void {
    this.server.keepAliveTimeout = idleMs + IDLE_MARGIN_MS;
  }

  private provedAgo(): number {
    const {operatorProvedMs} = this.parts.catalog();
    return this.parts.clock.elapsedMs() - operatorProvedMs;
  }

  private stale(): boolean {
    return this.provedAgo() > this.parts.staleMs;
  }

  private handle(req: http.IncomingMessage, res: http.ServerResponse): void {
    const arrivedMs = this.parts.clock.elapsedMs();
    if (this.draining) res.shouldKeepAlive = false;
    const refusal = (status: number, reason: string, retryMs?: number) =>
      this.refuse(req, res, status, reason, retryMs);
    if (this.closing) return refusal(503, 'stopping', RETRY_START_MS);
    const catalog = this.parts.catalog();
    const {configuration} = catalog;
    if (!configuration) return refusal(503, 'no configuration', RETRY_START_MS);
    const route = matchRoute(catalog, req.headers.host, req.url ?? '');
    if (!route) {
      if (this.provedAgo() > CERTAIN_MS) {
        return refusal(503, 'configuration may be old', RETRY_STALE_MS);
      }
      return refusal(404, 'no such route');
    }
    const call = this.parts.headers.call(req.headers);
    const account =
      call.key === undefined ? undefined : catalog.keys.get(call.key);
    if (catalog.keys.size > 0 && !route.public) {
      if (this.stale()) {
        return refusal(503, 'keys cannot be checked', RETRY_STALE_MS);
      }
      if (!account) {
        if (this.provedAgo() > CERTAIN_MS) {
          return refusal(503, 'configuration may be old', RETRY_STALE_MS);
        }
        return refusal(401, 'unknown key');
      }
    }
    const service = pickService(route, this.parts.random);
    if (service === undefined)
      return refusal(503, 'no service', RETRY_START_MS);
    readBody(req, configuration.limits.bodyBytes, outcome => {
      if (outcome === 'gone') return;
      if (outcome === 'large') return refusal(413, 'body too large');
      this.parts.submit({
        req,
        res,
        call,
        route,
        service,
        account,
        body: outcome,
        arrivedMs,
      });
    });
  }

  private refuse(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    status: number,
    reason: string,
    retryMs?: number,
  ): void {
    const {requestId} = this.parts.headers.call(req.headers);
    this.parts.refused(status, reason);
    this.parts.log('info', 'refused', {request: requestId, status, reason});
    writeFailure(res, status, reason, retryMs);
    req.resume();
  }
}

/** Draws a service of the route by weight. */
function pickService({split}: Route, random: () => number): string | undefined {
  const total = split.reduce((sum, s) => sum + s.weight, 0);
  let at = random() * total;
  for (const {service, weight} of split) {
    at -= weight;
    if (at < 0) return service;
  }
  return split.at(-1)?.service;
}

type Body = Buffer | undefined | 'large' | 'gone';

/** Reads a body whole; undefined where the request has none. */
function readBody(
  req: http.IncomingMessage,
  limit: number,
  done: (body: Body) => void,
): void {
  const {headers} = req;
  const framed =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  const chunks: Buffer[] = [];
  let bytes = 0;
  let over = false;
  const finish = (body: Body) => {
    if (over) return;
    over = true;
    done(body);
  };
  if (Number(headers['content-length'] ?? 0) > limit) return finish('large');
  req.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > limit) finish('large');
    else chunks.push(chunk);
  });
  req.on('end', () => finish(framed ? Buffer.concat(chunks) : undefined));
  req.on('error', () => finish('gone'));
  req.on('close', () => finish('gone'));
}
