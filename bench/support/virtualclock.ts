/** A virtual clock for simulations of code that uses promises. */
import {Clock, Timer} from '../../src/kernel/clock';

/** Advances to the next time only when nothing is left to do at this one. */
export class VirtualClock implements Clock {
  nowMs = 1_780_000_000_000;
  private readonly startMs = this.nowMs;
  private readonly actionsByTime = new Map<number, (() => void)[]>();
  private readonly times: number[] = [];

  now = () => new Date(this.nowMs);
  elapsedMs = () => this.nowMs - this.startMs;

  after(delayMs: number, action: () => void): Timer {
    let cancelled = false;
    this.add(this.nowMs + Math.max(0, Math.ceil(delayMs)), () => {
      if (!cancelled) action();
    });
    return {
      cancel: () => {
        cancelled = true;
      },
    };
  }

  async run(endMs: number): Promise<void> {
    const until = this.startMs + endMs;
    while (this.times.length > 0 && this.times[0]! <= until) {
      const moment = this.times.shift()!;
      this.nowMs = moment;
      const actions = this.actionsByTime.get(moment)!;
      this.actionsByTime.delete(moment);
      actions.forEach(action => action());
      // Lets promise callbacks run before the clock advances.
      await new Promise<void>(done => setImmediate(done));
    }
  }

  private add(moment: number, action: () => void): void {
    const actions = this.actionsByTime.get(moment);
    if (actions) {
      actions.push(action);
      return;
    }
    this.actionsByTime.set(moment, [action]);
    let low = 0;
    let high = this.times.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.times[middle]! < moment) low = middle + 1;
      else high = middle;
    }
    this.times.splice(low, 0, moment);
  }
}
