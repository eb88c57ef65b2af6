/**
 * The replicas that are there. After an outage of the store, entries that
 * lapsed meanwhile come back within about two seconds, so a replica that is
 * missing then is still asked for a while, where nothing better is left.
 */
import type {Clock} from '../types/runtime.js';
import type {DirectReplica} from './types.js';

/** A removal this soon after a failed call may be a lapse, not an end. */
const OUTAGE_DOUBT_MS = 2_500;
/** Lapsed replicas that live are back in the store by then. */
const LAPSED_USE_MS = 1_900;

export interface Fleet {
  setAll(replicas: ReadonlyMap<string, DirectReplica>): void;
  change(replicas: ReadonlyMap<string, DirectReplica | undefined>): void;
  /** A call to the store failed just now. */
  storeFailed(): void;
  /** Replicas of a service that may get new work. */
  serving(service: string): readonly DirectReplica[];
  size(): number;
}

interface Lapsed {
  readonly replica: DirectReplica;
  readonly until: number;
}

export function createFleet(
  clock: Clock,
  onGone: (replica: DirectReplica) => void,
): Fleet {
  const present = new Map<string, DirectReplica>();
  const lapsed = new Map<string, Lapsed>();
  let failedAt = Number.NEGATIVE_INFINITY;

  const remove = (id: string) => {
    const replica = present.get(id);
    if (replica === undefined) return;
    present.delete(id);
    const now = clock.now();
    if (now - failedAt < OUTAGE_DOUBT_MS && !replica.leaving) {
      lapsed.set(id, {replica, until: now + LAPSED_USE_MS});
    }
    onGone(replica);
  };
  const put = (replica: DirectReplica) => {
    present.set(replica.id, replica);
    lapsed.delete(replica.id);
  };
  const stillLapsed = (service: string): readonly DirectReplica[] => {
    const now = clock.now();
    for (const [id, {until}] of lapsed) if (until < now) lapsed.delete(id);
    return [...lapsed.values()]
      .map(({replica}) => replica)
      .filter(replica => replica.service === service);
  };

  return {
    setAll: replicas => {
      for (const id of [...present.keys()]) {
        if (!replicas.has(id)) remove(id);
      }
      for (const replica of replicas.values()) put(replica);
    },
    change: replicas => {
      for (const [id, replica] of replicas) {
        if (replica === undefined) remove(id);
        else put(replica);
      }
    },
    storeFailed: () => {
      failedAt = clock.now();
    },
    serving: service => {
      const there = [...present.values()].filter(
        replica => replica.service === service && !replica.leaving,
      );
      return there.length > 0 ? there : stillLapsed(service);
    },
    size: () => present.size,
  };
}
