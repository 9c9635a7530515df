/**
 * The claims service of an entry: runs the claim, settle and batch decisions
 * against the platform's table and object store.
 *
 * `claim` answers within its time limit. `record` and `release` continue in
 * the background while the table is down. If the entry dies before they are
 * done, the row stays claimed, and the next use of the key asks the sidecar.
 */
import {Clock} from '../kernel/clock';
import {Service} from '../kernel/kernel';
import {Log} from '../observe/log';
import {Platform, TransactOutcome} from '../platform/client';
import {AttemptRef} from '../wire/messages';
import {
  BATCH_LIMITS,
  BatchEffect,
  BatchLimits,
  BatchMessage,
  decideBatch,
  newBatchState,
  PendingWrite,
} from './batch';
import {
  AskOutcome,
  ClaimEffect,
  ClaimMessage,
  ClaimResult,
  decideClaim,
  newClaimState,
  attemptRef,
} from './claim';
import {ClaimOutcome, ClaimRequest, Claims, ReleaseOutcome} from './claims';
import {RecordedAnswer} from './outcomes';
import {
  HORIZON_KEY,
  parseHorizon,
  mayHaveBeenDeleted,
  NO_HORIZON,
} from './retention';
import {
  ClaimRow,
  parseRowKey,
  KeyParts,
  decodeAnswer,
  rowKey,
  encodeAnswer,
  StoredAnswer,
  parseClaimRow,
  TableReadOutcome,
  TableWriteOutcome,
} from './rows';
import {
  decideSettle,
  newSettleState,
  Settlement,
  SettleEffect,
  SettleMessage,
  SettleResult,
} from './settle';

/**
 * Asks a sidecar, given by instance and incarnation, for the outcome of an
 * attempt. Resolves to `unknown` if another incarnation answers, and to
 * `unreachable` if none does in time. Does not reject.
 */
export type SidecarQuery = (
  sidecar: string,
  incarnation: string,
  ref: AttemptRef,
) => Promise<AskOutcome>;

export interface ClaimsParts {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly log: Log;
  readonly ask: SidecarQuery;
  readonly options?: ClaimsOptions;
}

export interface ClaimsOptions {
  /** Time limit for resolving an earlier holder's claim, in milliseconds. */
  readonly resolveTimeoutMs: number;
  readonly batch: BatchLimits;
  /**
   * Rows that may wait to be settled at once. Further ones stay claimed, and
   * the next use of their key asks the sidecar.
   */
  readonly maxPendingSettlements: number;
}

/** A claim must be resolved while the request's grant, of 2 s, is valid. */
export const CLAIMS_OPTIONS: ClaimsOptions = {
  resolveTimeoutMs: 1_500,
  batch: BATCH_LIMITS,
  maxPendingSettlements: 10_000,
};

const OBJECT_RETRY_DELAY_MS = 500;

export class ClaimsTask implements Claims, Service {
  private readonly options: ClaimsOptions;
  private readonly pendingWrites = new Map<
    number,
    (outcome: TableWriteOutcome) => void
  >();
  private readonly pendingSettlements = new Set<
    Promise<SettleResult | undefined>
  >();
  private batchState;
  private horizon = NO_HORIZON;
  private nextWriteId = 1;
  private stopped = false;

  constructor(private readonly parts: ClaimsParts) {
    this.options = parts.options ?? CLAIMS_OPTIONS;
    this.batchState = newBatchState(this.options.batch);
  }

  /** Does not reject; the outcome is `unavailable` if the table is down. */
  async claim(request: ClaimRequest): Promise<ClaimOutcome> {
    const deadlineMs = this.now().getTime() + this.options.resolveTimeoutMs;
    const rowMayHaveBeenDeleted = mayHaveBeenDeleted(request.key, this.horizon);
    let state = newClaimState(request, deadlineMs, rowMayHaveBeenDeleted);
    let message: ClaimMessage = {kind: 'begin'};
    for (;;) {
      const next = decideClaim(state, message, this.now());
      state = next.state;
      const reply = next.effects.map(e => this.runClaimEffect(request, e));
      const last = await reply.at(-1)!;
      if ('result' in last) return this.toClaimOutcome(last.result);
      message = last;
    }
  }

  /** Resolves once the answer is in the row or the task has stopped. */
  async record(request: ClaimRequest, answer: RecordedAnswer): Promise<void> {
    await this.settle(request, attemptRef(request), async () =>
      this.storeAnswer(answer),
    );
  }

  /**
   * Resolves once the row is released, or after the time limit. The release
   * then continues in the background, and a new claim of the key meanwhile
   * asks the sidecar.
   */
  async release(request: ClaimRequest): Promise<ReleaseOutcome> {
    const settlement = this.settle(
      request,
      attemptRef(request),
      async () => RELEASED,
    );
    const timeout = this.pause(this.options.resolveTimeoutMs).then(
      () => undefined,
    );
    switch (await Promise.race([settlement, timeout])) {
      case 'settled':
        return 'released';
      case 'foreign':
        return 'taken';
      default:
        return 'pending';
    }
  }

  /** Waits until all rows are settled, or until the deadline. */
  async stop(deadline: Date): Promise<void> {
    const leftMs = deadline.getTime() - this.now().getTime();
    const all = Promise.all(this.pendingSettlements);
    await Promise.race([all, this.pause(Math.max(0, leftMs))]);
    this.stopped = true;
    if (this.pendingSettlements.size === 0) return;
    this.parts.log('warn', 'claims not settled at stop', {
      count: this.pendingSettlements.size,
    });
  }

  private now(): Date {
    return this.parts.clock.now();
  }

  private pause(ms: number): Promise<void> {
    return new Promise(done => this.parts.clock.after(ms, done));
  }

  private async runClaimEffect(
    key: KeyParts,
    effect: ClaimEffect,
  ): Promise<ClaimMessage | {readonly result: ClaimResult}> {
    switch (effect.kind) {
      case 'write': {
        const outcome = await this.write(key, effect.version, effect.row);
        return {kind: 'written', outcome};
      }
      case 'read':
        return {kind: 'read', outcome: await this.read(key)};
      case 'ask': {
        const {sidecar, incarnation, ref} = effect;
        const outcome = await this.parts.ask(sidecar, incarnation, ref);
        return {kind: 'asked', outcome};
      }
      case 'wait':
        await this.pause(effect.ms);
        return {kind: 'waited'};
      case 'record':
        void this.settle(key, effect.ref, () =>
          this.storeAnswer(effect.answer),
        );
        return {kind: 'waited'};
      case 'release':
        void this.settle(key, effect.ref, async () => RELEASED);
        return {kind: 'waited'};
      case 'finish':
        return {result: effect.result};
    }
  }

  private async toClaimOutcome(result: ClaimResult): Promise<ClaimOutcome> {
    if (result.kind === 'claimed') return {kind: 'claimed'};
    if (result.kind !== 'stored') return result;
    const answer = await this.loadAnswer(result.answer);
    // The request ran, so "not run" would be wrong while its body is missing.
    return answer ? {kind: 'recorded', answer} : {kind: 'unknown'};
  }

  private async settle(
    key: KeyParts,
    ref: AttemptRef,
    prepare: () => Promise<Settlement>,
  ): Promise<SettleResult | undefined> {
    if (this.pendingSettlements.size >= this.options.maxPendingSettlements) {
      this.parts.log(
        'warn',
        'claim not settled: too many settlements pending',
        {key: rowKey(key)},
      );
      return undefined;
    }
    const work = this.runSettlement(key, ref, prepare);
    this.pendingSettlements.add(work);
    const result = await work;
    this.pendingSettlements.delete(work);
    return result;
  }

  private async runSettlement(
    key: KeyParts,
    ref: AttemptRef,
    prepare: () => Promise<Settlement>,
  ): Promise<SettleResult | undefined> {
    const settlement = await prepare();
    let state = newSettleState(ref, settlement);
    let message: SettleMessage = {kind: 'begin'};
    while (!this.stopped) {
      const next = decideSettle(state, message, this.now());
      state = next.state;
      const effect = next.effects[0]!;
      if (effect.kind === 'finish') {
        this.logUnrecordedAnswer(key, ref, settlement, effect.result);
        return effect.result;
      }
      message = await this.runSettleEffect(key, effect);
    }
    return undefined;
  }

  private logUnrecordedAnswer(
    key: KeyParts,
    ref: AttemptRef,
    settlement: Settlement,
    result: SettleResult,
  ): void {
    if (result === 'settled' || settlement.kind === 'released') return;
    this.parts.log(
      'error',
      'answer not recorded: no claim row of this attempt',
      {
        key: rowKey(key),
        requestId: ref.requestId,
        attempt: ref.attempt,
      },
    );
  }

  private async runSettleEffect(
    key: KeyParts,
    effect: Exclude<SettleEffect, {kind: 'finish'}>,
  ): Promise<SettleMessage> {
    switch (effect.kind) {
      case 'write': {
        const outcome = await this.write(key, effect.version, effect.row);
        return {kind: 'written', outcome};
      }
      case 'read':
        return {kind: 'read', outcome: await this.read(key)};
      case 'wait':
        await this.pause(effect.ms);
        return {kind: 'waited'};
    }
  }

  private async storeAnswer(answer: RecordedAnswer): Promise<Settlement> {
    const {answer: stored, large} = encodeAnswer(answer);
    while (large && !this.stopped) {
      try {
        await this.parts.platform.putObject(large.hash, large.text);
        break;
      } catch {
        await this.pause(OBJECT_RETRY_DELAY_MS);
      }
    }
    return {kind: 'done', answer: stored};
  }

  private async loadAnswer(
    stored: StoredAnswer,
  ): Promise<RecordedAnswer | undefined> {
    if (stored.hash === undefined) return decodeAnswer(stored, undefined);
    try {
      const text = await this.parts.platform.getObject(stored.hash);
      return decodeAnswer(stored, text);
    } catch {
      return undefined;
    }
  }

  private async read(key: KeyParts): Promise<TableReadOutcome> {
    try {
      const row = await this.parts.platform.read(rowKey(key));
      return {kind: 'row', row: parseClaimRow(row)};
    } catch {
      return {kind: 'unavailable'};
    }
  }

  private write(
    key: KeyParts,
    version: number,
    row: ClaimRow,
  ): Promise<TableWriteOutcome> {
    const id = this.nextWriteId++;
    return new Promise(resolve => {
      this.pendingWrites.set(id, resolve);
      const write = {id, key: rowKey(key), version, row};
      this.postBatch({kind: 'add', write});
    });
  }

  private postBatch(message: BatchMessage): void {
    const next = decideBatch(this.batchState, message);
    this.batchState = next.state;
    for (const effect of next.effects) this.runBatchEffect(effect);
  }

  private runBatchEffect(effect: BatchEffect): void {
    switch (effect.kind) {
      case 'gather':
        this.parts.clock.after(effect.ms, () =>
          this.postBatch({kind: 'gathered'}),
        );
        break;
      case 'transact':
        void this.runTransaction(effect);
        break;
      case 'written':
        this.pendingWrites.get(effect.id)?.(effect.outcome);
        this.pendingWrites.delete(effect.id);
        break;
    }
  }

  private async runTransaction({
    transaction,
    writes,
  }: Extract<BatchEffect, {kind: 'transact'}>): Promise<void> {
    let outcome: TransactOutcome = {kind: 'unknown'};
    try {
      outcome = await this.transactAtHorizon(writes);
    } catch {
      // A rejection does not tell whether the write took effect.
    }
    this.postBatch({kind: 'transacted', transaction, outcome});
  }

  /**
   * Writes on the condition that the horizon is the one known here. If it has
   * risen, writes again with the new horizon. Nothing is written if a key that
   * is to get its first row was created at or before the horizon.
   */
  private async transactAtHorizon(
    writes: readonly PendingWrite[],
  ): Promise<TransactOutcome> {
    const newRows = writes.filter(({version}) => version === 0);
    // The horizon may have risen since the claims began.
    const expired = newRows.some(({key}) =>
      mayHaveBeenDeleted(parseRowKey(key).key, this.horizon),
    );
    if (expired) return {kind: 'unavailable'};
    const {version} = this.horizon;
    const outcome = await this.parts.platform.transact(
      [
        ...writes.map(w => ({key: w.key, version: w.version})),
        ...(newRows.length > 0 ? [{key: HORIZON_KEY, version}] : []),
      ],
      writes.map(({key, row}) => ({key, value: row})),
    );
    if (outcome.kind !== 'conflict') return outcome;
    const horizonRow = outcome.rows.find(({key}) => key === HORIZON_KEY);
    if (!horizonRow) return outcome;
    this.horizon = parseHorizon(horizonRow);
    const rows = outcome.rows.filter(row => row !== horizonRow);
    if (rows.length > 0) return {kind: 'conflict', rows};
    return this.transactAtHorizon(writes);
  }
}

const RELEASED: Settlement = {kind: 'released'};
