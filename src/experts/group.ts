/**
 * The epoch protocol that changes a group's expert map, and the side of it
 * that a rank's sidecar plays, as a decision.
 *
 * The row `group/<name>` names the coordinator and the committed version. Its
 * epoch rises with each acquisition of the lease and is the fencing number of
 * every order. The coordinator prepares a map on every rank and, when all are
 * ready, commits its version to the row by compare-and-set. It then activates
 * the map at the sequencer alone, whose sidecar first reads the row and
 * activates only the map that the row names. The sequencer names version and
 * hash in each step, and a rank that does not hold exactly that map refuses
 * the step. Orders from an outdated coordinator can therefore stall a group
 * but never make its ranks run one step on different maps.
 *
 * Engines that ignore fencing numbers leave one window: a sidecar is paused or
 * restarted after it has sent an order, and the order reaches the engine after
 * orders of a higher epoch. The sequencer may then name an older committed map
 * for some steps, or a rank may drop a map that is in use. Invariant 1 (one
 * map in each step) still holds, because every rank runs the named map or
 * refuses the step. The version in the row does not change, and the
 * coordinator activates or prepares the committed version again when the next
 * state report shows that a rank does not run it. Engines that check fencing
 * numbers close the window.
 */
import {Map, Set} from 'immutable';
import {Decision, createDecision} from '../kernel/decision';
import {RankPayload, RankState} from '../wire/messages';

/** Value of the row `group/<name>`. */
export interface GroupRow {
  readonly epoch: number;
  /** Incarnation of the sidecar that holds the lease. */
  readonly holder: string;
  readonly leaseEndMs: number;
  readonly version: number;
  /** Empty at version 0, when no map has been committed. */
  readonly mapHash: string;
}

export const emptyRow: GroupRow = {
  epoch: 0,
  holder: '',
  leaseEndMs: 0,
  version: 0,
  mapHash: '',
};

// ---- The sidecar of one or more ranks ----

/** Names one map under one epoch, its fencing number. */
export interface MapOrder {
  readonly epoch: number;
  readonly version: number;
  readonly hash: string;
}

/** State of a sidecar that gives map orders to its ranks' engine. */
export interface RankSidecar {
  readonly name: string;
  readonly sequencer: boolean;
  /** Undefined from the start of the process until the row has been read. */
  readonly highestEpoch: number | undefined;
  /** Hash of each version that was prepared under the highest epoch. */
  readonly prepared: Map<number, string>;
  /** Versions and hashes that the engine holds, as `version:hash`. */
  readonly held: Set<string>;
  /** Activation that waits until the row has confirmed it. */
  readonly pendingActivation: Omit<MapOrder, 'hash'> | undefined;
  /** Map of the engine's last step. */
  readonly lastStep: MapOrder | undefined;
  readonly load: RankLoad;
}

/** Load that the engine reports. */
export type RankLoad = Pick<RankState, 'stepMs' | 'expertTokens' | 'rankMs'>;

export type RankInput =
  | {readonly kind: 'row'; readonly row: GroupRow}
  | {readonly kind: 'prepare'; readonly order: MapOrder; readonly map: string}
  | {readonly kind: 'activate'; readonly epoch: number; version: number}
  | {readonly kind: 'release'; readonly epoch: number; belowVersion: number}
  | {readonly kind: 'probe'; readonly epoch: number}
  /** Report of the engine: the maps that it holds and its last step. */
  | {
      readonly kind: 'engine';
      readonly held: readonly string[];
      readonly step: MapOrder | undefined;
      readonly load: RankLoad;
    };

export type RankEffect =
  | {readonly kind: 'reply'; readonly reply: RankPayload}
  | {readonly kind: 'load'; readonly order: MapOrder; readonly map: string}
  | {readonly kind: 'readRow'}
  | {readonly kind: 'activate'; readonly order: MapOrder}
  | {readonly kind: 'drop'; readonly epoch: number; belowVersion: number};

const NO_LOAD: RankLoad = {stepMs: 0, expertTokens: [], rankMs: []};

export function initialRank(name: string, sequencer: boolean): RankSidecar {
  return {
    name,
    sequencer,
    highestEpoch: undefined,
    prepared: Map(),
    held: Set(),
    pendingActivation: undefined,
    lastStep: undefined,
    load: NO_LOAD,
  };
}

export function mapKey({version, hash}: Omit<MapOrder, 'epoch'>): string {
  return `${version}:${hash}`;
}

export function decideRank(
  state: RankSidecar,
  input: RankInput,
): Decision<RankSidecar, RankEffect> {
  if (input.kind === 'row') return onRow(state, input.row);
  if (input.kind === 'engine') return onEngineReport(state, input);
  const epoch = input.kind === 'prepare' ? input.order.epoch : input.epoch;
  const reason = refusalReason(state, epoch);
  if (reason) return createDecision(state, refusedReply(state, epoch, reason));
  const next = withEpoch(state, epoch);
  switch (input.kind) {
    case 'prepare':
      return prepareMap(next, input.order, input.map);
    case 'activate':
      return requestActivation(next, epoch, input.version);
    case 'release':
      return releaseMaps(next, epoch, input.belowVersion);
    case 'probe':
      return createDecision(next, stateReply(next));
  }
}

/**
 * Why an order of this epoch is refused. After a start all orders are refused
 * until the row has been read, because an earlier process of this sidecar may
 * have accepted a higher epoch.
 */
function refusalReason(state: RankSidecar, epoch: number): string | undefined {
  if (state.highestEpoch === undefined) return 'group row not read yet';
  if (epoch < state.highestEpoch) return 'old epoch';
  return undefined;
}

function refusedReply(
  state: RankSidecar,
  epoch: number,
  reason: string,
): RankEffect {
  const highestEpoch = state.highestEpoch ?? 0;
  const kind = 'refused';
  return {kind: 'reply', reply: {kind, refused: {epoch, highestEpoch, reason}}};
}

/** Carries out the pending activation if the row names exactly that map. */
function onRow(
  state: RankSidecar,
  row: GroupRow,
): Decision<RankSidecar, RankEffect> {
  const next = withEpoch(state, row.epoch);
  const {pendingActivation} = next;
  if (!pendingActivation) return createDecision(next);
  const withoutPending = {...next, pendingActivation: undefined};
  const {epoch, version, mapHash: hash} = row;
  const confirmed =
    pendingActivation.epoch === epoch && pendingActivation.version === version;
  if (!confirmed || !holdsMap(next, version, hash))
    return createDecision(withoutPending);
  return createDecision(withoutPending, {
    kind: 'activate',
    order: {epoch, version, hash},
  });
}

/** Whether that map was prepared under the highest epoch and is loaded. */
function holdsMap(state: RankSidecar, version: number, hash: string): boolean {
  const isPrepared = state.prepared.get(version) === hash;
  return isPrepared && state.held.has(mapKey({version, hash}));
}

/** Raises the highest epoch; the new one may use versions for other maps. */
function withEpoch(state: RankSidecar, epoch: number): RankSidecar {
  if (epoch <= (state.highestEpoch ?? -1)) return state;
  return {
    ...state,
    highestEpoch: epoch,
    prepared: Map(),
    pendingActivation: undefined,
  };
}

function prepareMap(
  state: RankSidecar,
  order: MapOrder,
  map: string,
): Decision<RankSidecar, RankEffect> {
  const {epoch, version, hash} = order;
  const preparedHash = state.prepared.get(version);
  if (preparedHash !== undefined && preparedHash !== hash) {
    return createDecision(
      state,
      refusedReply(state, epoch, 'version names two maps'),
    );
  }
  const next = {...state, prepared: state.prepared.set(version, hash)};
  if (next.held.has(mapKey(order)))
    return createDecision(next, readyReply(next, order));
  return createDecision(next, {kind: 'load', order, map});
}

function readyReply(
  state: RankSidecar,
  {epoch, version}: MapOrder,
): RankEffect {
  const sidecar = state.name;
  return {
    kind: 'reply',
    reply: {kind: 'ready', ready: {epoch, version, sidecar}},
  };
}

function requestActivation(
  state: RankSidecar,
  epoch: number,
  version: number,
): Decision<RankSidecar, RankEffect> {
  const reason = activationRefusalReason(state, version);
  if (reason) return createDecision(state, refusedReply(state, epoch, reason));
  return createDecision(
    {...state, pendingActivation: {epoch, version}},
    {kind: 'readRow'},
  );
}

function activationRefusalReason(
  state: RankSidecar,
  version: number,
): string | undefined {
  const hash = state.prepared.get(version);
  if (!state.sequencer) return 'not the sequencer';
  if (hash === undefined) return 'version not prepared';
  if (!holdsMap(state, version, hash)) return 'weights not loaded';
  return undefined;
}

function releaseMaps(
  state: RankSidecar,
  epoch: number,
  belowVersion: number,
): Decision<RankSidecar, RankEffect> {
  const prepared = state.prepared.filter((_, v) => v >= belowVersion);
  const effect: RankEffect = {kind: 'drop', epoch, belowVersion};
  return createDecision({...state, prepared}, effect);
}

function onEngineReport(
  state: RankSidecar,
  {held, step, load}: Extract<RankInput, {kind: 'engine'}>,
): Decision<RankSidecar, RankEffect> {
  const next = {...state, held: Set(held), lastStep: step, load};
  const epoch = state.highestEpoch;
  if (epoch === undefined) return createDecision(next);
  const effects = [...state.prepared]
    .map(([version, hash]) => ({epoch, version, hash}))
    .filter(o => next.held.has(mapKey(o)) && !state.held.has(mapKey(o)))
    .map(order => readyReply(next, order));
  return createDecision(next, ...effects);
}

/** Reports only versions that were prepared under the highest epoch. */
function stateReply(state: RankSidecar): RankEffect {
  const heldVersions = [...state.prepared]
    .filter(([version, hash]) => holdsMap(state, version, hash))
    .map(([version]) => version);
  const {lastStep} = state;
  const current = lastStep && holdsMap(state, lastStep.version, lastStep.hash);
  const report: RankState = {
    sidecar: state.name,
    highestEpoch: state.highestEpoch ?? 0,
    heldVersions,
    stepVersion: current ? lastStep.version : 0,
    ...state.load,
  };
  return {kind: 'reply', reply: {kind: 'state', state: report}};
}
