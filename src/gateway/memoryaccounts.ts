/**
 * The memory that a process holds for its callers at present. `callermemory.ts`
 * decides; this module keeps the state on which it decides.
 */
import {BodyHolder, chooseBodiesToShed, countGrantable} from './callermemory';

/** Memory held for the body of one request. */
export interface BodyHolding {
  /** Whether the bytes were added; otherwise this request gives way. */
  grow(bytes: number): boolean;
  recordProgress(bytes: number): void;
  /** From now on the request never gives way. */
  submit(): void;
  /** Has no effect if it was called before. */
  release(): void;
}

interface Entry {
  readonly account: string;
  readonly shed: () => void;
  bytes: number;
  isSubmitted: boolean;
  currentBytes: number;
  previousBytes: number;
}

/** All bodies of requests. */
export class BodyAccount {
  private readonly entries = new Map<number, Entry>();
  private nextId = 0;
  private total = 0;

  constructor(private budgetBytes: number) {}

  get heldBytes(): number {
    return this.total;
  }

  /** Applies to bodies that grow after it. */
  setBudget(bytes: number): void {
    this.budgetBytes = bytes;
  }

  /** `shed` must release the holding; it is called at most once. */
  open(account: string, shed: () => void): BodyHolding {
    const id = this.nextId++;
    const entry: Entry = {
      account,
      shed,
      bytes: 0,
      isSubmitted: false,
      currentBytes: 0,
      previousBytes: 0,
    };
    this.entries.set(id, entry);
    return {
      grow: bytes => this.grow(id, entry, bytes),
      recordProgress: bytes => void (entry.currentBytes += bytes),
      submit: () => void (entry.isSubmitted = true),
      release: () => {
        if (this.entries.delete(id)) this.total -= entry.bytes;
      },
    };
  }

  /** Must be called every second: progress counts for one to two of them. */
  advance(): void {
    for (const entry of this.entries.values()) {
      entry.previousBytes = entry.currentBytes;
      entry.currentBytes = 0;
    }
  }

  private grow(id: number, entry: Entry, bytes: number): boolean {
    if (this.total + bytes > this.budgetBytes) {
      const holders = Array.from(this.entries, toHolder);
      const shed = chooseBodiesToShed(holders, {id, bytes}, this.budgetBytes);
      if (shed.includes(id)) return false;
      for (const other of shed) this.entries.get(other)?.shed();
    }
    entry.bytes += bytes;
    this.total += bytes;
    return true;
  }
}

function toHolder([id, entry]: readonly [number, Entry]): BodyHolder {
  const {account, bytes, isSubmitted, currentBytes, previousBytes} = entry;
  const recentBytes = currentBytes + previousBytes;
  return {id, account, bytes, isSubmitted, recentBytes};
}

/** Memory reserved for one answer. */
export interface AnswerReservation {
  readonly isGranted: boolean;
  /** Gives back what the complete answer does not need. */
  shrinkTo(bytes: number): void;
  /** Has no effect if it was called before. */
  release(): void;
}

/** All answers that are held until they are complete and read. */
export class AnswerAccount {
  /** In the order in which they came. */
  private readonly waiting = new Map<
    object,
    {readonly bytes: number; readonly grant: () => void}
  >();
  private total = 0;

  constructor(private readonly budgetBytes: number) {}

  get heldBytes(): number {
    return this.total;
  }

  /** `onGrant` is called later, unless the result is granted already. */
  reserve(bytes: number, onGrant: () => void): AnswerReservation {
    const key = {};
    let held = 0;
    const grant = () => {
      held = bytes;
      this.total += bytes;
    };
    const giveBack = (kept: number) => {
      if (held <= kept) return;
      this.total -= held - kept;
      held = kept;
      this.grantWaiting();
    };
    let isGranted = false;
    this.waiting.set(key, {
      bytes,
      grant: () => {
        grant();
        if (isGranted) return;
        isGranted = true;
        if (isReturned) onGrant();
      },
    });
    let isReturned = false;
    this.grantWaiting();
    isReturned = true;
    return {
      get isGranted() {
        return isGranted;
      },
      shrinkTo: giveBack,
      release: () => {
        if (this.waiting.delete(key)) return this.grantWaiting();
        giveBack(0);
      },
    };
  }

  private grantWaiting(): void {
    const sizes = Array.from(this.waiting.values(), ({bytes}) => bytes);
    const count = countGrantable(sizes, this.budgetBytes - this.total);
    for (const [key, {grant}] of [...this.waiting].slice(0, count)) {
      this.waiting.delete(key);
      grant();
    }
  }
}
