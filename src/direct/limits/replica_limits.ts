/**
 * Request limits that replicas named in their answers. A limit is the number of
 * requests a second that a replica takes from all entries together. It holds
 * until a later answer of the same start of the replica does not name one.
 *
 * Answers on different connections may overtake each other, so an answer
 * without a limit ends a known one only if its request was sent after the limit
 * was last named. Reports of peers carry the age of what they state, and the
 * newest statement counts, in whatever order the reports arrive.
 */
import type {Clock, Log} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {StatedLimit} from '../gate/replica_statements.js';
import type {LimitReport} from './limit_messages.js';
import {MIN_RATE_PER_S} from './home_grants.js';

/**
 * Time for which an ended limit is remembered, in milliseconds. Older reports
 * of peers that still name the limit arrive within it and are ignored.
 */
const ENDED_KEPT_MS = 10_000;

/**
 * Longest usual way of a report between entries, in milliseconds. It counts as
 * part of a report's age, so that a report does not override a newer answer.
 */
const REPORT_WAY_MS = 10;

/** The newest that is known of one replica's limit. */
interface LimitRecord {
  /** Undefined where the limit has ended. */
  readonly perSecond: number | undefined;
  /** When the replica stated it, on this process's clock, in milliseconds. */
  readonly statedAt: number;
}

/**
 * What an answer changed: no limit was known, another one, one so low that
 * entries hardly ask for permits, or it ended.
 */
export type LimitChange = 'began' | 'changed' | 'reopened' | 'ended';

export interface ReplicaLimits {
  /** Takes in what an answer states to a request that was sent at `sentAt`. */
  answered(replicaId: string, sentAt: number, stated: StatedLimit): void;
  /** Takes in a peer's report about a replica that is in use. */
  merge(report: LimitReport): void;
  /** Requests a second from all entries; undefined without a limit. */
  limitOf(replicaId: string): number | undefined;
  /** What to tell a peer; undefined where nothing is known. */
  reportOf(replicaId: string): LimitReport | undefined;
  /** The next `count` reports in turn, of all replicas. */
  nextReports(count: number): readonly LimitReport[];
  /** Drops what is known of a replica that has ended. */
  forget(replicaId: string): void;
  /** Number of replicas that name a limit. */
  count(): number;
  /** Sum of the limits, in requests a second. */
  sum(): number;
}

export interface ReplicaLimitsOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Whether the replica is in use; reports about others are ignored. */
  isInUse(replicaId: string): boolean;
  /** Called when an answer that this entry received changed a limit. */
  onChange(report: LimitReport, change: LimitChange): void;
}

export function createReplicaLimits(
  options: ReplicaLimitsOptions,
): ReplicaLimits {
  const {clock, log} = options;
  const records = new Map<string, LimitRecord>();
  let nextReportAt = 0;

  const ageOf = ({statedAt}: LimitRecord) =>
    Math.max(0, Math.round(clock.now() - statedAt));
  const toReport = (replicaId: string, record: LimitRecord): LimitReport => ({
    replicaId,
    perSecond: record.perSecond,
    ageMs: ageOf(record),
  });
  const limitOf = (replicaId: string) => records.get(replicaId)?.perSecond;
  const limited = (): readonly number[] =>
    [...records.values()]
      .map(({perSecond}) => perSecond)
      .filter(perSecond => perSecond !== undefined);
  const dropEnded = (): void => {
    for (const [replicaId, record] of records) {
      const isEnded = record.perSecond === undefined;
      if (isEnded && ageOf(record) > ENDED_KEPT_MS) records.delete(replicaId);
    }
  };

  /** Takes in a statement; returns what it changed, if anything. */
  const update = (
    replicaId: string,
    record: LimitRecord,
    source: 'answer' | 'peer',
  ): LimitChange | undefined => {
    const known = records.get(replicaId);
    const before = known?.perSecond;
    const {perSecond} = record;
    records.set(replicaId, record);
    if (perSecond === before) return undefined;
    const ageMs = ageOf(record);
    if (perSecond === undefined) {
      const heldMs = known && Math.round(clock.now() - known.statedAt);
      const fields = {replica: replicaId, perSecond: before, heldMs, source};
      log(DIRECT_EVENTS.limitEnded, fields);
      return 'ended';
    }
    const fields = {replica: replicaId, perSecond, before, source, ageMs};
    log(DIRECT_EVENTS.limitLearned, fields);
    if (before === undefined) return 'began';
    return before < MIN_RATE_PER_S && perSecond >= MIN_RATE_PER_S
      ? 'reopened'
      : 'changed';
  };
  const updateFromAnswer = (replicaId: string, record: LimitRecord): void => {
    const change = update(replicaId, record, 'answer');
    if (change !== undefined) {
      options.onChange(toReport(replicaId, record), change);
    }
  };

  return {
    answered: (replicaId, sentAt, stated) => {
      const statedAt = clock.now();
      const known = records.get(replicaId);
      switch (stated.kind) {
        case 'limited':
          return updateFromAnswer(replicaId, {
            perSecond: stated.perSecond,
            statedAt,
          });
        case 'none':
          if (known?.perSecond === undefined || sentAt <= known.statedAt)
            return;
          return updateFromAnswer(replicaId, {perSecond: undefined, statedAt});
        case 'unreadable':
          // The last readable limit stays in force.
          return log(DIRECT_EVENTS.limitUnreadable, {
            replica: replicaId,
            text: stated.text,
            perSecond: known?.perSecond,
          });
      }
    },
    merge: ({replicaId, perSecond, ageMs}) => {
      if (!options.isInUse(replicaId)) return;
      const statedAt = clock.now() - ageMs - REPORT_WAY_MS;
      const known = records.get(replicaId);
      if (known !== undefined && statedAt <= known.statedAt) return;
      if (known === undefined && perSecond === undefined) return;
      update(replicaId, {perSecond, statedAt}, 'peer');
    },
    limitOf,
    reportOf: replicaId => {
      const record = records.get(replicaId);
      return record && toReport(replicaId, record);
    },
    nextReports: count => {
      dropEnded();
      const all = [...records];
      const size = Math.min(count, all.length);
      const from = nextReportAt;
      nextReportAt += size;
      return Array.from({length: size}, (_, at) => {
        const [replicaId, record] = all[(from + at) % all.length];
        return toReport(replicaId, record);
      });
    },
    forget: replicaId => void records.delete(replicaId),
    count: () => limited().length,
    sum: () => limited().reduce((sum, perSecond) => sum + perSecond, 0),
  };
}
