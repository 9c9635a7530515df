/**
 * The sidecar's task: owns the links from entries, the admission state and the
 * active attempts.
 */
import {
  AdmissionEffect,
  AdmissionMessage,
  AdmissionSettings,
  AdmissionState,
  decideAdmission,
  EntryId,
  initialAdmission,
  loadOf,
  attemptKey,
} from '../capacity/admission';
import {
  answerAsk,
  beginAttempt,
  failAttempt,
  finishAttempt,
  emptyOutcomes,
} from '../claims/outcomes';
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {createTask} from '../kernel/task';
import {Log} from '../observe/log';
import {FactParts} from '../observe/facts';
import {Metrics} from '../observe/statsd';
import {Timeline} from '../observe/timeline';
import {ActiveRules} from '../rules/activerules';
import {
  AttemptRef,
  EntryPayload,
  Frame,
  SidecarHello,
  SidecarPayload,
  Start,
} from '../wire/messages';
import {Channel, StreamHandler} from '../wire/server';
import {
  ActiveAttempt,
  startForGrant,
  newActiveAttempt,
  recordedAnswer,
  recordFrame,
  RESUME_ENTRY_PREFIX,
  resumeEntry,
  resumeOffer,
  usedTokens,
} from './activeattempt';
import {Endpoint, Job} from './endpoint';
import {EndpointObserver} from './observer';
import {Outbox} from './outbox';
import {accountFacts, addServed, ServedTokens} from './servedtokens';
import {AnswerStream} from './answerstream';

const ADMISSION_TICK_MS = 100;
const LOAD_REPORT_INTERVAL_MS = 250;
const OBSERVE_INTERVAL_MS = 200;
/** How long a paused attempt waits for a slot to resume. */
const RESUME_TIMEOUT_MS = 10_000;

export interface SidecarTaskParts {
  readonly admission: AdmissionSettings;
  readonly hello: Omit<SidecarHello, 'leaving' | 'ruleVersion'>;
  readonly endpoint: Endpoint;
  readonly activeRules: ActiveRules;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timeline: Timeline;
}

export class SidecarTask {
  private readonly mailbox = createTask<AdmissionMessage>(m =>
    this.applyAdmissionMessage(m),
  );
  private readonly active = new Map<string, ActiveAttempt>();
  private readonly timers: Timer[] = [];
  private readonly outbox: Outbox;
  private readonly observer: EndpointObserver;
  private admissionState: AdmissionState;
  private outcomes = emptyOutcomes;
  private served: ServedTokens = [];
  private announcedLeaving = false;

  constructor(private readonly parts: SidecarTaskParts) {
    const {clock, endpoint, log} = parts;
    this.admissionState = initialAdmission(parts.admission);
    this.outbox = new Outbox(clock);
    this.observer = new EndpointObserver(endpoint, clock, {
      postAdmission: message => this.mailbox.post(message),
      instanceChanged: instance => this.recordEndpointInstance(instance),
      failed: reason =>
        log('debug', 'observation of the endpoint failed', {reason}),
    });
  }

  async start(): Promise<void> {
    const {clock, activeRules} = this.parts;
    activeRules.watch(({rules}) => this.mailbox.post({kind: 'rules', rules}));
    this.mailbox.post({kind: 'rules', rules: activeRules.current().rules});
    this.timers.push(
      repeatEvery(clock, ADMISSION_TICK_MS, () =>
        this.mailbox.post({kind: 'tick'}),
      ),
      repeatEvery(clock, LOAD_REPORT_INTERVAL_MS, () => this.reportLoad()),
      repeatEvery(
        clock,
        OBSERVE_INTERVAL_MS,
        () => void this.observer.observe(),
      ),
    );
    await this.observer.observe();
  }

  /** Refuses new work and waits for running attempts until the deadline. */
  async stop(deadline: Date): Promise<void> {
    const {clock, log} = this.parts;
    this.refuseNewWork();
    while (this.active.size > 0 && clock.now() < deadline) {
      await new Promise<void>(done => clock.after(ADMISSION_TICK_MS, done));
    }
    for (const {ref} of this.active.values()) {
      log('warn', 'request aborted by shutdown', {requestId: ref.requestId});
    }
    this.timers.forEach(timer => timer.cancel());
    this.outbox.flush();
  }

  /** Refuses new work from now on and announces that to the entries. */
  refuseNewWork(): void {
    this.mailbox.post({kind: 'leaving', leaving: true});
  }

  private reportLoad(): void {
    const {metrics} = this.parts;
    const {running, waiting, bound} = loadOf(this.admissionState);
    metrics.gauge('sidecar.running', running);
    metrics.gauge('sidecar.waiting', waiting);
    metrics.gauge('sidecar.bound', bound);
    this.outbox.broadcast(this.loadMessage());
  }

  /** Reports capacity and served accounts for `status`. */
  facts(): FactParts {
    const {running, waiting, bound, cold} = loadOf(this.admissionState);
    const granted = this.admissionState.ledger.held.size;
    const {rules} = this.parts.activeRules.current();
    const atMs = this.observer.lastAnswerMs;
    return {
      capacity: {atMs, granted, running, waiting, bound, cold},
      accounts: accountFacts(this.served, rules, this.parts.clock.now()),
    };
  }

  /** Accepts a link that an entry has opened. */
  accept(channel: Channel<SidecarPayload>): StreamHandler<EntryPayload> {
    const entry = this.outbox.open(channel);
    channel.send({kind: 'hello', hello: this.hello()});
    channel.send(this.loadMessage());
    return {
      message: message => this.handleEntryMessage(entry, message),
      closed: () => this.linkClosed(entry),
    };
  }

  private hello(): SidecarHello {
    const {activeRules, hello} = this.parts;
    const ruleVersion = activeRules.current().version;
    const {leaving} = loadOf(this.admissionState);
    return {...hello, leaving, ruleVersion};
  }

  private handleEntryMessage(entry: EntryId, message: EntryPayload): void {
    switch (message.kind) {
      case 'hello':
        return;
      case 'credit':
        this.active
          .get(attemptKey(message.credit))
          ?.stream.credit(message.credit.bytes);
        return;
      case 'offer':
        return this.mailbox.post({kind: 'offer', entry, offer: message.offer});
      case 'withdraw':
        return this.mailbox.post({
          kind: 'withdraw',
          entry,
          ref: message.withdraw,
        });
      case 'start':
        return this.mailbox.post({kind: 'start', entry, start: message.start});
      case 'standing': {
        const {wanted} = message.standing;
        return this.mailbox.post({kind: 'standing', entry, wanted});
      }
      case 'cancel':
        return this.cancelAttempt(message.cancel);
      case 'ask':
        return this.answerOutcomeQuery(entry, message.ask);
    }
  }

  private answerOutcomeQuery(entry: EntryId, ref: AttemptRef): void {
    const {state, answer} = answerAsk(
      this.outcomes,
      ref,
      this.parts.clock.now(),
    );
    this.outcomes = state;
    this.outbox.send(entry, {kind: 'answer', answer});
  }

  private applyAdmissionMessage(message: AdmissionMessage): void {
    const now = this.parts.clock.now();
    const {state, effects} = decideAdmission(this.admissionState, message, now);
    this.admissionState = state;
    for (const effect of effects) this.applyEffect(effect);
    this.announceLeaving();
  }

  /** Announces to the entries that new work is refused, or accepted again. */
  private announceLeaving(): void {
    const {leaving} = loadOf(this.admissionState);
    if (leaving === this.announcedLeaving) return;
    this.announcedLeaving = leaving;
    this.outbox.broadcast({kind: 'hello', hello: this.hello()});
    this.outbox.broadcast(this.loadMessage());
    this.parts.timeline.record(leaving ? 'leaving' : 'taking work', '');
  }

  private applyEffect(effect: AdmissionEffect): void {
    if (effect.entry.startsWith(RESUME_ENTRY_PREFIX))
      return this.handleResumeEffect(effect);
    switch (effect.kind) {
      case 'grant':
        return this.outbox.send(effect.entry, {
          kind: 'grant',
          grant: effect.grant,
        });
      case 'refuse':
        return this.outbox.send(effect.entry, {
          kind: 'refuse',
          refuse: effect.refuse,
        });
      case 'revoke': {
        const {entry, grantId} = effect;
        return this.outbox.send(entry, {kind: 'revoke', revoke: {grantId}});
      }
      case 'run':
        return this.runAttempt(effect.entry, effect);
    }
  }

  private runAttempt(entry: EntryId, job: Job): void {
    const {start, offer} = job;
    if (!offer.idempotent && !this.tryBegin(entry, start)) return;
    const active = newActiveAttempt(entry, job, this.newStream(job));
    this.active.set(attemptKey(start), active);
    this.parts.timeline.record('run', start.requestId, offer.target);
    this.parts.metrics.count('sidecar.runs');
    active.stream.start();
  }

  /**
   * Records the begin of a non-idempotent attempt in the outcome table. Returns
   * false if it may not run, and reports that to the entry.
   */
  private tryBegin(entry: EntryId, start: Start): boolean {
    const {
      state,
      allowed,
      knownOutcome: known,
    } = beginAttempt(this.outcomes, start, this.parts.clock.now());
    this.outcomes = state;
    if (allowed) return true;
    // A repeated start needs no reply: the running attempt will answer.
    if (known === 'running') return false;
    this.mailbox.post({kind: 'ended', ref: start, tokens: 0});
    const run = known === 'ran' ? 'unknown' : known;
    this.sendFailed(
      entry,
      start,
      run,
      'started again or after it was asked for',
    );
    return false;
  }

  private newStream(job: Job): AnswerStream {
    const key = attemptKey(job.start);
    const on = (act: (active: ActiveAttempt) => void) => () => {
      const active = this.active.get(key);
      if (active) act(active);
    };
    const withActive = <T>(act: (active: ActiveAttempt, value: T) => void) => {
      return (value: T) => on(active => act(active, value))();
    };
    return new AnswerStream(this.parts.endpoint, job, {
      send: withActive((active, frame) =>
        this.outbox.queueFrame(active.entry, frame),
      ),
      frameReceived: withActive((active, frame) => this.onFrame(active, frame)),
      failed: (run, reason) =>
        on(active => this.failAttempt(active, run, reason))(),
      runEnded: on(active => this.freeSlot(active)),
      slotNeeded: on(active => this.requestSlot(active)),
      finished: on(active => this.removeAttempt(active)),
    });
  }

  /** Requests a slot for a paused attempt, which is admitted like any offer. */
  private requestSlot(active: ActiveAttempt): void {
    const deadlineMs = this.parts.clock.now().getTime() + RESUME_TIMEOUT_MS;
    const entry = resumeEntry(active);
    const offer = resumeOffer(active, deadlineMs);
    active.slotWaitTimer = this.parts.clock.after(RESUME_TIMEOUT_MS, () =>
      this.failAttempt(active, 'unknown', 'no slot to go on after a pause'),
    );
    this.mailbox.post({kind: 'offer', entry, offer});
  }

  private handleResumeEffect(effect: AdmissionEffect): void {
    const {entry} = effect;
    const active = this.active.get(entry.slice(RESUME_ENTRY_PREFIX.length));
    if (effect.kind === 'revoke') return;
    if (!active?.slotWaitTimer) return;
    if (effect.kind === 'refuse') {
      return this.failAttempt(active, 'unknown', effect.refuse.reason);
    }
    if (effect.kind === 'grant') {
      const {grantId} = effect.grant;
      const start = {...startForGrant(active.admissionRef), grantId};
      return this.mailbox.post({kind: 'start', entry, start});
    }
    active.slotWaitTimer.cancel();
    active.slotWaitTimer = undefined;
    active.holdsSlot = true;
    this.parts.timeline.record('resumed', active.ref.requestId);
    active.stream.resume();
  }

  private onFrame(active: ActiveAttempt, frame: Frame): void {
    if (active.outputCount === 0 && frame.count > 0) {
      this.mailbox.post({kind: 'prefilled', ref: active.ref});
    }
    active.outputCount += frame.count;
    if (!active.offer.idempotent) recordFrame(active, frame);
    if (!frame.end) return;
    if (!active.offer.idempotent) {
      const now = this.parts.clock.now();
      const answer = recordedAnswer(active);
      this.outcomes = finishAttempt(this.outcomes, active.ref, answer, now);
    }
    this.parts.timeline.record('answered', active.ref.requestId);
  }

  private failAttempt(
    active: ActiveAttempt,
    run: 'ran' | 'not-run' | 'unknown',
    reason: string,
  ): void {
    if (!this.isCurrent(active)) return;
    const {entry, ref, offer} = active;
    if (!offer.idempotent) {
      const known = run === 'not-run' ? run : 'unknown';
      const now = this.parts.clock.now();
      this.outcomes = failAttempt(this.outcomes, ref, known, now);
    }
    this.parts.log('warn', 'endpoint failed', {
      requestId: ref.requestId,
      reason,
    });
    this.parts.timeline.record('endpoint failed', ref.requestId, reason);
    this.sendFailed(entry, ref, run, reason);
    // Lower the bound before the slot is freed, so that no waiting request is
    // admitted under the old one.
    this.mailbox.post({kind: 'suspect'});
    this.removeAttempt(active);
    void this.observer.observe();
  }

  private cancelAttempt(ref: AttemptRef): void {
    const active = this.active.get(attemptKey(ref));
    if (!active || !active.offer.idempotent) return;
    active.stream.cancel();
    this.parts.timeline.record('cancelled', ref.requestId);
    this.removeAttempt(active);
  }

  private removeAttempt(active: ActiveAttempt): void {
    this.active.delete(attemptKey(active.ref));
    this.freeSlot(active);
    if (!active.slotWaitTimer) return;
    active.slotWaitTimer.cancel();
    const entry = resumeEntry(active);
    this.mailbox.post({kind: 'withdraw', entry, ref: active.admissionRef});
  }

  private freeSlot(active: ActiveAttempt): void {
    if (!active.holdsSlot) return;
    active.holdsSlot = false;
    const used = usedTokens(active);
    const now = this.parts.clock.now();
    this.served = addServed(this.served, active.offer.account, used, now);
    this.mailbox.post({kind: 'ended', ref: active.admissionRef, tokens: used});
    active.outputCount = 0;
  }

  private isCurrent(active: ActiveAttempt): boolean {
    return this.active.get(attemptKey(active.ref)) === active;
  }

  private linkClosed(entry: EntryId): void {
    this.outbox.close(entry);
    this.mailbox.post({kind: 'entryLost', entry});
    for (const active of [...this.active.values()]) {
      if (active.entry === entry) this.cancelAttempt(active.ref);
    }
  }

  private recordEndpointInstance(instance: string): void {
    const {bound} = loadOf(this.admissionState);
    this.parts.timeline.record('endpoint instance', '', instance || 'none');
    this.parts.log('info', 'endpoint instance', {endpoint: instance, bound});
  }

  private sendFailed(
    entry: EntryId,
    {requestId, attempt}: AttemptRef,
    run: 'ran' | 'not-run' | 'unknown',
    reason: string,
  ): void {
    this.outbox.flush();
    const failed = {requestId, attempt, run, reason};
    this.outbox.send(entry, {kind: 'failed', failed});
  }

  private loadMessage(): SidecarPayload {
    return {kind: 'load', load: loadOf(this.admissionState)};
  }
}
