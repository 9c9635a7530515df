/**
 * Guards, with real processes, against a truncated or wrong answer after a
 * sidecar is killed in mid-stream, and against an engine that goes on working
 * for a caller that has disconnected.
 */
import http from 'node:http';
import {expect} from 'chai';
import {Deployment, EntryProcess, keyHash} from '../../standins/deployment';
import {expectedAnswer, EngineStandin} from '../../standins/engine';
import {BinaryProcess, waitUntil} from '../../standins/binaryprocess';

const KEY = 'key-of-hydrotherm';
const TOKENS = 400;
const RULES = [
  `account hydrotherm weight=1 key=${keyHash(KEY)}  # Jana`,
  `model valve max-output=${TOKENS}  # Jana`,
].join('\n');
const ZONE = 'sk-west-1';
const CANCEL_TIMEOUT_MS = 1_000;

/** A streamed completion whose connection the test controls. */
class StreamedCall {
  text = '';
  done = false;
  private response: http.IncomingMessage | undefined;
  private readonly request: http.ClientRequest;

  constructor(url: string, prompt: string) {
    const headers = {
      authorization: `Bearer ${KEY}`,
      'content-type': 'application/json',
    };
    const options = {method: 'POST', headers};
    this.request = http.request(`${url}/v1/completions`, options);
    this.request.on('error', () => undefined);
    this.request.on('response', response => {
      this.response = response;
      let rest = '';
      response.setEncoding('utf8');
      response.on('error', () => undefined);
      response.on('data', (chunk: string) => {
        const events = (rest + chunk).split('\n\n');
        rest = events.pop()!;
        events.forEach(event => this.read(event.slice('data: '.length)));
      });
    });
    const body = {model: 'valve', prompt, max_tokens: TOKENS, stream: true};
    this.request.end(JSON.stringify(body));
  }

  get begun(): boolean {
    return this.text.length > 20;
  }

  disconnect(): void {
    this.request.destroy();
    this.response?.destroy();
  }

  private read(data: string): void {
    if (data === '[DONE]') {
      this.done = true;
      return;
    }
    const event = JSON.parse(data) as {choices?: {text: string}[]};
    this.text += event.choices?.[0]?.text ?? '';
  }
}

describe('whole answers in separate processes', () => {
  const deployment = new Deployment();
  const engines = [1, 2, 3].map(
    () => new EngineStandin({outputTokens: TOKENS, warmSteps: 0}),
  );
  const sidecars: BinaryProcess[] = [];
  let entry: EntryProcess;

  before(async () => {
    await deployment.start(RULES);
    for (const [i, engine] of engines.entries()) {
      const url = await engine.start();
      const instance = `valve-${i + 1}`;
      const place = {
        instance,
        zone: ZONE,
        kind: 'model',
        name: 'valve',
      } as const;
      sidecars.push(await deployment.addSidecar({...place, url}));
    }
    entry = await deployment.addEntry('entry-1', ZONE);
    const warm = {model: 'valve', prompt: 'warm up', max_tokens: 1};
    const headers = {
      authorization: `Bearer ${KEY}`,
      'content-type': 'application/json',
    };
    const init = {method: 'POST', headers, body: JSON.stringify(warm)};
    await deployment.waitUntilReachable(entry.url, '/v1/completions', init);
  });

  after(async () => {
    await deployment.stop();
    engines.forEach(engine => engine.stop());
  });

  const runningCount = (engine: EngineStandin) => engine.state().batch;

  it('cancels the request of a caller that disconnects within a second', async () => {
    const call = new StreamedCall(entry.url, 'a caller that goes away');
    await waitUntil(() => call.begun, 'the first tokens');
    const cancelled = () =>
      engines.reduce((sum, engine) => sum + engine.cancelled, 0);
    const before = cancelled();
    call.disconnect();
    const gone = () => engines.every(e => runningCount(e) === 0);
    await waitUntil(gone, 'the cancel at the engine', CANCEL_TIMEOUT_MS);
    // Generation takes over a second, so the engine can't simply have finished.
    expect(cancelled()).to.be.above(before);
  });

  it('delivers the exact answer when its sidecar is killed in mid-stream', async () => {
    const prompt = 'an answer that outlives its sidecar';
    const call = new StreamedCall(entry.url, prompt);
    await waitUntil(() => call.begun, 'the first tokens');
    const at = engines.findIndex(engine => runningCount(engine) > 0);
    const started = () =>
      engines.reduce((sum, e) => sum + e.requestsStarted, 0);
    const before = started();
    expect(call.done).to.equal(false);
    sidecars[at]!.kill('SIGKILL');
    await waitUntil(() => call.done, 'the end of the answer');
    expect(call.text).to.equal(expectedAnswer(prompt, TOKENS));
    expect(started()).to.equal(before + 1);
  });
});
