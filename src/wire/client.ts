/**
 * The client side of the node protocol: a connection to one peer, which is
 * reopened with exponential backoff until it is closed, and the calls of
 * operator commands.
 */
import {Client, ClientDuplexStream} from '@grpc/grpc-js';
import {Clock, Timer} from '../kernel/clock';
import {Timeline, TimelineEvent} from '../observe/timeline';
import {PeerSettings} from '../settings/schema';
import {channelCredentials, clientMetadata} from './auth';
import {NodeClient} from './definition';
import {Envelope, InspectReply, PROTOCOL_VERSION} from './messages';
import {Channel} from './server';
import {CallName, isValidMessage} from './validate';

/** Callbacks to the owner of a connection. */
export interface ConnectionEvents<In, Out> {
  opened(channel: Channel<Out>): void;
  message(message: In): void;
  /** The stream broke; a new one is opened unless `close` was called. */
  lost(): void;
}

const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2_000;
const CLIENT_OPTIONS = {
  'grpc.max_receive_message_length': 16 * 1024 * 1024,
  'grpc.keepalive_time_ms': 2_000,
  'grpc.keepalive_timeout_ms': 2_000,
  'grpc.initial_reconnect_backoff_ms': MIN_RETRY_DELAY_MS,
  'grpc.max_reconnect_backoff_ms': MAX_RETRY_DELAY_MS,
  // One connection carries the answers of many requests. With the default
  // window of 64 KB for each round trip, 100 streams got 2 MB/s and waited for
  // each other.
  'grpc-node.flow_control_window': 1024 * 1024,
  // Connections do not share a subchannel, so closing one leaves others open.
  'grpc.use_local_subchannel_pool': 1,
};

type Stream = ClientDuplexStream<unknown, Envelope>;
type OpenStream = (metadata: ReturnType<typeof clientMetadata>) => Stream;

export class Connection<In extends object, Out extends object> {
  private readonly client: Client;
  private stream: Stream | undefined;
  private retryDelayMs = MIN_RETRY_DELAY_MS;
  private retryTimer: Timer | undefined;
  private closed = false;

  constructor(
    readonly address: string,
    private readonly call: CallName,
    private readonly settings: PeerSettings,
    private readonly clock: Clock,
    private readonly timeline: Timeline,
    private readonly events: ConnectionEvents<In, Out>,
  ) {
    this.client = new NodeClient(
      address,
      channelCredentials(settings),
      CLIENT_OPTIONS,
    );
    this.openStream();
  }

  close(): void {
    this.closed = true;
    this.retryTimer?.cancel();
    this.stream?.end();
    this.client.close();
  }

  private openStream(): void {
    const open = (this.client as unknown as Record<CallName, OpenStream>)[
      this.call
    ];
    const stream = open.call(this.client, clientMetadata(this.settings));
    this.stream = stream;
    let ended = false;
    const handleEnd = () => {
      if (ended) return;
      ended = true;
      this.events.lost();
      this.scheduleReopen();
    };
    stream.on('data', (message: Envelope) => {
      this.retryDelayMs = MIN_RETRY_DELAY_MS;
      this.timeline.observe(message.hlc);
      if (!isValidMessage(this.call, 'client', message)) return;
      this.events.message(message as unknown as In);
    });
    stream.on('error', handleEnd);
    stream.on('end', handleEnd);
    this.events.opened(this.createChannel(stream));
  }

  private createChannel(stream: Stream): Channel<Out> {
    return {
      send: message => {
        if (!stream.writable) return;
        const hlc = this.timeline.stamp();
        stream.write({...message, protocol: PROTOCOL_VERSION, hlc});
      },
      close: () => stream.end(),
    };
  }

  private scheduleReopen(): void {
    if (this.closed) return;
    this.retryTimer = this.clock.after(this.retryDelayMs, () =>
      this.openStream(),
    );
    this.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, this.retryDelayMs * 2);
  }
}

interface InspectClient {
  Inspect(
    request: {readonly protocol: number},
    metadata: ReturnType<typeof clientMetadata>,
    options: {readonly deadline: number},
    callback: (error: Error | null, reply?: InspectReply) => void,
  ): void;
}

interface EventsClient {
  Events(
    request: {readonly protocol: number; readonly requestId: string},
    metadata: ReturnType<typeof clientMetadata>,
    options: {readonly deadline: number},
  ): AsyncIterable<{readonly events: readonly TimelineEvent[]}>;
}

const OPERATOR_CALL_TIMEOUT_MS = 3_000;

/** One process's facts as JSON. Rejects if it does not answer within 3 s. */
export async function fetchFactsJson(
  address: string,
  settings: PeerSettings,
): Promise<string> {
  const client = new NodeClient(address, channelCredentials(settings));
  const options = {deadline: Date.now() + OPERATOR_CALL_TIMEOUT_MS};
  try {
    return await new Promise((resolve, reject) => {
      (client as unknown as InspectClient).Inspect(
        {protocol: PROTOCOL_VERSION},
        clientMetadata(settings),
        options,
        (error, reply) => (error ? reject(error) : resolve(reply!.facts)),
      );
    });
  } finally {
    client.close();
  }
}

/** One process's timeline events. Rejects if they do not arrive within 3 s. */
export async function readEvents(
  address: string,
  settings: PeerSettings,
  requestId: string,
): Promise<readonly TimelineEvent[]> {
  const client = new NodeClient(address, channelCredentials(settings));
  const options = {deadline: Date.now() + OPERATOR_CALL_TIMEOUT_MS};
  const events: TimelineEvent[] = [];
  try {
    const request = {protocol: PROTOCOL_VERSION, requestId};
    const batches = (client as unknown as EventsClient).Events(
      request,
      clientMetadata(settings),
      options,
    );
    for await (const batch of batches) events.push(...batch.events);
    return events;
  } finally {
    client.close();
  }
}
