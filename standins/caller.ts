/**
 * Stand-in for a caller of the platform's entry: sends one request on a
 * connection of its own and collects the answer.
 */
import http from 'node:http';
import net from 'node:net';

export interface Reply {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer arrived completely. */
  readonly whole: boolean;
  readonly ms: number;
}

export interface CallerRequest {
  /** Address of the entry, an `IP:port`. */
  readonly entry: string;
  readonly path: string;
  readonly headers: http.OutgoingHttpHeaders;
  readonly body?: string;
  readonly onSocket?: (socket: net.Socket) => void;
}

/** Sends a GET or, if it has a body, a POST; rejects if no answer begins. */
export function sendAsCaller(request: CallerRequest): Promise<Reply> {
  const startMs = Date.now();
  const {entry, path, headers, body, onSocket} = request;
  const [host, port] = entry.split(':');
  return new Promise((resolve, reject) => {
    const sent = http.request({
      host,
      port,
      method: body === undefined ? 'GET' : 'POST',
      path,
      agent: false,
      headers,
    });
    sent.on('error', reject);
    sent.on('socket', socket => onSocket?.(socket));
    sent.on('response', response => {
      let text = '';
      const done = () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: text,
          whole: response.complete,
          ms: Date.now() - startMs,
        });
      response.on('data', chunk => (text += String(chunk)));
      response.on('end', done);
      response.on('error', done);
    });
    sent.end(body);
  });
}

/**
 * Ports below those that the system gives to outgoing connections, one of which
 * could otherwise take a free port before it is listened on.
 */
const FIRST_PORT = 12_000;
const PORTS = 20_000;
let nextPort = (process.pid * 64) % PORTS;

/** A port of the loopback interface that was free a moment ago. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + nextPort;
    nextPort = (nextPort + 1) % PORTS;
    const server = net.createServer();
    const isFree = await new Promise<boolean>(done => {
      server.once('error', () => done(false));
      server.listen(port, '127.0.0.1', () => done(true));
    });
    if (!isFree) continue;
    await new Promise(done => server.close(done));
    return port;
  }
}
