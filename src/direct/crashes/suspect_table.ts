/**
 * The suspects that an entry keeps, and which of them are quarantined. A suspect
 * expires at the end of a quarantine's duration without another crash.
 */
import type {Clock} from '../../types/runtime.js';
import type {CrashReport} from './crash_reports.js';
import {addEnd, reportOf} from './suspect.js';
import type {Suspect} from './suspect.js';
import type {SubjectKind, SubjectType} from './subjects.js';
import {createTrials} from './trials.js';

/**
 * Duration of a quarantine, from the last end of a replica. After it the
 * request may run again.
 */
export const QUARANTINE_MS = 3_600_000;
/**
 * Most suspects that are kept. Beyond it the one that crashed longest ago and
 * is not quarantined is dropped, or else the oldest.
 */
const MAX_SUSPECTS = 1_000;

export interface SuspectTable {
  /** Undefined where there is none, or where it has expired. */
  find(digest: string): Suspect | undefined;
  /** Adds a suspect whose successful runs at this entry were `successes`. */
  add(digest: string, type: SubjectType, successes: number): Suspect;
  forget(digest: string): void;
  /**
   * Adds a replica that ended; see `addEnd`. `isOwn` is true when this entry
   * observed the end.
   */
  addEnded(
    digest: string,
    suspect: Suspect,
    replicaId: string,
    isOwn: boolean,
  ): boolean;
  /** All that have not expired, by digest. */
  current(): ReadonlyArray<readonly [string, Suspect]>;
  quarantine(digest: string, suspect: Suspect): void;
  /** Ends the quarantine of a request, which stays a suspect. */
  endRequestQuarantine(digest: string, suspect: Suspect): void;
  /** Replicas that ended under each quarantined request. */
  endedUnderRequests(): ReadonlyArray<ReadonlySet<string>>;
  /** The same for each quarantined part that is none of these. */
  endedUnderParts(
    except: readonly string[],
  ): ReadonlyArray<ReadonlySet<string>>;
  /**
   * Number of quarantined subjects before this one. Also counts those whose
   * trials have all run, so that ranks stay.
   */
  rankOf(digest: string): number;
  /** The next `count` reports, in rotation. */
  nextReports(count: number): readonly CrashReport[];
  size(): number;
  quarantinedCount(kind?: SubjectKind): number;
}

/** `self` is the name of this entry. */
export function createSuspectTable(clock: Clock, self: string): SuspectTable {
  /** Suspects by digest, the one that crashed last at the end. */
  const suspects = new Map<string, Suspect>();
  const quarantined = {request: new Set<string>(), part: new Set<string>()};
  let nextIndex = 0;

  const isExpired = (suspect: Suspect) =>
    clock.now() - suspect.endedAt > QUARANTINE_MS;
  const forget = (digest: string): void => {
    suspects.delete(digest);
    quarantined.request.delete(digest);
    quarantined.part.delete(digest);
  };
  const dropOldest = () => {
    for (const [digest, {trials}] of suspects) {
      if (trials !== undefined) continue;
      forget(digest);
      return;
    }
    const [oldest] = suspects.keys();
    forget(oldest);
  };
  const endsOf = (digests: readonly string[]) =>
    digests.flatMap(digest => suspects.get(digest)?.ended ?? []);
  const current = () =>
    [...suspects].filter(([, suspect]) => !isExpired(suspect));

  return {
    find: digest => {
      const suspect = suspects.get(digest);
      if (suspect === undefined || !isExpired(suspect)) return suspect;
      forget(digest);
      return undefined;
    },
    add: (digest, type, successes) => {
      if (suspects.size >= MAX_SUSPECTS) dropOldest();
      const suspect: Suspect = {
        type,
        ended: new Set(),
        good: new Map(successes > 0 ? [[self, successes]] : []),
        endedAt: clock.now(),
        isOwn: false,
        trials: undefined,
      };
      suspects.set(digest, suspect);
      return suspect;
    },
    forget,
    addEnded: (digest, suspect, replicaId, isOwn) => {
      if (!addEnd(suspect, replicaId)) return false;
      suspect.endedAt = clock.now();
      suspect.isOwn = isOwn;
      suspects.delete(digest);
      suspects.set(digest, suspect);
      return true;
    },
    current,
    quarantine: (digest, suspect) => {
      suspect.trials = createTrials(clock, suspect.type.kind);
      quarantined[suspect.type.kind].add(digest);
    },
    endRequestQuarantine: (digest, suspect) => {
      suspect.trials = undefined;
      quarantined.request.delete(digest);
    },
    endedUnderRequests: () => endsOf([...quarantined.request]),
    endedUnderParts: except =>
      endsOf([...quarantined.part].filter(it => !except.includes(it))),
    rankOf: digest =>
      [...quarantined.request, ...quarantined.part].filter(it => it < digest)
        .length,
    nextReports: count => {
      const all = current();
      const start = all.length === 0 ? 0 : nextIndex % all.length;
      const selected = [...all.slice(start), ...all.slice(0, start)].slice(
        0,
        count,
      );
      nextIndex = start + selected.length;
      return selected.map(([digest, suspect]) => reportOf(digest, suspect));
    },
    size: () => suspects.size,
    quarantinedCount: kind =>
      kind === undefined
        ? quarantined.request.size + quarantined.part.size
        : quarantined[kind].size,
  };
}
