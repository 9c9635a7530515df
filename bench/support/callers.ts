/**
 * Callers of the zone rows, behind a stand-in for the platform's balancer.
 *
 * Each caller belongs to a zone and its requests go to that zone's entry. A
 * refused connection is tried at the next zone's entry, as nothing was sent.
 * Prompts share long prefixes, whose popularity follows a power law, and
 * every answer is compared with the expected text.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {expectedAnswer} from '../../standins/engine';

export const KEY = 'bench-key';
export const OUTPUT_TOKENS = 30;
/** The model with endpoints in all zones. */
export const EVERYWHERE = 'draft';
const FAMILIES = 48;
const PREFIX_BYTES = 1_024;
const LOAD_TICK_MS = 5;

/** An entry as the balancer and the callers within its zone see it. */
export interface Door {
  readonly zone: string;
  url: string;
  /** The balancer sends no callers there. */
  away: boolean;
  /** Counts the processes that have served under this name. */
  life: number;
}

/** `cut`: an answer that began and broke; `none`: no answer began. */
export type Result = 'whole' | 'wrong' | 'cut' | 'refused' | 'none';

export interface Sample {
  readonly atMs: number;
  /** Infinity when no token came. */
  readonly firstTokenMs: number;
  readonly result: Result;
  /** The error's message, of a refused request. */
  readonly message: string;
  /** The caller's zone. */
  readonly zone: string;
  /** The entry was killed while it held the request. */
  readonly entryDied: boolean;
}

export type Prompts = (index: number) => string;

export function sharedPrompts(seed: number): Prompts {
  const random = xoroshiro128plus(seed);
  return index => {
    const family = Math.floor(FAMILIES * uniformFloat64(random) ** 2);
    const prefix = `Terms of delivery ${family}. `.padEnd(PREFIX_BYTES, '.');
    return `${prefix} Delivery note ${index}`;
  };
}

export function completion(
  prompt: string,
  model: string = EVERYWHERE,
): RequestInit {
  const body = {
    model,
    prompt,
    max_tokens: OUTPUT_TOKENS,
    stream: true,
  };
  return {
    method: 'POST',
    headers: {authorization: `Bearer ${KEY}`},
    body: JSON.stringify(body),
  };
}

function isRefused(error: unknown): boolean {
  const {cause} = error as {cause?: {code?: string}};
  return cause?.code === 'ECONNREFUSED';
}

/** The doors in the order in which the balancer tries them. */
function order(doors: readonly Door[], home: number, turn: number): Door[] {
  const others = doors.filter((_, i) => i !== home);
  const turned = turn % 2 === 0 ? others : others.reverse();
  return [doors[home]!, ...turned].filter(door => !door.away);
}

async function connect(
  doors: readonly Door[],
  request: RequestInit,
): Promise<{readonly door: Door; readonly answer?: Response; life: number}> {
  for (const door of doors) {
    const {life} = door;
    try {
      const url = `${door.url}/v1/completions`;
      return {door, life, answer: await fetch(url, request)};
    } catch (error) {
      if (!isRefused(error)) return {door, life};
    }
  }
  return {door: doors[0]!, life: doors[0]!.life};
}

/** The text of a stream of events, and whether it ended as it should. */
function textOf(events: string): {text: string; ended: boolean} {
  const lines = events.split('\n\n').filter(line => line !== '');
  const ended = lines.at(-1) === 'data: [DONE]';
  const pieces = lines.slice(0, ended ? -1 : undefined).map(line => {
    try {
      const json = JSON.parse(line.slice('data: '.length)) as {
        readonly choices?: readonly {readonly text: string}[];
      };
      return json.choices?.[0]?.text ?? '';
    } catch {
      return '';
    }
  });
  return {text: pieces.join(''), ended};
}

async function send(
  doors: readonly Door[],
  zone: string,
  prompt: string,
  model?: string,
): Promise<Sample> {
  const atMs = performance.now();
  const request = completion(prompt, model);
  const {door, life, answer} = await connect(doors, request);
  let firstTokenMs = Infinity;
  let message = '';
  const sample = (result: Result): Sample => {
    const entryDied = door.life !== life;
    return {atMs, firstTokenMs, result, message, zone, entryDied};
  };
  if (!answer) return sample('none');
  let events = '';
  try {
    if (!answer.ok) {
      const {error} = (await answer.json()) as {error: {message: string}};
      message = error.message;
      return sample('refused');
    }
    const reader = answer.body!.getReader();
    const decoder = new TextDecoder();
    for (;;) {
      const {done, value} = await reader.read();
      if (done) break;
      if (events === '') firstTokenMs = performance.now() - atMs;
      events += decoder.decode(value, {stream: true});
    }
  } catch {
    return sample('cut');
  }
  const {text, ended} = textOf(events);
  if (!ended) return sample('cut');
  return sample(
    text === expectedAnswer(prompt, OUTPUT_TOKENS) ? 'whole' : 'wrong',
  );
}

export interface Load {
  stop(): Promise<readonly Sample[]>;
}

/** Sends requests of all zones in turn, at equal intervals. */
export function balancedLoad(
  doors: readonly Door[],
  intervalMs: number,
  prompts: Prompts,
): Load {
  return every(intervalMs, index => {
    const home = index % doors.length;
    const turn = Math.floor(index / doors.length);
    const zone = doors[home]!.zone;
    return send(order(doors, home, turn), zone, prompts(index));
  });
}

/** Sends requests of callers within a zone, who use its entry alone. */
export function insideLoad(
  door: Door,
  intervalMs: number,
  prompts: Prompts,
  model?: string,
): Load {
  return every(intervalMs, index =>
    send([door], door.zone, prompts(index), model),
  );
}

function every(
  intervalMs: number,
  sendOne: (index: number) => Promise<Sample>,
): Load {
  const started = performance.now();
  const pending: Promise<Sample>[] = [];
  const timer = setInterval(() => {
    const due = Math.floor((performance.now() - started) / intervalMs);
    while (pending.length < due) pending.push(sendOne(pending.length));
  }, LOAD_TICK_MS);
  return {
    async stop() {
      clearInterval(timer);
      return Promise.all(pending);
    },
  };
}
