/**
 * Who is there: the instances that this process knows of.
 *
 * The platform's list lags and is only a hint; whoever uses a record finds
 * out by talking to the instance whether it is live.
 */
import {Clock, every, Timer} from '../kernel/clock';
import {Log} from '../observe/log';
import {InstanceRecord, Platform} from '../platform/client';

export interface Directory {
  /** The instances known now. */
  instances(): readonly InstanceRecord[];
  /** Calls `changed` after each change from now on. */
  watch(changed: () => void): void;
}

/** A directory that reads the platform's list. */
export class ListDirectory implements Directory {
  private records: readonly InstanceRecord[] = [];
  private readonly watchers: (() => void)[] = [];
  private timer: Timer | undefined;

  constructor(
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly log: Log,
    /** Time between two reads of the list. */
    private readonly pollMs: number,
  ) {}

  instances(): readonly InstanceRecord[] {
    return this.records;
  }

  watch(changed: () => void): void {
    this.watchers.push(changed);
  }

  async start(): Promise<void> {
    await this.poll();
    this.timer = every(this.clock, this.pollMs, () => void this.poll());
  }

  async stop(): Promise<void> {
    this.timer?.cancel();
  }

  /** The last list stays in use while the platform does not answer. */
  private async poll(): Promise<void> {
    try {
      const records = await this.platform.instances();
      const unchanged =
        JSON.stringify(records) === JSON.stringify(this.records);
      this.records = records;
      if (!unchanged) this.watchers.forEach(changed => changed());
    } catch (error) {
      this.log('debug', 'instance list not read', {reason: String(error)});
    }
  }
}
