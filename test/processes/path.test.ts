/**
 * The path of a request with real processes: from a caller through an entry and
 * a sidecar to an endpoint, and back.
 */
import {expect} from 'chai';
import {Deployment, EntryProcess, keyHash} from '../../standins/deployment';
import {expectedAnswer, EngineStandin} from '../../standins/engine';
import {ServiceStandin} from '../../standins/service';

const KEY = 'key-of-hydrotherm';
const RULES = [
  `account hydrotherm weight=1 key=${keyHash(KEY)}  # Jana`,
  'model valve max-output=64  # Jana',
  'service stock priority=1  # Peter',
  'service orders non-idempotent=POST:/orders  # Peter',
].join('\n');
const AUTHORIZED = {
  authorization: `Bearer ${KEY}`,
  'content-type': 'application/json',
};

function postRequest(
  body: object,
  more: Record<string, string> = {},
): RequestInit {
  const headers = {...AUTHORIZED, ...more};
  return {method: 'POST', headers, body: JSON.stringify(body)};
}

describe('the whole path in separate processes', () => {
  const deployment = new Deployment();
  const engine = new EngineStandin({outputTokens: 40});
  const stock = new ServiceStandin();
  const orders = new ServiceStandin();
  let entry: EntryProcess;

  before(async () => {
    await deployment.start(RULES);
    const [engineUrl, stockUrl, ordersUrl] = await Promise.all([
      engine.start(),
      stock.start(),
      orders.start(),
    ]);
    const zone = 'sk-west-1';
    const place = (kind: 'model' | 'service', name: string, url: string) =>
      deployment.addSidecar({instance: `${name}-1`, zone, kind, name, url});
    await Promise.all([
      place('model', 'valve', engineUrl),
      place('service', 'stock', stockUrl),
      place('service', 'orders', ordersUrl),
    ]);
    entry = await deployment.addEntry('entry-1', zone);
    const get = {headers: AUTHORIZED};
    await deployment.waitUntilReachable(
      entry.url,
      '/services/stock/stock/a',
      get,
    );
    await deployment.waitUntilReachable(
      entry.url,
      '/services/orders/stock/a',
      get,
    );
    const prompt = {model: 'valve', prompt: 'warm up', max_tokens: 1};
    await deployment.waitUntilReachable(
      entry.url,
      '/v1/completions',
      postRequest(prompt),
    );
  });

  after(async () => {
    await deployment.stop();
    engine.stop();
    stock.stop();
    orders.stop();
  });

  it('streams a model answer that is whole and in order', async () => {
    const messages = [{role: 'user', content: 'thermostatic head'}];
    const body = {model: 'valve', messages, stream: true, max_tokens: 30};
    const answer = await fetch(
      `${entry.url}/v1/chat/completions`,
      postRequest(body),
    );
    expect(answer.status).to.equal(200);
    expect(answer.headers.get('boragemill-run')).to.equal('ran');
    const events = (await answer.text()).split('\n\n').filter(e => e !== '');
    expect(events.at(-1)).to.equal('data: [DONE]');
    const chunks = events.slice(0, -1).map(event => {
      return JSON.parse(event.slice('data: '.length)) as {
        choices: {delta: {content?: string}}[];
        usage?: {completion_tokens: number};
      };
    });
    const text = chunks.map(c => c.choices[0]!.delta.content ?? '').join('');
    expect(text).to.equal(expectedAnswer('user: thermostatic head\n', 30));
    expect(chunks.at(-1)!.usage!.completion_tokens).to.equal(30);
  });

  it('answers a request that is not streamed as one object', async () => {
    const body = {model: 'valve', prompt: 'spec sheet', max_tokens: 5};
    const answer = await fetch(
      `${entry.url}/v1/completions`,
      postRequest(body),
    );
    const json = (await answer.json()) as {
      choices: {text: string}[];
      usage: {completion_tokens: number};
    };
    expect(json.choices[0]!.text).to.equal(expectedAnswer('spec sheet', 5));
    expect(json.usage.completion_tokens).to.equal(5);
  });

  it('passes a stock look-up through', async () => {
    const answer = await fetch(`${entry.url}/services/stock/stock/head-12`, {
      headers: AUTHORIZED,
    });
    expect(answer.status).to.equal(200);
    expect(await answer.json()).to.deep.equal({item: 'head-12', onHand: 42});
  });

  it('runs an order once when it is sent twice with the same key', async () => {
    const order = () =>
      fetch(
        `${entry.url}/services/orders/orders`,
        postRequest({reference: 'pallet-7'}, {'idempotency-key': 'k-1'}),
      );
    const first = await order();
    const repeated = await order();
    expect(first.status).to.equal(201);
    expect(repeated.status).to.equal(201);
    expect(await repeated.text()).to.equal(await first.text());
    expect(orders.executions.get('pallet-7')).to.equal(1);
  });

  it('refuses an order without a key and says that it was not run', async () => {
    const answer = await fetch(
      `${entry.url}/services/orders/orders`,
      postRequest({reference: 'pallet-8'}),
    );
    expect(answer.status).to.equal(400);
    expect(answer.headers.get('boragemill-run')).to.equal('not-run');
    expect(orders.executions.has('pallet-8')).to.equal(false);
  });

  it('answers each kind of invalid request with its status code', async () => {
    const status = async (path: string, init: RequestInit) =>
      (await fetch(entry.url + path, init)).status;
    const invalidJson = {...postRequest({}), body: '{"model":'};
    const unknownKey = postRequest(
      {model: 'valve', prompt: 'x'},
      {
        authorization: 'Bearer nobody',
      },
    );
    const tooLarge = postRequest({
      model: 'valve',
      prompt: 'x'.repeat(5_000_000),
    });
    const completions = '/v1/completions';
    expect(await status(completions, invalidJson)).to.equal(400);
    expect(await status(completions, postRequest({model: 'valve'}))).to.equal(
      400,
    );
    expect(await status(completions, unknownKey)).to.equal(401);
    const unknownModel = postRequest({model: 'none', prompt: 'x'});
    expect(await status(completions, unknownModel)).to.equal(404);
    expect(await status(completions, tooLarge)).to.equal(413);
    expect(await status('/services/none/x', postRequest({}))).to.equal(404);
  });

  it('writes nothing but JSON lines to its logs', () => {
    for (const process of deployment.processes) {
      expect(process.nonJsonLines).to.deep.equal([]);
      expect(process.logLines.length).to.be.above(0);
    }
  });
});
