/**
 * The oracle of the claims model: what the endpoint really ran, and what
 * callers and rows may say of it.
 */
import {ClaimRequest} from '../../src/claims/claims';
import {Recorded} from '../../src/claims/outcomes';
import {ClaimRow, decodeAnswer} from '../../src/claims/rows';
import {AttemptRef} from '../../src/wire/messages';

export interface Call {
  readonly request: ClaimRequest;
  phase: 'claiming' | 'started' | 'asking' | 'over';
  said?: 'ran' | 'not-run' | 'unknown' | 'conflict';
}

/** One attempt at the endpoint. */
export interface Job {
  readonly ref: AttemptRef;
  readonly key: string;
  readonly bodyHash: string;
}

const text = new TextDecoder();
const bytes = new TextEncoder();

export function refText({requestId, attempt}: AttemptRef): string {
  return `${requestId}#${attempt}`;
}

export class Violation extends Error {}

export class Oracle {
  readonly executedRefs = new Set<string>();
  readonly saidNotRun = new Set<string>();
  /** Calls that ended as unknown. */
  unknown = 0;
  private readonly executed = new Map<string, string[]>();
  private readonly executedBodies = new Map<string, string>();

  runsOf(key: string): number {
    return this.executed.get(key)?.length ?? 0;
  }

  /** A row may only say what the endpoint's executions bear out. */
  checkRow(key: string, row: ClaimRow): void {
    const runs = this.executed.get(key)?.length ?? 0;
    const free = row.state === 'claimed' || row.state === 'released';
    if (free && runs > 0) {
      throw new Violation(`${key} becomes ${row.state} after it ran`);
    }
    if (row.state !== 'done') return;
    const got = text.decode(decodeAnswer(row.answer!, undefined)!.body);
    if (got !== this.executed.get(key)?.[0]) {
      throw new Violation(`${key} is recorded with ${got}`);
    }
  }

  runOnce({ref, key, bodyHash}: Job, padded: boolean): Recorded {
    if (this.saidNotRun.has(refText(ref))) {
      throw new Violation(`${refText(ref)} ran after it was said not to run`);
    }
    const runs = this.executed.get(key) ?? [];
    if (runs.length > 0) throw new Violation(`${key} ran twice`);
    const padding = padded ? '.'.repeat(80) : '';
    const body = `${key} by ${refText(ref)}${padding}`;
    this.executed.set(key, [...runs, body]);
    this.executedRefs.add(refText(ref));
    this.executedBodies.set(key, bodyHash);
    return {status: 200, headers: [], body: bytes.encode(body)};
  }

  checkAnswer({request}: Call, answer: Recorded): void {
    const [own] = this.executed.get(request.key) ?? [];
    const got = text.decode(answer.body);
    const sameBody = this.executedBodies.get(request.key) === request.bodyHash;
    if (got !== own || !sameBody) {
      throw new Violation(`${request.key} is answered with ${got}`);
    }
  }

  say(call: Call, said: NonNullable<Call['said']>): void {
    call.phase = 'over';
    call.said = said;
    if (said === 'unknown') this.unknown += 1;
    if (said !== 'not-run') return;
    const ref = refText(call.request);
    if (this.executedRefs.has(ref)) {
      throw new Violation(`${ref} is said not to have run but ran`);
    }
    this.saidNotRun.add(ref);
  }
}
