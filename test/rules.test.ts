import {expect} from 'chai';
import {HEAD_KEY, publishSteps} from '../src/rules/publish';
import {model} from './fuzz/rules';

const SEED = 41;
const STEPS = 30_000;

describe('rule distribution', () => {
  it('guards against adopting a lower or an unaccepted version, and processes that never agree', () => {
    model.run(SEED, STEPS);
  }).timeout(60_000);

  it('guards against reporting a lost write as a conflict after the head row dropped its operation id', () => {
    const steps = publishSteps({text: 'model m  # Jana', operation: 'mine'});
    const row = (version: number, operations: string[]) => ({
      key: HEAD_KEY,
      version,
      value: {version, hash: 'h', operations},
    });
    steps.next();
    steps.next(row(5, ['e', 'd', 'c', 'b']));
    steps.next(true);
    steps.next({kind: 'unknown'});
    const last = steps.next(row(10, ['z', 'y', 'x', 'w']));
    expect(last.value).to.deep.equal({kind: 'unknown'});
  });
});
