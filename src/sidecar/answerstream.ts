/**
 * Passes the answer to one attempt from the endpoint to an entry, under flow
 * control.
 *
 * Frames are sent while the entry gives credit. Without credit they are
 * buffered up to a limit; then the attempt is paused at the endpoint and its
 * slot is freed. When credit returns, the attempt needs a slot again and resumes
 * from its offset.
 */
import {
  decideFlow,
  Flow,
  FlowMessage,
  isDone,
  newFlow,
} from '../streams/flowcontrol';
import {Frame} from '../wire/messages';
import {Endpoint, Job, RunningAttempt} from './endpoint';

/** Receives the events of a stream. */
export interface StreamOwner {
  /** Sends a frame to the entry. */
  send(frame: Frame): void;
  /** A frame arrived from the endpoint. */
  frameReceived(frame: Frame): void;
  failed(run: 'ran' | 'not-run' | 'unknown', reason: string): void;
  /** The run at the endpoint was paused or ended, so it needs no slot. */
  runEnded(): void;
  /** The attempt needs a slot to go on; call `resume` once it has one. */
  slotNeeded(): void;
  /** The whole answer was sent. */
  finished(): void;
}

export class AnswerStream {
  private flow: Flow;
  private currentRun: RunningAttempt | undefined;
  /** Counts runs at the endpoint; frames of earlier runs are dropped. */
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

  /** Runs the attempt again from its offset; it must hold a slot. */
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
    this.currentRun?.cancel();
    this.currentRun = undefined;
  }

  private runAtEndpoint(job: Job): void {
    const {runNumber: run} = this;
    this.currentRun = this.endpoint.run(job, {
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
          this.owner.runEnded();
          break;
        case 'resume':
          this.owner.slotNeeded();
          break;
      }
    }
    if (message.kind === 'frame' && message.frame.end) this.owner.runEnded();
    if (isDone(flow)) this.owner.finished();
  }
}
