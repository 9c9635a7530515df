/** Pending messages, timers and table calls between simulated processes. */

export interface SimulatedProcess {
  alive: boolean;
  paused: boolean;
}

/** A pending event; its kind decides which faults can affect it. */
export interface PendingEvent {
  readonly kind: 'net' | 'table' | 'reply' | 'timer';
  /** The process that must be alive and not paused for the event to occur. */
  readonly owner: SimulatedProcess;
  readonly dueMs: number;
  readonly run: () => void;
  /** Reports to a table client that its reply was lost. */
  readonly loseReply?: () => void;
}

export function ready({alive, paused}: SimulatedProcess): boolean {
  return alive && !paused;
}

export function pick<T>(from: readonly T[], index: number): T {
  return from[index % from.length]!;
}

export class Traffic {
  nowMs = 1_700_000_000_000;
  private pending: PendingEvent[] = [];
  /** Owner of events on the wire and in the table service; always running. */
  private readonly outside: SimulatedProcess = {alive: true, paused: false};

  deliver(index: number): void {
    const due = this.pending.filter(p => this.isDue(p));
    if (due.length > 0) this.remove(pick(due, index)).run();
  }

  drop(index: number): void {
    const losable = this.pending.filter(p => p.kind !== 'timer');
    if (losable.length === 0) return;
    const {owner, loseReply} = this.remove(pick(losable, index));
    if (loseReply)
      this.push({kind: 'reply', owner, dueMs: this.nowMs, run: loseReply});
  }

  repeat(index: number): void {
    const net = this.pending.filter(p => p.kind === 'net');
    if (net.length > 0) this.push(pick(net, index));
  }

  /** Delays a message. */
  delay(index: number, ms: number): void {
    const net = this.pending.filter(p => p.kind === 'net');
    if (net.length === 0) return;
    const chosen = this.remove(pick(net, index));
    this.push({...chosen, dueMs: this.nowMs + ms});
  }

  /** Times out a table write at its client; the write may take effect later. */
  timeoutTable(index: number): void {
    const writes = this.pending.filter(p => p.kind === 'table' && p.loseReply);
    if (writes.length > 0) pick(writes, index).loseReply!();
  }

  /** Sends a message to `owner`, or to the receiver that `action` looks up. */
  send(action: () => void, owner: SimulatedProcess = this.outside): void {
    this.push({kind: 'net', owner, dueMs: this.nowMs, run: action});
  }

  after(owner: SimulatedProcess, ms: number, action: () => void): void {
    this.push({kind: 'timer', owner, dueMs: this.nowMs + ms, run: action});
  }

  /** Calls the table service; the request or the reply may be lost or late. */
  callTable<T>(
    client: SimulatedProcess,
    lost: T,
    work: () => T,
    done: (outcome: T) => void,
  ): void {
    let open = true;
    const once = (outcome: T) => {
      if (!open) return;
      open = false;
      if (ready(client)) done(outcome);
      else this.after(client, 0, () => done(outcome));
    };
    const lose = () => once(lost);
    const dueMs = this.nowMs;
    const action = () => {
      const outcome = work();
      const reply = () => once(outcome);
      this.push({
        kind: 'reply',
        owner: client,
        dueMs,
        run: reply,
        loseReply: lose,
      });
    };
    this.push({
      kind: 'table',
      owner: this.outside,
      dueMs,
      run: action,
      loseReply: lose,
    });
  }

  /** Runs the next due event; false if there is none. */
  deliverNext(): boolean {
    this.pending = this.pending.filter(p => p.owner.alive);
    if (!this.pending.some(p => this.isDue(p))) return false;
    this.deliver(0);
    return true;
  }

  /** Advances time to the next pending event; false if there is none. */
  advanceToNext(): boolean {
    if (this.pending.length === 0) return false;
    this.nowMs = Math.min(...this.pending.map(p => p.dueMs));
    return true;
  }

  private push(pending: PendingEvent): void {
    this.pending.push(pending);
  }

  private remove(pending: PendingEvent): PendingEvent {
    this.pending.splice(this.pending.indexOf(pending), 1);
    return pending;
  }

  private isDue({owner, dueMs}: PendingEvent): boolean {
    return ready(owner) && dueMs <= this.nowMs;
  }
}
