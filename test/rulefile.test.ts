import fs from 'node:fs';
import {expect} from 'chai';
import {checkRules, LiveEndpoint} from '../src/rules/check';
import {describeChanges} from '../src/rules/diff';
import {emptyRules, priorityOf, regionOf, RuleSet} from '../src/rules/model';
import {parseRules} from '../src/rules/parse';
import {findWarnings} from '../src/rules/warnings';

const KEY = `sha256:${'a'.repeat(64)}`;

function parsedRules(...lines: readonly string[]): RuleSet {
  return parseRules(lines.map(line => `${line}  # Jana`).join('\n')).unwrap();
}

function faultsOf(...lines: readonly string[]): readonly string[] {
  const text = lines.map(line => `${line}  # Jana`).join('\n');
  return checkRules(text).map(fault => `${fault.line}: ${fault.message}`);
}

function endpoint(instance: string, zone: string): LiveEndpoint {
  return {instance, zone, targetKind: 'model', target: 'm'};
}

describe('rule file', () => {
  for (const name of ['ventilka', 'steinsekk']) {
    it(`guards against a faulty example: ${name}`, () => {
      const text = fs.readFileSync(`examples/${name}.rules`, 'utf8');
      expect(checkRules(text)).to.deep.equal([]);
      expect(parseRules(text).unwrap().accounts.size).to.be.above(3);
    });
  }

  it('guards against a zone whose region depends on the order of lines', () => {
    const both = ['region north zones=z1,z2', 'region south zones=z2,z3'];
    const message = 'zone z2 has a region on line 1; keep one of the two';
    expect(faultsOf(...both)).to.deep.equal([`2: ${message}`]);
    const set = parsedRules('region north zones=z1,z2');
    expect(regionOf(set, 'z1')).to.equal('north');
    expect(regionOf(set, 'z3')).to.equal(regionOf(set, 'z4'));
    expect(describeChanges(emptyRules, set)).to.deep.equal([
      'region north is added (zones z1, z2)',
    ]);
  });

  it('guards against a missing warning about an endpoint that takes orders from anyone', () => {
    const warningsFor = (...lines: readonly string[]) =>
      findWarnings(lines.map(line => `${line}  # Jana`).join('\n'));
    const found = warningsFor(
      'group a model=m ranks=2 fence=ignores',
      'group b model=m ranks=2 fence=checks',
      'group c model=m ranks=2',
      'service read',
      'service orders non-idempotent=POST:/orders',
      'service checked non-idempotent=POST:/orders fence=checks',
      'service stock fence=ignores',
    );
    expect(found.map(({line}) => line)).to.deep.equal([1, 3, 5, 7]);
    for (const {message} of found) {
      expect(message).to.match(/does not check who gives it orders/);
      expect(message).to.match(/ensure that nothing but .* reaches/);
    }
    expect(found[1]!.message).to.match(/without fence=checks/);
  });

  it('guards against a budget or threshold that is parsed and not applied', () => {
    const {budgets, rebalancing} = parsedRules(
      'budget retry ratio=25% floor=2/s',
      'budget queue wait=500ms bytes=64KiB',
      'rebalance experts min-skew=1.2 horizon=2m',
    );
    expect(budgets).to.deep.equal({
      retryRatio: 0.25,
      retryFloorPerS: 2,
      queueMs: 500,
      queueBytesPerAccount: 65_536,
    });
    expect(rebalancing).to.deep.equal({minSkew: 1.2, horizonS: 120});
  });

  it('guards against a kind of work whose priority is never applied', () => {
    const set = parsedRules(
      'service stock priority=4',
      'work phone priority=0 service=stock path=/phone/',
      'work batch priority=8 caller=batch-*',
    );
    const ref = {
      account: 'a',
      caller: 'c',
      targetKind: 'service',
      target: 'stock',
      method: 'GET',
      path: '/phone/1',
    } as const;
    expect(priorityOf(set, ref)).to.equal(0);
    expect(priorityOf(set, {...ref, path: '/other'})).to.equal(4);
    expect(priorityOf(set, {...ref, path: '/', caller: 'batch-7'})).to.equal(8);
  });

  it('guards against a share that is not its stated fraction of all capacity', () => {
    const {accounts} = parsedRules(
      'account a share=40%',
      'account b weight=2',
      'account c weight=1',
    );
    const total = accounts.reduce((sum, a) => sum + a.weight, 0);
    expect(accounts.get('a')!.weight / total).to.be.closeTo(0.4, 1e-9);
    expect(accounts.get('b')!.weight / total).to.be.closeTo(0.4, 1e-9);
  });

  it('guards against reporting one fault at a time', () => {
    const found = checkRules(
      [
        'account a weight=0',
        'account a wieght=2 limit=5  # Jana',
        'zone z sideways  # Jana',
        'frobnicate x  # Jana',
        'group g model=none ranks=4  # Jana',
      ].join('\n'),
    );
    const lines = found.map(fault => fault.line);
    expect([...new Set(lines)]).to.deep.equal([1, 2, 3, 4, 5]);
    expect(found.filter(f => f.line === 1)).to.have.length(2);
    expect(found[0]!.message).to.match(/end the line with "# name"/);
  });

  const contradictions: readonly (readonly [string[], RegExp])[] = [
    [['zone z in', 'zone z out'], /2: zone z in or out .* line 1/],
    [['account a', 'account a weight=2'], /2: account a .* line 1/],
    [[`account a key=${KEY}`, `account b key=${KEY}`], /2: key .* line 1/],
    [['account a share=60%', 'account b share=50%'], /110%, above the whole/],
    [['account a share=100%', 'account b'], /leave nothing/],
    [['caller a/x weight=2'], /no account "a"/],
    [
      [
        'account a',
        'work w priority=1 account=a',
        'work v priority=2 account=a',
      ],
      /3: account=a has the priority/,
    ],
    [['account a weight=1 share=5%'], /exclude each other/],
    [['zone z out cutoff=stop after=30s'], /exclude each other/],
    [['zone z cutoff=stop after=1s'], /at least 5s/],
    [['account a weight=1 weight=2'], /weight is set twice/],
    [['model m priority='], /priority has no value/],
    [['zone z out later'], /unknown word "later"/],
  ];
  for (const [lines, message] of contradictions) {
    it(`guards against accepting "${lines.join('; ')}"`, () => {
      expect(faultsOf(...lines).join('\n')).to.match(message);
    });
  }

  it('guards against taking out a model’s last endpoint', () => {
    const live = [endpoint('e1', 'z1'), endpoint('e2', 'z2')];
    const text = (...lines: string[]) =>
      ['model m', ...lines].map(line => `${line}  # Jana`).join('\n');
    expect(checkRules(text('zone z1 out'), live)).to.deep.equal([]);
    const both = checkRules(text('zone z1 out', 'endpoint e2 leaving'), live);
    expect(both.map(f => f.message).join()).to.match(/without an endpoint/);
    expect(checkRules(text('zone z1 out', 'zone z2 out'))).to.deep.equal([]);
  });

  it('guards against a change that the description omits', () => {
    const before = parsedRules('account a weight=3', 'zone z1 out');
    const after = parsedRules(
      'account a weight=1',
      'zone z2 out',
      'budget retry ratio=20%',
    );
    expect(describeChanges(before, after)).to.deep.equal([
      'zone z2 is taken out: it receives no new work',
      'zone z1 comes back in and receives new work',
      'account a: weight from 3 to 1',
      'budgets: retries per first attempt from 10% to 20%',
    ]);
    expect(describeChanges(after, after)).to.deep.equal([]);
    expect(describeChanges(emptyRules, before)).to.have.length(2);
  });
});
