/**
 * Asks the sidecar that a claim row names for the outcome of an attempt, on a
 * separate connection.
 *
 * An entry has links to a few sidecars only, and the one that the row names
 * may not be among them. The sidecar's first message on a connection names
 * its incarnation. The query is only sent to the incarnation that the row
 * names: any other never saw the attempt and would answer "not run".
 */
import {Clock} from '../kernel/clock';
import {Directory} from '../membership/directory';
import {Timeline} from '../observe/timeline';
import {PeerSettings} from '../settings/schema';
import {Connection} from '../wire/client';
import {
  Answer,
  AttemptRef,
  EntryHello,
  EntryPayload,
  SidecarPayload,
} from '../wire/messages';
import {Channel} from '../wire/server';
import {AskOutcome} from './claim';
import {SidecarQuery} from './task';

export interface SidecarQueryParts {
  readonly directory: Directory;
  readonly peers: PeerSettings;
  readonly clock: Clock;
  readonly timeline: Timeline;
  readonly hello: () => EntryHello;
}

const ANSWER_TIMEOUT_MS = 500;

export function createSidecarQuery(parts: SidecarQueryParts): SidecarQuery {
  return (sidecar, incarnation, ref) => {
    const found = parts.directory
      .instances()
      .find(r => r.role === 'sidecar' && r.instance === sidecar);
    if (!found) return Promise.resolve({kind: 'unreachable'});
    return askAtAddress(parts, found.address, incarnation, ref);
  };
}

function askAtAddress(
  parts: SidecarQueryParts,
  address: string,
  incarnation: string,
  ref: AttemptRef,
): Promise<AskOutcome> {
  const {peers, clock, timeline} = parts;
  return new Promise(resolve => {
    let channel: Channel<EntryPayload> | undefined;
    const connection = new Connection<SidecarPayload, EntryPayload>(
      address,
      'Link',
      peers,
      clock,
      timeline,
      {
        opened: opened => {
          channel = opened;
          opened.send({kind: 'hello', hello: parts.hello()});
        },
        message: message => {
          if (message.kind === 'hello') {
            const same = message.hello.incarnation === incarnation;
            if (same) channel!.send({kind: 'ask', ask: ref});
            else finish({kind: 'unknown'});
          }
          if (message.kind === 'answer') finish(toAskOutcome(message.answer));
        },
        lost: () => undefined,
      },
    );
    const timer = clock.after(ANSWER_TIMEOUT_MS, () =>
      finish({kind: 'unreachable'}),
    );
    function finish(outcome: AskOutcome): void {
      timer.cancel();
      connection.close();
      resolve(outcome);
    }
  });
}

function toAskOutcome({outcome, status, body, headers}: Answer): AskOutcome {
  if (outcome !== 'ran') return {kind: outcome};
  return {kind: 'ran', answer: {status, body, headers}};
}
