/** The names under which services find each other. */
import {Claims} from '../claims/claims';
import {ClaimSweeper} from '../claims/sweep';
import {Dispatch} from '../entry/dispatch';
import {HttpServer} from '../entry/http';
import {Links} from '../entry/links';
import {Group} from '../experts/task';
import {Directory} from '../membership/directory';
import {Membership} from '../membership/task';
import {FactBoard} from '../observe/facts';
import {Log} from '../observe/log';
import {Metrics} from '../observe/metrics';
import {Timeline} from '../observe/timeline';
import {Platform} from '../platform/client';
import {RuleBoard} from '../rules/board';
import {RulesTask} from '../rules/task';
import {Endpoint} from '../sidecar/endpoint';
import {Work} from '../sidecar/work';
import {NodeServer} from '../wire/server';
import {Clock} from './clock';
import {name} from './kernel';

export const NAMES = {
  clock: name<Clock>('clock'),
  log: name<Log>('log'),
  metrics: name<Metrics>('metrics'),
  timeline: name<Timeline>('timeline'),
  platform: name<Platform>('platform'),
  board: name<RuleBoard>('rules.board'),
  rules: name<RulesTask>('rules.task'),
  directory: name<Directory>('membership.directory'),
  membership: name<Membership>('membership.task'),
  facts: name<FactBoard>('observe.facts'),
  node: name<NodeServer>('wire.node'),
  claims: name<Claims>('claims'),
  sweep: name<ClaimSweeper>('claims.sweep'),
  links: name<Links>('entry.links'),
  dispatch: name<Dispatch>('entry.dispatch'),
  http: name<HttpServer>('entry.http'),
  endpoint: name<Endpoint>('sidecar.endpoint'),
  work: name<Work>('sidecar.work'),
  group: name<Group>('experts.group'),
} as const;
