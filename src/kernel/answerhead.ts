/**
 * Checks the head of an HTTP answer before anything of it is used.
 *
 * Node's parser reads heads that its writer refuses with an exception, such as
 * one with a status below 100. What passes this check can be written to a
 * caller; no later step checks it again.
 */
import http from 'node:http';

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/**
 * Why an answer with this head cannot be passed on; undefined if it can.
 * `rawHeaders` alternates names and values.
 */
export function answerHeadFault(
  status: number,
  rawHeaders: readonly string[],
): string | undefined {
  const isFinal =
    Number.isInteger(status) &&
    status >= FIRST_FINAL_STATUS &&
    status <= LAST_STATUS;
  if (!isFinal) return `status ${status} is not valid`;
  try {
    for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
      const name = rawHeaders[i]!;
      http.validateHeaderName(name);
      http.validateHeaderValue(name, rawHeaders[i + 1]!);
    }
  } catch (error) {
    return (error as Error).message;
  }
  return undefined;
}
