/**
 * One request of a caller, from its submission to the end of its answer.
 *
 * An answer other than a stream is buffered until it is complete, so that a
 * broken one can be replaced by another endpoint's. A stream is passed on event
 * by event; if it breaks and its route allows it, another endpoint resumes it
 * after the last complete event. An answer that does not continue the stream
 * ends the attempt, and nothing of it is passed on. Every request ends by its
 * deadline.
 */
import http from 'node:http';
import {ByteCollector} from '../kernel/bytecollector';
import {Clock, Timer} from '../kernel/clock';
import {InputPace} from '../kernel/inputpace';
import {AnswerPieces} from './answerpieces';
import {
  AnswerKind,
  AttemptEnd,
  ConnectionEnd,
  framingOf,
  Involvement,
  involvement,
} from './attemptend';
import {
  AttemptOutcome,
  AttemptState,
  countAttempt,
  newAttemptState,
  nextStep,
} from './attempts';
import {Registration} from './catalog';
import {LoadEstimate} from './endpointload';
import {EventSplitter} from './eventsplitter';
import {LARGEST_ANSWER_BYTES, UNRESERVED_ANSWER_BYTES} from './callermemory';
import {AnswerAccount, AnswerReservation} from './memoryaccounts';
import {Account, Endpoint, Route} from './model';
import {ReadingTimes} from './readingtimes';
import {recordEvents, StreamTiming} from './streamtiming';
import {AnswerMetadata, HeaderCodec, RequestMetadata} from './headercodec';
import {AnswerHead, Attempt, isAnswerTo, startAttempt} from './upstream';

/** What an exchange needs from the dispatcher. */
export interface Dispatcher {
  /** Sends the request to an endpoint, queues it or refuses it. */
  place(exchange: Exchange): void;
  /** Called when an attempt ends. */
  releaseEndpoint(
    exchange: Exchange,
    endpoint: string,
    evidence: EndpointEvidence,
  ): void;
  /**
   * Called when an endpoint is seen to run the request, or may have run it. True
   * if the request counts as run now; it is not called again then.
   */
  reportRun(exchange: Exchange, run: RunEvidence): boolean;
  /** Called when a stream goes on that the endpoint began to write long before. */
  reportProgress(exchange: Exchange, endpoint: Endpoint, sentMs: number): void;
  /** Called when the endpoint has answered a request that was sent at that time. */
  reportAlive(endpoint: Endpoint, sentMs: number): void;
  /** Called when an attempt has ended at an endpoint that may have run it. */
  reportEnd(exchange: Exchange, endpoint: Endpoint, span: AttemptSpan): void;
  /** Called when another process has the endpoint's address. */
  reportMisdirected(endpoint: string): void;
  /** Called when an endpoint has answered, with the limit that it names. */
  reportLimit(endpoint: Registration, limitPerS: number | undefined): void;
  /** Called when an endpoint has said that it is about to end. */
  reportLeaving(endpoint: Registration): void;
  /** Called when an endpoint wants no requests for the given time. */
  reportPause(endpoint: Registration, ms: number): void;
  /** Delay until the caller of a request that was not run should retry, in ms. */
  retryAfterMs(exchange: Exchange): number;
  /** Takes one retry from the budget; false if there is none left. */
  takeRetry(exchange: Exchange): boolean;
  finishExchange(exchange: Exchange, result: ExchangeResult): void;
}

/** When an attempt was sent and has ended; monotonic times. */
export interface AttemptSpan {
  readonly sentMs: number;
  /** Earliest and latest time at which the endpoint may have ended it. */
  readonly fromMs: number;
  readonly toMs: number;
  /** Whether the endpoint's side ended it before its answer was complete. */
  readonly isCut: boolean;
  readonly involvement: Exclude<Involvement, 'none'>;
}

/** When a request was sent to the endpoint that ran it, and what showed that. */
export interface RunEvidence {
  /** Monotonic times. */
  readonly sentMs: number;
  readonly seenMs: number;
  /** Whether it is certain; otherwise the attempt ended without an answer. */
  readonly isAnswered: boolean;
  /** Requests that were at the endpoint, as estimated when this one was sent. */
  readonly requestsThere: number;
}

/** What an attempt shows about its endpoint. */
export type EndpointEvidence =
  | 'works'
  /** It answers, but has not taken the request. */
  | 'rejects'
  | 'fails'
  /** It ended too early to show anything. */
  | 'none';

export interface IncomingRequest {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly service: string;
  readonly account: Account | undefined;
  readonly body: Buffer | undefined;
  /** Monotonic time at which the request's headers were read. */
  readonly arrivedMs: number;
}

export interface AttemptRecord {
  readonly endpoint: string;
  readonly outcome: AttemptOutcome | 'answered' | 'aborted';
  readonly ms: number;
  readonly reason?: string;
  readonly end: AttemptEnd;
  /** What the end was taken to show about the endpoint. */
  readonly evidence: EndpointEvidence;
  /** Load of the endpoint as estimated when the attempt was sent. */
  readonly estimate: LoadEstimate;
}

export interface ExchangeResult {
  readonly outcome: string;
  readonly status: number;
  readonly tries: readonly AttemptRecord[];
  /** Of a stream of which events were passed on. */
  readonly timing?: StreamTiming;
}

interface ExchangeDependencies {
  readonly headers: HeaderCodec;
  readonly clock: Clock;
  readonly answers: AnswerAccount;
  /** Of answers in small pieces. */
  readonly pace: InputPace;
}

const EVIDENCE: Readonly<Record<AttemptOutcome, EndpointEvidence>> = {
  notRun: 'rejects',
  failed: 'works',
  unsent: 'fails',
  broken: 'fails',
};

/** Statuses that tell a caller that its request was not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

const NOT_RUN_STATUS = 503;
const UNKNOWN_OUTCOME_STATUS = 502;
const TIMED_OUT_STATUS = 504;

/**
 * Share of the route's time limit after which an idempotent request without an
 * answer is sent to another endpoint.
 */
const ATTEMPT_TIMEOUT_SHARE = 0.4;

/**
 * A part that crashes endpoints does so when one begins to write an answer on it, so
 * a stream that goes on this long after its first event has no such part.
 */
const PROGRESS_MS = 1_000;

/** Time for which an endpoint may go on with a request after its attempt was stopped. */
const STOP_DELAY_MS = 500;

/** Time kept for the return of the answer from the endpoint, in ms. */
const RETURN_MARGIN_MS = 5;

/** Monotonic time by which a request that arrived then must be answered. */
export function requestDeadlineMs(
  {timeoutMs}: Pick<Route, 'timeoutMs'>,
  {deadlineMs = Infinity}: Pick<RequestMetadata, 'deadlineMs'>,
  arrivedMs: number,
): number {
  return arrivedMs + Math.min(timeoutMs, deadlineMs);
}

export class Exchange {
  readonly deadlineMs: number;
  readonly triedEndpoints = new Set<string>();
  private attempts: AttemptState;
  private readonly tries: AttemptRecord[] = [];
  private attempt: Attempt | undefined;
  private endpoint: Registration | undefined;
  private estimate: LoadEstimate = {requests: 0, reportAgeMs: undefined};
  private startedMs = 0;
  private splitter: EventSplitter;
  private pieces: AnswerPieces;
  private head: AnswerHead | undefined;
  private answer: AnswerMetadata | undefined;
  /** Head of the answer that was passed on to the caller. */
  private passedOnHead: AnswerHead | undefined;
  private body = new ByteCollector(LARGEST_ANSWER_BYTES);
  /** Memory for an answer that is not small; it may have to wait for it. */
  private reservation: AnswerReservation | undefined;
  /** Events that are passed on when the present read has been handled. */
  private unwritten: Buffer | undefined;
  private readonly furtherEvents = new ByteCollector(LARGEST_ANSWER_BYTES);
  /** Events of the current attempt. */
  private events = 0;
  /** How the connection of the current attempt has ended, unless it was stopped. */
  private connectionEnd: ConnectionEnd = 'stopped';
  /** Of the current attempt: its first event, or a later one that was reported. */
  private progressMs = Infinity;
  private reading: ReadingTimes;
  private timing: StreamTiming | undefined;
  /** Whether a run of the request was reported. */
  private hasRun = false;
  private over = false;
  private readonly timers: Timer[] = [];
  private attemptTimer: Timer | undefined;

  constructor(
    readonly incoming: IncomingRequest,
    private readonly dispatcher: Dispatcher,
    private readonly deps: ExchangeDependencies,
  ) {
    const {route, metadata, arrivedMs, res} = incoming;
    this.deadlineMs = requestDeadlineMs(route, metadata, arrivedMs);
    this.attempts = newAttemptState(
      route.kind,
      route.resumable,
      route.maxAttempts,
    );
    this.splitter = new EventSplitter(metadata.lastEventId);
    this.pieces = new AnswerPieces(deps.clock);
    this.reading = new ReadingTimes(deps.clock);
    const leftMs = Math.max(0, this.deadlineMs - deps.clock.elapsedMs());
    this.timers.push(deps.clock.after(leftMs, () => this.handleDeadline()));
    res.on('close', () => {
      if (!this.over) this.handleCallerGone();
      this.releaseAnswer();
    });
    res.on('drain', () => {
      if (this.reservation?.isGranted ?? true) this.resumeReading();
    });
  }

  /** Whether the request has ended. */
  get hasEnded(): boolean {
    return this.over;
  }

  /** Whether an endpoint has begun to answer the current attempt. */
  get hasAnswerBegun(): boolean {
    return this.events > 0;
  }

  private get isStream(): boolean {
    return this.incoming.route.kind === 'stream';
  }

  /** Sends the request to an endpoint. */
  send(endpoint: Registration, estimate: LoadEstimate): void {
    const {req, account, body, route} = this.incoming;
    const {clock, headers} = this.deps;
    const leftMs = Math.floor(this.deadlineMs - clock.elapsedMs());
    this.endpoint = endpoint;
    this.estimate = estimate;
    this.triedEndpoints.add(endpoint.id);
    this.startedMs = clock.elapsedMs();
    this.head = undefined;
    this.answer = undefined;
    this.releaseAnswer();
    this.events = 0;
    this.connectionEnd = 'stopped';
    this.progressMs = Infinity;
    this.reading = new ReadingTimes(clock);
    const isResumption = this.incoming.res.headersSent;
    this.splitter = new EventSplitter(this.splitter.lastEventId, isResumption);
    this.pieces = new AnswerPieces(clock);
    const forwarded = headers.forwardedHeaders(req.rawHeaders, req.headers, {
      endpoint: endpoint.id,
      leftMs: Math.max(1, leftMs - RETURN_MARGIN_MS),
      account: account?.name,
      lastEventId: isResumption ? this.splitter.lastEventId : undefined,
      bodyBytes: body?.length,
    });
    this.attempt = startAttempt(
      {
        address: endpoint.address,
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        headers: forwarded,
        body,
      },
      {
        head: head => this.handleHead(head),
        data: chunk => this.handleData(chunk),
        end: () => {
          this.connectionEnd = 'complete';
          this.handleAnswerEnd();
        },
        broken: (sent, reason) => {
          this.connectionEnd = sent ? 'lost' : 'unopened';
          this.handleAttemptEnd(sent ? 'broken' : 'unsent', reason);
        },
      },
      this.deps.pace,
    );
    if (route.kind === 'idempotent') this.startAttemptTimer();
  }

  /** Id of the endpoint that the request is at; undefined while it waits. */
  get currentEndpoint(): string | undefined {
    return this.endpoint?.id;
  }

  /** `isAnswered` is false if the attempt ends without an answer. */
  private reportRun(isAnswered: boolean): void {
    if (this.hasRun || !this.endpoint || this.answer?.misdirected) return;
    this.hasRun = this.dispatcher.reportRun(this, {
      sentMs: this.startedMs,
      seenMs: this.deps.clock.elapsedMs(),
      isAnswered,
      requestsThere: this.estimate.requests,
    });
  }

  /**
   * Sends the request to another endpoint if it may run again and the present
   * one, whose reports have stopped, should have begun to answer by now.
   */
  leaveSilentEndpoint(): void {
    if (this.over || !this.attempt || this.head) return;
    const nowMs = this.deps.clock.elapsedMs();
    const {targetLatencyMs} = this.incoming.route;
    if (nowMs - this.startedMs < targetLatencyMs) return;
    const attempts = countAttempt(this.attempts, 'broken');
    const conditions = {leftMs: this.deadlineMs - nowMs, withinBudget: true};
    if (nextStep(attempts, 'broken', conditions) !== 'retry') return;
    if (!this.dispatcher.takeRetry(this)) return;
    this.reportRun(false);
    this.attempt.abort();
    this.attempts = attempts;
    this.endAttempt('broken', 'none', 'reports of the endpoint have stopped');
    this.dispatcher.place(this);
  }

  /** Refuses the request, as not run if that is certain. */
  refuse(reason: string, retryAfterMs?: number): void {
    if (this.over) return;
    if (this.incoming.res.headersSent) return this.breakOffAnswer(reason);
    if (this.attempts.possibleRuns > 0 || this.attempt)
      return this.answerWithFailure(UNKNOWN_OUTCOME_STATUS, reason);
    this.answerWithFailure(NOT_RUN_STATUS, reason, retryAfterMs);
  }

  private startAttemptTimer(): void {
    const {clock} = this.deps;
    const ms = this.incoming.route.timeoutMs * ATTEMPT_TIMEOUT_SHARE;
    this.attemptTimer?.cancel();
    this.attemptTimer = clock.after(ms, () => {
      if (this.over || !this.attempt) return;
      if (this.attempts.possibleRuns + 1 >= this.attempts.maxAttempts) return;
      this.attempt.abort();
      this.handleAttemptEnd('broken', 'no answer');
    });
  }

  private handleHead(head: AnswerHead): void {
    const {headers, clock} = this.deps;
    const answer = headers.readAnswer(head.status, head.headers, clock.now());
    if (!isAnswerTo(answer, this.incoming.metadata.requestId)) {
      this.attempt?.abort();
      return this.handleAttemptEnd('broken', 'answer to another request');
    }
    this.head = head;
    this.answer = answer;
    this.reading.recordArrival();
    const {leaving, pauseMs, misdirected} = answer;
    if (this.endpoint && !misdirected) {
      this.dispatcher.reportAlive(this.endpoint, this.startedMs);
      if (pauseMs !== undefined)
        this.dispatcher.reportPause(this.endpoint, pauseMs);
      if (leaving) this.dispatcher.reportLeaving(this.endpoint);
    }
    // A rejection without a limit does not show that the limit has ended.
    const hasRun = answer.signed && !answer.notRun;
    const showsLimit = answer.limitPerS !== undefined || hasRun;
    if (this.endpoint && showsLimit && !misdirected) {
      this.dispatcher.reportLimit(this.endpoint, answer.limitPerS);
    }
    // A stream begins with its first event.
    if (!this.isStream && isSuccess(head.status) && hasRun)
      this.reportRun(true);
    const begun = this.passedOnHead;
    if (begun && this.relaysAnswer() && !isSameKind(begun, head)) {
      this.attempt?.abort();
      this.handleAttemptEnd('broken', 'answer does not continue the stream');
    }
  }

  private handleData(chunk: Buffer): void {
    this.reading.recordArrival();
    const relays = this.relaysAnswer();
    const held = relays ? this.splitter.partialBytes : this.body.length;
    if (held + chunk.length > LARGEST_ANSWER_BYTES) {
      this.attempt?.abort();
      return this.handleAttemptEnd('broken', 'answer too large');
    }
    if (relays) this.relayEvents(chunk);
    else this.keepPiece(chunk);
    if (this.pieces.needPace()) this.attempt?.pace();
  }

  private keepPiece(chunk: Buffer): void {
    this.pieces.add(chunk.length, false);
    this.body.append(chunk);
    if (this.body.length > UNRESERVED_ANSWER_BYTES) this.reserveAnswer();
  }

  private relayEvents(chunk: Buffer): void {
    const {bytes, events, isInterrupted} = this.splitter.push(chunk);
    this.pieces.add(chunk.length, events > 0);
    if (bytes.length > 0) this.passOn(bytes, events);
    if (isInterrupted) {
      this.attempt?.abort();
      this.handleAttemptEnd('broken', 'event does not continue the stream');
    }
  }

  /**
   * Reserves memory for the whole answer. The endpoint is not read any further
   * until there is some; that does not end the attempt.
   */
  private reserveAnswer(): void {
    if (this.reservation) return;
    const declared = Number(this.head?.headers['content-length'] ?? Infinity);
    this.reservation = this.deps.answers.reserve(
      Math.max(this.body.length, Math.min(declared, LARGEST_ANSWER_BYTES)),
      () => this.resumeReading(),
    );
    if (!this.reservation.isGranted) this.pauseReading();
  }

  private releaseAnswer(): void {
    this.body.clear();
    this.reservation?.release();
    this.reservation = undefined;
  }

  private passOn(bytes: Buffer, events: number): void {
    this.events += events;
    if (events > 0) this.reportRun(true);
    this.reportProgress();
    const {res, arrivedMs} = this.incoming;
    const sinceArrivalMs = this.deps.clock.elapsedMs() - arrivedMs;
    this.timing = recordEvents(this.timing, sinceArrivalMs);
    if (!res.headersSent) this.writeAnswerHead();
    const {length} = this.furtherEvents;
    if (length + bytes.length > LARGEST_ANSWER_BYTES) this.writeEvents();
    if (this.unwritten) return this.furtherEvents.append(bytes);
    this.unwritten = bytes;
    process.nextTick(() => this.writeEvents());
  }

  /** Writes the events of one read together. Each write takes heap of its own. */
  private writeEvents(): void {
    const {res} = this.incoming;
    const first = this.unwritten;
    const further = this.furtherEvents.take();
    this.unwritten = undefined;
    if (!first || res.destroyed) return;
    const events = further.length > 0 ? Buffer.concat([first, further]) : first;
    if (!res.write(events)) this.pauseReading();
  }

  private pauseReading(): void {
    this.reading.pause();
    this.attempt?.pause();
  }

  private resumeReading(): void {
    this.reading.resume();
    this.attempt?.resume();
  }

  /** Tells that the stream goes on, at most once in `PROGRESS_MS`. */
  private reportProgress(): void {
    if (!this.endpoint || !this.splitter.hasEvent) return;
    const nowMs = this.deps.clock.elapsedMs();
    if (this.progressMs === Infinity) this.progressMs = nowMs;
    if (this.reading.arrivedSinceMs() - this.progressMs < PROGRESS_MS) return;
    this.progressMs = nowMs;
    this.dispatcher.reportProgress(this, this.endpoint, this.startedMs);
  }

  /** Whether the answer is passed on as it arrives. */
  private relaysAnswer(): boolean {
    const {head, answer} = this;
    if (!this.isStream || !head || !answer) return false;
    return isSuccess(head.status) && answer.signed && !answer.notRun;
  }

  /**
   * Whether the answer must have the first event of the stream. A caller that
   * resumes a stream may have had the last event already.
   */
  private beginsStream(): boolean {
    return this.incoming.metadata.lastEventId === undefined;
  }

  private handleAnswerEnd(): void {
    const {head, answer} = this;
    if (!head || !answer) return this.handleAttemptEnd('broken', 'no answer');
    if (answer.misdirected && this.endpoint) {
      this.dispatcher.reportMisdirected(this.endpoint.id);
    }
    if (answer.notRun) return this.handleAttemptEnd('notRun', `${head.status}`);
    if (!isSuccess(head.status)) return this.handleFailureAnswer(head, answer);
    if (!answer.signed) return this.handleAttemptEnd('broken', 'not signed');
    if (this.splitter.hasPartialEvent) {
      return this.handleAttemptEnd('broken', 'ended within an event');
    }
    if (this.isStream && !this.splitter.hasEvent && this.beginsStream()) {
      return this.handleAttemptEnd('broken', 'stream without an event');
    }
    if (this.splitter.lacksNewEvent) {
      return this.handleAttemptEnd('broken', 'resumed without a new event');
    }
    this.endAttempt('answered', 'works');
    if (this.isStream) {
      if (!this.incoming.res.headersSent) this.writeAnswerHead();
      this.writeEvents();
      this.incoming.res.end();
    } else {
      this.writeWholeAnswer();
    }
    this.finish('answered', head.status);
  }

  /**
   * Some statuses tell a caller that its request was not run. Without the
   * endpoint's own statement such an answer is not passed on, because the
   * gateway would give a guarantee that may be untrue.
   */
  private handleFailureAnswer(head: AnswerHead, answer: AnswerMetadata): void {
    const saysNotRun = NOT_RUN_STATUSES.has(head.status);
    if (saysNotRun || this.incoming.res.headersSent) {
      return this.handleAttemptEnd('broken', `status ${head.status}`);
    }
    const deliverable = head.status < 500 && answer.signed;
    if (deliverable) {
      this.reportRun(true);
      this.endAttempt('answered', 'works');
      this.writeWholeAnswer();
      return this.finish('answered', head.status);
    }
    this.handleAttemptEnd('failed', `status ${head.status}`);
  }

  private handleAttemptEnd(
    outcome: AttemptOutcome,
    reason: string,
    evidence: EndpointEvidence = EVIDENCE[outcome],
  ): void {
    if (this.over || !this.endpoint) return;
    if (outcome === 'failed' || outcome === 'broken')
      this.reportRun(outcome === 'failed');
    this.endAttempt(outcome, evidence, reason);
    this.attempts = countAttempt(this.attempts, outcome);
    if (this.incoming.res.headersSent && !this.splitter.canBeResumed) {
      return this.breakOffAnswer(reason);
    }
    const leftMs = this.deadlineMs - this.deps.clock.elapsedMs();
    const conditions = {leftMs, withinBudget: true};
    let step = nextStep(this.attempts, outcome, conditions);
    if (step === 'retry' && !this.dispatcher.takeRetry(this)) {
      const overBudget = {leftMs, withinBudget: false};
      step = nextStep(this.attempts, outcome, overBudget);
    }
    if (step === 'retry') return this.dispatcher.place(this);
    if (this.incoming.res.headersSent) return this.breakOffAnswer(reason);
    if (step === 'deliver' && this.head) {
      this.writeWholeAnswer();
      return this.finish('failed by the endpoint', this.head.status);
    }
    if (step === 'notRun')
      return this.answerWithFailure(
        NOT_RUN_STATUS,
        reason,
        this.dispatcher.retryAfterMs(this),
      );
    this.answerWithFailure(UNKNOWN_OUTCOME_STATUS, reason);
  }

  /** Every attempt ends here, however it ends. */
  private endAttempt(
    outcome: AttemptRecord['outcome'],
    evidence: EndpointEvidence,
    reason?: string,
  ): void {
    const {endpoint, estimate, startedMs: sentMs} = this;
    const end = this.attemptEnd();
    const nowMs = this.deps.clock.elapsedMs();
    const isStopped = end.connection === 'stopped';
    const fromMs = isStopped
      ? this.reading.lastArrivalMs()
      : this.reading.arrivedSinceMs();
    const toMs = isStopped ? nowMs + STOP_DELAY_MS : nowMs;
    this.endpoint = undefined;
    this.attempt = undefined;
    this.attemptTimer?.cancel();
    if (!endpoint) return;
    this.tries.push({
      endpoint: endpoint.id,
      outcome,
      ms: Math.round(nowMs - sentMs),
      reason,
      end,
      evidence,
      estimate,
    });
    this.dispatcher.releaseEndpoint(this, endpoint.id, evidence);
    const involved = involvement(end);
    if (involved === 'none') return;
    const isCut = outcome === 'broken' && !isStopped;
    const span = {sentMs, fromMs, toMs, isCut, involvement: involved};
    this.dispatcher.reportEnd(this, endpoint, span);
  }

  private attemptEnd(): AttemptEnd {
    const {head, events, isStream, body, splitter, connectionEnd} = this;
    const isWithin = isStream ? splitter.hasPartialEvent : body.length > 0;
    return {
      framing: head && framingOf(head),
      events,
      hasPartialEvent: isWithin,
      connection: connectionEnd,
      answer: this.answerKind(),
      hasContent: isStream
        ? events > 0 && splitter.hasEvent
        : connectionEnd === 'complete',
    };
  }

  private answerKind(): AnswerKind {
    const {head, answer} = this;
    if (!head || !answer) return 'none';
    if (answer.notRun) return 'rejection';
    if (!isSuccess(head.status)) return 'failure';
    return answer.signed ? 'success' : 'unsigned';
  }

  private handleDeadline(): void {
    if (this.over) return;
    const running =
      this.attempt !== undefined || this.attempts.possibleRuns > 0;
    if (this.isAnswerStuck()) this.stopAttempt('fails');
    if (this.incoming.res.headersSent) return this.breakOffAnswer('deadline');
    if (running) return this.answerWithFailure(TIMED_OUT_STATUS, 'deadline');
    const retryAfterMs = this.dispatcher.retryAfterMs(this);
    this.answerWithFailure(NOT_RUN_STATUS, 'deadline', retryAfterMs);
  }

  /** Whether an answer has begun, and nothing of it is complete yet. */
  private isAnswerStuck(): boolean {
    const waitsForMemory = this.reservation?.isGranted === false;
    return this.head !== undefined && this.events === 0 && !waitsForMemory;
  }

  private handleCallerGone(): void {
    this.stopAttempt();
    this.finish('caller gone', 0);
  }

  private stopAttempt(evidence = this.evidenceSoFar()): void {
    if (!this.attempt) return;
    if (!this.answer?.notRun) this.reportRun(false);
    this.attempt.abort();
    this.endAttempt('aborted', evidence);
  }

  /** What an attempt that is stopped shows about its endpoint. */
  private evidenceSoFar(): EndpointEvidence {
    if (!this.head) return 'none';
    return this.pieces.needPace() ? 'fails' : 'works';
  }

  /** Closes the connection, so that a partial answer does not look complete. */
  private breakOffAnswer(reason: string): void {
    this.stopAttempt();
    this.finish(`cut: ${reason}`, this.incoming.res.statusCode);
    this.incoming.res.destroy();
  }

  private answerWithFailure(
    status: number,
    reason: string,
    retryAfterMs?: number,
  ): void {
    this.stopAttempt();
    writeFailure(this.incoming.res, status, reason, retryAfterMs);
    this.finish(reason, status);
  }

  private writeAnswerHead(): void {
    const {status, rawHeaders, headers} = this.head!;
    const returned = this.deps.headers.returnedHeaders(rawHeaders, headers);
    this.passedOnHead = this.head;
    this.incoming.res.writeHead(status, returned);
  }

  private writeWholeAnswer(): void {
    const {status, rawHeaders, headers} = this.head!;
    const returned = this.deps.headers.returnedHeaders(rawHeaders, headers);
    const body = this.body.take();
    this.reservation?.shrinkTo(body.length);
    const {res, req} = this.incoming;
    const length = headers['content-length'];
    const bytes =
      req.method === 'HEAD' && length !== undefined ? length : body.length;
    res.writeHead(status, [...returned, 'Content-Length', String(bytes)]);
    res.end(body);
  }

  private finish(outcome: string, status: number): void {
    if (this.over) return;
    this.over = true;
    for (const timer of this.timers) timer.cancel();
    this.attemptTimer?.cancel();
    if (this.incoming.res.destroyed) this.releaseAnswer();
    const {tries, timing} = this;
    this.dispatcher.finishExchange(this, {outcome, status, tries, timing});
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** Whether the bodies of two answers can be parts of one stream. */
function isSameKind(a: AnswerHead, b: AnswerHead): boolean {
  return (
    a.status === b.status &&
    mediaType(a) === mediaType(b) &&
    a.headers['content-encoding'] === b.headers['content-encoding']
  );
}

/** The content type without its parameters. */
function mediaType({headers}: AnswerHead): string | undefined {
  return headers['content-type']?.split(';')[0]!.trim().toLowerCase();
}

const MS_PER_S = 1_000;

/** Writes a failure answer of the gateway itself. */
export function writeFailure(
  res: http.ServerResponse,
  status: number,
  reason: string,
  retryAfterMs?: number,
): void {
  if (res.headersSent || res.destroyed) return;
  res.end(writeFailureHead(res, status, reason, retryAfterMs));
}

/** Writes all bytes of a failure answer; the caller of this function ends it. */
export function writeFailureUnended(
  res: http.ServerResponse,
  status: number,
  reason: string,
  retryAfterMs?: number,
): void {
  if (res.headersSent || res.destroyed) return;
  res.write(writeFailureHead(res, status, reason, retryAfterMs));
}

/** Returns the body that must follow. */
function writeFailureHead(
  res: http.ServerResponse,
  status: number,
  reason: string,
  retryAfterMs: number | undefined,
): string {
  const body = JSON.stringify({error: reason});
  const headers = [
    'Content-Type',
    'application/json',
    'Content-Length',
    String(Buffer.byteLength(body)),
  ];
  if (retryAfterMs !== undefined) {
    headers.push('Retry-After', (retryAfterMs / MS_PER_S).toFixed(2));
  }
  res.writeHead(status, headers);
  return body;
}
