/**
 * Estimates the time to the first event of a request at an endpoint.
 *
 * Load pattern: an endpoint that holds the beginning of a prompt reads less of it,
 * but popular beginnings would crowd it, and each request there makes the passes
 * longer for all streams. The estimate weighs the tokens left to read against the
 * passes that the load makes longer.
 */
import {EngineSpec} from './model';

const MS_PER_S = 1_000;

/** A request waits for half a pass on average, and for one that answers it. */
const PASSES_TO_FIRST_EVENT = 1.5;

/** Time of a pass with so many requests, in ms. */
export function expectedPassMs(
  {stepsPerPass, stepMs, perRequestMs}: EngineSpec,
  requests: number,
): number {
  return stepsPerPass * (stepMs + perRequestMs * requests);
}

/** Time to read so many tokens of a prompt, in ms; 0 if no speed is declared. */
export function readMs(
  {readTokensPerS}: Pick<EngineSpec, 'readTokensPerS'>,
  tokens: number,
): number {
  if (readTokensPerS === undefined) return 0;
  return (Math.max(0, tokens) * MS_PER_S) / readTokensPerS;
}

/**
 * Time to the first event in ms, where so many requests are at the endpoint and
 * so many tokens of the prompt are to be read.
 */
export function firstEventMs(
  engine: EngineSpec,
  requests: number,
  unreadTokens: number,
): number {
  const passMs = expectedPassMs(engine, requests + 1);
  return readMs(engine, unreadTokens) + PASSES_TO_FIRST_EVENT * passMs;
}

/**
 * By how much a request slows down the streams of an endpoint with so many
 * requests more than it would where `least` are, in ms: the difference of the
 * passes, once for each stream that has them.
 */
export function slowingMs(
  engine: EngineSpec,
  requests: number,
  least: number,
): number {
  const longerMs =
    expectedPassMs(engine, requests + 1) - expectedPassMs(engine, least + 1);
  return Math.max(0, longerMs) * (requests + 1);
}
