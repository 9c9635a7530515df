/**
 * The coordinator's connections to the sidecars of its group.
 *
 * Each sidecar writes its instance to the row `group/<name>/<index>` when it
 * starts. The coordinator looks up the addresses in the platform's list of
 * instances. It repeats the lookup only while a sidecar cannot be reached,
 * because thousands of groups share the table.
 */
import {Clock} from '../kernel/clock';
import {Timeline} from '../observe/timeline';
import {Platform} from '../platform/client';
import {PeerSettings} from '../settings/schema';
import {Connection} from '../wire/client';
import {CoordinatorPayload, RankPayload} from '../wire/messages';
import {Channel} from '../wire/server';

export interface MemberConnectionsParts {
  readonly group: string;
  readonly settings: PeerSettings;
  readonly platform: Platform;
  readonly clock: Clock;
  readonly timeline: Timeline;
  onMessage(sidecar: string, message: RankPayload): void;
}

interface Member {
  readonly address: string;
  readonly connection: Connection<RankPayload, CoordinatorPayload>;
  channel: Channel<CoordinatorPayload> | undefined;
  /** Whether the sidecar has sent a message since the stream was opened. */
  hasAnswered: boolean;
}

/** Key of the row that names the instance of a group's sidecar. */
export function memberKey(group: string, sidecar: string): string {
  return `group/${group}/${sidecar}`;
}

export class MemberConnections {
  private readonly members = new Map<string, Member>();
  private lookupInFlight = false;

  constructor(private readonly parts: MemberConnectionsParts) {}

  send(sidecar: string, message: CoordinatorPayload): void {
    this.members.get(sidecar)?.channel?.send(message);
  }

  /** Opens missing connections, and reopens those whose address changed. */
  async openMissing(sidecars: readonly string[]): Promise<void> {
    if (
      this.lookupInFlight ||
      sidecars.every(s => this.members.get(s)?.hasAnswered)
    )
      return;
    this.lookupInFlight = true;
    try {
      const {platform, group} = this.parts;
      const rows = await platform.list(`group/${group}/`);
      const instances = await platform.instances();
      for (const sidecar of sidecars) {
        const row = rows.find(r => r.key === memberKey(group, sidecar));
        const {instance} = (row?.value ?? {}) as {instance?: string};
        const record = instances.find(i => i.instance === instance);
        if (record) this.connect(sidecar, record.address);
      }
    } finally {
      this.lookupInFlight = false;
    }
  }

  close(): void {
    for (const {connection} of this.members.values()) connection.close();
    this.members.clear();
  }

  private connect(sidecar: string, address: string): void {
    const old = this.members.get(sidecar);
    if (old?.address === address) return;
    old?.connection.close();
    const {settings, clock, timeline} = this.parts;
    // `opened` is called before the constructor returns.
    let channel: Channel<CoordinatorPayload> | undefined;
    const currentMember = () => {
      const member = this.members.get(sidecar);
      return member?.connection === connection ? member : undefined;
    };
    const connection: Connection<RankPayload, CoordinatorPayload> =
      new Connection<RankPayload, CoordinatorPayload>(
        address,
        'Group',
        settings,
        clock,
        timeline,
        {
          opened: opened => {
            channel = opened;
            const member = this.members.get(sidecar);
            if (member?.address === address) member.channel = opened;
          },
          message: message => {
            const member = currentMember();
            if (!member) return;
            member.hasAnswered = true;
            this.parts.onMessage(sidecar, message);
          },
          lost: () => {
            const member = currentMember();
            if (!member) return;
            member.hasAnswered = false;
            member.channel = undefined;
          },
        },
      );
    this.members.set(sidecar, {
      address,
      connection,
      channel,
      hasAnswered: false,
    });
  }
}
