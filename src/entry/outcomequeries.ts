/**
 * Asks a sidecar what became of an attempt: at once, again while no answer
 * comes, and not for longer than a caller can be kept waiting.
 */
import {Clock} from '../kernel/clock';
import {Timeline} from '../observe/timeline';
import {ActiveRequest} from './activerequest';
import {Links} from './links';
import {RequestMessage} from './requeststate';

/** How long an entry waits for a sidecar that it asks about an attempt. */
const ASK_TIMEOUT_MS = 5_000;
const ASK_INTERVAL_MS = 250;

export interface OutcomeQueryParts {
  readonly links: Links;
  readonly clock: Clock;
  readonly timeline: Timeline;
}

export class OutcomeQueries {
  constructor(
    private readonly parts: OutcomeQueryParts,
    private readonly tell: (requestId: string, message: RequestMessage) => void,
  ) {}

  ask(active: ActiveRequest, sidecar: string, attempt: number): void {
    const {requestId} = active.state;
    this.parts.timeline.record('ask', requestId, sidecar);
    const ask = {requestId, attempt};
    this.parts.links.send(sidecar, {kind: 'ask', ask});
    if (!active.askTimer) this.restartTimeout(active);
  }

  /** Tells the request when it is time to ask again. */
  scheduleNextAsk({state}: ActiveRequest): void {
    this.parts.clock.after(ASK_INTERVAL_MS, () =>
      this.tell(state.requestId, {kind: 'askDue'}),
    );
  }

  /** Ends the request unless it has its answer in time. */
  restartTimeout(active: ActiveRequest): void {
    const {requestId} = active.state;
    active.askTimer?.cancel();
    active.askTimer = this.parts.clock.after(ASK_TIMEOUT_MS, () => {
      active.askTimer = undefined;
      if (active.state.phase !== 'asking') return;
      this.tell(requestId, {kind: 'deadline'});
    });
  }
}
