/**
 * Loads that the other entries reported, indexed by replica. Of sixty entries
 * only a few have work at any one replica, so a replica's load is added up
 * without visiting every entry.
 */
import type {Clock} from '../types/runtime.js';
import {addPeerLoad} from './replica_load.js';
import type {LoadSum, ReplicaLoad} from './replica_load.js';

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

/** The load of one replica that one other entry reported. */
interface ReportedLoad {
  readonly receivedAt: number;
  readonly keepMs: number;
  readonly load: ReplicaLoad;
}

/** The last report of one other entry. */
interface PeerReport {
  readonly validUntil: number;
  readonly loads: readonly ReplicaLoad[];
}

export function createPeerLoads(clock: Clock) {
  const byReplica = new Map<string, Map<string, ReportedLoad>>();
  const byPeer = new Map<string, PeerReport>();
  let lastSweepAt = clock.now();

  const removeLoad = (node: string, replicaId: string): void => {
    const loads = byReplica.get(replicaId);
    loads?.delete(node);
    if (loads?.size === 0) byReplica.delete(replicaId);
  };
  const removePeer = (node: string): void => {
    const loads = byPeer.get(node)?.loads ?? [];
    for (const {replicaId} of loads) removeLoad(node, replicaId);
    byPeer.delete(node);
  };
  const removeExpired = (now: number): void => {
    if (now - lastSweepAt < SWEEP_INTERVAL_MS) return;
    lastSweepAt = now;
    for (const [node, {validUntil}] of byPeer)
      if (validUntil < now) removePeer(node);
  };
  const set = (
    node: string,
    loads: readonly ReplicaLoad[],
    keepMs = DEFAULT_KEEP_MS,
  ): void => {
    const receivedAt = clock.now();
    removePeer(node);
    removeExpired(receivedAt);
    byPeer.set(node, {validUntil: receivedAt + keepMs, loads});
    for (const load of loads) {
      const reported = byReplica.get(load.replicaId) ?? new Map();
      reported.set(node, {receivedAt, keepMs, load});
      byReplica.set(load.replicaId, reported);
    }
  };
  const addTo = (sum: LoadSum): void => {
    const reported = byReplica.get(sum.replicaId);
    if (reported === undefined) return;
    const now = clock.now();
    for (const [node, {receivedAt, keepMs, load}] of reported) {
      const ageMs = now - receivedAt;
      if (ageMs > keepMs) removeLoad(node, sum.replicaId);
      else addPeerLoad(sum, load, ageMs);
    }
  };
  return {set, addTo};
}
