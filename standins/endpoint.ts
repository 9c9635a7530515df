/**
 * Stand-in for an endpoint of the platform. Each request is handled by a
 * function that the test sets; the requests are recorded.
 */
import http from 'node:http';
import {listen} from './ports';

export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the connection was closed before the answer was complete. */
  closed: boolean;
}

export type RequestHandler = (
  arrival: ReceivedRequest,
  res: http.ServerResponse,
) => void | Promise<void>;

/** The request id and seal that an endpoint adds to a complete answer. */
export function sealedHeaders(
  arrival: ReceivedRequest,
): http.OutgoingHttpHeaders {
  const id = arrival.headers['boragemill-request-id'];
  if (id === undefined) {
    throw new Error(`no request id: ${arrival.method} ${arrival.path}`);
  }
  return {'Boragemill-Request-Id': id, 'Boragemill-Response-Seal': `s.${id}`};
}

/** Answers every request with status 200 and the given body. */
export function answerWith(text: string): RequestHandler {
  return (arrival, res) => {
    res.writeHead(200, sealedHeaders(arrival));
    res.end(text);
  };
}

/** Answers 503 and states that the request was not run. */
export const refuseAsNotRun: RequestHandler = (arrival, res) => {
  res.writeHead(503, {
    ...sealedHeaders(arrival),
    'Boragemill-Not-Executed': '1',
  });
  res.end();
};

export class EndpointStandin {
  readonly receivedRequests: ReceivedRequest[] = [];
  address = '';
  private readonly server = http.createServer((req, res) => {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => {
      const arrival: ReceivedRequest = {
        method: req.method ?? '',
        path: req.url ?? '',
        headers: req.headers,
        body: Buffer.concat(chunks).toString(),
        closed: false,
      };
      res.on('close', () => (arrival.closed = !res.writableFinished));
      this.receivedRequests.push(arrival);
      void this.handler(arrival, res);
    });
  });

  constructor(
    public handler: RequestHandler = answerWith('done'),
    /** Loopback address, for endpoints that have a sidecar each. */
    private readonly host = '127.0.0.1',
  ) {}

  /** Listens on a free port or, after a stop, on the port that it had. */
  async start(): Promise<void> {
    const earlierPort = this.address.split(':')[1];
    const port = await listen(
      this.server,
      earlierPort === undefined ? undefined : Number(earlierPort),
      this.host,
    );
    this.address = `${this.host}:${port}`;
  }

  get isRunning(): boolean {
    return this.server.listening;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
