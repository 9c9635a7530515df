/**
 * The facts about the end of an attempt.
 *
 * Guards against an answer that ends with its connection and is taken for one that
 * says itself whether it is complete.
 */
import {expect} from 'chai';
import {describeEnd, framingOf} from '../src/gateway/attemptend';

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
    const ended = {events: 2, hasPartialEvent: true} as const;
    const lost = {...ended, framing: 'chunks', connection: 'lost'} as const;
    expect(describeEnd(lost)).to.equal('chunks:2+:lost');
    const unopened = {
      framing: undefined,
      events: 0,
      hasPartialEvent: false,
      connection: 'unopened',
    } as const;
    expect(describeEnd(unopened)).to.equal('none:0:unopened');
  });
});
