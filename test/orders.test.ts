import {expect} from 'chai';
import {AskOutcome} from '../src/claims/claim';
import {ClaimRequest} from '../src/claims/claims';
import {ClaimRow, rowKey, encodeAnswer} from '../src/claims/rows';
import {ClaimsTask} from '../src/claims/task';
import {listUnresolvedOrders, unresolvedOrders} from '../src/cli/orders';
import {systemClock} from '../src/kernel/clock';
import {CommandError, EXIT_CODES} from '../src/kernel/errors';
import {createPlatformClient} from '../src/platform/client';
import {PlatformStandin} from '../standins/platform';
import {buildClaimRow} from './claimrows';

const NOW = new Date('2026-12-04T04:00:00Z');

const row = (changes: Partial<ClaimRow> = {}) =>
  buildClaimRow({changedMs: NOW.getTime() - 90_000, ...changes});

describe('claims against the platform', () => {
  const platform = new PlatformStandin();
  let url: string;
  let answer: AskOutcome;

  beforeEach(async () => {
    url = await platform.start();
    platform.rows.clear();
    Object.assign(platform.faults, {down: false, loseAnswers: 0});
    answer = {kind: 'unreachable'};
  });

  afterEach(() => platform.stop());

  const client = () => createPlatformClient({url, timeoutMs: 1_000});

  const task = () =>
    new ClaimsTask({
      platform: client(),
      clock: systemClock,
      log: () => undefined,
      ask: async () => answer,
    });

  const request = (key: string, requestId = key): ClaimRequest => ({
    account: 'a',
    service: 's',
    key,
    bodyHash: 'b',
    requestId,
    attempt: 1,
    holder: 'entry-1',
    sidecar: 'orders-1',
    incarnation: 'i',
  });

  it('batches claims into few writes, and one conflict does not fail the others', async () => {
    const claims = task();
    platform.rows.set(rowKey(request('k3')), {
      version: 1,
      value: row({bodyHash: 'other'}),
    });
    platform.writes = 0;
    const keys = [...Array(20).keys()].map(i => `k${i}`);
    const found = await Promise.all(keys.map(k => claims.claim(request(k))));
    const kinds = found.map(f => f.kind);
    expect(kinds.filter(k => k === 'claimed')).to.have.length(19);
    expect(kinds[3]).to.equal('conflict');
    expect(platform.writes).to.be.below(5);
  });

  it('keeps a large answer in the object store and replays it unchanged', async () => {
    const claims = task();
    const body = new Uint8Array(100_000).fill(7);
    const recorded = {status: 201, headers: [], body};
    await claims.claim(request('large'));
    await claims.record(request('large'), recorded);
    expect(platform.objects.size).to.equal(1);
    const again = await claims.claim(request('large', 'other'));
    expect(again).to.deep.equal({kind: 'recorded', answer: recorded});
    // If the object is missing, the order must not be reported as not run.
    platform.objects.clear();
    const lost = await claims.claim(request('large', 'third'));
    expect(lost.kind).to.equal('unknown');
  });

  it('marks a claim unknown when its sidecar cannot be reached, and asks again later', async () => {
    const claims = task();
    await claims.claim(request('k', 'first'));
    expect((await claims.claim(request('k', 'second'))).kind).to.equal(
      'unknown',
    );
    const stored = platform.rows.get(rowKey(request('k')))!.value as ClaimRow;
    expect(stored.state).to.equal('unknown');
    answer = {kind: 'not-run'};
    const third = await claims.claim(request('k', 'third'));
    expect(third.kind).to.equal('claimed');
  });

  it('lets only one of several concurrent requests claim a key', async () => {
    answer = {kind: 'running'};
    const all = [task(), task(), task()];
    const kinds = await Promise.all(
      all.map(async (t, i) => (await t.claim(request('race', `r${i}`))).kind),
    );
    expect(kinds.filter(k => k === 'claimed')).to.have.length(1);
  });

  it('keeps a key with a slash apart from the row of another service', () => {
    const one = rowKey({account: 'a', service: 's', key: 'x/y'});
    const two = rowKey({account: 'a', service: 's/x', key: 'y'});
    expect(one).to.not.equal(two);
  });

  it('lists unknown claims and claims that were never settled, oldest first', async () => {
    const {answer: done} = encodeAnswer({
      status: 200,
      headers: [],
      body: new Uint8Array(0),
    });
    const young = NOW.getTime() - 5_000;
    const rows = [
      {key: 'claim/a/s/left', version: 1, value: row()},
      {key: 'claim/a/s/young', version: 1, value: row({changedMs: young})},
      {
        key: 'claim/a/s/lost%2F1',
        version: 2,
        value: row({state: 'unknown', lost: true, changedMs: young}),
      },
      {
        key: 'claim/a/s/done',
        version: 2,
        value: row({state: 'done', answer: done}),
      },
    ];
    const found = unresolvedOrders(rows, 60, NOW);
    expect(found.map(f => [f.key, f.state, f.ageS])).to.deep.equal([
      ['left', 'claimed', 90],
      ['lost/1', 'unknown', 5],
    ]);
  });

  it('exits with 4 when the platform is down', async () => {
    platform.faults.down = true;
    const surroundings = {now: NOW, write: () => undefined};
    const fault = await listUnresolvedOrders(
      client(),
      {olderThan: 60},
      surroundings,
    ).catch((error: unknown) => error);
    expect(fault).to.be.instanceOf(CommandError);
    expect((fault as CommandError).exitCode).to.equal(
      EXIT_CODES.platformUnreachable,
    );
  });
});
