/**
 * Counts the body bytes of requests that wait for a grant, for each account.
 *
 * While endpoints are slow, the waiting requests of one account could fill the
 * entry's memory, so the queued bytes of an account are bounded.
 */
import {fitsQueueLimit} from '../streams/flowcontrol';
import {ActiveRequest} from './activerequest';
import {IncomingRequest} from './submission';

export class QueuedBodies {
  private readonly bytes = new Map<string, number>();

  /** Whether the body fits into its account's limit of queued bytes. */
  hasRoomFor(limitBytes: number, {account, body}: IncomingRequest): boolean {
    return fitsQueueLimit(this.bytes, account, body.length, limitBytes);
  }

  add({account, body}: IncomingRequest): void {
    this.adjust(account, body.length);
  }

  /** Removes a request's body; does nothing if it was removed before. */
  remove(active: ActiveRequest): void {
    if (!active.holdsQueuedBytes) return;
    active.holdsQueuedBytes = false;
    const {account, body} = active.request;
    this.adjust(account, -body.length);
  }

  private adjust(account: string, bytes: number): void {
    const total = (this.bytes.get(account) ?? 0) + bytes;
    if (total > 0) this.bytes.set(account, total);
    else this.bytes.delete(account);
  }
}
