/**
 * What is assigned to each replica: by this entry, work by work, and by the
 * other entries, as they last told. Both are known long before a replica's own
 * report, so that a batch which arrives at several entries at once does not
 * fall on one replica.
 */
import type {Clock} from '../types/runtime.js';
import {addWriters, noLoad} from './replica_load.js';
import type {LoadSum, Reader, ReplicaLoad} from './replica_load.js';
import {createOthersLoads} from './peer_loads.js';

/** One request's part at one replica. */
export interface Work {
  readonly replicaId: string;
  /** Places it takes: 0 for a member that only reads and holds memory. */
  readonly places: 0 | 1;
  readonly tokens: number;
  readonly readMs: number;
  /** When the reading should be over, from now, in milliseconds. */
  readonly expectedMs: number;
  /** Time left to the latency objective, in milliseconds. */
  readonly aimLeftMs: number;
  readonly aimMarginMs: number;
  readonly pauseAimMs: number;
  /** Cost of a late first token, and of a pause where it takes a place. */
  readonly weight: number;
}

/** A work that was entered. */
export interface EnteredWork {
  /** The first token came: nothing is left to read. */
  hasRead(): void;
  end(): void;
}

/** A call at a plain service, or a stream without published figures. */
export function callWork(replicaId: string, pauseAimMs: number): Work {
  return {
    replicaId,
    places: 1,
    tokens: 0,
    readMs: 0,
    expectedMs: 0,
    aimLeftMs: 0,
    aimMarginMs: 0,
    pauseAimMs,
    weight: 0,
  };
}

export interface LoadBook {
  enter(work: Work): EnteredWork;
  /** What another entry told at this time. */
  setOther(
    node: string,
    loads: readonly ReplicaLoad[],
    /** How long it counts without a newer word, in milliseconds. */
    keepMs?: number,
  ): void;
  /** Load of all entries together. */
  of(replicaId: string): ReplicaLoad;
  /** Load of this entry alone, for the others. */
  own(): readonly ReplicaLoad[];
}

/** What changed in this entry's own load: a long read, other work, or less. */
export type LoadChange = 'long' | 'more' | 'less';

/** Reads from here on hold up the streams beside them for a good part of a pause. */
const LONG_READ_MS = 100;
/** A read that is overdue still has this share of its time ahead. */
const OVERDUE_SHARE = 0.2;

interface OpenWork {
  readonly work: Work;
  readonly since: number;
  read: boolean;
}

/** `onChange` hears of each change of this entry's own load. */
export function createLoadBook(
  clock: Clock,
  onChange: (change: LoadChange) => void,
): LoadBook {
  const own = new Map<string, Set<OpenWork>>();
  const others = createOthersLoads(clock);

  const addOwn = (sum: LoadSum, replicaId: string): void => {
    const now = clock.now();
    for (const open of own.get(replicaId) ?? []) {
      const {work} = open;
      sum.running += work.places;
      sum.tokens += work.tokens;
      if (!open.read) {
        sum.readMs += readLeft(open, now);
        sum.readers.push(readerOf(open, now));
      }
      if (work.places > 0) addWriters(sum, work);
    }
  };
  const ownOf = (replicaId: string): ReplicaLoad => {
    const sum = noLoad(replicaId);
    addOwn(sum, replicaId);
    return sum;
  };

  return {
    enter: work => {
      const open: OpenWork = {work, since: clock.now(), read: false};
      const works = own.get(work.replicaId) ?? new Set();
      works.add(open);
      own.set(work.replicaId, works);
      onChange(work.readMs >= LONG_READ_MS ? 'long' : 'more');
      return {
        hasRead: () => {
          if (open.read) return;
          open.read = true;
          onChange('less');
        },
        end: () => {
          if (!works.delete(open)) return;
          if (works.size === 0) own.delete(work.replicaId);
          onChange('less');
        },
      };
    },
    setOther: others.set,
    of: replicaId => {
      const sum = noLoad(replicaId);
      addOwn(sum, replicaId);
      others.addTo(sum);
      return sum;
    },
    own: () => [...own.keys()].map(ownOf),
  };
}

function readLeft({work, since}: OpenWork, now: number): number {
  const share = 1 - (now - since) / Math.max(1, work.expectedMs);
  return work.readMs * Math.max(OVERDUE_SHARE, share);
}

function readerOf({work, since}: OpenWork, now: number): Reader {
  const passedMs = now - since;
  const expectedLeftMs = Math.max(0, work.expectedMs - passedMs);
  return {
    slackMs: Math.round(work.aimLeftMs - passedMs - expectedLeftMs),
    marginMs: Math.round(work.aimMarginMs),
    weight: Math.round(work.weight),
  };
}
