/**
 * Builds the platform's programs from their modules. Besides `wiring.ts`, this
 * is the only module that knows the adapter to the platform.
 */
import http from 'node:http';
import {createCrashStore} from '../platform/crashes';
import {platformHeaders} from '../platform/headers';
import {createEngineClient} from '../platform/engineclient';
import {Bounds, Deployment} from '../platform/settings';
import {createStoreClient} from '../platform/store';
import {crashTable, endpointTable, operatorTable} from '../platform/tables';
import {
  emptyCatalog,
  endpointAt,
  applyEndpointChange,
  applyOperatorChange,
} from './gateway/catalog';
import {InputPace} from './kernel/inputpace';
import {CallerConnections} from './gateway/callerconnections';
import {divideMemory} from './gateway/callermemory';
import {callerDescriptors} from './gateway/connections';
import {AnswerAccount, BodyAccount} from './gateway/memoryaccounts';
import {limitLog} from './observe/loglimit';
import {describeEnd} from './gateway/attemptend';
import {CrashMonitor} from './gateway/crashmonitor';
import {RequestDispatcher} from './gateway/dispatcher';
import {Exchange, requestDeadlineMs} from './gateway/exchange';
import {ExplainHandler} from './gateway/explainhandler';
import {
  EXPLAIN_PATH,
  Explanation,
  EXPLANATION_FORMAT,
  explainRoute,
  RequestDescription,
} from './gateway/explanation';
import {admitRequest} from './gateway/requestadmission';
import {CallerServer} from './gateway/callerserver';
import {
  EndpointHost,
  LoadPublisher,
  LoadSubscriber,
} from './gateway/loadreports';
import {answerReadiness, listenAt} from './gateway/readiness';
import {StoreProgress} from './gateway/storeprogress';
import {TableWatch} from './gateway/tablewatch';
import {watchTimes} from './gateway/watchtimes';
import {BoundedServerLimits, createBoundedServer} from './kernel/boundedserver';
import {Clock, msSince, repeatEvery, systemClock, Timer} from './kernel/clock';
import {JsonClient} from './kernel/jsonclient';
import {LoopDelayMonitor} from './observe/loopdelay';
import {MetricsRegistry} from './observe/prometheus';
import {Log, logFor} from './observe/log';
import {Program} from './kernel/program';
import {version} from './kernel/version';
import {MAP_PATH, RankAgent} from './ranks/agent';
import {Coordinator} from './ranks/coordinator';
import {PassObserver} from './ranks/passobserver';
import {currentTarget, passTarget} from './ranks/passtarget';
import {createRankClient, PASSED_MAP_TIMEOUT_MS} from './ranks/rankclient';
import {RoundTrips} from './ranks/roundtrip';
import {DutyPerformer, wireDutyHolder, wireUsageCounter} from './wiring-duties';

/**
 * Longest wait of a sidecar's polls, in milliseconds. It is long because a
 * sidecar only needs the members of its group.
 */
const SIDECAR_POLL_WAIT_MS = 20_000;
/** Interval between a sidecar's load reports, in milliseconds. */
const LOAD_REPORT_INTERVAL_MS = 250;
/**
 * Time for which a rank may copy experts in one change, in milliseconds. It
 * copies them one after another, and demand shifts every few seconds, so small
 * changes help sooner.
 */
const MAX_COPY_MS_PER_CHANGE = 400;
/** Smallest reduction of a set's smoothed skew that justifies one copy. */
const MIN_SKEW_GAIN_PER_COPY = 0.01;
/**
 * Skew below which the expert map is not changed. A pass takes 55 ms when
 * balanced and may take 120 ms, so removing the last tenth of skew would cost
 * copies and gain callers nothing.
 */
const MIN_SKEW_TO_REBALANCE = 1.15;
/**
 * Smallest reduction of the mean skew that justifies a change. Each change may
 * hold the group for part of a pass, which all its streams notice.
 */
const MIN_SKEW_GAIN_PER_CHANGE = 0.08;
/**
 * Fraction of the revocation time after which keys are no longer accepted on a
 * configuration that could not be confirmed. The rest is for the request to
 * arrive.
 */
const MAX_CONFIGURATION_AGE_FRACTION = 0.7;

/** Status of a request that was refused and has not run. */
const NOT_RUN_STATUS = 503;
/**
 * A balancer and a scraper have a connection each, or several that overlap when
 * they reconnect; both send requests without a body.
 */
const INTERNAL_PORT_LIMITS: BoundedServerLimits = {
  connections: 12,
  idleMs: 5_000,
  readsBodies: false,
};
/**
 * Connections of other sidecars: a coordinator has a few, and all sidecars of a
 * large group may ask when it has changed.
 */
const MAX_ORDER_CONNECTIONS = 256;
/** A sidecar has one such connection for so many descriptors. */
const ORDER_DESCRIPTORS = 4;
/** Sidecars send an order at once; their timeouts are shorter. */
const ORDER_IDLE_MS = 5_000;

/** Largest body until a configuration sets one. */
const DEFAULT_BODY_BYTES = 4_194_304;

/** How long a stopping entry still accepts requests, in milliseconds. */
const DRAIN_ACCEPT_MS = 3_000;
/** Time reserved for the process to exit before it is killed. */
const SHUTDOWN_MARGIN_MS = 500;
const DRAIN_POLL_INTERVAL_MS = 50;
/** Time for answers to be sent before the process exits. */
const LAST_ANSWERS_MS = 100;

/** The program that serves callers. */
export function wirePlatformEntry(
  deployment: Deployment,
  clock: Clock = systemClock,
): Program {
  const {instance, zone, bounds, ip, peerPort} = deployment;
  const log = logFor('entry', {instance, zone});
  const jsonClient = new JsonClient(new InputPace(clock));
  const keyAgeMs = maxConfigurationAgeMs(bounds);
  const times = watchTimes({...bounds, keyAgeMs});
  const store = createStoreClient(
    deployment.store,
    jsonClient,
    clock,
    times.answerTimeoutMs,
  );
  const registry = new MetricsRegistry();
  const crashMonitor = new CrashMonitor({
    instance,
    store: createCrashStore(store),
    clock,
    log,
    random: Math.random,
    handleQuarantine: () => dispatcher.handleQuarantine(),
    isRegistered: endpoint => dispatcher.isRegistered(endpoint),
  });
  const dispatcher: RequestDispatcher = new RequestDispatcher(
    {
      zone,
      retryRatio: bounds.retryRatio,
      retryWindowMs: bounds.retryWindowMs,
      // The platform's engines keep no prompt after its request.
      cachedPrompts: {keptMs: 0},
    },
    clock,
    Math.random,
    log,
    ({incoming: {metadata: call, route, account, arrivedMs}}, ended) => {
      const ms = Math.round(clock.elapsedMs() - arrivedMs);
      const status = String(ended.status);
      registry.increment('boragemill_requests_total', {
        route: route.name,
        status,
      });
      if (ended.status === NOT_RUN_STATUS && ended.outcome !== 'answered') {
        registry.increment('boragemill_refused_by_urgency_total', {
          urgency: String(account?.priority ?? route.priority),
          reason: ended.outcome,
        });
      }
      registry.recordDuration('boragemill_request_ms', ms, {kind: route.kind});
      for (const {outcome} of ended.tries) {
        registry.increment('boragemill_attempts_total', {outcome});
      }
      if (ended.timing) {
        const {firstEventMs, longestGapMs} = ended.timing;
        registry.recordDuration('boragemill_first_event_ms', firstEventMs);
        registry.recordDuration('boragemill_longest_gap_ms', longestGapMs);
      }
      log('info', 'request', {
        request: call.requestId,
        route: route.name,
        account: account?.name,
        outcome: ended.outcome,
        status: ended.status,
        ms,
        firstEventMs: roundedMs(ended.timing?.firstEventMs),
        longestGapMs: roundedMs(ended.timing?.longestGapMs),
        loopDelayMs: loopDelay.currentMs(),
        tries: ended.tries
          .map(t => `${t.endpoint}:${t.outcome}:${t.ms}:${t.reason ?? ''}`)
          .join(' '),
        ends: ended.tries
          .map(({end, evidence}) => `${describeEnd(end)}:${evidence}`)
          .join(' '),
        estimates: ended.tries
          .map(({estimate: {requests, reportAgeMs = -1}}) =>
            [requests, Math.round(reportAgeMs)].join(':'),
          )
          .join(' '),
        parts: ended.tries.some(t => t.outcome === 'broken')
          ? call.sharedParts.join(',')
          : undefined,
      });
    },
    (service, allowed) =>
      registry.increment('boragemill_retries_total', {
        service,
        allowed: String(allowed),
      }),
    crashMonitor,
    ({address}, limitPerS) =>
      loadSubscriber.sendLimit(hostOf(address), limitPerS),
    (exchange, beganMs) => usage?.recordRun(exchange, beganMs),
  );
  const usage = wireUsageCounter({
    deployment,
    store,
    dispatcher,
    send: (host, message) => loadSubscriber.sendUsage(host, message),
    clock,
    log,
  });
  const loopDelay = new LoopDelayMonitor(clock, log, ms =>
    registry.recordDuration('boragemill_event_loop_delay_ms', ms),
  );
  const {memoryBytes, maxFds} = deployment.machine;
  const shares = divideMemory(memoryBytes, DEFAULT_BODY_BYTES);
  const bodies = new BodyAccount(shares.bodyBytes);
  const answers = new AnswerAccount(shares.answerBytes);
  const answerPace = new InputPace(clock);
  const callerLog = limitLog(log, clock);
  const connections = new CallerConnections({
    clock,
    log: callerLog,
    limits: {
      connections: shares.connections,
      descriptors: callerDescriptors(maxFds),
    },
    countClosed: reason =>
      registry.increment('boragemill_connections_closed_total', {
        port: 'callers',
        reason,
      }),
    onSweep: () => bodies.advance(),
  });
  const callerServer = new CallerServer({
    connections,
    limitedLog: callerLog,
    bodies: {memory: bodies, pace: new InputPace(clock)},
    headers: platformHeaders,
    clock,
    log,
    catalog: () => dispatcher.currentCatalog(),
    submit: incoming =>
      dispatcher.submit(
        new Exchange(incoming, dispatcher, {
          headers: platformHeaders,
          clock,
          answers,
          pace: answerPace,
        }),
      ),
    countRefusal: (status, reason) =>
      registry.increment('boragemill_refused_total', {
        status: String(status),
        reason,
      }),
    maxConfigurationAgeMs: keyAgeMs,
    configurationMs: bounds.configurationMs,
    settleMs: bounds.contactMs,
    random: Math.random,
  });
  const progress = new StoreProgress();
  const operatorWatch = new TableWatch(
    operatorTable(store, log),
    {
      handleChange(change, isFullRead, asOf) {
        const before = dispatcher.currentCatalog().configuration;
        dispatcher.handleOperatorChange(change, isFullRead, asOf);
        if (dispatcher.currentCatalog().configuration !== before) {
          registry.increment('boragemill_configurations_applied_total', {
            read: isFullRead ? 'full' : 'changes',
          });
        }
        for (const priority of dispatcher.competingPriorities()) {
          registry.registerGauge(
            `boragemill_waiting_requests{urgency="${priority}"}`,
            () => dispatcher.waitingCount(priority),
          );
        }
        const {limits} = dispatcher.currentCatalog().configuration ?? {};
        if (!limits) return;
        callerServer.setLimits(limits);
        const {bodyBytes} = divideMemory(memoryBytes, limits.bodyBytes);
        bodies.setBudget(bodyBytes);
      },
      handleNoChange: asOf => dispatcher.handleOperatorConfirmation(asOf),
      handleInterruption: () => dispatcher.handleOperatorInterruption(),
      handleOlderRead: () => dispatcher.withdrawOperatorConfirmation(),
    },
    times.leadingWaitMs,
    clock,
    log,
    undefined,
    {progress, leads: true, times},
  );
  const endpointWatch = new TableWatch(
    endpointTable(store, log),
    {
      handleChange: (change, isFullRead) =>
        dispatcher.handleEndpointChange(change, isFullRead),
      handleNoChange: () => undefined,
    },
    times.followingWaitMs,
    clock,
    log,
    undefined,
    {progress, leads: false, times},
  );
  const crashWatch = new TableWatch(
    crashTable(store, log),
    {
      handleChange: (change, isFullRead) =>
        crashMonitor.handleRecords(change, isFullRead),
      handleNoChange: () => undefined,
    },
    times.followingWaitMs,
    clock,
    log,
    undefined,
    {progress, leads: false, times},
  );
  const loadSubscriber: LoadSubscriber = new LoadSubscriber({
    self: {host: ip, port: peerPort},
    endpoints: () => modelEndpoints(dispatcher),
    handleReport: report => {
      const found = endpointAt(dispatcher.currentCatalog(), report.address);
      if (found)
        dispatcher.handleLoadReport(
          {
            ...report,
            id: found.id,
            limitPerS: report.limitPerS,
            share: report.share,
            requestLimit: report.requestLimit,
          },
          report.gateways,
        );
    },
    handleProcessGone: address => crashMonitor.handleProcessGone(address),
    handleDuties: (host, duties) => usage?.handleDuties(host, duties),
    clock,
    log,
  });
  const boundedServer = boundedServers(clock, log, registry);
  const readiness = boundedServer('readiness', INTERNAL_PORT_LIMITS, (_, res) =>
    answerReadiness(callerServer.isReady(), res),
  );
  const metrics = boundedServer('metrics', INTERNAL_PORT_LIMITS, (req, res) => {
    const [path] = (req.url ?? '').split('?', 1);
    if (path === EXPLAIN_PATH) explanations.handle(req, res);
    else registry.handle(req, res);
  });
  registry.registerGauge('boragemill_connections', () => connections.count);
  registry.registerGauge(
    'boragemill_held_bytes{of="bodies"}',
    () => bodies.heldBytes,
  );
  registry.registerGauge(
    'boragemill_held_bytes{of="answers"}',
    () => answers.heldBytes,
  );
  const explain = (request: RequestDescription) =>
    explainRequest(request, deployment, {
      dispatcher,
      callerServer,
      clock,
    });
  const explanations = new ExplainHandler({explain, clock});
  registry.registerGauge(
    'boragemill_requests_in_flight',
    () => dispatcher.inFlight,
  );
  registry.registerGauge(
    'boragemill_configuration_version',
    () => dispatcher.currentCatalog().configuration?.version ?? 0,
  );
  registry.registerGauge(
    'boragemill_quarantined_prompt_parts',
    () => crashMonitor.quarantinedCount,
  );
  registry.registerGauge('boragemill_configuration_age_ms', () =>
    Math.round(msSince(dispatcher.currentCatalog().operatorAsOf, clock)),
  );
  return {
    async start() {
      loopDelay.start();
      // The first read may be of an older state like any after an interruption.
      dispatcher.handleOperatorInterruption();
      void operatorWatch.run();
      void endpointWatch.run();
      void crashWatch.run();
      await loadSubscriber.start();
      usage?.start();
      await listenForMetrics(metrics, deployment, log);
      if (deployment.readiness) await listenAt(readiness, deployment.readiness);
      if (deployment.callers) await callerServer.listen(deployment.callers);
    },
    async stop() {
      callerServer.drain();
      const endMs = clock.elapsedMs() + bounds.graceMs - SHUTDOWN_MARGIN_MS;
      dispatcher.stopBy(endMs);
      await sleep(clock, DRAIN_ACCEPT_MS);
      callerServer.close();
      while (dispatcher.inFlight > 0 && clock.elapsedMs() < endMs) {
        await sleep(clock, DRAIN_POLL_INTERVAL_MS);
      }
      if (dispatcher.inFlight > 0) {
        dispatcher.endAll();
        await sleep(clock, LAST_ANSWERS_MS);
      }
      operatorWatch.stop();
      endpointWatch.stop();
      crashWatch.stop();
      usage?.stop();
      loadSubscriber.stop();
      loopDelay.stop();
      readiness.close();
      metrics.close();
      jsonClient.close();
    },
  };
}

/** Age of the configuration above which keys are refused. */
function maxConfigurationAgeMs({failClosed, revokeMs}: Bounds): number {
  return failClosed ? revokeMs * MAX_CONFIGURATION_AGE_FRACTION : Infinity;
}

function roundedMs(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

/** The host of an address `IP:port`. */
function hostOf(address: string): string {
  return address.slice(0, address.indexOf(':'));
}

/** Endpoints that may have a sidecar: those of model engines, one per host. */
function modelEndpoints(
  dispatcher: RequestDispatcher,
): readonly EndpointHost[] {
  const catalog = dispatcher.currentCatalog();
  const targets = new Map(
    [...catalog.services.keys()].map(name => [name, passTarget(catalog, name)]),
  );
  const hosts = new Map<string, EndpointHost>();
  for (const {address, service, slots} of catalog.endpoints.values()) {
    if (catalog.services.get(service)?.engine === undefined) continue;
    const host = hostOf(address);
    hosts.set(host, {host, slots, target: targets.get(service)});
  }
  return [...hosts.values()];
}

/** The program beside a model endpoint. */
export function wirePlatformSidecar(
  deployment: Deployment,
  clock: Clock = systemClock,
  perform?: DutyPerformer,
): Program {
  const {instance, zone, ip, peerPort, endpoint = '', service} = deployment;
  const log = logFor('sidecar', {instance, zone});
  const jsonClient = new JsonClient(new InputPace(clock));
  const times = watchTimes({...deployment.bounds, keyAgeMs: Infinity});
  const store = createStoreClient(
    deployment.store,
    jsonClient,
    clock,
    times.answerTimeoutMs,
  );
  const {memoryBytes, maxFds} = deployment.machine;
  const orderBodies = new BodyAccount(
    divideMemory(memoryBytes, DEFAULT_BODY_BYTES).bodyBytes,
  );
  const agent = new RankAgent(
    createEngineClient(endpoint, jsonClient),
    clock,
    log,
    {memory: orderBodies, pace: new InputPace(clock)},
    (sidecar, reference) =>
      jsonClient.call(
        'POST',
        sidecar,
        MAP_PATH,
        {reference, passTo: []},
        PASSED_MAP_TIMEOUT_MS,
      ),
  );
  const publisher = new LoadPublisher(
    {host: ip, port: peerPort},
    clock,
    log,
    heartbeat => agent.recordSign(heartbeat),
    (message, from) => duties?.handleMessage(message, from),
    message => duties?.handleUsage(message),
  );
  let catalog = emptyCatalog;
  const operatorWatch = new TableWatch(
    operatorTable(store, log),
    {
      handleChange(change, isFullRead, asOf) {
        catalog = applyOperatorChange(catalog, change, isFullRead, asOf);
      },
      handleNoChange: () => undefined,
    },
    SIDECAR_POLL_WAIT_MS,
    clock,
    log,
    () => coordinator.isLeading(),
  );
  const endpointWatch = new TableWatch(
    endpointTable(store, log),
    {
      handleChange(change, isFullRead) {
        catalog = applyEndpointChange(
          catalog,
          change,
          isFullRead,
          clock.elapsedMs(),
        );
      },
      handleNoChange: () => undefined,
    },
    SIDECAR_POLL_WAIT_MS,
    clock,
    log,
    () => coordinator.isLeading(),
  );
  const roundTrips = new RoundTrips();
  const coordinator: Coordinator = new Coordinator({
    agent,
    addresses: () =>
      catalog.endpoints
        .valueSeq()
        .filter(e => e.service === service)
        .map(e => e.address)
        .toArray(),
    clientFor: address => {
      const sidecar = `${hostOf(address)}:${peerPort}`;
      return createRankClient(
        address,
        sidecar,
        createEngineClient(address, jsonClient),
        jsonClient,
        clock,
        roundTrips,
      );
    },
    sendHeartbeat: (addresses, heartbeat) =>
      publisher.sendHeartbeat(addresses.map(hostOf), heartbeat),
    limits: () => {
      const experts = catalog.services.get(service ?? '')?.engine?.experts;
      if (!experts) return undefined;
      const maxNewPerRank = Math.max(
        1,
        Math.floor(MAX_COPY_MS_PER_CHANGE / experts.copyMs),
      );
      return {
        sets: experts.sets,
        experts: experts.experts,
        slotsPerRank: experts.slotsPerRank,
        maxNewPerRankAndSet: Math.min(experts.maxNewPerChange, maxNewPerRank),
        maxNewPerRank,
        minGainPerCopy: MIN_SKEW_GAIN_PER_COPY,
        minSkew: MIN_SKEW_TO_REBALANCE,
        minSkewGain: MIN_SKEW_GAIN_PER_CHANGE,
        copyMsPerExpert: experts.copyMs,
      };
    },
    clock,
    log,
    random: Math.random,
  });
  const registry = new MetricsRegistry();
  const boundedServer = boundedServers(clock, log, registry);
  const peers = boundedServer(
    'orders',
    {
      connections: Math.min(
        MAX_ORDER_CONNECTIONS,
        Math.floor(callerDescriptors(maxFds) / ORDER_DESCRIPTORS),
      ),
      idleMs: ORDER_IDLE_MS,
      readsBodies: true,
    },
    (req, res) => agent.handle(req, res),
    () => orderBodies.advance(),
  );
  const duties = wireDutyHolder({
    deployment,
    store,
    catalog: () => catalog,
    isCandidate: () => coordinator.isLeading(),
    gateways: () => publisher.subscriberCount,
    send: (message, peer) => publisher.sendDuty(message, peer),
    perform,
    registry,
    clock,
    log,
  });
  registry.registerGauge('boragemill_coordinates', () =>
    Number(coordinator.isLeading()),
  );
  registry.registerGauge(
    'boragemill_map_changes_total',
    () => coordinator.completedChanges,
  );
  const metrics = boundedServer('metrics', INTERNAL_PORT_LIMITS, (req, res) =>
    registry.handle(req, res),
  );
  registry.registerGauge(
    'boragemill_held_bytes{of="bodies"}',
    () => orderBodies.heldBytes,
  );
  const passes = new PassObserver(
    () =>
      currentTarget(passTarget(catalog, service ?? ''), publisher.heardTarget),
    clock,
    log,
    () => coordinator.isLeading(),
  );
  registry.registerGauge('boragemill_pass_ms', () =>
    Math.round(passes.lastMeanMs),
  );
  registry.registerGauge('boragemill_request_limit', () => passes.limit ?? 0);
  let reports: Timer | undefined;
  return {
    async start() {
      void operatorWatch.run();
      void endpointWatch.run();
      await publisher.start();
      await listenForMetrics(metrics, deployment, log);
      await listenAt(peers, `${ip}:${peerPort}`);
      reports = repeatEvery(clock, LOAD_REPORT_INTERVAL_MS, () => {
        agent.report().then(
          report => {
            passes.handleReport(report);
            const {running, queued, group, epoch, open, pace} = report;
            const load = {running, queued, group, epoch, open, pace};
            publisher.publish({
              address: endpoint,
              ...load,
              requestLimit: passes.limit,
              duties: duties?.held,
            });
          },
          (error: unknown) => {
            log('debug', 'load report failed', {reason: String(error)});
            if (isConnectionRefused(error))
              publisher.publishProcessGone(endpoint);
          },
        );
      });
      coordinator.start();
      duties?.start();
    },
    async stop() {
      await Promise.all([duties?.stop(), coordinator.stop()]);
      reports?.cancel();
      operatorWatch.stop();
      endpointWatch.stop();
      publisher.stop();
      peers.close();
      metrics.close();
      jsonClient.close();
    },
  };
}

function isConnectionRefused(error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}

/** Runs the decisions of the data path for a request that is not sent. */
function explainRequest(
  request: RequestDescription,
  {instance, zone}: Deployment,
  parts: {
    readonly dispatcher: RequestDispatcher;
    readonly callerServer: CallerServer;
    readonly clock: Clock;
  },
): Explanation | {readonly kind: 'unknown account'} {
  const {dispatcher, callerServer, clock} = parts;
  const catalog = dispatcher.currentCatalog();
  const {configuration, operatorAsOf} = catalog;
  const account = configuration?.accounts.find(a => a.name === request.account);
  if (configuration && request.account !== undefined && !account)
    return {kind: 'unknown account'};
  const admission = admitRequest(callerServer.admissionState(), {
    host: request.host,
    target: request.path,
    readAccount: () => account,
  });
  const arrivedMs = clock.elapsedMs();
  const ageMs = Math.round(msSince(operatorAsOf, clock));
  return {
    format: EXPLANATION_FORMAT,
    version,
    entry: instance,
    zone,
    configuration: configuration?.version,
    configurationAgeMs: configuration ? ageMs : undefined,
    request,
    ...explainRoute(admission, (service, route, maxCandidates) =>
      dispatcher.explain(
        {
          service,
          route,
          account,
          arrivedMs,
          deadlineMs: requestDeadlineMs(route, request, arrivedMs),
          triedEndpoints: new Set(),
          parts: request.parts,
          promptTokens: request.promptTokens,
        },
        maxCandidates,
      ),
    ),
  };
}

/** Servers of one process, which count and log on which port something happened. */
function boundedServers(clock: Clock, log: Log, registry: MetricsRegistry) {
  return (
    port: string,
    limits: BoundedServerLimits,
    handle: http.RequestListener,
    onSweep?: () => void,
  ): http.Server =>
    createBoundedServer(limits, handle, {
      clock,
      log: limitLog(
        (level, event, fields) => log(level, event, {port, ...fields}),
        clock,
      ),
      countClosed: reason =>
        registry.increment('boragemill_connections_closed_total', {
          port,
          reason,
        }),
      onSweep,
    });
}

/** Logs a failure to listen; callers are served without metrics too. */
async function listenForMetrics(
  server: http.Server,
  {ip, metricsPort}: Deployment,
  log: Log,
): Promise<void> {
  try {
    await listenAt(server, `${ip}:${metricsPort}`);
  } catch (error) {
    log('error', 'cannot listen on the metrics port', {reason: String(error)});
  }
}

function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise(done => clock.after(ms, done));
}
