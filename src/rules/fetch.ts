/**
 * Fetches the text of the highest version that is known to be accepted, and
 * answers the requests of peers.
 *
 * A text comes from a peer as a line difference, or as a whole file from a
 * peer or the object store. It is only put in force when it matches the
 * accepted hash and this release can read it. A source that does not deliver
 * in time is not asked again until all others have been tried.
 */
import {Set} from 'immutable';
import {PeerPayload, RulesWanted} from '../wire/messages';
import {sha256Hex, createLinePatch, applyLinePatch} from './patch';
import {
  DistributionEffect,
  DistributionState,
  PendingFetch,
  highestKnownVersion,
  stepOf,
  hasElapsed,
  RulesText,
  Step,
  VersionRef,
} from './state';

const PEER_FETCH_TIMEOUT_MS = 1_000;
const OBJECT_FETCH_TIMEOUT_MS = 5_000;
/** Delay before the next attempt when all sources have failed. */
const RETRY_DELAY_MS = 500;
/** Recent versions that are kept as bases of line differences. */
const MAX_PATCH_BASES = 8;
const PLATFORM_SOURCE = 'platform';

/** Removes a peer as a source and fails the fetch from it. */
export function removePeer(
  state: DistributionState,
  instance: string,
): DistributionState {
  const peers = state.peers.delete(instance);
  const next = {...state, peers};
  return state.fetch?.source === instance ? markSourceFailed(next) : next;
}

function markSourceFailed(state: DistributionState): DistributionState {
  if (!state.fetch) return state;
  const failedSources = state.failedSources.add(state.fetch.source);
  return {...state, failedSources, fetch: undefined};
}

/** Fails a fetch whose source did not answer in time. */
export function timeOutFetch(
  state: DistributionState,
  nowMs: number,
): DistributionState {
  if (!state.fetch) return state;
  const {source, sinceMs} = state.fetch;
  const limitMs =
    source === PLATFORM_SOURCE
      ? OBJECT_FETCH_TIMEOUT_MS
      : PEER_FETCH_TIMEOUT_MS;
  return hasElapsed(sinceMs, nowMs, limitMs) ? markSourceFailed(state) : state;
}

/** Asks the next source if a version above the one in force is known. */
export function startFetch(state: DistributionState, nowMs: number): Step {
  const wanted = highestKnownVersion(state);
  const upToDate = wanted.version <= state.inForce.version;
  const knownUnreadable = state.unreadable?.hash === wanted.hash;
  if (upToDate)
    return stepOf({...state, failedSources: Set<string>(), fetch: undefined});
  if (state.fetch || knownUnreadable || isBackingOff(state, nowMs))
    return stepOf(state);
  const source = nextSource(state, wanted);
  if (source === undefined) {
    return stepOf({...state, failedSources: Set(), allFailedMs: nowMs});
  }
  const fetch = {wanted, source, sinceMs: nowMs};
  return stepOf({...state, fetch}, fetchEffect(state, fetch));
}

function isBackingOff(
  {allFailedMs}: DistributionState,
  nowMs: number,
): boolean {
  return (
    allFailedMs !== undefined && !hasElapsed(allFailedMs, nowMs, RETRY_DELAY_MS)
  );
}

/**
 * Returns a source of the wanted version: peers of the own zone first, then
 * other peers, then the object store. When none of them is left, returns the
 * peer with the highest version above the one in force.
 */
function nextSource(
  state: DistributionState,
  wanted: VersionRef,
): string | undefined {
  const {zone} = state.settings;
  const newerPeers = state.peers
    .filter((p, id) => isNewer(state, p) && !state.failedSources.has(id))
    .sortBy(p => (p.zone === zone ? 0 : 1));
  const peerWithWanted = newerPeers.findKey(p => p.version >= wanted.version);
  if (peerWithWanted !== undefined) return peerWithWanted;
  if (!state.failedSources.has(PLATFORM_SOURCE)) return PLATFORM_SOURCE;
  return newerPeers
    .sortBy(p => -p.version)
    .keySeq()
    .first();
}

function isNewer({inForce}: DistributionState, ref: VersionRef): boolean {
  return ref.version > inForce.version;
}

function fetchEffect(
  {inForce}: DistributionState,
  {source, wanted}: PendingFetch,
): DistributionEffect {
  if (source === PLATFORM_SOURCE) return {kind: 'readObject', wanted};
  const {version, hash} = inForce;
  return rulesRequest(source, version, hash);
}

/** Requests a text from a peer; an empty hash requests the whole file. */
function rulesRequest(
  peer: string,
  haveVersion: number,
  haveHash: string,
): DistributionEffect {
  const rulesWanted = {haveVersion, haveHash};
  return {kind: 'send', peer, message: {kind: 'rulesWanted', rulesWanted}};
}

/** Handles the object store's answer; `text` is undefined if it has none. */
export function applyObjectAnswer(
  state: DistributionState,
  wanted: VersionRef,
  text: string | undefined,
): Step {
  if (text !== undefined) {
    return acceptText(state, PLATFORM_SOURCE, {...wanted, text});
  }
  const pending = state.fetch?.source === PLATFORM_SOURCE;
  return stepOf(pending ? markSourceFailed(state) : state);
}

/** Handles a peer's request for a text, or the text that it sent. */
export function handleGossip(
  state: DistributionState,
  peer: string,
  message: PeerPayload,
  nowMs: number,
): Step {
  switch (message.kind) {
    case 'rulesWanted':
      return answerRulesWanted(state, peer, message.rulesWanted);
    case 'rulesFile':
      return acceptText(state, peer, message.rulesFile);
    case 'rulesPatch': {
      const {fromHash, patch, version, hash} = message.rulesPatch;
      if (version <= state.inForce.version) return stepOf(state);
      const text =
        fromHash === state.inForce.hash
          ? applyLinePatch(state.inForce.text, patch)
          : undefined;
      if (text !== undefined && sha256Hex(text) === hash) {
        return acceptText(state, peer, {version, hash, text});
      }
      // The difference does not apply to the version that is in force now, so
      // the whole file is requested.
      const fetch = {wanted: {version, hash}, source: peer, sinceMs: nowMs};
      const {inForce} = state;
      return stepOf({...state, fetch}, rulesRequest(peer, inForce.version, ''));
    }
    case 'heartbeat':
      return stepOf(state);
  }
}

/** Sends the version in force, as a line difference if that is shorter. */
function answerRulesWanted(
  state: DistributionState,
  peer: string,
  {haveVersion, haveHash}: RulesWanted,
): Step {
  const {version, hash, text} = state.inForce;
  if (version <= haveVersion) return stepOf(state);
  const base = state.patchBases.find(
    r => r.hash === haveHash && haveHash !== '',
  );
  const patch = base && createLinePatch(base.text, text);
  const message: PeerPayload =
    base && patch !== undefined && patch.length < text.length
      ? {
          kind: 'rulesPatch',
          rulesPatch: {
            fromVersion: base.version,
            fromHash: base.hash,
            version,
            hash,
            patch,
          },
        }
      : {kind: 'rulesFile', rulesFile: {version, hash, text}};
  return stepOf(state, {kind: 'send', peer, message});
}

/** Puts a received text in force, or refuses it. */
function acceptText(
  state: DistributionState,
  from: string,
  rules: RulesText,
): Step {
  const {version, hash, text} = rules;
  if (version <= state.inForce.version) return stepOf(state);
  if (sha256Hex(text) !== hash) {
    const reason = `text of version ${version} does not match its hash ${hash}`;
    return stepOf(markSourceFailed(state), {kind: 'refused', from, reason});
  }
  const fault = state.settings.findFault(text);
  if (fault !== undefined) {
    const unreadable = {version, hash, reason: fault};
    const reason = `version ${version} cannot be read: ${fault}`;
    const next = {...state, unreadable, fetch: undefined};
    return stepOf(next, {kind: 'refused', from, reason});
  }
  const inForce = {version, hash, text};
  const patchBases = state.patchBases.unshift(inForce).take(MAX_PATCH_BASES);
  const next = {...state, inForce, patchBases, fetch: undefined};
  return stepOf(next, {kind: 'adopt', rules: inForce, from});
}
