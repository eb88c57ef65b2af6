/**
 * Ways of telling which request crashes the replicas that run it, to compare
 * with the one that entries have. They share what they know as entries do: all
 * ends and good runs of a digest, by who saw them.
 */
import type {CrashReport} from '../../src/direct/crashes/crash_reports.js';
import {createSuspects} from '../../src/direct/crashes/suspects.js';
import type {
  Suspects,
  SuspectsOptions,
} from '../../src/direct/crashes/suspects.js';

/** The part of `Suspects` that the model needs. */
export type CrashWay = Pick<
  Suspects,
  | 'replicaEnded'
  | 'runSucceeded'
  | 'partSeemedToRunWell'
  | 'lastPartRuns'
  | 'partRanWell'
  | 'isProven'
  | 'isSuspect'
  | 'nextTrialInMs'
  | 'judgedInMs'
  | 'isQuarantined'
  | 'dueTrial'
  | 'trialSettled'
  | 'merge'
  | 'mergeRecords'
  | 'release'
  | 'nextReports'
>;

export type MakeCrashWay = (options: SuspectsOptions) => CrashWay;

/** Ends under one request that are allowed. */
const ENDED_ALLOWED = 3;
/** Share of the runs of a guilty request that end their replica. */
const GUILTY_SHARE = 0.95;
/** Runs that end so whatever they run, where fewer were seen. */
const LEAST_SHARE = 0.02;
/** The guilty one is this much likelier than chance before it is refused. */
const ODDS = 1e6;

interface Known {
  readonly ended: Set<string>;
  readonly good: Map<string, number>;
  isQuarantined: boolean;
}

/** A way without trials, by a verdict on ends and good runs. */
function byVerdict(
  isGuilty: (ended: number, good: number, endedShare: number) => boolean,
): MakeCrashWay {
  return ({self, onChanged, onQuarantined}) => {
    const known = new Map<string, Known>();
    const goodBefore = new Map<string, number>();
    let runs = 1;
    let endedRuns = 0;
    let told = 0;
    const of = (digest: string): Known => {
      const found = known.get(digest);
      if (found !== undefined) return found;
      const before = goodBefore.get(digest) ?? 0;
      const made = {
        ended: new Set<string>(),
        good: new Map([[self, before]]),
        isQuarantined: false,
      };
      known.set(digest, made);
      return made;
    };
    const reportOf = (digest: string): CrashReport => {
      const {ended, good} = of(digest);
      return {digest, ended: [...ended], good: Object.fromEntries(good)};
    };
    const judge = (digest: string, isOwn: boolean): void => {
      const it = of(digest);
      const good = [...it.good.values()].reduce((sum, count) => sum + count, 0);
      if (it.isQuarantined) return;
      if (!isGuilty(it.ended.size, good, endedRuns / runs)) return;
      it.isQuarantined = true;
      onQuarantined(reportOf(digest), isOwn);
    };
    const runSucceeded = (digest: string): void => {
      runs++;
      goodBefore.set(digest, (goodBefore.get(digest) ?? 0) + 1);
      const it = known.get(digest);
      it?.good.set(self, (it.good.get(self) ?? 0) + 1);
    };
    const merge: CrashWay['merge'] = reports => {
      for (const {digest, ended, good} of reports) {
        const it = of(digest);
        ended.forEach(id => it.ended.add(id));
        for (const [node, count] of Object.entries(good)) {
          it.good.set(node, Math.max(it.good.get(node) ?? 0, count));
        }
        judge(digest, false);
      }
    };
    return {
      partSeemedToRunWell: runSucceeded,
      lastPartRuns: () => [],
      partRanWell: runSucceeded,
      isProven: () => false,
      isSuspect: () => false,
      nextTrialInMs: () => Infinity,
      judgedInMs: () => 0,
      replicaEnded: (digest, replicaId) => {
        runs++;
        endedRuns++;
        of(digest).ended.add(replicaId);
        onChanged(reportOf(digest));
        judge(digest, true);
      },
      runSucceeded,
      isQuarantined: digest => known.get(digest)?.isQuarantined ?? false,
      dueTrial: () => undefined,
      trialSettled: () => undefined,
      merge,
      mergeRecords: merge,
      release: digest => void known.delete(digest),
      nextReports: count => {
        const all = [...known.keys()];
        const some = Array.from(
          {length: Math.min(count, all.length)},
          (_, at) => all[(told + at) % all.length],
        );
        told += count;
        return some.map(reportOf);
      },
    };
  };
}

/** By name; the first is the one that entries have. */
export const CRASH_WAYS: Readonly<Record<string, MakeCrashWay>> = {
  'good-runs-and-trials': createSuspects,
  count: byVerdict(ended => ended >= ENDED_ALLOWED),
  likelihood: byVerdict((ended, good, endedShare) => {
    const share = Math.min(0.5, Math.max(LEAST_SHARE, endedShare));
    const odds =
      ended * Math.log(GUILTY_SHARE / share) +
      good * Math.log((1 - GUILTY_SHARE) / (1 - share));
    return ended >= ENDED_ALLOWED && odds > Math.log(ODDS);
  }),
};
