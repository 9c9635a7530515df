import {expect} from 'chai';
import * as fc from 'fast-check';
import {
  recordArrival,
  creditCost,
  decideFlow,
  recordRead,
  Flow,
  FlowMessage,
  isDone,
  MAX_HELD_COST,
  newFlow,
  newWindow,
  Window,
} from '../src/streams/flowcontrol';
import {Frame} from '../src/wire/messages';

const WINDOW_BYTES = 2_048;
const TOTAL_TOKENS = 200;
const TOKEN_BYTES = 30;

function token(offset: number): Frame {
  return {
    requestId: 'r',
    attempt: 1,
    offset,
    count: 1,
    data: new Uint8Array(TOKEN_BYTES),
    end: offset === TOTAL_TOKENS - 1,
    total: TOTAL_TOKENS,
    finish: '',
    status: 0,
    headers: [],
    cachedTokens: 0,
    lengths: [TOKEN_BYTES],
  };
}

/**
 * The path of one answer: an engine, a sidecar, the link, an entry and a
 * caller that reads. Each method moves one token, frame or credit a step on.
 */
class AnswerPath {
  flow: Flow = newFlow(WINDOW_BYTES, 0, true);
  window: Window = newWindow(WINDOW_BYTES);
  /** Undefined while the attempt is paused at the engine. */
  engineOffset: number | undefined = 0;
  readonly framesOnLink: Frame[] = [];
  readonly creditsOnLink: number[] = [];
  readonly entryBuffer: Frame[] = [];
  tokensRead = 0;
  pauses = 0;

  emitToken(): void {
    if (this.engineOffset === undefined || this.engineOffset >= TOTAL_TOKENS)
      return;
    this.engineOffset += 1;
    this.decide({kind: 'frame', frame: token(this.engineOffset - 1)});
  }

  deliverFrame(): void {
    const frame = this.framesOnLink.shift();
    if (!frame) return;
    this.window = recordArrival(this.window, creditCost(frame));
    this.entryBuffer.push(frame);
  }

  readFrame(): void {
    const frame = this.entryBuffer.shift();
    if (!frame) return;
    expect(frame.offset).to.equal(this.tokensRead);
    expect(frame.data.length).to.equal(frame.count * TOKEN_BYTES);
    expect(frame.lengths.length).to.equal(frame.count);
    this.tokensRead += frame.count;
    const {window, grant} = recordRead(this.window, creditCost(frame));
    this.window = window;
    if (grant > 0) this.creditsOnLink.push(grant);
  }

  deliverCredit(): void {
    const bytes = this.creditsOnLink.shift();
    if (bytes !== undefined) this.decide({kind: 'credit', bytes});
  }

  /** Cost of the frames held in all processes and on the link. */
  heldCost(): number {
    const frames = [
      ...this.framesOnLink,
      ...this.entryBuffer,
      ...this.flow.held,
    ];
    return frames.reduce((sum, frame) => sum + creditCost(frame), 0);
  }

  private decide(message: FlowMessage): void {
    const {flow, effects} = decideFlow(this.flow, message);
    this.flow = flow;
    for (const effect of effects) {
      if (effect.kind === 'send') this.framesOnLink.push(effect.frame);
      if (effect.kind === 'pause') {
        this.engineOffset = undefined;
        this.pauses += 1;
      }
      if (effect.kind === 'resume') {
        this.engineOffset = effect.offset;
        this.decide({kind: 'resumed'});
      }
    }
  }
}

const MOVES = [
  'emitToken',
  'deliverFrame',
  'readFrame',
  'deliverCredit',
] as const;

describe('flow control of an answer', () => {
  const moves = fc.array(
    fc.tuple(fc.constantFrom(...MOVES), fc.integer({min: 1, max: 40})),
    {maxLength: 200, size: 'max'},
  );

  it('bounds the held frames and neither loses nor repeats a token, at any pace', () => {
    const bound = WINDOW_BYTES + MAX_HELD_COST + 2 * creditCost(token(0));
    fc.assert(
      fc.property(moves, list => {
        const path = new AnswerPath();
        for (const [move, times] of list) {
          for (let i = 0; i < times; i++) path[move]();
          expect(path.heldCost()).to.be.at.most(bound);
        }
        for (let turn = 0; turn < 4 * TOTAL_TOKENS; turn++) {
          MOVES.forEach(move => path[move]());
        }
        expect(path.tokensRead).to.equal(TOTAL_TOKENS);
        expect(isDone(path.flow)).to.equal(true);
      }),
      {seed: 20261204, numRuns: 300},
    );
  });

  it('pauses the engine when the caller stops reading and resumes when it reads', () => {
    const path = new AnswerPath();
    for (let i = 0; i < TOTAL_TOKENS; i++) {
      path.emitToken();
      path.deliverFrame();
    }
    expect(path.pauses).to.equal(1);
    expect(path.engineOffset).to.equal(undefined);
    while (path.tokensRead < TOTAL_TOKENS) MOVES.forEach(move => path[move]());
  });
});
