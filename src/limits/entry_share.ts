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
  readonly slots: number;
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
    slots: Math.max(1, Math.floor(maxRunning / parts)),
    tokensPerSec: tokensPerSec / parts,
  };
}

interface TokenBatch {
  tokens: number;
  readonly expiresAt: number;
}

/** What an ask to the home should want. */
export interface Demand {
  readonly slots: number;
  readonly tokens: number;
}

/** What is lacking for a request; `none` when it was let in. */
export type Lack = 'none' | 'places' | 'tokens';

/** Places and tokens that this entry may give out, with what is in use. */
export interface EntryShare {
  /** Takes a place and the tokens of a request, if there are. */
  tryTake(tokens: number, now: number): Lack;
  /** What a request of so many tokens lacks now. */
  lackFor(tokens: number, now: number): Lack;
  release(): void;
  used(): number;
  /** Enters a grant that was asked for at `askedAt`. */
  addGrant(grant: GrantRes, askedAt: number): void;
  /** Stands in for the home until the next grant; undefined ends it. */
  setAllowance(allowance: Allowance | undefined, now: number): void;
  /** Needs of `waiting` requests of `waitingTokens`, with headroom. */
  demand(waiting: number, waitingTokens: number, now: number): Demand;
  /** Ends a renewal period; false when nothing was asked for in it. */
  endRenewalPeriod(now: number): boolean;
  /** Time to live of the last grant, in milliseconds. */
  ttlMs(): number;
}

/** Starts empty; `firstTtlMs` stands until the first grant. */
export function createEntryShare(firstTtlMs: number): EntryShare {
  let grantedSlots = 0;
  let slotsExpireAt = 0;
  let batches: readonly TokenBatch[] = [];
  let ttl = firstTtlMs;
  let used = 0;

  let allowance: Allowance | undefined;
  let allowanceTokens = 0;
  let allowanceFilledAt = 0;

  let peakUsed = 0;
  let previousPeakUsed = 0;
  /** Tokens taken in this renewal period and the two before it. */
  let takenTokens = 0;
  let previousTakenTokens = 0;
  let earlierTakenTokens = 0;
  let hasTried = false;

  const slotLimit = (now: number): number => {
    const granted = now < slotsExpireAt ? grantedSlots : 0;
    return Math.max(granted, allowance?.slots ?? 0);
  };

  const grantedTokens = (now: number): number => {
    batches = batches.filter(batch => batch.expiresAt > now);
    return batches.reduce((sum, batch) => sum + batch.tokens, 0);
  };

  const refillAllowance = (now: number): void => {
    if (allowance === undefined) return;
    const added = ((now - allowanceFilledAt) / 1_000) * allowance.tokensPerSec;
    allowanceFilledAt = now;
    // A second's worth at most, and at least one, so that it gets over 0.
    const cap = Math.max(1, allowance.tokensPerSec);
    allowanceTokens = Math.min(cap, allowanceTokens + added);
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

  const lackFor = (tokens: number, now: number): Lack => {
    if (used >= slotLimit(now)) return 'places';
    if (grantedTokens(now) >= tokens) return 'none';
    refillAllowance(now);
    // As at the home: whole while over 0, then the debt is waited for.
    const isAllowed = allowance !== undefined && allowanceTokens > 0;
    return isAllowed ? 'none' : 'tokens';
  };

  const takeTokens = (tokens: number, now: number): void => {
    if (grantedTokens(now) >= tokens) spend(tokens);
    else allowanceTokens -= tokens;
  };

  return {
    tryTake: (tokens, now) => {
      hasTried = true;
      const lack = lackFor(tokens, now);
      if (lack !== 'none') return lack;
      takeTokens(tokens, now);
      used++;
      peakUsed = Math.max(peakUsed, used);
      takenTokens += tokens;
      return 'none';
    },
    lackFor,
    release: () => {
      used = Math.max(0, used - 1);
    },
    used: () => used,
    addGrant: (grant, askedAt) => {
      ttl = grant.ttlMs;
      grantedSlots = grant.places;
      // Counted from the ask, so that it lapses here before it does there.
      slotsExpireAt = askedAt + grant.ttlMs;
      if (grant.tokens > 0) {
        const batch = {tokens: grant.tokens, expiresAt: slotsExpireAt};
        batches = [...batches, batch];
      }
    },
    setAllowance: (next, now) => {
      refillAllowance(now);
      if (allowance === undefined) {
        allowanceTokens = next?.tokensPerSec ?? 0;
        allowanceFilledAt = now;
      }
      allowance = next;
    },
    demand: (waiting, waitingTokens, now) => {
      const neededSlots = Math.max(used + waiting, peakUsed, previousPeakUsed);
      // The lesser of two periods: a single huge prompt foretells no other,
      // and tokens granted for one would only lapse.
      const forecast = Math.min(previousTakenTokens, earlierTakenTokens);
      const lackingTokens = forecast + waitingTokens - grantedTokens(now);
      return {
        slots: neededSlots + Math.ceil(neededSlots * HEADROOM),
        tokens: Math.max(waitingTokens, Math.ceil(lackingTokens), 0),
      };
    },
    endRenewalPeriod: now => {
      const wasUsed = hasTried || used > 0;
      previousPeakUsed = peakUsed;
      peakUsed = used;
      earlierTakenTokens = previousTakenTokens;
      previousTakenTokens = takenTokens;
      takenTokens = 0;
      hasTried = false;
      return wasUsed || now < slotsExpireAt;
    },
    ttlMs: () => ttl,
  };
}
