/**
 * One attempt's answer on its way from the endpoint to an entry.
 *
 * It runs the flow decision: frames go on while the entry gives credit, a
 * bounded remainder is held, and then the attempt is paused at the endpoint
 * and its slot given up. When credit returns it needs a slot again and goes
 * on from its offset.
 */
import {
  decideFlow,
  Flow,
  FlowMessage,
  isDone,
  newFlow,
} from '../streams/window';
import {Frame} from '../wire/messages';
import {Endpoint, Job, RunningAttempt} from './endpoint';

/** What the owner of a stream is told. */
export interface StreamOwner {
  /** A frame for the entry. */
  send(frame: Frame): void;
  /** A frame as the endpoint gave it. */
  frameReceived(frame: Frame): void;
  failed(run: 'ran' | 'not-run' | 'unknown', reason: string): void;
  /** The endpoint does not work on the attempt any more. */
  endpointIdle(): void;
  /** The attempt can go on; `resume` is to be called when it may. */
  wantSlot(): void;
  /** The whole answer was sent. */
  finished(): void;
}

export class AnswerStream {
  private flow: Flow;
  private running: RunningAttempt | undefined;
  /** Counts the runs at the endpoint; frames of an earlier one are late. */
  private runNumber = 0;

  constructor(
    private readonly endpoint: Endpoint,
    private readonly job: Job,
    private readonly owner: StreamOwner,
  ) {
    const {start, offer} = job;
    const resumable = offer.targetKind === 'model' && offer.idempotent;
    this.flow = newFlow(start.creditBytes, start.resumeOffset, resumable);
  }

  start(): void {
    this.runAtEndpoint(this.job);
  }

  /** The attempt has a slot again. */
  resume(): void {
    const {start, offer} = this.job;
    const resumeOffset = this.flow.offset;
    this.applyFlow({kind: 'resumed'});
    this.runAtEndpoint({
      start: {...start, resumeOffset},
      offer,
      run: this.runNumber,
    });
  }

  credit(bytes: number): void {
    this.applyFlow({kind: 'credit', bytes});
  }

  /** Stops the attempt at the endpoint. */
  cancel(): void {
    this.runNumber += 1;
    this.running?.cancel();
    this.running = undefined;
  }

  private runAtEndpoint(job: Job): void {
    const {runNumber: run} = this;
    this.running = this.endpoint.run(job, {
      frame: frame => {
        if (run !== this.runNumber) return;
        this.owner.frameReceived(frame);
        this.applyFlow({kind: 'frame', frame});
      },
      failed: (outcome, reason) => {
        if (run === this.runNumber) this.owner.failed(outcome, reason);
      },
    });
  }

  private applyFlow(message: FlowMessage): void {
    const {flow, effects} = decideFlow(this.flow, message);
    this.flow = flow;
    for (const effect of effects) {
      switch (effect.kind) {
        case 'send':
          this.owner.send(effect.frame);
          break;
        case 'pause':
          this.cancel();
          this.owner.endpointIdle();
          break;
        case 'resume':
          this.owner.wantSlot();
          break;
      }
    }
    if (message.kind === 'frame' && message.frame.end)
      this.owner.endpointIdle();
    if (isDone(flow)) this.owner.finished();
  }
}
