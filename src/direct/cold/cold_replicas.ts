/**
 * Until when each start of a replica is cold, and how many requests a second it
 * takes meanwhile from all entries together. A replica that starts during
 * traffic is idle, so every entry would choose it, and it would crash under the
 * load that a warm one takes.
 *
 * The replica states its coldness in its record and in its answers. One that
 * appears or restarts while this entry runs and states nothing is presumed to
 * be cold for as long as its service's replicas are, also where the configuration
 * states that time only after its first record. The first listing does not show
 * which replicas are new, so for these only their records count. A start whose
 * record lapses and comes back has not started anew.
 */
import type {Clock, Log, Metrics} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {createRecentMap} from '../../utils/recent_map.js';
import type {ColdReport} from '../limits/limit_messages.js';
import type {DirectSettings} from '../settings.js';
import type {DirectReplica} from '../types.js';
import type {ColdStart, StatedCold} from './cold_types.js';
import {updateColdness} from './coldness.js';
import type {Coldness, ColdStatement} from './coldness.js';

/**
 * Greatest age of a record or of an answer to an order, in milliseconds: a
 * heartbeat of a replica, and the pause between two watches of the store.
 */
const RECORD_AGE_MS = 1_500;
/** Longest usual transmission time between entries, in milliseconds. */
const REPORT_WAY_MS = 10;
/**
 * Time for which ended coldness is remembered, in milliseconds. Older reports
 * of peers that still name it arrive within it and are ignored.
 */
const ENDED_KEPT_MS = 10_000;
/**
 * Share of the excess over the limit that the settings allow, for all entries
 * that send without a permit because they have no home for the replica. The
 * rest covers the time between a permit and the arrival, which differs between
 * requests, and two homes that overlap.
 */
const FALLBACK_SHARE = 0.8;
/**
 * Requests that the home's ledger may permit in a second beyond its rate: two
 * permits that were saved, and those of an ask for several that go beyond them.
 */
const LEDGER_BURST = 4;
/** Most starts that are remembered after their records were removed. */
const MAX_REMOVED_STARTS = 1_000;

/** Where a change of coldness became known. */
export type ColdSource = 'record' | 'answer' | 'peer' | 'presumed';

export interface ColdReplicas {
  /** Takes in the services of a new configuration. */
  setServices(
    services: ReadonlyMap<string, {readonly coldStart?: ColdStart | undefined}>,
  ): void;
  /** Takes in records; `isAll` where they are all that the store has. */
  listed(
    replicas: ReadonlyMap<string, DirectReplica | undefined>,
    isAll: boolean,
  ): void;
  /** Takes in what an answer states to a request that was sent at `sentAt`. */
  answered(replicaId: string, sentAt: number, stated: StatedCold): void;
  /** Takes in what an answer to an order states. */
  notified(replicaId: string, stated: StatedCold): void;
  /**
   * Takes in a peer's report. A start that is not known here is a later or an
   * earlier one than this entry knows, of a replica with the same address.
   */
  merge(replicaId: string, report: ColdReport): void;
  /** Presumes that all replicas of the failure domain are cold from now on. */
  presumeCold(failureDomain: string): void;
  /** Service of a replica that is cold now; undefined for a warm one. */
  coldServiceOf(replicaId: string): string | undefined;
  /** Time for which the replica stays cold; 0 when it is warm. */
  leftMs(replicaId: string): number;
  /** Requests a second from all entries; undefined when the replica is warm. */
  limitOf(replicaId: string): number | undefined;
  /** Requests a second that entries without a home may send it together. */
  fallbackPerS(replicaId: string): number;
  /** What to tell a peer; undefined where nothing is known. */
  reportOf(replicaId: string): ColdReport | undefined;
  /** Replicas of which something is known. */
  ids(): readonly string[];
  /** The start's record was removed; it may come back. */
  removed(replicaId: string): void;
  /** Drops what is known of a start that has ended. */
  forget(replicaId: string): void;
  /** Number of cold replicas that take a limited number of requests. */
  count(): number;
  /** Sum of what cold replicas take, in requests a second. */
  sum(): number;
}

export interface ColdReplicasOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Undefined where cold replicas are used as any other. */
  readonly settings: DirectSettings['coldReplicas'];
  /** A warm replica became cold, as far as this entry knew. */
  onCold(replicaId: string, source: ColdSource): void;
}

type Start = Pick<DirectReplica, 'name' | 'service' | 'failureDomain'>;

/** What was known of a start when its record was removed. */
interface RemovedStart {
  readonly coldness: Coldness | undefined;
  readonly removedAt: number;
}

export function createColdReplicas(options: ColdReplicasOptions): ColdReplicas {
  const {clock, log, metrics, settings} = options;
  const known = new Map<string, Coldness>();
  const starts = new Map<string, Start>();
  /** What peers reported of starts that are not known here. */
  const reported = new Map<string, Pick<ColdReport, 'name' | 'perSecond'>>();
  const unreadable = new Set<string>();
  /** When the first records came of new starts that have stated nothing. */
  const unstatedSince = new Map<string, number>();
  const removedStarts = createRecentMap<RemovedStart>(MAX_REMOVED_STARTS);
  /** Times at which whole failure domains were last presumed cold. */
  const domainPresumedAt = new Map<string, number>();
  let services: Parameters<ColdReplicas['setServices']>[0] = new Map();
  let hasListed = false;

  const coldStartOf = (replicaId: string): ColdStart | undefined => {
    const start = starts.get(replicaId);
    return start && services.get(start.service)?.coldStart;
  };
  const rateOf = (replicaId: string): number | undefined =>
    starts.has(replicaId)
      ? coldStartOf(replicaId)?.perSecond
      : reported.get(replicaId)?.perSecond;
  const leftMs = (replicaId: string): number =>
    Math.max(0, (known.get(replicaId)?.until ?? 0) - clock.now());
  const limitOf = (replicaId: string): number | undefined =>
    settings !== undefined && leftMs(replicaId) > 0
      ? rateOf(replicaId)
      : undefined;
  const limited = (): readonly number[] =>
    [...known.keys()].map(limitOf).filter(rate => rate !== undefined);

  /** Drops coldness that ended long ago. */
  const dropEnded = (): void => {
    for (const [replicaId, {until}] of known) {
      if (clock.now() - until <= ENDED_KEPT_MS) continue;
      known.delete(replicaId);
      reported.delete(replicaId);
    }
  };
  const update = (
    replicaId: string,
    statement: ColdStatement,
    source: ColdSource,
  ): void => {
    if (settings === undefined) return;
    const wasCold = leftMs(replicaId) > 0;
    const next = updateColdness(known.get(replicaId), statement);
    if (next === undefined) return;
    known.set(replicaId, next);
    const isCold = leftMs(replicaId) > 0;
    const fields = {replica: replicaId, source};
    if (wasCold && !isCold) log(DIRECT_EVENTS.replicaWarm, fields);
    if (wasCold || !isCold) return;
    dropEnded();
    const forMs = Math.round(leftMs(replicaId));
    const perSecond = rateOf(replicaId);
    log(DIRECT_EVENTS.replicaCold, {...fields, forMs, perSecond});
    metrics.count('onyxloft_direct_cold_total', {source});
    if (perSecond !== undefined) options.onCold(replicaId, source);
  };
  const noteUnreadable = (replicaId: string, text: string): void => {
    metrics.count('onyxloft_direct_cold_unreadable_total');
    if (unreadable.has(replicaId)) return;
    unreadable.add(replicaId);
    log(DIRECT_EVENTS.coldUnreadable, {replica: replicaId, text});
  };
  const takeStated = (
    replicaId: string,
    stated: StatedCold,
    fromAt: number,
    source: ColdSource,
  ): void => {
    if (settings === undefined || stated.kind === 'none') return;
    if (stated.kind === 'unreadable') {
      noteUnreadable(replicaId, stated.text);
      return;
    }
    unstatedSince.delete(replicaId);
    const {leftMs: statedMs} = stated;
    const statement = {leftMs: statedMs, fromAt, toAt: clock.now()};
    update(replicaId, statement, source);
  };
  /** Never shortens what is known. */
  const presume = (replicaId: string, since = clock.now()): void => {
    const durationMs = coldStartOf(replicaId)?.durationMs;
    if (durationMs === undefined) return;
    const now = clock.now();
    const presumedMs = since + durationMs - now;
    if (presumedMs <= leftMs(replicaId)) return;
    const statement = {leftMs: presumedMs, fromAt: now, toAt: now};
    update(replicaId, statement, 'presumed');
  };
  /** Presumes what the services of the first record did not state yet. */
  const presumeLate = (): void => {
    for (const [replicaId, since] of unstatedSince) {
      if (!known.has(replicaId)) presume(replicaId, since);
    }
  };
  /** Restores what is known of a start; false for one that is new. */
  const restore = ({id, failureDomain}: DirectReplica): boolean => {
    const removed = removedStarts.get(id);
    removedStarts.delete(id);
    if (removed === undefined) return false;
    const {coldness, removedAt} = removed;
    const presumedAt = domainPresumedAt.get(failureDomain) ?? -Infinity;
    if (presumedAt >= removedAt) return false;
    if (coldness !== undefined && !known.has(id)) known.set(id, coldness);
    return true;
  };
  const forget = (replicaId: string): void => {
    known.delete(replicaId);
    starts.delete(replicaId);
    reported.delete(replicaId);
    unreadable.delete(replicaId);
    unstatedSince.delete(replicaId);
  };
  const takeRecord = (replica: DirectReplica, mayBeNew: boolean): void => {
    const {id, cold = {kind: 'none'}} = replica;
    const isNew = !starts.has(id) && !restore(replica);
    starts.set(id, replica);
    takeStated(id, cold, clock.now() - RECORD_AGE_MS, 'record');
    // The first record of a start is a statement of that start itself.
    if (!isNew || !mayBeNew || cold.kind === 'cold') return;
    unstatedSince.set(id, clock.now());
    presume(id);
  };

  return {
    setServices: next => {
      services = next;
      presumeLate();
    },
    listed: (replicas, isAll) => {
      const mayBeNew = hasListed;
      hasListed ||= isAll;
      for (const replica of replicas.values()) {
        if (replica !== undefined) takeRecord(replica, mayBeNew);
      }
    },
    answered: (replicaId, sentAt, stated) =>
      takeStated(replicaId, stated, sentAt, 'answer'),
    notified: (replicaId, stated) =>
      takeStated(replicaId, stated, clock.now() - RECORD_AGE_MS, 'answer'),
    merge: (replicaId, {name, leftMs: reportedMs, ageMs, perSecond}) => {
      const agoMs = ageMs + REPORT_WAY_MS;
      const at = clock.now() - agoMs;
      // The report says how much is left now, whenever it was stated.
      const leftThenMs = reportedMs > 0 ? reportedMs + agoMs : 0;
      const statement = {leftMs: leftThenMs, fromAt: at, toAt: at};
      if (!starts.has(replicaId)) {
        reported.set(replicaId, {name, perSecond});
        for (const [id, start] of starts) {
          if (start.name === name) update(id, statement, 'peer');
        }
      }
      update(replicaId, statement, 'peer');
    },
    presumeCold: failureDomain => {
      domainPresumedAt.set(failureDomain, clock.now());
      const presumed = [...starts]
        .filter(([, start]) => start.failureDomain === failureDomain)
        .map(([id]) => id);
      presumed.forEach(id => presume(id));
      const count = presumed.filter(id => leftMs(id) > 0).length;
      log(DIRECT_EVENTS.coldPresumed, {failureDomain, count});
    },
    coldServiceOf: replicaId =>
      limitOf(replicaId) === undefined
        ? undefined
        : starts.get(replicaId)?.service,
    leftMs,
    limitOf,
    fallbackPerS: replicaId => {
      const perSecond = limitOf(replicaId);
      if (perSecond === undefined || settings === undefined) return 0;
      const excess = perSecond * (settings.overFactor - 1) + settings.slack;
      return FALLBACK_SHARE * Math.max(0, excess - LEDGER_BURST);
    },
    reportOf: replicaId => {
      const one = known.get(replicaId);
      const perSecond = rateOf(replicaId);
      const name = (starts.get(replicaId) ?? reported.get(replicaId))?.name;
      if (one === undefined || name === undefined) return undefined;
      if (perSecond === undefined) return undefined;
      const ageMs = Math.max(0, Math.round(clock.now() - one.statedAt));
      return {name, leftMs: Math.round(leftMs(replicaId)), ageMs, perSecond};
    },
    ids: () => {
      dropEnded();
      return [...known.keys()];
    },
    removed: replicaId => {
      if (!starts.has(replicaId)) return;
      const coldness = known.get(replicaId);
      const removedAt = clock.now();
      removedStarts.set(replicaId, {coldness, removedAt});
      forget(replicaId);
    },
    forget,
    count: () => limited().length,
    sum: () => limited().reduce((sum, perSecond) => sum + perSecond, 0),
  };
}
