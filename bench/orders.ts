/**
 * Row: non-idempotent requests during a platform outage of ten minutes, and
 * the cost of a claim in table writes.
 *
 * The outage is simulated in virtual time. Callers place orders at three
 * entries and retry with the same key until they are answered; entries and
 * sidecars are killed, and the table loses replies. The claims task and the
 * sidecars' outcome state are those of the product, and the endpoint counts
 * its executions per key. The baseline has no claims. The cost of a claim is
 * measured over loopback HTTP against the platform stand-in, with and without
 * batching of the writes.
 */
import {unresolvedOrders} from '../src/cli/orders';
import {BATCH_LIMITS} from '../src/claims/batch';
import {ClaimRequest} from '../src/claims/claims';
import {CLAIMS_OPTIONS, ClaimsTask} from '../src/claims/task';
import {systemClock} from '../src/kernel/clock';
import {createPlatformClient} from '../src/platform/client';
import {PlatformStandin} from '../standins/platform';
import {Measurement, Row} from './row';
import {OWNER_CASES} from './support/owner-cases';
import {OwnerMode} from './support/owners';
import {OrderWorld, OrderCounts} from './support/order-world';

const BEFORE_MS = 300_000;
const OUTAGE_MS = 600_000;
const AFTER_MS = 300_000;
const ORDER_INTERVAL_MS = 200;

const ENTRY_KILL_INTERVAL_MS = 10_000;
const SIDECAR_KILL_INTERVAL_MS = 60_000;
/** Shifts each kill against the orders, so that kills hit all their stages. */
const KILL_OFFSET_MS = 3;

const CLAIM_COUNT = 4_000;
const CONCURRENT_CLAIMS = 200;
/** Simulated duration of one table transaction. */
const TABLE_DELAY_MS = 2;

async function simulateOutage(
  seed: number,
  useClaims: boolean,
  ownerMode?: OwnerMode,
): Promise<OrderCounts> {
  const world = new OrderWorld(seed, useClaims, ownerMode);
  world.at(BEFORE_MS, () => world.setTableUp(false));
  world.at(BEFORE_MS + OUTAGE_MS, () => world.setTableUp(true));
  const endMs = BEFORE_MS + OUTAGE_MS + AFTER_MS;
  for (let ms = 0, n = 0; ms < endMs; ms += ORDER_INTERVAL_MS, n++) {
    const duringOutage = ms >= BEFORE_MS && ms < BEFORE_MS + OUTAGE_MS;
    world.at(ms, () => world.placeOrder(`order-${n}`, duringOutage));
  }
  // Kills before, during and after the outage, at all stages of an order.
  for (let n = 1; n * ENTRY_KILL_INTERVAL_MS < endMs; n++) {
    const ms = n * ENTRY_KILL_INTERVAL_MS + KILL_OFFSET_MS * n;
    world.at(ms, () => world.killEntry(n));
  }
  for (let n = 1; n * SIDECAR_KILL_INTERVAL_MS < endMs; n++) {
    const ms = n * SIDECAR_KILL_INTERVAL_MS + KILL_OFFSET_MS * n;
    world.at(ms, () => world.killSidecar(n));
  }
  await world.run(endMs + AFTER_MS);
  return world.counts(now => {
    return unresolvedOrders(world.claimRows(), 60, now).length;
  });
}

interface ClaimCost {
  readonly perSecond: number;
  readonly writesPerClaim: number;
}

async function measureClaimCost(maxWrites: number): Promise<ClaimCost> {
  const standin = new PlatformStandin();
  const url = await standin.start();
  standin.faults.delayMs = TABLE_DELAY_MS;
  const claims = new ClaimsTask({
    platform: createPlatformClient({url, timeoutMs: 10_000}),
    clock: systemClock,
    log: () => undefined,
    ask: async () => ({kind: 'unreachable'}),
    options: {
      ...CLAIMS_OPTIONS,
      resolveTimeoutMs: 30_000,
      batch: {...BATCH_LIMITS, maxWrites},
    },
  });
  const startMs = systemClock.elapsedMs();
  let next = 0;
  const worker = async () => {
    while (next < CLAIM_COUNT) {
      const outcome = await claims.claim(newClaimRequest(next++));
      if (outcome.kind !== 'claimed') throw new Error(outcome.kind);
    }
  };
  await Promise.all(Array.from({length: CONCURRENT_CLAIMS}, worker));
  const seconds = (systemClock.elapsedMs() - startMs) / 1_000;
  standin.stop();
  return {
    perSecond: CLAIM_COUNT / seconds,
    writesPerClaim: standin.writes / CLAIM_COUNT,
  };
}

function newClaimRequest(n: number): ClaimRequest {
  return {
    account: 'a',
    service: 's',
    key: `key-${n}`,
    bodyHash: 'b',
    requestId: `request-${n}`,
    attempt: 1,
    holder: 'entry-1',
    sidecar: 'orders-1',
    incarnation: 'i',
  };
}

/**
 * Compares option (b) of the design, where an owner sidecar runs orders without
 * the table, with option (a), which is in force and refuses them.
 */
function compareOptions(
  refusing: OrderCounts,
  plain: OrderCounts,
  checked: OrderCounts,
): readonly Measurement[] {
  const compare = (
    name: string,
    of: (outcome: OrderCounts) => number,
  ): Measurement => ({
    name: `option b: ${name}`,
    unit: 'orders',
    baseline: of(refusing),
    current: of(checked),
    portable: true,
    note: `baseline: option a; b without its checks: ${of(plain)}`,
  });
  const countDoubleRuns = (mode: OwnerMode) =>
    OWNER_CASES.filter(one => one.countRuns(mode) > 1).length;
  return [
    compare('served in the outage', o => o.servedInOutage),
    compare('keys that ran twice', o => o.doubleRuns),
    compare('said not-run but ran', o => o.wronglyNotRun),
    compare('left unknown', o => o.leftUnknown),
    {
      name: 'option b: hard cases that run twice',
      unit: 'cases',
      baseline: countDoubleRuns('plain'),
      current: countDoubleRuns('checked'),
      portable: true,
      note: `baseline: without its checks; ${OWNER_CASES.length} cases`,
    },
  ];
}

async function run(seed: number): Promise<readonly Measurement[]> {
  const current = await simulateOutage(seed, true);
  const baseline = await simulateOutage(seed, false);
  const owned = await simulateOutage(seed, true, 'checked');
  const plain = await simulateOutage(seed, true, 'plain');
  const grouped = await measureClaimCost(BATCH_LIMITS.maxWrites);
  const single = await measureClaimCost(1);
  const countOrders = (
    name: string,
    of: (outcome: OrderCounts) => number,
    note?: string,
  ): Measurement => ({
    name,
    unit: 'orders',
    baseline: of(baseline),
    current: of(current),
    portable: true,
    ...(note ? {note} : {}),
  });
  const bound = {relation: 'at most' as const, value: 0};
  return [
    {
      ...countOrders(
        'keys that ran twice, outage of 10 min',
        o => o.doubleRuns,
      ),
      bound,
      note: 'baseline: no claims',
    },
    {...countOrders('said not-run but ran', o => o.wronglyNotRun), bound},
    countOrders('placed during the outage', o => o.duringOutage),
    countOrders(
      'first refused as not run in the outage',
      o => o.refusedInOutage,
      'callers repeat the key',
    ),
    countOrders(
      'answered by the end',
      o => o.answered,
      `${current.placed} placed`,
    ),
    countOrders(
      'left unknown or claimed at the end',
      o => o.unresolved,
      `${current.killedSidecars} sidecars, ${current.killedEntries} entries killed`,
    ),
    ...compareOptions(current, plain, owned),
    {
      name: `claims a second, ${CONCURRENT_CLAIMS} at once`,
      unit: '1/s',
      baseline: single.perSecond,
      current: grouped.perSecond,
      portable: false,
      note: `baseline: not grouped; table takes ${TABLE_DELAY_MS} ms`,
    },
    {
      name: 'table writes per claim',
      unit: 'writes',
      baseline: single.writesPerClaim,
      current: grouped.writesPerClaim,
      portable: false,
      note: 'baseline: not grouped',
    },
  ];
}

export const row: Row = {name: 'orders', seed: 1, run};
