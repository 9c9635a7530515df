/**
 * Prompts of requests that ended lately, by the process of the endpoint they were
 * sent to, until it is known whether that process has outlived them.
 *
 * How an answer ends doesn't tell whether its endpoint has crashed: a process that
 * ends leaves an answer without a length looking complete, and it may also end just
 * after the last byte of any answer. What tells is a sign of life of the same process
 * from later on, or the confirmation that it has ended.
 */
import {Endpoint, Prompt} from './model';

/** An attempt that has ended at an endpoint which may have run it. */
export interface EndedAttempt {
  /** As it was registered when the request was sent. */
  readonly endpoint: Endpoint;
  readonly prompt: Prompt;
  readonly requestId: string;
  /** Monotonic times. */
  readonly sentMs: number;
  /**
   * When the endpoint may have ended the attempt: at one moment, unless the connection
   * wasn't read for a while before, or was closed by this process.
   */
  readonly fromMs: number;
  readonly toMs: number;
  /** Whether the endpoint's side ended the attempt before its answer was complete. */
  readonly isCut: boolean;
  /** Whether the endpoint had begun to write an answer on the prompt. */
  readonly hasAnswer: boolean;
  /** Since when the endpoint has been leaving; undefined if it isn't. */
  readonly leavingSinceMs: number | undefined;
  /** Whether the endpoint's group had stopped, and with it all of its requests. */
  readonly isStalled: boolean;
}

/** Answers on a prompt that an endpoint's process has outlived. */
export interface OutlivedAnswers {
  readonly prompt: Prompt;
  /** When the last of them ended; monotonic. */
  readonly ms: number;
}

interface RecentPrompt {
  /** The last attempt. */
  readonly last: EndedAttempt;
  /** Ends of the first and the last attempt with an answer, if there are any. */
  readonly answeredMs:
    {readonly first: number; readonly last: number} | undefined;
}

interface Process {
  readonly endpoint: Endpoint;
  /** In the order in which they ended last, by their parts. */
  readonly prompts: Map<string, RecentPrompt>;
}

/**
 * Attempts that ended at most this long before the last one ended together with it;
 * earlier ones have another cause.
 */
const SAME_END_MS = 300;

/** Bounds on what is held; the oldest are dropped. */
const MAX_PROCESSES = 2_048;
const MAX_PROMPTS_PER_PROCESS = 256;

export class RecentPrompts {
  /** In the order in which an attempt last ended there. */
  private readonly processes = new Map<string, Process>();

  get isEmpty(): boolean {
    return this.processes.size === 0;
  }

  add(attempt: EndedAttempt): void {
    const {endpoint, prompt, hasAnswer, toMs} = attempt;
    const id = processOf(endpoint);
    const {prompts} = this.processes.get(id) ?? {prompts: new Map()};
    moveToEnd(this.processes, id, {endpoint, prompts}, MAX_PROCESSES);
    const key = prompt.join();
    const known = prompts.get(key)?.answeredMs;
    const answeredMs = hasAnswer
      ? {first: known?.first ?? toMs, last: toMs}
      : known;
    const recent = {last: attempt, answeredMs};
    moveToEnd(prompts, key, recent, MAX_PROMPTS_PER_PROCESS);
  }

  /** Takes out what the process has outlived, which was alive at `aliveMs`. */
  takeOutlived(process: string, aliveMs: number): readonly OutlivedAnswers[] {
    const found = this.processes.get(process);
    if (!found) return [];
    const outlived: OutlivedAnswers[] = [];
    for (const [key, {last, answeredMs}] of found.prompts) {
      const {prompt} = last;
      let remaining = answeredMs;
      if (answeredMs && answeredMs.first <= aliveMs) {
        const isLast = answeredMs.last <= aliveMs;
        const ms = isLast ? answeredMs.last : answeredMs.first;
        outlived.push({prompt, ms});
        remaining = isLast
          ? undefined
          : {first: answeredMs.last, last: answeredMs.last};
      }
      if (last.toMs <= aliveMs) found.prompts.delete(key);
      else if (remaining !== answeredMs)
        found.prompts.set(key, {last, answeredMs: remaining});
    }
    if (found.prompts.size === 0) this.processes.delete(process);
    return outlived;
  }

  /**
   * Takes out a process that has ended, and returns the attempts that ended with it:
   * those that may have ended since `sinceMs`, close to the last one. The last comes
   * first.
   */
  takeEnded(process: string, sinceMs: number): readonly EndedAttempt[] {
    const found = this.processes.get(process);
    if (!found) return [];
    this.processes.delete(process);
    const attempts = [...found.prompts.values()]
      .map(({last}) => last)
      .filter(a => a.leavingSinceMs === undefined && !a.isStalled)
      .filter(a => a.toMs >= sinceMs)
      .sort((a, b) => b.fromMs - a.fromMs);
    const lastMs = attempts[0]?.fromMs ?? -Infinity;
    return attempts.filter(a => a.toMs >= lastMs - SAME_END_MS);
  }

  /** The processes' endpoints, by process. */
  endpoints(): ReadonlyMap<string, Endpoint> {
    return new Map([...this.processes].map(([id, p]) => [id, p.endpoint]));
  }

  /** The process leaves, so it may end at any moment without having crashed. */
  excuse(process: string, leavingSinceMs: number): void {
    const found = this.processes.get(process);
    if (!found) return;
    for (const [key, {last, answeredMs}] of found.prompts) {
      const leaving = {...last, leavingSinceMs};
      found.prompts.set(key, {last: leaving, answeredMs});
    }
  }
}

/** An endpoint may keep its id when its process starts anew. */
export function processOf({id, startedMs}: Endpoint): string {
  return startedMs === undefined ? id : `${id}/${startedMs}`;
}

/** Sets an entry as the newest, and drops the oldest one beyond `max`. */
function moveToEnd<V>(
  map: Map<string, V>,
  key: string,
  value: V,
  max: number,
): void {
  map.delete(key);
  map.set(key, value);
  const [oldest] = map.keys();
  if (map.size > max) map.delete(oldest!);
}
