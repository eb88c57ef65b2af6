/**
 * Which requests crash the replicas that run them ("queries of death"). Such a
 * request comes again under new ids and at any entry; unrecognised, it ends one
 * replica after another, with all that runs there.
 *
 * A replica that ends while it runs a request speaks against that request, and
 * a run that ends well speaks for it: replicas also crash by themselves, and a
 * request that is asked often runs at many of them. What entries know merges to
 * the same in any order.
 */
import type {Clock} from '../types/runtime.js';
import {ENDED_MOST} from './crash_reports.js';
import type {CrashReport} from './crash_reports.js';

/** Replicas that a request may end before it is refused. */
const ENDED_ALLOWED = 3;
/** One more is allowed for each run that ended well, times this. */
const ENDED_PER_GOOD = 2;
/** A request that was refused for so long may run again. */
export const QUARANTINE_MS = 3_600_000;
/** Suspects that are kept; the oldest is dropped for a new one. */
const SUSPECTS_MOST = 1_000;
/** Good runs are remembered for so long before a first replica ends. */
const GOOD_KEPT_MS = 60_000;
/** Requests with good runs that are remembered. */
const GOOD_MOST = 1_000;
/** A report that was on its way at a release does not undo it. */
const RELEASED_MS = 5_000;

interface Suspect {
  readonly ended: Set<string>;
  readonly good: Map<string, number>;
  /** When the newest replica ended, or was told of. */
  endedAt: number;
  isQuarantined: boolean;
}

export interface SuspectsOptions {
  readonly clock: Clock;
  /** Name of this entry. */
  readonly self: string;
  /** Something is known here that the other entries should hear of. */
  onNews(report: CrashReport): void;
  /** It is refused from now on; `isOwn` where this entry saw the last crash. */
  onQuarantined(report: CrashReport, isOwn: boolean): void;
  /** It is refused no longer, as runs of it ended well. */
  onCleared(digest: string): void;
}

export interface Suspects {
  /** A replica, named by its start, ended while it ran the request. */
  ended(digest: string, replicaId: string): void;
  /** A run of it ended well. */
  ranWell(digest: string): void;
  /** A replica has ended under it. */
  isKnown(digest: string): boolean;
  isQuarantined(digest: string): boolean;
  /** Takes what another entry, or the store, tells. */
  merge(reports: readonly CrashReport[]): void;
  /** An operator has released it. */
  release(digest: string): void;
  /** The next few, in turn, to tell another entry. */
  next(count: number): readonly CrashReport[];
  size(): number;
  quarantined(): number;
}

export function createSuspects(options: SuspectsOptions): Suspects {
  const {clock, self} = options;
  /** By digest, the oldest first. */
  const suspects = new Map<string, Suspect>();
  const released = new Map<string, number>();
  const good = createGoodRuns(clock);
  let told = 0;

  const isOver = ({endedAt}: Suspect) => clock.now() - endedAt > QUARANTINE_MS;
  const of = (digest: string): Suspect | undefined => {
    const suspect = suspects.get(digest);
    if (suspect === undefined || !isOver(suspect)) return suspect;
    suspects.delete(digest);
    return undefined;
  };
  const dropOldest = () => {
    for (const [digest, {isQuarantined}] of suspects) {
      if (isQuarantined) continue;
      suspects.delete(digest);
      return;
    }
    const [oldest] = suspects.keys();
    suspects.delete(oldest);
  };
  const add = (digest: string): Suspect => {
    if (suspects.size >= SUSPECTS_MOST) dropOldest();
    const known = good.take(digest);
    const suspect: Suspect = {
      ended: new Set(),
      good: new Map(known > 0 ? [[self, known]] : []),
      endedAt: clock.now(),
      isQuarantined: false,
    };
    suspects.set(digest, suspect);
    return suspect;
  };
  const judge = (digest: string, suspect: Suspect, isOwn: boolean): void => {
    const was = suspect.isQuarantined;
    suspect.isQuarantined = isTooMany(suspect);
    if (suspect.isQuarantined === was) return;
    if (was) options.onCleared(digest);
    else options.onQuarantined(reportOf(digest, suspect), isOwn);
  };
  const mergeOne = (report: CrashReport): void => {
    const {digest} = report;
    if ((released.get(digest) ?? -Infinity) > clock.now()) return;
    if (report.ended.length === 0) return;
    const before = of(digest);
    const suspect = before ?? add(digest);
    for (const id of report.ended) addEnded(suspect, id, clock.now());
    for (const [node, count] of Object.entries(report.good)) {
      suspect.good.set(node, Math.max(suspect.good.get(node) ?? 0, count));
    }
    // Runs that ended well here are unknown to the one that told of it.
    const isNews = before === undefined && suspect.good.has(self);
    if (isNews) options.onNews(reportOf(digest, suspect));
    judge(digest, suspect, false);
  };

  return {
    ended: (digest, replicaId) => {
      const suspect = of(digest) ?? add(digest);
      if (!addEnded(suspect, replicaId, clock.now())) return;
      options.onNews(reportOf(digest, suspect));
      judge(digest, suspect, true);
    },
    ranWell: digest => {
      const suspect = of(digest);
      if (suspect === undefined) {
        good.add(digest);
        return;
      }
      const count = (suspect.good.get(self) ?? 0) + 1;
      suspect.good.set(self, count);
      // A request that is asked often would be told of at each of its runs.
      if (isPowerOfTwo(count)) options.onNews(reportOf(digest, suspect));
      judge(digest, suspect, true);
    },
    isKnown: digest => of(digest) !== undefined,
    isQuarantined: digest => of(digest)?.isQuarantined ?? false,
    merge: reports => reports.forEach(mergeOne),
    release: digest => {
      suspects.delete(digest);
      released.set(digest, clock.now() + RELEASED_MS);
      for (const [key, until] of released) {
        if (until <= clock.now()) released.delete(key);
      }
    },
    next: count => {
      const all = [...suspects].filter(([, suspect]) => !isOver(suspect));
      const from = all.length === 0 ? 0 : told % all.length;
      const some = [...all.slice(from), ...all.slice(0, from)].slice(0, count);
      told = from + some.length;
      return some.map(([digest, suspect]) => reportOf(digest, suspect));
    },
    size: () => suspects.size,
    quarantined: () =>
      [...suspects.values()].filter(it => it.isQuarantined).length,
  };
}

function isTooMany({ended, good}: Suspect): boolean {
  const runs = [...good.values()].reduce((sum, count) => sum + count, 0);
  return ended.size >= ENDED_ALLOWED + ENDED_PER_GOOD * runs;
}

/** False when it was known, or there are enough. */
function addEnded(suspect: Suspect, replicaId: string, at: number): boolean {
  const {ended} = suspect;
  if (ended.has(replicaId) || ended.size >= ENDED_MOST) return false;
  ended.add(replicaId);
  suspect.endedAt = at;
  return true;
}

function reportOf(digest: string, {ended, good}: Suspect): CrashReport {
  return {digest, ended: [...ended], good: Object.fromEntries(good)};
}

function isPowerOfTwo(count: number): boolean {
  return (count & (count - 1)) === 0;
}

/** Good runs of requests under which no replica has ended so far. */
function createGoodRuns(clock: Clock) {
  /** By digest, the newest last. */
  const runs = new Map<string, {readonly count: number; readonly at: number}>();
  const countOf = (digest: string): number => {
    const known = runs.get(digest);
    const isKept =
      known !== undefined && clock.now() - known.at <= GOOD_KEPT_MS;
    return isKept ? known.count : 0;
  };
  const take = (digest: string): number => {
    const count = countOf(digest);
    runs.delete(digest);
    return count;
  };
  return {
    take,
    add: (digest: string): void => {
      const count = take(digest) + 1;
      runs.set(digest, {count, at: clock.now()});
      const [oldest] = runs.keys();
      if (runs.size > GOOD_MOST) runs.delete(oldest);
    },
  };
}
