/**
 * Guards against planned stops that break off requests: each process in turn gets
 * SIGTERM while long answers are generated.
 */
import {expect} from 'chai';
import {Deployment, EntryProcess, keyHash} from '../../standins/deployment';
import {expectedAnswer, EngineStandin} from '../../standins/engine';
import {waitUntil} from '../../standins/binaryprocess';

const KEY = 'key-of-trnava';
const RULES = [
  `account trnava key=${keyHash(KEY)}  # Jana`,
  'model valve  # Jana',
].join('\n');
// At 10 ms per step an answer takes longer than any fixed delay of a stop, so
// the test notices a process that does not wait for running requests.
const OUTPUT_TOKENS = 200;
const ZONE = 'sk-west-1';
/** Time after which the engine works on a request; an answer takes 2 s. */
const STARTED_MS = 500;
const UNKNOWN_OUTCOME_STATUS = 504;

function completionRequest(prompt: string): RequestInit {
  const json = {model: 'valve', prompt, max_tokens: OUTPUT_TOKENS};
  return {
    method: 'POST',
    headers: {authorization: `Bearer ${KEY}`},
    body: JSON.stringify(json),
  };
}

/** Sends callers to entries that are ready, as the platform does. */
class Balancer {
  private readonly ready = new Set<string>();
  private readonly entries = new Map<string, EntryProcess>();
  private next = 0;
  private timer: NodeJS.Timeout | undefined;

  start(): void {
    this.timer = setInterval(() => void this.probe(), 50);
  }

  add(entry: EntryProcess): void {
    this.entries.set(entry.url, entry);
  }

  get readyCount(): number {
    return this.ready.size;
  }

  pick(): string {
    const urls = [...this.ready];
    this.next += 1;
    return urls[this.next % urls.length]!;
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async probe(): Promise<void> {
    for (const url of this.entries.keys()) {
      const answer = await fetch(`${url}/readyz`).catch(() => undefined);
      if (answer?.ok) this.ready.add(url);
      else this.ready.delete(url);
    }
  }
}

describe('a planned stop', () => {
  const deployment = new Deployment();
  const balancer = new Balancer();
  const engines: EngineStandin[] = [];
  let instanceCount = 0;

  async function addSidecar() {
    const engine = new EngineStandin({
      stepMs: 10,
      outputTokens: OUTPUT_TOKENS,
      warmSteps: 0,
    });
    engines.push(engine);
    const url = await engine.start();
    instanceCount += 1;
    const instance = `valve-${instanceCount}`;
    const place = {instance, zone: ZONE, kind: 'model' as const};
    return deployment.addSidecar({
      ...place,
      name: 'valve',
      url,
      coldConcurrent: 16,
    });
  }

  async function addEntry(): Promise<EntryProcess> {
    instanceCount += 1;
    const entry = await deployment.addEntry(`entry-${instanceCount}`, ZONE);
    await deployment.waitUntilReachable(
      entry.url,
      '/v1/completions',
      completionRequest('first'),
    );
    balancer.add(entry);
    return entry;
  }

  before(async () => {
    balancer.start();
    await deployment.start(RULES);
  });

  after(async () => {
    balancer.stop();
    await deployment.stop();
    engines.forEach(engine => engine.stop());
  });

  it('breaks off no answer while every process is replaced', async () => {
    const sidecars = [await addSidecar(), await addSidecar()];
    const entries = [await addEntry(), await addEntry()];
    await waitUntil(
      () => balancer.readyCount === 2,
      'both entries to be ready',
    );
    const faults: string[] = [];
    let answered = 0;
    let running = true;
    const caller = async (id: number) => {
      for (let i = 0; running; i++) {
        const prompt = `caller ${id} request ${i}`;
        const url = balancer.pick();
        try {
          const answer = await fetch(
            `${url}/v1/completions`,
            completionRequest(prompt),
          );
          const json = (await answer.json()) as {choices?: {text: string}[]};
          const whole = expectedAnswer(prompt, OUTPUT_TOKENS);
          if (json.choices?.[0]?.text !== whole) {
            faults.push(`${answer.status} ${JSON.stringify(json)}`);
          }
          answered += 1;
        } catch (error) {
          faults.push(String((error as Error).cause ?? error));
        }
      }
    };
    const callers = Array.from({length: 8}, (_, i) => caller(i));
    const codes: (number | null)[] = [];
    for (const old of sidecars) {
      await addSidecar();
      old.kill('SIGTERM');
      codes.push(await old.exited);
      deployment.removeFromInstanceList(old.instance);
    }
    for (const old of entries) {
      await addEntry();
      old.process.kill('SIGTERM');
      codes.push(await old.process.exited);
      deployment.removeFromInstanceList(old.process.instance);
    }
    running = false;
    await Promise.all(callers);
    expect(faults).to.deep.equal([]);
    expect(answered).to.be.above(8);
    expect(codes).to.deep.equal([0, 0, 0, 0]);
  }).timeout(60_000);

  it('answers what is still running when its time is over', async () => {
    await addSidecar();
    const drainMs = 300;
    const entry = await deployment.addEntry('short-stop', ZONE, {}, drainMs);
    const {process, url} = entry;
    await deployment.waitUntilReachable(
      url,
      '/v1/completions',
      completionRequest('first'),
    );
    const answer = fetch(`${url}/v1/completions`, completionRequest('cut'));
    await new Promise(done => setTimeout(done, STARTED_MS));
    process.kill('SIGTERM');
    const {status} = await answer;
    expect(status).to.equal(UNKNOWN_OUTCOME_STATUS);
    expect(await process.exited).to.equal(0);
  }).timeout(60_000);
});
