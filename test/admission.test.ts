import {expect} from 'chai';
import * as fc from 'fast-check';
import {
  AdmissionEffect,
  AdmissionMessage,
  AdmissionSettings,
  decideAdmission,
  initialAdmission,
  loadOf,
} from '../src/capacity/admission';
import {ascending, insert, SortedSet, remove} from '../src/capacity/sortedset';
import {emptyQueue, enqueue, pickOffer} from '../src/capacity/queue';
import {coldWarmup, observeInstance, recordSteps} from '../src/capacity/warmup';
import {emptyRules} from '../src/rules/model';
import {Offer, Start} from '../src/wire/messages';
import {model} from './fuzz/admission';

const settings: AdmissionSettings = {
  instance: 's',
  incarnation: 'i1',
  zone: 'z',
  coldConcurrent: 4,
  maxConcurrent: 32,
  kvTokens: 100_000,
  targetStepMs: 50,
};

function offerOf(id: string, parts: Partial<Offer> = {}): Offer {
  return {
    requestId: id,
    attempt: 1,
    account: 'a',
    caller: 'x',
    targetKind: 'model',
    target: 'm',
    promptTokens: 100,
    maxOutputTokens: 100,
    prefixHashes: [],
    priority: 5,
    deadlineMs: 60_000,
    idempotent: true,
    ...parts,
  };
}

function startOf(grantId: string, offer: Offer): Start {
  return {
    grantId,
    requestId: offer.requestId,
    attempt: offer.attempt,
    body: new Uint8Array(0),
    resumeOffset: 0,
    creditBytes: 0,
    method: 'POST',
    path: '/',
    headers: [],
    offer,
  };
}

/** Runs the admission decision of one sidecar message by message. */
function sidecar(changes: Partial<AdmissionSettings> = {}) {
  let state = initialAdmission({...settings, ...changes});
  return {
    send(message: AdmissionMessage, atMs = 0): readonly AdmissionEffect[] {
      const decision = decideAdmission(state, message, new Date(atMs));
      state = decision.state;
      return decision.effects;
    },
    load: () => loadOf(state),
  };
}

function grantIds(effects: readonly AdmissionEffect[]): readonly string[] {
  return effects.flatMap(e => (e.kind === 'grant' ? [e.grant.grantId] : []));
}

const kinds = (effects: readonly AdmissionEffect[]) => effects.map(e => e.kind);

describe('admission', () => {
  it('keeps its bounds and fairness in 10,000 random steps', () => {
    model.run(1, 10_000);
  }).timeout(120_000);

  it('reserves prompt and permitted output, so that KV memory never fills', () => {
    const s = sidecar({kvTokens: 500});
    s.send({kind: 'offer', entry: 'e', offer: offerOf('r1')});
    s.send({kind: 'offer', entry: 'e', offer: offerOf('r2')});
    const third = s.send({kind: 'offer', entry: 'e', offer: offerOf('r3')});
    expect(grantIds(third)).to.be.empty;
    expect(s.load().freeTokens).to.equal(100);
  });

  it('refuses an offer that can never fit, which would block the queue', () => {
    const s = sidecar({kvTokens: 150});
    const effects = s.send({kind: 'offer', entry: 'e', offer: offerOf('r1')});
    expect(kinds(effects)).to.deep.equal(['refuse']);
  });

  it('does not refuse a repeated start, which would say "not run"', () => {
    const s = sidecar();
    const offer = offerOf('r1');
    const [id] = grantIds(s.send({kind: 'offer', entry: 'e', offer}));
    const start = startOf(id!, offer);
    const run = s.send({kind: 'start', entry: 'e', start});
    expect(kinds(run)).to.deep.equal(['run']);
    expect(s.send({kind: 'start', entry: 'e', start})).to.be.empty;
    s.send({kind: 'ended', ref: offer, tokens: 150});
    expect(s.send({kind: 'start', entry: 'e', start})).to.be.empty;
  });

  it('refuses grants of an earlier incarnation and expired ones', () => {
    const s = sidecar();
    const offer = offerOf('r1');
    const old = startOf('i0/1', offer);
    const refused = s.send({kind: 'start', entry: 'e', start: old});
    expect(kinds(refused)).to.deep.equal(['refuse']);

    const late = offerOf('r2');
    const [id] = grantIds(s.send({kind: 'offer', entry: 'e', offer: late}));
    const start = startOf(id!, late);
    const after = s.send({kind: 'start', entry: 'e', start}, 10_000);
    expect(kinds(after)).to.deep.equal(['revoke', 'refuse']);
  });

  it('revokes standing grants as soon as an offer must wait', () => {
    const s = sidecar({coldConcurrent: 2});
    const standing = s.send({kind: 'standing', entry: 'e', wanted: 4});
    expect(grantIds(standing)).to.have.length(1);
    s.send({kind: 'offer', entry: 'f', offer: offerOf('r1')});
    const second = s.send({kind: 'offer', entry: 'f', offer: offerOf('r2')});
    expect(kinds(second)).to.deep.equal(['revoke', 'grant']);
  });

  it('runs on a standing grant without an offer, within its tokens', () => {
    const s = sidecar();
    const given = s.send({kind: 'standing', entry: 'e', wanted: 1});
    const [id] = grantIds(given);
    const large = offerOf('r1', {promptTokens: 90_000});
    const refused = s.send({
      kind: 'start',
      entry: 'e',
      start: startOf(id!, large),
    });
    expect(kinds(refused)).to.deep.equal(['refuse']);
    const start = startOf(id!, offerOf('r2'));
    const run = s.send({kind: 'start', entry: 'e', start});
    expect(run[0]!.kind).to.equal('run');
  });

  it('refuses waiting offers and revokes grants when a rule takes the zone out', () => {
    const s = sidecar({coldConcurrent: 1});
    const held = offerOf('r1');
    const [id] = grantIds(s.send({kind: 'offer', entry: 'e', offer: held}));
    s.send({kind: 'offer', entry: 'e', offer: offerOf('r2')});
    const rules = {...emptyRules, zonesOut: emptyRules.zonesOut.add('z')};
    const effects = s.send({kind: 'rules', rules});
    expect(kinds(effects)).to.have.members(['refuse', 'revoke']);
    const start = startOf(id!, held);
    const refused = s.send({kind: 'start', entry: 'e', start});
    expect(kinds(refused)).to.deep.equal(['refuse']);
    expect(s.load().leaving).to.be.true;
  });

  it('revokes unused grants when the engine restarts cold', () => {
    const s = sidecar();
    s.send({kind: 'engine', instance: 'g1'});
    for (let i = 0; i < 200; i += 1) {
      s.send({kind: 'step', stepMs: 30, batch: 32});
    }
    const warm = s.load().bound;
    expect(warm).to.equal(32);
    for (let i = 0; i < warm; i += 1) {
      s.send({kind: 'offer', entry: 'e', offer: offerOf(`r${i}`)});
    }
    const effects = s.send({kind: 'engine', instance: 'g2'});
    expect(effects.filter(e => e.kind === 'revoke')).to.have.length(28);
    expect(s.load().bound).to.equal(4);
  });

  // An endpoint that is down reports no load, so entries would choose it, and
  // all requests sent to it would fail.
  it('refuses work while the endpoint is down', () => {
    const s = sidecar();
    s.send({kind: 'engine', instance: 'g1'});
    s.send({kind: 'offer', entry: 'e', offer: offerOf('r1')});
    const lost = s.send({kind: 'engine', instance: '', down: true});
    expect(kinds(lost)).to.include('revoke');
    expect(s.load().leaving).to.be.true;
    const refused = s.send({kind: 'offer', entry: 'e', offer: offerOf('r2')});
    expect(kinds(refused)).to.deep.equal(['refuse']);
    s.send({kind: 'engine', instance: 'g2'});
    const granted = s.send({kind: 'offer', entry: 'e', offer: offerOf('r3')});
    expect(kinds(granted)).to.deep.equal(['grant']);
  });

  // If slow endpoints refused work, an overloaded deployment would be left
  // without any endpoint.
  it('keeps granting up to the cold bound while the endpoint is slow to answer', () => {
    const s = sidecar();
    s.send({kind: 'engine', instance: 'g1'});
    s.send({kind: 'engine', instance: '', down: false});
    expect(s.load().leaving).to.be.false;
    expect(s.load().bound).to.equal(4);
    const granted = s.send({kind: 'offer', entry: 'e', offer: offerOf('r1')});
    expect(kinds(granted)).to.deep.equal(['grant']);
  });

  it('tries a bounded number of offers when the first ones do not fit', () => {
    let queue = emptyQueue('fair', emptyRules);
    for (let i = 0; i < 1_000; i += 1) {
      const parts = {account: `a${i % 100}`, caller: `c${i % 250}`};
      queue = enqueue(queue, 'e', offerOf(`r${i}`, parts), 0);
    }
    let tried = 0;
    pickOffer(queue, () => {
      tried += 1;
      return false;
    });
    expect(tried).to.be.at.most(32);
  });

  it('lets small requests overtake a large one by at most its cost', () => {
    const s = sidecar({kvTokens: 1_000, coldConcurrent: 8});
    const large = {account: 'big', promptTokens: 900, maxOutputTokens: 0};
    const small = {account: 'small', promptTokens: 90, maxOutputTokens: 0};
    const offers = ['s0', 's1', 'L', 's2', 's3', 's4'].map(id =>
      offerOf(id, id === 'L' ? large : small),
    );
    for (let i = 5; i < 100; i += 1) offers.push(offerOf(`s${i}`, small));
    const queue = offers.flatMap(offer =>
      s.send({kind: 'offer', entry: 'e', offer}),
    );
    const order: string[] = [];
    const running: Offer[] = [];
    while (!order.includes('L') && order.length < offers.length) {
      for (let e = queue.shift(); e; e = queue.shift()) {
        if (e.kind !== 'grant') continue;
        const {grantId, requestId} = e.grant;
        const offer = offers.find(o => o.requestId === requestId)!;
        s.send({kind: 'start', entry: 'e', start: startOf(grantId, offer)});
        order.push(requestId);
        running.push(offer);
      }
      const ref = running.shift()!;
      queue.push(...s.send({kind: 'ended', ref, tokens: ref.promptTokens}));
    }
    // Two small ones came before it; at most 900 / 90 + 1 may overtake it.
    expect(order).to.include('L');
    expect(order.length - 1).to.be.within(3, 2 + 11);
  });
});

describe('warm-up', () => {
  it('does not grow by time or by steps of a nearly empty batch', () => {
    let warmup = coldWarmup(settings);
    for (let i = 0; i < 1_000; i += 1) {
      warmup = recordSteps(warmup, settings, 10, 1);
    }
    expect(warmup.bound).to.equal(4);
  });

  it('stays at the cold bound until enough good steps have passed', () => {
    let warmup = coldWarmup(settings);
    for (let i = 0; i < 63; i += 1) {
      warmup = recordSteps(warmup, settings, 30, 4);
    }
    expect(warmup.bound).to.equal(4);
    expect(recordSteps(warmup, settings, 30, 4).bound).to.equal(5);
  });

  it('grows at most once for a report of many steps', () => {
    expect(
      recordSteps(coldWarmup(settings), settings, 30, 4, 999).bound,
    ).to.equal(5);
  });

  it('falls to the cold bound when a step takes much longer than usual', () => {
    let warmup = observeInstance(coldWarmup(settings), settings, 'g1');
    for (let i = 0; i < 200; i += 1) {
      warmup = recordSteps(warmup, settings, 30, 32);
    }
    expect(warmup.bound).to.equal(32);
    expect(recordSteps(warmup, settings, 55, 32).bound).to.equal(32);
    expect(recordSteps(warmup, settings, 90, 32).bound).to.equal(4);
  });
});

describe('sorted set', () => {
  it('keeps its order under any insertions and removals', () => {
    const item = fc.tuple(fc.nat(5), fc.nat(20), fc.boolean());
    fc.assert(
      fc.property(fc.array(item, {maxLength: 200}), items => {
        let tree: SortedSet<string>;
        const plain = new Set<string>();
        for (const [rank, n, added] of items) {
          const id = String(n).padStart(2, '0');
          const name = `${rank}/${id}`;
          if (!added) tree = remove(tree, rank, id);
          else if (!plain.has(name)) tree = insert(tree, rank, id, name);
          if (added) plain.add(name);
          else plain.delete(name);
        }
        const values = [...ascending(tree)].map(node => node.value);
        expect(values).to.deep.equal([...plain].sort());
      }),
      {seed: 1},
    );
  });
});
