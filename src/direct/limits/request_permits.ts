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
 *
 * A part of the fleet that is cut off from the rest has a home of its own. It
 * grants only the share of the limit that belongs to the entries it reaches.
 */
import {createHash} from 'node:crypto';
import type {Clock, Log, Metrics} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {createRendezvous} from '../../utils/rendezvous_hashing.js';
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
  /** Name of the entry that is the replica's home. */
  homeOf(replicaId: string): string;
}

export interface RequestPermitsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Name of this entry. */
  readonly node: string;
  readonly limits: ReplicaLimits;
  /** Sends an ask to another entry. */
  sendAsk(to: string, ask: PermitAsk): void;
  sendAnswer(to: string, answer: PermitAnswer): void;
}

/** A replica for which this entry was refused permits. */
interface Closure {
  readonly until: number;
  /** Urgency of the refused request; more urgent ones may still ask. */
  readonly urgency: number;
}

export function createRequestPermits(
  options: RequestPermitsOptions,
): RequestPermits {
  const {clock, log, metrics, node, limits} = options;
  let entries: GrantingEntries = {live: [node], known: 1};
  let entriesChangedAt = clock.now();
  const homes = new Map<string, string>();
  const ledgers = new Map<string, PermitLedger>();
  const closures = new Map<string, Closure>();
  const openAsks = new Map<number, (answer: PermitAnswer) => void>();
  const silentHomes = new Set<string>();
  let asked = 0;

  const homeOf = (replicaId: string): string => {
    const known = homes.get(replicaId);
    if (known !== undefined) return known;
    const nodes = entries.live.map(id => ({id}));
    const home = rendezvous.first(replicaId, nodes)?.id ?? node;
    homes.set(replicaId, home);
    return home;
  };
  const ledgerOf = (replicaId: string): PermitLedger => {
    const known = ledgers.get(replicaId);
    if (known !== undefined) return known;
    const startAt = Math.max(clock.now(), entriesChangedAt + TAKEOVER_MS);
    const ledger = createPermitLedger(startAt);
    ledgers.set(replicaId, ledger);
    return ledger;
  };
  /** Share of the granting entries that this one reaches. */
  const reachableShare = () =>
    Math.min(1, Math.max(1, entries.live.length) / Math.max(1, entries.known));

  /** Grants as the home; `limit` is the newest that is known of the limit. */
  const grant = (
    {perSecond}: LimitReport,
    {replicaId, count, urgency}: PermitRequest,
  ): LedgerAnswer => {
    if (perSecond === undefined) return {isGranted: true, retryAfterMs: 0};
    if (homeOf(replicaId) !== node) {
      return {isGranted: false, retryAfterMs: SILENT_RETRY_MS};
    }
    const ratePerS = Math.max(MIN_RATE_PER_S, perSecond * reachableShare());
    const ask = {count, urgency, ratePerS};
    return ledgerOf(replicaId).take(ask, clock.now());
  };

  const noteSilence = (home: string): void => {
    metrics.count('onyxloft_direct_limit_home_silent_total');
    if (silentHomes.has(home)) return;
    silentHomes.add(home);
    log(DIRECT_EVENTS.limitHomeSilent, {entry: home});
  };
  const askHome = (
    home: string,
    limit: LimitReport,
    {count, urgency}: PermitRequest,
  ): Promise<LedgerAnswer> => {
    const id = ++asked;
    return new Promise(resolve => {
      const cancel = clock.after(ANSWER_TIMEOUT_MS, () => {
        openAsks.delete(id);
        noteSilence(home);
        resolve({isGranted: false, retryAfterMs: SILENT_RETRY_MS});
      });
      openAsks.set(id, answer => {
        cancel();
        openAsks.delete(id);
        silentHomes.delete(home);
        resolve(answer);
      });
      options.sendAsk(home, {id, limit, count, urgency});
    });
  };

  const close = (req: PermitRequest, retryAfterMs: number): void => {
    const now = clock.now();
    for (const [replicaId, {until}] of closures) {
      if (until <= now) closures.delete(replicaId);
    }
    const until = now + Math.max(1, retryAfterMs);
    closures.set(req.replicaId, {until, urgency: req.urgency});
    metrics.count('onyxloft_direct_limit_held_back_total');
  };

  return {
    waitMs: (replicaId, urgency) => {
      if (limits.limitOf(replicaId) === undefined) return 0;
      const closure = closures.get(replicaId);
      if (closure === undefined || urgency < closure.urgency) return 0;
      return Math.max(0, closure.until - clock.now());
    },
    take: async req => {
      const limit = limits.reportOf(req.replicaId);
      if (limit?.perSecond === undefined) return true;
      const home = homeOf(req.replicaId);
      const {isGranted, retryAfterMs} =
        home === node ? grant(limit, req) : await askHome(home, limit, req);
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
      entries = next;
      if (isSame) return;
      entriesChangedAt = clock.now();
      homes.clear();
      for (const replicaId of [...ledgers.keys()]) {
        const isLimited = limits.limitOf(replicaId) !== undefined;
        if (!isLimited || homeOf(replicaId) !== node) ledgers.delete(replicaId);
      }
    },
    homeOf,
  };
}
