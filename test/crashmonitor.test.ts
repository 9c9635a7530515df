/**
 * What a gateway takes as the crash of an endpoint, and how gateways share it.
 *
 * Guards against crashes that are seen where none was, and against gateways
 * that do not learn of the crashes that others saw.
 */
import {expect} from 'chai';
import {VirtualClock} from '../bench/support/virtualclock';
import {CrashMonitor} from '../src/gateway/crashmonitor';
import {CrashRecord, Endpoint, Prompt} from '../src/gateway/model';
import {EndedAttempt} from '../src/gateway/recentprompts';

const QUARANTINE_MS = 600_000;

/** Gateways that share a table of crash records. */
class SharedCrashes {
  readonly clock = new VirtualClock();
  readonly records = new Map<string, CrashRecord>();
  isDown = false;
  /** Ids of endpoints whose registrations have gone. */
  readonly gone = new Set<string>();
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
      isRegistered: ({id}) => !this.gone.has(id),
    });
    this.monitors.push(monitor);
    monitor.handleRecords(this.records, true);
    return monitor;
  }

  wait(ms: number): Promise<void> {
    this.clock.after(ms, () => undefined);
    return this.clock.run(this.clock.elapsedMs() + ms);
  }

  /** An attempt that was lost just now, 50 ms after it was sent. */
  lost(
    endpoint: Endpoint,
    prompt: Prompt,
    differing: Partial<EndedAttempt> = {},
  ): EndedAttempt {
    const nowMs = this.clock.elapsedMs();
    return {
      endpoint,
      prompt,
      requestId: 'r',
      sentMs: nowMs - 50,
      fromMs: nowMs,
      toMs: nowMs,
      isCut: true,
      hasAnswer: false,
      leavingSinceMs: undefined,
      isStalled: false,
      ...differing,
    };
  }

  /** Prompts of all crashes. */
  prompts(): readonly Prompt[] {
    return [...this.records.values()].flatMap(record =>
      record.kind === 'crash' ? record.prompts : [],
    );
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
  differing: Partial<EndedAttempt> = {},
): Promise<void> {
  for (const id of ['e1', 'e2', 'e3']) {
    monitor.recordEnd(crashes.lost(endpoint(id), prompt, differing));
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
      gateway.recordEnd(crashes.lost(endpoint(`e${i}`), [`a${i}`, 'fatal']));
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
      monitor.recordEnd(crashes.lost(stalled, ['a']));
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
      monitor.recordEnd(crashes.lost(endpoint('e', i), ['fatal']));
      await crashes.wait(3_500);
      monitor.handleRegistration(endpoint('e', i + 1));
    }
    await crashes.wait(100);
    expect(monitor.rejectedPart(['fatal'])).to.equal('fatal');
  });

  it('does not count requests whose connections broke long before', async () => {
    const monitor = crashes.addGateway();
    for (const id of ['e1', 'e2', 'e3']) {
      monitor.recordEnd(crashes.lost(endpoint(id), ['a']));
      await crashes.wait(1_500);
      monitor.recordEnd(crashes.lost(endpoint(id), ['fatal']));
      monitor.handleProcessGone(endpoint(id).address);
      await crashes.wait(3_000);
    }
    expect(crashes.prompts()).to.deep.equal([['fatal'], ['fatal'], ['fatal']]);
  });

  it('does not count against parts that any gateway has seen answered', async () => {
    const seeing = crashes.addGateway();
    const other = crashes.addGateway();
    other.recordProgress(endpoint('e9'), ['a'], 0);
    await crashes.wait(1_000);
    await crashThrice(crashes, seeing, ['a']);
    expect(seeing.rejectedPart(['a'])).to.equal(undefined);
  });

  it('leaves a bounded number of records in the store', async () => {
    const monitor = crashes.addGateway();
    for (let i = 0; i < 600; i++) {
      monitor.recordEnd(crashes.lost(endpoint(`e${i}`), [`a${i}`]));
      monitor.handleProcessGone(endpoint('').address);
      monitor.recordProgress(endpoint('e'), [`a${i - 1}`], 0);
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
    const sentMs = crashes.clock.elapsedMs();
    gateways[3]!.recordProgress(endpoint('e9'), ['b', 'fatal'], sentMs);
    await crashes.wait(1_000);
    for (const gateway of gateways) {
      expect(gateway.rejectedPart(['fatal'])).to.equal(undefined);
    }
  });

  it('is seen when its answers looked complete', async () => {
    // As one without a length does, or one that was the last that a process wrote.
    const monitor = crashes.addGateway();
    await crashThrice(crashes, monitor, ['fatal'], {
      isCut: false,
      hasAnswer: true,
    });
    expect(monitor.rejectedPart(['b', 'fatal'])).to.equal('fatal');
  });

  it('is not cleared by the answers that end with it', async () => {
    // Guards against a part that goes on because each crash clears the ones before.
    const monitor = crashes.addGateway();
    for (const id of ['e1', 'e2', 'e3', 'e4']) {
      monitor.recordEnd(
        crashes.lost(endpoint(id), ['fatal'], {hasAnswer: true}),
      );
      monitor.recordProgress(endpoint('e0'), ['a'], crashes.clock.elapsedMs());
      await crashes.wait(100);
      monitor.handleSidecarReport(endpoint(id));
      monitor.handleProcessGone(endpoint(id).address);
      await crashes.wait(4_000);
    }
    expect(monitor.rejectedPart(['a', 'fatal'])).to.equal('fatal');
    expect(monitor.rejectedPart(['a'])).to.equal(undefined);
  });

  /** What shows that an endpoint has outlived an answer, and how much later. */
  const SIGNS: Readonly<
    Record<string, readonly [number, (monitor: CrashMonitor) => void]>
  > = {
    'a later answer': [
      200,
      monitor =>
        monitor.handleSignOfLife(endpoint('e'), crashes.clock.elapsedMs()),
    ],
    "a later report of the endpoint's sidecar": [
      1_100,
      monitor => monitor.handleSidecarReport(endpoint('e')),
    ],
    'a registration that remains': [6_100, () => undefined],
  };
  for (const [sign, [afterMs, show]] of Object.entries(SIGNS)) {
    it(`does not count against an answer before ${sign}, which clears its parts`, async () => {
      const monitor = crashes.addGateway();
      await crashThrice(crashes, monitor, ['a']);
      expect(monitor.rejectedPart(['a'])).to.equal('a');
      const other = endpoint('e', 1, 81);
      const answer = crashes.lost(endpoint('e', undefined, 82), ['a'], {
        hasAnswer: true,
      });
      monitor.recordEnd(answer);
      await crashes.wait(afterMs);
      show(monitor);
      await crashes.wait(100);
      expect(monitor.rejectedPart(['a'])).to.equal(undefined);
      // The process ends later, which is nothing to the answer.
      crashes.records.clear();
      monitor.recordEnd(crashes.lost(other, ['b']));
      monitor.handleProcessGone(answer.endpoint.address);
      await crashes.wait(100);
      expect(crashes.prompts()).to.be.empty;
    });
  }

  it('is not taken for life when its registration has gone', async () => {
    const monitor = crashes.addGateway();
    await crashThrice(crashes, monitor, ['fatal']);
    const silent = endpoint('silent', undefined, 81);
    monitor.recordEnd(crashes.lost(silent, ['fatal'], {hasAnswer: true}));
    crashes.gone.add('silent');
    await crashes.wait(8_000);
    expect(monitor.rejectedPart(['fatal'])).to.equal('fatal');
  });

  it('counts when an attempt is seen to end only after it was confirmed', async () => {
    // As when its caller reads slowly, or the sidecar is quicker.
    const monitor = crashes.addGateway();
    for (const [i, id] of ['e1', 'e2', 'e3'].entries()) {
      const crashed = endpoint(id, undefined, 81 + i);
      const sentMs = crashes.clock.elapsedMs();
      monitor.handleRegistration(crashed);
      monitor.handleProcessGone(crashed.address);
      await crashes.wait(4_000);
      const lapsed = {sentMs, leavingSinceMs: sentMs + 3_500, isStalled: true};
      monitor.recordEnd(crashes.lost(crashed, ['fatal'], lapsed));
      await crashes.wait(100);
    }
    expect(monitor.rejectedPart(['fatal'])).to.equal('fatal');
  });

  it('counts with an attempt that was not read when others ended', async () => {
    const monitor = crashes.addGateway();
    const crashed = endpoint('e', 1);
    const atMs = crashes.clock.elapsedMs();
    monitor.recordEnd(crashes.lost(crashed, ['fatal']));
    await crashes.wait(2_000);
    monitor.recordEnd(crashes.lost(crashed, ['a'], {fromMs: atMs - 500}));
    monitor.handleRegistration(endpoint('e', 2));
    await crashes.wait(100);
    expect(crashes.prompts()).to.have.deep.members([['fatal'], ['a']]);
  });

  it('counts with an attempt that was stopped long after the others ended', async () => {
    // Guards against an attempt that hangs and pushes out those cut by the crash.
    const monitor = crashes.addGateway();
    const crashed = endpoint('e', 1);
    const atMs = crashes.clock.elapsedMs();
    monitor.recordEnd(crashes.lost(crashed, ['fatal']));
    await crashes.wait(2_000);
    const toMs = crashes.clock.elapsedMs() + 500;
    const hung = {fromMs: atMs - 20, toMs, isCut: false};
    monitor.recordEnd(crashes.lost(crashed, ['a'], hung));
    monitor.handleRegistration(endpoint('e', 2));
    await crashes.wait(100);
    expect(crashes.prompts()).to.have.deep.members([['fatal'], ['a']]);
  });

  it('is dated by what it cut, or may have been as late as its confirmation', async () => {
    const monitor = crashes.addGateway();
    const spanOf = async (differing: Partial<EndedAttempt>) => {
      crashes.records.clear();
      const crashed = endpoint('e', crashes.clock.elapsedMs());
      monitor.recordEnd(crashes.lost(crashed, ['a'], differing));
      await crashes.wait(900);
      monitor.handleProcessGone(crashed.address);
      await crashes.wait(6_000);
      const [record] = crashes.records.values();
      return record?.kind === 'crash' ? record.untilMs! - record.atMs : NaN;
    };
    expect(await spanOf({isCut: true})).to.equal(0);
    expect(await spanOf({isCut: false})).to.equal(900);
  });

  it('is not seen when an endpoint leaves or its group has stopped', async () => {
    const monitor = crashes.addGateway();
    for (let i = 0; i < 5; i++) {
      const nowMs = crashes.clock.elapsedMs();
      const left = endpoint(`left${i}`, i);
      monitor.recordEnd(crashes.lost(left, ['a'], {leavingSinceMs: nowMs}));
      const stalled = endpoint(`stalled${i}`, i, 81);
      monitor.recordEnd(crashes.lost(stalled, ['b'], {isStalled: true}));
      // It says so only after the attempt has ended.
      const leaving = endpoint(`leaving${i}`, i, 82);
      monitor.recordEnd(crashes.lost(leaving, ['c']));
      monitor.handleRegistration({...leaving, draining: true});
      for (const {address} of [left, stalled, leaving])
        monitor.handleProcessGone(address);
      await crashes.wait(1_000);
    }
    expect(crashes.prompts()).to.be.empty;
  });

  it('is not seen when the old registration is read once more', async () => {
    const monitor = crashes.addGateway();
    monitor.handleRegistration(endpoint('e', 1));
    monitor.handleRegistration(endpoint('e', 2));
    monitor.recordEnd(crashes.lost(endpoint('e', 2), ['a']));
    monitor.handleRegistration(endpoint('e', 1));
    monitor.handleRegistration(endpoint('e', 2));
    await crashes.wait(100);
    expect(crashes.prompts()).to.be.empty;
  });

  it('is related to its prompt behind a flood of other answers', async () => {
    const monitor = crashes.addGateway();
    const prompts = Array.from({length: 200}, (_, i) => [`a${i}`]);
    for (const prompt of prompts)
      monitor.recordEnd(crashes.lost(endpoint('e'), prompt));
    monitor.recordEnd(crashes.lost(endpoint('e'), ['fatal']));
    for (let i = 0; i < 1_500; i++)
      monitor.recordEnd(crashes.lost(endpoint(`f${i}`, i, 81), [`b${i}`]));
    monitor.handleProcessGone(endpoint('e').address);
    await crashes.wait(100);
    expect(crashes.prompts()).to.deep.include(['fatal']);
  });
});
