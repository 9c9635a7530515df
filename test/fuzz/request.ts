/**
 * Stateful fuzz model of the request decision.
 *
 * Several requests run through one entry. Links delay, drop, duplicate, reorder
 * and misdeliver messages; sidecars die and restart. The oracle knows what each
 * engine ran and the expected answer of each request.
 */
import * as fc from 'fast-check';
import {ClaimOutcome} from '../../src/claims/claims';
import {MessageInFlight, RequestType, SimulatedSidecar} from './request-parts';
import {SIDECAR_COUNT, World} from './request-world';

interface EmptyModel {}

/** A command without a precondition. */
class Command implements fc.Command<EmptyModel, World> {
  static executed = 0;

  constructor(
    private readonly label: string,
    private readonly act: (world: World) => void,
  ) {}

  check(): boolean {
    return true;
  }

  run(_model: EmptyModel, world: World): void {
    Command.executed += 1;
    this.act(world);
  }

  toString(): string {
    return this.label;
  }
}

function messageIndex(world: World, at: number): number {
  return world.inFlight.length === 0 ? -1 : at % world.inFlight.length;
}

function takeMessage(world: World, at: number): MessageInFlight | undefined {
  const index = messageIndex(world, at);
  return index < 0 ? undefined : world.inFlight.splice(index, 1)[0];
}

function messageCommand(
  label: string,
  act: (world: World, at: number) => void,
): fc.Arbitrary<Command> {
  return fc
    .nat(50)
    .map(at => new Command(`${label}(${at})`, world => act(world, at)));
}

function sidecarCommand(
  label: string,
  act: (world: World, sidecar: SimulatedSidecar, value: number) => void,
): fc.Arbitrary<Command> {
  return fc
    .tuple(fc.nat(SIDECAR_COUNT - 1), fc.nat(3))
    .map(
      ([at, value]) =>
        new Command(`${label}(s${at}, ${value})`, world =>
          act(world, world.sidecars[at]!, value),
        ),
    );
}

/** Replaces the result of a claim or a retry by its failure. */
function replaceLocalResult(world: World, at: number): void {
  const index = messageIndex(world, at);
  const flight = world.inFlight[index];
  if (!flight) return;
  const {message} = flight;
  if (message.kind === 'retryAllowed') {
    world.inFlight[index] = {...flight, message: {...message, allowed: false}};
  }
  if (message.kind === 'claimed') {
    const outcome: ClaimOutcome = {kind: 'unavailable'};
    world.inFlight[index] = {...flight, message: {kind: 'claimed', outcome}};
  }
}

const deliverNext = messageCommand('deliver', (world, at) => {
  const flight = takeMessage(world, at % 3);
  if (flight) world.deliverMessage(flight);
});

const deliverAny = messageCommand('deliverAny', (world, at) => {
  const flight = takeMessage(world, at);
  if (flight) world.deliverMessage(flight);
});

/** Delivers the oldest messages in the order in which they were sent. */
const deliverInOrder = fc.integer({min: 1, max: 12}).map(
  count =>
    new Command(`deliverInOrder(${count})`, world => {
      const flights = world.inFlight.splice(0, count);
      for (const flight of flights) world.deliverMessage(flight);
    }),
);

/** Delivers a message to another request than its own. */
const misdeliver = fc.tuple(fc.nat(50), fc.nat(50)).map(
  ([at, to]) =>
    new Command(`misdeliver(${at}, ${to})`, world => {
      const lossy = world.inFlight.filter(f => f.lossy && !f.sidecar);
      const flight = lossy[at % Math.max(1, lossy.length)];
      const others = world.requests.filter(r => r.id !== flight?.requestId);
      if (flight) world.deliverMessage(flight, others[to % others.length]!.id);
    }),
);

const engineStep = sidecarCommand('engineStep', (world, sidecar, value) =>
  world.engineStep(sidecar, value, value + 1),
);

const commandKinds: readonly fc.Arbitrary<Command>[] = [
  fc
    .constantFrom<RequestType>('model', 'service', 'order')
    .map(kind => new Command(`open(${kind})`, world => world.open(kind))),
  deliverInOrder,
  deliverInOrder,
  deliverInOrder,
  deliverInOrder,
  deliverNext,
  deliverNext,
  deliverAny,
  deliverAny,
  engineStep,
  engineStep,
  engineStep,
  engineStep,
  engineStep,
  messageCommand('drop', (world, at) => {
    const index = messageIndex(world, at);
    if (world.inFlight[index]?.lossy) world.inFlight.splice(index, 1);
  }),
  messageCommand('duplicate', (world, at) => {
    const flight = world.inFlight[messageIndex(world, at)];
    if (flight?.lossy) world.inFlight.push(flight);
  }),
  misdeliver,
  misdeliver,
  messageCommand('otherResult', replaceLocalResult),
  sidecarCommand('full', (_world, sidecar, value) => {
    sidecar.full = value === 0;
  }),
  sidecarCommand('endpointDown', (_world, sidecar, value) => {
    sidecar.endpointDown = value === 0;
  }),
  sidecarCommand('engineFails', (world, sidecar, value) =>
    world.engineFails(sidecar, value),
  ),
  sidecarCommand('revoke', (world, sidecar) => {
    for (const [grantId, {requestId}] of sidecar.grants) {
      const message = {kind: 'revoke', sidecar: sidecar.name, grantId} as const;
      world.sendToEntry(requestId, message, sidecar);
    }
    sidecar.grants.clear();
  }),
  sidecarCommand('breakLink', (world, sidecar) => world.breakLink(sidecar)),
  sidecarCommand('kill', (world, sidecar) => world.kill(sidecar)),
  sidecarCommand('relink', (world, sidecar) => world.relink(sidecar)),
  sidecarCommand('relink', (world, sidecar) => world.relink(sidecar)),
  sidecarCommand('silent', (world, {name}, value) => {
    const request = world.requests[value];
    if (request) world.post(request, {kind: 'silent', sidecar: name});
  }),
  messageCommand('callerGone', (world, at) => {
    const request = world.requests[at % Math.max(1, world.requests.length)];
    if (!request || at >= 5) return;
    request.callerGone = true;
    world.post(request, {kind: 'callerGone'});
  }),
  fc
    .integer({min: 1, max: 60})
    .map(ms => new Command(`advance(${ms})`, world => world.advance(ms))),
];

const MAX_COMMANDS = 200;

const RUNS_PER_SEED = 20;

export const model = {
  /** Runs at least `steps` commands; throws on a violation. */
  run(seed: number, minCommands: number): void {
    Command.executed = 0;
    const commands = fc.commands([...commandKinds], {
      maxCommands: MAX_COMMANDS,
      size: 'max',
    });
    const property = fc.property(commands, list => {
      const world = new World();
      for (const kind of ['model', 'service', 'order'] as const) {
        world.open(kind);
      }
      fc.modelRun(() => ({model: {}, real: world}), list);
      world.endFaults();
    });
    for (let part = 0; Command.executed < minCommands; part += 1) {
      fc.assert(property, {seed: seed + part, numRuns: RUNS_PER_SEED});
    }
  },
};
