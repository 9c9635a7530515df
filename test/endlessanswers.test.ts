/**
 * Servers that send bytes without an end, over loopback.
 *
 * Guards against a process that keeps them all and runs out of memory, and with it
 * ends the requests of all callers.
 */
import net, {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {systemClock} from '../src/kernel/clock';
import {JsonClient} from '../src/kernel/jsonclient';
import {createRankEngine} from '../src/experts/engine';
import {createPlatformClient} from '../src/platform/client';
import {modelEngine} from '../src/sidecar/engine';
import {createStoreClient} from '../platform/store';

const CHUNK = Buffer.alloc(65_536, 'x');
const MIB = 1_048_576;
/** What a server sends at most, so that a test without a limit ends. */
const MAX_SENT_BYTES = 512 * MIB;

/** Where the bytes without an end begin. */
const PLACES: Readonly<Record<string, string>> = {
  'a status line': '',
  'a header': 'HTTP/1.1 200 OK\r\nX: ',
  'a body with a length':
    'HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n',
  'a body without a length': 'HTTP/1.1 200 OK\r\n\r\n',
  'a chunk':
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n',
  'a chunk extension':
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;',
  'a failure': 'HTTP/1.1 500 Failed\r\n\r\n',
};

class EndlessServer {
  sentBytes = 0;
  url = '';
  address = '';
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer(socket => {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.once('data', () => {
      socket.write(this.beginning);
      const write = () => {
        if (socket.destroyed || this.sentBytes > MAX_SENT_BYTES) return;
        this.sentBytes += CHUNK.length;
        socket.write(CHUNK, error => {
          if (!error) write();
        });
      };
      write();
    });
  });

  constructor(private readonly beginning: string) {}

  async start(): Promise<void> {
    await new Promise<void>(done => this.server.listen(0, '127.0.0.1', done));
    const {port} = this.server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
    this.url = `http://${this.address}`;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

type Call = (server: EndlessServer) => Promise<unknown>;

const jsonClient = new JsonClient();

/** The most that a call may keep, and the call. */
const CALLS: Readonly<Record<string, {maxBytes: number; call: Call}>> = {
  'an observation of an engine': {
    maxBytes: 65_536,
    call: ({url}) => modelEngine(url).observe(),
  },
  'a report of an engine': {
    maxBytes: 4 * MIB,
    call: ({url}) => createRankEngine(url, url).report(),
  },
  'a read of the platform': {
    maxBytes: 64 * MIB,
    call: ({url}) => createPlatformClient({url, timeoutMs: 2_000}).list('x'),
  },
  'a call between sidecars': {
    maxBytes: 4 * MIB,
    call: ({address}) => jsonClient.call('GET', address, '/', undefined, 2_000),
  },
  'a read of the store': {
    maxBytes: 4 * MIB,
    call: ({address}) =>
      createStoreClient(address, jsonClient, systemClock, 800).read('t'),
  },
};

describe('answer without an end', () => {
  after(() => jsonClient.close());

  for (const [name, {maxBytes, call}] of Object.entries(CALLS)) {
    for (const [place, beginning] of Object.entries(PLACES)) {
      it(`is given up, to ${name}, in ${place}`, async () => {
        const server = new EndlessServer(beginning);
        await server.start();
        try {
          const failure = await call(server).then(
            () => undefined,
            (error: unknown) => error,
          );
          expect(failure).to.be.instanceOf(Error);
          // Sockets hold some more between the two processes' buffers.
          expect(server.sentBytes).to.be.below(maxBytes + 16 * MIB);
        } finally {
          server.stop();
        }
      });
    }
  }
});
