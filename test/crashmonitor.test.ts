/**
 * What a gateway takes as the crash of an endpoint, and how gateways share it.
 *
 * Guards against crashes that are seen where none was, and against gateways
 * that do not learn of the crashes that others saw.
 */
import {expect} from 'chai';
import {VirtualClock} from '../bench/support/virtualclock';
import {CrashMonitor} from '../src/gateway/crashmonitor';
import {CrashRecord, Endpoint} from '../src/gateway/model';

const QUARANTINE_MS = 600_000;

/** Gateways that share a table of crash records. */
class SharedCrashes {
  readonly clock = new VirtualClock();
  readonly records = new Map<string, CrashRecord>();
  isDown = false;
  private readonly monitors: CrashMonitor[] = [];

  addGateway(): CrashMonitor {
    const refuse = () => Promise.reject(new Error('the store is down'));
    const monitor = new CrashMonitor({
      instance: `gateway-${this.monitors.length}`,
      store: {
        nowMs: () => this.clock.elapsedMs() + 50_000,
        write: records => {
          if (this.isDown) return refuse();
          records.forEach((record, key) => this.records.set(key, record));
          this.publish();
          return Promise.resolve();
        },
        remove: keys => {
          keys.forEach(key => this.records.delete(key));
          this.publish();
          return Promise.resolve();
        },
        create: (key, record) => {
          if (this.isDown) return refuse();
          if (this.records.has(key)) return Promise.resolve(false);
          this.records.set(key, record);
          this.publish();
          return Promise.resolve(true);
        },
      },
      clock: this.clock,
      log: () => undefined,
      random: () => 0.5,
      handleQuarantine: () => undefined,
    });
    this.monitors.push(monitor);
    monitor.handleRecords(this.records, true);
    return monitor;
  }

  wait(ms: number): Promise<void> {
    this.clock.after(ms, () => undefined);
    return this.clock.run(this.clock.elapsedMs() + ms);
  }

  private publish(): void {
    for (const monitor of this.monitors) {
      monitor.handleRecords(new Map(this.records), true);
    }
  }
}

function endpoint(id: string, startedMs?: number, port = 80): Endpoint {
  return {
    id,
    service: 's',
    address: `10.0.0.1:${port}`,
    zone: 'z',
    slots: 8,
    draining: false,
    coldMs: 0,
    startedMs,
  };
}

/** Three crashes at a gateway under a prompt, confirmed by the sidecar. */
async function crashThrice(
  crashes: SharedCrashes,
  monitor: CrashMonitor,
  prompt: readonly string[],
): Promise<void> {
  for (const id of ['e1', 'e2', 'e3']) {
    monitor.recordDisconnect(endpoint(id), prompt);
    monitor.handleProcessGone(endpoint(id).address);
    await crashes.wait(4_000);
  }
}

describe('crash of an endpoint', () => {
  let crashes: SharedCrashes;
  beforeEach(() => (crashes = new SharedCrashes()));

  it('counts at all gateways, also those that start later', async () => {
    const seeing = crashes.addGateway();
    const other = crashes.addGateway();
    await crashThrice(crashes, seeing, ['a', 'fatal']);
    expect(other.rejectedPart(['b', 'fatal'])).to.equal('fatal');
    const later = crashes.addGateway();
    await crashes.wait(100);
    expect(later.rejectedPart(['b', 'fatal'])).to.equal('fatal');
    expect(other.rejectedPart(['a', 'b'])).to.equal(undefined);
  });

  it('counts when each gateway saw one', async () => {
    const gateways = [1, 2, 3].map(() => crashes.addGateway());
    for (const [i, gateway] of gateways.entries()) {
      gateway.recordDisconnect(endpoint(`e${i}`), [`a${i}`, 'fatal']);
      gateway.handleProcessGone(endpoint('').address);
      await crashes.wait(4_000);
    }
    for (const gateway of gateways) {
      expect(gateway.rejectedPart(['b', 'fatal'])).to.equal('fatal');
    }
  });

  it('is written again when the store was down', async () => {
    const seeing = crashes.addGateway();
    const other = crashes.addGateway();
    crashes.isDown = true;
    await crashThrice(crashes, seeing, ['fatal']);
    expect(seeing.rejectedPart(['fatal'])).to.equal('fatal');
    expect(other.rejectedPart(['fatal'])).to.equal(undefined);
    crashes.isDown = false;
    await crashes.wait(1_000);
    expect(other.rejectedPart(['fatal'])).to.equal('fatal');
  });

  it('is not seen in connections that only break', async () => {
    // As when a group stalls or a link is cut: the endpoint is still there.
    const monitor = crashes.addGateway();
    for (let i = 0; i < 8; i++) {
      const stalled = endpoint(`e${i}`, i, 8_000 + i);
      monitor.recordDisconnect(stalled, ['a']);
      monitor.handleRegistration(stalled);
      await crashes.wait(1_000);
    }
    expect(crashes.records).to.be.empty;
    expect(monitor.rejectedPart(['a'])).to.equal(undefined);
  });

  it('is seen when another process registers, without a sidecar', async () => {
    const monitor = crashes.addGateway();
    for (let i = 0; i < 3; i++) {
      // The endpoint keeps its id.
      monitor.recordDisconnect(endpoint('e', i), ['fatal']);
      await crashes.wait(3_500);
      monitor.handleRegistration(endpoint('e', i + 1));
    }
    await crashes.wait(100);
    expect(monitor.rejectedPart(['fatal'])).to.equal('fatal');
  });

  it('does not count requests whose connections broke long before', async () => {
    const monitor = crashes.addGateway();
    for (const id of ['e1', 'e2', 'e3']) {
      monitor.recordDisconnect(endpoint(id), ['a']);
      await crashes.wait(1_500);
      monitor.recordDisconnect(endpoint(id), ['fatal']);
      monitor.handleProcessGone(endpoint(id).address);
      await crashes.wait(3_000);
    }
    const prompts = [...crashes.records.values()].flatMap(record =>
      record.kind === 'crash' ? record.prompts : [],
    );
    expect(prompts).to.deep.equal([['fatal'], ['fatal'], ['fatal']]);
  });

  it('does not count against parts that any gateway has seen answered', async () => {
    const seeing = crashes.addGateway();
    const other = crashes.addGateway();
    other.recordProgress(['a']);
    await crashes.wait(1_000);
    await crashThrice(crashes, seeing, ['a']);
    expect(seeing.rejectedPart(['a'])).to.equal(undefined);
  });

  it('leaves a bounded number of records in the store', async () => {
    const monitor = crashes.addGateway();
    for (let i = 0; i < 600; i++) {
      monitor.recordDisconnect(endpoint(`e${i}`), [`a${i}`]);
      monitor.handleProcessGone(endpoint('').address);
      monitor.recordProgress([`a${i - 1}`]);
      await crashes.wait(500);
    }
    expect(crashes.records.size).to.be.within(256, 600);
  });

  it('leaves the trial to one gateway', async () => {
    const gateways = Array.from({length: 12}, () => crashes.addGateway());
    await crashThrice(crashes, gateways[0]!, ['fatal']);
    await crashes.wait(QUARANTINE_MS);
    let admitted = 0;
    for (let i = 0; i < 40; i++) {
      for (const gateway of gateways) {
        if (gateway.rejectedPart(['b', 'fatal']) === undefined) admitted += 1;
      }
      await crashes.wait(50);
    }
    expect(admitted).to.equal(1);
    // The answer of the trial goes on, so the quarantine ends everywhere.
    gateways[3]!.recordProgress(['b', 'fatal']);
    await crashes.wait(1_000);
    for (const gateway of gateways) {
      expect(gateway.rejectedPart(['fatal'])).to.equal(undefined);
    }
  });
});
