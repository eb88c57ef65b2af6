/**
 * Grants permits to send requests to one replica that names a request limit.
 * The home of the replica, one of the entries, keeps the ledger, and every
 * entry takes a permit from it for each request, so that all entries together
 * keep the limit.
 *
 * In any time of T seconds the ledger grants at most `ratePerS * T` permits,
 * `MAX_BALANCE` saved ones, and what one ask wants beyond the last of them.
 *
 * What the limit leaves goes to the most urgent: while a more urgent ask was
 * refused and is about to come back, the last permit is kept for it.
 */

/**
 * Permits that accumulate while none is wanted. More would be a burst at a
 * replica in need; with fewer, a permit is lost whenever an ask comes late.
 */
const MAX_BALANCE = 2;
/**
 * Time by which a refused ask may come back late and still has its permit kept,
 * in milliseconds. It covers the way to the caller or to the home and back.
 */
const KEPT_FOR_URGENT_MS = 200;
/** Longest time after which a refused ask is told to come back. */
export const MAX_RETRY_MS = 4_000;
/** Absorbs rounding of the balance. */
const EPSILON = 1e-9;

export interface LedgerAsk {
  /** Permits that are wanted together. */
  readonly count: number;
  /** Smaller is more urgent. */
  readonly urgency: number;
  /** Permits a second that this home may grant. */
  readonly ratePerS: number;
}

export interface LedgerAnswer {
  readonly isGranted: boolean;
  /** Time after which another ask may succeed, in milliseconds. */
  readonly retryAfterMs: number;
}

export interface PermitLedger {
  take(ask: LedgerAsk, now: number): LedgerAnswer;
}

/**
 * Creates an empty ledger. Permits accumulate from `startAt` on, in
 * milliseconds on the clock of `now`.
 */
export function createPermitLedger(startAt: number): PermitLedger {
  let balance = 0;
  let filledAt = startAt;
  /** When the last refused ask of an urgency was told to come back. */
  const returnsAt = new Map<number, number>();
  /** Rate, in permits a second, by which the times in `returnsAt` were told. */
  let toldRatePerS = 0;

  const refill = (ratePerS: number, now: number): void => {
    if (now <= filledAt) return;
    const added = ((now - filledAt) / 1_000) * ratePerS;
    balance = Math.min(MAX_BALANCE, balance + added);
    filledAt = now;
  };
  const returnsOf = (matches: (urgency: number) => boolean): number => {
    const times = [...returnsAt].filter(([urgency]) => matches(urgency));
    return Math.max(Number.NEGATIVE_INFINITY, ...times.map(([, at]) => at));
  };
  /** At a higher rate, permits for the refused asks are due earlier than told. */
  const bringForward = (ratePerS: number, now: number): void => {
    if (ratePerS <= toldRatePerS) return;
    for (const [urgency, at] of returnsAt) {
      const leftMs = Math.max(0, at - now) * (toldRatePerS / ratePerS);
      returnsAt.set(urgency, Math.min(at, now + leftMs));
    }
    toldRatePerS = ratePerS;
  };
  /** Tells each refused ask of an urgency a later time than the one before. */
  const refuse = (ask: LedgerAsk, needed: number, now: number) => {
    const msPerPermit = 1_000 / ask.ratePerS;
    const nextAt = filledAt + (needed - balance) * msPerPermit;
    const behind =
      returnsOf(urgency => urgency <= ask.urgency) + ask.count * msPerPermit;
    const at = Math.min(now + MAX_RETRY_MS, Math.max(nextAt, behind));
    returnsAt.set(ask.urgency, at);
    toldRatePerS = ask.ratePerS;
    return {isGranted: false, retryAfterMs: Math.ceil(at - now)};
  };

  return {
    take: (ask, now) => {
      refill(ask.ratePerS, now);
      bringForward(ask.ratePerS, now);
      const isUrgentDue =
        returnsOf(urgency => urgency < ask.urgency) > now - KEPT_FOR_URGENT_MS;
      const needed = isUrgentDue ? 2 : 1;
      if (balance < needed - EPSILON) return refuse(ask, needed, now);
      balance -= ask.count;
      return {isGranted: true, retryAfterMs: 0};
    },
  };
}
