/**
 * Chooses the endpoint for a request.
 *
 * Load pattern: many gateways send to the same endpoints, and each sees the
 * others' requests with a delay. If each took the least loaded endpoint, all
 * would choose the same one at once. A gateway therefore uses its share of the
 * slots that a report shows as free (`endpointload.ts`), and requests for which
 * there is none wait at the gateway, where the close of a caller is seen at
 * once, and not in an endpoint's queue. Among the endpoints with a share the
 * choice is random between those with nearly the lowest load, and prefers those
 * in the gateway's own zone. The ranks of a group wait for each other in every
 * pass, so an even spread over the ranks also keeps the passes short. Requests
 * on a slow rank slow down the whole group, so it gets new ones only if no other
 * endpoint has room.
 *
 * A gateway's share changes a few times a second, and with many gateways it is
 * often less than one request. While most endpoints have room, a request that is
 * alone at its gateway may therefore use one of these without a share. A
 * backlog may not: when all endpoints become free at once, every gateway has one.
 *
 * An endpoint whose reports have stopped may be on a machine that has stopped.
 * It cannot see that callers leave, and to a gateway that only counts its own
 * requests it seems to be free as soon as they do. It gets requests only if no
 * reporting endpoint is left.
 */
import {Avoidance, isAvoided} from './avoidance';
import {Registration} from './catalog';
import {firstEventMs, readMs, slowingMs} from './firsteventestimate';
import {EngineSpec} from './model';
import {
  capacity,
  estimatedRequests,
  hasAllowance,
  isGroupOpen,
  isSilent,
  isSlow,
  Loads,
} from './endpointload';

export interface ChoiceContext {
  readonly loads: Loads;
  readonly avoidance: Avoidance;
  /** Zone of this gateway. */
  readonly zone: string;
  readonly nowMs: number;
  /** A number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  /** Whether the endpoint, if cold or limited, may get a request now. */
  readonly withinRate: (endpoint: Registration) => boolean;
  /** Whether other requests for the service wait at this gateway. */
  readonly hasBacklog: boolean;
  /** Absent if cached prompts do not matter for the request. */
  readonly prompt?: PromptPreference;
}

/** What decides on an endpoint by what it holds of the request's prompt. */
export interface PromptPreference {
  readonly engine: EngineSpec;
  readonly promptTokens: number;
  /** Ids of the endpoints that may hold a part of it. */
  readonly holders: {has(id: string): boolean; readonly size: number};
  /** Tokens of the prompt that the endpoint is believed to hold. */
  readonly heldTokens: (endpoint: Registration) => number;
}

export type Choice =
  | {readonly kind: 'endpoint'; readonly endpoint: Registration}
  /** All usable endpoints are full; wait for a free slot. */
  | {readonly kind: 'full'}
  /** No endpoint is registered, or the groups of all are broken. */
  | {readonly kind: 'none'};

/** Part of its slots up to which an endpoint may be used without a share. */
const MAX_FILL_WITHOUT_SHARE = 0.7;

/** Endpoints within this many requests of the least loaded count as equal. */
const NEARLY_EQUAL_REQUESTS = 1;

/** Why an endpoint is not among those from which one is taken. */
export type Exclusion =
  | 'group broken'
  | 'tried before'
  | 'silent'
  | 'avoided'
  | 'full'
  | 'rate'
  | 'slow'
  | 'no share'
  | 'no room without a share'
  | 'more loaded'
  | 'other zone'
  /** Another holds more of the prompt, and that is worth its load. */
  | 'later first event';

/**
 * A step of the choice: those that are left, and why the others are not. Each
 * step begins with those that the one before has left.
 */
interface Step {
  readonly left: readonly Registration[];
  readonly exclusion: Exclusion;
}

/** The endpoints from which one is taken at random, if there are any. */
export type Placement =
  | {readonly kind: 'endpoint'; readonly among: readonly Registration[]}
  | {readonly kind: 'full'}
  | {readonly kind: 'none'};

interface Narrowing {
  readonly placement: Placement;
  readonly steps: readonly Step[];
}

export function chooseEndpoint(
  serving: readonly Registration[],
  tried: ReadonlySet<string>,
  context: ChoiceContext,
): Choice {
  const {placement} = narrow(serving, tried, context);
  if (placement.kind !== 'endpoint') return placement;
  const endpoint = pickOne(placement.among, context.random);
  return {kind: 'endpoint', endpoint};
}

/** What is decided about an endpoint, in the order of `serving`. */
export interface CandidateVerdict {
  readonly endpoint: Registration;
  /** The step that excluded it; undefined if it may be taken. */
  readonly exclusion: Exclusion | undefined;
}

export interface ExplainedPlacement {
  readonly placement: Placement;
  readonly verdicts: readonly CandidateVerdict[];
}

/** The set from which `chooseEndpoint` takes one, and why others are not in it. */
export function explainPlacement(
  serving: readonly Registration[],
  tried: ReadonlySet<string>,
  context: ChoiceContext,
): ExplainedPlacement {
  const {placement, steps} = narrow(serving, tried, context);
  const sets = steps.map(({left, exclusion}) => ({
    left: new Set(left),
    exclusion,
  }));
  const verdicts = serving.map(endpoint => ({
    endpoint,
    exclusion: sets.find(({left}) => !left.has(endpoint))?.exclusion,
  }));
  return {placement, verdicts};
}

function narrow(
  serving: readonly Registration[],
  tried: ReadonlySet<string>,
  context: ChoiceContext,
): Narrowing {
  const {loads, avoidance, nowMs} = context;
  const steps: Step[] = [];
  const step = (exclusion: Exclusion, left: readonly Registration[]) => {
    steps.push({exclusion, left});
    return left;
  };
  const end = (placement: Placement) => ({placement, steps});
  const open = step(
    'group broken',
    serving.filter(e => isGroupOpen(loads, e.id, nowMs)),
  );
  if (open.length === 0) return end({kind: 'none'});
  const untried = open.filter(e => !tried.has(e.id));
  const reporting = withoutSilent(untried, serving, context);
  const notAvoided = reporting.filter(e => !isAvoided(avoidance, e.id, nowMs));
  // If all are avoided, the fault is more likely on the gateway's side.
  const usable = [notAvoided, reporting, untried, open].find(
    list => list.length > 0,
  )!;
  if (usable !== open) step('tried before', untried);
  if (usable === reporting || usable === notAvoided) step('silent', reporting);
  if (usable === notAvoided) step('avoided', notAvoided);
  const notFull = step(
    'full',
    usable.filter(
      e => estimatedRequests(loads, e.id, nowMs) < capacity(loads, e, nowMs),
    ),
  );
  const withRoom = step('rate', notFull.filter(context.withinRate));
  const notSlow = withRoom.filter(e => !isSlow(loads, e.id, nowMs));
  const available = notSlow.length > 0 ? step('slow', notSlow) : withRoom;
  const allowed = available.filter(e => hasAllowance(loads, e.id, nowMs));
  if (allowed.length > 0) {
    step('no share', allowed);
    const counts = allowed.map(e => estimatedRequests(loads, e.id, nowMs));
    const least = Math.min(...counts);
    const limit = least + NEARLY_EQUAL_REQUESTS;
    const near = allowed.filter((_, i) => counts[i]! <= limit);
    const own = near.filter(e => e.zone === context.zone);
    const zone = own.length > 0 ? context.zone : undefined;
    const holders = worthwhileHolders(allowed, counts, zone, context.prompt);
    if (holders.length > 0) {
      step('later first event', holders);
      return end({kind: 'endpoint', among: holders});
    }
    step('more loaded', near);
    const among = own.length > 0 ? step('other zone', own) : near;
    return end({kind: 'endpoint', among});
  }
  if (context.hasBacklog) {
    step('no share', allowed);
    return end({kind: 'full'});
  }
  const roomy = available.filter(
    e =>
      estimatedRequests(loads, e.id, nowMs) <=
      capacity(loads, e, nowMs) * MAX_FILL_WITHOUT_SHARE,
  );
  if (roomy.length <= usable.length / 2) {
    step('no share', allowed);
    return end({kind: 'full'});
  }
  step('no room without a share', roomy);
  return end({kind: 'endpoint', among: roomy});
}

function withoutSilent(
  endpoints: readonly Registration[],
  serving: readonly Registration[],
  {loads, nowMs}: ChoiceContext,
): readonly Registration[] {
  const silent = silentEndpoints(serving, loads, nowMs);
  return silent.size === 0
    ? endpoints
    : endpoints.filter(e => !silent.has(e.id));
}

/**
 * Ids of the endpoints whose reports have stopped. If those of most have, the
 * reports are at fault and not the endpoints, and there are none.
 */
export function silentEndpoints(
  serving: readonly Registration[],
  loads: Loads,
  nowMs: number,
): ReadonlySet<string> {
  const silent = serving.filter(e => isSilent(loads, e.id, nowMs));
  if (silent.length > serving.length / 2) return new Set();
  return new Set(silent.map(e => e.id));
}

/** Differences of estimates below this are noise, in ms. */
const EQUAL_ESTIMATE_MS = 1;

/**
 * The endpoints with the earliest first event among those that hold a part of
 * the prompt. One that is not nearly least loaded counts only if reading less
 * saves more time than its load costs all streams there, so that a popular
 * beginning is spread as its endpoints fill. Zones matter as for other requests.
 */
function worthwhileHolders(
  allowed: readonly Registration[],
  /** Requests at each of them. */
  counts: readonly number[],
  /** Zone to stay in; undefined if all may be used. */
  zone: string | undefined,
  prompt: PromptPreference | undefined,
): readonly Registration[] {
  if (!prompt || prompt.holders.size === 0) return [];
  const {engine, promptTokens} = prompt;
  const least = Math.min(...counts);
  const worthwhile: {
    readonly endpoint: Registration;
    readonly ms: number;
  }[] = [];
  allowed.forEach((endpoint, i) => {
    if (!prompt.holders.has(endpoint.id)) return;
    if (zone !== undefined && endpoint.zone !== zone) return;
    const requests = counts[i]!;
    const held = Math.min(
      prompt.heldTokens(endpoint),
      promptTokens,
      engine.memoryTokens,
    );
    if (held === 0) return;
    const isNear = requests <= least + NEARLY_EQUAL_REQUESTS;
    const savedMs = readMs(engine, held);
    if (!isNear && savedMs <= slowingMs(engine, requests, least)) return;
    const ms = firstEventMs(engine, requests, promptTokens - held);
    worthwhile.push({endpoint, ms});
  });
  const bestMs = worthwhile.reduce((ms, w) => Math.min(ms, w.ms), Infinity);
  if (bestMs >= firstEventMs(engine, least, promptTokens)) return [];
  return worthwhile
    .filter(w => w.ms <= bestMs + EQUAL_ESTIMATE_MS)
    .map(w => w.endpoint);
}

function pickOne<T>(among: readonly T[], random: () => number): T {
  return among[Math.floor(random() * among.length)]!;
}
