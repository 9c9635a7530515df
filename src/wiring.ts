/**
 * The one module that knows how the parts of each program are made and which
 * of them depend on which.
 */
import {randomUUID} from 'node:crypto';
import {createSidecarQuery} from './claims/asking';
import {ClaimSweeper} from './claims/sweep';
import {ClaimsTask} from './claims/task';
import {Dispatch} from './entry/dispatch';
import {HttpServer} from './entry/http';
import {Links} from './entry/links';
import {nearby, withRegions} from './entry/nearby';
import {rankEngine} from './experts/engine';
import {Group} from './experts/task';
import {Clock, systemClock} from './kernel/clock';
import {Kernel} from './kernel/kernel';
import {NAMES} from './kernel/names';
import {version} from './kernel/version';
import {ListDirectory} from './membership/directory';
import {Membership} from './membership/task';
import {FactBoard} from './observe/facts';
import {logFor} from './observe/log';
import {statsdMetrics} from './observe/metrics';
import {Timeline} from './observe/timeline';
import {platformClient} from './platform/client';
import {RuleBoard} from './rules/board';
import {RulesTask} from './rules/task';
import {EntrySettings, SidecarSettings} from './settings/schema';
import {modelEngine} from './sidecar/engine';
import {plainService} from './sidecar/service';
import {Work} from './sidecar/work';
import {EntryHello} from './wire/messages';
import {NodeServer} from './wire/server';

type Settings = EntrySettings | SidecarSettings;

type Role = 'entry' | 'sidecar';

const DAY_MS = 86_400_000;

/**
 * Time between reads of the instance list. Entries need it to find new
 * sidecars; a sidecar only needs candidates for its peers. At 1,400 entries
 * and 10,000 sidecars this makes about 610 of two thousand reads a second.
 */
const LIST_MS: Readonly<Record<Role, number>> = {
  entry: 5_000,
  sidecar: 30_000,
};

/** What every program has. */
function wireCommon(
  kernel: Kernel,
  role: Role,
  settings: Settings,
  clock: Clock,
  target = {targetKind: '', target: ''},
): void {
  const {instance, zone} = settings;
  const place = {instance, zone};
  kernel.bind(NAMES.clock, () => clock);
  kernel.bind(NAMES.log, () => logFor(role, place));
  kernel.bind(NAMES.metrics, () =>
    statsdMetrics(settings.metrics, {role, ...place}),
  );
  kernel.bind(
    NAMES.timeline,
    () => new Timeline(clock, place, settings.timelineEvents),
  );
  kernel.bind(NAMES.platform, () => platformClient(settings.platform));
  kernel.bind(NAMES.board, () => new RuleBoard());
  kernel.bind(
    NAMES.rules,
    k =>
      new RulesTask({
        ...place,
        platform: k.get(NAMES.platform),
        board: k.get(NAMES.board),
        clock,
        log: k.get(NAMES.log),
      }),
  );
  kernel.bind(
    NAMES.directory,
    k =>
      new ListDirectory(
        k.get(NAMES.platform),
        clock,
        k.get(NAMES.log),
        settings.platform.listMs ?? LIST_MS[role],
      ),
  );
  kernel.bind(
    NAMES.membership,
    k =>
      new Membership({
        self: {...place, role, address: ownAddress(settings), ...target},
        release: version,
        settings: settings.peers,
        directory: k.get(NAMES.directory),
        rules: k.get(NAMES.rules),
        clock,
        timeline: k.get(NAMES.timeline),
        log: k.get(NAMES.log),
      }),
  );
  kernel.bind(NAMES.facts, k => {
    const nowMs = () => clock.now().getTime();
    const facts = new FactBoard({...place, role, release: version}, nowMs);
    facts.provide(() => ({
      rules: k.get(NAMES.rules).facts(),
      members: k.get(NAMES.membership).facts(),
    }));
    return facts;
  });
  kernel.bind(NAMES.node, k => {
    const membership = k.get(NAMES.membership);
    const facts = k.get(NAMES.facts);
    return new NodeServer(settings.peers, k.get(NAMES.timeline), {
      gossip: channel => membership.accept(channel),
      inspect: () => JSON.stringify(facts.facts()),
    });
  });
}

/** Empty where the port is chosen at the start; peers then use the list. */
function ownAddress({listen}: Settings): string {
  return listen.grpc.endsWith(':0') ? '' : listen.grpc;
}

function helloOf({instance, zone}: EntrySettings, kernel: Kernel): EntryHello {
  const ruleVersion = kernel.get(NAMES.board).current().version;
  return {instance, zone, release: version, ruleVersion};
}

/** The services of an entry. */
export function wireEntry(
  settings: EntrySettings,
  clock: Clock = systemClock,
): Kernel {
  const kernel = new Kernel();
  const {instance, zone, peers, limits} = settings;
  wireCommon(kernel, 'entry', settings, clock);
  kernel.bind(NAMES.claims, k => {
    const hello = () => helloOf(settings, k);
    const ask = createSidecarQuery({
      directory: k.get(NAMES.directory),
      peers,
      clock,
      timeline: k.get(NAMES.timeline),
      hello,
    });
    return new ClaimsTask({
      platform: k.get(NAMES.platform),
      clock,
      log: k.get(NAMES.log),
      ask,
    });
  });
  kernel.bind(
    NAMES.sweep,
    k =>
      new ClaimSweeper({
        platform: k.get(NAMES.platform),
        clock,
        log: k.get(NAMES.log),
        keepMs: settings.claims.keepDays * DAY_MS,
      }),
  );
  kernel.bind(NAMES.links, k => {
    const hello = () => helloOf(settings, k);
    const board = k.get(NAMES.board);
    return new Links(
      withRegions(k.get(NAMES.directory), board),
      peers,
      clock,
      k.get(NAMES.timeline),
      hello,
      nearby(instance, zone, board),
    );
  });
  kernel.bind(NAMES.dispatch, k => {
    const dispatch = new Dispatch({
      instance,
      zone,
      links: k.get(NAMES.links),
      board: k.get(NAMES.board),
      claims: k.get(NAMES.claims),
      policy: 'prefix',
      random: Math.random,
      queuedBytesPerAccount: limits.queuedBytesPerAccount,
      clock,
      log: k.get(NAMES.log),
      metrics: k.get(NAMES.metrics),
      timeline: k.get(NAMES.timeline),
      streamWindowBytes: limits.streamWindowBytes,
    });
    k.get(NAMES.facts).provide(() => ({links: dispatch.facts()}));
    return dispatch;
  });
  kernel.bind(NAMES.http, k => {
    const board = k.get(NAMES.board);
    const directory = k.get(NAMES.directory);
    const rules = k.get(NAMES.rules);
    return new HttpServer({
      settings,
      board,
      dispatch: k.get(NAMES.dispatch),
      clock,
      log: k.get(NAMES.log),
      entries: () =>
        directory.instances().filter(i => i.role === 'entry').length,
      ready: () => rules.ready(),
    });
  });
  return kernel;
}

/** The services of a sidecar. */
export function wireSidecar(
  settings: SidecarSettings,
  clock: Clock = systemClock,
): Kernel {
  const kernel = new Kernel();
  const {instance, zone, endpoint, group, peers} = settings;
  const incarnation = randomUUID();
  const target = {targetKind: endpoint.kind, target: endpoint.name};
  wireCommon(kernel, 'sidecar', settings, clock, target);
  kernel.bind(NAMES.endpoint, () =>
    endpoint.kind === 'model'
      ? modelEngine(endpoint.url)
      : plainService(endpoint.url, clock),
  );
  kernel.bind(NAMES.work, k => {
    const {coldConcurrent, maxConcurrent, kvTokens, targetStepMs} = endpoint;
    const {warmSteps, batchTokens} = endpoint;
    const work = new Work({
      admission: {
        instance,
        incarnation,
        zone,
        coldConcurrent,
        maxConcurrent,
        kvTokens,
        targetStepMs,
        warmSteps,
        ...(batchTokens === undefined ? {} : {batchTokens}),
      },
      hello: {
        instance,
        incarnation,
        zone,
        release: version,
        targetKind: endpoint.kind,
        target: endpoint.name,
      },
      endpoint: k.get(NAMES.endpoint),
      board: k.get(NAMES.board),
      clock,
      log: k.get(NAMES.log),
      metrics: k.get(NAMES.metrics),
      timeline: k.get(NAMES.timeline),
    });
    k.get(NAMES.facts).provide(() => work.facts());
    return work;
  });
  if (group) {
    kernel.bind(NAMES.group, k => {
      const built = new Group({
        settings: group,
        instance,
        incarnation,
        peers,
        platform: k.get(NAMES.platform),
        engine: rankEngine(endpoint.url, group.weightStoreUrl),
        board: k.get(NAMES.board),
        handlers: k.get(NAMES.node).handlers,
        clock,
        log: k.get(NAMES.log),
        timeline: k.get(NAMES.timeline),
      });
      k.get(NAMES.facts).provide(() => built.status());
      return built;
    });
  }
  return kernel;
}
