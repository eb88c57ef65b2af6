/**
 * An entry's share of one organisation's limits: the slots and tokens that were
 * granted to it and have not expired, and what is in use. While the home can't
 * be reached, a small allowance is used instead.
 */
import type {GrantRes} from '../types/peer_messages.js';

/** The allowances of all entries together are the limit divided by this. */
const ALLOWANCE_DIVISOR = 4;
/** Slots asked for beyond those needed now, as a share of these. */
const HEADROOM = 0.25;

/** What an entry may use while it gets no grant from the home. */
export interface Allowance {
  /** Requests that may run at once. */
  readonly slots: number;
  /** Tokens that may be admitted per second. */
  readonly tokensPerSec: number;
}

/**
 * Allowance of one of `entries` entries: a quarter of an even share of the
 * limit, and at least one slot.
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

/** Tokens of one grant. */
interface TokenBatch {
  tokens: number;
  /** On this process's clock, in milliseconds. */
  readonly expiresAt: number;
}

/** What an ask to the home should request. */
export interface Demand {
  readonly slots: number;
  readonly tokens: number;
}

/** What a request lacks; `none` when it can be admitted. */
export type Lack = 'none' | 'places' | 'tokens';

/**
 * Slots and tokens that this entry may use, and what is in use. Times are in
 * milliseconds on this process's clock.
 */
export interface EntryShare {
  /**
   * Takes a slot and the tokens of a request if both are available, and returns
   * what is lacking otherwise.
   */
  tryTake(tokens: number, now: number): Lack;
  /** What a request of so many tokens lacks now. */
  lackFor(tokens: number, now: number): Lack;
  /** Returns the slot of a request that has ended. */
  release(): void;
  /** Slots in use. */
  used(): number;
  /** Adds a grant that was asked for at `askedAt`. */
  addGrant(grant: GrantRes, askedAt: number): void;
  /** Sets the allowance to use without the home; undefined ends its use. */
  setAllowance(allowance: Allowance | undefined, now: number): void;
  /**
   * What `waiting` requests of `waitingTokens` tokens and the expected ones
   * need, with headroom.
   */
  demand(waiting: number, waitingTokens: number, now: number): Demand;
  /**
   * Ends a renewal period. Returns false when no request came in it, none is
   * running and the last grant has expired.
   */
  endRenewalPeriod(now: number): boolean;
  /** Time to live of the last grant, in milliseconds. */
  ttlMs(): number;
}

/**
 * Creates a share without a grant. `firstTtlMs` is used as the time to live
 * until the first grant.
 */
export function createEntryShare(firstTtlMs: number): EntryShare {
  /** Slots of the last grant, and the time when it expires. */
  let grantedSlots = 0;
  let slotsExpireAt = 0;
  let batches: readonly TokenBatch[] = [];
  let ttl = firstTtlMs;
  let used = 0;

  let allowance: Allowance | undefined;
  /**
   * Token balance of the allowance. Negative when a request took more than was
   * left.
   */
  let allowanceTokens = 0;
  let allowanceFilledAt = 0;

  /**
   * Most slots in use at once in this renewal period, and in the one before.
   */
  let peakUsed = 0;
  let previousPeakUsed = 0;
  /** Tokens taken in this renewal period, and in the two periods before it. */
  let takenTokens = 0;
  let previousTakenTokens = 0;
  let earlierTakenTokens = 0;
  /** True when a request came in this renewal period. */
  let hasTried = false;

  /** Slots that may be in use at once. */
  const slotLimit = (now: number): number => {
    const granted = now < slotsExpireAt ? grantedSlots : 0;
    return Math.max(granted, allowance?.slots ?? 0);
  };

  /** Granted tokens that are left and have not expired. */
  const grantedTokens = (now: number): number => {
    batches = batches.filter(batch => batch.expiresAt > now);
    return batches.reduce((sum, batch) => sum + batch.tokens, 0);
  };

  /** Adds the tokens that the allowance has accumulated since the last call. */
  const refillAllowance = (now: number): void => {
    if (allowance === undefined) return;
    const added = ((now - allowanceFilledAt) / 1_000) * allowance.tokensPerSec;
    allowanceFilledAt = now;
    // At most the tokens of one second. At least one token, so that the balance
    // can rise above 0 at a low rate too.
    const cap = Math.max(1, allowance.tokensPerSec);
    allowanceTokens = Math.min(cap, allowanceTokens + added);
  };

  /** Takes tokens from the batches that expire first. */
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
    // As in the home's ledger, a request is admitted whole while the balance is
    // above 0. The next one then waits until the debt is paid.
    const isAllowed = allowance !== undefined && allowanceTokens > 0;
    return isAllowed ? 'none' : 'tokens';
  };

  /** Takes the tokens from the grants, or else from the allowance. */
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
      // Counted from the ask, so that the grant expires here before it does at
      // the home.
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
      // The smaller of two periods. A single very large prompt does not predict
      // another one, and tokens granted for it would only expire.
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
