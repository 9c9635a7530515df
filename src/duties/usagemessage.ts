/**
 * What gateways send to the holders of duties, divided into datagrams.
 *
 * Load pattern: thousands of accounts are active at once, or a deployment has
 * many services and zones. Counts are therefore spread over several datagrams.
 * Each is complete in itself: counts are cumulative for each window, so a
 * receiver keeps the largest value and needs no order among datagrams.
 */

/** Requests of a service at one gateway; the first two are cumulative. */
export interface ServiceDemand {
  readonly service: string;
  /** Requests that an endpoint began to run. */
  readonly begun: number;
  /** Requests that were refused because all endpoints were full. */
  readonly refused: number;
  /** Requests that wait at the gateway now. */
  readonly waiting: number;
}

/** The endpoints of a service in a zone, as one gateway knows them. */
export interface ZoneLoad {
  readonly service: string;
  readonly zone: string;
  /** Endpoints that are registered and do not drain. */
  readonly endpoints: number;
  /** Those of which a fresh report says that they work. */
  readonly reporting: number;
  /** Requests that these run. */
  readonly running: number;
  /** Requests that wait at these. */
  readonly queued: number;
  /** Requests that these can run at once. */
  readonly capacity: number;
}

/** Requests of an account that began to run in a window. */
export interface UsageCount {
  readonly window: number;
  readonly account: string;
  readonly count: number;
}

/** What all datagrams of one gateway process have in common. */
export interface UsageSender {
  /** Name of the gateway's instance. */
  readonly entry: string;
  /** Tells apart the processes of one instance that follow each other. */
  readonly processStartMs: number;
  readonly zone: string;
  /** Wall clock minus the store's clock; undefined before it is known. */
  readonly clockOffsetMs?: number;
  /** The last window that a holder is known to have reported. */
  readonly begunWindow?: number;
}

export interface UsageMessage extends UsageSender {
  readonly accounts: readonly string[];
  /** Window relative to `firstWindow`, index in `accounts`, and requests. */
  readonly counts: ReadonlyArray<readonly [number, number, number]>;
  /** Undefined while the gateway cannot assign requests to windows. */
  readonly firstWindow?: number;
  readonly demand: readonly ServiceDemand[];
  readonly loads: readonly ZoneLoad[];
}

/**
 * Size of a datagram, in bytes. UDP allows 65,507, but a datagram is lost with
 * any one of its fragments.
 */
export const MAX_USAGE_BYTES = 16_384;

/** Longest name of an account, service or zone in a datagram, in characters. */
export const MAX_NAME_LENGTH = 256;

/** Longest form of a count: brackets, commas and three numbers. */
const COUNT_BYTES = 40;

/**
 * The datagrams that carry the counts; at least one. `knownCounts` is undefined
 * while the gateway does not know true time.
 */
export function packUsage(
  sender: UsageSender,
  knownCounts: readonly UsageCount[] | undefined,
  demand: readonly ServiceDemand[],
  loads: readonly ZoneLoad[],
): readonly UsageMessage[] {
  const counts = knownCounts ?? [];
  const firstWindow = counts.reduce(
    (first, {window}) => Math.min(first, window),
    counts[0]?.window ?? 0,
  );
  const empty: UsageMessage = {
    ...sender,
    firstWindow: knownCounts && firstWindow,
    accounts: [],
    counts: [],
    demand: [],
    loads: [],
  };
  const headBytes = jsonBytes({kind: 'usage', ...empty});
  const messages: UsageMessage[] = [];
  let current = newDraft();
  let bytes = headBytes;

  function newDraft() {
    return {
      accounts: new Map<string, number>(),
      counts: [] as Array<readonly [number, number, number]>,
      demand: [] as ServiceDemand[],
      loads: [] as ZoneLoad[],
    };
  }

  function close(): void {
    const accounts = [...current.accounts.keys()];
    messages.push({...empty, ...current, accounts});
    current = newDraft();
    bytes = headBytes;
  }

  function reserve(needed: number): void {
    if (bytes + needed > MAX_USAGE_BYTES && bytes > headBytes) close();
    bytes += needed;
  }

  for (const item of demand.filter(d => hasShortName(d.service))) {
    reserve(jsonBytes(item) + 1);
    current.demand.push(item);
  }
  for (const item of loads) {
    if (!hasShortName(item.service) || !hasShortName(item.zone)) continue;
    reserve(jsonBytes(item) + 1);
    current.loads.push(item);
  }
  // Counts of one account stand together, so that its name is sent once.
  const byAccount = [...counts]
    .filter(({account}) => hasShortName(account))
    .sort((a, b) => compare(a.account, b.account) || a.window - b.window);
  for (const {window, account, count} of byAccount) {
    const nameBytes = jsonBytes(account) + 1;
    reserve(COUNT_BYTES + (current.accounts.has(account) ? 0 : nameBytes));
    let index = current.accounts.get(account);
    if (index === undefined) {
      index = current.accounts.size;
      current.accounts.set(account, index);
    }
    current.counts.push([window - firstWindow, index, count]);
  }
  if (bytes > headBytes || messages.length === 0) close();
  return messages;
}

/** The counts in a datagram; those that name no account are left out. */
export function unpackCounts(message: UsageMessage): readonly UsageCount[] {
  const {accounts, counts, firstWindow} = message;
  if (firstWindow === undefined) return [];
  return counts.flatMap(([offset, index, count]) => {
    const account = accounts[index];
    if (account === undefined) return [];
    return [{window: firstWindow + offset, account, count}];
  });
}

function hasShortName(name: string): boolean {
  return name.length <= MAX_NAME_LENGTH;
}

function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

function compare(a: string, b: string): number {
  return a < b ? -1 : Number(a > b);
}
