/**
 * Fuzz model of the epoch protocol.
 *
 * It has three sidecars with an engine each, a table, and a network that
 * delivers messages in any order, late, twice or never. Every sidecar runs a
 * coordinator; one that no longer holds the lease may send any order. Checks
 * in every step: all ranks use one map, and it has been committed; the row's
 * version never falls; if engines check fencing numbers, the version in use
 * does not fall either as long as the sequencer's engine is not restarted. At
 * the end the failures stop, and the group must come to run its newest map.
 */
import * as fc from 'fast-check';
import {CoordinatorOrder} from '../../src/experts/coordinator';
import {Activation, LEASE_MS, SIDECARS, World} from './group-world';

class ModelCommand implements fc.Command<object, World> {
  constructor(
    private readonly label: string,
    private readonly action: (world: World) => void,
    private readonly onRun: () => void,
  ) {}

  check(): boolean {
    return true;
  }

  run(_: object, world: World): void {
    this.onRun();
    this.action(world);
  }

  toString(): string {
    return this.label;
  }
}

const MAX_PICK = 1_000;
/** Weight of regular rounds; without them nothing would be committed. */
const ROUND_WEIGHT = 12;
const HASHES = ['a', 'b', 'c', 'd'];

function commandArbitraries(onRun: () => void) {
  const sidecarIndex = fc.nat({max: SIDECARS.length - 1});
  const pick = fc.nat({max: MAX_PICK});
  const make = (label: string, act: (world: World) => void) =>
    new ModelCommand(label, act, onRun);
  const messageIndex = (w: World, n: number) =>
    n % Math.max(1, w.inFlight.length);
  const deliver = pick.map(n =>
    make(`deliver ${n}`, w => w.deliver(messageIndex(w, n))),
  );
  const deliverFirst = fc
    .constant(0)
    .map(() => make('deliver first', w => w.deliver(0)));
  const tick = sidecarIndex.map(i =>
    make(`tick ${i}`, w => {
      if (!w.sidecars[i]!.paused) w.coordinate(i, {kind: 'tick'});
    }),
  );
  const observe = sidecarIndex.map(i =>
    make(`observe ${i}`, w => w.pollEngine(i)),
  );
  const step = fc.constant(0).map(() => make('step', w => w.startStep()));
  const drain = fc.nat({max: 30}).map(n =>
    make(`drain ${n}`, w => {
      for (let k = 0; k < n; k++) w.deliver(0);
    }),
  );
  const round = fc
    .constantFrom(...HASHES)
    .map(hash => make(`round ${hash}`, w => w.round(hash)));
  return [
    ...Array.from({length: ROUND_WEIGHT}, () => round),
    deliver,
    deliver,
    deliverFirst,
    drain,
    drain,
    tick,
    tick,
    observe,
    observe,
    step,
    step,
    fc.tuple(sidecarIndex, fc.constantFrom(...HASHES)).map(([i, hash]) =>
      make(`propose ${i} ${hash}`, w => {
        const {paused} = w.sidecars[i]!;
        if (!paused) w.coordinate(i, {kind: 'propose', hash});
      }),
    ),
    fc.nat({max: LEASE_MS}).map(ms =>
      make(`advance ${ms}`, w => {
        w.nowMs += ms;
      }),
    ),
    pick.map(n => make(`drop ${n}`, w => w.drop(messageIndex(w, n)))),
    pick.map(n => make(`repeat ${n}`, w => w.duplicate(messageIndex(w, n)))),
    pick.map(n => make(`lose ${n}`, w => w.deliver(messageIndex(w, n), true))),
    sidecarIndex.map(i =>
      make(`pause or wake ${i}`, w => {
        w.sidecars[i]!.paused = !w.sidecars[i]!.paused;
      }),
    ),
    sidecarIndex.map(i =>
      make(`restart sidecar ${i}`, w => w.restartSidecar(i)),
    ),
    sidecarIndex.map(i => make(`restart engine ${i}`, w => w.restartEngine(i))),
    outdatedOrder(make),
  ];
}

/** Any order from an outdated coordinator, under an epoch that it held. */
function outdatedOrder(
  make: (label: string, act: (w: World) => void) => ModelCommand,
) {
  const sidecarIndex = fc.nat({max: SIDECARS.length - 1});
  const kind = fc.constantFrom('prepare', 'activate', 'release', 'probe');
  const version = fc.nat({max: 6});
  const hash = fc.constantFrom(...HASHES);
  return fc
    .tuple(sidecarIndex, sidecarIndex, kind, version, hash, fc.nat({max: 5}))
    .map(([from, to, kindName, versionOffset, mapHash, n]) =>
      make(
        `outdated order ${from} ${to} ${kindName} ${versionOffset} ${mapHash}`,
        w => {
          const {epochs} = w.sidecars[from]!;
          const outdatedEpochs = epochs.filter(e => e < w.row.epoch);
          if (outdatedEpochs.length === 0) return;
          const epoch =
            outdatedEpochs[
              outdatedEpochs.length - 1 - (n % outdatedEpochs.length)
            ]!;
          const namedVersion = Math.max(1, w.row.version - 3 + versionOffset);
          const common = {group: 'g', epoch};
          const orders: Record<string, CoordinatorOrder> = {
            prepare: {
              kind: 'prepare',
              prepare: {...common, version: namedVersion, mapHash},
            },
            activate: {
              kind: 'activate',
              activate: {...common, version: namedVersion},
            },
            release: {
              kind: 'release',
              release: {...common, belowVersion: namedVersion},
            },
            probe: {kind: 'probe', probe: common},
          };
          w.sendOrder(from, to, orders[kindName]!);
        },
      ),
    );
}

const COMMANDS_PER_RUN = 400;

/** Counts of what the random parts of all runs reached, for a test to check. */
export interface Coverage {
  commands: number;
  commits: number;
  epochs: number;
  steps: number;
}

/** Runs at least `steps` commands; throws on the first broken invariant. */
export function runGroup(
  seed: number,
  steps: number,
  fencing: boolean,
  activation: Activation = 'sequencer',
): Coverage {
  const coverage: Coverage = {commands: 0, commits: 0, epochs: 0, steps: 0};
  const commands = fc.commands(
    commandArbitraries(() => (coverage.commands += 1)),
    {maxCommands: COMMANDS_PER_RUN, size: 'max'},
  );
  const property = fc.property(commands, sequence => {
    const world = new World(fencing, activation);
    fc.modelRun(() => ({model: {}, real: world}), sequence);
    coverage.commits += world.commits;
    coverage.epochs += world.row.epoch;
    coverage.steps += world.mapOfStep.size;
    world.requireRecovery('final');
  });
  for (let n = 0; coverage.commands < steps; n++) {
    fc.assert(property, {seed: seed + n, numRuns: RUNS_PER_SEED});
  }
  return coverage;
}

const RUNS_PER_SEED = 100;

export const model = {
  /** Runs half of the steps with engines that check fencing numbers. */
  run(seed: number, steps: number): void {
    runGroup(seed, steps / 2, true);
    runGroup(seed, steps / 2, false);
  },
};
