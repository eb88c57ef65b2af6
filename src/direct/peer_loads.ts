/**
 * What the other entries told of their load, kept by replica: of sixty entries
 * only a few have work at any one replica, and a choice adds up the loads of
 * all of them.
 */
import type {Clock} from '../types/runtime.js';
import {addTold} from './replica_load.js';
import type {LoadSum, ReplicaLoad} from './replica_load.js';

/** Another entry's word counts no longer than this without a newer one. */
const OTHERS_AGE_MS = 1_500;
/** Between looks for entries that are gone; what they told holds memory. */
const SWEEP_MS = 10_000;

/** What one other entry told of one replica. */
interface ToldLoad {
  readonly at: number;
  readonly keepMs: number;
  readonly load: ReplicaLoad;
}

/** All that one other entry told last. */
interface ToldByEntry {
  readonly until: number;
  readonly loads: readonly ReplicaLoad[];
}

export function createOthersLoads(clock: Clock) {
  const byReplica = new Map<string, Map<string, ToldLoad>>();
  const byEntry = new Map<string, ToldByEntry>();
  let sweptAt = clock.now();

  const drop = (node: string, replicaId: string): void => {
    const told = byReplica.get(replicaId);
    told?.delete(node);
    if (told?.size === 0) byReplica.delete(replicaId);
  };
  const forget = (node: string): void => {
    const loads = byEntry.get(node)?.loads ?? [];
    for (const {replicaId} of loads) drop(node, replicaId);
    byEntry.delete(node);
  };
  const sweep = (now: number): void => {
    if (now - sweptAt < SWEEP_MS) return;
    sweptAt = now;
    for (const [node, {until}] of byEntry) if (until < now) forget(node);
  };
  const set = (
    node: string,
    loads: readonly ReplicaLoad[],
    keepMs = OTHERS_AGE_MS,
  ): void => {
    const at = clock.now();
    forget(node);
    sweep(at);
    byEntry.set(node, {until: at + keepMs, loads});
    for (const load of loads) {
      const told = byReplica.get(load.replicaId) ?? new Map();
      told.set(node, {at, keepMs, load});
      byReplica.set(load.replicaId, told);
    }
  };
  const addTo = (sum: LoadSum): void => {
    const told = byReplica.get(sum.replicaId);
    if (told === undefined) return;
    const now = clock.now();
    for (const [node, {at, keepMs, load}] of told) {
      const ageMs = now - at;
      if (ageMs > keepMs) drop(node, sum.replicaId);
      else addTold(sum, load, ageMs);
    }
  };
  return {set, addTo};
}
