/**
 * The platform of the rule distribution model: the accepted heads, the object
 * store, and operators who publish concurrently, with lost answers, stale
 * reads and writes that arrive after their senders gave up. Also the texts
 * that are published and how the network damages them.
 */
import {DistributionMessage, VersionRef} from '../../src/rules/distribution';
import {
  HEAD_KEY,
  parseHeadRow,
  HeadValue,
  PublishAnswer,
  PublishCall,
  PublishSteps,
  publishSteps,
  PublishOutcome,
} from '../../src/rules/publish';

export interface Operator {
  readonly operation: string;
  readonly steps: PublishSteps;
  readonly text: string;
  next?: PublishCall;
  outcome?: PublishOutcome;
}

interface StoredHead {
  readonly rowVersion: number;
  readonly value: HeadValue;
}

export function fail(message: string): never {
  throw new Error(message);
}

const ACCOUNTS = Array.from(
  {length: 20},
  (_, i) => `account a${i} weight=${i + 1}  # Jana`,
);

function textOf(seed: number): string {
  const lines = [...ACCOUNTS];
  lines[seed % lines.length] = `account b weight=${seed + 1}  # Peter`;
  return lines.join('\n') + '\n';
}

/** Returns the message with its text changed in transit. */
export function withDamagedText(
  message: DistributionMessage,
): DistributionMessage {
  if (message.kind === 'object') {
    return {...message, text: `${message.text ?? ''}# damaged`};
  }
  if (message.kind !== 'gossip') return message;
  const inner = message.message;
  if (inner.kind === 'rulesFile') {
    const rulesFile = {...inner.rulesFile, text: 'account x  # damaged'};
    return {...message, message: {kind: 'rulesFile', rulesFile}};
  }
  if (inner.kind !== 'rulesPatch') return message;
  const patch = inner.rulesPatch.patch.replace('Peter', 'Petra');
  const rulesPatch = {...inner.rulesPatch, patch};
  return {...message, message: {kind: 'rulesPatch', rulesPatch}};
}

export class Platform {
  down = false;
  readonly accepted: StoredHead[] = [];
  readonly objects = new Map<string, string>();
  private readonly operators: Operator[] = [];
  /** Writes whose senders gave up and that may still arrive. */
  private lateWrites: (PublishCall & {readonly kind: 'write'})[] = [];

  /** Returns the head as it was `back` writes ago. */
  readHead(back: number): VersionRef {
    const {version, hash} = this.headAt(back).value;
    return {version, hash};
  }

  private headAt(back: number): StoredHead {
    const index = this.accepted.length - 1 - back;
    return (
      this.accepted[Math.max(0, index)] ?? {
        rowVersion: 0,
        value: parseHeadRow({key: HEAD_KEY, version: 0, value: null}),
      }
    );
  }

  startPublishing(seed: number, withBase: boolean): void {
    const text = textOf(seed);
    const operation = `op${this.operators.length}`;
    const base = withBase ? this.readHead(0).version : undefined;
    const request = {text, operation, ...(base === undefined ? {} : {base})};
    const steps = publishSteps(request);
    const operator: Operator = {operation, steps, text};
    this.operators.push(operator);
    this.advance(operator, steps.next());
  }

  private advance(
    operator: Operator,
    step: IteratorResult<PublishCall, PublishOutcome>,
  ): void {
    operator.next = step.done ? undefined : step.value;
    if (step.done) operator.outcome = step.value;
  }

  /**
   * Runs an operator's next call against the platform, with a fault. Returns
   * the operator if this call completes an accepted publication.
   */
  stepOperator(
    at: number,
    fault: 'none' | 'lost' | 'late',
    back: number,
  ): Operator | undefined {
    const waiting = this.operators.filter(o => o.next);
    if (waiting.length === 0) return undefined;
    const operator = waiting[at % waiting.length]!;
    const answer = this.serve(operator.next!, fault, back);
    this.advance(operator, operator.steps.next(answer));
    return operator.outcome?.kind === 'accepted' ? operator : undefined;
  }

  private serve(
    call: PublishCall,
    fault: 'none' | 'lost' | 'late',
    back: number,
  ): PublishAnswer {
    if (call.kind === 'write' && fault === 'late') {
      this.lateWrites.push(call);
      return {kind: 'unknown'};
    }
    if (this.down) {
      return call.kind === 'write' ? {kind: 'unavailable'} : undefined;
    }
    if (call.kind === 'read') {
      if (fault === 'lost') return undefined;
      const {rowVersion, value} = this.headAt(back);
      const stored = rowVersion === 0 ? null : value;
      return {key: HEAD_KEY, version: rowVersion, value: stored};
    }
    if (call.kind === 'put') {
      this.objects.set(call.hash, call.body);
      return fault === 'lost' ? undefined : true;
    }
    const outcome = this.write(call);
    return fault === 'lost' ? {kind: 'unknown'} : outcome;
  }

  private write(call: PublishCall & {readonly kind: 'write'}): PublishAnswer {
    const {rowVersion, value} = this.headAt(0);
    if (call.rowVersion !== rowVersion) {
      return {
        kind: 'conflict',
        rows: [{key: HEAD_KEY, version: rowVersion, value}],
      };
    }
    this.accepted.push({rowVersion: rowVersion + 1, value: call.value});
    return {kind: 'done'};
  }

  deliverLateWrite(at: number): void {
    if (this.lateWrites.length === 0 || this.down) return;
    const [call] = this.lateWrites.splice(at % this.lateWrites.length, 1);
    this.write(call!);
  }

  checkOutcomes(): void {
    const acceptedOperations = this.accepted.map(
      ({value}) => value.operations[0],
    );
    const acceptedTwice = acceptedOperations.find(
      (op, i) => acceptedOperations.indexOf(op) < i,
    );
    if (acceptedTwice) fail(`${acceptedTwice} was accepted twice`);
    for (const {operation, outcome} of this.operators) {
      if (!outcome || outcome.kind === 'unknown') continue;
      const wasAccepted = acceptedOperations.includes(operation);
      if (wasAccepted !== (outcome.kind === 'accepted')) {
        fail(
          `${operation} got outcome ${outcome.kind}, accepted: ${wasAccepted}`,
        );
      }
    }
  }
}
