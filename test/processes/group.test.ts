/**
 * Guards against a split group (two maps in one step), with real processes:
 * the coordinator is paused until its lease has expired, another sidecar takes
 * over and changes the map, and the first one resumes and still believes that
 * it is the coordinator.
 */
import {expect} from 'chai';
import {GroupRow} from '../../src/experts/group';
import {Deployment} from '../../standins/deployment';
import {BinaryProcess, waitUntil} from '../../standins/binaryprocess';
import {RankGroup} from '../../standins/rankgroup';
import {WeightStoreStandin} from '../../standins/weightstore';

const ZONE = 'sk-west-1';
const SHAPE = {layers: 2, ranks: 8, slotsPerRank: 3, experts: 16};
const LEASE_MS = 4_000;
const TIMEOUT_MS = 90_000;

/** One expert has half of the tokens, so that the map must change. */
function loadsWithHot(expert: number): readonly number[][] {
  const other = 0.5 / (SHAPE.experts - 1);
  const layer = Array.from({length: SHAPE.experts}, (_, e) =>
    e === expert ? 0.5 : other,
  );
  return [layer, layer];
}

for (const checksFence of [true, false]) {
  const engines = checksFence ? 'check' : 'ignore';

  describe(`a group whose engines ${engines} fencing numbers`, () => {
    const deployment = new Deployment();
    const store = new WeightStoreStandin({bytesPerS: 1e9, expertBytes: 1e7});
    const endpoints = 2;
    const group = new RankGroup({
      shape: SHAPE,
      endpoints,
      stepMs: 10,
      checksFence,
    });
    const sidecars: BinaryProcess[] = [];

    const row = () =>
      deployment.platform.rows.get('group/valve')?.value as
        GroupRow | undefined;
    const version = () => row()?.version ?? 0;
    const running = () => group.steps.at(-1)?.[0];
    const runsCommitted = () =>
      running() === `${version()}:${row()?.mapHash}` &&
      group.steps.at(-1)!.every(key => key === running());
    const holdsLease = (process: BinaryProcess) => {
      const events = process.logLines.filter(l =>
        l.event.startsWith('group l'),
      );
      return events.at(-1)?.event === 'group lease held';
    };

    before(async () => {
      await deployment.start('model valve  # Jana');
      const weightStoreUrl = await store.start();
      const urls = await group.start();
      for (const [index, url] of urls.entries()) {
        const settings = {name: 'valve', index, endpoints, leaseMs: LEASE_MS};
        sidecars.push(
          await deployment.addSidecar({
            instance: `valve-${index}`,
            zone: ZONE,
            kind: 'model',
            name: 'valve',
            url,
            group: {...settings, ranks: SHAPE.ranks, weightStoreUrl},
          }),
        );
      }
    });

    after(async () => {
      for (const process of sidecars) process.kill('SIGCONT');
      await deployment.stop();
      group.stop();
      store.stop();
    });

    it('never splits a step when a paused coordinator resumes', async () => {
      const timeoutMs = LEASE_MS + 20_000;
      await waitUntil(() => version() > 0 && runsCommitted(), 'the first map');
      const first = sidecars.find(holdsLease)!;
      const second = sidecars.find(s => s !== first)!;
      const before = version();
      group.expertShares = loadsWithHot(3);
      await waitUntil(() => version() > before, 'a map for the hot expert');
      await waitUntil(runsCommitted, 'steps on the committed map');

      first.kill('SIGSTOP');
      const epoch = row()!.epoch;
      const frozen = version();
      group.expertShares = loadsWithHot(9);
      await waitUntil(
        () => row()!.epoch > epoch,
        'another coordinator',
        timeoutMs,
      );
      await waitUntil(() => holdsLease(second), 'the second to hold the lease');

      first.kill('SIGCONT');
      await waitUntil(() => version() > frozen, 'a map of the new coordinator');
      await waitUntil(runsCommitted, 'all ranks on the newest map');
      await waitUntil(
        () => !holdsLease(first),
        'the first to give up its lease',
      );
      expect(group.countSplitSteps()).to.equal(0);
      const versions = group.mapVersionSequence();
      expect(versions).to.deep.equal([...versions].sort((a, b) => a - b));
    }).timeout(TIMEOUT_MS);
  });
}
