/**
 * Clients of the ranks of a group, and of their engines.
 *
 * Guards against a group that stays held because the sidecar of the held rank
 * is frozen: the coordinator must still read its state and send it orders.
 */
import http from 'node:http';
import {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {createEngineClient} from '../platform/engineclient';
import {RepeatedAnswerStandin} from '../standins/repeatedanswer';
import {systemClock} from '../src/kernel/clock';
import {JsonClient} from '../src/kernel/jsonclient';
import {Engine} from '../src/ranks/engine';
import {createRankClient} from '../src/ranks/rankclient';
import {RankOrder, RankReport} from '../src/ranks/rank';
import {RoundTrips} from '../src/ranks/roundtrip';

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
      new RoundTrips(),
    );
    const state = await client.state({group: 'g', rank: 1}, true);
    expect(state).to.include({held: 8, pass: 7});
    expect(state.experts).to.deep.equal([[1, 2]]);
    const go = {kind: 'go', pass: 8} as const;
    const options = {
      direct: false,
      timeoutMs: 200,
      reference: undefined,
      isMapSent: false,
    };
    expect(await client.order(1, go, options)).to.equal('accepted');
    expect(orders).to.deep.equal([go]);
  });
});

describe('client of a rank on a slow coordinator', () => {
  it('does not take its own delay for the failure of a sidecar', async () => {
    // Reads of engines from another instance have the whole group pause.
    const LATE_MS = 450;
    const late = http.createServer((_req, res) => {
      const body = JSON.stringify({
        ...REPORT,
        leading: false,
        holding: false,
        experts: [[1, 2]],
      });
      setTimeout(() => res.end(body), LATE_MS);
    });
    await new Promise<void>(done => late.listen(0, '127.0.0.1', done));
    const caller = new JsonClient();
    let engineReads = 0;
    const engine: Engine = {
      report: async () => {
        engineReads += 1;
        return REPORT;
      },
      counts: async () => [],
      experts: async () => ({version: 3, experts: [[1, 2]]}),
      order: async () => 'accepted',
    };
    const roundTrips = new RoundTrips();
    // Other sidecars answer as late, and in time for a longer timeout.
    for (let i = 0; i < 4; i++) roundTrips.recordAnswer(LATE_MS);
    const sidecar = `127.0.0.1:${(late.address() as AddressInfo).port}`;
    try {
      const client = createRankClient(
        'engine',
        sidecar,
        engine,
        caller,
        systemClock,
        roundTrips,
      );
      const state = await client.state({group: 'g', rank: 1}, false);
      expect(state.held).to.equal(8);
      expect(engineReads).to.equal(0);
    } finally {
      caller.close();
      late.closeAllConnections();
      late.close();
    }
  });

  it('reads the experts of a frozen rank only once', async () => {
    const frozen = http.createServer(() => undefined);
    await new Promise<void>(done => frozen.listen(0, '127.0.0.1', done));
    const caller = new JsonClient();
    let expertReads = 0;
    const engine: Engine = {
      report: async () => REPORT,
      counts: async () => [],
      experts: async () => {
        expertReads += 1;
        return {version: 3, experts: [[1, 2]]};
      },
      order: async () => 'accepted',
    };
    const sidecar = `127.0.0.1:${(frozen.address() as AddressInfo).port}`;
    try {
      const client = createRankClient(
        'engine',
        sidecar,
        engine,
        caller,
        systemClock,
        new RoundTrips(),
      );
      for (let i = 0; i < 3; i++) {
        const state = await client.state({group: 'g', rank: 1}, false);
        expect(state.experts).to.deep.equal([[1, 2]]);
      }
      expect(expertReads).to.equal(1);
    } finally {
      caller.close();
      frozen.closeAllConnections();
      frozen.close();
    }
  });
});

describe('client of an engine', () => {
  it('takes no repeated answer for the answer to an order', async () => {
    // Ranks would begin a pass with different maps if an order to arm were
    // taken as accepted that the engine refused.
    const standin = new RepeatedAnswerStandin((path, body) => {
      if (path !== '/boragemill/order') return {status: 200, body: '{}'};
      const {op} = JSON.parse(body) as {op: string};
      return {status: op === 'arm' ? 409 : 202, body: ''};
    });
    await standin.start();
    const caller = new JsonClient();
    const engine = createEngineClient(standin.address, caller);
    const ORDER_TIMEOUT_MS = 1_000;
    const pause = () => new Promise(done => setTimeout(done, 20));
    try {
      const arm = {kind: 'arm', version: 2, pass: 9} as const;
      const hold = {kind: 'hold', pass: 9} as const;
      const outcomes: string[] = [];
      await engine.counts().catch(() => undefined);
      await pause();
      for (const order of [arm, hold, arm]) {
        outcomes.push(await engine.order(1, order, ORDER_TIMEOUT_MS));
        await pause();
      }
      expect(outcomes).to.deep.equal(['refused', 'accepted', 'refused']);
    } finally {
      caller.close();
      standin.stop();
    }
  });
});
