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

/** A request whose prompt is being read, or waits for it, at a replica. */
export interface Reader {
  /** Time left to its latency objective after its expected first token. */
  readonly slackMs: number;
  /** Slack below which it may miss the objective. */
  readonly marginMs: number;
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
  /** Requests that a group's reading would hold up. */
  readonly readers: readonly Reader[];
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

/** Another entry's word counts no longer than this without a newer one. */
const OTHERS_AGE_MS = 1_500;
/** Reads from here on hold up the streams beside them for a good part of a pause. */
const LONG_READ_MS = 100;
/** A read that is overdue still has this share of its time ahead. */
const OVERDUE_SHARE = 0.2;

interface OpenWork {
  readonly work: Work;
  readonly since: number;
  read: boolean;
}

/** What one other entry told of one replica. */
interface ToldLoad {
  readonly at: number;
  readonly keepMs: number;
  readonly load: ReplicaLoad;
}

/** `onChange` hears of each change of this entry's own load. */
export function createLoadBook(
  clock: Clock,
  onChange: (change: LoadChange) => void,
): LoadBook {
  const own = new Map<string, Set<OpenWork>>();
  const others = createOthersLoads(clock);

  const addOwn = (sum: MutableLoad, replicaId: string): void => {
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

/**
 * What the other entries told, kept by replica: of sixty entries only a few
 * have work at any one replica, and a choice adds up the loads of all of them.
 */
function createOthersLoads(clock: Clock) {
  const byReplica = new Map<string, Map<string, ToldLoad>>();
  const toldOf = new Map<string, readonly ReplicaLoad[]>();

  const drop = (node: string, replicaId: string): void => {
    const told = byReplica.get(replicaId);
    told?.delete(node);
    if (told?.size === 0) byReplica.delete(replicaId);
  };
  const set = (
    node: string,
    loads: readonly ReplicaLoad[],
    keepMs = OTHERS_AGE_MS,
  ): void => {
    for (const {replicaId} of toldOf.get(node) ?? []) drop(node, replicaId);
    toldOf.set(node, loads);
    const at = clock.now();
    for (const load of loads) {
      const told = byReplica.get(load.replicaId) ?? new Map();
      told.set(node, {at, keepMs, load});
      byReplica.set(load.replicaId, told);
    }
  };
  const addTo = (sum: MutableLoad): void => {
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

/** A load while it is added up. */
interface MutableLoad extends ReplicaLoad {
  running: number;
  tokens: number;
  readMs: number;
  readonly readers: Reader[];
  readonly writers: Writers[];
}

function noLoad(replicaId: string): MutableLoad {
  return {
    replicaId,
    running: 0,
    tokens: 0,
    readMs: 0,
    readers: [],
    writers: [],
  };
}

function addTold(sum: MutableLoad, load: ReplicaLoad, ageMs: number): void {
  sum.running += load.running;
  sum.tokens += load.tokens;
  sum.readMs += Math.max(0, load.readMs - ageMs);
  for (const reader of load.readers) sum.readers.push(reader);
  for (const writers of load.writers) addWriters(sum, writers);
}

/** Those who bear equal pauses are one row. */
function addWriters(
  {writers}: MutableLoad,
  {pauseAimMs, weight}: Writers,
): void {
  const at = writers.findIndex(it => it.pauseAimMs === pauseAimMs);
  if (at < 0) writers.push({pauseAimMs, weight});
  else writers[at] = {pauseAimMs, weight: writers[at].weight + weight};
}
