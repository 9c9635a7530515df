/**
 * Connections to the store that go silent without an error, end to end over
 * loopback, and the times that this takes.
 *
 * Guards against requests to an endpoint that has left, or to a service that a
 * route has been taken from, later than the platform allows after the change.
 */
import {expect} from 'chai';
import * as fc from 'fast-check';
import {
  confirmedAgeMs,
  noticeMs,
  recoveryMs,
  watchTimes,
} from '../src/gateway/watchtimes';
import {waitUntil} from '../standins/binaryprocess';
import {sendAsCaller} from '../standins/caller';
import {answerWith, EndpointStandin} from '../standins/endpoint';
import {StoreStandin} from '../standins/store';
import {TcpProxy} from '../standins/tcpproxy';
import {PlatformEntry, startEntries} from './platformentries';

const HOST = 'desk.example';
const BOUNDS = {drainMs: 2_000, configurationMs: 2_000, contactMs: 3_000};
const REQUEST_INTERVAL_MS = 20;

function configuration(version: number, service: string): object {
  return {
    version,
    routes: [
      {
        name: 'look',
        host: HOST,
        prefix: '/look/',
        kind: 'idempotent',
        'timeout-ms': 1_500 + version,
        service,
        public: true,
      },
    ],
    services: [{name: 'old'}, {name: 'new'}],
    limits: {},
  };
}

function pause(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, Math.max(0, ms)));
}

/** What happens to one entry; times are from the silence, in milliseconds. */
interface Scene {
  /** When an endpoint leaves or the route moves to another service. */
  readonly changeMs: number;
  /** Changes of the configuration without an effect. */
  readonly otherChangesMs?: readonly number[];
  /**
   * Whether the configuration has changed before, which may leave idle
   * connections behind.
   */
  readonly isChangedBefore?: boolean;
  /** Connections that stay open; all go silent if absent. */
  readonly isSpared?: (opened: number) => boolean;
}

type Change = 'drain' | 'removal' | 'route';

/** An entry with its own store, and two endpoints of each service. */
class SilentStoreScene {
  private readonly store = new StoreStandin();
  private readonly proxy = new TcpProxy();
  private readonly endpoints = [1, 2, 3].map(
    n => new EndpointStandin(answerWith(`${n}`)),
  );
  private entry!: PlatformEntry;
  private version = 0;
  private requests = 0;
  private stopped = false;

  private register(n: number, service: string, state = 'ready'): void {
    this.store.put('servers', `i-${n}`, {
      service,
      address: this.endpoints[n - 1]!.address,
      zone: 'z1',
      slots: 64,
      state,
    });
  }

  private configure(service: string): void {
    this.version += 1;
    this.store.put('op', 'config', configuration(this.version, service));
  }

  /** The endpoint that answers; undefined if none does. */
  private async send(): Promise<string | undefined> {
    this.requests += 1;
    const reply = await sendAsCaller({
      entry: this.entry.address,
      path: '/look/1',
      headers: {Host: HOST, 'Boragemill-Request-Id': `r-${this.requests}`},
    }).catch(() => undefined);
    return reply?.status === 200 ? reply.body : undefined;
  }

  /** The time of the last request to the endpoint that should get none. */
  async play(change: Change, scene: Scene): Promise<number> {
    const {changeMs, otherChangesMs = [], isSpared = () => false} = scene;
    const address = await this.proxy.start(await this.store.start());
    for (const endpoint of this.endpoints) await endpoint.start();
    this.register(1, 'old');
    this.register(2, 'old');
    this.register(3, 'new');
    this.configure('old');
    [this.entry] = (await startEntries(1, address, BOUNDS)) as [PlatformEntry];
    await waitUntil(
      async () => (await this.send()) !== undefined,
      'the entry to serve',
    );
    if (scene.isChangedBefore) this.configure('old');
    await pause(800);
    const startMs = performance.now();
    const untilMs = (ms: number) => startMs + ms - performance.now();
    this.proxy.silence(isSpared);
    for (const ms of otherChangesMs)
      setTimeout(() => this.configure('old'), untilMs(ms));
    setTimeout(() => {
      if (change === 'drain') this.register(1, 'old', 'draining');
      if (change === 'removal') this.store.put('servers', 'i-1', undefined);
      if (change === 'route') this.configure('new');
    }, untilMs(changeMs));
    let lastMs = -Infinity;
    const [leaving, alsoLeft] = change === 'route' ? ['1', '2'] : ['1'];
    while (untilMs(changeMs + BOUNDS.contactMs + 1_000) > 0) {
      const sentMs = performance.now() - startMs;
      const endpoint = await this.send();
      if (endpoint !== undefined && [leaving, alsoLeft].includes(endpoint))
        lastMs = sentMs;
      await pause(REQUEST_INTERVAL_MS);
    }
    return lastMs;
  }

  async stop(): Promise<void> {
    if (this.stopped) return;
    this.stopped = true;
    const stopped = this.entry?.program.stop();
    this.proxy.stop();
    this.store.stop();
    this.endpoints.forEach(endpoint => endpoint.stop());
    await stopped;
  }
}

describe('times of the watches of the store', () => {
  it('add up to no more than the bounds, which differ from site to site', () => {
    const ms = (min: number) => fc.integer({min, max: 20_000});
    fc.assert(
      fc.property(
        ms(500),
        ms(500),
        ms(1_500),
        ms(1_500),
        (drain, configure, contact, keyAge) => {
          const bounds = {
            drainMs: drain,
            configurationMs: configure,
            contactMs: contact,
            keyAgeMs: keyAge,
          };
          const times = watchTimes(bounds);
          expect(noticeMs(times)).to.be.at.most(Math.min(drain, configure));
          expect(recoveryMs(times)).to.be.at.most(contact);
          expect(confirmedAgeMs(times)).to.be.at.most(keyAge);
          expect(times.checkIntervalMs).to.be.at.most(
            times.leadingWaitMs + times.lateAnswerMs,
          );
        },
      ),
      {seed: 38},
    );
  });
});

const SCENES: readonly Scene[] = [
  // The connections went silent long before.
  {changeMs: 6_000},
  {changeMs: 6_400},
  {changeMs: 6_800},
  {changeMs: 7_200},
  {changeMs: 7_600},
  // Another change came shortly before.
  ...[100, 400, 800, 1_200, 1_600].map(before => ({
    changeMs: 6_000 + before,
    otherChangesMs: [6_000],
  })),
  {changeMs: 6_900, otherChangesMs: [6_000, 6_300, 6_600]},
  // The change comes while the silence has not been noticed.
  {changeMs: 300},
  {changeMs: 1_100},
  {changeMs: 2_300},
  ...[300, 600, 900].map(changeMs => ({changeMs, isChangedBefore: true})),
  // One connection of three stays open.
  ...[0, 1, 2].flatMap(spared => [
    {changeMs: 6_000, isSpared: (opened: number) => opened === spared},
    {changeMs: 900, isSpared: (opened: number) => opened === spared},
  ]),
];

describe('connections to the store that go silent', () => {
  const scenes: SilentStoreScene[] = [];

  afterEach(async () => {
    await Promise.all(scenes.map(scene => scene.stop()));
    scenes.length = 0;
  });

  const CHANGES: Readonly<Record<Change, string>> = {
    drain: 'an endpoint that drains',
    removal: 'an endpoint whose registration is removed',
    route: 'a service that a route has been taken from',
  };
  for (const [change, title] of Object.entries(CHANGES)) {
    it(`do not prolong the use of ${title}`, async () => {
      const last = await Promise.all(
        SCENES.map(scene => {
          const played = new SilentStoreScene();
          scenes.push(played);
          return played.play(change as Change, scene);
        }),
      );
      const allowed = SCENES.map(({changeMs}) =>
        Math.max(changeMs + BOUNDS.drainMs, BOUNDS.contactMs),
      );
      const late = last.flatMap((ms, i) => (ms > allowed[i]! ? [{i, ms}] : []));
      expect(late).to.deep.equal([]);
    }).timeout(60_000);
  }
});
