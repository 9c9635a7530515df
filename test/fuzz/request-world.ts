/** Simulates the requests, links, sidecars and engines of the fuzz model. */
import {decideRequest} from '../../src/entry/request';
import {
  newRequest,
  RequestEffect,
  RequestMessage,
  RequestState,
} from '../../src/entry/requeststate';
import {AttemptRef, Frame, Start} from '../../src/wire/messages';
import {
  ANSWER_UNITS,
  expectedAnswer,
  OutcomeEntry,
  MessageInFlight,
  newFrame,
  isFinished,
  attemptKey,
  RequestType,
  SimulatedSidecar,
  TrackedRequest,
  throwViolation,
} from './request-parts';

const REQUEST_LIFE_MS = 1_000;
export const SIDECAR_COUNT = 3;

export class World {
  nowMs = 0;
  nextRun = 1;
  readonly requests: TrackedRequest[] = [];
  readonly sidecars: SimulatedSidecar[] = Array.from(
    {length: SIDECAR_COUNT},
    (_, i) => ({
      name: `s${i}`,
      incarnation: 1,
      alive: true,
      linked: true,
      full: false,
      endpointDown: false,
      grants: new Map<string, AttemptRef>(),
      table: new Map<string, OutcomeEntry>(),
      running: [],
      nextGrant: 1,
    }),
  );
  inFlight: MessageInFlight[] = [];

  open(kind: RequestType): void {
    const id = `r${this.requests.length}`;
    const state = newRequest(id, kind !== 'order', kind === 'model');
    this.requests.push({
      id,
      kind,
      deadlineMs: this.nowMs + REQUEST_LIFE_MS,
      state,
      delivered: [],
      runs: [],
      claimHeld: false,
      callerGone: false,
    });
    this.sendToEntry(id, {
      kind: 'chosen',
      sidecars: this.chooseSidecars(new Set(), 0),
    });
  }

  chooseSidecars(
    exclude: {has(name: string): boolean},
    turn: number,
  ): string[] {
    const usable = this.sidecars.filter(
      s => s.linked && s.alive && !exclude.has(s.name),
    );
    const from = usable.length === 0 ? 0 : turn % usable.length;
    return [...usable.slice(from), ...usable.slice(0, from)]
      .slice(0, 2)
      .map(s => s.name);
  }

  sendToEntry(
    requestId: string,
    message: RequestMessage,
    from?: SimulatedSidecar,
  ): void {
    const incarnation = from?.incarnation ?? 0;
    const lossy = from !== undefined;
    this.inFlight.push({lossy, incarnation, requestId, message});
  }

  /** Runs the decision and carries out its effects. */
  post(request: TrackedRequest, message: RequestMessage): void {
    const next = decideRequest(request.state, message);
    request.state = next.state;
    for (const effect of next.effects) this.applyEffect(request, effect);
    this.checkInvariants(request);
  }

  private applyEffect(request: TrackedRequest, effect: RequestEffect): void {
    const {id} = request;
    switch (effect.kind) {
      case 'choose': {
        const turn = request.state.attempt;
        const sidecars = this.chooseSidecars(effect.exclude, turn);
        return this.sendToEntry(id, {kind: 'chosen', sidecars});
      }
      case 'claim':
        return this.sendToEntry(id, {
          kind: 'claimed',
          outcome: {kind: 'claimed'},
        });
      case 'releaseClaim':
        if (request.runs.length > 0) {
          throwViolation(`${id}: the claim of a request that ran was released`);
        }
        request.claimHeld = false;
        return this.sendToEntry(id, {kind: 'released'});
      case 'retry':
        return this.sendToEntry(id, {kind: 'retryAllowed', allowed: true});
      case 'askLater':
        return this.sendToEntry(id, {kind: 'askDue'});
      case 'deliver':
        return this.deliver(request, effect.frame);
      case 'replay':
        return this.finish(request, 'answer');
      case 'fail':
        return this.finish(request, effect.fault.run);
      default:
        return this.sendToSidecar(request, effect);
    }
  }

  private sendToSidecar(
    request: TrackedRequest,
    effect: Extract<RequestEffect, {readonly sidecar: string}>,
  ): void {
    const sidecar = this.sidecars.find(s => s.name === effect.sidecar);
    if (!sidecar) return throwViolation(`effect for "${effect.sidecar}"`);
    if (effect.kind === 'start' && request.kind === 'order') {
      if (!request.claimHeld)
        throwViolation(`${request.id}: start without claim`);
    }
    if (!sidecar.linked) {
      // The dispatch task handles a send on a closed link as a lost link.
      if (effect.kind === 'start' || effect.kind === 'offer') {
        const message = {kind: 'lost', sidecar: sidecar.name} as const;
        this.sendToEntry(request.id, message);
      }
      return;
    }
    this.inFlight.push({
      lossy: true,
      sidecar,
      incarnation: sidecar.incarnation,
      requestId: request.id,
      message: effect,
    });
  }

  private deliver(request: TrackedRequest, frame: Frame): void {
    const {id, delivered} = request;
    if (request.ended) throwViolation(`${id}: delivered after its end`);
    if (frame.requestId !== id)
      throwViolation(`${id}: frame of another request`);
    if (frame.offset !== delivered.length) {
      throwViolation(
        `${id}: frame at ${frame.offset}, not ${delivered.length}`,
      );
    }
    if (frame.data.length !== frame.count)
      throwViolation(`${id}: units missing`);
    delivered.push(...frame.data);
    const answers = request.runs.map(run => expectedAnswer(request, run));
    const isPrefix = (answer: number[]) =>
      delivered.every((value, i) => value === answer[i]);
    if (!answers.some(isPrefix))
      throwViolation(`${id}: mixed parts of several answers`);
    if (!frame.end) return;
    if (delivered.length !== ANSWER_UNITS)
      throwViolation(`${id}: answer is truncated`);
    this.finish(request, 'answer');
  }

  private finish(
    request: TrackedRequest,
    outcome: NonNullable<TrackedRequest['ended']>,
  ): void {
    if (request.ended) throwViolation(`${request.id}: ended twice`);
    request.ended = outcome;
  }

  checkInvariants(request: TrackedRequest): void {
    const {id, kind, runs, ended} = request;
    if (kind === 'order' && runs.length > 1) throwViolation(`${id}: ran twice`);
    if (ended === 'not-run' && runs.length > 0) {
      throwViolation(`${id}: reported not-run, but it ran`);
    }
    if (ended === 'ran' && runs.length === 0) {
      throwViolation(`${id}: reported ran, but it did not`);
    }
    const endedSilently = isFinished(request) && !ended && !request.callerGone;
    if (endedSilently) throwViolation(`${id}: finished without an answer`);
  }

  deliverMessage(flight: MessageInFlight, atRequest = flight.requestId): void {
    const {sidecar, incarnation, message} = flight;
    if (sidecar) {
      if (!sidecar.alive || sidecar.incarnation !== incarnation) return;
      const effect = message as RequestEffect;
      return this.receiveAtSidecar(sidecar, flight.requestId, effect);
    }
    const request = this.requests.find(r => r.id === atRequest);
    if (!request) return;
    const arrived = message as RequestMessage;
    if (arrived.kind === 'claimed') {
      request.claimHeld = arrived.outcome.kind === 'claimed';
    }
    this.post(request, arrived);
  }

  private receiveAtSidecar(
    sidecar: SimulatedSidecar,
    requestId: string,
    effect: RequestEffect,
  ): void {
    if (!('attempt' in effect)) return;
    const ref = {requestId, attempt: effect.attempt};
    const {name} = sidecar;
    const reply = (message: RequestMessage) =>
      this.sendToEntry(requestId, message, sidecar);
    switch (effect.kind) {
      case 'offer': {
        if (sidecar.full) return reply(this.refusal(name, ref));
        const grantId = `${name}/${sidecar.incarnation}/${sidecar.nextGrant}`;
        sidecar.nextGrant += 1;
        sidecar.grants.set(grantId, ref);
        const grant = {...ref, grantId, expiresMs: 0, maxTokens: 0};
        const incarnation = String(sidecar.incarnation);
        return reply({kind: 'grant', sidecar: name, incarnation, grant});
      }
      case 'withdraw':
        for (const [id, held] of sidecar.grants) {
          if (attemptKey(held) === attemptKey(ref)) sidecar.grants.delete(id);
        }
        return;
      case 'start':
        return this.startAtSidecar(sidecar, ref, effect);
      case 'cancel':
        this.cancelAtSidecar(sidecar, ref);
        return;
      case 'ask': {
        const known = sidecar.table.get(attemptKey(ref));
        if (!known) sidecar.table.set(attemptKey(ref), {kind: 'tombstone'});
        const ran = known?.kind === 'ran';
        const running = known?.kind === 'running';
        const failed = known?.kind === 'failed';
        const broken = failed ? 'unknown' : 'not-run';
        const outcome = ran ? 'ran' : running ? 'running' : broken;
        const body = ran ? known.body : new Uint8Array(0);
        const answer = {
          ...ref,
          outcome,
          status: 200,
          body,
          headers: [],
        } as const;
        const incarnation = String(sidecar.incarnation);
        return reply({kind: 'answer', sidecar: name, incarnation, answer});
      }
    }
  }

  private refusal(sidecar: string, ref: AttemptRef): RequestMessage {
    const refuse = {...ref, reason: 'full', retryAfterMs: 0};
    return {kind: 'refuse', sidecar, refuse};
  }

  private startAtSidecar(
    sidecar: SimulatedSidecar,
    ref: AttemptRef,
    start: Pick<Start, 'grantId' | 'resumeOffset'>,
  ): void {
    const held = sidecar.grants.get(start.grantId);
    const valid = held && attemptKey(held) === attemptKey(ref);
    const request = this.requests.find(r => r.id === ref.requestId)!;
    if (!valid || sidecar.table.has(attemptKey(ref))) {
      const refusal = this.refusal(sidecar.name, ref);
      return this.sendToEntry(ref.requestId, refusal, sidecar);
    }
    sidecar.grants.delete(start.grantId);
    if (sidecar.endpointDown) {
      sidecar.table.set(attemptKey(ref), {kind: 'tombstone'});
      const failed = {...ref, run: 'not-run', reason: 'down'} as const;
      const message = {kind: 'failed', sidecar: sidecar.name, failed} as const;
      return this.sendToEntry(ref.requestId, message, sidecar);
    }
    sidecar.table.set(attemptKey(ref), {kind: 'running'});
    const run = this.nextRun++;
    request.runs.push(run);
    // Engines may resume from the start of a block, before the offset.
    const position = Math.max(0, start.resumeOffset - (run % 3));
    sidecar.running.push({ref, request, run, position});
    this.checkInvariants(request);
  }

  private cancelAtSidecar(sidecar: SimulatedSidecar, ref: AttemptRef): void {
    sidecar.running = sidecar.running.filter(
      r => attemptKey(r.ref) !== attemptKey(ref) || r.request.kind === 'order',
    );
  }

  /** The engine produces the next units of one running attempt. */
  engineStep(sidecar: SimulatedSidecar, pick: number, count: number): void {
    const running = sidecar.running[pick % sidecar.running.length];
    if (!running) return;
    const {ref, request, run, position} = running;
    const answer = expectedAnswer(request, run);
    const units = answer.slice(position, position + count);
    running.position += units.length;
    const end = running.position >= ANSWER_UNITS;
    if (end) {
      sidecar.running = sidecar.running.filter(r => r !== running);
      const body = Uint8Array.from(answer);
      sidecar.table.set(attemptKey(ref), {kind: 'ran', body});
    }
    const frame = newFrame(request, ref, position, units, end);
    const message = {kind: 'frame', sidecar: sidecar.name, frame} as const;
    this.sendToEntry(ref.requestId, message, sidecar);
  }

  /** The engine breaks off a running attempt. */
  engineFails(sidecar: SimulatedSidecar, pick: number): void {
    const running = sidecar.running[pick % sidecar.running.length];
    if (!running) return;
    sidecar.running = sidecar.running.filter(r => r !== running);
    sidecar.table.set(attemptKey(running.ref), {kind: 'failed'});
    const run = running.request.kind === 'order' ? 'ran' : 'unknown';
    const failed = {...running.ref, run, reason: 'engine'} as const;
    const message = {kind: 'failed', sidecar: sidecar.name, failed} as const;
    this.sendToEntry(running.ref.requestId, message, sidecar);
  }

  breakLink(sidecar: SimulatedSidecar): void {
    if (!sidecar.linked) return;
    sidecar.linked = false;
    sidecar.grants.clear();
    sidecar.running = sidecar.running.filter(r => r.request.kind === 'order');
    for (const {id} of this.requests) {
      this.sendToEntry(id, {kind: 'lost', sidecar: sidecar.name});
    }
  }

  kill(sidecar: SimulatedSidecar): void {
    if (!sidecar.alive) return;
    this.breakLink(sidecar);
    sidecar.alive = false;
    sidecar.table.clear();
    sidecar.running = [];
  }

  relink(sidecar: SimulatedSidecar): void {
    if (!sidecar.alive) {
      sidecar.alive = true;
      sidecar.incarnation += 1;
    }
    if (sidecar.linked) return;
    sidecar.linked = true;
    const incarnation = String(sidecar.incarnation);
    const {name} = sidecar;
    for (const {id} of this.requests) {
      this.sendToEntry(id, {kind: 'linked', sidecar: name, incarnation});
    }
  }

  advance(ms: number): void {
    this.nowMs += ms;
    for (const request of this.requests) {
      if (this.nowMs < request.deadlineMs || isFinished(request)) continue;
      this.post(request, {kind: 'deadline'});
      if (!isFinished(request))
        throwViolation(`${request.id}: open after its deadline`);
    }
  }

  /**
   * Ends all faults and delivers all messages. Afterwards no request may still
   * wait for a message.
   */
  endFaults(): void {
    for (const sidecar of this.sidecars) this.relink(sidecar);
    for (let turn = 0; turn < 200 && this.inFlight.length > 0; turn += 1) {
      const flights = this.inFlight;
      this.inFlight = [];
      for (const flight of flights) this.deliverMessage(flight);
      for (const sidecar of this.sidecars) {
        this.engineStep(sidecar, turn, ANSWER_UNITS);
      }
    }
    for (const {id, state} of this.requests) {
      const {phase} = state;
      const waits = ['asking', 'claiming', 'retrying', 'releasing'];
      if (waits.includes(phase) && this.sidecarHasOutcome(state)) {
        throwViolation(
          `${id}: remains in phase ${phase} after the faults have ended`,
        );
      }
    }
    this.advance(REQUEST_LIFE_MS);
    for (const request of this.requests) this.checkInvariants(request);
  }

  /** Whether the sidecar knows the final outcome of the current attempt. */
  private sidecarHasOutcome(state: RequestState): boolean {
    if (state.phase !== 'asking') return true;
    const sidecar = this.sidecars.find(s => s.name === state.sidecar)!;
    return sidecar.table.get(attemptKey(state))?.kind !== 'running';
  }
}
