/**
 * The facts about the end of an attempt.
 *
 * Guards against an answer that ends with its connection and is taken for one that
 * says itself whether it is complete.
 */
import {expect} from 'chai';
import {
  AttemptEnd,
  describeEnd,
  framingOf,
  involvement,
} from '../src/gateway/attemptend';

const COMPLETE: AttemptEnd = {
  framing: 'chunks',
  events: 2,
  hasPartialEvent: false,
  connection: 'complete',
  answer: 'success',
  hasContent: true,
};
const UNOPENED: AttemptEnd = {
  framing: undefined,
  events: 0,
  hasPartialEvent: false,
  connection: 'unopened',
  answer: 'none',
  hasContent: false,
};

describe('framing of an answer', () => {
  const framing = (
    headers: Readonly<Record<string, string>>,
    status = 200,
  ): string => framingOf({status, headers, rawHeaders: []});

  it('is the connection without a length or chunks', () => {
    expect(framing({})).to.equal('connection');
    expect(framing({connection: 'close'})).to.equal('connection');
  });

  it('is told by the head otherwise', () => {
    expect(framing({'transfer-encoding': 'chunked'})).to.equal('chunks');
    expect(framing({'content-length': '0'})).to.equal('length');
    expect(framing({}, 204)).to.equal('length');
  });

  it('is logged with what had arrived and how the connection ended', () => {
    const lost = {
      ...COMPLETE,
      hasPartialEvent: true,
      connection: 'lost',
    } as const;
    expect(describeEnd(lost)).to.equal('chunks:2+:lost');
    expect(describeEnd(UNOPENED)).to.equal('none:0:unopened');
  });
});

describe('a request at an endpoint whose process may have ended', () => {
  it('was answered by content only, however the answer is framed and ends', () => {
    for (const framing of ['length', 'chunks', 'connection'] as const) {
      for (const connection of ['complete', 'lost', 'stopped'] as const) {
        const end = {...COMPLETE, framing, connection};
        expect(involvement(end)).to.equal('answered');
        const headOnly = {...end, hasContent: false};
        expect(involvement(headOnly)).to.equal('present');
      }
    }
  });

  it('was there without an answer that counts', () => {
    for (const answer of ['none', 'failure', 'unsigned'] as const)
      expect(involvement({...COMPLETE, answer})).to.equal('present');
  });

  it('was not there if it was rejected or not sent', () => {
    expect(involvement(UNOPENED)).to.equal('none');
    expect(involvement({...COMPLETE, answer: 'rejection'})).to.equal('none');
  });
});
