/**
 * Grants permits as the home of replicas that name a request limit. Each
 * replica has a ledger of its own.
 */
import type {Clock} from '../../types/runtime.js';
import type {GrantingEntryTable} from './granting_entries.js';
import {effectiveLimit, homeKeyOf} from './limit_messages.js';
import type {LimitReport, PermitAnswer} from './limit_messages.js';
import {createPermitLedger} from './permit_ledger.js';
import type {LedgerAnswer, PermitLedger} from './permit_ledger.js';

/**
 * Lowest rate of permits, in requests a second, also at a limit of 0. Only an
 * answer of the replica shows that its limit has ended.
 */
export const MIN_RATE_PER_S = 0.25;
/** Time after which an entry asks again that could not get an answer. */
export const SILENT_RETRY_MS = 250;
/** Time in milliseconds after which an unused ledger may be dropped. */
const LEDGER_KEPT_MS = 10_000;

/** Permits for one replica. */
export interface PermitRequest {
  readonly replicaId: string;
  readonly count: number;
  /** Smaller is more urgent. */
  readonly urgency: number;
}

/** A home's answer to an ask. */
export type HomeAnswer = LedgerAnswer & Pick<PermitAnswer, 'isTakingOver'>;

/** Answer for a replica without a home that grants permits now. */
export const UNGRANTED: HomeAnswer = {
  isGranted: false,
  retryAfterMs: SILENT_RETRY_MS,
  isTakingOver: true,
};

/** A ledger of this entry as a home. */
interface OwnLedger {
  readonly ledger: PermitLedger;
  readonly startsAt: number;
  usedAt: number;
}

export interface HomeGrants {
  /** Grants as the home; `limit` is the newest that is known of the limit. */
  grant(limit: LimitReport, req: PermitRequest): HomeAnswer;
  /** Drops ledgers that are unused or whose home is another entry now. */
  dropLedgers(): void;
}

export function createHomeGrants(
  clock: Clock,
  node: string,
  entries: GrantingEntryTable,
): HomeGrants {
  /** By the key of the replica; see `homeKeyOf`. */
  const ledgers = new Map<string, OwnLedger>();

  const ledgerOf = (key: string): OwnLedger => {
    const now = clock.now();
    const known = ledgers.get(key);
    if (known !== undefined) {
      known.usedAt = now;
      return known;
    }
    const startsAt = Math.max(now, entries.takenOverAt(key));
    const ledger = createPermitLedger(startsAt);
    const own = {ledger, startsAt, usedAt: now};
    ledgers.set(key, own);
    return own;
  };

  return {
    grant: (limit, {replicaId, count, urgency}) => {
      const perSecond = effectiveLimit(limit);
      if (perSecond === undefined) return {isGranted: true, retryAfterMs: 0};
      const key = homeKeyOf(limit, replicaId);
      if (entries.homeOf(key) !== node) return UNGRANTED;
      const isByCold = perSecond !== limit.perSecond;
      const known = isByCold ? entries.mostKnown() : entries.known();
      const share = entries.reachableShare(known);
      const ratePerS = Math.max(MIN_RATE_PER_S, perSecond * share);
      const now = clock.now();
      const {ledger, startsAt} = ledgerOf(key);
      // The ledger would tell each refused ask a later time, and so keep the
      // replica closed after the takeover.
      if (isByCold && now < startsAt) {
        const retryAfterMs = Math.ceil(startsAt - now);
        return {isGranted: false, retryAfterMs, isTakingOver: true};
      }
      return ledger.take({count, urgency, ratePerS}, now);
    },
    dropLedgers: () => {
      const now = clock.now();
      for (const [key, {usedAt}] of [...ledgers]) {
        const isUsed = now - usedAt <= LEDGER_KEPT_MS;
        if (!isUsed || entries.homeOf(key) !== node) ledgers.delete(key);
      }
    },
  };
}
