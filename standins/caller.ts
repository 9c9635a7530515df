/**
 * Stand-in for a caller of the platform's entry: sends one request and collects
 * the answer.
 */
import http from 'node:http';
import type net from 'node:net';

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
  /** Keeps connections; without it, the request has one of its own. */
  readonly agent?: http.Agent;
}

/** Sends a GET or, if it has a body, a POST; rejects if no answer begins. */
export function sendAsCaller(request: CallerRequest): Promise<Reply> {
  const startMs = Date.now();
  const {entry, path, headers, body, onSocket, agent = false} = request;
  const [host, port] = entry.split(':');
  return new Promise((resolve, reject) => {
    const sent = http.request({
      host,
      port,
      method: body === undefined ? 'GET' : 'POST',
      path,
      agent,
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
