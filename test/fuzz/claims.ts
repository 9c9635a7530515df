/**
 * Fuzz model of non-idempotent requests: several entries and sidecars, one
 * table, and callers that repeat keys at any entry.
 *
 * The model runs the real decisions (claim, settle, batch, outcomes). Messages
 * are reordered, lost or repeated; processes die, pause and resume; the table
 * is down, slow, or loses a reply after the write took effect. The oracle
 * counts executions per key at the endpoint.
 */
import * as fc from 'fast-check';
import {World} from './claims-world';

interface Step {
  readonly name: string;
  readonly run: (world: World) => void;
}

/** Delivers what is due, in order. */
function drain({traffic}: World, count: number): void {
  for (let i = 0; i < count; i++) traffic.deliver(0);
}

const nat = fc.nat({max: 1_000});

function step(
  name: string,
  run: (world: World, a: number, b: number, c: number) => void,
): fc.Arbitrary<Step> {
  return fc.tuple(nat, nat, nat).map(([a, b, c]) => ({
    name: `${name}(${a},${b},${c})`,
    run: world => run(world, a, b, c),
  }));
}

/** The weights let requests make progress between the faults. */
const STEPS: readonly (readonly [number, fc.Arbitrary<Step>])[] = [
  [10, step('call', (w, a, b, c) => w.call(a, b, c))],
  [10, step('deliver', (w, a) => w.traffic.deliver(a))],
  [24, step('drain', (w, a) => drain(w, 1 + (a % 12)))],
  [8, step('advance', (w, a) => w.advance(1 + ((a * 7) % 400)))],
  [2, step('leap', (w, a) => w.advance(a * 10))],
  [8, step('execute', (w, a, b) => w.execute(a, b))],
  [4, step('drop', (w, a) => w.traffic.drop(a))],
  [3, step('repeat', (w, a) => w.traffic.repeat(a))],
  [8, step('delay', (w, a, b) => w.traffic.delay(a, 3 * b))],
  [3, step('timeout', (w, a) => w.traffic.timeoutTable(a))],
  [4, step('suspect', (w, a, b) => w.suspectLink(a, b))],
  [2, step('giveUp', (w, a, b) => w.expireCallerDeadline(a, b))],
  [2, step('killEntry', (w, a) => w.killEntry(a))],
  [3, step('pauseEntry', (w, a) => w.pauseEntry(a))],
  [4, step('resumeEntry', (w, a) => w.resumeEntry(a))],
  [1, step('killSidecar', (w, a) => w.killSidecar(a))],
  [2, step('pauseSidecar', (w, a) => w.pauseSidecar(a))],
  [3, step('resumeSidecar', (w, a) => w.resumeSidecar(a))],
  [1, step('tableDown', w => w.setTableUp(false))],
  [2, step('tableUp', w => w.setTableUp(true))],
];

class Command implements fc.Command<object, World> {
  constructor(private readonly step: Step) {}
  check(): boolean {
    return true;
  }
  run(_model: object, world: World): void {
    world.steps += 1;
    this.step.run(world);
  }
  toString(): string {
    return this.step.name;
  }
}

const MAX_COMMANDS = 400;
/** Gives the rounds of neighbouring seeds different seeds. */
const ROUNDS_PER_SEED = 10_000;

function commandSequence(): fc.Arbitrary<Iterable<fc.Command<object, World>>> {
  const steps = fc.oneof(
    ...STEPS.map(([weight, arbitrary]) => ({weight, arbitrary})),
  );
  const commands = steps.map(s => new Command(s));
  return fc.commands([commands], {maxCommands: MAX_COMMANDS, size: 'max'});
}

/** Counts that show whether a run reached the cases under test. */
export interface Tally {
  steps: number;
  executions: number;
  tombstones: number;
  recorded: number;
  unknown: number;
  notRun: number;
  forgotten: number;
  keys: number;
}

/** Runs at least `steps` commands and throws when the oracle is violated. */
export function run(seed: number, steps: number): Tally {
  const tally: Tally = {
    steps: 0,
    executions: 0,
    tombstones: 0,
    recorded: 0,
    unknown: 0,
    notRun: 0,
    forgotten: 0,
    keys: 0,
  };
  for (let round = 0; tally.steps < steps; round++) {
    const property = fc.property(
      commandSequence(),
      fc.boolean(),
      (all, small) => {
        const world = new World(small);
        fc.modelRun(() => ({model: {}, real: world}), all);
        world.settle();
        world.addTo(tally);
      },
    );
    fc.assert(property, {seed: seed * ROUNDS_PER_SEED + round, numRuns: 20});
  }
  return tally;
}

export const model = {
  name: 'claims',
  run(seed: number, steps: number): void {
    run(seed, steps);
  },
};
