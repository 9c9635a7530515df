/**
 * The HTTP server for callers, and whether it is ready for new ones.
 *
 * It uses Node's HTTP server directly: answers must keep an endpoint's status
 * line, header order and bytes, which a framework would rewrite.
 */
import http from 'node:http';
import {Clock, msSince} from '../kernel/clock';
import {Log} from '../observe/log';
import {Catalog} from './catalog';
import {IncomingRequest, writeFailure} from './exchange';
import {HeaderCodec, RequestMetadata} from './headercodec';
import {AdmissionState, admitRequest, pickService} from './requestadmission';

export interface CallerServerDependencies {
  readonly headers: HeaderCodec;
  readonly clock: Clock;
  readonly log: Log;
  catalog(): Catalog;
  submit(incoming: IncomingRequest): void;
  /** Called when a request is refused before it is submitted. */
  countRefusal(status: number, reason: string): void;
  /**
   * Keys cannot be checked, and so are refused, if the configuration was last
   * confirmed longer ago than this, in ms.
   */
  readonly maxConfigurationAgeMs: number;
  readonly random: () => number;
}

/** Limit on the size of request headers; the platform's callers send less. */
const MAX_HEADER_BYTES = 32_768;

/**
 * Time within which a request's headers must arrive. Node counts it from the
 * opening of a connection, on which a caller may be idle at first.
 */
const HEADERS_TIMEOUT_MS = 15_000;

/** Idle timeout of connections until a configuration sets one, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Connections stay open this much longer than callers may use them. */
const IDLE_MARGIN_MS = 1_000;

export class CallerServer {
  private readonly server: http.Server;
  private draining = false;
  private closing = false;

  constructor(private readonly deps: CallerServerDependencies) {
    this.server = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: 0,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS,
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

  /** Keeps serving, but closes each connection after its next answer. */
  drain(): void {
    this.draining = true;
  }

  /** Refuses new requests and closes idle connections. */
  close(): void {
    this.closing = true;
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

  setIdleTimeout(idleMs: number): void {
    this.server.keepAliveTimeout = idleMs + IDLE_MARGIN_MS;
  }

  /** The state by which requests are admitted. */
  admissionState(): AdmissionState {
    return {
      catalog: this.deps.catalog(),
      configurationAgeMs: this.configurationAgeMs(),
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

  private handle(req: http.IncomingMessage, res: http.ServerResponse): void {
    const arrivedMs = this.deps.clock.elapsedMs();
    if (this.draining) res.shouldKeepAlive = false;
    const sendRefusal = (status: number, reason: string, retryMs?: number) =>
      this.refuse(req, res, status, reason, retryMs);
    const catalog = this.deps.catalog();
    let metadata: RequestMetadata | undefined;
    const admission = admitRequest(this.admissionState(), {
      host: req.headers.host,
      target: req.url ?? '',
      readAccount: () => {
        metadata = this.deps.headers.readRequest(req.headers);
        const {key} = metadata;
        return key === undefined ? undefined : catalog.keys.get(key);
      },
    });
    if (admission.kind === 'refuse') {
      const {status, reason, retryAfterMs} = admission;
      return sendRefusal(status, reason, retryAfterMs);
    }
    const {configuration, route, account} = admission;
    const service = pickService(route, this.deps.random)!;
    readBody(req, configuration.limits.bodyBytes, outcome => {
      if (outcome === 'gone') return;
      if (outcome === 'large') return sendRefusal(413, 'body too large');
      this.deps.submit({
        req,
        res,
        metadata: metadata!,
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
    const {requestId} = this.deps.headers.readRequest(req.headers);
    this.deps.countRefusal(status, reason);
    this.deps.log('info', 'refused', {request: requestId, status, reason});
    writeFailure(res, status, reason, retryMs);
    req.resume();
  }
}

type BodyResult = Buffer | undefined | 'large' | 'gone';

/** Reads the whole body; undefined if the request has none. */
function readBody(
  req: http.IncomingMessage,
  maxBytes: number,
  onResult: (body: BodyResult) => void,
): void {
  const {headers} = req;
  const hasBody =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  const chunks: Buffer[] = [];
  let bytes = 0;
  let finished = false;
  const finish = (body: BodyResult) => {
    if (finished) return;
    finished = true;
    onResult(body);
  };
  if (Number(headers['content-length'] ?? 0) > maxBytes) return finish('large');
  req.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) finish('large');
    else chunks.push(chunk);
  });
  req.on('end', () => finish(hasBody ? Buffer.concat(chunks) : undefined));
  req.on('error', () => finish('gone'));
  req.on('close', () => finish('gone'));
}
