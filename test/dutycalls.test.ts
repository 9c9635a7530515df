/**
 * Calls for duties that are held up on their way while the duties pass on.
 *
 * Guards against calls of an earlier holder that reach the platform after those of a
 * later one, also as a sequence A, B, A of holders.
 */
import {expect} from 'chai';
import {CloudClient, createCloudClient} from '../platform/duties';
import {Lease} from '../src/duties/leasetask';
import {systemClock} from '../src/kernel/clock';
import {waitUntil} from '../standins/binaryprocess';
import {CloudStandin, oneViolations} from '../standins/cloud';
import {TcpProxy} from '../standins/tcpproxy';

const LEASE_MS = 3_000;
const LEASE_END_MS = 200;

function sleep(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}

function leaseOf(token: number, isValid: () => boolean = () => true): Lease {
  return {token, isValidFor: isValid};
}

/** A lease that ends soon. */
function endingLease(token: number): Lease {
  const endMs = performance.now() + LEASE_END_MS;
  return leaseOf(token, () => performance.now() < endMs);
}

describe('call for a duty that is held up', function () {
  this.timeout(20_000);
  let cloud: CloudStandin;
  let link: TcpProxy;
  let earlier: CloudClient;
  let later: CloudClient;

  beforeEach(async () => {
    cloud = new CloudStandin();
    link = new TcpProxy();
    const address = await cloud.start();
    earlier = createCloudClient(await link.start(address), 'a', systemClock);
    later = createCloudClient(address, 'b', systemClock);
  });

  afterEach(() => {
    link.stop();
    cloud.stop();
  });

  const report = (window: number) => ({window, counts: new Map([['x', 4]])});
  const holders = () => cloud.calls.map(c => c.holder);

  const cases = [
    {title: 'its lease has ended', lease: endingLease, error: /lease ended/},
    {title: 'its time is over', lease: leaseOf, error: /timed out/},
  ];
  for (const {title, lease, error} of cases) {
    it(`is not delivered once ${title}`, async () => {
      expect(await earlier.reportUsage(leaseOf(1), report(1))).to.equal(
        'accepted',
      );
      link.holdCalls();
      const call = earlier.reportUsage(lease(1), report(2));
      expect(await call.catch(String)).to.match(error);
      await waitUntil(() => link.connections === 0, 'the reset');
      expect(await later.reportUsage(leaseOf(2), report(3))).to.equal(
        'accepted',
      );
      link.release();
      // A call that was delivered after all would arrive at once.
      await sleep(300);
      expect(holders()).to.deep.equal(['a', 'b']);
      expect(cloud.statuses).to.deep.equal([200, 200]);
      expect(oneViolations(cloud.calls, LEASE_MS)).to.deep.equal([]);
    });
  }

  /** The first holder's last call is executed after the next one's first. */
  async function callLate(): Promise<void> {
    await earlier.reportUsage(leaseOf(1), report(1));
    cloud.mode = 'late';
    cloud.delayMs = 1_000;
    const call = earlier.reportUsage(endingLease(1), report(2));
    expect(await call.catch(String)).to.match(/lease ended/);
    cloud.mode = 'normal';
    await later.reportUsage(leaseOf(2), report(3));
    const executed = () => cloud.calls.length + cloud.rejected.length;
    await waitUntil(() => executed() === 3, 'the late call');
  }

  it('is rejected by fencing if the platform has it and executes it late', async () => {
    cloud.enforcesFencing = true;
    await callLate();
    expect(holders()).to.deep.equal(['a', 'b']);
    const [rejected] = cloud.rejected;
    expect(rejected).to.include({holder: 'a', token: 1, subject: 'usage'});
    expect(rejected!.report!.window).to.equal(2);
    expect(oneViolations(cloud.calls, LEASE_MS)).to.deep.equal([]);
    // The earlier holder is told of it when it calls again.
    const again = earlier.reportUsage(leaseOf(1), report(2));
    expect(await again).to.equal('outdated');
  });

  // Otherwise the tests above would pass for any order of calls.
  it('breaks the invariant if there is no fencing', async () => {
    await callLate();
    expect(holders()).to.deep.equal(['a', 'b', 'a']);
    const violations = oneViolations(cloud.calls, LEASE_MS);
    expect(violations).to.have.length(2);
    expect(violations[0]).to.match(/^token below 2/);
    expect(violations[1]).to.match(/^A, B, A/);
  });
});
