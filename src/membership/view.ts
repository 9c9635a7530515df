/**
 * The membership view: which members a process knows, which of them are
 * live, and to which it opens gossip streams.
 *
 * The members of a zone, sorted by a hash of their names, form a ring. A
 * process opens streams to its next two successors, to one member at a hashed
 * distance, and to one member of another zone (to up to four if the zone has
 * fewer members than there are other zones). Each process then has about
 * eight streams whatever the size of the zone, an update crosses the zone in
 * a few hops, and the two pollers are neighbours of the members that replace
 * them. Members that are not neighbours are known from records that
 * heartbeats carry.
 */
import {Map} from 'immutable';
import {createHash} from 'node:crypto';
import {Heartbeat, Member} from '../wire/messages';

/** How an instance describes itself to others. */
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
  /** When this process last received a heartbeat from it; 0 for never. */
  readonly directMs: number;
  /** The latest time at which any process is known to have heard it. */
  readonly heardMs: number;
  /** False after the member reported that it does not hear this process. */
  readonly hearsUs: boolean;
  /** Since when this process cannot reach it; 0 if it can or has not tried. */
  readonly silentSinceMs: number;
  /** Whether it was in the platform's list, with its address. */
  readonly inPlatformList: boolean;
  /** Whether the member itself sent its address. */
  readonly selfReportedAddress: boolean;
  /** How many more times its changed record is sent ahead of the rotation. */
  readonly updateSendsLeft: number;
}

export interface MembershipView {
  readonly self: InstanceInfo;
  readonly heartbeatMs: number;
  readonly leaving: boolean;
  readonly members: Map<string, KnownMember>;
  /** Position in the rotation through the unchanged records. */
  readonly rotation: number;
}

/** A neighbour is no longer live after this many silent heartbeat intervals. */
const MAX_MISSED_HEARTBEATS = 3;
/** A member is removed when it is not known to have been heard for this time. */
const FORGET_AFTER_MS = 300_000;
/** A silent member is tried again after this time. */
const SILENT_RETRY_MS = 30_000;
/** Members next in the ring to which a process opens streams. */
const SUCCESSOR_COUNT = 2;
const MAX_OTHER_ZONE_NEIGHBOURS = 4;
/** Members of each zone that poll the head row for it. */
const POLLERS_PER_ZONE = 2;
/**
 * How many times a changed record is sent before it joins the rotation. With
 * eight streams a process, this spreads it to a zone of thousands.
 */
const UPDATE_SENDS = 8;

export function initialView(
  self: InstanceInfo,
  heartbeatMs: number,
): MembershipView {
  return {self, heartbeatMs, leaving: false, members: Map(), rotation: 0};
}

/** The hash that determines the position of an instance in the ring. */
export function ringHash(instance: string): string {
  return createHash('sha256').update(instance).digest('hex').slice(0, 16);
}

/**
 * Adds the platform's list to the view. The list is only a hint: for a member
 * that is heard directly, at most its address is taken from the list.
 */
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
      const heardDirectly = isHeardDirectly(view, known, nowMs);
      // The list lags, so an address that the member sent itself is newer.
      // An address from other members may be valid in their zones only.
      const address = known.selfReportedAddress ? known.address : info.address;
      const next = heardDirectly
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

/** Applies a heartbeat, which the member itself sent, and its records. */
export function applyHeartbeat(
  view: MembershipView,
  heartbeat: Heartbeat,
  nowMs: number,
): MembershipView {
  if (heartbeat.instance === view.self.instance) return view;
  const known = view.members.get(heartbeat.instance);
  const info = infoFrom(heartbeat, known);
  const changed =
    !known ||
    known.leaving !== heartbeat.leaving ||
    known.address !== info.address ||
    known.target !== info.target;
  const next: KnownMember = {
    ...info,
    leaving: heartbeat.leaving,
    ruleVersion: heartbeat.ruleVersion,
    directMs: nowMs,
    heardMs: nowMs,
    hearsUs: !heartbeat.members.some(m => reportsNotHeard(view, m)),
    silentSinceMs: 0,
    inPlatformList: known?.inPlatformList ?? false,
    selfReportedAddress:
      heartbeat.address !== '' || (known?.selfReportedAddress ?? false),
    updateSendsLeft: changed ? UPDATE_SENDS : known.updateSendsLeft,
  };
  const members = view.members.set(heartbeat.instance, next);
  return heartbeat.members.reduce((all, m) => applyRecord(all, m, nowMs), {
    ...view,
    members,
  });
}

/** Whether a record says that its sender does not hear this process. */
function reportsNotHeard(
  {self}: MembershipView,
  {instance, address}: Member,
): boolean {
  return instance === self.instance && address === '';
}

/** Heartbeats after the first on a stream omit fields that are unchanged. */
function infoFrom(
  heartbeat: Heartbeat,
  known: KnownMember | undefined,
): InstanceInfo {
  if (heartbeat.zone === '' && known) return known;
  const {instance, zone, role, targetKind, target} = heartbeat;
  const address = heartbeat.address || (known?.address ?? '');
  return {instance, zone, role, address, targetKind, target};
}

/** Applies a record of a member that another process heard. */
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
  // The platform's list has the address that is reachable from this zone.
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

/** Marks a member that does not answer on the stream to it. */
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

/**
 * Removes members that no process has heard for long, and makes members that
 * were silent for long eligible for another attempt.
 */
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

/** Whether heartbeats of the member arrive at this process itself. */
function isHeardDirectly(
  view: MembershipView,
  known: KnownMember,
  nowMs: number,
): boolean {
  return nowMs - known.directMs <= MAX_MISSED_HEARTBEATS * view.heartbeatMs;
}

export type Liveness = 'live' | 'unreachable' | 'lost';

/**
 * Returns `unreachable` for a member that does not answer this process but
 * was heard by others within the time that a record takes to arrive.
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

/** Whether messages are known or assumed to pass in both directions. */
function isUsable(
  view: MembershipView,
  known: KnownMember,
  nowMs: number,
): boolean {
  return known.hearsUs && liveness(view, known, nowMs) === 'live';
}

/** The usable members of a zone that are not leaving, in ring order. */
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

/** Returns the members to which this process opens streams. */
export function neighbours(
  view: MembershipView,
  nowMs: number,
): readonly string[] {
  const own = view.self.instance;
  const ring = ringOf(view, view.self.zone, nowMs);
  const at = ring.indexOf(own);
  const longStep = parseInt(ringHash(own).slice(0, 8), 16) % ring.length;
  const steps = [...Array(SUCCESSOR_COUNT).keys()].map(i => i + 1);
  const ownZoneNeighbours = [...steps, longStep].map(
    s => ring[(at + s) % ring.length]!,
  );
  const chosen = new Set([
    ...ownZoneNeighbours,
    ...otherZoneNeighbours(view, at, ring.length, nowMs),
  ]);
  chosen.delete(own);
  return [...chosen];
}

/**
 * Returns the neighbours in other zones. The members of a zone divide the
 * other zones among themselves by their position in the ring.
 */
function otherZoneNeighbours(
  view: MembershipView,
  at: number,
  size: number,
  nowMs: number,
): readonly string[] {
  const zones = view.members.valueSeq().map(m => m.zone);
  const otherZones = zones.toSet().delete(view.self.zone).toArray().sort();
  if (otherZones.length === 0) return [];
  const perMember = Math.min(
    MAX_OTHER_ZONE_NEIGHBOURS,
    Math.ceil(otherZones.length / size),
  );
  return [...Array(perMember).keys()].flatMap(i => {
    const zone = otherZones[(at * perMember + i) % otherZones.length]!;
    const ring = ringOf(view, zone, nowMs);
    return ring.length === 0 ? [] : [ring[at % ring.length]!];
  });
}

/** Whether this process polls the head row for its zone. */
export function isPoller(view: MembershipView, nowMs: number): boolean {
  if (view.leaving) return false;
  const ring = ringOf(view, view.self.zone, nowMs);
  return ring.indexOf(view.self.instance) < POLLERS_PER_ZONE;
}

/**
 * Returns the record that the next heartbeat carries, and the view after it
 * was sent: changed records first, then the members of the own zone in turn.
 * One record a heartbeat bounds control traffic at any size of the zone.
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
 * Returns the record that tells a silent member that it is not heard, or no
 * record. The member then notices that its heartbeats do not arrive here. The
 * record has no address and is not passed on.
 */
export function notHeardNotice(
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
