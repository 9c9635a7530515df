/**
 * Guards, with real processes, against an answer that is not paused at the
 * engine while its caller does not read, or that is truncated after the pause.
 */
import {expect} from 'chai';
import {FloodEngine} from '../../bench/support/flood';
import {StreamReader} from '../../bench/support/reader';
import {Deployment, keyHash} from '../../standins/deployment';
import {waitUntil} from '../../standins/binaryprocess';

const KEY = 'key-of-hydrotherm';
const ZONE = 'sk-west-1';
const TOKENS = 2_000;
const RULES = [
  `account hydrotherm weight=1 key=${keyHash(KEY)}  # Jana`,
  `model valve max-output=${TOKENS}  # Jana`,
].join('\n');

describe('a caller that stops reading, in separate processes', () => {
  const deployment = new Deployment();
  // About 6 MB of answer, more than the socket buffers of the host hold.
  const engine = new FloodEngine({
    stepMs: 5,
    bigBytes: 6_000_000,
    bigTokenBytes: 8_000,
  });
  let url: string;

  before(async () => {
    await deployment.start(RULES);
    await deployment.addSidecar({
      instance: 'valve-1',
      zone: ZONE,
      kind: 'model',
      name: 'valve',
      url: await engine.start(),
    });
    ({url} = await deployment.addEntry('entry-1', ZONE));
    const body = {model: 'valve', prompt: 'warm up', max_tokens: 1};
    const headers = {authorization: `Bearer ${KEY}`};
    const init = {method: 'POST', headers, body: JSON.stringify(body)};
    await deployment.waitUntilReachable(url, '/v1/completions', init);
  });

  after(async () => {
    await deployment.stop();
    engine.stop();
  });

  it('is paused at the engine and gets the whole rest when it reads again', async () => {
    const reader = new StreamReader({
      url,
      key: KEY,
      model: 'valve',
      prompt: 'big',
      tokens: TOKENS,
      pace: 'stopped',
    });
    // The pause may be over before the engine's state shows the start.
    const paused = () =>
      engine.state().bigStreams === 0 && reader.status === 200;
    const begun = engine.state().tokens;
    await waitUntil(() => engine.state().tokens > begun, 'the start');
    await waitUntil(paused, 'the pause at the engine');
    const generated = engine.state().tokens;
    expect(generated).to.be.below(TOKENS);
    reader.resume();
    await waitUntil(() => reader.done, 'the end of the answer');
    expect(reader.read).to.equal(TOKENS);
    reader.close();
  }).timeout(40_000);
});
