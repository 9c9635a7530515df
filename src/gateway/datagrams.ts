/**
 * Datagrams between gateways and sidecars, and among sidecars.
 *
 * They carry news that the next datagram replaces, so lost ones are not resent.
 * A datagram that is not a valid message is dropped.
 */
import dgram from 'node:dgram';
import * as z from 'zod';
import {Log} from '../observe/log';

const messageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('subscribe'),
    slots: z.number().int().min(1).optional(),
  }),
  z.object({
    kind: z.literal('load'),
    address: z.string(),
    running: z.number().min(0),
    queued: z.number().min(0),
    group: z.string(),
    epoch: z.number().optional(),
    open: z.boolean(),
    pace: z.number().positive(),
    gateways: z.number().int().min(0),
    limitPerS: z.number().min(0).optional(),
    share: z.number().int().min(0).optional(),
    requestLimit: z.number().int().min(1).optional(),
  }),
  z.object({kind: z.literal('limit'), limitPerS: z.number().min(0)}),
  z.object({kind: z.literal('gone'), address: z.string()}),
  z.object({
    kind: z.literal('heartbeat'),
    group: z.string(),
    rank: z.number().int().min(0),
  }),
]);

type Message = z.infer<typeof messageSchema>;

export interface Peer {
  readonly host: string;
  readonly port: number;
}

/** A UDP socket for messages between gateways and sidecars. */
export class DatagramSocket {
  private readonly socket = dgram.createSocket('udp4');

  constructor(
    private readonly handle: (message: Message, from: Peer) => void,
    private readonly log: Log,
  ) {
    this.socket.on('message', (bytes, {address: host, port}) => {
      const read = parseMessage(bytes);
      if (read) this.handle(read, {host, port});
      else
        this.log('debug', 'datagram dropped: not a valid message', {
          host,
          port,
        });
    });
    this.socket.on('error', error =>
      this.log('warn', 'datagram socket failed', {reason: error.message}),
    );
  }

  listen({host, port}: Peer): Promise<void> {
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, host, resolve);
    });
  }

  send(body: Message, {host, port}: Peer): void {
    this.socket.send(JSON.stringify(body), port, host, error => {
      if (!error) return;
      this.log('debug', 'datagram not sent', {host, reason: error.message});
    });
  }

  close(): void {
    this.socket.close();
  }
}

function parseMessage(bytes: Buffer): Message | undefined {
  try {
    return messageSchema.parse(JSON.parse(bytes.toString()));
  } catch {
    return undefined;
  }
}
