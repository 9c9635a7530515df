/**
 * The bodies of requests that wait for a grant, in bytes of each account.
 *
 * Slow endpoints must not make one account's waiting requests fill the
 * entry's memory, so what an account may have waiting is bounded.
 */
import {fits} from '../streams/window';
import {ActiveRequest} from './activerequest';
import {IncomingRequest} from './submission';

export class QueuedBodies {
  private readonly bytes = new Map<string, number>();

  /** Whether an account may have one more request waiting. */
  hasRoomFor(limitBytes: number, {account, body}: IncomingRequest): boolean {
    return fits(this.bytes, account, body.length, limitBytes);
  }

  add({account, body}: IncomingRequest): void {
    this.adjust(account, body.length);
  }

  /** Counts a request once, however often it is told. */
  remove(active: ActiveRequest): void {
    if (!active.queued) return;
    active.queued = false;
    const {account, body} = active.request;
    this.adjust(account, -body.length);
  }

  private adjust(account: string, bytes: number): void {
    const now = (this.bytes.get(account) ?? 0) + bytes;
    if (now > 0) this.bytes.set(account, now);
    else this.bytes.delete(account);
  }
}
