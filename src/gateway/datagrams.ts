/**
 * Datagrams between gateways and sidecars, and among sidecars.
 *
 * They carry news that the next datagram replaces, so lost ones are not resent.
 * A datagram that is not a valid message is dropped.
 */
import dgram from 'node:dgram';
import * as z from 'zod';
import {MAX_NAME_LENGTH} from '../duties/usagemessage';
import {Log} from '../observe/log';

/** Bounds on the lists of a message; a sender stays far below them. */
const MAX_DUTIES = 8;
const MAX_ITEMS = 16_384;
const MAX_WINDOWS = 256;

const count = z.number().int().min(0);
const name = z.string().max(MAX_NAME_LENGTH);
const duty = z.enum(['usage', 'scaling']);

/** What the limit on the requests at a rank is derived from. */
const targetSchema = z.object({
  version: z.number().int().min(0),
  engine: z.object({
    slots: z.number().int().min(1),
    stepsPerPass: z.number().positive(),
    stepMs: z.number().positive(),
    perRequestMs: z.number().min(0),
  }),
  targetGapMs: z.number().positive().optional(),
  hasClasses: z.boolean(),
});

const messageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('subscribe'),
    slots: z.number().int().min(1).optional(),
    target: targetSchema.optional(),
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
    // The duties that the sender holds. If they are not valid, the load is used.
    duties: z
      .array(
        z.object({
          duty,
          token: count,
          offsetMs: z.number().optional(),
          begunWindow: z.number().int().optional(),
        }),
      )
      .max(MAX_DUTIES)
      .readonly()
      .optional()
      .catch(undefined),
  }),
  z.object({
    kind: z.literal('usage'),
    entry: name,
    processStartMs: z.number(),
    zone: name,
    clockOffsetMs: z.number().optional(),
    begunWindow: z.number().int().optional(),
    firstWindow: z.number().int().optional(),
    accounts: z.array(name).max(MAX_ITEMS).readonly(),
    counts: z
      .array(z.tuple([count.max(MAX_WINDOWS), count, count]).readonly())
      .max(MAX_ITEMS)
      .readonly(),
    demand: z
      .array(
        z.object({service: name, begun: count, refused: count, waiting: count}),
      )
      .max(MAX_ITEMS)
      .readonly(),
    loads: z
      .array(
        z.object({
          service: name,
          zone: name,
          endpoints: count,
          reporting: count,
          running: z.number().min(0),
          queued: z.number().min(0),
          capacity: count,
        }),
      )
      .max(MAX_ITEMS)
      .readonly(),
  }),
  z.object({kind: z.literal('limit'), limitPerS: z.number().min(0)}),
  z.object({kind: z.literal('gone'), address: z.string()}),
  z.object({
    kind: z.literal('heartbeat'),
    group: z.string(),
    rank: z.number().int().min(0),
  }),
  z.object({
    kind: z.literal('dutyPing'),
    duty: z.string(),
    term: z.number().int().min(0),
  }),
  z.object({
    kind: z.literal('dutyAlive'),
    duty: z.string(),
    term: z.number().int().min(0),
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
