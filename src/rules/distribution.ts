/**
 * Decides which version of the rule file a process has in force.
 *
 * A process learns of a version from the platform's head row and from the
 * heartbeats of peers. It gets the text from a peer, as a line difference or
 * as a whole file, or from the object store. Only versions that the platform
 * accepted are announced, and a version is only replaced by a higher one, so
 * old messages and stale reads need no special handling.
 */
import {
  timeOutFetch,
  startFetch,
  handleGossip,
  applyObjectAnswer,
  removePeer,
} from './fetch';
import {sha256Hex} from './patch';
import {
  DistributionMessage,
  DistributionState,
  higherVersion,
  highestKnownVersion,
  stepOf,
  hasElapsed,
  Step,
  VersionRef,
} from './state';

export {highestKnownVersion, initialDistribution} from './state';
export type {
  DistributionEffect,
  DistributionMessage,
  DistributionSettings,
  DistributionState,
  PeerRules,
  RulesText,
  VersionRef,
} from './state';

/** Interval of head reads by pollers and by processes that are not ready. */
export const POLL_MS = 500;
/** Longest interval of head reads by the other processes. */
export const IDLE_POLL_MS = 30_000;
const HEAD_READ_TIMEOUT_MS = 10_000;
/** How long a new process waits for heartbeats of peers: two intervals. */
const PEER_WAIT_MS = 2_000;

export function decideDistribution(
  state: DistributionState,
  message: DistributionMessage,
  now: Date,
): Step {
  const nowMs = now.getTime();
  const handled = applyMessage(state, message, nowMs);
  const fetching = startFetch(handled.state, nowMs);
  const settled = updateReadiness(fetching.state, nowMs);
  const effects = [...handled.effects, ...fetching.effects, ...settled.effects];
  return {state: settled.state, effects};
}

function applyMessage(
  state: DistributionState,
  message: DistributionMessage,
  nowMs: number,
): Step {
  switch (message.kind) {
    case 'tick':
      return poll(timeOutFetch(state, nowMs), nowMs);
    case 'members': {
      const {poller, candidates} = message;
      return stepOf({...state, poller, candidates});
    }
    case 'peer':
      return stepOf(applyPeerHeartbeat(state, message, nowMs));
    case 'peerLost':
      return stepOf(removePeer(state, message.instance));
    case 'headRead':
      return stepOf(applyHeadRead(state, message.head, message.readSentMs));
    case 'headFailed':
      return stepOf({...state, readInFlight: false, platform: 'failed'});
    case 'object':
      return applyObjectAnswer(state, message.wanted, message.text);
    case 'gossip':
      return handleGossip(state, message.peer, message.message, nowMs);
  }
}

function poll(state: DistributionState, nowMs: number): Step {
  const {lastReadMs} = state;
  const frequent = state.poller || !state.ready;
  const intervalMs = frequent ? POLL_MS : idlePollMs(state.settings.instance);
  const limitMs = state.readInFlight ? HEAD_READ_TIMEOUT_MS : intervalMs;
  if (lastReadMs !== undefined && !hasElapsed(lastReadMs, nowMs, limitMs)) {
    return stepOf(state);
  }
  const next = {...state, readInFlight: true, lastReadMs: nowMs};
  return stepOf(next, {kind: 'readHead'});
}

/** Differs between instances, so that they do not all read at once. */
function idlePollMs(instance: string): number {
  const fraction = parseInt(sha256Hex(instance).slice(0, 4), 16) / 0xffff;
  return IDLE_POLL_MS * (0.75 + fraction / 4);
}

function applyHeadRead(
  state: DistributionState,
  head: VersionRef,
  readSentMs: number,
): DistributionState {
  const confirmedMs = isInForce(state, head)
    ? Math.max(state.confirmedMs, readSentMs)
    : state.confirmedMs;
  return {
    ...state,
    readInFlight: false,
    platform: 'read',
    headEverRead: true,
    highestHeard: higherVersion(state.highestHeard, head),
    confirmedMs,
  };
}

function isInForce(state: DistributionState, ref: VersionRef): boolean {
  const {version, hash} = state.inForce;
  return ref.version === version && ref.hash === hash;
}

function applyPeerHeartbeat(
  state: DistributionState,
  message: DistributionMessage & {readonly kind: 'peer'},
  nowMs: number,
): DistributionState {
  const {instance, rules} = message;
  const peers = state.peers.set(instance, rules);
  const {version, hash} = rules;
  const highestHeard = higherVersion(state.highestHeard, {version, hash});
  if (!isInForce(state, rules)) return {...state, peers, highestHeard};
  // The peer passes on the time of a read of the platform. The heartbeat by
  // itself confirms nothing: the peer's zone may be cut off with this one.
  const readMs = Math.min(nowMs, message.confirmedMs);
  const confirmedMs = Math.max(state.confirmedMs, readMs);
  return {...state, peers, highestHeard, confirmedMs};
}

function updateReadiness(state: DistributionState, nowMs: number): Step {
  if (state.ready) return stepOf(state);
  const reason = whyNotReady(state, nowMs);
  if (reason === undefined) {
    return stepOf({...state, ready: true, reason: ''}, {kind: 'ready'});
  }
  if (reason === state.reason) return stepOf(state);
  return stepOf({...state, reason}, {kind: 'waiting', reason});
}

/**
 * Returns why the process is not ready, or undefined if it is. A new process
 * is ready only with the highest version known to the platform and its peers.
 * While the platform is down, a peer at version 0 proves nothing, because it
 * may be as new as this process.
 */
function whyNotReady(
  state: DistributionState,
  nowMs: number,
): string | undefined {
  const wanted = highestKnownVersion(state);
  if (state.unreadable?.hash === wanted.hash && wanted.version > 0) {
    return `this release cannot read version ${wanted.version}`;
  }
  if (wanted.version > state.inForce.version) {
    return `version ${wanted.version} is known and not yet fetched`;
  }
  const peerWaitOver = hasElapsed(state.startedMs, nowMs, PEER_WAIT_MS);
  if (state.headEverRead) {
    const peersHeard = state.peers.size > 0 || state.candidates === 0;
    return peersHeard || peerWaitOver
      ? undefined
      : 'waiting for heartbeats of peers';
  }
  if (state.platform === 'unread') return 'waiting for the platform';
  if (state.inForce.version === 0) {
    return 'the platform is unreachable and no peer has rules; waiting';
  }
  return peerWaitOver ? undefined : 'waiting for heartbeats of peers';
}
