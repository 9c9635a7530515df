import {expect} from 'chai';
import {callEach} from '../src/cli/concurrentcalls';
import {confirmationLines} from '../src/cli/rules';
import {renderReport} from '../src/cli/status';
import {Facts} from '../src/observe/facts';

const NOW_MS = 1_000_000;

function facts(instance: string, version: number): Facts {
  return {
    instance,
    zone: 'z1',
    role: 'sidecar',
    release: 'test',
    state: 'serving',
    atMs: NOW_MS,
    rules: {
      version,
      hash: 'h',
      confirmedMs: NOW_MS - 2_000,
      ready: true,
      note: '',
      stoppedByCutoff: false,
      zonesOut: [],
    },
  };
}

describe('status', () => {
  const answered = {
    instance: 's1',
    zone: 'z1',
    role: 'sidecar',
    facts: facts('s1', 7),
  };
  const silent = {instance: 's2', zone: 'z1', role: 'sidecar'};

  it('guards against inferring a fact that no process reported', () => {
    const processes = [answered, silent];
    const text = renderReport({atMs: NOW_MS, platform: 'reachable', processes});
    expect(text).to.match(/s1 .*version 7 confirmed 2\.0 s ago/);
    expect(text).to.match(/s1 .*grants and queue unknown/);
    expect(text).to.match(/s2 sidecar: unknown, no answer/);
  });

  it('guards against showing a silent instance without the time of its last heartbeat', () => {
    const member = {
      instance: 's2',
      zone: 'z1',
      role: 'sidecar',
      address: '',
      liveness: 'lost',
      leaving: false,
      heardMs: NOW_MS,
      directMs: NOW_MS - 9_000,
    } as const;
    const listedOnly = {...member, instance: 's4', directMs: 0};
    const members = [member, listedOnly];
    const peer = {...answered, facts: {...answered.facts, members}};
    const never = {...silent, instance: 's4'};
    const processes = [peer, silent, never];
    const text = renderReport({atMs: NOW_MS, platform: 'reachable', processes});
    expect(text).to.match(/s2 .*no answer, last heard by a peer 9\.0 s ago/);
    expect(text).to.match(/s4 .*no answer$/m);
    const lines = confirmationLines(processes, {version: 7, hash: 'h'});
    expect(lines[1]).to.match(
      /s2: no answer, unconfirmed since 1970-01-01T00:16:31/,
    );
    expect(lines[2]).to.match(/s4: no answer, its version is unknown/);
  });

  it('guards against a count of unresolved orders without its age', () => {
    const claims = {atMs: NOW_MS - 12_000, unresolved: 3};
    const report = {platform: 'reachable', processes: [answered]} as const;
    const known = renderReport({atMs: NOW_MS, ...report, claims});
    expect(known).to.match(/3 unresolved orders, read 12\.0 s ago/);
    const unknown = renderReport({atMs: NOW_MS, ...report});
    expect(unknown).to.match(/unresolved orders unknown/);
  });

  it('guards against calls to all processes at once, and against a call that never ends', async () => {
    let running = 0;
    let maxRunning = 0;
    const items = [...Array(20).keys()];
    const call = async (n: number) => {
      running += 1;
      maxRunning = Math.max(maxRunning, running);
      await new Promise(done => setImmediate(done));
      running -= 1;
      if (n === 7) throw new Error('refused');
      return n === 11 ? new Promise<number>(() => undefined) : n;
    };
    const bounds = {concurrency: 4, timeoutMs: 50};
    const results = await callEach(items, call, bounds);
    expect(maxRunning).to.equal(4);
    const expected = items.map(n => (n === 7 || n === 11 ? undefined : n));
    expect(results).to.deep.equal(expected);
  });

  it('guards against counting a silent or old instance as confirmed', () => {
    const old = {...answered, instance: 's3', facts: facts('s3', 6)};
    const wanted = {version: 7, hash: 'h'};
    const lines = confirmationLines([answered, silent, old], wanted);
    expect(lines[0]).to.equal('zone z1: 1 of 3 instances confirmed');
    expect(lines[1]).to.match(/s2: no answer, its version is unknown/);
    expect(lines[2]).to.match(/s3: version 6, unconfirmed since 1970/);
  });
});
