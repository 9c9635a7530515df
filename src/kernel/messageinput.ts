/**
 * Stops and resumes the input of one HTTP message at its socket.
 *
 * A message that is itself paused keeps what the parser still finds in the last read,
 * up to 64 KiB, each piece as a buffer of its own. Here it goes on to hand that out, so
 * that its reader keeps it in a compact form.
 */
import http from 'node:http';
import net from 'node:net';

/** Input goes on when no reason is left, for any message of its connection. */
export type PauseReason =
  /** The reader, or whoever it writes to, has no room. */
  | 'full'
  /** Input in small pieces has to wait for its turn. */
  | 'pace'
  /** Requests before this one have no answer yet. */
  | 'queue';

/** The paused messages of each connection. */
const pausedInputs = new WeakMap<net.Socket, Set<MessageInput>>();

export class MessageInput {
  private readonly reasons = new Set<PauseReason>();

  constructor(private readonly message: http.IncomingMessage) {}

  pause(reason: PauseReason): void {
    const {message, reasons} = this;
    if (message.destroyed) return;
    reasons.add(reason);
    const {socket} = message;
    const paused = pausedInputs.get(socket) ?? new Set();
    pausedInputs.set(socket, paused.add(this));
    // Node resumes the socket whenever the message asks for more, which it does
    // after each piece.
    message._read = () => undefined;
    socket.pause();
  }

  /** Has no effect if the input is not paused for this reason. */
  resume(reason: PauseReason): void {
    const {message, reasons} = this;
    if (!reasons.delete(reason) || reasons.size > 0) return;
    delete (message as Partial<http.IncomingMessage>)._read;
    const {socket} = message;
    const paused = pausedInputs.get(socket);
    paused?.delete(this);
    if (!paused?.size) socket.resume();
  }

  /** Joins the pieces that nobody has read yet. */
  joinUnread(): void {
    const {message} = this;
    if (message.readableLength === 0) return;
    const unread: unknown = message.read();
    if (unread !== null) message.unshift(unread);
  }
}
