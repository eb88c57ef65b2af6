/**
 * What entries tell each other about the request limits that replicas name:
 * reports of limits, and requests for permits with their answers.
 */
import {Codec, boolean, number, optional, string} from 'purify-ts/Codec';

/** The newest that an entry knows of a replica's coldness. */
export interface ColdReport {
  /**
   * Name of the replica. It is the same for all starts, so that entries which
   * cannot reach the store, and know an earlier start, share one ledger with
   * the others.
   */
  readonly name: string;
  /** How much longer the replica stays cold; 0 when it is warm. */
  readonly leftMs: number;
  /** Time since this was stated or presumed, in milliseconds. */
  readonly ageMs: number;
  /** Requests a second that it takes meanwhile from all entries together. */
  readonly perSecond: number;
}

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
  /** Undefined from entries that know of no coldness of the replica. */
  readonly cold?: ColdReport | undefined;
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
  /**
   * Whether the asked entry grants nothing yet: it is not the home as far as it
   * knows, or became it just now.
   */
  readonly isTakingOver?: boolean;
}

export function isCold({cold}: LimitReport): boolean {
  return cold !== undefined && cold.leftMs > 0;
}

/**
 * The key of a replica's home and ledger. Entries may know different starts of
 * a cold replica, so its key is its name, which all starts have in common.
 */
export function homeKeyOf(limit: LimitReport, replicaId: string): string {
  return limit.cold !== undefined && isCold(limit)
    ? limit.cold.name
    : replicaId;
}

/** Largest number of permits that one ask may want. */
const MAX_PERMITS = 16;

export const limitReportCodec = Codec.interface({
  replicaId: string,
  perSecond: optional(number),
  ageMs: number,
  cold: optional(
    Codec.interface({
      name: string,
      leftMs: number,
      ageMs: number,
      perSecond: number,
    }),
  ),
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
  isTakingOver: optional(boolean),
});

/** Whether the values of a report that came from outside are possible. */
export function isValidLimit({perSecond, ageMs, cold}: LimitReport): boolean {
  const isColdValid =
    cold === undefined ||
    (isAmount(cold.leftMs) &&
      isAmount(cold.ageMs) &&
      isAmount(cold.perSecond) &&
      cold.perSecond > 0);
  return (
    isColdValid &&
    isAmount(ageMs) &&
    (perSecond === undefined || isAmount(perSecond))
  );
}

/** JSON can state numbers that are read as infinite. */
function isAmount(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}

/** Requests a second that a report allows; undefined where it has no limit. */
export function effectiveLimit({
  perSecond,
  cold,
}: LimitReport): number | undefined {
  if (cold === undefined || cold.leftMs <= 0) return perSecond;
  return Math.min(perSecond ?? Infinity, cold.perSecond);
}

export function isValidAsk({id, limit, count, urgency}: PermitAsk): boolean {
  const isCount = Number.isInteger(count) && count >= 1 && count <= MAX_PERMITS;
  const areFinite = Number.isFinite(id) && Number.isFinite(urgency);
  return isCount && areFinite && isValidLimit(limit);
}

export function isValidAnswer(answer: PermitAnswer): boolean {
  const {askId, retryAfterMs, limit} = answer;
  const areFinite = Number.isFinite(askId) && isAmount(retryAfterMs);
  return areFinite && (limit === undefined || isValidLimit(limit));
}
