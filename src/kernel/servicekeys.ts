/** The keys under which services look each other up. */
import {Claims} from '../claims/claims';
import {ClaimSweeper} from '../claims/sweep';
import {Dispatcher} from '../entry/dispatch';
import {HttpServer} from '../entry/http';
import {SidecarLinks} from '../entry/links';
import {Group} from '../experts/task';
import {Directory} from '../membership/directory';
import {Membership} from '../membership/task';
import {FactCollector} from '../observe/facts';
import {Log} from '../observe/log';
import {Metrics} from '../observe/statsd';
import {Timeline} from '../observe/timeline';
import {Platform} from '../platform/client';
import {ActiveRules} from '../rules/activerules';
import {RulesTask} from '../rules/task';
import {Endpoint} from '../sidecar/endpoint';
import {SidecarTask} from '../sidecar/task';
import {NodeServer} from '../wire/server';
import {Clock} from './clock';
import {createServiceKey} from './kernel';

export const SERVICE_KEYS = {
  clock: createServiceKey<Clock>('clock'),
  log: createServiceKey<Log>('log'),
  metrics: createServiceKey<Metrics>('metrics'),
  timeline: createServiceKey<Timeline>('timeline'),
  platform: createServiceKey<Platform>('platform'),
  activeRules: createServiceKey<ActiveRules>('rules.active'),
  rules: createServiceKey<RulesTask>('rules.task'),
  directory: createServiceKey<Directory>('membership.directory'),
  membership: createServiceKey<Membership>('membership.task'),
  facts: createServiceKey<FactCollector>('observe.facts'),
  node: createServiceKey<NodeServer>('wire.node'),
  claims: createServiceKey<Claims>('claims'),
  claimSweeper: createServiceKey<ClaimSweeper>('claims.sweep'),
  links: createServiceKey<SidecarLinks>('entry.links'),
  dispatch: createServiceKey<Dispatcher>('entry.dispatch'),
  http: createServiceKey<HttpServer>('entry.http'),
  endpoint: createServiceKey<Endpoint>('sidecar.endpoint'),
  work: createServiceKey<SidecarTask>('sidecar.work'),
  group: createServiceKey<Group>('experts.group'),
} as const;
