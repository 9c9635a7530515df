/**
 * Reads a settings file: JSON with comments, checked against a schema.
 *
 * Each error is one line with the file, the line number, the key, what is
 * wrong and how to correct it, because operators read it in a start-up log.
 */
import fs from 'node:fs';
import {
  findNodeAtLocation,
  Node,
  ParseError,
  parseTree,
  getNodeValue,
  printParseErrorCode,
} from 'jsonc-parser';
import {Err, Ok, Result} from 'ts-results';
import {z} from 'zod';

type Issue = z.core.$ZodIssue;

/** Returns the validated settings, or one line for each error. */
export function loadSettings<S extends z.ZodType>(
  file: string,
  schema: S,
): Result<z.infer<S>, readonly string[]> {
  if (!fs.existsSync(file)) {
    return Err([`${file}: not found; give the path of a settings file`]);
  }
  return parseSettings(file, fs.readFileSync(file, 'utf8'), schema);
}

export function parseSettings<S extends z.ZodType>(
  file: string,
  text: string,
  schema: S,
): Result<z.infer<S>, readonly string[]> {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, {allowTrailingComma: true});
  if (errors.length > 0 || !tree) {
    return Err(errors.map(e => syntaxFault(file, text, e)));
  }
  const checked = schema.safeParse(getNodeValue(tree));
  if (checked.success) return Ok(checked.data);
  return Err(checked.error.issues.map(i => issueFault(file, text, tree, i)));
}

function syntaxFault(file: string, text: string, error: ParseError): string {
  const code = printParseErrorCode(error.error);
  return `${file}:${lineAt(text, error.offset)}: ${code}; correct the JSON here`;
}

function issueFault(
  file: string,
  text: string,
  tree: Node,
  issue: Issue,
): string {
  const path = issue.path.map(p => (typeof p === 'number' ? p : String(p)));
  const key = [...path, ...unrecognizedKeys(issue)].join('.');
  const line = lineAt(text, closestNode(tree, path, issue).offset);
  const given = findNodeAtLocation(tree, path) !== undefined;
  return `${file}:${line}: ${key || '(top level)'}: ${explainIssue(issue, given)}`;
}

function unrecognizedKeys(issue: Issue): readonly string[] {
  return issue.code === 'unrecognized_keys' ? [issue.keys.join(', ')] : [];
}

function explainIssue(issue: Issue, given: boolean): string {
  if (issue.code === 'unrecognized_keys') {
    return 'unknown key; remove it or correct its spelling';
  }
  if (issue.code === 'invalid_type' && !given) {
    return `missing; add it (expected ${issue.expected})`;
  }
  return `${issue.message}; correct the value`;
}

/** The node to report: that of the longest prefix of `path` that exists. */
function closestNode(
  tree: Node,
  path: (string | number)[],
  issue: Issue,
): Node {
  const first = issue.code === 'unrecognized_keys' ? issue.keys[0] : undefined;
  const full = first === undefined ? path : [...path, first];
  for (let n = full.length; n > 0; n--) {
    const node = findNodeAtLocation(tree, full.slice(0, n));
    if (node) return node.parent ?? node;
  }
  return tree;
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
