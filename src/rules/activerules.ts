/**
 * Holds the rules in force in this process.
 *
 * `ActiveRules` holds one version and notifies its watchers of each higher one.
 * It never returns to a lower version. While the process must not take new
 * work (it is not ready, or its zone is cut off and has a `cutoff=stop`
 * rule), its own zone counts as taken out in the rules that watchers get.
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

export class ActiveRules {
  /** The highest adopted version, as its file states it. */
  private accepted = NO_RULES;
  private stoppedZone: string | undefined;
  /** The adopted version with the stopped zone taken out. */
  private effective = NO_RULES;
  private readonly watchers: Watcher[] = [];

  current(): RulesInForce {
    return this.effective;
  }

  /** Puts a higher version in force; returns false for any other. */
  adopt(next: RulesInForce): boolean {
    if (next.version <= this.accepted.version) return false;
    this.accepted = next;
    this.updateAndNotify();
    return true;
  }

  /** Sets the zone that counts as taken out, or undefined for none. */
  setStoppedZone(zone: string | undefined): void {
    if (zone === this.stoppedZone) return;
    this.stoppedZone = zone;
    this.updateAndNotify();
  }

  /** Calls `watcher` after each later change of the rules in force. */
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
