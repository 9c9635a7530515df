/**
 * Asks the sidecars of a group for the states of their ranks.
 *
 * Addresses are those of all endpoints of a service, which may have several
 * groups; which group an address belongs to shows in its first answer. Answers
 * that come after a poll has ended are used as they arrive.
 */
import {Clock} from '../kernel/clock';
import {Log} from '../observe/log';
import {RankClient} from './rankclient';
import {RankReport, RankState} from './rank';

export interface PollerDependencies {
  /** Addresses of all endpoints of this sidecar's service. */
  readonly addresses: () => readonly string[];
  /** Creates a client of the rank at an address. */
  readonly clientFor: (address: string) => RankClient;
  readonly handleState: (state: RankState) => void;
  readonly clock: Clock;
  readonly log: Log;
}

/** Ranks to ask, and those of them to ask for their choices. */
export interface PollScope {
  /** Undefined to ask all ranks. */
  readonly ranks: ReadonlySet<number> | undefined;
  readonly withChoices: ReadonlySet<number>;
}

export interface PolledState extends RankState {
  readonly polledMs: number;
}

/**
 * Longest wait for the reports of one poll; later ones are used as they
 * arrive. The limit is short because a frozen instance that left its group held
 * does not answer, and the group stays held while the poll waits.
 */
const POLL_TIMEOUT_MS = 100;
/**
 * Time for which an answer shows that a coordinator is alive: until the next
 * answer is due.
 */
const ALIVE_AFTER_ANSWER_MS = 500;
/** Interval between polls of an address that belongs to another group. */
const OTHER_GROUP_POLL_INTERVAL_MS = 5_000;

interface KnownAddress {
  readonly group: string;
  readonly rank: number;
  readonly polledMs: number;
}

export class GroupPoller {
  private readonly statesByRank = new Map<number, PolledState>();
  private readonly clients = new Map<number, RankClient>();
  private readonly known = new Map<string, KnownAddress>();
  private readonly clientByAddress = new Map<string, RankClient>();
  /** Addresses whose state request is in flight, and if it asks for choices. */
  private readonly pending = new Map<string, {readonly withChoices: boolean}>();
  /** What ranks have chosen since the choices were last taken. */
  private choices: (readonly number[])[] = [];
  /** Answers to requests sent before this time are out of date. */
  private validFromMs = -Infinity;

  constructor(private readonly deps: PollerDependencies) {}

  /** Latest state of each rank that has answered in this epoch. */
  get states(): ReadonlyMap<number, PolledState> {
    return this.statesByRank;
  }

  /** States that show what their sidecars do now. */
  aliveStates(): readonly PolledState[] {
    const sinceMs = this.deps.clock.elapsedMs() - ALIVE_AFTER_ANSWER_MS;
    return [...this.statesByRank.values()].filter(s => s.polledMs >= sinceMs);
  }

  clientOf(rank: number): RankClient | undefined {
    return this.clients.get(rank);
  }

  /** Addresses that belong to the group or may belong to it. */
  possibleAddresses(group: string): readonly string[] {
    return this.deps
      .addresses()
      .filter(address => (this.known.get(address)?.group ?? group) === group);
  }

  /** Whether ranks have not answered yet what they have chosen. */
  get awaitsChoices(): boolean {
    return [...this.pending.values()].some(({withChoices}) => withChoices);
  }

  /** Returns what the ranks have chosen since the last call. */
  takeChoices(): readonly (readonly number[])[] {
    const {choices} = this;
    this.choices = [];
    return choices;
  }

  /** Forgets the ranks, whose group has formed again. */
  reset(): void {
    this.statesByRank.clear();
    this.clients.clear();
    this.choices = [];
  }

  /** Ignores answers to requests that have been sent before now. */
  ignoreEarlierAnswers(): void {
    this.validFromMs = this.deps.clock.elapsedMs();
  }

  async poll(own: RankReport, scope: PollScope): Promise<void> {
    const {clock} = this.deps;
    const nowMs = clock.elapsedMs();
    const answers = this.dueAddresses(own, scope, nowMs).map(address => {
      const known = this.known.get(address);
      // The choices of a rank outside the group would only fill the link.
      const withChoices =
        known?.group === own.group && scope.withChoices.has(known.rank);
      return this.pollAddress(address, own, withChoices, nowMs);
    });
    const timeout = new Promise<void>(done =>
      clock.after(POLL_TIMEOUT_MS, done),
    );
    await Promise.race([Promise.all(answers), timeout]);
  }

  private dueAddresses(
    own: RankReport,
    {ranks}: PollScope,
    nowMs: number,
  ): readonly string[] {
    const addresses = this.deps.addresses();
    const members = addresses.filter(
      address => this.known.get(address)?.group === own.group,
    );
    const isComplete = members.length >= own.size;
    return addresses.filter(address => {
      const known = this.known.get(address);
      if (!known) return true;
      if (known.group === own.group) return !ranks || ranks.has(known.rank);
      // Another group's rank may have come into this one.
      const isDue = nowMs - known.polledMs > OTHER_GROUP_POLL_INTERVAL_MS;
      return !isComplete && isDue;
    });
  }

  private async pollAddress(
    address: string,
    own: RankReport,
    withChoices: boolean,
    nowMs: number,
  ): Promise<void> {
    if (this.pending.has(address)) return;
    this.pending.set(address, {withChoices});
    const client = this.clientAt(address);
    try {
      const state = await client.state(own, withChoices);
      const {group, rank, epoch, choices} = state;
      this.known.set(address, {group, rank, polledMs: nowMs});
      if (group !== own.group || epoch !== own.epoch) return;
      if (choices.length > 0) this.choices.push(choices);
      if (nowMs < this.validFromMs) return;
      this.statesByRank.set(rank, {...state, polledMs: nowMs});
      this.clients.set(rank, client);
      this.deps.handleState(state);
    } catch (error) {
      this.deps.log('debug', 'rank did not report its state', {
        address,
        reason: String(error),
      });
    } finally {
      this.pending.delete(address);
    }
  }

  private clientAt(address: string): RankClient {
    const client =
      this.clientByAddress.get(address) ?? this.deps.clientFor(address);
    this.clientByAddress.set(address, client);
    return client;
  }
}
