/**
 * The coordinator's side of the epoch protocol in `group.ts`, as a decision.
 *
 * A sidecar that does not hold the lease reads the group's row at every tick
 * and acquires the lease once it has expired. The lease holder keeps every
 * rank on the committed map, renews the lease, and takes one proposed map at a
 * time through prepare, ready, commit, activate and release. One table request
 * is in flight at a time. After every write that may have taken effect the row
 * is read again, which also resolves a write whose answer was lost.
 */
import {Map, Set} from 'immutable';
import {Decision, createDecision} from '../kernel/decision';
import {CoordinatorPayload, RankPayload, RankState} from '../wire/messages';
import {emptyRow, GroupRow} from './group';

export interface CoordinatorSettings {
  readonly group: string;
  /** Incarnation of this sidecar process. */
  readonly holder: string;
  /** Names of the group's sidecars; the first one is the sequencer. */
  readonly sidecars: readonly string[];
  readonly leaseMs: number;
  /** Time after which a map that is not ready on every rank is abandoned. */
  readonly prepareTimeoutMs: number;
}

/** A map that is being prepared on the ranks. */
export interface Proposal {
  readonly version: number;
  readonly hash: string;
  readonly sinceMs: number;
  /** Sidecars that have reported the map ready. */
  readonly ready: Set<string>;
  /** Whether the write that commits the map is in flight. */
  readonly committing: boolean;
}

export interface Coordinator {
  readonly settings: CoordinatorSettings;
  /** Table version and value of the row, as last read. */
  readonly rowVersion: number;
  readonly row: GroupRow;
  /** Epoch under which this process acquired the lease. */
  readonly epoch: number | undefined;
  readonly tableRequestInFlight: boolean;
  /** Highest map version that was committed or proposed under this epoch. */
  readonly highestProposedVersion: number;
  readonly proposal: Proposal | undefined;
  /** Latest state report of each sidecar. */
  readonly ranks: Map<string, RankState>;
  /** Maps below this version have been released. */
  readonly releasedBelow: number;
}

export type CoordinatorInput =
  | {readonly kind: 'tick'}
  | {readonly kind: 'row'; readonly rowVersion: number; readonly row: GroupRow}
  | {readonly kind: 'written'; readonly outcome: WriteOutcome}
  | {readonly kind: 'readFailed'}
  | {
      readonly kind: 'rank';
      readonly from: string;
      readonly message: RankPayload;
    }
  /** A map, already in the object store, that the group should use next. */
  | {readonly kind: 'propose'; readonly hash: string};

/** `unsure` covers a conflict and a lost answer; the row is then read again. */
export type WriteOutcome = 'done' | 'unsure' | 'unavailable';

export type CoordinatorEffect =
  | {readonly kind: 'read'}
  | {readonly kind: 'write'; readonly rowVersion: number; row: GroupRow}
  /** The task adds the map, from the object store, to `prepare`. */
  | {readonly kind: 'send'; readonly to: string; message: CoordinatorOrder};

/** Like the wire message, except that `prepare` lacks the map itself. */
export type CoordinatorOrder =
  | Exclude<CoordinatorPayload, {kind: 'prepare'}>
  | {readonly kind: 'prepare'; readonly prepare: PrepareOrder};

export interface PrepareOrder {
  readonly group: string;
  readonly epoch: number;
  readonly version: number;
  readonly mapHash: string;
}

/** The lease is renewed when less than 1/4 of its duration is left. */
const RENEWAL_DIVISOR = 4;

type CoordinatorDecision = Decision<Coordinator, CoordinatorEffect>;

export function initialCoordinator(settings: CoordinatorSettings): Coordinator {
  return {
    settings,
    rowVersion: 0,
    row: emptyRow,
    epoch: undefined,
    tableRequestInFlight: false,
    highestProposedVersion: 0,
    proposal: undefined,
    ranks: Map(),
    releasedBelow: 0,
  };
}

export function decideCoordinator(
  state: Coordinator,
  input: CoordinatorInput,
  now: Date,
): CoordinatorDecision {
  switch (input.kind) {
    case 'tick':
      return onTick(state, now);
    case 'row':
      return onRowRead(
        {...state, tableRequestInFlight: false},
        input.rowVersion,
        input.row,
        now,
      );
    case 'readFailed':
      return createDecision({...state, tableRequestInFlight: false});
    case 'written':
      return onWritten({...state, tableRequestInFlight: false}, input.outcome);
    case 'rank':
      return onRankMessage(state, input.from, input.message, now);
    case 'propose':
      return propose(state, input.hash, now);
  }
}

/** Whether this process may still act as the lease holder. */
export function holdsLease({epoch, row}: Coordinator, now: Date): boolean {
  return epoch !== undefined && now.getTime() < row.leaseEndMs;
}

/** Whether every rank runs the committed map and no map is proposed. */
export function isSettled(state: Coordinator, now: Date): boolean {
  return (
    holdsLease(state, now) &&
    !state.proposal &&
    allRanksRunCommittedMap(state.ranks, state)
  );
}

function onTick(state: Coordinator, now: Date): CoordinatorDecision {
  if (state.tableRequestInFlight) return createDecision(state);
  if (!holdsLease(state, now)) return readRow(state);
  const {settings, row} = state;
  const leftMs = row.leaseEndMs - now.getTime();
  if (leftMs < settings.leaseMs / RENEWAL_DIVISOR)
    return renewLease(state, now);
  const active = withoutExpiredProposal(state, now);
  return createDecision(active, ...probeAll(active), ...pendingOrders(active));
}

function readRow(state: Coordinator): CoordinatorDecision {
  return createDecision({...state, tableRequestInFlight: true}, {kind: 'read'});
}

function writeRow(state: Coordinator, row: GroupRow): CoordinatorDecision {
  const {rowVersion} = state;
  return createDecision(
    {...state, tableRequestInFlight: true},
    {kind: 'write', rowVersion, row},
  );
}

function renewLease(state: Coordinator, now: Date): CoordinatorDecision {
  const leaseEndMs = now.getTime() + state.settings.leaseMs;
  return writeRow(state, {...state.row, leaseEndMs});
}

function onRowRead(
  state: Coordinator,
  rowVersion: number,
  row: GroupRow,
  now: Date,
): CoordinatorDecision {
  // A late answer to an earlier read must not restore an older row.
  if (rowVersion < state.rowVersion) return createDecision(state);
  const ownsRow = row.holder === state.settings.holder;
  const epoch = ownsRow ? row.epoch : undefined;
  const sameEpoch = epoch !== undefined && epoch === state.epoch;
  const seen: Coordinator = {
    ...state,
    rowVersion,
    row,
    epoch,
    highestProposedVersion: sameEpoch
      ? state.highestProposedVersion
      : row.version,
    proposal: sameEpoch ? proposalAfterRead(state.proposal, row) : undefined,
    ranks: sameEpoch ? state.ranks : Map(),
    releasedBelow: sameEpoch ? state.releasedBelow : 0,
  };
  if (now.getTime() < row.leaseEndMs) {
    return createDecision(seen, ...pendingOrders(seen));
  }
  return acquireLease(seen, now);
}

function acquireLease(state: Coordinator, now: Date): CoordinatorDecision {
  const {row, settings} = state;
  const leaseEndMs = now.getTime() + settings.leaseMs;
  const {holder} = settings;
  return writeRow(state, {...row, epoch: row.epoch + 1, holder, leaseEndMs});
}

/**
 * The proposal after a read; undefined once the row shows its commit, which it
 * also does when the answer of that write was lost.
 */
function proposalAfterRead(
  proposal: Proposal | undefined,
  row: GroupRow,
): Proposal | undefined {
  if (!proposal || row.version >= proposal.version) return undefined;
  return {...proposal, committing: false};
}

function onWritten(
  state: Coordinator,
  outcome: WriteOutcome,
): CoordinatorDecision {
  // An unavailable table has written nothing. After any other outcome the row
  // is read, so that its content is certain.
  if (outcome === 'unavailable') {
    const {proposal} = state;
    const uncommitted = proposal && {...proposal, committing: false};
    return createDecision({...state, proposal: uncommitted});
  }
  return readRow(state);
}

function propose(
  state: Coordinator,
  hash: string,
  now: Date,
): CoordinatorDecision {
  if (!holdsLease(state, now) || state.proposal) return createDecision(state);
  if (hash === state.row.mapHash) return createDecision(state);
  const version = Math.max(state.highestProposedVersion, state.row.version) + 1;
  const sinceMs = now.getTime();
  const proposal = {version, hash, sinceMs, ready: Set<string>()};
  const next: Coordinator = {
    ...state,
    highestProposedVersion: version,
    proposal: {...proposal, committing: false},
  };
  return createDecision(next, ...pendingOrders(next));
}

function withoutExpiredProposal(state: Coordinator, now: Date): Coordinator {
  const {proposal, settings} = state;
  if (!proposal || proposal.committing) return state;
  const timedOut = now.getTime() - proposal.sinceMs > settings.prepareTimeoutMs;
  return timedOut ? {...state, proposal: undefined} : state;
}

function onRankMessage(
  state: Coordinator,
  from: string,
  message: RankPayload,
  now: Date,
): CoordinatorDecision {
  if (state.epoch === undefined) return createDecision(state);
  switch (message.kind) {
    case 'refused':
      if (message.refused.highestEpoch <= state.epoch)
        return createDecision(state);
      return stepDown(state);
    case 'ready':
      return onRankReady(state, from, message.ready, now);
    case 'state':
      if (message.state.highestEpoch !== state.epoch)
        return createDecision(state);
      return onRankState(state, from, message.state, now);
  }
}

/** Gives up the epoch: another process took the lease, as the row will show. */
function stepDown(state: Coordinator): CoordinatorDecision {
  const next = {...state, epoch: undefined, proposal: undefined};
  return state.tableRequestInFlight ? createDecision(next) : readRow(next);
}

function onRankReady(
  state: Coordinator,
  from: string,
  ready: {readonly epoch: number; readonly version: number},
  now: Date,
): CoordinatorDecision {
  const {proposal} = state;
  if (ready.epoch !== state.epoch || ready.version !== proposal?.version) {
    return createDecision(state);
  }
  const readySidecars = proposal.ready.add(from);
  return commitIfReady(
    {...state, proposal: {...proposal, ready: readySidecars}},
    now,
  );
}

function onRankState(
  state: Coordinator,
  from: string,
  report: RankState,
  now: Date,
): CoordinatorDecision {
  const next = {...state, ranks: state.ranks.set(from, report)};
  const {proposal} = next;
  // A rank that reported ready and has lost the weights since is not ready.
  if (!proposal || report.heldVersions.includes(proposal.version)) {
    return releaseAndCommit(next, now);
  }
  const ready = proposal.ready.delete(from);
  return releaseAndCommit({...next, proposal: {...proposal, ready}}, now);
}

/** Commits the proposal if every rank is ready. */
function commitIfReady(state: Coordinator, now: Date): CoordinatorDecision {
  const {proposal, settings} = state;
  const cannotCommit =
    !proposal || proposal.committing || state.tableRequestInFlight;
  if (cannotCommit || !holdsLease(state, now)) return createDecision(state);
  if (!settings.sidecars.every(s => proposal.ready.has(s))) {
    return createDecision(state);
  }
  const leaseEndMs = now.getTime() + settings.leaseMs;
  const {version, hash} = proposal;
  const next = {...state, proposal: {...proposal, committing: true}};
  const row = {...state.row, leaseEndMs, version, mapHash: hash};
  return writeRow(next, row);
}

/**
 * Releases the older maps if every rank has run a step on the committed one,
 * and commits the proposal if it is ready.
 */
function releaseAndCommit(state: Coordinator, now: Date): CoordinatorDecision {
  const {row, ranks, epoch, settings} = state;
  const mayRelease =
    row.version > state.releasedBelow && allRanksRunCommittedMap(ranks, state);
  if (!mayRelease || !holdsLease(state, now)) return commitIfReady(state, now);
  const belowVersion = row.version;
  const order = {group: settings.group, epoch: epoch!, belowVersion};
  const message = {kind: 'release', release: order} as const;
  const next = commitIfReady({...state, releasedBelow: belowVersion}, now);
  return {
    state: next.state,
    effects: [...sendToAll(state, message), ...next.effects],
  };
}

function allRanksRunCommittedMap(
  ranks: Map<string, RankState>,
  {row, settings}: Coordinator,
): boolean {
  return settings.sidecars.every(
    s => row.version > 0 && ranks.get(s)?.stepVersion === row.version,
  );
}

function probeAll(state: Coordinator): readonly CoordinatorEffect[] {
  const probe = {group: state.settings.group, epoch: state.epoch!};
  return sendToAll(state, {kind: 'probe', probe});
}

function sendToAll(
  {settings}: Coordinator,
  message: CoordinatorOrder,
): readonly CoordinatorEffect[] {
  return settings.sidecars.map(to => ({kind: 'send', to, message}));
}

/** Orders that the ranks have not confirmed; sent again at every tick. */
function pendingOrders(state: Coordinator): readonly CoordinatorEffect[] {
  const {settings, row, proposal, ranks, epoch} = state;
  if (epoch === undefined) return [];
  const effects: CoordinatorEffect[] = [];
  const prepare = (to: string, version: number, mapHash: string) => {
    const order = {group: settings.group, epoch, version, mapHash};
    const message = {kind: 'prepare', prepare: order} as const;
    effects.push({kind: 'send', to, message});
  };
  for (const to of settings.sidecars) {
    const held = ranks.get(to)?.heldVersions ?? [];
    if (row.version > 0 && !held.includes(row.version)) {
      prepare(to, row.version, row.mapHash);
    }
    if (proposal && !proposal.ready.has(to)) {
      prepare(to, proposal.version, proposal.hash);
    }
  }
  return [...effects, ...activationOrder(state)];
}

function activationOrder(state: Coordinator): readonly CoordinatorEffect[] {
  const {settings, row, ranks, epoch} = state;
  const to = settings.sidecars[0]!;
  const stepped = ranks.get(to)?.stepVersion === row.version;
  if (row.version === 0 || stepped || epoch === undefined) return [];
  const activate = {group: settings.group, epoch, version: row.version};
  return [{kind: 'send', to, message: {kind: 'activate', activate}}];
}
