/**
 * Fuzz model of rule distribution: many processes and concurrent operators on
 * a network that delays, drops, duplicates and reorders, with a platform that
 * fails, answers stale reads and loses answers to writes.
 *
 * The oracle consists of the heads that the platform accepted and, for each
 * process, the latest read of the platform that it can know of. It does not
 * depend on how versions are distributed.
 */
import * as fc from 'fast-check';
import {PROCESS_COUNT, World} from './rules-world';

const COMMANDS_PER_RUN = 400;

interface Oracle {
  readonly commands: number;
}

type Action = (world: World) => void;

function command(name: string, action: Action): fc.Command<Oracle, World> {
  return {
    check: () => true,
    run(_, world) {
      executedCommands += 1;
      world.nowMs += 20;
      action(world);
      world.check();
    },
    toString: () => name,
  };
}

let executedCommands = 0;

const processIndex = fc.nat({max: PROCESS_COUNT - 1});
const anyNumber = fc.nat({max: 10_000});
const writeFault = fc.constantFrom('none', 'none', 'lost', 'late');

function commands(): readonly fc.Arbitrary<fc.Command<Oracle, World>>[] {
  const deliver = anyNumber.map(n =>
    command(`deliver ${n}`, w => w.deliver(n, n % 8 === 0)),
  );
  const step = fc
    .tuple(anyNumber, writeFault, fc.nat({max: 2}))
    .map(([n, fault, back]) =>
      command(`operator ${n} ${fault} ${back}`, w =>
        w.stepOperator(n, fault as 'none', back === 2 ? 1 : 0),
      ),
    );
  return [
    deliver,
    deliver,
    deliver,
    deliver,
    deliver,
    step,
    step,
    anyNumber.map(n => command(`drop ${n}`, w => w.drop(n))),
    anyNumber.map(n => command(`corrupt ${n}`, w => w.corrupt(n))),
    processIndex.map(i =>
      command(`heartbeat ${i}`, w => w.broadcastHeartbeat(i)),
    ),
    processIndex.map(i => command(`tick ${i}`, w => w.tick(i))),
    fc
      .tuple(processIndex, fc.boolean())
      .map(([i, poller]) =>
        command(`members ${i} ${poller}`, w => w.members(i, poller)),
      ),
    fc
      .tuple(processIndex, processIndex)
      .map(([i, j]) => command(`lost ${i} ${j}`, w => w.losePeer(i, `p${j}`))),
    fc
      .tuple(anyNumber, fc.boolean())
      .map(([n, withBase]) =>
        command(`apply ${n}`, w => w.platform.startPublishing(n, withBase)),
      ),
    fc
      .tuple(processIndex, fc.nat({max: 3}))
      .map(([i, n]) => command(`stale ${i} ${n}`, w => w.staleRead(i, n))),
    fc.nat({max: 3_000}).map(ms => command(`wait ${ms}`, w => (w.nowMs += ms))),
    fc
      .boolean()
      .map(down => command(`platform ${down}`, w => (w.platform.down = down))),
    processIndex.map(i => command(`restart ${i}`, w => w.restart(i))),
    fc
      .nat({max: 3 * PROCESS_COUNT})
      .map(i =>
        command(`kill ${i}`, w => (i < PROCESS_COUNT ? w.kill(i) : undefined)),
      ),
    fc
      .tuple(processIndex, processIndex)
      .map(([i, j]) =>
        command(`cut ${i}>${j}`, w => w.cuts.add(`p${i}>p${j}`)),
      ),
    fc.nat({max: 30}).map(n =>
      command(`cut zones together ${n}`, w => {
        if (n < 3) w.cutTogether(n, 8_000);
      }),
    ),
    fc.nat({max: 3}).map(n =>
      command(`heal zones ${n}`, w => {
        if (n === 0) w.cutZones.clear();
      }),
    ),
    anyNumber.map(n =>
      command(`late write ${n}`, w => w.platform.deliverLateWrite(n)),
    ),
    fc.nat({max: 9}).map(n =>
      command(`converge ${n}`, w => {
        if (n === 0) w.converge(true);
        if (n === 1) w.converge(false);
      }),
    ),
  ];
}

/** Runs at least `steps` commands; throws with a shrunk trace on a failure. */
function run(seed: number, steps: number): void {
  executedCommands = 0;
  const arbitrary = fc.commands([...commands()], {
    maxCommands: COMMANDS_PER_RUN,
    size: 'max',
  });
  for (let round = 0; executedCommands < steps; round++) {
    fc.assert(
      fc.property(arbitrary, cmds => {
        const world = new World();
        fc.modelRun(() => ({model: {commands: 0}, real: world}), cmds);
        world.converge(true);
        world.check();
      }),
      {seed: seed + round, numRuns: 5},
    );
  }
}

export const model = {name: 'rules', run};
