/**
 * Stand-in for the platform's calls for duties. It records each call when it is
 * executed. Tests switch faults on, and `oneViolations` says which calls break the
 * invariant ONE of docs/design/overview.md.
 */
import http from 'node:http';
import {listen} from './ports';

export interface DutyCall {
  /** When the platform executed the call, in milliseconds. */
  readonly atMs: number;
  readonly holder: string;
  readonly token: number;
  /** The duty and what it concerns, as `usage` or `scale/SERVICE/ZONE`. */
  readonly subject: string;
  /** Window and counts of a report. */
  readonly report?: {readonly window: number; readonly counts: string};
  /** Number of endpoints that a scaling order asks for. */
  readonly desired?: number;
  /** Whether ONE excuses the call, which the test knows. */
  readonly isExcused?: boolean;
}

/** Describes each call that breaks the invariant. */
export function oneViolations(
  calls: readonly DutyCall[],
  leaseMs: number,
): readonly string[] {
  const violations: string[] = [];
  const reports = new Map<number, string>();
  const holders = new Map<string, string>();
  const highest = new Map<string, number>();
  /** Last call of each holder, by subject. */
  const lastMs = new Map<string, Map<string, number>>();
  const lastHolder = new Map<string, string>();
  for (const call of [...calls].sort((a, b) => a.atMs - b.atMs)) {
    const {atMs, holder, token, subject, report, isExcused} = call;
    const seenToken = highest.get(subject) ?? 0;
    highest.set(subject, Math.max(seenToken, token));
    if (isExcused) continue;
    const found = (rule: string) =>
      violations.push(`${rule}: ${JSON.stringify(call)}`);
    if (token < seenToken) found(`token below ${seenToken}`);
    const key = `${subject} ${token}`;
    const user = holders.get(key) ?? holder;
    holders.set(key, user);
    if (user !== holder) found(`token of ${user}`);
    if (report) {
      const counts = reports.get(report.window) ?? report.counts;
      reports.set(report.window, counts);
      if (counts !== report.counts) found(`window reported as ${counts}`);
    }
    const times = lastMs.get(subject) ?? new Map<string, number>();
    lastMs.set(subject, times);
    const isReturn = lastHolder.get(subject) !== holder;
    const sinceMs = atMs - (times.get(holder) ?? -Infinity);
    if (isReturn && sinceMs <= leaseMs) found(`A, B, A within ${sinceMs} ms`);
    times.set(holder, atMs);
    lastHolder.set(subject, holder);
  }
  return violations;
}

/**
 * Whether the platform answers as usual, with 503, not at all, or executes calls
 * `delayMs` after it received them.
 */
export type CloudMode = 'normal' | 'busy' | 'silent' | 'late';

const subjectOf: Readonly<
  Record<string, (body: Readonly<Record<string, unknown>>) => string>
> = {
  '/usage': () => 'usage',
  '/scale': ({service, zone}) =>
    `scale/${JSON.stringify(service)}/${JSON.stringify(zone)}`,
};

export class CloudStandin {
  mode: CloudMode = 'normal';
  delayMs = 2_000;
  /** Whether a token below the highest of its subject gets 409. */
  enforcesFencing = false;
  /** Calls a second from all instances together. */
  callsPerS = 50;
  readonly calls: DutyCall[] = [];
  /** Calls that were not executed because of their token. */
  readonly rejected: DutyCall[] = [];
  /** Answered statuses, 0 for a call without an answer. */
  readonly statuses: number[] = [];
  private receivedMs: readonly number[] = [];
  private readonly server = http.createServer((req, res) =>
    this.handle(req, res),
  );

  async start(): Promise<string> {
    const port = await listen(this.server);
    return `127.0.0.1:${port}`;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handle(req: http.IncomingMessage, res: http.ServerResponse): void {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('error', () => this.statuses.push(0));
    req.on('end', () => {
      const execute = () => this.execute(req, Buffer.concat(chunks).toString());
      if (this.mode === 'silent') return void this.statuses.push(0);
      if (this.mode === 'busy') return this.answer(res, 503);
      if (this.mode === 'late') {
        this.statuses.push(0);
        return void setTimeout(execute, this.delayMs);
      }
      this.answer(res, this.isOverRate() ? 429 : execute());
    });
  }

  private isOverRate(): boolean {
    const nowMs = performance.now();
    this.receivedMs = this.receivedMs.filter(ms => nowMs - ms < 1_000);
    if (this.receivedMs.length >= this.callsPerS) return true;
    this.receivedMs = [...this.receivedMs, nowMs];
    return false;
  }

  /** Executes a call and returns the status of its answer. */
  private execute(req: http.IncomingMessage, text: string): number {
    const subject = subjectOf[req.url ?? ''];
    const holder = req.headers['boragemill-duty-holder'];
    const token = Number(req.headers['boragemill-fencing-token']);
    if (!subject || typeof holder !== 'string' || !(token >= 1)) return 400;
    const body = JSON.parse(text) as Readonly<Record<string, unknown>>;
    const call: DutyCall = {
      atMs: performance.now(),
      holder,
      token,
      subject: subject(body),
      ...(req.url === '/usage'
        ? {
            report: {
              window: Number(body.window),
              counts: JSON.stringify(body.counts),
            },
          }
        : {desired: Number(body.desired)}),
    };
    const isOutdated = this.calls.some(
      c => c.subject === call.subject && c.token > token,
    );
    if (isOutdated && this.enforcesFencing) {
      this.rejected.push(call);
      return 409;
    }
    this.calls.push(call);
    return 200;
  }

  private answer(res: http.ServerResponse, status: number): void {
    this.statuses.push(status);
    res.writeHead(status, {'Content-Type': 'application/json'});
    res.end('{}');
  }
}
