/**
 * Whether a request is admitted before its body is read, and the services that
 * may take it.
 *
 * Failure: a gateway that is cut off from the store knows an old configuration.
 * A final refusal (404 or 401) could then be wrong, and an accepted key may have
 * been revoked, so both are replaced by a refusal that asks the caller to retry. The
 * same holds for a while after the table could not be followed: the store may then
 * answer from an earlier state, and a caller does not repeat a request after a final
 * refusal.
 */
import {Catalog, matchRoute} from './catalog';
import {Account, Configuration, Route, WeightedService} from './model';

export type AdmissionRefusal =
  | 'stopping'
  | 'no configuration'
  | 'no such route'
  | 'configuration may be old'
  | 'configuration not settled'
  | 'keys cannot be checked'
  | 'unknown key'
  | 'no service';

export type RequestAdmission =
  | {
      readonly kind: 'admit';
      readonly configuration: Configuration;
      readonly route: Route;
      readonly account: Account | undefined;
    }
  | {
      readonly kind: 'refuse';
      readonly status: 401 | 404 | 503;
      readonly reason: AdmissionRefusal;
      readonly retryAfterMs: number | undefined;
    };

export interface AdmissionState {
  readonly catalog: Catalog;
  /** Time since the configuration was confirmed to be the newest, in ms. */
  readonly configurationAgeMs: number;
  /** Whether the operator's table has been followed without interruption lately. */
  readonly isSettled: boolean;
  /**
   * Age above which a newer configuration may have to be in force, so that an unknown
   * route or key is not refused for good, in ms.
   */
  readonly finalRefusalAgeMs: number;
  /** Age above which keys cannot be checked, in ms. */
  readonly maxConfigurationAgeMs: number;
  /** Whether the process takes no new requests. */
  readonly stopping: boolean;
}

export interface AdmissionRequest {
  readonly host: string | undefined;
  /** Path, with or without a query. */
  readonly target: string;
  /** Called at most once, and only if a route was found. */
  readonly readAccount: () => Account | undefined;
}

/** Retry-After while stopping or without a usable configuration. */
const UNAVAILABLE_RETRY_AFTER_MS = 500;
/** Retry-After while the configuration may be out of date. */
const STALE_RETRY_AFTER_MS = 1_500;

export function admitRequest(
  state: AdmissionState,
  {host, target, readAccount}: AdmissionRequest,
): RequestAdmission {
  const {catalog, configurationAgeMs} = state;
  const {configuration} = catalog;
  if (state.stopping) return unavailable('stopping');
  if (!configuration) return unavailable('no configuration');
  const doubt = doubtOf(state);
  const route = matchRoute(catalog, host, target);
  if (!route) return doubt ? stale(doubt) : refusal(404, 'no such route');
  const account = readAccount();
  if (configuration.requiresKeys && !route.public) {
    if (configurationAgeMs > state.maxConfigurationAgeMs)
      return stale('keys cannot be checked');
    if (!account) return doubt ? stale(doubt) : refusal(401, 'unknown key');
  }
  if (weightedServices(route).length === 0) return unavailable('no service');
  return {kind: 'admit', configuration, route, account};
}

/** Why a route or key that is not known may be in a newer configuration. */
function doubtOf(state: AdmissionState): AdmissionRefusal | undefined {
  const {configurationAgeMs, finalRefusalAgeMs, isSettled} = state;
  if (configurationAgeMs > finalRefusalAgeMs) return 'configuration may be old';
  return isSettled ? undefined : 'configuration not settled';
}

function refusal(
  status: 401 | 404 | 503,
  reason: AdmissionRefusal,
  retryAfterMs?: number,
): RequestAdmission {
  return {kind: 'refuse', status, reason, retryAfterMs};
}

function unavailable(reason: AdmissionRefusal): RequestAdmission {
  return refusal(503, reason, UNAVAILABLE_RETRY_AFTER_MS);
}

function stale(reason: AdmissionRefusal): RequestAdmission {
  return refusal(503, reason, STALE_RETRY_AFTER_MS);
}

/** The services of the route that get requests: those with a weight. */
export function weightedServices({
  split,
}: Pick<Route, 'split'>): readonly WeightedService[] {
  return split.filter(({weight}) => weight > 0);
}

/** Picks a service of the route at random, by weight; none without a weight. */
export function pickService(
  route: Pick<Route, 'split'>,
  random: () => number,
): string | undefined {
  const weighted = weightedServices(route);
  const total = weighted.reduce((sum, s) => sum + s.weight, 0);
  let at = random() * total;
  for (const {service, weight} of weighted) {
    at -= weight;
    if (at < 0) return service;
  }
  // Rounding may leave a rest.
  return weighted.at(-1)?.service;
}
