/**
 * Guards against engine answers that harm the sidecar: a line without an end,
 * which fills its memory, and lines that violate the protocol.
 */
import http from 'node:http';
import {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {newFrame, Job} from '../src/sidecar/endpoint';
import {modelEngine} from '../src/sidecar/engine';
import {Offer} from '../src/wire/messages';

const CHUNK_WITHOUT_NEWLINE = Buffer.alloc(65_536, 'x');
const MAX_SENT_BYTES = 16_777_216;

const ref = {requestId: 'r', attempt: 1};
const offer: Offer = {
  ...ref,
  account: 'a',
  caller: '',
  targetKind: 'model',
  target: 'm',
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
    method: 'POST',
    path: '/',
  },
};

type WriteAnswer = (response: http.ServerResponse) => void;

/** The failure that is reported when an engine answers with `write`. */
async function failureOf(write: WriteAnswer): Promise<string> {
  const server = http.createServer((request, response) => {
    request.resume();
    write(response);
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  try {
    return await new Promise(resolve => {
      modelEngine(`http://127.0.0.1:${port}`).run(job, {
        frame: () => undefined,
        failed: (run, reason) => resolve(`${run}: ${reason}`),
      });
    });
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

describe('answers of an engine', () => {
  it('without an end of line are given up before they fill the memory', async () => {
    let sent = 0;
    const failure = await failureOf(response => {
      const writeNextChunk = () => {
        if (response.destroyed || sent > MAX_SENT_BYTES) return;
        sent += CHUNK_WITHOUT_NEWLINE.length;
        response.write(CHUNK_WITHOUT_NEWLINE, writeNextChunk);
      };
      writeNextChunk();
    });
    expect(failure).to.match(/unknown: .*a line is too long/);
    expect(sent).to.be.below(MAX_SENT_BYTES);
  });

  for (const text of ['x', 'null', '3', '{"o":0}', '{"o":0,"t":7}', '[]']) {
    it(`with the line ${text} fail the request`, async () => {
      const failure = await failureOf(response => response.end(`${text}\n`));
      expect(failure).to.match(/^unknown: /);
    });
  }

  it('that end early fail the request', async () => {
    const failure = await failureOf(response =>
      response.end('{"cached":0}\n{"o":0,"t":["a"]}\n'),
    );
    expect(failure).to.match(/unknown: .*ended early/);
  });
});
