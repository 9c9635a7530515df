/** Answers on the internal ports, and listening on them. */
import http from 'node:http';

/** Answers the balancer's readiness check. */
export function answerReadiness(
  ready: boolean,
  res: http.ServerResponse,
): void {
  res.writeHead(ready ? 200 : 503, {'Content-Length': '0'});
  res.end();
}

export function listenAt(server: http.Server, address: string): Promise<void> {
  const at = address.lastIndexOf(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(address.slice(at + 1)), address.slice(0, at), resolve);
  });
}
