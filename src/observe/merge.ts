/**
 * Merges the events of several processes into one causal order.
 */
import {Map} from 'immutable';
import * as hlc from './hlc';
import {TimelineEvent} from './timeline';

/** Sorts by hybrid logical clock stamp, then by instance. */
export function mergeEvents(
  rings: readonly (readonly TimelineEvent[])[],
): readonly TimelineEvent[] {
  return rings.flat().sort((a, b) => compareEvents(a, b));
}

function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  if (a.hlc !== b.hlc) return a.hlc < b.hlc ? -1 : 1;
  return a.instance < b.instance ? -1 : 1;
}

/** The events of each request, in the order of their first event. */
export function groupByRequest(
  events: readonly TimelineEvent[],
): Map<string, readonly TimelineEvent[]> {
  const withRequestId = events.filter(event => event.requestId !== '');
  return withRequestId.reduce(
    (found, event) => found.update(event.requestId, [], old => [...old, event]),
    Map<string, readonly TimelineEvent[]>(),
  );
}

/** Wall time of an event's stamp. */
export function wallTimeOf(event: TimelineEvent): Date {
  return new Date(hlc.parse(event.hlc).wallMs);
}

/** One line for each event. */
export function formatEvents(events: readonly TimelineEvent[]): string {
  const lines = events.map(event => {
    const {instance, zone, name, requestId, detail} = event;
    const time = wallTimeOf(event).toISOString();
    return [time, zone, instance, requestId, name, detail].join(' ').trimEnd();
  });
  return lines.join('\n');
}
