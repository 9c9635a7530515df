/**
 * Splits the lines of a rule file into words.
 *
 * A line is `subject name flag key=value  # who asked`. The tokenizer of a
 * library handles quotes and comments. This module assigns its tokens to the
 * parts of a line and reports lines that cannot be a rule. It is independent
 * of the set of subjects.
 */
import {Map} from 'immutable';
import {ParseEntry, parse as shellWords} from 'shell-quote';

export interface RuleFault {
  readonly line: number;
  readonly message: string;
}

/** The parts of one line. */
export interface RuleLine {
  readonly line: number;
  readonly subject: string;
  readonly name: string;
  readonly flags: readonly string[];
  readonly values: Map<string, string>;
  /** Who asked for the rule, from the comment at the end of the line. */
  readonly requester: string;
}

export interface SplitFile {
  readonly lines: readonly RuleLine[];
  readonly faults: readonly RuleFault[];
}

/** Splits a file; blank lines and comment lines are left out. */
export function splitFile(text: string): SplitFile {
  const lines: RuleLine[] = [];
  const faults: RuleFault[] = [];
  text.split('\n').forEach((source, index) => {
    if (source.trim() === '' || source.trim().startsWith('#')) return;
    const tokens = tokensOf(source);
    const line = index + 1;
    lines.push(toRuleLine(tokens, line));
    for (const message of tokenFaults(tokens)) faults.push({line, message});
  });
  return {lines, faults};
}

function tokensOf(source: string): readonly ParseEntry[] {
  // The tokenizer expands shell variables. A rule file has none, so a dollar
  // sign stays as it is.
  const tokens = shellWords(source, key => `$${key}`);
  return tokens.map(token =>
    typeof token === 'object' && 'op' in token && token.op === 'glob'
      ? token.pattern
      : token,
  );
}

function requesterOf(tokens: readonly ParseEntry[]): string {
  for (const token of tokens) {
    if (typeof token === 'object' && 'comment' in token) {
      return token.comment.trim();
    }
  }
  return '';
}

function wordsOf(tokens: readonly ParseEntry[]): readonly string[] {
  return tokens.filter(token => typeof token === 'string');
}

function toRuleLine(tokens: readonly ParseEntry[], line: number): RuleLine {
  const [subject = '', name = '', ...rest] = wordsOf(tokens);
  const pairs = rest.filter(word => word.includes('='));
  const flags = rest.filter(word => !word.includes('='));
  const values = Map(pairs.map(splitPair));
  const requester = requesterOf(tokens);
  return {line, subject, name, flags, values, requester};
}

function tokenFaults(tokens: readonly ParseEntry[]): readonly string[] {
  const faults: string[] = [];
  if (requesterOf(tokens) === '') {
    faults.push(
      'the line does not say who asked for it; end the line with "# name"',
    );
  }
  for (const token of tokens) {
    if (typeof token === 'object' && 'op' in token) {
      faults.push(`"${token.op}" has no meaning here; put the word in quotes`);
    }
  }
  const pairs = wordsOf(tokens)
    .slice(2)
    .filter(w => w.includes('='));
  const keys = pairs.map(word => splitPair(word)[0]);
  keys.forEach((key, at) => {
    if (keys.indexOf(key) < at) faults.push(`${key} is set twice; keep one`);
  });
  for (const [key, value] of pairs.map(splitPair)) {
    if (value === '') faults.push(`${key} has no value; write ${key}=...`);
  }
  return faults;
}

function splitPair(word: string): [string, string] {
  const at = word.indexOf('=');
  return [word.slice(0, at), word.slice(at + 1)];
}
