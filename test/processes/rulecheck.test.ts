/**
 * Guards against a missing warning about an endpoint that takes orders from
 * anyone, and against a warning that hides or replaces a fault.
 */
import {execFile} from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {BINARY} from '../../standins/binaryprocess';

interface CommandResult {
  readonly code: number;
  readonly text: string;
}

function runCheck(file: string): Promise<CommandResult> {
  return new Promise(done => {
    execFile(BINARY, ['rules', 'check', file], (error, stdout, stderr) => {
      const code = typeof error?.code === 'number' ? error.code : 0;
      done({code, text: stdout + stderr});
    });
  });
}

function lineNumberOf(file: string, start: string): number {
  const lines = fs.readFileSync(file, 'utf8').split('\n');
  return lines.findIndex(line => line.startsWith(start)) + 1;
}

describe('rules check of the binary', () => {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'boragemill-'));
  after(() => fs.rmSync(directory, {recursive: true, force: true}));

  const rulesWithoutFence = [
    ['examples/ventilka.rules', 'group offer-writer-1'],
    ['examples/steinsekk.rules', 'group pickup-answers-1'],
  ] as const;
  for (const [file, rule] of rulesWithoutFence) {
    it(`warns about ${rule} in ${file} and exits with 0`, async () => {
      const {code, text} = await runCheck(file);
      const start = `${file}:${lineNumberOf(file, rule)}: warning: ${rule} does not`;
      const found = text.split('\n').filter(line => line.startsWith(start));
      expect(found, text).to.have.length(1);
      expect(found[0]).to.match(/ensure that nothing but/);
      expect(code).to.equal(0);
    });
  }

  it('still exits with 1 for a fault in a file that also has a warning', async () => {
    const file = path.join(directory, 'faulty.rules');
    const lines = [
      'service orders fence=ignores  # Jana',
      'model valve priority=12  # Jana',
    ];
    fs.writeFileSync(file, lines.join('\n'));
    const {code, text} = await runCheck(file);
    expect(code).to.equal(1);
    expect(text).to.match(/faulty\.rules:2: priority/);
  });
});
