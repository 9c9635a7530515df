/**
 * Observes the endpoint and reports its instance and its steps to admission. An
 * endpoint that does not answer counts as restarted, so that it is treated as
 * cold when it answers again.
 */
import {AdmissionMessage} from '../capacity/admission';
import {Clock} from '../kernel/clock';
import {Endpoint, EndpointState} from './endpoint';

/** Failed observations in a row after which the endpoint counts as restarted. */
const LOST_AFTER_FAILURES = 2;
/**
 * Error codes of connections that fail at once, which mean that the endpoint is
 * down. A slow endpoint counts as cold, not as down: if the sidecars of slow
 * endpoints refused all work, an overloaded deployment would have no capacity.
 */
const DOWN_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'ECONNRESET',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

export interface ObserverEvents {
  postAdmission(message: AdmissionMessage): void;
  /** The endpoint is another instance now; empty if it does not answer. */
  instanceChanged(instance: string): void;
  failed(reason: string): void;
}

export class EndpointObserver {
  private lastState: EndpointState = {
    instance: '',
    stepMs: 0,
    batch: 0,
    steps: 0,
  };
  private failureCount = 0;
  private observing = false;
  private observeAgain = false;
  private lastAnswerWallMs = 0;

  constructor(
    private readonly endpoint: Endpoint,
    private readonly clock: Clock,
    private readonly events: ObserverEvents,
  ) {}

  /** Wall-clock time of the last answer in milliseconds; 0 if there is none. */
  get lastAnswerMs(): number {
    return this.lastAnswerWallMs;
  }

  /**
   * Observes the endpoint. When called during an observation, it discards that
   * one's result and observes again. After a broken call, a state that was
   * requested before it proves nothing.
   */
  async observe(): Promise<void> {
    this.observeAgain = this.observing;
    if (this.observing) return;
    this.observing = true;
    try {
      const state = await this.endpoint.observe();
      if (!this.observeAgain) this.stateObserved(state);
    } catch (error) {
      this.observationFailed(error as NodeJS.ErrnoException);
    }
    this.observing = false;
    if (this.observeAgain) await this.observe();
  }

  private observationFailed(error: NodeJS.ErrnoException): void {
    this.failureCount += 1;
    this.events.failed(String(error));
    const down = DOWN_ERROR_CODES.has(error.code ?? '');
    if (this.failureCount < LOST_AFTER_FAILURES) return;
    if (this.failureCount === LOST_AFTER_FAILURES)
      this.reportInstance('', down);
    else this.events.postAdmission({kind: 'engine', instance: '', down});
  }

  private stateObserved(state: EndpointState): void {
    const {instance, stepMs, batch, steps} = state;
    this.lastAnswerWallMs = this.clock.now().getTime();
    const wasLost = this.failureCount >= LOST_AFTER_FAILURES;
    this.failureCount = 0;
    const sameStart =
      instance === this.lastState.instance && steps >= this.lastState.steps;
    if (wasLost || instance !== this.lastState.instance)
      this.reportInstance(instance);
    else this.events.postAdmission({kind: 'engine', instance});
    const newSteps = sameStart ? steps - this.lastState.steps : steps;
    this.lastState = state;
    if (newSteps === 0) return;
    this.events.postAdmission({kind: 'step', stepMs, batch, steps: newSteps});
  }

  private reportInstance(instance: string, down = false): void {
    this.events.postAdmission({kind: 'engine', instance, down});
    this.events.instanceChanged(instance);
  }
}
