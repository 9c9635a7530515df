/**
 * Warnings about a valid rule file, for what the operator has to ensure.
 *
 * An endpoint that does not check fencing numbers (`fence=ignores`) executes
 * an order that arrives late from an earlier sidecar. The balancer cannot
 * prevent that from outside the endpoint, so the operator has to. An absent
 * `fence` counts as `fence=ignores`. A service without `fence` and without
 * non-idempotent calls gets no warning, because a repeated read is harmless.
 */
import {RuleFault, RuleLine, splitFile} from './lines';

export type RuleWarning = RuleFault;

/** Returns the warnings in the order of lines. They do not prevent `apply`. */
export function findWarnings(text: string): readonly RuleWarning[] {
  const {lines} = splitFile(text);
  return lines.filter(ignoresFence).map(warningOf);
}

function ignoresFence({subject, values}: RuleLine): boolean {
  if (!Object.hasOwn(OPERATOR_PRECAUTIONS, subject)) return false;
  const fence = values.get('fence');
  if (fence !== undefined) return fence === 'ignores';
  return subject === 'group' || values.has('non-idempotent');
}

/** What the operator has to ensure, by the subject of the rule. */
const OPERATOR_PRECAUTIONS: Readonly<Record<string, string>> = {
  group:
    'ensure that nothing but the sidecars of the group reaches its engines, ' +
    'and that an earlier sidecar of an engine has ended before another starts',
  service:
    'ensure that nothing but its own sidecar reaches each endpoint, and that ' +
    'an earlier sidecar of the endpoint has ended before another starts',
};

function warningOf({line, subject, name, values}: RuleLine): RuleWarning {
  const setting = values.has('fence')
    ? 'fence=ignores'
    : 'without fence=checks, fence=ignores applies';
  const precaution = OPERATOR_PRECAUTIONS[subject]!;
  const message = `${subject} ${name} does not check who gives it orders (${setting}); ${precaution}`;
  return {line, message};
}
