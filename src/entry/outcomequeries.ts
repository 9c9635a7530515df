/**
 * Asks a sidecar for the outcome of an attempt: at once, and again at intervals
 * while there is no answer. A timeout limits how long the caller waits for it.
 */
import {Clock} from '../kernel/clock';
import {Timeline} from '../observe/timeline';
import {ActiveRequest} from './activerequest';
import {SidecarLinks} from './links';
import {RequestMessage} from './requeststate';

/** How long an entry waits for a sidecar to report an attempt's outcome. */
const ASK_TIMEOUT_MS = 5_000;
const ASK_INTERVAL_MS = 250;

export interface OutcomeQueryParts {
  readonly links: SidecarLinks;
  readonly clock: Clock;
  readonly timeline: Timeline;
}

export class OutcomeQueries {
  constructor(
    private readonly parts: OutcomeQueryParts,
    private readonly post: (requestId: string, message: RequestMessage) => void,
  ) {}

  ask(active: ActiveRequest, sidecar: string, attempt: number): void {
    const {requestId} = active.state;
    this.parts.timeline.record('ask', requestId, sidecar);
    const ask = {requestId, attempt};
    this.parts.links.send(sidecar, {kind: 'ask', ask});
    if (!active.outcomeTimer) this.restartTimeout(active);
  }

  /** Posts `askDue` to the request after the interval. */
  scheduleNextAsk({state}: ActiveRequest): void {
    this.parts.clock.after(ASK_INTERVAL_MS, () =>
      this.post(state.requestId, {kind: 'askDue'}),
    );
  }

  /** Ends the request if its outcome is still unknown after the timeout. */
  restartTimeout(active: ActiveRequest): void {
    const {requestId} = active.state;
    active.outcomeTimer?.cancel();
    active.outcomeTimer = this.parts.clock.after(ASK_TIMEOUT_MS, () => {
      active.outcomeTimer = undefined;
      if (active.state.phase !== 'asking') return;
      this.post(requestId, {kind: 'deadline'});
    });
  }
}
