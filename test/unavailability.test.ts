/**
 * Endpoints that take no new requests, in virtual time.
 *
 * Guards against choices that bring such an endpoint back: as a last resort, for
 * a retry, for a waiting request or after an older registration.
 */
import {IncomingHttpHeaders} from 'node:http';
import {expect} from 'chai';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {VirtualClock} from '../bench/support/virtualclock';
import {platformHeaders} from '../platform/headers';
import {RequestDispatcher} from '../src/gateway/dispatcher';
import {Exchange} from '../src/gateway/exchange';
import {Endpoint} from '../src/gateway/model';
import {
  applyRegistration,
  isUnavailable,
  markLeaving,
  markPaused,
  removeElapsed,
  noUnavailableEndpoints,
} from '../src/gateway/unavailability';
import {LogFields} from '../src/observe/log';
import {createDispatcher, registeredEndpoint, ROUTE} from './deploymentmodel';

const SEEDS = 30;
const STEPS = 200;
const ENDPOINTS = 4;
const SLOTS = 2;
/** Time from one step to the next, at most. */
const MAX_STEP_MS = 400;

function endpoint(id: string, startedMs?: number): Endpoint {
  return {...registeredEndpoint(id, 1, 'z', SLOTS), startedMs};
}

interface Line extends LogFields {
  readonly event: string;
}

/** One gateway whose endpoints say at random that they are unavailable. */
class UnavailabilityModel {
  readonly clock = new VirtualClock();
  readonly lines: Line[] = [];
  /** Endpoints that were sent a request although they were unavailable. */
  readonly wrongSends: string[] = [];
  sends = 0;
  private readonly random: () => number;
  private readonly dispatcher: RequestDispatcher;
  private readonly started: number[] = [];
  /** Times until which processes are unavailable, by id and start. */
  private readonly untilMs = new Map<string, number>();

  constructor(seed: number) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    this.dispatcher = createDispatcher({
      instance: 'g',
      zone: 'z',
      clock: this.clock,
      random: this.random,
      log: (_, event, fields) => this.lines.push({event, ...fields}),
    });
    for (let i = 0; i < ENDPOINTS; i++) {
      this.started.push(1);
      this.register(i);
    }
  }

  async run(steps: number): Promise<void> {
    for (let step = 0; step < steps; step++) {
      this.change(Math.floor(this.random() * ENDPOINTS));
      for (let i = 0; i < 3; i++) this.submit();
      const ms = Math.floor(this.random() * MAX_STEP_MS);
      let passed = false;
      this.clock.after(ms, () => (passed = true));
      while (!passed) await this.clock.run(this.clock.elapsedMs() + ms);
    }
  }

  private change(i: number): void {
    const id = `e${i}`;
    const kind = Math.floor(this.random() * 6);
    if (kind === 0) this.register(i);
    if (kind === 1) this.report(id);
    if (kind === 2) this.unregister(id);
    if (kind === 3 && this.random() < 0.5) {
      this.started[i]! += 1;
      this.register(i);
    }
  }

  private register(i: number): void {
    const registered = {
      ...registeredEndpoint(`e${i}`, i, 'z', SLOTS),
      startedMs: this.started[i],
    };
    const change = new Map([[registered.id, registered]]);
    this.dispatcher.handleEndpointChange(change, false);
  }

  private unregister(id: string): void {
    this.dispatcher.handleEndpointChange(new Map([[id, undefined]]), false);
  }

  private report(id: string): void {
    this.dispatcher.handleLoadReport(
      {
        id,
        running: 0,
        queued: 0,
        group: 'g',
        open: true,
        pace: 1,
        limitPerS: undefined,
        share: undefined,
      },
      1,
    );
  }

  private submit(): void {
    const arrivedMs = this.clock.elapsedMs();
    const finish = () => {
      if (exchange.hasEnded) return;
      exchange.hasEnded = true;
      const result = {outcome: '', status: 0, tries: []};
      this.dispatcher.finishExchange(exchange as unknown as Exchange, result);
    };
    const exchange = {
      incoming: {
        service: 's',
        route: ROUTE,
        account: undefined,
        arrivedMs,
        metadata: {requestId: '', sharedParts: []},
      },
      deadlineMs: arrivedMs + ROUTE.timeoutMs * this.random(),
      triedEndpoints: new Set<string>(),
      hasEnded: false,
      refuse: finish,
      send: (sent: Endpoint) => this.handleSend(sent, exchange, finish),
    };
    this.dispatcher.submit(exchange as unknown as Exchange);
  }

  private handleSend(
    sent: Endpoint,
    exchange: {triedEndpoints: Set<string>},
    finish: () => void,
  ): void {
    const process = `${sent.id}/${sent.startedMs}`;
    const nowMs = this.clock.elapsedMs();
    this.sends += 1;
    const untilMs = this.untilMs.get(process) ?? -Infinity;
    if (untilMs > nowMs) this.wrongSends.push(process);
    exchange.triedEndpoints.add(sent.id);
    this.clock.after(this.random() * 300, () => {
      this.answer(sent, process);
      const fails = this.random() < 0.3;
      const whole = exchange as unknown as Exchange;
      const evidence = fails ? 'fails' : 'works';
      this.dispatcher.releaseEndpoint(whole, sent.id, evidence);
      if (fails && exchange.triedEndpoints.size < 3) {
        this.dispatcher.place(whole);
      } else {
        finish();
      }
    });
  }

  private answer(sent: Endpoint, process: string): void {
    const registration = {
      ...sent,
      coldUntilMs: 0,
      goneSinceMs: undefined,
      excludedUntilMs: 0,
    };
    if (this.random() < 0.1) {
      const ms = this.random() < 0.02 ? 1e15 : this.random() * 3_000;
      const nowMs = this.clock.elapsedMs();
      const untilMs = this.untilMs.get(process) ?? -Infinity;
      this.untilMs.set(process, Math.max(untilMs, nowMs + ms));
      this.dispatcher.reportPause(registration, ms);
    }
    if (this.random() < 0.02) {
      this.untilMs.set(process, Infinity);
      this.dispatcher.reportLeaving(registration);
    }
  }
}

describe('unavailable endpoints', () => {
  it('are not chosen whatever else happens to endpoints and requests', async () => {
    let sends = 0;
    for (let seed = 1; seed <= SEEDS; seed++) {
      const model = new UnavailabilityModel(seed);
      await model.run(STEPS);
      expect(model.wrongSends, `seed ${seed}`).to.deep.equal([]);
      sends += model.sends;
    }
    expect(sends).to.be.above(SEEDS * STEPS);
  });

  it('are logged once when they become unavailable and once when it ends', async () => {
    const model = new UnavailabilityModel(1);
    await model.run(STEPS);
    const reasons = new Map<unknown, unknown>();
    const causes = new Set<unknown>();
    for (const {event, endpoint: id, reason, cause} of model.lines) {
      if (event === 'endpoint unavailable') {
        // An endpoint that has asked for a pause may leave, but not the reverse.
        const before =
          reason === 'leaving' ? [undefined, 'pause'] : [undefined];
        expect(before).to.include(reasons.get(id));
        reasons.set(id, reason);
      } else if (event === 'endpoint available again') {
        expect(reasons.get(id)).to.equal(reason);
        reasons.delete(id);
        causes.add(cause);
      }
    }
    expect([...causes]).to.have.members(['pause over', 'other process']);
  });
});

describe('endpoint that asks for a pause', () => {
  const e = endpoint('e', 1);
  const paused = markPaused(noUnavailableEndpoints, e, 2_000);

  it('is unavailable from its answer to the end of the pause', () => {
    expect(isUnavailable(paused, 'e', 0)).to.equal(true);
    expect(isUnavailable(paused, 'e', 1_999)).to.equal(true);
    expect(isUnavailable(paused, 'e', 2_000)).to.equal(false);
    expect(removeElapsed(paused, 1_999).size).to.equal(1);
    expect(removeElapsed(paused, 2_000).size).to.equal(0);
  });

  it('is unavailable for the longest of its pauses', () => {
    const shorter = markPaused(paused, e, 1_000);
    expect(isUnavailable(shorter, 'e', 1_999)).to.equal(true);
    const longer = markPaused(shorter, e, 3_000);
    expect(isUnavailable(longer, 'e', 2_999)).to.equal(true);
  });

  it('stays unavailable after the pause if it is leaving', () => {
    const both = markLeaving(paused, e);
    const again = markPaused(both, e, 3_000);
    expect(isUnavailable(removeElapsed(again, 5_000), 'e', 5_000)).to.equal(
      true,
    );
  });

  it('is available to a process that registers under its id', () => {
    const endless = markPaused(paused, e, 1e15);
    expect(applyRegistration(endless, e)).to.equal(endless);
    const other = applyRegistration(endless, endpoint('e', 2));
    expect(isUnavailable(other, 'e', 0)).to.equal(false);
  });

  it('has its Retry-After read as seconds or as a date', () => {
    const now = new Date('2026-05-04T10:00:00Z');
    const date = 'Mon, 04 May 2026 10:00:05 GMT';
    const read = (status: number, headers: IncomingHttpHeaders) =>
      platformHeaders.readAnswer(status, headers, now).pauseMs;
    const cases: readonly [string, number | undefined][] = [
      ['2', 2_000],
      [' 0.4 ', 400],
      ['.5', 500],
      ['1000000000000', 1e15],
      ['1e12', 1e15],
      ['0', undefined],
      ['0.0', undefined],
      ['-1', undefined],
      ['abc', undefined],
      ['abc 1', undefined],
      ['', undefined],
      ['NaN', undefined],
      ['Infinity', undefined],
      ['0x10', undefined],
      ['2 s', undefined],
      ['Mon, abc', undefined],
      ['Mon, 99:99', undefined],
      [date, 5_000],
      ['Monday, 04-May-26 10:00:05 GMT', 5_000],
      ['Mon May  4 10:00:05 2026', 5_000],
      ['Mon, 04 May 2026 09:59:59 GMT', undefined],
    ];
    for (const [text, ms] of cases) {
      expect(read(503, {'retry-after': text}), text).to.equal(ms);
    }
    const ahead = 'Mon, 04 May 2026 10:00:03 GMT';
    expect(read(503, {'retry-after': date, date: ahead})).to.equal(2_000);
    expect(read(503, {'retry-after': date, date: 'soon'})).to.equal(5_000);
    expect(read(503, {})).to.equal(undefined);
    expect(read(429, {'retry-after': '2'})).to.equal(undefined);
    expect(read(200, {'retry-after': '2'})).to.equal(undefined);
  });
});

describe('endpoint that is leaving', () => {
  const leaving = markLeaving(noUnavailableEndpoints, endpoint('e', 1));

  it('stays unavailable until the start of its process differs', () => {
    const again = applyRegistration(leaving, endpoint('e', 1));
    expect(isUnavailable(again, 'e', 1e15)).to.equal(true);
    const other = applyRegistration(again, endpoint('f', 2));
    expect(isUnavailable(other, 'e', 0)).to.equal(true);
    expect(isUnavailable(other, 'f', 0)).to.equal(false);
    const earlier = applyRegistration(other, endpoint('e', 0));
    expect(isUnavailable(earlier, 'e', 0)).to.equal(false);
  });

  it('stays unavailable for a registration without the start of its process', () => {
    const unnamed = applyRegistration(leaving, endpoint('e'));
    expect(isUnavailable(unnamed, 'e', 0)).to.equal(true);
    const never = markLeaving(noUnavailableEndpoints, endpoint('e'));
    const named = applyRegistration(never, endpoint('e', 1));
    expect(isUnavailable(named, 'e', 0)).to.equal(true);
    const other = applyRegistration(named, endpoint('e', 2));
    expect(isUnavailable(other, 'e', 0)).to.equal(false);
  });

  it('does not fill the memory with ids that never return', () => {
    let all = leaving;
    for (let i = 0; i < 5_000; i++)
      all = markLeaving(all, endpoint(`e${i}`, 1));
    expect(all.size).to.be.at.most(1_024);
    expect(isUnavailable(all, 'e4999', 0)).to.equal(true);
  });
});
