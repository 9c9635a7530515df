/**
 * `timeline`: reads the events of all processes and merges them.
 */
import fs from 'node:fs';
import {EXIT_CODES} from '../kernel/errors';
import {groupByRequest, mergeEvents, formatEvents} from '../observe/merge';
import {renderRequestSvg} from '../observe/requestsvg';
import {TimelineEvent} from '../observe/timeline';
import {readEvents} from '../wire/client';
import {callEach} from './concurrentcalls';
import {listInstances, loadOperatorSettings} from './operator';

export type TimelineFormat = 'text' | 'json' | 'html';

export interface TimelineOptions {
  readonly settings: string;
  readonly request?: string;
  readonly format: TimelineFormat;
  /** A file to write to; standard output by default. */
  readonly out?: string;
}

/** Largest number of requests that an HTML page draws. */
const MAX_DRAWN_REQUESTS = 50;

/** Returns the exit code: `failed` if no process answered. */
export async function showTimeline(options: TimelineOptions): Promise<number> {
  const settings = loadOperatorSettings(options.settings);
  const instances = await listInstances(settings);
  const request = options.request ?? '';
  const rings = await callEach(instances, ({address}) =>
    readEvents(address, settings.peers, request),
  );
  rings.forEach((ring, i) => {
    if (ring) return;
    const {instance} = instances[i]!;
    process.stderr.write(`${instance}: no answer; its events are missing\n`);
  });
  const read = rings.filter(ring => ring !== undefined);
  if (read.length === 0) return EXIT_CODES.failed;
  const events = mergeEvents(read);
  writeOutput(renderEvents(events, options.format), options.out);
  return EXIT_CODES.done;
}

function renderEvents(
  events: readonly TimelineEvent[],
  format: TimelineFormat,
): string {
  switch (format) {
    case 'text':
      return formatEvents(events);
    case 'json':
      return events.map(event => JSON.stringify(event)).join('\n');
    case 'html':
      return renderHtmlPage(events);
  }
}

function renderHtmlPage(events: readonly TimelineEvent[]): string {
  const requests = groupByRequest(events).valueSeq().take(MAX_DRAWN_REQUESTS);
  const pictures = requests.map(found => renderRequestSvg(found)).join('\n');
  const title = '<title>boragemill time line</title>';
  return `<!doctype html>\n<meta charset="utf-8">\n${title}\n${pictures}`;
}

function writeOutput(text: string, out: string | undefined): void {
  if (out === undefined) process.stdout.write(text + '\n');
  else fs.writeFileSync(out, text + '\n');
}
