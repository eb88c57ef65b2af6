/**
 * The service `direct`: accepts callers' requests and serves them at upstreams
 * that have no side process. It owns the HTTP server for callers, the load of
 * each replica and the health of each replica. The configuration and the list
 * of replicas arrive as messages from other services.
 */
import type {ServiceContext, ServiceSpec} from '../../types/kernel.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {probePort} from '../crashes/port_probe.js';
import {createConnectionGate} from '../callers/connection_gate.js';
import {openCallersServer} from '../callers/callers_server.js';
import type {CallersServer} from '../callers/callers_server.js';
import {createLimitsInForce} from '../callers/limits_in_force.js';
import {readId} from '../callers/request_id.js';
import {createRequestIntake} from '../callers/request_intake.js';
import {createDispatch} from '../dispatch.js';
import {createStoreEvidence, maxReadyAgeMs} from '../evidence.js';
import {createEvidenceChecks} from '../freshness/evidence_checks.js';
import {createHeardVersion} from '../freshness/heard_version.js';
import {createHeldBytes} from '../held/held_bytes.js';
import type {ProcessMemory} from '../held/process_memory.js';
import {watchLoopStalls} from '../loop_stalls.js';
import type {DirectMessage} from '../messages.js';
import {createServing} from '../serving.js';
import type {DirectSettings} from '../settings.js';
import {reportStandings} from '../shares/share_gauges.js';
import type {
  DirectConfig,
  HeaderCodec,
  ReadReport,
  Reservations,
} from '../types.js';
import type {WatchNotices} from '../gate/replica_statements.js';
import type {ReadTurns} from '../../utils/read_turns.js';
import {createConfigWait} from './config_wait.js';
import {createDrain} from './drain.js';
import type {DrainStart} from './drain.js';
import {reportGauges} from './gauges.js';
import type {GaugeReaders} from './gauges.js';
import {createPeerMessages} from './peer_messages.js';
import {sendPeerReports} from './peer_reports.js';
import {createServiceLinks} from './service_links.js';

/** Time in which a configuration reaches all callers if no setting bounds it. */
const CONFIG_KNOWN_WITHIN_MS = 5_000;
/** Age that logs and gauges show when there is no evidence for keys. */
const NO_EVIDENCE_AGE_MS = 1e9;
/**
 * Evidence for keys counts for this share of the revocation bound. The rest is
 * a margin, so that no revoked key is accepted after the bound.
 */
const EVIDENCE_SHARE = 0.9;
/** Time from a failed message to the request for the full state. */
const RESEND_STATE_MS = 1_000;

export interface DirectFrontOptions {
  readonly settings: DirectSettings;
  readonly incarnation: string;
  readonly codec: HeaderCodec;
  readonly orders: Reservations;
  readonly readReport: ReadReport;
  readonly watchNotices: WatchNotices;
  /** How long a replica that is shutting down still serves, in milliseconds. */
  readonly leavingMs: number;
  /** Duration of one lease on a replica's memory, in milliseconds. */
  readonly holdMs: number;
  /**
   * Time after which a group's memory is released when nothing shows that it is
   * used, in milliseconds.
   */
  readonly unusedMs: number;
  /** Time of day, in milliseconds. */
  readonly wallMs: () => number;
  readonly memory: ProcessMemory;
  readonly turns: ReadTurns;
}

export function createDirectFront(
  options: DirectFrontOptions,
): ServiceSpec<'direct'> {
  let isRestart = false;
  let isStateDue = false;
  const drainStart: DrainStart = {at: undefined};
  return {
    name: 'direct',
    start: ctx => {
      const wasStarted = isRestart;
      // Also where this start fails.
      isRestart = true;
      startFront(options, ctx, drainStart);
      if (wasStarted) requestState(ctx);
    },
    // What a message left half done is made whole by the full state.
    messageFailed: ctx => {
      if (isStateDue) return;
      const renewState = (): void => {
        try {
          requestState(ctx);
          isStateDue = false;
        } catch (err) {
          scheduleRenewal();
          throw err;
        }
      };
      const scheduleRenewal = () =>
        ctx.clock.after(
          RESEND_STATE_MS,
          renewState,
          'state after a failed message',
        );
      scheduleRenewal();
      isStateDue = true;
    },
  };
}

/**
 * Asks the other services for their state. They send each change only once, so
 * without this a restarted service would have no configuration and no replicas
 * and would refuse every request.
 */
function requestState(ctx: ServiceContext<'direct'>): void {
  ctx.send('followed', {kind: 'resend-state'});
  ctx.send('sharing', {kind: 'resend-state'});
}

function startFront(
  options: DirectFrontOptions,
  ctx: ServiceContext<'direct'>,
  drainStart: DrainStart,
): void {
  const {settings, codec} = options;
  const {clock, log, metrics, random} = ctx;
  const {revokeMs, configMs} = settings.timing;
  const limits = createLimitsInForce(
    clock.now,
    configMs ?? CONFIG_KNOWN_WITHIN_MS,
  );
  let config: DirectConfig | undefined;
  /** Of the configuration that is in force in all parts. */
  let adoptedVersion: number | undefined;
  let server: CallersServer | undefined;
  let stopOpening = (): void => undefined;
  let hasEnded = false;

  const configWait = createConfigWait(clock, log);
  ctx.own(configWait.end);

  const evidence = createStoreEvidence(
    clock,
    options.wallMs,
    revokeMs * EVIDENCE_SHARE,
  );
  const heardVersion = createHeardVersion(clock);
  const serving = createServing({
    clock,
    log,
    metrics,
    random,
    codec,
    dispatch: createDispatch(options.turns),
    probePort,
    node: settings.node,
    orders: options.orders,
    readReport: options.readReport,
    watchNotices: options.watchNotices,
    leavingMs: options.leavingMs,
    coldReplicas: settings.coldReplicas,
    failureDomain: settings.failureDomain,
    retries: settings.retries,
    idPrefix: `${settings.node}-${options.incarnation}`,
    holdMs: options.holdMs,
    unusedMs: options.unusedMs,
    organisationShares: settings.organisationShares,
    newestConfig: () => config,
    stop: {leftMs: () => drain.leftMs(), stoppingMs: () => drain.stoppingMs()},
    closesAfter: res => intake.closesAfter(res),
    ...createServiceLinks(ctx),
  });

  const shownEvidenceAgeMs = () =>
    Math.round(Math.min(evidence.ageMs(), NO_EVIDENCE_AGE_MS));
  const handlePeerMessage = createPeerMessages({
    sinks: ctx,
    serving,
    heardVersion,
  });
  const gauges: GaugeReaders = {
    configVersion: () => config?.version ?? 0,
    configAwaitedMs: configWait.awaitedMs,
    heardVersion: () =>
      Math.max(
        config?.version ?? 0,
        heardVersion.fields(config?.version).heardVersion ?? 0,
      ),
    evidenceAgeMs: shownEvidenceAgeMs,
    openRequests: serving.openRequests.count,
    replicas: serving.replicas.size,
    ...serving.state,
  };

  const checks = createEvidenceChecks({
    clock,
    evidence,
    configMs,
    ask: () => ctx.send('followed', {kind: 'confirm'}),
  });

  const held = createHeldBytes({
    clock,
    log,
    metrics,
    settings: settings.slowReaders,
    memory: options.memory,
    memoryMb: settings.limits.memoryMb,
    idOf: req => readId(codec, req),
  });
  ctx.own(held.stop);

  const intake = createRequestIntake({
    clock,
    log,
    metrics,
    random,
    codec,
    held,
    turns: options.turns,
    checks,
    config: () => config,
    limits,
    limitsAreComplete: () => configMs === undefined || limits.isComplete(),
    isDraining: () => drain.isDraining(),
    serve: serving.serve,
    endWhenIdle: socket => server?.endWhenIdle(socket),
    evidenceFields: () => ({
      evidenceAgeMs: shownEvidenceAgeMs(),
      evidencePeer: evidence.origin()?.peer,
      evidenceSource: evidence.origin()?.source,
      ...heardVersion.fields(config?.version),
    }),
  });

  const openGate = () =>
    createConnectionGate(
      clock,
      closed => {
        log(DIRECT_EVENTS.connectionsClosed, {closed});
        metrics.count('onyxloft_direct_connections_closed_total', {}, closed);
      },
      options.turns.piecesMs,
    );
  let connectionGate = openGate();
  ctx.own(() => connectionGate.stop());

  // Opened without a configuration too: callers then get 503 with a time to come
  // back, where a refused connection looks like a process that does not run.
  const openServer = async (): Promise<void> => {
    const opened = await openCallersServer({
      address: settings.listen.callers,
      handler: intake.take,
      onRequestError: intake.fail,
      admit: () => connectionGate.admit() && held.admitsConnection(),
      random: () => random.next(),
      limits,
      collect: () => options.memory.collect('minor'),
      maxDescriptors: settings.limits.maxDescriptors,
      clock,
      log,
      metrics,
      onWait: stop => {
        stopOpening = stop;
      },
    });
    if (hasEnded || !drain.isAccepting()) return opened.close();
    server = opened;
    log(DIRECT_EVENTS.listening, {address: settings.listen.callers});
  };

  const setConfig = (next: DirectConfig): void => {
    // An older version never replaces a newer one.
    const isOlder = config !== undefined && next.version < config.version;
    if (isOlder || next.version === adoptedVersion) return;
    log(DIRECT_EVENTS.configAdopted, {
      version: next.version,
      before: config?.version,
      routes: next.routes.length,
    });
    // First, so that a key that it lacks is refused whatever fails below.
    config = next;
    serving.cold.setServices(next.services);
    limits.set(next.limits);
    if (adoptedVersion === undefined) {
      // Each request that is refused without a configuration comes on a
      // connection of its own, so the rate until now is not the usual one.
      const refusing = connectionGate;
      connectionGate = openGate();
      refusing.stop();
    }
    configWait.end();
    server?.applyLimits();
    // Last: a version that is noted is not taken again.
    adoptedVersion = next.version;
  };

  const endRequests = (): void => {
    intake.refuseAll();
    serving.openRequests.giveUpAll('the entry ends');
  };

  const drain = createDrain({
    clock,
    graceS: settings.timing.graceS,
    start: drainStart,
    onBegin: () => ctx.send('sharing', {kind: 'draining'}),
    stopAccepting: () => {
      stopOpening();
      return server?.stopAccepting();
    },
    // A request that was served may still have bytes of its answer here.
    openCount: () => serving.openRequests.count() + intake.openCount(),
    refuseLate: serving.openRequests.refuseLate,
    onEnd: () => {
      serving.openRequests.logCutAtStop();
      endRequests();
    },
  });

  ctx.own(drain.cancel);

  const handle = (message: DirectMessage): void => {
    switch (message.kind) {
      case 'config':
        return setConfig(message.config);
      case 'confirmed':
        return evidence.confirm(message.asOf, message.askedAt, message.origin);
      case 'replicas':
        return serving.replicas.replaceAll(message.replicas);
      case 'replica-changes':
        return serving.replicas.applyChanges(message.replicas);
      case 'evacuations':
        return serving.evacuations.replaceAll(message.failureDomains);
      case 'keys-unconfirmed':
        checks.keysUnconfirmedUntil(message.until);
        return serving.replicas.startedUnsettled();
      case 'store-failed':
        return serving.replicas.storeFailed();
      case 'store-restored':
        return serving.replicas.storeRestored();
      case 'evidence':
        return message.reply({
          ageMs: evidence.ageMs(),
          source: evidence.origin()?.source,
        });
      case 'version-heard':
      case 'peer-load':
      case 'crash-reports':
      case 'quarantine-records':
      case 'quarantine-released':
      case 'limit-reports':
      case 'share-report':
      case 'permit-ask':
      case 'permit-answer':
        return handlePeerMessage(message);
      case 'entries':
        serving.permits.setGrantingEntries(message.granting);
        return serving.setEntryCount(message.count);
      case 'ready':
        return message.reply(
          !drain.isDraining() &&
            server !== undefined &&
            config !== undefined &&
            serving.replicas.size() > 0 &&
            // When keys cannot be confirmed, the peers cannot confirm
            // them either, so this one stays in the load balancer's rotation.
            (evidence.ageMs() < maxReadyAgeMs(revokeMs) ||
              checks.keysUnconfirmedMs() > 0),
        );
      case 'count':
        return message.reply(serving.openRequests.count());
      case 'drain':
        return drain.begin(message.reply);
    }
  };

  ctx.own(async () => {
    hasEnded = true;
    try {
      stopOpening();
      endRequests();
    } finally {
      await server?.close();
    }
  });
  ctx.own(watchLoopStalls(clock, log, metrics));
  ctx.own(reportGauges(clock, metrics, gauges));
  sendPeerReports(ctx, serving).forEach(ctx.own);
  const {shares} = serving;
  if (shares !== undefined) {
    ctx.own(reportStandings({clock, log, metrics, shares}));
  }
  void ctx.mailbox.observe(handle);
  if (drain.isAccepting()) openServer().catch(ctx.fail);
}
