import {expect} from 'chai';
import {
  expireMembers,
  applyHeartbeat,
  initialView,
  isPoller,
  liveness,
  mergePlatformList,
  neighbours,
  nextRecord,
  ringHash,
  markSilent,
  MembershipView,
} from '../src/membership/view';
import {
  decideDistribution,
  DistributionMessage,
  DistributionState,
  initialDistribution,
} from '../src/rules/distribution';
import {mustStopNewWork} from '../src/rules/cutoff';
import {parseRules} from '../src/rules/parse';
import {Heartbeat, Member} from '../src/wire/messages';

const HEARTBEAT_MS = 1_000;
const START_MS = 1_000_000;

function infoOf(instance: string, zone: string) {
  const address = `10.0.0.1:${instance.length}${instance.replace(/\D/g, '')}`;
  return {
    instance,
    zone,
    role: 'sidecar',
    address,
    targetKind: 'model',
    target: 'm',
  };
}

function memberNames(zone: string, count: number): readonly string[] {
  return Array.from({length: count}, (_, i) => `${zone}-n${i}`);
}

function viewOf(
  self: string,
  zones: Readonly<Record<string, number>>,
): MembershipView {
  const infos = Object.entries(zones).flatMap(([zone, count]) =>
    memberNames(zone, count).map(n => ({...infoOf(n, zone), leaving: false})),
  );
  const own = infos.find(p => p.instance === self)!;
  return mergePlatformList(initialView(own, HEARTBEAT_MS), infos, START_MS);
}

function heartbeatFrom(
  instance: string,
  zone: string,
  members: readonly Member[] = [],
): Heartbeat {
  return {
    ...infoOf(instance, zone),
    ruleVersion: 1,
    ruleHash: 'h',
    leaving: false,
    confirmedMs: 0,
    release: '',
    members,
  };
}

function memberRecord(instance: string, zone: string, heardMs: number): Member {
  return {...infoOf(instance, zone), ruleVersion: 1, heardMs, leaving: false};
}

/** Hops until a message from one member reaches all, over streams both ways. */
function hopsToReachAll(zones: Readonly<Record<string, number>>): number {
  const all = Object.entries(zones).flatMap(([z, n]) => memberNames(z, n));
  const edges = new Map<string, Set<string>>(all.map(n => [n, new Set()]));
  for (const name of all) {
    for (const peer of neighbours(viewOf(name, zones), START_MS)) {
      edges.get(name)!.add(peer);
      edges.get(peer)!.add(name);
    }
  }
  let reached = new Set([all[0]!]);
  for (let hop = 0; ; hop++) {
    if (reached.size === all.length) return hop;
    const next = new Set([...reached].flatMap(n => [n, ...edges.get(n)!]));
    if (next.size === reached.size) throw new Error('not connected');
    reached = next;
  }
}

describe('membership view', () => {
  it('guards against a gossip graph that is disconnected or needs many hops', () => {
    expect(hopsToReachAll({a: 1, b: 1, c: 1})).to.be.at.most(2);
    expect(hopsToReachAll({a: 5, b: 4, c: 6})).to.be.at.most(4);
    expect(hopsToReachAll({a: 100, b: 100, c: 100})).to.be.at.most(9);
  });

  it('guards against a number of streams that grows with the size of the zone', () => {
    const zones = {a: 456, b: 456, c: 456};
    for (const name of memberNames('a', 456).slice(0, 20)) {
      expect(neighbours(viewOf(name, zones), START_MS)).to.have.length.below(5);
    }
  });

  it('guards against a zone without pollers after both end at once', () => {
    const ring = [...memberNames('a', 6)].sort((x, y) =>
      ringHash(x) < ringHash(y) ? -1 : 1,
    );
    const [first, second, third] = ring as [string, string, string];
    expect(isPoller(viewOf(first, {a: 6}), START_MS)).to.equal(true);
    const view = viewOf(third, {a: 6});
    expect(isPoller(view, START_MS)).to.equal(false);
    const later = START_MS + 4 * HEARTBEAT_MS;
    const bothSilent = [first, second].reduce(
      (v, n) => markSilent(v, n, later),
      view,
    );
    expect(isPoller(bothSilent, later)).to.equal(true);
  });

  it('guards against relying on a peer that does not hear this process', () => {
    const [self, peer] = ['a-n0', 'a-n1'];
    const view = viewOf(self, {a: 2});
    expect(neighbours(view, START_MS)).to.deep.equal([peer]);
    const notHeardRecord = {
      ...memberRecord(self, 'a', START_MS - 9_000),
      address: '',
    };
    const afterNotice = applyHeartbeat(
      view,
      heartbeatFrom(peer, 'a', [notHeardRecord]),
      START_MS,
    );
    expect(neighbours(afterNotice, START_MS)).to.deep.equal([]);
    const known = afterNotice.members.get(peer)!;
    expect(liveness(afterNotice, known, START_MS)).to.equal('live');
    const again = applyHeartbeat(
      afterNotice,
      heartbeatFrom(peer, 'a'),
      START_MS + HEARTBEAT_MS,
    );
    expect(neighbours(again, START_MS + HEARTBEAT_MS)).to.deep.equal([peer]);
  });

  it('guards against taking an ordinary record of this process for a notice that it is not heard', () => {
    const view = viewOf('a-n0', {a: 2});
    const own = memberRecord('a-n0', 'a', START_MS);
    const afterRecord = applyHeartbeat(
      view,
      heartbeatFrom('a-n1', 'a', [own]),
      START_MS,
    );
    expect(neighbours(afterRecord, START_MS)).to.deep.equal(['a-n1']);
  });

  it('guards against counting a peer as lost that others still hear', () => {
    const view = viewOf('a-n0', {a: 3});
    const now = START_MS + 10_000;
    const cut = markSilent(view, 'a-n1', START_MS + 3_000);
    const alone = cut.members.get('a-n1')!;
    expect(liveness(cut, alone, now)).to.equal('lost');
    const relayed = applyHeartbeat(
      cut,
      heartbeatFrom('a-n2', 'a', [memberRecord('a-n1', 'a', now - 500)]),
      now,
    );
    const known = relayed.members.get('a-n1')!;
    expect(liveness(relayed, known, now)).to.equal('unreachable');
    expect(neighbours(relayed, now)).to.not.include('a-n1');
  });

  it('guards against an old record that overrides a newer heartbeat', () => {
    const view = applyHeartbeat(
      viewOf('a-n0', {a: 3}),
      heartbeatFrom('a-n1', 'a'),
      START_MS,
    );
    const gone = {...heartbeatFrom('a-n1', 'a'), leaving: true};
    const left = applyHeartbeat(view, gone, START_MS + 100);
    const old = memberRecord('a-n1', 'a', START_MS + 50);
    const after = applyHeartbeat(
      left,
      heartbeatFrom('a-n2', 'a', [old]),
      START_MS + 200,
    );
    expect(after.members.get('a-n1')!.leaving).to.equal(true);
  });

  it('guards against an address from another zone that replaces the one in the platform’s list', () => {
    const self = infoOf('z1-n0', 'z1');
    const elsewhere = {
      ...memberRecord('z2-n1', 'z2', START_MS),
      address: '10.9.9.9:1',
    };
    const afterRecord = applyHeartbeat(
      initialView(self, HEARTBEAT_MS),
      heartbeatFrom('z1-n1', 'z1', [elsewhere]),
      START_MS,
    );
    const listEntry = {...infoOf('z2-n1', 'z2'), leaving: false};
    const reached = {...heartbeatFrom('z2-n1', 'z2'), address: ''};
    const direct = applyHeartbeat(afterRecord, reached, START_MS);
    const view = mergePlatformList(direct, [listEntry], START_MS);
    expect(view.members.get('z2-n1')!.address).to.equal(listEntry.address);
    const own = applyHeartbeat(
      view,
      {...heartbeatFrom('z2-n1', 'z2'), address: '10.0.0.2:7'},
      START_MS,
    );
    const again = mergePlatformList(own, [listEntry], START_MS);
    expect(again.members.get('z2-n1')!.address).to.equal('10.0.0.2:7');
  });

  it('guards against never trying a silent peer again', () => {
    const view = markSilent(viewOf('a-n0', {a: 2}), 'a-n1', START_MS);
    expect(neighbours(view, START_MS + 1_000)).to.deep.equal([]);
    const later = START_MS + 31_000;
    expect(neighbours(expireMembers(view, later), later)).to.deep.equal([
      'a-n1',
    ]);
  });

  it('guards against a changed record that waits for its turn in the rotation', () => {
    let view = viewOf('a-n0', {a: 200});
    for (let i = 0; i < 8 * 199; i++) [view] = nextRecord(view);
    const changed = {...heartbeatFrom('a-n77', 'a'), leaving: true};
    const [, sent] = nextRecord(applyHeartbeat(view, changed, START_MS));
    expect(sent!.instance).to.equal('a-n77');
    expect(sent!.leaving).to.equal(true);
  });

  it('guards against a cut-off zone that stops without the rule, or continues under it', () => {
    const text = 'zone a cutoff=stop after=30s  # Jana';
    const rules = parseRules(text).unwrap();
    expect(mustStopNewWork(rules, 'a', START_MS, START_MS + 30_000)).to.be
      .false;
    expect(mustStopNewWork(rules, 'a', START_MS, START_MS + 30_001)).to.be.true;
    expect(mustStopNewWork(rules, 'b', START_MS, START_MS + 99_000)).to.be
      .false;
  });

  it('guards against two zones that are cut off together and confirm each other', () => {
    const rules = parseRules('zone a cutoff=stop after=30s  # Jana').unwrap();
    const cutMs = START_MS + 1_000;
    const newState = (instance: string, zone: string) =>
      initialDistribution(
        {instance, zone, findFault: () => undefined},
        new Date(START_MS),
      );
    const read = {
      kind: 'headRead',
      head: {version: 0, hash: ''},
      readSentMs: cutMs,
    } as const;
    const at = (ms: number) => new Date(ms);
    let a = decideDistribution(newState('a1', 'a'), read, at(cutMs)).state;
    let b = decideDistribution(newState('b1', 'b'), read, at(cutMs)).state;
    const heartbeatMessage = (from: DistributionState): DistributionMessage => {
      const {instance, zone} = from.settings;
      const peer = {version: 0, hash: '', zone};
      const {confirmedMs} = from;
      return {kind: 'peer', instance, rules: peer, confirmedMs};
    };
    const exchangeHeartbeats = (nowMs: number) => {
      const [fromA, fromB] = [heartbeatMessage(a), heartbeatMessage(b)];
      a = decideDistribution(a, fromB, at(nowMs)).state;
      b = decideDistribution(b, fromA, at(nowMs)).state;
    };
    const stopped = (nowMs: number) =>
      mustStopNewWork(rules, 'a', a.confirmedMs, nowMs);
    let nowMs = cutMs;
    for (; nowMs < cutMs + 40_000; nowMs += HEARTBEAT_MS)
      exchangeHeartbeats(nowMs);
    expect(stopped(cutMs + 30_000)).to.equal(false);
    expect(stopped(nowMs)).to.equal(true);

    // The confirmation reaches zone a only through zone b.
    const again = {...read, readSentMs: nowMs};
    b = decideDistribution(b, again, at(nowMs)).state;
    exchangeHeartbeats(nowMs);
    expect(stopped(nowMs)).to.equal(false);
    expect(stopped(nowMs + 30_001)).to.equal(true);
  });
});
