/**
 * Chooses the sidecars that an entry links to, and recomputes the choice as the
 * directory and the regions change.
 *
 * The rule file defines which zones form a region. A new rule version triggers
 * a new choice only if a region changed: choosing among thousands of instances
 * is too costly to do for each of 16,000 rule changes a day.
 */
import {Directory} from '../membership/directory';
import {subsetOf} from '../routing/subset';
import {ActiveRules} from '../rules/activerules';
import {regionOf} from '../rules/model';
import {ChooseSubset} from './links';

/** Chooses an entry's subset by the regions in force when it is called. */
export function nearbySidecars(
  instance: string,
  zone: string,
  activeRules: ActiveRules,
): ChooseSubset {
  return sidecars => {
    const {rules} = activeRules.current();
    const region = (name: string) => regionOf(rules, name);
    return subsetOf(instance, zone, sidecars, region);
  };
}

/** Wraps a directory to also notify its watchers of region changes. */
export function directoryWithRegions(
  directory: Directory,
  activeRules: ActiveRules,
): Directory {
  return {
    instances: () => directory.instances(),
    watch(changed) {
      directory.watch(changed);
      let {regions} = activeRules.current().rules;
      activeRules.watch(({rules}) => {
        if (rules.regions.equals(regions)) return;
        regions = rules.regions;
        changed();
      });
    },
  };
}
