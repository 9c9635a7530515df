/**
 * Stand-in for a faulty endpoint: before each answer it sends the previous
 * answer of the same connection once more.
 */
import http from 'node:http';
import {Socket} from 'node:net';
import {listen} from './ports';

export interface StandinAnswer {
  readonly status: number;
  readonly body: string;
}

export type AnswerRequest = (path: string, body: string) => StandinAnswer;

export class RepeatedAnswerStandin {
  address = '';
  private readonly previous = new WeakMap<Socket, StandinAnswer>();
  private readonly server = http.createServer((req, res) => {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => {
      const {socket} = req;
      const earlier = this.previous.get(socket);
      if (earlier) socket.write(encodeAnswer(earlier));
      const answer = this.answer(req.url ?? '', String(Buffer.concat(chunks)));
      this.previous.set(socket, answer);
      res.writeHead(answer.status);
      res.end(answer.body);
    });
  });

  constructor(private readonly answer: AnswerRequest) {}

  async start(): Promise<void> {
    const port = await listen(this.server);
    this.address = `127.0.0.1:${port}`;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

function encodeAnswer({status, body}: StandinAnswer): string {
  return (
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\n` +
    `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
  );
}
