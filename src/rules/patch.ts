/**
 * Line differences between two versions of the rule file.
 *
 * With them, a change of one line in a file of 300 costs a few hundred bytes
 * for each process instead of the whole file. The result of a patch is only
 * used if it has the expected hash.
 */
import {createHash} from 'node:crypto';
import {applyPatch, createTwoFilesPatch, OMIT_HEADERS} from 'diff';

/** Hex SHA-256 of a rule file's text. */
export function sha256Hex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

export function createLinePatch(from: string, to: string): string {
  const options = {context: 0, headerOptions: OMIT_HEADERS};
  return createTwoFilesPatch('a', 'b', from, to, '', '', options);
}

/** Returns the patched text, or undefined if the patch does not apply. */
export function applyLinePatch(
  text: string,
  patch: string,
): string | undefined {
  try {
    const result = applyPatch(text, patch, {autoConvertLineEndings: false});
    return result === false ? undefined : result;
  } catch {
    return undefined;
  }
}
