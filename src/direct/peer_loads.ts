/**
 * Loads that the peers (the other entries) reported, indexed by replica. Of
 * sixty entries only a few have work at any one replica, so a replica's load is
 * added up without visiting every entry.
 *
 * The index is the hash of the replica's id, since compact reports name
 * replicas by it. Two replicas with the same hash each seem to have the
 * reported work of both: no work is missed, and less is sent to them until one
 * restarts.
 */
import type {Clock} from '../types/runtime.js';
import {addPeerLoad, isEmptyLoad, mergeLoads} from './replica_load.js';
import type {LoadSum, PeerLoad} from './replica_load.js';
import {shortHash} from './peers/short_hash.js';

/**
 * How long a report counts by default, in milliseconds. Afterwards it is
 * ignored unless a newer one arrived.
 */
const DEFAULT_KEEP_MS = 1_500;
/**
 * Time between removals of expired reports, in milliseconds. Without them,
 * reports of entries that are gone would stay in memory.
 */
const SWEEP_INTERVAL_MS = 10_000;

/** How long a peer's report counts, and which loads it replaces. */
export interface ReportOptions {
  /**
   * How long the peer's loads count unless a newer report arrives, in
   * milliseconds.
   */
  readonly keepMs?: number;
  /**
   * Whether the report replaces all loads of the peer. Otherwise those of
   * replicas that it does not list stay as they are. @default true
   */
  readonly isWhole?: boolean;
}

/** The load of one replica that one peer reported. */
interface ReportedLoad {
  readonly receivedAt: number;
  readonly load: PeerLoad;
}

/** What one peer reported. */
interface Peer {
  validUntil: number;
  /** Hashes of the replicas where it has work. */
  readonly replicas: Set<number>;
}

export function createPeerLoads(clock: Clock) {
  const byReplica = new Map<number, Map<string, ReportedLoad>>();
  const peers = new Map<string, Peer>();
  let lastSweepAt = clock.now();

  const removeLoad = (node: string, replica: number): void => {
    const loads = byReplica.get(replica);
    loads?.delete(node);
    if (loads?.size === 0) byReplica.delete(replica);
  };
  const removePeer = (node: string): void => {
    for (const replica of peers.get(node)?.replicas ?? [])
      removeLoad(node, replica);
    peers.delete(node);
  };
  const removeExpired = (now: number): void => {
    if (now - lastSweepAt < SWEEP_INTERVAL_MS) return;
    lastSweepAt = now;
    for (const [node, {validUntil}] of peers)
      if (validUntil < now) removePeer(node);
  };
  const set = (
    node: string,
    loads: readonly PeerLoad[],
    {keepMs = DEFAULT_KEEP_MS, isWhole = true}: ReportOptions = {},
  ): void => {
    const receivedAt = clock.now();
    const isExpired = (peers.get(node)?.validUntil ?? 0) < receivedAt;
    if (isWhole || isExpired) removePeer(node);
    removeExpired(receivedAt);
    const peer = peers.get(node) ?? {validUntil: 0, replicas: new Set()};
    peer.validUntil = receivedAt + keepMs;
    peers.set(node, peer);
    const reported = new Map<number, PeerLoad>();
    for (const load of loads) {
      const replica = hashOf(load);
      const same = reported.get(replica);
      reported.set(replica, same === undefined ? load : mergeLoads(same, load));
    }
    for (const [replica, load] of reported) {
      if (isEmptyLoad(load)) {
        peer.replicas.delete(replica);
        removeLoad(node, replica);
        continue;
      }
      peer.replicas.add(replica);
      const ofReplica = byReplica.get(replica) ?? new Map();
      ofReplica.set(node, {receivedAt, load});
      byReplica.set(replica, ofReplica);
    }
  };
  const addTo = (sum: LoadSum): void => {
    const reported = byReplica.get(shortHash(sum.replicaId));
    if (reported === undefined) return;
    const now = clock.now();
    for (const [node, {receivedAt, load}] of reported) {
      if (now > (peers.get(node)?.validUntil ?? 0)) removePeer(node);
      else addPeerLoad(sum, load, now - receivedAt);
    }
  };
  return {set, addTo};
}

function hashOf({replicaId}: PeerLoad): number {
  return typeof replicaId === 'number' ? replicaId : shortHash(replicaId);
}
