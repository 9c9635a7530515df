/**
 * Observes the endpoint and tells admission what it saw: the endpoint's
 * instance and its steps. An endpoint that does not answer counts as
 * restarted, so that it is cold when it answers again.
 */
import {AdmissionMessage} from '../capacity/admission';
import {Clock} from '../kernel/clock';
import {Endpoint, EndpointState} from './endpoint';

/** Failed observations after which the endpoint counts as restarted. */
const LOST_AFTER_FAILURES = 2;
/**
 * Codes of connections that fail at once. An endpoint that is slow to answer
 * is cold and not down: refusing all its work would leave an overloaded
 * deployment without any.
 */
const DOWN_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'ECONNRESET',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

export interface ObserverEvents {
  postAdmission(message: AdmissionMessage): void;
  /** The endpoint is another instance now; empty when it was lost. */
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

  /** Wall time of the last answer in milliseconds; 0 for never. */
  get lastAnswerMs(): number {
    return this.lastAnswerWallMs;
  }

  /** An observation that began before a call broke proves nothing. */
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
    const lost = this.failureCount >= LOST_AFTER_FAILURES;
    this.failureCount = 0;
    const same =
      instance === this.lastState.instance && steps >= this.lastState.steps;
    if (lost || instance !== this.lastState.instance)
      this.reportInstance(instance);
    else this.events.postAdmission({kind: 'engine', instance});
    const newSteps = same ? steps - this.lastState.steps : steps;
    this.lastState = state;
    if (newSteps === 0) return;
    this.events.postAdmission({kind: 'step', stepMs, batch, steps: newSteps});
  }

  private reportInstance(instance: string, down = false): void {
    this.events.postAdmission({kind: 'engine', instance, down});
    this.events.instanceChanged(instance);
  }
}
