/**
 * Usage datagrams.
 *
 * Guards against datagrams that UDP can't carry, counts that are lost where they
 * are divided, and load reports that are dropped for a duty of a later version.
 */
import {expect} from 'chai';
import fc from 'fast-check';
import {
  MAX_USAGE_BYTES,
  packUsage,
  unpackCounts,
  UsageMessage,
} from '../src/duties/usagemessage';
import {HeldDuty} from '../src/duties/dutyholders';
import {LoadPublisher, LoadSubscriber} from '../src/gateway/loadreports';
import {systemClock} from '../src/kernel/clock';
import {waitUntil} from '../standins/binaryprocess';
import {freePort} from '../standins/ports';

const SENDER = {entry: 'e', processStartMs: 1, zone: 'z1', begunWindow: 7};

describe('usage datagrams', () => {
  it('carry all counts, each in less than the allowed size', () => {
    const counts = fc.uniqueArray(
      fc.record({
        window: fc.integer({min: 353_000_000, max: 353_000_003}),
        account: fc.string({unit: 'binary', maxLength: 256, size: 'max'}),
        count: fc.nat(),
      }),
      {maxLength: 400, size: 'max', selector: c => `${c.window} ${c.account}`},
    );
    fc.assert(
      fc.property(counts, drawn => {
        const fit = drawn.filter(({account}) => account.length <= 256);
        const messages = packUsage(SENDER, drawn, [], []);
        for (const message of messages) {
          const text = JSON.stringify({kind: 'usage', ...message});
          expect(Buffer.byteLength(text)).to.be.at.most(MAX_USAGE_BYTES);
        }
        const unpacked = messages.flatMap(unpackCounts);
        expect(unpacked).to.have.deep.members(fit);
      }),
      {numRuns: 30, seed: 20261206},
    );
  });

  it('reach the sidecar that announces a duty', async () => {
    const port = await freePort();
    const log = () => undefined;
    const usages: UsageMessage[] = [];
    const heard = new Map<string, readonly HeldDuty[]>();
    const publisher = new LoadPublisher(
      {host: '127.0.0.9', port},
      systemClock,
      log,
      undefined,
      undefined,
      usage => usages.push(usage),
    );
    const subscriber = new LoadSubscriber({
      self: {host: '127.0.0.10', port},
      endpoints: () => [{host: '127.0.0.9', slots: 8}],
      handleReport: () => undefined,
      handleProcessGone: () => undefined,
      handleDuties: (host, duties) => heard.set(host, duties),
      clock: systemClock,
      log,
    });
    await publisher.start();
    await subscriber.start();
    const held: HeldDuty = {duty: 'usage', token: 3, offsetMs: -1.5};
    await waitUntil(() => {
      publisher.publish({
        address: '127.0.0.9:1',
        running: Math.random(),
        queued: 0,
        group: 'g',
        open: true,
        pace: 1,
        duties: [held],
      });
      return heard.size > 0;
    }, 'the announcement');
    expect([...heard]).to.deep.equal([['127.0.0.9', [held]]]);
    const counts = [{window: 8, account: 'almar', count: 2}];
    const [sent] = packUsage(SENDER, counts, [], []);
    await waitUntil(() => {
      subscriber.sendUsage('127.0.0.9', sent!);
      return usages.length > 0;
    }, 'the counts');
    expect(unpackCounts(usages[0]!)).to.deep.equal(counts);
    subscriber.stop();
    publisher.stop();
  });
});
