/**
 * Bodies at the product's own interface, over loopback.
 *
 * Guards against a body that a parser reads differently because it came in other
 * pieces, and against one that is kept although it is too large.
 */
import {expect} from 'chai';
import express from 'express';
import http from 'node:http';
import net from 'node:net';
import zlib from 'node:zlib';
import {CallerLimitGuard} from '../src/entry/callerlimits';
import {systemClock} from '../src/kernel/clock';
import {chunk, RawCaller} from '../standins/rawcaller';
import {waitUntil} from '../standins/binaryprocess';
import {listen} from '../standins/ports';

const LIMIT = 200_000;
/** Larger than what is kept in a plain buffer. */
const BODY = {text: 'ä'.repeat(50_000)};

describe('body of a request at the own interface', () => {
  let server: http.Server;
  let port: number;
  let received: unknown[];

  before(async () => {
    const guard = new CallerLimitGuard({
      settings: {bodyBytes: LIMIT, unfinishedBytes: 1_024, connections: 10},
      clock: systemClock,
      log: () => undefined,
      countClosed: () => undefined,
    });
    const app = express();
    const refuse =
      (status: number): express.RequestHandler =>
      (req, res) =>
        void res.status(status).set('Connection', 'close').end();
    const options = {
      maxBytes: LIMIT,
      onLarge: refuse(413),
      onShed: refuse(503),
    };
    const parse = express.json({limit: LIMIT, type: () => true});
    app.use(guard.readWhole(parse, options));
    app.use((req, res) => {
      received.push(req.body);
      res.end('read');
    });
    app.use(((error, req, res, next) => {
      void next;
      res.status(400).end();
    }) as express.ErrorRequestHandler);
    server = http.createServer();
    guard.attach(server, app);
    port = await listen(server);
  });

  beforeEach(() => (received = []));

  after(() => {
    server.close();
    server.closeAllConnections();
  });

  /** The first line of the answer. */
  async function send(framing: string, pieces: readonly Buffer[]) {
    const head = `POST / HTTP/1.1\r\nHost: a\r\n${framing}\r\n\r\n`;
    const caller = new RawCaller('127.0.0.1', port, [
      Buffer.from(head),
      ...pieces,
    ]);
    await waitUntil(() => caller.answer.includes('\r\n'), 'an answer');
    caller.close();
    return caller.answer.split('\r\n')[0];
  }

  const text = Buffer.from(JSON.stringify(BODY));
  const end = Buffer.from('0\r\n\r\n');
  const CASES: Readonly<Record<string, () => Promise<string | undefined>>> = {
    'a length': () => send(`Content-Length: ${text.length}`, [text]),
    'one large chunk': () =>
      send('Transfer-Encoding: chunked', [chunk(text), end]),
    'chunks that split its characters': () =>
      send('Transfer-Encoding: chunked', [
        ...Array.from({length: Math.ceil(text.length / 333)}, (_, i) =>
          chunk(text.subarray(i * 333, (i + 1) * 333)),
        ),
        end,
      ]),
    'a compressed body': () => {
      const packed = zlib.gzipSync(text);
      return send(
        `Content-Encoding: gzip\r\nContent-Length: ${packed.length}`,
        [packed],
      );
    },
  };
  for (const [title, play] of Object.entries(CASES)) {
    it(`is read with ${title}`, async () => {
      expect(await play()).to.equal('HTTP/1.1 200 OK');
      expect(received).to.deep.equal([BODY]);
    });
  }

  it('is refused if it is too large, announced or sent', async () => {
    const piece = Buffer.alloc(LIMIT, ' ');
    for (const [framing, pieces] of [
      [`Content-Length: ${LIMIT + 1}`, []],
      ['Transfer-Encoding: chunked', [chunk(piece), chunk(piece)]],
    ] as const) {
      expect(await send(framing, pieces)).to.contain(' 413 ');
    }
    expect(received).to.deep.equal([]);
  });

  it('is refused if it is compressed and too large', async () => {
    const packed = zlib.gzipSync(Buffer.alloc(10 * LIMIT, ' '));
    const framing = `Content-Encoding: gzip\r\nContent-Length: ${packed.length}`;
    expect(await send(framing, [packed])).to.contain(' 400 ');
    expect(received).to.deep.equal([]);
  });

  it('that breaks off reaches no parser', async () => {
    const socket = net.connect(port, '127.0.0.1');
    socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{}');
    await new Promise(done => setTimeout(done, 50));
    socket.destroy();
    expect(await send('Content-Length: 2', [Buffer.from('{}')])).to.contain(
      ' 200 ',
    );
    expect(received).to.deep.equal([{}]);
  });
});
