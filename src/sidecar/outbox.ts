/**
 * The sidecar's links to entries, and the messages sent on them.
 *
 * Frames are batched for each link, because one message with many frames costs
 * far less than many messages. Everything else is sent at once.
 */
import {EntryId} from '../capacity/admission';
import {Clock} from '../kernel/clock';
import {Frame, SidecarPayload} from '../wire/messages';
import {Channel} from '../wire/server';

/** How long frames are collected for a batch. */
const FLUSH_DELAY_MS = 1;

interface Link {
  readonly channel: Channel<SidecarPayload>;
  frames: Frame[];
}

export class Outbox {
  private readonly links = new Map<EntryId, Link>();
  private nextLinkId = 1;
  private flushScheduled = false;

  constructor(private readonly clock: Clock) {}

  open(channel: Channel<SidecarPayload>): EntryId {
    const entry = `link-${this.nextLinkId++}`;
    this.links.set(entry, {channel, frames: []});
    return entry;
  }

  close(entry: EntryId): void {
    this.links.delete(entry);
  }

  send(entry: EntryId, message: SidecarPayload): void {
    this.links.get(entry)?.channel.send(message);
  }

  broadcast(message: SidecarPayload): void {
    for (const {channel} of this.links.values()) channel.send(message);
  }

  /** Queues a frame for the next batch of its link, within `FLUSH_MS`. */
  queueFrame(entry: EntryId, frame: Frame): void {
    const link = this.links.get(entry);
    if (!link) return;
    link.frames.push(frame);
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    this.clock.after(FLUSH_DELAY_MS, () => this.flush());
  }

  flush(): void {
    this.flushScheduled = false;
    for (const link of this.links.values()) {
      if (link.frames.length === 0) continue;
      const {frames} = link;
      link.frames = [];
      link.channel.send({kind: 'frames', frames: {frames}});
    }
  }
}
