/**
 * The replicas that are there. After an outage of the store, entries that
 * lapsed meanwhile come back within about two seconds, so a replica that is
 * missing then is still asked for a while, where nothing better is left.
 *
 * A replica may start again under its name and then knows nothing of before.
 * Its later start is known by the time it tells.
 */
import type {Clock} from '../types/runtime.js';
import type {DirectReplica} from './types.js';

/** A removal this soon after a failed call may be a lapse, not an end. */
const OUTAGE_DOUBT_MS = 2_500;
/** Lapsed replicas that live are back in the store by then. */
const LAPSED_USE_MS = 1_900;
/**
 * A record of an earlier start is a late write of a process that is gone, and
 * the living one writes over it at its next heartbeat, a second or so later.
 * One that stands for longer is the truth: its host's time of day was set back.
 */
const EARLIER_START_MS = 3_000;
/** A removed replica's streams are ended if it starts again within this time. */
const REMEMBERED_MS = 30_000;
/**
 * What a store that came back from a copy lists of a replica that was leaving,
 * or had gone, is as old as the copy. One that leaves writes so again within a
 * heartbeat; the record of one that is gone lapses after three.
 */
const COPY_DOUBT_MS = 4_000;

export interface ReplicaTable {
  setAll(replicas: ReadonlyMap<string, DirectReplica>): void;
  /** By name; an undefined one was removed. */
  applyChanges(replicas: ReadonlyMap<string, DirectReplica | undefined>): void;
  /** A call to the store failed just now. */
  storeFailed(): void;
  /** The store has come back from an older copy. */
  storeRestored(): void;
  /** Replicas of a service that may get new work. */
  availableFor(service: string): readonly DirectReplica[];
  /** This start of a replica was told to leave, or its record is gone. */
  isLeaving(replicaId: string): boolean;
  size(): number;
}

export interface ReplicaTableOptions {
  readonly clock: Clock;
  /**
   * It was removed; work that it has may still be answered. `mayHaveLapsed`
   * where the store failed just before, so that it may live.
   */
  onRemoved(replica: DirectReplica, mayHaveLapsed: boolean): void;
  /** A later start took its name: it will answer nothing more. */
  onRestarted(replica: DirectReplica, now: DirectReplica): void;
}

interface Removed {
  readonly replica: DirectReplica;
  readonly at: number;
  /** Used until then, as its record may have lapsed. */
  readonly usedUntil: number;
}

interface EarlierStart {
  readonly replica: DirectReplica;
  readonly since: number;
}

export function createReplicaTable({
  clock,
  onRemoved,
  onRestarted,
}: ReplicaTableOptions): ReplicaTable {
  const present = new Map<string, DirectReplica>();
  const removed = new Map<string, Removed>();
  const earlier = new Map<string, EarlierStart>();
  let failedAt = Number.NEGATIVE_INFINITY;
  let doubtedUntil = Number.NEGATIVE_INFINITY;
  /** Starts that were leaving or gone when the store came back from a copy. */
  let leftBefore: ReadonlySet<string> = new Set();
  /** Records of such, by name, as the copy has them. */
  const heldBack = new Map<string, DirectReplica>();

  const remove = (name: string) => {
    earlier.delete(name);
    heldBack.delete(name);
    const replica = present.get(name);
    if (replica === undefined) return;
    present.delete(name);
    const at = clock.now();
    const mayHaveLapsed = at - failedAt < OUTAGE_DOUBT_MS && !replica.leaving;
    const usedUntil = mayHaveLapsed ? at + LAPSED_USE_MS : at;
    removed.set(name, {replica, at, usedUntil});
    onRemoved(replica, mayHaveLapsed);
  };
  const take = (replica: DirectReplica) => {
    const {name} = replica;
    const before = present.get(name) ?? removed.get(name)?.replica;
    present.set(name, replica);
    removed.delete(name);
    earlier.delete(name);
    const isOther = before !== undefined && before.id !== replica.id;
    if (isOther) onRestarted(before, replica);
  };
  /** Of one that was leaving or gone, a copy of the store knows nothing new. */
  const putListed = (replica: DirectReplica) => {
    const isDoubted = clock.now() < doubtedUntil && leftBefore.has(replica.id);
    if (isDoubted && !replica.leaving) heldBack.set(replica.name, replica);
    else put(replica);
  };
  const put = (replica: DirectReplica) => {
    const {name} = replica;
    const known = present.get(name);
    if (known !== undefined && startOf(replica) < startOf(known)) {
      const since = earlier.get(name)?.since ?? clock.now();
      earlier.set(name, {replica, since});
    } else {
      take(replica);
    }
  };
  const settle = () => {
    const now = clock.now();
    if (now >= doubtedUntil) {
      for (const replica of heldBack.values()) put(replica);
      heldBack.clear();
    }
    for (const {replica, since} of [...earlier.values()]) {
      if (now - since >= EARLIER_START_MS) take(replica);
    }
    for (const [name, {at}] of removed) {
      if (now - at >= REMEMBERED_MS) removed.delete(name);
    }
  };
  const stillUsed = (service: string): readonly DirectReplica[] => {
    const now = clock.now();
    return [...removed.values()]
      .filter(({usedUntil}) => now < usedUntil)
      .map(({replica}) => replica)
      .filter(replica => replica.service === service);
  };

  return {
    setAll: replicas => {
      heldBack.clear();
      for (const name of [...present.keys()]) {
        if (!replicas.has(name)) remove(name);
      }
      for (const replica of replicas.values()) putListed(replica);
    },
    applyChanges: replicas => {
      for (const [name, replica] of replicas) {
        if (replica === undefined) {
          remove(name);
          continue;
        }
        // Written since, by the replica itself.
        heldBack.delete(name);
        put(replica);
      }
    },
    storeFailed: () => {
      failedAt = clock.now();
    },
    storeRestored: () => {
      const now = clock.now();
      // Records of those that live may have lapsed while it was away.
      failedAt = now;
      doubtedUntil = now + COPY_DOUBT_MS;
      leftBefore = new Set([
        ...[...present.values()].filter(it => it.leaving).map(it => it.id),
        ...[...removed.values()].map(it => it.replica.id),
      ]);
    },
    availableFor: service => {
      settle();
      const there = [...present.values()].filter(
        replica => replica.service === service && !replica.leaving,
      );
      return there.length > 0 ? there : stillUsed(service);
    },
    isLeaving: replicaId => {
      const here = [...present.values()].find(({id}) => id === replicaId);
      return here?.leaving ?? true;
    },
    size: () => present.size,
  };
}

/** A start whose time is not told counts as the earliest. */
function startOf({startedAt}: DirectReplica): number {
  return startedAt ?? Number.NEGATIVE_INFINITY;
}
