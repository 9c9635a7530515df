/**
 * Ports of the loopback interface for tests.
 *
 * A port that a stand-in has left is not given out again in the same run. A process
 * that still calls it would reach the stand-in of a later test, which would take the
 * call for one of its own.
 */
import net from 'node:net';

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

/**
 * Listens on a free port, or on `port` if it is given, of a loopback address.
 * Returns the port. Rejects if `port` is in use.
 */
export async function listen(
  server: net.Server,
  port?: number,
  host = '127.0.0.1',
): Promise<number> {
  for (;;) {
    const chosen = port ?? (await freePort());
    if (await tryListen(server, chosen, host)) return chosen;
    if (port !== undefined) throw new Error(`port ${port} is in use`);
  }
}

/** False if the port has been taken. */
function tryListen(
  server: net.Server,
  port: number,
  host: string,
): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const fail = (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') resolve(false);
      else reject(error);
    };
    server.once('error', fail);
    server.listen(port, host, () => {
      server.off('error', fail);
      resolve(true);
    });
  });
}
