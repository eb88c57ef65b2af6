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
import type {Clock, Log, Metrics} from '../../types/runtime.js';
import {createGuard, toProcess} from '../../utils/callback_guard.js';
import type {StepOwner} from '../../utils/callback_guard.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {createFallbackTurns} from './fallback_turns.js';
import {createGrantingEntries} from './granting_entries.js';
import type {GrantingEntries} from './granting_entries.js';
import {SILENT_RETRY_MS, UNGRANTED, createHomeGrants} from './home_grants.js';
import type {HomeAnswer, PermitRequest} from './home_grants.js';
import {effectiveLimit, homeKeyOf, isCold} from './limit_messages.js';
import type {LimitReport, PermitAnswer, PermitAsk} from './limit_messages.js';
import {MAX_RETRY_MS} from './permit_ledger.js';
import type {LedgerAnswer} from './permit_ledger.js';
import type {ReplicaLimits} from './replica_limits.js';

/** Longest wait for a home's answer; homes answer within milliseconds. */
const ANSWER_TIMEOUT_MS = 100;

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

export interface RequestPermitsOptions extends StepOwner {
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

/** A replica for which this entry was refused permits. */
interface Closure {
  readonly until: number;
  /** Limit in force at the refusal; under a higher one, `until` is too late. */
  readonly perSecond: number;
  /** Urgency of the refused request; more urgent ones may still ask. */
  readonly urgency: number;
}

export function createRequestPermits(
  options: RequestPermitsOptions,
): RequestPermits {
  const {clock, log, metrics, node, limits} = options;
  const guard = createGuard(options.onError ?? toProcess);
  const entries = createGrantingEntries(clock, node);
  const {homeOf} = entries;
  const {grant, dropLedgers} = createHomeGrants(clock, node, entries);
  const turns = createFallbackTurns({
    clock,
    log,
    metrics,
    entries,
    limits,
    fallbackPerS: replicaId => options.fallbackPerS?.(replicaId) ?? 0,
    random: () => options.random?.() ?? 0.5,
  });
  /** Open asks for permits of cold replicas, by replica. */
  const asking = new Map<string, Promise<unknown>>();
  const silentUntil = new Map<string, number>();
  const closures = new Map<string, Closure>();
  const openAsks = new Map<number, (answer: PermitAnswer) => void>();
  const silentHomes = new Set<string>();
  let lastAskId = 0;

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
      const endUnanswered = () => {
        openAsks.delete(id);
        resolve(UNGRANTED);
        noteSilence(home);
      };
      const onTimeout = guard('ask for permits', endUnanswered);
      const cancel = clock.after(ANSWER_TIMEOUT_MS, onTimeout);
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

  const askLedger = (
    limit: LimitReport,
    req: PermitRequest,
  ): HomeAnswer | Promise<HomeAnswer> => {
    const home = homeOf(homeKeyOf(limit, req.replicaId));
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
    const turn = turns.take(req);
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
        const forget = () => asking.delete(req.replicaId);
        // The request itself sees a failure; the next one asks again.
        const settled = answer.then(forget, forget);
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
      if (!entries.set(next)) return;
      dropLedgers();
      turns.forgetUnlimited();
    },
    homeOf,
  };
}
