/**
 * Client of the platform's store, over loopback.
 *
 * Guards against changes that are never seen because they were made between the
 * pages of a read.
 */
import http from 'node:http';
import {expect} from 'chai';
import {createStoreClient} from '../platform/store';
import {HistoryGoneError} from '../src/gateway/tablewatch';
import {systemClock} from '../src/kernel/clock';
import {JsonClient} from '../src/kernel/jsonclient';
import {listen} from '../standins/ports';

const ANSWER_TIMEOUT_MS = 800;

/** A store that gives these answers, in their order, and a client of it. */
async function answerInOrder(
  answers: readonly object[],
  {status = 200, headers = {}} = {},
) {
  const left = [...answers];
  const server = http.createServer((_, res) => {
    res.writeHead(status, {'Content-Type': 'application/json', ...headers});
    res.end(JSON.stringify(left.shift()));
  });
  const address = `127.0.0.1:${await listen(server)}`;
  const caller = new JsonClient();
  const stop = () => {
    caller.close();
    server.close();
  };
  const clock = systemClock;
  const store = createStoreClient(address, caller, clock, ANSWER_TIMEOUT_MS);
  return {store, stop};
}

function page(key: string, ver: number, nowMs: number, hasMore: boolean) {
  const rows = [{key, value: '', ver: 1}];
  return {rows, ver, 'now-ms': nowMs, 'has-more': hasMore};
}

describe('client of the store', () => {
  it('misses no change that is made between the pages of a read', async () => {
    const {store, stop} = await answerInOrder([
      page('a', 9, 1_000, true),
      page('b', 7, 1_005, true),
      page('c', 8, 1_010, false),
    ]);
    const {rows, state, asOf} = await store.read('servers');
    stop();
    expect(rows.map(r => r.key)).to.deep.equal(['a', 'b', 'c']);
    // The feed goes on from here, so it brings what the oldest page lacks.
    expect(state.version).to.equal(7);
    expect(asOf.elapsedMs).to.be.at.most(systemClock.elapsedMs());
  });

  it('tells the era of an answer, and 0 without a valid one', async () => {
    const eras: number[] = [];
    for (const era of ['3', undefined, 'x', '-1', '1.5']) {
      const headers = era === undefined ? {} : {'Store-Era': era};
      const answers = [page('a', 7, 1_000, false)];
      const {store, stop} = await answerInOrder(answers, {headers});
      eras.push((await store.read('servers')).state.era);
      stop();
    }
    expect(eras).to.deep.equal([3, 0, 0, 0, 0]);
  });

  it('tells the state of a store that lacks the changes asked for', async () => {
    const headers = {'Store-Era': '2'};
    const options = {status: 410, headers};
    const {store, stop} = await answerInOrder([{ver: 4}], options);
    const error: unknown = await store.changes('op', 9, 0).catch(e => e);
    stop();
    expect(error).to.be.instanceOf(HistoryGoneError);
    expect((error as HistoryGoneError).state).to.deep.equal({
      era: 2,
      version: 4,
    });
  });
});
