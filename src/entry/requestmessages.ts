/** Translates a sidecar's messages into messages to single requests. */
import {Failed, FrameBatch, Grant, Refuse} from '../wire/messages';
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
