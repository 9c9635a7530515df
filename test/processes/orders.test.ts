/**
 * Non-idempotent requests while processes are killed or frozen and the
 * platform loses replies or is down. Guards against a second execution and
 * against wrong reports of whether an order ran. The order application counts
 * its executions per reference.
 */
import {expect} from 'chai';
import {listUnresolvedOrders as unresolved} from '../../src/cli/orders';
import {EXIT_CODES} from '../../src/kernel/errors';
import {createPlatformClient} from '../../src/platform/client';
import {Deployment, EntryProcess} from '../../standins/deployment';
import {BinaryProcess, waitUntil} from '../../standins/binaryprocess';
import {ServiceStandin} from '../../standins/service';
import {OrderFixture} from './orderfixture';

const ZONE = 'sk-west-1';

describe('orders while processes and the platform fail', () => {
  let fixture: OrderFixture;
  let deployment: Deployment;
  let service: ServiceStandin;
  let first: EntryProcess;
  let second: EntryProcess;
  let sidecar: BinaryProcess;
  let serial = 0;

  const order = (entry: EntryProcess, reference: string) =>
    fixture.postOrder(entry, reference);
  const repeatUntilAnswered = (entry: EntryProcess, reference: string) =>
    fixture.repeatUntilAnswered(entry, reference);

  /** Runs `action` once a claim row is written, before the reply is sent. */
  const onClaimWrite = (action: () => void): void => {
    const {rows} = deployment.platform;
    const set = rows.set.bind(rows);
    rows.set = (key, stored) => {
      set(key, stored);
      if (key.startsWith('claim/')) {
        rows.set = set;
        action();
      }
      return rows;
    };
  };

  const executions = (reference: string) =>
    service.executions.get(reference) ?? 0;

  beforeEach(async () => {
    fixture = new OrderFixture();
    ({deployment, service} = fixture);
    await fixture.start();
    sidecar = await fixture.addSidecar('orders-1', ZONE);
    first = await fixture.addEntry('entry-1', ZONE);
    second = await fixture.addEntry('entry-2', ZONE);
    await fixture.waitUntilReachable(first, second);
    serial += 1;
  });

  afterEach(() => fixture.stop());

  it('runs an order once if its entry is killed between claim and start', async () => {
    const reference = `killed-before-start-${serial}`;
    onClaimWrite(() => first.process.kill('SIGKILL'));
    await order(first, reference).catch(() => undefined);
    expect(executions(reference)).to.equal(0);
    const answer = await repeatUntilAnswered(second, reference);
    expect(answer.headers.get('boragemill-run')).to.equal('ran');
    expect(executions(reference)).to.equal(1);
  });

  it('runs an order once if its entry is killed between start and answer', async () => {
    const reference = `killed-after-start-${serial}`;
    service.delayMs = 400;
    const calls = service.calls;
    const lost = order(first, reference).catch(() => undefined);
    await waitUntil(() => service.calls > calls, 'the order to be started');
    first.process.kill('SIGKILL');
    await lost;
    const answer = await repeatUntilAnswered(second, reference);
    expect(((await answer.json()) as {times: number}).times).to.equal(1);
    expect(executions(reference)).to.equal(1);
  });

  it('reports and lists an order as unknown if its sidecar is killed while it runs', async () => {
    const reference = `sidecar-killed-${serial}`;
    service.delayMs = 400;
    const calls = service.calls;
    const answering = order(first, reference);
    await waitUntil(() => service.calls > calls, 'the order to be started');
    sidecar.kill('SIGKILL');
    const answer = await answering;
    expect(answer.status).to.equal(504);
    expect(answer.headers.get('boragemill-run')).to.equal('unknown');
    await fixture.addSidecar('orders-1', ZONE);
    await fixture.waitUntilReachable(second);
    const repeated = await order(second, reference);
    expect(repeated.status).to.equal(504);
    expect(repeated.headers.get('boragemill-run')).to.equal('unknown');
    expect(executions(reference)).to.be.at.most(1);
    const lines: string[] = [];
    const platform = createPlatformClient({
      url: deployment.platformUrl,
      timeoutMs: 2_000,
    });
    const code = await unresolved(
      platform,
      {json: true, olderThan: 60},
      {now: new Date(), write: line => lines.push(line)},
    );
    expect(code).to.equal(EXIT_CODES.done);
    const [listed] = JSON.parse(lines.join('\n')) as {key: string}[];
    expect(listed!.key).to.equal(reference);
  });

  it('refuses the start of a frozen entry that resumes after its claim was resolved', async () => {
    const reference = `frozen-${serial}`;
    let stopped = false;
    onClaimWrite(() => {
      first.process.kill('SIGSTOP');
      stopped = true;
    });
    const frozen = order(first, reference);
    await waitUntil(() => stopped, 'the entry to be frozen at its claim');
    const answer = await repeatUntilAnswered(second, reference);
    first.process.kill('SIGCONT');
    const resumed = await frozen;
    // There is no other sidecar to claim for, so the entry cannot fetch the
    // answer. It must not report "not run" for a key that has run.
    expect(resumed.status).to.equal(504);
    expect(resumed.headers.get('boragemill-run')).to.equal('unknown');
    expect(answer.status).to.equal(201);
    expect((await order(first, reference)).status).to.equal(201);
    expect(executions(reference)).to.equal(1);
  });

  it('runs an order once if the reply to its claim write is lost', async () => {
    const reference = `reply-lost-${serial}`;
    deployment.platform.faults.loseAnswers = 1;
    const answer = await order(first, reference);
    expect(answer.status).to.equal(201);
    expect(deployment.platform.faults.loseAnswers).to.equal(0);
    expect(executions(reference)).to.equal(1);
    const repeated = await order(second, reference);
    expect(repeated.status).to.equal(201);
    expect(executions(reference)).to.equal(1);
  });

  it('refuses an order as not run while the platform is down', async () => {
    const reference = `platform-down-${serial}`;
    deployment.platform.faults.down = true;
    const answer = await order(first, reference);
    expect(answer.status).to.equal(503);
    expect(answer.headers.get('boragemill-run')).to.equal('not-run');
    expect(executions(reference)).to.equal(0);
    deployment.platform.faults.down = false;
    await repeatUntilAnswered(second, reference);
    expect(executions(reference)).to.equal(1);
  });

  it('can still run a key if the platform goes down after its claim write', async () => {
    const reference = `down-after-claim-${serial}`;
    const {faults} = deployment.platform;
    onClaimWrite(() => Object.assign(faults, {loseAnswers: 1, down: true}));
    const answer = await order(first, reference);
    expect(answer.status).to.equal(503);
    expect(answer.headers.get('boragemill-run')).to.equal('not-run');
    faults.down = false;
    await repeatUntilAnswered(second, reference);
    expect(executions(reference)).to.equal(1);
  });

  it('answers an order that ran even if its answer cannot be recorded yet', async () => {
    const reference = `down-before-record-${serial}`;
    service.delayMs = 100;
    const calls = service.calls;
    const answering = order(first, reference);
    await waitUntil(() => service.calls > calls, 'the order to be started');
    deployment.platform.faults.down = true;
    expect((await answering).status).to.equal(201);
    first.process.kill('SIGKILL');
    deployment.platform.faults.down = false;
    await repeatUntilAnswered(second, reference);
    expect(executions(reference)).to.equal(1);
  });
});
