/**
 * Names an expert map in a message without sending it whole.
 *
 * The map of a large group takes many kilobytes and goes to every rank, which
 * fills the coordinator's link for longer than an order may take. An order to
 * prepare therefore holds the digest of the map that the group uses and what
 * differs from it. A sidecar knows the map that its group formed with and those
 * that it was last told of. If it does not know the map of the digest, it says so
 * and is sent the whole map; a result that has another digest than the one ordered
 * is refused.
 *
 * In a large group even the differences fill the link. There the coordinator first
 * sends them to a few ranks, which pass them on, and the orders then hold nothing
 * but the digest. A rank that the map has not reached says so and is sent it by
 * the coordinator, so nothing depends on the ranks that pass it on.
 */
import {createHash} from 'node:crypto';
import {packMap, packNumbers, unpackNumbers} from './packing';
import {RankMap, sortExperts} from './rank';

/** Dimensions of a group's expert map. */
export interface MapShape {
  readonly sets: number;
  readonly ranks: number;
  /** Number of experts in each set. */
  readonly experts: number;
}

/** A map, as what differs from one that the receiver may know. */
export interface MapReference {
  readonly shape: MapShape;
  /** Digest of the map in use. */
  readonly base: string;
  /** Digest of the map that is meant. */
  readonly digest: string;
  /** Absent if the receiver should know the map that is meant. */
  readonly changes?: string;
}

/** A rank that passes a map on, and those that it passes it on to. */
export interface MapRelay {
  readonly rank: number;
  readonly others: readonly number[];
}

/** Groups up to this size are sent a map by the coordinator alone. */
const MAX_RANKS_WITHOUT_RELAYS = 24;
const DIGEST_CHARACTERS = 16;
/** Maps that a sidecar remembers: the one in use and a few that were ordered. */
const REMEMBERED_MAPS = 4;

/** Identifies a map regardless of the order in which a rank's experts stand. */
export function mapDigest(map: RankMap): string {
  return createHash('sha256')
    .update(packMap(sortExperts(map)))
    .digest('base64')
    .slice(0, DIGEST_CHARACTERS);
}

/** The map with which a group forms: each set's experts assigned in turn. */
export function initialMap({sets, ranks, experts}: MapShape): RankMap {
  return Array.from({length: sets}, () =>
    Array.from({length: ranks}, (_, rank) =>
      Array.from(
        {length: Math.max(0, Math.ceil((experts - rank) / ranks))},
        (_, i) => i * ranks + rank,
      ),
    ),
  );
}

/**
 * Divides a group so that the coordinator sends a map to about as many ranks as
 * each of them passes it on to; none if the group is small.
 */
export function relaysOf(size: number): readonly MapRelay[] {
  if (size <= MAX_RANKS_WITHOUT_RELAYS) return [];
  const length = Math.ceil(Math.sqrt(size));
  const ranks = Array.from({length: size}, (_, rank) => rank);
  return Array.from({length: Math.ceil(size / length)}, (_, i) => {
    const [rank = 0, ...others] = ranks.slice(i * length, (i + 1) * length);
    return {rank, others};
  });
}

export function referTo(map: RankMap, base: RankMap): MapReference {
  const numbers: number[] = [];
  map.forEach((ranks, set) =>
    ranks.forEach((held, rank) => {
      const before = new Set(base[set]![rank]!);
      const now = new Set(held);
      const added = held.filter(expert => !before.has(expert));
      const dropped = [...before].filter(expert => !now.has(expert));
      if (added.length + dropped.length === 0) return;
      numbers.push(set, rank, added.length, ...added);
      numbers.push(dropped.length, ...dropped);
    }),
  );
  return {
    shape: shapeOf(base),
    base: mapDigest(base),
    digest: mapDigest(map),
    changes: packNumbers(numbers),
  };
}

/** The maps that a sidecar knows by their digests. */
export class KnownMaps {
  private readonly maps = new Map<string, RankMap>();

  /** Remembers a map; forgets the one that was used least recently. */
  remember(map: RankMap, digest: string = mapDigest(map)): void {
    this.maps.delete(digest);
    this.maps.set(digest, sortExperts(map));
    if (this.maps.size <= REMEMBERED_MAPS) return;
    const oldest = this.maps.keys().next().value;
    if (oldest !== undefined) this.maps.delete(oldest);
  }

  /**
   * The map that is meant; undefined if its base is unknown. Throws a RangeError
   * if the changes do not fit the base or do not lead to the digest.
   */
  resolve(reference: MapReference): RankMap | undefined {
    const {shape, base, digest, changes} = reference;
    const meant = this.maps.get(digest);
    if (meant || changes === undefined) return meant;
    const known = this.maps.get(base) ?? initialMapWith(shape, base);
    if (!known) return undefined;
    const map = applyChanges(known, unpackNumbers(changes));
    if (mapDigest(map) !== digest)
      throw new RangeError('map changes lead to another map');
    this.remember(known, base);
    this.remember(map, digest);
    return map;
  }
}

/** Each expert of a set is on at least one rank. */
function shapeOf(map: RankMap): MapShape {
  const highest = map.flat(2).reduce((max, n) => Math.max(max, n), -1);
  return {
    sets: map.length,
    ranks: map[0]?.length ?? 0,
    experts: highest + 1,
  };
}

function initialMapWith(shape: MapShape, digest: string): RankMap | undefined {
  const map = initialMap(shape);
  return mapDigest(map) === digest ? map : undefined;
}

function applyChanges(base: RankMap, numbers: readonly number[]): RankMap {
  const map = base.map(ranks => ranks.map(held => new Set(held)));
  let at = 0;
  const take = () => {
    const number = numbers[at];
    at += 1;
    if (number === undefined) throw new RangeError('map changes end early');
    return number;
  };
  while (at < numbers.length) {
    const held = map[take()]?.[take()];
    if (!held) throw new RangeError('map changes name an unknown rank');
    for (let left = take(); left > 0; left--) held.add(take());
    for (let left = take(); left > 0; left--) held.delete(take());
  }
  return sortExperts(map.map(ranks => ranks.map(held => [...held])));
}
