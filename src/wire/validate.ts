/**
 * Validation of received messages.
 *
 * Two kinds of message would corrupt the state of the task that handles them:
 * those of a kind that this release does not know, which a newer release may
 * send, and those with a nonsensical value, such as a deadline that is not a
 * number. They are dropped on receipt, so that no task has to handle them.
 */
import {Grant, Heartbeat, Load, Offer, RankState, Start} from './messages';

export type CallName = 'Link' | 'Gossip' | 'Group';

/** Whether the payload of one kind of message is valid. */
type Validator = (member: never) => boolean;
type Validators = Readonly<Record<string, Validator>>;

interface ValidatorsBySide {
  /** For messages that the server of the call receives. */
  readonly server: Validators;
  readonly client: Validators;
}

interface ReceivedMessage {
  readonly kind?: string;
  readonly [member: string]: unknown;
}

const acceptAny: Validator = () => true;
const areFinite = (...values: readonly number[]) =>
  values.every(Number.isFinite);

const isTargetKind = (kind: string) => kind === 'model' || kind === 'service';

function isValidOffer({targetKind, deadlineMs}: Offer): boolean {
  return isTargetKind(targetKind) && areFinite(deadlineMs);
}

function isValidStart(start: Start): boolean {
  return !start.offer || isValidOffer(start.offer);
}

function isValidHeartbeat({confirmedMs, members}: Heartbeat): boolean {
  return areFinite(confirmedMs) && members.every(m => areFinite(m.heardMs));
}

const GOSSIP_VALIDATORS: Validators = {
  heartbeat: isValidHeartbeat,
  rulesWanted: acceptAny,
  rulesFile: acceptAny,
  rulesPatch: acceptAny,
};

const VALIDATORS: Readonly<Record<CallName, ValidatorsBySide>> = {
  Link: {
    server: {
      hello: acceptAny,
      offer: isValidOffer,
      withdraw: acceptAny,
      start: isValidStart,
      cancel: acceptAny,
      credit: acceptAny,
      ask: acceptAny,
      standing: acceptAny,
    },
    client: {
      hello: ({targetKind}: {readonly targetKind: string}) =>
        isTargetKind(targetKind),
      grant: ({expiresMs}: Grant) => areFinite(expiresMs),
      refuse: acceptAny,
      revoke: acceptAny,
      frames: acceptAny,
      failed: acceptAny,
      answer: acceptAny,
      load: ({stepMs}: Load) => areFinite(stepMs),
    },
  },
  Gossip: {server: GOSSIP_VALIDATORS, client: GOSSIP_VALIDATORS},
  Group: {
    server: {
      prepare: acceptAny,
      activate: acceptAny,
      release: acceptAny,
      probe: acceptAny,
    },
    client: {
      ready: acceptAny,
      refused: acceptAny,
      state: ({stepMs, rankMs}: RankState) => areFinite(stepMs, ...rankMs),
    },
  },
};

/** Whether a message received on one side of a call may be handled. */
export function isValidMessage(
  call: CallName,
  side: keyof ValidatorsBySide,
  message: object,
): boolean {
  const received = message as ReceivedMessage;
  const checks = VALIDATORS[call][side];
  const {kind} = received;
  if (kind === undefined || !Object.hasOwn(checks, kind)) return false;
  return checks[kind]!(received[kind] as never);
}
