/**
 * State, messages and effects of the distribution decision.
 *
 * They are apart from the decision because its two jobs, learning which
 * version is accepted (`distribution.ts`) and getting that version's text
 * (`fetch.ts`), work on the same state.
 */
import {List, Map, Set} from 'immutable';
import {Decision} from '../kernel/decision';
import {PeerKind} from '../wire/messages';

export interface VersionRef {
  readonly version: number;
  /** Hex SHA-256 of the file's text; empty for version 0. */
  readonly hash: string;
}

export interface RulesText extends VersionRef {
  readonly text: string;
}

export interface PeerRules extends VersionRef {
  readonly zone: string;
}

export interface DistributionSettings {
  readonly instance: string;
  readonly zone: string;
  /** Why this release cannot read a text, or undefined if it can. */
  readonly findFault: (text: string) => string | undefined;
}

export type DistributionMessage =
  | {readonly kind: 'tick'}
  /** What the membership task knows. */
  | {
      readonly kind: 'members';
      readonly poller: boolean;
      readonly candidates: number;
    }
  /** A heartbeat, from any peer. */
  | {
      readonly kind: 'peer';
      readonly instance: string;
      readonly rules: PeerRules;
      /** The latest read of the platform that the peer knows of. */
      readonly confirmedMs: number;
    }
  | {readonly kind: 'peerLost'; readonly instance: string}
  | {
      readonly kind: 'headRead';
      readonly head: VersionRef;
      readonly readSentMs: number;
    }
  | {readonly kind: 'headFailed'}
  /** The object store's answer; no text where it failed or has none. */
  | {
      readonly kind: 'object';
      readonly wanted: VersionRef;
      readonly text?: string;
    }
  | {
      readonly kind: 'gossip';
      readonly peer: string;
      readonly message: PeerKind;
    };

export type DistributionEffect =
  | {readonly kind: 'readHead'}
  | {readonly kind: 'readObject'; readonly wanted: VersionRef}
  | {readonly kind: 'send'; readonly peer: string; readonly message: PeerKind}
  /** Put on the board and announced to all peers at once. */
  | {readonly kind: 'adopt'; readonly rules: RulesText; readonly from: string}
  | {readonly kind: 'ready'}
  /** Why the process is not ready; sent when the reason changes. */
  | {readonly kind: 'waiting'; readonly reason: string}
  | {readonly kind: 'refused'; readonly from: string; readonly reason: string};

export interface PendingFetch {
  readonly wanted: VersionRef;
  readonly source: string;
  readonly sinceMs: number;
}

export interface DistributionState {
  readonly settings: DistributionSettings;
  readonly startedMs: number;
  readonly inForce: RulesText;
  /** Bases from which differences are made, the newest first. */
  readonly patchBases: List<RulesText>;
  readonly peers: Map<string, PeerRules>;
  /**
   * The highest version heard of since the start. It is kept when the peer
   * that named it restarts or is lost: the version stays accepted.
   */
  readonly highestHeard: VersionRef;
  /** Whether the head was ever read. */
  readonly headEverRead: boolean;
  readonly platform: 'unread' | 'read' | 'failed';
  readonly lastReadMs?: number;
  readonly readInFlight: boolean;
  readonly fetch?: PendingFetch;
  /** Sources that did not deliver the wanted version. */
  readonly failedSources: Set<string>;
  /** When all sources had been tried in vain. */
  readonly allFailedMs?: number;
  readonly poller: boolean;
  readonly candidates?: number;
  /**
   * The latest time for which this process knows that nothing above the
   * version in force was accepted: when it, or a process from which it has
   * word, sent the read of the platform that said so. 0 for never.
   */
  readonly confirmedMs: number;
  /** A version that this release cannot read. */
  readonly unreadable?: VersionRef & {readonly reason: string};
  readonly ready: boolean;
  readonly reason: string;
}

export type Step = Decision<DistributionState, DistributionEffect>;

const NO_RULES_TEXT: RulesText = {version: 0, hash: '', text: ''};

export function initialDistribution(
  settings: DistributionSettings,
  now: Date,
): DistributionState {
  return {
    settings,
    startedMs: now.getTime(),
    inForce: NO_RULES_TEXT,
    patchBases: List(),
    peers: Map(),
    highestHeard: NO_RULES_TEXT,
    headEverRead: false,
    platform: 'unread',
    readInFlight: false,
    failedSources: Set(),
    poller: false,
    confirmedMs: 0,
    ready: false,
    reason: '',
  };
}

export function stepOf(
  state: DistributionState,
  ...effects: readonly DistributionEffect[]
): Step {
  return {state, effects};
}

/** Wall time may go back; an interval that seems negative counts as over. */
export function hasElapsed(
  sinceMs: number,
  nowMs: number,
  limitMs: number,
): boolean {
  return nowMs - sinceMs >= limitMs || nowMs < sinceMs;
}

export function higherVersion(a: VersionRef, b: VersionRef): VersionRef {
  return b.version > a.version ? b : a;
}

/** The highest version that this process knows to be accepted. */
export function highestKnownVersion(state: DistributionState): VersionRef {
  return higherVersion(state.inForce, state.highestHeard);
}
