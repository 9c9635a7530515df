/**
 * Writes HTTP responses in the formats of the public API: chat and completion
 * objects, server-sent events, passed-through service responses, and error
 * objects.
 */
import {Response} from 'express';
import {RecordedAnswer} from '../claims/outcomes';
import {Fault, RunOutcome, httpStatusOf} from '../kernel/errors';
import {Header} from '../wire/messages';
import {ReplySink} from './submission';
import {ModelCall} from './modelcall';

const MS_PER_S = 1_000;

/** Sets the headers that every response carries. */
export function setAnswerHeaders(
  res: Response,
  requestId: string,
  run: RunOutcome,
): void {
  res.setHeader('Boragemill-Request-Id', requestId);
  res.setHeader('Boragemill-Run', run);
}

export function sendFault(res: Response, requestId: string, f: Fault): void {
  const {kind, message, run, retryAfterMs} = f;
  const body = {error: {type: kind, message, run, requestId}};
  if (res.headersSent) {
    // Abort a response that has begun, so that it cannot pass as complete.
    res.destroy();
    return;
  }
  setAnswerHeaders(res, requestId, run);
  if (retryAfterMs !== undefined) {
    res.setHeader('Retry-After', Math.ceil(retryAfterMs / MS_PER_S));
  }
  res.status(httpStatusOf(kind)).json(body);
}

/**
 * Writes text and calls back once the connection has taken it. Text that
 * arrives during a write is joined, so that for a slow reader only one string
 * is buffered.
 */
class TextWriter {
  private text = '';
  private pendingCallbacks: (() => void)[] = [];
  private writing = false;

  constructor(private readonly res: Response) {}

  write(text: string, onTaken: () => void): void {
    this.text += text;
    this.pendingCallbacks.push(onTaken);
    if (!this.writing) this.flush();
  }

  end(text: string): void {
    const {pendingCallbacks: takenCallbacks} = this;
    const rest = this.text + text;
    // A write that is in progress must not be followed by one after the end.
    this.text = '';
    this.pendingCallbacks = [];
    this.res.end(rest, () => {
      for (const callback of takenCallbacks) callback();
    });
  }

  private flush(): void {
    const {text, pendingCallbacks: takenCallbacks} = this;
    if (takenCallbacks.length === 0) return;
    this.text = '';
    this.pendingCallbacks = [];
    this.writing = true;
    writeChunk(this.res, text, () => {
      this.writing = false;
      for (const callback of takenCallbacks) callback();
      this.flush();
    });
  }
}

/**
 * Writes one chunk of a response whose headers were sent. The chunk goes to
 * the socket as one string, because the three writes that `res.write` makes of
 * it take about a third of the CPU time spent on a token.
 */
function writeChunk(res: Response, text: string, done: () => void): void {
  const {socket} = res;
  if (!socket || !res.chunkedEncoding) {
    res.write(text, done);
    return;
  }
  const length = Buffer.byteLength(text).toString(16);
  socket.write(`${length}\r\n${text}\r\n`, done);
}

interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
}

function usageOf(call: ModelCall, total: number): Usage {
  return {
    prompt_tokens: call.promptTokens,
    completion_tokens: total,
    total_tokens: call.promptTokens + total,
  };
}

/** Writes the answer to a streamed model request as server-sent events. */
export function streamedReply(
  res: Response,
  call: ModelCall,
  requestId: string,
): ReplySink {
  const chat = call.api === 'chat';
  const head = {
    id: requestId,
    object: chat ? 'chat.completion.chunk' : 'text_completion',
    created: Math.floor(Date.now() / MS_PER_S),
    model: call.model,
  };
  const prefix = JSON.stringify(head).slice(0, -1);
  const event = (choice: string, rest = '') =>
    `data: ${prefix},"choices":[${choice}]${rest}}\n\n`;
  const tokenEvent = (text: string) => {
    const json = JSON.stringify(text);
    const body = chat ? `"delta":{"content":${json}}` : `"text":${json}`;
    return event(`{"index":0,${body},"finish_reason":null}`);
  };
  const writer = new TextWriter(res);
  return {
    writeFrame(frame, onTaken) {
      if (!res.headersSent) openStream(res, requestId);
      let out = '';
      let at = 0;
      const data = Buffer.from(frame.data);
      for (const length of frame.lengths) {
        out += tokenEvent(data.toString('utf8', at, at + length));
        at += length;
      }
      if (frame.end) {
        const body = chat ? '"delta":{}' : '"text":""';
        const usage = JSON.stringify(usageOf(call, frame.total));
        const reason = JSON.stringify(frame.finish);
        out += event(
          `{"index":0,${body},"finish_reason":${reason}}`,
          `,"usage":${usage}`,
        );
        writer.end(out + 'data: [DONE]\n\n');
        return;
      }
      writer.write(out, onTaken);
    },
    writeRecorded: answer => sendRecorded(res, requestId, answer),
    // A fault within a begun stream would be read as a part of its text.
    writeFault: f => sendFault(res, requestId, f),
  };
}

function openStream(res: Response, requestId: string): void {
  setAnswerHeaders(res, requestId, 'ran');
  res.setHeader('Content-Type', 'text/event-stream');
  res.setHeader('Cache-Control', 'no-store');
  res.flushHeaders();
}

/** Writes the answer to a model request that is not streamed, as one object. */
export function unstreamedReply(
  res: Response,
  call: ModelCall,
  requestId: string,
): ReplySink {
  const parts: Uint8Array[] = [];
  return {
    writeFrame(frame, onTaken) {
      parts.push(frame.data);
      onTaken();
      if (!frame.end) return;
      const text = Buffer.concat(parts).toString('utf8');
      const chat = call.api === 'chat';
      const message = {role: 'assistant', content: text};
      const choice = {index: 0, finish_reason: frame.finish};
      setAnswerHeaders(res, requestId, 'ran');
      res.json({
        id: requestId,
        object: chat ? 'chat.completion' : 'text_completion',
        created: Math.floor(Date.now() / MS_PER_S),
        model: call.model,
        choices: [chat ? {...choice, message} : {...choice, text}],
        usage: usageOf(call, frame.total),
      });
    },
    writeRecorded: answer => sendRecorded(res, requestId, answer),
    writeFault: f => sendFault(res, requestId, f),
  };
}

/** Passes the response of a plain service through. */
export function serviceReply(res: Response, requestId: string): ReplySink {
  return {
    writeFrame(frame, onTaken) {
      if (!res.headersSent) {
        setAnswerHeaders(res, requestId, 'ran');
        writeHead(res, frame.status, frame.headers);
      }
      res.write(frame.data, onTaken);
      if (frame.end) res.end();
    },
    writeRecorded: answer => sendRecorded(res, requestId, answer),
    writeFault: f => sendFault(res, requestId, f),
  };
}

function sendRecorded(
  res: Response,
  requestId: string,
  answer: RecordedAnswer,
): void {
  if (res.headersSent) {
    // What was sent is not the start of the recorded answer.
    res.destroy();
    return;
  }
  setAnswerHeaders(res, requestId, 'ran');
  writeHead(res, answer.status, answer.headers);
  res.end(answer.body);
}

function writeHead(
  res: Response,
  status: number,
  headers: readonly Header[],
): void {
  res.status(status);
  for (const {name, value} of headers) res.setHeader(name, value);
}
