/**
 * Keeps the rules of this process up to date: runs the distribution decision
 * and performs its effects on the platform, the peers and the active rules.
 */
import {Clock, repeatEvery, Timer} from '../kernel/clock';
import {createTask} from '../kernel/task';
import {RulesFacts} from '../observe/facts';
import {Log} from '../observe/log';
import {Platform} from '../platform/client';
import {PeerPayload} from '../wire/messages';
import {ActiveRules} from './activerules';
import {mustStopNewWork} from './cutoff';
import {
  decideDistribution,
  DistributionEffect,
  DistributionMessage,
  DistributionState,
  initialDistribution,
  RulesText,
  VersionRef,
} from './distribution';
import {emptyRules} from './model';
import {parseRules} from './parse';
import {HEAD_KEY, parseHeadRow} from './publish';

export interface RulesTaskParts {
  readonly instance: string;
  readonly zone: string;
  readonly platform: Platform;
  readonly activeRules: ActiveRules;
  readonly clock: Clock;
  readonly log: Log;
}

/** The connection of the rules task to its peers. */
export interface PeerPort {
  send(peer: string, message: PeerPayload): void;
  /** Sends a heartbeat to every peer at once. */
  announce(): void;
}

const TICK_MS = 100;

export class RulesTask {
  private state: DistributionState;
  private peers: PeerPort = {send: () => undefined, announce: () => undefined};
  private timer: Timer | undefined;
  /** Whether the zone is cut off and must take no new work. */
  private zoneStopped = false;
  /** The rules of the last text that could be parsed. */
  private lastParsed = emptyRules;
  private readonly mailbox = createTask<DistributionMessage>(m =>
    this.handle(m),
  );

  constructor(private readonly parts: RulesTaskParts) {
    const {instance, zone} = parts;
    const findFault = (text: string) => this.tryParse(text);
    const settings = {instance, zone, findFault};
    this.state = initialDistribution(settings, parts.clock.now());
    parts.activeRules.setStoppedZone(zone);
  }

  connect(peers: PeerPort): void {
    this.peers = peers;
  }

  async start(): Promise<void> {
    this.mailbox.post({kind: 'tick'});
    this.timer = repeatEvery(this.parts.clock, TICK_MS, () => {
      this.mailbox.post({kind: 'tick'});
      this.checkCutoff();
    });
  }

  async stop(): Promise<void> {
    this.timer?.cancel();
  }

  post(message: DistributionMessage): void {
    this.mailbox.post(message);
  }

  /** Whether the process has had the highest version that it can learn of. */
  ready(): boolean {
    return this.state.ready;
  }

  inForce(): VersionRef & {readonly confirmedMs: number} {
    const {version, hash} = this.state.inForce;
    return {version, hash, confirmedMs: this.state.confirmedMs};
  }

  facts(): RulesFacts {
    const {confirmedMs, ready, reason, unreadable} = this.state;
    // Read from the active rules, because other tasks use these.
    const {version, hash, rules} = this.parts.activeRules.current();
    return {
      version,
      hash,
      confirmedMs,
      ready,
      note: unreadable?.reason ?? reason,
      stoppedByCutoff: this.zoneStopped,
      zonesOut: rules.zonesOut.toArray(),
    };
  }

  private handle(message: DistributionMessage): void {
    const now = this.parts.clock.now();
    const {state, effects} = decideDistribution(this.state, message, now);
    this.state = state;
    for (const effect of effects) this.runEffect(effect);
  }

  private runEffect(effect: DistributionEffect): void {
    const {log, activeRules} = this.parts;
    switch (effect.kind) {
      case 'readHead':
        return void this.readHead();
      case 'readObject':
        return void this.readObject(effect.wanted);
      case 'send':
        return this.peers.send(effect.peer, effect.message);
      case 'adopt':
        return this.adopt(effect.rules, effect.from);
      case 'ready':
        activeRules.setStoppedZone(undefined);
        return log('info', 'rules ready', {...this.inForce()});
      case 'waiting':
        return log('info', 'rules not ready', {reason: effect.reason});
      case 'refused': {
        const {from, reason} = effect;
        return log('error', 'rule file refused', {from, reason});
      }
    }
  }

  private adopt(rules: RulesText, from: string): void {
    const {version, hash, text} = rules;
    this.parts.activeRules.adopt({version, hash, text, rules: this.lastParsed});
    this.parts.log('info', 'rule file in force', {version, hash, from});
    this.checkCutoff();
    this.peers.announce();
  }

  private async readHead(): Promise<void> {
    const readSentMs = this.parts.clock.now().getTime();
    try {
      const row = await this.parts.platform.read(HEAD_KEY);
      const {version, hash} = parseHeadRow(row);
      const head = {version, hash};
      this.mailbox.post({kind: 'headRead', head, readSentMs: readSentMs});
    } catch (error) {
      const reason = String(error);
      this.parts.log('debug', 'cannot read the head of the rule file', {
        reason,
      });
      this.mailbox.post({kind: 'headFailed'});
    }
  }

  private async readObject(wanted: VersionRef): Promise<void> {
    try {
      const text = await this.parts.platform.getObject(wanted.hash);
      this.mailbox.post({kind: 'object', wanted, text});
    } catch {
      this.mailbox.post({kind: 'object', wanted});
    }
  }

  private checkCutoff(): void {
    if (!this.state.ready) return;
    const {activeRules, zone, clock, log} = this.parts;
    const {rules} = activeRules.current();
    const {confirmedMs} = this.state;
    const nowMs = clock.now().getTime();
    const stopped = mustStopNewWork(rules, zone, confirmedMs, nowMs);
    if (stopped !== this.zoneStopped) {
      this.zoneStopped = stopped;
      log(
        'warn',
        stopped
          ? 'zone is cut off; taking no new work'
          : 'zone is no longer cut off',
        {confirmedMs},
      );
    }
    activeRules.setStoppedZone(stopped ? zone : undefined);
  }

  /**
   * Returns why a text cannot be parsed, or undefined. Keeps the parsed rules,
   * so that `adopt` does not have to parse the text again.
   */
  private tryParse(text: string): string | undefined {
    const result = parseRules(text);
    if (result.ok) {
      this.lastParsed = result.val;
      return undefined;
    }
    const [first] = result.val;
    return `line ${first!.line}: ${first!.message}`;
  }
}
