/**
 * The HTTP server for callers: authenticates them, validates their requests,
 * enforces rate limits and submits the requests to the dispatch task.
 */
import {v7 as newRequestId} from 'uuid';
import http from 'node:http';
import {AddressInfo} from 'node:net';
import express, {NextFunction, Request, Response} from 'express';
import {Map} from 'immutable';
import {discardRest} from '../gateway/bodyreader';
import {Clock} from '../kernel/clock';
import {Fault, createFault} from '../kernel/errors';
import {Log} from '../observe/log';
import {ActiveRules} from '../rules/activerules';
import {isNonIdempotent, priorityOf, RuleSet} from '../rules/model';
import {EntrySettings} from '../settings/schema';
import {Header} from '../wire/messages';
import {
  sendFault,
  serviceReply,
  setAnswerHeaders,
  streamedReply,
  unstreamedReply,
} from './replies';
import {Caller, authenticate, KeyIndex} from './caller';
import {BodyReadOptions, CallerLimitGuard} from './callerlimits';
import {Dispatcher} from './dispatch';
import {IncomingRequest, ReplySink, RequestHandle} from './submission';
import {TokenBuckets, chargeTokens} from './ratelimit';
import {ModelCall, parseModelCall, ModelApi} from './modelcall';

export interface HttpParts {
  readonly settings: EntrySettings;
  readonly activeRules: ActiveRules;
  readonly dispatch: Dispatcher;
  readonly clock: Clock;
  readonly log: Log;
  /** Number of live entries; each enforces its part of an account's limit. */
  readonly entries: () => number;
  /** Whether this entry can serve callers. */
  readonly ready: () => boolean;
  /** Called when the connection of a caller is closed because of a limit. */
  readonly countClosed: (reason: string) => void;
}

const HEADER_TIMEOUT_MS = 5_000;
/** How often Node.js checks for late headers; its default is 30 s. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
const REQUEST_TIMEOUT_MS = 30_000;
const MAX_HEADER_BYTES = 16_384;
/** Retry-After of a request whose body gave way to others, in milliseconds. */
const SHED_RETRY_AFTER_MS = 1_000;
/**
 * Time for which the rest of a body that is too large is discarded before the answer,
 * in milliseconds. A client that sends the whole body before it reads would lose the
 * answer if the connection were closed at once.
 */
const MAX_DISCARD_MS = 2_000;
/** `/services/NAME/PATH`; the path may be missing. */
const SERVICE_PATH = /^\/services\/([^/]+)(\/.*)?$/;
/** Headers of a caller's request that are not passed to a plain service. */
const UNFORWARDED_HEADERS = new Set([
  'authorization',
  'boragemill-user',
  'connection',
  'content-length',
  'expect',
  'host',
  'transfer-encoding',
]);

export class HttpServer {
  private readonly server: http.Server;
  private readonly guard: CallerLimitGuard;
  private keyIndex: KeyIndex;
  private buckets: TokenBuckets = Map();
  private draining = false;

  constructor(private readonly parts: HttpParts) {
    const options = {
      headersTimeout: HEADER_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
    };
    this.server = http.createServer(options);
    const {settings, clock, log} = parts;
    this.guard = new CallerLimitGuard({
      settings: settings.limits,
      clock,
      log,
      countClosed: parts.countClosed,
    });
    this.guard.attach(this.server, this.createApp());
    this.keyIndex = new KeyIndex(parts.activeRules.current().rules);
    parts.activeRules.watch(({rules}) => (this.keyIndex = new KeyIndex(rules)));
  }

  /** Listens on the address of the settings; returns the port. */
  async listen(): Promise<number> {
    const at = this.parts.settings.listen.http.lastIndexOf(':');
    const host = this.parts.settings.listen.http.slice(0, at);
    const port = Number(this.parts.settings.listen.http.slice(at + 1));
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host.replace(/^\[|\]$/g, ''), resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Makes /readyz answer 503, so that the balancer sends callers elsewhere. */
  drain(): void {
    this.draining = true;
  }

  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  private createApp(): express.Express {
    const app = express();
    const limit = this.parts.settings.limits.bodyBytes;
    app.disable('x-powered-by');
    app.set('etag', false);
    app.get('/healthz', (req, res) => void res.json({ok: true}));
    app.get('/readyz', (req, res) => this.answerReadiness(res));
    const readOptions: BodyReadOptions = {
      maxBytes: limit,
      onLarge: (req, res) => this.refuseLargeBody(req, res),
      onShed: (req, res) => this.shedBody(req, res),
    };
    const parseJson = express.json({limit, type: () => true});
    app.use('/v1', this.guard.readWhole(parseJson, readOptions));
    app.get('/v1/models', (req, res) => this.listModels(req, res));
    app.post('/v1/chat/completions', (req, res) =>
      this.handleModelCall('chat', req, res),
    );
    app.post('/v1/completions', (req, res) =>
      this.handleModelCall('completion', req, res),
    );
    const parseRaw = express.raw({limit, type: () => true});
    app.use('/services', this.guard.readWhole(parseRaw, readOptions));
    app.use('/services', (req, res) => this.handleServiceCall(req, res));
    app.use((req, res) => {
      const message = `nothing at ${req.path}; see the interface for callers`;
      sendFault(res, newRequestId(), createFault('unknown_target', message));
    });
    app.use(
      (error: unknown, req: Request, res: Response, next: NextFunction) => {
        void next;
        sendFault(res, newRequestId(), bodyFault(error, limit));
      },
    );
    return app;
  }

  /** Refuses a request whose body gave way, and closes its connection. */
  private shedBody(req: Request, res: Response): void {
    const message = 'too many unfinished bodies; send the request again later';
    const fault = createFault('not_run', message, SHED_RETRY_AFTER_MS);
    closeAfterAnswer(req, res);
    sendFault(res, newRequestId(), fault);
  }

  private refuseLargeBody(req: Request, res: Response): void {
    const {clock, settings} = this.parts;
    const {bodyBytes} = settings.limits;
    closeAfterAnswer(req, res);
    const limits = {maxBytes: 2 * bodyBytes, maxMs: MAX_DISCARD_MS};
    discardRest({req, res}, clock, limits, () =>
      sendFault(res, newRequestId(), largeBodyFault(bodyBytes)),
    );
  }

  private answerReadiness(res: Response): void {
    const ready = !this.draining && this.parts.ready();
    res.status(ready ? 200 : 503).json({ready});
  }

  private listModels(req: Request, res: Response): void {
    const requestId = newRequestId();
    const caller = authenticate(this.keyIndex, req.headers, undefined);
    if (caller.err) return sendFault(res, requestId, caller.val);
    const {models} = this.rules();
    const data = models.valueSeq().map(({name}) => ({
      id: name,
      object: 'model',
      owned_by: 'boragemill',
    }));
    setAnswerHeaders(res, requestId, 'ran');
    res.json({object: 'list', data: data.toArray()});
  }

  private rules(): RuleSet {
    return this.parts.activeRules.current().rules;
  }

  private handleModelCall(api: ModelApi, req: Request, res: Response): void {
    const requestId = newRequestId();
    const body: unknown = req.body;
    const user = (body as {user?: unknown} | undefined)?.user;
    const caller = authenticate(this.keyIndex, req.headers, user);
    if (caller.err) return sendFault(res, requestId, caller.val);
    const {models} = this.rules();
    const call = parseModelCall(
      api,
      body,
      name => models.get(name)?.maxOutputTokens,
    );
    if (call.err) return sendFault(res, requestId, call.val);
    const request = this.modelRequest(caller.val, call.val);
    const reply = call.val.stream
      ? streamedReply(res, call.val, requestId)
      : unstreamedReply(res, call.val, requestId);
    this.submit(request, reply, requestId, res);
  }

  private modelRequest(caller: Caller, call: ModelCall): IncomingRequest {
    const {model, promptTokens, maxOutputTokens, prefixHashes} = call;
    return {
      account: caller.account,
      caller: caller.user,
      targetKind: 'model',
      target: model,
      idempotent: true,
      idempotencyKey: '',
      promptTokens,
      maxOutputTokens,
      prefixHashes,
      priority: priorityOf(this.rules(), {
        account: caller.account,
        caller: caller.user,
        targetKind: 'model',
        target: model,
        method: 'POST',
        path: '',
      }),
      body: Buffer.from(call.prompt),
      method: '',
      path: '',
      headers: [],
    };
  }

  private handleServiceCall(req: Request, res: Response): void {
    const requestId = newRequestId();
    const caller = authenticate(this.keyIndex, req.headers, undefined);
    if (caller.err) return sendFault(res, requestId, caller.val);
    const matched = SERVICE_PATH.exec(req.originalUrl);
    const name = matched?.[1] ?? '';
    const path = matched?.[2] ?? '/';
    const service = this.rules().services.get(name);
    if (!service) {
      const message = `unknown service "${name}"; use one of the rule file`;
      return sendFault(res, requestId, createFault('unknown_target', message));
    }
    const key = req.headers['idempotency-key'];
    const idempotent = !isNonIdempotent(service, req.method, path);
    if (!idempotent && (typeof key !== 'string' || key === '')) {
      const message = 'this call needs an Idempotency-Key; send a new one';
      return sendFault(res, requestId, createFault('malformed', message));
    }
    const body = Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0);
    const request: IncomingRequest = {
      account: caller.val.account,
      caller: caller.val.user,
      targetKind: 'service',
      target: name,
      idempotent,
      idempotencyKey: idempotent ? '' : String(key),
      promptTokens: 0,
      maxOutputTokens: 0,
      prefixHashes: [],
      priority: priorityOf(this.rules(), {
        account: caller.val.account,
        caller: caller.val.user,
        targetKind: 'service',
        target: name,
        method: req.method,
        path,
      }),
      body,
      method: req.method,
      path,
      headers: forwardedHeaders(req),
    };
    this.submit(request, serviceReply(res, requestId), requestId, res);
  }

  private submit(
    request: IncomingRequest,
    reply: ReplySink,
    requestId: string,
    res: Response,
  ): void {
    const limitFault = this.rateLimitFault(request);
    if (limitFault) return sendFault(res, requestId, limitFault);
    const handle: RequestHandle = this.parts.dispatch.submit(
      request,
      reply,
      requestId,
    );
    res.on('close', () => {
      if (!res.writableFinished) handle.callerGone();
    });
  }

  /** Charges the request to its account; a fault if that is over its limit. */
  private rateLimitFault(request: IncomingRequest): Fault | undefined {
    const account = this.rules().accounts.get(request.account);
    if (account?.limitTokensPerS === undefined) return undefined;
    const cost = request.promptTokens + request.maxOutputTokens;
    const share = account.limitTokensPerS / Math.max(1, this.parts.entries());
    const now = this.parts.clock.now();
    const charged = chargeTokens(
      this.buckets,
      request.account,
      cost,
      share,
      now,
    );
    this.buckets = charged.buckets;
    if (charged.retryAfterMs === 0) return undefined;
    const message = "over the account's limit; wait or ask for a higher one";
    return createFault('over_limit', message, charged.retryAfterMs);
  }
}

function forwardedHeaders(req: Request): readonly Header[] {
  return Object.entries(req.headers)
    .filter(([name]) => !UNFORWARDED_HEADERS.has(name))
    .map(([name, value]) => ({name, value: String(value)}));
}

function bodyFault(error: unknown, limit: number): Fault {
  const {type} = error as {type?: string};
  if (type === 'entity.too.large') return largeBodyFault(limit);
  return createFault('malformed', 'the body is not readable; send valid JSON');
}

function largeBodyFault(limit: number): Fault {
  const message = `the body is over ${limit} bytes; send a smaller one`;
  return createFault('too_large', message);
}

/** For a request whose body is not kept any further. */
function closeAfterAnswer(req: Request, res: Response): void {
  res.shouldKeepAlive = false;
  res.once('finish', () => req.destroy());
}
