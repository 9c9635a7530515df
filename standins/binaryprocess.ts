/** Runs the real binary as a child process and collects its log lines. */
import {ChildProcess, spawn} from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import readline from 'node:readline';

export const BINARY = path.join(__dirname, '..', 'dist', 'boragemill');

export interface LogLine {
  readonly event: string;
  readonly [field: string]: unknown;
}

const DEFAULT_TIMEOUT_MS = 15_000;

/** Polls until `condition` holds; rejects after the timeout. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  what: string,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<void> {
  const end = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > end) throw new Error(`timed out waiting for ${what}`);
    await new Promise(done => setTimeout(done, 10));
  }
}

export class BinaryProcess {
  readonly logLines: LogLine[] = [];
  /** Output lines that are not JSON. */
  readonly nonJsonLines: string[] = [];
  readonly exited: Promise<number | null>;
  private readonly child: ChildProcess;

  constructor(
    readonly program: 'entry' | 'sidecar',
    readonly instance: string,
    settings: object,
  ) {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'boragemill-'));
    const file = path.join(directory, `${instance}.jsonc`);
    fs.writeFileSync(file, JSON.stringify(settings, null, 2));
    this.child = spawn(BINARY, [program, '--settings', file], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exited = new Promise(done => {
      this.child.once('exit', code => {
        fs.rmSync(directory, {recursive: true, force: true});
        done(code);
      });
    });
    for (const input of [this.child.stdout!, this.child.stderr!]) {
      readline.createInterface({input}).on('line', line => this.readLine(line));
    }
  }

  get pid(): number {
    return this.child.pid!;
  }

  /** Waits for the "listening" log line and returns it; it has the ports. */
  async waitForPorts(): Promise<Readonly<Record<string, number>>> {
    const find = () => this.logLines.find(line => line.event === 'listening');
    await waitUntil(() => find() !== undefined, `${this.instance} to listen`);
    return find() as unknown as Readonly<Record<string, number>>;
  }

  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resident memory in bytes. */
  residentBytes(): number {
    const status = fs.readFileSync(`/proc/${this.pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+)/.exec(status)![1]) * 1_024;
  }

  /** Processor time used so far, user and system, in milliseconds. */
  cpuMs(): number {
    const stat = fs.readFileSync(`/proc/${this.pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[11]) + Number(fields[12]);
    const msPerTick = 10;
    return ticks * msPerTick;
  }

  private readLine(line: string): void {
    try {
      this.logLines.push(JSON.parse(line) as LogLine);
    } catch {
      this.nonJsonLines.push(line);
    }
  }
}
