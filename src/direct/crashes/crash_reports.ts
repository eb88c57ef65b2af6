/**
 * Reports that entries exchange about requests, and parts of prompts, that may
 * crash replicas. Merging the reports of one subject is commutative and
 * idempotent, so lost, late and repeated reports do no harm.
 */
import {Codec, array, number, optional, record, string} from 'purify-ts/Codec';
import {REQUEST} from './subjects.js';
import type {SubjectType} from './subjects.js';

/**
 * Most crashed replicas that one report names. Further ones carry no more
 * information and are left out.
 */
export const MAX_ENDED_REPLICAS = 8;
/** Most entries that one report names. A report with more is invalid. */
const MAX_REPORTING_ENTRIES = 64;
const DIGEST_PATTERN = /^[0-9a-f]{32}$/;

/** Outcomes of the runs of one request or with one part of a prompt. */
export interface CrashReport {
  /** See `digestOf` and `partDigestOf`. */
  readonly digest: string;
  /**
   * Index of the part in its prompts; undefined for a request, and in what
   * entries of earlier versions pass on.
   */
  readonly position?: number;
  /** Ids of replicas that ended during a run. Each start has its own id. */
  readonly ended: readonly string[];
  /** Number of successful runs, by the entry that observed them. */
  readonly good: Readonly<Record<string, number>>;
}

/** A report as it is stored in the platform's store. */
export interface QuarantineRecord extends CrashReport {
  /** Time of day, in milliseconds. */
  readonly writtenAt: number;
}

const reportFields = {
  digest: string,
  position: optional(number),
  ended: array(string),
  good: record(string, number),
};
export const crashReportCodec = Codec.interface(reportFields);
export const quarantineRecordCodec = Codec.interface({
  ...reportFields,
  writtenAt: number,
});

/** The type of the report's subject. */
export function typeOf({position}: CrashReport): SubjectType {
  return position === undefined ? REQUEST : {kind: 'part', position};
}

/** Whether a report that came from outside is within its bounds. */
export function isValidReport({
  digest,
  position = 0,
  ended,
  good,
}: CrashReport): boolean {
  const counts = Object.values(good);
  return (
    DIGEST_PATTERN.test(digest) &&
    isCount(position) &&
    ended.length <= MAX_ENDED_REPLICAS &&
    counts.length <= MAX_REPORTING_ENTRIES &&
    counts.every(isCount)
  );
}

function isCount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}
