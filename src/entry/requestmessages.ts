/**
 * Translates a sidecar's messages into messages to single requests.
 *
 * The head of a service's answer is checked here, before a request sees it. The
 * sidecar has checked it too, but may run another release.
 */
import {answerHeadFault} from '../kernel/answerhead';
import {Failed, FrameBatch, Grant, Header, Refuse} from '../wire/messages';
import {RequestMessage} from './requeststate';

/** The messages of a link that are passed on to requests by their id. */
export type SidecarRequestMessage =
  | {readonly kind: 'grant'; readonly grant: Grant}
  | {readonly kind: 'refuse'; readonly refuse: Refuse}
  | {readonly kind: 'failed'; readonly failed: Failed}
  | {readonly kind: 'frames'; readonly frames: FrameBatch};

/** A message and the request that it is for. */
export interface AddressedMessage {
  readonly requestId: string;
  readonly message: RequestMessage;
}

/** `incarnation` is that of the sidecar at the other end of the link. */
export function toRequestMessages(
  sidecar: string,
  incarnation: string,
  received: SidecarRequestMessage,
): readonly AddressedMessage[] {
  switch (received.kind) {
    case 'grant': {
      const {grant} = received;
      const message = {kind: 'grant', sidecar, incarnation, grant} as const;
      return [{requestId: grant.requestId, message}];
    }
    case 'refuse': {
      const {refuse} = received;
      const message = {kind: 'refuse', sidecar, refuse} as const;
      return [{requestId: refuse.requestId, message}];
    }
    case 'failed': {
      const {failed} = received;
      const message = {kind: 'failed', sidecar, failed} as const;
      return [{requestId: failed.requestId, message}];
    }
    case 'frames':
      return received.frames.frames.map(frame => ({
        requestId: frame.requestId,
        message: {kind: 'frame', sidecar, frame},
      }));
  }
}

/**
 * Replaces a message that begins a service's answer with a head that cannot be
 * written to a caller. Whether the request ran is then unknown.
 */
export function replaceUnfitAnswer(message: RequestMessage): RequestMessage {
  const {kind} = message;
  if (kind === 'frame' && message.frame.offset === 0) {
    const {sidecar, frame} = message;
    const reason = headFault(frame);
    if (reason === undefined) return message;
    const {requestId, attempt} = frame;
    const failed: Failed = {requestId, attempt, run: 'unknown', reason};
    return {kind: 'failed', sidecar, failed};
  }
  if (kind === 'answer' && message.answer.outcome === 'ran') {
    const {answer} = message;
    if (headFault(answer) === undefined) return message;
    return {...message, answer: {...answer, outcome: 'unknown'}};
  }
  return message;
}

function headFault(head: {
  readonly status: number;
  readonly headers: readonly Header[];
}): string | undefined {
  const rawHeaders = head.headers.flatMap(({name, value}) => [name, value]);
  return answerHeadFault(head.status, rawHeaders);
}
