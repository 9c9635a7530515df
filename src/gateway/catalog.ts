/**
 * The configuration, endpoints and zones by which requests are routed.
 *
 * The catalog is immutable: each change returns a new one. An older
 * configuration never replaces a newer one, whatever the order of arrival.
 */
import {Map, Set} from 'immutable';
import {Instant} from '../kernel/clock';
import {Account, Configuration, Endpoint, Route, Service} from './model';

/** A change of the operator's table. */
export interface OperatorChange {
  readonly configuration: Configuration | undefined;
  /** Zones taken out of service (true) or put back (false). */
  readonly zones: ReadonlyMap<string, boolean>;
}

/**
 * Endpoints by id; undefined if the registration is gone, 'invalid' if it is
 * there but names no endpoint to use.
 */
export type EndpointChange = ReadonlyMap<
  string,
  Endpoint | 'invalid' | undefined
>;

/** A registered endpoint, or one whose registration has just gone. */
export interface Registration extends Endpoint {
  /** Time until which the endpoint counts as cold. */
  readonly coldUntilMs: number;
  /** Time at which its registration was found to be gone. */
  readonly goneSinceMs: number | undefined;
  /** Excluded until this time because another process has its address. */
  readonly excludedUntilMs: number;
}

export interface Catalog {
  readonly configuration: Configuration | undefined;
  /** Routes of each host by prefix. */
  readonly routes: ReadonlyMap<string, ReadonlyMap<string, Route>>;
  readonly services: ReadonlyMap<string, Service>;
  /** The account of each key. */
  readonly keys: ReadonlyMap<string, Account>;
  readonly endpoints: Map<string, Registration>;
  /** Zones that are out of service. */
  readonly zonesOut: Set<string>;
  /** Latest moment at which this view of the operator's table was up to date. */
  readonly operatorAsOf: Instant;
  /** `operatorAsOf` before the last full read. */
  readonly asOfBeforeRead: Instant;
  /**
   * Whether the store has lost the configuration that is held, and maybe newer ones.
   * The view is not up to date until the operator has written it again.
   */
  readonly isConfigurationLost: boolean;
  /** When the operator's table was last not followed, on the monotonic clock. */
  readonly operatorInterruptedMs: number;
}

/**
 * Time for which an endpoint may still be used as a last resort after its
 * registration has gone. Registrations that lapse because the store fails are
 * back within about two seconds, and an endpoint that leaves must get no
 * requests two seconds later.
 */
const LAPSED_USE_MS = 1_500;

/**
 * Time for which an endpoint is excluded after another process was found at its
 * address. Its registration lapses within three heartbeats of 1.2 s.
 */
const REPLACED_EXCLUSION_MS = 4_000;

const NEVER: Instant = {elapsedMs: -Infinity, wallMs: -Infinity};

export const emptyCatalog: Catalog = {
  configuration: undefined,
  routes: new globalThis.Map(),
  services: new globalThis.Map(),
  keys: new globalThis.Map(),
  endpoints: Map(),
  zonesOut: Set(),
  operatorAsOf: NEVER,
  asOfBeforeRead: NEVER,
  isConfigurationLost: false,
  operatorInterruptedMs: -Infinity,
};

export function applyOperatorChange(
  catalog: Catalog,
  change: OperatorChange,
  isFullRead: boolean,
  asOf: Instant | undefined,
): Catalog {
  const before = isFullRead ? Set<string>() : catalog.zonesOut;
  let zonesOut = before;
  for (const [zone, out] of change.zones) {
    zonesOut = out ? zonesOut.add(zone) : zonesOut.remove(zone);
  }
  const {configuration} = change;
  const known = catalog.configuration;
  const isOlder =
    configuration && known && configuration.version < known.version;
  const isConfigurationLost = isOlder ?? catalog.isConfigurationLost;
  const asOfBeforeRead = isFullRead
    ? catalog.operatorAsOf
    : catalog.asOfBeforeRead;
  const next = {...catalog, zonesOut, isConfigurationLost, asOfBeforeRead};
  const confirmed = asOf ? confirmOperatorTable(next, asOf) : next;
  if (!configuration) return confirmed;
  if (known && configuration.version <= known.version) return confirmed;
  return {...confirmed, ...indexConfiguration(configuration)};
}

export function confirmOperatorTable(catalog: Catalog, asOf: Instant): Catalog {
  const {operatorAsOf, isConfigurationLost} = catalog;
  const isNewer = asOf.elapsedMs > operatorAsOf.elapsedMs;
  return isNewer && !isConfigurationLost
    ? {...catalog, operatorAsOf: asOf}
    : catalog;
}

export function interruptOperatorTable(
  catalog: Catalog,
  nowMs: number,
): Catalog {
  return {...catalog, operatorInterruptedMs: nowMs};
}

/** Withdraws what the last full read of the operator's table has confirmed. */
export function withdrawConfirmation(catalog: Catalog): Catalog {
  return {...catalog, operatorAsOf: catalog.asOfBeforeRead};
}

export function applyEndpointChange(
  catalog: Catalog,
  change: EndpointChange,
  isFullRead: boolean,
  nowMs: number,
): Catalog {
  const endpoints = catalog.endpoints.withMutations(known => {
    if (isFullRead) {
      for (const id of catalog.endpoints.keys()) {
        if (!change.has(id)) markGone(known, id, nowMs);
      }
    }
    for (const [id, endpoint] of change) {
      // A registration that is not valid has not lapsed, so it is not used on.
      if (endpoint === 'invalid') known.delete(id);
      else if (endpoint) known.set(id, newRegistration(endpoint, nowMs));
      else markGone(known, id, nowMs);
    }
    for (const [id, {goneSinceMs}] of catalog.endpoints) {
      if (goneSinceMs !== undefined && nowMs - goneSinceMs > LAPSED_USE_MS)
        known.delete(id);
    }
  });
  return {...catalog, endpoints};
}

function newRegistration(endpoint: Endpoint, nowMs: number): Registration {
  const coldUntilMs = nowMs + endpoint.coldMs;
  return {...endpoint, coldUntilMs, goneSinceMs: undefined, excludedUntilMs: 0};
}

/** Excludes an endpoint whose address was found to be another process's. */
export function excludeReplacedEndpoint(
  catalog: Catalog,
  id: string,
  nowMs: number,
): Catalog {
  const found = catalog.endpoints.get(id);
  if (!found) return catalog;
  const replaced = {...found, excludedUntilMs: nowMs + REPLACED_EXCLUSION_MS};
  return {...catalog, endpoints: catalog.endpoints.set(id, replaced)};
}

function markGone(
  known: Map<string, Registration>,
  id: string,
  nowMs: number,
): void {
  const found = known.get(id);
  if (!found || found.goneSinceMs !== undefined) return;
  // A draining endpoint has left; other registrations may only have lapsed.
  if (found.draining) known.delete(id);
  else known.set(id, {...found, goneSinceMs: nowMs});
}

function indexConfiguration(configuration: Configuration): Partial<Catalog> {
  const routes = new globalThis.Map<string, globalThis.Map<string, Route>>();
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase();
    const ofHost = routes.get(host) ?? new globalThis.Map<string, Route>();
    routes.set(host, ofHost.set(route.prefix, route));
  }
  return {
    configuration,
    routes,
    services: new globalThis.Map(
      configuration.services.map(s => [s.name, s] as const),
    ),
    keys: new globalThis.Map(
      configuration.accounts.flatMap(account =>
        account.keys.map(key => [key, account] as const),
      ),
    ),
  };
}

/** The route of the host with the longest prefix of the path. */
export function matchRoute(
  catalog: Catalog,
  host: string | undefined,
  target: string,
): Route | undefined {
  const name = (host ?? '').toLowerCase().replace(/:\d+$/, '');
  const routes = catalog.routes.get(name);
  if (!routes) return undefined;
  const query = target.indexOf('?');
  const path = query < 0 ? target : target.slice(0, query);
  let end = path.lastIndexOf('/');
  while (end >= 0) {
    const route = routes.get(path.slice(0, end + 1));
    if (route) return route;
    end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
  }
  return undefined;
}

/** Whether an endpoint may get new requests as far as the catalog tells. */
export type RegistrationState =
  | 'serving'
  /** Its registration has gone recently; used only if none is serving. */
  | 'lapsed'
  | 'gone'
  | 'draining'
  | 'zone out of service'
  /** Another process was found at its address. */
  | 'replaced'
  /** A process that started later has registered its address. */
  | 'superseded';

/** The registered endpoints of a service, in the order of the catalog. */
export function registeredEndpoints(
  catalog: Catalog,
  service: string,
): readonly Registration[] {
  return endpointIndex(catalog).byService.get(service) ?? [];
}

/**
 * The registration of the process that is at an address; of those that do not say
 * when their process started, the first.
 */
export function endpointAt(
  catalog: Catalog,
  address: string,
): Registration | undefined {
  const {latestAt, firstAt} = endpointIndex(catalog);
  return latestAt.get(address) ?? firstAt.get(address);
}

/**
 * The state of a registered endpoint. The registrations of processes that have
 * ended lapse seconds after their successors are there.
 */
export function registrationState(
  catalog: Catalog,
  endpoint: Registration,
  nowMs: number,
): RegistrationState {
  if (endpoint.draining) return 'draining';
  if (catalog.zonesOut.has(endpoint.zone)) return 'zone out of service';
  if (endpoint.excludedUntilMs > nowMs) return 'replaced';
  const {latestAt} = endpointIndex(catalog);
  const latest = latestAt.get(endpoint.address) ?? endpoint;
  // A process that was not found there started by a clock that was wrong.
  if (latest !== endpoint && latest.excludedUntilMs <= nowMs)
    return 'superseded';
  if (endpoint.goneSinceMs === undefined) return 'serving';
  return nowMs - endpoint.goneSinceMs <= LAPSED_USE_MS ? 'lapsed' : 'gone';
}

/**
 * Endpoints of a service that may get new requests; if none is registered,
 * those whose registration has gone recently. Neither holds an endpoint that
 * `isAvailable` rejects.
 */
export function servingEndpoints(
  catalog: Catalog,
  service: string,
  nowMs: number,
  isAvailable: (id: string) => boolean = () => true,
): readonly Registration[] {
  const serving: Registration[] = [];
  const lapsed: Registration[] = [];
  for (const endpoint of registeredEndpoints(catalog, service)) {
    const state = registrationState(catalog, endpoint, nowMs);
    if (state !== 'serving' && state !== 'lapsed') continue;
    if (!isAvailable(endpoint.id)) continue;
    if (state === 'serving') serving.push(endpoint);
    else lapsed.push(endpoint);
  }
  return serving.length > 0 ? serving : lapsed;
}

interface EndpointIndex {
  readonly byService: ReadonlyMap<string, readonly Registration[]>;
  /**
   * The registration at each address whose process started last, where all
   * registrations at it say when theirs did.
   */
  readonly latestAt: ReadonlyMap<string, Registration>;
  /** The first registration at each address. */
  readonly firstAt: ReadonlyMap<string, Registration>;
}

/**
 * The index for each value of `endpoints`. A gateway asks for the endpoints of a
 * service hundreds of times a second, and they change every few seconds.
 */
const endpointIndexes = new WeakMap<Catalog['endpoints'], EndpointIndex>();

function endpointIndex({endpoints}: Catalog): EndpointIndex {
  const known = endpointIndexes.get(endpoints);
  if (known) return known;
  const byService = new globalThis.Map<string, Registration[]>();
  const latestAt = new globalThis.Map<string, Registration>();
  const firstAt = new globalThis.Map<string, Registration>();
  const undated = new globalThis.Set<string>();
  for (const endpoint of endpoints.values()) {
    const {service, address, startedMs} = endpoint;
    const ofService = byService.get(service);
    if (ofService) ofService.push(endpoint);
    else byService.set(service, [endpoint]);
    if (!firstAt.has(address)) firstAt.set(address, endpoint);
    if (startedMs === undefined) undated.add(address);
    const latestMs = latestAt.get(address)?.startedMs ?? -Infinity;
    if ((startedMs ?? -Infinity) > latestMs) latestAt.set(address, endpoint);
  }
  for (const address of undated) latestAt.delete(address);
  const index = {byService, latestAt, firstAt};
  endpointIndexes.set(endpoints, index);
  return index;
}
