/**
 * Non-idempotent requests whose sidecar is frozen, or cut off from the entry,
 * while the order runs. Guards against a second execution through a repeat of
 * the key or a start that arrives late, and against "not run" for an order
 * that ran.
 */
import {expect} from 'chai';
import {EntryProcess} from '../../standins/deployment';
import {BinaryProcess, waitUntil} from '../../standins/binaryprocess';
import {OrderFixture, OrderResult} from './orderfixture';

const NEAR = 'sk-west-1';
const FAR = 'sk-west-2';
/** How long the application waits before, and again after, the execution. */
const DELAY_MS = 400;
const UNKNOWN: OrderResult = {status: 504, run: 'unknown'};
const RAN: OrderResult = {status: 201, run: 'ran'};

describe('orders while a sidecar is frozen or cut off', () => {
  let fixture: OrderFixture;
  /** In the zone of the sidecar. */
  let near: EntryProcess;
  /** In another zone. */
  let far: EntryProcess;
  let sidecar: BinaryProcess;

  beforeEach(async () => {
    fixture = new OrderFixture();
    await fixture.start();
    sidecar = await fixture.addSidecar('orders-1', NEAR);
    near = await fixture.addEntry('entry-1', NEAR);
    far = await fixture.addEntry('entry-2', FAR);
    await fixture.waitUntilReachable(near, far);
    fixture.service.delayMs = DELAY_MS;
  });

  afterEach(() => fixture.stop());

  /** Adds a sidecar of the same application, which could run the order too. */
  const addSecondSidecar = async (entry: EntryProcess, zone: string) => {
    await fixture.addSidecar('orders-2', zone);
    await fixture.waitUntilReachable(entry);
  };

  const waitUntilSettled = () => {
    const none = async () => (await fixture.unresolvedKeys()).length === 0;
    return waitUntil(none, 'the claim row to be settled');
  };

  const waitUntilExecuted = (reference: string) =>
    waitUntil(
      () => fixture.executions(reference) > 0,
      'the order to be executed',
    );

  it('answers an order whose sidecar resumes before the entry gives up', async () => {
    const reference = 'frozen-short';
    const {answer} = await fixture.startOrder(near, reference);
    sidecar.kill('SIGSTOP');
    await waitUntilExecuted(reference);
    sidecar.kill('SIGCONT');
    expect(await answer).to.deep.equal(RAN);
    await fixture.repeatUntilAnswered(far, reference);
    expect(fixture.executions(reference)).to.equal(1);
  });

  it('answers an order whose sidecar resumes after its link broke', async () => {
    const reference = 'frozen-lost-link';
    const {answer} = await fixture.startOrder(near, reference);
    sidecar.kill('SIGSTOP');
    await waitUntil(
      () => fixture.hasAsked(near),
      'the entry to ask the sidecar',
    );
    sidecar.kill('SIGCONT');
    expect(await answer).to.deep.equal(RAN);
    expect(fixture.executions(reference)).to.equal(1);
  });

  it('keeps an order unknown until its sidecar resumes after the entry gave up', async () => {
    const reference = 'frozen-long';
    const {answer} = await fixture.startOrder(near, reference);
    sidecar.kill('SIGSTOP');
    expect(await answer).to.deep.equal(UNKNOWN);
    await addSecondSidecar(near, NEAR);
    expect(await fixture.repeatUntilAccepted(near, reference)).to.deep.equal(
      UNKNOWN,
    );
    expect(await fixture.unresolvedKeys()).to.deep.equal([reference]);
    sidecar.kill('SIGCONT');
    await fixture.repeatUntilAnswered(near, reference);
    expect(fixture.executions(reference)).to.equal(1);
    await waitUntilSettled();
  });

  it('runs an order once if its sidecar is frozen between grant and start', async () => {
    const reference = 'frozen-before-start';
    let frozen = false;
    fixture.onClaimWrite(() => {
      sidecar.kill('SIGSTOP');
      frozen = true;
    });
    let answer = await fixture.placeOrder(near, reference);
    while (!frozen) answer = await fixture.placeOrder(near, reference);
    expect(answer).to.deep.equal(UNKNOWN);
    await addSecondSidecar(near, NEAR);
    expect(await fixture.repeatUntilAccepted(near, reference)).to.deep.equal(
      UNKNOWN,
    );
    expect(await fixture.unresolvedKeys()).to.deep.equal([reference]);
    sidecar.kill('SIGCONT');
    await fixture.repeatUntilAnswered(near, reference);
    expect(fixture.executions(reference)).to.equal(1);
  });

  const cuts: readonly (readonly [string, () => void])[] = [
    ['both ways', () => fixture.deployment.network.cut(NEAR, FAR)],
    ['from the entry', () => fixture.deployment.network.cutOneWay(FAR, NEAR)],
    ['from the sidecar', () => fixture.deployment.network.cutOneWay(NEAR, FAR)],
  ];
  for (const [where, cut] of cuts) {
    it(`runs an order once if the network is cut ${where}`, async () => {
      const reference = `cut ${where}`;
      const {answer} = await fixture.startOrder(far, reference);
      cut();
      expect(await answer).to.deep.equal(UNKNOWN);
      await addSecondSidecar(far, FAR);
      expect(await fixture.repeatUntilAccepted(far, reference)).to.deep.equal(
        UNKNOWN,
      );
      expect(await fixture.unresolvedKeys()).to.deep.equal([reference]);
      expect(await fixture.repeatUntilAccepted(near, reference)).to.deep.equal(
        RAN,
      );
      fixture.deployment.reconnectAll();
      await fixture.repeatUntilAnswered(far, reference);
      expect(fixture.executions(reference)).to.equal(1);
    });
  }

  it('answers an order if the cut heals before the entry gives up', async () => {
    const reference = 'cut-short';
    const {answer} = await fixture.startOrder(far, reference);
    fixture.deployment.network.cut(NEAR, FAR);
    await waitUntilExecuted(reference);
    fixture.deployment.reconnectAll();
    expect(await answer).to.deep.equal(RAN);
    expect(fixture.executions(reference)).to.equal(1);
  });

  it('runs an order once despite a freeze, a cut and a platform outage', async () => {
    const reference = 'frozen-cut-down';
    const {deployment} = fixture;
    const {answer} = await fixture.startOrder(far, reference);
    sidecar.kill('SIGSTOP');
    deployment.network.cut(NEAR, FAR);
    deployment.platform.faults.down = true;
    expect(await answer).to.deep.equal(UNKNOWN);
    expect(await fixture.placeOrder(near, reference)).to.include({
      status: 503,
    });
    sidecar.kill('SIGCONT');
    await waitUntilExecuted(reference);
    deployment.platform.faults.down = false;
    expect(await fixture.unresolvedKeys()).to.deep.equal([reference]);
    deployment.reconnectAll();
    await addSecondSidecar(far, FAR);
    await fixture.repeatUntilAnswered(far, reference);
    await fixture.repeatUntilAnswered(near, reference);
    expect(fixture.executions(reference)).to.equal(1);
    await waitUntilSettled();
  });
});
