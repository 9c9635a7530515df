/**
 * Non-idempotent requests through a platform outage of ten minutes, and what
 * a claim costs the table.
 *
 * The outage runs in virtual time: callers place orders at three entries and
 * repeat a key until it is answered; entries and sidecars are killed and the
 * table loses replies. The claims task and the outcome table are the real
 * ones, and the endpoint counts its executions per key. The baseline has no
 * claims. The cost of a claim is measured over loopback HTTP against the
 * platform stand-in, with and without grouping.
 */
import {unresolved} from '../src/cli/orders';
import {BATCH_LIMITS} from '../src/claims/batch';
import {ClaimRequest} from '../src/claims/claims';
import {CLAIMS_OPTIONS, ClaimsTask} from '../src/claims/task';
import {systemClock} from '../src/kernel/clock';
import {platformClient} from '../src/platform/client';
import {PlatformStandin} from '../standins/platform';
import {Measurement, Row} from './row';
import {CASES} from './support/owner-cases';
import {Check} from './support/owners';
import {OrderWorld, Outcome} from './support/order-world';

const BEFORE_MS = 300_000;
const OUTAGE_MS = 600_000;
const AFTER_MS = 300_000;
const ORDER_EVERY_MS = 200;

const KILL_ENTRY_MS = 10_000;
const KILL_SIDECAR_MS = 60_000;
/** Each kill is this much later in the order under way than the last. */
const KILL_STEP_MS = 3;

const CLAIMS = 4_000;
const AT_ONCE = 200;
/** Time that the table service takes for a transaction, in milliseconds. */
const TABLE_MS = 2;

async function outage(
  seed: number,
  claims: boolean,
  owners?: Check,
): Promise<Outcome> {
  const world = new OrderWorld(seed, claims, owners);
  world.at(BEFORE_MS, () => world.setTable(false));
  world.at(BEFORE_MS + OUTAGE_MS, () => world.setTable(true));
  const endMs = BEFORE_MS + OUTAGE_MS + AFTER_MS;
  for (let ms = 0, n = 0; ms < endMs; ms += ORDER_EVERY_MS, n++) {
    const duringOutage = ms >= BEFORE_MS && ms < BEFORE_MS + OUTAGE_MS;
    world.at(ms, () => world.place(`order-${n}`, duringOutage));
  }
  // Kills before, during and after the outage, at all stages of an order.
  for (let n = 1; n * KILL_ENTRY_MS < endMs; n++) {
    const ms = n * KILL_ENTRY_MS + KILL_STEP_MS * n;
    world.at(ms, () => world.killEntry(n));
  }
  for (let n = 1; n * KILL_SIDECAR_MS < endMs; n++) {
    const ms = n * KILL_SIDECAR_MS + KILL_STEP_MS * n;
    world.at(ms, () => world.killSidecar(n));
  }
  await world.run(endMs + AFTER_MS);
  return world.outcome(now => {
    return unresolved(world.claimRows(), 60, now).length;
  });
}

interface Cost {
  readonly perSecond: number;
  readonly writesPerClaim: number;
}

async function cost(maxWrites: number): Promise<Cost> {
  const standin = new PlatformStandin();
  const url = await standin.start();
  standin.faults.delayMs = TABLE_MS;
  const claims = new ClaimsTask({
    platform: platformClient({url, timeoutMs: 10_000}),
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
    while (next < CLAIMS) {
      const outcome = await claims.claim(request(next++));
      if (outcome.kind !== 'claimed') throw new Error(outcome.kind);
    }
  };
  await Promise.all(Array.from({length: AT_ONCE}, worker));
  const seconds = (systemClock.elapsedMs() - startMs) / 1_000;
  standin.stop();
  return {
    perSecond: CLAIMS / seconds,
    writesPerClaim: standin.writes / CLAIMS,
  };
}

function request(n: number): ClaimRequest {
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

/** Option (b) of the design beside option (a), which is in force. */
function weighing(
  refusing: Outcome,
  plain: Outcome,
  checked: Outcome,
): readonly Measurement[] {
  const beside = (
    name: string,
    of: (outcome: Outcome) => number,
  ): Measurement => ({
    name: `option b: ${name}`,
    unit: 'orders',
    baseline: of(refusing),
    current: of(checked),
    portable: true,
    note: `baseline: option a; b without its checks: ${of(plain)}`,
  });
  const twice = (check: Check) =>
    CASES.filter(one => one.runs(check) > 1).length;
  return [
    beside('served in the outage', o => o.servedInOutage),
    beside('keys that ran twice', o => o.doubleRuns),
    beside('said not-run but ran', o => o.wronglyNotRun),
    beside('left unknown', o => o.leftUnknown),
    {
      name: 'option b: hard cases that run twice',
      unit: 'cases',
      baseline: twice('plain'),
      current: twice('checked'),
      portable: true,
      note: `baseline: without its checks; ${CASES.length} cases`,
    },
  ];
}

async function run(seed: number): Promise<readonly Measurement[]> {
  const current = await outage(seed, true);
  const baseline = await outage(seed, false);
  const owned = await outage(seed, true, 'checked');
  const plain = await outage(seed, true, 'plain');
  const grouped = await cost(BATCH_LIMITS.maxWrites);
  const single = await cost(1);
  const counted = (
    name: string,
    of: (outcome: Outcome) => number,
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
      ...counted('keys that ran twice, outage of 10 min', o => o.doubleRuns),
      bound,
      note: 'baseline: no claims',
    },
    {...counted('said not-run but ran', o => o.wronglyNotRun), bound},
    counted('placed during the outage', o => o.duringOutage),
    counted(
      'first refused as not run in the outage',
      o => o.refusedInOutage,
      'callers repeat the key',
    ),
    counted('answered by the end', o => o.answered, `${current.placed} placed`),
    counted(
      'left unknown or claimed at the end',
      o => o.unresolved,
      `${current.killedSidecars} sidecars, ${current.killedEntries} entries killed`,
    ),
    ...weighing(current, plain, owned),
    {
      name: `claims a second, ${AT_ONCE} at once`,
      unit: '1/s',
      baseline: single.perSecond,
      current: grouped.perSecond,
      portable: false,
      note: `baseline: not grouped; table takes ${TABLE_MS} ms`,
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
