/**
 * Guards against a process that starts with invalid settings, and against
 * messages that do not say where the error is and how to correct it.
 */
import fs from 'node:fs';
import path from 'node:path';
import {expect} from 'chai';
import {loadSettings, parseSettings} from '../src/settings/load';
import {
  entrySchema,
  operatorSchema,
  sidecarSchema,
} from '../src/settings/schema';

const EXAMPLES = path.join(__dirname, '..', 'examples');
const SIDECAR = fs.readFileSync(path.join(EXAMPLES, 'sidecar.jsonc'), 'utf8');

function onlyFaultOf(from: string | RegExp, to: string): string {
  const text = SIDECAR.replace(from, to);
  expect(text).to.not.equal(SIDECAR);
  const parsed = parseSettings('s.jsonc', text, sidecarSchema);
  if (parsed.ok) return 'no fault';
  expect(parsed.val).to.have.length(1);
  return parsed.val[0]!;
}

describe('settings', () => {
  it('accepts the examples', () => {
    const load = (file: string, schema: Parameters<typeof loadSettings>[1]) =>
      loadSettings(path.join(EXAMPLES, file), schema);
    expect(load('entry.jsonc', entrySchema).val).to.be.an('object');
    expect(load('sidecar.jsonc', sidecarSchema).ok).to.equal(true);
    expect(load('operator.jsonc', operatorSchema).ok).to.equal(true);
    expect(load('entry.jsonc', entrySchema).ok).to.equal(true);
  });

  const cases: readonly [string, string | RegExp, string, RegExp][] = [
    ['broken JSON', '"zone":', '"zone"', /^s\.jsonc:6: .*correct/],
    ['an unknown key', '"zone"', '"zon"', /zone?: .*(unknown|missing)/],
    ['a missing key', /"zone": .*/, '', /zone: missing; add it/],
    [
      'a wrong unit',
      '"drainMs": 60000',
      '"drainMs": "60s"',
      /:16: drainMs: .*number/,
    ],
    [
      'a number too small',
      '"coldConcurrent": 4',
      '"coldConcurrent": 0',
      /endpoint\.coldConcurrent: .*correct/,
    ],
    [
      'a wrong address',
      '127.0.0.1:9090',
      'localhost',
      /listen\.grpc: must be IP:port/,
    ],
    ['a wrong URL', 'http://127.0.0.1:8500', 'engine', /endpoint\.url: /],
    ['an unknown kind', '"kind": "model"', '"kind": "gpu"', /endpoint\.kind: /],
    [
      'a short key',
      'change this key before use',
      'short',
      /peers\.sharedKey: /,
    ],
    ['a wrong name', '"valve-1"', '"Valve 1"', /instance: must be lower-case/],
    [
      'an unknown nested key',
      '"kvTokens"',
      '"kvToken"',
      /endpoint\.kvToken: unknown key/,
    ],
  ];
  for (const [description, from, to, expected] of cases) {
    it(`names file, line, key and remedy for ${description}`, () => {
      if (description === 'an unknown key') {
        const text = SIDECAR.replace(from, to);
        const parsed = parseSettings('s.jsonc', text, sidecarSchema);
        expect(parsed.err).to.equal(true);
        expect(String(parsed.val)).to.match(/zon: unknown key/);
        return;
      }
      expect(onlyFaultOf(from, to)).to.match(expected);
      expect(onlyFaultOf(from, to)).to.match(/^s\.jsonc:\d+: /);
    });
  }

  it('says so when the file does not exist', () => {
    const loaded = loadSettings('/nowhere/s.jsonc', sidecarSchema);
    expect(String(loaded.val)).to.match(/not found; give the path/);
  });
});
