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
  readonly part: number;
  /** False once the entry, and what it ran, is known to be gone. */
  readonly isPresent: (entry: NodeId) => boolean;
}

/** Places that an entry may be using until they lapse. */
interface Holding {
  readonly places: number;
  readonly lapsesAt: number;
}

interface EntryRecord {
  readonly wanted: number;
  /** Places in use, as it last told. */
  readonly used: number;
  /**
   * Newest last, places falling. A smaller grant does not end a larger one
   * before its time: its answer may be lost, or the ask may have been an old
   * one that came late, and the entry goes by the larger one until it lapses.
   */
  readonly holdings: readonly Holding[];
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

function heldBy(record: EntryRecord): number {
  return record.holdings[0]?.places ?? 0;
}

/**
 * An entry that was cut off goes on with the requests it had when its grant
 * lapsed. Forgotten here, their places would be granted a second time.
 */
function heldOrUsedBy(record: EntryRecord): number {
  return Math.max(heldBy(record), record.used);
}

/** An entry that is cut off gets nothing here, whatever it wanted. */
function wantedBy(record: EntryRecord): number {
  return record.holdings.length > 0 ? record.wanted : 0;
}

function unlapsed(record: EntryRecord, now: number): EntryRecord {
  const holdings = record.holdings.filter(({lapsesAt}) => lapsesAt > now);
  return {...record, holdings};
}

/** Holdings with a new one, without those that it outlasts and covers. */
function withHolding(
  holdings: readonly Holding[],
  next: Holding,
): readonly Holding[] {
  const larger = holdings.filter(({places}) => places > next.places);
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

  const forgetLapsed = (
    now: number,
    isPresent: HomeLimits['isPresent'],
  ): void => {
    for (const [node, record] of entries) {
      const left = unlapsed(record, now);
      const isCutOff = left.used > 0 && isPresent(node);
      if (left.holdings.length > 0 || isCutOff) entries.set(node, left);
      else entries.delete(node);
    }
  };

  const ttlMs = (askers: number): number => {
    const crowd = askers / ENTRIES_AT_MIN_TTL;
    return Math.min(MAX_TTL_MS, MIN_TTL_MS * Math.max(1, crowd));
  };

  /** Tokens that gather while nobody asks: those of a renewal period. */
  const burstSec = (): number => ttlMs(entries.size) / 2_000;

  const fill = (tokensPerSec: number, now: number): number => {
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
  const freePlaces = ({maxRunning, part}: HomeLimits): number => {
    const ownPart = Math.max(1, Math.floor(maxRunning * part));
    const free = Math.min(
      ownPart - sumOf(heldBy),
      maxRunning - sumOf(heldOrUsedBy),
    );
    return Math.max(0, free);
  };

  const grantPlaces = (req: GrantReq, limits: HomeLimits): number => {
    const allWanted = sumOf(wantedBy) + req.wantPlaces;
    const limit = limits.maxRunning * limits.part;
    const share = fairShare(req.wantPlaces, allWanted, limit);
    // Fewer than are in use makes the entry wait until enough have ended. As
    // many as are in use would let it fill each one that ends, and a limit
    // once exceeded would stay so for as long as the load lasts.
    return Math.min(share, freePlaces(limits));
  };

  const checkLimit = (req: GrantReq, places: number, limit: number): void => {
    const {organisation, entry} = req;
    const others = sumOf(heldOrUsedBy);
    const fields = {organisation, entry, places, others, limit};
    const fits = places === 0 || others + places <= limit;
    invariant(fits, 'limit-grants-within-limit', fields);
  };

  const grantTokens = (want: number): number => {
    if (balance === undefined || balance <= 0) return 0;
    balance -= want;
    return want;
  };

  return {
    grant: (req, limits, now) => {
      forgetLapsed(now, limits.isPresent);
      balance = fill(limits.tokensPerSec * limits.part, now);
      const before = entries.get(req.entry)?.holdings ?? [];
      entries.delete(req.entry);
      const places = grantPlaces(req, limits);
      checkLimit(req, places, limits.maxRunning);
      const ttl = ttlMs(entries.size + 1);
      const held = Math.max(places, req.usedPlaces);
      const holding = {places: held, lapsesAt: now + ttl};
      const holdings = withHolding(before, holding);
      const used = req.usedPlaces;
      entries.set(req.entry, {wanted: req.wantPlaces, used, holdings});
      const tokens = grantTokens(req.wantTokens);
      return {places, tokens, ttlMs: ttl, home: true};
    },
    isIdle: (now, isPresent) => {
      forgetLapsed(now, isPresent);
      return entries.size === 0;
    },
  };
}
