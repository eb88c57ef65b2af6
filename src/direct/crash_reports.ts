/**
 * What entries tell each other of requests that may crash replicas. Reports of
 * one request merge in any order and any number of times to the same, so a lost
 * or late one does no harm.
 */
import {Codec, array, number, record, string} from 'purify-ts/Codec';

/** Starts of replicas that one report names; more say nothing more. */
export const MAX_ENDED_REPLICAS = 8;
/** Entries that one report names. */
const GOOD_MOST = 64;
const DIGEST_FORM = /^[0-9a-f]{32}$/;

/** What is known of the runs of one request, under all its ids. */
export interface CrashReport {
  /** See `digestOf`. */
  readonly digest: string;
  /** Starts of replicas that ended while they ran it. */
  readonly ended: readonly string[];
  /** Runs that ended well, by the entry that saw them. */
  readonly good: Readonly<Record<string, number>>;
}

/** As it stands in the platform's store. */
export interface QuarantineRecord extends CrashReport {
  /** Time of day, in milliseconds. */
  readonly writtenAt: number;
}

const reportFields = {
  digest: string,
  ended: array(string),
  good: record(string, number),
};
export const crashReportCodec = Codec.interface(reportFields);
export const quarantineRecordCodec = Codec.interface({
  ...reportFields,
  writtenAt: number,
});

/** Whether a report can be one, whoever made it. */
export function isValidReport({digest, ended, good}: CrashReport): boolean {
  const counts = Object.values(good);
  return (
    DIGEST_FORM.test(digest) &&
    ended.length <= MAX_ENDED_REPLICAS &&
    counts.length <= GOOD_MOST &&
    counts.every(count => Number.isSafeInteger(count) && count >= 0)
  );
}
