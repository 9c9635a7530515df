/**
 * Stand-in for an endpoint that answers with bytes of the test's choice, which
 * need not be a valid answer.
 */
import net from 'node:net';
import {listen} from './ports';

/** Answers the request with an id on its connection. */
export type RawAnswer = (requestId: string, socket: net.Socket) => void;

/** The lines of an answer's head, with the blank line that ends it. */
export function headLines(...lines: readonly string[]): string {
  return [...lines, '', ''].join('\r\n');
}

/** The head of a signed success. */
export function signedHead(id: string, ...lines: readonly string[]): string {
  return headLines(
    'HTTP/1.1 200 OK',
    `Boragemill-Request-Id: ${id}`,
    `Boragemill-Response-Seal: s.${id}`,
    ...lines,
  );
}

/** A signed success with a length. */
export function signedAnswer(id: string, body: string): string {
  return signedHead(id, `Content-Length: ${body.length}`) + body;
}

/** Takes requests whose body is one character. */
export class RawEndpoint {
  answer: RawAnswer = (id, socket) => socket.end(signedAnswer(id, 'done'));
  address = '';
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer(socket => {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      if (!/\r\n\r\n.$/s.test(text)) return;
      const id = /boragemill-request-id: (.*)\r/i.exec(text)?.[1] ?? '';
      this.answer(id, socket);
    });
  });

  async start(): Promise<void> {
    const port = await listen(this.server);
    this.address = `127.0.0.1:${port}`;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
