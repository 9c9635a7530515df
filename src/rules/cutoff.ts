/**
 * Whether a zone that is cut off stops taking new work.
 *
 * By default a cut-off zone goes on serving its own callers. Under the rule
 * `zone <name> cutoff=stop after=<duration>` it stops once the last read of
 * the platform of which word reached it is older than that, because it could
 * not learn of its own exit.
 *
 * A confirmation carries the time at which some process sent the read that
 * found the version in force to be the head, whether it comes from the own
 * zone or from another one. That a peer of another zone is heard does not
 * count: two zones that are cut off together would otherwise confirm each
 * other for ever. So an outage of the platform also stops the zone. Nobody
 * can apply a rule file during a full outage, but a zone cannot tell one from
 * a cut behind which others still reach the platform.
 */
import {RuleSet} from './model';

export function mustStopNewWork(
  rules: RuleSet,
  zone: string,
  /** When the read was sent to which the latest confirmation goes back. */
  confirmedMs: number,
  nowMs: number,
): boolean {
  const cutoff = rules.cutoffs.get(zone);
  if (!cutoff) return false;
  return nowMs - confirmedMs > cutoff.stopAfterMs;
}
