/**
 * An entry's share of one organisation's limits: the places and tokens granted
 * to it and not yet lapsed, and what is in use. While the home can't be
 * reached, a small allowance stands in.
 */
import type {GrantRes} from '../types/peer_messages.js';

/** An allowance of all entries together is a quarter of the limit. */
const ALLOWANCE_DIVISOR = 4;
/** Asked for beyond what is needed now, as a share of it. */
const HEADROOM = 0.25;

/** What an entry may use without the home. */
export interface Allowance {
  readonly places: number;
  readonly tokensPerSec: number;
}

/**
 * Allowance of one of `entries` entries: a quarter of its even share, and one
 * place at least.
 */
export function allowanceOf(
  maxRunning: number,
  tokensPerSec: number,
  entries: number,
): Allowance {
  const parts = ALLOWANCE_DIVISOR * Math.max(1, entries);
  return {
    places: Math.max(1, Math.floor(maxRunning / parts)),
    tokensPerSec: tokensPerSec / parts,
  };
}

interface TokenBatch {
  tokens: number;
  readonly lapsesAt: number;
}

/** What an ask to the home should want. */
export interface Wants {
  readonly places: number;
  readonly tokens: number;
}

/** What is lacking for a request; `none` when it was let in. */
export type Lack = 'none' | 'places' | 'tokens';

/** Places and tokens that this entry may give out, with what is in use. */
export interface Share {
  /** Takes a place and the tokens of a request, if there are. */
  take(tokens: number, now: number): Lack;
  /** What a request of so many tokens lacks now. */
  lacks(tokens: number, now: number): Lack;
  release(): void;
  used(): number;
  /** Enters a grant that was asked for at `askedAt`. */
  enter(grant: GrantRes, askedAt: number): void;
  /** Stands in for the home until the next grant; undefined ends it. */
  fallBack(allowance: Allowance | undefined, now: number): void;
  /** Needs of `waiting` requests of `waitingTokens`, with headroom. */
  wants(waiting: number, waitingTokens: number, now: number): Wants;
  /** Ends a renewal period; false when nothing was asked for in it. */
  endPeriod(now: number): boolean;
  /** Time to live of the last grant, in milliseconds. */
  ttlMs(): number;
}

/** Starts empty; `firstTtlMs` stands until the first grant. */
export function createShare(firstTtlMs: number): Share {
  let places = 0;
  let placesLapseAt = 0;
  let batches: readonly TokenBatch[] = [];
  let ttl = firstTtlMs;
  let used = 0;

  let allowance: Allowance | undefined;
  let allowanceTokens = 0;
  let allowanceFilledAt = 0;

  let peakNow = 0;
  let peakBefore = 0;
  /** Tokens taken in this renewal period and the two before it. */
  let takenNow = 0;
  let takenBefore = 0;
  let takenEarlier = 0;
  let asked = false;

  const placeLimit = (now: number): number => {
    const granted = now < placesLapseAt ? places : 0;
    return Math.max(granted, allowance?.places ?? 0);
  };

  const grantedTokens = (now: number): number => {
    batches = batches.filter(batch => batch.lapsesAt > now);
    return batches.reduce((sum, batch) => sum + batch.tokens, 0);
  };

  const fillAllowance = (now: number): void => {
    if (allowance === undefined) return;
    const gathered =
      ((now - allowanceFilledAt) / 1_000) * allowance.tokensPerSec;
    allowanceFilledAt = now;
    // A second's worth at most, and at least one, so that it gets over 0.
    const most = Math.max(1, allowance.tokensPerSec);
    allowanceTokens = Math.min(most, allowanceTokens + gathered);
  };

  /** Uses up the batches that lapse first. */
  const spend = (tokens: number): void => {
    let left = tokens;
    for (const batch of batches) {
      const part = Math.min(left, batch.tokens);
      batch.tokens -= part;
      left -= part;
    }
  };

  const lacks = (tokens: number, now: number): Lack => {
    if (used >= placeLimit(now)) return 'places';
    if (grantedTokens(now) >= tokens) return 'none';
    fillAllowance(now);
    // As at the home: whole while over 0, then the debt is waited for.
    const isAllowed = allowance !== undefined && allowanceTokens > 0;
    return isAllowed ? 'none' : 'tokens';
  };

  const takeTokens = (tokens: number, now: number): void => {
    if (grantedTokens(now) >= tokens) spend(tokens);
    else allowanceTokens -= tokens;
  };

  return {
    take: (tokens, now) => {
      asked = true;
      const lack = lacks(tokens, now);
      if (lack !== 'none') return lack;
      takeTokens(tokens, now);
      used++;
      peakNow = Math.max(peakNow, used);
      takenNow += tokens;
      return 'none';
    },
    lacks,
    release: () => {
      used = Math.max(0, used - 1);
    },
    used: () => used,
    enter: (grant, askedAt) => {
      ttl = grant.ttlMs;
      places = grant.places;
      // Counted from the ask, so that it lapses here before it does there.
      placesLapseAt = askedAt + grant.ttlMs;
      if (grant.tokens > 0) {
        const batch = {tokens: grant.tokens, lapsesAt: placesLapseAt};
        batches = [...batches, batch];
      }
    },
    fallBack: (next, now) => {
      fillAllowance(now);
      if (allowance === undefined) {
        allowanceTokens = next?.tokensPerSec ?? 0;
        allowanceFilledAt = now;
      }
      allowance = next;
    },
    wants: (waiting, waitingTokens, now) => {
      const need = Math.max(used + waiting, peakNow, peakBefore);
      // The lesser of two periods: a single huge prompt foretells no other,
      // and tokens granted for one would only lapse.
      const forecast = Math.min(takenBefore, takenEarlier);
      const lacking = forecast + waitingTokens - grantedTokens(now);
      return {
        places: need + Math.ceil(need * HEADROOM),
        tokens: Math.max(waitingTokens, Math.ceil(lacking), 0),
      };
    },
    endPeriod: now => {
      const wasAsked = asked || used > 0;
      peakBefore = peakNow;
      peakNow = used;
      takenEarlier = takenBefore;
      takenBefore = takenNow;
      takenNow = 0;
      asked = false;
      return wasAsked || now < placesLapseAt;
    },
    ttlMs: () => ttl,
  };
}
