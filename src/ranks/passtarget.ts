/**
 * What a sidecar knows of the passes that its rank should keep to.
 *
 * Load pattern: passes that are too long at every rank of a group, while only the
 * sidecar that coordinates follows the configuration. A limit on the requests at
 * one rank of many shortens no pass, because all ranks run the same passes. So
 * entries state the figures in their subscriptions, without a poll of the store.
 *
 * Entries apply a new configuration at different times, and a datagram may be late
 * or repeated. Figures of a lower version are therefore ignored, unless those of
 * the higher version are no longer heard.
 */
import {Catalog} from '../gateway/catalog';
import {EngineSpec} from '../gateway/model';

/** The engine's declared figures for the time of a pass. */
export type PassFigures = Pick<
  EngineSpec,
  'slots' | 'stepsPerPass' | 'stepMs' | 'perRequestMs'
>;

/** What a version of the configuration says about the service of a rank. */
export interface PassTarget {
  /** Version of the configuration. */
  readonly version: number;
  readonly engine: PassFigures;
  /**
   * Longest pause between two events that is on time, in milliseconds; undefined
   * if no route of the service names one.
   */
  readonly targetGapMs?: number | undefined;
  /** Whether the routes of the service have several priorities. */
  readonly hasClasses: boolean;
}

/** The target that entries stated, and when it was last heard. */
export interface HeardTarget {
  readonly target: PassTarget;
  readonly heardMs: number;
}

/**
 * Time for which a target prevails over one of a lower version after it was last
 * heard, in milliseconds. It spans three subscriptions of one entry. A lower
 * version that lasts longer belongs to a store whose history was lost.
 */
const HIGHER_VERSION_VALID_MS = 7_000;

/** The known target after a subscription, which may state none. */
export function hearTarget(
  heard: HeardTarget | undefined,
  target: PassTarget | undefined,
  nowMs: number,
): HeardTarget | undefined {
  if (!target) return heard;
  const isOlder = heard !== undefined && target.version < heard.target.version;
  const prevails = isOlder && nowMs - heard.heardMs <= HIGHER_VERSION_VALID_MS;
  return prevails ? heard : {target, heardMs: nowMs};
}

/**
 * The target to use. The sidecar's own configuration is not followed while it
 * does not coordinate, so entries may know a later one.
 *
 * What entries state is used only where classes of requests compete. With one
 * class a limit at every rank refused as many requests as it brought into time: a
 * deployment of 12 ranks served 0.658 instead of 0.691 under load.
 */
export function currentTarget(
  own: PassTarget | undefined,
  heard: HeardTarget | undefined,
): PassTarget | undefined {
  if (!heard?.target.hasClasses) return own;
  if (!own) return heard.target;
  return heard.target.version > own.version ? heard.target : own;
}

/** The target of a service; undefined if it has no engine or is not known. */
export function passTarget(
  {configuration, services}: Catalog,
  service: string,
): PassTarget | undefined {
  const engine = services.get(service)?.engine;
  if (!configuration || !engine) return undefined;
  const {slots, stepsPerPass, stepMs, perRequestMs} = engine;
  const routes = configuration.routes.filter(({split}) =>
    split.some(s => s.service === service),
  );
  const gaps = routes.flatMap(route => route.targetGapMs ?? []);
  return {
    version: configuration.version,
    engine: {slots, stepsPerPass, stepMs, perRequestMs},
    targetGapMs: gaps.length > 0 ? Math.min(...gaps) : undefined,
    hasClasses: new Set(routes.map(route => route.priority)).size > 1,
  };
}
