/**
 * Answers of an entry to its callers, over loopback.
 *
 * Guards against a stream that ends after a fault as if it were complete, or
 * with the fault's text among its events, and against bytes after its end.
 */
import http from 'node:http';
import net, {AddressInfo} from 'node:net';
import {expect} from 'chai';
import express, {Response} from 'express';
import {ModelCall} from '../src/entry/modelcall';
import {streamedReply} from '../src/entry/replies';
import {createFault} from '../src/kernel/errors';
import {waitUntil} from '../standins/binaryprocess';
import {sendAsCaller} from '../standins/caller';

const CALL: ModelCall = {
  api: 'chat',
  model: 'm',
  prompt: 'p',
  promptTokens: 1,
  maxOutputTokens: 10,
  prefixHashes: [],
  stream: true,
  user: '',
};

const FRAME = {
  offset: 0,
  count: 1,
  cachedTokens: 0,
  data: Buffer.from('token'),
  lengths: [5],
  end: false,
  finish: '',
  total: 0,
  status: 200,
  headers: [],
};

type Sink = ReturnType<typeof streamedReply>;
type SinkFrame = Parameters<Sink['writeFrame']>[0];

describe('stream that ends while its events are being written', () => {
  /** All bytes that a caller gets on a connection that stays open. */
  async function bytesOf(handle: (sink: Sink) => void): Promise<string> {
    const app = express();
    app.get('/', (_, res) => handle(streamedReply(res, CALL, 'r-1')));
    const server = http.createServer(app);
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    const {port} = server.address() as AddressInfo;
    const socket = net.connect(port, '127.0.0.1');
    let text = '';
    socket.on('data', chunk => (text += chunk.toString()));
    socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
    const isOver = () => text.includes('\r\n0\r\n\r\n');
    await waitUntil(isOver, 'the end of the stream');
    // A later request on the same connection shows what has followed.
    socket.write('GET /other HTTP/1.1\r\nHost: x\r\n\r\n');
    await waitUntil(() => text.includes('404'), 'the next answer');
    socket.destroy();
    server.close();
    return text;
  }

  it('has no bytes after its end', async () => {
    const taken: number[] = [];
    const text = await bytesOf(sink => {
      const frame = FRAME as unknown as SinkFrame;
      // The second event waits for the first to be written.
      sink.writeFrame(frame, () => taken.push(1));
      sink.writeFrame(frame, () => taken.push(2));
      sink.writeFrame({...frame, end: true, lengths: []}, () => undefined);
    });
    expect(text).to.match(/\[DONE\]\n\n\r\n0\r\n\r\nHTTP\/1.1 404/);
    expect(taken).to.deep.equal([1, 2]);
  });
});

describe('stream that a fault ends after its first event', () => {
  async function replyTo(handle: (res: Response) => void) {
    const app = express();
    app.get('/', (_, res) => handle(res));
    const server = http.createServer(app);
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    const {port} = server.address() as AddressInfo;
    const entry = `127.0.0.1:${port}`;
    const reply = await sendAsCaller({entry, path: '/', headers: {}});
    server.close();
    server.closeAllConnections();
    return reply;
  }

  it('is broken off without the text of the fault', async () => {
    const reply = await replyTo(res => {
      const sink = streamedReply(res, CALL, 'r-1');
      const fault = createFault('outcome_unknown', 'engine failed');
      const frame = FRAME as unknown as Parameters<typeof sink.writeFrame>[0];
      sink.writeFrame(frame, () => sink.writeFault(fault));
    });
    expect(reply.whole).to.equal(false);
    expect(reply.body).to.include('token').and.not.include('engine failed');
  });

  it('is broken off if another answer is recorded', async () => {
    const reply = await replyTo(res => {
      const sink = streamedReply(res, CALL, 'r-1');
      const frame = FRAME as unknown as Parameters<typeof sink.writeFrame>[0];
      const body = Buffer.from('recorded');
      sink.writeFrame(frame, () =>
        sink.writeRecorded({status: 200, headers: [], body} as never),
      );
    });
    expect(reply.whole).to.equal(false);
    expect(reply.body).to.not.include('recorded');
  });
});
