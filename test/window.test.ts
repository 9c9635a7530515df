import {expect} from 'chai';
import * as fc from 'fast-check';
import {
  arrived,
  costOf,
  decideFlow,
  drained,
  Flow,
  FlowMessage,
  isDone,
  newFlow,
  newWindow,
  MAX_HELD_BYTES,
  Window,
} from '../src/streams/window';
import {Frame} from '../src/wire/messages';

const WINDOW_BYTES = 2_048;
const TOKENS = 200;
const TOKEN_BYTES = 30;

function token(offset: number): Frame {
  return {
    requestId: 'r',
    attempt: 1,
    offset,
    count: 1,
    data: new Uint8Array(TOKEN_BYTES),
    end: offset === TOKENS - 1,
    total: TOKENS,
    finish: '',
    status: 0,
    headers: [],
    cachedTokens: 0,
    lengths: [TOKEN_BYTES],
  };
}

/** An engine, a sidecar, a link, an entry and a reader. */
class Path {
  flow: Flow = newFlow(WINDOW_BYTES, 0, true);
  window: Window = newWindow(WINDOW_BYTES);
  engineAt: number | undefined = 0;
  readonly onLink: Frame[] = [];
  readonly credits: number[] = [];
  readonly buffer: Frame[] = [];
  read = 0;
  pauses = 0;

  engine(): void {
    if (this.engineAt === undefined || this.engineAt >= TOKENS) return;
    this.engineAt += 1;
    this.decide({kind: 'frame', frame: token(this.engineAt - 1)});
  }

  toEntry(): void {
    const frame = this.onLink.shift();
    if (!frame) return;
    this.window = arrived(this.window, costOf(frame));
    this.buffer.push(frame);
  }

  reader(): void {
    const frame = this.buffer.shift();
    if (!frame) return;
    expect(frame.offset).to.equal(this.read);
    expect(frame.data.length).to.equal(frame.count * TOKEN_BYTES);
    expect(frame.lengths.length).to.equal(frame.count);
    this.read += frame.count;
    const {window, grant} = drained(this.window, costOf(frame));
    this.window = window;
    if (grant > 0) this.credits.push(grant);
  }

  credit(): void {
    const bytes = this.credits.shift();
    if (bytes !== undefined) this.decide({kind: 'credit', bytes});
  }

  /** Bytes that the stream holds in all processes and on the link. */
  held(): number {
    const frames = [...this.onLink, ...this.buffer, ...this.flow.held];
    return frames.reduce((sum, frame) => sum + costOf(frame), 0);
  }

  private decide(message: FlowMessage): void {
    const {flow, effects} = decideFlow(this.flow, message);
    this.flow = flow;
    for (const effect of effects) {
      if (effect.kind === 'send') this.onLink.push(effect.frame);
      if (effect.kind === 'pause') {
        this.engineAt = undefined;
        this.pauses += 1;
      }
      if (effect.kind === 'resume') {
        this.engineAt = effect.offset;
        this.decide({kind: 'resumed'});
      }
    }
  }
}

const MOVES = ['engine', 'toEntry', 'reader', 'credit'] as const;

describe('slow reader window', () => {
  const moves = fc.array(
    fc.tuple(fc.constantFrom(...MOVES), fc.integer({min: 1, max: 40})),
    {maxLength: 200, size: 'max'},
  );

  it('holds a bounded part of a stream and loses and repeats no token, at any pace', () => {
    const bound = WINDOW_BYTES + MAX_HELD_BYTES + 2 * costOf(token(0));
    fc.assert(
      fc.property(moves, list => {
        const path = new Path();
        for (const [move, times] of list) {
          for (let i = 0; i < times; i++) path[move]();
          expect(path.held()).to.be.at.most(bound);
        }
        for (let turn = 0; turn < 4 * TOKENS; turn++) {
          MOVES.forEach(move => path[move]());
        }
        expect(path.read).to.equal(TOKENS);
        expect(isDone(path.flow)).to.equal(true);
      }),
      {seed: 20261204, numRuns: 300},
    );
  });

  it('pauses the engine when the reader stops and goes on when it reads', () => {
    const path = new Path();
    for (let i = 0; i < TOKENS; i++) {
      path.engine();
      path.toEntry();
    }
    expect(path.pauses).to.equal(1);
    expect(path.engineAt).to.equal(undefined);
    while (path.read < TOKENS) MOVES.forEach(move => path[move]());
  });
});
