/** Entries of the platform, for tests that need several of them. */
import {Deployment} from '../platform/settings';
import {Program} from '../src/kernel/program';
import {wirePlatformEntry} from '../src/wiring-platform';
import {freePort} from '../standins/ports';

export interface PlatformEntry {
  readonly program: Program;
  /** Address for callers. */
  readonly address: string;
  /** UDP port for load reports. */
  readonly peerPort: number;
}

/** Settings of a process that serves no callers and has no endpoint. */
export function platformDeployment(
  instance: string,
  store: string,
  bounds: Partial<Deployment['bounds']> = {},
): Deployment {
  return {
    instance,
    zone: 'z1',
    ip: '127.0.0.1',
    callers: undefined,
    readiness: undefined,
    peerPort: 0,
    metricsPort: 0,
    endpoint: undefined,
    service: undefined,
    store,
    machine: {memoryBytes: 202_000_000, maxFds: 2_069},
    bounds: {
      graceMs: 4_000,
      drainMs: 2_000,
      configurationMs: 2_000,
      contactMs: 3_000,
      revokeMs: 5_000,
      failClosed: true,
      retryRatio: 0.2,
      retryWindowMs: 10_000,
      ...bounds,
    },
  };
}

export async function startEntries(
  count: number,
  store: string,
  bounds: Partial<Deployment['bounds']> = {},
): Promise<readonly PlatformEntry[]> {
  const entries: PlatformEntry[] = [];
  for (let i = 0; i < count; i++) {
    const address = `127.0.0.1:${await freePort()}`;
    const peerPort = await freePort();
    const program = wirePlatformEntry({
      ...platformDeployment(`entry-${i}`, store, bounds),
      callers: address,
      peerPort,
    });
    await program.start();
    entries.push({program, address, peerPort});
  }
  return entries;
}
