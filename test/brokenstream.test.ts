/**
 * Streams that break after some events and are resumed at another endpoint, end
 * to end over loopback.
 *
 * Guards against bytes of a failed resumption within a caller's stream, and
 * against streams that look complete although events are missing.
 */
import http from 'node:http';
import net from 'node:net';
import {expect} from 'chai';
import {waitUntil} from '../standins/binaryprocess';
import {Reply, sendAsCaller} from '../standins/caller';
import {
  EndpointStandin,
  ReceivedRequest,
  RequestHandler,
  sealedHeaders,
} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';
const KEY = 'key-of-hydrotherm';
const DEADLINE_MS = 2_000;
/** Time from the last event until the connection breaks. */
const BREAK_MS = 10;

const EVENT_STREAM = {'Content-Type': 'text/event-stream'};
const JSON_TYPE = {'Content-Type': 'application/json'};
const NOT_EXECUTED = {'Boragemill-Not-Executed': '1'};

function configuration(): object {
  const route = {
    name: 'draft',
    host: HOST,
    prefix: '/draft/',
    kind: 'streaming',
    'stream-resume': true,
    'timeout-ms': 4_000,
    'target-latency-ms': 400,
    priority: 1,
    service: 'desk',
    'max-attempts': 2,
    public: false,
  };
  return {
    version: 1,
    routes: [route],
    services: [{name: 'desk', 'health-path': '/health'}],
    limits: {'max-body-bytes': 1_000, 'idle-timeout-ms': 15_000},
    tenants: [{name: 'hydrotherm', 'api-keys': [KEY], priority: 1}],
  };
}

function event(id: number | string): string {
  return `id: ${id}\ndata: x\n\n`;
}

const BEGUN = event(1) + event(2);

/** Sends two events and a part of the third, then breaks the connection. */
const breakWithinThirdEvent: RequestHandler = (a, res) => {
  res.writeHead(200, {...EVENT_STREAM, ...sealedHeaders(a)});
  res.write(BEGUN + event(3).slice(0, 6), () =>
    setTimeout(() => res.destroy(), BREAK_MS),
  );
};

/** Breaks the first attempt and handles the next one as given. */
function resumeWith(
  resumed: RequestHandler,
  first: RequestHandler = breakWithinThirdEvent,
): RequestHandler {
  let attempts = 0;
  return (a, res) => {
    attempts += 1;
    return attempts === 1 ? first(a, res) : resumed(a, res);
  };
}

function signed(
  status: number,
  headers: http.OutgoingHttpHeaders,
  body = '',
): RequestHandler {
  return (a, res) => {
    res.writeHead(status, {...headers, ...sealedHeaders(a)});
    res.end(body);
  };
}

function unsigned(
  status: number,
  headers: http.OutgoingHttpHeaders,
  body = '',
): RequestHandler {
  return (a, res) => {
    const id = a.headers['boragemill-request-id'];
    res.writeHead(status, {...headers, 'Boragemill-Request-Id': id});
    res.end(body);
  };
}

/** Answers in the name of another request. */
function foreign(headers: http.OutgoingHttpHeaders): RequestHandler {
  return (a, res) => {
    const other = {...sealedHeaders(a), 'Boragemill-Request-Id': 'other'};
    res.writeHead(200, {...EVENT_STREAM, ...other, ...headers});
    res.end(event(3));
  };
}

/** Sends bytes without a length; the connection ends the answer. */
function withoutLength(
  body: string,
  end: (socket: net.Socket) => void = socket => socket.end(),
): RequestHandler {
  return (a: ReceivedRequest, res) => {
    const headers = {...EVENT_STREAM, ...sealedHeaders(a)};
    const lines = Object.entries(headers).map(([n, v]) => `${n}: ${v}\r\n`);
    const {socket} = res;
    socket!.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n${body}`, () =>
      end(socket!),
    );
  };
}

/** Sends an event, and later bytes that are no event. */
function eventThen(bytes: string): RequestHandler {
  return (a, res) => {
    res.writeHead(200, {...EVENT_STREAM, ...sealedHeaders(a)});
    res.write(event(3), () => setTimeout(() => res.end(bytes), BREAK_MS));
  };
}

const FAILURE_TEXT = '{"error":"failed"}';
const FAILURE_LINES = '{\n\n"error":"failed"\n\n}\n\n';
const FAILURE_HEAD =
  'HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n' +
  'failed\r\n\r\n';

interface Case {
  readonly title: string;
  readonly resumed: RequestHandler;
  /** What is passed on of the resumed answer. */
  readonly passedOn?: string;
}

/** Answers that do not continue the stream, or only in part. */
const cases: readonly Case[] = [
  {title: 'a signed 500', resumed: signed(500, EVENT_STREAM, event(3))},
  {title: 'an unsigned 500', resumed: unsigned(500, {}, FAILURE_TEXT)},
  {title: 'a 503, not run', resumed: signed(503, NOT_EXECUTED, FAILURE_LINES)},
  {title: 'a 503', resumed: signed(503, JSON_TYPE, FAILURE_LINES)},
  {title: 'a 429, not run', resumed: signed(429, NOT_EXECUTED, FAILURE_TEXT)},
  {title: 'a 429', resumed: signed(429, JSON_TYPE, FAILURE_LINES)},
  {title: 'a 404', resumed: signed(404, JSON_TYPE, FAILURE_LINES)},
  {title: 'a 302', resumed: signed(302, {Location: '/draft/2'}, event(3))},
  {title: 'a 304', resumed: signed(304, EVENT_STREAM)},
  {title: 'a 204', resumed: signed(204, EVENT_STREAM)},
  {title: 'a 206', resumed: signed(206, EVENT_STREAM, event(3))},
  {title: 'an empty 200', resumed: signed(200, EVENT_STREAM)},
  {title: 'an unsigned 200', resumed: unsigned(200, EVENT_STREAM, event(3))},
  {
    title: 'a 200, not run',
    resumed: signed(200, {...EVENT_STREAM, ...NOT_EXECUTED}, event(3)),
  },
  {title: 'a JSON text', resumed: signed(200, JSON_TYPE, FAILURE_TEXT)},
  {
    title: 'a JSON text with blank lines',
    resumed: signed(200, {}, FAILURE_LINES),
  },
  {
    title: 'events declared as JSON',
    resumed: signed(200, JSON_TYPE, event(3)),
  },
  {
    title: 'a JSON text declared as events',
    resumed: signed(200, EVENT_STREAM, FAILURE_LINES),
  },
  {title: "another request's answer", resumed: foreign({})},
  {title: "another request's refusal", resumed: foreign(NOT_EXECUTED)},
  {
    title: 'bytes that are no answer',
    resumed: (a, res) => void res.socket!.end(event(3)),
  },
  {
    title: 'events without an id',
    resumed: signed(200, EVENT_STREAM, 'data: x\n\n'),
  },
  {
    title: 'events whose ids have no order',
    resumed: signed(200, EVENT_STREAM, event('third')),
  },
  {
    title: 'only events that came before',
    resumed: signed(200, EVENT_STREAM, BEGUN),
  },
  {
    title: 'an event, then the head of a failure',
    resumed: eventThen(FAILURE_HEAD),
    passedOn: event(3),
  },
  {
    title: 'an event, then a failure text',
    resumed: eventThen(FAILURE_LINES),
    passedOn: event(3),
  },
  {
    title: 'an event and a part of the next',
    resumed: eventThen(event(4).slice(0, 6)),
    passedOn: event(3),
  },
  {
    title: 'an event and a part of the next, without a length',
    resumed: withoutLength(event(3) + event(4).slice(0, 6)),
    passedOn: event(3),
  },
  {
    title: 'a part of an event and a reset',
    resumed: withoutLength(event(3).slice(0, 6), s => s.resetAndDestroy()),
  },
];

describe('stream that breaks after some events', () => {
  const store = new StoreStandin();
  const endpoints = [new EndpointStandin(), new EndpointStandin()];
  let entry: PlatformEntry;
  let stopping: PlatformEntry;
  let stopped: Promise<void> | undefined;
  let withoutRetries: PlatformEntry;
  let requests = 0;

  function registerEndpoints(state: 'ready' | 'draining'): void {
    for (const [i, {address}] of endpoints.entries()) {
      const registration = {service: 'desk', address, zone: 'z1', slots: 8};
      store.put('servers', `i-${i}`, {...registration, state});
    }
  }

  function callerHeaders(): Record<string, string> {
    requests += 1;
    return {
      Host: HOST,
      'Api-Key': KEY,
      'Boragemill-Request-Id': `request-${requests}`,
    };
  }

  function send(deadlineMs = DEADLINE_MS, to = entry): Promise<Reply> {
    const headers = callerHeaders();
    return sendAsCaller({
      entry: to.address,
      path: '/draft/1',
      body: 'x',
      headers: {...headers, 'Boragemill-Deadline-Ms': String(deadlineMs)},
    });
  }

  function handleWith(handler: RequestHandler): void {
    for (const endpoint of endpoints) {
      endpoint.handler = handler;
      endpoint.receivedRequests.length = 0;
    }
  }

  const lastEventIds = () =>
    endpoints
      .flatMap(({receivedRequests}) => receivedRequests)
      .map(({headers}) => headers['last-event-id']);

  before(async () => {
    const address = await store.start();
    for (const endpoint of endpoints) await endpoint.start();
    store.put('op', 'config', configuration());
    registerEndpoints('ready');
    const started = [
      ...(await startEntries(2, address, {retryRatio: 8})),
      ...(await startEntries(1, address, {retryRatio: 0})),
    ];
    [entry, stopping, withoutRetries] = started as [
      PlatformEntry,
      PlatformEntry,
      PlatformEntry,
    ];
    handleWith(signed(200, EVENT_STREAM, event(1)));
    await waitUntil(async () => {
      const entries = [entry, stopping, withoutRetries];
      const replies = await Promise.all(entries.map(to => send(500, to)));
      return replies.every(({status}) => status === 200);
    }, 'the entries to serve');
  });

  after(async () => {
    // A program can be stopped only once.
    await (stopped ?? stopping.program.stop());
    await Promise.all(
      [entry, withoutRetries].map(({program}) => program.stop()),
    );
    store.stop();
    endpoints.forEach(endpoint => endpoint.stop());
  });

  for (const {title, resumed, passedOn = ''} of cases) {
    it(`is broken off if it is resumed with ${title}`, async () => {
      handleWith(resumeWith(resumed));
      const reply = await send();
      expect(reply.body).to.equal(BEGUN + passedOn);
      expect(reply.whole).to.equal(false);
      expect(lastEventIds()).to.include('2');
    });
  }

  it('is complete if it is resumed with events that came before, too', async () => {
    const all = BEGUN + event(3) + event(4);
    handleWith(resumeWith(signed(200, EVENT_STREAM, all)));
    const reply = await send();
    expect(reply).to.include({body: all, whole: true});
  });

  it('is complete if it is resumed with comments between events', async () => {
    const rest = `: alive\n\n${event(3)}`;
    handleWith(resumeWith(signed(200, EVENT_STREAM, rest)));
    const reply = await send();
    expect(reply).to.include({body: BEGUN + rest, whole: true});
  });

  it('is not repeated from its beginning if its events have no ids', async () => {
    const events = 'data: x\n\ndata: y\n\n';
    const breakAfterTwo: RequestHandler = (a, res) => {
      res.writeHead(200, {...EVENT_STREAM, ...sealedHeaders(a)});
      res.write(events, () => setTimeout(() => res.destroy(), BREAK_MS));
    };
    const whole = signed(200, EVENT_STREAM, `${events}data: z\n\n`);
    handleWith(resumeWith(whole, breakAfterTwo));
    const reply = await send();
    expect(reply).to.include({body: events, whole: false});
    expect(lastEventIds()).to.have.length(1);
  });

  it('is broken off at its deadline while it is being resumed', async () => {
    handleWith(resumeWith(() => undefined));
    const reply = await send(300);
    expect(reply).to.include({body: BEGUN, whole: false});
  });

  it('is broken off if the retry budget is used up', async () => {
    handleWith(resumeWith(signed(200, EVENT_STREAM, event(3))));
    const reply = await send(DEADLINE_MS, withoutRetries);
    expect(reply).to.include({body: BEGUN, whole: false});
    expect(lastEventIds()).to.have.length(1);
  });

  it('is broken off if it is resumed with a 421', async () => {
    // The entry excludes an endpoint that answers so until it registers again.
    handleWith(resumeWith(signed(421, JSON_TYPE, FAILURE_LINES)));
    const reply = await send(800);
    expect(reply).to.include({body: BEGUN, whole: false});
    expect(lastEventIds()).to.include('2');
    registerEndpoints('ready');
  });

  it('is broken off if no endpoint is left', async () => {
    // The entry reads the changes of a table at most every 250 ms.
    const DRAINING_MS = 600;
    const leave: RequestHandler = (a, res) => {
      registerEndpoints('draining');
      res.writeHead(200, {...EVENT_STREAM, ...sealedHeaders(a)});
      res.write(BEGUN, () => setTimeout(() => res.destroy(), DRAINING_MS));
    };
    handleWith(resumeWith(signed(200, EVENT_STREAM, event(3)), leave));
    const reply = await send(1_400);
    expect(reply).to.include({body: BEGUN, whole: false});
    expect(lastEventIds()).to.have.length(1);
    registerEndpoints('ready');
    handleWith(signed(200, EVENT_STREAM, event(1)));
    await waitUntil(
      async () => (await send(300)).status === 200,
      'the endpoints to be back',
    );
  });

  it('is resumed while the entry is being stopped', async () => {
    const RESUME_MS = 300;
    const rest = signed(200, EVENT_STREAM, event(3));
    handleWith(
      resumeWith((a, res) => {
        setTimeout(() => void rest(a, res), RESUME_MS);
      }),
    );
    const running = send(DEADLINE_MS, stopping);
    await waitUntil(() => lastEventIds().includes('2'), 'the resumption');
    stopped = stopping.program.stop();
    expect(await running).to.include({body: BEGUN + event(3), whole: true});
  }).timeout(20_000);
});
