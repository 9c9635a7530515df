/**
 * Tokens recently served to each client account, compared with its share.
 *
 * Tokens are summed over time slots of ten seconds. The last six slots count,
 * so that a report follows a change within a minute.
 */
import {Map} from 'immutable';
import {AccountFacts} from '../observe/facts';
import {RuleSet} from '../rules/model';

interface TimeSlot {
  readonly index: number;
  readonly tokens: Map<string, number>;
}

export type ServedTokens = readonly TimeSlot[];

const SLOT_MS = 10_000;
const SLOT_COUNT = 6;

export function addServed(
  served: ServedTokens,
  account: string,
  tokens: number,
  now: Date,
): ServedTokens {
  const index = Math.floor(now.getTime() / SLOT_MS);
  const recent = served.filter(slot => slot.index > index - SLOT_COUNT);
  const latest = recent.at(-1);
  const currentTokens =
    latest?.index === index ? latest.tokens : Map<string, number>();
  const added = currentTokens.update(account, 0, sum => sum + tokens);
  const earlier = recent.filter(slot => slot.index !== index);
  return [...earlier, {index, tokens: added}];
}

/** Each recently served account's configured and served share of the tokens. */
export function accountFacts(
  served: ServedTokens,
  rules: RuleSet,
  now: Date,
): readonly AccountFacts[] {
  const index = Math.floor(now.getTime() / SLOT_MS);
  const recent = served.filter(slot => slot.index > index - SLOT_COUNT);
  const totals = recent.reduce(
    (sum, slot) => sum.mergeWith((a, b) => a + b, slot.tokens),
    Map<string, number>(),
  );
  const weight = (account: string) => rules.accounts.get(account)?.weight ?? 1;
  const weights = totals.keySeq().reduce((sum, a) => sum + weight(a), 0);
  const totalTokens = Math.max(
    1,
    totals.valueSeq().reduce((a, b) => a + b, 0),
  );
  return totals
    .map((served, account) => ({
      account,
      share: weight(account) / weights,
      served: served / totalTokens,
    }))
    .valueSeq()
    .toArray();
}
