/**
 * What this gateway believes endpoints hold of prompts: the leading parts that it
 * sent there.
 *
 * Load pattern: many requests begin with the same parts. An endpoint that still
 * holds them need not read them again. Gateways tell each other nothing about it;
 * a belief may be wrong, which costs a little time and nothing else.
 *
 * Beliefs are kept by the first part of a prompt, so that a decision looks only at
 * the few endpoints that may hold it, however many there are. Memory is bounded by
 * beginnings x endpoints x parts. A belief ends some time after the last request
 * with it, at once for engines that keep nothing, and when the endpoint's process,
 * its address or its group's epoch is another one.
 */
import {OrderedMap} from 'immutable';

/** A part of a prompt that requests share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

interface Belief {
  /** Requests of this gateway with the part that are there. */
  readonly running: number;
  /** Time at which the last one was sent or has ended. */
  readonly usedMs: number;
}

interface Holding {
  /** Names the process, its address and its group's epoch. */
  readonly process: string;
  /** By part and the one before it; the least recently used first. */
  readonly beliefs: ReadonlyMap<string, Belief>;
}

/** Holdings by endpoint; the least recently used first. */
type Holders = ReadonlyMap<string, Holding>;

/** Holders by the first part; the least recently used first. */
export type PromptCache = OrderedMap<string, Holders>;

/** Bounds; together they allow for 65,536 beliefs, about 8 MB. */
export const MAX_BEGINNINGS = 256;
export const MAX_HOLDERS = 16;
export const MAX_BELIEFS = 16;

export const emptyPromptCache: PromptCache = OrderedMap();

/** An endpoint as far as its beliefs depend on it. */
export interface Holder {
  readonly id: string;
  readonly process: string;
}

/** Notes that a request with the parts was sent to the endpoint. */
export function recordSent(
  cache: PromptCache,
  {id, process}: Holder,
  parts: readonly PromptPart[],
  nowMs: number,
): PromptCache {
  const [first] = parts;
  if (!first) return cache;
  const holders = new Map(cache.get(first.id));
  const found = holders.get(id);
  const beliefs = new Map(found?.process === process ? found.beliefs : []);
  for (const key of keysOf(parts)) {
    const running = (beliefs.get(key)?.running ?? 0) + 1;
    beliefs.delete(key);
    beliefs.set(key, {running, usedMs: nowMs});
  }
  dropOldest(beliefs, MAX_BELIEFS);
  holders.delete(id);
  holders.set(id, {process, beliefs});
  dropOldest(holders, MAX_HOLDERS);
  const next = cache.delete(first.id).set(first.id, holders);
  return next.size > MAX_BEGINNINGS ? next.rest() : next;
}

/**
 * Notes that a request with the parts is no longer at the endpoint. `isKept` says
 * whether the endpoint may have kept them.
 */
export function recordEnded(
  cache: PromptCache,
  id: string,
  parts: readonly PromptPart[],
  isKept: boolean,
  nowMs: number,
): PromptCache {
  const [first] = parts;
  const holders = first && cache.get(first.id);
  const found = holders?.get(id);
  if (!first || !found) return cache;
  const beliefs = new Map(found.beliefs);
  for (const key of keysOf(parts)) {
    const belief = beliefs.get(key);
    if (!belief) continue;
    const running = Math.max(0, belief.running - 1);
    if (running > 0 || isKept) {
      beliefs.set(key, {running, usedMs: isKept ? nowMs : belief.usedMs});
    } else beliefs.delete(key);
  }
  const next = new Map(holders);
  if (beliefs.size > 0) next.set(id, {...found, beliefs});
  else next.delete(id);
  return next.size > 0 ? cache.set(first.id, next) : cache.delete(first.id);
}

/** Ids of the endpoints that may hold the beginning of the prompt. */
export function possibleHolders(
  cache: PromptCache,
  parts: readonly PromptPart[],
): {has(id: string): boolean; readonly size: number} {
  const [first] = parts;
  return (first && cache.get(first.id)) ?? NO_HOLDERS;
}

/** Tokens of the leading parts that the endpoint is believed to hold. */
export function heldTokens(
  cache: PromptCache,
  {id, process}: Holder,
  parts: readonly PromptPart[],
  keptMs: number,
  nowMs: number,
): number {
  const [first] = parts;
  const found = first && cache.get(first.id)?.get(id);
  if (!found || found.process !== process) return 0;
  let tokens = 0;
  for (const [i, key] of keysOf(parts).entries()) {
    const belief = found.beliefs.get(key);
    if (!belief) break;
    if (belief.running === 0 && nowMs - belief.usedMs >= keptMs) break;
    tokens += parts[i]!.tokens;
  }
  return tokens;
}

const NO_HOLDERS: Holders = new Map();

/** A part is reused only behind the same part. */
function keysOf(parts: readonly PromptPart[]): readonly string[] {
  return parts.map(({id}, i) => `${parts[i - 1]?.id ?? ''}/${id}`);
}

function dropOldest<T>(map: Map<string, T>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
