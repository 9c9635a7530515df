/**
 * Guards against a stream that cannot be resumed because it has run for longer
 * than a request may wait for a grant. That happens when the new attempt keeps
 * the first attempt's deadline.
 */
import {expect} from 'chai';
import {Deployment, EntryProcess, keyHash} from '../../standins/deployment';
import {expectedAnswer, EngineStandin} from '../../standins/engine';
import {BinaryProcess, waitUntil} from '../../standins/binaryprocess';

const KEY = 'key-of-alder';
const ZONE = 'sk-west-1';
const GRANT_WAIT_MS = 1_000;
const RULES = [
  `account alder key=${keyHash(KEY)}  # Jana`,
  'model pump max-output=1000  # Jana',
  'budget queue wait=1s  # Jana',
].join('\n');
/** About two seconds of streaming. */
const TOKENS = 500;

function completionRequest(prompt: string, tokens: number): RequestInit {
  const json = {model: 'pump', prompt, max_tokens: tokens};
  const headers = {authorization: `Bearer ${KEY}`};
  return {method: 'POST', headers, body: JSON.stringify(json)};
}

describe('a stream that is older than the longest wait for a grant', () => {
  const deployment = new Deployment();
  const engines = [1, 2].map(
    () => new EngineStandin({outputTokens: TOKENS, warmSteps: 0}),
  );
  const sidecars: BinaryProcess[] = [];
  let entry: EntryProcess;

  before(async () => {
    await deployment.start(RULES);
    for (const [i, engine] of engines.entries()) {
      const url = await engine.start();
      const instance = `pump-${i + 1}`;
      const place = {instance, zone: ZONE, name: 'pump', url};
      sidecars.push(await deployment.addSidecar({...place, kind: 'model'}));
    }
    entry = await deployment.addEntry('entry-1', ZONE);
    const probe = completionRequest('first', 1);
    await deployment.waitUntilReachable(entry.url, '/v1/completions', probe);
    await deployment.linked(entry);
  });

  after(async () => {
    await deployment.stop();
    engines.forEach(engine => engine.stop());
  });

  it('is resumed when its sidecar is killed', async () => {
    const prompt = 'an answer that takes longer than a wait for a grant';
    const busy = () => engines.findIndex(engine => engine.state().batch > 0);
    const begin = performance.now();
    const answer = fetch(
      `${entry.url}/v1/completions`,
      completionRequest(prompt, TOKENS),
    );
    await waitUntil(
      () => performance.now() - begin > GRANT_WAIT_MS + 200,
      'the wait',
    );
    expect(busy()).to.be.at.least(0);
    sidecars[busy()]!.kill('SIGKILL');
    const json = (await (await answer).json()) as {
      choices?: {text: string}[];
    };
    const text = json.choices?.[0]?.text;
    expect(text, JSON.stringify(json)).to.equal(expectedAnswer(prompt, TOKENS));
  });
});
