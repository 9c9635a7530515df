/**
 * What a process reports about itself to the `status` command.
 *
 * Each module provides the facts that it owns. A fact that a module does not
 * have is left out, and `status` shows it as unknown; no module fills in a
 * value for another one. Times are wall time in milliseconds, so that a reader
 * can tell how old a fact is.
 */
export interface RulesFacts {
  readonly version: number;
  readonly hash: string;
  /** Latest platform read that confirmed the version; 0 for never. */
  readonly confirmedMs: number;
  readonly ready: boolean;
  /** Why the process is not ready or cannot read a version, or empty. */
  readonly note: string;
  readonly stoppedByCutoff: boolean;
  readonly zonesOut: readonly string[];
}

export interface CapacityFacts {
  /** When the endpoint last reported. */
  readonly atMs: number;
  readonly granted: number;
  readonly running: number;
  readonly waiting: number;
  readonly bound: number;
  readonly cold: boolean;
}

export interface AccountFacts {
  readonly account: string;
  /** The fraction that its weight among the active accounts entitles it to. */
  readonly share: number;
  /** The fraction of the served tokens that it received. */
  readonly served: number;
}

export interface GroupFacts {
  readonly group: string;
  readonly atMs: number;
  /** Predicted skew of a step; absent until loads have been measured. */
  readonly skew?: number | undefined;
  readonly mapVersion: number;
  readonly epoch: number;
}

/** Unresolved orders of all accounts, from the platform's table. */
export interface ClaimFacts {
  /** When the rows were read. */
  readonly atMs: number;
  readonly unresolved: number;
}

export interface MemberFacts {
  readonly instance: string;
  readonly zone: string;
  readonly role: string;
  readonly address: string;
  readonly liveness: 'live' | 'unreachable' | 'lost';
  readonly leaving: boolean;
  readonly heardMs: number;
  /** When a heartbeat last came from the member itself; 0 for never. */
  readonly directMs: number;
}

/** What an entry can reach. */
export interface LinkFacts {
  /** Requests under way. */
  readonly requests: number;
  /** Sidecars with an open link from which messages arrive. */
  readonly linked: readonly LinkedSidecar[];
  /** Endpoints that routing avoids because they fail or are slow. */
  readonly avoided: readonly string[];
}

export interface LinkedSidecar {
  readonly instance: string;
  readonly zone: string;
}

/** The facts of each module; an absent one is unknown. */
export interface FactParts {
  readonly links?: LinkFacts;
  readonly rules?: RulesFacts;
  readonly capacity?: CapacityFacts;
  readonly accounts?: readonly AccountFacts[];
  readonly groups?: readonly GroupFacts[];
  readonly members?: readonly MemberFacts[];
}

export interface Facts extends FactParts {
  readonly instance: string;
  readonly zone: string;
  readonly role: string;
  readonly release: string;
  readonly state: 'starting' | 'serving' | 'draining';
  /** When the facts were gathered. */
  readonly atMs: number;
}

export type FactIdentity = Pick<
  Facts,
  'instance' | 'zone' | 'role' | 'release'
>;

/** Collects the facts of one process from the modules that own them. */
export class FactCollector {
  private readonly sources: (() => FactParts)[] = [];
  private draining = false;

  constructor(
    private readonly identity: FactIdentity,
    private readonly nowMs: () => number,
  ) {}

  addSource(source: () => FactParts): void {
    this.sources.push(source);
  }

  markDraining(): void {
    this.draining = true;
  }

  collect(): Facts {
    const parts: FactParts = Object.assign({}, ...this.sources.map(s => s()));
    const ready = parts.rules?.ready ?? false;
    const serving = ready ? 'serving' : 'starting';
    return {
      ...this.identity,
      state: this.draining ? 'draining' : serving,
      atMs: this.nowMs(),
      ...parts,
    };
  }
}
