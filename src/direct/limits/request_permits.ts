/**
 * Permits to send requests to replicas that name a request limit. For each such
 * replica one entry is the home, found by hashing over the live entries, and
 * keeps the ledger of the permits. The other entries ask it for one before each
 * request.
 *
 * An entry whose home is silent sends nothing to the replica: requests go
 * elsewhere or are rejected until another entry is the home. A new home starts
 * with an empty ledger, after the time within which the earlier one notices
 * that it is no longer the home. So two homes do not grant at the same time.
 * Where the replica is limited by its coldness alone, an entry without a home
 * sends in its own turns instead; see `cold/fallback_sends.ts`.
 *
 * A part of the fleet that is cut off from the rest has a home of its own. It
 * grants only the share of the limit that belongs to the entries it reaches.
 */
import {createHash} from 'node:crypto';
import type {Clock, Log, Metrics} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {createRendezvous} from '../../utils/rendezvous_hashing.js';
import {firstTurnAt, takeTurns} from '../cold/fallback_sends.js';
import {effectiveLimit} from './limit_messages.js';
import type {LimitReport, PermitAnswer, PermitAsk} from './limit_messages.js';
import {MAX_RETRY_MS, createPermitLedger} from './permit_ledger.js';
import type {LedgerAnswer, PermitLedger} from './permit_ledger.js';
import type {ReplicaLimits} from './replica_limits.js';

/** Longest wait for a home's answer; homes answer within milliseconds. */
const ANSWER_TIMEOUT_MS = 100;
/** Time after which an entry asks again that could not get an answer. */
const SILENT_RETRY_MS = 250;
/**
 * Time from a change of the live entries until a new home grants. It is longer
 * than the heartbeat between entries, by which the earlier home notices.
 */
const TAKEOVER_MS = 1_500;
/**
 * Lowest rate of permits, in requests a second, also at a limit of 0. Only an
 * answer of the replica shows that its limit has ended.
 */
export const MIN_RATE_PER_S = 0.25;

// The hash of `utils/digest.ts` is initialised by a top-level await, which a
// bundle in CommonJS format cannot hold.
const rendezvous = createRendezvous(text =>
  createHash('sha1').update(text).digest('hex'),
);

/**
 * Time for which an entry that fell silent counts in the share of a cold
 * replica's limit that a cut-off part of the fleet grants, in milliseconds. Two
 * parts that each granted all of it would exceed the bound on cold replicas.
 */
const KNOWN_KEPT_MS = 60_000;

/** Time in milliseconds after which an unused ledger may be dropped. */
const LEDGER_KEPT_MS = 10_000;

/** The entries that grant permits, as this entry sees them. */
export interface GrantingEntries {
  /** Names of the live ones, including this entry unless it is draining. */
  readonly live: readonly string[];
  /** Number of them and of those that fell silent a short time ago. */
  readonly known: number;
}

/** Permits for one replica. */
export interface PermitRequest {
  readonly replicaId: string;
  readonly count: number;
  /** Smaller is more urgent. */
  readonly urgency: number;
}

export interface RequestPermits {
  /**
   * Time in milliseconds until permits may be available; 0 when they may be
   * taken now, or when the replica names no limit.
   */
  waitMs(replicaId: string, urgency: number): number;
  /**
   * Takes permits; resolves to false when there are none. They must be used at
   * once. Resolves to true for a replica without a limit.
   */
  take(req: PermitRequest): Promise<boolean>;
  /** Answers a peer's ask. */
  handleAsk(from: string, ask: PermitAsk): void;
  handleAnswer(answer: PermitAnswer): void;
  setGrantingEntries(entries: GrantingEntries): void;
  /**
   * Name of the entry that is the home of a replica that names a limit. The
   * home of a cold one is found by the replica's name instead of its id.
   */
  homeOf(key: string): string;
}

export interface RequestPermitsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Name of this entry. */
  readonly node: string;
  readonly limits: Pick<ReplicaLimits, 'limitOf' | 'reportOf' | 'merge'>;
  /**
   * Requests a second that all entries without a home may send the replica
   * together. @default none
   */
  fallbackPerS?(replicaId: string): number;
  /** From 0 to 1. @default 0.5 each time */
  random?(): number;
  /** Sends an ask to another entry. */
  sendAsk(to: string, ask: PermitAsk): void;
  sendAnswer(to: string, answer: PermitAnswer): void;
}

/** A home's answer to an ask. */
type HomeAnswer = LedgerAnswer & Pick<PermitAnswer, 'isTakingOver'>;

/** The entries that were alive until a time. */
interface EarlierEntries {
  readonly live: ReadonlySet<string>;
  readonly until: number;
}

/** A ledger of this entry as a home. */
interface OwnLedger {
  readonly ledger: PermitLedger;
  readonly startsAt: number;
  usedAt: number;
}

/** A replica for which this entry was refused permits. */
interface Closure {
  readonly until: number;
  /** Limit in force at the refusal; under a higher one, `until` is too late. */
  readonly perSecond: number;
  /** Urgency of the refused request; more urgent ones may still ask. */
  readonly urgency: number;
}

const UNGRANTED: HomeAnswer = {
  isGranted: false,
  retryAfterMs: SILENT_RETRY_MS,
  isTakingOver: true,
};

/**
 * The key of a replica's home and ledger. Entries may know different starts of
 * a cold replica, so its key is its name, which all starts have in common.
 */
function keyOf(limit: LimitReport, replicaId: string): string {
  return limit.cold !== undefined && isCold(limit)
    ? limit.cold.name
    : replicaId;
}

function isCold({cold}: LimitReport): boolean {
  return cold !== undefined && cold.leftMs > 0;
}

export function createRequestPermits(
  options: RequestPermitsOptions,
): RequestPermits {
  const {clock, log, metrics, node, limits} = options;
  let entries: GrantingEntries = {live: [node], known: 1};
  /**
   * The entries that were alive before the latest changes. Those before this
   * entry's start are not known; it was not a home then.
   */
  let earlierEntries: readonly EarlierEntries[] = [
    {live: new Set(), until: clock.now()},
  ];
  /** Numbers of known entries, and when they were last counted. */
  const knownCounts = new Map<number, number>();
  const homes = new Map<string, string>();
  /** By the key of the replica; see `keyOf`. */
  const ledgers = new Map<string, OwnLedger>();
  /** Begin of this entry's next turn at a cold replica without a home. */
  const turnsAt = new Map<string, number>();
  /** Cold replicas that got a request in such a turn, which is logged once. */
  const fallbackReplicas = new Set<string>();
  /** Open asks for permits of cold replicas, by replica. */
  const asking = new Map<string, Promise<unknown>>();
  const silentUntil = new Map<string, number>();
  const closures = new Map<string, Closure>();
  const openAsks = new Map<number, (answer: PermitAnswer) => void>();
  const silentHomes = new Set<string>();
  let lastAskId = 0;

  const homeOf = (key: string): string => {
    const known = homes.get(key);
    if (known !== undefined) return known;
    const nodes = entries.live.map(id => ({id}));
    const home = rendezvous.first(key, nodes)?.id ?? node;
    homes.set(key, home);
    return home;
  };
  const ledgerOf = (key: string): OwnLedger => {
    const now = clock.now();
    const known = ledgers.get(key);
    if (known !== undefined) {
      known.usedAt = now;
      return known;
    }
    const startsAt = Math.max(now, takenOverAt(key));
    const ledger = createPermitLedger(startsAt);
    const own = {ledger, startsAt, usedAt: now};
    ledgers.set(key, own);
    return own;
  };
  /**
   * When an earlier home of the replica has noticed that it is no longer the
   * home. Entries that were never its home do not delay the takeover, also when
   * many restart one after another.
   */
  const takenOverAt = (key: string): number => {
    const now = clock.now();
    const recent = earlierEntries.filter(
      ({until}) => until + TAKEOVER_MS > now,
    );
    const names = new Set(recent.flatMap(({live}) => [...live]));
    const ranksHigher = (id: string) =>
      rendezvous.first(key, [{id: node}, {id}])?.id !== node;
    const higher = [...names].filter(id => id !== node && ranksHigher(id));
    /** Times at which another entry was the home. */
    const withOtherHome = recent.filter(
      ({live}) => !live.has(node) || higher.some(id => live.has(id)),
    );
    const endedAt = withOtherHome.map(({until}) => until);
    return Math.max(-Infinity, ...endedAt) + TAKEOVER_MS;
  };
  /** Most entries that were known at a time within `KNOWN_KEPT_MS`. */
  const mostKnown = (): number => {
    const now = clock.now();
    for (const [count, at] of knownCounts) {
      if (now - at > KNOWN_KEPT_MS) knownCounts.delete(count);
    }
    return Math.max(entries.known, ...knownCounts.keys());
  };
  /** Share of the granting entries that this one reaches. */
  const reachableShare = (known: number) =>
    Math.min(1, Math.max(1, entries.live.length) / Math.max(1, known));

  /** Grants as the home; `limit` is the newest that is known of the limit. */
  const grant = (
    limit: LimitReport,
    {replicaId, count, urgency}: PermitRequest,
  ): HomeAnswer => {
    const perSecond = effectiveLimit(limit);
    if (perSecond === undefined) return {isGranted: true, retryAfterMs: 0};
    const key = keyOf(limit, replicaId);
    if (homeOf(key) !== node) {
      return {
        isGranted: false,
        retryAfterMs: SILENT_RETRY_MS,
        isTakingOver: true,
      };
    }
    const isByCold = perSecond !== limit.perSecond;
    const share = reachableShare(isByCold ? mostKnown() : entries.known);
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
  };

  const noteSilence = (home: string): void => {
    silentUntil.set(home, clock.now() + SILENT_RETRY_MS);
    metrics.count('onyxloft_direct_limit_home_silent_total');
    if (silentHomes.has(home)) return;
    silentHomes.add(home);
    log(DIRECT_EVENTS.limitHomeSilent, {entry: home});
  };
  const askHome = (
    home: string,
    limit: LimitReport,
    {count, urgency}: PermitRequest,
  ): Promise<HomeAnswer> => {
    const id = ++lastAskId;
    return new Promise(resolve => {
      const cancel = clock.after(ANSWER_TIMEOUT_MS, () => {
        openAsks.delete(id);
        noteSilence(home);
        resolve(UNGRANTED);
      });
      openAsks.set(id, answer => {
        cancel();
        openAsks.delete(id);
        silentHomes.delete(home);
        silentUntil.delete(home);
        // An entry of an earlier version, or one whose settings lack cold
        // replicas, grants as if the replica were warm.
        const ignoresCold = isCold(limit) && answer.limit?.cold === undefined;
        resolve(ignoresCold ? UNGRANTED : answer);
      });
      options.sendAsk(home, {id, limit, count, urgency});
    });
  };

  /** Uses this entry's turn at a cold replica that has no home. */
  const takeTurn = ({replicaId, count}: PermitRequest): LedgerAnswer => {
    const perSecond = options.fallbackPerS?.(replicaId) ?? 0;
    if (perSecond <= 0) return UNGRANTED;
    const now = clock.now();
    const periodMs = (1_000 * mostKnown()) / perSecond;
    const known = turnsAt.get(replicaId);
    const draw = () => options.random?.() ?? 0.5;
    const dueAt = known ?? firstTurnAt(now, periodMs, draw());
    const {isTaken, nextAt} = takeTurns(dueAt, now, periodMs, count);
    turnsAt.set(replicaId, nextAt);
    if (!isTaken) return {isGranted: false, retryAfterMs: nextAt - now};
    metrics.count('onyxloft_direct_cold_fallback_total');
    if (!fallbackReplicas.has(replicaId)) {
      fallbackReplicas.add(replicaId);
      const key = limits.reportOf(replicaId)?.cold?.name ?? replicaId;
      log(DIRECT_EVENTS.coldFallback, {
        replica: replicaId,
        home: homeOf(key),
        everyMs: Math.round(periodMs),
      });
    }
    return {isGranted: true, retryAfterMs: 0};
  };
  const askLedger = (
    limit: LimitReport,
    req: PermitRequest,
  ): HomeAnswer | Promise<HomeAnswer> => {
    const home = homeOf(keyOf(limit, req.replicaId));
    if (home === node) return grant(limit, req);
    const isSilent = (silentUntil.get(home) ?? 0) > clock.now();
    // A silent home is asked again after a while, so that not every request
    // waits for its answer.
    if (isSilent && isCold(limit)) return UNGRANTED;
    return askHome(home, limit, req);
  };
  const askOrTakeTurn = async (
    limit: LimitReport,
    req: PermitRequest,
  ): Promise<LedgerAnswer> => {
    const answer = await askLedger(limit, req);
    if (answer.isGranted || answer.isTakingOver !== true) return answer;
    // A limit that the replica names has no margin for entries without a home.
    const isNamed = limits.reportOf(req.replicaId)?.perSecond !== undefined;
    if (!isCold(limit) || isNamed) return answer;
    const turn = takeTurn(req);
    const retryAfterMs = Math.min(answer.retryAfterMs, turn.retryAfterMs);
    return {...turn, retryAfterMs};
  };

  const waitMs = (replicaId: string, urgency: number): number => {
    const perSecond = limits.limitOf(replicaId);
    if (perSecond === undefined) return 0;
    const closure = closures.get(replicaId);
    if (closure === undefined || urgency < closure.urgency) return 0;
    if (perSecond > closure.perSecond) return 0;
    return Math.max(0, closure.until - clock.now());
  };
  const close = (req: PermitRequest, retryAfterMs: number): void => {
    const now = clock.now();
    for (const [replicaId, {until}] of closures) {
      if (until <= now) closures.delete(replicaId);
    }
    const {replicaId, urgency} = req;
    const until = now + Math.max(1, retryAfterMs);
    const perSecond = limits.limitOf(replicaId) ?? Infinity;
    closures.set(replicaId, {until, perSecond, urgency});
    metrics.count('onyxloft_direct_limit_held_back_total');
  };

  return {
    waitMs,
    take: async req => {
      const limit = limits.reportOf(req.replicaId);
      if (limit === undefined || effectiveLimit(limit) === undefined) {
        return true;
      }
      if (isCold(limit)) {
        // The home tells each refused ask a later time, so that many requests
        // which ask at once would close the replica to this entry for seconds.
        // Nothing is awaited between this check and the entry below.
        for (;;) {
          const open = asking.get(req.replicaId);
          if (open === undefined) break;
          await open;
        }
        if (waitMs(req.replicaId, req.urgency) > 0) return false;
      }
      const answer = askOrTakeTurn(limit, req);
      if (isCold(limit)) {
        const settled = answer.then(() => asking.delete(req.replicaId));
        asking.set(req.replicaId, settled);
      }
      const {isGranted, retryAfterMs} = await answer;
      if (isGranted) metrics.count('onyxloft_direct_limit_permits_total');
      else close(req, Math.min(MAX_RETRY_MS, retryAfterMs));
      return isGranted;
    },
    handleAsk: (from, {id, limit, count, urgency}) => {
      limits.merge(limit);
      const {replicaId} = limit;
      // This entry may not have heard of the replica yet.
      const newest = limits.reportOf(replicaId) ?? limit;
      options.sendAnswer(from, {
        askId: id,
        ...grant(newest, {replicaId, count, urgency}),
        limit: newest,
      });
    },
    handleAnswer: answer => {
      if (answer.limit !== undefined) limits.merge(answer.limit);
      openAsks.get(answer.askId)?.(answer);
    },
    setGrantingEntries: next => {
      const isSame = next.live.join() === entries.live.join();
      const now = clock.now();
      knownCounts.set(entries.known, now);
      const before = {live: new Set(entries.live), until: now};
      entries = next;
      if (isSame) return;
      earlierEntries = [
        ...earlierEntries.filter(({until}) => until + TAKEOVER_MS > now),
        before,
      ];
      homes.clear();
      for (const [key, {usedAt}] of [...ledgers]) {
        const isUsed = now - usedAt <= LEDGER_KEPT_MS;
        if (!isUsed || homeOf(key) !== node) ledgers.delete(key);
      }
      for (const replicaId of [...turnsAt.keys()]) {
        if (limits.limitOf(replicaId) !== undefined) continue;
        turnsAt.delete(replicaId);
        fallbackReplicas.delete(replicaId);
      }
    },
    homeOf,
  };
}
