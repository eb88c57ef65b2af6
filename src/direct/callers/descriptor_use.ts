/**
 * Divides the descriptors of the process between callers' connections and the
 * rest, for the load of more connections than descriptors. A request needs a
 * connection to its replica besides its caller's: where callers' connections hold
 * all descriptors, every request is refused, also on connections that were kept.
 */

/** Descriptors for files, listeners, the store, peers and ending connections. */
const OWN_DESCRIPTORS = 200;
/** On hosts with few descriptors, callers have this share of them. */
const LEAST_CALLERS_SHARE = 0.5;
/** A new connection needs its own descriptor and one to a replica. */
const NEEDED_BY_NEW = 2;
/** Idle connections are ended while more than this share is in use. */
const CROWDED_SHARE = 0.8;
/**
 * Descriptors are plentiful while callers' connections use less than this share
 * of all.
 */
const PLENTIFUL_SHARE = 0.5;

export interface DescriptorUse {
  /** Open connections of callers. */
  readonly connections: number;
  /** Connections of callers with an open request. */
  readonly busy: number;
  /** Descriptors that the host allows this process. */
  readonly maxDescriptors: number;
}

export function arePlentiful({
  connections,
  maxDescriptors,
}: DescriptorUse): boolean {
  return connections < maxDescriptors * PLENTIFUL_SHARE;
}

/** Whether a new connection can be accepted and its request be served. */
export function mayAccept(use: DescriptorUse): boolean {
  return usedBy(use) + NEEDED_BY_NEW <= availableOf(use);
}

/** Number of idle connections to end, so that new ones can be accepted. */
export function surplusOf(use: DescriptorUse): number {
  const wanted = Math.floor(availableOf(use) * CROWDED_SHARE);
  return Math.max(0, usedBy(use) - wanted);
}

/** The `count` connections with the longest idle time. */
export function longestIdle<T>(
  idleMs: ReadonlyMap<T, number>,
  count: number,
): readonly T[] {
  const ordered = [...idleMs].sort(([, a], [, b]) => b - a);
  return ordered.slice(0, count).map(([connection]) => connection);
}

function usedBy({connections, busy}: DescriptorUse): number {
  return connections + busy;
}

function availableOf({maxDescriptors}: DescriptorUse): number {
  return Math.max(
    maxDescriptors - OWN_DESCRIPTORS,
    maxDescriptors * LEAST_CALLERS_SHARE,
  );
}
