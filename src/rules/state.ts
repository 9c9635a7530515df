/**
 * State, messages and effects of the distribution decision.
 *
 * They have a file of their own because both parts of the decision, learning
 * which version is accepted (`distribution.ts`) and fetching its text
 * (`fetch.ts`), use the same state.
 */
import {List, Map, Set} from 'immutable';
import {Decision} from '../kernel/decision';
import {PeerPayload} from '../wire/messages';

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
  /** Returns why this release cannot read a text, or undefined if it can. */
  readonly findFault: (text: string) => string | undefined;
}

export type DistributionMessage =
  | {readonly kind: 'tick'}
  /**
   * Whether this process polls the head row, and how many peers it could hear
   * from, as the membership task knows it.
   */
  | {
      readonly kind: 'members';
      readonly poller: boolean;
      readonly candidates: number;
    }
  /** A heartbeat of a peer. */
  | {
      readonly kind: 'peer';
      readonly instance: string;
      readonly rules: PeerRules;
      /** When the latest confirming read that the peer knows of was sent. */
      readonly confirmedMs: number;
    }
  | {readonly kind: 'peerLost'; readonly instance: string}
  | {
      readonly kind: 'headRead';
      readonly head: VersionRef;
      readonly readSentMs: number;
    }
  | {readonly kind: 'headFailed'}
  /** The object store's answer; without a text if it failed or has none. */
  | {
      readonly kind: 'object';
      readonly wanted: VersionRef;
      readonly text?: string;
    }
  | {
      readonly kind: 'gossip';
      readonly peer: string;
      readonly message: PeerPayload;
    };

export type DistributionEffect =
  | {readonly kind: 'readHead'}
  | {readonly kind: 'readObject'; readonly wanted: VersionRef}
  | {
      readonly kind: 'send';
      readonly peer: string;
      readonly message: PeerPayload;
    }
  /** Make a version the active one and announce it to all peers at once. */
  | {readonly kind: 'adopt'; readonly rules: RulesText; readonly from: string}
  | {readonly kind: 'ready'}
  /** The process is not ready; issued when the reason changes. */
  | {readonly kind: 'waiting'; readonly reason: string}
  | {readonly kind: 'refused'; readonly from: string; readonly reason: string};

/** A request for a text that is not answered yet. */
export interface PendingFetch {
  readonly wanted: VersionRef;
  /** The instance of a peer, or `platform` for the object store. */
  readonly source: string;
  readonly sinceMs: number;
}

export interface DistributionState {
  readonly settings: DistributionSettings;
  readonly startedMs: number;
  readonly inForce: RulesText;
  /** Versions against which line differences are made, newest first. */
  readonly patchBases: List<RulesText>;
  readonly peers: Map<string, PeerRules>;
  /**
   * The highest version heard of since the start. It is kept when the peer
   * that announced it restarts or is lost, because it stays accepted.
   */
  readonly highestHeard: VersionRef;
  /** Whether a read of the head ever succeeded. */
  readonly headEverRead: boolean;
  /** The result of the last read of the head. */
  readonly platform: 'unread' | 'read' | 'failed';
  /** When the last read of the head was sent. */
  readonly lastReadMs?: number;
  readonly readInFlight: boolean;
  readonly fetch?: PendingFetch;
  /** Sources that failed to deliver the wanted version. */
  readonly failedSources: Set<string>;
  /** When every source had failed; the next attempt is delayed from then. */
  readonly allFailedMs?: number;
  /** Whether this process polls the head row for its zone. */
  readonly poller: boolean;
  /** Peers that this process could hear from; absent until it is told. */
  readonly candidates?: number;
  /**
   * The latest time for which this process knows that no version above the
   * one in force was accepted: when this process, or one whose confirmation
   * reached it, sent the read of the platform that showed so. 0 for never.
   */
  readonly confirmedMs: number;
  /** The last version that this release could not read. */
  readonly unreadable?: VersionRef & {readonly reason: string};
  readonly ready: boolean;
  /** Why the process is not ready. */
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

/** The wall clock may go back; a negative interval counts as elapsed. */
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

/** Returns the highest version that this process knows to be accepted. */
export function highestKnownVersion(state: DistributionState): VersionRef {
  return higherVersion(state.inForce, state.highestHeard);
}
