/**
 * The home's side of organisation limits: a ledger of what it has granted to
 * each entry. The home keeps it in memory only. A home that dies takes the
 * ledger along; the entries' grants lapse, and their next asks tell the new
 * home which places are in use.
 *
 * A ledger never grants places so that those it knows of exceed the limit.
 * Over any time T it grants at most `tokensPerSec * (T + BURST)` tokens and
 * one ask, because an ask is granted whole while the balance is over 0.
 */
import type {NodeId} from '../types/ids.js';
import type {GrantReq, GrantRes} from '../types/peer_messages.js';
import type {Invariant} from '../types/runtime.js';

/** Time to live of a grant while few entries ask. */
export const MIN_TTL_MS = 2_000;
/** With many entries asking, grants live longer, up to this. */
const MAX_TTL_MS = 16_000;
/**
 * Entries that ask an organisation's home before the time to live grows. The
 * home of a busy organisation then hears some 16 asks a second, however many
 * entries there are, until the longest time to live is reached.
 */
const ENTRIES_AT_MIN_TTL = 16;

/** An organisation's limits, and how much of them this home may grant. */
export interface HomeLimits {
  readonly maxRunning: number;
  readonly tokensPerSec: number;
  /** Share of the entries that this home reaches, over 0 up to 1. */
  readonly reachableShare: number;
  /** False once the entry, and what it ran, is known to be gone. */
  readonly isPresent: (entry: NodeId) => boolean;
}

/** Places that an entry may be using until they lapse. */
interface SlotGrant {
  readonly slots: number;
  readonly expiresAt: number;
}

interface EntryRecord {
  readonly wantedSlots: number;
  /** Places in use, as it last told. */
  readonly usedSlots: number;
  /**
   * Newest last, places falling. A smaller grant does not end a larger one
   * before its time: its answer may be lost, or the ask may have been an old
   * one that came late, and the entry goes by the larger one until it lapses.
   */
  readonly grants: readonly SlotGrant[];
}

/** An organisation's grants, kept at its home entry. */
export interface HomeLedger {
  /** Answers an ask; times are on the home's clock. */
  grant(req: GrantReq, limits: HomeLimits, now: number): GrantRes;
  /** True when nothing is granted that has not lapsed and nothing in use. */
  isIdle(now: number, isPresent: HomeLimits['isPresent']): boolean;
}

/** Start of a ledger. */
export interface HomeLedgerOptions {
  readonly invariant: Invariant;
  readonly now: number;
  /**
   * Tokens to begin with, in seconds of the rate. 0 for a home that has just
   * taken over, since the one before may have granted all there was.
   */
  readonly initialSec: number;
}

function grantedTo(record: EntryRecord): number {
  return record.grants[0]?.slots ?? 0;
}

/**
 * An entry that was cut off goes on with the requests it had when its grant
 * lapsed. Forgotten here, their places would be granted a second time.
 */
function grantedOrUsedBy(record: EntryRecord): number {
  return Math.max(grantedTo(record), record.usedSlots);
}

/** An entry that is cut off gets nothing here, whatever it wanted. */
function wantedBy(record: EntryRecord): number {
  return record.grants.length > 0 ? record.wantedSlots : 0;
}

function withoutExpired(record: EntryRecord, now: number): EntryRecord {
  const grants = record.grants.filter(({expiresAt}) => expiresAt > now);
  return {...record, grants};
}

/** Holdings with a new one, without those that it outlasts and covers. */
function withGrant(
  grants: readonly SlotGrant[],
  next: SlotGrant,
): readonly SlotGrant[] {
  const larger = grants.filter(({slots}) => slots > next.slots);
  return [...larger, next];
}

/** Places of one entry when all that is wanted exceeds the limit. */
function fairShare(wanted: number, allWanted: number, limit: number): number {
  if (allWanted <= limit) return wanted;
  // Rounded up: what is free bounds the sum, and rounding down would leave
  // up to a place for each entry unused.
  return Math.ceil((limit * wanted) / allWanted);
}

/** Opens a ledger that knows of no grant. */
export function createHomeLedger(options: HomeLedgerOptions): HomeLedger {
  const {invariant} = options;
  const entries = new Map<NodeId, EntryRecord>();
  let balance: number | undefined;
  let filledAt = options.now;

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

  const ttlMs = (askers: number): number => {
    const ttlFactor = askers / ENTRIES_AT_MIN_TTL;
    return Math.min(MAX_TTL_MS, MIN_TTL_MS * Math.max(1, ttlFactor));
  };

  /** Tokens that gather while nobody asks: those of a renewal period. */
  const burstSec = (): number => ttlMs(entries.size) / 2_000;

  const refill = (tokensPerSec: number, now: number): number => {
    const before = balance ?? 1 + tokensPerSec * options.initialSec;
    const gathered = ((now - filledAt) / 1_000) * tokensPerSec;
    filledAt = now;
    return Math.min(before + gathered, Math.max(1, tokensPerSec * burstSec()));
  };

  const sumOf = (value: (record: EntryRecord) => number): number => {
    let sum = 0;
    for (const record of entries.values()) sum += value(record);
    return sum;
  };

  /** Places that nobody holds, within this home's part of the limit. */
  const freeSlots = ({maxRunning, reachableShare}: HomeLimits): number => {
    const ownLimit = Math.max(1, Math.floor(maxRunning * reachableShare));
    const free = Math.min(
      ownLimit - sumOf(grantedTo),
      maxRunning - sumOf(grantedOrUsedBy),
    );
    return Math.max(0, free);
  };

  const grantSlots = (req: GrantReq, limits: HomeLimits): number => {
    const allWanted = sumOf(wantedBy) + req.wantPlaces;
    const limit = limits.maxRunning * limits.reachableShare;
    const share = fairShare(req.wantPlaces, allWanted, limit);
    // Fewer than are in use makes the entry wait until enough have ended. As
    // many as are in use would let it fill each one that ends, and a limit
    // once exceeded would stay so for as long as the load lasts.
    return Math.min(share, freeSlots(limits));
  };

  const checkLimit = (req: GrantReq, slots: number, limit: number): void => {
    const {organisation, entry} = req;
    const others = sumOf(grantedOrUsedBy);
    const fields = {organisation, entry, places: slots, others, limit};
    const fits = slots === 0 || others + slots <= limit;
    invariant(fits, 'limit-grants-within-limit', fields);
  };

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
