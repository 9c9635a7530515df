/**
 * Calls on kept connections that have gone silent, over loopback.
 *
 * Guards against calls that time out one after the other because each takes an
 * idle connection that has gone silent with the first.
 */
import http from 'node:http';
import {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {JsonClient} from '../src/kernel/jsonclient';
import {TcpProxy} from '../standins/tcpproxy';

const TIMEOUT_MS = 200;
const CONNECTIONS = 4;

describe('kept connections that have gone silent', () => {
  const proxy = new TcpProxy();
  const client = new JsonClient();
  const server = http.createServer((req, res) => {
    // Long enough for all calls to be under way at once.
    setTimeout(() => res.end('{}'), 20);
  });

  function call(): Promise<number> {
    return client
      .call('GET', proxy.address, '/', undefined, TIMEOUT_MS)
      .then(({status}) => status);
  }

  before(async () => {
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    const {port} = server.address() as AddressInfo;
    await proxy.start(`127.0.0.1:${port}`);
  });

  after(() => {
    client.close();
    proxy.stop();
    server.close();
    server.closeAllConnections();
  });

  it('cost one call its time limit, not each', async () => {
    await Promise.all(Array.from({length: CONNECTIONS}, call));
    expect(proxy.connections).to.equal(CONNECTIONS);
    proxy.silence();
    const failure = await call().catch((error: Error) => error.message);
    expect(failure).to.equal('request timed out');
    expect(await call()).to.equal(200);
  });
});
