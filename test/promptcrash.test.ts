/**
 * A part of a prompt under which endpoints crash, end to end over loopback.
 *
 * Guards against entries that go on sending requests with that part, whatever the
 * endpoint has written of its answer when it crashes, and against other requests that
 * are no longer served or run twice because of it.
 */
import http from 'node:http';
import net from 'node:net';
import {expect} from 'chai';
import {waitUntil} from '../standins/binaryprocess';
import {Reply, sendAsCaller} from '../standins/caller';
import {
  EndpointStandin,
  ReceivedRequest,
  sealedHeaders,
} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';
const KEY = 'key-of-hydrotherm';
const ENTRIES = 3;
const ENDPOINTS = 4;
/** Time from a crash until the endpoint is back. */
const RESTART_MS = 300;
const EVENT_INTERVAL_MS = 15;

/** Bounds of the platform. */
const CONTACT_MS = 3_000;
const MAX_LATE_ARRIVALS = 3;
const MIN_SERVED_SHARE = 0.5;

const FATAL_PART = 'fa7a1';
const SHARED_PART = '5c1e07a2';

const HARMLESS_INTERVAL_MS = 60;
const FATAL_INTERVAL_MS = 250;
const CALM_MS = 2_000;

type Framing = 'length' | 'chunks' | 'connection';

/** An answer as its bytes, head and body, in pieces. */
interface Form {
  readonly kind: 'streaming' | 'safe' | 'unsafe';
  readonly framing: Framing;
  /** How many of the pieces are written before the endpoint crashes. */
  readonly writtenPieces: number;
  /** Whether answers have one event, and the part stands before the shared one. */
  readonly isShort?: boolean;
}

/** Forms of the answers, by what the endpoint has written when it crashes. */
const FORMS: Readonly<Record<string, Form>> = {
  nothing: {kind: 'streaming', framing: 'chunks', writtenPieces: 0},
  'nothing, before a part whose answers have one event': {
    kind: 'streaming',
    framing: 'chunks',
    writtenPieces: 0,
    isShort: true,
  },
  'the head of a stream without a length': {
    kind: 'streaming',
    framing: 'connection',
    writtenPieces: 1,
  },
  'an event of a stream without a length': {
    kind: 'streaming',
    framing: 'connection',
    writtenPieces: 2,
  },
  'two events of a stream in chunks': {
    kind: 'streaming',
    framing: 'chunks',
    writtenPieces: 3,
  },
  'a part of a whole answer without a length': {
    kind: 'safe',
    framing: 'connection',
    writtenPieces: 2,
  },
  'a whole answer with a length': {
    kind: 'safe',
    framing: 'length',
    writtenPieces: 4,
  },
  'a part of an answer without a length that must run once': {
    kind: 'unsafe',
    framing: 'connection',
    writtenPieces: 2,
  },
};

const FORM_LIST = Object.values(FORMS);

function serviceOf(form: Form): string {
  return `s${FORM_LIST.indexOf(form)}`;
}

function configuration(): object {
  const routes = FORM_LIST.map(form => ({
    name: serviceOf(form),
    host: HOST,
    prefix: `/${serviceOf(form)}/`,
    kind: form.kind === 'safe' ? 'idempotent' : form.kind,
    'stream-resume': form.kind === 'streaming',
    'timeout-ms': 2_000,
    'target-latency-ms': 400,
    priority: 1,
    service: serviceOf(form),
    'max-attempts': 2,
    public: false,
  }));
  return {
    version: 1,
    routes,
    services: routes.map(({service}) => ({
      name: service,
      'health-path': '/health',
    })),
    limits: {'max-body-bytes': 1_000, 'idle-timeout-ms': 15_000},
    tenants: [{name: 'hydrotherm', 'api-keys': [KEY], priority: 1}],
  };
}

/** The head, the events and the end of an answer. */
function answerPieces(
  {framing, isShort}: Form,
  arrival: ReceivedRequest,
): readonly string[] {
  const ids = isShort ? [1] : [1, 2];
  const events = ids.map(id => `id: ${id}\ndata: x\n\n`);
  const framed = {
    length: `Content-Length: ${events.join('').length}`,
    chunks: 'Transfer-Encoding: chunked',
    connection: 'Connection: close',
  };
  const headers = Object.entries(sealedHeaders(arrival));
  const head = [
    'HTTP/1.1 200 OK',
    'Content-Type: text/event-stream',
    ...headers.map(([name, value]) => `${name}: ${String(value)}`),
    framed[framing],
    '\r\n',
  ].join('\r\n');
  if (framing !== 'chunks') return [head, ...events, ''];
  const chunks = [...events, ''].map(
    data => `${data.length.toString(16)}\r\n${data}\r\n`,
  );
  return [head, ...chunks];
}

/** A request at a caller, with the time at which it was sent. */
interface SentRequest {
  readonly ms: number;
  readonly reply: Promise<Reply | undefined>;
}

/** The endpoints of a form and their requests. */
class CrashingService {
  /** Times at which endpoints crashed. */
  readonly crashesMs: number[] = [];
  /** Times at which requests with the part reached an endpoint. */
  readonly fatalArrivalsMs: number[] = [];
  /** Ids of all requests that reached an endpoint. */
  readonly arrivals: string[] = [];
  /** Requests without the part. */
  readonly harmless: SentRequest[] = [];
  private readonly endpoints = Array.from(
    {length: ENDPOINTS},
    () => new EndpointStandin(),
  );
  private readonly timers: NodeJS.Timeout[] = [];
  private starts = 0;
  private requests = 0;

  constructor(
    readonly form: Form,
    private readonly store: StoreStandin,
    private readonly entries: () => readonly PlatformEntry[],
  ) {}

  async start(): Promise<void> {
    for (const endpoint of this.endpoints) await this.run(endpoint);
  }

  stop(): void {
    this.pause();
    this.endpoints.forEach(endpoint => endpoint.stop());
  }

  sendHarmless(): void {
    const send = () => this.harmless.push(this.send([SHARED_PART]));
    this.timers.push(setInterval(send, HARMLESS_INTERVAL_MS));
  }

  sendFatal(): void {
    const parts = [SHARED_PART, FATAL_PART];
    if (this.form.isShort) parts.reverse();
    const send = () => void this.send(parts);
    this.timers.push(setInterval(send, FATAL_INTERVAL_MS));
  }

  pause(): void {
    this.timers.forEach(clearInterval);
  }

  send(parts: readonly string[]): SentRequest {
    this.requests += 1;
    const entries = this.entries();
    const service = serviceOf(this.form);
    const reply = sendAsCaller({
      entry: entries[this.requests % entries.length]!.address,
      path: `/${service}/1`,
      body: 'x',
      headers: {
        Host: HOST,
        'Api-Key': KEY,
        'Boragemill-Request-Id': `${service}-${this.requests}`,
        'Boragemill-Deadline-Ms': '2000',
        'Boragemill-Prefix-Hash': [...parts, `0${this.requests}`]
          .map(part => `${part}:40`)
          .join(),
      },
    });
    return {ms: Date.now(), reply: reply.catch(() => undefined)};
  }

  /** Share of the harmless requests sent in a span that were served whole. */
  async servedShare(fromMs: number, toMs: number): Promise<number> {
    const sent = this.harmless.filter(r => r.ms >= fromMs && r.ms < toMs);
    const replies = await Promise.all(sent.map(r => r.reply));
    const served = replies.filter(r => r?.status === 200 && r.whole);
    return served.length / sent.length;
  }

  private async run(endpoint: EndpointStandin): Promise<void> {
    await endpoint.start();
    this.starts += 1;
    const service = serviceOf(this.form);
    const id = `${service}-${this.starts}`;
    this.store.put('servers', id, {
      service,
      address: endpoint.address,
      zone: 'z1',
      slots: 8,
      state: 'ready',
    });
    endpoint.handler = (arrival, res) => {
      // A request for the process before this one at its address.
      if (arrival.headers['boragemill-expect-instance'] !== id)
        return refuseMisdirected(arrival, res);
      this.arrivals.push(String(arrival.headers['boragemill-request-id']));
      const pieces = answerPieces(this.form, arrival);
      const parts = String(arrival.headers['boragemill-prefix-hash']);
      if (!parts.includes(FATAL_PART))
        return writeInPasses(res.socket!, pieces);
      this.fatalArrivalsMs.push(Date.now());
      res.socket!.write(pieces.slice(0, this.form.writtenPieces).join(''));
      this.crash(endpoint, () => this.store.put('servers', id, undefined));
    };
  }

  /** The operating system closes the connections after what was written. */
  private crash(endpoint: EndpointStandin, unregister: () => void): void {
    if (!endpoint.isRunning) return;
    this.crashesMs.push(Date.now());
    endpoint.stop();
    setTimeout(() => void this.run(endpoint).then(unregister), RESTART_MS);
  }
}

function refuseMisdirected(
  arrival: ReceivedRequest,
  res: http.ServerResponse,
): void {
  const refused = {'Boragemill-Not-Executed': '1'};
  res.writeHead(421, {...sealedHeaders(arrival), ...refused}).end();
}

/** Writes an answer piece by piece, and closes the connection. */
function writeInPasses(socket: net.Socket, pieces: readonly string[]): void {
  const [piece, ...others] = pieces;
  if (piece === undefined) return void socket.end();
  socket.write(piece);
  setTimeout(() => writeInPasses(socket, others), EVENT_INTERVAL_MS);
}

describe('part of a prompt that crashes endpoints', () => {
  const store = new StoreStandin();
  let entries: readonly PlatformEntry[] = [];
  const services = FORM_LIST.map(
    form => new CrashingService(form, store, () => entries),
  );
  let calmFromMs = 0;
  let troubleFromMs = 0;
  let endMs = 0;

  before(async () => {
    const storeAddress = await store.start();
    store.put('op', 'config', configuration());
    for (const service of services) await service.start();
    entries = await startEntries(ENTRIES, storeAddress);
    for (const service of services) {
      await waitUntil(async () => {
        const replies = entries.map(() => service.send([SHARED_PART]).reply);
        return (await Promise.all(replies)).every(r => r?.status === 200);
      }, 'the entries to serve');
    }
    calmFromMs = Date.now();
    services.forEach(service => service.sendHarmless());
    await new Promise(done => setTimeout(done, CALM_MS));
    troubleFromMs = Date.now();
    services.forEach(service => service.sendFatal());
    await new Promise(done => setTimeout(done, 3 * CONTACT_MS));
    services.forEach(service => service.pause());
    endMs = Date.now();
  });

  after(async () => {
    await Promise.all(entries.map(({program}) => program.stop()));
    store.stop();
    services.forEach(service => service.stop());
  });

  Object.keys(FORMS).forEach((written, i) => {
    const service = services[i]!;
    it(`is no longer sent after a few crashes that came after ${written}, and other requests are served`, async () => {
      const {crashesMs, fatalArrivalsMs} = service;
      const decisiveMs = crashesMs[4] ?? crashesMs.at(-1)!;
      const late = fatalArrivalsMs.filter(ms => ms > decisiveMs + CONTACT_MS);
      expect(late.length).to.be.at.most(MAX_LATE_ARRIVALS);
      const calm = await service.servedShare(calmFromMs, troubleFromMs);
      const afterMs = decisiveMs + 2 * CONTACT_MS;
      const after = await service.servedShare(afterMs, endMs);
      expect(after).to.be.at.least(MIN_SERVED_SHARE * calm);
    });
  });

  it('makes no request run twice that must run once', () => {
    const service = services.find(({form}) => form.kind === 'unsafe')!;
    expect(service.crashesMs).to.not.be.empty;
    expect(new Set(service.arrivals).size).to.equal(service.arrivals.length);
  });
});
