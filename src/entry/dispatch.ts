/**
 * The entry's dispatch task: owns the active requests, runs the request
 * decision on each message and carries out its effects.
 */
import {v7 as newRequestId} from 'uuid';
import {Claims} from '../claims/claims';
import {RecordedAnswer} from '../claims/outcomes';
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {createTask} from '../kernel/task';
import {LinkFacts} from '../observe/facts';
import {Log} from '../observe/log';
import {Metrics} from '../observe/statsd';
import {Timeline} from '../observe/timeline';
import {SidecarSelector, SelectionPolicy, Random} from '../routing/selection';
import {ActiveRules} from '../rules/activerules';
import {Answer, Frame, SidecarPayload} from '../wire/messages';
import {
  recordArrival,
  creditCost,
  recordRead,
  newWindow,
  resetCredit,
} from '../streams/flowcontrol';
import {
  ActiveRequest,
  engagedSidecars,
  createOffer,
  createStart,
} from './activerequest';
import {OutcomeQueries} from './outcomequeries';
import {RequestClaims, recordedAnswer} from './requestclaims';
import {SidecarLinks} from './links';
import {QueuedBodies} from './queuedbodies';
import {
  AddressedMessage,
  replaceUnfitAnswer,
  toRequestMessages,
} from './requestmessages';
import {decideRequest} from './request';
import {queueFullFault} from './requestfaults';
import {
  newRequest,
  RequestEffect,
  RequestMessage,
  RequestState,
} from './requeststate';
import {Router} from './router';
import {IncomingRequest, ReplySink, RequestHandle} from './submission';

export interface DispatcherParts {
  readonly instance: string;
  readonly zone: string;
  readonly links: SidecarLinks;
  readonly activeRules: ActiveRules;
  readonly claims: Claims;
  /** How sidecars are chosen: a policy by name, or a function. */
  readonly policy: SelectionPolicy | SidecarSelector;
  /** Numbers from 0 to 1. */
  readonly random: Random;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timeline: Timeline;
  readonly streamWindowBytes: number;
  /**
   * Limit for the bodies of requests that wait for a grant; the rules may set
   * a lower one.
   */
  readonly queuedBytesPerAccount: number;
}

type Message =
  | {
      readonly kind: 'request';
      readonly requestId: string;
      readonly message: RequestMessage;
    }
  | {
      readonly kind: 'toAll';
      readonly message: Extract<
        RequestMessage,
        {readonly kind: 'lost' | 'linked' | 'silent' | 'deadline'}
      >;
    };

/**
 * Maximum lifetime of a request, on top of its wait for a grant. It is longer
 * for a model request, whose stream is paused while its caller does not read,
 * than for a service request, which is a single call.
 */
const MODEL_LIFETIME_MS = 900_000;
const SERVICE_LIFETIME_MS = 40_000;
/** An attempt without a first frame for this long counts as a failure. */
const FIRST_FRAME_TIMEOUT_MS = 5_000;
const FIRST_FRAME_CHECK_INTERVAL_MS = 1_000;
/** Time for answers to be sent before the process ends, in milliseconds. */
const LAST_ANSWERS_MS = 100;
const DRAIN_CHECK_INTERVAL_MS = 50;

export class Dispatcher {
  private readonly active = new Map<string, ActiveRequest>();
  private readonly queuedBodies = new QueuedBodies();
  private readonly mailbox = createTask<Message>(m => this.handleMessage(m));
  private readonly router: Router;
  private readonly requestClaims: RequestClaims;
  private readonly outcomeQueries: OutcomeQueries;
  private firstFrameCheck: Timer | undefined;

  constructor(private readonly parts: DispatcherParts) {
    const {zone, links, activeRules, clock} = parts;
    this.requestClaims = new RequestClaims(parts);
    const post = (requestId: string, message: RequestMessage) =>
      this.postTo(requestId, message);
    this.outcomeQueries = new OutcomeQueries(parts, post);
    this.router = new Router({
      zone,
      linked: () => links.linked(),
      activeRules,
      clock,
      pick: parts.policy,
      random: parts.random,
    });
  }

  async start(): Promise<void> {
    this.parts.links.listen({
      message: (sidecar, message) =>
        this.handleSidecarMessage(sidecar, message),
      lost: sidecar => {
        this.router.forgetPrefixes(sidecar);
        this.postToAll({kind: 'lost', sidecar});
      },
      silent: sidecar => this.postToAll({kind: 'silent', sidecar}),
    });
    const {clock} = this.parts;
    this.firstFrameCheck = repeatEvery(
      clock,
      FIRST_FRAME_CHECK_INTERVAL_MS,
      () => this.recordFirstFrameTimeouts(),
    );
  }

  /**
   * Waits until no request is active, at most until the deadline, and then ends
   * those that are: as not run if that is certain.
   */
  async stop(deadline: Date): Promise<void> {
    const {clock, log} = this.parts;
    while (this.active.size > 0 && clock.now() < deadline) {
      await new Promise<void>(done =>
        clock.after(DRAIN_CHECK_INTERVAL_MS, done),
      );
    }
    if (this.active.size > 0) {
      for (const requestId of this.active.keys()) {
        log('warn', 'request aborted by shutdown', {requestId});
      }
      this.postToAll({kind: 'deadline'});
      await new Promise<void>(done => clock.after(LAST_ANSWERS_MS, done));
    }
    this.firstFrameCheck?.cancel();
  }

  /** Reports active requests, linked and avoided sidecars for `status`. */
  facts(): LinkFacts {
    const linked = this.parts.links.linked().map(({hello}) => {
      const {instance, zone} = hello;
      return {instance, zone};
    });
    const avoided = this.router.avoidedSidecars();
    return {requests: this.active.size, linked, avoided};
  }

  submit(
    request: IncomingRequest,
    reply: ReplySink,
    requestId: string = newRequestId(),
  ): RequestHandle {
    const {clock, activeRules, timeline} = this.parts;
    const {queueMs} = activeRules.current().rules.budgets;
    if (!this.hasQueueRoom(request)) {
      reply.writeFault(queueFullFault());
      return {requestId, callerGone: () => undefined};
    }
    const startedMs = clock.now().getTime();
    const post = (message: RequestMessage) => this.postTo(requestId, message);
    const model = request.targetKind === 'model';
    const lifetimeMs =
      queueMs + (model ? MODEL_LIFETIME_MS : SERVICE_LIFETIME_MS);
    this.active.set(requestId, {
      request,
      reply,
      startedMs,
      deadlineMs: startedMs + queueMs,
      grantTimer: clock.after(queueMs, () => post({kind: 'queueDeadline'})),
      lifetimeTimer: clock.after(lifetimeMs, () => post({kind: 'deadline'})),
      state: newRequest(requestId, request.idempotent, model),
      claim: undefined,
      recordedFrames: [],
      outcomeTimer: undefined,
      window: newWindow(this.parts.streamWindowBytes),
      holdsQueuedBytes: true,
      awaitingFirstFrameSinceMs: undefined,
    });
    this.queuedBodies.add(request);
    this.router.countFirstAttempt();
    timeline.record(
      'received',
      requestId,
      `${request.account} ${request.target}`,
    );
    post({kind: 'chosen', sidecars: this.router.choose(request, new Set())});
    return {requestId, callerGone: () => post({kind: 'callerGone'})};
  }

  private hasQueueRoom(request: IncomingRequest): boolean {
    const {budgets} = this.parts.activeRules.current().rules;
    const configured = this.parts.queuedBytesPerAccount;
    const limit = Math.min(configured, budgets.queueBytesPerAccount);
    return this.queuedBodies.hasRoomFor(limit, request);
  }

  private postTo(requestId: string, message: RequestMessage): void {
    this.mailbox.post({kind: 'request', requestId, message});
  }

  private handleMessage(message: Message): void {
    if (message.kind === 'request') {
      this.advance(message.requestId, message.message);
      return;
    }
    for (const requestId of [...this.active.keys()]) {
      this.advance(requestId, message.message);
    }
  }

  private postToAll(
    message: Extract<Message, {kind: 'toAll'}>['message'],
  ): void {
    this.mailbox.post({kind: 'toAll', message});
  }

  private advance(requestId: string, message: RequestMessage): void {
    const active = this.active.get(requestId);
    if (!active) {
      this.withdrawUnclaimedGrant(message);
      return;
    }
    const before = active.state;
    const {state, effects} = decideRequest(before, message);
    active.state = state;
    this.updateOutstanding(before, state);
    if (state.attempt > before.attempt) this.restartGrantWait(active);
    for (const effect of effects) this.applyEffect(active, effect);
    if (state.phase !== 'offering') this.handlePhaseChange(active, before);
    if (state.phase === 'finished') this.finish(active);
  }

  /**
   * Gives a new attempt its own deadline for a grant. With the deadline of the
   * first attempt, sidecars would refuse to resume a stream that has already
   * run for longer.
   */
  private restartGrantWait(active: ActiveRequest): void {
    const {clock, activeRules} = this.parts;
    const {requestId} = active.state;
    const {queueMs} = activeRules.current().rules.budgets;
    active.grantTimer.cancel();
    active.deadlineMs = clock.now().getTime() + queueMs;
    active.grantTimer = clock.after(queueMs, () =>
      this.postTo(requestId, {kind: 'queueDeadline'}),
    );
  }

  /** Updates the queued bytes, and the circuit of a sidecar that failed. */
  private handlePhaseChange(active: ActiveRequest, before: RequestState): void {
    const {phase} = active.state;
    if (phase === 'started' || phase === 'finished')
      this.queuedBodies.remove(active);
    const wasStarted = before.phase === 'started' && phase !== before.phase;
    const failed = phase === 'retrying' || phase === 'asking';
    if (wasStarted && failed)
      this.router.recordFailure(before.sidecar, active.request);
  }

  /** Updates the number of requests outstanding at each sidecar. */
  private updateOutstanding(before: RequestState, after: RequestState): void {
    const same =
      before.offered === after.offered &&
      before.sidecar === after.sidecar &&
      before.phase === after.phase;
    if (same) return;
    for (const sidecar of engagedSidecars(before))
      this.router.adjustOutstanding(sidecar, -1);
    for (const sidecar of engagedSidecars(after))
      this.router.adjustOutstanding(sidecar, 1);
  }

  /** Records a failure of each endpoint whose first frame is overdue. */
  private recordFirstFrameTimeouts(): void {
    const now = this.parts.clock.elapsedMs();
    for (const active of this.active.values()) {
      const since = active.awaitingFirstFrameSinceMs;
      const stalled =
        since !== undefined && now - since > FIRST_FRAME_TIMEOUT_MS;
      if (!stalled || active.state.phase !== 'started') continue;
      active.awaitingFirstFrameSinceMs = undefined;
      this.router.recordFailure(active.state.sidecar, active.request);
    }
  }

  /** Returns a grant for a request that is no longer active. */
  private withdrawUnclaimedGrant(message: RequestMessage): void {
    if (message.kind !== 'grant') return;
    const {requestId, attempt} = message.grant;
    const withdraw = {requestId, attempt};
    this.parts.links.send(message.sidecar, {kind: 'withdraw', withdraw});
  }

  private finish(active: ActiveRequest): void {
    const {requestId} = active.state;
    active.grantTimer.cancel();
    active.lifetimeTimer.cancel();
    active.outcomeTimer?.cancel();
    this.active.delete(requestId);
    this.parts.timeline.record('finished', requestId);
    const elapsed = this.parts.clock.now().getTime() - active.startedMs;
    this.parts.metrics.timing('entry.request', elapsed, {
      target: active.request.target,
    });
  }

  private handleSidecarMessage(sidecar: string, message: SidecarPayload): void {
    switch (message.kind) {
      case 'hello': {
        const {incarnation} = message.hello;
        return this.postToAll({kind: 'linked', sidecar, incarnation});
      }
      case 'load':
        return this.router.recordLoad(sidecar, message.load);
      case 'revoke':
        return this.handleRevoke(sidecar, message.revoke.grantId);
      case 'answer':
        return this.handleOutcome(sidecar, message.answer);
      default: {
        const incarnation = this.parts.links.incarnation(sidecar);
        for (const addressed of toRequestMessages(
          sidecar,
          incarnation,
          message,
        )) {
          this.postReceived(addressed);
        }
      }
    }
  }

  private handleOutcome(sidecar: string, answer: Answer): void {
    const {requestId} = answer;
    const active = this.active.get(requestId);
    // The sidecar is reachable and will know the outcome when the attempt ends.
    if (active && answer.outcome === 'running')
      this.outcomeQueries.restartTimeout(active);
    const incarnation = this.parts.links.incarnation(sidecar);
    const message = {kind: 'answer', sidecar, incarnation, answer} as const;
    this.postReceived({requestId, message});
  }

  private postReceived({requestId, message}: AddressedMessage): void {
    const {targetKind} = this.active.get(requestId)?.request ?? {};
    const checked =
      targetKind === 'service' ? replaceUnfitAnswer(message) : message;
    this.postTo(requestId, checked);
  }

  private handleRevoke(sidecar: string, grantId: string): void {
    for (const [requestId, {state}] of this.active) {
      const matches = state.sidecar === sidecar && state.grantId === grantId;
      if (matches) this.postTo(requestId, {kind: 'revoke', sidecar, grantId});
    }
  }

  private applyEffect(active: ActiveRequest, effect: RequestEffect): void {
    const {links, timeline} = this.parts;
    const {requestId} = active.state;
    switch (effect.kind) {
      case 'choose': {
        const exclude = new Set(effect.exclude);
        const sidecars = this.router.choose(active.request, exclude);
        return this.postTo(requestId, {kind: 'chosen', sidecars});
      }
      case 'offer': {
        const {sidecar} = effect;
        timeline.record('offer', requestId, sidecar);
        this.router.recordOffer(sidecar);
        const offer = createOffer(active, effect.attempt);
        if (links.send(sidecar, {kind: 'offer', offer})) return;
        return this.postTo(requestId, {kind: 'lost', sidecar});
      }
      case 'withdraw': {
        const withdraw = {requestId, attempt: effect.attempt};
        links.send(effect.sidecar, {kind: 'withdraw', withdraw});
        return;
      }
      case 'claim':
        return this.claim(active, effect.sidecar, effect.attempt);
      case 'start':
        return this.sendStart(active, effect);
      case 'cancel': {
        const {attempt} = effect;
        const cancel = {requestId, attempt, reason: 'caller'};
        links.send(effect.sidecar, {kind: 'cancel', cancel});
        return;
      }
      case 'ask':
        return this.outcomeQueries.ask(active, effect.sidecar, effect.attempt);
      case 'askLater':
        return this.outcomeQueries.scheduleNextAsk(active);
      case 'deliver':
        return this.deliver(active, effect.frame);
      case 'replay':
        this.recordAnswer(active, effect.answer);
        return active.reply.writeRecorded(effect.answer);
      case 'releaseClaim':
        return this.releaseClaim(active);
      case 'retry':
        return this.postTo(requestId, {
          kind: 'retryAllowed',
          allowed: this.router.takeRetryAllowance(),
        });
      case 'fail':
        timeline.record('failed', requestId, effect.fault.kind);
        this.parts.metrics.count('entry.faults', 1, {kind: effect.fault.kind});
        return active.reply.writeFault(effect.fault);
    }
  }

  private sendStart(
    active: ActiveRequest,
    effect: Extract<RequestEffect, {kind: 'start'}>,
  ): void {
    const {sidecar} = effect;
    const {requestId} = active.state;
    this.parts.timeline.record('start', requestId, sidecar);
    active.window = resetCredit(active.window);
    const start = createStart(active, effect);
    active.awaitingFirstFrameSinceMs = this.parts.clock.elapsedMs();
    this.router.recordStart(sidecar, active.request);
    if (this.parts.links.send(sidecar, {kind: 'start', start})) return;
    this.postTo(requestId, {kind: 'lost', sidecar});
  }

  private deliver(active: ActiveRequest, frame: Frame): void {
    if (!active.request.idempotent) active.recordedFrames.push(frame);
    if (frame.end && active.claim) {
      this.recordAnswer(active, recordedAnswer(active.recordedFrames));
    }
    this.recordFirstFrameDelay(active, frame);
    const cost = creditCost(frame);
    active.window = recordArrival(active.window, cost);
    active.reply.writeFrame(frame, () => this.releaseCredit(active, cost));
  }

  private recordFirstFrameDelay(active: ActiveRequest, frame: Frame): void {
    const since = active.awaitingFirstFrameSinceMs;
    if (since === undefined) return;
    active.awaitingFirstFrameSinceMs = undefined;
    const delayMs = this.parts.clock.elapsedMs() - since;
    const {sidecar} = active.state;
    this.router.recordFirstFrame(
      sidecar,
      active.request,
      delayMs,
      frame.cachedTokens,
    );
  }

  /** Gives the sidecar credit for what the caller's connection has taken. */
  private releaseCredit(active: ActiveRequest, cost: number): void {
    const {window, grant} = recordRead(active.window, cost);
    active.window = window;
    const {phase, requestId, attempt, sidecar} = active.state;
    if (grant === 0 || phase !== 'started') return;
    const credit = {requestId, attempt, bytes: grant};
    this.parts.links.send(sidecar, {kind: 'credit', credit});
  }

  private claim(active: ActiveRequest, sidecar: string, attempt: number): void {
    const {request, state} = active;
    const {requestId, incarnation} = state;
    const holder = {sidecar, incarnation, requestId, attempt};
    active.claim = this.requestClaims.claim(request, holder, outcome => {
      if (outcome.kind !== 'claimed') active.claim = undefined;
      this.postTo(requestId, {kind: 'claimed', outcome});
    });
  }

  private recordAnswer({claim}: ActiveRequest, answer: RecordedAnswer): void {
    if (claim) this.requestClaims.record(claim, answer);
  }

  private releaseClaim(active: ActiveRequest): void {
    const {requestId} = active.state;
    const released = (taken: boolean) =>
      this.postTo(requestId, {kind: 'released', taken});
    const {claim} = active;
    if (!claim) return released(false);
    active.claim = undefined;
    active.recordedFrames = [];
    this.requestClaims.release(claim, released);
  }
}
