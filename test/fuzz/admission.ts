/**
 * A stateful fuzz test of the sidecar's admission decision.
 *
 * Entries send offers, starts and withdrawals that may be delayed, repeated,
 * dropped, reordered or based on expired grants. Entries fail, the sidecar
 * restarts, the engine turns cold, and operators take the zone out. The
 * oracle keeps records of its own from the messages and effects alone and
 * checks every effect against them.
 */
import * as fc from 'fast-check';
import {AdmissionMessage} from '../../src/capacity/admission';
import {checkFairSharing} from './admission-fairness';
import {MAX_CONCURRENT} from './admission-oracle';
import {ACCOUNTS, CALLERS, ENTRIES, World} from './admission-world';

type Command = fc.Command<Counter, World>;

/** Counts the commands that ran; all other records are the oracle's. */
interface Counter {
  steps: number;
}

function command(
  name: string,
  run: (world: World) => void,
  ready: () => boolean = () => true,
): Command {
  return {
    check: ready,
    run(counter, world) {
      counter.steps += 1;
      run(world);
    },
    toString: () => name,
  };
}

/** Picks by relative place, from 0 for the newest to 1; favors new elements. */
function pickRecent<T>(items: readonly T[], place: number): T | undefined {
  return items[items.length - 1 - Math.floor(place * place * items.length)];
}

/** Delivers a message now, or keeps it for a `deliver` or `drop` command. */
function sendOrDelay(
  world: World,
  message: AdmissionMessage,
  late: boolean,
): void {
  if (late) world.delayed.push(message);
  else world.deliver(message);
}

const place = fc.double({min: 0, max: 0.999, noNaN: true});
const late = fc.boolean();
const entryName = fc.constantFrom(...ENTRIES);

const offerCommand = fc
  .record({
    entry: entryName,
    account: fc.constantFrom(...ACCOUNTS),
    caller: fc.constantFrom(...CALLERS),
    promptTokens: fc.oneof(fc.nat(100), fc.nat(800)),
    maxOutputTokens: fc.oneof(fc.nat(50), fc.nat(300)),
    priority: fc.constantFrom(1, 5, 5, 5),
    lifeMs: fc.integer({min: -10, max: 5_000}),
    late,
  })
  .map(({entry, lifeMs, late, ...parts}) =>
    command(`offer ${JSON.stringify({entry, lifeMs, late, ...parts})}`, w => {
      const offer = w.newOffer({...parts, deadlineMs: w.nowMs + lifeMs});
      sendOrDelay(w, {kind: 'offer', entry, offer}, late);
    }),
  );

const startCommand = fc
  .record({place, late, entryChoice: fc.nat(9), size: fc.nat(200)})
  .map(({place, late, entryChoice, size}) =>
    command(`start ${place} ${late} ${entryChoice} ${size}`, w => {
      const held = pickRecent(w.issuedGrants, place);
      if (!held) return;
      const entry = entryChoice === 0 ? 'e2' : held.entry;
      const standing =
        held.grant.requestId === ''
          ? w.newOffer({promptTokens: size})
          : undefined;
      const message = w.startMessage(entry, held.grant, standing);
      sendOrDelay(w, message, late);
    }),
  );

const withdrawCommand = fc
  .record({place, late, entry: entryName})
  .map(({place, late, entry}) =>
    command(`withdraw ${place} ${late} ${entry}`, w => {
      const offer = pickRecent([...w.offers.values()], place);
      if (!offer) return;
      const {requestId, attempt} = offer;
      const ref = {requestId, attempt};
      sendOrDelay(w, {kind: 'withdraw', entry, ref}, late);
    }),
  );

const ENTRY_MESSAGE_KINDS = new Set(['offer', 'start', 'withdraw', 'standing']);

const repeatCommand = place.map(place =>
  command(`repeat ${place}`, w => {
    const message = pickRecent(w.history, place);
    if (message && ENTRY_MESSAGE_KINDS.has(message.kind)) w.deliver(message);
  }),
);

const deliverCommand = place.map(place =>
  command(`deliver ${place}`, w => {
    const index = Math.floor(place * w.delayed.length);
    const [message] = w.delayed.splice(index, 1);
    if (message) w.deliver(message);
  }),
);

const dropCommand = place.map(place =>
  command(`drop ${place}`, w => {
    w.delayed.splice(Math.floor(place * w.delayed.length), 1);
  }),
);

const endCommand = fc
  .record({place, used: place})
  .map(({place, used}) =>
    command(`end ${place} ${used}`, w => endAttempt(w, place, used)),
  );

function endAttempt(world: World, place: number, used: number): void {
  const all = [...world.oracle.running.values()];
  const offer = all[Math.floor(place * all.length)];
  if (!offer) return;
  const output = Math.floor(used * offer.maxOutputTokens);
  const tokens = offer.promptTokens + output;
  world.deliver({kind: 'ended', ref: offer, tokens});
}

const prefillCommand = place.map(place =>
  command(`prefilled ${place}`, w => {
    const offer = pickRecent([...w.oracle.running.values()], place);
    if (offer) w.deliver({kind: 'prefilled', ref: offer});
  }),
);

const stepCommand = fc
  .record({
    stepMs: fc.oneof(
      {weight: 8, arbitrary: fc.integer({min: 20, max: 50})},
      {weight: 1, arbitrary: fc.integer({min: 51, max: 400})},
    ),
    count: fc.integer({min: 1, max: 4}),
    steps: fc.integer({min: 1, max: 12}),
    batch: fc.nat(MAX_CONCURRENT),
  })
  .map(({stepMs, count, steps, batch}) =>
    command(`step ${stepMs} x${count}x${steps} of ${batch}`, w => {
      for (let i = 0; i < count; i += 1) {
        w.deliver({kind: 'step', stepMs, batch, steps});
      }
    }),
  );

const engineCommand = fc
  .nat(4)
  .map(n =>
    command(`engine ${n}`, w => w.deliver({kind: 'engine', instance: `g${n}`})),
  );

const suspectCommand = fc.constant(
  command('suspect', w => w.deliver({kind: 'suspect'})),
);

const standingCommand = fc
  .record({entry: entryName, wanted: fc.nat(4)})
  .map(({entry, wanted}) =>
    command(`standing ${entry} ${wanted}`, w =>
      w.deliver({kind: 'standing', entry, wanted}),
    ),
  );

const entryLostCommand = entryName.map(entry =>
  command(`entry lost ${entry}`, w => w.deliver({kind: 'entryLost', entry})),
);

const rulesCommand = fc
  .record({zoneOut: fc.nat(3), retired: fc.nat(5)})
  .map(({zoneOut, retired}) =>
    command(`rules ${zoneOut === 0} ${retired === 0}`, w =>
      w.deliver(w.rulesMessage(zoneOut === 0, retired === 0)),
    ),
  );

const leavingCommand = fc
  .nat(3)
  .map(n =>
    command(`leaving ${n === 0}`, w =>
      w.deliver({kind: 'leaving', leaving: n === 0}),
    ),
  );

const restartCommand = fc.constant(
  command('sidecar restart', w => w.restart()),
);

const timeCommand = fc.integer({min: 1, max: 3_000}).map(ms =>
  command(`${ms} ms pass`, w => {
    w.nowMs += ms;
    w.deliver({kind: 'tick'});
  }),
);

const fairnessCommand = fc
  .integer()
  .map(seed =>
    command(`check fair sharing ${seed}`, w => checkFairSharing(w, seed)),
  );

const anyCommand = fc.oneof(
  {weight: 40, arbitrary: offerCommand},
  {weight: 40, arbitrary: startCommand},
  {weight: 10, arbitrary: withdrawCommand},
  {weight: 15, arbitrary: repeatCommand},
  {weight: 20, arbitrary: deliverCommand},
  {weight: 5, arbitrary: dropCommand},
  {weight: 25, arbitrary: endCommand},
  {weight: 10, arbitrary: prefillCommand},
  {weight: 15, arbitrary: stepCommand},
  {weight: 5, arbitrary: engineCommand},
  {weight: 3, arbitrary: suspectCommand},
  {weight: 8, arbitrary: standingCommand},
  {weight: 3, arbitrary: entryLostCommand},
  {weight: 4, arbitrary: rulesCommand},
  {weight: 4, arbitrary: leavingCommand},
  {weight: 2, arbitrary: restartCommand},
  {weight: 15, arbitrary: timeCommand},
  {weight: 1, arbitrary: fairnessCommand},
);

const COMMANDS_PER_RUN = 200;
const RUNS_PER_ROUND = 10;

function run(seed: number, steps: number): void {
  const counter: Counter = {steps: 0};
  const sequences = fc.commands([anyCommand], {
    maxCommands: COMMANDS_PER_RUN,
    size: 'max',
  });
  for (let round = 0; counter.steps < steps; round += 1) {
    fc.assert(
      fc.property(sequences, commands => {
        fc.modelRun(() => ({model: counter, real: new World()}), commands);
      }),
      {seed: seed + round, numRuns: RUNS_PER_ROUND},
    );
  }
}

/** `run` throws on the first violation, with the shrunk commands. */
export const model = {name: 'admission', run};
