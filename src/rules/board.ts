/**
 * The rules in force in this process.
 *
 * The board holds one version and tells its watchers when a higher one
 * comes. It never goes back to a lower version. While the process must take
 * no new work (it is not ready, or its zone is cut off under a rule to
 * stop), its own zone counts as taken out in the rules that watchers see.
 */
import {emptyRules, RuleSet} from './model';

export interface RulesInForce {
  readonly version: number;
  /** Hex SHA-256 of the file's text. */
  readonly hash: string;
  readonly text: string;
  readonly rules: RuleSet;
}

export type Watcher = (now: RulesInForce) => void;

const NO_RULES: RulesInForce = {
  version: 0,
  hash: '',
  text: '',
  rules: emptyRules,
};

export class RuleBoard {
  private accepted = NO_RULES;
  private stoppedZone: string | undefined;
  private effective = NO_RULES;
  private readonly watchers: Watcher[] = [];

  current(): RulesInForce {
    return this.effective;
  }

  /** Puts a version in force and returns true, or ignores a lower one. */
  adopt(next: RulesInForce): boolean {
    if (next.version <= this.accepted.version) return false;
    this.accepted = next;
    this.updateAndNotify();
    return true;
  }

  /** Treats a zone as taken out until called with undefined. */
  setStoppedZone(zone: string | undefined): void {
    if (zone === this.stoppedZone) return;
    this.stoppedZone = zone;
    this.updateAndNotify();
  }

  /** Calls `watcher` for each version that comes into force from now on. */
  watch(watcher: Watcher): void {
    this.watchers.push(watcher);
  }

  private updateAndNotify(): void {
    this.effective = this.withStoppedZone();
    for (const watcher of this.watchers) watcher(this.effective);
  }

  private withStoppedZone(): RulesInForce {
    const {accepted, stoppedZone} = this;
    if (stoppedZone === undefined) return accepted;
    const zonesOut = accepted.rules.zonesOut.add(stoppedZone);
    return {...accepted, rules: {...accepted.rules, zonesOut}};
  }
}
