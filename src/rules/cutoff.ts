/**
 * Decides whether a zone that is cut off must stop taking new work.
 *
 * By default a cut-off zone continues to serve its own callers. Under the rule
 * `zone <name> cutoff=stop after=<duration>` it stops when its latest
 * confirmation is older than the duration, because it could not learn that it
 * was taken out.
 *
 * A confirmation is the time at which some process, in the own zone or in
 * another one, sent the read of the platform that found the version in force
 * to be the head. A heartbeat from another zone does not count: two zones that
 * are cut off together would otherwise confirm each other forever. So an
 * outage of the platform also stops the zone. Nobody can apply a rule file
 * during a full outage, but a zone cannot tell an outage from a cut behind
 * which others still reach the platform.
 */
import {RuleSet} from './model';

export function mustStopNewWork(
  rules: RuleSet,
  zone: string,
  /** When the read behind the latest confirmation was sent. */
  confirmedMs: number,
  nowMs: number,
): boolean {
  const cutoff = rules.cutoffs.get(zone);
  if (!cutoff) return false;
  return nowMs - confirmedMs > cutoff.stopAfterMs;
}
