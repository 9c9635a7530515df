/**
 * Client of the platform's store, over loopback.
 *
 * Guards against changes that are never seen because they were made between the
 * pages of a read.
 */
import http from 'node:http';
import {expect} from 'chai';
import {createStoreClient} from '../platform/store';
import {systemClock} from '../src/kernel/clock';
import {JsonClient} from '../src/kernel/jsonclient';
import {listen} from '../standins/ports';

const ANSWER_TIMEOUT_MS = 800;

/** A store that gives these answers, in their order, and a client of it. */
async function answerInOrder(answers: readonly object[]) {
  const left = [...answers];
  const server = http.createServer((_, res) => {
    res.writeHead(200, {'Content-Type': 'application/json'});
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
      page('a', 7, 1_000, true),
      page('b', 9, 1_005, true),
      page('c', 8, 1_010, false),
    ]);
    const {rows, state, asOf} = await store.read('servers');
    stop();
    expect(rows.map(r => r.key)).to.deep.equal(['a', 'b', 'c']);
    // The feed goes on from here, so it brings what the first page lacks.
    expect(state.version).to.equal(7);
    expect(asOf.elapsedMs).to.be.at.most(systemClock.elapsedMs());
  });
});
