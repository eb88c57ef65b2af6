/**
 * Serves admitted requests at replicas. It owns the table of replicas, their
 * health and their load. It is separate from the HTTP front end, so that a
 * model can run many entries against simulated engines on a virtual clock.
 */
import type {ServerResponse} from 'node:http';
import {createRetryBudget} from '../limits/retry_budget.js';
import type {Clock, Log, Metrics, Random} from '../types/runtime.js';
import {createBatcher} from '../utils/batcher.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {runAll} from '../utils/run_each.js';
import {createStepReport} from './boundary/contained_errors.js';
import type {CrashReport} from './crashes/crash_reports.js';
import {createReportBatch} from './crashes/report_batch.js';
import {createCrashWatch} from './crashes/crash_watch.js';
import type {CrashWatch, CrashWatchOptions} from './crashes/crash_watch.js';
import type {Fullness} from './decide/place_or_wait.js';
import {createRequestWeights} from './decide/request_weights.js';
import type {ProbePort} from './crashes/port_probe.js';
import type {OpenDispatch} from './dispatch.js';
import {createReplicaTable} from './replica_table.js';
import type {ReplicaTable} from './replica_table.js';
import {createGroups} from './groups.js';
import type {LoadChanges} from './load_broadcast.js';
import {createLoadTracker} from './load_tracker.js';
import type {LoadTracker} from './load_tracker.js';
import {createOpenRequests} from './callers/open_requests.js';
import type {OpenRequests} from './callers/open_requests.js';
import {createServeAdmitted} from './callers/serve_admitted.js';
import type {ServeAdmitted} from './callers/serve_admitted.js';
import {createColdLimits} from './cold/cold_limits.js';
import {createColdSlowness} from './cold/cold_slowness.js';
import {createColdReplicas} from './cold/cold_replicas.js';
import type {ColdReplicas} from './cold/cold_replicas.js';
import type {ReplicaLoad} from './replica_load.js';
import {createPlacementPollPace} from './placement_poll_pace.js';
import {createCallTimes} from './health/call_times.js';
import {createEvacuations} from './gate/evacuations.js';
import type {EvacuationReading, Evacuations} from './gate/evacuations.js';
import {createReplicaGate} from './gate/replica_gate.js';
import {createReplicaHealth} from './replica_health.js';
import type {
  LimitAudience,
  LimitReport,
  PermitAnswer,
  PermitAsk,
} from './limits/limit_messages.js';
import {createReplicaLimits} from './limits/replica_limits.js';
import type {ReplicaLimits} from './limits/replica_limits.js';
import {createRequestPermits} from './limits/request_permits.js';
import type {RequestPermits} from './limits/request_permits.js';
import {createReplicaLosses} from './replica_losses.js';
import {giveUp, isTooLateToBegin, refuseAtStop} from './serve_context.js';
import type {ServeContext} from './serve_context.js';
import type {DirectSettings} from './settings.js';
import {NO_STOP, createStopGuard} from './stop/stop_guard.js';
import type {StopProgress} from './stop/stop_guard.js';
import {createRequestShares} from './shares/request_shares.js';
import type {RequestShares, ShareSettings} from './shares/request_shares.js';
import type {HeaderCodec, ReadReport, Reservations} from './types.js';
import type {WatchNotices} from './gate/replica_statements.js';

/**
 * New load is sent to the peers after this delay, which batches what
 * arrives at the same instant. Within it, two entries may choose the same
 * replica.
 */
const SHARE_ADDED_LOAD_MS = 2;
/**
 * Load that has ended is sent after this delay, in larger batches. A late
 * report of it only hides free capacity for a moment.
 */
const SHARE_ENDED_LOAD_MS = 25;
/**
 * This share of the retry budget is used. The rest covers errors in its
 * division by the number of entries.
 */
const BUDGET_SHARE = 0.8;

/** Sends messages about request limits to other entries. */
export interface LimitLinks {
  shareReports(reports: readonly LimitReport[], to: LimitAudience): void;
  sendAsk(to: string, ask: PermitAsk): void;
  sendAnswer(to: string, answer: PermitAnswer): void;
}

export interface ServingOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly codec: HeaderCodec;
  readonly dispatch: OpenDispatch;
  readonly probePort: ProbePort;
  /** Name of this entry. */
  readonly node: string;
  readonly orders: Reservations;
  readonly readReport: ReadReport;
  readonly watchNotices: WatchNotices;
  readonly failureDomain: string;
  readonly retries: DirectSettings['retries'];
  /** Prefix of the reservations' ids, unique to this process. */
  readonly idPrefix: string;
  /** Duration of one lease on a replica's memory, in milliseconds. */
  readonly holdMs: number;
  /**
   * Time after which a group's memory is released when nothing shows that it is
   * used, in milliseconds.
   */
  readonly unusedMs: number;
  /** How long a replica that is shutting down still serves, in milliseconds. */
  readonly leavingMs: number;
  /** See the settings. @default cold replicas are used as any other */
  readonly coldReplicas?: DirectSettings['coldReplicas'];
  /** How full the engines are. @default that of `placeOrWait` */
  readonly fullness?: Fullness;
  /** Shares of organisations under overload. @default none */
  readonly organisationShares?: ShareSettings;
  /** @default requests keep the version that they came with */
  readonly newestConfig?: ServeContext['newestConfig'];
  /** How far the stop of this entry is. @default it does not stop */
  readonly stop?: StopProgress;
  /** Whether the connection closes after this answer. */
  closesAfter(res: ServerResponse): boolean;
  /** Sends this entry's load to the peers. */
  shareLoads(loads: readonly ReplicaLoad[], changes: LoadChanges): void;
  /** Sends messages about request limits to the peers. */
  readonly limitLinks: LimitLinks;
  /** Sends crash reports to the peers. */
  shareCrashReports(reports: readonly CrashReport[]): void;
  /** See `CrashWatchOptions`. */
  readonly quarantine: Pick<
    CrashWatchOptions,
    'onQuarantined' | 'onCleared' | 'claimTrial'
  >;
}

/** What is being served, and what is held back, at one time. */
export interface ServingState {
  /** Known entries, including this one. */
  readonly entries: number;
  /** Retries that the budget allows now. */
  readonly retriesLeft: number;
  /** Leases on replicas' memory that are held or may still be held. */
  readonly memoryLeases: number;
  /** Distinct requests during whose runs a replica ended. */
  readonly suspects: number;
  /** Suspects that are refused. */
  readonly quarantined: number;
  /** Replicas that name a request limit. */
  readonly limitedReplicas: number;
  /** Sum of these limits, in requests a second. */
  readonly limitSum: number;
  /** Cold replicas that take a limited number of requests. */
  readonly coldReplicas: number;
  /** Sum of what they take, in requests a second. */
  readonly coldSum: number;
  /** Replicas that stated in an answer that they are shutting down. */
  readonly leavingReplicas: number;
  /** Replicas that asked this entry for a pause. */
  readonly pausedReplicas: number;
  /** The evacuated failure domains. */
  readonly evacuations: readonly EvacuationReading[];
}

export interface Serving {
  readonly replicas: ReplicaTable;
  readonly loadTracker: LoadTracker;
  readonly limits: Pick<ReplicaLimits, 'merge' | 'nextReports'>;
  readonly cold: Pick<ColdReplicas, 'setServices' | 'presumeCold'>;
  readonly permits: Pick<
    RequestPermits,
    'handleAsk' | 'handleAnswer' | 'setGrantingEntries'
  >;
  readonly crashes: Pick<
    CrashWatch,
    'merge' | 'mergeRecords' | 'release' | 'nextReports'
  >;
  readonly evacuations: Pick<Evacuations, 'replaceAll'>;
  /** Undefined where organisations have no shares. */
  readonly shares: Omit<RequestShares, 'open'> | undefined;
  readonly serve: ServeAdmitted;
  /** Sets the number of known entries, including this one. */
  setEntryCount(count: number): void;
  readonly openRequests: Omit<OpenRequests, 'add' | 'delete'>;
  /** Reads the values for the gauges. */
  readonly state: {
    readonly [Name in keyof ServingState]: () => ServingState[Name];
  };
}

export function createServing(options: ServingOptions): Serving {
  const {clock, log, metrics, random, codec, dispatch, retries} = options;
  const onError = createStepReport({log, metrics});
  let entryCount = 1;
  const openRequests = createOpenRequests({
    log,
    giveUp: (...of) => giveUp(ctx, ...of),
    isTooLate: exchange => isTooLateToBegin(ctx, exchange),
    refuse: exchange => refuseAtStop(ctx, exchange),
  });
  const requestWeights = createRequestWeights();
  const coldServiceOf = (id: string) => cold.coldServiceOf(id);
  const coldSlowness = createColdSlowness({coldServiceOf});
  const health = createReplicaHealth(clock, coldSlowness);
  const {limitLinks, organisationShares} = options;
  const namedLimits = createReplicaLimits({
    clock,
    log,
    isInUse: replicaId => !replicas.isLeaving(replicaId),
    onChange: (report, change) => {
      // Only the home needs another value; the others ask it for permits.
      const home = permits.homeOf(report.replicaId);
      if (change !== 'changed') limitLinks.shareReports([report], 'all');
      else if (home !== options.node) {
        limitLinks.shareReports([report], {node: home});
      }
    },
  });
  const cold = createColdReplicas({
    clock,
    log,
    metrics,
    settings: options.coldReplicas,
    onCold: (replicaId, source) => {
      // All entries read the records, so this is reported only by the home, for
      // entries that cannot reach the store. An answer is known to this entry
      // alone, so this entry reports it.
      const report = limits.reportOf(replicaId);
      if (report?.cold === undefined) return;
      const isHome = permits.homeOf(report.cold.name) === options.node;
      if (!isHome && source !== 'answer') return;
      limitLinks.shareReports([report], 'all');
    },
  });
  const limits = createColdLimits(namedLimits, cold);
  const permits = createRequestPermits({
    clock,
    log,
    metrics,
    node: options.node,
    limits,
    fallbackPerS: cold.fallbackPerS,
    random: () => random.next(),
    onError,
    sendAsk: limitLinks.sendAsk,
    sendAnswer: limitLinks.sendAnswer,
  });
  const evacuations = createEvacuations({
    clock,
    log,
    domainOf: replicaId => replicas.failureDomainOf(replicaId),
    // An entry that starts learns of evacuations before it knows any replica.
    replicasIn: failureDomain =>
      replicas.size() === 0 ? undefined : replicas.countIn(failureDomain),
    runningIn: failureDomain =>
      loadTracker.openAssignments(
        replicaId => replicas.failureDomainOf(replicaId) === failureDomain,
      ),
    onEnded: failureDomain => cold.presumeCold(failureDomain),
  });
  const gate = createReplicaGate({
    clock,
    log,
    random,
    limits,
    permits,
    isCold: id =>
      cold.limitOf(id) !== undefined && namedLimits.limitOf(id) === undefined,
    leavingMs: options.leavingMs,
    evacuations,
  });
  options.watchNotices((address, notices) => {
    const replica = replicas.findAt(address);
    if (replica === undefined) return;
    gate.stated(replica.id, notices);
    if (notices.cold !== undefined) cold.notified(replica.id, notices.cold);
  });
  const losses = createReplicaLosses();
  const replicas = createReplicaTable({
    clock,
    saysLeaving: gate.isLeaving,
    onRemoved: (replica, mayHaveLapsed) => {
      const {id, leaving} = replica;
      runAll([
        () => health.forget(id),
        () => mayHaveLapsed || limits.removed(id),
        () => {
          const isLeaving = leaving || gate.isLeaving(id);
          if (!isLeaving && !mayHaveLapsed) crashes.recordRemoved(replica);
        },
      ]);
    },
    onRestarted: ({id, leaving}, now, mayBeSame) => {
      log(DIRECT_EVENTS.replicaRestarted, {replica: id, now: now.id});
      // Told once: the table has the later start by now.
      runAll([
        () => losses.notifyLost(id),
        () => health.forget(id),
        () => limits.forget(id),
        () => {
          if (!leaving && !gate.isLeaving(id)) crashes.replicaEnded(id);
        },
        () => mayBeSame && gate.moveDeparture(id, now.id),
        () => gate.forget(id),
      ]);
    },
  });
  const crashes = createCrashWatch({
    clock,
    log,
    probePort: options.probePort,
    node: options.node,
    random,
    onError,
    isLeaving: replicas.isLeaving,
    isCurrent: ({id, address}) => replicas.findAt(address)?.id === id,
    replicaAt: address => replicas.findAt(address)?.id,
    shareReport: createReportBatch(clock, options.shareCrashReports),
    ...options.quarantine,
  });
  let hasLongPrefill = false;
  let changedDomains = new Set<string | undefined>();
  const scheduleLoads = createBatcher(clock, () => {
    const changes = {hasLongPrefill, domains: changedDomains};
    options.shareLoads(loadTracker.ownLoads(), changes);
    hasLongPrefill = false;
    changedDomains = new Set();
  });
  const loadTracker = createLoadTracker(clock, (change, failureDomain) => {
    hasLongPrefill ||= change === 'long';
    changedDomains.add(failureDomain);
    scheduleLoads(
      change === 'less' ? SHARE_ENDED_LOAD_MS : SHARE_ADDED_LOAD_MS,
    );
  });
  const shares =
    organisationShares &&
    createRequestShares({
      clock,
      log,
      metrics,
      random,
      node: options.node,
      settings: organisationShares,
    });
  const ctx: ServeContext = {
    clock,
    log,
    metrics,
    random,
    codec,
    dispatch,
    failureDomain: options.failureDomain,
    replicas,
    health,
    limits,
    permits,
    gate,
    cold,
    losses,
    crashes,
    loadTracker,
    requestWeights,
    fullness: options.fullness,
    shares,
    callTimes: createCallTimes({clock, health}),
    pollPace: createPlacementPollPace(),
    groups: createGroups({
      clock,
      log,
      orders: options.orders,
      readReport: options.readReport,
      idPrefix: options.idPrefix,
      holdMs: options.holdMs,
      unusedMs: options.unusedMs,
      onError,
    }),
    budget: createRetryBudget(
      () => (retries.slack * BUDGET_SHARE) / entryCount,
    ),
    retryRatio: retries.ratio * BUDGET_SHARE,
    stop: createStopGuard(options.stop ?? NO_STOP),
    newestConfig: options.newestConfig ?? (() => undefined),
    closesAfter: options.closesAfter,
  };

  const serve = createServeAdmitted(ctx, openRequests);

  return {
    replicas: {
      ...replicas,
      replaceAll: records => {
        runAll([
          () => replicas.replaceAll(records),
          () => cold.listed(records, true),
        ]);
      },
      applyChanges: records => {
        runAll([
          () => replicas.applyChanges(records),
          () => cold.listed(records, false),
        ]);
      },
    },
    loadTracker,
    limits,
    cold,
    permits,
    crashes,
    evacuations,
    shares,
    serve,
    setEntryCount: count => {
      entryCount = count;
      shares?.setEntryCount(count);
    },
    openRequests,
    state: {
      entries: () => entryCount,
      retriesLeft: ctx.budget.left,
      memoryLeases: ctx.groups.reservationCount,
      suspects: crashes.suspectCount,
      quarantined: crashes.quarantinedCount,
      limitedReplicas: namedLimits.count,
      limitSum: namedLimits.sum,
      coldReplicas: cold.count,
      coldSum: cold.sum,
      leavingReplicas: gate.leavingCount,
      pausedReplicas: gate.pausedCount,
      evacuations: evacuations.readings,
    },
  };
}
