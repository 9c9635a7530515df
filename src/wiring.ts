/**
 * Builds the services of each program and connects them. No other module
 * knows how they are built or which of them depend on which.
 */
import {randomUUID} from 'node:crypto';
import {createSidecarQuery} from './claims/sidecarquery';
import {ClaimSweeper} from './claims/sweep';
import {ClaimsTask} from './claims/task';
import {Dispatcher} from './entry/dispatch';
import {HttpServer} from './entry/http';
import {SidecarLinks} from './entry/links';
import {nearbySidecars, directoryWithRegions} from './entry/linksubset';
import {createRankEngine} from './experts/engine';
import {Group} from './experts/task';
import {Clock, systemClock} from './kernel/clock';
import {Kernel} from './kernel/kernel';
import {SERVICE_KEYS} from './kernel/servicekeys';
import {version} from './kernel/version';
import {PlatformDirectory} from './membership/directory';
import {Membership} from './membership/task';
import {FactCollector} from './observe/facts';
import {logFor} from './observe/log';
import {statsdMetrics} from './observe/statsd';
import {Timeline} from './observe/timeline';
import {createPlatformClient} from './platform/client';
import {ActiveRules} from './rules/activerules';
import {RulesTask} from './rules/task';
import {EntrySettings, SidecarSettings} from './settings/schema';
import {modelEngine} from './sidecar/engine';
import {plainService} from './sidecar/service';
import {SidecarTask} from './sidecar/task';
import {EntryHello} from './wire/messages';
import {NodeServer} from './wire/server';

type Settings = EntrySettings | SidecarSettings;

type Role = 'entry' | 'sidecar';

const DAY_MS = 86_400_000;

/**
 * Interval between reads of the instance list. Entries need it to find new
 * sidecars; a sidecar only needs candidates for its peers. With 1,400 entries
 * and 10,000 sidecars this makes about 610 reads per second, of the two
 * thousand that the table allows.
 */
const LIST_INTERVAL_MS: Readonly<Record<Role, number>> = {
  entry: 5_000,
  sidecar: 30_000,
};

/** Binds the services that every program has. */
function wireCommon(
  kernel: Kernel,
  role: Role,
  settings: Settings,
  clock: Clock,
  target = {targetKind: '', target: ''},
): void {
  const {instance, zone} = settings;
  const identity = {instance, zone};
  kernel.bind(SERVICE_KEYS.clock, () => clock);
  kernel.bind(SERVICE_KEYS.log, () => logFor(role, identity));
  kernel.bind(SERVICE_KEYS.metrics, () =>
    statsdMetrics(settings.metrics, {role, ...identity}),
  );
  kernel.bind(
    SERVICE_KEYS.timeline,
    () => new Timeline(clock, identity, settings.timelineEvents),
  );
  kernel.bind(SERVICE_KEYS.platform, () =>
    createPlatformClient(settings.platform),
  );
  kernel.bind(SERVICE_KEYS.activeRules, () => new ActiveRules());
  kernel.bind(
    SERVICE_KEYS.rules,
    k =>
      new RulesTask({
        ...identity,
        platform: k.get(SERVICE_KEYS.platform),
        activeRules: k.get(SERVICE_KEYS.activeRules),
        clock,
        log: k.get(SERVICE_KEYS.log),
      }),
  );
  kernel.bind(
    SERVICE_KEYS.directory,
    k =>
      new PlatformDirectory(
        k.get(SERVICE_KEYS.platform),
        clock,
        k.get(SERVICE_KEYS.log),
        settings.platform.listMs ?? LIST_INTERVAL_MS[role],
      ),
  );
  kernel.bind(
    SERVICE_KEYS.membership,
    k =>
      new Membership({
        self: {...identity, role, address: ownAddress(settings), ...target},
        release: version,
        settings: settings.peers,
        directory: k.get(SERVICE_KEYS.directory),
        rules: k.get(SERVICE_KEYS.rules),
        clock,
        timeline: k.get(SERVICE_KEYS.timeline),
        log: k.get(SERVICE_KEYS.log),
      }),
  );
  kernel.bind(SERVICE_KEYS.facts, k => {
    const nowMs = () => clock.now().getTime();
    const facts = new FactCollector(
      {...identity, role, release: version},
      nowMs,
    );
    facts.addSource(() => ({
      rules: k.get(SERVICE_KEYS.rules).facts(),
      members: k.get(SERVICE_KEYS.membership).facts(),
    }));
    return facts;
  });
  kernel.bind(SERVICE_KEYS.node, k => {
    const membership = k.get(SERVICE_KEYS.membership);
    const facts = k.get(SERVICE_KEYS.facts);
    return new NodeServer(settings.peers, k.get(SERVICE_KEYS.timeline), {
      gossip: channel => membership.accept(channel),
      inspect: () => JSON.stringify(facts.collect()),
    });
  });
}

/** Empty if the port is chosen at start; peers then use the instance list. */
function ownAddress({listen}: Settings): string {
  return listen.grpc.endsWith(':0') ? '' : listen.grpc;
}

function entryHello(
  {instance, zone}: EntrySettings,
  kernel: Kernel,
): EntryHello {
  const ruleVersion = kernel.get(SERVICE_KEYS.activeRules).current().version;
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
  kernel.bind(SERVICE_KEYS.claims, k => {
    const hello = () => entryHello(settings, k);
    const ask = createSidecarQuery({
      directory: k.get(SERVICE_KEYS.directory),
      peers,
      clock,
      timeline: k.get(SERVICE_KEYS.timeline),
      hello,
    });
    return new ClaimsTask({
      platform: k.get(SERVICE_KEYS.platform),
      clock,
      log: k.get(SERVICE_KEYS.log),
      ask,
    });
  });
  kernel.bind(
    SERVICE_KEYS.claimSweeper,
    k =>
      new ClaimSweeper({
        platform: k.get(SERVICE_KEYS.platform),
        clock,
        log: k.get(SERVICE_KEYS.log),
        keepMs: settings.claims.keepDays * DAY_MS,
      }),
  );
  kernel.bind(SERVICE_KEYS.links, k => {
    const hello = () => entryHello(settings, k);
    const activeRules = k.get(SERVICE_KEYS.activeRules);
    return new SidecarLinks(
      directoryWithRegions(k.get(SERVICE_KEYS.directory), activeRules),
      peers,
      clock,
      k.get(SERVICE_KEYS.timeline),
      hello,
      nearbySidecars(instance, zone, activeRules),
    );
  });
  kernel.bind(SERVICE_KEYS.dispatch, k => {
    const dispatch = new Dispatcher({
      instance,
      zone,
      links: k.get(SERVICE_KEYS.links),
      activeRules: k.get(SERVICE_KEYS.activeRules),
      claims: k.get(SERVICE_KEYS.claims),
      policy: 'prefix',
      random: Math.random,
      queuedBytesPerAccount: limits.queuedBytesPerAccount,
      clock,
      log: k.get(SERVICE_KEYS.log),
      metrics: k.get(SERVICE_KEYS.metrics),
      timeline: k.get(SERVICE_KEYS.timeline),
      streamWindowBytes: limits.streamWindowBytes,
    });
    k.get(SERVICE_KEYS.facts).addSource(() => ({links: dispatch.facts()}));
    return dispatch;
  });
  kernel.bind(SERVICE_KEYS.http, k => {
    const activeRules = k.get(SERVICE_KEYS.activeRules);
    const directory = k.get(SERVICE_KEYS.directory);
    const rules = k.get(SERVICE_KEYS.rules);
    return new HttpServer({
      settings,
      activeRules,
      dispatch: k.get(SERVICE_KEYS.dispatch),
      clock,
      log: k.get(SERVICE_KEYS.log),
      entries: () =>
        directory.instances().filter(i => i.role === 'entry').length,
      ready: () => rules.ready(),
      countClosed: reason =>
        k
          .get(SERVICE_KEYS.metrics)
          .count('entry.connectionsClosed', 1, {reason}),
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
  kernel.bind(SERVICE_KEYS.endpoint, () =>
    endpoint.kind === 'model'
      ? modelEngine(endpoint.url)
      : plainService(endpoint.url, clock),
  );
  kernel.bind(SERVICE_KEYS.work, k => {
    const {coldConcurrent, maxConcurrent, kvTokens, targetStepMs} = endpoint;
    const {warmSteps, batchTokens} = endpoint;
    const work = new SidecarTask({
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
      endpoint: k.get(SERVICE_KEYS.endpoint),
      activeRules: k.get(SERVICE_KEYS.activeRules),
      clock,
      log: k.get(SERVICE_KEYS.log),
      metrics: k.get(SERVICE_KEYS.metrics),
      timeline: k.get(SERVICE_KEYS.timeline),
    });
    k.get(SERVICE_KEYS.facts).addSource(() => work.facts());
    return work;
  });
  if (group) {
    kernel.bind(SERVICE_KEYS.group, k => {
      const groupTask = new Group({
        settings: group,
        instance,
        incarnation,
        peers,
        platform: k.get(SERVICE_KEYS.platform),
        engine: createRankEngine(endpoint.url, group.weightStoreUrl),
        activeRules: k.get(SERVICE_KEYS.activeRules),
        handlers: k.get(SERVICE_KEYS.node).handlers,
        clock,
        log: k.get(SERVICE_KEYS.log),
        timeline: k.get(SERVICE_KEYS.timeline),
      });
      k.get(SERVICE_KEYS.facts).addSource(() => groupTask.status());
      return groupTask;
    });
  }
  return kernel;
}
