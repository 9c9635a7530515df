/**
 * Final refusals by an entry whose view may be of an older state, over loopback.
 *
 * Guards against 404 for a route that the configuration has: a caller does not repeat
 * a request after it.
 */
import {expect} from 'chai';
import {waitUntil} from '../standins/binaryprocess';
import {sendAsCaller} from '../standins/caller';
import {StoreStandin} from '../standins/store';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';

describe('view that has not settled', () => {
  const store = new StoreStandin();
  let entry: PlatformEntry;

  async function statusOfUnknownRoute(): Promise<number> {
    const {address} = entry;
    const headers = {Host: HOST};
    const reply = await sendAsCaller({entry: address, path: '/x/1', headers});
    return reply.status;
  }

  const isFinal = async () => (await statusOfUnknownRoute()) === 404;

  before(async () => {
    const address = await store.start();
    store.put('op', 'config', {
      version: 1,
      routes: [],
      services: [],
      limits: {},
    });
    [entry] = (await startEntries(1, address)) as [PlatformEntry];
  });

  after(async () => {
    const stopped = entry.program.stop();
    store.stop();
    await stopped;
  });

  it('refuses no route for good after a start or a lost history', async () => {
    expect(await statusOfUnknownRoute()).to.equal(503);
    await waitUntil(isFinal, 'the view to settle');
    store.dropHistory();
    await waitUntil(async () => !(await isFinal()), 'the history to be missed');
    expect(await statusOfUnknownRoute()).to.equal(503);
    await waitUntil(isFinal, 'the view to settle again');
  });
});
