/**
 * What entries tell each other about the request limits that replicas name:
 * reports of limits, and requests for permits with their answers.
 */
import {Codec, boolean, number, optional, string} from 'purify-ts/Codec';

/** The newest that an entry knows of a replica's limit. */
export interface LimitReport {
  readonly replicaId: string;
  /**
   * Requests a second from all entries together; undefined where the replica
   * no longer names a limit.
   */
  readonly perSecond: number | undefined;
  /** Time since the replica stated this, in milliseconds. */
  readonly ageMs: number;
}

/** Who gets a report: all peers, a random live one, or the one of a name. */
export type LimitAudience = 'all' | 'one' | {readonly node: string};

/** Asks the home of a replica for permits to send it requests. */
export interface PermitAsk {
  /** Distinguishes the asks of one entry. */
  readonly id: number;
  /** What the asking entry knows of the limit. */
  readonly limit: LimitReport;
  /** Number of permits; all or none are granted. */
  readonly count: number;
  /** Smaller is more urgent. */
  readonly urgency: number;
}

export interface PermitAnswer {
  /** Id of the ask. */
  readonly askId: number;
  readonly isGranted: boolean;
  /** Time after which another ask may succeed; 0 where it is granted. */
  readonly retryAfterMs: number;
  /** What the home knows of the limit; undefined where it knows nothing. */
  readonly limit?: LimitReport;
}

/** Largest number of permits that one ask may want. */
const MAX_PERMITS = 16;

export const limitReportCodec = Codec.interface({
  replicaId: string,
  perSecond: optional(number),
  ageMs: number,
});
export const permitAskCodec = Codec.interface({
  id: number,
  limit: limitReportCodec,
  count: number,
  urgency: number,
});
export const permitAnswerCodec = Codec.interface({
  askId: number,
  isGranted: boolean,
  retryAfterMs: number,
  limit: optional(limitReportCodec),
});

/** Whether the values of a report that came from outside are possible. */
export function isValidLimit({perSecond, ageMs}: LimitReport): boolean {
  return ageMs >= 0 && (perSecond === undefined || perSecond >= 0);
}

export function isValidAsk({limit, count}: PermitAsk): boolean {
  const isCount = Number.isInteger(count) && count >= 1 && count <= MAX_PERMITS;
  return isCount && isValidLimit(limit);
}

export function isValidAnswer({retryAfterMs, limit}: PermitAnswer): boolean {
  return retryAfterMs >= 0 && (limit === undefined || isValidLimit(limit));
}
