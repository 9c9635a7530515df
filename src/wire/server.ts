/**
 * The gRPC server of a process.
 *
 * Other modules register handlers for the calls that they answer. The server
 * authenticates the peer before a handler sees the call, stamps the messages
 * that it sends and moves its clock past the stamps of those it receives.
 */
import {
  sendUnaryData,
  Server,
  ServerDuplexStream,
  ServerUnaryCall,
  ServerWritableStream,
  status,
} from '@grpc/grpc-js';
import {Timeline, TimelineEvent} from '../observe/timeline';
import {PeerSettings} from '../settings/schema';
import {isAuthenticatedPeer, serverCredentials} from './auth';
import {nodeService} from './definition';
import {
  CoordinatorPayload,
  CoordinatorMessage,
  EntryPayload,
  EntryMessage,
  Envelope,
  EventsRequest,
  InspectReply,
  PeerPayload,
  PeerMessage,
  PROTOCOL_VERSION,
  RankPayload,
  RankMessage,
  SidecarPayload,
  SidecarMessage,
} from './messages';
import {CallName, isValidMessage} from './validate';

/** The sending side of a stream of messages. */
export interface Channel<Out> {
  send(message: Out): void;
  close(): void;
}

/** Handles a stream that a peer has opened. */
export interface StreamHandler<In> {
  message(message: In): void;
  closed(): void;
}

export type AcceptStream<In, Out> = (
  channel: Channel<Out>,
) => StreamHandler<In>;

/** Handlers of a process's calls; a call without one gets UNIMPLEMENTED. */
export interface NodeHandlers {
  link?: AcceptStream<EntryPayload, SidecarPayload>;
  gossip?: AcceptStream<PeerPayload, PeerPayload>;
  group?: AcceptStream<CoordinatorPayload, RankPayload>;
  /** Facts for `status`, as JSON. */
  inspect?: () => string;
}

const EVENTS_PER_BATCH = 500;
const SERVER_OPTIONS = {
  'grpc.max_receive_message_length': 16 * 1024 * 1024,
  'grpc.keepalive_time_ms': 2_000,
  'grpc.keepalive_timeout_ms': 2_000,
};

export class NodeServer {
  private readonly server = new Server(SERVER_OPTIONS);

  constructor(
    private readonly settings: PeerSettings,
    private readonly timeline: Timeline,
    readonly handlers: NodeHandlers = {},
  ) {}

  /** Binds the address and returns the port. Rejects if it is in use. */
  async listen(address: string): Promise<number> {
    this.server.addService(nodeService, {
      Link: (call: ServerDuplexStream<EntryMessage, SidecarMessage>) =>
        this.handleStream('Link', call, this.handlers.link),
      Gossip: (call: ServerDuplexStream<PeerMessage, PeerMessage>) =>
        this.handleStream('Gossip', call, this.handlers.gossip),
      Group: (call: ServerDuplexStream<CoordinatorMessage, RankMessage>) =>
        this.handleStream('Group', call, this.handlers.group),
      Inspect: (
        call: ServerUnaryCall<Envelope, InspectReply>,
        done: sendUnaryData<InspectReply>,
      ) => this.handleInspect(call, done),
      Events: (call: ServerWritableStream<EventsRequest, unknown>) =>
        this.handleEvents(call),
    });
    return new Promise((resolve, reject) => {
      const credentials = serverCredentials(this.settings);
      this.server.bindAsync(address, credentials, (error, port) =>
        error ? reject(error) : resolve(port),
      );
    });
  }

  close(): void {
    this.server.forceShutdown();
  }

  private handleStream<In extends object, Out extends object>(
    name: CallName,
    call: ServerDuplexStream<In & Envelope, Out & Envelope>,
    accept: AcceptStream<In, Out> | undefined,
  ): void {
    const refusalOf = this.refusal(call, accept);
    if (refusalOf) {
      call.emit('error', refusalOf);
      return;
    }
    const handler = accept!(this.createChannel(call));
    call.on('data', (message: In & Envelope) => {
      this.timeline.observe(message.hlc);
      if (!isValidMessage(name, 'server', message)) return;
      handler.message(message);
    });
    call.on('error', () => undefined);
    call.on('end', () => call.end());
    call.on('close', () => handler.closed());
  }

  private createChannel<Out extends object>(
    call: ServerDuplexStream<unknown, Out & Envelope>,
  ): Channel<Out> {
    return {
      send: message => {
        if (call.writable) call.write(this.withEnvelope(message));
      },
      close: () => call.end(),
    };
  }

  private withEnvelope<T extends object>(message: T): T & Envelope {
    const hlc = this.timeline.stamp();
    return {...message, protocol: PROTOCOL_VERSION, hlc};
  }

  private refusal(
    call: {readonly metadata: Parameters<typeof isAuthenticatedPeer>[1]},
    handler: unknown,
  ): {readonly code: status; readonly details: string} | undefined {
    if (!isAuthenticatedPeer(this.settings, call.metadata)) {
      const details = 'unknown peer; check peers.sharedKey or peers.tls';
      return {code: status.UNAUTHENTICATED, details};
    }
    if (handler) return undefined;
    return {code: status.UNIMPLEMENTED, details: 'not answered by this role'};
  }

  private handleInspect(
    call: ServerUnaryCall<Envelope, InspectReply>,
    done: sendUnaryData<InspectReply>,
  ): void {
    const refusal = this.refusal(call, this.handlers.inspect);
    if (refusal) return done(refusal);
    done(null, this.withEnvelope({facts: this.handlers.inspect!()}));
  }

  private handleEvents(
    call: ServerWritableStream<EventsRequest, unknown>,
  ): void {
    const refusal = this.refusal(call, true);
    if (refusal) {
      call.emit('error', refusal);
      return;
    }
    const events = this.timeline.events(call.request.requestId);
    for (const batch of splitIntoBatches(events)) call.write({events: batch});
    call.end();
  }
}

function* splitIntoBatches(
  events: readonly TimelineEvent[],
): Generator<readonly TimelineEvent[]> {
  for (let i = 0; i < events.length; i += EVENTS_PER_BATCH) {
    yield events.slice(i, i + EVENTS_PER_BATCH);
  }
}
