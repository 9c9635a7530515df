/**
 * The directory of instances that this process knows of.
 *
 * The platform's list lags and is only a hint. Whoever uses a record learns
 * whether the instance is live only by connecting to it.
 */
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {Log} from '../observe/log';
import {InstanceRecord, Platform} from '../platform/client';

export interface Directory {
  /** Returns the instances that are known now. */
  instances(): readonly InstanceRecord[];
  /** Calls `changed` after each later change of the list. */
  watch(changed: () => void): void;
}

/** A directory that polls the platform's list of instances. */
export class PlatformDirectory implements Directory {
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
    this.timer = repeatEvery(this.clock, this.pollMs, () => void this.poll());
  }

  async stop(): Promise<void> {
    this.timer?.cancel();
  }

  /** Reads the list; keeps the last one while the platform does not answer. */
  private async poll(): Promise<void> {
    try {
      const records = await this.platform.instances();
      const unchanged =
        JSON.stringify(records) === JSON.stringify(this.records);
      this.records = records;
      if (!unchanged) this.watchers.forEach(changed => changed());
    } catch (error) {
      this.log('debug', 'cannot read the instance list; using the last one', {
        reason: String(error),
      });
    }
  }
}
