/**
 * The ledger of an organisation's home: what the home has granted to each
 * entry. It is kept in memory only. When the home fails, the ledger is lost;
 * the grants of the entries expire, and their next asks tell the new home which
 * slots are in use.
 *
 * A slot lets one request of the organisation run; messages call slots
 * `places`. The ledger never grants slots such that all that it knows of exceed
 * the limit. Over any time T (in seconds) it grants at most `tokensPerSec * (T
 * + burstSec())` tokens plus one ask, because an ask is granted whole while the
 * balance is above 0.
 */
import type {NodeId} from '../types/ids.js';
import type {GrantReq, GrantRes} from '../types/peer_messages.js';
import type {Invariant} from '../types/runtime.js';

/** Time to live of a grant while few entries ask. */
export const MIN_TTL_MS = 2_000;
/** Longest time to live of a grant, reached when many entries ask. */
const MAX_TTL_MS = 16_000;
/**
 * The time to live grows when more entries than this ask the organisation's
 * home. A home then receives about 16 asks a second for a busy organisation,
 * however many entries there are, until the longest time to live is reached.
 */
const ENTRIES_AT_MIN_TTL = 16;

/** The limits of an organisation, and how much of them this home may grant. */
export interface HomeLimits {
  /** Requests that may run at once, over all entries. */
  readonly maxRunning: number;
  /** Tokens that may be admitted per second, over all entries. */
  readonly tokensPerSec: number;
  /** Share of the entries that this home reaches, above 0 and at most 1. */
  readonly reachableShare: number;
  /**
   * False when the entry is known to be gone, together with the requests it
   * ran.
   */
  readonly isPresent: (entry: NodeId) => boolean;
}

/** Slots that an entry may use until the grant expires. */
interface SlotGrant {
  /**
   * Slots that were granted, or that the entry reported as in use if those are
   * more.
   */
  readonly slots: number;
  /** On the home's clock, in milliseconds. */
  readonly expiresAt: number;
}

/** What the home knows of one entry. */
interface EntryRecord {
  /** Slots that the entry asked for last. */
  readonly wantedSlots: number;
  /** Slots that the entry last reported as in use. */
  readonly usedSlots: number;
  /**
   * Newest last, with fewer slots in each. A smaller grant does not end a
   * larger one that has not expired: its answer may be lost, or the ask may
   * have been an old one that arrived late, and then the entry uses the larger
   * grant until that expires.
   */
  readonly grants: readonly SlotGrant[];
}

/** The grants of one organisation, kept at its home. */
export interface HomeLedger {
  /** Answers an ask. Times are on the home's clock, in milliseconds. */
  grant(req: GrantReq, limits: HomeLimits, now: number): GrantRes;
  /** True when no grant is left that has not expired, and no slot is in use. */
  isIdle(now: number, isPresent: HomeLimits['isPresent']): boolean;
}

/** How a ledger starts. */
export interface HomeLedgerOptions {
  readonly invariant: Invariant;
  /** Time of creation. */
  readonly now: number;
  /**
   * Initial token balance, in seconds at the rate. 0 for a home that has just
   * taken over, because the previous home may have granted everything.
   */
  readonly initialSec: number;
}

/** Slots of the largest grant that has not expired. */
function grantedTo(record: EntryRecord): number {
  return record.grants[0]?.slots ?? 0;
}

/**
 * Slots that the entry may be using. An entry that was cut off keeps running
 * the requests it had when its grant expired; if their slots were not counted,
 * they would be granted a second time.
 */
function grantedOrUsedBy(record: EntryRecord): number {
  return Math.max(grantedTo(record), record.usedSlots);
}

/**
 * Slots that the entry wants. An entry that is cut off gets nothing from this
 * home, so its last request is not counted.
 */
function wantedBy(record: EntryRecord): number {
  return record.grants.length > 0 ? record.wantedSlots : 0;
}

/** The record without expired grants. */
function withoutExpired(record: EntryRecord, now: number): EntryRecord {
  const grants = record.grants.filter(({expiresAt}) => expiresAt > now);
  return {...record, grants};
}

/**
 * Adds a grant, and removes those that are not larger, because the new grant
 * covers them.
 */
function withGrant(
  grants: readonly SlotGrant[],
  next: SlotGrant,
): readonly SlotGrant[] {
  const larger = grants.filter(({slots}) => slots > next.slots);
  return [...larger, next];
}

/**
 * Slots for one entry, in proportion to what it wants when all entries together
 * want more than the limit.
 */
function fairShare(wanted: number, allWanted: number, limit: number): number {
  if (allWanted <= limit) return wanted;
  // Rounded up. Rounding down would leave up to one slot for each entry unused,
  // and the sum is bounded by the free slots anyway.
  return Math.ceil((limit * wanted) / allWanted);
}

/** Creates a ledger without grants. */
export function createHomeLedger(options: HomeLedgerOptions): HomeLedger {
  const {invariant} = options;
  const entries = new Map<NodeId, EntryRecord>();
  let balance: number | undefined;
  let filledAt = options.now;

  /** Removes expired grants, and entries of which nothing is left to count. */
  const removeExpired = (
    now: number,
    isPresent: HomeLimits['isPresent'],
  ): void => {
    for (const [node, record] of entries) {
      const left = withoutExpired(record, now);
      const isCutOff = left.usedSlots > 0 && isPresent(node);
      if (left.grants.length > 0 || isCutOff) entries.set(node, left);
      else entries.delete(node);
    }
  };

  /** Time to live of a grant when so many entries ask. */
  const ttlMs = (askers: number): number => {
    const ttlFactor = askers / ENTRIES_AT_MIN_TTL;
    return Math.min(MAX_TTL_MS, MIN_TTL_MS * Math.max(1, ttlFactor));
  };

  /**
   * Tokens that accumulate while no entry asks, in seconds at the rate: those
   * of one renewal period, which is half of the time to live.
   */
  const burstSec = (): number => ttlMs(entries.size) / 2_000;

  /**
   * The token balance after adding what has accumulated since the last refill.
   */
  const refill = (tokensPerSec: number, now: number): number => {
    const before = balance ?? 1 + tokensPerSec * options.initialSec;
    const added = ((now - filledAt) / 1_000) * tokensPerSec;
    filledAt = now;
    return Math.min(before + added, Math.max(1, tokensPerSec * burstSec()));
  };

  /** Sum of a value over all entries. */
  const sumOf = (value: (record: EntryRecord) => number): number => {
    let sum = 0;
    for (const record of entries.values()) sum += value(record);
    return sum;
  };

  /**
   * Slots that no entry may be using, within this home's share of the limit.
   */
  const freeSlots = ({maxRunning, reachableShare}: HomeLimits): number => {
    const ownLimit = Math.max(1, Math.floor(maxRunning * reachableShare));
    const free = Math.min(
      ownLimit - sumOf(grantedTo),
      maxRunning - sumOf(grantedOrUsedBy),
    );
    return Math.max(0, free);
  };

  /** Slots to grant for this ask. */
  const grantSlots = (req: GrantReq, limits: HomeLimits): number => {
    const allWanted = sumOf(wantedBy) + req.wantPlaces;
    const limit = limits.maxRunning * limits.reachableShare;
    const share = fairShare(req.wantPlaces, allWanted, limit);
    // This may be less than the entry has in use; the entry then admits nothing
    // until enough of its requests have ended. If it were granted as many as it
    // uses, it would replace each request that ends, and an excess over the
    // limit would last as long as the load.
    return Math.min(share, freeSlots(limits));
  };

  /** Checks the invariant that a new grant keeps the limit. */
  const checkLimit = (req: GrantReq, slots: number, limit: number): void => {
    const {organisation, entry} = req;
    const others = sumOf(grantedOrUsedBy);
    const fields = {organisation, entry, places: slots, others, limit};
    const fits = slots === 0 || others + slots <= limit;
    invariant(fits, 'limit-grants-within-limit', fields);
  };

  /**
   * Grants all of the tokens while the balance is above 0. The balance may
   * become negative.
   */
  const grantTokens = (want: number): number => {
    if (balance === undefined || balance <= 0) return 0;
    balance -= want;
    return want;
  };

  return {
    grant: (req, limits, now) => {
      removeExpired(now, limits.isPresent);
      balance = refill(limits.tokensPerSec * limits.reachableShare, now);
      const before = entries.get(req.entry)?.grants ?? [];
      entries.delete(req.entry);
      const slots = grantSlots(req, limits);
      checkLimit(req, slots, limits.maxRunning);
      const ttl = ttlMs(entries.size + 1);
      const heldSlots = Math.max(slots, req.usedPlaces);
      const grant = {slots: heldSlots, expiresAt: now + ttl};
      const grants = withGrant(before, grant);
      const usedSlots = req.usedPlaces;
      entries.set(req.entry, {
        wantedSlots: req.wantPlaces,
        usedSlots,
        grants,
      });
      const tokens = grantTokens(req.wantTokens);
      return {places: slots, tokens, ttlMs: ttl, home: true};
    },
    isIdle: (now, isPresent) => {
      removeExpired(now, isPresent);
      return entries.size === 0;
    },
  };
}
