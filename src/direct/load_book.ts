/**
 * What is assigned to each replica: by this entry, work by work, and by the
 * other entries, as they last told. Both are known long before a replica's own
 * report, so that a batch which arrives at several entries at once does not
 * fall on one replica.
 */
import type {Clock} from '../types/runtime.js';

/** Requests that write at a replica, by the longest pause they bear. */
export interface Writers {
  readonly pauseAimMs: number;
  /** What their lateness would cost together; see `weightOf`. */
  readonly weight: number;
}

/** Load of one replica as one entry tells it to the others. */
export interface ReplicaLoad {
  readonly replicaId: string;
  /** Requests that hold a place. */
  readonly running: number;
  /** Memory in use, in tokens. */
  readonly tokens: number;
  /** Reading still ahead, in milliseconds. */
  readonly readMs: number;
  readonly writers: readonly Writers[];
}

/** One request's part at one replica. */
export interface Work {
  readonly replicaId: string;
  /** Places it takes: 0 for a member that only reads and holds memory. */
  readonly places: 0 | 1;
  readonly tokens: number;
  readonly readMs: number;
  /** When the reading should be over, from now, in milliseconds. */
  readonly expectedMs: number;
  readonly pauseAimMs: number;
  readonly weight: number;
}

/** A work that was entered. */
export interface EnteredWork {
  /** The first token came: nothing is left to read. */
  hasRead(): void;
  end(): void;
}

export interface LoadBook {
  enter(work: Work): EnteredWork;
  /** What another entry told at this time. */
  setOther(node: string, loads: readonly ReplicaLoad[]): void;
  /** Load of all entries together. */
  of(replicaId: string): ReplicaLoad;
  /** Load of this entry alone, for the others. */
  own(): readonly ReplicaLoad[];
  /** Grows with each change of this entry's own load. */
  version(): number;
}

/** Another entry's word counts no longer than this without a newer one. */
const OTHERS_AGE_MS = 1_500;
/** A read that is overdue still has this share of its time ahead. */
const OVERDUE_SHARE = 0.2;

interface OpenWork {
  readonly work: Work;
  readonly since: number;
  read: boolean;
}

interface OtherLoad {
  readonly at: number;
  readonly byReplica: ReadonlyMap<string, ReplicaLoad>;
}

export function createLoadBook(clock: Clock): LoadBook {
  const own = new Map<string, Set<OpenWork>>();
  const others = new Map<string, OtherLoad>();
  let version = 0;

  const ownOf = (replicaId: string): ReplicaLoad => {
    const now = clock.now();
    const load = {replicaId, running: 0, tokens: 0, readMs: 0};
    const weights = new Map<number, number>();
    for (const open of own.get(replicaId) ?? []) {
      const {work} = open;
      load.running += work.places;
      load.tokens += work.tokens;
      if (!open.read) load.readMs += readLeft(open, now);
      if (work.places === 0) continue;
      const weight = weights.get(work.pauseAimMs) ?? 0;
      weights.set(work.pauseAimMs, weight + work.weight);
    }
    return {...load, writers: writersOf(weights)};
  };

  return {
    enter: work => {
      const open: OpenWork = {work, since: clock.now(), read: false};
      const works = own.get(work.replicaId) ?? new Set();
      works.add(open);
      own.set(work.replicaId, works);
      version++;
      return {
        hasRead: () => {
          if (open.read) return;
          open.read = true;
          version++;
        },
        end: () => {
          if (!works.delete(open)) return;
          if (works.size === 0) own.delete(work.replicaId);
          version++;
        },
      };
    },
    setOther: (node, loads) => {
      const byReplica = new Map(loads.map(load => [load.replicaId, load]));
      others.set(node, {at: clock.now(), byReplica});
    },
    of: replicaId => {
      const now = clock.now();
      let sum = ownOf(replicaId);
      for (const [node, other] of others) {
        const ageMs = now - other.at;
        if (ageMs > OTHERS_AGE_MS) others.delete(node);
        const load = other.byReplica.get(replicaId);
        if (load !== undefined) sum = added(sum, load, ageMs);
      }
      return sum;
    },
    own: () => [...own.keys()].map(ownOf),
    version: () => version,
  };
}

function readLeft({work, since}: OpenWork, now: number): number {
  const share = 1 - (now - since) / Math.max(1, work.expectedMs);
  return work.readMs * Math.max(OVERDUE_SHARE, share);
}

function writersOf(weights: ReadonlyMap<number, number>): readonly Writers[] {
  return [...weights].map(([pauseAimMs, weight]) => ({pauseAimMs, weight}));
}

function added(sum: ReplicaLoad, load: ReplicaLoad, ageMs: number) {
  return {
    replicaId: sum.replicaId,
    running: sum.running + load.running,
    tokens: sum.tokens + load.tokens,
    readMs: sum.readMs + Math.max(0, load.readMs - ageMs),
    writers: [...sum.writers, ...load.writers],
  };
}
