/**
 * Clients of the ranks of a group.
 *
 * Guards against a group that stays held because the sidecar of the held rank
 * is frozen: the coordinator must still read its state and send it orders.
 */
import http from 'node:http';
import {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {systemClock} from '../src/kernel/clock';
import {JsonClient} from '../src/kernel/jsonclient';
import {Engine} from '../src/ranks/engine';
import {createRankClient} from '../src/ranks/rankclient';
import {RankOrder, RankReport} from '../src/ranks/rank';

const REPORT: RankReport = {
  group: 'g',
  epoch: 1,
  rank: 0,
  size: 2,
  open: true,
  pass: 7,
  map: 3,
  prepared: undefined,
  armed: undefined,
  held: 8,
  running: 1,
  queued: 0,
  pace: 1,
};

describe('client of a rank', () => {
  const caller = new JsonClient();
  // Accepts connections and never answers, as a frozen process does.
  const frozen = http.createServer(() => undefined);
  let address = '';

  before(async () => {
    await new Promise<void>(done => frozen.listen(0, '127.0.0.1', done));
    address = `127.0.0.1:${(frozen.address() as AddressInfo).port}`;
  });

  after(() => {
    caller.close();
    frozen.close();
    frozen.closeAllConnections();
  });

  it('reaches the engine while the sidecar is frozen', async () => {
    const orders: RankOrder[] = [];
    const engine: Engine = {
      report: async () => REPORT,
      counts: async () => [],
      experts: async () => ({version: 3, experts: [[1, 2]]}),
      async order(epoch, order) {
        orders.push(order);
        return 'accepted';
      },
    };
    const client = createRankClient(
      'engine',
      address,
      engine,
      caller,
      systemClock,
    );
    const state = await client.state(1, true);
    expect(state).to.include({held: 8, pass: 7});
    expect(state.experts).to.deep.equal([[1, 2]]);
    const go = {kind: 'go', pass: 8} as const;
    expect(await client.order(1, go, false)).to.equal('accepted');
    expect(orders).to.deep.equal([go]);
  });
});
