/**
 * Explains where a gateway would send a request now, and why not elsewhere.
 *
 * Failure: a request was refused or sent to an unexpected endpoint, and logs do
 * not show the state that decided. The explanation runs the decisions of the data
 * path on the same state. Its size is bounded, because the port that serves it is
 * reachable by callers that nobody controls. It contains no keys.
 */
import {Avoidance, avoidedForMs} from './avoidance';
import {
  Catalog,
  registeredEndpoints,
  Registration,
  registrationState,
} from './catalog';
import {
  Exclusion,
  ExplainedPlacement,
  PromptPreference,
} from './endpointchoice';
import {firstEventMs} from './firsteventestimate';
import {PromptPart} from './promptcache';
import {capacity, isSlow, loadEstimate, Loads, shareOf} from './endpointload';
import {Account, Route} from './model';
import {RequestAdmission, weightedServices} from './requestadmission';
import {UnavailableEndpoints} from './unavailability';

/** Incremented when fields are removed or change their meaning. */
export const EXPLANATION_FORMAT = 1;

/** Path of the metrics port under which explanations are served. */
export const EXPLAIN_PATH = '/explain';

/** The request to explain. */
export interface RequestDescription {
  readonly host: string;
  readonly path: string;
  /** Name of the account. */
  readonly account: string | undefined;
  /** Time for which the caller waits. */
  readonly deadlineMs: number | undefined;
  readonly promptTokens: number | undefined;
  /** The prompt's shared parts, in order. */
  readonly parts: readonly PromptPart[];
}

/** A placement without an exchange. */
export interface PlacementRequest {
  readonly service: string;
  readonly route: Route;
  readonly account: Account | undefined;
  /** Monotonic time. */
  readonly deadlineMs: number;
  readonly arrivedMs: number;
  readonly triedEndpoints: ReadonlySet<string>;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number | undefined;
}

export interface DelayRange {
  readonly fromMs: number;
  readonly toMs: number;
}

export interface CandidateExplanation {
  readonly endpoint: string;
  readonly zone: string;
  /** Whether it is in the set from which one endpoint is taken at random. */
  readonly eligible: boolean;
  /** The first check that excluded it; absent if it is eligible. */
  readonly excludedBy?: string;
  /** Estimated requests there, and how many may be there. */
  readonly requests: number;
  readonly capacity: number;
  /** Age of its last load report; absent if none has arrived. */
  readonly reportAgeMs?: number;
  /** Requests that this gateway may send until the next report, if limited. */
  readonly share?: number;
  readonly avoidedForMs?: number;
  readonly coldForMs?: number;
  /** Rate that gateways share, if it is cold or has named a limit. */
  readonly ratePerS?: number;
  readonly slow?: true;
  /** Tokens of the prompt that it is believed to hold. */
  readonly heldTokens?: number;
  /** Estimated time to the first event, where prompts matter. */
  readonly firstEventMs?: number;
}

export interface ServiceExplanation {
  readonly service: string;
  readonly decision: 'send' | 'wait' | 'refuse';
  readonly reason?: string;
  readonly status?: number;
  readonly retryAfterMs?: DelayRange;
  /** Longest wait, after which the request is refused as `overload`. */
  readonly waitMs?: number;
  /** Requests that wait for the service here, and those that go first. */
  readonly waiting: number;
  readonly before?: number;
  readonly quarantinedPart?: string;
  /** Number of endpoints from which one is taken at random. */
  readonly eligible: number;
  readonly candidates: readonly CandidateExplanation[];
  /** Candidates left out to bound the size. */
  readonly omitted: number;
}

export interface Explanation {
  readonly format: number;
  /** Release of the program. */
  readonly version: string;
  readonly entry: string;
  readonly zone: string;
  readonly configuration: number | undefined;
  readonly configurationAgeMs: number | undefined;
  readonly request: RequestDescription;
  /** `route` if a service gets the request; otherwise it is refused. */
  readonly decision: 'route' | 'refuse';
  readonly status?: number;
  readonly reason?: string;
  readonly retryAfterMs?: number;
  readonly route?: Pick<
    Route,
    'name' | 'host' | 'prefix' | 'kind' | 'priority' | 'timeoutMs'
  >;
  readonly services: readonly (ServiceExplanation & {
    /** Share of the route's requests that the service gets, up to 1. */
    readonly share: number;
  })[];
}

/** Bound on the candidates in one explanation, over all services. */
const MAX_CANDIDATES = 200;
/** Bound on the services of one explanation. */
const MAX_SERVICES = 20;

/** The services of the route with their share of its requests. */
export function explainRoute(
  admission: RequestAdmission,
  explainService: (
    service: string,
    route: Route,
    maxCandidates: number,
  ) => ServiceExplanation,
): Pick<
  Explanation,
  'decision' | 'status' | 'reason' | 'retryAfterMs' | 'route' | 'services'
> {
  if (admission.kind === 'refuse') {
    const {status, reason, retryAfterMs} = admission;
    return {decision: 'refuse', status, reason, retryAfterMs, services: []};
  }
  const {name, host, prefix, kind, priority, timeoutMs} = admission.route;
  const split = weightedServices(admission.route);
  const total = split.reduce((sum, s) => sum + s.weight, 0);
  const shown = split.slice(0, MAX_SERVICES);
  const maxCandidates = Math.floor(MAX_CANDIDATES / shown.length);
  const services = shown.map(({service, weight}) => ({
    share: weight / total,
    ...explainService(service, admission.route, maxCandidates),
  }));
  const route = {name, host, prefix, kind, priority, timeoutMs};
  return {decision: 'route', route, services};
}

/** What is known of endpoints when a request is explained. */
export interface EndpointState {
  readonly catalog: Catalog;
  readonly loads: Loads;
  readonly avoidance: Avoidance;
  readonly unavailable: UnavailableEndpoints;
  readonly nowMs: number;
  /** Rate that applies to the endpoint; undefined if none does. */
  readonly ratePerS: (endpoint: Registration) => number | undefined;
  readonly prompt: PromptPreference | undefined;
}

/** All registered endpoints of a service, the eligible ones first. */
export function explainCandidates(
  service: string,
  explained: ExplainedPlacement | undefined,
  state: EndpointState,
  maxCandidates: number,
): Pick<ServiceExplanation, 'eligible' | 'candidates' | 'omitted'> {
  const isSending = explained?.placement.kind === 'endpoint';
  const exclusions = new Map<string, Exclusion | undefined>(
    explained?.verdicts.map(v => [v.endpoint.id, v.exclusion]),
  );
  const eligible: Registration[] = [];
  const others: Registration[] = [];
  for (const endpoint of registeredEndpoints(state.catalog, service)) {
    const {id} = endpoint;
    const isEligible =
      isSending && exclusions.has(id) && exclusions.get(id) === undefined;
    (isEligible ? eligible : others).push(endpoint);
  }
  const shown = [...eligible, ...others].slice(0, maxCandidates);
  return {
    eligible: eligible.length,
    candidates: shown.map((endpoint, i) =>
      i < eligible.length
        ? {...candidateFacts(endpoint, state), eligible: true}
        : {
            ...candidateFacts(endpoint, state),
            eligible: false,
            excludedBy:
              exclusions.get(endpoint.id) ?? unavailability(endpoint, state),
          },
    ),
    omitted: eligible.length + others.length - shown.length,
  };
}

/** Why an endpoint is not among those that serve. */
function unavailability(
  endpoint: Registration,
  {catalog, unavailable, nowMs}: EndpointState,
): string {
  const state = registrationState(catalog, endpoint, nowMs);
  if (state !== 'serving' && state !== 'lapsed') return state;
  const found = unavailable.get(endpoint.id);
  return found && found.untilMs > nowMs ? found.reason : state;
}

function candidateFacts(
  endpoint: Registration,
  state: EndpointState,
): Omit<CandidateExplanation, 'eligible'> {
  const {loads, avoidance, nowMs} = state;
  const {id, zone, coldUntilMs} = endpoint;
  const {requests, reportAgeMs} = loadEstimate(loads, id, nowMs);
  const avoidedMs = avoidedForMs(avoidance, id, nowMs);
  const coldMs = Math.max(0, coldUntilMs - nowMs);
  return {
    endpoint: id,
    zone,
    requests,
    capacity: capacity(loads, endpoint, nowMs),
    reportAgeMs:
      reportAgeMs === undefined ? undefined : Math.round(reportAgeMs),
    share: shareOf(loads, id, nowMs),
    avoidedForMs: avoidedMs > 0 ? Math.round(avoidedMs) : undefined,
    coldForMs: coldMs > 0 ? Math.round(coldMs) : undefined,
    ratePerS: state.ratePerS(endpoint),
    slow: isSlow(loads, id, nowMs) ? true : undefined,
    ...(state.prompt ? promptFacts(endpoint, requests, state.prompt) : {}),
  };
}

function promptFacts(
  endpoint: Registration,
  requests: number,
  {engine, promptTokens, heldTokens}: PromptPreference,
): Pick<CandidateExplanation, 'heldTokens' | 'firstEventMs'> {
  const held = heldTokens(endpoint);
  const ms = firstEventMs(engine, requests, promptTokens - held);
  return {heldTokens: held, firstEventMs: Math.round(ms)};
}
