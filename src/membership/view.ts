/**
 * Decides whom a process knows, who is live, and with whom it gossips.
 *
 * The members of a zone, in the order of a hash of their names, form a ring.
 * A process opens streams to its next two successors, to one member at a
 * hashed distance, and to one member of another zone. Each process then has
 * about eight streams whatever the size of the zone, news crosses the zone
 * in a few hops, and the two pollers are neighbours of those who replace
 * them. Members that are not neighbours are known from records that
 * heartbeats carry.
 */
import {Map} from 'immutable';
import {createHash} from 'node:crypto';
import {Heartbeat, Member} from '../wire/messages';

export interface InstanceInfo {
  readonly instance: string;
  readonly zone: string;
  readonly role: string;
  readonly address: string;
  readonly targetKind: string;
  readonly target: string;
}

export interface KnownMember extends InstanceInfo {
  readonly leaving: boolean;
  readonly ruleVersion: number;
  /** When this process last heard it itself; 0 for never. */
  readonly directMs: number;
  /** When any process is known to have heard it. */
  readonly heardMs: number;
  /** When the member last said that it hears this process. */
  readonly hearsUs: boolean;
  /** Since when this process has tried to reach it in vain; 0 if it has not. */
  readonly silentSinceMs: number;
  /** Whether the platform's list gave its address. */
  readonly inPlatformList: boolean;
  /** Whether the member itself gave its address. */
  readonly selfReportedAddress: boolean;
  /** Times that its record is still sent as news. */
  readonly updateSendsLeft: number;
}

export interface MembershipView {
  readonly self: InstanceInfo;
  readonly heartbeatMs: number;
  readonly leaving: boolean;
  readonly members: Map<string, KnownMember>;
  /** Position in the rotation of records that are no news. */
  readonly rotation: number;
}

/** A neighbour is lost after this many heartbeats. */
const MAX_MISSED_HEARTBEATS = 3;
/** Others are forgotten when nobody is known to have heard them. */
const FORGET_AFTER_MS = 300_000;
/** A member that cannot be reached is tried again after this time. */
const SILENT_RETRY_MS = 30_000;
const SUCCESSOR_COUNT = 2;
const MAX_OTHER_ZONE_NEIGHBOURS = 4;
const POLLERS_PER_ZONE = 2;
/** With eight streams, each record reaches a zone of thousands. */
const UPDATE_SENDS = 8;

export function initialView(
  self: InstanceInfo,
  heartbeatMs: number,
): MembershipView {
  return {self, heartbeatMs, leaving: false, members: Map(), rotation: 0};
}

export function ringHash(instance: string): string {
  return createHash('sha256').update(instance).digest('hex').slice(0, 16);
}

/** Adds candidates from the platform's list, which is a hint only. */
export function mergePlatformList(
  view: MembershipView,
  infos: readonly (InstanceInfo & {readonly leaving: boolean})[],
  nowMs: number,
): MembershipView {
  const members = infos
    .filter(p => p.instance !== view.self.instance)
    .map(({instance, zone, role, address, targetKind, target, leaving}) => ({
      instance,
      zone,
      role,
      address,
      targetKind,
      target,
      leaving,
    }))
    .reduce((all, info) => {
      const known = all.get(info.instance) ?? newMember(info, nowMs);
      const trusted = isHeardDirectly(view, known, nowMs);
      // The list lags: what a live member says of itself is newer. What
      // other members say of it may hold for their zones only.
      const address = known.selfReportedAddress ? known.address : info.address;
      const next = trusted
        ? {...known, address}
        : {...known, ...info, heardMs: Math.max(known.heardMs, nowMs)};
      return all.set(info.instance, {...next, inPlatformList: true});
    }, view.members);
  return {...view, members};
}

function newMember(info: InstanceInfo, nowMs: number): KnownMember {
  return {
    ...info,
    leaving: false,
    ruleVersion: 0,
    directMs: 0,
    heardMs: nowMs,
    hearsUs: true,
    silentSinceMs: 0,
    inPlatformList: false,
    selfReportedAddress: false,
    updateSendsLeft: UPDATE_SENDS,
  };
}

/** A heartbeat from the member itself. */
export function applyHeartbeat(
  view: MembershipView,
  beat: Heartbeat,
  nowMs: number,
): MembershipView {
  if (beat.instance === view.self.instance) return view;
  const known = view.members.get(beat.instance);
  const info = infoFrom(beat, known);
  const changed =
    !known ||
    known.leaving !== beat.leaving ||
    known.address !== info.address ||
    known.target !== info.target;
  const next: KnownMember = {
    ...info,
    leaving: beat.leaving,
    ruleVersion: beat.ruleVersion,
    directMs: nowMs,
    heardMs: nowMs,
    hearsUs: !beat.members.some(m => saysUnheard(view, m)),
    silentSinceMs: 0,
    inPlatformList: known?.inPlatformList ?? false,
    selfReportedAddress:
      beat.address !== '' || (known?.selfReportedAddress ?? false),
    updateSendsLeft: changed ? UPDATE_SENDS : known.updateSendsLeft,
  };
  const members = view.members.set(beat.instance, next);
  return beat.members.reduce((all, m) => applyRecord(all, m, nowMs), {
    ...view,
    members,
  });
}

function saysUnheard(
  {self}: MembershipView,
  {instance, address}: Member,
): boolean {
  return instance === self.instance && address === '';
}

/** Heartbeats after the first on a stream leave out what is unchanged. */
function infoFrom(
  beat: Heartbeat,
  known: KnownMember | undefined,
): InstanceInfo {
  if (beat.zone === '' && known) return known;
  const {instance, zone, role, targetKind, target} = beat;
  const address = beat.address || (known?.address ?? '');
  return {instance, zone, role, address, targetKind, target};
}

/** A record of a member that somebody else heard. */
function applyRecord(
  view: MembershipView,
  member: Member,
  nowMs: number,
): MembershipView {
  const {instance, address} = member;
  if (instance === view.self.instance || address === '') return view;
  const known = view.members.get(instance);
  const heardMs = Math.min(member.heardMs, nowMs);
  if (known && known.heardMs >= heardMs) return view;
  if (nowMs - heardMs > FORGET_AFTER_MS) return view;
  const {zone, role, targetKind, target, leaving, ruleVersion} = member;
  // The platform's list knows how this zone reaches an instance.
  const reachableAddress = known?.inPlatformList ? known.address : address;
  const info = {
    instance,
    zone,
    role,
    address: reachableAddress,
    targetKind,
    target,
  };
  const base = known ?? newMember(info, heardMs);
  const changed =
    !known || known.address !== reachableAddress || known.leaving !== leaving;
  const next = {
    ...base,
    ...info,
    leaving,
    ruleVersion,
    heardMs,
    updateSendsLeft: changed ? UPDATE_SENDS : base.updateSendsLeft,
  };
  return {...view, members: view.members.set(instance, next)};
}

/** A stream to the member is being tried and nothing is heard. */
export function markSilent(
  view: MembershipView,
  instance: string,
  nowMs: number,
): MembershipView {
  const known = view.members.get(instance);
  if (!known || known.silentSinceMs > 0) return view;
  const members = view.members.set(instance, {...known, silentSinceMs: nowMs});
  return {...view, members};
}

/** Forgets members that nobody has heard for long. */
export function expireMembers(
  view: MembershipView,
  nowMs: number,
): MembershipView {
  const members = view.members
    .filter(known => nowMs - known.heardMs <= FORGET_AFTER_MS)
    .map(known =>
      known.silentSinceMs > 0 && nowMs - known.silentSinceMs > SILENT_RETRY_MS
        ? {...known, silentSinceMs: 0, hearsUs: true}
        : known,
    );
  return {...view, members};
}

function isHeardDirectly(
  view: MembershipView,
  known: KnownMember,
  nowMs: number,
): boolean {
  return nowMs - known.directMs <= MAX_MISSED_HEARTBEATS * view.heartbeatMs;
}

export type Liveness = 'live' | 'unreachable' | 'lost';

/**
 * `unreachable` members do not answer this process and were heard by others
 * within the time that a record takes to travel.
 */
export function liveness(
  view: MembershipView,
  known: KnownMember,
  nowMs: number,
): Liveness {
  if (isHeardDirectly(view, known, nowMs)) return 'live';
  if (known.silentSinceMs === 0) return 'live';
  const limitMs = 2 * MAX_MISSED_HEARTBEATS * view.heartbeatMs;
  return nowMs - known.heardMs <= limitMs ? 'unreachable' : 'lost';
}

/** Whether messages pass in both directions, as far as is known. */
function isUsable(
  view: MembershipView,
  known: KnownMember,
  nowMs: number,
): boolean {
  return known.hearsUs && liveness(view, known, nowMs) === 'live';
}

function ringOf(
  view: MembershipView,
  zone: string,
  nowMs: number,
): readonly string[] {
  return view.members
    .valueSeq()
    .filter(m => m.zone === zone && !m.leaving && isUsable(view, m, nowMs))
    .map(m => m.instance)
    .concat(zone === view.self.zone ? [view.self.instance] : [])
    .sortBy(ringHash)
    .toArray();
}

/** The members to which this process opens a stream. */
export function neighbours(
  view: MembershipView,
  nowMs: number,
): readonly string[] {
  const own = view.self.instance;
  const ring = ringOf(view, view.self.zone, nowMs);
  const at = ring.indexOf(own);
  const longStep = parseInt(ringHash(own).slice(0, 8), 16) % ring.length;
  const steps = [...Array(SUCCESSOR_COUNT).keys()].map(i => i + 1);
  const inside = [...steps, longStep].map(s => ring[(at + s) % ring.length]!);
  const chosen = new Set([
    ...inside,
    ...otherZoneNeighbours(view, at, ring.length, nowMs),
  ]);
  chosen.delete(own);
  return [...chosen];
}

/** The members of a zone share the other zones out among themselves. */
function otherZoneNeighbours(
  view: MembershipView,
  at: number,
  size: number,
  nowMs: number,
): readonly string[] {
  const zones = view.members.valueSeq().map(m => m.zone);
  const others = zones.toSet().delete(view.self.zone).toArray().sort();
  if (others.length === 0) return [];
  const perMember = Math.min(
    MAX_OTHER_ZONE_NEIGHBOURS,
    Math.ceil(others.length / size),
  );
  return [...Array(perMember).keys()].flatMap(i => {
    const zone = others[(at * perMember + i) % others.length]!;
    const ring = ringOf(view, zone, nowMs);
    return ring.length === 0 ? [] : [ring[at % ring.length]!];
  });
}

/** Whether this process reads the head row for its zone. */
export function isPoller(view: MembershipView, nowMs: number): boolean {
  if (view.leaving) return false;
  const ring = ringOf(view, view.self.zone, nowMs);
  return ring.indexOf(view.self.instance) < POLLERS_PER_ZONE;
}

/**
 * The record that the next heartbeat carries: news first, then the members
 * of the own zone in turn. One record a heartbeat keeps control traffic
 * within its bound at any size of the zone.
 */
export function nextRecord(
  view: MembershipView,
): readonly [MembershipView, Member | undefined] {
  const updated = view.members.find(
    m => m.updateSendsLeft > 0 && m.address !== '',
  );
  if (updated) {
    const sent = {...updated, updateSendsLeft: updated.updateSendsLeft - 1};
    const members = view.members.set(updated.instance, sent);
    return [{...view, members}, recordOf(updated)];
  }
  const own = view.members
    .valueSeq()
    .filter(m => m.zone === view.self.zone && m.address !== '');
  const size = own.count();
  if (size === 0) return [view, undefined];
  const record = own.get(view.rotation % size)!;
  return [{...view, rotation: view.rotation + 1}, recordOf(record)];
}

function recordOf(known: KnownMember): Member {
  const {instance, zone, role, address, ruleVersion, heardMs} = known;
  const {targetKind, target, leaving} = known;
  return {
    instance,
    zone,
    role,
    address,
    ruleVersion,
    heardMs,
    targetKind,
    target,
    leaving,
  };
}

/**
 * Tells a member that it is not heard, so that it notices a cut in its own
 * direction. The record has no address and is not passed on.
 */
export function unheardNotice(
  view: MembershipView,
  to: string,
  nowMs: number,
): readonly Member[] {
  const known = view.members.get(to);
  if (
    !known ||
    known.silentSinceMs === 0 ||
    nowMs - known.silentSinceMs < view.heartbeatMs
  )
    return [];
  return [{...recordOf(known), address: ''}];
}
