/**
 * Serves admitted requests at replicas: owns what is known of the replicas and
 * what is assigned to them. Apart from the front, so that a whole fleet of
 * entries also runs before modelled engines on a virtual clock.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createRetryBudget} from '../limits/retry_budget.js';
import type {Clock, Log, Metrics, Random} from '../types/runtime.js';
import {createBatcher} from '../utils/batcher.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {createCallTimes} from './call_times.js';
import type {CrashReport} from './crash_reports.js';
import {createCrashWatch} from './crash_watch.js';
import type {CrashWatch, CrashWatchOptions} from './crash_watch.js';
import {prefillMs} from './decide/engine_timing.js';
import type {Fullness} from './decide/place_or_wait.js';
import {createRequestWeights, weightedSize} from './decide/request_weights.js';
import type {ProbePort} from './port_probe.js';
import type {OpenDispatch} from './dispatch.js';
import {openExchange} from './exchange.js';
import type {AdmittedRequest, Exchange} from './exchange.js';
import {createReplicaTable} from './replica_table.js';
import type {ReplicaTable} from './replica_table.js';
import {createGroups} from './groups.js';
import {createLoadTracker} from './load_tracker.js';
import type {LoadTracker} from './load_tracker.js';
import type {ReplicaLoad} from './replica_load.js';
import {createPlacementPollPace} from './placement_poll_pace.js';
import {createReplicaHealth} from './replica_health.js';
import {createReplicaLosses} from './replica_losses.js';
import {serveCall} from './serve_call.js';
import {giveUp, refuseQuarantined} from './serve_context.js';
import type {ServeContext} from './serve_context.js';
import {serveStream} from './serve_stream.js';
import type {DirectSettings} from './settings.js';
import type {HeaderCodec, ReadReport, Reservations} from './types.js';

/**
 * New work is told to the other entries at once, but for what comes in the same
 * instant: two that choose within this time may choose the same replica.
 */
const SHARE_MORE_MS = 2;
/** Work that has ended only leaves room; it is told in batches. */
const SHARE_LESS_MS = 25;
/** Of the budget for retries, for errors in the share by entries. */
const BUDGET_SHARE = 0.8;

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
  readonly failureDomain: string;
  readonly retries: DirectSettings['retries'];
  /** Prefix of reservations' ids, unique to this process. */
  readonly idPrefix: string;
  /** Time of one lease on a replica's memory, in milliseconds. */
  readonly holdMs: number;
  /** Memory of a group without a sign of use for this long is released. */
  readonly unusedMs: number;
  /** How full the engines are. @default as `placeOrWait` has it */
  readonly fullness?: Fullness;
  isDraining(): boolean;
  /** Tells the other entries what this one has assigned, a long read among it. */
  shareLoads(loads: readonly ReplicaLoad[], isLong: boolean): void;
  /** Tells them of requests that may crash replicas. */
  shareCrashReports(reports: readonly CrashReport[]): void;
  /** See `CrashWatchOptions`. */
  readonly quarantine: Pick<
    CrashWatchOptions,
    'onQuarantined' | 'onCleared' | 'claimTrial'
  >;
}

export interface Serving {
  readonly replicas: ReplicaTable;
  readonly book: LoadTracker;
  readonly crashes: Pick<CrashWatch, 'merge' | 'release' | 'nextReports'>;
  /** Serves to the final answer. */
  serve(
    admitted: AdmittedRequest,
    req: IncomingMessage,
    res: ServerResponse,
    arrivedAt: number,
  ): void;
  /** Entries that are there, with this one. */
  setEntryCount(count: number): void;
  /** Requests without a final answer. */
  openRequests(): number;
  state(): {
    readonly entries: number;
    readonly retriesLeft: number;
    readonly memoryLeases: number;
    readonly suspects: number;
    readonly quarantined: number;
  };
}

export function createServing(options: ServingOptions): Serving {
  const {clock, log, metrics, random, codec, dispatch, retries} = options;
  let entries = 1;
  const open = new Set<Exchange>();
  const worth = createRequestWeights();
  const health = createReplicaHealth(clock);
  const losses = createReplicaLosses();
  const replicas = createReplicaTable({
    clock,
    onRemoved: ({id, leaving}, mayHaveLapsed) => {
      health.forget(id);
      if (!leaving && !mayHaveLapsed) crashes.recordRemoved(id);
    },
    onRestarted: ({id, leaving}, now) => {
      log(DIRECT_EVENTS.replicaRestarted, {replica: id, now: now.id});
      health.forget(id);
      if (!leaving) crashes.replicaEnded(id);
      losses.notifyLost(id);
    },
  });
  const news = new Map<string, CrashReport>();
  const tellCrashes = createBatcher(clock, () => {
    options.shareCrashReports([...news.values()]);
    news.clear();
  });
  const crashes = createCrashWatch({
    clock,
    log,
    probePort: options.probePort,
    node: options.node,
    isLeaving: replicas.isLeaving,
    shareReport: report => {
      news.set(report.digest, report);
      tellCrashes(SHARE_MORE_MS);
    },
    ...options.quarantine,
  });
  let isLong = false;
  const shareLater = createBatcher(clock, () => {
    options.shareLoads(book.ownLoads(), isLong);
    isLong = false;
  });
  const book = createLoadTracker(clock, change => {
    isLong ||= change === 'long';
    shareLater(change === 'less' ? SHARE_LESS_MS : SHARE_MORE_MS);
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
    losses,
    crashes,
    book,
    worth,
    fullness: options.fullness,
    callTimes: createCallTimes(),
    pollPace: createPlacementPollPace(),
    groups: createGroups({
      clock,
      log,
      orders: options.orders,
      readReport: options.readReport,
      idPrefix: options.idPrefix,
      holdMs: options.holdMs,
      unusedMs: options.unusedMs,
    }),
    budget: createRetryBudget(() => (retries.slack * BUDGET_SHARE) / entries),
    retryRatio: retries.ratio * BUDGET_SHARE,
    isDraining: options.isDraining,
  };

  const weigh = ({config, service, route, facts}: AdmittedRequest): number => {
    const figures = config.services.get(service)?.engine;
    const ms =
      figures === undefined ? 0 : prefillMs(figures, facts.promptTokens, 1);
    return worth.weigh(route.name, weightedSize(facts), ms);
  };

  const serveOrRefuse = async (exchange: Exchange): Promise<void> => {
    if (crashes.isQuarantined(exchange)) {
      const isTrial = await crashes.claimTrial(exchange);
      if (exchange.signal.aborted) return;
      if (!isTrial) {
        refuseQuarantined(ctx, exchange);
        return;
      }
    }
    if (exchange.route.streaming) await serveStream(ctx, exchange);
    else await serveCall(ctx, exchange);
  };

  const serve: Serving['serve'] = (admitted, req, res, arrivedAt) => {
    const exchange = openExchange({
      clock,
      arrivedAt,
      req,
      res,
      admitted,
      weight: weigh(admitted),
      onTimeUp: late => giveUp(ctx, late, 'time is up'),
      onCallerLeft: ({id, elapsedMs}) => {
        const waitedMs = Math.round(elapsedMs());
        log(DIRECT_EVENTS.callerLeft, {requestId: id, waitedMs});
      },
    });
    open.add(exchange);
    void serveOrRefuse(exchange)
      .catch(err => {
        log(DIRECT_EVENTS.faulted, {
          requestId: exchange.id,
          cause: String(err),
        });
        exchange.mayHaveRun = true;
        giveUp(ctx, exchange, 'internal error');
      })
      .finally(() => {
        exchange.end('answered');
        open.delete(exchange);
      });
  };

  return {
    replicas,
    book,
    crashes,
    serve,
    setEntryCount: count => {
      entries = count;
    },
    openRequests: () => open.size,
    state: () => ({
      entries,
      retriesLeft: ctx.budget.left(),
      memoryLeases: ctx.groups.reservationCount(),
      suspects: crashes.suspectCount(),
      quarantined: crashes.quarantinedCount(),
    }),
  };
}
