/**
 * Streams of three urgencies that compete for too little room.
 *
 * Guards against the most urgent being refused most often, against less urgent
 * ones that get nothing, and against waits for a turn that cannot come.
 */
import {expect} from 'chai';
import * as fc from 'fast-check';
import {
  emptyRoomHistory,
  isStarved,
  recordRoom,
  roomDelayMs,
  roomPerS,
  urgentWait,
} from '../src/gateway/urgency';
import {waitLimit} from '../src/gateway/waitlimit';
import {ROUTE} from './deploymentmodel';
import {CallerResult, PassModel} from './passmodel';

const SEEDS = [1, 2, 3];
const FROM_MS = 3_000;
const END_MS = 11_000;
const ANSWER_MS = 4_000;

const ROUTES = [503, 503, 1_003].map((targetLatencyMs, priority) => ({
  ...ROUTE,
  name: `r${priority}`,
  targetGapMs: 150,
  targetLatencyMs,
  priority,
}));

const CLASSES = {priorities: [0, 1, 2], latencyMs: 503};
const WAIT = {nowMs: 0, deadlineMs: 8_000, meanAnswerMs: 1_500, ahead: 0};

async function run(
  waitsByUrgency: boolean,
  requestsPerS: number,
): Promise<readonly CallerResult[]> {
  const results: CallerResult[] = [];
  for (const seed of SEEDS) {
    const model = new PassModel({
      seed,
      ...{gateways: 12, groups: 1, ranks: 24, limitsRequests: true},
      routes: ROUTES,
      waitsByUrgency,
      skew: () => 1.8,
      requestsPerS: () => requestsPerS,
    });
    await model.runUntil(END_MS + ANSWER_MS);
    results.push(...model.sentBetween(FROM_MS, END_MS));
  }
  return results;
}

/** Share of each class, the most urgent first, that ended so. */
function shares(
  results: readonly CallerResult[],
  ...outcomes: readonly CallerResult['outcome'][]
): readonly number[] {
  return ROUTES.map(route => {
    const all = results.filter(r => r.route === route);
    return all.filter(r => outcomes.includes(r.outcome)).length / all.length;
  });
}

describe('streams of three urgencies with too little room', () => {
  for (const perS of [90, 130]) {
    it(`are served by urgency, and none starves (${perS} a second)`, async () => {
      const [old, now] = [await run(false, perS), await run(true, perS)];
      for (const [name, results] of Object.entries({old, now})) {
        const [served, onTime, refused] = [
          shares(results, 'on time', 'late'),
          shares(results, 'on time'),
          shares(results, 'refused'),
        ].map(list => list.map(n => n.toFixed(3)).join(' '));
        const figures = `served ${served}, on time ${onTime}, refused ${refused}`;
        console.log(`      ${name}: ${figures}`);
      }
      const served = shares(now, 'on time', 'late');
      const whole = served.reduce((a, b) => a + b, 0) / served.length;
      expect(served[0]).to.be.at.least(served[1]! - 0.05);
      expect(served[1]).to.be.at.least(served[2]! - 0.05);
      expect(Math.min(...served)).to.be.at.least(whole / 4);
      const [urgentBefore] = shares(old, 'on time');
      const [urgentNow] = shares(now, 'on time');
      expect(urgentNow).to.be.above(urgentBefore!);
    }).timeout(120_000);
  }
});

describe('the wait of a request by its urgency', () => {
  const conditions = {...WAIT, classes: CLASSES, isStarved: false};

  it('is shorter for less urgent classes, whatever their target latency', () => {
    const waits = ROUTES.map(
      (route, urgency) =>
        urgentWait({...conditions, route, urgency, roomPerS: 10}).untilMs,
    );
    expect(waits[0]).to.be.above(waits[1]!);
    expect(waits[1]).to.be.above(waits[2]!);
  });

  it('is as before if all routes have one priority, and after a refusal', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 0, max: 8_000}),
        fc.boolean(),
        fc.nat(100),
        (nowMs, isSole, ahead) => {
          const deadlineMs = 8_000;
          const route = ROUTES[0]!;
          const classes = isSole ? {...CLASSES, priorities: [1]} : CLASSES;
          const time = {...conditions, route, nowMs, deadlineMs, classes};
          const before = waitLimit(time);
          const now = urgentWait({...time, ahead, urgency: 0, roomPerS: 0.1});
          if (!isSole && before.callerMayRetry) return;
          expect(now).to.deep.equal({...before, isHopeless: false});
        },
      ),
      {seed: 3},
    );
  });

  it('is none if more stands before the request than can be served', () => {
    const at = (ahead: number, perS: number) =>
      urgentWait({
        ...conditions,
        route: ROUTES[0]!,
        urgency: 0,
        ahead,
        roomPerS: perS,
      }).isHopeless;
    // 352 ms at 10 a second free 3.5 slots.
    expect(at(4, 10)).to.equal(false);
    expect(at(5, 10)).to.equal(true);
    expect(at(0, 0)).to.equal(false);
  });

  it('ends with a time to return that is spread and within what callers wait', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 6_000, max: 8_000}),
        fc.nat(200),
        fc.double({min: 0, max: 100, noNaN: true}),
        (deadlineMs, ahead, perS) => {
          const at = {nowMs: 0, deadlineMs, ahead, roomPerS: perS};
          const [first, last] = [() => 0, () => 0.99].map(r =>
            roomDelayMs(at, r),
          );
          expect(first).to.be.within(1, deadlineMs / 3);
          expect(last).to.be.within(1, deadlineMs / 3);
          expect(first).to.not.equal(last);
        },
      ),
      {seed: 5},
    );
  });
});

describe('the room of an entry', () => {
  it('is known soon after the start, and forgotten soon after it ends', () => {
    let history = emptyRoomHistory(0);
    for (let ms = 100; ms <= 5_000; ms += 100) {
      history = recordRoom(history, {freed: 2}, ms);
      if (ms >= 500) expect(roomPerS(history, ms)).to.be.within(15, 30);
    }
    expect(roomPerS(history, 10_000)).to.be.below(1);
  });

  it('goes first to a class that gets less than a quarter of its share', () => {
    let history = emptyRoomHistory(0);
    for (let i = 0; i < 100; i++) {
      history = recordRoom(history, {arrived: i % 2, placed: 0}, i * 10);
    }
    expect(isStarved(history, 1)).to.equal(true);
    expect(isStarved(history, 0)).to.equal(false);
  });
});
