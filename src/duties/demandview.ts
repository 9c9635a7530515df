/**
 * What the holder of the scaling duty knows from the messages of gateways.
 *
 * Failures: gateways restart (their cumulative counts begin anew), messages are
 * lost or late, and a gateway that is cut off sees fewer reports of a zone than
 * others. Of the loads that gateways heard lately, the one with the most
 * reporting endpoints counts.
 */
import {Map} from 'immutable';
import {ScalingObservation} from './scaling';
import {ServiceDemand, UsageMessage, ZoneLoad} from './usagemessage';

interface Heard<T> {
  readonly value: T;
  readonly heardMs: number;
}

interface Source {
  readonly zone: string;
  readonly heardMs: number;
  readonly demand: Map<string, Heard<ServiceDemand>>;
  /** By `subjectKey`. */
  readonly loads: Map<string, Heard<ZoneLoad>>;
}

/** Requests at the gateways of a zone; older ones weigh less. */
interface Flow {
  readonly begun: number;
  readonly refused: number;
}

export interface DemandView {
  readonly sources: Map<string, Source>;
  readonly flows: Map<string, Flow>;
}

/** Time for which what a gateway said counts, in milliseconds. */
const HEARD_VALID_MS = 1_500;
/** Age of the load reports behind a gateway's message, at most. */
const REPORT_AGE_MS = 1_000;
/** Weight that begun and refused requests keep from one second to the next. */
const FLOW_KEPT = 0.7;
/** Bound on the gateway processes, and on the services or subjects of one. */
const MAX_SOURCES = 8_192;
const MAX_ITEMS = 1_024;
/** Time after which a silent gateway is forgotten, in milliseconds. */
const SOURCE_TIMEOUT_MS = 10_000;

const NO_FLOW: Flow = {begun: 0, refused: 0};

export const emptyDemandView: DemandView = {sources: Map(), flows: Map()};

export function subjectKey(service: string, zone: string): string {
  return JSON.stringify([service, zone]);
}

export function addMessage(
  view: DemandView,
  message: UsageMessage,
  nowMs: number,
): DemandView {
  const id = `${message.processStartMs} ${message.entry}`;
  const known = view.sources.get(id);
  if (!known && view.sources.size >= MAX_SOURCES) return view;
  const {zone} = message;
  let {demand = Map(), loads = Map()}: Partial<Source> = known ?? {};
  let {flows} = view;
  for (const value of message.demand) {
    const before = demand.get(value.service)?.value;
    if (!before && demand.size >= MAX_ITEMS) continue;
    // A message that is late has lower counts.
    if (before && value.begun + value.refused < before.begun + before.refused)
      continue;
    demand = demand.set(value.service, {value, heardMs: nowMs});
    if (!before) continue;
    flows = flows.update(
      subjectKey(value.service, zone),
      NO_FLOW,
      ({begun, refused}) => ({
        begun: begun + value.begun - before.begun,
        refused: refused + Math.max(0, value.refused - before.refused),
      }),
    );
  }
  for (const value of message.loads) {
    const key = subjectKey(value.service, value.zone);
    if (loads.size >= MAX_ITEMS && !loads.has(key)) continue;
    loads = loads.set(key, {value, heardMs: nowMs});
  }
  const source = {zone, heardMs: nowMs, demand, loads};
  return {flows, sources: view.sources.set(id, source)};
}

/** What was observed now; the zones that are out are not known here. */
export type Observations = Map<
  string,
  Omit<ScalingObservation, 'isZoneOut'> & {
    readonly service: string;
    readonly zone: string;
  }
>;

/** The observations, and the view for the next second. */
export function observe(
  {sources, flows}: DemandView,
  nowMs: number,
): {readonly view: DemandView; readonly observations: Observations} {
  const waiting = new globalThis.Map<string, number>();
  let best = Map<string, Heard<ZoneLoad>>();
  for (const source of sources.values()) {
    for (const {value, heardMs} of source.demand.values()) {
      if (nowMs - heardMs > HEARD_VALID_MS) continue;
      const key = subjectKey(value.service, source.zone);
      waiting.set(key, (waiting.get(key) ?? 0) + value.waiting);
    }
    for (const [key, load] of source.loads) {
      if (nowMs - load.heardMs > HEARD_VALID_MS) continue;
      if (load.value.reporting > (best.get(key)?.value.reporting ?? -1))
        best = best.set(key, load);
    }
  }
  const observations = best.map(({value, heardMs}, key) => ({
    ...value,
    ...flows.get(key, NO_FLOW),
    waiting: waiting.get(key) ?? 0,
    ageMs: nowMs - heardMs + REPORT_AGE_MS,
  }));
  const view = {
    sources: sources.filter(s => nowMs - s.heardMs <= SOURCE_TIMEOUT_MS),
    flows: flows
      .filter((_, key) => best.has(key))
      .map(({begun, refused}) => ({
        begun: begun * FLOW_KEPT,
        refused: refused * FLOW_KEPT,
      })),
  };
  return {view, observations};
}
