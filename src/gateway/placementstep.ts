/**
 * What becomes of a request that is to be placed: it is sent, waits or is
 * refused.
 *
 * Load pattern: while all endpoints are full or a group is broken, requests keep
 * arriving. One whose caller can retry in time is refused while there is no
 * endpoint at all; others wait, and no request overtakes those that wait.
 */
import {Placement} from './endpointchoice';
import {WaitLimit} from './waitlimit';

/** All endpoints have said that they take no new requests. */
export interface Unavailable {
  readonly kind: 'unavailable';
  /** Time until the first of them may get requests again; may be infinite. */
  readonly forMs: number;
}

export type PlacementStep =
  | {readonly kind: 'send'}
  | {
      readonly kind: 'wait';
      readonly because: 'no room' | 'others wait' | 'no endpoint';
    }
  /** `forMs` is the time for which all endpoints are unavailable, if they are. */
  | {readonly kind: 'refuse'; readonly forMs: number};

export function nextPlacementStep(
  choice: Pick<Placement, 'kind'> | Unavailable,
  {callerMayRetry, untilMs}: WaitLimit,
  othersWait: boolean,
  nowMs: number,
): PlacementStep {
  if (choice.kind === 'unavailable')
    return {kind: 'refuse', forMs: choice.forMs};
  if (choice.kind === 'none') {
    return callerMayRetry || untilMs <= nowMs
      ? {kind: 'refuse', forMs: Infinity}
      : {kind: 'wait', because: 'no endpoint'};
  }
  if (choice.kind === 'full') return {kind: 'wait', because: 'no room'};
  return othersWait ? {kind: 'wait', because: 'others wait'} : {kind: 'send'};
}
