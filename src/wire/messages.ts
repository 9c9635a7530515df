/**
 * The messages between boragemill's processes, as discriminated unions.
 *
 * They mirror `node.proto`: `kind` names the member that is present. Scalars
 * that the sender left out arrive as zero, an empty string or false.
 */

export const PROTOCOL_VERSION = 1;

export type TargetKind = 'model' | 'service';

export interface Header {
  readonly name: string;
  readonly value: string;
}

export interface AttemptRef {
  readonly requestId: string;
  readonly attempt: number;
}

export interface EntryHello {
  readonly instance: string;
  readonly zone: string;
  readonly release: string;
  readonly ruleVersion: number;
}

export interface Offer extends AttemptRef {
  readonly account: string;
  readonly caller: string;
  readonly targetKind: TargetKind;
  readonly target: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly prefixHashes: readonly number[];
  readonly priority: number;
  /** Wall time in milliseconds. */
  readonly deadlineMs: number;
  readonly idempotent: boolean;
}

export interface Start extends AttemptRef {
  readonly grantId: string;
  readonly body: Uint8Array;
  /** Index of the first token to send; the entry has the earlier ones. */
  readonly resumeOffset: number;
  readonly creditBytes: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  /** Present when a standing grant is used without an offer. */
  readonly offer?: Offer;
}

export interface Cancel extends AttemptRef {
  readonly reason: string;
}

export interface Credit extends AttemptRef {
  readonly bytes: number;
}

export type EntryPayload =
  | {readonly kind: 'hello'; readonly hello: EntryHello}
  | {readonly kind: 'offer'; readonly offer: Offer}
  | {readonly kind: 'withdraw'; readonly withdraw: AttemptRef}
  | {readonly kind: 'start'; readonly start: Start}
  | {readonly kind: 'cancel'; readonly cancel: Cancel}
  | {readonly kind: 'credit'; readonly credit: Credit}
  | {readonly kind: 'ask'; readonly ask: AttemptRef}
  | {readonly kind: 'standing'; readonly standing: {readonly wanted: number}};

export interface SidecarHello {
  readonly instance: string;
  /** Changes with every start of the sidecar process. */
  readonly incarnation: string;
  readonly zone: string;
  readonly release: string;
  readonly targetKind: TargetKind;
  readonly target: string;
  readonly leaving: boolean;
  readonly ruleVersion: number;
}

export interface Grant extends AttemptRef {
  readonly grantId: string;
  /** Wall time in milliseconds. */
  readonly expiresMs: number;
  /** Largest request, in tokens, that a standing grant covers. */
  readonly maxTokens: number;
}

export interface Refuse extends AttemptRef {
  readonly reason: string;
  readonly retryAfterMs: number;
}

export interface Frame extends AttemptRef {
  /** Tokens before this frame for a model, bytes for a service. */
  readonly offset: number;
  readonly count: number;
  readonly data: Uint8Array;
  readonly end: boolean;
  /** With `end`: the whole answer's length in the unit of `offset`. */
  readonly total: number;
  readonly finish: string;
  readonly status: number;
  readonly headers: readonly Header[];
  readonly cachedTokens: number;
  /** Byte length of each token in `data`. */
  readonly lengths: readonly number[];
}

export type RunOutcome = 'ran' | 'not-run' | 'unknown';

export interface Failed extends AttemptRef {
  readonly run: RunOutcome;
  readonly reason: string;
}

export interface Answer extends AttemptRef {
  readonly outcome: 'running' | 'ran' | 'not-run' | 'unknown';
  readonly status: number;
  readonly body: Uint8Array;
  readonly headers: readonly Header[];
}

export interface Load {
  readonly running: number;
  readonly waiting: number;
  readonly bound: number;
  readonly freeTokens: number;
  readonly cold: boolean;
  readonly leaving: boolean;
  readonly stepMs: number;
  readonly cachedPrefixes: readonly number[];
  readonly evictedPrefixes: readonly number[];
  readonly cacheSequence: number;
}

export type SidecarPayload =
  | {readonly kind: 'hello'; readonly hello: SidecarHello}
  | {readonly kind: 'grant'; readonly grant: Grant}
  | {readonly kind: 'refuse'; readonly refuse: Refuse}
  | {readonly kind: 'revoke'; readonly revoke: {readonly grantId: string}}
  | {readonly kind: 'frames'; readonly frames: FrameBatch}
  | {readonly kind: 'failed'; readonly failed: Failed}
  | {readonly kind: 'answer'; readonly answer: Answer}
  | {readonly kind: 'load'; readonly load: Load};

export interface FrameBatch {
  readonly frames: readonly Frame[];
}

export interface Member {
  readonly instance: string;
  readonly zone: string;
  readonly role: string;
  readonly address: string;
  readonly ruleVersion: number;
  readonly heardMs: number;
  readonly targetKind: string;
  readonly target: string;
  readonly leaving: boolean;
}

export interface Heartbeat {
  readonly instance: string;
  readonly zone: string;
  readonly role: string;
  readonly address: string;
  readonly ruleVersion: number;
  readonly ruleHash: string;
  readonly leaving: boolean;
  readonly confirmedMs: number;
  readonly release: string;
  readonly targetKind: string;
  readonly target: string;
  readonly members: readonly Member[];
}

export interface RulesWanted {
  readonly haveVersion: number;
  readonly haveHash: string;
}

export interface RulesFile {
  readonly version: number;
  readonly hash: string;
  readonly text: string;
}

export interface RulesPatch {
  readonly fromVersion: number;
  readonly fromHash: string;
  readonly version: number;
  readonly hash: string;
  readonly patch: string;
}

export type PeerPayload =
  | {readonly kind: 'heartbeat'; readonly heartbeat: Heartbeat}
  | {readonly kind: 'rulesWanted'; readonly rulesWanted: RulesWanted}
  | {readonly kind: 'rulesFile'; readonly rulesFile: RulesFile}
  | {readonly kind: 'rulesPatch'; readonly rulesPatch: RulesPatch};

export interface Prepare {
  readonly group: string;
  readonly epoch: number;
  readonly version: number;
  readonly mapHash: string;
  readonly map: Uint8Array;
}

export interface Activate {
  readonly group: string;
  readonly epoch: number;
  readonly version: number;
}

export interface MapRelease {
  readonly group: string;
  readonly epoch: number;
  readonly belowVersion: number;
}

export interface Probe {
  readonly group: string;
  readonly epoch: number;
}

export type CoordinatorPayload =
  | {readonly kind: 'prepare'; readonly prepare: Prepare}
  | {readonly kind: 'activate'; readonly activate: Activate}
  | {readonly kind: 'release'; readonly release: MapRelease}
  | {readonly kind: 'probe'; readonly probe: Probe};

export interface Ready {
  readonly epoch: number;
  readonly version: number;
  readonly sidecar: string;
}

export interface Refused {
  readonly epoch: number;
  readonly highestEpoch: number;
  readonly reason: string;
}

export interface RankState {
  readonly sidecar: string;
  readonly highestEpoch: number;
  readonly heldVersions: readonly number[];
  readonly stepVersion: number;
  readonly stepMs: number;
  readonly expertTokens: readonly number[];
  readonly rankMs: readonly number[];
}

export type RankPayload =
  | {readonly kind: 'ready'; readonly ready: Ready}
  | {readonly kind: 'refused'; readonly refused: Refused}
  | {readonly kind: 'state'; readonly state: RankState};

/** Fields that every message on a stream carries besides its payload. */
export interface Envelope {
  readonly protocol: number;
  /** Hybrid logical clock of the sender, in its text form. */
  readonly hlc: string;
}

export type EntryMessage = EntryPayload & Envelope;
export type SidecarMessage = SidecarPayload & Envelope;
export type PeerMessage = PeerPayload & Envelope;
export type CoordinatorMessage = CoordinatorPayload & Envelope;
export type RankMessage = RankPayload & Envelope;

export interface InspectReply extends Envelope {
  /** Facts as JSON. */
  readonly facts: string;
}

export interface EventsRequest {
  readonly protocol: number;
  readonly requestId: string;
  readonly sinceMs: number;
}
