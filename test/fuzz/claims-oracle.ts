/**
 * The oracle of the claims model: tracks what the endpoint ran, and checks
 * what callers are told and what claim rows record about it.
 */
import {ClaimRequest} from '../../src/claims/claims';
import {RecordedAnswer} from '../../src/claims/outcomes';
import {ClaimRow, decodeAnswer} from '../../src/claims/rows';
import {AttemptRef} from '../../src/wire/messages';

export interface Call {
  readonly request: ClaimRequest;
  phase: 'claiming' | 'started' | 'asking' | 'over';
  reported?: 'ran' | 'not-run' | 'unknown' | 'conflict';
}

/** One attempt at the endpoint. */
export interface Attempt {
  readonly ref: AttemptRef;
  readonly key: string;
  readonly bodyHash: string;
}

const decoder = new TextDecoder();
const encoder = new TextEncoder();

export function refText({requestId, attempt}: AttemptRef): string {
  return `${requestId}#${attempt}`;
}

export class Violation extends Error {}

export class Oracle {
  readonly executedRefs = new Set<string>();
  readonly reportedNotRun = new Set<string>();
  /** The number of calls that ended as unknown. */
  unknownCalls = 0;
  private readonly executed = new Map<string, string[]>();
  private readonly executedBodies = new Map<string, string>();

  runsOf(key: string): number {
    return this.executed.get(key)?.length ?? 0;
  }

  /** Throws if a row contradicts what the endpoint ran. */
  checkRow(key: string, row: ClaimRow): void {
    const runs = this.executed.get(key)?.length ?? 0;
    const unstarted = row.state === 'claimed' || row.state === 'released';
    if (unstarted && runs > 0) {
      throw new Violation(
        `row of ${key} becomes ${row.state} after the key ran`,
      );
    }
    if (row.state !== 'done') return;
    const got = decoder.decode(decodeAnswer(row.answer!, undefined)!.body);
    if (got !== this.executed.get(key)?.[0]) {
      throw new Violation(
        `row of ${key} records an answer that the key's first run did not give: ${got}`,
      );
    }
  }

  runOnce({ref, key, bodyHash}: Attempt, padded: boolean): RecordedAnswer {
    if (this.reportedNotRun.has(refText(ref))) {
      throw new Violation(
        `${refText(ref)} ran after it was reported as not run`,
      );
    }
    const runs = this.executed.get(key) ?? [];
    if (runs.length > 0) throw new Violation(`${key} ran twice`);
    const padding = padded ? '.'.repeat(80) : '';
    const body = `${key} by ${refText(ref)}${padding}`;
    this.executed.set(key, [...runs, body]);
    this.executedRefs.add(refText(ref));
    this.executedBodies.set(key, bodyHash);
    return {status: 200, headers: [], body: encoder.encode(body)};
  }

  checkAnswer({request}: Call, answer: RecordedAnswer): void {
    const [executedBody] = this.executed.get(request.key) ?? [];
    const got = decoder.decode(answer.body);
    const sameBody = this.executedBodies.get(request.key) === request.bodyHash;
    if (got !== executedBody || !sameBody) {
      throw new Violation(
        `${request.key} is answered with an answer that no run with its body gave: ${got}`,
      );
    }
  }

  endCall(call: Call, result: NonNullable<Call['reported']>): void {
    call.phase = 'over';
    call.reported = result;
    if (result === 'unknown') this.unknownCalls += 1;
    if (result !== 'not-run') return;
    const ref = refText(call.request);
    if (this.executedRefs.has(ref)) {
      throw new Violation(`${ref} is reported as not run but ran`);
    }
    this.reportedNotRun.add(ref);
  }
}
