/**
 * The events of this process, in a ring buffer.
 *
 * Instances have no disk, so the ring buffer is the only record. The
 * `timeline` command reads those of all processes and merges them by hybrid
 * logical clock stamp.
 */
import {Clock} from '../kernel/clock';
import * as hlc from './hlc';

export interface TimelineEvent {
  readonly hlc: string;
  readonly instance: string;
  readonly zone: string;
  readonly name: string;
  readonly requestId: string;
  readonly detail: string;
}

/** Remote stamps further ahead of the local wall clock are ignored. */
const MAX_CLOCK_LEAD_MS = 60_000;

export class Timeline {
  private readonly ring: TimelineEvent[] = [];
  private recordedCount = 0;
  private lastStamp = hlc.zeroStamp;

  constructor(
    private readonly clock: Clock,
    private readonly source: {readonly instance: string; readonly zone: string},
    private readonly capacity: number,
  ) {}

  /** Records an event. */
  record(name: string, requestId = '', detail = ''): void {
    const event = {hlc: this.stamp(), ...this.source, name, requestId, detail};
    this.ring[this.recordedCount % this.capacity] = event;
    this.recordedCount += 1;
  }

  /** Advances the clock and returns the stamp for a message to be sent. */
  stamp(): string {
    this.lastStamp = hlc.tick(this.lastStamp, this.clock.now().getTime());
    return hlc.format(this.lastStamp);
  }

  /** Advances the clock past the stamp of a received message. */
  observe(stamp: string): void {
    const remote = hlc.parse(stamp);
    const wallMs = this.clock.now().getTime();
    if (remote.wallMs > wallMs + MAX_CLOCK_LEAD_MS) return;
    this.lastStamp = hlc.receive(this.lastStamp, remote, wallMs);
  }

  /** The events of one request, or by default all, in the order of stamps. */
  events(requestId = ''): readonly TimelineEvent[] {
    const matching = this.ring.filter(
      e => requestId === '' || e.requestId === requestId,
    );
    return matching.sort((a, b) => (a.hlc < b.hlc ? -1 : 1));
  }
}
