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
import {MAX_ENDED_REPLICAS} from './crash_reports.js';
import type {CrashReport} from './crash_reports.js';

/** Replicas that a request may end before it is refused. */
const ENDED_ALLOWED = 3;
/** One more is allowed for each run that ended well, times this. */
const ENDED_PER_GOOD = 2;
/**
 * One request of a digest may run so long after it was quarantined, and one
 * more later. What ran beside a request that crashes replicas looks like it,
 * and only a run by itself tells them apart.
 */
const TRIALS_AFTER_MS = [1_000, 10_000];
/** Until a trial is asked for again whose claim was not answered. */
const CLAIM_AGAIN_MS = 1_000;
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
  /** Undefined while it is served. */
  quarantinedAt: number | undefined;
  /** Trials that are over or under way, at whatever entry. */
  trials: number;
  nextTrialAt: number;
}

export interface SuspectsOptions {
  readonly clock: Clock;
  /** Name of this entry. */
  readonly self: string;
  /** Something is known here that the other entries should hear of. */
  onChanged(report: CrashReport): void;
  /** It is refused from now on; `isOwn` where this entry saw the last crash. */
  onQuarantined(report: CrashReport, isOwn: boolean): void;
  /** It is refused no longer; `isOwn` where the last good run was here. */
  onCleared(digest: string, isOwn: boolean): void;
}

export interface Suspects {
  /** A replica, named by its start, ended while it ran the request. */
  replicaEnded(digest: string, replicaId: string): void;
  /** A run of it ended well. */
  runSucceeded(digest: string): void;
  /** A replica has ended under it. */
  isSuspect(digest: string): boolean;
  isQuarantined(digest: string): boolean;
  /** Number of the trial that is due, from 0; undefined for none. */
  dueTrial(digest: string): number | undefined;
  /** `false`: the claim was not answered, and the trial may still be free. */
  trialSettled(digest: string, isAnswered: boolean): void;
  /** Takes what another entry, or the store, tells. */
  merge(reports: readonly CrashReport[]): void;
  /** An operator has released it. */
  release(digest: string): void;
  /** The next few, in turn, to tell another entry. */
  nextReports(count: number): readonly CrashReport[];
  suspectCount(): number;
  quarantinedCount(): number;
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
    for (const [digest, {quarantinedAt}] of suspects) {
      if (quarantinedAt !== undefined) continue;
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
      quarantinedAt: undefined,
      trials: 0,
      nextTrialAt: Infinity,
    };
    suspects.set(digest, suspect);
    return suspect;
  };
  const drop = (digest: string): void => {
    suspects.delete(digest);
    released.set(digest, clock.now() + RELEASED_MS);
    for (const [key, until] of released) {
      if (until <= clock.now()) released.delete(key);
    }
  };
  const judge = (digest: string, suspect: Suspect, isOwn: boolean): void => {
    const was = suspect.quarantinedAt !== undefined;
    if (isTooMany(suspect) === was) return;
    if (was) {
      suspect.quarantinedAt = undefined;
      options.onCleared(digest, isOwn);
      return;
    }
    const now = clock.now();
    suspect.quarantinedAt = now;
    suspect.trials = 0;
    suspect.nextTrialAt = now + TRIALS_AFTER_MS[0];
    options.onQuarantined(reportOf(digest, suspect), isOwn);
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
    if (isNews) options.onChanged(reportOf(digest, suspect));
    judge(digest, suspect, false);
  };

  return {
    replicaEnded: (digest, replicaId) => {
      const suspect = of(digest) ?? add(digest);
      if (!addEnded(suspect, replicaId, clock.now())) return;
      options.onChanged(reportOf(digest, suspect));
      judge(digest, suspect, true);
    },
    runSucceeded: digest => {
      const suspect = of(digest);
      if (suspect === undefined) {
        good.add(digest);
        return;
      }
      // It ran by itself: what crashes replicas would have crashed this one.
      if (suspect.quarantinedAt !== undefined) {
        drop(digest);
        options.onCleared(digest, true);
        return;
      }
      const count = (suspect.good.get(self) ?? 0) + 1;
      suspect.good.set(self, count);
      // A request that is asked often would be told of at each of its runs.
      if (isPowerOfTwo(count)) options.onChanged(reportOf(digest, suspect));
      judge(digest, suspect, true);
    },
    isSuspect: digest => of(digest) !== undefined,
    isQuarantined: digest => of(digest)?.quarantinedAt !== undefined,
    dueTrial: digest => {
      const suspect = of(digest);
      if (suspect === undefined || clock.now() < suspect.nextTrialAt) {
        return undefined;
      }
      // Others of its like are refused while this one is claimed.
      suspect.nextTrialAt = Infinity;
      return suspect.trials;
    },
    trialSettled: (digest, isAnswered) => {
      const suspect = of(digest);
      if (suspect?.quarantinedAt === undefined) return;
      if (isAnswered) suspect.trials++;
      const afterMs = TRIALS_AFTER_MS[suspect.trials] ?? Infinity;
      suspect.nextTrialAt = isAnswered
        ? suspect.quarantinedAt + afterMs
        : clock.now() + CLAIM_AGAIN_MS;
    },
    merge: reports => reports.forEach(mergeOne),
    release: drop,
    nextReports: count => {
      const all = [...suspects].filter(([, suspect]) => !isOver(suspect));
      const from = all.length === 0 ? 0 : told % all.length;
      const some = [...all.slice(from), ...all.slice(0, from)].slice(0, count);
      told = from + some.length;
      return some.map(([digest, suspect]) => reportOf(digest, suspect));
    },
    suspectCount: () => suspects.size,
    quarantinedCount: () =>
      [...suspects.values()].filter(it => it.quarantinedAt !== undefined)
        .length,
  };
}

function isTooMany({ended, good}: Suspect): boolean {
  const runs = [...good.values()].reduce((sum, count) => sum + count, 0);
  return ended.size >= ENDED_ALLOWED + ENDED_PER_GOOD * runs;
}

/** False when it was known, or there are enough. */
function addEnded(suspect: Suspect, replicaId: string, at: number): boolean {
  const {ended} = suspect;
  if (ended.has(replicaId) || ended.size >= MAX_ENDED_REPLICAS) return false;
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
