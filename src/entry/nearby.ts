/**
 * Which sidecars an entry links to, as the directory and the rules change.
 *
 * The rule file says which zones form a region. A new version of it moves
 * links only when a region changed, because the choice among thousands of
 * instances is too costly for every one of 16,000 changes a day.
 */
import {Directory} from '../membership/directory';
import {subsetOf} from '../routing/subset';
import {RuleBoard} from '../rules/board';
import {regionOf} from '../rules/model';
import {ChooseSubset} from './links';

/** The subset of one entry, by the regions in force when it is called. */
export function nearby(
  instance: string,
  zone: string,
  board: RuleBoard,
): ChooseSubset {
  return sidecars => {
    const {rules} = board.current();
    const region = (name: string) => regionOf(rules, name);
    return subsetOf(instance, zone, sidecars, region);
  };
}

/** The directory, which also tells its watchers when a region changed. */
export function withRegions(directory: Directory, board: RuleBoard): Directory {
  return {
    instances: () => directory.instances(),
    watch(changed) {
      directory.watch(changed);
      let {regions} = board.current().rules;
      board.watch(({rules}) => {
        if (rules.regions.equals(regions)) return;
        regions = rules.regions;
        changed();
      });
    },
  };
}
