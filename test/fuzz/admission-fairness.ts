/**
 * The fairness check of the admission fuzz test: the tokens served follow the
 * weights, whatever happened before.
 */
import {attemptKey} from '../../src/capacity/admission';
import {ACCOUNTS, CALLERS, ENTRIES, WEIGHTS, World} from './admission-world';
import {check, MAX_CONCURRENT} from './admission-oracle';

/** Number of attempts before the measured part, and in it. */
const WARMUP_ATTEMPTS = 250;
const MEASURED_ATTEMPTS = 400;
/** Number of waiting offers that every caller is kept at. */
const BACKLOG_PER_CALLER = 4;
const PROMPT_TOKENS: Readonly<Record<string, number>> = {a: 10, b: 30, c: 70};
const MAX_OUTPUT_TOKENS = 20;

/** Tokens served by account and by caller in the measured part. */
type Served = Map<string, number>;

/**
 * Keeps every caller of every account backlogged, from whatever state the
 * world is in, and checks that service follows the weights.
 */
export function checkFairSharing(world: World, seed: number): void {
  world.deliver({kind: 'leaving', leaving: false});
  world.deliver(world.rulesMessage(false, false));
  for (const entry of ENTRIES) {
    world.deliver({kind: 'standing', entry, wanted: 0});
  }
  // Offers of earlier commands would be served as well and distort the result.
  for (const {entry, offer} of [...world.oracle.waiting.values()]) {
    world.deliver({kind: 'withdraw', entry, ref: offer});
  }
  const random = seededRandom(seed);
  // One account may be idle in the first part; it must accumulate no credit.
  const idleAccount = ACCOUNTS[Math.floor(random() * (ACCOUNTS.length + 1))];
  const served: Served = new Map();
  const measured = new Set<string>();
  for (let n = 0; n < WARMUP_ATTEMPTS + MEASURED_ATTEMPTS; n += 1) {
    const warmingUp = n < WARMUP_ATTEMPTS;
    fillBacklogs(
      world,
      warmingUp ? ACCOUNTS.filter(a => a !== idleAccount) : ACCOUNTS,
    );
    startGranted(world, warmingUp ? undefined : measured);
    endRandomAttempt(world, random, served, measured);
  }
  while (world.oracle.running.size > 0) {
    endRandomAttempt(world, random, served, measured);
    for (const {entry, offer} of [...world.oracle.waiting.values()]) {
      world.deliver({kind: 'withdraw', entry, ref: offer});
    }
  }
  checkShares(served);
}

/** Numbers in [0, 1) from a seed; a linear congruential generator. */
function seededRandom(seed: number): () => number {
  let value = seed >>> 0;
  return () => {
    value = (Math.imul(value, 1_664_525) + 1_013_904_223) >>> 0;
    return value / 2 ** 32;
  };
}

/** Offers requests until every caller has its backlog. */
function fillBacklogs(world: World, accounts: readonly string[]): void {
  const counts = new Map<string, number>();
  for (const {offer} of world.oracle.waiting.values()) {
    const name = `${offer.account}/${offer.caller}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  for (const account of accounts) {
    for (const caller of CALLERS) {
      const has = counts.get(`${account}/${caller}`) ?? 0;
      for (let n = has; n < BACKLOG_PER_CALLER; n += 1) {
        const prompt = PROMPT_TOKENS[account]!;
        const promptTokens = caller === 'x' ? prompt / 2 : prompt;
        const offer = world.newOffer({
          account,
          caller,
          promptTokens,
          maxOutputTokens: MAX_OUTPUT_TOKENS,
        });
        world.deliver({kind: 'offer', entry: 'e1', offer});
      }
    }
  }
}

/** Starts every granted attempt. */
function startGranted(world: World, measured: Set<string> | undefined): void {
  for (const [grantId, {entry, key}] of [...world.oracle.granted]) {
    const offer = world.offers.get(key);
    if (!offer) continue;
    const {requestId, attempt} = offer;
    const grant = {grantId, requestId, attempt, expiresMs: 0, maxTokens: 0};
    world.deliver(world.startMessage(entry, grant));
    world.deliver({kind: 'prefilled', ref: offer});
    measured?.add(key);
  }
}

/** Ends a running attempt and counts its tokens if it is measured. */
function endRandomAttempt(
  world: World,
  random: () => number,
  served: Served,
  measured: Set<string>,
): void {
  const all = [...world.oracle.running.values()];
  const offer = all[Math.floor(random() * all.length)];
  if (!offer) return;
  const output = Math.floor(random() * (offer.maxOutputTokens + 1));
  const tokens = offer.promptTokens + output;
  world.deliver({kind: 'ended', ref: offer, tokens});
  if (!measured.has(attemptKey(offer))) return;
  for (const name of [offer.account, `${offer.account}/${offer.caller}`]) {
    served.set(name, (served.get(name) ?? 0) + tokens);
  }
}

/**
 * Checks that weighted service is even. Counters of members with a backlog
 * differ by at most one charge. Attempts in flight at the start or the end of
 * the measured part add an uncertainty of their maximum output each.
 */
function checkShares(served: Served): void {
  const largest = PROMPT_TOKENS.c! + MAX_OUTPUT_TOKENS;
  const allowed = 2 * largest + 2 * MAX_CONCURRENT * MAX_OUTPUT_TOKENS;
  const shares = ACCOUNTS.map(a => (served.get(a) ?? 0) / WEIGHTS[a]!);
  const spread = Math.max(...shares) - Math.min(...shares);
  check(
    spread <= allowed,
    `service does not follow the weights: ${shares.join(', ')}`,
  );
  for (const account of ACCOUNTS) {
    const [x, y] = CALLERS.map(c => served.get(`${account}/${c}`) ?? 0);
    check(
      Math.abs(x! - y!) <= allowed,
      `callers of ${account} are not served evenly: ${x}, ${y}`,
    );
  }
}
