/** The claims of one simulated entry, and the table that all entries share. */
import {
  BatchEffect,
  BatchMessage,
  decideBatch,
  newBatchState,
  PendingWrite,
} from '../../src/claims/batch';
import {
  AskOutcome,
  ClaimEffect,
  ClaimMessage,
  ClaimResult,
  ClaimState,
  decideClaim,
  newClaimState,
} from '../../src/claims/claim';
import {ClaimRequest} from '../../src/claims/claims';
import {
  ClaimRow,
  parseRowKey,
  rowKey,
  encodeAnswer,
  parseClaimRow,
  TableReadOutcome,
  TableWriteOutcome,
} from '../../src/claims/rows';
import {
  decideSettle,
  newSettleState,
  Settlement,
  SettleEffect,
  SettleMessage,
  SettleState,
} from '../../src/claims/settle';
import {Row, TransactOutcome} from '../../src/platform/client';
import {AttemptRef} from '../../src/wire/messages';
import {SimulatedProcess, Traffic} from './traffic';

export function tableKey(key: string): string {
  return rowKey({account: 'a', service: 's', key});
}

export class Table {
  up = true;
  private readonly rows = new Map<string, {version: number; value: ClaimRow}>();

  /** `checkRow` is called with each row before it is written. */
  constructor(
    private readonly checkRow: (key: string, row: ClaimRow) => void,
  ) {}

  row(key: string): Row {
    const found = this.rows.get(key);
    return {key, version: found?.version ?? 0, value: found?.value ?? null};
  }

  value(key: string): ClaimRow | undefined {
    return this.rows.get(tableKey(key))?.value;
  }

  transact(writes: readonly PendingWrite[]): TransactOutcome {
    if (!this.up) return {kind: 'unavailable'};
    const conflicting = writes.filter(
      w => this.row(w.key).version !== w.version,
    );
    if (conflicting.length > 0) {
      return {kind: 'conflict', rows: conflicting.map(w => this.row(w.key))};
    }
    for (const {key, version, row} of writes) {
      this.checkRow(parseRowKey(key).key, row);
      this.rows.set(key, {version: version + 1, value: row});
    }
    return {kind: 'done'};
  }

  read(key: string): TableReadOutcome {
    if (!this.up) return {kind: 'unavailable'};
    return {kind: 'row', row: parseClaimRow(this.row(tableKey(key)))};
  }
}

export type SidecarQuery = (
  sidecar: string,
  incarnation: string,
  ref: AttemptRef,
  done: (outcome: AskOutcome) => void,
) => void;

const RESOLVE_TIMEOUT_MS = 1_500;

export class EntryClaims {
  private readonly pendingWrites = new Map<
    number,
    (outcome: TableWriteOutcome) => void
  >();
  private batch = newBatchState({gatherMs: 3, maxWrites: 3, maxInFlight: 2});
  private nextWriteId = 1;

  constructor(
    private readonly entry: SimulatedProcess,
    private readonly traffic: Traffic,
    private readonly table: Table,
    private readonly now: () => Date,
    private readonly ask: SidecarQuery,
  ) {}

  claim(request: ClaimRequest, done: (result: ClaimResult) => void): void {
    const state = newClaimState(
      request,
      this.now().getTime() + RESOLVE_TIMEOUT_MS,
    );
    this.stepClaim(request.key, state, {kind: 'begin'}, done);
  }

  record(
    key: string,
    ref: AttemptRef,
    recorded: Parameters<typeof encodeAnswer>[0],
  ): void {
    const {answer} = encodeAnswer(recorded);
    this.settle(key, ref, {kind: 'done', answer});
  }

  release(key: string, ref: AttemptRef): void {
    this.settle(key, ref, {kind: 'released'});
  }

  private settle(
    key: string,
    {requestId, attempt}: AttemptRef,
    settlement: Settlement,
  ): void {
    const state = newSettleState({requestId, attempt}, settlement);
    this.stepSettle(key, state, {kind: 'begin'});
  }

  private stepClaim(
    key: string,
    state: ClaimState,
    message: ClaimMessage,
    done: (result: ClaimResult) => void,
  ): void {
    const next = decideClaim(state, message, this.now());
    const post = (m: ClaimMessage) => this.stepClaim(key, next.state, m, done);
    for (const effect of next.effects) {
      if (effect.kind === 'finish') done(effect.result);
      else this.runClaimEffect(key, effect, post);
    }
  }

  private runClaimEffect(
    key: string,
    effect: Exclude<ClaimEffect, {kind: 'finish'}>,
    post: (message: ClaimMessage) => void,
  ): void {
    switch (effect.kind) {
      case 'ask':
        this.ask(effect.sidecar, effect.incarnation, effect.ref, outcome =>
          post({kind: 'asked', outcome}),
        );
        break;
      case 'record':
        this.record(key, effect.ref, effect.answer);
        break;
      case 'release':
        this.release(key, effect.ref);
        break;
      default:
        this.runSettleEffect(key, effect, post);
    }
  }

  private stepSettle(
    key: string,
    state: SettleState,
    message: SettleMessage,
  ): void {
    const next = decideSettle(state, message, this.now());
    const post = (m: SettleMessage) => this.stepSettle(key, next.state, m);
    for (const effect of next.effects) this.runSettleEffect(key, effect, post);
  }

  private runSettleEffect(
    key: string,
    effect: SettleEffect,
    post: (message: SettleMessage) => void,
  ): void {
    switch (effect.kind) {
      case 'write':
        this.write(key, effect.version, effect.row, outcome =>
          post({kind: 'written', outcome}),
        );
        break;
      case 'read':
        this.read(key, outcome => post({kind: 'read', outcome}));
        break;
      case 'wait':
        this.traffic.after(this.entry, effect.ms, () => post({kind: 'waited'}));
        break;
      case 'finish':
        break;
    }
  }

  private write(
    key: string,
    version: number,
    row: ClaimRow,
    done: (outcome: TableWriteOutcome) => void,
  ): void {
    const id = this.nextWriteId++;
    this.pendingWrites.set(id, done);
    const write = {id, key: tableKey(key), version, row};
    this.stepBatch({kind: 'add', write});
  }

  private read(key: string, done: (outcome: TableReadOutcome) => void): void {
    const lost: TableReadOutcome = {kind: 'unavailable'};
    const work = () => this.table.read(key);
    this.traffic.callTable(this.entry, lost, work, done);
  }

  private stepBatch(message: BatchMessage): void {
    const next = decideBatch(this.batch, message);
    this.batch = next.state;
    for (const effect of next.effects) this.runBatchEffect(effect);
  }

  private runBatchEffect(effect: BatchEffect): void {
    switch (effect.kind) {
      case 'gather':
        this.traffic.after(this.entry, effect.ms, () =>
          this.stepBatch({kind: 'gathered'}),
        );
        break;
      case 'transact': {
        const {transaction, writes} = effect;
        const lost: TransactOutcome = {kind: 'unknown'};
        const work = () => this.table.transact(writes);
        this.traffic.callTable(this.entry, lost, work, outcome =>
          this.stepBatch({kind: 'transacted', transaction, outcome}),
        );
        break;
      }
      case 'written': {
        const done = this.pendingWrites.get(effect.id)!;
        this.pendingWrites.delete(effect.id);
        done(effect.outcome);
        break;
      }
    }
  }
}
