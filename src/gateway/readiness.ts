/** HTTP server for the balancer's readiness check, on an address of its own. */
import http from 'node:http';

export function createReadinessServer(ready: () => boolean): http.Server {
  return http.createServer((req, res) => {
    req.resume();
    res.writeHead(ready() ? 200 : 503, {'Content-Length': '0'});
    res.end();
  });
}

export function listenAt(server: http.Server, address: string): Promise<void> {
  const at = address.lastIndexOf(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(address.slice(at + 1)), address.slice(0, at), resolve);
  });
}
