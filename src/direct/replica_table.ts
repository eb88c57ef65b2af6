/**
 * Table of the known replicas. Records may expire during an outage of the
 * store, and live replicas write theirs again within about two seconds after
 * it. So a replica whose record disappears then is still used for a while, if
 * its service has no other one.
 *
 * A replica may restart under its name, and a restarted one has none of the
 * earlier state. The start time in the records shows which start is the later.
 */
import type {Clock} from '../types/runtime.js';
import {createRecentMap} from '../utils/recent_map.js';
import {runAll, visitAll} from '../utils/run_each.js';
import type {DirectReplica} from './types.js';

/**
 * A removal within this time after a failed store call may mean that the record
 * expired while the replica lives.
 */
const EXPIRY_SUSPECTED_MS = 2_500;
/**
 * A replica whose record may have expired is used for this long. A live one has
 * written its record again by then.
 */
const USE_AFTER_EXPIRY_MS = 1_900;
/**
 * Time after which a record with an earlier start time is accepted. At first it
 * counts as a late write of a process that is gone: the live process overwrites
 * it at its next heartbeat, about a second later, or two and a half seconds
 * after that if it is paused. A record that persists is valid, and the host's
 * time of day was set back.
 */
const EARLIER_START_ACCEPTED_MS = 4_500;
/**
 * A removed replica is kept for this long, so that its restart is recognised
 * and its open streams are ended.
 */
const REMOVED_KEPT_MS = 30_000;
/**
 * Time after a restore of the store from a copy during which its records of
 * replicas that were leaving or removed are not trusted, because they are as
 * old as the copy. A leaving replica writes its state again within a heartbeat;
 * the record of a replica that is gone expires after three heartbeats.
 */
const RESTORE_DISTRUST_MS = 4_000;
/**
 * Most ended starts whose failure domain is still known, since a request may be
 * about to be sent to one. A replica that keeps crashing ends one start a
 * second.
 */
const MAX_ENDED_STARTS = 1_000;

export interface ReplicaTable {
  /** Replaces all replicas, by name. */
  replaceAll(replicas: ReadonlyMap<string, DirectReplica>): void;
  /** Applies changes, by name; an undefined value means removed. */
  applyChanges(replicas: ReadonlyMap<string, DirectReplica | undefined>): void;
  /** Records that a call to the store failed just now. */
  storeFailed(): void;
  /** Records that the store was restored from an older copy. */
  storeRestored(): void;
  /**
   * Records that this entry started while the store's writes may be lost, since
   * it may have been restored from an older copy.
   */
  startedUnsettled(): void;
  /**
   * Replicas of a service that may get new work by their records. Some may have
   * stated themselves that they are shutting down.
   */
  availableFor(service: string): readonly DirectReplica[];
  /** Whether the replica is shutting down or has no record any more. */
  isLeaving(replicaId: string): boolean;
  /** The known replica at an address, as IP:PORT. */
  findAt(address: string): DirectReplica | undefined;
  /**
   * Failure domain of a replica that is known, was removed or restarted a short
   * while ago; undefined otherwise.
   */
  failureDomainOf(replicaId: string): string | undefined;
  /** Number of known replicas in the failure domain. */
  countIn(failureDomain: string): number;
  size(): number;
}

export interface ReplicaTableOptions {
  readonly clock: Clock;
  /**
   * Whether the replica itself stated that it is shutting down, whatever its
   * record says. @default none did
   */
  saysLeaving?(replicaId: string): boolean;
  /**
   * A replica's record was removed; its open work may still be answered.
   * `mayHaveLapsed` is true when the store failed just before, so that the
   * replica may live and only its record may have expired.
   */
  onRemoved(replica: DirectReplica, mayHaveLapsed: boolean): void;
  /**
   * `now` is a later start under the same name; `replica` answers no more.
   * With `mayBeSame`, the record of `replica` may be from an outdated copy of the
   * store, so that `now` may have run already.
   */
  onRestarted(
    replica: DirectReplica,
    now: DirectReplica,
    mayBeSame: boolean,
  ): void;
}

interface Removed {
  readonly replica: DirectReplica;
  /** Time of the removal on this process's clock, in milliseconds. */
  readonly removedAt: number;
  /** Until then the replica gets work, since its record may only have expired. */
  readonly usedUntil: number;
}

interface EarlierStart {
  readonly replica: DirectReplica;
  /** Time at which such a record was first seen, in milliseconds. */
  readonly since: number;
}

export function createReplicaTable({
  clock,
  saysLeaving = () => false,
  onRemoved,
  onRestarted,
}: ReplicaTableOptions): ReplicaTable {
  const present = new Map<string, DirectReplica>();
  const removed = new Map<string, Removed>();
  const earlierStarts = new Map<string, EarlierStart>();
  /** Failure domains by id, of replicas that are present or removed. */
  const domains = new Map<string, string>();
  /** The same for starts that ended. */
  const endedDomains = createRecentMap<string>(MAX_ENDED_STARTS);
  let storeFailedAt = Number.NEGATIVE_INFINITY;
  let distrustedUntil = Number.NEGATIVE_INFINITY;
  /** Ids of replicas that were leaving or removed when the store was restored. */
  let leftBeforeRestore: ReadonlySet<string> = new Set();
  /** Untrusted records of those replicas from the restored copy, by name. */
  const untrusted = new Map<string, DirectReplica>();
  /** Until then, records may be as old as a copy of the store. */
  let outdatedUntil = Number.NEGATIVE_INFINITY;

  const remove = (name: string) => {
    earlierStarts.delete(name);
    untrusted.delete(name);
    const replica = present.get(name);
    if (replica === undefined) return;
    present.delete(name);
    const removedAt = clock.now();
    const isLeaving = replica.leaving || saysLeaving(replica.id);
    const mayHaveLapsed =
      removedAt - storeFailedAt < EXPIRY_SUSPECTED_MS && !isLeaving;
    const usedUntil = mayHaveLapsed
      ? removedAt + USE_AFTER_EXPIRY_MS
      : removedAt;
    removed.set(name, {replica, removedAt, usedUntil});
    onRemoved(replica, mayHaveLapsed);
  };
  const forgetDomain = ({id, failureDomain}: DirectReplica) => {
    domains.delete(id);
    endedDomains.set(id, failureDomain);
  };
  const accept = (replica: DirectReplica) => {
    const {name} = replica;
    const previous = present.get(name) ?? removed.get(name)?.replica;
    if (previous !== undefined) forgetDomain(previous);
    domains.set(replica.id, replica.failureDomain);
    present.set(name, replica);
    removed.delete(name);
    earlierStarts.delete(name);
    const isRestart = previous !== undefined && previous.id !== replica.id;
    if (!isRestart) return;
    onRestarted(previous, replica, clock.now() < outdatedUntil);
  };
  /** Takes a listed record, unless a restored copy makes it untrustworthy. */
  const putListedRecord = (replica: DirectReplica) => {
    const isUntrusted =
      clock.now() < distrustedUntil && leftBeforeRestore.has(replica.id);
    if (isUntrusted && !replica.leaving) untrusted.set(replica.name, replica);
    else put(replica);
  };
  const put = (replica: DirectReplica) => {
    const {name} = replica;
    const known = present.get(name);
    if (known !== undefined && startTimeOf(replica) < startTimeOf(known)) {
      const since = earlierStarts.get(name)?.since ?? clock.now();
      earlierStarts.set(name, {replica, since});
    } else {
      accept(replica);
    }
  };
  const updateExpired = () => {
    const now = clock.now();
    if (now >= distrustedUntil) {
      for (const replica of untrusted.values()) put(replica);
      untrusted.clear();
    }
    for (const {replica, since} of [...earlierStarts.values()]) {
      if (now - since >= EARLIER_START_ACCEPTED_MS) accept(replica);
    }
    for (const [name, {replica, removedAt}] of removed) {
      if (now - removedAt < REMOVED_KEPT_MS) continue;
      removed.delete(name);
      forgetDomain(replica);
    }
  };
  const recentlyRemoved = (service: string): readonly DirectReplica[] => {
    const now = clock.now();
    return [...removed.values()]
      .filter(({usedUntil}) => now < usedUntil)
      .map(({replica}) => replica)
      .filter(replica => replica.service === service);
  };

  return {
    replaceAll: replicas => {
      untrusted.clear();
      const gone = [...present.keys()].filter(name => !replicas.has(name));
      runAll([
        () => visitAll(gone, remove),
        () => visitAll(replicas.values(), putListedRecord),
      ]);
    },
    applyChanges: replicas =>
      visitAll(replicas, ([name, replica]) => {
        if (replica === undefined) return remove(name);
        // The replica itself has written a record since the restore.
        untrusted.delete(name);
        put(replica);
      }),
    storeFailed: () => {
      storeFailedAt = clock.now();
    },
    storeRestored: () => {
      const now = clock.now();
      // Records of live replicas may have expired during the store's outage.
      storeFailedAt = now;
      distrustedUntil = now + RESTORE_DISTRUST_MS;
      outdatedUntil = distrustedUntil;
      leftBeforeRestore = new Set([
        ...[...present.values()].filter(it => it.leaving).map(it => it.id),
        ...[...removed.values()].map(it => it.replica.id),
      ]);
    },
    startedUnsettled: () => {
      outdatedUntil = clock.now() + RESTORE_DISTRUST_MS;
    },
    availableFor: service => {
      updateExpired();
      const available = [...present.values()].filter(
        replica => replica.service === service && !replica.leaving,
      );
      const stays = available.some(({id}) => !saysLeaving(id));
      return stays ? available : [...available, ...recentlyRemoved(service)];
    },
    isLeaving: replicaId => {
      const found = [...present.values()].find(({id}) => id === replicaId);
      return saysLeaving(replicaId) || (found?.leaving ?? true);
    },
    findAt: address =>
      [...present.values()].find(replica => replica.address === address),
    failureDomainOf: replicaId =>
      domains.get(replicaId) ?? endedDomains.get(replicaId),
    countIn: failureDomain =>
      [...present.values()].filter(it => it.failureDomain === failureDomain)
        .length,
    size: () => present.size,
  };
}

/** Start time of a replica; a replica without one counts as the earliest. */
function startTimeOf({startedAt}: DirectReplica): number {
  return startedAt ?? Number.NEGATIVE_INFINITY;
}
