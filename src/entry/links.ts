/**
 * The entry's links to sidecars: one gRPC `Link` call to each sidecar of its
 * subset, opened and closed as the directory changes.
 */
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {Directory} from '../membership/directory';
import {Timeline} from '../observe/timeline';
import {InstanceRecord} from '../platform/client';
import {PeerSettings} from '../settings/schema';
import {
  EntryHello,
  EntryPayload,
  Load,
  SidecarHello,
  SidecarPayload,
} from '../wire/messages';
import {Connection} from '../wire/client';
import {Channel} from '../wire/server';

/** A sidecar that has sent its hello and its load on an open link. */
export interface LinkedSidecar {
  readonly hello: SidecarHello;
  readonly load: Load;
}

export interface LinkEvents {
  message(sidecar: string, message: SidecarPayload): void;
  lost(sidecar: string): void;
  /** Nothing was received for `SILENT_AFTER_MS`; the link is still open. */
  silent(sidecar: string): void;
}

/** Chooses those of the known sidecars that this entry links to. */
export type ChooseSubset = (
  sidecars: readonly InstanceRecord[],
) => readonly InstanceRecord[];

interface Link {
  readonly connection: Connection<SidecarPayload, EntryPayload>;
  readonly instance: string;
  channel: Channel<EntryPayload> | undefined;
  hello: SidecarHello | undefined;
  load: Load | undefined;
  lastReceivedMs: number;
  silent: boolean;
}

/** A sidecar that sends nothing for this long gets no new offers. */
export const SILENT_AFTER_MS = 1_000;
const SILENCE_CHECK_INTERVAL_MS = 250;

export class SidecarLinks {
  private readonly links = new Map<string, Link>();
  private events: LinkEvents = {
    message: () => {},
    lost: () => {},
    silent: () => {},
  };
  private checkTimer: Timer | undefined;
  private lastCheckMs = 0;

  constructor(
    private readonly directory: Directory,
    private readonly settings: PeerSettings,
    private readonly clock: Clock,
    private readonly timeline: Timeline,
    private readonly hello: () => EntryHello,
    private readonly subset: ChooseSubset,
  ) {}

  async start(): Promise<void> {
    this.lastCheckMs = this.clock.elapsedMs();
    this.checkTimer = repeatEvery(this.clock, SILENCE_CHECK_INTERVAL_MS, () =>
      this.reportSilentLinks(),
    );
    this.directory.watch(() => this.refreshLinks());
    this.refreshLinks();
  }

  async stop(): Promise<void> {
    this.checkTimer?.cancel();
    for (const link of this.links.values()) link.connection.close();
    this.links.clear();
  }

  listen(events: LinkEvents): void {
    this.events = events;
  }

  /** Sidecars that can get offers: known hello and load, and not silent. */
  linked(): readonly LinkedSidecar[] {
    const found: LinkedSidecar[] = [];
    for (const {hello, load, silent} of this.links.values()) {
      if (hello && load && !silent) found.push({hello, load});
    }
    return found;
  }

  /** The incarnation at the other end of an open link, or ''. */
  incarnation(sidecar: string): string {
    return this.links.get(sidecar)?.hello?.incarnation ?? '';
  }

  /** Sends on an open link; false when there is none. */
  send(sidecar: string, message: EntryPayload): boolean {
    const link = this.links.get(sidecar);
    if (!link?.channel || !link.hello) return false;
    link.channel.send(message);
    return true;
  }

  private reportSilentLinks(): void {
    const now = this.clock.elapsedMs();
    const checkDelayed = now - this.lastCheckMs > 2 * SILENCE_CHECK_INTERVAL_MS;
    this.lastCheckMs = now;
    // This process was paused itself, and messages that arrived meanwhile have
    // not been read yet.
    if (checkDelayed) return;
    for (const link of this.links.values()) {
      const expired = link.hello && now - link.lastReceivedMs > SILENT_AFTER_MS;
      if (!expired || link.silent) continue;
      link.silent = true;
      this.events.silent(link.instance);
    }
  }

  private refreshLinks(): void {
    const sidecars = this.directory
      .instances()
      .filter(record => record.role === 'sidecar');
    const wanted = new Map(
      this.subset(sidecars).map(record => [record.instance, record]),
    );
    for (const [instance, link] of this.links) {
      const sameAddress =
        wanted.get(instance)?.address === link.connection.address;
      if (!sameAddress) this.closeLink(link);
    }
    for (const record of wanted.values()) {
      if (!this.links.has(record.instance)) this.openLink(record);
    }
  }

  private openLink({instance, address}: InstanceRecord): void {
    // A closed connection may report its end after it has been replaced.
    const isCurrent = () => this.links.get(instance)?.connection === connection;
    const connection: Connection<SidecarPayload, EntryPayload> = new Connection(
      address,
      'Link',
      this.settings,
      this.clock,
      this.timeline,
      {
        opened: channel => this.linkOpened(instance, channel),
        message: message => {
          if (isCurrent()) this.messageReceived(instance, message);
        },
        lost: () => {
          if (isCurrent()) this.linkLost(instance);
        },
      },
    );
    const previous = this.links.get(instance);
    this.links.set(instance, {
      connection,
      instance,
      channel: previous?.channel ?? this.earlyChannels.get(instance),
      hello: undefined,
      load: undefined,
      lastReceivedMs: this.clock.elapsedMs(),
      silent: false,
    });
    this.earlyChannels.delete(instance);
  }

  /** Channels of connections that opened before their link was registered. */
  private readonly earlyChannels = new Map<string, Channel<EntryPayload>>();

  private linkOpened(instance: string, channel: Channel<EntryPayload>): void {
    channel.send({kind: 'hello', hello: this.hello()});
    const link = this.links.get(instance);
    if (link) link.channel = channel;
    else this.earlyChannels.set(instance, channel);
  }

  private messageReceived(instance: string, message: SidecarPayload): void {
    const link = this.links.get(instance);
    if (!link) return;
    link.lastReceivedMs = this.clock.elapsedMs();
    link.silent = false;
    if (message.kind === 'hello') link.hello = message.hello;
    if (message.kind === 'load') link.load = message.load;
    this.events.message(instance, message);
  }

  private linkLost(instance: string): void {
    const link = this.links.get(instance);
    if (!link) return;
    link.channel = undefined;
    link.hello = undefined;
    link.load = undefined;
    this.events.lost(instance);
  }

  private closeLink(link: Link): void {
    this.links.delete(link.instance);
    link.connection.close();
    this.events.lost(link.instance);
  }
}
