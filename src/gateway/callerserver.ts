/**
 * The HTTP server for callers, and whether it is ready for new ones.
 *
 * It uses Node's HTTP server directly: answers must keep an endpoint's status
 * line, header order and bytes, which a framework would rewrite.
 */
import http from 'node:http';
import {Clock, msSince} from '../kernel/clock';
import {Log} from '../observe/log';
import {LimitedLog} from '../observe/loglimit';
import {Catalog} from './catalog';
import {
  BodyReaderDependencies,
  discardBody,
  discardRest,
  readBody,
} from './bodyreader';
import {ActiveRequest, CallerConnections} from './callerconnections';
import {IncomingRequest, writeFailure, writeFailureUnended} from './exchange';
import {CallerLimits} from './model';
import {HeaderCodec, RequestMetadata} from './headercodec';
import {
  AdmissionState,
  admitRequest,
  pickService,
  RequestAdmission,
} from './requestadmission';

export interface CallerServerDependencies {
  readonly headers: HeaderCodec;
  readonly clock: Clock;
  readonly log: Log;
  /** For refusals that callers can cause without limit. */
  readonly limitedLog: LimitedLog;
  catalog(): Catalog;
  submit(incoming: IncomingRequest): void;
  /** Called when a request is refused before it is submitted. */
  countRefusal(status: number, reason: string): void;
  /**
   * Keys cannot be checked, and so are refused, if the configuration was last
   * confirmed longer ago than this, in ms.
   */
  readonly maxConfigurationAgeMs: number;
  /** Time within which a configuration must be in force, in ms. */
  readonly configurationMs: number;
  /**
   * Time after an interruption of the operator's table until the store is trusted to
   * answer from its newest state, in ms.
   */
  readonly settleMs: number;
  readonly connections: CallerConnections;
  readonly bodies: BodyReaderDependencies;
  readonly random: () => number;
}

/** Limit on the size of request headers; the platform's callers send less. */
const MAX_HEADER_BYTES = 32_768;

/**
 * Time within which a request's headers must arrive. Node counts it from the
 * opening of a connection, on which a caller may be idle at first.
 */
const HEADERS_TIMEOUT_MS = 15_000;
/** How often Node looks for late headers, in ms; its default is 30 s. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Idle timeout of connections until a configuration sets one, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Connections stay open this much longer than callers may use them. */
const IDLE_MARGIN_MS = 1_000;

/**
 * After a refusal, input is discarded for this time and up to so many bytes before
 * the connection is closed.
 */
const DISCARD_MS = 500;
const MAX_DISCARDED_BYTES = 1_048_576;

/** Retry-After of a request that gave way for memory or descriptors, in ms. */
const OVERLOAD_RETRY_AFTER_MS = 1_000;

type Refusal = Extract<RequestAdmission, {readonly kind: 'refuse'}>;

export class CallerServer {
  private readonly server: http.Server;
  private draining = false;
  private closing = false;

  constructor(private readonly deps: CallerServerDependencies) {
    this.server = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS,
        noDelay: true,
      },
      (req, res) =>
        deps.connections.receive(req, res, request => this.handle(request)),
    );
    this.server.on('connection', socket => deps.connections.add(socket));
  }

  listen(address: string): Promise<void> {
    this.deps.connections.start();
    const [host = '', port = ''] = address.split(':');
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, resolve);
    });
  }

  /** Keeps serving, but closes each connection after its next answer. */
  drain(): void {
    this.draining = true;
  }

  /** Refuses new requests and closes idle connections. */
  close(): void {
    this.closing = true;
    this.deps.connections.stop();
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Whether the balancer should send new callers here. */
  isReady(): boolean {
    const {configuration} = this.deps.catalog();
    return (
      !this.draining && configuration !== undefined && !this.areKeysStale()
    );
  }

  setLimits({idleTimeoutMs}: CallerLimits): void {
    this.server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    this.deps.connections.setIdleTimeout(idleTimeoutMs);
  }

  /** The state by which requests are admitted. */
  admissionState(): AdmissionState {
    const {catalog, clock, settleMs, configurationMs} = this.deps;
    const {operatorInterruptedMs} = catalog();
    return {
      catalog: catalog(),
      isSettled: clock.elapsedMs() - operatorInterruptedMs >= settleMs,
      configurationAgeMs: this.configurationAgeMs(),
      finalRefusalAgeMs: configurationMs,
      maxConfigurationAgeMs: this.deps.maxConfigurationAgeMs,
      stopping: this.closing,
    };
  }

  private configurationAgeMs(): number {
    return msSince(this.deps.catalog().operatorAsOf, this.deps.clock);
  }

  private areKeysStale(): boolean {
    return this.configurationAgeMs() > this.deps.maxConfigurationAgeMs;
  }

  private handle(request: ActiveRequest): void {
    const {req, res, arrivedMs} = request;
    if (this.draining) res.shouldKeepAlive = false;
    const state = this.admissionState();
    let metadata: RequestMetadata | undefined;
    const admission = admitRequest(state, {
      host: req.headers.host,
      target: req.url ?? '',
      readAccount: () => {
        metadata = this.deps.headers.readRequest(req.headers);
        const {key} = metadata;
        return key === undefined ? undefined : state.catalog.keys.get(key);
      },
    });
    if (admission.kind === 'refuse')
      return this.refuse(req, res, admission, state);
    const {configuration, route, account} = admission;
    const service = pickService(route, this.deps.random)!;
    const owner = account?.name ?? req.socket.remoteAddress ?? '';
    const {bodyBytes: maxBytes} = configuration.limits;
    const reading = readBody(
      req,
      this.deps.bodies,
      {account: owner, maxBytes},
      outcome => {
        if (outcome.kind === 'gone') return;
        if (outcome.kind === 'large') {
          return this.refuseAndClose(request, 413, 'body too large');
        }
        const hasRoom = outcome.kind === 'whole' && request.submit();
        if (!hasRoom) {
          const reason = outcome.kind === 'shed' ? 'memory' : 'descriptors';
          const retryMs = OVERLOAD_RETRY_AFTER_MS;
          return this.refuseAndClose(request, 503, reason, retryMs);
        }
        const {body} = outcome;
        const incoming = {req, res, route, service, account};
        this.deps.submit({...incoming, metadata: metadata!, body, arrivedMs});
      },
    );
    // An answer that is written refers to its request, and so to the body.
    res.once('close', () => reading.release());
    request.setStallHandler(() => {
      reading.release();
      this.refuseAndClose(request, 408, 'body incomplete');
    });
  }

  private refuse(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    {status, reason, retryAfterMs}: Refusal,
    {catalog, configurationAgeMs}: AdmissionState,
  ): void {
    const {requestId} = this.deps.headers.readRequest(req.headers);
    const {version, limits} = catalog.configuration ?? {};
    this.deps.countRefusal(status, reason);
    this.deps.log('info', 'refused', {
      request: requestId,
      status,
      reason,
      version,
      ageMs: Number.isFinite(configurationAgeMs)
        ? Math.round(configurationAgeMs)
        : undefined,
    });
    writeFailure(res, status, reason, retryAfterMs);
    discardBody(req, limits?.bodyBytes ?? MAX_DISCARDED_BYTES, () =>
      req.socket.destroy(),
    );
  }

  /** Refuses a request whose body is not read any further. */
  private refuseAndClose(
    request: ActiveRequest,
    status: number,
    reason: string,
    retryMs?: number,
  ): void {
    const {req, res} = request;
    this.deps.countRefusal(status, reason);
    const {requestId} = this.deps.headers.readRequest(req.headers);
    // Callers that keep to no limit cause such refusals as fast as they like.
    const fields = {request: requestId, status};
    this.deps.limitedLog('info', 'refused', reason, fields);
    res.shouldKeepAlive = false;
    if (req.complete) return writeFailure(res, status, reason, retryMs);
    request.beginClose();
    // Node closes the connection as soon as the answer has ended.
    writeFailureUnended(res, status, reason, retryMs);
    const limits = {maxBytes: MAX_DISCARDED_BYTES, maxMs: DISCARD_MS};
    discardRest(request, this.deps.clock, limits, () => res.end());
  }
}
