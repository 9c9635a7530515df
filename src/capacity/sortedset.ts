/**
 * A persistent sorted set: values sorted by a numeric rank, then by an id.
 *
 * The library `immutable` has no sorted collection, and the fair queue must
 * find its next offer without a scan. This is a treap: a binary search tree
 * by (rank, id) and a heap by a hash of the id. Its expected depth is
 * logarithmic, and equal contents always give the same tree.
 */
import {hash} from 'immutable';

/** A node of the tree. The root node stands for the whole set. */
export interface Node<V> {
  readonly rank: number;
  readonly id: string;
  readonly value: V;
  /** A hash of the id; at most as high as that of the parent node. */
  readonly heapPriority: number;
  readonly left: SortedSet<V>;
  readonly right: SortedSet<V>;
}

export type SortedSet<V> = Node<V> | undefined;

/** Adds a value; (rank, id) must not be present. */
export function insert<V>(
  tree: SortedSet<V>,
  rank: number,
  id: string,
  value: V,
): Node<V> {
  const heapPriority = mixBits(hash(id));
  return insertNode(tree, {
    rank,
    id,
    value,
    heapPriority,
    left: undefined,
    right: undefined,
  });
}

/** Removes (rank, id) if it is present. */
export function remove<V>(
  tree: SortedSet<V>,
  rank: number,
  id: string,
): SortedSet<V> {
  if (!tree) return undefined;
  const order = compare(rank, id, tree);
  if (order === 0) return join(tree.left, tree.right);
  if (order < 0) {
    const left = remove(tree.left, rank, id);
    return left === tree.left ? tree : {...tree, left};
  }
  const right = remove(tree.right, rank, id);
  return right === tree.right ? tree : {...tree, right};
}

/** The node with the lowest (rank, id). */
export function first<V>(tree: SortedSet<V>): SortedSet<V> {
  let node = tree;
  while (node?.left) node = node.left;
  return node;
}

/** All nodes in ascending order; stopping after the first few is cheap. */
export function* ascending<V>(tree: SortedSet<V>): Generator<Node<V>> {
  const path: Node<V>[] = [];
  let node = tree;
  while (node || path.length > 0) {
    while (node) {
      path.push(node);
      node = node.left;
    }
    const next: Node<V> = path.pop()!;
    yield next;
    node = next.right;
  }
}

function compare<V>(rank: number, id: string, node: Node<V>): number {
  if (rank !== node.rank) return rank < node.rank ? -1 : 1;
  if (id === node.id) return 0;
  return id < node.id ? -1 : 1;
}

function insertNode<V>(tree: SortedSet<V>, leaf: Node<V>): Node<V> {
  if (!tree) return leaf;
  if (leaf.heapPriority > tree.heapPriority) {
    const [left, right] = split(tree, leaf);
    return {...leaf, left, right};
  }
  return compare(leaf.rank, leaf.id, tree) < 0
    ? {...tree, left: insertNode(tree.left, leaf)}
    : {...tree, right: insertNode(tree.right, leaf)};
}

/** Splits a tree into the nodes below and above `key`. */
function split<V>(
  tree: SortedSet<V>,
  key: Node<V>,
): readonly [SortedSet<V>, SortedSet<V>] {
  if (!tree) return [undefined, undefined];
  if (compare(key.rank, key.id, tree) < 0) {
    const [low, high] = split(tree.left, key);
    return [low, {...tree, left: high}];
  }
  const [low, high] = split(tree.right, key);
  return [{...tree, right: low}, high];
}

/** Joins two trees; all nodes of `low` must sort before those of `high`. */
function join<V>(low: SortedSet<V>, high: SortedSet<V>): SortedSet<V> {
  if (!low) return high;
  if (!high) return low;
  return low.heapPriority > high.heapPriority
    ? {...low, right: join(low.right, high)}
    : {...high, left: join(low, high.left)};
}

/** Mixes the bits of a hash, because similar ids have similar hashes. */
function mixBits(value: number): number {
  let mixed = value | 0;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
