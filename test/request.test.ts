/**
 * Guards against requests that end without their answer or with a wrong fault,
 * run twice, or keep a grant or a claim when messages are lost, late or repeated.
 */
import {expect} from 'chai';
import {decideRequest} from '../src/entry/request';
import {newRequest, RequestMessage} from '../src/entry/requeststate';
import {
  newAssembly,
  continueInAttempt,
  receiveFrame,
} from '../src/streams/reassembly';
import {Frame} from '../src/wire/messages';
import {model} from './fuzz/request';

const SEED = 20261204;
const STEPS = 20_000;

function runMessages(
  idempotent: boolean,
  ...messages: readonly RequestMessage[]
) {
  let state = newRequest('r', idempotent);
  let effects: readonly {readonly kind: string}[] = [];
  for (const message of messages) {
    ({state, effects} = decideRequest(state, message));
  }
  return {state, kinds: effects.map(e => e.kind)};
}

function grantMessage(sidecar: string): RequestMessage {
  const grant = {
    requestId: 'r',
    attempt: 1,
    grantId: 'g',
    expiresMs: 0,
    maxTokens: 0,
  };
  return {kind: 'grant', sidecar, incarnation: '1', grant};
}

function newFrame(fields: Partial<Frame>): Frame {
  return {
    requestId: 'r',
    attempt: 1,
    offset: 0,
    count: 0,
    data: new Uint8Array(0),
    end: false,
    total: 0,
    finish: '',
    status: 200,
    headers: [],
    cachedTokens: 0,
    lengths: [],
    ...fields,
  };
}

const offersSent: RequestMessage = {kind: 'chosen', sidecars: ['a', 'b']};

describe('request decision', () => {
  it('gives each caller its whole answer or the correct fault, whatever happens to messages', () => {
    model.run(SEED, STEPS);
  }).timeout(60_000);

  it('does not end a started request when a late choice finds no sidecar', () => {
    const late: RequestMessage = {kind: 'chosen', sidecars: []};
    const {state} = runMessages(true, offersSent, grantMessage('a'), late);
    expect(state.phase).to.equal('started');
  });

  it('does not offer a started request to the sidecars of a late choice', () => {
    const late: RequestMessage = {kind: 'chosen', sidecars: ['c']};
    const {kinds} = runMessages(true, offersSent, grantMessage('a'), late);
    expect(kinds).to.deep.equal([]);
  });

  it('releases a claim that is confirmed after its grant was revoked', () => {
    const {kinds} = runMessages(
      false,
      offersSent,
      grantMessage('a'),
      {kind: 'revoke', sidecar: 'a', grantId: 'g'},
      {kind: 'claimed', outcome: {kind: 'claimed'}},
    );
    expect(kinds).to.deep.equal(['releaseClaim']);
  });

  it('releases a claim that is confirmed after the caller has gone', () => {
    const claimed: RequestMessage = {
      kind: 'claimed',
      outcome: {kind: 'claimed'},
    };
    const gone: RequestMessage = {kind: 'callerGone'};
    const {kinds} = runMessages(
      false,
      offersSent,
      grantMessage('a'),
      gone,
      claimed,
    );
    expect(kinds).to.deep.equal(['releaseClaim']);
    const twice = runMessages(
      false,
      offersSent,
      grantMessage('a'),
      gone,
      claimed,
      claimed,
    );
    expect(twice.kinds).to.deep.equal([]);
  });

  it('ends at once when its sidecar says that the outcome is unknown', () => {
    const ref = {requestId: 'r', attempt: 1};
    const none = {status: 0, body: new Uint8Array(0), headers: []};
    const {state, kinds} = runMessages(
      false,
      offersSent,
      grantMessage('a'),
      {kind: 'claimed', outcome: {kind: 'claimed'}},
      {kind: 'lost', sidecar: 'a'},
      {
        kind: 'answer',
        sidecar: 'a',
        incarnation: '1',
        answer: {...ref, ...none, outcome: 'unknown'},
      },
    );
    expect(kinds).to.deep.equal(['fail']);
    expect(state.phase).to.equal('finished');
  });

  it('keeps its grant when the message that brought it is repeated', () => {
    const {kinds} = runMessages(
      false,
      offersSent,
      grantMessage('a'),
      grantMessage('a'),
    );
    expect(kinds).to.deep.equal([]);
  });
});

describe('reassembly', () => {
  it('drops a frame of an earlier attempt, which would repeat tokens', () => {
    const assembly = continueInAttempt(newAssembly('r'), 2);
    expect(receiveFrame(assembly, newFrame({count: 1})).kind).to.equal(
      'dropped',
    );
  });

  it('keeps the new part of a frame that overlaps what was received', () => {
    const assembly = {...newAssembly('r'), offset: 2};
    const data = Buffer.from('aabbbcc');
    const received = receiveFrame(
      assembly,
      newFrame({count: 3, data, lengths: [2, 3, 2], end: true, total: 3}),
    );
    expect(received.kind).to.equal('accepted');
    if (received.kind !== 'accepted') return;
    expect(Buffer.from(received.frame.data).toString()).to.equal('cc');
    expect(received.assembly).to.include({offset: 3, complete: true});
  });

  it('reports an overlap it cannot cut instead of delivering bytes twice', () => {
    const assembly = {...newAssembly('r'), offset: 1};
    const data = Buffer.from('aabb');
    const received = receiveFrame(assembly, newFrame({count: 2, data}));
    expect(received).to.deep.equal({kind: 'broken', reason: 'length'});
  });
});
