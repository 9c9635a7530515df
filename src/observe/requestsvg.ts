/**
 * Draws the events of one request as an SVG diagram: a horizontal lane for
 * each process, a dot for each event at its time, and a line that connects
 * the events in causal order.
 */
import {create} from 'xmlbuilder';
import {wallTimeOf} from './merge';
import {TimelineEvent} from './timeline';

const WIDTH_PX = 1_000;
const LANE_HEIGHT_PX = 70;
const LANE_LABEL_WIDTH_PX = 160;
const MARGIN_PX = 30;
const LABEL_ROWS = 3;
const LABEL_ROW_HEIGHT_PX = 14;

interface Point {
  readonly event: TimelineEvent;
  readonly x: number;
  readonly y: number;
}

/** An SVG document; `events` are in causal order and not empty. */
export function renderRequestSvg(events: readonly TimelineEvent[]): string {
  const lanes = [...new Set(events.map(event => event.instance))];
  const points = positionEvents(events, lanes);
  const height = MARGIN_PX * 2 + lanes.length * LANE_HEIGHT_PX;
  const svg = create('svg', {headless: true}).att({
    xmlns: 'http://www.w3.org/2000/svg',
    width: WIDTH_PX,
    height,
    'font-family': 'sans-serif',
    'font-size': 11,
  });
  svg.ele('title').txt(`Request ${events[0]!.requestId}`);
  lanes.forEach((lane, i) => {
    const y = laneCentreY(i);
    svg.ele('text', {x: 4, y: y + 4}).txt(lane);
    const ends = {
      x1: LANE_LABEL_WIDTH_PX,
      y1: y,
      x2: WIDTH_PX - MARGIN_PX,
      y2: y,
    };
    svg.ele('line', {...ends, stroke: '#ccc'});
  });
  const path = points.map(({x, y}) => `${x},${y}`).join(' ');
  svg.ele('polyline', {points: path, fill: 'none', stroke: '#69c'});
  points.forEach(({event, x, y}, i) => {
    svg.ele('circle', {cx: x, cy: y, r: 4, fill: '#036'});
    const labelY = y - 6 - (i % LABEL_ROWS) * LABEL_ROW_HEIGHT_PX;
    const label = svg.ele('text', {x: x + 3, y: labelY});
    label.txt(event.name);
    label
      .ele('title')
      .txt(`${wallTimeOf(event).toISOString()} ${event.detail}`);
  });
  return svg.end({pretty: true});
}

function laneCentreY(index: number): number {
  return MARGIN_PX + index * LANE_HEIGHT_PX + LANE_HEIGHT_PX / 2;
}

/**
 * Half of an event's x position depends on its time and half on its index, so
 * that events of the same millisecond stay apart.
 */
function positionEvents(
  events: readonly TimelineEvent[],
  lanes: readonly string[],
): readonly Point[] {
  const times = events.map(event => wallTimeOf(event).getTime());
  const first = times[0]!;
  const span = Math.max(1, times.at(-1)! - first);
  const last = Math.max(1, events.length - 1);
  const plotWidth = WIDTH_PX - LANE_LABEL_WIDTH_PX - MARGIN_PX * 4;
  return events.map((event, i) => {
    const byTime = (times[i]! - first) / span;
    const x =
      LANE_LABEL_WIDTH_PX + MARGIN_PX + (plotWidth * (byTime + i / last)) / 2;
    return {
      event,
      x: Math.round(x),
      y: laneCentreY(lanes.indexOf(event.instance)),
    };
  });
}
