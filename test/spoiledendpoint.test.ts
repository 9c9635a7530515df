/**
 * Endpoints of the product's own interface that answer with bytes that are no
 * valid answer, and peers and stored rows that hand such an answer on.
 *
 * Guards against an answer that ends an entry's process or the link between a
 * sidecar and an entry, because it can be neither written nor encoded.
 */
import net, {AddressInfo} from 'node:net';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {parseClaimRow} from '../src/claims/rows';
import {replaceUnfitAnswer} from '../src/entry/requestmessages';
import {systemClock} from '../src/kernel/clock';
import {Endpoint, Job, newFrame} from '../src/sidecar/endpoint';
import {modelEngine} from '../src/sidecar/engine';
import {plainService} from '../src/sidecar/service';
import {Frame, Offer} from '../src/wire/messages';

const SEED = 38;
const RUNS = 300;
const ref = {requestId: 'r', attempt: 1};
const offer: Offer = {
  ...ref,
  account: 'a',
  caller: '',
  targetKind: 'service',
  target: 's',
  promptTokens: 1,
  maxOutputTokens: 8,
  prefixHashes: [],
  priority: 5,
  deadlineMs: 0,
  idempotent: true,
};
const job: Job = {
  offer,
  start: {
    ...newFrame(ref, {}),
    grantId: 'g',
    body: new Uint8Array(0),
    resumeOffset: 0,
    creditBytes: 1_000,
    method: 'GET',
    path: '/',
  },
};

type Outcome = Frame | {readonly run: string; readonly reason: string};

/** All frames of an answer, or its failure. */
async function outcomesOf(
  answer: string,
  endpointAt: (url: string) => Endpoint,
): Promise<readonly Outcome[]> {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(answer, 'latin1'));
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  const outcomes: Outcome[] = [];
  try {
    await new Promise<void>(done => {
      endpointAt(`http://127.0.0.1:${port}`).run(job, {
        frame(frame) {
          outcomes.push(frame);
          if (frame.end) done();
        },
        failed(run, reason) {
          outcomes.push({run, reason});
          done();
        },
      });
    });
  } finally {
    server.close();
  }
  return outcomes;
}

function expectEncodable(outcome: Outcome): void {
  if (!('offset' in outcome)) return;
  const {offset, count, total, cachedTokens, lengths, finish} = outcome;
  for (const number of [offset, count, total, cachedTokens, ...lengths]) {
    expect(number).to.satisfy(Number.isSafeInteger);
    expect(number).to.be.at.least(0);
  }
  expect(finish).to.be.a('string');
}

const number = fc.oneof(
  fc.nat(20),
  fc.constantFrom(-1, 0.5, 1e300, '1', null, true, [1], {}),
);
const line = fc.oneof(
  fc.record({cached: number}).map(v => JSON.stringify(v)),
  fc
    .record({
      o: number,
      t: fc.oneof(fc.array(fc.oneof(fc.string(), number)), number),
    })
    .map(v => JSON.stringify(v)),
  fc
    .record({
      end: fc.constantFrom(true, 1, 'yes'),
      total: number,
      finish: fc.oneof(fc.string(), number),
    })
    .map(v => JSON.stringify(v)),
  fc.json(),
  fc.string(),
);

const UNFIT_HEADS: Readonly<Record<string, string>> = {
  'a status below 100': 'HTTP/1.1 000 OK\r\n',
  'a status above 599': 'HTTP/1.1 999 OK\r\n',
  'a header without a name': 'HTTP/1.1 200 OK\r\n: x\r\n',
};

const unfit: readonly Pick<Frame, 'status' | 'headers'>[] = [
  {status: 0, headers: []},
  {status: 99, headers: []},
  {status: 200, headers: [{name: '', value: 'x'}]},
  {status: 200, headers: [{name: 'x', value: 'a\r\nb: c'}]},
];

describe('answer of a plain service that cannot be passed on', () => {
  for (const [title, head] of Object.entries(UNFIT_HEADS)) {
    it(`fails with ${title}`, async () => {
      const [outcome, ...others] = await outcomesOf(
        `${head}Content-Length: 4\r\n\r\ndone`,
        url => plainService(url, systemClock),
      );
      expect(others).to.be.empty;
      expect(outcome).to.include({run: 'unknown'});
    });
  }

  it('fails at the entry if a sidecar passes it on', () => {
    for (const head of unfit) {
      const frame = newFrame(ref, head);
      const replaced = replaceUnfitAnswer({kind: 'frame', sidecar: 's', frame});
      expect(replaced).to.nested.include({'failed.run': 'unknown'});
    }
  });

  it('leaves the outcome unknown if a sidecar has recorded it', () => {
    for (const {status, headers} of unfit) {
      const body = new Uint8Array(0);
      const answer = {...ref, outcome: 'ran' as const, status, headers, body};
      const message = {sidecar: 's', incarnation: 'i', answer};
      const replaced = replaceUnfitAnswer({kind: 'answer', ...message});
      expect(replaced).to.nested.include({'answer.outcome': 'unknown'});
    }
  });

  it('is no valid part of a stored claim', () => {
    const row = {
      state: 'done',
      bodyHash: '',
      attempt: 1,
      requestId: 'r',
      requestAttempt: 1,
      holder: 'e',
      sidecar: 's',
      incarnation: 'i',
      changedMs: 0,
    };
    const stored = (answer: object) => () =>
      parseClaimRow({key: 'k', version: 1, value: {...row, answer}});
    expect(stored({status: 200, headers: [], body: ''})).not.to.throw();
    for (const {status, headers} of unfit)
      expect(stored({status, headers, body: ''})).to.throw('head of an answer');
  });
});

describe('answer of an engine with lines that are not valid', () => {
  it('ends without a frame that cannot be encoded', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(line, {maxLength: 4}), async lines => {
        const body = lines.map(text => `${text}\n`).join('');
        const outcomes = await outcomesOf(
          `HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${body}`,
          modelEngine,
        );
        outcomes.forEach(expectEncodable);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });
});
