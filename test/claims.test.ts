import {expect} from 'chai';
import {run} from './fuzz/claims';

describe('claims', () => {
  it('runs each key at most once and reports not-run only for requests that did not run', function () {
    this.timeout(120_000);
    const tally = run(20261204, 100_000);
    expect(tally.steps).to.be.at.least(10_000);
    // Guards against a run that does not reach the cases under test.
    expect(tally.executions).to.be.above(100);
    expect(tally.tombstones).to.be.above(50);
    expect(tally.recorded).to.be.above(100);
    expect(tally.forgotten).to.be.above(0);
  });
});
